//! Many entries send a burst of requests to few replicas, each with an old picture of them: places
//! are given by who knows them, so that no replica is rushed while another has room.

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

/// An engine of the size of which hundreds stand in a fleet: 8 places, 65 ms to read a prompt.
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

fn given(ledger: &mut Ledger, ask: Request, load: Load, now: Time) -> bool {
    ledger.answer(&ask, load, Some(&engine()), now).given
}

/// The limit of a place at once: one prompt to be read before, and all other slots taken.
fn tight_ms() -> u64 {
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
fn entries_that_ask_at_the_same_moment_are_not_all_given_the_same_free_place() {
    let mut ledger = Ledger::default();
    ledger.observe(7, NOW);
    // Thirty entries have read that one place of eight is free.
    let places = (0..30).filter(|_| given(&mut ledger, ask(tight_ms()), load(7, 0), NOW));
    assert_eq!(places.count(), 1);
}

#[test]
fn each_place_on_its_way_counts_as_a_prompt_to_read() {
    let mut ledger = Ledger::default();
    ledger.observe(0, NOW);
    let places = (0..30).filter(|_| given(&mut ledger, ask(tight_ms()), load(0, 0), NOW));
    // One that is read, and one behind it: a third would be late by a whole prompt.
    assert_eq!(places.count(), 2);
    let answer = ledger.answer(&ask(tight_ms()), load(0, 0), Some(&engine()), NOW);
    assert_eq!(answer.load.in_progress(), 2);
}

#[test]
fn a_place_on_its_way_takes_a_slot_however_short_its_prompt() {
    let short = |limit_ms| Request {
        prompt: 1,
        ..ask(limit_ms)
    };
    let mut ledger = Ledger::default();
    ledger.observe(6, NOW);
    // Both free slots, with time to spare, and none of those that are not there.
    let places = (0..30).filter(|_| given(&mut ledger, short(150), load(6, 0), NOW));
    assert_eq!(places.count(), 2);
}

/// Prompts of 400 to 4,000 tokens. A long one makes the pass in which it is read five times as long, and who comes
/// meanwhile waits for its end: that came up to 200 ms later than expected while half a plain pass was counted.
#[test]
fn who_comes_while_a_long_prompt_is_read_waits_for_the_end_of_its_pass() {
    let at = |ms| NOW + Duration::from_millis(ms);
    let expected = |ledger: &mut Ledger, now| {
        // Nothing is given within no time at all, so that asking changes nothing.
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
    assert!(given(&mut ledger, long, load(3, 0), NOW));
    // It is read in the next pass together with whoever comes before that begins.
    let read = estimate::prefill(&engine(), 4_000, 1.0).as_millis() as u64;
    let together = expected(&mut ledger, NOW);
    assert!(together.abs_diff(alone + read) <= 3, "{together}");
    // Half a pass later it is being read: the rest of that pass, and one more.
    ledger.observe(4, at(60));
    let pass = estimate::iteration(&engine(), 3, 1.0).as_millis() as u64;
    let meanwhile = expected(&mut ledger, at(60));
    assert!(
        meanwhile > read && meanwhile < together + pass,
        "{meanwhile}"
    );
    assert!(expected(&mut ledger, at(200)) < meanwhile - 100);
    // Once it is read, a newcomer is alone again.
    assert!(expected(&mut ledger, at(900)).abs_diff(alone) <= 3);
}

/// An entry refuses a request and asks for places for others; its caller comes back to another entry of the hall, and
/// to a replica that the first one asked since.
#[test]
fn a_caller_who_comes_back_is_known_through_what_another_entry_refused() {
    let entry = |number: u8| std::net::SocketAddr::from(([10, 0, 0, number], 80));
    let request = Fingerprint::of([b"/summary".as_slice()]);
    let refused = Rejection {
        request,
        age_ms: 300,
        left_ms: 4_000,
    };
    let mut ledger = Ledger::default();
    let told = Request {
        from: Some(entry(1)),
        refused: vec![refused],
        ..ask(0)
    };
    ledger.answer(&told, load(3, 0), Some(&engine()), NOW);
    let back = |limit_ms, late_ms| Request {
        from: Some(entry(2)),
        request: Some(request),
        whole_ms: limit_ms,
        late_ms,
        ..ask(limit_ms)
    };
    let stranger = Request {
        request: Some(Fingerprint::of([b"/other".as_slice()])),
        ..back(400, 100)
    };
    assert!(given(
        &mut Ledger::default(),
        stranger.clone(),
        load(3, 0),
        NOW
    ));
    let answer = ledger.answer(&back(400, 100), load(3, 0), Some(&engine()), NOW);
    assert_eq!((answer.given, answer.tried_before_ms), (false, Some(300)));
    // The other entry hears of it, once, and so would refuse by itself.
    assert_eq!(answer.refused, [refused]);
    let answer = ledger.answer(&back(700, 100), load(3, 0), Some(&engine()), NOW);
    assert!(answer.given, "400 ms of its objective are left");
    assert_eq!(answer.refused, []);
    assert!(
        ledger
            .answer(&stranger, load(3, 0), Some(&engine()), NOW)
            .tried_before_ms
            .is_none()
    );
}

#[test]
fn a_longer_limit_opens_the_queue() {
    let mut ledger = Ledger::default();
    ledger.observe(8, NOW);
    assert!(!given(&mut ledger, ask(tight_ms()), load(8, 0), NOW));
    assert!(!given(&mut ledger, ask(500), load(8, 0), NOW));
    assert!(given(&mut ledger, ask(700), load(8, 0), NOW));
}

#[test]
fn a_lease_ends_when_its_request_is_shown_and_when_it_does_not_come() {
    let at = |ms| NOW + Duration::from_millis(ms);
    let mut ledger = Ledger::default();
    ledger.observe(3, NOW);
    for _ in 0..2 {
        assert!(given(&mut ledger, ask(2_000), load(3, 0), NOW));
    }
    ledger.observe(4, at(10));
    assert_eq!(ledger.leased(), 1, "one has come");
    ledger.observe(4, at(30));
    assert_eq!(ledger.leased(), 1, "the other is on its way");
    ledger.observe(4, at(100));
    assert_eq!(ledger.leased(), 0, "its entry is gone");
}

#[test]
fn a_replica_that_changes_its_weights_is_dead_or_has_none_gives_no_place() {
    let refuses = |load: Load| !given(&mut Ledger::default(), ask(60_000), load, NOW);
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
fn leases_never_outnumber_places_given_and_never_outlive_their_time() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut ledger = Ledger::default();
        let (mut now, mut grants) = (NOW, Vec::new());
        for (step, number) in steps {
            now = now + Duration::from_millis(u64::from(step % 40));
            if number % 3 == 0 {
                ledger.observe(u32::from(number % 20), now);
                grants.retain(|at: &Time| now.since(*at) < Duration::from_millis(60));
            } else if given(&mut ledger, ask(u64::from(number) * 10), load(2, 0), now) {
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

#[test]
fn the_least_behind_is_asked_again_when_nobody_has_a_place_at_once() {
    let keys = keys(3);
    let mut search = Search::new(3, Duration::from_millis(500));
    for (key, expected) in keys.iter().zip([420, 310, 450]) {
        assert_eq!(search.step(), Step::Probe);
        search.record(*key, Reply::Queued(Duration::from_millis(expected)));
    }
    assert_eq!(search.step(), Step::Retry(keys[1]));
    search.record(keys[1], Reply::Queued(Duration::from_millis(600)));
    assert_eq!(search.step(), Step::Decide);
    assert_eq!(search.probed().len(), 3);
    // It would be late by now: what it said at first, before others came, is not sent by.
    assert_eq!(search.best(), Some((Duration::from_millis(600), keys[1])));
}

#[test]
fn nobody_is_asked_again_who_would_be_late_or_takes_nothing() {
    let keys = keys(2);
    let mut search = Search::new(2, Duration::from_millis(500));
    search.record(keys[0], Reply::Queued(Duration::from_millis(700)));
    search.record(keys[1], Reply::Unavailable);
    assert_eq!(search.step(), Step::Decide);
    assert_eq!(search.best(), Some((Duration::from_millis(700), keys[0])));
}

#[test]
fn one_silent_process_ends_the_search() {
    let keys = keys(2);
    let mut search = Search::new(3, Duration::from_millis(500));
    search.timed_out(keys[0]);
    assert_eq!(search.step(), Step::Decide);
}

/// A replica in the load below: its ledger and when its requests end.
#[derive(Default)]
struct Box {
    ledger: Ledger,
    ends: Vec<Time>,
    shown: u32,
}

impl Box {
    fn answer(&mut self, limit_ms: u64, now: Time) -> Response {
        let load = load(self.shown, 0);
        self.ledger
            .answer(&ask(limit_ms), load, Some(&engine()), now)
    }

    fn look(&mut self, now: Time) {
        self.shown = self.ends.len() as u32;
        self.ledger.observe(self.shown, now);
    }
}

/// A hall of 24 replicas of 8 places and a storm that asks for 8 tenths of them, through entries that
/// choose at random, as those do whose reports all look alike. Returns how many of 700 requests
/// find all places of their replica taken.
fn storm(asks: u32) -> usize {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut boxes: Vec<Box> = (0..24).map(|_| Box::default()).collect();
    let keys = keys(boxes.len());
    let mut waiting = 0;
    // 24 * 8 * 0.8 places, each taken for 1.3 s.
    for step in 0..6_000 {
        let now = NOW + Duration::from_millis(step);
        for place in &mut boxes {
            place.ends.retain(|end| *end > now);
            if step % 100 == 0 {
                place.look(now);
            }
        }
        if !rng.random_bool(0.118) {
            continue;
        }
        let mut search = Search::new(asks, Duration::from_secs(2));
        let chosen = loop {
            let at = match search.step() {
                Step::Probe => rng.random_range(0..boxes.len()),
                Step::Retry(key) => break keys.iter().position(|known| *known == key).unwrap(),
                Step::Decide => break rng.random_range(0..boxes.len()),
            };
            if search.probed().contains(&keys[at]) {
                continue;
            }
            let answer = boxes[at].answer(tight_ms(), now);
            if answer.given {
                break at;
            }
            let expected = Duration::from_millis(u64::from(answer.load.in_progress()));
            search.record(keys[at], Reply::Queued(expected));
        };
        let place = &mut boxes[chosen];
        waiting += usize::from(place.ends.len() >= 8);
        place.ends.push(now + Duration::from_millis(1_300));
    }
    waiting
}

#[test]
fn a_hall_at_eight_tenths_is_filled_evenly() {
    let (at_random, by_places) = (storm(0), storm(3));
    assert!(by_places * 3 <= at_random, "{by_places} of {at_random}");
}
