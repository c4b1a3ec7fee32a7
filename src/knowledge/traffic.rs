//! What a process sends to the others of the system, counted by purpose.
//!
//! Control messages grow with the fleet in ways that only a count shows: a node's budget is a
//! number of bytes a second, and the sum over all nodes is what the links between halls carry.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_rt::time::sleep;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter};

use super::Knowledge;

/// How often the counts are written down.
const LOGGED: Duration = Duration::from_secs(10);

/// What a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A heartbeat, or news that are fetched with one.
    Heartbeat,
    /// A process beside a replica reports how that does.
    Report,
    /// Another hall is asked how its replicas do.
    HallPoll,
    /// How replicas do is passed on within a hall.
    Forward,
    /// The process beside a replica is asked for a place there.
    Place,
    /// The replica is asked by the process beside it.
    Probe,
    /// The platform's store is asked.
    Store,
    /// Entries tell each other under which requests replicas ended.
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
    /// Its name in metrics and logs.
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

/// Messages of one purpose.
#[derive(Debug, Default)]
struct Count {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// What was sent and answered so far. Clones count together.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    counts: Arc<[Count; PURPOSES.len()]>,
}

impl Traffic {
    /// A message left, whose body and answer have so many bytes.
    pub fn count(&self, purpose: Purpose, bytes: usize) {
        let count = &self.counts[purpose as usize];
        count.messages.fetch_add(1, Ordering::Relaxed);
        count.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Messages of `purpose` so far, and the bytes of their bodies and answers.
    pub fn of(&self, purpose: Purpose) -> (u64, u64) {
        let count = &self.counts[purpose as usize];
        let read = |number: &AtomicU64| number.load(Ordering::Relaxed);
        (read(&count.messages), read(&count.bytes))
    }

    /// Serves the counts as metrics.
    pub fn register(&self, meter: &Meter) {
        meter
            .u64_observable_counter("pumicelatch.control.messages")
            .with_description("Messages to other processes by purpose")
            .with_callback(self.observed(|(messages, _)| messages))
            .build();
        meter
            .u64_observable_counter("pumicelatch.control.bytes")
            .with_unit("By")
            .with_description("Bytes of those messages and their answers, without heads")
            .with_callback(self.observed(|(_, bytes)| bytes))
            .build();
    }

    /// Tells one of the counts of each purpose to whoever reads the metrics.
    fn observed(&self, count: fn((u64, u64)) -> u64) -> impl Fn(&dyn AsyncInstrument<u64>) + use<> {
        let traffic = self.clone();
        move |observer| {
            for purpose in PURPOSES {
                let count = count(traffic.of(purpose));
                observer.observe(count, &[KeyValue::new("purpose", purpose.name())]);
            }
        }
    }

    /// The counts in one line, without purposes that nothing was sent for.
    fn describe(&self) -> String {
        let counts = PURPOSES.iter().filter_map(|&purpose| {
            let (messages, bytes) = self.of(purpose);
            (messages > 0).then(|| format!("{} {messages} ({bytes} B)", purpose.name()))
        });
        counts.collect::<Vec<String>>().join(", ")
    }
}

/// Writes the counts down until dropped.
pub async fn log(knowledge: Rc<Knowledge>) {
    loop {
        sleep(LOGGED).await;
        log::info!("messages since the start: {}", knowledge.traffic.describe());
    }
}
