//! What a process finds of its open connections: pattern "all open connections go silent at once, new
//! ones work", beside what only looks like it.

use std::net::SocketAddr;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::silence::{Connection, Detector, Others, Scope, Status, Suspicion};
use quickcheck::quickcheck;

fn peer(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// A stream from the peer `last` that was opened at `opened` and brought something at `heard` last.
fn stream(last: u8, opened: u64, heard: u64) -> Connection {
    Connection {
        peer: peer(last),
        opened: at(opened),
        last_received: at(heard),
        status: Status::Receiving,
    }
}

/// Findings of a silence of all connections: two peers left unanswered what was sent at 100 and 130.
fn all_silent(others: Others) -> Detector {
    let mut findings = Detector::default();
    let first = findings.report_silent(peer(1), at(100), others, at(200));
    assert_eq!(first, Scope::Peer);
    let second = findings.report_silent(peer(2), at(130), others, at(230));
    assert_eq!(second, Scope::All);
    findings
}

#[test]
fn one_peers_silence_is_about_its_connections_only() {
    let mut findings = Detector::default();
    findings.report_silent(peer(1), at(100), Others::Silent, at(200));
    assert!(findings.close_deadline(stream(1, 50, 99)).is_some());
    assert!(
        findings.close_deadline(stream(1, 50, 101)).is_none(),
        "it brings something"
    );
    assert!(
        findings.close_deadline(stream(1, 101, 101)).is_none(),
        "it is new"
    );
    assert!(findings.close_deadline(stream(2, 50, 99)).is_none());
}

#[test]
fn two_peers_silence_is_about_all_connections_that_bring_nothing() {
    let findings = all_silent(Others::Silent);
    assert!(findings.close_deadline(stream(3, 50, 99)).is_some());
    assert!(
        findings.close_deadline(stream(3, 101, 101)).is_none(),
        "it was opened later"
    );
    // The silence began after the first message was sent, and before the second.
    assert!(findings.close_deadline(stream(3, 50, 110)).is_some());
    assert!(findings.close_deadline(stream(3, 50, 131)).is_none());
}

#[test]
fn silences_that_are_found_apart_have_no_common_cause() {
    let mut findings = Detector::default();
    findings.report_silent(peer(1), at(100), Others::Silent, at(200));
    let extent = findings.report_silent(peer(2), at(2_000), Others::Silent, at(2_100));
    assert_eq!(extent, Scope::Peer);
    assert!(findings.close_deadline(stream(3, 50, 99)).is_none());
}

#[test]
fn one_peer_that_is_found_twice_is_one() {
    let mut findings = Detector::default();
    findings.report_silent(peer(1), at(100), Others::Silent, at(200));
    let extent = findings.report_silent(peer(1), at(300), Others::Silent, at(400));
    assert_eq!(extent, Scope::Peer);
}

#[test]
fn a_connection_that_was_opened_before_a_slow_exchange_found_the_same_stays() {
    let mut findings = all_silent(Others::Silent);
    findings.report_silent(peer(4), at(195), Others::Silent, at(450));
    // Opened after the silence, it waits for a first byte.
    let opened_after = Connection {
        status: Status::Waiting,
        ..stream(3, 150, 150)
    };
    assert!(findings.close_deadline(opened_after).is_none());
}

#[test]
fn a_second_silence_is_found_as_the_first_was() {
    let mut findings = all_silent(Others::Silent);
    findings.report_silent(peer(1), at(800), Others::Silent, at(900));
    let second = findings.report_silent(peer(2), at(810), Others::Silent, at(910));
    assert_eq!(second, Scope::All);
    assert!(findings.close_deadline(stream(3, 700, 790)).is_some());
    assert!(findings.close_deadline(stream(3, 805, 805)).is_none());
}

#[test]
fn while_others_go_on_streams_get_longer_and_queues_are_left_alone() {
    let due = |others| {
        all_silent(others)
            .close_deadline(stream(3, 50, 60))
            .unwrap()
    };
    // A lost packet is sent again after 200 ms.
    assert!(due(Others::Heard).since(at(230)) > Duration::from_millis(200));
    assert!(due(Others::Silent).since(at(230)) < Duration::from_millis(100));
    let waits = |others| {
        all_silent(others).close_deadline(Connection {
            status: Status::Waiting,
            ..stream(3, 50, 60)
        })
    };
    assert!(waits(Others::Silent).is_some());
    assert!(waits(Others::Heard).is_none());
}

quickcheck! {
    /// Whatever is found, one that brought something after all that stays, and one that is given up
    /// would be as well if it had brought something earlier only.
    fn doubt_ends_with_the_first_byte(found: Vec<(u8, u16, u8)>, heard: u16, asked: u8) -> bool {
        let mut findings = Detector::default();
        let mut now = at(0);
        for (last, since, took) in found {
            let since = now + Duration::from_millis(u64::from(since % 3_000));
            now = since + Duration::from_millis(u64::from(took));
            findings.report_silent(peer(last), since, Others::Silent, now);
        }
        let given_up = |heard| {
            let known = stream(asked, 0, 0);
            findings.close_deadline(Connection {
                last_received: heard,
                ..known
            }).is_some()
        };
        let heard = at(u64::from(heard));
        let earlier = heard - Duration::from_millis(1);
        (!given_up(heard) || given_up(earlier)) && !given_up(now)
    }
}

/// A burst of weights holds questions for places up at one link after the other; a silence of all connections shows at several peers at
/// once. What a false suspicion costs grows with the streams under way.
#[test]
fn one_slow_peer_or_many_within_a_second_do_not_have_many_streams_ask_again() {
    let peer = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
    let at = |millis| Time::from_millis(50_000 + millis);
    let mut suspicion = Suspicion::default();
    let mut raise = |number, millis| suspicion.raise(peer(number), 2_000, at(millis));
    assert!((0..100).all(|step| !raise(1, step * 10)));
    assert!(raise(2, 1_010));
    let more = (0..90).filter(|step| raise(step % 7, 1_020 + u64::from(*step) * 10));
    assert_eq!(more.count(), 0);
    assert!(!raise(3, 3_000), "the last one is long ago");
    assert!(raise(4, 3_100));
    let mut few = Suspicion::default();
    assert!(few.raise(peer(1), 30, at(0)));
    assert!(!few.raise(peer(2), 30, at(900)), "once a second at most");
}
