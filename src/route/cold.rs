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
pub struct TokenBucket {
    requests: f64,
    at: Time,
}

impl TokenBucket {
    /// None yet: the replica turned cold at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            requests: 0.0,
            at: now,
        }
    }

    /// What is allowed at `now`, at `per_s` requests a second.
    fn filled(&self, per_s: f64, now: Time) -> f64 {
        let most = (per_s * BURST_PART).max(1.0);
        let gained = per_s * now.since(self.at).as_secs_f64();
        (self.requests + gained).min(most)
    }

    /// Whether a request may be sent now.
    pub fn allows(&self, per_s: f64, now: Time) -> bool {
        self.filled(per_s, now) >= 1.0
    }

    /// Takes one request, if it may be sent now.
    pub fn take(&mut self, per_s: f64, now: Time) -> bool {
        let allowed = self.allows(per_s, now);
        if allowed {
            self.requests = self.filled(per_s, now) - 1.0;
            self.at = now;
        }
        allowed
    }
}
