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
const LOOK: Duration = Duration::from_millis(20);

/// How often those are greeted that have not reported.
const EVERY: Duration = Duration::from_millis(200);

/// Entries that greet one process: some of them may not be up yet.
const GREETED_BY: u32 = 3;

/// Rounds in which they are greeted: by then heartbeats have spread.
const ROUNDS: u32 = 10;

/// Greets until everyone has reported, or for the first rounds.
pub async fn run(gateway: Rc<Gateway>) {
    while !gateway.knowledge.catalog.borrow().has_replica_list() {
        sleep(LOOK).await;
    }
    for _ in 0..ROUNDS {
        gossip::send_heartbeats(&gateway.knowledge, gateway.silent_sidecars(), true);
        sleep(EVERY).await;
    }
}

impl Gateway {
    /// The processes beside replicas of the own hall that have not reported lately, as far as they are
    /// this entry's to greet: each is greeted by the first few entries for it.
    fn silent_sidecars(&self) -> Vec<SocketAddr> {
        self.refresh_pool();
        let now = self.knowledge.now();
        let hall = &self.knowledge.identity.hall;
        let hosts = self.pool.borrow().unreported_hosts(hall, now);
        let port = self.setting.sidecar_port;
        let (own, fellows) = (
            self.knowledge.identity.address,
            self.knowledge.local_peers(),
        );
        let greets = |host: &IpAddr| {
            let subject = host.to_string();
            rank(own, fellows.iter().copied(), &subject) < GREETED_BY
        };
        let greeted = hosts.into_iter().filter(greets);
        greeted.map(|host| SocketAddr::new(host, port)).collect()
    }
}
