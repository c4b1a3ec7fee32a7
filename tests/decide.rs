//! Pure decisions about requests: outcomes, idempotency keys, routes, limits, proofs and the
//! version gate.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::auth::{self, Keyring, SKEW_MAX_MS};
use pumicelatch::clock::Time;
use pumicelatch::limit::{self, Customers, Target};
use pumicelatch::request::{
    Admission, Answer, Interruption, Key, Ledger, Next, Outcome, RetryBudget, Situation,
    after_interruption,
};
use pumicelatch::route::{Completion, Load, Query, ReplicaKey, Resource, Strategy, Table};
use pumicelatch::template::fleet::Priority;
use pumicelatch::version::{self, Command, EngineState, Fence, LoadState, LocalState};
use pumicelatch::weight::Digest;
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn every_situation() -> Vec<(Interruption, Situation)> {
    let breaks = [
        Interruption::NotReached,
        Interruption::NotAdmitted,
        Interruption::NoAnswer,
        Interruption::Lost,
        Interruption::MidAnswer,
    ];
    let mut all = Vec::new();
    for interruption in breaks {
        for bits in 0..64u32 {
            let bit = |place: u32| bits >> place & 1 == 1;
            all.push((
                interruption,
                Situation {
                    repeatable: bit(0),
                    keyed: bit(1),
                    resumable: bit(2),
                    tainted: bit(3),
                    begun: bit(4),
                    attempts: if bit(5) { 4 } else { 1 },
                    remaining_ms: 1_000,
                },
            ));
        }
    }
    all
}

#[test]
fn not_run_is_certain_and_uncertain_requests_never_run_again() {
    for (interruption, situation) in every_situation() {
        let next = after_interruption(interruption, situation, &mut RetryBudget::default());
        let may_have_run = situation.tainted
            || situation.begun
            || matches!(
                interruption,
                Interruption::NoAnswer | Interruption::Lost | Interruption::MidAnswer
            );
        let case = format!("{interruption:?} {situation:?}");
        match next {
            Next::GiveUp(Outcome::NotRun) => {
                assert!(!may_have_run, "{case}");
                assert!(
                    !situation.keyed || interruption == Interruption::NotAdmitted,
                    "{case}"
                );
            }
            Next::GiveUp(outcome) => assert_eq!(outcome, Outcome::Unknown, "{case}"),
            Next::Elsewhere => {
                assert!(situation.repeatable || !may_have_run, "{case}");
                assert!(!situation.keyed, "{case}");
                assert!(!situation.begun, "{case}: the caller has part of an answer");
            }
            Next::Resume => assert!(situation.resumable && !situation.keyed, "{case}"),
        }
    }
}

#[test]
fn retries_cannot_multiply_an_overload() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!(
        retries <= 10_000 / 10 + 20,
        "{retries} retries of 10000 requests"
    );
}

/// Events that can affect one idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// A caller sends the request through some entry: a message is in transit.
    Send,
    /// The oldest message in transit arrives, possibly as a duplicate.
    Deliver,
    /// The oldest message in transit is duplicated.
    Duplicate,
    /// The run succeeds.
    Done,
    /// The outcome of the run stays unknown.
    Lost,
    /// The target refused the run.
    NotRun,
    /// The box restarts with empty state.
    Restart,
}

const EVENTS: [Event; 7] = [
    Event::Send,
    Event::Deliver,
    Event::Duplicate,
    Event::Done,
    Event::Lost,
    Event::NotRun,
    Event::Restart,
];

