//! What entries tell each other, and what the processes beside replicas and entries tell each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::catalog::{Changes, RevisionedRecord, Revisions};
use crate::config::evacuation::Evacuation;
use crate::config::routing::{Engine, transfer_time};
use crate::member::peer::Advertisement;
use crate::route::replica::Load;
use crate::wire::pack;

/// Path of a [`Heartbeat`].
pub const SYNC_PATH: &str = "/v1/sync";

/// Path of a [`Report`].
pub const REPORT_PATH: &str = "/v1/replica";

/// A heartbeat: who asks, and what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Where the sender listens.
    pub from: SocketAddr,
    /// The data hall that it stands in.
    #[serde(default)]
    pub hall: Arc<str>,
    /// Whether it is an entry.
    #[serde(default)]
    pub entry: bool,
    /// How fresh its beliefs are.
    #[serde(default)]
    #[serde(rename = "marks")]
    pub revisions: Revisions,
    /// Milliseconds since the platform's store answered it, if it ever did.
    #[serde(default)]
    pub store_age_ms: Option<u64>,
    /// The entries that it knows.
    #[serde(default)]
    pub peers: Vec<Advertisement>,
    /// Whether it wants to be told of entries.
    #[serde(default)]
    pub wants_peers: bool,
    /// Whether it draws the configuration with this message, if it lacks it.
    #[serde(default)]
    pub wants_routing: bool,
    /// Whether it draws the list of replicas with this message, if it never had the list.
    #[serde(default)]
    pub wants_list: bool,
    /// Whether it has never had the list of replicas and draws it as [`Update::list`], by setting
    /// `wants_list` in one message at a time.
    #[serde(default)]
    pub draws_list: bool,
    /// Whether it understands [`Update::changes`].
    #[serde(default)]
    pub takes_changes: bool,
    /// Whether it understands [`Update::packed_peers`].
    #[serde(default)]
    pub takes_packed_peers: bool,
    /// Whether it understands [`HallUpdate::packed`].
    #[serde(default)]
    pub takes_packed_digest: bool,
    /// Digest of the poison requests that it knows.
    #[serde(default)]
    pub poison: u64,
}

/// The report of a process beside a replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Where the replica listens.
    pub address: SocketAddr,
    /// What it has to do, and what it holds.
    #[serde(default)]
    pub load: Load,
    /// The heartbeat that goes with it.
    #[serde(rename = "sync")]
    pub heartbeat: Heartbeat,
}

/// Path at which an entry is asked how its hall's replicas do; the message is a [`Heartbeat`].
pub const HALL_PATH: &str = "/v1/hall";

/// Path at which the entries of a hall are told how replicas do; the message is a packed [`Frame`].
pub const FRAME_PATH: &str = "/v1/hall/frame";

/// How one replica does, as an entry was told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Where the replica listens.
    pub address: SocketAddr,
    /// What it has to do, and what it holds.
    #[serde(default)]
    pub load: Load,
    /// Milliseconds since it was reported.
    #[serde(default)]
    pub age_ms: u64,
}

/// How the replicas of one hall do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall.
    #[serde(default)]
    pub hall: Arc<str>,
    /// Its replicas.
    #[serde(default)]
    pub replicas: Vec<ReplicaStatus>,
}

/// What the first entry of a hall tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The heartbeat that goes with it.
    #[serde(rename = "sync")]
    pub heartbeat: Heartbeat,
    /// How replicas do, by hall.
    #[serde(default)]
    pub digests: Vec<HallStatus>,
    /// What was learned since the frame before the previous one, without the configuration.
    #[serde(default)]
    #[serde(rename = "news")]
    pub update: Option<Update>,
    /// Random identifier of the sending process.
    #[serde(default)]
    pub incarnation: u64,
    /// Sequence number within the incarnation. Receivers ignore a frame that arrives after a later
    /// one.
    #[serde(default)]
    pub number: u64,
}

/// An entry's answer about its hall.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallUpdate {
    /// How the hall's replicas do. Its list of replicas is empty if `packed` is set.
    pub digest: HallStatus,
    /// The packed list of [`ReplicaStatus`] replicas, for askers that set [`Heartbeat::takes_packed_digest`].
    #[serde(default)]
    pub packed: Option<serde_bytes::ByteBuf>,
    /// Whatever the asker lacks besides.
    #[serde(rename = "news")]
    pub update: Update,
}

