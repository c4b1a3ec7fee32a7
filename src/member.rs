//! Membership of boxes, from the platform's list, which lags behind, and from direct observation.
//!
//! The list is only a hint. A box that has announced that it is leaving stays so for as long as its
//! process runs, whatever the list says meanwhile.

pub mod peer;
pub mod rank;
pub mod replica;
pub mod share;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The role of a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A model engine.
    Model,
    /// A plain service with this name.
    Service(String),
    /// An entry of the system itself.
    Entry,
}

/// The state of a box according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It accepts work.
    Live,
    /// It completes its work and accepts no more.
    Leaving,
}

/// A box in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Its name, unique in the fleet.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack; empty if unknown.
    #[serde(default)]
    pub rack: Arc<str>,
    /// The address on which its process of the system listens.
    pub address: SocketAddr,
    /// Its role.
    pub role: Role,
    /// Number of bytes of weights that it can hold.
    #[serde(default)]
    pub capacity_bytes: u64,
    /// Whether it accepts work.
    pub state: State,
}

/// The platform's list of boxes. It lags behind, and may be stale for a long time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Increases with each change.
    pub version: u64,
    /// Live and leaving boxes.
    pub boxes: Vec<Descriptor>,
}

/// The boxes that a process knows.
#[derive(Debug, Default)]
pub struct View {
    version: u64,
    boxes: BTreeMap<Arc<str>, Descriptor>,
}

impl View {
    /// Applies `listing` unless it is stale. Returns whether it was applied.
    pub fn update(&mut self, listing: Listing) -> bool {
        if listing.version <= self.version {
            return false;
        }
        self.version = listing.version;
        self.boxes = listing
            .boxes
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        true
    }

    /// The version of the known listing.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The box called `name`.
    pub fn get(&self, name: &str) -> Option<&Descriptor> {
        self.boxes.get(name)
    }

    /// All boxes, ordered by name.
    pub fn boxes(&self) -> impl Iterator<Item = &Descriptor> {
        self.boxes.values()
    }

    /// The boxes of model engines that accept work.
    pub fn live_model_boxes(&self) -> impl Iterator<Item = &Descriptor> {
        self.boxes()
            .filter(|listed| listed.role == Role::Model && listed.state == State::Live)
    }
}
