//! Rate limiting of replicas that are cold for a while after their start and can take only few
//! requests per second until then.

use std::time::Duration;

use crate::clock::Time;

/// Burst size as a fraction of the requests allowed per second. A cold replica fails well above its
/// rate; a worst second with a quarter more leaves room for what other processes send meanwhile.
const BURST_FRACTION: f64 = 0.25;

/// End of a replica's cold phase, by its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cold {
    reported_ms: u64,
    until: Time,
}

impl Cold {
    /// Applies the remaining cold time that the replica reports at `now`. A repeated value counts
    /// from when it was first reported.
    pub fn update(&mut self, reported_ms: u64, now: Time) {
        if reported_ms != self.reported_ms {
            *self = Self {
                reported_ms,
                until: now + Duration::from_millis(reported_ms),
            };
        }
    }

    /// Time until the replica is warm.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until.since(now)
    }
}

/// Token bucket for requests to a cold replica. It starts empty, since the requests sent before the
/// replica turned cold are not known.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket for a replica that turned cold at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Tokens available at `now`, refilled at `per_s` per second.
    fn available(&self, per_s: f64, now: Time) -> f64 {
        let capacity = (per_s * BURST_FRACTION).max(1.0);
        let refilled = per_s * now.since(self.updated_at).as_secs_f64();
        (self.tokens + refilled).min(capacity)
    }

    /// Whether a token is available.
    pub fn allows(&self, per_s: f64, now: Time) -> bool {
        self.available(per_s, now) >= 1.0
    }

    /// Takes a token if one is available.
    pub fn take(&mut self, per_s: f64, now: Time) -> bool {
        let allowed = self.allows(per_s, now);
        if allowed {
            self.tokens = self.available(per_s, now) - 1.0;
            self.updated_at = now;
        }
        allowed
    }
}
