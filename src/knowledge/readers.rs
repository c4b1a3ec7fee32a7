//! Which entries of a data hall read the platform's store for all of them.
//!
//! Each call has its price, and a configuration that all entries draw at once fills the links to
//! the store. So the first ones of a hall read, tell the others that there is news, and tell with
//! every message how long ago the store answered them. The others read for themselves as soon as
//! none of those before them has had an answer lately, as far as they were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::member::peer::Peers;
use crate::member::rank::{rank, weight};
use crate::source::Topic;

/// Entries of a hall that read what operators write: one that is cut off must not hold it up.
const OPERATOR_READERS: u32 = 2;

/// Entries of a hall that read the list of replicas, which changes all the time.
const REPLICAS_READERS: u32 = 1;

/// Subject of the ranking.
const SUBJECT: &str = "store";

/// How long ago the store may have answered those before in rank.
const MISSING: Duration = Duration::from_millis(1_600);

/// Replaces [`MISSING`] for the list of replicas until an entry has been told of an answer. It is
/// shorter because an entry cannot serve requests without the list.
const MISSING_AT_START: Duration = Duration::from_millis(500);

/// How much longer each further entry in rank waits.
const STEP: Duration = Duration::from_millis(100);

/// How long an entry that begins and knows no other entry waits for a seed to answer before it
/// reads the store itself.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper limit of the additional wait, which depends on the entry's hash, so that entries do not
/// all read at the same time if no seed answers.
const SEED_SPREAD: Duration = Duration::from_millis(1_000);

/// Most steps that an entry waits longer for its rank. All at once they would share the hall's link
/// to the store, and each document would come as many times; after 2.8 s the last one reads, before
/// the three seconds are over that machines have to be in touch again.
const STEPS_MAX: u32 = 12;

/// Entries of a hall that are asked for news: its readers.
pub const UPDATE_SOURCES: usize = 2;

/// Highest-ranked entries of its hall that a sidecar receives. It reports to the first of them.
const SIDECAR_RANKED_ENTRIES: usize = 4;

/// Further entries of its hall that a sidecar receives, selected by its address. They relay
/// weights, so different sidecars use different relays.
const SIDECAR_HASHED_ENTRIES: usize = 8;

/// What the entries of the own hall told of the store.
#[derive(Debug, Default)]
pub struct Readers {
    answered: BTreeMap<SocketAddr, Time>,
    began: Time,
}

impl Readers {
    /// Nothing was told yet to a process that begins at `began`: those before it in rank get as
    /// long to be answered as at any other time.
    pub fn new(began: Time) -> Self {
        Self {
            began,
            ..Self::default()
        }
    }

    /// The store answered `entry` last at `at`.
    pub fn record_answer(&mut self, entry: SocketAddr, at: Time) {
        let known = self.answered.entry(entry).or_default();
        *known = (*known).max(at);
    }

    /// Whether the store answered one of them within `time`.
    pub fn answered_within(&self, time: Duration, now: Time) -> bool {
        self.answered.values().any(|at| now.since(*at) < time)
    }

    /// An entry does not answer.
    pub fn remove(&mut self, entry: SocketAddr) {
        self.answered.remove(&entry);
    }

    /// Whether the entry at `own` reads `topic` itself, beside the other entries of its hall.
    pub fn reads(
        &self,
        topic: Topic,
        own: SocketAddr,
        local_peers: &[SocketAddr],
        now: Time,
    ) -> bool {
        let rank = Self::rank(own, local_peers);
        if rank < readers(topic) {
            return true;
        }
        let answered = local_peers
            .iter()
            .filter_map(|entry| self.answered.get(entry));
        let (last, missing) = match answered.max() {
            Some(at) => (*at, MISSING),
            None => (self.began, missing_at_start(topic)),
        };
        now.since(last) >= missing + STEP * rank.min(STEPS_MAX)
    }

    /// Whether an entry that knows no other entry still waits for one of `seeds` to answer. Without
    /// this wait, all entries that begin together would rank themselves first in their hall, and
    /// each would read the whole list. Seeds do not wait.
    pub fn awaits_seeds(
        &self,
        own: SocketAddr,
        peers: &Peers,
        seeds: &[SocketAddr],
        now: Time,
    ) -> bool {
        if !peers.is_empty() || seeds.is_empty() || seeds.contains(&own) {
            return false;
        }
        let (hash, _) = weight(own, SUBJECT);
        let fraction = hash as f64 / u64::MAX as f64;
        now.since(self.began) < SEED_TIMEOUT + SEED_SPREAD.mul_f64(fraction)
    }

    /// The place of the entry at `own` among those of its hall: 0 for the one that reads everything
    /// from the store and tells the others.
    pub fn rank(own: SocketAddr, local_peers: &[SocketAddr]) -> u32 {
        rank(own, local_peers.iter().copied(), SUBJECT)
    }

    /// The `entries` of a hall, those first that read the store.
    pub fn ranked(entries: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut ranked = entries.to_vec();
        ranked.sort_by_cached_key(|entry| std::cmp::Reverse(weight(*entry, SUBJECT)));
        ranked
    }

    /// The entries that the sidecar at `sidecar` in `hall` receives: a bounded number of its own
    /// hall, and one of each other hall as a fallback if its own has none left.
    pub fn entries_for_sidecar(
        sidecar: SocketAddr,
        hall: &str,
        peers: &Peers,
        now: Time,
    ) -> Vec<SocketAddr> {
        let local = peers.of_hall(hall, now);
        let mut selected = Self::ranked(&local);
        selected.truncate(SIDECAR_RANKED_ENTRIES);
        let subject = sidecar.to_string();
        let mut others = local;
        others.retain(|entry| !selected.contains(entry));
        others.sort_by_cached_key(|entry| std::cmp::Reverse(weight(*entry, &subject)));
        selected.extend(others.into_iter().take(SIDECAR_HASHED_ENTRIES));
        let (hash, _) = weight(sidecar, SUBJECT);
        for entries in peers.by_other_hall(hall, now).into_values() {
            selected.push(entries[hash as usize % entries.len()]);
        }
        selected
    }

    /// Whether the entry at `own` is one of those whom the others ask.
    pub fn is_reader(own: SocketAddr, local_peers: &[SocketAddr]) -> bool {
        Self::rank(own, local_peers) < UPDATE_SOURCES as u32
    }

    /// The entries of the hall to ask for news.
    pub fn update_sources(local_peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut ranked = Self::ranked(local_peers);
        ranked.truncate(UPDATE_SOURCES);
        ranked
    }
}

/// The limit that replaces [`MISSING`] for `topic` until an answer has been told.
fn missing_at_start(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => MISSING,
        Topic::Replicas => MISSING_AT_START,
    }
}

fn readers(topic: Topic) -> u32 {
    match topic {
        Topic::Operator => OPERATOR_READERS,
        Topic::Replicas => REPLICAS_READERS,
    }
}
