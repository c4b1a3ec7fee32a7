//! What an entry counts and shows.

use std::cell::Cell;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use serde::{Deserialize, Serialize};

use super::Entry;
use crate::config::Rejected;

/// Counts since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests in progress.
    pub in_flight: Cell<u64>,
    /// Requests that were answered whole.
    pub ran: Cell<u64>,
    /// Requests that were refused as not run.
    pub not_run: Cell<u64>,
    /// Requests whose outcome is not known.
    pub unknown: Cell<u64>,
    /// Attempts after the first.
    pub retries: Cell<u64>,
}

/// Adds one.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// OpenTelemetry instruments.
#[derive(Debug)]
pub struct Instruments {
    requests: Counter<u64>,
    duration: Histogram<f64>,
}

impl Instruments {
    /// Registers them.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("pumicelatch.entry.requests")
                .with_description("Requests by outcome")
                .build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_description("Time from a request's head to the end of its answer")
                .build(),
        }
    }

    /// One request ended.
    pub fn record(&self, outcome: &'static str, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(seconds, &[]);
    }
}

/// An entry, as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The configuration revision in force.
    pub revision: u64,
    /// Whether it has a configuration from the service or a peer.
    pub ready: bool,
    /// Whether it stops.
    pub leaving: bool,
    /// Requests in progress.
    pub in_flight: u64,
    /// Requests that were answered whole.
    pub ran: u64,
    /// Requests that were refused as not run.
    pub not_run: u64,
    /// Requests whose outcome is not known.
    pub unknown: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Targets that it follows.
    pub targets: usize,
    /// Targets that it hears from.
    pub reporting: usize,
    /// Customers whose newest configuration is invalid.
    pub rejected: Vec<(String, Rejected)>,
}

/// The present status of `entry`.
pub fn status(entry: &Entry) -> Status {
    let node = &entry.node;
    let configuration = node.book.borrow();
    let counters = &entry.counters;
    Status {
        name: node.setting.name.to_string(),
        hall: node.setting.hall.to_string(),
        revision: configuration.revision().0,
        ready: *node.ready.borrow(),
        leaving: entry.tracker.is_stopping(),
        in_flight: counters.in_flight.get(),
        ran: counters.ran.get(),
        not_run: counters.not_run.get(),
        unknown: counters.unknown.get(),
        retries: counters.retries.get(),
        targets: entry.table.borrow().names().count(),
        reporting: entry.table.borrow().reporting(node.clock.now()),
        rejected: configuration
            .rejected()
            .iter()
            .map(|(customer, rejected)| (customer.clone(), rejected.clone()))
            .collect(),
    }
}
