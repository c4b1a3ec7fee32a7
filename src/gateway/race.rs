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
use super::dispatch::Dispatch;
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

/// The attempts of one request that run at the same time.
pub struct Race {
    running: FuturesUnordered<LocalBoxFuture<'static, Ended>>,
    /// Memory for the response of each attempt.
    need: Need,
}

async fn run(sending: Sending, mut held: Reservation) -> Ended {
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
        running.push(run(sending, held).boxed_local());
        Self { running, need }
    }

    /// Waits for the first response, or for the failure of the last attempt. Whenever all are
    /// silent, begins another one if the request allows that.
    pub async fn run(mut self, dispatch: &mut Dispatch) -> Ended {
        loop {
            let ended = self.next(dispatch).await;
            match &ended.result {
                Ok(started) => {
                    dispatch.record_answering(started.replica());
                    return ended;
                }
                Err(_) if self.running.is_empty() => return ended,
                Err(_) => {}
            }
            if let Err(failure) = ended.result {
                dispatch.record_failure_of_one(failure);
                // The others are silent.
                dispatch.alarm.raise();
            }
        }
    }

    /// Waits until an attempt ends.
    async fn ended(&mut self) -> Ended {
        match self.running.next().await {
            Some(ended) => ended,
            None => pending().await,
        }
    }

    /// Waits until one of the attempts ends, and meanwhile begins others.
    async fn next(&mut self, dispatch: &mut Dispatch) -> Ended {
        let alarm = dispatch.alarm.clone();
        let mut recheck = None;
        loop {
            let due = async {
                either(alarm.raised(), after(recheck)).await;
                None
            };
            let ended = async { Some(self.ended().await) };
            if let Some(ended) = either(ended, due).await {
                return ended;
            }
            let search = async { Err(dispatch.find_successor().await) };
            let ended = async { Ok(self.ended().await) };
            let choice = match either(ended, search).await {
                Err(choice) => choice,
                Ok(ended) => {
                    dispatch.return_retry();
                    return ended;
                }
            };
            let begun = choice.is_ok_and(|choice| self.begin(dispatch, choice));
            recheck = (!begun && dispatch.can_fail_over()).then_some(RECHECK_INTERVAL);
        }
    }

    /// Begins another attempt if there is memory for its response.
    fn begin(&mut self, dispatch: &mut Dispatch, choice: Choice) -> bool {
        let held = dispatch.gateway.held.reserve_need(self.need);
        let last_event = dispatch.job.meta.last_event;
        let Some(held) = held else {
            dispatch.return_retry();
            return false;
        };
        match dispatch.begin(choice, last_event) {
            Ok(sending) => {
                self.running.push(run(sending, held).boxed_local());
                true
            }
            Err(failure) => {
                dispatch.record_failure_of_one(failure);
                false
            }
        }
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
