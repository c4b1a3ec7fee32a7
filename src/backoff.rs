//! Pauses that grow with each failure.

use std::time::Duration;

/// Doublings after which no pause grows any more, whatever its bound: the shortest one here, of
/// 100 ms, would then last 2 hours.
const DOUBLINGS_MAX: u32 = 16;

/// The pause after a failure: double that of the failure before, up to a bound. Jitter is its
/// caller's, and is not carried on to the next pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses from `first` to `longest`, without a failure yet.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A try failed. Returns the pause before the next.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.first * 2u32.pow(self.failures.min(DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        pause.min(self.longest)
    }

    /// A try succeeded: the next failure is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
