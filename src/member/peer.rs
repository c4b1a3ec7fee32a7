//! Membership of the entries: who is there, told by heartbeats that carry what others were heard of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// An entry that was not heard of for so long takes no part.
pub const ALIVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// An entry that was not heard of for so long is forgotten.
pub const EXPIRY: Duration = Duration::from_secs(60);

/// Entries that may be added without being known yet.
const UNDISCOVERED_MAX: usize = 3;

/// An entry as told to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Advertisement {
    /// Where it listens to other processes of the system.
    pub address: SocketAddr,
    /// The data hall that it stands in.
    pub hall: Arc<str>,
    /// Milliseconds since it was heard of.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    hall: Arc<str>,
    last_seen: Time,
}

/// The entries that a process knows.
#[derive(Debug, Default)]
pub struct Peers {
    own: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    added: u64,
}

impl Peers {
    /// An empty table of the process at `own`, which is never listed; `None` for one that is no
    /// entry.
    pub fn new(own: Option<SocketAddr>) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            added: 0,
        }
    }

    /// Entries that were added to the table until now.
    pub fn added(&self) -> u64 {
        self.added
    }

    /// An entry was heard at `at`, directly or through another.
    pub fn observe(&mut self, address: SocketAddr, hall: &Arc<str>, at: Time) {
        if self.own == Some(address) {
            return;
        }
        let added = &mut self.added;
        let peer = self.peers.entry(address).or_insert_with(|| {
            *added += 1;
            Peer {
                hall: hall.clone(),
                last_seen: at,
            }
        });
        peer.last_seen = peer.last_seen.max(at);
        if !hall.is_empty() {
            peer.hall = hall.clone();
        }
    }

    /// Takes what another process tells of the entries.
    pub fn merge(&mut self, told: &[Advertisement], now: Time) {
        for entry in told {
            let age = Duration::from_millis(entry.age_ms);
            if age < EXPIRY {
                let at = now - age;
                self.observe(entry.address, &entry.hall, at);
            }
        }
    }

    /// What others are told.
    pub fn advertise(&self, now: Time) -> Vec<Advertisement> {
        self.advertise_filtered(now, |_| true)
    }

    /// What others are told of the entries whose addresses satisfy `includes`.
    pub fn advertise_filtered(
        &self,
        now: Time,
        includes: impl Fn(SocketAddr) -> bool,
    ) -> Vec<Advertisement> {
        let peers = self.peers.iter();
        let included = peers.filter(|(address, _)| includes(**address));
        let told = included.map(|(address, peer)| Advertisement {
            address: *address,
            hall: peer.hall.clone(),
            age_ms: now.since(peer.last_seen).as_millis() as u64,
        });
        told.collect()
    }

    /// Forgets entries that were silent for long.
    pub fn remove_expired(&mut self, now: Time) {
        self.peers
            .retain(|_, peer| now.since(peer.last_seen) < EXPIRY);
    }

    /// Entries heard of lately.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (SocketAddr, &Arc<str>)> {
        let heard = self.peers.iter();
        let heard = heard.filter(move |(_, peer)| now.since(peer.last_seen) < ALIVE_TIMEOUT);
        heard.map(|(address, peer)| (*address, &peer.hall))
    }

    /// The entries of `hall` that were heard of lately.
    pub fn of_hall(&self, hall: &str, now: Time) -> Vec<SocketAddr> {
        let alive = self
            .alive(now)
            .filter(|(_, peer_hall)| ***peer_hall == *hall);
        alive.map(|(address, _)| address).collect()
    }

    /// Whether no entry is known at all.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The entries of each hall but `own_hall` that were heard of lately.
    pub fn by_other_hall(&self, own_hall: &str, now: Time) -> BTreeMap<Arc<str>, Vec<SocketAddr>> {
        let mut halls: BTreeMap<Arc<str>, Vec<SocketAddr>> = BTreeMap::new();
        for (address, hall) in self.alive(now) {
            if **hall != *own_hall {
                halls.entry(hall.clone()).or_default().push(address);
            }
        }
        halls
    }

    /// Upper bound of the entries that may be at work, this one included: all that are not
    /// forgotten, and some that were added without being known yet. What is shared among entries
    /// is divided by it.
    pub fn upper_bound(&self) -> usize {
        self.peers.len() + 1 + UNDISCOVERED_MAX
    }

    /// Up to `count` entries to ask, at random among those that were heard of lately.
    pub fn sample(&self, count: usize, now: Time, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut alive: Vec<SocketAddr> = self.alive(now).map(|(address, _)| address).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !alive.is_empty() {
            let index = rng.random_range(0..alive.len());
            chosen.push(alive.swap_remove(index));
        }
        chosen
    }
}
