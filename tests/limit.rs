//! Admission beyond the usual: callers who come back, limits that adapt, guesses that are corrected.

use std::time::Duration;

use pumicelatch::limit::admission::{self, Bounds, Case, Verdict};
use pumicelatch::limit::returning::{Deadlines, Table};
use pumicelatch::policy::{self, Policy};
use pumicelatch::route::correction::Correction;
use quickcheck::quickcheck;

const TIMEOUT: Duration = Duration::from_secs(6);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_caller_of_whose_usual_time_a_part_is_gone_has_been_away() {
    let mut deadlines = Deadlines::default();
    assert!(!deadlines.note(millis(6_000), TIMEOUT));
    assert!(deadlines.note(millis(4_400), TIMEOUT));
    assert!(!deadlines.note(millis(5_990), TIMEOUT));
    // After a fault the first ones may all have been away.
    let mut anew = Deadlines::default();
    assert!(anew.note(millis(4_400), TIMEOUT));
    // A route whose callers have less time than it would hold them is learnt.
    let mut short = Deadlines::default();
    let last = (0..50).map(|_| short.note(millis(3_000), TIMEOUT)).last();
    assert_eq!(last, Some(false));
}

#[test]
fn who_is_to_come_back_heeds_it_and_is_spread() {
    fn property(arrival: u16, remaining: u16, one: u8, other: u8) -> bool {
        let arrival = millis(u64::from(arrival));
        let remaining = millis(u64::from(remaining) + 300);
        let spread = |draw: u8| {
            let part = f64::from(draw) / 255.0;
            admission::come_back(Some(arrival), remaining, part)
        };
        let heeded = spread(one) <= remaining / 3;
        let (low, high) = (one.min(other), one.max(other));
        heeded && spread(low) <= spread(high)
    }
    quickcheck(property as fn(u16, u16, u8, u8) -> bool);
    assert!(admission::come_back(Some(millis(900)), TIMEOUT, 0.0) == millis(900));
}

#[test]
fn a_limit_is_kept_whatever_its_case() {
    fn property(elapsed: u16, expected: u16, limit: u16, wait: u16) -> bool {
        let case = Case {
            elapsed: millis(elapsed.into()),
            remaining: TIMEOUT,
            expected: Some(millis(expected.into())),
        };
        let bounds = Bounds {
            limit: millis(limit.into()),
            wait: millis(wait.into()),
        };
        match admission::judge(case, bounds) {
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
        correction.note(correction.apply(guess), truth);
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

#[test]
fn deadlines_of_routes_that_are_gone_are_forgotten() {
    let mut table = Table::default();
    for round in 0..1_000 {
        let route = format!("route-{round}").into();
        table.note(&route, 8, millis(6_000), TIMEOUT);
        assert!(table.remembered() <= 9);
    }
    let last = "route-999".into();
    assert!(table.note(&last, 8, millis(4_400), TIMEOUT));
}
