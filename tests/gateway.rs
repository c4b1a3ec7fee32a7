//! Decisions of the gateway: choice of a replica, admission, retry budget, what follows a failed
//! attempt, version changes, splitting of event streams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pumicelatch::clock::Time;
use pumicelatch::config::catalog::{DesiredVersion, ListedReplica};
use pumicelatch::config::residency::{Regions, Residency};
use pumicelatch::config::routing::Engine;
use pumicelatch::gateway::event::Splitter;
use pumicelatch::limit::admission::{self, Bounds, Input, Verdict};
use pumicelatch::member::replica::{LoadedModel, Record};
use pumicelatch::policy::Policy;
use pumicelatch::request::Outcome;
use pumicelatch::request::attempt::{self, Ended, Next, Situation};
use pumicelatch::request::budget::{Budget, Setting};
use pumicelatch::route::estimate::{self, Backlog, Demand};
use pumicelatch::route::health::{Health, Signal};
use pumicelatch::route::pool::{Key, ModelQuery, Pool, Query, Unavailable};
use pumicelatch::route::replica::{Load, Schedule};
use pumicelatch::sidecar::rtt::Window;
use pumicelatch::version::rollout;
use pumicelatch::weight::Digest;
use quickcheck::{TestResult, quickcheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MODEL: &str = "tutor-model";

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 317_000,
        step_ms: 9.27,
        sequence_ms: 0.0232,
        context_ms_per_thousand: 0.0322,
        read_per_s: 20_700.0,
        pairs_ms_per_million: 0.0,
        stride: 5,
        mean_prompt_tokens: 979.0,
        mean_answer_tokens: 92.0,
        models: vec![MODEL.into()],
        chunks: 96,
        chunk_bytes: 24_576,
        incomplete: false,
    }
}

fn address(index: u8) -> std::net::SocketAddr {
    format!("10.0.0.{index}:80").parse().unwrap()
}

fn record(index: u8, version: u64) -> Record {
    Record {
        id: format!("i-{index}").into(),
        born: 0,
        service: "tutor".into(),
        address: address(index),
        hall: "lis-a".into(),
        slots: 16,
        leaving: false,
        models: vec![LoadedModel {
            model: MODEL.into(),
            version,
        }],
        cold_ms: 0,
    }
}

fn listed(record: Record) -> ListedReplica {
    ListedReplica {
        record,
        revision: 1,
        removed_at: None,
        provisional: false,
    }
}

fn pool_of(records: Vec<Record>, due: Option<Schedule>) -> Pool {
    let mut pool = Pool::new("lis-a".into(), Policy::default());
    let list: BTreeMap<Arc<str>, ListedReplica> = records
        .into_iter()
        .map(|record| (record.id.clone(), listed(record)))
        .collect();
    pool.update(&list, |_| due.clone());
    pool
}

struct Request {
    engine: Engine,
    tried: Vec<Key>,
    min_version: u64,
    pinned_version: Option<u64>,
    regions: Regions,
}

impl Default for Request {
    fn default() -> Self {
        Self {
            engine: engine(),
            tried: Vec::new(),
            min_version: 0,
            pinned_version: None,
            regions: Regions::default(),
        }
    }
}

impl Request {
    fn query(&self) -> Query<'_> {
        Query {
            service: "tutor",
            model: Some(ModelQuery {
                model: MODEL,
                min_version: self.min_version,
                pinned_version: self.pinned_version,
            }),
            engine: Some(&self.engine),
            demand: Demand {
                prompt: 979,
                output: 92,
            },
            remaining: None,
            terms: None,
            tried: &self.tried,
            full: &[],
            connections_max: 20,
            residency: &Residency::Anywhere,
            regions: &self.regions,
            cold_per_s: 0.0,
            urgency: 1,
        }
    }

    fn choose(&self, pool: &Pool, now: Time) -> Result<String, Unavailable> {
        let mut rng = SmallRng::seed_from_u64(7);
        let choice = pool.choose(self.query(), now, &mut rng)?;
        Ok(pool.get(choice.key).unwrap().record.id.to_string())
    }
}

