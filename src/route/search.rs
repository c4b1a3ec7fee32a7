//! Whom to ask for a place, and with which limit.
//!
//! An entry's own picture of its hall is up to a second old. So it asks the process beside the
//! replica that looks best. The first ones are asked for a place at once: a replica that has none is
//! passed over while others may have one. If none of them has, the one that is the least behind is
//! asked for a place in its queue.

use std::time::Duration;

use super::pool::Key;

/// What is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Choose a replica that was not asked yet and ask for a place within the tight limit.
    Probe,
    /// Ask this one again, for a place within the whole limit.
    Retry(Key),
    /// Nobody has a place, or nobody answers: go by what is known.
    Decide,
}

/// What a replica's process said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// There is no place within the tight limit, but a first event is expected after so long.
    Queued(Duration),
    /// It does not answer, or takes nothing.
    Unavailable,
}

/// The search for one request's place.
#[derive(Debug, Clone)]
pub struct Search {
    limit: Duration,
    asks: u32,
    asked: Vec<Key>,
    least: Option<(Duration, Key)>,
    insisted: bool,
    silent: bool,
}

impl Search {
    /// A search that asks `asks` processes at most for a first event within `limit`.
    pub fn new(asks: u32, limit: Duration) -> Self {
        Self {
            limit,
            asks,
            asked: Vec::new(),
            least: None,
            insisted: false,
            silent: false,
        }
    }

    /// Replicas that were asked.
    pub fn probed(&self) -> &[Key] {
        &self.asked
    }

    /// The replica that is the least behind of those that said so, and when its first event is expected.
    pub fn best(&self) -> Option<(Duration, Key)> {
        self.least
    }

    /// What is next.
    pub fn step(&self) -> Step {
        // One silent process costs a good part of the objective; a second one would cost the rest.
        if self.silent || self.insisted {
            return Step::Decide;
        }
        if (self.asked.len() as u32) < self.asks {
            return Step::Probe;
        }
        match self.least {
            Some((expected, key)) if expected <= self.limit => Step::Retry(key),
            _ => Step::Decide,
        }
    }

    /// There is nobody else to ask.
    pub fn exhausted(&mut self) {
        self.asks = self.asked.len() as u32;
    }

    /// The process beside `key` answered something else than that there is a place.
    pub fn record(&mut self, key: Key, said: Reply) {
        if self.asked.contains(&key) {
            self.insisted = true;
        } else {
            self.asked.push(key);
        }
        match said {
            Reply::Queued(expected) => {
                // What the one that was asked again says now replaces what it said at first.
                if self.insisted || self.least.is_none_or(|(least, _)| expected < least) {
                    self.least = Some((expected, key));
                }
            }
            Reply::Unavailable => {}
        }
    }

    /// The process beside `key` was silent.
    pub fn timed_out(&mut self, key: Key) {
        self.asked.push(key);
        self.silent = true;
    }
}
