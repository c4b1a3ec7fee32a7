//! The budget of repeated requests that all entries share without talking about it.
//!
//! Over every window of the given length, what a service receives beyond the first of each request
//! may not exceed a ratio of its requests and a fixed slack. Each entry spends the ratio of its own
//! requests and its part of the slack, so that the sum holds however the requests are spread.
//!
//! The bound is on arrivals. A repeat that was decided may wait for a place, or be held up on a link, while a window passes and
//! another budget is spent. So it counts from its decision on, until a window after it has arrived for sure.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::exchange::LOST;

/// Part of the ratio that is spent: windows at the judge begin elsewhere. An entry that is started again has the rest
/// for as long as repeats of the life before may count.
const RATIO_SPENT: f64 = 0.8;

/// Length of a count of requests.
const BUCKET: Duration = Duration::from_millis(250);

/// The bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, over all entries.
    pub slack: f64,
    /// The length of every window.
    pub window: Duration,
    /// Whether an entry that starts may spend all of its part at once. One that is started again may not: the
    /// life before may have spent it just now, and what is left of the window's budget is what lives leave over.
    pub full_at_start: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
            window: Duration::from_secs(10),
            full_at_start: true,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    began: Time,
    requests: u32,
}

/// Names a repeat that was taken from a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reservation(u64);

/// One service's budget at one entry.
#[derive(Debug)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
    /// The repeats that count, with when each has arrived; none for one that may be on its way.
    repeats: BTreeMap<Reservation, Option<Time>>,
    spent: u64,
    /// From when on no life before counts.
    alone_from: Time,
}

impl Budget {
    /// The budget of an entry that started at `began`.
    pub fn new(setting: Setting, began: Time) -> Self {
        let counts_before = if setting.full_at_start {
            Duration::ZERO
        } else {
            setting.window + LOST
        };
        Self {
            buckets: VecDeque::new(),
            repeats: BTreeMap::new(),
            spent: 0,
            alone_from: began + counts_before,
        }
    }

    fn bucket(&mut self, setting: Setting, now: Time) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.began) > setting.window)
        {
            self.buckets.pop_front();
        }
        let fresh = self
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.began) < BUCKET);
        if !fresh {
            self.buckets.push_back(Bucket {
                began: now,
                requests: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// A request came in.
    pub fn request(&mut self, setting: Setting, now: Time) {
        self.bucket(setting, now).requests += 1;
    }

    /// Takes one repeat if there is one for this of `entries` entries. It counts until it is told what became of it.
    pub fn reserve(&mut self, setting: Setting, entries: usize, now: Time) -> Option<Reservation> {
        self.bucket(setting, now);
        // A request counts for a bucket less than the window, a repeat for one longer.
        let requests: u32 = self
            .buckets
            .iter()
            .filter(|bucket| now.since(bucket.began) + BUCKET <= setting.window)
            .map(|bucket| bucket.requests)
            .sum();
        let counts = |arrived: Time| now.since(arrived) <= setting.window + BUCKET;
        self.repeats.retain(|_, arrived| arrived.is_none_or(counts));
        let (part, slack) = if now < self.alone_from {
            (1.0 - RATIO_SPENT, 0.0)
        } else {
            (RATIO_SPENT, setting.slack / entries.max(1) as f64)
        };
        let own = setting.ratio * part * f64::from(requests);
        if (self.repeats.len() + 1) as f64 > own + slack {
            return None;
        }
        self.spent += 1;
        let key = Reservation(self.spent);
        self.repeats.insert(key, None);
        Some(key)
    }

    /// The repeat has arrived by `at`, which may lie ahead.
    pub fn arrived(&mut self, repeat: Reservation, at: Time) {
        if let Some(arrived) = self.repeats.get_mut(&repeat) {
            arrived.get_or_insert(at);
        }
    }

    /// The repeat was not sent, and will not be.
    pub fn release(&mut self, repeat: Reservation) {
        self.repeats.remove(&repeat);
    }
}
