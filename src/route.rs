//! Target selection of an entry: the table of known targets, and the choice among them.
//!
//! Version, hall and leaving are hard constraints; everything else is weighed by cost. Reports lag
//! by up to a second, so the entry corrects them by the requests that it has sent and seen end
//! since.

pub mod cold;
pub mod correction;
pub mod estimate;
pub mod health;
pub mod meter;
pub mod notice;
pub mod pool;
pub mod quota;
pub mod replica;
pub mod search;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::clock::Time;
use crate::hash;
use crate::weight::Digest;

slotmap::new_key_type! {
    /// Key of a target in a [`Table`].
    pub struct ReplicaKey;
}

/// A target takes no new requests once its last report is older than this.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Targets that are sampled for one request.
const SAMPLE_SIZE: usize = 3;

/// Highest cost of the affinity target, in percent of the cheapest sampled target's, at which
/// affinity is still preferred.
const AFFINITY_COST_MAX_PERCENT: u32 = 125;

/// The newest measurement enters the moving average with a weight of one in this many.
const SMOOTHING_DIVISOR: u32 = 8;

/// Service time assumed for a target before the first measurement.
const DEFAULT_LATENCY: Duration = Duration::from_millis(50);

/// Initial backoff after a target fails, doubled with each further failure in a row.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Number of doublings after which the backoff stops growing.
const BACKOFF_DOUBLINGS_MAX: u32 = 6;

/// Cost of a target in another hall, in percent of its own cost.
const REMOTE_COST_PERCENT: u64 = 150;

/// Load-balancing strategy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Targets in rotation.
    RoundRobin,
    /// The less loaded of two random targets.
    LeastOfTwo,
    /// The shortest expected wait among a few sampled targets, with affinity to prompt prefixes.
    #[default]
    Expected,
    /// The target that declared the most free capacity.
    Declared,
}

/// What a request needs and a target serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// A model version.
    Version(Digest),
    /// A plain service without a model.
    Service(Arc<str>),
}

/// State that a target's agent reports.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// The resources that it serves.
    pub serves: Vec<Resource>,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// Identifier of the reporting process's run.
    pub boot: u64,
    /// Requests in flight from all entries.
    pub in_flight: u32,
    /// Requests that it processes concurrently.
    pub capacity: u32,
}

/// A target and what this entry knows of it.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Name of its box.
    pub name: Arc<str>,
    /// Its hall.
    pub hall: Arc<str>,
    /// Address of its agent.
    pub address: SocketAddr,
    load: Load,
    listed_leaving: bool,
    last_report: Option<Time>,
    own_in_flight: u32,
    own_at_report: u32,
    latency: Option<Duration>,
    failures: u32,
    backoff_until: Time,
    probing: bool,
}

impl Replica {
    /// Estimated requests in flight: those of other entries by the last report, plus this entry's
    /// own.
    fn estimated_in_flight(&self) -> u32 {
        let others = self.load.in_flight.saturating_sub(self.own_at_report);
        others + self.own_in_flight
    }

    fn capacity(&self) -> u32 {
        self.load.capacity.max(1)
    }

    fn latency(&self) -> Duration {
        self.latency.unwrap_or(DEFAULT_LATENCY)
    }

    /// Expected time until the response, in microseconds.
    fn expected_latency_us(&self) -> u64 {
        let rounds = u64::from(self.estimated_in_flight() + 1) * 1_000 / u64::from(self.capacity());
        // Even a target with free capacity is faster with fewer requests in its batch.
        let rounds = rounds.max(1_000) + rounds / 4;
        rounds * self.latency().as_micros() as u64 / 1_000
    }

    /// Whether it accepts new requests: it reported lately and is not leaving.
    fn accepting(&self, now: Time) -> bool {
        let is_reporting = self
            .last_report
            .is_some_and(|last_report| now.since(last_report) < REPORT_TIMEOUT);
        is_reporting && !self.load.leaving && !self.listed_leaving
    }

    /// Whether it is ejected after failures. After the backoff, a single probe request is let
    /// through.
    fn ejected(&self, now: Time) -> bool {
        self.failures > 0 && (now < self.backoff_until || self.probing)
    }
}

/// Constraints on the choice of a target for one request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The resource that the request needs.
    pub resource: &'a Resource,
    /// Halls that may serve it; empty for any.
    pub halls: &'a [String],
    /// Hash of the prompt's prefix, for affinity.
    pub prefix: Option<u64>,
    /// Targets that were already tried.
    pub tried: &'a [ReplicaKey],
}

/// Why a target was chosen, for operators and traces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It was next in the rotation.
    Turn,
    /// It was the cheapest of the sampled targets.
    Cheapest,
    /// It probably has the prompt's prefix in its cache.
    Affinity,
    /// It had been ejected, and its backoff is over.
    Trial,
    /// All other targets are ejected.
    LastResort,
}

/// The result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The chosen target.
    pub replica: ReplicaKey,
    /// Why it was chosen.
    pub reason: Reason,
}