fn report(running: u32, queued: u32, version: u64) -> Load {
    Load {
        running,
        queued,
        pace: 1.0,
        models: vec![LoadedModel {
            model: MODEL.into(),
            version,
        }],
        switching: false,
        alive: true,
        round_trip_ms: 8,
        ..Load::default()
    }
}

const NOW: Time = Time::from_millis(50_000);

#[test]
fn the_replica_with_fewer_prompts_to_read_is_chosen() {
    let mut pool = pool_of(vec![record(1, 1), record(2, 1)], None);
    pool.report(address(1), &report(4, 3, 1), NOW);
    pool.report(address(2), &report(6, 0, 1), NOW);
    assert_eq!(Request::default().choose(&pool, NOW).unwrap(), "i-2");
}

/// How many of 100 entries with the same reports choose each replica.
fn choices_of_100_entries(loads: &[(u32, u32)]) -> Vec<u32> {
    let request = Request::default();
    let mut chosen = vec![0; loads.len()];
    for entry in 0..100 {
        let hosts = 1..=loads.len() as u8;
        let mut pool = pool_of(hosts.map(|host| record(host, 1)).collect(), None);
        for (host, &(running, queued)) in (1..).zip(loads) {
            pool.report(address(host), &report(running, queued, 1), NOW);
        }
        let mut rng = SmallRng::seed_from_u64(entry);
        let choice = pool.choose(request.query(), NOW, &mut rng).unwrap();
        let host = pool.get(choice.key).unwrap().record.address;
        let host = (1..).zip(loads).find(|(index, _)| address(*index) == host);
        chosen[usize::from(host.unwrap().0) - 1] += 1;
    }
    chosen
}

#[test]
fn entries_with_the_same_reports_do_not_all_choose_the_empty_replica() {
    let mut loads = vec![(6, 0); 8];
    loads[0] = (0, 0);
    let chosen = choices_of_100_entries(&loads);
    // Each entry takes the better of two replicas drawn at random. The best of eight is among the
    // two for 23 of 100 entries.
    assert!((12..=36).contains(&chosen[0]), "{chosen:?}");
    assert!(chosen.iter().all(|count| *count > 0), "{chosen:?}");
}

#[test]
fn no_entry_chooses_a_replica_with_one_more_prompt_to_read() {
    let mut loads = vec![(6, 0); 8];
    loads[7] = (6, 1);
    assert_eq!(choices_of_100_entries(&loads)[7], 0);
}

/// Guards against responses that are cut off at their deadline by replicas that are too slow for them.
#[test]
fn a_request_that_outlasts_its_deadline_goes_to_a_faster_replica_or_is_refused_at_once() {
    let choose = |paces: &[f64], output| {
        let records = (0..paces.len()).map(|index| record(index as u8, 1));
        let mut pool = pool_of(records.collect(), None);
        for (index, pace) in paces.iter().enumerate() {
            let load = Load {
                pace: *pace,
                ..report(0, 0, 1)
            };
            pool.report(address(index as u8), &load, NOW);
        }
        let request = Request::default();
        let query = Query {
            demand: Demand {
                prompt: 500,
                output,
            },
            remaining: Some(Duration::from_secs(6)),
            ..request.query()
        };
        let choice = pool.choose(query, NOW, &mut SmallRng::seed_from_u64(7));
        choice.map(|choice| pool.get(choice.key).unwrap().record.address)
    };
    assert_eq!(choose(&[4.0, 4.0], 250), Err(Unavailable::TooSlow));
    assert!(choose(&[4.0, 4.0], 100).is_ok());
    assert_eq!(choose(&[4.0, 1.0, 4.0], 250), Ok(address(1)));
}

#[test]
fn a_replica_that_reported_no_place_is_chosen_only_if_no_other_is_left() {
    let mut pool = pool_of(vec![record(1, 1), record(2, 1)], None);
    pool.report(address(1), &report(0, 0, 1), NOW);
    pool.report(address(2), &report(16, 9, 1), NOW);
    let keys = pool.by_service("tutor").to_vec();
    let first = |key: &&Key| pool.get(**key).unwrap().record.address == address(1);
    let first = *keys.iter().find(first).unwrap();
    let request = Request::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let full = [first];
    let query = Query {
        full: &full,
        ..request.query()
    };
    assert_ne!(pool.choose(query, NOW, &mut rng).unwrap().key, first);
    let query = Query {
        full: &keys,
        ..request.query()
    };
    assert_eq!(pool.choose(query, NOW, &mut rng).unwrap().key, first);
}

