//! The metrics of a gateway.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use super::startup::{MISSING, Missing};
use crate::limit::memory::{Budget, Sort};
use crate::limit::size;

/// Bucket boundaries of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0,
];

/// OpenTelemetry instruments.
#[derive(Debug)]
pub struct Instruments {
    requests: Counter<u64>,
    sizes: Counter<u64>,
    returns: Counter<u64>,
    late: Counter<u64>,
    held: Gauge<u64>,
    urgencies: Counter<u64>,
    attempts: Counter<u64>,
    closed_responses: Counter<u64>,
    malformed_responses: Counter<u64>,
    limited_attempts: Counter<u64>,
    quotas: Gauge<u64>,
    grants: Counter<u64>,
    duration: Histogram<f64>,
    first: Histogram<f64>,
    losses: Gauge<u64>,
    under_way: Gauge<u64>,
    ends: Counter<u64>,
    barred: Gauge<u64>,
    held_bytes: Gauge<u64>,
    paused: Counter<u64>,
    unready: Gauge<f64>,
}

impl Instruments {
    /// Registers the instruments with `meter`.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("pumicelatch.gateway.requests")
                .with_description("Callers' requests by outcome")
                .build(),
            sizes: meter
                .u64_counter("pumicelatch.gateway.requests_by_size")
                .with_description(
                    "Requests to engines by outcome and size class among those of their route",
                )
                .build(),
            returns: meter
                .u64_counter("pumicelatch.gateway.returns")
                .with_description("Retries of callers after a refusal, by outcome")
                .build(),
            late: meter
                .u64_counter("pumicelatch.gateway.late")
                .with_description("Late requests that were held, served after that, or given up")
                .build(),
            held: meter
                .u64_gauge("pumicelatch.gateway.held")
                .with_description("Late requests that wait for capacity")
                .build(),
            urgencies: meter
                .u64_counter("pumicelatch.gateway.requests_by_urgency")
                .with_description("Callers' requests by urgency and outcome")
                .build(),
            attempts: meter
                .u64_counter("pumicelatch.gateway.attempts")
                .with_description("Attempts at replicas by how they ended")
                .build(),
            closed_responses: meter
                .u64_counter("pumicelatch.gateway.closed_responses")
                .with_description(
                    "Responses without a length that ended with their connection, by whether the replica still ran",
                )
                .build(),
            malformed_responses: meter
                .u64_counter("pumicelatch.gateway.malformed_responses")
                .with_description("Responses of replicas that break the protocol")
                .build(),
            limited_attempts: meter
                .u64_counter("pumicelatch.gateway.limited_attempts")
                .with_description("Attempts at replicas that have stated a quota")
                .build(),
            quotas: meter
                .u64_gauge("pumicelatch.gateway.quotas")
                .with_description("Replicas that have a quota in force, as far as is known")
                .build(),
            grants: meter
                .u64_counter("pumicelatch.gateway.grants")
                .with_description("Requests for grants under quotas, besides leases, by outcome")
                .build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .with_description("Time from a request's head to the end of its answer")
                .build(),
            first: meter
                .f64_histogram("pumicelatch.gateway.first_event")
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .with_description("Time from a request's head to the first event of its stream")
                .build(),
            losses: meter
                .u64_gauge("pumicelatch.platform.losses")
                .with_description("Parts of the platform's documents that could not be read")
                .build(),
            under_way: meter
                .u64_gauge("pumicelatch.gateway.under_way")
                .with_description("Attempts at replicas that have not ended")
                .build(),
            ends: meter
                .u64_counter("pumicelatch.gateway.replica_ends")
                .with_description("Attempts that ended with their replica")
                .build(),
            barred: meter
                .u64_gauge("pumicelatch.gateway.barred")
                .with_description(
                    "Requests that are sent nowhere because replicas ended under them",
                )
                .build(),
            held_bytes: meter
                .u64_gauge("pumicelatch.gateway.held_bytes")
                .with_unit("By")
                .with_description("Memory held or reserved for callers, by what it is for")
                .build(),
            paused: meter
                .u64_counter("pumicelatch.gateway.paused")
                .with_description("Streams not read ahead of their callers for lack of memory")
                .build(),
            unready: meter
                .f64_gauge("pumicelatch.gateway.unready")
                .with_unit("s")
                .with_description("Time that the process has lacked what it needs to be ready, by what")
                .build(),
        }
    }

    /// Records a request that ended with `outcome` after `took`.
    pub fn record_request(&self, outcome: &'static str, took: Duration) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(took.as_secs_f64(), &[]);
    }

    /// Counts a request to an engine by its size class.
    pub fn record_size(&self, route: &Arc<str>, size: size::Class, outcome: &'static str) {
        let labels = [
            KeyValue::new("route", route.clone()),
            KeyValue::new("size", size.name()),
            KeyValue::new("outcome", outcome),
        ];
        self.sizes.add(1, &labels);
    }

    /// Counts a retry after a refusal by its outcome.
    pub fn count_return(&self, outcome: &'static str) {
        self.returns.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a late request: `held`, `served` or `gave_up`.
    pub fn count_late(&self, outcome: &'static str) {
        self.late.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets the number of late requests that wait for capacity.
    pub fn set_waiting(&self, count: usize) {
        self.held.record(count as u64, &[]);
    }

    /// Counts a request by its urgency.
    pub fn record_urgency(&self, urgency: u8, outcome: &'static str) {
        let labels = [
            KeyValue::new("urgency", i64::from(urgency)),
            KeyValue::new("outcome", outcome),
        ];
        self.urgencies.add(1, &labels);
    }

    /// Records the latency of a stream's first event.
    pub fn record_first_event(&self, took: Duration) {
        self.first.record(took.as_secs_f64(), &[]);
    }

    /// Sets the number of parts of the platform's documents that could not be read so far.
    pub fn set_losses(&self, count: u64) {
        self.losses.record(count, &[]);
    }

    /// Sets the number of attempts in flight.
    pub fn set_in_flight(&self, count: u32) {
        self.under_way.record(u64::from(count), &[]);
    }

    /// Counts an attempt whose replica crashed.
    pub fn count_crash(&self) {
        self.ends.add(1, &[]);
    }

    /// Sets the number of blocked requests.
    pub fn set_blocked(&self, count: usize) {
        self.barred.record(count as u64, &[]);
    }

    /// Sets the memory held for callers.
    pub fn set_held(&self, held: &Budget) {
        for sort in Sort::ALL {
            let labels = [KeyValue::new("what", sort.name())];
            self.held_bytes.record(held.held(sort), &labels);
        }
    }

    /// Sets what the process has lacked for `waited` to be ready.
    pub fn set_missing(&self, missing: &[Missing], waited: Duration) {
        for each in MISSING {
            let lacks = missing.contains(&each);
            let seconds = if lacks { waited.as_secs_f64() } else { 0.0 };
            let labels = [KeyValue::new("missing", each.name())];
            self.unready.record(seconds, &labels);
        }
    }

    /// Counts a stream that is paused because memory is short.
    pub fn count_paused(&self) {
        self.paused.add(1, &[]);
    }

    /// Counts an attempt at a replica that has stated a quota.
    pub fn count_limited_attempt(&self) {
        self.limited_attempts.add(1, &[]);
    }

    /// Sets the number of quotas in force.
    pub fn set_quotas(&self, count: usize) {
        self.quotas.record(count as u64, &[]);
    }

    /// Counts a request for a grant under a quota.
    pub fn count_grant(&self, given: bool) {
        let outcome = if given { "given" } else { "denied" };
        self.grants.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a response without a length that ended with its connection.
    pub fn count_closed_response(&self, outcome: &'static str) {
        self.closed_responses
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a response of a replica that breaks the protocol.
    pub fn count_malformed_response(&self) {
        self.malformed_responses.add(1, &[]);
    }

    /// Counts an attempt by how it ended.
    pub fn count_attempt(&self, ended: &'static str) {
        self.attempts.add(1, &[KeyValue::new("ended", ended)]);
    }
}
