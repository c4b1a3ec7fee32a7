//! Runs the attempts of a request until the head of a stream or a plain response has arrived.
//!
//! A silent replica may be gone, or may only have paused. So its attempt goes on while another
//! replica is asked, and ends when another one has answered first. If there is none to ask, the
//! request waits for the silent one.

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};

use super::attempt::{Failure, Incoming, Sending};
use super::dispatch::{Dispatch, NoSuccessor};
use super::plain::Plain;
use crate::config::routing::Kind;
use crate::limit::memory::{Need, Reservation};
use crate::route::pool::Choice;

/// Interval at which a replica is looked for again while all that have the request are silent.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A response that has started.
pub enum Started {
    /// A stream, with its head.
    Stream(Incoming),
    /// A plain response, as far as it is held at once.
    Plain(Plain),
}

impl Started {
    /// The id of its replica.
    fn replica(&self) -> &Arc<str> {
        match self {
            Self::Stream(incoming) => &incoming.attempt.instance.id,
            Self::Plain(plain) => plain.replica(),
        }
    }
}

/// How an attempt went on, with the memory for its response.
pub struct Ended {
    /// The response, or why there is none.
    pub result: Result<Started, Failure>,
    /// The memory.
    pub held: Reservation,
}

/// What a race waits for.
enum Event {
    /// An attempt has brought a response or failed.
    Ended(Box<Ended>),
    /// A replica is silent, or the last search for another one is some time ago.
    Due,
    /// The search for another replica has ended.
    Found(Result<Choice, NoSuccessor>),
}

/// The attempts of one request that run at the same time.
pub struct Race {
    running: FuturesUnordered<LocalBoxFuture<'static, Ended>>,
    /// Memory for the response of each attempt.
    need: Need,
    /// An attempt that a replica answered with an error, while others run.
    failed: Option<Ended>,
}

/// Runs one attempt.
async fn attempt(sending: Sending, mut held: Reservation) -> Ended {
    let job = sending.job.clone();
    let result = match sending.run().await {
        Err(failure) => Err(failure),
        Ok(incoming) if job.route.kind == Kind::Streaming => Ok(Started::Stream(incoming)),
        Ok(incoming) => {
            let plain = incoming.read_plain(&job, &mut held).await;
            plain.map(Started::Plain)
        }
    };
    Ended { result, held }
}

impl Race {
    /// A race that begins with the attempt `sending`, whose response may hold the memory `held`.
    pub fn new(sending: Sending, held: Reservation) -> Self {
        let need = held.need();
        let running = FuturesUnordered::new();
        running.push(attempt(sending, held).boxed_local());
        Self {
            running,
            need,
            failed: None,
        }
    }

    /// Waits for the first response, or for the failure of the last attempt. Whenever a replica is
    /// silent, begins another attempt if the request allows that.
    pub async fn run(mut self, dispatch: &mut Dispatch) -> Ended {
        // The dispatch's alarm is raised by attempts whose replica is silent, and by exchanges
        // whose connection was found silent.
        let alarm = dispatch.alarm.clone();
        let mut searching = false;
        let mut recheck = None;
        loop {
            let search = async {
                if searching {
                    return Event::Found(dispatch.find_successor().await);
                }
                either(alarm.raised(), after(recheck)).await;
                Event::Due
            };
            match either(ended(&mut self.running), search).await {
                Event::Due => searching = true,
                Event::Found(found) => {
                    searching = false;
                    let begun = found.is_ok_and(|choice| self.begin(dispatch, choice));
                    if !begun && let Some(failed) = self.failed.take() {
                        return failed;
                    }
                    let may_follow = !begun && dispatch.can_fail_over();
                    recheck = may_follow.then_some(RECHECK_INTERVAL);
                }
                Event::Ended(ended) => {
                    if let Ok(started) = &ended.result {
                        dispatch.record_answering(started.replica());
                        return *ended;
                    }
                    if let Some(last) = self.record_failure(dispatch, *ended) {
                        return last;
                    }
                    // Those that are left were silent when it began, so another takes its place.
                    searching = true;
                }
            }
        }
    }

    /// Records a failed attempt. Returns the failure to go on with if no attempt is left.
    fn record_failure(&mut self, dispatch: &mut Dispatch, ended: Ended) -> Option<Ended> {
        let has_answer =
            |ended: &Ended| matches!(&ended.result, Err(failure) if failure.answer.is_some());
        let last = self.running.is_empty();
        let (kept, other) = if has_answer(&ended) {
            (Some(ended), self.failed.take())
        } else if self.failed.is_none() && last {
            (Some(ended), None)
        } else {
            (self.failed.take(), Some(ended))
        };
        if let Some(Err(failure)) = other.map(|other| other.result) {
            dispatch.record_failure_of_one(failure);
        }
        if last {
            return kept;
        }
        self.failed = kept;
        None
    }

    /// Begins another attempt if there is memory for its response.
    fn begin(&mut self, dispatch: &mut Dispatch, choice: Choice) -> bool {
        let Some(held) = dispatch.gateway.held.reserve_need(self.need) else {
            dispatch.return_retry();
            return false;
        };
        match dispatch.begin(choice, dispatch.job.meta.last_event) {
            Ok(sending) => {
                self.running.push(attempt(sending, held).boxed_local());
                true
            }
            Err(failure) => {
                dispatch.return_retry();
                dispatch.record_failure_of_one(failure);
                false
            }
        }
    }
}

/// Waits until one of the attempts has ended.
async fn ended(running: &mut FuturesUnordered<LocalBoxFuture<'static, Ended>>) -> Event {
    match running.next().await {
        Some(ended) => Event::Ended(Box::new(ended)),
        None => pending().await,
    }
}

/// Waits for the first of two futures.
pub async fn either<T>(first: impl Future<Output = T>, second: impl Future<Output = T>) -> T {
    match select(pin!(first), pin!(second)).await {
        Either::Left((done, _)) | Either::Right((done, _)) => done,
    }
}

/// Waits for `interval`; forever if there is none.
pub async fn after(interval: Option<Duration>) {
    match interval {
        Some(interval) => sleep(interval).await,
        None => pending().await,
    }
}
