//! What is counted and written down of one request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use crate::clock::Time;
use crate::request::poison;

/// What was expected of a replica when it was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// When it was chosen, from the request's arrival.
    pub chosen: Duration,
    /// Time until the first event.
    pub first: Duration,
    /// Requests that it was known to have.
    pub requests: u32,
}

/// Counts a request for as long as it lives, and writes down how it ended.
pub struct Trace {
    gateway: Rc<Gateway>,
    /// Its id.
    pub id: String,
    /// What stays the same of it whenever it comes, once that is known.
    pub name: Option<poison::Name>,
    /// Its route.
    pub route: Arc<str>,
    /// The replica that answers, or the last that was tried.
    pub replica: Option<Arc<str>>,
    /// What was expected of that replica when it was chosen.
    pub expected: Option<Estimate>,
    /// Replicas that received it.
    pub sent: u32,
    /// Processes beside replicas that were asked for a place.
    pub asked: u32,
    /// Whether the last one of them gave one.
    pub place: bool,
    /// Time to the first event of its stream.
    pub first: Option<Duration>,
    /// Longest pause between two events of its stream.
    pub gap: Duration,
    /// Whether its caller was refused before, and came back.
    pub returned: bool,
    /// Why it ended as it did.
    pub reason: String,
    /// When its head came.
    pub arrived: Time,
    outcome: &'static str,
}

impl Trace {
    /// A request whose head came.
    pub fn begin(gateway: &Rc<Gateway>, arrived: Time) -> Self {
        Self {
            gateway: gateway.clone(),
            id: String::new(),
            name: None,
            route: "".into(),
            replica: None,
            expected: None,
            sent: 0,
            asked: 0,
            place: false,
            first: None,
            gap: Duration::ZERO,
            returned: false,
            reason: String::new(),
            arrived,
            outcome: "caller_left",
        }
    }

    /// Says how the request ended.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Time since the request's head came.
    pub fn elapsed(&self) -> Duration {
        self.gateway.knowledge.now().since(self.arrived)
    }
}

fn millis(time: Option<Duration>) -> u64 {
    time.map_or(0, |time| time.as_millis() as u64)
}

impl Drop for Trace {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let took = self.elapsed();
        gateway.instruments.record_request(self.outcome, took);
        let belief = gateway.knowledge.belief.borrow();
        let version = belief
            .routing()
            .map_or(0, |routing| routing.document.version);
        log::info!(
            request = self.id.as_str(),
            name = self.name.map(|name| name.to_string()).unwrap_or_default(),
            route = &*self.route,
            outcome = self.outcome,
            replica = self.replica.as_deref().unwrap_or_default(),
            sent = self.sent,
            asked = self.asked,
            place = self.place,
            ms = took.as_millis() as u64,
            chosen_ms = millis(self.expected.map(|expected| expected.chosen)),
            expected_ms = millis(self.expected.map(|expected| expected.first)),
            known_requests = self.expected.map_or(0, |expected| expected.requests),
            first_ms = millis(self.first),
            gap_ms = self.gap.as_millis() as u64,
            returned = self.returned,
            config = version,
            reason = self.reason.as_str();
            "request ended"
        );
    }
}
