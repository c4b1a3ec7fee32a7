//! Late service: late leases at a sidecar, and the queue of held requests at an entry.

mod common;

use std::time::Duration;

use common::hall::kind::{Burst, Kind};
use common::hall::late as late_service;
use common::hall::{self, Hall};
use pumicelatch::clock::Time;
use pumicelatch::config::routing::Engine;
use pumicelatch::lease::late::{Late, Situation};
use pumicelatch::lease::{Ledger, Request};
use pumicelatch::limit::late::{
    self, ASK_INTERVAL, Capacity, HELD_MAX, Place, Queue, RECHECK_INTERVAL, Step, Waiting,
};
use pumicelatch::limit::retry::{Fingerprint, Rejection};
use pumicelatch::member::replica::LoadedModel;
use pumicelatch::policy::Policy;
use pumicelatch::route::replica::Load;
use quickcheck::quickcheck;

const NOW: Time = Time::from_millis(50_000);
const LIMIT: Duration = Duration::from_millis(400);
const RESPONSE: Duration = Duration::from_millis(1_500);

/// The engine of the customer "orders".
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
        mean_answer_tokens: 112.0,
        models: vec!["model".into()],
        chunks: 96,
        chunk_bytes: 24_576,
        incomplete: false,
    }
}

fn load(running: u32) -> Load {
    Load {
        running,
        pace: 1.0,
        alive: true,
        models: vec![LoadedModel {
            model: "model".into(),
            version: 1,
        }],
        ..Load::default()
    }
}

