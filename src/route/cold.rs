//! Replicas that are cold for a while after their start, and bear few requests in a second until then.

use std::time::Duration;

use crate::clock::Time;

/// Part of a second's requests that may come at once. A cold replica falls over well above its rate; with
/// a quarter more than that in the worst second there is room for what other processes send meanwhile.
const BURST_PART: f64 = 0.25;

/// Until when a replica is cold, by what it said last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cold {
    told_ms: u64,
    until: Time,
}

impl Cold {
    /// The replica says at `now` that it is cold for so many milliseconds. What it said before counts from
    /// when it said so first.
    pub fn tell(&mut self, told_ms: u64, now: Time) {
        if told_ms != self.told_ms {
            *self = Self {
                told_ms,
                until: now + Duration::from_millis(told_ms),
            };
        }
    }

    /// For how long it still is.
    pub fn rest(&self, now: Time) -> Duration {
        self.until.since(now)
    }
}

/// Requests that may be sent to a cold replica, at a rate. It begins empty: what was sent before the
/// replica turned cold is not known.
#[derive(Debug, Clone, Copy, Default)]
pub struct Allowance {
    requests: f64,
    at: Option<Time>,
}

impl Allowance {
    /// Counts what has become allowed at `per_s` requests a second.
    fn fill(&mut self, per_s: f64, now: Time) {
        let passed = self.at.map_or(Duration::ZERO, |at| now.since(at));
        let most = (per_s * BURST_PART).max(1.0);
        self.requests = (self.requests + per_s * passed.as_secs_f64()).min(most);
        self.at = Some(now);
    }

    /// Whether a request may be sent now.
    pub fn allows(&mut self, per_s: f64, now: Time) -> bool {
        self.fill(per_s, now);
        self.requests >= 1.0
    }

    /// Takes one request, if it may be sent now.
    pub fn take(&mut self, per_s: f64, now: Time) -> bool {
        let allowed = self.allows(per_s, now);
        if allowed {
            self.requests -= 1.0;
        }
        allowed
    }
}
