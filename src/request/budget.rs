//! The budget of repeated requests that all entries share without talking about it.
//!
//! Over every window of the given length, what a service receives beyond the first of each request
//! may not exceed a ratio of its requests and a fixed slack. Each entry spends the ratio of its own
//! requests and its part of the slack, so that the sum holds however the requests are spread.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Part of the ratio that is spent, in hundredths: windows at the judge begin elsewhere.
const RATIO_SPENT: f64 = 0.8;

/// Length of a count.
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
    /// Whether an entry that starts may spend its part of the slack at once. One that is started again may
    /// not: what it replaces may have spent it just before.
    pub slack_at_once: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
            window: Duration::from_secs(10),
            slack_at_once: true,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    began: Time,
    requests: u32,
    repeats: u32,
}

/// One service's budget at one entry.
#[derive(Debug)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
    slack_from: Time,
}

impl Budget {
    /// The budget of an entry that started at `began`.
    pub fn new(setting: Setting, began: Time) -> Self {
        let without = if setting.slack_at_once {
            Duration::ZERO
        } else {
            setting.window
        };
        Self {
            buckets: VecDeque::new(),
            slack_from: began + without,
        }
    }

    fn bucket(&mut self, setting: Setting, now: Time) -> &mut Bucket {
        // A repeat counts for a bucket longer than the window, a request for one less.
        let kept = setting.window + BUCKET;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.began) > kept)
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
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// A request came in.
    pub fn request(&mut self, setting: Setting, now: Time) {
        self.bucket(setting, now).requests += 1;
    }

    /// Takes one repeat if there is one for this of `entries` entries.
    pub fn spend(&mut self, setting: Setting, entries: usize, now: Time) -> bool {
        self.bucket(setting, now);
        let requests: u32 = self
            .buckets
            .iter()
            .filter(|bucket| now.since(bucket.began) + BUCKET <= setting.window)
            .map(|bucket| bucket.requests)
            .sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let own = setting.ratio * RATIO_SPENT * f64::from(requests);
        let slack = if now < self.slack_from {
            0.0
        } else {
            setting.slack / entries.max(1) as f64
        };
        let allowed = own + slack;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.bucket(setting, now).repeats += 1;
        true
    }
}
