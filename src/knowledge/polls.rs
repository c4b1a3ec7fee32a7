//! Plans when an entry polls other data halls for the status of their replicas.
//!
//! Sidecars report only to entries of their own hall, because traffic between halls is expensive. The
//! hub of a hall polls one entry of each other hall, and forwards the answers to the entries of its
//! own hall in its frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::clock::Time;
use crate::member::peer::Peers;

/// Interval at which each other hall is polled.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Interval at which polls request the known entries.
const NAMING_INTERVAL: Duration = Duration::from_millis(1_000);

/// The state of the polls of one hall.
#[derive(Debug, Clone, Copy, Default)]
struct PollState {
    started_at: Option<Time>,
    named_at: Option<Time>,
    in_progress: bool,
}

/// A poll to send to another hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Poll {
    /// The hall to poll.
    pub hall: Arc<str>,
    /// The entry of the hall that receives the poll.
    pub entry: SocketAddr,
    /// Whether the poll requests the known entries.
    pub wants_peers: bool,
}

/// The polls of all other halls.
#[derive(Debug, Default)]
pub struct Polls {
    polls: BTreeMap<Arc<str>, PollState>,
}

impl Polls {
    /// The polls that the hub of `own_hall` must send now.
    pub fn due(
        &mut self,
        own_hall: &str,
        peers: &Peers,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Poll> {
        let mut due = Vec::new();
        for (hall, entries) in peers.by_other_hall(own_hall, now) {
            let state = self.polls.entry(hall.clone()).or_default();
            if state.in_progress || state.started_at.is_some_and(|at| now.since(at) < PERIOD) {
                continue;
            }
            let wants_peers = state
                .named_at
                .is_none_or(|at| now.since(at) >= NAMING_INTERVAL);
            state.in_progress = true;
            state.started_at = Some(now);
            if wants_peers {
                state.named_at = Some(now);
            }
            due.push(Poll {
                entry: entries[rng.random_range(0..entries.len())],
                hall,
                wants_peers,
            });
        }
        due
    }

    /// Records the end of a poll, whether or not it was answered.
    pub fn finished(&mut self, hall: &str) {
        if let Some(state) = self.polls.get_mut(hall) {
            state.in_progress = false;
        }
    }
}
