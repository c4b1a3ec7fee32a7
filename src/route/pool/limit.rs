//! The limits on the time to the first event and to the end of the response at each replica.
//!
//! A limit on the whole time refuses long prompts first: at a slow or busy replica, their own prefill
//! uses it up. So at the replicas that serve long prompts, the limit applies to the wait before a
//! request's own prefill, which is the same for prompts of all lengths. At the others it applies to
//! the whole time, and short prompts are in time there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Key, Pool, Query};
use crate::clock::Time;
use crate::route::estimate;
use crate::route::replica::Replica;

/// Share of a hall's capacity that serves long prompts, even if their first events are late there.
const LONG_CAPACITY_SHARE: f64 = 0.5;

/// Share of the expected output that has to be possible before a request's deadline. Callers'
/// estimates are often too high by half.
const OUTPUT_SHARE_MIN: f64 = 0.7;

/// What limits the time to the first event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Limit on the first event of a first try.
    pub limit: Duration,
    /// Part of the limit that earlier tries have used up.
    pub spent: Duration,
    /// Prefill time of a long prompt at full pace.
    pub long_prefill: Duration,
    /// Part of the limit that is reserved for requests that are admitted less often, as a multiple of
    /// `long_prefill`.
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
    /// The times at a replica that is slower by the factor `pace`.
    fn at_pace(self, pace: f64) -> Self {
        Self {
            idle_wait: self.idle_wait.mul_f64(pace),
            mean_prefill: self.mean_prefill.mul_f64(pace),
            long_prefill: self.long_prefill.mul_f64(pace),
        }
    }

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

/// Evaluates the limit of one request at each replica.
struct Assessment<'a> {
    pool: &'a Pool,
    query: Query<'a>,
    terms: Terms,
    /// Times at full pace.
    times: Times,
    now: Time,
}

impl Assessment<'_> {
    fn times_at(&self, replica: &Replica) -> Times {
        self.times.at_pace(replica.pace(self.now).max(1.0))
    }

    fn fits_long(&self, replica: &Replica) -> bool {
        self.times_at(replica).fits_long(self.terms.limit)
    }

    /// The limit at a replica.
    fn at(&self, replica: &Replica, serves_long: bool) -> Duration {
        if !serves_long {
            return self.terms.limit.saturating_sub(self.terms.spent);
        }
        let own_prefill = self.pool.own_prefill(replica, self.query, self.now);
        self.times_at(replica).wait_limit(self.terms) + own_prefill
    }

    /// The replicas in `hall` that serve long prompts although they cannot serve them within the limit:
    /// in a fixed order, as many as it takes if the others have too little capacity.
    fn serving_late(&self, hall: &str) -> BTreeSet<Key> {
        let capacity = |replica: &Replica| 1.0 / replica.pace(self.now).max(1.0);
        let mut slow = Vec::new();
        let (mut long_capacity, mut total) = (0.0, 0.0);
        for &key in self.pool.by_service(self.query.service) {
            let replica = &self.pool.replicas[key];
            let in_hall = *replica.record.hall == *hall;
            if !in_hall || !self.pool.selectable(replica, self.query, self.now) {
                continue;
            }
            total += capacity(replica);
            if self.fits_long(replica) {
                long_capacity += capacity(replica);
            } else {
                slow.push((replica.rank, key));
            }
        }
        slow.sort_unstable();
        let mut late = BTreeSet::new();
        for (_, key) in slow {
            if long_capacity >= total * LONG_CAPACITY_SHARE {
                break;
            }
            long_capacity += capacity(&self.pool.replicas[key]);
            late.insert(key);
        }
        late
    }
}

impl Pool {
    /// The limit on the time to the first event at the replica `key`; `None` if the request has none.
    pub fn first_event_limit(&self, key: Key, query: Query<'_>, now: Time) -> Option<Duration> {
        let assessment = self.assess(query, now)?;
        let replica = self.replicas.get(key)?;
        let hall = &replica.record.hall;
        let serves_long =
            assessment.fits_long(replica) || assessment.serving_late(hall).contains(&key);
        Some(assessment.at(replica, serves_long))
    }

    fn assess<'a>(&'a self, query: Query<'a>, now: Time) -> Option<Assessment<'a>> {
        let (terms, engine) = (query.terms?, query.engine?);
        let corrected = |time| self.corrected(query.service, engine, time);
        let iteration = estimate::iteration(engine, engine.slots, 1.0);
        let mean_prompt = engine.mean_prompt_tokens as u32;
        let mean_prefill = corrected(estimate::prefill(engine, mean_prompt, 1.0));
        let times = Times {
            idle_wait: corrected(iteration.mul_f64(1.0 + estimate::ITERATION_WAIT_FRACTION)),
            mean_prefill,
            long_prefill: corrected(terms.long_prefill).max(mean_prefill),
        };
        Some(Assessment {
            pool: self,
            query,
            terms,
            times,
            now,
        })
    }

    /// Those of `candidates` whose limit the request is expected to meet, or all if there are none.
    pub(super) fn admitting(&self, candidates: Vec<Key>, query: Query<'_>, now: Time) -> Vec<Key> {
        let Some(assessment) = self.assess(query, now) else {
            return candidates;
        };
        let mut late: BTreeMap<&str, BTreeSet<Key>> = BTreeMap::new();
        let mut admits = |key: &Key| {
            let replica = &self.replicas[*key];
            let hall = &*replica.record.hall;
            let serves_long = assessment.fits_long(replica)
                || late
                    .entry(hall)
                    .or_insert_with(|| assessment.serving_late(hall))
                    .contains(key);
            self.expected(replica, query, now) <= assessment.at(replica, serves_long)
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

    /// Those of `candidates` where the response is expected to be complete before the deadline, or else
    /// those where enough of it is.
    pub(super) fn completing(&self, candidates: &[Key], query: Query<'_>, now: Time) -> Vec<Key> {
        let with_share = |share: f64| -> Vec<Key> {
            let completes = |key: &&Key| self.completes(&self.replicas[**key], query, share, now);
            candidates.iter().filter(completes).copied().collect()
        };
        let whole = with_share(1.0);
        if whole.is_empty() {
            with_share(OUTPUT_SHARE_MIN)
        } else {
            whole
        }
    }

    /// Whether the request is expected to complete at the replica before its deadline, with `share` of
    /// its expected output.
    fn completes(&self, replica: &Replica, query: Query<'_>, share: f64, now: Time) -> bool {
        let (Some(engine), Some(remaining)) = (query.engine, query.remaining) else {
            return true;
        };
        let backlog = self.backlog(replica, engine, now);
        let expected = self.expected(replica, query, now);
        let decode = estimate::decode(engine, backlog, query.demand).mul_f64(share);
        expected + self.corrected(query.service, engine, decode) <= remaining
    }
}
