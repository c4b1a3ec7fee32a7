//! Health of a replica, as an entry sees it from its own requests.
//!
//! Three kinds of failure are handled separately. A replica that cannot be reached from here is
//! paused, longer each time. One that breaks or fails some requests is compared with the failure
//! rate of its peers. One that is gone is removed by the replica list, not here.

use std::time::Duration;

use crate::clock::Time;

/// Initial pause, doubled with each further one in a row.
const PAUSE_BASE: Duration = Duration::from_millis(500);

/// Number of doublings after which the pause stops growing.
const DOUBLINGS_MAX: u32 = 3;

/// Factor by which older outcomes decay with each new one.
const DECAY: f64 = 0.93;

/// Weighted number of outcomes below which the failure rate is not significant.
const SAMPLES_MIN: f64 = 4.0;

/// A replica is an outlier if its failure rate exceeds its peers' by more than this.
const OUTLIER_MARGIN: f64 = 0.2;

/// Time in which the excess of a latency that no response confirms decays by half. Requests may be
/// refused for it, and then none would correct it.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);

/// The newest latency enters the moving average with a weight of one in this many.
const SMOOTHING_DIVISOR: u32 = 8;

/// Outcome of an attempt, as far as the replica's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The response was complete after this time (a stream: its first event).
    Success(Duration),
    /// The replica answered with an error of its own.
    Failed,
    /// The response broke off, or there was none.
    Broken,
    /// Nothing arrived within the time that the replica may be silent.
    TimedOut,
    /// The replica went on after that.
    Recovered,
    /// No connection could be opened.
    Unreachable,
    /// The replica refused the request without running it.
    Refused,
    /// Says nothing about the replica: the caller disconnected, for example, or the connection went
    /// silent together with others.
    Neutral,
}

/// Health of one replica as seen from this entry.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Health {
    pauses_in_row: u32,
    paused_until: Time,
    successes: f64,
    failures: f64,
    latency: Option<Duration>,
    /// When a response last confirmed it.
    latency_at: Time,
}

impl Health {
    /// Records the outcome of an attempt. `peer_failure_rate` is the failure rate of the service's
    /// other replicas.
    pub fn record(&mut self, signal: Signal, peer_failure_rate: f64, now: Time) {
        match signal {
            Signal::Neutral => {}
            Signal::Success(took) => {
                self.pauses_in_row = 0;
                self.add_outcome(true);
                self.latency_at = now;
                self.latency = Some(match self.latency {
                    None => took,
                    Some(latency) => (latency * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR,
                });
            }
            Signal::Recovered => {
                self.failures = (self.failures - 1.0).max(0.0);
                self.successes += 1.0;
                self.pauses_in_row = 0;
                self.paused_until = now;
            }
            Signal::Unreachable => self.pause(now),
            Signal::Failed | Signal::Broken | Signal::TimedOut | Signal::Refused => {
                self.add_outcome(false);
                let significant = self.successes + self.failures >= SAMPLES_MIN;
                if significant && self.failure_rate() > peer_failure_rate + OUTLIER_MARGIN {
                    self.pause(now);
                }
            }
        }
    }

    fn add_outcome(&mut self, success: bool) {
        self.successes *= DECAY;
        self.failures *= DECAY;
        if success {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    fn pause(&mut self, now: Time) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + PAUSE_BASE * 2u32.pow(self.pauses_in_row.min(DOUBLINGS_MAX));
        self.pauses_in_row += 1;
    }

    /// Failure rate of recent attempts.
    pub fn failure_rate(&self) -> f64 {
        let all = self.successes + self.failures;
        if all < 1.0 { 0.0 } else { self.failures / all }
    }

    /// Whether the replica is skipped at `now`.
    pub fn paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// When the pause ends.
    pub fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Moving average of the response time. Its excess over `default` loses weight with age.
    pub fn latency(&self, default: Duration, now: Time) -> Duration {
        let latency = self.latency.unwrap_or(default);
        let age = now.since(self.latency_at);
        let halvings = age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let excess = latency.saturating_sub(default);
        latency - excess + excess.mul_f64(0.5f64.powf(halvings))
    }
}
