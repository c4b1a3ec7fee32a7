//! A caller's request once it was checked.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;

use super::dialect::Metadata;
use crate::clock::Time;
use crate::config::residency::Residency;
use crate::config::routing::{Route, Routing};
use crate::limit::returning::Fingerprint;
use crate::request::poison;
use crate::route::estimate::Demand;

/// A request that was checked.
pub struct Job {
    /// What its head says.
    pub meta: Metadata,
    /// The head itself.
    pub head: RequestHead,
    /// Its body, unless it has none.
    pub body: Option<Bytes>,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Arc<str>,
    /// The configuration that it is handled by.
    pub routing: Rc<Routing>,
    /// Its customer.
    pub customer: Option<Arc<str>>,
    /// Its rank.
    pub priority: u8,
    /// Where it may be served.
    pub residency: Residency,
    /// When its head came.
    pub arrived: Time,
    /// When it has to be over.
    pub deadline: Time,
    /// What stays the same of it when its caller tries again.
    pub fingerprint: Fingerprint,
    /// What stays the same of it whenever it comes.
    pub name: poison::Name,
}

impl Job {
    /// Time within which its first event is in time.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.route.objective_ms)
    }

    /// Time until its deadline.
    pub fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// What it asks of an engine.
    pub fn demand(&self) -> Demand {
        let work = self.meta.inference.as_ref();
        Demand {
            prompt: work.map_or(0, |work| work.prompt),
            output: work.map_or(0, |work| work.output_hint.unwrap_or(work.output_max)),
        }
    }
}
