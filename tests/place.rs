//! Slot leases: many entries send a burst of requests to few replicas, each with outdated reports.
//! Leases are granted by the sidecars, which know the current load, so that no replica is
//! overloaded while another has free slots.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::routing::Engine;
use pumicelatch::lease::{Ledger, Request, Response};
use pumicelatch::limit::retry::{Fingerprint, Rejection};
use pumicelatch::member::replica::LoadedModel;
use pumicelatch::route::estimate::{self, Backlog, Demand};
use pumicelatch::route::pool::Key;
use pumicelatch::route::replica::Load;
use pumicelatch::route::search::{Reply, Search, Step};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

const NOW: Time = Time::from_millis(50_000);

/// An engine of a size that a fleet has hundreds of: 8 slots, 65 ms to prefill a prompt.
fn engine() -> Engine {
    Engine {
        slots: 8,
        memory_tokens: 317_000,
        step_ms: 13.9,
        sequence_ms: 0.0348,
        context_ms_per_thousand: 0.0483,
        read_per_s: 13_800.0,
        pairs_ms_per_million: 0.0,
        stride: 5,
        mean_prompt_tokens: 900.0,
        mean_answer_tokens: 70.0,
        models: vec!["model".into()],
        chunks: 96,
        chunk_bytes: 24_576,
        incomplete: false,
    }
}

fn load(running: u32, queued: u32) -> Load {
    Load {
        running,
        queued,
        pace: 1.0,
        alive: true,
        models: vec![LoadedModel {
            model: "model".into(),
            version: 1,
        }],
        ..Load::default()
    }
}

fn ask(limit_ms: u64) -> Request {
    Request {
        prompt: 900,
        output: 70,
        limit_ms,
        queue_spread: 200,
        ..Request::default()
    }
}

fn granted(ledger: &mut Ledger, ask: Request, load: Load, now: Time) -> bool {
    ledger.answer(&ask, load, Some(&engine()), now).given
}

/// Limit for a lease on a free slot: one prompt to prefill first, and all other slots taken.
fn immediate_limit_ms() -> u64 {
    let work = Backlog {
        requests: 7,
        prompt_tokens: 900.0,
        pace: 1.0,
    };
    let demand = Demand {
        prompt: 900,
        output: 70,
    };
    estimate::first_event(&engine(), work, demand, 200).as_millis() as u64
}

#[test]
fn concurrent_entries_do_not_all_get_a_lease_on_the_same_slot() {
    let mut ledger = Ledger::default();
    ledger.observe(7, NOW);
    // Thirty entries have read that one of eight slots is free.
    let leases =
        (0..30).filter(|_| granted(&mut ledger, ask(immediate_limit_ms()), load(7, 0), NOW));
    assert_eq!(leases.count(), 1);
}

#[test]
fn each_lease_counts_as_a_prompt_to_prefill() {
    let mut ledger = Ledger::default();
    ledger.observe(0, NOW);
    let leases =
        (0..30).filter(|_| granted(&mut ledger, ask(immediate_limit_ms()), load(0, 0), NOW));
    // One prompt in prefill and one behind it; a third would be late by a whole prefill.
    assert_eq!(leases.count(), 2);
    let answer = ledger.answer(&ask(immediate_limit_ms()), load(0, 0), Some(&engine()), NOW);
    assert_eq!(answer.load.in_progress(), 2);
}

#[test]
fn a_lease_takes_a_slot_however_short_its_prompt() {
    let short = |limit_ms| Request {
        prompt: 1,
        ..ask(limit_ms)
    };
    let mut ledger = Ledger::default();
    ledger.observe(6, NOW);
    // Both free slots are granted, with time to spare, and no slot beyond those.
    let leases = (0..30).filter(|_| granted(&mut ledger, short(150), load(6, 0), NOW));
    assert_eq!(leases.count(), 2);
}

