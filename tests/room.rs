//! Capacity by urgency: the model of a hall under the bursts of "orders", properties over random loads, levels at
//! entries, and peers of an earlier release.

mod common;

use std::time::Duration;

use common::hall::kind::{Burst, Kind};
use common::hall::site::{MODEL, load};
use common::hall::{self, Hall, NOW};
use pumicelatch::clock::Time;
use pumicelatch::config::routing::Engine;
use pumicelatch::lease::{self, DEFAULT_URGENCY, Ledger};
use pumicelatch::limit::room::{Claim, Room, Terms};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

const LIMIT: Duration = Duration::from_millis(360);
const MEMORY: Duration = Duration::from_secs(2);

/// Minimum share of what an urgency requests.
const SHARE_MIN: f64 = 0.25;

/// Seeds of the runs of which means are taken.
const SEEDS: [u64; 3] = [1, 2, 3];

fn engine() -> Engine {
    Engine {
        slots: 12,
        memory_tokens: 317_000,
        step_ms: 7.4,
        sequence_ms: 0.0387,
        context_ms_per_thousand: 0.0203,
        read_per_s: 31_900.0,
        pairs_ms_per_million: 0.733,
        stride: 7,
        mean_prompt_tokens: 950.0,
        mean_answer_tokens: 111.0,
        models: vec![MODEL.into()],
        chunks: 96,
        chunk_bytes: 24_576,
        incomplete: false,
    }
}

/// The load of "orders" on one of its three halls.
fn orders(seed: u64) -> hall::Setting {
    let kind = |name, prompt, output, per_s: f64, urgency, objective| Kind {
        name,
        prompt,
        prompt_max: 4.0 * prompt,
        output,
        variation: 1.0,
        share: per_s / 512.0,
        urgency,
        objective: Duration::from_millis(objective),
        burst: None,
    };
    hall::Setting {
        engine: engine(),
        kinds: vec![
            kind("order", 1_330.0, 126.0, 172.0, 0, 400),
            kind("price", 827.0, 126.0, 206.0, 1, 400),
            kind("hint", 647.0, 70.0, 134.0, 2, 800),
        ],
        paces: vec![1.0; 13],
        per_s: 512.0 * 13.0 / 40.0,
        swing: 0.22,
        duration: Duration::from_secs(22),
        deadline: Duration::from_secs(6),
        fair: true,
        urgencies: true,
        levels: true,
        retries: true,
        polled: true,
        seed,
    }
}

/// A burst of one kind.
#[derive(Clone, Copy)]
struct Scenario {
    kind: usize,
    factor: f64,
    until: Duration,
}

const FROM: Duration = Duration::from_secs(8);

impl Scenario {
    fn setting(self, seed: u64) -> hall::Setting {
        let mut setting = orders(seed);
        setting.kinds[self.kind].burst = Some(Burst {
            from: FROM,
            until: self.until,
            factor: self.factor,
        });
        setting
    }
}

/// Requests of one kind in a time span, and their engine time per second and replica.
#[derive(Clone, Copy, Default, Debug)]
struct Tally {
    requests: f64,
    in_time: f64,
    complete: f64,
    work: f64,
    work_done: f64,
}

fn tally(hall: &Hall, kind: usize, from: Duration, until: Duration) -> Tally {
    let mut tally = Tally::default();
    let span = until - from;
    let replicas = hall.setting.paces.len() as f64;
    for (request, seen) in hall.requests.iter().zip(&hall.seen) {
        if request.kind != kind || !(from..until).contains(&request.arrived.since(NOW)) {
            continue;
        }
        let objective = request.arrived + hall.setting.kinds[kind].objective;
        let in_time = seen.complete && seen.first_event.is_some_and(|first| first <= objective);
        // A step of a full engine takes 8.1 ms.
        let work_ms = f64::from(request.prompt) / 31.9 + f64::from(request.output) * 8.1 / 12.0;
        let work = work_ms / span.as_millis() as f64 / replicas;
        tally.requests += 1.0;
        tally.in_time += f64::from(u8::from(in_time));
        tally.complete += f64::from(u8::from(seen.complete));
        tally.work += work;
        tally.work_done += work * f64::from(u8::from(seen.complete));
    }
    tally
}

/// Mean shares in time and work of a burst.
#[derive(Debug)]
struct Outcome {
    in_time: [f64; 3],
    complete: [f64; 3],
    work: [f64; 3],
    /// Work done over the whole run.
    done: f64,
}

