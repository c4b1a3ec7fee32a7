//! Sends heartbeats to the sidecars of the local hall when an entry starts.
//!
//! Sidecars are configured with a few seeds only, which may be the last processes to start after a
//! power failure. Every entry knows the sidecars' addresses from the list of replicas, and their
//! answers name the entries that contacted them before.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;

use super::Gateway;
use crate::knowledge::gossip;
use crate::member::rank::rank;

/// Interval at which the entry checks whether it knows the list of replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between heartbeats to the sidecars that have not reported.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Entries that contact the same sidecar, since some of them may not be running yet.
const ENTRIES_PER_SIDECAR: u32 = 3;

/// Rounds of heartbeats; after these, regular heartbeats have spread.
const ROUNDS: u32 = 10;

/// Sends the first rounds of heartbeats, once the list of replicas is known.
pub async fn run(gateway: Rc<Gateway>) {
    while !gateway.knowledge.catalog.borrow().can_route() {
        sleep(CHECK_INTERVAL).await;
    }
    for _ in 0..ROUNDS {
        gossip::send_heartbeats(&gateway.knowledge, gateway.unreported_sidecars(), true);
        sleep(ROUND_INTERVAL).await;
    }
}

impl Gateway {
    /// The sidecars of the local hall without a recent report that are assigned to this entry. Each
    /// is assigned to the [`ENTRIES_PER_SIDECAR`] entries that rank first for it.
    fn unreported_sidecars(&self) -> Vec<SocketAddr> {
        self.refresh_pool();
        let now = self.knowledge.now();
        let hall = &self.knowledge.identity.hall;
        let hosts = self.pool.borrow().unreported_hosts(hall, now);
        let port = self.setting.sidecar_port;
        let (own, local_peers) = (
            self.knowledge.identity.address,
            self.knowledge.local_peers(),
        );
        let is_assigned = |host: &IpAddr| {
            let subject = host.to_string();
            rank(own, local_peers.iter().copied(), &subject) < ENTRIES_PER_SIDECAR
        };
        let assigned = hosts.into_iter().filter(is_assigned);
        assigned.map(|host| SocketAddr::new(host, port)).collect()
    }
}
