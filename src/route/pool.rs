//! Replicas that an entry knows from the platform's replica list, and the choice among them.
//!
//! Eligibility is a hard constraint: listed, not leaving, and of an allowed version. Among the
//! eligible replicas, the time to the first event is estimated from the last report and from what
//! this entry has sent since. The shortest time wins, with a penalty for other halls.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use slotmap::SlotMap;

use super::correction::Correction;
use super::estimate::{self, Backlog, Demand};
use super::health::Signal;
use super::notice::{Notice, Suspensions};
use super::quota::Registry;
use super::replica::Replica;
use crate::clock::Time;
use crate::config::residency::{Regions, Residency};
use crate::config::routing::Engine;
use crate::member::replica::Instance;
use crate::policy::Policy;
use crate::wire::sync::ReplicaStatus;

mod instance;
pub mod limit;

slotmap::new_key_type! {
    /// A replica in a [`Pool`].
    pub struct Key;
}

/// Response time assumed for a plain service before the first measurement.
const DEFAULT_LATENCY: Duration = Duration::from_millis(50);

/// Delay of a replica above which it needs a margin before its version's cutoff. The delay is the
/// lag of its first events behind their estimates, or that of its link, whichever is longer. Above
/// this, the replica may be behind a link that delays everything, the end of a request included.
const LAG_MAX: Duration = Duration::from_millis(100);

/// Minimum margin of a replica that is delayed by more than [`LAG_MAX`]: it gets no request whose
/// start is expected less than this before its version's cutoff, since a late start would be on a
/// version that is no longer allowed.
const LAG_MARGIN: Duration = Duration::from_millis(1_600);

/// The margin of such a replica as a multiple of its delay, where that exceeds [`LAG_MARGIN`]: a
/// request arrives later by the delay, and so does its end.
const LAG_MARGIN_FACTOR: u32 = 2;

/// Largest link delay that enters an estimate, since it is derived from exchanges other than
/// requests.
const LINK_DELAY_MAX: Duration = Duration::from_millis(250);

/// A request that would outlast its replica's next version change costs one part in this many of
/// the excess.
const OVERRUN_DIVISOR: u32 = 2;

/// One invalidated replica in this many shows that the list is out of date. Fewer are taken for
/// replaced replicas.
const INVALIDATED_DIVISOR: u32 = 3;

/// Lowest rate of requests under quotas, per second, from which an interval between two is derived.
const QUOTA_PER_S_MIN: f64 = 0.1;

/// Prompts of mean length that an engine with a free slot may still have to prefill.
const IMMEDIATE_PROMPTS: f64 = 1.0;

/// Model and versions that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelQuery<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// The oldest acceptable version.
    pub min_version: u64,
    /// The only acceptable version, if the request resumes an answer that has begun.
    pub pinned_version: Option<u64>,
}

/// Constraints and size of a request that needs a replica.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The requested service.
    pub service: &'a str,
    /// The model, if the service serves models.
    pub model: Option<ModelQuery<'a>>,
    /// The engine's figures, if the service has an engine.
    pub engine: Option<&'a Engine>,
    /// The request's size.
    pub demand: Demand,
    /// Time until its deadline, if it may be refused because it takes longer.
    pub remaining: Option<Duration>,
    /// What limits its time to the first event, if it may be refused.
    pub terms: Option<limit::Terms>,
    /// Replicas that were already tried.
    pub tried: &'a [Key],
    /// Replicas that reported that they have no free slot.
    pub full: &'a [Key],
    /// Connections that this entry may have to one replica.
    pub connections_max: u32,
    /// Where the request may be served.
    pub residency: &'a Residency,
    /// Region of each hall.
    pub regions: &'a Regions,
    /// Requests per second that this entry may send to a cold replica; 0 for no limit.
    pub cold_per_s: f64,
    /// The request's urgency; 0 is the highest.
    pub urgency: u8,
}

/// The result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The chosen replica.
    pub key: Key,
    /// Expected time until the first event, or until the response of a plain service.
    pub expected: Duration,
    /// Requests that the replica had already, as far as is known.
    pub requests: u32,
    /// Part of `expected` that is the prefill of the request's own prompt.
    pub prefill: Duration,
}

