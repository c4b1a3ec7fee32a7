//! A routing configuration: hosts and paths, services, customers' keys, and limits on callers.
//!
//! [`Document`] is plain data that travels between processes; [`Routing`] is a document in force,
//! with its indexes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::residency::Residency;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// They may run more than once.
    Idempotent,
    /// They may run at most once.
    NonIdempotent,
    /// Their answers are streams of numbered events.
    Streaming,
}

/// One of the services that share a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// Longest time that a request is held where its route tells none, in milliseconds: the longest
/// deadline of callers seen at any deployment, five times over.
const TIMEOUT_DEFAULT_MS: u64 = 30_000;

/// Objective of a route that tells none, in milliseconds: the usual one of routes to engines.
const OBJECTIVE_DEFAULT_MS: u64 = 400;

/// Rank of a route that tells none: what a replica takes for a request without one.
const PRIORITY_DEFAULT: u8 = 5;

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that its requests name, in lower case.
    pub host: String,
    /// The beginning of its paths.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer (a stream's first event) is in time, in milliseconds.
    pub objective_ms: u64,
    /// Rank, 0 being the highest.
    pub priority: u8,
    /// Where its requests go.
    pub shares: Vec<Share>,
    /// Replicas to which one request may be sent.
    pub attempts_max: u32,
    /// Whether it takes requests without a key.
    pub anonymous: bool,
    /// Whether a stream may be taken up at another replica.
    pub resumable: bool,
    /// Where its requests may be served.
    pub residency: Residency,
}

impl Default for Route {
    /// What is assumed of a route that does not tell: nothing may be repeated.
    fn default() -> Self {
        Self {
            name: "".into(),
            host: String::new(),
            prefix: String::new(),
            kind: Kind::NonIdempotent,
            timeout_ms: TIMEOUT_DEFAULT_MS,
            objective_ms: OBJECTIVE_DEFAULT_MS,
            priority: PRIORITY_DEFAULT,
            shares: Vec::new(),
            attempts_max: 1,
            anonymous: false,
            resumable: false,
            residency: Residency::default(),
        }
    }
}

impl Route {
    /// Whether a request may run twice.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// The service for `draw`, a number that is uniform over `0..u32::MAX`.
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

/// What a service's configuration says of its model engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Engine {
    /// Requests that a replica writes at once.
    pub slots: u32,
    /// Tokens' memory of a replica.
    pub memory_tokens: u64,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub sequence_ms: f64,
    /// Milliseconds that a thousand tokens of context add to a step.
    pub context_ms_per_thousand: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Milliseconds that a million pairs of a prompt's token and an earlier one add to its reading.
    pub pairs_ms_per_million: f64,
    /// Steps between two looks at the queue.
    pub stride: u32,
    /// Mean tokens of a prompt.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    #[serde(rename = "usual_answer")]
    pub mean_answer_tokens: f64,
    /// The models that it serves.
    pub models: Vec<Arc<str>>,
    /// Chunks of a model's weights; 0 if untold.
    pub chunks: u32,
    /// Bytes of a chunk; 0 if untold.
    pub chunk_bytes: u32,
    /// Whether a figure that estimates need was missing, so that they have to be corrected by what
    /// is observed.
    #[serde(rename = "guessed")]
    pub incomplete: bool,
}

/// Time that `bytes` take over a link of so many megabits a second.
pub fn transfer_time(bytes: u64, mbps: f64) -> Duration {
    Duration::from_secs_f64((bytes as f64 * 8.0 / (mbps * 1e6)).clamp(0.0, 3_600.0))
}

impl Engine {
    /// Bytes of a whole copy of a model's weights; 0 if untold.
    pub fn weight_bytes(&self) -> u64 {
        u64::from(self.chunks) * u64::from(self.chunk_bytes)
    }
}

impl Default for Engine {
    /// Figures for an engine that does not tell its own: round ones near the middle of the engines
    /// that were seen. What is observed corrects them.
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

/// Connections to a replica of a service that tells no bound: the lowest bound that was seen.
pub const CONNECTIONS_DEFAULT: u32 = 48;

fn connections_default() -> u32 {
    CONNECTIONS_DEFAULT
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
    /// Megabits that its link carries in a second, if it tells.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Requests a second that one of its replicas bears while it is cold; 0 if there is no bound.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// A customer, as far as requests are concerned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// Where its requests may be served.
    #[serde(default)]
    pub residency: Residency,
}

/// Limits on what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Milliseconds in which a head has to come.
    pub head_ms: u64,
    /// Milliseconds that a connection may rest.
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

/// What of a configuration could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Gaps {
    /// A route at least: a request without a route may belong to it.
    pub routes: bool,
    /// A customer at least: an unknown key may be its.
    pub customers: bool,
    /// Its version: it is ordered by its revision alone.
    pub version: bool,
}

/// A routing configuration as plain data.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Its version, which rises in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Customers; none of them, and no request needs a key.
    pub customers: Vec<Customer>,
    /// Limits on callers.
    pub limits: Limits,
    /// What could not be read.
    pub gaps: Gaps,
}

/// Whose key a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// The key's customer.
    Customer(&'a Customer),
    /// Nobody's, and none is needed.
    Anonymous,
    /// It has no valid key and needs one.
    Denied,
    /// It needs a valid key, and not all keys could be read.
    Unknown,
}

/// A routing configuration in force.
#[derive(Debug, Default)]
pub struct Routing {
    /// The configuration as it was published.
    pub document: Arc<Document>,
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    services: BTreeMap<Arc<str>, usize>,
    min_objective_ms: BTreeMap<Arc<str>, u64>,
}

impl Routing {
    /// Puts `document` in force.
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
            document,
            hosts,
            keys,
            services,
            min_objective_ms,
        }
    }

    /// The tightest objective of all routes to a service, in milliseconds.
    pub fn min_objective_ms(&self, service: &str) -> Option<u64> {
        self.min_objective_ms.get(service).copied()
    }

    /// The route of `path` at `host`: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .map(|&index| &self.document.routes[index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// One service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = *self.services.get(name)?;
        self.document.services.get(index)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.document
            .services
            .iter()
            .find_map(|service| service.origin)
    }

    /// Megabits that the link of the origin of weights carries in a second, if it tells.
    pub fn origin_mbps(&self) -> Option<f64> {
        let services = self.document.services.iter();
        let mut origins = services.filter(|service| service.origin.is_some());
        origins.find_map(|service| service.link_mbps)
    }

    /// Whether a request with `key` may use `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let owner = key.and_then(|key| self.keys.get(key));
        match owner {
            Some(&index) => Access::Customer(&self.document.customers[index]),
            None if route.anonymous => Access::Anonymous,
            None if self.document.gaps.customers => Access::Unknown,
            None if self.document.customers.is_empty() => Access::Anonymous,
            None => Access::Denied,
        }
    }
}
