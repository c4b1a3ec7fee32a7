//! When an entry asks another data hall how its replicas do.
//!
//! Processes beside replicas report to the entries of their own hall only; bytes between halls are
//! dear. For each other hall one entry asks an entry there and passes the answer on to its own
//! hall's entries. The next ones in rank ask themselves when its answers are missing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::clock::Time;
use crate::member::peer::Peers;
use crate::member::rank::rank;

/// How often the first entry of a hall asks another hall.
pub const PERIOD: Duration = Duration::from_millis(250);

/// How old a hall's digest may be before the next in rank asks.
const MISSING: Duration = Duration::from_millis(700);

/// How much longer each further entry in rank waits.
const STEP: Duration = Duration::from_millis(100);

/// Entries by rank that pass on what they were answered.
const PASSING_ON: u32 = 2;

/// How often an answer is to name the entries that are known.
const NAME_ENTRIES: Duration = Duration::from_millis(1_000);

/// What is known of another hall's digest.
#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    at: Time,
    asked: Time,
    named: Time,
    waiting: bool,
}

/// Another hall is to be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The hall.
    pub hall: Arc<str>,
    /// Its entry to ask.
    pub entry: SocketAddr,
    /// Whether the answer is passed on to the own hall's entries.
    pub pass_on: bool,
    /// Whether the answer is to name the entries that are known.
    pub wants_peers: bool,
}

/// The other halls.
#[derive(Debug, Default)]
pub struct Halls {
    heard: BTreeMap<Arc<str>, Heard>,
}

impl Halls {
    /// Which halls the entry at `own` in `own_hall` asks now.
    pub fn due(
        &mut self,
        own: SocketAddr,
        own_hall: &str,
        peers: &Peers,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Ask> {
        let mut halls: BTreeMap<Arc<str>, Vec<SocketAddr>> = BTreeMap::new();
        for (address, hall) in peers.alive(now) {
            halls.entry(hall.clone()).or_default().push(address);
        }
        let fellows = halls.remove(own_hall).unwrap_or_default();
        let mut asks = Vec::new();
        for (hall, entries) in halls {
            let rank = rank(own, fellows.iter().copied(), &hall);
            let heard = self.heard.entry(hall.clone()).or_default();
            if heard.waiting || now.since(heard.at.max(heard.asked)) < wait(rank) {
                continue;
            }
            let wants_peers = now.since(heard.named) >= NAME_ENTRIES;
            heard.waiting = true;
            heard.asked = now;
            if wants_peers {
                heard.named = now;
            }
            asks.push(Ask {
                entry: entries[rng.random_range(0..entries.len())],
                hall,
                pass_on: rank < PASSING_ON,
                wants_peers,
            });
        }
        asks
    }

    /// A hall answered, or did not.
    pub fn answered(&mut self, hall: &str) {
        if let Some(heard) = self.heard.get_mut(hall) {
            heard.waiting = false;
        }
    }

    /// A digest of a hall came, from there or passed on.
    pub fn heard(&mut self, hall: &Arc<str>, now: Time) {
        self.heard.entry(hall.clone()).or_default().at = now;
    }
}

fn wait(rank: u32) -> Duration {
    match rank {
        0 => PERIOD,
        _ => MISSING + STEP * rank,
    }
}
