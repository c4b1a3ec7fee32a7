//! A validated request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;

use super::dialect::Metadata;
use crate::clock::Time;
use crate::config::residency::Residency;
use crate::config::routing::{Route, Routing};
use crate::limit::memory::Reservation;
use crate::limit::retry::Fingerprint;
use crate::request::poison::Subject;
use crate::route::estimate::Demand;

/// A validated request.
pub struct Job {
    /// The parsed head.
    pub meta: Metadata,
    /// The original head.
    pub head: RequestHead,
    /// The body, if any.
    pub body: Option<Bytes>,
    /// The memory that the body takes.
    pub body_held: Reservation,
    /// The route that matches it.
    pub route: Route,
    /// The service that is to handle it.
    pub service: Arc<str>,
    /// The configuration under which it is handled.
    pub routing: Rc<Routing>,
    /// The customer whose key it bears.
    pub customer: Option<Arc<str>>,
    /// Whether its caller understands a response that is sent in chunks. For others, the close of
    /// the connection ends a response of unknown length, so that a truncated one looks complete.
    pub accepts_chunks: bool,
    /// Its urgency among the requests to the service; 0 is the highest.
    pub priority: u8,
    /// The regions in which it may be served.
    pub residency: Residency,
    /// When its head arrived.
    pub arrived: Time,
    /// When the response has to be complete.
    pub deadline: Time,
    /// Identifies the request when its caller retries after a refusal.
    pub fingerprint: Fingerprint,
    /// What crashes of replicas are counted under, at any entry: first the request itself.
    pub subjects: Rc<[Subject]>,
}

impl Job {
    /// The latency objective for the first event.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.route.objective_ms)
    }

    /// Time until its deadline.
    pub fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Whether the length of the response can be estimated: not without a hint, since the maximum may be
    /// far above it, and not for a resumed response, of which an unknown part is left.
    pub fn predicts_output(&self) -> bool {
        let work = self.meta.inference.as_ref();
        self.meta.last_event.is_none() && work.is_some_and(|work| work.output_hint.is_some())
    }

    /// Its demand on an engine, in tokens.
    pub fn demand(&self) -> Demand {
        let work = self.meta.inference.as_ref();
        Demand {
            prompt: work.map_or(0, |work| work.prompt),
            output: work.map_or(0, |work| {
                work.output_hint
                    .map_or(work.output_max, |hint| hint.min(work.output_max))
            }),
        }
    }
}
