//! Boxes: what the platform's lagging list says, and what was seen directly.
//!
//! The list is a hint. A box that announced by itself that it leaves stays leaving for as long as
//! its process lives, whatever the list says meanwhile.

pub mod peer;
pub mod rank;
pub mod replica;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What stands in a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A model engine.
    Model,
    /// A plain service of this name.
    Service(String),
    /// An entry of the system itself.
    Entry,
}

/// What the list says of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may take work.
    Live,
    /// It may finish its work and takes no more.
    Leaving,
}

/// One box of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Its name, unique in the fleet.
    pub name: Arc<str>,
    /// The data hall it stands in.
    pub hall: Arc<str>,
    /// The rack it stands in, empty if unknown.
    #[serde(default)]
    pub rack: Arc<str>,
    /// Where its process of the system listens.
    pub address: SocketAddr,
    /// What stands in it.
    pub role: Role,
    /// Bytes of weights that it can carry.
    #[serde(default)]
    pub capacity_bytes: u64,
    /// Whether it may take work.
    pub state: State,
}

/// The platform's list of boxes. It lags, and may be stale for long.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Grows with each change.
    pub version: u64,
    /// Live and leaving boxes.
    pub boxes: Vec<Descriptor>,
}

/// The boxes that a process knows of.
#[derive(Debug, Default)]
pub struct View {
    version: u64,
    boxes: BTreeMap<Arc<str>, Descriptor>,
}

impl View {
    /// Takes a newer listing; a stale one is ignored. Returns whether anything changed.
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

    /// The version of the listing that is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One box.
    pub fn get(&self, name: &str) -> Option<&Descriptor> {
        self.boxes.get(name)
    }

    /// All boxes, by name.
    pub fn boxes(&self) -> impl Iterator<Item = &Descriptor> {
        self.boxes.values()
    }

    /// Boxes of model engines that may take work.
    pub fn live_model_boxes(&self) -> impl Iterator<Item = &Descriptor> {
        self.boxes()
            .filter(|listed| listed.role == Role::Model && listed.state == State::Live)
    }
}
