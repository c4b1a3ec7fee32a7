//! The limit on the time to the first event at each replica.
//!
//! A limit on the whole time refuses long prompts first: at a slow or busy replica, their own prefill
//! uses it up. So at the replicas that serve long prompts, the limit applies to the wait before a
//! request's own prefill, which is the same for prompts of all lengths. At the others it applies to
//! the whole time, and short prompts are in time there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Key, Pool, Query};
use crate::clock::Time;
use crate::config::routing::Engine;
use crate::route::estimate;
use crate::route::replica::Replica;

/// Share of a hall's capacity that serves long prompts, even if their first events are late there.
const LONG_CAPACITY_SHARE: f64 = 0.5;

/// What limits the time to the first event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Limit on the first event of a first try.
    pub limit: Duration,
    /// Part of the limit that earlier tries have used up.
    pub spent: Duration,
    /// Prefill time of a long prompt at full pace.
    pub long_prefill: Duration,
    /// Part of the limit that is reserved for requests that are admitted less often, as a multiple of `long_prefill`.
    pub reserve: f64,
}

/// Times at one replica.
#[derive(Debug, Clone, Copy)]
struct Times {
    /// Wait for the first iteration if no prompt is prefilled.
    idle_wait: Duration,
    /// Prefill of a prompt of mean length.
    mean_prefill: Duration,
    /// Prefill of a long prompt.
    long_prefill: Duration,
}

impl Times {
    /// Whether a long prompt can have its first event within `limit`.
    fn fits_long(&self, limit: Duration) -> bool {
        self.idle_wait + self.long_prefill <= limit
    }

    /// Limit on the wait before a request's own prefill. A long prompt that has waited for that long
    /// is in time; where that is impossible, the engine is still kept busy.
    fn wait_limit(&self, terms: Terms) -> Duration {
        let least = self.idle_wait + self.mean_prefill / 2;
        let limit = terms.limit.saturating_sub(self.long_prefill).max(least);
        limit.saturating_sub(terms.spent + self.long_prefill.mul_f64(terms.reserve))
    }
}

impl Pool {
    /// The limit on the time to the first event at the replica `key`; `None` if the request has none.
    pub fn first_event_limit(&self, key: Key, query: Query<'_>, now: Time) -> Option<Duration> {
        let (terms, engine) = (query.terms?, query.engine?);
        let replica = self.replicas.get(key)?;
        let long = self.serving_long(&replica.record.hall, engine, terms, query, now);
        Some(self.limit_of(replica, long.contains(&key), engine, query, terms, now))
    }

    fn limit_of(
        &self,
        replica: &Replica,
        serves_long: bool,
        engine: &Engine,
        query: Query<'_>,
        terms: Terms,
        now: Time,
    ) -> Duration {
        if !serves_long {
            return terms.limit.saturating_sub(terms.spent);
        }
        let times = self.times(replica, engine, terms, query, now);
        times.wait_limit(terms) + self.own_prefill(replica, query, now)
    }

    fn times(
        &self,
        replica: &Replica,
        engine: &Engine,
        terms: Terms,
        query: Query<'_>,
        now: Time,
    ) -> Times {
        let pace = replica.pace(now).max(1.0);
        let corrected = |time| self.corrected(query.service, engine, time);
        let iteration = estimate::iteration(engine, engine.slots, pace);
        let mean_prompt = engine.mean_prompt_tokens as u32;
        let mean_prefill = corrected(estimate::prefill(engine, mean_prompt, pace));
        Times {
            idle_wait: corrected(iteration.mul_f64(1.0 + estimate::ITERATION_WAIT_FRACTION)),
            mean_prefill,
            long_prefill: corrected(terms.long_prefill.mul_f64(pace)).max(mean_prefill),
        }
    }

    /// The replicas in `hall` that serve long prompts: all that can serve them within the limit, and
    /// others in a fixed order if those have too little capacity.
    fn serving_long(
        &self,
        hall: &str,
        engine: &Engine,
        terms: Terms,
        query: Query<'_>,
        now: Time,
    ) -> BTreeSet<Key> {
        let capacity = |replica: &Replica| 1.0 / replica.pace(now).max(1.0);
        let (mut long, mut others) = (BTreeSet::new(), Vec::new());
        let (mut long_capacity, mut total) = (0.0, 0.0);
        for &key in self.by_service(query.service) {
            let replica = &self.replicas[key];
            if *replica.record.hall != *hall || !self.selectable(replica, query, now) {
                continue;
            }
            total += capacity(replica);
            let times = self.times(replica, engine, terms, query, now);
            if times.fits_long(terms.limit) {
                long_capacity += capacity(replica);
                long.insert(key);
            } else {
                others.push((replica.rank, key));
            }
        }
        others.sort_unstable();
        for (_, key) in others {
            if long_capacity >= total * LONG_CAPACITY_SHARE {
                break;
            }
            long_capacity += capacity(&self.replicas[key]);
            long.insert(key);
        }
        long
    }

    /// Those of `candidates` whose limit the request is expected to meet, or all if there are none.
    pub(super) fn admitting(&self, candidates: Vec<Key>, query: Query<'_>, now: Time) -> Vec<Key> {
        let (Some(terms), Some(engine)) = (query.terms, query.engine) else {
            return candidates;
        };
        let mut halls: BTreeMap<&str, BTreeSet<Key>> = BTreeMap::new();
        let mut admits = |key: &Key| {
            let replica = &self.replicas[*key];
            let hall = &*replica.record.hall;
            let long = halls
                .entry(hall)
                .or_insert_with(|| self.serving_long(hall, engine, terms, query, now));
            let limit = self.limit_of(replica, long.contains(key), engine, query, terms, now);
            self.expected(replica, query, now) <= limit
        };
        let admitting: Vec<Key> = candidates
            .iter()
            .copied()
            .filter(|key| admits(key))
            .collect();
        if admitting.is_empty() {
            candidates
        } else {
            admitting
        }
    }
}
