//! Reads and watches the platform's store, with few calls, as each is costly.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::{Either, select};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use rand::RngExt;

use super::Knowledge;
use super::schedule::Schedule;
use super::traffic::Purpose;
use crate::backoff::Backoff;
use crate::clock::Time;
use crate::source::{Batch, Error, FAILURES, Failure, Incomplete, Source, TOPICS, Topic};
use crate::timeout::{self, Progress};

/// Interval at which an entry checks whether it has to read the store itself.
const STANDBY_INTERVAL: Duration = Duration::from_millis(100);

/// Size in bytes from which an answer is logged, as it uses a considerable part of a link between regions.
const LONG_ANSWER_BYTES: usize = 64 << 10;

/// Delay before a topic of which only a part could be read is read again, doubled up to
/// [`REREAD_DELAY_MAX`]. Changes are watched meanwhile.
const REREAD_DELAY: Duration = Duration::from_secs(1);

/// Maximum of this delay.
const REREAD_DELAY_MAX: Duration = Duration::from_secs(60);

/// The failed calls to the store so far. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct Failures {
    counts: Arc<[[AtomicU64; FAILURES.len()]; TOPICS.len()]>,
}

impl Failures {
    /// Counts a call for `topic`.
    pub fn count(&self, topic: Topic, failure: Failure) {
        self.counts[topic as usize][failure as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The calls for `topic` that have failed in this way.
    pub fn of(&self, topic: Topic, failure: Failure) -> u64 {
        self.counts[topic as usize][failure as usize].load(Ordering::Relaxed)
    }

    /// Registers the counts as metrics.
    pub fn register(&self, meter: &Meter) {
        let failures = self.clone();
        meter
            .u64_observable_counter("pumicelatch.platform.store_failures")
            .with_description("Failed calls to the platform's store by topic and reason")
            .with_callback(move |observer| {
                for topic in TOPICS {
                    for failure in FAILURES {
                        let labels = [
                            KeyValue::new("topic", topic.name()),
                            KeyValue::new("reason", failure.name()),
                        ];
                        observer.observe(failures.of(topic, failure), &labels);
                    }
                }
            })
            .build();
    }
}

/// How a call ended.
enum CallEnd {
    /// With an answer of the store, or a failure.
    Call(Result<Batch, Error>),
    /// Without a result; the call must be repeated. The store answers others again, and this call may
    /// have been hanging since before; its connection went silent; or this entry need not read any more.
    Repeat,
}

/// Follows one topic until dropped.
pub async fn follow(knowledge: Rc<Knowledge>, source: Rc<dyn Source>, topic: Topic) {
    let mut after = None;
    let mut schedule = Schedule::new(topic);
    let mut read_whole = false;
    let mut reread = Reread::default();
    let mut last_failure = None;
    loop {
        if !knowledge.reads(topic) {
            // Updates that other entries receive meanwhile need not be read again.
            after = None;
            sleep(STANDBY_INTERVAL).await;
            continue;
        }
        if reread.is_due(knowledge.now()) {
            after = None;
            read_whole = true;
        }
        let known = knowledge.revision(topic);
        if !read_whole {
            after = after.or((known > 0).then_some(known));
        }
        let began = knowledge.now();
        match call(&knowledge, &*source, schedule, topic, after).await {
            CallEnd::Repeat => {}
            CallEnd::Call(Ok(batch)) => {
                last_failure = None;
                if !schedule.is_reachable() {
                    log::info!(topic:? = topic; "store is reachable again");
                    knowledge.store_regained.notify_waiters();
                }
                let at = batch.revision;
                if batch.bytes >= LONG_ANSWER_BYTES {
                    let ms = knowledge.now().since(began).as_millis() as u64;
                    log::info!(topic:? = topic, after:? = after, bytes = batch.bytes, ms; "large answer of the store");
                }
                if batch.incomplete.is_some() {
                    let failure = Failure::Incomplete;
                    knowledge.store_failures.count(topic, failure);
                }
                if after.is_none() {
                    reread.record(topic, batch.incomplete.as_ref(), knowledge.now());
                }
                knowledge.apply_batch(topic, after.is_none(), batch);
                read_whole = false;
                after = Some(at);
                sleep(schedule.succeeded()).await;
            }
            CallEnd::Call(Err(Error::Compacted)) if after.is_some() => {
                log::info!(topic:? = topic, after:? = after; "store has compacted the requested revisions; reading the whole topic");
                after = None;
                read_whole = true;
            }
            CallEnd::Call(Err(error)) => {
                knowledge.record_store_failure();
                let failure = error.failure();
                knowledge.store_failures.count(topic, failure);
                if last_failure.replace(failure) != Some(failure) {
                    log::warn!(topic:? = topic; "{}: {error}", failure.describe());
                } else {
                    log::info!(topic:? = topic, after:? = after, calls = schedule.failures(); "store call failed again: {error}");
                }
                let jitter = knowledge.rng.borrow_mut().random_range(0.7..1.3);
                sleep(schedule.failed(jitter)).await;
            }
        }
    }
}

/// When a topic is read again of which only a part could be read.
struct Reread {
    due: Option<Time>,
    backoff: Backoff,
}

impl Default for Reread {
    fn default() -> Self {
        Self {
            due: None,
            backoff: Backoff::new(REREAD_DELAY, REREAD_DELAY_MAX),
        }
    }
}

impl Reread {
    fn is_due(&self, now: Time) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Records how a reading of the whole topic ended.
    fn record(&mut self, topic: Topic, incomplete: Option<&Incomplete>, now: Time) {
        let Some(reason) = incomplete else {
            self.due = None;
            self.backoff.reset();
            return;
        };
        let delay = self.backoff.next_delay();
        self.due = Some(now + delay);
        let retry_ms = delay.as_millis() as u64;
        log::warn!(topic:? = topic, retry_ms; "only a part of the topic could be read: {reason}");
    }
}

async fn call(
    knowledge: &Knowledge,
    source: &dyn Source,
    schedule: Schedule,
    topic: Topic,
    after: Option<u64>,
) -> CallEnd {
    knowledge.traffic.count(Purpose::Store, 0);
    let progress = Progress::default();
    let request = match after {
        None => source.read(topic, progress.clone()),
        Some(after) => source.watch(topic, after, schedule.watch_timeout(), progress.clone()),
    };
    // A store that is still sending an answer is reachable, however long the answer takes. The others of
    // the hall are informed of this, and do not read the same data over the same link. An entry that
    // need not read after all, because a higher-ranked one does, cancels the call.
    let received = || knowledge.record_store_answer();
    let needed = || knowledge.reads(topic);
    let timeouts = schedule.timeouts(after.is_none());
    let call = pin!(timeout::wait_while(
        request, &progress, timeouts, received, needed
    ));
    let regained = pin!(knowledge.store_regained.notified());
    let ended = match select(call, regained).await {
        Either::Left((ended, _)) => ended,
        // A call that is receiving its answer does not hang.
        Either::Right((_, call)) if progress.last().is_some() => call.await,
        Either::Right(_) => return CallEnd::Repeat,
    };
    match ended {
        Ok(Err(Error::Silent)) => CallEnd::Repeat,
        Ok(answer) => CallEnd::Call(answer),
        Err(timeout::Error::Cancelled) => CallEnd::Repeat,
        Err(error) => {
            let reason = error.to_string();
            CallEnd::Call(Err(Error::Unreachable { reason }))
        }
    }
}
