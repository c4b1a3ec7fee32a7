//! Determines which entries of a data hall read the platform's store on behalf of all of them.
//!
//! Calls to the store are costly, and a configuration that all entries read at the same time
//! saturates the links to the store. So only the first entries of a hall read the store. They
//! notify the others of updates, and report in every message how long ago the store answered them.
//! Another entry reads the store itself if, according to these reports, the store has not answered
//! any other entry of the hall recently.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::member::peer::Peers;
use crate::member::rank::{rank, weight};
use crate::source::Topic;

/// Number of entries of a hall that read the operators' topic. There is more than one so that one that
/// loses its connection to the store does not delay updates.
const OPERATOR_READERS: u32 = 2;

/// Number of entries of a hall that read the list of replicas, which changes all the time.
const REPLICAS_READERS: u32 = 1;

/// Subject of the ranking.
const SUBJECT: &str = "store";

/// Age of the latest answer of the store to other entries of the hall above which an entry reads the
/// store itself.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(1_600);

/// Replaces [`ANSWER_MAX_AGE`] for the list of replicas until an entry has learned of an answer. It is
/// shorter because an entry cannot serve requests without the list.
const ANSWER_MAX_AGE_AT_START: Duration = Duration::from_millis(500);

/// Additional wait per rank.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// How long a starting entry that knows no other entry waits for a seed to answer before it reads the
/// store itself.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper limit of the additional wait, which depends on the entry's hash, so that entries do not
/// all read at the same time if no seed answers.
const SEED_SPREAD: Duration = Duration::from_millis(1_000);

/// Maximum number of rank delays. If all entries read at the same time, they would share the hall's link
/// to the store, over which each document would be sent once per entry. The last entry reads after
/// 2.8 s, within the three seconds in which machines must be in touch with the store again.
const RANK_DELAYS_MAX: u32 = 12;

/// Number of entries of a hall that the others ask for updates: its readers.
pub const UPDATE_SOURCES: usize = 2;

/// Highest-ranked entries of its hall that a sidecar receives. It reports to the first of them.
const SIDECAR_RANKED_ENTRIES: usize = 4;

/// Further entries of its hall that a sidecar receives, selected by its address. They relay
/// weights, so different sidecars use different relays.
const SIDECAR_HASHED_ENTRIES: usize = 8;

/// When the store answered the entries of the own hall, as reported by them.
#[derive(Debug, Default)]
pub struct Readers {
    answers: BTreeMap<SocketAddr, Time>,
    began: Time,
}

impl Readers {
    /// The state of a process that starts at `began` and has received no reports. Higher-ranked entries
    /// get as much time from then on to receive an answer as at any other time.
    pub fn new(began: Time) -> Self {
        Self {
            began,
            ..Self::default()
        }
    }

    /// Records that the store last answered `entry` at `at`.
    pub fn record_answer(&mut self, entry: SocketAddr, at: Time) {
        let last = self.answers.entry(entry).or_default();
        *last = (*last).max(at);
    }

    /// Whether the store answered at least one of these entries within `time`.
    pub fn answered_within(&self, time: Duration, now: Time) -> bool {
        self.answers.values().any(|at| now.since(*at) < time)
    }

    /// Discards the reports of an entry that does not answer.
    pub fn remove(&mut self, entry: SocketAddr) {
        self.answers.remove(&entry);
    }

    /// Whether the entry at `own` reads `topic` itself; `local_peers` are the other entries of its hall.
    pub fn reads(
        &self,
        topic: Topic,
        own: SocketAddr,
        local_peers: &[SocketAddr],
        now: Time,
    ) -> bool {
        let rank = Self::rank(own, local_peers);
        if rank < reader_count(topic) {
            return true;
        }
        let answers = local_peers
            .iter()
            .filter_map(|entry| self.answers.get(entry));
        let (last, max_age) = match answers.max() {
            Some(at) => (*at, ANSWER_MAX_AGE),
            None => (self.began, max_age_at_start(topic)),
        };
        now.since(last) >= max_age + RANK_DELAY * rank.min(RANK_DELAYS_MAX)
    }

    /// Whether an entry that knows no other entry still waits for one of `seeds` to answer. Without
    /// this wait, all entries that start together would rank themselves first in their hall, and
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

    /// The rank of the entry at `own` among those of its hall: 0 for the one that reads everything from the
    /// store and updates the others.
    pub fn rank(own: SocketAddr, local_peers: &[SocketAddr]) -> u32 {
        rank(own, local_peers.iter().copied(), SUBJECT)
    }

    /// The `entries` of a hall by rank; the first ones read the store.
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

    /// Whether the entry at `own` is one of those that the others ask for updates.
    pub fn is_reader(own: SocketAddr, local_peers: &[SocketAddr]) -> bool {
        Self::rank(own, local_peers) < UPDATE_SOURCES as u32
    }

    /// The entries of the hall to ask for updates.
    pub fn update_sources(local_peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut ranked = Self::ranked(local_peers);
        ranked.truncate(UPDATE_SOURCES);
        ranked
    }
}

/// Replaces [`ANSWER_MAX_AGE`] for `topic` until an answer has been reported.
fn max_age_at_start(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => ANSWER_MAX_AGE,
        Topic::Replicas => ANSWER_MAX_AGE_AT_START,
    }
}

fn reader_count(topic: Topic) -> u32 {
    match topic {
        Topic::Operator => OPERATOR_READERS,
        Topic::Replicas => REPLICAS_READERS,
    }
}