impl HallUpdate {
    /// Creates an answer from `digest` and `news`. Packs the replicas if `pack_replicas` is set, and
    /// falls back to the plain list if packing fails.
    pub fn new(digest: HallStatus, news: Update, pack_replicas: bool) -> Self {
        let packed = pack_replicas
            .then(|| pack::pack(&digest.replicas))
            .transpose();
        match packed.ok().flatten() {
            Some(packed) => Self {
                digest: HallStatus {
                    replicas: Vec::new(),
                    ..digest
                },
                packed: Some(packed.into()),
                update: news,
            },
            None => Self {
                digest,
                packed: None,
                update: news,
            },
        }
    }

    /// Returns the digest with its replicas, unpacked if they were sent packed.
    pub fn digest(&self) -> Result<HallStatus, pack::Error> {
        let replicas = match &self.packed {
            Some(packed) => pack::unpack(packed)?,
            None => self.digest.replicas.clone(),
        };
        Ok(HallStatus {
            hall: self.digest.hall.clone(),
            replicas,
        })
    }
}

/// A version that was named for a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The revision that named it.
    pub revision: u64,
    /// Milliseconds since the teller heard of it.
    #[serde(default)]
    pub age_ms: u64,
}

/// A routing configuration and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedDocument {
    /// The revision.
    pub revision: u64,
    /// The configuration, a [`crate::config::routing::Document`], packed.
    #[serde(with = "serde_bytes")]
    pub packed: Vec<u8>,
}

/// A list of replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// The revision up to which it is known.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was out of reach shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// The entries.
    pub records: Vec<RevisionedRecord>,
}

/// A list of replicas in packed form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedReplicaList {
    /// The revision up to which it is known.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was out of reach shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// The packed sequence of [`RevisionedRecord`]s.
    #[serde(with = "serde_bytes")]
    pub packed: Vec<u8>,
}

/// What a process beside a replica needs of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The configuration's revision.
    pub revision: u64,
    /// The origin of weights.
    #[serde(default)]
    pub origin: Option<SocketAddr>,
    /// Megabits that the origin's link carries in a second, if it tells.
    #[serde(default)]
    pub origin_mbps: Option<f64>,
    /// The engine's figures.
    #[serde(default)]
    pub engine: Option<Engine>,
}

impl Summary {
    /// Time that a whole copy of the weights takes over the origin's link, if that can be told.
    pub fn copy(&self) -> Option<Duration> {
        let bytes = self.engine.as_ref()?.weight_bytes();
        let copy = transfer_time(bytes, self.origin_mbps?);
        (!copy.is_zero()).then_some(copy)
    }

    /// Time that one chunk takes over it.
    pub fn chunk(&self) -> Option<Duration> {
        let chunk_bytes = self.engine.as_ref()?.chunk_bytes;
        Some(transfer_time(chunk_bytes.into(), self.origin_mbps?))
    }
}

/// The answer to a heartbeat or a report: whatever its sender lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The data hall of the process that answers.
    #[serde(default)]
    pub hall: Arc<str>,
    /// Whether that is an entry.
    #[serde(default)]
    pub entry: bool,
    /// How fresh its beliefs are.
    #[serde(default)]
    #[serde(rename = "marks")]
    pub revisions: Revisions,
    /// Milliseconds since the platform's store answered it, if it ever did.
    #[serde(default)]
    pub store_age_ms: Option<u64>,
    /// The entries that it knows, if that was asked for.
    #[serde(default)]
    pub peers: Vec<Advertisement>,
    /// The entries in packed form, instead of `peers`, if the receiver supports it.
    #[serde(default)]
    pub packed_peers: Option<serde_bytes::ByteBuf>,
    /// Newer routing, if that was asked for.
    #[serde(default)]
    pub routing: Option<RevisionedDocument>,
    /// Newer wanted versions.
    #[serde(default)]
    pub versions: Vec<PublishedVersion>,
    /// Newer evacuations.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
    /// A newer list, where its changes alone can't be told.
    #[serde(default)]
    pub replicas: Option<ReplicaList>,
    /// The packed list, for a process that begins and draws it with this message.
    #[serde(default)]
    pub list: Option<PackedReplicaList>,
    /// What changed in the list.
    #[serde(default)]
    pub changes: Option<Changes>,
    /// The newer configuration in brief.
    #[serde(default)]
    #[serde(rename = "brief")]
    pub summary: Option<Summary>,
    /// Digest of the poison requests that it knows.
    #[serde(default)]
    pub poison: u64,
}
