//! Estimates the delay of the box's link from the round-trip times of exchanges with entries.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Length of the sliding window.
const LENGTH: Duration = Duration::from_millis(1_500);

/// Maximum number of samples in the window.
const SAMPLES_MAX: usize = 256;

/// A sliding window over the round-trip times of finished exchanges.
#[derive(Debug)]
pub struct Window {
    samples: VecDeque<(Time, Duration)>,
    last_sample: Time,
}

impl Window {
    /// Creates an empty window at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            samples: VecDeque::new(),
            last_sample: now,
        }
    }

    /// Records that an exchange was answered at `now`, after `rtt`.
    pub fn record(&mut self, rtt: Duration, now: Time) {
        self.last_sample = now;
        self.samples.push_back((now, rtt));
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Returns the minimum of the window, since a congested link delays all exchanges, but an entry that
    /// is gone only its own. If the window is empty, returns the time since the last sample.
    pub fn min(&mut self, now: Time) -> Duration {
        while let Some((at, _)) = self.samples.front()
            && now.since(*at) > LENGTH
        {
            self.samples.pop_front();
        }
        let rtts = self.samples.iter().map(|(_, rtt)| *rtt);
        rtts.min().unwrap_or_else(|| now.since(self.last_sample))
    }
}
