//! Reads and watches the platform's store. Each call has its price, so calls are few.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use rand::RngExt;

use super::Knowledge;
use crate::source::{Batch, Error, Source, Topic};

/// How long a watch of what operators write waits.
const OPERATOR_WAIT: Duration = Duration::from_secs(5);

/// How long a watch of the list waits. Heartbeats of replicas end it long before that: a watch
/// that waits so long shows that the store is not in reach.
const REPLICAS_WAIT: Duration = Duration::from_secs(1);

/// How much longer than its wait an answer may take.
const MARGIN: Duration = Duration::from_millis(700);

/// How long a whole read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two watches of what operators write: changes within it come in one answer.
const OPERATOR_GAP: Duration = Duration::from_millis(200);

/// Pause between two watches of the list, which changes with every heartbeat of a replica.
const REPLICAS_GAP: Duration = Duration::from_millis(500);

/// How often an entry looks whether it has to read for itself.
const STANDBY: Duration = Duration::from_millis(100);

/// First pause after a failure, doubled up to [`PAUSE_MAX`].
const PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a failure.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

fn gap(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => OPERATOR_GAP,
        Topic::Replicas => REPLICAS_GAP,
    }
}

fn wait(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => OPERATOR_WAIT,
        Topic::Replicas => REPLICAS_WAIT,
    }
}

/// Follows one topic until dropped.
pub async fn follow(knowledge: Rc<Knowledge>, source: Rc<dyn Source>, topic: Topic) {
    let mut after = None;
    let mut pause = PAUSE;
    let mut reached = true;
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
        match ask(&*source, topic, after).await {
            Ok(batch) => {
                if !reached {
                    log::info!(topic:? = topic; "store is in reach again");
                }
                reached = true;
                pause = PAUSE;
                let at = batch.at;
                knowledge.take_batch(topic, after.is_none(), batch);
                reads_whole = false;
                after = Some(at);
                sleep(gap(topic)).await;
            }
            Err(Error::Forgotten) => {
                log::info!(topic:? = topic, after:? = after; "store has forgotten; reading anew");
                after = None;
                reads_whole = true;
            }
            Err(error) => {
                knowledge.trouble();
                if reached {
                    log::warn!(topic:? = topic; "store lost: {error}");
                }
                reached = false;
                let jitter = knowledge.rng.borrow_mut().random_range(0.7..1.3);
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

async fn ask(source: &dyn Source, topic: Topic, after: Option<u64>) -> Result<Batch, Error> {
    let (call, longest) = match after {
        None => (source.read(topic), READ_TIMEOUT),
        Some(after) => (
            source.watch(topic, after, wait(topic)),
            wait(topic) + MARGIN,
        ),
    };
    timeout(longest, call).await.unwrap_or_else(|_| {
        Err(Error::Unreachable {
            reason: format!("no answer within {} ms", longest.as_millis()),
        })
    })
}
