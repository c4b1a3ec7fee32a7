//! Who asks and reads for a whole data hall, and that others step in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::knowledge::halls::{Ask, Halls, PERIOD};
use pumicelatch::member::peer::{ALIVE, Peers};
use pumicelatch::member::rank::rank;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Time = Time::from_millis(100_000);

fn entry(hall: u8, index: u8) -> SocketAddr {
    format!("10.{hall}.0.{index}:8000").parse().unwrap()
}

fn hall(number: u8) -> Arc<str> {
    format!("hall-{number}").into()
}

/// The entries of three halls, `each` in each, as the one at `own` knows them at `at`.
fn peers(own: SocketAddr, each: u8, at: Time) -> Peers {
    let mut peers = Peers::new(Some(own));
    for number in 1..=3 {
        for index in 1..=each {
            peers.heard(entry(number, index), &hall(number), at);
        }
    }
    peers
}

fn asked(halls: &mut Halls, own: SocketAddr, peers: &Peers, now: Time) -> Vec<Ask> {
    let mut rng = SmallRng::seed_from_u64(3);
    halls.due(own, "hall-1", peers, now, &mut rng)
}

#[test]
fn one_entry_of_a_hall_is_first_and_the_next_one_when_it_goes() {
    fn property(count: u8, subject: u8) -> bool {
        let entries: Vec<SocketAddr> = (0..count % 20 + 2).map(|index| entry(1, index)).collect();
        let subject = subject.to_string();
        let ranks = |entries: &[SocketAddr]| -> Vec<u32> {
            let of = |own: SocketAddr| {
                let others = entries.iter().copied().filter(move |other| *other != own);
                rank(own, others, &subject)
            };
            entries.iter().map(|own| of(*own)).collect()
        };
        let all = ranks(&entries);
        let mut sorted = all.clone();
        sorted.sort_unstable();
        let distinct = sorted.iter().copied().eq(0..entries.len() as u32);
        let first = all.iter().position(|rank| *rank == 0).unwrap();
        let mut rest = entries.clone();
        rest.remove(first);
        let second = all.iter().position(|rank| *rank == 1).unwrap();
        let next = ranks(&rest).iter().position(|rank| *rank == 0).unwrap();
        distinct && rest[next] == entries[second]
    }
    quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn only_one_entry_of_a_hall_asks_another_hall() {
    let mut asking = 0;
    for index in 1..=4 {
        let own = entry(1, index);
        let mut halls = Halls::default();
        halls.heard(&hall(2), NOW);
        halls.heard(&hall(3), NOW);
        let asks = asked(&mut halls, own, &peers(own, 4, NOW), NOW + PERIOD);
        asking += asks.len();
        for ask in asks {
            assert!(ask.pass_on && ask.hall != hall(1));
        }
    }
    // One for each of the two other halls.
    assert_eq!(asking, 2);
}

#[test]
fn everyone_asks_when_digests_are_missing_and_nobody_twice_at_once() {
    for index in 1..=4 {
        let own = entry(1, index);
        let mut halls = Halls::default();
        halls.heard(&hall(2), NOW);
        halls.heard(&hall(3), NOW);
        let peers = peers(own, 4, NOW);
        let later = NOW + Duration::from_millis(1_500);
        assert_eq!(asked(&mut halls, own, &peers, later).len(), 2);
        assert!(asked(&mut halls, own, &peers, later + PERIOD).is_empty());
        halls.answered("hall-2");
        let after = later + Duration::from_millis(1_500);
        assert_eq!(asked(&mut halls, own, &peers, after).len(), 1);
    }
}

#[test]
fn a_hall_that_nobody_hears_of_is_not_asked() {
    let own = entry(1, 1);
    let peers = peers(own, 2, NOW);
    let mut halls = Halls::default();
    assert!(asked(&mut halls, own, &peers, NOW + ALIVE).is_empty());
}
