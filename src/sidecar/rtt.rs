//! How long exchanges with entries take, as a measure of the box's link.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// How long a finished exchange counts.
const RECENT: Duration = Duration::from_millis(1_500);

/// Exchanges that are remembered.
const EXCHANGES_MAX: usize = 256;

/// The exchanges of late.
#[derive(Debug)]
pub struct Window {
    finished: VecDeque<(Time, Duration)>,
    last: Time,
}

impl Window {
    /// No exchange yet, as of `now`.
    pub fn new(now: Time) -> Self {
        Self {
            finished: VecDeque::new(),
            last: now,
        }
    }

    /// An exchange that took so long has brought its answer.
    pub fn record(&mut self, took: Duration, now: Time) {
        self.last = now;
        self.finished.push_back((now, took));
        if self.finished.len() > EXCHANGES_MAX {
            self.finished.pop_front();
        }
    }

    /// The shortest exchange of late: a link that is held up lengthens all of them, an entry that
    /// has gone only its own. Without any, the time since the last one.
    pub fn min(&mut self, now: Time) -> Duration {
        while let Some((at, _)) = self.finished.front()
            && now.since(*at) > RECENT
        {
            self.finished.pop_front();
        }
        let took = self.finished.iter().map(|(_, took)| *took);
        took.min().unwrap_or_else(|| now.since(self.last))
    }
}