fn at(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

fn message(late: bool, prompt: u32) -> Request {
    let limit_ms = LIMIT.as_millis() as u64;
    Request {
        prompt,
        output: 112,
        limit_ms: if late { limit_ms / 4 } else { limit_ms },
        whole_ms: limit_ms,
        late_ms: limit_ms / 4,
        queue_spread: 130,
        late,
        ..Request::default()
    }
}

fn given(ledger: &mut Ledger, message: &Request, running: u32, now: Time) -> bool {
    ledger
        .answer(message, load(running), Some(&engine()), now)
        .given
}

/// Guards against retries that are refused while slots are free: with a limit of 100 ms, an iteration
/// with one prefill is too long.
#[test]
fn a_late_request_gets_a_free_slot_that_its_limit_would_not_give_it() {
    let mut ledger = Ledger::default();
    ledger.observe(8, NOW);
    assert!(given(&mut ledger, &message(false, 950), 8, NOW));
    let late = message(true, 950);
    let as_before = Request {
        late: false,
        ..late.clone()
    };
    assert!(!given(&mut ledger, &as_before, 8, at(10)));
    let mut ledger = Ledger::default();
    ledger.observe(8, NOW);
    assert!(given(&mut ledger, &message(false, 950), 8, NOW));
    ledger.observe(9, at(200));
    assert!(given(&mut ledger, &late, 9, at(200)));
}

#[test]
fn no_late_lease_without_a_free_slot() {
    let mut ledger = Ledger::default();
    ledger.observe(12, NOW);
    assert!(!given(&mut ledger, &message(true, 950), 12, NOW));
    ledger.observe(11, at(100));
    assert!(given(&mut ledger, &message(true, 950), 11, at(100)));
    assert!(!given(&mut ledger, &message(true, 950), 11, at(101)));
}

/// Guards against late requests that take what the next request in time would need.
#[test]
fn no_late_lease_while_requests_in_time_are_refused() {
    let mut ledger = Ledger::default();
    ledger.observe(4, NOW);
    assert!(given(&mut ledger, &message(false, 950), 4, NOW));
    // A prompt whose prefill alone takes longer than the limit.
    assert!(!given(&mut ledger, &message(false, 20_000), 4, at(10)));
    assert!(!given(&mut ledger, &message(true, 100), 4, at(290)));
    assert!(given(&mut ledger, &message(true, 100), 4, at(330)));
}

/// Guards against a retry that is recognised as such and then counts as a refused request in time.
#[test]
fn a_refused_retry_does_not_count_as_a_refused_request_in_time() {
    let request = Fingerprint::of([b"/report".as_slice()]);
    let mut ledger = Ledger::default();
    ledger.observe(4, NOW);
    let first = Request {
        refused: vec![Rejection {
            request,
            age_ms: 1_000,
            left_ms: 4_000,
        }],
        ..message(false, 950)
    };
    assert!(given(&mut ledger, &first, 4, NOW));
    let retry = Request {
        request: Some(request),
        ..message(false, 20_000)
    };
    assert!(!given(&mut ledger, &retry, 4, at(100)));
    assert!(given(&mut ledger, &message(true, 100), 4, at(200)));
}

#[test]
fn late_requests_hold_a_quarter_of_the_slots_while_requests_in_time_arrive() {
    let late = message(true, 50);
    let grants = |in_time: bool| {
        let mut ledger = Ledger::default();
        let (mut running, mut granted) = (0, 0);
        for step in 0..40 {
            let now = at(step * 100);
            ledger.observe(running, now);
            if in_time {
                // Its only token is generated before the next step.
                assert!(given(&mut ledger, &message(false, 50), running, now));
            }
            if given(&mut ledger, &late, running, now) {
                granted += 1;
                running += 1;
            }
            if step == 9 {
                break;
            }
        }
        granted
    };
    assert_eq!(grants(true), 3);
    assert_eq!(grants(false), 10);
}

/// After a late lease, the next request in time is expected within half of its limit.
#[test]
fn a_late_lease_leaves_the_next_request_in_time_half_of_its_limit() {
    fn property(arrivals: Vec<(bool, u16, u8)>) -> bool {
        let mut ledger = Ledger::default();
        let (mut now, mut running) = (NOW, 0);
        let mut in_time_at = None;
        for (late, prompt, gap) in arrivals {
            now = now + Duration::from_millis(u64::from(gap % 64));
            running = (running + u32::from(gap % 3)) % 12;
            ledger.observe(running, now);
            let request = message(late, u32::from(prompt % 4_000));
            let granted = given(&mut ledger, &request, running, now);
            if !late {
                in_time_at = Some(now);
            }
            let in_time_arrives = in_time_at.is_some_and(|at| now.since(at).as_millis() < 300);
            let next = Request {
                // Estimates are rounded to a millisecond.
                limit_ms: LIMIT.as_millis() as u64 / 2 + 1,
                ..message(false, engine().mean_prompt_tokens as u32)
            };
            if late && granted && in_time_arrives {
                in_time_at = Some(now);
                if !given(&mut ledger, &next, running, now) {
                    return false;
                }
            }
        }
        true
    }
    quickcheck(property as fn(Vec<(bool, u16, u8)>) -> bool);
}

/// What was granted in time is prefilled within its limit also if a late request joins its iteration.
#[test]
fn a_late_lease_does_not_delay_granted_requests_beyond_their_limits() {
    fn property(granted: Vec<(u16, u16)>, prefilled_ms: u16) -> bool {
        let mut late = Late::default();
        let mut due = Vec::new();
        for (limit_ms, expected_ms) in granted {
            let limit = Duration::from_millis(u64::from(limit_ms % 500));
            let expected = Duration::from_millis(u64::from(expected_ms % 500)).min(limit);
            late.record(limit, expected, true, NOW);
            due.push((NOW + expected, NOW + limit));
        }
        let prefilled = Duration::from_millis(u64::from(prefilled_ms % 500));
        let situation = Situation {
            slots: 12,
            in_progress: 4,
            current_end: prefilled / 2,
            prefilled,
            next_expected: prefilled,
        };
        let admitted = late.admits(situation, NOW);
        let behind = |(expected, _): &&(Time, Time)| *expected > NOW + prefilled / 2;
        !admitted
            || due
                .iter()
                .filter(behind)
                .all(|(_, due)| NOW + prefilled <= *due)
    }
    quickcheck(property as fn(Vec<(u16, u16)>, u16) -> bool);
}

fn waiting(urgency: u8, deadline_ms: u64, now: Time) -> Waiting {
    Waiting {
        urgency,
        deadline: at(deadline_ms),
        response: RESPONSE,
        since: now,
        slots: 12,
    }
}

fn enter(queue: &mut Queue, urgency: u8, deadline_ms: u64, now: Time) -> Place {
    let held = queue.len();
    queue
        .enter(waiting(urgency, deadline_ms, now), held)
        .unwrap()
}

#[test]
fn only_the_most_urgent_with_the_earliest_deadline_asks() {
    let mut queue = Queue::default();
    let later = enter(&mut queue, 1, 4_000, NOW);
    let urgent = enter(&mut queue, 0, 5_000, NOW);
    let earlier = enter(&mut queue, 1, 3_000, NOW);
    let mut step = |place, ms| queue.step(place, Capacity::Present, at(ms));
    assert_eq!(step(later, 0), Step::Wait(RECHECK_INTERVAL));
    assert_eq!(step(earlier, 0), Step::Wait(RECHECK_INTERVAL));
    assert_eq!(step(urgent, 0), Step::Ask);
    // It does not ask again while it asks, nor before the interval is over.
    assert!(matches!(step(urgent, 10), Step::Wait(_)));
    queue.asked(urgent, false, at(20));
    let mut step = |place, ms| queue.step(place, Capacity::Present, at(ms));
    assert_eq!(
        step(urgent, 20),
        Step::Wait(ASK_INTERVAL - Duration::from_millis(20))
    );
    assert_eq!(step(urgent, 50), Step::Ask);
    // After a success, the next one asks at once.
    queue.asked(urgent, true, at(60));
    let mut step = |place, ms| queue.step(place, Capacity::Present, at(ms));
    assert_eq!(step(earlier, 60), Step::Ask);
    assert_eq!(step(later, 60), Step::Wait(RECHECK_INTERVAL));
    queue.leave(earlier);
    assert_eq!(queue.head(), Some(later));
}

/// Guards against the memory of bodies that pile up, and against a full queue that shuts out the more
/// urgent.
#[test]
fn a_full_queue_holds_the_more_urgent_instead_of_the_last() {
    let mut queue = Queue::default();
    let places: Vec<Place> = (0..HELD_MAX as u64)
        .map(|number| enter(&mut queue, 1, 4_000 + number, NOW))
        .collect();
    assert_eq!(queue.enter(waiting(2, 4_000, NOW), HELD_MAX), None);
    let urgent = enter(&mut queue, 0, 6_000, NOW);
    assert_eq!((queue.len(), queue.head()), (HELD_MAX, Some(urgent)));
    let last = places[HELD_MAX - 1];
    assert_eq!(queue.step(last, Capacity::Present, NOW), Step::GiveUp);
    // The entry may be full of requests of other services.
    assert_eq!(
        Queue::default().enter(waiting(0, 4_000, NOW), HELD_MAX),
        None
    );
}

/// Guards against callers that wait for nothing.
#[test]
fn a_request_is_held_for_a_tenth_of_its_time_without_evidence_of_capacity() {
    let mut queue = Queue::default();
    let place = enter(&mut queue, 1, 4_000, NOW);
    for ms in (0..=300).step_by(50) {
        assert_eq!(queue.step(place, Capacity::Present, at(ms)), Step::Ask);
        queue.asked(place, false, at(ms));
    }
    assert_eq!(queue.step(place, Capacity::Present, at(321)), Step::GiveUp);
    assert_eq!(queue.step(place, Capacity::Absent, NOW), Step::GiveUp);
}

/// Guards against retries that are refused in the middle of a burst although it ends while they could
/// still be served, and against retries that are held during a long overload.
#[test]
fn a_retry_is_held_for_as_long_as_a_shortage_of_its_age_lasts() {
    let held_until = |shortage_ms: u64| {
        let mut queue = Queue::default();
        for ms in (0..=20_000).step_by(500) {
            if ms == shortage_ms {
                break;
            }
            queue.refused(at(ms));
        }
        let place = enter(&mut queue, 1, shortage_ms + 4_000, at(shortage_ms));
        let mut ms = shortage_ms;
        loop {
            queue.refused(at(ms));
            match queue.step(place, Capacity::Present, at(ms)) {
                Step::Ask => queue.asked(place, false, at(ms)),
                Step::Wait(_) => {}
                Step::GiveUp => return ms - shortage_ms,
            }
            ms += 20;
        }
    };
    // It is expected to last for twice its age, and the trial follows.
    assert!(
        (1_900..=2_400).contains(&held_until(2_000)),
        "{}",
        held_until(2_000)
    );
    // It would outlast the request.
    assert!(held_until(3_000) <= 340, "{}", held_until(3_000));
    assert!(held_until(20_000) <= 340);
}

#[test]
fn a_request_that_the_rate_of_service_does_not_reach_in_time_gives_up() {
    let mut queue = Queue::default();
    let mut places: Vec<Place> = (0..40)
        .map(|number| enter(&mut queue, 1, 4_000 + number, NOW))
        .collect();
    // One is served each 100 ms.
    for ms in (0..=600).step_by(100) {
        let head = places.remove(0);
        assert_eq!(queue.step(head, Capacity::Present, at(ms)), Step::Ask);
        queue.asked(head, true, at(ms));
    }
    let mut step = |index: usize| queue.step(places[index], Capacity::Present, at(600));
    // The response has to begin within 1,900 ms.
    assert_eq!(step(18), Step::Wait(RECHECK_INTERVAL));
    assert_eq!(step(32), Step::GiveUp);
}

#[test]
fn weights_are_waited_for_if_they_arrive_in_time() {
    let mut queue = Queue::default();
    let place = enter(&mut queue, 1, 4_000, NOW);
    let arriving = |ms| Capacity::Arriving(Some(Duration::from_millis(ms)));
    assert_eq!(
        queue.step(place, arriving(2_000), NOW),
        Step::Wait(RECHECK_INTERVAL)
    );
    assert_eq!(queue.step(place, arriving(2_600), NOW), Step::GiveUp);
    // When they have arrived, it is held for a while longer.
    assert_eq!(
        queue.step(place, arriving(0), at(2_000)),
        Step::Wait(ASK_INTERVAL)
    );
    assert_eq!(queue.step(place, Capacity::Present, at(2_100)), Step::Ask);
    // Weights of which no arrival is known are waited for as capacity is.
    let mut queue = Queue::default();
    let place = enter(&mut queue, 1, 4_000, NOW);
    let unknown = Capacity::Arriving(None);
    assert_eq!(
        queue.step(place, unknown, at(320)),
        Step::Wait(RECHECK_INTERVAL)
    );
    assert_eq!(queue.step(place, unknown, at(321)), Step::GiveUp);
}

/// Whatever happens, no request is held when its response can no longer be complete, at most one asks
/// at a time, and no more are held than may be.
#[test]
fn held_requests_are_few_and_end_in_time() {
    fn property(events: Vec<(u8, u16, u8)>) -> bool {
        let mut queue = Queue::default();
        let mut held: Vec<(Place, Time)> = Vec::new();
        let mut asking: Option<Place> = None;
        let mut now = NOW;
        for (kind, value, urgency) in events {
            now = now + Duration::from_millis(u64::from(value % 90));
            if kind % 4 == 0 || held.is_empty() {
                let deadline = now + Duration::from_millis(u64::from(value % 6_000));
                let request = Waiting {
                    deadline,
                    ..waiting(urgency % 3, 0, now)
                };
                let count = queue.len();
                held.extend(queue.enter(request, count).map(|place| (place, deadline)));
                continue;
            }
            let index = usize::from(value) % held.len();
            let (place, deadline) = held[index];
            if kind % 4 == 1 {
                queue.leave(place);
                held.swap_remove(index);
                asking = asking.filter(|asking| *asking != place);
                continue;
            }
            if let Some(place) = asking.take_if(|_| kind % 4 == 2) {
                queue.asked(place, kind % 8 == 2, now);
                continue;
            }
            let step = queue.step(place, Capacity::Present, now);
            if step == Step::Ask && asking.replace(place).is_some() {
                return false;
            }
            if deadline.since(now) <= RESPONSE && step != Step::GiveUp {
                return false;
            }
            if queue.len() > HELD_MAX {
                return false;
            }
        }
        true
    }
    quickcheck(property as fn(Vec<(u8, u16, u8)>) -> bool);
}

/// Guards against retries that coincide, and against a delay that callers do not respect.
#[test]
fn retry_delays_are_spread_and_respected() {
    fn property(expected_ms: Option<u16>, remaining_ms: u16, spread: u8) -> bool {
        let remaining = Duration::from_millis(u64::from(remaining_ms));
        let expected = expected_ms.map(|ms| Duration::from_millis(ms.into()));
        let spread = f64::from(spread) / 256.0;
        let delay = late::retry_after(expected, remaining, spread);
        let apart = late::retry_after(expected, remaining, 1.0)
            - late::retry_after(expected, remaining, 0.0);
        let longest = (remaining * 32 / 100).max(Duration::from_millis(60));
        delay <= longest && (remaining < Duration::from_secs(1) || apart * 16 >= remaining)
    }
    quickcheck(property as fn(Option<u16>, u16, u8) -> bool);
    let remaining = Duration::from_secs(6);
    let soon = late::retry_after(Some(Duration::from_millis(200)), remaining, 0.0);
    let unknown = late::retry_after(None, remaining, 0.0);
    assert!(soon < unknown, "{soon:?} {unknown:?}");
}

#[test]
fn a_policy_setting_switches_late_service_off() {
    assert!(Policy::default().late);
    assert!(!Policy::with(["late=0"]).unwrap().late);
}

/// Guards against messages of earlier releases that are taken for late requests.
#[test]
fn a_request_for_a_lease_without_the_field_is_not_late() {
    let mut value = serde_json::to_value(message(true, 1)).unwrap();
    value.as_object_mut().unwrap().remove("late");
    let read: Request = serde_json::from_value(value).unwrap();
    assert!(!read.late);
}

/// Entries of the modelled hall, as many as it has replicas.
const REPLICAS: usize = 12;

/// Requests per second that the replicas of the modelled hall carry.
const CARRIED_PER_S: f64 = 100.0;

const DEADLINE: Duration = Duration::from_secs(6);

/// The kinds of the customer "orders", whose load is `factor` times the usual one for a while.
fn setting(duration: Duration, load: f64, burst: Option<Burst>, seed: u64) -> hall::Setting {
    let kind = |name, prompt, output, share, urgency, objective_ms| Kind {
        name,
        prompt,
        prompt_max: 4_000.0,
        output,
        variation: 0.5,
        share,
        urgency,
        objective: Duration::from_millis(objective_ms),
        burst,
    };
    hall::Setting {
        engine: engine(),
        kinds: vec![
            kind("urgent", 1_330.0, 126.0, 0.34, 0, 400),
            kind("usual", 827.0, 126.0, 0.40, 1, 400),
            kind("least", 647.0, 70.0, 0.26, 2, 800),
        ],
        paces: vec![1.0; REPLICAS],
        per_s: CARRIED_PER_S * load,
        swing: 0.0,
        duration,
        deadline: DEADLINE,
        fair: true,
        urgencies: false,
        levels: false,
        polled: false,
        retries: true,
        seed,
    }
}

/// What callers saw, as shares of all requests unless said otherwise.
#[derive(Debug, Clone, Copy, Default)]
struct Shares {
    served: f64,
    /// First attempts whose first event was in time.
    in_time: f64,
    /// Requests refused twice.
    failed_retries: f64,
    /// Part of the time left for which requests were held that were then refused, on average.
    held_in_vain: f64,
}

fn shares(hall: &Hall) -> Shares {
    // The last requests of the model have no time to end.
    let end = hall::NOW + hall.setting.duration;
    let ended = |caller: &usize| hall.requests[*caller].arrived + DEADLINE < end;
    let callers: Vec<usize> = (0..hall.requests.len()).filter(ended).collect();
    let share = |holds: &dyn Fn(usize) -> bool| {
        let count = callers.iter().filter(|caller| holds(**caller)).count();
        count as f64 / callers.len() as f64
    };
    let given_up = &hall.late.given_up;
    let parts = given_up
        .iter()
        .map(|held| held.held.as_secs_f64() / held.left.as_secs_f64());
    Shares {
        served: share(&|caller| hall.seen[caller].complete),
        in_time: share(&|caller| {
            let seen = hall.seen[caller];
            let objective = hall.setting.kinds[hall.requests[caller].kind].objective;
            let due = hall.requests[caller].arrived + objective;
            seen.refusals == 0 && seen.complete && seen.first_event.is_some_and(|at| at <= due)
        }),
        failed_retries: share(&|caller| hall.seen[caller].refusals > 1),
        held_in_vain: parts.sum::<f64>() / given_up.len().max(1) as f64,
    }
}

/// Mean shares over three seeds, without and with late service.
fn compare(setting: impl Fn(u64) -> hall::Setting, weightless: Option<Duration>) -> [Shares; 2] {
    [false, true].map(|on| {
        let runs = [1, 2, 3, 4, 5, 6].map(|seed| {
            let mut hall = Hall::new(setting(seed));
            hall.late = late_service::Service::at(REPLICAS, on, seed);
            hall.late.weights_at = weightless.map(|time| hall::NOW + time);
            for step in 0..hall.setting.duration.as_millis() as u64 {
                hall.step(step);
            }
            shares(&hall)
        });
        let mean = |of: fn(&Shares) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        Shares {
            served: mean(|shares| shares.served),
            in_time: mean(|shares| shares.in_time),
            failed_retries: mean(|shares| shares.failed_retries),
            held_in_vain: mean(|shares| shares.held_in_vain),
        }
    })
}

fn burst(load: f64) -> [Shares; 2] {
    let burst = Burst {
        from: Duration::from_secs(4),
        until: Duration::from_secs(8),
        factor: 1.6 / load,
    };
    let seconds = Duration::from_secs(24);
    compare(|seed| setting(seconds, load, Some(burst), seed), None)
}

fn restart(load: f64) -> [Shares; 2] {
    let seconds = Duration::from_secs(20);
    let weightless = Duration::from_millis(3_500);
    compare(|seed| setting(seconds, load, None, seed), Some(weightless))
}

fn overload(load: f64) -> [Shares; 2] {
    let seconds = Duration::from_secs(40);
    compare(|seed| setting(seconds, load, None, seed), None)
}

/// Asserts that late service raises the share of requests that are served by `gain` or more and costs
/// first attempts nothing beyond the spread of the model.
fn serves_more(name: &str, [without, with]: [Shares; 2], gain: f64) {
    println!("{name}: without {without:?}, with {with:?}");
    assert!(with.served >= without.served + gain, "{name}");
    assert!(with.in_time >= without.in_time - 0.01, "{name}");
}

fn fails_half_as_often([without, with]: [Shares; 2]) {
    assert!(
        with.failed_retries <= without.failed_retries / 2.0,
        "{} of {}",
        with.failed_retries,
        without.failed_retries
    );
}

/// Guards against retries that fail although the burst ends while they could still be served.
#[test]
fn retries_fail_half_as_often_in_a_burst() {
    let shares = burst(0.7);
    serves_more("burst, load 0.7", shares, 0.04);
    fails_half_as_often(shares);
}

/// Guards against late service that works only before engines with much capacity to spare.
#[test]
fn more_is_served_in_a_burst_on_busy_engines() {
    serves_more("burst, load 0.9", burst(0.9), 0.02);
}

/// Guards against callers that are refused twice while weights arrive.
#[test]
fn nearly_all_are_served_after_a_restart() {
    let shares = restart(0.5);
    serves_more("restart, load 0.5", shares, 0.08);
    assert!(shares[1].served >= 0.94, "{}", shares[1].served);
    fails_half_as_often(shares);
}

/// Guards against a backlog that takes the capacity of requests in time.
#[test]
fn more_is_served_after_a_restart_on_busy_engines() {
    for (load, gain) in [(0.7, 0.05), (0.9, 0.02), (1.0, 0.01)] {
        serves_more(&format!("restart, load {load}"), restart(load), gain);
    }
}

/// Guards against late service that takes capacity where there is none to spare.
#[test]
fn a_long_overload_serves_no_fewer() {
    for load in [1.05, 1.2, 1.6] {
        serves_more(&format!("overload {load}"), overload(load), 0.0);
    }
}

/// The goals for retries where a tenth of the capacity is left after a burst, and for what is held in
/// vain: its callers lose no more than a tenth of their time on average.
#[test]
#[ignore = "goals of docs/HARD-LOAD.md that are missed; issue 55"]
fn goals_under_hard_load_are_met() {
    let loads = [
        ("burst 0.7", burst(0.7)),
        ("burst 0.9", burst(0.9)),
        ("restart 0.5", restart(0.5)),
        ("restart 0.9", restart(0.9)),
        ("overload 1.2", overload(1.2)),
        ("overload 1.6", overload(1.6)),
    ];
    let held_longer = loads
        .iter()
        .filter(|(_, [_, with])| with.held_in_vain > 0.1);
    let mut misses: Vec<String> = held_longer
        .map(|(name, [_, with])| format!("{name}: held in vain for {:.3}", with.held_in_vain))
        .collect();
    let [without, with] = loads[1].1;
    if with.failed_retries > without.failed_retries / 2.0 {
        misses.push(format!(
            "{}: {:.3} refused twice, {:.3} without",
            loads[1].0, with.failed_retries, without.failed_retries
        ));
    }
    assert!(misses.is_empty(), "{misses:#?}");
}
