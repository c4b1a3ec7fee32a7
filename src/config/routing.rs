//! The routing configuration: hosts and paths, services, customers' keys, and limits on callers.
//!
//! [`Document`] is plain data that is sent between processes; [`Routing`] is the active document
//! with its indexes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::residency::Residency;
use super::urgency::Urgencies;
use crate::weight::Layout;

/// Whether a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Responses are streams of numbered events.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// Timeout of a route that sets none, in milliseconds: five times the longest usual deadline of a
/// caller.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Latency objective of a route that sets none, in milliseconds: the usual one of routes to
/// engines.
const DEFAULT_OBJECTIVE_MS: u64 = 400;

/// Priority of a route that sets none: the one that replicas assume for a request without a
/// priority.
const DEFAULT_PRIORITY: u8 = 5;

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The path prefix of its requests.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a response (of the first event of a stream), in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The services that receive its requests.
    pub shares: Vec<Share>,
    /// Maximum number of replicas to which one request may be sent.
    pub attempts_max: u32,
    /// Whether it accepts requests without a key.
    pub anonymous: bool,
    /// Whether a stream may be resumed at another replica.
    pub resumable: bool,
    /// Regions in which its requests may be served.
    pub residency: Residency,
}

impl Default for Route {
    /// Defaults for settings that a route leaves out. Its requests must not be repeated.
    fn default() -> Self {
        Self {
            name: "".into(),
            host: String::new(),
            prefix: String::new(),
            kind: Kind::NonIdempotent,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            objective_ms: DEFAULT_OBJECTIVE_MS,
            priority: DEFAULT_PRIORITY,
            shares: Vec::new(),
            attempts_max: 1,
            anonymous: false,
            resumable: false,
            residency: Residency::default(),
        }
    }
}

impl Route {
    /// Whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns the service for `draw`, a number uniformly distributed over `0..u32::MAX`.
    pub fn service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut place = (u64::from(draw) * total) >> 32;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if place < weight {
                return Some(&share.service);
            }
            place -= weight;
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// Properties of a service's model engines, from its configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Engine {
    /// Requests that a replica decodes concurrently.
    pub slots: u32,
    /// Capacity of a replica's KV cache, in tokens.
    pub memory_tokens: u64,
    /// Base duration of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub sequence_ms: f64,
    /// Milliseconds that a thousand tokens of context add to a step.
    pub context_ms_per_thousand: f64,
    /// Prefill throughput, in prompt tokens per second.
    pub read_per_s: f64,
    /// Prefill time of a million pairs of a prompt token and an earlier one, in milliseconds (the
    /// quadratic part of attention).
    pub pairs_ms_per_million: f64,
    /// Steps between two checks of the queue.
    pub stride: u32,
    /// Mean prompt length, in tokens.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: f64,
    /// Mean response length, in tokens.
    #[serde(rename = "usual_answer")]
    pub mean_answer_tokens: f64,
    /// The models that it serves.
    pub models: Vec<Arc<str>>,
    /// Number of chunks of a model's weights, or 0 if unknown.
    pub chunks: u32,
    /// Size of a chunk in bytes, or 0 if unknown.
    pub chunk_bytes: u32,
    /// Whether a value needed for estimates was missing, so that they have to be corrected by
    /// observation.
    #[serde(rename = "guessed")]
    pub incomplete: bool,
}

/// Returns the time to transfer `bytes` over a link of `mbps` megabits per second, at most an hour.
pub fn transfer_time(bytes: u64, mbps: f64) -> Duration {
    Duration::from_secs_f64((bytes as f64 * 8.0 / (mbps * 1e6)).clamp(0.0, 3_600.0))
}

impl Engine {
    /// Returns the size of a complete copy of a model's weights in bytes, or 0 if unknown.
    pub fn weight_bytes(&self) -> u64 {
        u64::from(self.chunks) * u64::from(self.chunk_bytes)
    }

    /// Returns the number and size of the chunks of a model's weights.
    pub fn layout(&self) -> Layout {
        Layout {
            chunks: self.chunks,
            chunk_bytes: self.chunk_bytes,
        }
    }
}

