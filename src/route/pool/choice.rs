//! The choice of a replica for a request, among those that may take it.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Choice, Key, Pool, Query, Unavailable};
use crate::clock::Time;
use crate::member::replica::Instance;
use crate::route::replica::Replica;

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

/// Lowest rate of requests under quotas, per second, from which an interval between two is derived.
const QUOTA_PER_S_MIN: f64 = 0.1;

/// How long before its version's cutoff a replica's last request has to be expected to start.
fn start_margin(replica: &Replica, now: Time) -> Duration {
    let delay = replica.lag(now).max(replica.link_delay(now));
    if delay > LAG_MAX {
        LAG_MARGIN.max(delay * LAG_MARGIN_FACTOR)
    } else {
        Duration::ZERO
    }
}

impl Pool {
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
    pub(super) fn location_allowed(&self, replica: &Replica, query: Query<'_>) -> bool {
        let hall = &replica.record.hall;
        !self.evacuated.contains(hall) && query.residency.allows(query.regions.get(hall))
    }

    pub(super) fn selectable(&self, replica: &Replica, query: Query<'_>, now: Time) -> bool {
        let is_suspended = replica.suspension.rejects(now);
        !is_suspended && self.location_allowed(replica, query) && self.eligible(replica, query, now)
    }

    /// The instances in `hall` that can take the request.
    pub fn selectable_in(&self, hall: &str, query: Query<'_>, now: Time) -> Vec<Instance> {
        let replicas = self.by_service(query.service).iter();
        let replicas = replicas.map(|&key| &self.replicas[key]);
        let in_hall = replicas.filter(|replica| *replica.record.hall == *hall);
        in_hall
            .filter(|replica| self.selectable(replica, query, now))
            .map(|replica| replica.record.instance())
            .collect()
    }

    /// Whether a replica can take the request, regardless of its location.
    pub(super) fn eligible(&self, replica: &Replica, query: Query<'_>, now: Time) -> bool {
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
}
