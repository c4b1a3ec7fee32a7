//! Tests for the distribution of messages to all entries of a hall.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::knowledge::fanout::{DEGREE, UnresponsiveEntries, branches};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const NOW: Time = Time::from_millis(50_000);

fn entries(count: usize) -> Vec<SocketAddr> {
    let address = |index: usize| format!("10.1.{}.{}:8000", index / 200, index % 200 + 1);
    (0..count)
        .map(|index| address(index).parse().unwrap())
        .collect()
}

/// Simulates the distribution of a message: each receiver forwards it and skips entries that are
/// down.
#[derive(Default)]
struct Delivery {
    down: BTreeSet<SocketAddr>,
    /// Number of hops to each entry reached.
    reached: BTreeMap<SocketAddr, u32>,
    /// Messages delivered, by sender.
    sent: BTreeMap<SocketAddr, usize>,
}

impl Delivery {
    fn send(&mut self, from: SocketAddr, receivers: &[SocketAddr], hops: u32) {
        for branch in branches(receivers) {
            let mut branch = branch.as_slice();
            while let Some((&first, rest)) = branch.split_first() {
                branch = rest;
                if self.down.contains(&first) {
                    continue;
                }
                *self.sent.entry(from).or_default() += 1;
                let previous = self.reached.insert(first, hops);
                assert_eq!(previous, None, "{first} received the message twice");
                self.send(first, rest, hops + 1);
                break;
            }
        }
    }

    fn simulate(receivers: &[SocketAddr], down: BTreeSet<SocketAddr>) -> Self {
        let mut delivery = Self {
            down,
            ..Self::default()
        };
        delivery.send("10.1.9.9:8000".parse().unwrap(), receivers, 1);
        delivery
    }
}

/// Guards against the load of a sender growing with the size of the hall.
#[test]
fn messages_per_sender_are_bounded_and_hops_grow_logarithmically() {
    for count in [6, 60, 240] {
        let receivers = entries(count);
        let delivery = Delivery::simulate(&receivers, BTreeSet::new());
        assert_eq!(delivery.reached.len(), count);
        let busiest = delivery.sent.values().copied().max();
        assert!(busiest <= Some(DEGREE), "{count} entries: {busiest:?}");
        let hops = delivery.reached.values().copied().max().unwrap();
        let depth = (count as f64).log(DEGREE as f64).ceil() as u32;
        assert!(hops <= depth + 1, "{count} entries: {hops} hops");
    }
}

#[test]
fn every_running_entry_is_reached_once_when_others_are_down() {
    fn property(count: u8, seed: u64, share: u8) -> bool {
        let receivers = entries(usize::from(count));
        let mut rng = SmallRng::seed_from_u64(seed);
        let down: BTreeSet<SocketAddr> = receivers
            .iter()
            .copied()
            .filter(|_| rng.random_range(0..=255) < u32::from(share))
            .collect();
        let up = receivers.len() - down.len();
        Delivery::simulate(&receivers, down).reached.len() == up
    }
    quickcheck(property as fn(u8, u64, u8) -> bool);
}

#[test]
fn unresponsive_entries_are_ordered_last_until_they_answer_or_the_period_ends() {
    let receivers = entries(30);
    let mut unresponsive = UnresponsiveEntries::default();
    let silent: Vec<SocketAddr> = receivers[..8].to_vec();
    for entry in &silent {
        unresponsive.record(*entry, false, NOW);
    }
    let soon = NOW + Duration::from_millis(500);
    let ordered = unresponsive.order(receivers.clone(), soon);
    let firsts = branches(&ordered).into_iter().map(|branch| branch[0]);
    assert!(firsts.into_iter().all(|first| !silent.contains(&first)));
    assert_eq!(ordered.len(), receivers.len());
    unresponsive.record(silent[0], true, soon);
    assert!(unresponsive.order(receivers.clone(), soon)[..23].contains(&silent[0]));
    let later = NOW + Duration::from_secs(5);
    assert_eq!(unresponsive.order(receivers.clone(), later), receivers);
}
