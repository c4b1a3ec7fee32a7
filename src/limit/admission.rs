//! Whether a request that has no replica yet is sent, waits, or is refused.
//!
//! A refusal that comes at once leaves its caller time to try again; one that comes late is worth
//! less than none. So a request waits here for a short part of its objective only.

use std::time::Duration;

/// Part of its objective that a request may wait here, in hundredths.
const WAIT_MAX: u32 = 15;

/// How long a waiting request waits before it is judged again.
pub const POLL_INTERVAL: Duration = Duration::from_millis(12);

/// Shortest time that a refused caller is asked to stay away.
const RETRY_MIN: Duration = Duration::from_millis(60);

/// Longest time that a refused caller is asked to stay away.
const RETRY_MAX: Duration = Duration::from_millis(1_500);

/// Time over which callers are spread who come back when weights are there: an engine reads the
/// prompts of all its slots in about half of it.
const SPREAD: Duration = Duration::from_millis(1_000);

/// Part of the time left for which a caller heeds when to come back, in hundredths: a little under
/// the third of the platform's protocol.
const HEEDED: u32 = 32;

/// What is known of a request when it is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Input {
    /// Time since its head came.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
    /// When the first event is expected if it is sent now; `None` without a replica.
    pub expected: Option<Duration>,
}

/// The bounds by which a request is judged, counted from when its head came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// When the first event has to be expected.
    pub limit: Duration,
    /// How long it may wait for that.
    pub wait: Duration,
}

impl Bounds {
    /// The bounds of a request whose first event has to be expected within `limit`.
    pub fn new(objective: Duration, limit: Duration) -> Self {
        Self {
            limit,
            wait: objective * WAIT_MAX / 100,
        }
    }
}

/// What is done with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Send,
    /// It waits for so long and is judged again.
    Wait(Duration),
    /// It is refused.
    Refuse {
        /// When its caller should come back.
        retry_after: Duration,
    },
}

/// Judges a request.
pub fn evaluate(case: Input, bounds: Bounds) -> Verdict {
    if let Some(expected) = case.expected
        && case.elapsed + expected <= bounds.limit
    {
        return Verdict::Send;
    }
    if case.elapsed + POLL_INTERVAL <= bounds.wait {
        return Verdict::Wait(POLL_INTERVAL);
    }
    let surplus = case.expected.map_or(RETRY_MAX / 3, |expected| {
        expected.saturating_sub(bounds.limit / 2)
    });
    let longest = RETRY_MAX.min(case.remaining / 4).max(RETRY_MIN);
    Verdict::Refuse {
        retry_after: surplus.clamp(RETRY_MIN, longest),
    }
}

/// When a caller should come back who was refused for want of weights that are expected after
/// `arrival`, if that can be told. `spread`, between 0 and 1, keeps those who return apart.
pub fn retry_after(arrival: Option<Duration>, remaining: Duration, spread: f64) -> Duration {
    let longest = (remaining * HEEDED / 100).max(RETRY_MIN);
    let apart = SPREAD.mul_f64(spread);
    let after = arrival.map_or(longest, |arrival| arrival + apart);
    after.clamp(RETRY_MIN, longest)
}
