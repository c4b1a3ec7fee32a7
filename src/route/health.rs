//! What an entry learns of a replica from its own requests: unreachable, failing, or well.
//!
//! Three kinds of bad news are kept apart. A replica that cannot be reached from here is paused
//! for longer each time. One that breaks or fails some requests is judged by its rate against
//! its fellows. One that is gone is dropped by the list, not here.

use std::time::Duration;

use crate::clock::Time;

/// First pause, doubled with each further failure in a row.
const PAUSE: Duration = Duration::from_millis(500);

/// Doublings after which the pause grows no more.
const DOUBLINGS_MAX: u32 = 3;

/// Weight that older outcomes keep with each new one.
const KEPT: f64 = 0.93;

/// Weighted outcomes that are needed before a rate means something.
const SAMPLES_MIN: f64 = 4.0;

/// A replica is an outlier if its rate of failures is over its fellows' by so much.
const RATE_OVER: f64 = 0.2;

/// Weight of the newest measurement of time: one in this many.
const SMOOTHING: u32 = 8;

/// How an attempt ended, as far as the replica's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// An answer came whole after so long (a stream: its first event).
    Success(Duration),
    /// The replica answered with a failure of its own.
    Failed,
    /// The answer broke, or was none.
    Broken,
    /// Nothing came for longer than it may be silent.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// It refused, without having run the request.
    Refused,
    /// Nothing about the replica: the caller left, say, or the connection went silent with others.
    Neutral,
}

/// A replica's health as seen from here.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Health {
    row: u32,
    paused_until: Time,
    good: f64,
    bad: f64,
    usual: Option<Duration>,
}

impl Health {
    /// Takes the end of an attempt. `fellows` is the rate of failures of the service's other
    /// replicas.
    pub fn record(&mut self, sign: Signal, fellows: f64, now: Time) {
        match sign {
            Signal::Neutral => {}
            Signal::Success(took) => {
                self.row = 0;
                self.count(true);
                self.usual = Some(match self.usual {
                    None => took,
                    Some(usual) => (usual * (SMOOTHING - 1) + took) / SMOOTHING,
                });
            }
            Signal::Unreachable => self.pause(now),
            Signal::Failed | Signal::Broken | Signal::TimedOut | Signal::Refused => {
                self.count(false);
                let judged = self.good + self.bad >= SAMPLES_MIN;
                if judged && self.failure_rate() > fellows + RATE_OVER {
                    self.pause(now);
                }
            }
        }
    }

    fn count(&mut self, good: bool) {
        self.good *= KEPT;
        self.bad *= KEPT;
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    fn pause(&mut self, now: Time) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + PAUSE * 2u32.pow(self.row.min(DOUBLINGS_MAX));
        self.row += 1;
    }

    /// Share of recent attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        let all = self.good + self.bad;
        if all < 1.0 { 0.0 } else { self.bad / all }
    }

    /// Whether it is passed over now.
    pub fn paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// When it is tried again.
    pub fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// How long its answers took lately.
    pub fn latency(&self) -> Option<Duration> {
        self.usual
    }
}
