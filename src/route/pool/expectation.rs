//! Estimates of the time to the first event at each replica, and what they cost in a choice.

use std::time::Duration;

use super::{Choice, Key, Limits, Pool, Query};
use crate::clock::Time;
use crate::config::routing::Engine;
use crate::route::estimate::{self, Backlog};
use crate::route::replica::Replica;

/// Response time assumed for a plain service before the first measurement.
const DEFAULT_LATENCY: Duration = Duration::from_millis(50);

/// Largest link delay that enters an estimate, since it is derived from exchanges other than
/// requests.
const LINK_DELAY_MAX: Duration = Duration::from_millis(250);

/// A request that would outlast its replica's next version change costs one part in this many of
/// the excess.
const OVERRUN_DIVISOR: u32 = 2;

/// Prompts of mean length that an engine with a free slot may still have to prefill.
const IMMEDIATE_PROMPTS: f64 = 1.0;

impl Pool {
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

    pub(super) fn extra_delay(&self, replica: &Replica, now: Time) -> Duration {
        let link_delay = if self.policy.link_delay {
            replica.link_delay(now).min(LINK_DELAY_MAX)
        } else {
            Duration::ZERO
        };
        replica.lag(now).max(link_delay)
    }

    pub(super) fn cost(&self, replica: &Replica, query: Query<'_>, now: Time) -> Duration {
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

    pub(super) fn backlog(&self, replica: &Replica, engine: &Engine, now: Time) -> Backlog {
        Backlog {
            requests: replica.requests(now),
            prompt_tokens: replica.pending_prompt_tokens(engine.mean_prompt_tokens, now),
            pace: replica.pace(now),
        }
    }

    /// Expected time until the first event, or until the response of a plain service.
    pub(super) fn expected(&self, replica: &Replica, query: Query<'_>, now: Time) -> Duration {
        let Some(engine) = query.engine else {
            let latency = replica.health.latency(DEFAULT_LATENCY, now);
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
    pub(super) fn own_prefill(&self, replica: &Replica, query: Query<'_>, now: Time) -> Duration {
        query.engine.map_or(Duration::ZERO, |engine| {
            let prefill = estimate::prefill(engine, query.demand.prompt, replica.pace(now));
            self.corrected(query.service, engine, prefill)
        })
    }

    /// Corrects the estimate `first` if the engine's figures are guesses.
    pub(super) fn corrected(&self, service: &str, engine: &Engine, first: Duration) -> Duration {
        let known = self.corrections.get(service).filter(|_| engine.incomplete);
        known.map_or(first, |correction| correction.apply(first))
    }
}