impl Default for Engine {
    /// Values for an engine that does not publish its own: round figures in the middle of the usual
    /// range. Observation corrects them.
    fn default() -> Self {
        Self {
            slots: 8,
            memory_tokens: 300_000,
            step_ms: 10.0,
            sequence_ms: 0.02,
            context_ms_per_thousand: 0.02,
            read_per_s: 20_000.0,
            pairs_ms_per_million: 0.0,
            stride: 5,
            mean_prompt_tokens: 1_000.0,
            mean_answer_tokens: 100.0,
            models: Vec::new(),
            chunks: 0,
            chunk_bytes: 0,
            incomplete: true,
        }
    }
}

/// Connection limit per replica for a service that sets none: the lowest usual limit.
pub const CONNECTIONS_DEFAULT: u32 = 48;

fn connections_default() -> u32 {
    CONNECTIONS_DEFAULT
}

/// Path of the health checks of a service that sets none: the usual one.
pub fn health_path_default() -> Arc<str> {
    "/health".into()
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its replicas accepts from all callers together.
    #[serde(default = "connections_default")]
    pub connections_max: u32,
    /// Its engines, if it serves models.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Its address, if it is the origin of weights.
    #[serde(default)]
    pub origin: Option<SocketAddr>,
    /// Bandwidth of its link in megabits per second, if published.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Requests per second that one of its replicas can take while cold, or 0 for no limit.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Path at which its replicas answer health checks.
    #[serde(default = "health_path_default")]
    pub health_path: Arc<str>,
}

/// The settings of a customer that concern requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Its priority, which overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    #[serde(default)]
    pub residency: Residency,
}

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Parts of a configuration that could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Gaps {
    /// At least one route: a request that matches no route may belong to it.
    pub routes: bool,
    /// At least one customer: an unknown key may belong to it.
    pub customers: bool,
    /// The version: the document is ordered by its revision only.
    pub version: bool,
}

/// A routing configuration as plain data.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Its version, which increases by varying amounts.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Customers. If there are none, requests need no key.
    pub customers: Vec<Customer>,
    /// Limits on callers.
    pub limits: Limits,
    /// Parts that could not be read.
    pub gaps: Gaps,
}

/// The result of checking a request's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// The key belongs to this customer.
    Customer(&'a Customer),
    /// There is no valid key, and none is needed.
    Anonymous,
    /// A valid key is needed and missing.
    Denied,
    /// A valid key is needed, and the key may belong to a customer that could not be read.
    Unknown,
}

/// The active routing configuration.
#[derive(Debug, Default)]
pub struct Routing {
    /// The configuration as published.
    pub document: Arc<Document>,
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    services: BTreeMap<Arc<str>, usize>,
    min_objective_ms: BTreeMap<Arc<str>, u64>,
    /// The urgencies of requests.
    pub urgencies: Urgencies,
}

impl Routing {
    /// Builds the indexes of `document`.
    pub fn new(document: Arc<Document>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(document.routes[index].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, customer) in document.customers.iter().enumerate() {
            for key in &customer.keys {
                keys.insert(key.clone(), index);
            }
        }
        let services = document
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let mut min_objective_ms: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for route in &document.routes {
            for share in &route.shares {
                let known = min_objective_ms.entry(share.service.clone());
                let known = known.or_insert(route.objective_ms);
                *known = route.objective_ms.min(*known);
            }
        }
        Self {
            urgencies: Urgencies::new(&document),
            document,
            hosts,
            keys,
            services,
            min_objective_ms,
        }
    }

    /// Returns the lowest latency objective of all routes to a service, in milliseconds.
    pub fn min_objective_ms(&self, service: &str) -> Option<u64> {
        self.min_objective_ms.get(service).copied()
    }

    /// Returns the route of `path` at `host` with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .map(|&index| &self.document.routes[index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = *self.services.get(name)?;
        self.document.services.get(index)
    }

    /// Returns the address of the origin of weights.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.document
            .services
            .iter()
            .find_map(|service| service.origin)
    }

    /// Returns the bandwidth of the origin's link in megabits per second, if published.
    pub fn origin_mbps(&self) -> Option<f64> {
        let services = self.document.services.iter();
        let mut origins = services.filter(|service| service.origin.is_some());
        origins.find_map(|service| service.link_mbps)
    }

    /// Checks whether a request with `key` may use `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let customer = key.and_then(|key| self.keys.get(key));
        match customer {
            Some(&index) => Access::Customer(&self.document.customers[index]),
            None if route.anonymous => Access::Anonymous,
            None if self.document.gaps.customers => Access::Unknown,
            None if self.document.customers.is_empty() => Access::Anonymous,
            None => Access::Denied,
        }
    }
}
