//! State and interfaces that a process provides to its bursts.

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

use crate::audit::Event;
use crate::clock::Clock;
use crate::http::{self, ClientSetting};
use crate::log::Repeats;
use crate::spread;
use crate::spread::swarm::Outcome;
use crate::weight::{Digest, Error, Hash, Manifest, Store};

/// The origin of weights: the URLs of its content and the format of its manifests.
pub trait Origin: fmt::Debug {
    /// Returns the URL of the manifest of a version.
    fn manifest_url(&self, version: Digest) -> String;

    /// Returns the URL of a chunk.
    fn chunk_url(&self, version: Digest, chunk: u32) -> String;

    /// Decodes a manifest in the origin's format.
    fn decode(&self, body: &[u8]) -> Result<Manifest, Error>;

    /// Checks that `manifest` may belong to `version`, regardless of its source.
    fn check(&self, version: Digest, manifest: &Manifest) -> Result<(), Error>;

    /// Returns the hash function of the chunk digests in the manifest.
    fn hash(&self) -> Hash;
}

/// Unverified chunks that a box already has outside its store.
pub trait LocalChunks {
    /// Returns a chunk, if present.
    fn chunk(&self, version: Digest, chunk: u32) -> LocalBoxFuture<'_, Option<Bytes>>;

    /// Called after all chunks of a version have been requested.
    fn done(&self);
}

/// An origin with the product's own interface, which identifies versions by the digest of their
/// manifest.
#[derive(Debug, Clone)]
pub struct ContentOrigin {
    /// Base URL of the origin, such as `http://10.0.0.1:8000`.
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

/// Decodes a manifest in the format used between peers.
pub fn decode_manifest(body: &[u8]) -> Result<Manifest, Error> {
    rmp_serde::from_slice(body).map_err(|error| Error::ManifestText {
        reason: error.to_string(),
    })
}

/// Metrics of the bursts of a box.
#[derive(Debug)]
pub struct Instruments {
    chunks: Counter<u64>,
    origin: Counter<u64>,
    origin_failures: Counter<u64>,
    failures: Repeats,
    refused_manifests: Counter<u64>,
    refusals: Repeats,
}

impl Instruments {
    /// Registers the instruments with `meter`.
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
            refused_manifests: meter
                .u64_counter("pumicelatch.agent.manifests_refused")
                .with_description("Manifests that were refused, by source")
                .build(),
            refusals: Repeats::default(),
        }
    }

    /// Counts a finished fetch.
    pub fn fetch_finished(&self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Stored => "stored",
            Outcome::Corrupt => "corrupt",
            Outcome::Busy => "busy",
            Outcome::Failed => "failed",
        };
        self.chunks.add(1, &[KeyValue::new("outcome", name)]);
    }

    /// Counts a cancelled fetch.
    pub fn fetch_cancelled(&self) {
        self.chunks.add(1, &[KeyValue::new("outcome", "cancelled")]);
    }

    /// Counts bytes fetched from the origin.
    pub fn origin_bytes_received(&self, bytes: u64) {
        self.origin.add(bytes, &[]);
        if let Some(failures) = self.failures.end() {
            log::info!(failures; "origin requests succeed again");
        }
    }

    /// Counts a manifest from the origin or from a peer that was refused. While manifests keep being
    /// refused, only a few of the refusals are logged.
    pub fn manifest_refused(&self, from_origin: bool, url: &str, error: &Error) {
        let source = if from_origin { "origin" } else { "peer" };
        let attributes = [KeyValue::new("source", source)];
        self.refused_manifests.add(1, &attributes);
        if let Some(refused) = self.refusals.count() {
            log::warn!(source = url, refused; "manifest refused: {error}");
        }
    }

    /// Records that a manifest was accepted.
    pub fn manifest_accepted(&self) {
        self.refusals.end();
    }

    /// Counts a failed request to the origin. While the origin stays unavailable, only a few of the
    /// failures are logged.
    pub fn origin_failed(&self, reason: &str) {
        self.origin_failures.add(1, &[]);
        if let Some(failures) = self.failures.count() {
            log::warn!(failures; "origin request failed: {reason}");
        }
    }
}

/// HTTP connections to the origin and to peers, which can be replaced all at once.
pub struct Connections {
    setting: ClientSetting,
    client: RefCell<awc::Client>,
    renewed: watch::Sender<u64>,
}

impl Connections {
    /// Creates connections with the settings `setting`.
    pub fn new(setting: ClientSetting) -> Self {
        Self {
            setting,
            client: RefCell::new(http::client(setting)),
            renewed: watch::Sender::new(0),
        }
    }

    /// Returns a GET request for `url`.
    pub fn get(&self, url: &str) -> awc::ClientRequest {
        self.client.borrow().get(url)
    }

    /// Uses new connections from now on, because the open ones no longer deliver anything.
    pub fn reconnect(&self) {
        self.client.replace(http::client(self.setting));
        self.renewed.send_modify(|count| *count += 1);
    }

    /// Waits for the next [`reconnect`](Self::reconnect).
    pub async fn reconnected(&self) {
        // The sender lives as long as `self`, so this cannot fail.
        drop(self.renewed.subscribe().changed().await);
    }
}

/// Replaces the connections of `host` whenever all open connections of its process are found to be
/// silent.
pub async fn reconnect_when_silent(host: Rc<Host>, mut all_silent: watch::Receiver<u64>) {
    while all_silent.changed().await.is_ok() {
        host.connections.reconnect();
    }
}

/// State that a process shares between its bursts.
pub struct Host {
    /// Name of the box.
    pub name: Arc<str>,
    /// Data hall of the box.
    pub hall: Arc<str>,
    /// Monotonic clock.
    pub clock: Clock,
    /// Connections to the origin and to peers.
    pub connections: Connections,
    /// Settings of the bursts.
    pub spread: spread::Setting,
    /// Verified chunks.
    pub store: RefCell<Store>,
    /// Metrics.
    pub instruments: Instruments,
    /// Bytes of chunks sent to other boxes.
    pub bytes_sent: Cell<u64>,
    /// Notified when a version is complete.
    pub wake: Notify,
    /// Appends an event to the audit trail.
    pub trail: Rc<dyn Fn(Event)>,
    /// Chunks that may exist outside the store when a burst starts.
    pub local_chunks: Option<Rc<dyn LocalChunks>>,
}

impl fmt::Debug for Host {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Host({})", self.name)
    }
}

impl Host {
    /// Appends an event to the audit trail.
    pub fn audit(&self, event: Event) {
        (self.trail)(event);
    }
}

/// Returns the URL under which a peer serves a version.
pub fn swarm_url(address: SocketAddr, version: Digest) -> String {
    format!("http://{address}/v1/swarm/{version}")
}
