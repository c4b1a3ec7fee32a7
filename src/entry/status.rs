//! Counters, metrics and the status page of an entry.

use std::cell::Cell;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use serde::{Deserialize, Serialize};

use super::Entry;
use crate::config::Rejected;

/// Counters since the process started, and the current number of requests in progress.
#[derive(Debug, Default)]
pub struct Counters {
    /// Number of requests in progress.
    pub in_flight: Cell<u64>,
    /// Number of requests that were answered completely.
    pub ran: Cell<u64>,
    /// Number of requests that failed and certainly did not run.
    pub not_run: Cell<u64>,
    /// Number of requests whose outcome is unknown.
    pub unknown: Cell<u64>,
    /// Number of retries, including resumed responses.
    pub retries: Cell<u64>,
}

/// Increments `counter`.
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
    /// Creates the instruments with `meter`.
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

    /// Records a request's outcome and duration.
    pub fn record(&self, outcome: &'static str, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(seconds, &[]);
    }
}

/// Status of an entry, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The active configuration revision.
    pub revision: u64,
    /// Whether it has received a configuration from the service or a peer.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Number of requests in progress.
    pub in_flight: u64,
    /// Number of requests that were answered completely.
    pub ran: u64,
    /// Number of requests that failed and certainly did not run.
    pub not_run: u64,
    /// Number of requests whose outcome is unknown.
    pub unknown: u64,
    /// Number of retries, including resumed responses.
    pub retries: u64,
    /// Number of known targets.
    pub targets: usize,
    /// Number of targets with a recent report that serve at least one resource.
    pub reporting: usize,
    /// Customers whose latest configuration is invalid.
    pub rejected: Vec<(String, Rejected)>,
}

/// Returns the current status of `entry`.
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