/// Limits within which a sidecar has to expect the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Limit for a lease on a free slot.
    pub immediate: Duration,
    /// Limit for a lease on a place in the queue.
    pub queued: Duration,
    /// Limit on the first event as the caller sees it.
    pub whole: Duration,
}

/// Why no replica can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// None is listed for the service.
    #[error("no replica is listed")]
    NoneListed,
    /// None is in an allowed region and in a hall that is not evacuated.
    #[error("no replica stands where the request may be served")]
    NoneAllowed,
    /// All are leaving, invalidated or dead, or hold no allowed version.
    #[error("no replica is fit")]
    NoneEligible,
    /// All eligible replicas are cold and at their rate limit.
    #[error("all replicas are cold and bear no more")]
    Cold,
    /// All eligible replicas asked for a backoff.
    #[error("all replicas asked for rest, the first for {} ms more", remaining.as_millis())]
    BackingOff {
        /// Time until the first of them takes requests again.
        remaining: Duration,
    },
    /// The quotas of all eligible replicas are used up.
    #[error("the quotas of all replicas are used up, the first for {} ms more", remaining.as_millis())]
    QuotaUsed {
        /// Time until the first of them may take a request again.
        remaining: Duration,
        /// Mean time between two requests that all of them together take.
        interval: Duration,
    },
    /// All eligible replicas were tried.
    #[error("all replicas were tried")]
    AllTried,
    /// The response would not be complete before the deadline at any of them.
    #[error("the response takes longer than the caller waits")]
    TooSlow,
    /// This entry has the maximum number of connections to each of them.
    #[error("no connection is free")]
    Connections,
}

/// How long before its version's cutoff a replica's last request has to be expected to start.
fn start_margin(replica: &Replica, now: Time) -> Duration {
    let delay = replica.lag(now).max(replica.link_delay(now));
    if delay > LAG_MAX {
        LAG_MARGIN.max(delay * LAG_MARGIN_FACTOR)
    } else {
        Duration::ZERO
    }
}

/// The replicas that an entry knows.
#[derive(Debug, Default)]
pub struct Pool {
    own_hall: Arc<str>,
    policy: Policy,
    replicas: SlotMap<Key, Replica>,
    ids: BTreeMap<Arc<str>, Key>,
    services: BTreeMap<Arc<str>, Vec<Key>>,
    addresses: BTreeMap<SocketAddr, Vec<Key>>,
    corrections: BTreeMap<Arc<str>, Correction>,
    evacuated: BTreeSet<Arc<str>>,
    restarted: Vec<SocketAddr>,
    suspensions: Suspensions,
    has_quotas: bool,
    requests_begun: u64,
}

impl Pool {
    /// Creates an empty pool for an entry in `own_hall`.
    pub fn new(own_hall: Arc<str>, policy: Policy) -> Self {
        Self {
            own_hall,
            policy,
            ..Self::default()
        }
    }

    /// Time by which a request sent now has to have started at the replica, if the replica is about
    /// to change its version.
    pub fn start_deadline(&self, key: Key, model: &str, now: Time) -> Option<Time> {
        let replica = self.replicas.get(key)?;
        replica.change(model, now).map(|change| change.cutoff)
    }

    /// Returns a replica by its key.
    pub fn get(&self, key: Key) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Replicas of one service.
    pub fn by_service(&self, service: &str) -> &[Key] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Fresh reports of the replicas in `hall`.
    pub fn reports(&self, hall: &str, now: Time) -> Vec<ReplicaStatus> {
        self.reports_since(hall, Time::default(), now)
    }

    /// Fresh reports of those replicas in `hall` that began or stopped taking requests after
    /// `since`.
    pub fn reports_since(&self, hall: &str, since: Time, now: Time) -> Vec<ReplicaStatus> {
        let replicas = self.of_hall(hall);
        let replicas = replicas.filter(|replica| replica.availability_changed_at() > since);
        let reports = replicas.filter_map(|replica| {
            let (load, at) = replica.fresh_report(now)?;
            Some(ReplicaStatus {
                address: replica.record.address,
                load: load.clone(),
                age_ms: now.since(at).as_millis() as u64,
            })
        });
        reports.collect()
    }