/// Guards against estimates that ignore long prefills. With prompts of 400 to 4,000 tokens, a long
/// one makes its iteration five times as long, and a request that arrives meanwhile waits for its
/// end. Counting half an iteration without prefill put the first event up to 200 ms later than
/// expected.
#[test]
fn a_request_that_arrives_during_a_long_prefill_waits_for_its_iteration() {
    let at = |ms| NOW + Duration::from_millis(ms);
    let expected = |ledger: &mut Ledger, now| {
        // A limit of zero grants nothing, so asking changes nothing.
        let answer = ledger.answer(&ask(0), load(3, 0), Some(&engine()), now);
        answer.expected_ms.unwrap()
    };
    let mut ledger = Ledger::default();
    ledger.observe(3, NOW);
    let alone = expected(&mut ledger, NOW);
    let long = Request {
        prompt: 4_000,
        ..ask(2_000)
    };
    assert!(granted(&mut ledger, long, load(3, 0), NOW));
    // It is prefilled in the next iteration, together with whatever arrives before that begins.
    let prefill = estimate::prefill(&engine(), 4_000, 1.0).as_millis() as u64;
    let same_iteration = expected(&mut ledger, NOW);
    assert!(
        same_iteration.abs_diff(alone + prefill) <= 3,
        "{same_iteration}"
    );
    // Half an iteration later it is being prefilled: a new request waits for the rest of that
    // iteration and one more.
    ledger.observe(4, at(60));
    let iteration = estimate::iteration(&engine(), 3, 1.0).as_millis() as u64;
    let during = expected(&mut ledger, at(60));
    assert!(
        during > prefill && during < same_iteration + iteration,
        "{during}"
    );
    assert!(expected(&mut ledger, at(200)) < during - 100);
    // After its prefill, a new request is alone again.
    assert!(expected(&mut ledger, at(900)).abs_diff(alone) <= 3);
}

/// An entry refuses a request and asks for leases for others. The caller retries at another entry
/// of the hall, which asks a replica that the first entry has asked since.
#[test]
fn a_retry_is_recognized_by_another_entrys_refusal() {
    let entry = |number: u8| std::net::SocketAddr::from(([10, 0, 0, number], 80));
    let request = Fingerprint::of([b"/summary".as_slice()]);
    let refused = Rejection {
        request,
        age_ms: 300,
        left_ms: 4_000,
    };
    let mut ledger = Ledger::default();
    let message = Request {
        from: Some(entry(1)),
        refused: vec![refused],
        ..ask(0)
    };
    ledger.answer(&message, load(3, 0), Some(&engine()), NOW);
    let retry = |limit_ms, late_ms| Request {
        from: Some(entry(2)),
        request: Some(request),
        whole_ms: limit_ms,
        late_ms,
        ..ask(limit_ms)
    };
    let first_try = Request {
        request: Some(Fingerprint::of([b"/other".as_slice()])),
        ..retry(400, 100)
    };
    assert!(granted(
        &mut Ledger::default(),
        first_try.clone(),
        load(3, 0),
        NOW
    ));
    let answer = ledger.answer(&retry(400, 100), load(3, 0), Some(&engine()), NOW);
    assert_eq!((answer.given, answer.tried_before_ms), (false, Some(300)));
    // The other entry learns of it once, and would refuse by itself from then on.
    assert_eq!(answer.refused, [refused]);
    let answer = ledger.answer(&retry(700, 100), load(3, 0), Some(&engine()), NOW);
    assert!(answer.given, "400 ms of its objective are left");
    assert_eq!(answer.refused, []);
    assert!(
        ledger
            .answer(&first_try, load(3, 0), Some(&engine()), NOW)
            .tried_before_ms
            .is_none()
    );
}

#[test]
fn a_longer_limit_grants_a_place_in_the_queue() {
    let mut ledger = Ledger::default();
    ledger.observe(8, NOW);
    assert!(!granted(
        &mut ledger,
        ask(immediate_limit_ms()),
        load(8, 0),
        NOW
    ));
    assert!(!granted(&mut ledger, ask(500), load(8, 0), NOW));
    assert!(granted(&mut ledger, ask(700), load(8, 0), NOW));
}

#[test]
fn a_lease_ends_when_its_request_arrives_or_when_it_expires() {
    let at = |ms| NOW + Duration::from_millis(ms);
    let mut ledger = Ledger::default();
    ledger.observe(3, NOW);
    for _ in 0..2 {
        assert!(granted(&mut ledger, ask(2_000), load(3, 0), NOW));
    }
    ledger.observe(4, at(10));
    assert_eq!(ledger.leased(), 1, "one has come");
    ledger.observe(4, at(30));
    assert_eq!(ledger.leased(), 1, "the other is on its way");
    ledger.observe(4, at(100));
    assert_eq!(ledger.leased(), 0, "its entry is gone");
}

#[test]
fn a_replica_that_is_switching_dead_or_without_weights_grants_no_lease() {
    let refuses = |load: Load| !granted(&mut Ledger::default(), ask(60_000), load, NOW);
    let free = load(0, 0);
    assert!(!refuses(free.clone()));
    assert!(refuses(Load {
        switching: true,
        ..free.clone()
    }));
    assert!(refuses(Load {
        alive: false,
        ..free.clone()
    }));
    assert!(refuses(Load {
        models: Vec::new(),
        ..free
    }));
}

