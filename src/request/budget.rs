//! Retry budget, shared by all entries without communication.
//!
//! In every window of the configured length, the attempts that a service receives beyond the first
//! of each request must not exceed a ratio of its requests plus a fixed slack. Each entry spends
//! the ratio of its own requests and its share of the slack, so that the total holds however the
//! requests are distributed.
//!
//! The limit applies to arrivals. A retry may wait for a slot or be delayed on a link while a
//! window passes and the next budget is spent. It therefore counts from the decision until a window
//! after it has certainly arrived.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::exchange::LOSS_TIMEOUT;

/// Fraction of the ratio that is spent, because the windows in which the limit is checked start at
/// other times than the ones counted here. A restarted entry spends only the remaining fraction
/// while retries of its previous run may still count.
const SPENT_FRACTION: f64 = 0.8;

/// Time over which requests are counted together.
const BUCKET_LENGTH: Duration = Duration::from_millis(250);

/// The limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries, summed over all entries.
    pub slack: f64,
    /// The length of every window.
    pub window: Duration,
    /// Whether an entry may spend its full share immediately after its start. A restarted entry may
    /// not, because its previous run may just have spent it; it has only the part of the window's
    /// budget that every run leaves unspent.
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

/// Identifies a retry that was taken from a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reservation(u64);

/// The budget of one service at one entry.
#[derive(Debug)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
    /// The retries that still count, with their time of arrival; `None` while a retry may be in
    /// transit.
    retries: BTreeMap<Reservation, Option<Time>>,
    last_reservation: u64,
    /// Time from which no retry of a previous run counts any more.
    previous_run_expired: Time,
}

impl Budget {
    /// Creates the budget of an entry that started at `began`.
    pub fn new(setting: Setting, began: Time) -> Self {
        let previous_run_counts = if setting.full_at_start {
            Duration::ZERO
        } else {
            setting.window + LOSS_TIMEOUT
        };
        Self {
            buckets: VecDeque::new(),
            retries: BTreeMap::new(),
            last_reservation: 0,
            previous_run_expired: began + previous_run_counts,
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
        let current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.began) < BUCKET_LENGTH);
        if !current {
            self.buckets.push_back(Bucket {
                began: now,
                requests: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Records a request.
    pub fn request(&mut self, setting: Setting, now: Time) {
        self.bucket(setting, now).requests += 1;
    }

    /// Reserves a retry at one of `entries` entries, if the budget allows it. It counts as in
    /// transit until [`Self::arrived`] or [`Self::release`] is called.
    pub fn reserve(&mut self, setting: Setting, entries: usize, now: Time) -> Option<Reservation> {
        if self.left(setting, entries, now) == 0 {
            return None;
        }
        self.last_reservation += 1;
        let reservation = Reservation(self.last_reservation);
        self.retries.insert(reservation, None);
        Some(reservation)
    }

    /// Retries that the budget still allows at one of `entries` entries.
    pub fn left(&mut self, setting: Setting, entries: usize, now: Time) -> u32 {
        self.bucket(setting, now);
        // Requests count for one bucket less than the window, retries for one bucket more, so that
        // rounding to buckets never raises the budget.
        let requests: u32 = self
            .buckets
            .iter()
            .filter(|bucket| now.since(bucket.began) + BUCKET_LENGTH <= setting.window)
            .map(|bucket| bucket.requests)
            .sum();
        let counts = |arrived: Time| now.since(arrived) <= setting.window + BUCKET_LENGTH;
        self.retries.retain(|_, arrived| arrived.is_none_or(counts));
        let (fraction, slack) = if now < self.previous_run_expired {
            (1.0 - SPENT_FRACTION, 0.0)
        } else {
            (SPENT_FRACTION, setting.slack / entries.max(1) as f64)
        };
        let earned = setting.ratio * fraction * f64::from(requests);
        (earned + slack - self.retries.len() as f64).max(0.0) as u32
    }

    /// Records that the retry has arrived by `at`, which may be in the future.
    pub fn arrived(&mut self, retry: Reservation, at: Time) {
        if let Some(arrived) = self.retries.get_mut(&retry) {
            arrived.get_or_insert(at);
        }
    }

    /// Returns a retry that was not sent and will not be.
    pub fn release(&mut self, retry: Reservation) {
        self.retries.remove(&retry);
    }
}