#[test]
fn a_sidecar_that_timed_out_is_not_asked_for_a_second_and_its_link_counts_as_slow() {
    let mut pool = pool_of(vec![record(1, 1), record(2, 1)], None);
    for host in [1, 2] {
        pool.report(address(host), &report(2, 0, 1), NOW);
    }
    let key = pool.by_service("tutor")[0];
    let id = pool.get(key).unwrap().record.id.clone();
    assert!(pool.grants_leases(key, NOW));
    pool.mark_unresponsive(key, true, NOW);
    assert!(!pool.grants_leases(key, NOW));
    assert_ne!(Request::default().choose(&pool, NOW).unwrap(), *id);
    let later = NOW + Duration::from_millis(1_100);
    assert!(pool.grants_leases(key, later));
}

#[test]
fn a_replica_counts_as_queueing_only_while_a_recent_report_says_so() {
    let mut pool = pool_of(vec![record(1, 1)], None);
    let key = pool.by_service("tutor")[0];
    assert!(!pool.has_queue(key, NOW), "no report says so");
    pool.report(address(1), &report(15, 0, 1), NOW);
    assert!(!pool.has_queue(key, NOW), "a slot is free");
    pool.report(address(1), &report(16, 4, 1), NOW);
    assert!(pool.has_queue(key, NOW));
    assert!(
        !pool.has_queue(key, NOW + Duration::from_secs(3)),
        "the report is stale"
    );
    let dead = Load {
        alive: false,
        ..report(16, 4, 1)
    };
    pool.report(address(1), &dead, NOW);
    assert!(!pool.has_queue(key, NOW), "the replica is dead");
}

#[test]
fn a_change_of_availability_is_reported_at_once_and_a_change_of_load_is_not() {
    let mut pool = pool_of(vec![record(1, 1), record(2, 1)], None);
    let at = |ms| NOW + Duration::from_millis(ms);
    for host in [1, 2] {
        pool.report(address(host), &report(2, 0, 1), NOW);
    }
    assert_eq!(pool.last_availability_change("lis-a"), Some(NOW));
    pool.report(address(1), &report(9, 3, 1), at(100));
    assert_eq!(pool.last_availability_change("lis-a"), Some(NOW));
    let switching = Load {
        switching: true,
        ..report(9, 3, 1)
    };
    pool.report(address(2), &switching, at(200));
    assert_eq!(pool.last_availability_change("lis-a"), Some(at(200)));
    let told = pool.reports_since("lis-a", at(150), at(210));
    assert_eq!(told.len(), 1);
    assert!(told[0].address == address(2) && told[0].load.switching && told[0].age_ms == 10);
    assert_eq!(pool.reports("lis-a", at(210)).len(), 2);
}

#[test]
fn leaving_dead_and_denied_replicas_get_no_requests() {
    let leaving = Record {
        leaving: true,
        ..record(1, 1)
    };
    let mut pool = pool_of(vec![leaving, record(2, 1), record(3, 1)], None);
    let dead = Load {
        alive: false,
        ..report(0, 0, 1)
    };
    pool.report(address(2), &dead, NOW);
    assert_eq!(Request::default().choose(&pool, NOW).unwrap(), "i-3");
    let third = *pool
        .by_service("tutor")
        .iter()
        .find(|key| &*pool.get(**key).unwrap().record.id == "i-3")
        .unwrap();
    pool.invalidate(third);
    assert_eq!(
        Request::default().choose(&pool, NOW),
        Err(Unavailable::NoneEligible)
    );
}

#[test]
fn replicas_without_weights_or_with_a_disallowed_version_get_no_requests() {
    let empty = Record {
        models: Vec::new(),
        ..record(1, 1)
    };
    let pool = pool_of(vec![empty, record(2, 1), record(3, 2)], None);
    let oldest = Request {
        min_version: 2,
        ..Request::default()
    };
    assert_eq!(oldest.choose(&pool, NOW).unwrap(), "i-3");
    let only = Request {
        pinned_version: Some(1),
        ..Request::default()
    };
    assert_eq!(only.choose(&pool, NOW).unwrap(), "i-2");
}