#[test]
fn leases_never_outnumber_grants_and_never_outlive_their_expiry() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut ledger = Ledger::default();
        let (mut now, mut grants) = (NOW, Vec::new());
        for (step, number) in steps {
            now = now + Duration::from_millis(u64::from(step % 40));
            if number % 3 == 0 {
                ledger.observe(u32::from(number % 20), now);
                grants.retain(|at: &Time| now.since(*at) < Duration::from_millis(60));
            } else if granted(&mut ledger, ask(u64::from(number) * 10), load(2, 0), now) {
                grants.push(now);
            }
            if ledger.leased() as usize > grants.len() {
                return false;
            }
        }
        true
    }
    quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

fn keys(count: usize) -> Vec<Key> {
    let mut table: SlotMap<Key, ()> = SlotMap::with_key();
    (0..count).map(|_| table.insert(())).collect()
}

/// A refusal where the first event is expected after `expected` ms and the limit is 500 ms.
fn queued(expected: u64) -> Reply {
    Reply::Queued {
        expected: Duration::from_millis(expected),
        limit: Duration::from_millis(500),
    }
}

#[test]
fn the_best_replica_is_asked_again_when_none_has_a_free_slot() {
    let keys = keys(3);
    let mut search = Search::new(3);
    for (key, expected) in keys.iter().zip([420, 310, 450]) {
        assert_eq!(search.step(), Step::Probe);
        search.record(*key, queued(expected));
    }
    assert_eq!(search.step(), Step::Retry(keys[1]));
    search.record(keys[1], queued(600));
    assert_eq!(search.step(), Step::Decide);
    assert_eq!(search.probed().len(), 3);
    // It would be late by now: its first answer, from before other requests arrived, no longer
    // counts.
    assert_eq!(search.best(), Some((Duration::from_millis(600), keys[1])));
}

#[test]
fn late_and_unavailable_replicas_are_not_asked_again() {
    let keys = keys(2);
    let mut search = Search::new(2);
    search.record(keys[0], queued(700));
    search.record(keys[1], Reply::Unavailable);
    assert_eq!(search.step(), Step::Decide);
    assert_eq!(search.best(), Some((Duration::from_millis(700), keys[0])));
}

#[test]
fn one_unresponsive_sidecar_ends_the_search() {
    let keys = keys(2);
    let mut search = Search::new(3);
    search.timed_out(keys[0]);
    assert_eq!(search.step(), Step::Decide);
}

/// A replica in the simulation below: its ledger and the end times of its requests.
#[derive(Default)]
struct SimulatedReplica {
    ledger: Ledger,
    ends: Vec<Time>,
    shown: u32,
}

impl SimulatedReplica {
    fn answer(&mut self, limit_ms: u64, now: Time) -> Response {
        let load = load(self.shown, 0);
        self.ledger
            .answer(&ask(limit_ms), load, Some(&engine()), now)
    }

    fn observe(&mut self, now: Time) {
        self.shown = self.ends.len() as u32;
        self.ledger.observe(self.shown, now);
    }
}

/// Simulates a hall of 24 replicas with 8 slots each, under a load of 80% of the slots, with
/// entries that choose at random, as they do when all reports look alike. Returns how many of about
/// 700 requests find all slots of their replica taken.
fn simulate_burst(probes_max: u32) -> usize {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut replicas: Vec<SimulatedReplica> =
        (0..24).map(|_| SimulatedReplica::default()).collect();
    let keys = keys(replicas.len());
    let mut queued = 0;
    // 24 * 8 * 0.8 slots, each taken for 1.3 s.
    for step in 0..6_000 {
        let now = NOW + Duration::from_millis(step);
        for replica in &mut replicas {
            replica.ends.retain(|end| *end > now);
            if step % 100 == 0 {
                replica.observe(now);
            }
        }
        if !rng.random_bool(0.118) {
            continue;
        }
        let mut search = Search::new(probes_max);
        let chosen = loop {
            let at = match search.step() {
                Step::Probe => rng.random_range(0..replicas.len()),
                Step::Retry(key) => break keys.iter().position(|known| *known == key).unwrap(),
                Step::Decide => break rng.random_range(0..replicas.len()),
            };
            if search.probed().contains(&keys[at]) {
                continue;
            }
            let answer = replicas[at].answer(immediate_limit_ms(), now);
            if answer.given {
                break at;
            }
            let expected = Duration::from_millis(u64::from(answer.load.in_progress()));
            let limit = Duration::from_secs(2);
            search.record(keys[at], Reply::Queued { expected, limit });
        };
        let replica = &mut replicas[chosen];
        queued += usize::from(replica.ends.len() >= 8);
        replica.ends.push(now + Duration::from_millis(1_300));
    }
    queued
}

#[test]
fn a_hall_at_80_percent_load_is_filled_evenly() {
    let (at_random, with_leases) = (simulate_burst(0), simulate_burst(3));
    assert!(with_leases * 3 <= at_random, "{with_leases} of {at_random}");
}
