//! Recognition of retries, by fingerprints of refused requests.
//!
//! While engines are full, a slot for a caller that is already late is one less for a caller that
//! can still be served in time. A deadline does not tell the two apart, since callers set deadlines
//! of very different lengths. So entries remember what they refused, by a fingerprint of what
//! stays the same when the caller tries again, and pass it on with the lease requests that they
//! send anyway. A retry is then recognized by every entry and replica of the hall.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::hash;

/// Number of rejections that are remembered, the newest ones: 2,000 per second for two seconds
/// each.
const REMEMBERED_MAX: usize = 4_096;

/// Number of rejections passed on with one message, the newest ones, at 11 bytes each. A hall of 13
/// entries that refuses 70 requests per second passes all of them on within a third of a second.
const MESSAGE_MAX: usize = 24;

/// Number of peers for which the outbox remembers what it sent, far more than a hall has replicas.
const PEERS_MAX: usize = 1_024;

/// Fingerprint of the parts of a request that stay the same when its caller tries again. Two
/// different requests collide once in four billion pairs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Fingerprint(u32);

impl Fingerprint {
    /// Computes the fingerprint of `parts`.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(hash::of(parts) as u32)
    }
}

/// A refused request, as one process reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct Rejection {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Milliseconds since the caller's first try.
    pub age_ms: u32,
    /// Milliseconds after which the caller can no longer retry.
    pub left_ms: u32,
}

impl Rejection {
    /// Returns the time of the first try and the end of possible retries, for a report received at
    /// `now`.
    pub fn times(&self, now: Time) -> (Time, Time) {
        let age = Duration::from_millis(self.age_ms.into());
        let left = Duration::from_millis(self.left_ms.into());
        (now - age, now + left)
    }
}

impl From<(u32, u32, u32)> for Rejection {
    fn from((request, age_ms, left_ms): (u32, u32, u32)) -> Self {
        Self {
            request: Fingerprint(request),
            age_ms,
            left_ms,
        }
    }
}

impl From<Rejection> for (u32, u32, u32) {
    fn from(rejection: Rejection) -> Self {
        (rejection.request.0, rejection.age_ms, rejection.left_ms)
    }
}

#[derive(Debug, Clone, Copy)]
struct Attempts {
    first: Time,
    until: Time,
}

/// Recently refused requests.
#[derive(Debug, Default)]
pub struct History {
    tries: BTreeMap<Fingerprint, Attempts>,
    order: VecDeque<Fingerprint>,
}

impl History {
    /// Records a rejection. The caller tried first at `first` and can retry up to `until`.
    pub fn record(&mut self, request: Fingerprint, first: Time, until: Time) {
        let remembered = self.tries.get(&request).copied();
        // The same request after that is from another caller, or a new first try of the same one.
        let known = remembered.filter(|known| first <= known.until);
        let first = known.map_or(first, |known| known.first.min(first));
        let until = known.map_or(until, |known| known.until.max(until));
        self.tries.insert(request, Attempts { first, until });
        if remembered.is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > REMEMBERED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.tries.remove(&oldest);
        }
    }

    /// Merges a rejection reported by another process. Returns whether it is new.
    pub fn merge(&mut self, rejection: Rejection, now: Time) -> bool {
        let (first, until) = rejection.times(now);
        let known = self.tries.get(&rejection.request);
        let is_new = known.is_none_or(|known| first > known.until);
        self.record(rejection.request, first, until);
        is_new
    }

    /// Time of the first try, if the request was refused and its caller can still be retrying.
    pub fn first_try(&self, request: Fingerprint, now: Time) -> Option<Time> {
        let known = self.tries.get(&request)?;
        (now <= known.until).then_some(known.first)
    }

    /// Number of remembered requests.
    pub fn remembered(&self) -> usize {
        self.tries.len()
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    number: u64,
    request: Fingerprint,
    attempts: Attempts,
}

/// Rejections to pass on, and what each peer has been sent.
#[derive(Debug, Default)]
pub struct Outbox {
    entries: VecDeque<Entry>,
    last_number: u64,
    sent: BTreeMap<SocketAddr, u64>,
}

impl Outbox {
    /// Records a rejection, as [`History::record`].
    pub fn record(&mut self, request: Fingerprint, first: Time, until: Time) {
        self.last_number += 1;
        self.entries.push_back(Entry {
            number: self.last_number,
            request,
            attempts: Attempts { first, until },
        });
        if self.entries.len() > MESSAGE_MAX {
            self.entries.pop_front();
        }
    }

    /// Returns the rejections that `peer` has not been sent and whose callers can still retry.
    pub fn take_pending(&mut self, peer: SocketAddr, now: Time) -> Vec<Rejection> {
        if self.sent.len() > PEERS_MAX {
            self.sent.clear();
        }
        let before = self.sent.insert(peer, self.last_number).unwrap_or(0);
        let new = self.entries.iter().filter(|entry| entry.number > before);
        let relevant = new.filter(|entry| now <= entry.attempts.until);
        relevant
            .map(|entry| Rejection {
                request: entry.request,
                age_ms: now.since(entry.attempts.first).as_millis() as u32,
                left_ms: entry.attempts.until.since(now).as_millis() as u32,
            })
            .collect()
    }
}

/// Rejections known to one process, and those to pass on.
#[derive(Debug, Default)]
pub struct Rejections {
    history: History,
    outbox: Outbox,
}

impl Rejections {
    /// Records a rejection made here and queues it for other processes, as [`History::record`].
    pub fn record(&mut self, request: Fingerprint, first: Time, until: Time) {
        self.history.record(request, first, until);
        self.outbox.record(request, first, until);
    }

    /// Merges rejections reported by other processes.
    pub fn merge(&mut self, received: &[Rejection], now: Time) {
        for rejection in received {
            self.history.merge(*rejection, now);
        }
    }

    /// Merges rejections reported by other processes, and queues the new ones to be passed on.
    pub fn merge_and_forward(&mut self, received: &[Rejection], now: Time) {
        for rejection in received {
            if self.history.merge(*rejection, now) {
                let (first, until) = rejection.times(now);
                self.outbox.record(rejection.request, first, until);
            }
        }
    }

    /// Time of the first try, as [`History::first_try`].
    pub fn first_try(&self, request: Fingerprint, now: Time) -> Option<Time> {
        self.history.first_try(request, now)
    }

    /// Returns the rejections to send to `peer`, as [`Outbox::take_pending`].
    pub fn take_pending(&mut self, peer: SocketAddr, now: Time) -> Vec<Rejection> {
        self.outbox.take_pending(peer, now)
    }
}

/// Limit on the first event of a retry whose first try was `age` ago. `whole` is the limit of a
/// first try. A retry that can still be in time gets what is left of it, so that it is treated like
/// any other request; one that cannot gets `late`.
pub fn remaining_limit(whole: Duration, late: Duration, age: Duration) -> Duration {
    whole.saturating_sub(age).max(late.min(whole))
}
