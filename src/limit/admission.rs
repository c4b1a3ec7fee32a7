//! Admission of a request that has no replica yet: send, wait or refuse.
//!
//! An immediate refusal leaves its caller time to try again; a late one is worse than none. So a
//! request waits here for a short part of its objective only.

use std::time::Duration;

/// Share of its objective that a request may wait here, in percent.
const WAIT_MAX_PERCENT: u32 = 15;

/// How long a waiting request waits before it is evaluated again.
pub const POLL_INTERVAL: Duration = Duration::from_millis(12);

/// Shortest retry delay given to a refused caller.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);

/// Longest retry delay given to a refused caller.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// Time over which the retries of refused callers are spread once weights have arrived. An engine
/// prefills the prompts for all its slots in about half of it.
const RETRY_SPREAD: Duration = Duration::from_millis(1_000);

/// Share of its remaining time up to which a caller respects the retry delay, in percent: a little
/// less than the third in the platform's protocol.
const RETRY_DELAY_SHARE_PERCENT: u32 = 32;

/// State of a request to be evaluated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Input {
    /// Time since the request's head arrived.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
    /// Expected time until the first event if it is sent now; `None` without a replica.
    pub expected: Option<Duration>,
}

/// Bounds for a request, counted from the arrival of its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Limit on the expected first event.
    pub limit: Duration,
    /// Limit on the wait for a replica that meets it.
    pub wait: Duration,
}

impl Bounds {
    /// Creates the bounds of a request whose first event has to be expected within `limit`.
    pub fn new(objective: Duration, limit: Duration) -> Self {
        Self {
            limit,
            wait: objective * WAIT_MAX_PERCENT / 100,
        }
    }
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it.
    Send,
    /// Wait for this time and evaluate it again.
    Wait(Duration),
    /// Refuse it.
    Refuse {
        /// Retry delay for its caller.
        retry_after: Duration,
    },
}

/// Decides whether a request is sent, waits or is refused.
pub fn evaluate(input: Input, bounds: Bounds) -> Verdict {
    if let Some(expected) = input.expected
        && input.elapsed + expected <= bounds.limit
    {
        return Verdict::Send;
    }
    if input.elapsed + POLL_INTERVAL <= bounds.wait {
        return Verdict::Wait(POLL_INTERVAL);
    }
    Verdict::Refuse {
        retry_after: overload_delay(input, bounds.limit),
    }
}

/// Retry delay for a caller that is refused because no first event is expected within `limit`.
pub fn overload_delay(input: Input, limit: Duration) -> Duration {
    let excess = input.expected.map_or(RETRY_DELAY_MAX / 3, |expected| {
        expected.saturating_sub(limit / 2)
    });
    let longest = RETRY_DELAY_MAX
        .min(input.remaining / 4)
        .max(RETRY_DELAY_MIN);
    excess.clamp(RETRY_DELAY_MIN, longest)
}

/// Retry delay for a caller that was refused because weights are missing. They are expected after
/// `arrival`, if known. `spread`, between 0 and 1, spreads the retries over time.
pub fn retry_after(arrival: Option<Duration>, remaining: Duration, spread: f64) -> Duration {
    let longest = (remaining * RETRY_DELAY_SHARE_PERCENT / 100).max(RETRY_DELAY_MIN);
    let offset = RETRY_SPREAD.mul_f64(spread);
    let delay = arrival.map_or(longest, |arrival| arrival + offset);
    delay.clamp(RETRY_DELAY_MIN, longest)
}