    /// When a replica of `hall` last began or stopped taking requests, by its reports.
    pub fn last_availability_change(&self, hall: &str) -> Option<Time> {
        self.of_hall(hall)
            .map(Replica::availability_changed_at)
            .max()
    }

    /// Halls that have replicas.
    pub fn halls(&self) -> BTreeSet<Arc<str>> {
        let replicas = self.replicas.values();
        replicas
            .map(|replica| replica.record.hall.clone())
            .collect()
    }

    fn of_hall(&self, hall: &str) -> impl Iterator<Item = &Replica> {
        let replicas = self.replicas.values();
        replicas.filter(move |replica| *replica.record.hall == *hall)
    }

    /// Hosts of the model replicas in `hall` without a fresh report.
    pub fn unreported_hosts(&self, hall: &str, now: Time) -> Vec<IpAddr> {
        let silent = self.of_hall(hall).filter(|replica| {
            !replica.record.models.is_empty() && replica.fresh_report(now).is_none()
        });
        let mut hosts: Vec<IpAddr> = silent.map(|replica| replica.record.address.ip()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Records that a replica's sidecar did not answer. With `silent`, its link may be delayed.
    pub fn mark_unresponsive(&mut self, key: Key, silent: bool, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.mark_unresponsive(silent, now);
        }
    }

    /// Whether a replica has a queue, which explains a missing event.
    pub fn has_queue(&self, key: Key, now: Time) -> bool {
        self.replicas
            .get(key)
            .is_some_and(|replica| replica.has_queue(now))
    }

    /// Whether to ask the replica's sidecar for a lease.
    pub fn grants_leases(&self, key: Key, now: Time) -> bool {
        self.replicas
            .get(key)
            .is_some_and(|replica| replica.grants_leases(now))
    }

    /// Sets the evacuated halls, whose replicas get no more requests. Replaces the previous set.
    pub fn set_evacuated(&mut self, halls: BTreeSet<Arc<str>>) {
        self.evacuated = halls;
    }

    /// Applies the remaining cold time that the list shows for each replica.
    pub fn refresh_cold(&mut self, now: Time) {
        for replica in self.replicas.values_mut() {
            replica.refresh_cold(now);
        }
    }

    /// Records that the sidecar of a cold replica has granted all that the replica can take for
    /// now.
    pub fn mark_cold_exhausted(&mut self, key: Key, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.mark_cold_exhausted(now);
        }
    }

    /// Takes a token from this entry's share of a cold replica's rate, `per_s` per second. Returns
    /// whether the request may be sent; always true if the replica is not cold.
    pub fn take_cold_token(&mut self, key: Key, per_s: f64, now: Time) -> bool {
        let replica = self.replicas.get_mut(key);
        replica.is_none_or(|replica| replica.take_cold_token(per_s, now))
    }