fn outcome(scenario: Scenario, urgencies: bool) -> Outcome {
    let mut outcome = Outcome {
        in_time: [0.0; 3],
        complete: [0.0; 3],
        work: [0.0; 3],
        done: 0.0,
    };
    let part = 1.0 / SEEDS.len() as f64;
    for seed in SEEDS {
        let hall = Hall::run(hall::Setting {
            urgencies,
            ..scenario.setting(seed)
        });
        for kind in 0..3 {
            let burst = tally(&hall, kind, FROM, scenario.until);
            outcome.in_time[kind] += part * burst.in_time / burst.requests;
            outcome.complete[kind] += part * burst.complete / burst.requests;
            outcome.work[kind] += part * burst.work;
            let all = tally(&hall, kind, Duration::ZERO, hall.setting.duration);
            outcome.done += part * all.work_done;
        }
    }
    outcome
}

const MOST_URGENT: Scenario = Scenario {
    kind: 0,
    factor: 2.2,
    until: Duration::from_secs(17),
};

const LEAST_URGENT: Scenario = Scenario {
    kind: 2,
    factor: 4.0,
    until: Duration::from_secs(18),
};

/// Guards against an urgency that is shut out by a burst, and against engines that idle meanwhile.
#[test]
fn bursts_leave_a_minimum_share_and_keep_engines_busy() {
    for scenario in [MOST_URGENT, LEAST_URGENT] {
        let (with, without) = (outcome(scenario, true), outcome(scenario, false));
        println!("burst: {with:.2?}; without the part {without:.2?}");
        let served = with.in_time;
        assert!(
            served.iter().all(|share| *share >= SHARE_MIN),
            "{served:.2?}"
        );
        assert!(with.done >= 0.95 * without.done);
        // The part serves more of the most urgent than engines alone do.
        assert!(served[0] > without.in_time[0]);
    }
}

/// Guards against a part that changes choices where all requests are equally urgent.
#[test]
fn one_urgency_is_served_as_without_the_part() {
    let seen = |urgency: Option<u8>| {
        let mut setting = orders(4);
        setting.duration = Duration::from_secs(8);
        for kind in &mut setting.kinds {
            kind.urgency = urgency.unwrap_or(DEFAULT_URGENCY);
        }
        // Without the part, the choice knows no urgencies.
        setting.urgencies = urgency.is_some();
        setting.levels = urgency.is_some();
        Hall::run(setting).seen
    };
    let without = seen(None);
    assert!(without.iter().any(|seen| seen.refusals > 0));
    for urgency in [0, 9] {
        assert_eq!(seen(Some(urgency)), without);
    }
}

