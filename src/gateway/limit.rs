//! The limits on the time to a request's first event.

use std::time::Duration;

use super::dispatch::Dispatch;
use crate::limit::retry;
use crate::route::pool::limit::Terms;
use crate::route::pool::{Key, Query};

impl Dispatch {
    /// The limit on the time from arrival to first event, whatever the size of the request.
    pub(super) fn limit(&self) -> Duration {
        let (whole, late) = self.limits();
        let age = self.first_try.map(|first| self.job.arrived.since(first));
        age.map_or(whole, |age| retry::remaining_limit(whole, late, age))
    }

    /// The limit on the time from arrival to first event at the replica `key`; `limit` if that does not
    /// depend on the replica.
    pub(super) fn limit_at(&self, key: Key, limit: Duration) -> Duration {
        let terms = self.terms();
        let now = self.gateway.knowledge.now();
        let pool = self.gateway.pool.borrow();
        let limit_at = self.with_query(&[], |query| {
            pool.first_event_limit(key, Query { terms, ..query }, now)
        });
        limit_at.unwrap_or(limit)
    }

    /// What limits the time to the first event at each replica, for the first attempt.
    pub(super) fn terms(&self) -> Option<Terms> {
        if !self.gateway.setting.policy.fair_sizes || self.was_attempted() {
            return None;
        }
        let class = self.trace.size?;
        let (whole, _) = self.limits();
        let sizes = self.gateway.sizes(&self.job);
        Some(Terms {
            limit: whole,
            spent: whole.saturating_sub(self.limit()),
            long_prefill: sizes.long_prefill(),
            reserve: sizes.reserve(&self.job.route.name, class),
        })
    }

    /// Records whether a first try was admitted, for the share of its size class.
    pub(super) fn record_admission(&self, admitted: bool) {
        let Some(class) = self.trace.size.filter(|_| !self.trace.returned) else {
            return;
        };
        let now = self.gateway.knowledge.now();
        let mut sizes = self.gateway.sizes(&self.job);
        sizes.record(&self.job.route.name, class, admitted, now);
    }

    /// Two limits on the time to the first event: that of first tries, which the policy may share
    /// among all requests of the service, and that of retries whose callers are already late.
    pub(super) fn limits(&self) -> (Duration, Duration) {
        let gateway = &self.gateway;
        let own = self.job.objective();
        let tightest = self.job.routing.min_objective_ms(&self.job.service);
        let base = match tightest.filter(|_| gateway.setting.policy.shared_limit) {
            Some(tightest) => own.min(Duration::from_millis(tightest)),
            None => own,
        };
        let policy = &gateway.setting.policy;
        (
            base * policy.admit_percent / 100,
            base * policy.retry_admit_percent / 100,
        )
    }
}
