//! Messages between entries, and between entries and the sidecars of replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::catalog::{Changes, RevisionedRecord, Revisions};
use crate::config::evacuation::Evacuation;
use crate::config::routing::{Engine, health_path_default, transfer_time};
use crate::member::peer::Advertisement;
use crate::route::quota;
use crate::route::replica::Load;
use crate::weight::Layout;
use crate::wire::pack;

/// Path of a [`Heartbeat`].
pub const SYNC_PATH: &str = "/v1/sync";

/// Path of a [`Report`].
pub const REPORT_PATH: &str = "/v1/replica";

/// A heartbeat: identifies its sender and states what the sender knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Address at which the sender listens.
    pub from: SocketAddr,
    /// The sender's data hall.
    #[serde(default)]
    pub hall: Arc<str>,
    /// Whether the sender is an entry.
    #[serde(default)]
    pub entry: bool,
    /// The revisions of what the sender knows.
    #[serde(default)]
    #[serde(rename = "marks")]
    pub revisions: Revisions,
    /// Milliseconds since the platform's store last answered the sender, if it ever did.
    #[serde(default)]
    pub store_age_ms: Option<u64>,
    /// The entries known to the sender.
    #[serde(default)]
    pub peers: Vec<Advertisement>,
    /// Whether the answer should list entries.
    #[serde(default)]
    pub wants_peers: bool,
    /// Whether the answer should contain the configuration if the sender's is older.
    #[serde(default)]
    pub wants_routing: bool,
    /// Whether the answer should contain the packed list of replicas. Only used with `draws_list`.
    #[serde(default)]
    pub wants_list: bool,
    /// Whether the sender has never received the list of replicas. It then gets the list only as
    /// [`Update::list`], and sets `wants_list` in one message at a time.
    #[serde(default)]
    pub draws_list: bool,
    /// Whether the sender supports [`Update::changes`].
    #[serde(default)]
    pub takes_changes: bool,
    /// Whether the sender supports [`Update::packed_peers`].
    #[serde(default)]
    pub takes_packed_peers: bool,
    /// Whether the sender supports [`HallUpdate::packed`].
    #[serde(default)]
    pub takes_packed_digest: bool,
    /// Digest of the poison requests known to the sender.
    #[serde(default)]
    pub poison: u64,
    /// Quotas of replicas known to the sender.
    #[serde(default)]
    pub quotas: Vec<quota::InstanceReport>,
}

/// The report of a replica's sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Address of the replica.
    pub address: SocketAddr,
    /// The replica's load and loaded models.
    #[serde(default)]
    pub load: Load,
    /// The sidecar's heartbeat.
    #[serde(rename = "sync")]
    pub heartbeat: Heartbeat,
}

/// Path at which an entry is asked for the state of its hall's replicas; the message is a
/// [`Heartbeat`].
pub const HALL_PATH: &str = "/v1/hall";

/// Path at which the entries of a hall receive the state of replicas; the message is a packed
/// [`Frame`].
pub const FRAME_PATH: &str = "/v1/hall/frame";

/// The state of one replica, as reported to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Address of the replica.
    pub address: SocketAddr,
    /// The replica's load and loaded models.
    #[serde(default)]
    pub load: Load,
    /// Milliseconds since the report.
    #[serde(default)]
    pub age_ms: u64,
}

/// The state of one hall's replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall.
    #[serde(default)]
    pub hall: Arc<str>,
    /// Its replicas.
    #[serde(default)]
    pub replicas: Vec<ReplicaStatus>,
}

/// A message from the first entry of a hall to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender's heartbeat.
    #[serde(rename = "sync")]
    pub heartbeat: Heartbeat,
    /// The state of replicas by hall.
    #[serde(default)]
    pub digests: Vec<HallStatus>,
    /// Everything learned since the frame before the previous one, without the configuration.
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
    /// The state of the hall's replicas. The list of replicas is empty if `packed` is set.
    pub digest: HallStatus,
    /// The packed list of [`ReplicaStatus`] values, for senders that set
    /// [`Heartbeat::takes_packed_digest`].
    #[serde(default)]
    pub packed: Option<serde_bytes::ByteBuf>,
    /// Everything else that the sender lacks.
    #[serde(rename = "news")]
    pub update: Update,
}