fn at(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

fn claim(urgency: u8, expected: Duration) -> Claim {
    Claim {
        urgency,
        work: Duration::from_millis(100),
        first: true,
        expected,
        behind_all: expected,
        with_slot: expected.min(Duration::from_millis(130)),
        limit: LIMIT,
        ..Claim::default()
    }
}

/// A room after claims of these urgencies and expected times, 10 ms apart, and when the last was made.
fn room_after(claims: &[(u8, u16)], urgencies: u8) -> (Room, Time) {
    let (mut room, mut now) = (Room::default(), NOW);
    for (urgency, expected_ms) in claims {
        now = now + Duration::from_millis(10);
        let expected = Duration::from_millis(u64::from(expected_ms % 500));
        let claim = claim(urgency % urgencies, expected);
        let terms = room.terms(&claim, now);
        let given = terms.expected <= terms.limit;
        room.record(&claim, terms, given, now);
    }
    (room, now)
}

/// Guards against free slots that nobody gets: the most urgent always gets one, and so does any other
/// once no more urgent request was refused for an iteration.
#[test]
fn a_free_slot_is_granted_unless_a_more_urgent_request_was_just_refused() {
    fn property(claims: Vec<(u8, u16)>, urgency: u8) -> bool {
        let (mut room, now) = room_after(&claims, 10);
        let mut granted = |urgency: u8, now: Time| {
            let terms = room.terms(&claim(urgency, Duration::from_millis(130)), now);
            terms.expected <= terms.limit
        };
        granted(0, now) && granted(urgency % 10, now + Duration::from_millis(100))
    }
    quickcheck(property as fn(Vec<(u8, u16)>, u8) -> bool);
}

/// Guards against a load that is still remembered once it has ended for 2 s.
#[test]
fn an_ended_load_is_forgotten_within_2_s() {
    fn property(claims: Vec<(u8, u16)>, urgency: u8, expected_ms: u16) -> bool {
        let (mut room, now) = room_after(&claims, 10);
        let now = now + MEMORY;
        let claim = claim(urgency % 10, Duration::from_millis(expected_ms.into()));
        let terms = Terms {
            expected: claim.expected,
            limit: LIMIT,
        };
        room.terms(&claim, now) == terms && room.level(now).is_none()
    }
    quickcheck(property as fn(Vec<(u8, u16)>, u8, u16) -> bool);
}

/// Guards against limits that change although all requests are equally urgent.
#[test]
fn one_urgency_alone_is_not_limited() {
    fn property(claims: Vec<(u8, u16)>, expected_ms: u16) -> bool {
        let (mut room, now) = room_after(&claims, 1);
        let claim = claim(0, Duration::from_millis(expected_ms.into()));
        let terms = room.terms(&claim, now);
        terms.limit == LIMIT && terms.expected == claim.expected && room.level(now).is_none()
    }
    quickcheck(property as fn(Vec<(u8, u16)>, u16) -> bool);
}

/// Number of random loads that are tried.
const RANDOM_LOADS: u64 = 8;

fn ask(urgency: u8, limit_ms: u64) -> lease::Request {
    lease::Request {
        prompt: 900,
        output: 110,
        limit_ms,
        queue_spread: 130,
        urgency,
        first: true,
        ..lease::Request::default()
    }
}

/// Guards against levels and leases of an engine that is gone.
#[test]
fn a_restarted_engine_begins_without_levels() {
    let mut ledger = Ledger::default();
    let (full, engine) = (load(12, 2, 1.0), engine());
    // Both have got a part of what they ask for.
    for urgency in [0, 0, 2, 2] {
        ledger.answer(&ask(urgency, 5_000), load(0, 0, 1.0), Some(&engine), NOW);
    }
    for ms in 0..2 {
        for urgency in [0, 2] {
            ledger.answer(&ask(urgency, 360), full.clone(), Some(&engine), at(ms));
        }
    }
    let answer = ledger.answer(&ask(2, 360), full.clone(), Some(&engine), at(2));
    assert_eq!((answer.given, answer.level), (false, Some(0)));
    ledger.reset();
    let answer = ledger.answer(&ask(2, 360), load(11, 0, 1.0), Some(&engine), at(3));
    assert_eq!((answer.given, answer.level), (true, None));
}

/// Guards against urgencies outside of the range, which other processes may send.
#[test]
fn any_urgency_is_answered() {
    let mut ledger = Ledger::default();
    for urgency in [255, 0, 254, 255] {
        let answer = ledger.answer(&ask(urgency, 5_000), load(12, 1, 1.0), Some(&engine()), NOW);
        assert!(answer.given);
    }
}

/// Guards against a more urgent request that waits for less urgent ones in the queue, which the engine takes later.
#[test]
fn urgent_requests_count_only_what_is_ahead_of_them() {
    let mut ledger = Ledger::default();
    let engine = engine();
    let mut expected = |urgency, queued| {
        let answer = ledger.answer(
            &ask(urgency, 5_000),
            load(12, queued, 1.0),
            Some(&engine),
            NOW,
        );
        assert!(answer.given);
        answer.expected_ms.unwrap()
    };
    let first = expected(2, 0);
    // The lease of the first waits.
    let (urgent, less) = (expected(0, 0), expected(2, 0));
    assert!(urgent < less && less > first, "{first} {urgent} {less}");
}

/// The fields of an earlier release.
#[derive(Serialize, Deserialize)]
struct EarlierRequest {
    prompt: u32,
    output: u32,
    limit_ms: u64,
    queue_spread: u32,
}

#[derive(Serialize, Deserialize)]
struct EarlierResponse {
    given: bool,
    load: pumicelatch::route::replica::Load,
}

fn converted<T: Serialize, U: for<'a> Deserialize<'a>>(message: &T) -> U {
    rmp_serde::from_slice(&rmp_serde::to_vec_named(message).unwrap()).unwrap()
}

/// Guards against messages that an earlier release doesn't understand, or that aren't understood from it.
#[test]
fn peers_of_an_earlier_release_are_understood() {
    let earlier = EarlierRequest {
        prompt: 900,
        output: 110,
        limit_ms: 360,
        queue_spread: 130,
    };
    let request: lease::Request = converted(&earlier);
    assert!(request.first && request.urgency == DEFAULT_URGENCY);
    let earlier: EarlierRequest = converted(&request);
    assert_eq!((earlier.prompt, earlier.limit_ms), (900, 360));

    let earlier = EarlierResponse {
        given: true,
        load: load(1, 0, 1.0),
    };
    let response: lease::Response = converted(&earlier);
    assert!(response.given && response.level.is_none());
    let response = lease::Response {
        level: Some(1),
        ..response
    };
    let earlier: EarlierResponse = converted(&response);
    assert!(earlier.given);
}

/// What fell short of a goal.
#[derive(Default)]
struct Misses(Vec<String>);

impl Misses {
    fn at_least(&mut self, what: &str, share: f64, goal: f64) {
        if share < goal {
            self.0.push(format!("{what}: {share:.2}, goal {goal:.2}"));
        }
    }

    /// The more urgent are served no less than the less urgent, by over 5 in 100 of their requests.
    fn in_order(&mut self, what: &str, served: [f64; 3]) {
        for (urgency, pair) in served.windows(2).enumerate() {
            let what = format!("{what}: urgency {urgency} against the next");
            self.at_least(&what, pair[0] - pair[1], -0.05);
        }
    }
}

/// Bursts of the most and of the least urgent kind. Engines do 0.94 of a second's work per second. In the
/// first, urgency 0 asks for 1.13 and the others keep a quarter of 0.77, so 0.66 of urgency 0 can be
/// served; in the second, 0.22 of the 0.53 that urgency 1 asks for is left, 0.42.
fn burst_goals(misses: &mut Misses) {
    let most = outcome(MOST_URGENT, true);
    misses.at_least("2.2 times urgency 0, urgency 0", most.in_time[0], 0.90);
    misses.in_order("2.2 times urgency 0", most.complete);
    let least = outcome(LEAST_URGENT, true);
    misses.at_least("4 times urgency 2, urgency 0", least.in_time[0], 0.95);
    misses.at_least("4 times urgency 2, urgency 1", least.in_time[1], 0.85);
    misses.in_order("4 times urgency 2", least.complete);
}

/// A flood that calls itself urgent leaves a quarter to the others.
fn flood_goals(misses: &mut Misses) {
    let mut setting = orders(5);
    setting.duration = Duration::from_secs(12);
    setting.kinds[0].share *= 6.0;
    let hall = Hall::run(setting);
    for kind in [1, 2] {
        let tally = tally(&hall, kind, Duration::from_secs(2), hall.setting.duration);
        let what = format!("6 times urgency 0, work of urgency {kind}");
        misses.at_least(&what, tally.work_done / tally.work, SHARE_MIN);
    }
}

/// Random loads of a hall: order of urgency, and work done.
fn random_goals(misses: &mut Misses) {
    let mut rng = SmallRng::seed_from_u64(1_207);
    for load in 0..RANDOM_LOADS {
        let mut setting = orders(rng.random());
        setting.paces.truncate(rng.random_range(3..=12));
        setting.per_s = rng.random_range(8.0..20.0) * setting.paces.len() as f64;
        for kind in &mut setting.kinds {
            kind.share = rng.random_range(0.1..0.6);
        }
        let run = |urgencies| {
            let hall = Hall::run(hall::Setting {
                urgencies,
                ..setting.clone()
            });
            [0, 1, 2].map(|kind| tally(&hall, kind, Duration::ZERO, hall.setting.duration))
        };
        let (with, without) = (run(true), run(false));
        let done = |tallies: [Tally; 3]| tallies.iter().map(|tally| tally.work_done).sum::<f64>();
        let what = format!("random load {load}");
        misses.at_least(&what, done(with) / done(without), 0.95);
        misses.in_order(&what, with.map(|tally| tally.complete / tally.requests));
    }
}

/// Guards against bursts and random loads in which the more urgent are not served first, or the least
/// urgent get nothing.
#[test]
#[ignore = "goals of docs/HARD-LOAD.md that are missed; issue 55"]
fn goals_under_hard_load_are_met() {
    let mut misses = Misses::default();
    burst_goals(&mut misses);
    flood_goals(&mut misses);
    random_goals(&mut misses);
    assert!(misses.0.is_empty(), "{:#?}", misses.0);
}
