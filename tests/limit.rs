//! Admission beyond the usual: callers who come back, limits that adapt, guesses that are corrected.

use std::net::SocketAddr;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::limit::admission::{self, Bounds, Input, Verdict};
use pumicelatch::limit::retry::{self, Fingerprint, History, Outbox};
use pumicelatch::policy::{self, Policy};
use pumicelatch::route::correction::Correction;
use quickcheck::quickcheck;

const TIMEOUT: Duration = Duration::from_secs(6);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const NOW: Time = Time::from_millis(50_000);

fn request(number: u32) -> Fingerprint {
    Fingerprint::of([b"/path".as_slice(), &number.to_le_bytes()])
}

/// Callers whose deadlines are 0.3 to 3 times the usual one, all of them for the first time, while a fifth of
/// what comes is refused. Taken for callers who come back by their deadlines, most were refused at once
/// while engines had places for all.
#[test]
fn first_comers_are_served_alike_whatever_their_deadlines() {
    let mut memory = History::default();
    for number in 0..2_000 {
        let deadline = millis(1_800 + u64::from(number) * 17 % 16_200);
        let now = NOW + millis(u64::from(number));
        assert_eq!(memory.first_try(request(number), now), None);
        if number % 5 == 0 {
            memory.record(request(number), now, now + deadline);
        }
    }
}

#[test]
fn who_was_refused_is_known_until_it_cannot_be_back_and_its_first_try_counts() {
    let mut memory = History::default();
    memory.record(request(1), NOW, NOW + millis(900));
    let back = NOW + millis(300);
    assert_eq!(memory.first_try(request(1), back), Some(NOW));
    memory.record(request(1), back, NOW + millis(900));
    assert_eq!(memory.first_try(request(1), back + millis(200)), Some(NOW));
    assert_eq!(memory.first_try(request(1), NOW + millis(901)), None);
    // The same asked again a minute later is a first try, and its own refusal counts from there.
    let anew = NOW + millis(60_000);
    memory.record(request(1), anew, anew + millis(900));
    assert_eq!(memory.first_try(request(1), anew + millis(100)), Some(anew));
    // 250 ms of 400 are gone: 150 are left. Later it is one of those who cannot be in time.
    let limit = |age| retry::remaining_limit(millis(400), millis(100), millis(age));
    assert_eq!(limit(250), millis(150));
    assert_eq!(limit(2_000), millis(100));
}

/// An overload of 2,000 refusals a second for a minute, at one hall.
#[test]
fn what_was_refused_is_remembered_within_bounds_and_mistaken_for_nothing_else() {
    let mut memory = History::default();
    for number in 0..120_000 {
        let now = NOW + millis(u64::from(number) / 2);
        memory.record(request(number), now, now + millis(2_000));
        assert!(memory.remembered() <= 4_096);
    }
    let now = NOW + millis(60_000);
    let strangers = (1_000_000..1_200_000).map(request);
    let mistaken = strangers.filter(|stranger| memory.first_try(*stranger, now).is_some());
    assert!(mistaken.count() < 200, "one in a thousand");
}

/// Three entries refuse and ask 15 processes for places, each a few times a second.
#[test]
fn a_refusal_is_told_with_the_next_questions_to_each_process_once() {
    let listener = |number: u8| SocketAddr::from(([10, 0, 0, number], 80));
    let mut log = Outbox::default();
    log.record(request(1), NOW, NOW + millis(3_000));
    let later = NOW + millis(80);
    let told = log.take_pending(listener(1), later);
    assert_eq!(told.len(), 1);
    assert_eq!(log.take_pending(listener(1), later), []);
    assert_eq!(log.take_pending(listener(2), later), told);
    let mut memory = History::default();
    memory.merge(told[0], later + millis(1));
    assert_eq!(
        memory.first_try(request(1), later + millis(1)),
        Some(NOW + millis(1))
    );
    for number in 0..1_000 {
        log.record(request(number), later, later + millis(3_000));
    }
    let told = log.take_pending(listener(1), later);
    let bytes = rmp_serde::to_vec_named(&told).unwrap();
    assert!(bytes.len() <= 24 * 12 + 3, "{} bytes", bytes.len());
    // Nobody is told of callers who can't be back.
    assert_eq!(log.take_pending(listener(3), later + millis(3_001)), []);
}

#[test]
fn who_is_to_come_back_heeds_it_and_is_spread() {
    fn property(arrival: u16, remaining: u16, one: u8, other: u8) -> bool {
        let arrival = millis(u64::from(arrival));
        let remaining = millis(u64::from(remaining) + 300);
        let spread = |draw: u8| {
            let part = f64::from(draw) / 255.0;
            admission::retry_after(Some(arrival), remaining, part)
        };
        let heeded = spread(one) <= remaining / 3;
        let (low, high) = (one.min(other), one.max(other));
        heeded && spread(low) <= spread(high)
    }
    quickcheck(property as fn(u16, u16, u8, u8) -> bool);
    assert!(admission::retry_after(Some(millis(900)), TIMEOUT, 0.0) == millis(900));
}

#[test]
fn a_limit_is_kept_whatever_its_case() {
    fn property(elapsed: u16, expected: u16, limit: u16, wait: u16) -> bool {
        let case = Input {
            elapsed: millis(elapsed.into()),
            remaining: TIMEOUT,
            expected: Some(millis(expected.into())),
        };
        let bounds = Bounds {
            limit: millis(limit.into()),
            wait: millis(wait.into()),
        };
        match admission::evaluate(case, bounds) {
            Verdict::Send => case.elapsed + millis(expected.into()) <= bounds.limit,
            Verdict::Wait(pause) => case.elapsed + pause <= bounds.wait,
            Verdict::Refuse { retry_after } => !retry_after.is_zero(),
        }
    }
    quickcheck(property as fn(u16, u16, u16, u16) -> bool);
}

#[test]
fn estimates_from_guesses_come_near_what_is_observed() {
    let truth = millis(260);
    let mut correction = Correction::default();
    let guess = millis(80);
    for _ in 0..80 {
        correction.record(correction.apply(guess), truth);
    }
    let learnt = correction.apply(guess);
    assert!(learnt > millis(230) && learnt < millis(290), "{learnt:?}");
}

#[test]
fn every_mechanism_can_be_switched_off_by_its_name() {
    for name in policy::names() {
        let change = format!("{name}=0");
        let changed = Policy::with([change.as_str()]).unwrap();
        let set = format!("{name}=1");
        let other = Policy::with([set.as_str()]).unwrap();
        assert_ne!(changed, other, "{name}");
    }
    let unknown = Policy::with(["nothing=1"]).unwrap_err();
    assert!(matches!(unknown, policy::Error::Unknown(_)));
    assert!(Policy::with(["relays"]).is_err());
    assert!(Policy::with(["relays=-1"]).is_err());
}
