//! Where a request goes: the targets that an entry knows, and the choice among them.
//!
//! Eligibility is strict (version, hall, leaving); everything else is a matter of cost. Reports lag
//! by up to a second, so the entry corrects them by what it sent and got back itself since.

pub mod cold;
pub mod correction;
pub mod estimate;
pub mod health;
pub mod notice;
pub mod pool;
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
    /// A target that the entry knows.
    pub struct ReplicaKey;
}

/// A target from which nothing was heard for so long takes no new work.
pub const SILENCE: Duration = Duration::from_millis(2_500);

/// Candidates that are looked at for one request.
const SAMPLED: usize = 3;

/// A target may have this many times the mean load, in hundredths, before affinity is given up.
const AFFINITY_BOUND: u32 = 125;

/// Weight of the newest measurement: one in this many.
const SMOOTHING: u32 = 8;

/// Service time that is assumed before any was measured.
const USUAL_UNKNOWN: Duration = Duration::from_millis(50);

/// First pause of a target that failed, doubled each time.
const PAUSE: Duration = Duration::from_millis(250);

/// Doublings after which the pause grows no more.
const DOUBLINGS_MAX: u32 = 6;

/// Cost of a target in another hall, in hundredths of its own.
const REMOTE_COST: u64 = 150;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// One after another.
    RoundRobin,
    /// The less loaded of two at random.
    LeastOfTwo,
    /// The least expected wait of a few, with affinity to prompt prefixes.
    #[default]
    Expected,
    /// The target that declared the most free capacity.
    Declared,
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// A version of a model.
    Version(Digest),
    /// A plain service.
    Service(Arc<str>),
}

/// What a target's agent reported.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// What it can serve.
    pub serves: Vec<Resource>,
    /// Whether it takes no more work.
    pub leaving: bool,
    /// The process that reports.
    pub boot: u64,
    /// Requests in progress, from all entries.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub capacity: u32,
}

/// A target.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its box's name.
    pub name: Arc<str>,
    /// Its hall.
    pub hall: Arc<str>,
    /// Where its agent listens.
    pub address: SocketAddr,
    load: Load,
    listed_leaving: bool,
    heard: Option<Time>,
    own: u32,
    own_at_report: u32,
    usual: Option<Duration>,
    failures: u32,
    paused_until: Time,
    probing: bool,
}

impl Replica {
    /// Requests in progress there, as far as this entry can tell.
    fn estimate(&self) -> u32 {
        let others = self.load.in_flight.saturating_sub(self.own_at_report);
        others + self.own
    }

    fn capacity(&self) -> u32 {
        self.load.capacity.max(1)
    }

    fn usual(&self) -> Duration {
        self.usual.unwrap_or(USUAL_UNKNOWN)
    }

    /// Microseconds until an answer, as expected.
    fn expected(&self) -> u64 {
        let rounds = u64::from(self.estimate() + 1) * 1_000 / u64::from(self.capacity());
        // Even a target with free capacity batches better with less to do.
        let rounds = rounds.max(1_000) + rounds / 4;
        rounds * self.usual().as_micros() as u64 / 1_000
    }

    /// Whether it takes new work.
    fn open(&self, now: Time) -> bool {
        let heard = self.heard.is_some_and(|heard| now.since(heard) < SILENCE);
        heard && !self.load.leaving && !self.listed_leaving
    }

    /// Whether it is put aside after failures. Once the pause is over, one request tries it.
    fn put_aside(&self, now: Time) -> bool {
        self.failures > 0 && (now < self.paused_until || self.probing)
    }
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// What is needed.
    pub resource: &'a Resource,
    /// The halls that may serve it; empty for any.
    pub halls: &'a [String],
    /// Hash of the prompt's beginning, for affinity.
    pub prefix: Option<u64>,
    /// Targets that were tried already.
    pub tried: &'a [ReplicaKey],
}

/// Why a target was chosen, for operators and traces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It was next.
    Turn,
    /// It was the cheapest of those that were looked at.
    Cheapest,
    /// It probably has the prompt's beginning in its cache.
    Affinity,
    /// It was put aside, and its pause is over.
    Trial,
    /// All others are put aside.
    LastResort,
}

/// A choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub replica: ReplicaKey,
    /// Why.
    pub reason: Reason,
}

