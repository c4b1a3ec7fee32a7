//! How long calls to the platform's store wait, and the pauses between them.
//!
//! A call that falls into a silence of the store is never answered, and whoever waits for it hears
//! of no change meanwhile. So no wait is long, and shorter yet until the store has answered again.

use std::time::Duration;

use crate::backoff::Backoff;
use crate::source::Topic;
use crate::timeout;

/// How long a watch of what operators write waits: with [`MARGIN`] less than the three seconds that
/// machines have, by the rules, to be in touch again after trouble of the store.
const OPERATOR_WAIT: Duration = Duration::from_secs(2);

/// How long a watch of the list waits. Heartbeats of replicas end it long before that: a watch
/// that waits so long shows that the store is not in reach.
const REPLICAS_WAIT: Duration = Duration::from_secs(1);

/// How long a watch waits after a failure: it is to show soon whether the store answers again.
const PROBE_WAIT: Duration = Duration::from_millis(300);

/// How much longer than its wait the beginning of an answer may take.
const MARGIN: Duration = Duration::from_millis(700);

/// How long the beginning of the answer to a whole read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two watches of what operators write: changes within it come in one answer.
const OPERATOR_GAP: Duration = Duration::from_millis(200);

/// Pause between two watches of the list, which changes with every heartbeat of a replica.
const REPLICAS_GAP: Duration = Duration::from_millis(500);

/// First pause after a failure, doubled up to [`PAUSE_MAX`].
const PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a failure, before jitter.
const PAUSE_MAX: Duration = Duration::from_millis(600);

/// The times of one topic's calls.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    topic: Topic,
    backoff: Backoff,
}

impl Pace {
    /// The times of calls about `topic`, none of which failed yet.
    pub fn new(topic: Topic) -> Self {
        Self {
            topic,
            backoff: Backoff::new(PAUSE, PAUSE_MAX),
        }
    }

    /// Whether the last call was answered.
    pub fn reached(&self) -> bool {
        self.failures() == 0
    }

    /// Calls that failed since the last answer.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// How long the store is asked to wait for a change.
    pub fn wait(&self) -> Duration {
        match (self.reached(), self.topic) {
            (false, _) => PROBE_WAIT,
            (true, Topic::Operator) => OPERATOR_WAIT,
            (true, Topic::Replicas) => REPLICAS_WAIT,
        }
    }

    /// How long an answer is waited for; `whole` for a read of everything. A long one may take
    /// its time once it has begun.
    pub fn patience(&self, whole: bool) -> timeout::Config {
        timeout::Config::with_first_byte(if whole {
            READ_TIMEOUT
        } else {
            self.wait() + MARGIN
        })
    }

    /// A call was answered. Returns the pause before the next.
    pub fn answered(&mut self) -> Duration {
        self.backoff.succeeded();
        match self.topic {
            Topic::Operator => OPERATOR_GAP,
            Topic::Replicas => REPLICAS_GAP,
        }
    }

    /// A call failed. Returns the pause before the next, `jitter` times the usual.
    pub fn failed(&mut self, jitter: f64) -> Duration {
        self.backoff.failed().mul_f64(jitter)
    }
}
