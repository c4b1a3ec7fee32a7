//! Timeouts of calls to the platform's store, and the pauses between them.
//!
//! A call made while the store is silent is never answered, and its caller learns of no changes
//! meanwhile. So timeouts are short, and even shorter after a failure until the store answers again.

use std::time::Duration;

use crate::backoff::Backoff;
use crate::source::Topic;
use crate::timeout;

/// Timeout of a watch of the operators' topic. Together with [`ANSWER_MARGIN`], it is below the three
/// seconds within which machines must be in touch with the store again after an outage.
const OPERATOR_WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a watch of the list of replicas. Heartbeats of replicas end it much earlier, so a watch
/// that lasts this long shows that the store is unreachable.
const REPLICAS_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a watch after a failure. It is short to show soon whether the store answers again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Additional time after the timeout of a watch within which its answer must begin.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Timeout for the start of the answer to a read of a whole topic.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two watches of the operators' topic. Changes within it arrive in one answer.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between two watches of the list of replicas, which changes with every heartbeat of a replica.
const REPLICAS_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after the first failure, doubled with each further one up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(150);

/// Maximum pause after a failure, before jitter.
const BACKOFF_MAX: Duration = Duration::from_millis(600);

/// The timing of the calls for one topic.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    topic: Topic,
    backoff: Backoff,
}

impl Schedule {
    /// The timing of calls for `topic`, none of which has failed yet.
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            backoff: Backoff::new(BACKOFF_MIN, BACKOFF_MAX),
        }
    }

    /// Whether the last call was answered.
    pub fn is_reachable(&self) -> bool {
        self.failures() == 0
    }

    /// Number of calls that have failed since the last answer.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// How long the store is requested to wait for a change.
    pub fn watch_timeout(&self) -> Duration {
        match (self.is_reachable(), self.topic) {
            (false, _) => PROBE_TIMEOUT,
            (true, Topic::Operator) => OPERATOR_WATCH_TIMEOUT,
            (true, Topic::Replicas) => REPLICAS_WATCH_TIMEOUT,
        }
    }

    /// Timeouts for an answer; `whole` for a read of a whole topic. Once a long answer has begun, it may
    /// take as long as the default settings allow.
    pub fn timeouts(&self, whole: bool) -> timeout::Config {
        timeout::Config::with_first_byte(if whole {
            READ_TIMEOUT
        } else {
            self.watch_timeout() + ANSWER_MARGIN
        })
    }

    /// Records that a call was answered. Returns the pause before the next one.
    pub fn succeeded(&mut self) -> Duration {
        self.backoff.reset();
        match self.topic {
            Topic::Operator => OPERATOR_INTERVAL,
            Topic::Replicas => REPLICAS_INTERVAL,
        }
    }

    /// Records that a call failed. Returns the pause before the next one, multiplied by `jitter`.
    pub fn failed(&mut self, jitter: f64) -> Duration {
        self.backoff.next_delay().mul_f64(jitter)
    }
}
