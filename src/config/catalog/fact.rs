//! Facts of the store, with the revisions that order them, and what applying one changes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::routing::Document;
use crate::member::replica::Record;

/// A fact from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The routing configuration.
    Routing(Arc<Document>),
    /// A desired version of a model.
    Version {
        /// The model.
        model: Arc<str>,
        /// The version that replicas have to load.
        version: u64,
    },
    /// A replica's own description.
    Replica(Record),
    /// The removal of a replica's entry.
    ReplicaGone(Arc<str>),
    /// An evacuation setting: whether a hall's replicas receive no new requests.
    Evacuation {
        /// The hall.
        hall: Arc<str>,
        /// Whether the evacuation is in effect; `false` ends it.
        #[serde(rename = "asked")]
        active: bool,
    },
}

/// A fact and the revision that set it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revisioned {
    /// The revision.
    pub revision: u64,
    /// The fact.
    pub fact: Fact,
}

/// A version that was published for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The version.
    pub version: u64,
    /// The revision that published it.
    pub revision: u64,
    /// When this process learned of it, backdated by the time that other processes had known it
    /// before.
    pub since: Time,
}

/// Returns the oldest of `desired` that a replica with version `loaded` lacks. Its staleness bound
/// ends first.
pub fn first_missing(desired: &[DesiredVersion], loaded: u64) -> Option<DesiredVersion> {
    desired
        .iter()
        .find(|desired_version| desired_version.version > loaded)
        .copied()
}

/// A replica in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedReplica {
    /// The replica's own description.
    pub record: Record,
    /// The revision of the description.
    pub revision: u64,
    /// When its entry was removed, if it was.
    pub removed_at: Option<Time>,
    /// Whether the removal is provisional: the store was unreachable shortly before, or many
    /// replicas of the service were removed at about the same time.
    pub provisional: bool,
}

/// What a fact changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the fact is not newer.
    None,
    /// The routing configuration.
    Routing,
    /// A model's desired versions.
    Version,
    /// The list of replicas.
    Replicas,
    /// The evacuated halls.
    Evacuations,
}

/// The revisions of what a process knows, for comparison with another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the routing configuration, or 0 if none is known.
    pub routing: u64,
    /// Highest revision of the desired versions.
    pub versions: u64,
    /// Revision of the newest change to the list of replicas.
    pub replicas: u64,
    /// Highest revision of the evacuation settings.
    #[serde(default)]
    pub evacuations: u64,
    /// Version of the routing configuration, or 0 if it names none or none is known.
    #[serde(default)]
    pub routing_version: u64,
    /// The last era of the store whose facts the process has applied in full.
    #[serde(default)]
    pub settled_era: u64,
    /// Whether the process keeps what it knew before a later era until it is told otherwise.
    #[serde(default)]
    pub unsettled: bool,
}

impl Revisions {
    /// Whether at least one of these revisions is higher than its counterpart in `other`.
    pub fn any_newer_than(&self, other: Self) -> bool {
        self.has_newer_routing_than(other)
            || self.has_settled_since(other)
            || self.versions > other.versions
            || self.replicas > other.replicas
            || self.evacuations > other.evacuations
    }

    /// Whether the routing configuration is newer than that of `other`, by its version if both have
    /// one: the store may have come back from a copy that holds an older one.
    pub fn has_newer_routing_than(&self, other: Self) -> bool {
        if self.routing_version > 0 && other.routing_version > 0 {
            self.routing_version > other.routing_version
        } else {
            self.routing > other.routing
        }
    }

    /// Whether the list of replicas and the evacuations have settled in an era in which those of
    /// `other` have not. All of them have to be sent then.
    pub fn has_settled_since(&self, other: Self) -> bool {
        other.unsettled && self.settled_era > other.settled_era
    }

    /// Returns these revisions without that of the configuration, which is transferred separately.
    pub fn without_routing(self) -> Self {
        Self {
            routing: 0,
            routing_version: 0,
            ..self
        }
    }
}

/// A replica's description and its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionedRecord {
    /// The revision.
    pub revision: u64,
    /// The description.
    pub record: Record,
}

/// The removal of a replica from the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The revision that removed it.
    pub revision: u64,
    /// The replica's id.
    pub id: Arc<str>,
}

/// The changes to the list of replicas between two revisions, as sent between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision after which the changes were made.
    pub since: u64,
    /// The revision of the newest change.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was unreachable shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// Replicas that were added or changed.
    #[serde(default)]
    pub records: Vec<RevisionedRecord>,
    /// Replicas that were removed.
    #[serde(default)]
    #[serde(rename = "gone")]
    pub removals: Vec<Removal>,
}