/// The targets that serve one resource, on a ring ordered by the hash of their names.
#[derive(Debug, Default)]
struct Group {
    ring: Vec<(u64, ReplicaKey)>,
    cursor: usize,
}

/// Routing table of an entry.
#[derive(Debug, Default)]
pub struct Table {
    own_hall: Arc<str>,
    replicas: SlotMap<ReplicaKey, Replica>,
    names: BTreeMap<Arc<str>, ReplicaKey>,
    groups: BTreeMap<Resource, Group>,
}

impl Table {
    /// Creates an empty table for an entry in `own_hall`.
    pub fn new(own_hall: Arc<str>) -> Self {
        Self {
            own_hall,
            ..Self::default()
        }
    }

    /// Adds a target, or updates the address of a known one.
    pub fn add(&mut self, name: &Arc<str>, hall: &Arc<str>, address: SocketAddr) -> ReplicaKey {
        if let Some(&key) = self.names.get(name) {
            self.replicas[key].address = address;
            return key;
        }
        let key = self.replicas.insert(Replica {
            name: name.clone(),
            hall: hall.clone(),
            address,
            load: Load::default(),
            listed_leaving: false,
            last_report: None,
            own_in_flight: 0,
            own_at_report: 0,
            latency: None,
            failures: 0,
            backoff_until: Time::default(),
            probing: false,
        });
        self.names.insert(name.clone(), key);
        key
    }

