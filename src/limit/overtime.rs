//! How long a plain response is relayed after its deadline. What its replica has ready is delivered,
//! also late, but not bytes without end.

use std::time::Duration;

use crate::clock::Time;
use crate::limit::memory::UNREAD_MIN;

/// Time after the deadline for a response that may never end, as its head states no length.
const UNKNOWN_LENGTH_MAX: Duration = Duration::from_millis(1_500);

/// The same for a response of a known length, of which 1 MB crosses a link of half a megabit per
/// second.
const KNOWN_LENGTH_MAX: Duration = Duration::from_secs(20);

/// The time that a response has after its deadline. It doesn't pass while the caller leaves the
/// response unread.
#[derive(Debug, Clone, Copy)]
pub struct Overtime {
    deadline: Time,
    limit: Duration,
}

impl Overtime {
    /// The overtime of a response that is due by `deadline`.
    pub fn new(deadline: Time, has_length: bool) -> Self {
        let limit = match has_length {
            true => KNOWN_LENGTH_MAX,
            false => UNKNOWN_LENGTH_MAX,
        };
        Self { deadline, limit }
    }

    /// Records that the caller took the last part at `now`, `after` it was handed over.
    pub fn record_taken(&mut self, now: Time, after: Duration) {
        if after >= UNREAD_MIN {
            self.limit += after.min(now.since(self.deadline));
        }
    }

    /// Whether the response has to end.
    pub fn is_over(&self, now: Time) -> bool {
        now.since(self.deadline) > self.limit
    }
}
