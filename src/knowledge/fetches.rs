//! Selects the process from which an entry fetches a newer configuration, and when.
//!
//! A configuration may be large, and links between halls are narrow. It is therefore fetched from one
//! process at a time, preferably in the own hall, and from a second one only if the first is slow.
//! Heartbeats tell which processes have it, but do not contain it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Time after which a second fetch may start while the first is in progress. In a hall of 14 entries, a
/// packed document of 1,500 routes reaches the last entry in half this time.
const SLOW_AFTER: Duration = Duration::from_millis(700);

/// Maximum number of concurrent fetches.
const CONCURRENT_MAX: usize = 2;

/// Delay before fetching from the hall's hub. Entries that forward its notices can usually serve the
/// configuration by then.
const HUB_DELAY: Duration = Duration::from_millis(400);

/// Delay before the entry that fetches from another hall for its whole hall does so, to give the hall's
/// readers time to read the store. They receive 450 KB of a configuration in this time; a larger one
/// crosses the link between two regions once more, packed to a fifteenth of its size.
const DELEGATE_DELAY: Duration = Duration::from_millis(300);

/// Delay before any other entry fetches from another hall.
const REMOTE_DELAY: Duration = Duration::from_millis(1_500);

/// Location of a process that has the configuration, relative to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Locality {
    /// In the same hall.
    Local,
    /// In the same hall, and it is the hub, which sends frames to all other entries.
    LocalHub,
    /// In another hall, and this entry is the one that fetches from there for its whole hall.
    RemoteDelegate,
    /// In another hall.
    Remote,
}

/// The fetches in progress.
#[derive(Debug, Default)]
pub struct Fetches {
    missing_since: Option<Time>,
    in_progress: BTreeMap<SocketAddr, Time>,
}

impl Fetches {
    /// Whether to fetch now from `peer`, which has a newer configuration. If so, the caller must call
    /// [`Fetches::finish`] afterwards.
    pub fn begin(&mut self, peer: SocketAddr, locality: Locality, now: Time) -> bool {
        let missing_since = *self.missing_since.get_or_insert(now);
        let delay = match locality {
            Locality::Local => Duration::ZERO,
            Locality::LocalHub => HUB_DELAY,
            Locality::RemoteDelegate => DELEGATE_DELAY,
            Locality::Remote => REMOTE_DELAY,
        };
        let all_slow = self
            .in_progress
            .values()
            .all(|began| now.since(*began) >= SLOW_AFTER);
        let has_capacity = self.in_progress.len() < CONCURRENT_MAX && all_slow;
        let begins = now.since(missing_since) >= delay
            && has_capacity
            && !self.in_progress.contains_key(&peer);
        if begins {
            self.in_progress.insert(peer, now);
        }
        begins
    }

    /// Records the end of a fetch, successful or not.
    pub fn finish(&mut self, peer: SocketAddr) {
        self.in_progress.remove(&peer);
    }

    /// Records that the missing state was received, so that the delays start anew with the next fetch.
    pub fn reset(&mut self) {
        self.missing_since = None;
    }
}
