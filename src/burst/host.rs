//! What a burst needs of the process that it runs in.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use tokio::sync::{Notify, watch};

use crate::audit::Deed;
use crate::clock::Clock;
use crate::http::{self, ClientSetting};
use crate::log::Repeats;
use crate::spread;
use crate::spread::swarm::Outcome;
use crate::weight::{Digest, Error, Hash, Manifest, Store};

/// Where weights come from in the first place: how it names what it has, and how it writes it.
pub trait Origin: fmt::Debug {
    /// Where a version's manifest is to be had.
    fn manifest_url(&self, version: Digest) -> String;

    /// Where one chunk is to be had.
    fn chunk_url(&self, version: Digest, chunk: u32) -> String;

    /// Reads a manifest as the origin writes it.
    fn decode(&self, body: &[u8]) -> Result<Manifest, Error>;

    /// Whether `manifest` may be the one of `version`, from wherever it came.
    fn check(&self, version: Digest, manifest: &Manifest) -> Result<(), Error>;

    /// How the manifest's digests of chunks are computed.
    fn hash(&self) -> Hash;
}

/// Chunks that a box holds already outside its store, unverified.
pub trait LocalChunks {
    /// A chunk, if it is there.
    fn chunk(&self, version: Digest, chunk: u32) -> LocalBoxFuture<'_, Option<Bytes>>;

    /// All chunks of a version were asked for.
    fn done(&self);
}

/// The origin of the product's own interface: versions are named by their manifest's digest.
#[derive(Debug, Clone)]
pub struct ContentOrigin {
    /// The origin's address, such as `http://10.0.0.1:8000`.
    pub url: String,
}

impl Origin for ContentOrigin {
    fn manifest_url(&self, version: Digest) -> String {
        format!("{}/weights/{version}/manifest", self.url)
    }

    fn chunk_url(&self, version: Digest, chunk: u32) -> String {
        format!("{}/weights/{version}/chunks/{chunk}", self.url)
    }

    fn decode(&self, body: &[u8]) -> Result<Manifest, Error> {
        decode_manifest(body)
    }

    fn check(&self, version: Digest, manifest: &Manifest) -> Result<(), Error> {
        manifest.verify(version)
    }

    fn hash(&self) -> Hash {
        Hash::Blake3
    }
}

/// Reads a manifest as peers write it.
pub fn decode_manifest(body: &[u8]) -> Result<Manifest, Error> {
    rmp_serde::from_slice(body).map_err(|error| Error::ManifestText {
        reason: error.to_string(),
    })
}

/// Counters of a box's bursts.
#[derive(Debug)]
pub struct Instruments {
    chunks: Counter<u64>,
    origin: Counter<u64>,
    origin_failures: Counter<u64>,
    failures: Repeats,
}

impl Instruments {
    /// Registers them.
    pub fn new(meter: &Meter) -> Self {
        Self {
            chunks: meter
                .u64_counter("pumicelatch.agent.chunks")
                .with_description("Fetches of chunks by outcome")
                .build(),
            origin: meter
                .u64_counter("pumicelatch.agent.origin")
                .with_unit("By")
                .with_description("Bytes of chunks drawn from the origin")
                .build(),
            origin_failures: meter
                .u64_counter("pumicelatch.agent.origin_failures")
                .with_description("Exchanges with the origin that brought nothing")
                .build(),
            failures: Repeats::default(),
        }
    }

    /// A fetch ended.
    pub fn chunk(&self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Stored => "stored",
            Outcome::Corrupt => "corrupt",
            Outcome::Busy => "busy",
            Outcome::Failed => "failed",
        };
        self.chunks.add(1, &[KeyValue::new("outcome", name)]);
    }

    /// A stalled fetch was dropped.
    pub fn cancelled(&self) {
        self.chunks.add(1, &[KeyValue::new("outcome", "cancelled")]);
    }

    /// Bytes came from the origin.
    pub fn drew(&self, bytes: u64) {
        self.origin.add(bytes, &[]);
        if let Some(failures) = self.failures.end() {
            log::info!(failures; "the origin answers again");
        }
    }

    /// An exchange with the origin brought nothing. An origin that stays away costs few lines.
    pub fn origin_failed(&self, reason: &str) {
        self.origin_failures.add(1, &[]);
        if let Some(failures) = self.failures.count() {
            log::warn!(failures; "the origin brought nothing: {reason}");
        }
    }
}

/// Client to the origin and to peers, over connections that can be given up all at once.
pub struct Connections {
    setting: ClientSetting,
    client: RefCell<awc::Client>,
    renewed: watch::Sender<u64>,
}

impl Connections {
    /// Client over connections as `setting` says.
    pub fn new(setting: ClientSetting) -> Self {
        Self {
            setting,
            client: RefCell::new(http::client(setting)),
            renewed: watch::Sender::new(0),
        }
    }

    /// A request that asks for `url`.
    pub fn get(&self, url: &str) -> awc::ClientRequest {
        self.client.borrow().get(url)
    }

    /// Takes new connections from now on: nothing comes over the open ones any more.
    pub fn reconnect(&self) {
        self.client.replace(http::client(self.setting));
        self.renewed.send_modify(|count| *count += 1);
    }

    /// Ends when the connections that are open now are given up.
    pub async fn reconnected(&self) {
        // The sender lives as long as `self` does.
        drop(self.renewed.subscribe().changed().await);
    }
}

/// Has `host` give its connections up whenever all open ones of its process are found silent.
pub async fn reconnect_when_silent(host: Rc<Host>, mut all_silent: watch::Receiver<u64>) {
    while all_silent.changed().await.is_ok() {
        host.connections.reconnect();
    }
}

/// The process's side of all its bursts.
pub struct Host {
    /// The box's name.
    pub name: Arc<str>,
    /// The data hall that it stands in.
    pub hall: Arc<str>,
    /// Monotonic time.
    pub clock: Clock,
    /// Client to the origin and to peers.
    pub connections: Connections,
    /// Settings of the burst.
    pub spread: spread::Setting,
    /// Verified chunks.
    pub store: RefCell<Store>,
    /// Counters.
    pub instruments: Instruments,
    /// Bytes of chunks that were sent to other boxes.
    pub bytes_sent: Cell<u64>,
    /// Woken when a version is complete.
    pub wake: Notify,
    /// Takes what belongs into the audit trail.
    pub trail: Rc<dyn Fn(Deed)>,
    /// Where chunks may lie before a burst begins.
    pub local_chunks: Option<Rc<dyn LocalChunks>>,
}

impl fmt::Debug for Host {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Host({})", self.name)
    }
}

impl Host {
    /// Adds to the audit trail.
    pub fn audit(&self, deed: Deed) {
        (self.trail)(deed);
    }
}

/// Where a peer serves a version.
pub fn swarm_url(address: SocketAddr, version: Digest) -> String {
    format!("http://{address}/v1/swarm/{version}")
}
