//! Reads and watches the platform's store. Each call has its price, so calls are few.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::{Either, select};
use rand::RngExt;

use super::Knowledge;
use super::pace::Pace;
use super::traffic::Purpose;
use crate::source::{Batch, Error, Source, Topic};
use crate::timeout::{self, Progress};

/// How often an entry looks whether it has to read for itself.
const STANDBY: Duration = Duration::from_millis(100);

/// An answer of so many bytes is written down: it takes a good part of a link between regions.
const LONG: usize = 64 << 10;

/// How a call ended.
enum Ended {
    /// The store answered, or did not.
    Call(Result<Batch, Error>),
    /// The store answers others again, and this call may hang from before; or its connection went silent.
    AskAgain,
}

/// Follows one topic until dropped.
pub async fn follow(knowledge: Rc<Knowledge>, source: Rc<dyn Source>, topic: Topic) {
    let mut after = None;
    let mut pace = Pace::new(topic);
    let mut reads_whole = false;
    loop {
        if !knowledge.reads(topic) {
            // What others learned meanwhile need not be read again.
            after = None;
            sleep(STANDBY).await;
            continue;
        }
        let known = knowledge.revision(topic);
        if !reads_whole {
            after = after.or((known > 0).then_some(known));
        }
        let began = knowledge.now();
        match ask(&knowledge, &*source, pace, topic, after).await {
            Ended::AskAgain => {}
            Ended::Call(Ok(batch)) => {
                if !pace.reached() {
                    log::info!(topic:? = topic; "store is in reach again");
                    knowledge.store_regained.notify_waiters();
                }
                let at = batch.revision;
                if batch.bytes >= LONG {
                    let ms = knowledge.now().since(began).as_millis() as u64;
                    log::info!(topic:? = topic, after:? = after, bytes = batch.bytes, ms; "long answer of the store");
                }
                knowledge.apply_batch(topic, after.is_none(), batch);
                reads_whole = false;
                after = Some(at);
                sleep(pace.answered()).await;
            }
            Ended::Call(Err(Error::Compacted)) => {
                log::info!(topic:? = topic, after:? = after; "store has forgotten; reading anew");
                after = None;
                reads_whole = true;
            }
            Ended::Call(Err(error)) => {
                knowledge.record_store_failure();
                if pace.reached() {
                    log::warn!(topic:? = topic; "store lost: {error}");
                } else {
                    log::info!(topic:? = topic, after:? = after, calls = pace.failures(); "store still lost: {error}");
                }
                let jitter = knowledge.rng.borrow_mut().random_range(0.7..1.3);
                sleep(pace.failed(jitter)).await;
            }
        }
    }
}

async fn ask(
    knowledge: &Knowledge,
    source: &dyn Source,
    pace: Pace,
    topic: Topic,
    after: Option<u64>,
) -> Ended {
    knowledge.traffic.count(Purpose::Store, 0);
    let progress = Progress::default();
    let call = match after {
        None => source.read(topic, progress.clone()),
        Some(after) => source.watch(topic, after, pace.wait(), progress.clone()),
    };
    // A store that is still answering is in reach, however long that takes: the others of the hall
    // are told so, and do not draw the same over the same link. An entry that need not read after
    // all, because one before it does, lets go.
    let moved = || knowledge.store_is_answering();
    let needed = || knowledge.reads(topic);
    let waits = pace.patience(after.is_none());
    let call = pin!(timeout::wait_while(call, &progress, waits, moved, needed));
    let regained = pin!(knowledge.store_regained.notified());
    let ended = match select(call, regained).await {
        Either::Left((ended, _)) => ended,
        // A call whose answer is coming in does not hang.
        Either::Right((_, call)) if progress.last().is_some() => call.await,
        Either::Right(_) => return Ended::AskAgain,
    };
    match ended {
        Ok(Err(Error::Silent)) => Ended::AskAgain,
        Ok(answer) => Ended::Call(answer),
        Err(timeout::Error::Cancelled) => Ended::AskAgain,
        Err(error) => {
            let reason = error.to_string();
            Ended::Call(Err(Error::Unreachable { reason }))
        }
    }
}