#[test]
fn no_request_is_sent_that_would_start_on_an_old_version_after_its_bound() {
    let due = Schedule {
        versions: vec![DesiredVersion {
            version: 2,
            revision: 1,
            since: NOW,
        }],
        drain_after: Duration::from_millis(5_000),
        cutoff: Duration::from_millis(7_400),
    };
    let mut pool = pool_of(vec![record(1, 1)], Some(due));
    let at = |millis| NOW + Duration::from_millis(millis);
    assert!(Request::default().choose(&pool, at(1_000)).is_ok());
    assert_eq!(
        Request::default().choose(&pool, at(7_390)),
        Err(Unavailable::NoneEligible)
    );
    // Behind a queue, a request would wait too long even if sent slightly earlier.
    pool.report(address(1), &report(16, 8, 1), at(6_900));
    assert_eq!(
        Request::default().choose(&pool, at(6_900)),
        Err(Unavailable::NoneEligible)
    );
}

#[test]
fn a_request_that_outlasts_a_version_change_goes_to_a_replica_that_changes_later() {
    let due = |begins| Schedule {
        versions: vec![DesiredVersion {
            version: 2,
            revision: 1,
            since: NOW,
        }],
        drain_after: Duration::from_millis(begins),
        cutoff: Duration::from_millis(7_400),
    };
    let mut pool = Pool::new("lis-a".into(), Policy::default());
    let list: BTreeMap<Arc<str>, ListedReplica> = [record(1, 1), record(2, 1)]
        .into_iter()
        .map(|record| (record.id.clone(), listed(record)))
        .collect();
    pool.update(&list, |record| {
        Some(due(if &*record.id == "i-1" { 4_400 } else { 7_000 }))
    });
    let now = NOW + Duration::from_millis(4_000);
    for _ in 0..5 {
        assert_eq!(Request::default().choose(&pool, now).unwrap(), "i-2");
    }
}

/// Guards against overload of the replicas that change last: if the origin of weights fails during
/// a rollout, most replicas miss the time planned for their change and still serve the old version.
#[test]
fn replicas_with_an_overdue_version_change_are_not_avoided() {
    let named = |begins_ms| Schedule {
        versions: vec![DesiredVersion {
            version: 2,
            revision: 1,
            since: NOW,
        }],
        drain_after: Duration::from_millis(begins_ms),
        cutoff: Duration::from_millis(9_400),
    };
    let mut pool = Pool::new("lis-a".into(), Policy::default());
    let list: BTreeMap<Arc<str>, ListedReplica> = (1..=5)
        .map(|host| record(host, 1))
        .map(|record| (record.id.clone(), listed(record)))
        .collect();
    // Replica 5 changes last.
    pool.update(&list, |record| {
        let last = record.address == address(5);
        Some(named(if last { 9_000 } else { 3_400 }))
    });
    let now = NOW + Duration::from_millis(5_000);
    for host in 1..=4 {
        pool.report(address(host), &report(4, 0, 1), now);
    }
    pool.report(address(5), &report(16, 4, 1), now);
    assert_ne!(Request::default().choose(&pool, now).unwrap(), "i-5");
}

#[test]
fn a_replica_with_overdue_first_events_is_avoided() {
    let mut pool = pool_of(vec![record(1, 1), record(2, 1)], None);
    let key = |pool: &Pool, id: &str| {
        let keys = pool.by_service("tutor").to_vec();
        keys.into_iter()
            .find(|key| &*pool.get(*key).unwrap().record.id == id)
            .unwrap()
    };
    let first = key(&pool, "i-1");
    pool.begin(first, Demand::default(), Duration::from_millis(100), NOW);
    let later = NOW + Duration::from_millis(600);
    for _ in 0..5 {
        assert_eq!(Request::default().choose(&pool, later).unwrap(), "i-2");
    }
}

/// Change to version 2, announced now, with its bound after 7.4 s.
fn due_in_7_seconds() -> Schedule {
    Schedule {
        versions: vec![DesiredVersion {
            version: 2,
            revision: 1,
            since: NOW,
        }],
        drain_after: Duration::from_millis(7_000),
        cutoff: Duration::from_millis(7_400),
    }
}

