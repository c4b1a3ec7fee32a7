//! Membership of entries, maintained by heartbeats that list the known entries and their ages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Time without a sign of life after which an entry no longer counts as alive.
pub const ALIVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time without a sign of life after which an entry is removed from the table.
pub const EXPIRY: Duration = Duration::from_secs(60);

/// Age of a refused connection up to which no process is assumed to run at the address. One may have
/// started meanwhile, behind a cut.
const REFUSAL_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Assumed maximum number of running entries that are not in the table yet.
const UNDISCOVERED_MAX: usize = 3;

/// An entry as advertised to other processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Advertisement {
    /// The address on which it listens to other processes of the system.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Milliseconds since its last sign of life.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    hall: Arc<str>,
    last_seen: Time,
    /// When its address was last found to refuse connections.
    refused_at: Option<Time>,
}

/// The table of entries that a process knows.
#[derive(Debug, Default)]
pub struct Peers {
    own: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    added: u64,
}

impl Peers {
    /// Creates an empty table. It never contains `own`, the process's own address; `None` if the process
    /// is not an entry.
    pub fn new(own: Option<SocketAddr>) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            added: 0,
        }
    }

    /// Number of entries that were ever added to the table.
    pub fn added(&self) -> u64 {
        self.added
    }

    /// Records a sign of life of an entry at `at`, received directly or through another process. An empty
    /// `hall` does not replace a known one.
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
                refused_at: None,
            }
        });
        peer.last_seen = peer.last_seen.max(at);
        if !hall.is_empty() {
            peer.hall = hall.clone();
        }
    }

    /// Merges the entries that another process advertises, except those older than [`EXPIRY`].
    pub fn merge(&mut self, advertisements: &[Advertisement], now: Time) {
        for entry in advertisements {
            let age = Duration::from_millis(entry.age_ms);
            if age < EXPIRY {
                let at = now - age;
                self.observe(entry.address, &entry.hall, at);
            }
        }
    }

    /// The entries to advertise to other processes.
    pub fn advertise(&self, now: Time) -> Vec<Advertisement> {
        self.advertise_filtered(now, |_| true)
    }

    /// The entries to advertise to other processes whose addresses satisfy `includes`.
    pub fn advertise_filtered(
        &self,
        now: Time,
        includes: impl Fn(SocketAddr) -> bool,
    ) -> Vec<Advertisement> {
        let peers = self.peers.iter();
        let included = peers.filter(|(address, _)| includes(**address));
        let advertisements = included.map(|(address, peer)| Advertisement {
            address: *address,
            hall: peer.hall.clone(),
            age_ms: now.since(peer.last_seen).as_millis() as u64,
        });
        advertisements.collect()
    }

    /// Removes entries without a sign of life for [`EXPIRY`].
    pub fn remove_expired(&mut self, now: Time) {
        self.peers
            .retain(|_, peer| now.since(peer.last_seen) < EXPIRY);
    }

    /// The entries that are alive, with their halls.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (SocketAddr, &Arc<str>)> {
        let alive = self.peers.iter();
        let alive = alive.filter(move |(_, peer)| now.since(peer.last_seen) < ALIVE_TIMEOUT);
        alive.map(|(address, peer)| (*address, &peer.hall))
    }

    /// The hall of an entry, if that is in the table.
    pub fn hall(&self, address: SocketAddr) -> Option<&str> {
        self.peers.get(&address).map(|peer| &*peer.hall)
    }

    /// The entries of `hall` that are alive.
    pub fn of_hall(&self, hall: &str, now: Time) -> Vec<SocketAddr> {
        let alive = self
            .alive(now)
            .filter(|(_, peer_hall)| ***peer_hall == *hall);
        alive.map(|(address, _)| address).collect()
    }

    /// The entries that are not alive, those first whose addresses refused a connection least
    /// recently.
    pub fn silent(&self, now: Time) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let silent = peers.filter(|(_, peer)| now.since(peer.last_seen) >= ALIVE_TIMEOUT);
        let mut silent: Vec<(Option<Time>, SocketAddr)> = silent
            .map(|(address, peer)| (peer.refused_at, *address))
            .collect();
        silent.sort_unstable();
        silent.into_iter().map(|(_, address)| address).collect()
    }

    /// Number of entries that are not alive and may be cut off: their addresses have not refused a
    /// connection of late.
    pub fn missing(&self, now: Time) -> usize {
        let missing = self.peers.values().filter(|peer| {
            let refused = peer.refused_at;
            now.since(peer.last_seen) >= ALIVE_TIMEOUT
                && refused.is_none_or(|at| now.since(at) >= REFUSAL_MAX_AGE)
        });
        missing.count()
    }

    /// Records that the address of an entry refused a connection: no process runs there.
    pub fn mark_refused(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.refused_at = Some(now);
        }
    }

    /// The number of entries that may be cut off, for an entry that has run for `age` and is given
    /// `seeds` to contact first. `None` if it has just started and has not heard of any other entry,
    /// though its seeds may run.
    pub fn missing_of(&self, seeds: &[SocketAddr], age: Duration, now: Time) -> Option<usize> {
        let unheard = seeds.iter().filter(|seed| {
            let is_other = Some(**seed) != self.own;
            is_other && !self.peers.contains_key(seed)
        });
        let unheard = unheard.count();
        if age >= EXPIRY && !self.peers.is_empty() {
            return Some(self.missing(now));
        }
        let knows_none = self.peers.is_empty() && unheard > 0 && age < EXPIRY;
        (!knows_none).then(|| self.missing(now) + unheard)
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The entries that are alive in each hall except `own_hall`.
    pub fn by_other_hall(&self, own_hall: &str, now: Time) -> BTreeMap<Arc<str>, Vec<SocketAddr>> {
        let mut halls: BTreeMap<Arc<str>, Vec<SocketAddr>> = BTreeMap::new();
        for (address, hall) in self.alive(now) {
            if **hall != *own_hall {
                halls.entry(hall.clone()).or_default().push(address);
            }
        }
        halls
    }

    /// Upper bound of the number of running entries, including this one: all in the table, and an
    /// allowance for new entries that are not known yet. Limits shared by all entries are divided by it.
    pub fn upper_bound(&self) -> usize {
        self.peers.len() + 1 + UNDISCOVERED_MAX
    }

    /// Up to `count` random entries that are alive.
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
