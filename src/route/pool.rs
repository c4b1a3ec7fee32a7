//! Replicas that an entry knows from the platform's replica list, and the choice among them.
//!
//! Eligibility is a hard constraint: listed, not leaving, and of an allowed version. Among the
//! eligible replicas, the time to the first event is estimated from the last report and from what
//! this entry has sent since. The shortest time wins, with a penalty for other halls.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::correction::Correction;
use super::estimate::Demand;
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

mod choice;
mod expectation;
mod instance;
pub mod limit;

slotmap::new_key_type! {
    /// A replica in a [`Pool`].
    pub struct Key;
}

/// One invalidated replica in this many shows that the list is out of date. Fewer are taken for
/// replaced replicas.
const INVALIDATED_DIVISOR: u32 = 3;

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

    /// Whether replicas of the service report that weights are being transferred to them.
    pub fn receives_weights(&self, service: &str) -> bool {
        let replicas = self.by_service(service).iter();
        replicas
            .map(|&key| &self.replicas[key])
            .any(Replica::receives_weights)
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
