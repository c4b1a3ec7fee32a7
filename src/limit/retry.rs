//! Who comes back after a refusal, known by what was refused.
//!
//! While engines are full, a place for a caller who is late already is one less for a caller who can
//! still be in time. A deadline does not tell the two apart: callers have deadlines of many lengths
//! of their own. So entries remember what they refused by a fingerprint of what stays the same when a
//! caller tries again, and tell it with the questions for places that they ask anyway. Whoever comes
//! back is then known at whichever entry and replica of the hall.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::hash;

/// Refused requests that are remembered, the newest of them: 2,000 a second for two seconds each.
const REMEMBERED_MAX: usize = 4_096;

/// Refused requests that are told with one message, the newest of them: 11 bytes each. A hall of 13
/// entries that refuses 70 requests a second is told of all of them within a third of a second.
const TOLD_MAX: usize = 24;

/// Processes to which the log remembers what it told, far more than replicas of a hall.
const LISTENERS_MAX: usize = 1_024;

/// What stays the same of a request when its caller tries again. Two different requests have the
/// same once in four billion pairs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Fingerprint(u32);

impl Fingerprint {
    /// The fingerprint of `parts`.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(hash::of(parts) as u32)
    }
}

/// A refused request as one process tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct Rejection {
    /// The request.
    pub request: Fingerprint,
    /// Milliseconds since its caller's first try.
    pub age_ms: u32,
    /// Milliseconds until its caller can't be back any more.
    pub left_ms: u32,
}

impl Rejection {
    /// When its caller tried first, and until when it can be back, where that was told at `now`.
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
    fn from(refused: Rejection) -> Self {
        (refused.request.0, refused.age_ms, refused.left_ms)
    }
}

#[derive(Debug, Clone, Copy)]
struct Try {
    first: Time,
    until: Time,
}

/// Requests that were refused lately.
#[derive(Debug, Default)]
pub struct History {
    tries: BTreeMap<Fingerprint, Try>,
    order: VecDeque<Fingerprint>,
}

impl History {
    /// A request was refused whose caller tried first at `first`, and can be back up to `until`.
    pub fn record(&mut self, request: Fingerprint, first: Time, until: Time) {
        let remembered = self.tries.get(&request).copied();
        // Whoever asks for the same after that is another caller, or the same one for the first time again.
        let known = remembered.filter(|known| first <= known.until);
        let first = known.map_or(first, |known| known.first.min(first));
        let until = known.map_or(until, |known| known.until.max(until));
        self.tries.insert(request, Try { first, until });
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

    /// Another process told of a refused request. Returns whether that is news.
    pub fn merge(&mut self, refused: Rejection, now: Time) -> bool {
        let (first, until) = refused.times(now);
        let known = self.tries.get(&refused.request);
        let news = known.is_none_or(|known| first > known.until);
        self.record(refused.request, first, until);
        news
    }

    /// When the caller of a request tried first, if it was refused and can be back.
    pub fn first_try(&self, request: Fingerprint, now: Time) -> Option<Time> {
        let known = self.tries.get(&request)?;
        (now <= known.until).then_some(known.first)
    }

    /// Requests that it remembers.
    pub fn remembered(&self) -> usize {
        self.tries.len()
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    number: u64,
    request: Fingerprint,
    tried: Try,
}

/// What is to be told of refused requests, and who was told what.
#[derive(Debug, Default)]
pub struct Outbox {
    entries: VecDeque<Entry>,
    next: u64,
    told: BTreeMap<SocketAddr, u64>,
}

impl Outbox {
    /// A request was refused, as for [`Memory::refused`].
    pub fn record(&mut self, request: Fingerprint, first: Time, until: Time) {
        self.next += 1;
        self.entries.push_back(Entry {
            number: self.next,
            request,
            tried: Try { first, until },
        });
        if self.entries.len() > TOLD_MAX {
            self.entries.pop_front();
        }
    }

    /// What the process at `listener` is told now: what it was not told, and matters yet.
    pub fn take_pending(&mut self, listener: SocketAddr, now: Time) -> Vec<Rejection> {
        if self.told.len() > LISTENERS_MAX {
            self.told.clear();
        }
        let before = self.told.insert(listener, self.next).unwrap_or(0);
        let new = self.entries.iter().filter(|entry| entry.number > before);
        let matters = new.filter(|entry| now <= entry.tried.until);
        matters
            .map(|entry| Rejection {
                request: entry.request,
                age_ms: now.since(entry.tried.first).as_millis() as u32,
                left_ms: entry.tried.until.since(now).as_millis() as u32,
            })
            .collect()
    }
}

/// Requests that were refused lately, as one process knows them, and what it tells of them.
#[derive(Debug, Default)]
pub struct Rejections {
    memory: History,
    log: Outbox,
}

impl Rejections {
    /// A request was refused here, as for [`Memory::refused`]: others are told.
    pub fn record(&mut self, request: Fingerprint, first: Time, until: Time) {
        self.memory.record(request, first, until);
        self.log.record(request, first, until);
    }

    /// Others told of refused requests.
    pub fn merge(&mut self, told: &[Rejection], now: Time) {
        for refused in told {
            self.memory.merge(*refused, now);
        }
    }

    /// Others told of refused requests; what is news is told on.
    pub fn merge_and_forward(&mut self, told: &[Rejection], now: Time) {
        for refused in told {
            if self.memory.merge(*refused, now) {
                let (first, until) = refused.times(now);
                self.log.record(refused.request, first, until);
            }
        }
    }

    /// When the caller of a request tried first, as for [`Memory::first_try`].
    pub fn first_try(&self, request: Fingerprint, now: Time) -> Option<Time> {
        self.memory.first_try(request, now)
    }

    /// What the process at `listener` is told, as for [`Log::tell`].
    pub fn take_pending(&mut self, listener: SocketAddr, now: Time) -> Vec<Rejection> {
        self.log.take_pending(listener, now)
    }
}

/// The limit on the first event of a request whose caller tried first `age` ago, where `whole` is that
/// of a first try: what is left of it, so that whoever can be in time is treated like any other, and
/// `late` for whoever cannot.
pub fn remaining_limit(whole: Duration, late: Duration, age: Duration) -> Duration {
    whole.saturating_sub(age).max(late.min(whole))
}
