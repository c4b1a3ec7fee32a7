//! Greets the processes beside the replicas of the own hall when the entry begins.
//!
//! They know a few seeds only. After a loss of power, those may be the last to start; every entry
//! knows from the list where the processes are, and their answers name the entries that greeted
//! them before.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;

use super::Gateway;
use crate::knowledge::gossip;
use crate::member::rank::rank;

/// How often it is looked whether the list of replicas is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often those are greeted that have not reported.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Entries that greet one process: some of them may not be up yet.
const ENTRIES_PER_SIDECAR: u32 = 3;

/// Rounds in which they are greeted: by then heartbeats have spread.
const ROUNDS: u32 = 10;

/// Greets until everyone has reported, or for the first rounds.
pub async fn run(gateway: Rc<Gateway>) {
    while !gateway.knowledge.belief.borrow().lists_replicas() {
        sleep(CHECK_INTERVAL).await;
    }
    for _ in 0..ROUNDS {
        gossip::tell(&gateway.knowledge, gateway.unreported_sidecars(), true);
        sleep(ROUND_INTERVAL).await;
    }
}

impl Gateway {
    /// The processes beside replicas of the own hall that have not reported lately, as far as they are
    /// this entry's to greet: each is greeted by the first few entries for it.
    fn unreported_sidecars(&self) -> Vec<SocketAddr> {
        self.refresh_pool();
        let now = self.knowledge.now();
        let hall = &self.knowledge.identity.hall;
        let hosts = self.pool.borrow().silent(hall, now);
        let port = self.setting.sidecar_port;
        let (own, fellows) = (self.knowledge.identity.address, self.knowledge.fellows());
        let is_assigned = |host: &IpAddr| {
            let subject = host.to_string();
            rank(own, fellows.iter().copied(), &subject) < ENTRIES_PER_SIDECAR
        };
        let assigned = hosts.into_iter().filter(is_assigned);
        assigned.map(|host| SocketAddr::new(host, port)).collect()
    }
}