/// Applies events to a real ledger. Returns how often the request ran. With `reuse_boot`, a
/// restarted box accepts keys from before its restart, which is the faulty variant.
fn runs(events: &[Event], reuse_boot: bool) -> u32 {
    let name: Arc<str> = "box".into();
    let mut boot = 1;
    let mut ledger = Ledger::new(boot, 8, 100);
    let key = ledger.issue(&name, "customer", 99).unwrap();
    let mut in_transit: VecDeque<Key> = VecDeque::new();
    let mut running = false;
    let mut ran = 0;
    for event in events {
        match event {
            Event::Send => in_transit.push_back(key.clone()),
            Event::Duplicate => in_transit.extend(in_transit.front().cloned()),
            Event::Deliver => {
                let Some(key) = in_transit.pop_front() else {
                    continue;
                };
                if ledger.admit(&key, "customer") == Admission::Run {
                    running = true;
                    ran += 1;
                }
            }
            Event::Done if running => {
                let body = "receipt".into();
                let content_type = String::new();
                ledger.done(
                    &key,
                    Answer {
                        status: 200,
                        content_type,
                        body,
                    },
                );
                running = false;
            }
            Event::Lost if running => {
                ledger.lost(&key);
                running = false;
            }
            Event::NotRun if running => {
                ledger.not_run(&key);
                running = false;
                ran -= 1;
            }
            Event::Restart => {
                boot += u64::from(!reuse_boot);
                ledger = Ledger::new(boot, 8, 100);
                if reuse_boot {
                    let _ = ledger.issue(&name, "customer", 99);
                }
                running = false;
            }
            Event::Done | Event::Lost | Event::NotRun => {}
        }
    }
    ran
}

/// Number of schedules of `depth` events that run the request more than once.
fn count_double_runs(depth: usize, reuse_boot: bool) -> u64 {
    let mut doubled = 0;
    let count = EVENTS.len().pow(depth as u32);
    let mut events = vec![Event::Send; depth];
    for number in 0..count {
        let mut rest = number;
        for event in &mut events {
            *event = EVENTS[rest % EVENTS.len()];
            rest /= EVENTS.len();
        }
        doubled += u64::from(runs(&events, reuse_boot) > 1);
    }
    doubled
}

#[test]
fn no_schedule_of_six_events_runs_a_key_twice() {
    assert_eq!(count_double_runs(6, false), 0);
}

#[test]
fn exploration_finds_the_double_run_of_a_box_that_reuses_its_boot_number() {
    assert!(count_double_runs(5, true) > 0);
}