/// Those that serve one need, on a ring by the hash of their names.
#[derive(Debug, Default)]
struct Pool {
    ring: Vec<(u64, ReplicaKey)>,
    turn: usize,
}

/// The targets that an entry knows.
#[derive(Debug, Default)]
pub struct Table {
    own_hall: Arc<str>,
    replicas: SlotMap<ReplicaKey, Replica>,
    names: BTreeMap<Arc<str>, ReplicaKey>,
    pools: BTreeMap<Resource, Pool>,
}

impl Table {
    /// An empty table of an entry in `own_hall`.
    pub fn new(own_hall: Arc<str>) -> Self {
        Self {
            own_hall,
            ..Self::default()
        }
    }

    /// Adds a target, or changes where it is.
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
            heard: None,
            own: 0,
            own_at_report: 0,
            usual: None,
            failures: 0,
            paused_until: Time::default(),
            probing: false,
        });
        self.names.insert(name.clone(), key);
        key
    }

    /// Drops a target. Requests in progress there end on their own.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.names.remove(name) {
            self.replicas.remove(key);
            self.rebuild();
        }
    }

    /// One target by its box's name.
    pub fn by_name(&self, name: &str) -> Option<ReplicaKey> {
        self.names.get(name).copied()
    }

    /// One target.
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Names of all targets.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.keys()
    }

    /// Targets that reported what they serve, and lately.
    pub fn reporting(&self, now: Time) -> usize {
        let serving = |replica: &&Replica| replica.open(now) && !replica.load.serves.is_empty();
        self.replicas.values().filter(serving).count()
    }

    /// The list says whether a target leaves. It cannot call back one that announced it by itself.
    pub fn set_listed_leaving(&mut self, key: ReplicaKey, leaving: bool) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.listed_leaving = leaving;
        }
    }

    /// A target's agent reported. Leaving is for good until another process reports.
    pub fn report(&mut self, key: ReplicaKey, mut load: Load, now: Time) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if replica.load.boot == load.boot {
            load.leaving |= replica.load.leaving;
        }
        let moved = replica.load.serves != load.serves;
        replica.load = load;
        replica.heard = Some(now);
        replica.own_at_report = replica.own;
        if moved {
            self.rebuild();
        }
    }

    fn rebuild(&mut self) {
        let turns: BTreeMap<Resource, usize> = self
            .pools
            .iter()
            .map(|(need, pool)| (need.clone(), pool.turn))
            .collect();
        self.pools.clear();
        for (key, replica) in &self.replicas {
            let hash = hash_of(replica.name.as_bytes());
            for need in &replica.load.serves {
                let pool = self.pools.entry(need.clone()).or_default();
                pool.ring.push((hash, key));
            }
        }
        for (need, pool) in &mut self.pools {
            pool.ring.sort_unstable();
            pool.turn = turns.get(need).copied().unwrap_or(0);
        }
    }

    /// Chooses a target.
    pub fn choose(
        &mut self,
        ask: Query<'_>,
        policy: Strategy,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let pool = self.pools.get_mut(ask.resource)?;
        pool.turn = pool.turn.wrapping_add(1);
        let pool = &self.pools[ask.resource];
        let choice = match policy {
            Strategy::RoundRobin => self.next_in_turn(pool, ask, now),
            Strategy::LeastOfTwo => self.cheapest(pool, ask, now, rng, 2, |replica| {
                u64::from(replica.estimate())
            }),
            Strategy::Expected => self.expected(pool, ask, now, rng),
            Strategy::Declared => self.cheapest(pool, ask, now, rng, usize::MAX, |replica| {
                let free = replica.capacity().saturating_sub(replica.estimate());
                u64::MAX - u64::from(free)
            }),
        };
        let choice = choice.or_else(|| self.last_resort(pool, ask, now))?;
        let replica = &mut self.replicas[choice.replica];
        if replica.failures > 0 {
            replica.probing = true;
        }
        Some(choice)
    }

    fn eligible(&self, key: ReplicaKey, ask: Query<'_>, now: Time) -> bool {
        let replica = &self.replicas[key];
        replica.open(now)
            && !ask.tried.contains(&key)
            && (ask.halls.is_empty() || ask.halls.iter().any(|hall| **hall == *replica.hall))
    }

    fn ready(&self, key: ReplicaKey, ask: Query<'_>, now: Time) -> bool {
        self.eligible(key, ask, now) && !self.replicas[key].put_aside(now)
    }

    fn next_in_turn(&self, pool: &Pool, ask: Query<'_>, now: Time) -> Option<Choice> {
        let length = pool.ring.len();
        (0..length)
            .map(|step| pool.ring[(pool.turn + step) % length].1)
            .find(|&key| self.ready(key, ask, now))
            .map(|replica| Choice {
                replica,
                reason: Reason::Turn,
            })
    }

    /// The cheapest of up to `count` targets that are ready, beginning anywhere.
    fn cheapest(
        &self,
        pool: &Pool,
        ask: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
        count: usize,
        cost: impl Fn(&Replica) -> u64,
    ) -> Option<Choice> {
        let length = pool.ring.len();
        let mut best: Option<(u64, ReplicaKey)> = None;
        let mut found = 0;
        // Random places first; when few are ready, a walk over the ring finds those.
        let places = (0..count.min(length)).map(|_| rng.random_range(0..length));
        let places: Vec<usize> = places.collect();
        let start = rng.random_range(0..length);
        let walk = (0..length).map(|step| (start + step) % length);
        for (step, place) in places.iter().copied().chain(walk).enumerate() {
            if found >= count && step >= places.len() {
                break;
            }
            let key = pool.ring[place].1;
            if !self.ready(key, ask, now) {
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
        pool: &Pool,
        ask: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let cost = |replica: &Replica| {
            let near = replica.hall == self.own_hall;
            let factor = if near { 100 } else { REMOTE_COST };
            replica.expected() * factor / 100
        };
        let cheapest = self.cheapest(pool, ask, now, rng, SAMPLED, cost)?;
        let Some(prefix) = ask.prefix else {
            return Some(cheapest);
        };
        let home = self.home(pool, prefix, ask, now);
        let Some(home) = home else {
            return Some(cheapest);
        };
        let bound = cost(&self.replicas[cheapest.replica]) * u64::from(AFFINITY_BOUND) / 100;
        if cost(&self.replicas[home]) <= bound {
            return Some(Choice {
                replica: home,
                reason: Reason::Affinity,
            });
        }
        Some(cheapest)
    }

    /// The target whose place on the ring follows the prefix's.
    fn home(&self, pool: &Pool, prefix: u64, ask: Query<'_>, now: Time) -> Option<ReplicaKey> {
        let length = pool.ring.len();
        let start = pool.ring.partition_point(|(hash, _)| *hash < prefix);
        (0..length.min(SAMPLED))
            .map(|step| pool.ring[(start + step) % length].1)
            .find(|&key| self.ready(key, ask, now))
    }

    /// When all that could serve are put aside, any of them is better than none.
    fn last_resort(&self, pool: &Pool, ask: Query<'_>, now: Time) -> Option<Choice> {
        let open = pool.ring.iter().map(|(_, key)| *key);
        open.filter(|&key| self.eligible(key, ask, now))
            .min_by_key(|&key| self.replicas[key].paused_until)
            .map(|replica| Choice {
                replica,
                reason: Reason::LastResort,
            })
    }

    /// A request was sent to a target.
    pub fn begin(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own += 1;
        }
    }

    /// A request at a target ended.
    pub fn end(&mut self, key: ReplicaKey, end: Completion, now: Time) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.own = replica.own.saturating_sub(1);
        replica.own_at_report = replica.own_at_report.min(replica.own);
        match end {
            Completion::Success(took) => {
                replica.failures = 0;
                replica.probing = false;
                replica.usual = Some(match replica.usual {
                    None => took,
                    Some(usual) => (usual * (SMOOTHING - 1) + took) / SMOOTHING,
                });
            }
            Completion::Failed => {
                let doublings = replica.failures.min(DOUBLINGS_MAX);
                replica.paused_until = now + PAUSE * 2u32.pow(doublings);
                replica.failures += 1;
                replica.probing = false;
            }
            Completion::Neutral => replica.probing = false,
        }
    }
}

/// How a request at a target ended, as far as the choice of targets is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The answer came whole, after this long.
    Success(Duration),
    /// The target failed.
    Failed,
    /// It tells nothing of the target: the caller left, or the target was full.
    Neutral,
}

/// A 64-bit hash of `bytes`, the same everywhere.
pub fn hash_of(bytes: &[u8]) -> u64 {
    hash::word(&blake3::hash(bytes))
}