    /// Marks a replica as not being the listed one any more. It gets no more requests.
    pub fn invalidate(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.invalidated = true;
        }
    }

    /// Applies a notice that the replica `key` sent as `instance`. Returns whether it changed
    /// anything.
    pub fn apply_notice(
        &mut self,
        key: Key,
        instance: &Instance,
        notice: Notice,
        now: Time,
    ) -> bool {
        if notice.is_empty() {
            return false;
        }
        let mut suspension = self.suspensions.get(instance);
        let changed = suspension.apply(notice, now);
        self.suspensions.insert(instance.clone(), suspension, now);
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.suspension.apply(notice, now);
        }
        changed
    }

    /// Applies the known quotas to the replicas.
    pub fn set_quotas(&mut self, quotas: &Registry) {
        if quotas.is_empty() && !self.has_quotas {
            return;
        }
        self.has_quotas = !quotas.is_empty();
        for replica in self.replicas.values_mut() {
            replica.quota = quotas.get(&replica.record.instance());
        }
    }

    /// Records that no request of `urgency` to the replica `key` is granted under its quota for
    /// `wait`.
    pub fn mark_quota_used(&mut self, key: Key, urgency: u8, wait: Duration, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.mark_quota_used(urgency, wait, now);
        }
    }

    /// Time until the first eligible replica ends its backoff, if all of them are backing off.
    pub fn backoff(&self, query: Query<'_>, now: Time) -> Option<Duration> {
        let eligible = self
            .by_service(query.service)
            .iter()
            .map(|&key| &self.replicas[key]);
        let eligible = eligible.filter(|replica| {
            self.location_allowed(replica, query) && self.eligible(replica, query, now)
        });
        let backoff = eligible
            .map(|replica| replica.suspension.backoff(now))
            .min()?;
        (!backoff.is_zero()).then_some(backoff)
    }

    /// Chooses a replica.
    pub fn choose(
        &self,
        query: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Result<Choice, Unavailable> {
        let listed = self.by_service(query.service);
        if listed.is_empty() {
            return Err(Unavailable::NoneListed);
        }
        let allowed: Vec<Key> = listed
            .iter()
            .copied()
            .filter(|&key| self.location_allowed(&self.replicas[key], query))
            .collect();
        if allowed.is_empty() {
            return Err(Unavailable::NoneAllowed);
        }
        let selectable: Vec<Key> = allowed
            .into_iter()
            .filter(|&key| self.eligible(&self.replicas[key], query, now))
            .collect();
        if selectable.is_empty() {
            return Err(Unavailable::NoneEligible);
        }
        let selectable: Vec<Key> = selectable
            .into_iter()
            .filter(|&key| self.replicas[key].cold_permits(query.cold_per_s, now))
            .collect();
        if selectable.is_empty() {
            return Err(Unavailable::Cold);
        }
        let first = selectable
            .iter()
            .map(|&key| self.replicas[key].suspension.backoff(now))
            .min();
        let selectable: Vec<Key> = selectable
            .into_iter()
            .filter(|&key| !self.replicas[key].suspension.rejects(now))
            .collect();
        if selectable.is_empty() {
            let remaining = first.unwrap_or_default();
            return Err(Unavailable::BackingOff { remaining });
        }
        let selectable = self.with_quota_left(selectable, query, now)?;
        let untried: Vec<Key> = selectable
            .into_iter()
            .filter(|key| !query.tried.contains(key))
            .collect();
        if untried.is_empty() {
            return Err(Unavailable::AllTried);
        }
        let connected: Vec<Key> = untried
            .into_iter()
            .filter(|&key| self.replicas[key].own_requests() < query.connections_max)
            .collect();
        if connected.is_empty() {
            return Err(Unavailable::Connections);
        }
        let not_paused: Vec<Key> = connected
            .iter()
            .copied()
            .filter(|&key| !self.replicas[key].health.paused(now))
            .collect();
        // If all are paused, one of them is better than none.
        let candidates = if not_paused.is_empty() {
            connected
        } else {
            not_paused
        };
        let completing = self.completing(&candidates, query, now);
        if completing.is_empty() {
            return Err(Unavailable::TooSlow);
        }
        let candidates = self.admitting(completing, query, now);
        let with_free_slot: Vec<Key> = candidates
            .iter()
            .copied()
            .filter(|key| !query.full.contains(key))
            .collect();
        // If none has a free slot, the cheapest is better than none.
        let candidates = if with_free_slot.is_empty() {
            candidates
        } else {
            with_free_slot
        };
        self.cheapest(&candidates, query, now, rng)
            .ok_or(Unavailable::NoneEligible)
    }

    /// Those of `candidates` that may take the request under their quotas.
    fn with_quota_left(
        &self,
        candidates: Vec<Key>,
        query: Query<'_>,
        now: Time,
    ) -> Result<Vec<Key>, Unavailable> {
        let wait = |key: &Key| self.replicas[*key].quota_wait(query.urgency, now);
        let first = candidates.iter().map(wait).min().unwrap_or_default();
        if !first.is_zero() {
            let rates = candidates.iter();
            let rates = rates.filter_map(|key| self.replicas[*key].quota_per_s(now));
            return Err(Unavailable::QuotaUsed {
                remaining: first,
                interval: Duration::from_secs_f64(1.0 / rates.sum::<f64>().max(QUOTA_PER_S_MIN)),
            });
        }
        let left = candidates.into_iter().filter(|key| wait(key).is_zero());
        Ok(left.collect())
    }

    /// Whether a replica is in an allowed region and its hall is not evacuated.
    fn location_allowed(&self, replica: &Replica, query: Query<'_>) -> bool {
        let hall = &replica.record.hall;
        !self.evacuated.contains(hall) && query.residency.allows(query.regions.get(hall))
    }

    fn selectable(&self, replica: &Replica, query: Query<'_>, now: Time) -> bool {
        let is_suspended = replica.suspension.rejects(now);
        !is_suspended && self.location_allowed(replica, query) && self.eligible(replica, query, now)
    }

    /// Whether a replica can take the request, regardless of its location.
    fn eligible(&self, replica: &Replica, query: Query<'_>, now: Time) -> bool {
        let leaving = replica.record.leaving || replica.suspension.leaving();
        if leaving || replica.invalidated || replica.is_dead(now) {
            return false;
        }
        let Some(wanted_model) = query.model else {
            return true;
        };
        let Some(version) = replica.version(wanted_model.model, now) else {
            return false;
        };
        let wanted = version >= wanted_model.min_version
            && wanted_model
                .pinned_version
                .is_none_or(|only| only == version);
        // A request that waits there too long would start on a version that is no longer allowed.
        let expected_start = || now + self.expected(replica, query, now);
        let change = replica.change(wanted_model.model, now);
        wanted
            && change
                .is_none_or(|change| expected_start() + start_margin(replica, now) < change.cutoff)
    }

    fn cheapest(
        &self,
        candidates: &[Key],
        query: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let costs: Vec<(Duration, Key)> = candidates
            .iter()
            .map(|&key| (self.cost(&self.replicas[key], query, now), key))
            .collect();
        let least = costs.iter().map(|(cost, _)| *cost).min()?;
        let near_best: Vec<&(Duration, Key)> = costs
            .iter()
            .filter(|(cost, _)| *cost <= least + self.policy.cost_tolerance)
            .collect();
        // Chooses the better of two at random. All entries see the same reports and would otherwise
        // all choose the same replica.
        let sampled = [(); 2].map(|()| near_best[rng.random_range(0..near_best.len())]);
        let (_, key) = **sampled.iter().min_by_key(|(cost, _)| *cost)?;
        let replica = &self.replicas[key];
        Some(Choice {
            key,
            expected: self.expected(replica, query, now),
            requests: replica.requests(now),
            prefill: self.own_prefill(replica, query, now),
        })
    }

    /// Estimates the first event of a request sent to the replica `key` now, if it may be sent
    /// there.
    pub fn estimate(&self, key: Key, query: Query<'_>, now: Time) -> Option<Choice> {
        let replica = self.replicas.get(key)?;
        self.selectable(replica, query, now).then(|| Choice {
            key,
            expected: self.expected(replica, query, now),
            requests: replica.requests(now),
            prefill: self.own_prefill(replica, query, now),
        })
    }

    /// Limits for the sidecar of the replica `key`, chosen so that the first event comes within
    /// `limit`. The sidecar knows only its engine's load, so the known link delay and the
    /// correction of the engine's figures are taken out. The immediate limit is that of an engine
    /// with a free slot and little to prefill.
    pub fn limits(&self, key: Key, query: Query<'_>, limit: Duration, now: Time) -> Option<Limits> {
        let (replica, engine) = (self.replicas.get(key)?, query.engine?);
        let delay = self.extra_delay(replica, now);
        let queued = self.uncorrected(query.service, engine, limit.saturating_sub(delay));
        let light = Backlog {
            requests: engine.slots.saturating_sub(1),
            prompt_tokens: engine.mean_prompt_tokens * IMMEDIATE_PROMPTS,
            pace: 1.0,
        };
        let spread = self.policy.queue_spread;
        let immediate = estimate::first_event(engine, light, query.demand, spread);
        Some(Limits {
            immediate: immediate.min(queued),
            queued,
            whole: limit,
        })
    }

    /// Corrects the `estimate` of the sidecar of the replica `key` by the known link delay and
    /// the correction of the engine's figures.
    pub fn corrected_estimate(
        &self,
        key: Key,
        query: Query<'_>,
        estimate: Duration,
        now: Time,
    ) -> Option<Duration> {
        let (replica, engine) = (self.replicas.get(key)?, query.engine?);
        Some(self.corrected(query.service, engine, estimate) + self.extra_delay(replica, now))
    }

    /// The limit on an uncorrected estimate that corresponds to `limit` on the corrected one.
    fn uncorrected(&self, service: &str, engine: &Engine, limit: Duration) -> Duration {
        let known = self.corrections.get(service).filter(|_| engine.incomplete);
        known.map_or(limit, |correction| correction.undo(limit))
    }

    fn extra_delay(&self, replica: &Replica, now: Time) -> Duration {
        let link_delay = if self.policy.link_delay {
            replica.link_delay(now).min(LINK_DELAY_MAX)
        } else {
            Duration::ZERO
        };
        replica.lag(now).max(link_delay)
    }

    fn cost(&self, replica: &Replica, query: Query<'_>, now: Time) -> Duration {
        let slot_cost = self.policy.slot_cost * replica.requests(now);
        let remote_penalty = if replica.record.hall == self.own_hall {
            Duration::ZERO
        } else {
            self.policy.remote_penalty
        };
        let expected = self.expected(replica, query, now);
        expected
            + slot_cost
            + remote_penalty
            + self.overrun(replica, query, expected, now) / OVERRUN_DIVISOR
    }

    /// How long a request would run beyond the replica's next version change. For that long the
    /// replica would take no new requests.
    fn overrun(
        &self,
        replica: &Replica,
        query: Query<'_>,
        expected: Duration,
        now: Time,
    ) -> Duration {
        let change = query
            .model
            .and_then(|wanted_model| replica.change(wanted_model.model, now));
        let (Some(change), Some(engine)) = (change, query.engine) else {
            return Duration::ZERO;
        };
        if change.drain_at <= now {
            // Its weights are late, and it changes version whenever they arrive. That is no reason
            // to avoid it: the replicas whose change is still to come cannot carry the load of all
            // others.
            return Duration::ZERO;
        }
        let backlog = self.backlog(replica, engine, now);
        let ends = now + expected + estimate::decode(engine, backlog, query.demand);
        ends.since(change.drain_at)
    }

    fn backlog(&self, replica: &Replica, engine: &Engine, now: Time) -> Backlog {
        Backlog {
            requests: replica.requests(now),
            prompt_tokens: replica.pending_prompt_tokens(engine.mean_prompt_tokens, now),
            pace: replica.pace(now),
        }
    }

    /// Expected time until the first event, or until the response of a plain service.
    fn expected(&self, replica: &Replica, query: Query<'_>, now: Time) -> Duration {
        let Some(engine) = query.engine else {
            let latency = replica.health.latency().unwrap_or(DEFAULT_LATENCY);
            let slots = replica.record.slots.max(1);
            let waiting = replica.requests(now).saturating_sub(slots - 1);
            return latency + latency * waiting / slots;
        };
        let backlog = self.backlog(replica, engine, now);
        let spread = self.policy.queue_spread;
        let first = estimate::first_event(engine, backlog, query.demand, spread);
        let expected =
            self.corrected(query.service, engine, first) + self.extra_delay(replica, now);
        if !replica.switching(now) {
            return expected;
        }
        // It finishes its running requests before it takes new ones.
        expected + estimate::completion_interval(engine, backlog.pace) * engine.slots / 2
    }

    /// Time that the prefill of the request's own prompt takes at the replica.
    fn own_prefill(&self, replica: &Replica, query: Query<'_>, now: Time) -> Duration {
        query.engine.map_or(Duration::ZERO, |engine| {
            let prefill = estimate::prefill(engine, query.demand.prompt, replica.pace(now));
            self.corrected(query.service, engine, prefill)
        })
    }

    /// Corrects the estimate `first` if the engine's figures are guesses.
    fn corrected(&self, service: &str, engine: &Engine, first: Duration) -> Duration {
        let known = self.corrections.get(service).filter(|_| engine.incomplete);
        known.map_or(first, |correction| correction.apply(first))
    }

    /// Whether a third or more of a service's replicas turned out not to be the listed ones: they
    /// have lost their weights, and the list does not show it yet.
    pub fn mostly_invalidated(&self, service: &str) -> bool {
        let listed = self.by_service(service);
        let invalidated = listed.iter().filter(|&&key| self.replicas[key].invalidated);
        let invalidated = invalidated.count() as u32;
        invalidated > 0 && invalidated * INVALIDATED_DIVISOR >= listed.len() as u32
    }

    /// Time until weights are expected at half of the service's replicas that report a transfer of
    /// missing weights.
    pub fn weights_eta(&self, service: &str, now: Time) -> Option<Duration> {
        let replicas = self
            .by_service(service)
            .iter()
            .map(|&key| &self.replicas[key]);
        let mut arrivals: Vec<Duration> = replicas
            .filter_map(|replica| replica.weights_eta(now))
            .collect();
        arrivals.sort_unstable();
        arrivals.get(arrivals.len() / 2).copied()
    }

    /// Taken slots and all slots of a service's selectable replicas.
    pub fn occupancy(&self, query: Query<'_>, now: Time) -> (u32, u32) {
        let selectable = self
            .by_service(query.service)
            .iter()
            .map(|&key| &self.replicas[key]);
        selectable
            .filter(|replica| self.selectable(replica, query, now))
            .filter(|replica| replica.quota_wait(query.urgency, now).is_zero())
            .fold((0, 0), |(taken, total), replica| {
                let slots = replica.record.slots;
                (taken + replica.requests(now).min(slots), total + slots)
            })
    }

    /// Records that a request was sent to a replica. Returns the number that identifies it.
    pub fn begin(&mut self, key: Key, demand: Demand, expected: Duration, now: Time) -> u64 {
        self.requests_begun += 1;
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.begin(self.requests_begun, demand, now, now + expected);
        }
        self.requests_begun
    }

    /// Records a request's first event, or with `received` false that it ended without one.
    pub fn record_first_event(
        &mut self,
        key: Key,
        number: u64,
        demand: Demand,
        received: bool,
        now: Time,
    ) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if let Some((expected, took)) = replica.record_first_event(number, demand, received, now) {
            let service = replica.record.service.clone();
            self.corrections
                .entry(service)
                .or_default()
                .record(expected, took);
        }
    }

    /// Records that a request at a replica ended.
    pub fn end(&mut self, key: Key, number: u64) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.end(number);
        }
    }

    /// Number of replicas with a fresh report.
    pub fn reporting(&self, now: Time) -> usize {
        let replicas = self.replicas.values();
        let fresh_report = replicas.filter_map(|replica| replica.fresh_report(now));
        fresh_report.count()
    }

    /// Attempts of this entry in flight.
    pub fn in_flight(&self) -> u32 {
        let replicas = self.replicas.values();
        replicas.map(|replica| replica.in_flight()).sum()
    }

    /// Records a signal about a replica's health.
    pub fn record_health(&mut self, key: Key, signal: Signal, now: Time) {
        let Some(replica) = self.replicas.get(key) else {
            return;
        };
        let peer_failure_rate = self.peer_failure_rate(key, &replica.record.service);
        self.replicas[key]
            .health
            .record(signal, peer_failure_rate, now);
    }

    /// Failure rate of a service's other replicas: their median.
    fn peer_failure_rate(&self, key: Key, service: &str) -> f64 {
        let mut rates: Vec<f64> = self
            .by_service(service)
            .iter()
            .filter(|&&other| other != key)
            .map(|&other| self.replicas[other].health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}
