//! What an agent shows operators.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use serde::{Deserialize, Serialize};

use super::Agent;
use crate::config::Rejected;
use crate::spread::swarm::Tally;
use crate::weight::Digest;

/// OpenTelemetry instruments of an agent.
#[derive(Debug)]
pub struct Instruments {
    requests: Counter<u64>,
}

impl Instruments {
    /// Registers them.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("pumicelatch.agent.requests")
                .with_description("Requests at the door, by whether they were admitted")
                .build(),
        }
    }

    /// A request came to the door.
    pub fn request(&self, admitted: &'static str) {
        self.requests.add(1, &[KeyValue::new("admitted", admitted)]);
    }
}

/// One version at a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The version.
    pub digest: Digest,
    /// Whether the configuration wants it here.
    pub wanted: bool,
    /// Chunks held and verified.
    pub chunks_held: usize,
    /// Chunks in all; 0 while the manifest is not known.
    pub chunks: usize,
    /// Whether it may take requests here.
    pub servable: bool,
    /// How fetches of its chunks ended.
    pub fetches: Tally,
}

/// A box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The configuration revision in force.
    pub revision: u64,
    /// Whether it has a configuration from the service or a peer.
    pub ready: bool,
    /// Whether it takes no more work.
    pub leaving: bool,
    /// The incarnation under which it gives orders; 0 before the engine has answered.
    pub incarnation: u64,
    /// Requests in progress.
    pub in_flight: u32,
    /// Bytes of weights that are reserved in memory, and the bound.
    pub memory_bytes: (u64, u64),
    /// Its versions.
    pub versions: Vec<VersionStatus>,
    /// Customers whose newest configuration is invalid.
    pub rejected: Vec<(String, Rejected)>,
}

/// The present status of `agent`.
pub fn status(agent: &Agent) -> Status {
    let node = &agent.node;
    let gate = agent.gate.borrow();
    let book = node.book.borrow();
    let versions = agent
        .bursts
        .borrow()
        .iter()
        .map(|(digest, burst)| {
            let (chunks_held, chunks) = agent.host.store.borrow().progress(*digest);
            VersionStatus {
                digest: *digest,
                wanted: burst.wanted(),
                chunks_held,
                chunks,
                servable: gate.servable.contains(digest),
                fetches: burst.tally(),
            }
        })
        .collect();
    Status {
        name: node.setting.name.to_string(),
        hall: node.setting.hall.to_string(),
        revision: book.revision().0,
        ready: *node.ready.borrow(),
        leaving: agent.leaving.get(),
        incarnation: gate.incarnation,
        in_flight: agent.in_flight.borrow().total(),
        memory_bytes: agent.host.store.borrow().usage(),
        versions,
        rejected: book
            .rejected()
            .iter()
            .map(|(customer, rejected)| (customer.clone(), rejected.clone()))
            .collect(),
    }
}
