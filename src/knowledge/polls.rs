//! When an entry asks another data hall how its replicas do.
//!
//! Processes beside replicas report to the entries of their own hall only; bytes between halls are
//! dear. The entry that tells its hall asks an entry of each other hall, and what it is answered
//! goes to the others of its hall with its frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::clock::Time;
use crate::member::peer::Peers;

/// How often another hall is asked.
pub const PERIOD: Duration = Duration::from_millis(500);

/// How often an answer is to name the entries that are known.
const NAME_ENTRIES: Duration = Duration::from_millis(1_000);

/// What is known of questions to a hall.
#[derive(Debug, Clone, Copy, Default)]
struct PollState {
    at: Option<Time>,
    named: Option<Time>,
    waiting: bool,
}

/// Another hall is to be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Poll {
    /// The hall.
    pub hall: Arc<str>,
    /// Its entry to ask.
    pub entry: SocketAddr,
    /// Whether the answer is to name the entries that are known.
    pub wants_peers: bool,
}

/// The other halls.
#[derive(Debug, Default)]
pub struct Polls {
    asked: BTreeMap<Arc<str>, PollState>,
}

impl Polls {
    /// Which halls the entry that tells `own_hall` asks now.
    pub fn due(
        &mut self,
        own_hall: &str,
        peers: &Peers,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Poll> {
        let mut asks = Vec::new();
        for (hall, entries) in peers.by_other_hall(own_hall, now) {
            let asked = self.asked.entry(hall.clone()).or_default();
            if asked.waiting || asked.at.is_some_and(|at| now.since(at) < PERIOD) {
                continue;
            }
            let wants_peers = asked.named.is_none_or(|at| now.since(at) >= NAME_ENTRIES);
            asked.waiting = true;
            asked.at = Some(now);
            if wants_peers {
                asked.named = Some(now);
            }
            asks.push(Poll {
                entry: entries[rng.random_range(0..entries.len())],
                hall,
                wants_peers,
            });
        }
        asks
    }

    /// A hall answered, or did not.
    pub fn finished(&mut self, hall: &str) {
        if let Some(asked) = self.asked.get_mut(hall) {
            asked.waiting = false;
        }
    }
}