#[test]
fn no_request_is_sent_over_a_slow_link_that_would_start_after_the_bound() {
    let mut pool = pool_of(vec![record(1, 1)], Some(due_in_7_seconds()));
    let slow = Load {
        round_trip_ms: 1_500,
        ..report(2, 0, 1)
    };
    // The request and its end are both delayed by the link, so the limit is 2.8 s before the bound.
    for (after, fits) in [(4_000, true), (5_000, false)] {
        let now = NOW + Duration::from_millis(after);
        pool.report(address(1), &slow, now);
        assert_eq!(
            Request::default().choose(&pool, now).is_ok(),
            fits,
            "{after}"
        );
        pool.report(address(1), &report(2, 0, 1), now);
        assert!(Request::default().choose(&pool, now).is_ok());
    }
}

#[test]
fn a_replica_with_missing_reports_counts_as_behind_a_slow_link() {
    let mut pool = pool_of(vec![record(1, 1), record(2, 1)], None);
    pool.report(address(1), &report(0, 0, 1), NOW);
    let later = NOW + Duration::from_millis(2_600);
    pool.report(address(2), &report(3, 0, 1), later);
    assert_eq!(Request::default().choose(&pool, later).unwrap(), "i-2");
}

#[test]
fn the_shortest_exchange_measures_a_link() {
    let mut trips = Window::new(NOW);
    assert_eq!(trips.min(NOW), Duration::ZERO);
    let at = |ms| NOW + Duration::from_millis(ms);
    trips.record(Duration::from_millis(900), at(1_000));
    trips.record(Duration::from_millis(12), at(1_100));
    assert_eq!(trips.min(at(1_200)), Duration::from_millis(12));
    trips.record(Duration::from_millis(700), at(2_500));
    assert_eq!(trips.min(at(2_700)), Duration::from_millis(700));
    assert_eq!(trips.min(at(5_500)), Duration::from_millis(3_000));
}

#[test]
fn a_replica_that_is_removed_from_the_list_is_dropped_at_once() {
    let mut pool = pool_of(vec![record(1, 1)], None);
    pool.update(&BTreeMap::new(), |_| None);
    assert_eq!(
        Request::default().choose(&pool, NOW),
        Err(Unavailable::NoneListed)
    );
}

#[test]
fn the_estimate_grows_with_unread_prompts_and_with_the_queue() {
    let engine = engine();
    let demand = Demand {
        prompt: 979,
        output: 92,
    };
    let work = |requests, unread| Backlog {
        requests,
        prompt_tokens: unread,
        pace: 1.0,
    };
    let spread = Policy::default().queue_spread;
    let idle = estimate::first_event(&engine, work(0, 0.0), demand, spread);
    let reading = estimate::first_event(&engine, work(2, 2_000.0), demand, spread);
    let full = estimate::first_event(&engine, work(18, 0.0), demand, spread);
    assert!(idle > Duration::from_millis(80) && idle < Duration::from_millis(200));
    assert!(reading > idle + Duration::from_millis(80));
    assert!(full > idle + Duration::from_millis(200));
}

#[test]
fn a_replica_that_fails_more_often_than_others_is_paused_and_tried_again() {
    let mut health = Health::default();
    for _ in 0..6 {
        health.record(Signal::Failed, 0.1, NOW);
    }
    assert!(health.paused(NOW));
    assert!(!health.paused(health.paused_until()));
    let mut usual = Health::default();
    for step in 0..50 {
        let sign = if step % 7 == 0 {
            Signal::Failed
        } else {
            Signal::Success(Duration::ZERO)
        };
        usual.record(sign, 0.14, NOW);
        assert!(!usual.paused(NOW), "it fails no more often than others");
    }
}

#[test]
fn a_request_is_refused_early_or_not_at_all() {
    fn property(elapsed: u16, expected: u16, objective: u16) -> TestResult {
        if objective < 50 {
            return TestResult::discard();
        }
        let objective = Duration::from_millis(u64::from(objective));
        let case = Input {
            elapsed: Duration::from_millis(u64::from(elapsed)),
            remaining: Duration::from_secs(6),
            expected: Some(Duration::from_millis(u64::from(expected))),
        };
        let quarter = objective / 4;
        TestResult::from_bool(
            match admission::evaluate(case, Bounds::new(objective, objective)) {
                Verdict::Send => case.elapsed + case.expected.unwrap() <= objective,
                Verdict::Wait(pause) => case.elapsed + pause <= quarter,
                Verdict::Refuse { retry_after } => !retry_after.is_zero(),
            },
        )
    }
    quickcheck(property as fn(u16, u16, u16) -> TestResult);
}