    /// Removes a target. Requests in flight there end on their own.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.names.remove(name) {
            self.replicas.remove(key);
            self.rebuild_groups();
        }
    }

    /// Returns the key of the target on the box `name`.
    pub fn by_name(&self, name: &str) -> Option<ReplicaKey> {
        self.names.get(name).copied()
    }

    /// Returns a target by its key.
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Names of all targets.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.keys()
    }

    /// Number of targets with a recent report that serve at least one resource.
    pub fn reporting(&self, now: Time) -> usize {
        let serving =
            |replica: &&Replica| replica.accepting(now) && !replica.load.serves.is_empty();
        self.replicas.values().filter(serving).count()
    }

    /// Sets whether the box list shows the target as leaving. A target that reported by itself that
    /// it is leaving stays so regardless.
    pub fn set_listed_leaving(&mut self, key: ReplicaKey, leaving: bool) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.listed_leaving = leaving;
        }
    }

    /// Applies a report of a target's agent. A target that is leaving stays so until a new process
    /// reports.
    pub fn report(&mut self, key: ReplicaKey, mut load: Load, now: Time) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if replica.load.boot == load.boot {
            load.leaving |= replica.load.leaving;
        }
        let changed = replica.load.serves != load.serves;
        replica.load = load;
        replica.last_report = Some(now);
        replica.own_at_report = replica.own_in_flight;
        if changed {
            self.rebuild_groups();
        }
    }

    fn rebuild_groups(&mut self) {
        let cursors: BTreeMap<Resource, usize> = self
            .groups
            .iter()
            .map(|(need, group)| (need.clone(), group.cursor))
            .collect();
        self.groups.clear();
        for (key, replica) in &self.replicas {
            let hash = hash_of(replica.name.as_bytes());
            for need in &replica.load.serves {
                let group = self.groups.entry(need.clone()).or_default();
                group.ring.push((hash, key));
            }
        }
        for (need, group) in &mut self.groups {
            group.ring.sort_unstable();
            group.cursor = cursors.get(need).copied().unwrap_or(0);
        }
    }

    /// Chooses a target, or returns `None` if none is eligible.
    pub fn choose(
        &mut self,
        query: Query<'_>,
        strategy: Strategy,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let group = self.groups.get_mut(query.resource)?;
        group.cursor = group.cursor.wrapping_add(1);
        let group = &self.groups[query.resource];
        let choice = match strategy {
            Strategy::RoundRobin => self.round_robin(group, query, now),
            Strategy::LeastOfTwo => self.cheapest(group, query, now, rng, 2, |replica| {
                u64::from(replica.estimated_in_flight())
            }),
            Strategy::Expected => self.expected(group, query, now, rng),
            Strategy::Declared => self.cheapest(group, query, now, rng, usize::MAX, |replica| {
                let free = replica
                    .capacity()
                    .saturating_sub(replica.estimated_in_flight());
                u64::MAX - u64::from(free)
            }),
        };
        let choice = choice.or_else(|| self.last_resort(group, query, now))?;
        let replica = &mut self.replicas[choice.replica];
        if replica.failures > 0 {
            replica.probing = true;
        }
        Some(choice)
    }

    fn eligible(&self, key: ReplicaKey, query: Query<'_>, now: Time) -> bool {
        let replica = &self.replicas[key];
        replica.accepting(now)
            && !query.tried.contains(&key)
            && (query.halls.is_empty() || query.halls.iter().any(|hall| **hall == *replica.hall))
    }

    fn ready(&self, key: ReplicaKey, query: Query<'_>, now: Time) -> bool {
        self.eligible(key, query, now) && !self.replicas[key].ejected(now)
    }

    fn round_robin(&self, group: &Group, query: Query<'_>, now: Time) -> Option<Choice> {
        let length = group.ring.len();
        (0..length)
            .map(|step| group.ring[(group.cursor + step) % length].1)
            .find(|&key| self.ready(key, query, now))
            .map(|replica| Choice {
                replica,
                reason: Reason::Turn,
            })
    }

    /// Returns the cheapest of up to `count` ready targets, starting from random positions.
    fn cheapest(
        &self,
        group: &Group,
        query: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
        count: usize,
        cost: impl Fn(&Replica) -> u64,
    ) -> Option<Choice> {
        let length = group.ring.len();
        let mut best: Option<(u64, ReplicaKey)> = None;
        let mut found = 0;
        // Samples random positions first. If too few of those are ready, scans the ring from a
        // random start.
        let samples = (0..count.min(length)).map(|_| rng.random_range(0..length));
        let samples: Vec<usize> = samples.collect();
        let start = rng.random_range(0..length);
        let scan = (0..length).map(|step| (start + step) % length);
        for (step, index) in samples.iter().copied().chain(scan).enumerate() {
            if found >= count && step >= samples.len() {
                break;
            }
            let key = group.ring[index].1;
            if !self.ready(key, query, now) {
                continue;
            }
            found += 1;
            let candidate = (cost(&self.replicas[key]), key);
            if best.is_none_or(|known| candidate.0 < known.0) {
                best = Some(candidate);
            }
        }
        best.map(|(_, replica)| Choice {
            replica,
            reason: match self.replicas[replica].failures {
                0 => Reason::Cheapest,
                _ => Reason::Trial,
            },
        })
    }

    fn expected(
        &self,
        group: &Group,
        query: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let cost = |replica: &Replica| {
            let is_local = replica.hall == self.own_hall;
            let factor = if is_local { 100 } else { REMOTE_COST_PERCENT };
            replica.expected_latency_us() * factor / 100
        };
        let cheapest = self.cheapest(group, query, now, rng, SAMPLE_SIZE, cost)?;
        let Some(prefix) = query.prefix else {
            return Some(cheapest);
        };
        let affinity_target = self.affinity_target(group, prefix, query, now);
        let Some(affinity_target) = affinity_target else {
            return Some(cheapest);
        };
        let bound =
            cost(&self.replicas[cheapest.replica]) * u64::from(AFFINITY_COST_MAX_PERCENT) / 100;
        if cost(&self.replicas[affinity_target]) <= bound {
            return Some(Choice {
                replica: affinity_target,
                reason: Reason::Affinity,
            });
        }
        Some(cheapest)
    }

    /// Returns the ready target at or after the prefix's position on the ring.
    fn affinity_target(
        &self,
        group: &Group,
        prefix: u64,
        query: Query<'_>,
        now: Time,
    ) -> Option<ReplicaKey> {
        let length = group.ring.len();
        let start = group.ring.partition_point(|(hash, _)| *hash < prefix);
        (0..length.min(SAMPLE_SIZE))
            .map(|step| group.ring[(start + step) % length].1)
            .find(|&key| self.ready(key, query, now))
    }

    /// If all eligible targets are ejected, returns the one whose backoff ends first.
    fn last_resort(&self, group: &Group, query: Query<'_>, now: Time) -> Option<Choice> {
        let candidates = group.ring.iter().map(|(_, key)| *key);
        candidates
            .filter(|&key| self.eligible(key, query, now))
            .min_by_key(|&key| self.replicas[key].backoff_until)
            .map(|replica| Choice {
                replica,
                reason: Reason::LastResort,
            })
    }

    /// Counts a request that was sent to a target.
    pub fn begin(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own_in_flight += 1;
        }
    }

    /// Counts a request at a target as ended, and updates the target's health and latency.
    pub fn end(&mut self, key: ReplicaKey, end: Completion, now: Time) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
        replica.own_at_report = replica.own_at_report.min(replica.own_in_flight);
        match end {
            Completion::Success(elapsed) => {
                replica.failures = 0;
                replica.probing = false;
                replica.latency = Some(match replica.latency {
                    None => elapsed,
                    Some(latency) => {
                        (latency * (SMOOTHING_DIVISOR - 1) + elapsed) / SMOOTHING_DIVISOR
                    }
                });
            }
            Completion::Failed => {
                let doublings = replica.failures.min(BACKOFF_DOUBLINGS_MAX);
                replica.backoff_until = now + BACKOFF_BASE * 2u32.pow(doublings);
                replica.failures += 1;
                replica.probing = false;
            }
            Completion::Neutral => replica.probing = false,
        }
    }
}

/// How a request at a target ended, as far as target selection is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The response was complete after this time.
    Success(Duration),
    /// The target failed.
    Failed,
    /// Says nothing about the target: the caller disconnected, or the target was full.
    Neutral,
}

/// 64-bit hash of `bytes`, the same on every machine.
pub fn hash_of(bytes: &[u8]) -> u64 {
    hash::truncate(&blake3::hash(bytes))
}