#[test]
fn random_long_schedules_run_a_key_once() {
    fn holds(numbers: Vec<u8>) -> bool {
        let events: Vec<Event> = numbers
            .iter()
            .map(|number| EVENTS[*number as usize % EVENTS.len()])
            .collect();
        runs(&events, false) <= 1
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(1_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_full_ledger_drops_old_keys_permanently() {
    let name: Arc<str> = "box".into();
    let mut ledger = Ledger::new(1, 2, 100);
    let keys: Vec<Key> = (0..3)
        .map(|secret| ledger.issue(&name, "c", secret).unwrap())
        .collect();
    assert_eq!(ledger.admit(&keys[0], "c"), Admission::NoSuchKey);
    assert_eq!(ledger.admit(&keys[1], "other"), Admission::NoSuchKey);
    let guessed = Key {
        secret: 77,
        ..keys[1].clone()
    };
    assert_eq!(ledger.admit(&guessed, "c"), Admission::NoSuchKey);
    assert_eq!(ledger.admit(&keys[1], "c"), Admission::Run);
    assert_eq!(keys[1].to_string().parse(), Ok(keys[1].clone()));
}

fn resource() -> Resource {
    Resource::Version(Digest::of(b"v"))
}

fn load(in_flight: u32) -> Load {
    Load {
        serves: vec![resource()],
        leaving: false,
        boot: 1,
        in_flight,
        capacity: 10,
    }
}

fn table(count: usize) -> (Table, Vec<ReplicaKey>) {
    let mut table = Table::new("hall".into());
    let keys = (0..count)
        .map(|index| {
            let name: Arc<str> = format!("box-{index}").into();
            let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
            let key = table.add(&name, &"hall".into(), address);
            table.report(key, load(0), Time::default());
            key
        })
        .collect();
    (table, keys)
}

fn choose(
    table: &mut Table,
    tried: &[ReplicaKey],
    strategy: Strategy,
    now: Time,
) -> Option<ReplicaKey> {
    let resource = resource();
    let query = Query {
        resource: &resource,
        halls: &[],
        prefix: None,
        tried,
    };
    let mut rng = SmallRng::seed_from_u64(now.0);
    table
        .choose(query, strategy, now, &mut rng)
        .map(|choice| choice.replica)
}

const STRATEGIES: [Strategy; 4] = [
    Strategy::RoundRobin,
    Strategy::LeastOfTwo,
    Strategy::Expected,
    Strategy::Declared,
];

#[test]
fn no_strategy_chooses_a_target_that_is_leaving_silent_or_lacks_the_version() {
    for strategy in STRATEGIES {
        let (mut table, keys) = table(5);
        let mut leaving = load(0);
        leaving.leaving = true;
        table.report(keys[0], leaving, Time::default());
        table.report(keys[0], load(0), Time::default());
        table.set_listed_leaving(keys[1], true);
        let mut empty = load(0);
        empty.serves.clear();
        table.report(keys[2], empty, Time::default());
        let later = Time::from_millis(2_600);
        table.report(keys[4], load(0), later);
        for step in 0..50 {
            let chosen = choose(
                &mut table,
                &[],
                strategy,
                later + Duration::from_micros(step),
            );
            assert_eq!(chosen, Some(keys[4]), "{strategy:?}");
        }
        assert_eq!(choose(&mut table, &[keys[4]], strategy, later), None);
    }
}

#[test]
fn a_failed_target_is_ejected_and_probed_by_one_request_at_a_time() {
    let (mut table, keys) = table(2);
    let start = Time::default();
    table.begin(keys[0]);
    table.end(keys[0], Completion::Failed, start);
    for step in 0..20 {
        let now = start + Duration::from_millis(step);
        assert_eq!(
            choose(&mut table, &[], Strategy::RoundRobin, now),
            Some(keys[1])
        );
    }
    let later = start + Duration::from_millis(300);
    let chosen: Vec<_> = (0..10)
        .map(|_| choose(&mut table, &[], Strategy::RoundRobin, later))
        .collect();
    let tries = chosen
        .iter()
        .filter(|chosen| **chosen == Some(keys[0]))
        .count();
    assert_eq!(
        tries, 1,
        "one request tries it while the others go elsewhere"
    );
}

#[test]
fn the_least_loaded_is_preferred_and_own_requests_count_before_they_are_reported() {
    let (mut table, keys) = table(2);
    table.report(keys[0], load(9), Time::default());
    let mut to_second = 0;
    for step in 0..30 {
        let now = Time(step);
        let chosen = choose(&mut table, &[], Strategy::Expected, now).unwrap();
        table.begin(chosen);
        to_second += usize::from(chosen == keys[1]);
    }
    assert!(
        (15..30).contains(&to_second),
        "{to_second} of 30 went to the idle one"
    );
}

#[test]
fn a_target_admits_by_queue_deadline_and_priority() {
    let mut target = Target::default();
    target.set_capacity(2);
    let second = Duration::from_secs(1);
    for _ in 0..2 {
        target.check(Priority::Low, second).unwrap();
        target.begin(None);
    }
    target.begin(None);
    target.end(None, Some(Duration::from_millis(400)));
    assert!(target.check(Priority::High, second).is_ok());
    let short_deadline = target.check(Priority::High, Duration::from_millis(10));
    assert!(matches!(
        short_deadline,
        Err(limit::Refusal::Deadline { .. })
    ));
    let mut admitted = BTreeMap::new();
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        while target.check(priority, Duration::from_secs(60)).is_ok() {
            target.begin(None);
            *admitted.entry(priority).or_insert(0) += 1;
        }
    }
    assert!(
        admitted.contains_key(&Priority::High),
        "room is left for the urgent"
    );
    assert!(target.total() <= 10);
}

#[test]
fn a_flooding_customer_stays_within_its_limit() {
    let mut customers = Customers::default();
    let flood: Arc<str> = "flood".into();
    let taken = (0..100)
        .filter(|_| customers.begin(&flood, 7).is_ok())
        .count();
    assert_eq!(taken, 7);
    assert!(customers.begin(&"other".into(), 7).is_ok());
    customers.end(&flood);
    assert!(customers.begin(&flood, 7).is_ok());
}

fn key(name: &str, digit: &str) -> String {
    format!("{name}:{}", digit.repeat(64))
}

#[test]
fn a_proof_is_valid_only_for_its_request_key_and_time() {
    let old: Keyring = key("old", "1").parse().unwrap();
    let rotated: Keyring = format!("{},{}", key("new", "2"), key("old", "1"))
        .parse()
        .unwrap();
    let parts = ["path", "request"];
    let now = 1_000_000;
    let proof = old.sign(now, &parts);
    assert_eq!(rotated.verify(Some(&proof), now, &parts), Ok(()));
    assert_eq!(
        rotated.verify(Some(&proof), now, &["path", "other"]),
        Err(auth::Error::Mismatch)
    );
    assert_eq!(
        rotated.verify(Some(&proof), now, &["pathr", "equest"]),
        Err(auth::Error::Mismatch)
    );
    let late = now + SKEW_MAX_MS + 1;
    assert_eq!(
        rotated.verify(Some(&proof), late, &parts),
        Err(auth::Error::OutOfTime)
    );
    let signed = rotated.sign(now, &parts);
    assert_eq!(
        old.verify(Some(&signed), now, &parts),
        Err(auth::Error::UnknownKey)
    );
    assert_eq!(old.verify(None, now, &parts), Err(auth::Error::Missing));
    assert_eq!(
        old.verify(Some("x.y"), now, &parts),
        Err(auth::Error::Missing)
    );
    assert!("no-colon".parse::<Keyring>().is_err());
    assert!("short:abc".parse::<Keyring>().is_err());
}

#[test]
fn a_version_is_servable_only_when_all_conditions_hold() {
    for bits in 0..16u32 {
        let bit = |place: u32| bits >> place & 1 == 1;
        let local = LocalState {
            desired: bit(0),
            complete: bit(1),
            ordered: bit(2),
            in_flight: 0,
        };
        let residence = if bit(3) {
            LoadState::Loaded
        } else {
            LoadState::Loading
        };
        assert_eq!(version::servable(local, Some(residence)), bits == 15);
        assert!(!version::servable(local, None));
    }
}

#[test]
fn a_version_is_unloaded_only_when_no_configuration_and_no_request_needs_it() {
    let digest = Digest::of(b"v");
    let engine = EngineState {
        versions: [(digest, LoadState::Loaded)].into(),
        ..EngineState::default()
    };
    let steps = |wanted, in_flight| {
        let local = LocalState {
            desired: wanted,
            complete: true,
            in_flight,
            ordered: true,
        };
        version::plan(&[(digest, local)].into(), &engine)
    };
    assert_eq!(steps(true, 0), []);
    assert_eq!(steps(false, 1), []);
    assert_eq!(steps(false, 0), [Command::Unload(digest)]);
}

#[test]
fn a_new_process_outranks_every_fence_the_engine_has_seen() {
    let seen = Fence {
        incarnation: 5_000,
        revision: 9,
    };
    assert!(Fence::next_incarnation(seen, 100) > 5_000);
    assert!(Fence::next_incarnation(Fence::default(), 100) >= 100);
    let newer = Fence {
        incarnation: 5_001,
        revision: 0,
    };
    assert!(newer > seen, "a newer process outranks a newer revision");
}
