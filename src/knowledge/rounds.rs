//! Plans the rounds of heartbeats of an entry: their targets and intervals. Does no I/O.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::readers::Readers;
use crate::clock::Time;
use crate::member::peer::Peers;

/// Interval at which an entry asks the readers of its hall, which also send updates on their own, twice
/// as often.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Replaces [`INTERVAL`] in the first rounds while an entry knows no other entry of its hall or lacks
/// the state that it needs to serve requests.
const INTERVAL_AT_START: Duration = Duration::from_millis(120);

/// Number of first rounds that may be [`INTERVAL_AT_START`] apart.
const START_ROUNDS: u32 = 20;

/// Interval, in rounds, at which the seeds and an entry of any hall are asked as well and known entries
/// are exchanged.
const SEED_ROUNDS: u32 = 3;

/// Maximum number of sidecars that are asked in a round.
const SIDECARS_MAX: usize = 2;

/// The state of an entry from which a round is planned.
#[derive(Debug, Clone, Copy)]
pub struct RoundInput<'a> {
    /// The entry's own address.
    pub own: SocketAddr,
    /// The entry's data hall.
    pub hall: &'a str,
    /// The other entries that it knows.
    pub peers: &'a Peers,
    /// Addresses of the seeds.
    pub seeds: &'a [SocketAddr],
    /// Whether the entry lacks the configuration or the list of replicas.
    pub lacks_initial_state: bool,
}

/// Whether a heartbeat sends and requests known entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerExchange {
    /// Neither sends nor requests entries.
    Skip,
    /// Requests the entries that the target knows.
    Pull,
    /// Sends the entries that the sender knows, and requests those that the target knows.
    PushPull,
    /// For polls of other halls: sends only the entries of the sender's hall, and requests those of
    /// the target's hall.
    PushPullHall,
}

/// One round of heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Round {
    /// The processes that are sent a heartbeat.
    pub targets: Vec<SocketAddr>,
    /// Whether the heartbeats send and request known entries.
    pub peer_exchange: PeerExchange,
    /// Time until the next round, before jitter.
    pub pause: Duration,
}

/// Plans the consecutive rounds of an entry.
#[derive(Debug, Default)]
pub struct RoundPlanner {
    next_number: u32,
}

impl RoundPlanner {
    /// Plans the next round. `sidecars` returns the addresses of sidecars, which also know entries and
    /// are asked if no entry answers.
    pub fn plan(
        &mut self,
        input: RoundInput<'_>,
        sidecars: impl Fn() -> Vec<SocketAddr>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Round {
        let number = self.next_number;
        self.next_number = number.saturating_add(1);
        let local_peers = input.peers.of_hall(input.hall, now);
        let is_seed_round = number.is_multiple_of(SEED_ROUNDS);
        let may_be_wide = local_peers.is_empty() || Readers::is_reader(input.own, &local_peers);
        let wide = may_be_wide && is_seed_round;
        let mut targets = Readers::update_sources(&local_peers);
        // Limits traffic between halls, which is expensive.
        if wide || targets.is_empty() {
            targets.extend(input.peers.sample(1, now, rng));
        }
        let no_entries = targets.is_empty();
        if no_entries || wide {
            let seeds = input.seeds.iter().copied();
            targets.extend(seeds.filter(|seed| *seed != input.own));
        }
        if no_entries && number > SEED_ROUNDS {
            let mut sidecars = sidecars();
            for _ in 0..SIDECARS_MAX.min(sidecars.len()) {
                let index = rng.random_range(0..sidecars.len());
                targets.push(sidecars.swap_remove(index));
            }
        }
        targets.sort_unstable();
        targets.dedup();
        let is_start_round = number < START_ROUNDS;
        let is_fast = is_start_round && (local_peers.is_empty() || input.lacks_initial_state);
        let peer_exchange = if no_entries || (is_start_round && is_seed_round) {
            PeerExchange::PushPull
        } else if wide {
            // Lets entries find each other through the seeds again after a network partition.
            PeerExchange::Pull
        } else {
            // Frames already list the entries of the hall.
            PeerExchange::Skip
        };
        Round {
            targets,
            peer_exchange,
            pause: if is_fast { INTERVAL_AT_START } else { INTERVAL },
        }
    }
}
