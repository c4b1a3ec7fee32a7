//! What a process finds of its open connections: pattern "all open connections go silent at once, new
//! ones work", beside what only looks like it.

use std::net::SocketAddr;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::silence::{Extent, Findings, Others};
use quickcheck::quickcheck;

fn peer(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

#[test]
fn one_peers_silence_is_about_its_connections_only() {
    let mut findings = Findings::default();
    let extent = findings.silent(peer(1), at(100), Others::Silent, at(160));
    assert_eq!(extent, Extent::Peer);
    assert!(findings.doubts(peer(1), at(99)));
    assert!(
        !findings.doubts(peer(1), at(101)),
        "it has brought something"
    );
    assert!(!findings.doubts(peer(2), at(99)));
}

#[test]
fn two_peers_silence_is_about_all_connections_that_bring_nothing() {
    let mut findings = Findings::default();
    findings.silent(peer(1), at(100), Others::Silent, at(160));
    let extent = findings.silent(peer(2), at(130), Others::Silent, at(190));
    assert_eq!(extent, Extent::All);
    assert!(findings.doubts(peer(3), at(99)));
    assert!(
        !findings.doubts(peer(3), at(101)),
        "opened after the silence began"
    );
}

#[test]
fn silences_that_are_found_apart_have_no_common_cause() {
    let mut findings = Findings::default();
    findings.silent(peer(1), at(100), Others::Silent, at(160));
    let extent = findings.silent(peer(2), at(2_000), Others::Silent, at(2_060));
    assert_eq!(extent, Extent::Peer);
    assert!(!findings.doubts(peer(3), at(99)));
}

#[test]
fn one_peer_that_is_found_twice_is_one() {
    let mut findings = Findings::default();
    findings.silent(peer(1), at(100), Others::Silent, at(160));
    let extent = findings.silent(peer(1), at(300), Others::Silent, at(360));
    assert_eq!(extent, Extent::Peer);
}

#[test]
fn what_was_sent_before_the_conclusion_adds_nothing_to_it() {
    let mut findings = Findings::default();
    findings.silent(peer(1), at(100), Others::Silent, at(160));
    findings.silent(peer(2), at(110), Others::Silent, at(170));
    let extent = findings.silent(peer(4), at(165), Others::Silent, at(230));
    assert_eq!(extent, Extent::Peer);
    // A connection that was opened between the silence and its discovery is as good as before.
    assert!(!findings.doubts(peer(3), at(120)));
}

#[test]
fn a_second_silence_is_found_as_the_first_was() {
    let mut findings = Findings::default();
    for (start, doubted) in [(0, 99), (700, 750)] {
        findings.silent(peer(1), at(start + 100), Others::Silent, at(start + 160));
        let second = findings.silent(peer(2), at(start + 110), Others::Silent, at(start + 170));
        assert_eq!(second, Extent::All);
        assert!(findings.doubts(peer(3), at(doubted)));
    }
}

#[test]
fn exchanges_under_way_get_longer_while_others_go_on() {
    let given_up = |others| {
        let mut findings = Findings::default();
        findings.silent(peer(1), at(100), others, at(160));
        findings.silent(peer(2), at(110), others, at(170));
        findings.gives_up(peer(3), at(50)).unwrap()
    };
    let (soon, later) = (given_up(Others::Silent), given_up(Others::Heard));
    // A lost packet is sent again after 200 ms.
    assert!(later.since(at(170)) > Duration::from_millis(200));
    assert!(soon.since(at(170)) < Duration::from_millis(100));
}

quickcheck! {
    /// Whatever is found, a connection that brought something after all that is not doubted, and one
    /// that is doubted would be if it had brought something earlier.
    fn doubt_ends_with_the_first_byte(found: Vec<(u8, u16, u8)>, heard: u16, asked: u8) -> bool {
        let mut findings = Findings::default();
        let mut now = at(0);
        for (last, since, took) in found {
            let since = now + Duration::from_millis(u64::from(since % 3_000));
            now = since + Duration::from_millis(u64::from(took));
            findings.silent(peer(last), since, Others::Silent, now);
        }
        let heard = at(u64::from(heard));
        let earlier = heard - Duration::from_millis(1);
        let kept = !findings.doubts(peer(asked), heard) || findings.doubts(peer(asked), earlier);
        kept && !findings.doubts(peer(asked), now)
    }
}
