//! Which sidecars to ask for a slot lease, and within which limit.
//!
//! What an entry knows of its hall is up to a second old, so it asks the sidecar of the replica
//! that looks best. The first requests are for a lease on a free slot: a replica without one is
//! skipped while others may have one. If none of them has, the replica with the shortest expected
//! wait is asked for a place in its queue.

use std::time::Duration;

use super::pool::Key;

/// Next step of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Choose a replica that was not asked yet, and ask it for a lease within the immediate limit.
    Probe,
    /// Ask this replica again, for a lease within the queued limit.
    Retry(Key),
    /// No replica granted a lease, or none answers: decide by what is known.
    Decide,
}

/// Answer of a sidecar that granted no lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// No lease within the immediate limit.
    Queued {
        /// Expected time to the first event.
        expected: Duration,
        /// Limit on that time at this replica.
        limit: Duration,
    },
    /// The sidecar does not answer, or the replica takes no requests.
    Unavailable,
}

/// Search for a replica that takes one request.
#[derive(Debug, Clone)]
pub struct Search {
    probes_max: u32,
    probed: Vec<Key>,
    best: Option<(Duration, Key)>,
    best_limit: Duration,
    retried: bool,
    timed_out: bool,
}

impl Search {
    /// Creates a search that asks up to `probes_max` sidecars.
    pub fn new(probes_max: u32) -> Self {
        Self {
            best_limit: Duration::ZERO,
            probes_max,
            probed: Vec::new(),
            best: None,
            retried: false,
            timed_out: false,
        }
    }

    /// Replicas that were asked.
    pub fn probed(&self) -> &[Key] {
        &self.probed
    }

    /// The replica with the shortest expected time to its first event among those that gave one,
    /// and that time.
    pub fn best(&self) -> Option<(Duration, Key)> {
        self.best
    }

    /// Returns the next step.
    pub fn step(&self) -> Step {
        // One sidecar that does not answer uses up a good part of the objective; a second one would
        // use up the rest.
        if self.timed_out || self.retried {
            return Step::Decide;
        }
        if (self.probed.len() as u32) < self.probes_max {
            return Step::Probe;
        }
        match self.best {
            Some((expected, key)) if expected <= self.best_limit => Step::Retry(key),
            _ => Step::Decide,
        }
    }

    /// Ends probing: there is no other replica to ask.
    pub fn exhausted(&mut self) {
        self.probes_max = self.probed.len() as u32;
    }

    /// Records an answer that granted no lease.
    pub fn record(&mut self, key: Key, reply: Reply) {
        if self.probed.contains(&key) {
            self.retried = true;
        } else {
            self.probed.push(key);
        }
        match reply {
            Reply::Queued { expected, limit } => {
                // The answer to a retry replaces the replica's first answer.
                if self.retried || self.best.is_none_or(|(best, _)| expected < best) {
                    self.best = Some((expected, key));
                    self.best_limit = limit;
                }
            }
            Reply::Unavailable => {}
        }
    }

    /// Records that the sidecar of `key` did not answer in time.
    pub fn timed_out(&mut self, key: Key) {
        self.probed.push(key);
        self.timed_out = true;
    }
}