impl HallUpdate {
    /// Creates an answer from `digest` and `update`. Packs the replicas if `pack_replicas` is set,
    /// and falls back to the plain list if packing fails.
    pub fn new(digest: HallStatus, update: Update, pack_replicas: bool) -> Self {
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
                update,
            },
            None => Self {
                digest,
                packed: None,
                update,
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

/// A published version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The revision that published it.
    pub revision: u64,
    /// Milliseconds since the sender learned of it.
    #[serde(default)]
    pub age_ms: u64,
}

/// A routing configuration and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedDocument {
    /// The revision.
    pub revision: u64,
    /// The packed configuration, a [`crate::config::routing::Document`].
    #[serde(with = "serde_bytes")]
    pub packed: Vec<u8>,
}

/// A list of replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// The revision up to which the list is known.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was unreachable shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// The replicas.
    pub records: Vec<RevisionedRecord>,
}

/// A list of replicas in packed form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedReplicaList {
    /// The revision up to which the list is known.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Whether the store was unreachable shortly before.
    #[serde(default)]
    #[serde(rename = "shaky")]
    pub store_unstable: bool,
    /// The packed sequence of [`RevisionedRecord`]s.
    #[serde(with = "serde_bytes")]
    pub packed: Vec<u8>,
}

/// The part of the configuration that a sidecar needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The configuration's revision.
    pub revision: u64,
    /// Address of the origin of weights.
    #[serde(default)]
    pub origin: Option<SocketAddr>,
    /// Bandwidth of the origin's link in megabits per second, if published.
    #[serde(default)]
    pub origin_mbps: Option<f64>,
    /// Properties of the engine.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Path at which engines answer health checks.
    #[serde(default = "health_path_default")]
    pub health_path: Arc<str>,
}

impl Summary {
    /// Returns the number and size of the chunks of a model's weights, as far as they are known.
    pub fn layout(&self) -> Layout {
        let engine = self.engine.as_ref();
        engine.map(Engine::layout).unwrap_or_default()
    }

    /// Returns the time to transfer a complete copy of the weights over the origin's link, if
    /// known.
    pub fn copy(&self) -> Option<Duration> {
        let bytes = self.engine.as_ref()?.weight_bytes();
        let copy = transfer_time(bytes, self.origin_mbps?);
        (!copy.is_zero()).then_some(copy)
    }

    /// Returns the time to transfer one chunk over the origin's link, if known.
    pub fn chunk(&self) -> Option<Duration> {
        let chunk_bytes = self.engine.as_ref()?.chunk_bytes;
        Some(transfer_time(chunk_bytes.into(), self.origin_mbps?))
    }
}

/// The answer to a heartbeat or a report: everything that its sender lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The data hall of the responder.
    #[serde(default)]
    pub hall: Arc<str>,
    /// Whether the responder is an entry.
    #[serde(default)]
    pub entry: bool,
    /// The revisions of what the responder knows.
    #[serde(default)]
    #[serde(rename = "marks")]
    pub revisions: Revisions,
    /// Milliseconds since the platform's store last answered the responder, if it ever did.
    #[serde(default)]
    pub store_age_ms: Option<u64>,
    /// Entries known to the responder, if requested.
    #[serde(default)]
    pub peers: Vec<Advertisement>,
    /// The entries in packed form, in place of `peers`, if the receiver supports it.
    #[serde(default)]
    pub packed_peers: Option<serde_bytes::ByteBuf>,
    /// A newer routing configuration, if requested.
    #[serde(default)]
    pub routing: Option<RevisionedDocument>,
    /// Desired versions, if there are newer ones.
    #[serde(default)]
    pub versions: Vec<PublishedVersion>,
    /// Evacuation settings, if there are newer ones.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
    /// A newer list of replicas, if the changes alone can't be sent.
    #[serde(default)]
    pub replicas: Option<ReplicaList>,
    /// The packed list of replicas, for a starting process that requested it with this message.
    #[serde(default)]
    pub list: Option<PackedReplicaList>,
    /// Changes to the list of replicas.
    #[serde(default)]
    pub changes: Option<Changes>,
    /// The needed part of a newer configuration.
    #[serde(default)]
    #[serde(rename = "brief")]
    pub summary: Option<Summary>,
    /// Digest of the poison requests known to the responder.
    #[serde(default)]
    pub poison: u64,
    /// Quotas of replicas known to the responder.
    #[serde(default)]
    pub quotas: Vec<quota::InstanceReport>,
}
