//! Requests under which replicas ended: what entries know alike, and when they send one again.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::member::replica::Instance;
use pumicelatch::request::poison::{MAX_CRASHES, Registry, RequestHash, Verdict};
use quickcheck::quickcheck;

const NOW: Time = Time::from_millis(3_600_000);

fn name() -> RequestHash {
    RequestHash::of("test.example", "/stream/x", "escola", b"body")
}

fn instance(number: u8) -> Instance {
    Instance {
        id: format!("i-{number}").into(),
        born: 1,
    }
}

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

/// An entry that knows of so many ends, the last of them at `NOW`.
fn knowing(ends: usize) -> Registry {
    let mut register = Registry::default();
    for number in 0..ends as u8 {
        register.record_crash(name(), instance(number), NOW);
    }
    register
}

#[test]
fn path_caller_and_body_name_a_request() {
    let other = [
        RequestHash::of("other.example", "/stream/x", "escola", b"body"),
        RequestHash::of("test.example", "/stream/y", "escola", b"body"),
        RequestHash::of("test.example", "/stream/x", "outra", b"body"),
        RequestHash::of("test.example", "/stream/x", "escola", b"bode"),
        // What one part ends with does not begin the next.
        RequestHash::of("test.example", "/stream/xe", "scola", b"body"),
    ];
    assert!(other.iter().all(|other| *other != name()));
}

#[test]
fn a_request_is_barred_by_the_third_end() {
    assert_eq!(
        knowing(MAX_CRASHES - 1).verdict(name(), NOW),
        Verdict::Allowed
    );
    assert_eq!(knowing(MAX_CRASHES).verdict(name(), NOW), Verdict::Blocked);
    let other = RequestHash::of("test.example", "/stream/x", "escola", b"other");
    assert_eq!(knowing(MAX_CRASHES).verdict(other, NOW), Verdict::Allowed);
}

#[test]
fn one_life_ends_once_whoever_tells_of_it() {
    let mut register = knowing(1);
    for seen_by in 1..5 {
        let mut other = Registry::default();
        other.record_crash(name(), instance(0), after(seen_by * 10));
        register.merge(&other.take_changes(after(100)), after(100));
    }
    assert_eq!(register.verdict(name(), after(100)), Verdict::Allowed);
    assert_eq!(register.case(name(), after(100)).unwrap().crashes.len(), 1);
}

#[test]
fn a_replica_that_starts_again_under_its_id_is_another_life() {
    let mut register = knowing(MAX_CRASHES - 1);
    let again = Instance {
        born: 2,
        ..instance(0)
    };
    register.record_crash(name(), again, NOW);
    assert_eq!(register.verdict(name(), NOW), Verdict::Blocked);
}

#[test]
fn a_whole_answer_takes_all_ends_before_it_back_at_all_entries() {
    let (mut one, mut other) = (knowing(MAX_CRASHES), Registry::default());
    other.merge(&one.reports(NOW), NOW);
    assert!(one.record_success(name(), after(500)));
    let told = one.take_changes(after(500));
    assert!(!other.merge(&told, after(520)).is_empty());
    assert_eq!(other.verdict(name(), after(520)), Verdict::Allowed);
    // Who has not heard it yet tells of the ends once more.
    let late = knowing(MAX_CRASHES).reports(after(600));
    assert!(one.merge(&late, after(600)).is_empty());
    assert_eq!(one.verdict(name(), after(600)), Verdict::Allowed);
}

#[test]
fn a_barred_request_is_tried_by_one_at_a_time_and_less_and_less_often() {
    let mut register = knowing(MAX_CRASHES);
    let mut tries = Vec::new();
    for second in 0..120 {
        let now = after(second * 1_000);
        // All others ask at the same moment.
        let given = (0..5).filter(|_| register.claim_trial(name(), now)).count();
        assert!(given <= 1);
        if given == 1 {
            tries.push(second);
            register.record_crash(name(), instance(100 + tries.len() as u8), now);
        }
    }
    assert_eq!(tries, [2, 22]);
}

/// Each try that fails has cost a replica, with all that ran there.
#[test]
fn three_tries_at_most_find_out_whether_it_has_become_good() {
    let mut register = knowing(MAX_CRASHES);
    let mut tries = Vec::new();
    for second in 0..3_600 {
        let now = after(second * 1_000);
        register.remove_expired(now);
        if register.claim_trial(name(), now) {
            tries.push(second);
            register.record_crash(name(), instance(100 + tries.len() as u8), now);
        }
    }
    assert_eq!(tries, [2, 22, 622]);
}

/// A caller who leaves before its try has come to an end leaves open whether it has become good.
#[test]
fn tries_that_came_to_nothing_are_followed_by_others() {
    let mut register = knowing(MAX_CRASHES);
    let tried = (0..2_000).filter(|second| register.claim_trial(name(), after(second * 1_000)));
    assert_eq!(tried.collect::<Vec<_>>(), [2, 22, 622, 1_222, 1_822]);
}

#[test]
fn what_was_learned_long_ago_is_forgotten() {
    let mut register = knowing(MAX_CRASHES - 1);
    register.remove_expired(after(1_000_000));
    assert!(register.case(name(), after(1_000_000)).is_none());
    let mut barred = knowing(MAX_CRASHES);
    barred.remove_expired(after(3_500_000));
    assert_eq!(barred.verdict(name(), after(3_500_000)), Verdict::TrialDue);
    barred.remove_expired(after(3_700_000));
    assert!(barred.case(name(), after(3_700_000)).is_none());
}

#[test]
fn many_requests_with_one_end_each_leave_those_with_more() {
    let mut register = knowing(2);
    for number in 0..5_000_u32 {
        let other = RequestHash::of("test.example", "/", "escola", &number.to_le_bytes());
        register.record_crash(other, instance(9), after(number.into()));
    }
    assert_eq!(register.case(name(), NOW).unwrap().crashes.len(), 2);
    // A single end is told once; heartbeats bring what matters.
    assert_eq!(register.reports(after(5_000)).len(), 1);
}

/// What one entry saw: the end of a life, or a whole answer.
fn saw(register: &mut Registry, (number, at): (u8, u16)) {
    let at = after(u64::from(at % 64) * 1_000);
    if number % 8 == 7 {
        register.record_success(name(), at);
    } else {
        register.record_crash(name(), instance(number % 8), at);
    }
}

quickcheck! {
    /// Whatever two entries saw, and in whatever order each hears it, they come to know alike.
    fn entries_that_tell_each_other_know_alike(one: Vec<(u8, u16)>, other: Vec<(u8, u16)>) -> bool {
        let (mut first, mut second) = (Registry::default(), Registry::default());
        one.into_iter().for_each(|event| saw(&mut first, event));
        other.into_iter().for_each(|event| saw(&mut second, event));
        let now = after(64_000);
        for _ in 0..2 {
            second.merge(&first.reports(now), now);
            first.merge(&second.reports(now), now);
        }
        first.digest(now) == second.digest(now)
    }

    /// Telling the same once more changes nothing, so that news die out.
    fn what_is_told_twice_is_no_news(events: Vec<(u8, u16)>) -> bool {
        let (mut first, mut second) = (Registry::default(), Registry::default());
        events.into_iter().for_each(|event| saw(&mut first, event));
        let now = after(64_000);
        second.merge(&first.reports(now), now);
        second.merge(&first.reports(now), now).is_empty()
    }
}