fn situation() -> Situation {
    Situation {
        repeatable: false,
        tainted: false,
        sent: 1,
        sent_max: 2,
        connect_failures: 0,
        time_left: true,
    }
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_cannot_have_run() {
    for ended in [Ended::Broken, Ended::Failed] {
        let next = attempt::after(ended, situation());
        assert!(!matches!(next, Next::Elsewhere { .. }), "{ended:?}");
    }
    assert_eq!(
        attempt::after(Ended::Broken, situation()),
        Next::GiveUp(Outcome::Unknown)
    );
    assert_eq!(
        attempt::after(Ended::Refused, situation()),
        Next::Elsewhere { charged: true }
    );
    let tainted = Situation {
        tainted: true,
        ..situation()
    };
    assert_eq!(
        attempt::after(Ended::Refused, tainted),
        Next::GiveUp(Outcome::Unknown)
    );
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    fn property(ended: u8, repeatable: bool, tainted: bool, sent: u8, left: bool) -> bool {
        let all = [
            Ended::NotSent,
            Ended::Refused,
            Ended::Misdirected,
            Ended::Failed,
            Ended::Broken,
        ];
        let ended = all[usize::from(ended) % all.len()];
        let situation = Situation {
            repeatable,
            tainted,
            sent: u32::from(sent % 4),
            sent_max: 2,
            connect_failures: 0,
            time_left: left,
        };
        let may_have_run = tainted || matches!(ended, Ended::Failed | Ended::Broken);
        match attempt::after(ended, situation) {
            Next::GiveUp(Outcome::NotRun) => !may_have_run,
            Next::Elsewhere { .. } => (repeatable || !may_have_run) && situation.sent < 2,
            Next::PassOn => ended == Ended::Failed,
            Next::GiveUp(_) => true,
        }
    }
    quickcheck(property as fn(u8, bool, bool, u8, bool) -> bool);
}

/// The retries of all entries are counted within each window, for any distribution of requests and
/// retries over the entries.
#[test]
fn the_shared_budget_holds_in_every_window_over_all_entries() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let setting = Setting {
            ratio: 0.2,
            slack: 20.0,
            window: Duration::from_secs(2),
            ..Setting::default()
        };
        let entries = 4;
        let budget = |_| Budget::new(setting, Time::default());
        let mut budgets: Vec<Budget> = (0..entries).map(budget).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (step, (pick, retry)) in steps.iter().enumerate() {
            let now = Time::from_millis(1_000 + step as u64 * 20);
            let budget = &mut budgets[usize::from(*pick) % entries];
            budget.request(setting, now);
            requests.push(now);
            let spent = retry.then(|| budget.reserve(setting, entries, now));
            if let Some(retry) = spent.flatten() {
                budget.arrived(retry, now);
                retries.push(now);
            }
        }
        requests.iter().all(|&end| {
            let within = |at: &Time| *at <= end && end.since(*at) <= setting.window;
            let asked = requests.iter().filter(|at| within(at)).count() as f64;
            let spent = retries.iter().filter(|at| within(at)).count() as f64;
            spent <= setting.ratio * asked + setting.slack
        })
    }
    quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn waves_leave_replicas_serving_in_each_hall_and_end_before_the_bound() {
    let setting = rollout::Setting::default();
    let version = Digest::of(b"v2");
    let names: Vec<String> = (0..7).map(|index| format!("10.0.0.{index}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sizes = BTreeMap::new();
    for name in &hosts {
        let wave = rollout::wave(version, name, &hosts, setting.waves);
        assert!(rollout::wave_start(setting, wave) < setting.bound);
        *sizes.entry(wave).or_insert(0) += 1;
    }
    assert_eq!(sizes.len(), setting.waves as usize);
    assert!(sizes.values().all(|size| *size <= 3));
}

#[test]
fn a_longer_bound_gives_more_waves_with_enough_time_for_each() {
    let waves = |bound_ms| {
        let bound = Duration::from_millis(bound_ms);
        let setting = rollout::Setting::for_bound(bound, Policy::default());
        let begins: Vec<Duration> = (0..setting.waves)
            .map(|wave| rollout::wave_start(setting, wave))
            .collect();
        assert_eq!(*begins.last().unwrap(), bound - setting.margin);
        let first = Duration::from_millis(3_400);
        assert_eq!(begins[0], first, "the transfer has enough time");
        let apart = begins.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(apart.min().unwrap() >= Duration::from_millis(1_200));
        setting.waves
    };
    assert_eq!([8_000, 10_000, 13_400].map(waves), [4, 5, 8]);
    let forced = Policy::with(["waves=3"]).unwrap();
    let setting = rollout::Setting::for_bound(Duration::from_secs(10), forced);
    assert_eq!(setting.waves, 3);
}

#[test]
fn the_waves_of_all_hosts_are_the_waves_of_each_host() {
    let version = Digest::of(b"v2");
    let names: Vec<String> = (0..41).map(|index| format!("10.0.0.{index}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let all = rollout::assign_waves(version, hosts.iter().copied(), 5);
    for name in &hosts {
        assert_eq!(all[*name], rollout::wave(version, name, &hosts, 5));
    }
}

/// Guards against all late replicas changing at once, when none of them takes requests. This
/// happens if weights arrive after the planned times of some waves, here by 3 s because the origin
/// was down.
#[test]
fn late_waves_share_the_remaining_time() {
    let bound = Duration::from_millis(13_400);
    let setting = rollout::Setting::for_bound(bound, Policy::default());
    let last = bound - setting.margin;
    let complete = rollout::wave_start(setting, 0) + Duration::from_secs(3);
    let begins = |wave| rollout::wave_start_after(setting, wave, complete);
    let waves: Vec<Duration> = (0..setting.waves).map(begins).collect();
    assert_eq!((waves[0], waves[waves.len() - 1]), (complete, last));
    let gaps = waves.windows(2).map(|pair| pair[1] - pair[0]);
    let (shortest, longest) = (gaps.clone().min(), gaps.max());
    assert!(longest.unwrap() - shortest.unwrap() < Duration::from_millis(1));
    // With weights in time the plan holds; after the last wave's time there is nothing left to
    // share.
    for complete in [Duration::ZERO, last] {
        let wave = setting.waves - 1;
        assert_eq!(rollout::wave_start_after(setting, wave, complete), last);
    }
}

#[test]
fn no_wave_is_planned_before_a_slow_origin_can_have_sent_the_weights() {
    let bound = Duration::from_millis(13_400);
    let setting = rollout::Setting::for_bound(bound, Policy::default());
    let copy = |millis| Some(Duration::from_millis(millis));
    let narrow = setting.with_transfer_time(copy(4_300), Policy::default());
    assert!(rollout::wave_start(narrow, 0) >= Duration::from_millis(5_100));
    assert_eq!(
        rollout::wave_start(narrow, narrow.waves - 1),
        bound - narrow.margin
    );
    // The transfer to a box takes this long over the box's own link, however fast the origin's is.
    assert_eq!(
        setting.with_transfer_time(copy(1_300), Policy::default()),
        setting
    );
    assert_eq!(setting.with_transfer_time(None, Policy::default()), setting);
}

#[test]
fn a_version_change_is_ordered_only_after_all_weights_arrived_and_notice_was_given() {
    let setting = rollout::Setting::default();
    let state = rollout::State {
        desired: 2,
        published_at: NOW,
        loaded: Some(1),
        busy: false,
        complete_since: None,
        wave: 0,
        notice_since: None,
    };
    let last = rollout::wave_start(setting, setting.waves - 1);
    let late = NOW + last - setting.notice;
    assert_eq!(rollout::step(state, setting, late), rollout::Step::Receive);
    let complete = rollout::State {
        complete_since: Some(NOW),
        ..state
    };
    assert_eq!(
        rollout::step(complete, setting, NOW),
        rollout::Step::AwaitWave
    );
    assert_eq!(
        rollout::step(
            rollout::State {
                wave: setting.waves - 1,
                ..complete
            },
            setting,
            late
        ),
        rollout::Step::BeginNotice
    );
    let noticed = rollout::State {
        notice_since: Some(late),
        ..complete
    };
    assert_eq!(
        rollout::step(noticed, setting, late),
        rollout::Step::AwaitNotice
    );
    let told = late + setting.notice;
    assert_eq!(rollout::step(noticed, setting, told), rollout::Step::Order);
    // After the planned time no entry sends it requests any more, so no notice is needed.
    let overdue = NOW + last;
    assert_eq!(
        rollout::step(complete, setting, overdue),
        rollout::Step::Order
    );
    let empty = rollout::State {
        loaded: None,
        ..complete
    };
    assert_eq!(rollout::step(empty, setting, NOW), rollout::Step::Order);
    let held = rollout::State {
        loaded: Some(2),
        ..complete
    };
    assert_eq!(rollout::step(held, setting, late), rollout::Step::Idle);
}

fn events(count: u64) -> Vec<u8> {
    (1..=count)
        .flat_map(|number| format!("id: {number}\ndata: token {number}\n\n").into_bytes())
        .collect()
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
    fn property(count: u8, cuts: Vec<u8>) -> bool {
        let all = events(u64::from(count));
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        let mut rest = &all[..];
        for cut in cuts {
            let (part, tail) = rest.split_at(usize::from(cut).min(rest.len()));
            out.extend_from_slice(&splitter.push(Bytes::copy_from_slice(part)).unwrap());
            rest = tail;
        }
        out.extend_from_slice(&splitter.push(Bytes::copy_from_slice(rest)).unwrap());
        out == all && !splitter.is_partial() && splitter.forwarded() == u64::from(count)
    }
    quickcheck(property as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn a_resumed_stream_has_each_event_once() {
    let all = events(9);
    let half = all.len() / 2;
    let mut splitter = Splitter::default();
    let mut out = splitter
        .push(Bytes::copy_from_slice(&all[..half]))
        .unwrap()
        .to_vec();
    assert!(splitter.is_partial());
    // The second replica resumes slightly before the requested event.
    let mut successor = Splitter::after(splitter.last());
    out.extend_from_slice(&successor.push(Bytes::from(all.clone())).unwrap());
    splitter.resume(successor);
    assert_eq!(out, all);
    assert_eq!(splitter.last(), Some(9));
    assert_eq!(splitter.forwarded(), 9);
    assert!(!splitter.is_partial());
}

#[test]
fn a_list_with_weights_that_replicas_have_lost_is_detected() {
    let mut pool = pool_of((1..=4).map(|host| record(host, 1)).collect(), None);
    assert!(!pool.mostly_invalidated("tutor"));
    let keys = pool.by_service("tutor").to_vec();
    pool.invalidate(keys[0]);
    assert!(
        !pool.mostly_invalidated("tutor"),
        "a single replica may just have been replaced"
    );
    pool.invalidate(keys[1]);
    assert!(pool.mostly_invalidated("tutor"));
}

#[test]
fn the_arrival_of_weights_is_estimated_from_the_transfer_rate_so_far() {
    let mut pool = pool_of(vec![record(1, 1)], None);
    let progress = |held| Load {
        chunks_held: held,
        chunks: 64,
        models: Vec::new(),
        ..report(0, 0, 1)
    };
    pool.report(address(1), &progress(0), NOW);
    assert_eq!(
        pool.weights_eta("tutor", NOW),
        None,
        "no chunk has arrived yet"
    );
    let later = NOW + Duration::from_millis(500);
    pool.report(address(1), &progress(16), later);
    let arrival = pool.weights_eta("tutor", later).unwrap();
    // 48 more chunks at 32 per second, and the time to load them.
    assert!(arrival > Duration::from_millis(1_500) && arrival < Duration::from_millis(2_500));
    let nearer = pool.weights_eta("tutor", later + Duration::from_millis(300));
    assert_eq!(nearer, Some(arrival - Duration::from_millis(300)));
    pool.report(address(1), &report(0, 0, 1), later);
    assert_eq!(pool.weights_eta("tutor", later), None, "it holds them");
}
