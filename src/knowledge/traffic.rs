//! Counts the messages between processes of the system by purpose.
//!
//! How control traffic grows with the fleet shows only in these counts. A node's budget is a number of
//! bytes per second, and the sum over all nodes is the load on the links between halls.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_rt::time::sleep;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter};

use super::Knowledge;

/// Interval at which the counts are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The purpose of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A heartbeat, or an update fetched with one.
    Heartbeat,
    /// A sidecar reports the status of its replica.
    Report,
    /// A hall is polled for the status of its replicas.
    HallPoll,
    /// The status of replicas is forwarded within a hall.
    Forward,
    /// A sidecar is asked for a place at its replica.
    Place,
    /// A sidecar probes its replica.
    Probe,
    /// A call to the platform's store.
    Store,
    /// Entries inform each other of requests under which replicas crashed.
    Poison,
}

/// All purposes.
const PURPOSES: [Purpose; 8] = [
    Purpose::Heartbeat,
    Purpose::Report,
    Purpose::HallPoll,
    Purpose::Forward,
    Purpose::Place,
    Purpose::Probe,
    Purpose::Store,
    Purpose::Poison,
];

impl Purpose {
    /// The name of the purpose in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Report => "report",
            Self::HallPoll => "hall",
            Self::Forward => "pass_on",
            Self::Place => "place",
            Self::Probe => "look",
            Self::Store => "store",
            Self::Poison => "poison",
        }
    }
}

/// The messages of one purpose.
#[derive(Debug, Default)]
struct Count {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// The messages sent so far and their answers. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    counts: Arc<[Count; PURPOSES.len()]>,
}

impl Traffic {
    /// Counts a message, whose body and answer have `bytes` bytes in total.
    pub fn count(&self, purpose: Purpose, bytes: usize) {
        let count = &self.counts[purpose as usize];
        count.messages.fetch_add(1, Ordering::Relaxed);
        count.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The number of messages of `purpose` so far, and the bytes of their bodies and answers.
    pub fn of(&self, purpose: Purpose) -> (u64, u64) {
        let count = &self.counts[purpose as usize];
        let read = |number: &AtomicU64| number.load(Ordering::Relaxed);
        (read(&count.messages), read(&count.bytes))
    }

    /// Registers the counts as metrics.
    pub fn register(&self, meter: &Meter) {
        meter
            .u64_observable_counter("pumicelatch.control.messages")
            .with_description("Messages to other processes by purpose")
            .with_callback(self.callback(|(messages, _)| messages))
            .build();
        meter
            .u64_observable_counter("pumicelatch.control.bytes")
            .with_unit("By")
            .with_description("Bytes of those messages and their answers, without heads")
            .with_callback(self.callback(|(_, bytes)| bytes))
            .build();
    }

    /// Creates a metrics callback that reports one of the counts of each purpose.
    fn callback(&self, count: fn((u64, u64)) -> u64) -> impl Fn(&dyn AsyncInstrument<u64>) + use<> {
        let traffic = self.clone();
        move |observer| {
            for purpose in PURPOSES {
                let count = count(traffic.of(purpose));
                observer.observe(count, &[KeyValue::new("purpose", purpose.name())]);
            }
        }
    }

    /// The counts in one line, without purposes that have no messages.
    fn describe(&self) -> String {
        let counts = PURPOSES.iter().filter_map(|&purpose| {
            let (messages, bytes) = self.of(purpose);
            (messages > 0).then(|| format!("{} {messages} ({bytes} B)", purpose.name()))
        });
        counts.collect::<Vec<String>>().join(", ")
    }
}

/// Logs the counts periodically until dropped.
pub async fn log(knowledge: Rc<Knowledge>) {
    loop {
        sleep(LOG_INTERVAL).await;
        log::info!("messages since the start: {}", knowledge.traffic.describe());
    }
}
