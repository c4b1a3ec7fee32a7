//! Time of the decision code: a count of microseconds that the caller passes in.
//!
//! Decisions never read a clock, so that replaying a recorded trace gives the same results.

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
    /// The instant `millis` milliseconds after the start of the count.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time elapsed since `earlier`, zero if `earlier` is in the future.
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

/// The value of a process's clock at its start. What others learned before that start is dated
/// back, and no relevant fact is older than this.
const START: Duration = Duration::from_secs(3_600);

/// Time since the machine was booted. It never goes back and, unlike the monotonic clock, includes
/// the time during which the machine was suspended: facts learned before are older than that clock
/// says.
pub fn since_boot() -> Duration {
    // The kernel has this clock wherever it has the monotonic one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// The clock of a process: converts the time since boot into [`Time`].
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
    /// The current time.
    pub fn now(&self) -> Time {
        Time::default() + START + since_boot().saturating_sub(self.origin)
    }

    /// The deadline at `time` by this clock.
    pub fn deadline(&self, time: Time) -> Deadline {
        Deadline {
            since_boot: self.origin + time.since(Time::default() + START),
        }
    }
}

/// A moment that means the same to all clocks of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    since_boot: Duration,
}

impl Deadline {
    /// Whether it has passed. The time during which the process or the machine was suspended counts.
    pub fn has_passed(&self) -> bool {
        since_boot() >= self.since_boot
    }
}

/// Milliseconds since the Unix epoch, for log lines, the audit trail and incarnations.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
