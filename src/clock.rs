//! Time as the decision code sees it: a count of microseconds that the caller passes in.
//!
//! Decisions never read a clock of their own, so that a recorded trace replays to the same outcome.

use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A monotonic instant, in microseconds since an hour before the process (or since a trace) began.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The instant `millis` milliseconds after the beginning.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time that has passed since `earlier`, zero when `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Where a process's clock begins: what others heard of before it began is dated back, and no fact
/// that matters is older than this.
const BEGINNING: Duration = Duration::from_secs(3_600);

/// Time since the machine was booted. It never goes back, and unlike the steady clock's it counts the time for which the machine
/// was suspended: what was believed before is older than that clock says.
pub fn since_boot() -> Duration {
    // The kernel has this clock wherever it has the steady one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// The clock at a process's edge: turns the time since the machine was booted into [`Time`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: since_boot(),
        }
    }
}

impl Clock {
    /// The present instant.
    pub fn now(&self) -> Time {
        Time::default() + BEGINNING + since_boot().saturating_sub(self.origin)
    }
}

/// Milliseconds since the Unix epoch, for log lines, the audit trail and incarnations.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
