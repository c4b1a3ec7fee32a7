//! Metrics and log lines about the replica's capacity by urgency.

use std::cell::Cell;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Gauge, Meter};

use super::Sidecar;

/// What is reported about the capacity by urgency.
#[derive(Debug)]
pub struct Report {
    granted: Gauge<f64>,
    /// The level in the last log line.
    level: Cell<Option<u8>>,
}

impl Report {
    /// Registers the metric with `meter`.
    pub fn new(meter: &Meter) -> Self {
        Self {
            granted: meter
                .f64_gauge("pumicelatch.agent.room")
                .with_description("Granted fraction of the requested work by urgency")
                .build(),
            level: Cell::default(),
        }
    }
}

impl Sidecar {
    /// Records the metric, and logs the level if it has changed. Called once per second.
    pub(super) fn report_room(&self) {
        let now = self.knowledge.now();
        let room = &mut self.ledger.borrow_mut().room;
        let level = room.level(now);
        if self.room.level.replace(level) != level {
            log::info!(level; "urgencies accepted in the queue changed");
        }
        for (urgency, fraction) in room.granted() {
            let label = KeyValue::new("urgency", i64::from(urgency));
            self.room.granted.record(fraction, &[label]);
        }
    }
}
