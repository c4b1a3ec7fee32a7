//! Tests for the detection of silent connections: all open connections go silent at once while new ones
//! work, and situations that only look like it.

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

/// A stream from the peer `last` that was opened at `opened` and last received data at `received`.
fn stream(last: u8, opened: u64, received: u64) -> Connection {
    Connection {
        peer: peer(last),
        opened: at(opened),
        last_received: at(received),
        status: Status::Receiving,
    }
}

/// A detector after a silence of all connections: two peers did not answer requests sent at 100 and 130.
fn all_silent(others: Others) -> Detector {
    let mut findings = Detector::default();
    let first = findings.report_silent(peer(1), at(100), others, at(200));
    assert_eq!(first, Scope::Peer);
    let second = findings.report_silent(peer(2), at(130), others, at(230));
    assert_eq!(second, Scope::All);
    findings
}

#[test]
fn silence_of_one_peer_affects_only_its_connections() {
    let mut findings = Detector::default();
    findings.report_silent(peer(1), at(100), Others::Silent, at(200));
    assert!(findings.close_deadline(stream(1, 50, 99)).is_some());
    assert!(
        findings.close_deadline(stream(1, 50, 101)).is_none(),
        "it receives data"
    );
    assert!(
        findings.close_deadline(stream(1, 101, 101)).is_none(),
        "it is new"
    );
    assert!(findings.close_deadline(stream(2, 50, 99)).is_none());
}

#[test]
fn silence_of_two_peers_affects_all_connections_that_receive_nothing() {
    let findings = all_silent(Others::Silent);
    assert!(findings.close_deadline(stream(3, 50, 99)).is_some());
    assert!(
        findings.close_deadline(stream(3, 101, 101)).is_none(),
        "it was opened later"
    );
    // The silence began after the first request was sent, and before the second.
    assert!(findings.close_deadline(stream(3, 50, 110)).is_some());
    assert!(findings.close_deadline(stream(3, 50, 131)).is_none());
}

#[test]
fn findings_far_apart_have_no_common_cause() {
    let mut findings = Detector::default();
    findings.report_silent(peer(1), at(100), Others::Silent, at(200));
    let extent = findings.report_silent(peer(2), at(2_000), Others::Silent, at(2_100));
    assert_eq!(extent, Scope::Peer);
    assert!(findings.close_deadline(stream(3, 50, 99)).is_none());
}

#[test]
fn two_findings_about_one_peer_count_once() {
    let mut findings = Detector::default();
    findings.report_silent(peer(1), at(100), Others::Silent, at(200));
    let extent = findings.report_silent(peer(1), at(300), Others::Silent, at(400));
    assert_eq!(extent, Scope::Peer);
}

#[test]
fn a_connection_opened_before_a_late_finding_of_the_same_silence_is_kept() {
    let mut findings = all_silent(Others::Silent);
    findings.report_silent(peer(4), at(195), Others::Silent, at(450));
    // Opened after the silence began, and waiting for its first byte.
    let opened_after = Connection {
        status: Status::Waiting,
        ..stream(3, 150, 150)
    };
    assert!(findings.close_deadline(opened_after).is_none());
}

#[test]
fn a_second_silence_is_detected_like_the_first() {
    let mut findings = all_silent(Others::Silent);
    findings.report_silent(peer(1), at(800), Others::Silent, at(900));
    let second = findings.report_silent(peer(2), at(810), Others::Silent, at(910));
    assert_eq!(second, Scope::All);
    assert!(findings.close_deadline(stream(3, 700, 790)).is_some());
    assert!(findings.close_deadline(stream(3, 805, 805)).is_none());
}

#[test]
fn if_other_connections_receive_data_streams_have_longer_and_waiting_exchanges_are_kept() {
    let deadline = |others| {
        all_silent(others)
            .close_deadline(stream(3, 50, 60))
            .unwrap()
    };
    // A lost packet is retransmitted after 200 ms.
    assert!(deadline(Others::Heard).since(at(230)) > Duration::from_millis(200));
    assert!(deadline(Others::Silent).since(at(230)) < Duration::from_millis(100));
    let waiting = |others| {
        all_silent(others).close_deadline(Connection {
            status: Status::Waiting,
            ..stream(3, 50, 60)
        })
    };
    assert!(waiting(Others::Silent).is_some());
    assert!(waiting(Others::Heard).is_none());
}

quickcheck! {
    /// For any reports, a connection that receives data after all of them is kept, and a connection
    /// that is closed would also be closed if it had last received data earlier.
    fn received_data_ends_a_finding(reports: Vec<(u8, u16, u8)>, received: u16, queried: u8) -> bool {
        let mut findings = Detector::default();
        let mut now = at(0);
        for (last, since, delay) in reports {
            let since = now + Duration::from_millis(u64::from(since % 3_000));
            now = since + Duration::from_millis(u64::from(delay));
            findings.report_silent(peer(last), since, Others::Silent, now);
        }
        let closed = |received| {
            let known = stream(queried, 0, 0);
            findings.close_deadline(Connection {
                last_received: received,
                ..known
            }).is_some()
        };
        let received = at(u64::from(received));
        let earlier = received - Duration::from_millis(1);
        (!closed(received) || closed(earlier)) && !closed(now)
    }
}

/// Guards against false suspicions while a burst of weights delays requests for places on one link
/// after the other; a silence of all connections shows at several peers at once. The cost of a false
/// suspicion grows with the number of streams in progress.
#[test]
fn neither_one_slow_peer_nor_many_within_a_second_make_many_streams_repeat_requests() {
    let peer = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
    let at = |millis| Time::from_millis(50_000 + millis);
    let mut suspicion = Suspicion::default();
    let mut raise = |number, millis| suspicion.raise(peer(number), 2_000, at(millis));
    assert!((0..100).all(|step| !raise(1, step * 10)));
    assert!(raise(2, 1_010));
    let repeated = (0..90).filter(|step| raise(step % 7, 1_020 + u64::from(*step) * 10));
    assert_eq!(repeated.count(), 0);
    assert!(!raise(3, 3_000), "the previous suspicion is too old");
    assert!(raise(4, 3_100));
    let mut few = Suspicion::default();
    assert!(few.raise(peer(1), 30, at(0)));
    assert!(
        !few.raise(peer(2), 30, at(900)),
        "at most one suspicion a second"
    );
}
