//! Exponential backoff.

use std::time::Duration;

/// Maximum number of doublings, whatever the upper limit. The shortest delay here, of 100 ms, would
/// last 2 hours by then.
const DOUBLINGS_MAX: u32 = 16;

/// The delay after a failure, which doubles with each failure up to an upper limit. Jitter is added
/// by the caller, and does not affect the next delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with delays from `first` to `max` and no failure so far.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            failures: 0,
        }
    }

    /// The number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failed attempt. Returns the delay before the next.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.first * 2u32.pow(self.failures.min(DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        delay.min(self.max)
    }

    /// Records a successful attempt: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
