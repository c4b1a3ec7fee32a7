//! Status and metrics of an agent for operators.

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
    /// Registers the instruments with `meter`.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("pumicelatch.agent.requests")
                .with_description("Requests at the door, by whether they were admitted")
                .build(),
        }
    }

    /// Counts a request by whether it was admitted (`yes`, `no`, or `unknown`).
    pub fn request(&self, admitted: &'static str) {
        self.requests.add(1, &[KeyValue::new("admitted", admitted)]);
    }
}

/// Status of a version at a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// Digest of the version.
    pub digest: Digest,
    /// Whether the configuration assigns it to this box.
    pub wanted: bool,
    /// Number of chunks that are stored and verified.
    pub chunks_held: usize,
    /// Total number of chunks; 0 while the manifest is unknown.
    pub chunks: usize,
    /// Whether it may receive requests here.
    pub servable: bool,
    /// Outcomes of fetches of its chunks.
    pub fetches: Tally,
}

/// Status of a box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the box.
    pub name: String,
    /// Data hall of the box.
    pub hall: String,
    /// Revision of the active configuration.
    pub revision: u64,
    /// Whether it has received a configuration from the service or a peer.
    pub ready: bool,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// The incarnation in the fence of its orders; 0 before the engine has answered.
    pub incarnation: u64,
    /// Requests in progress.
    pub in_flight: u32,
    /// Bytes of memory reserved for weights, and their maximum.
    pub memory_bytes: (u64, u64),
    /// Status of its versions.
    pub versions: Vec<VersionStatus>,
    /// Customers whose newest configuration is invalid.
    pub rejected: Vec<(String, Rejected)>,
}

/// Returns the current status of `agent`.
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
