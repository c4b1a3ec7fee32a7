//! Reads a plain response: to its end if it is short, so that one that breaks off can be tried
//! elsewhere, and otherwise as its caller reads it.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody, SizedStream};
use actix_http::header::CONTENT_LENGTH;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, stream};

use super::attempt::{self, Failure, Holding, Incoming};
use super::dispatch::Dispatch;
use super::job::Job;
use super::reader::Reader;
use crate::clock::Time;
use crate::exchange;
use crate::http::Answer;
use crate::limit::memory::{READ_MAX, Reservation, UNREAD_MIN, WHOLE_MAX};
use crate::limit::overtime::Overtime;
use crate::route::health::Signal;
use crate::timeout;

/// How long a replica may be silent in the middle of a response once its deadline has passed. A
/// caller that reads slowly still gets what is ready.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// Largest response, in bytes, for a caller to whom it can't be relayed.
const BUFFERED_MAX: u64 = 16 << 20;

/// A plain response that was read as far as it is held at once.
pub struct Plain {
    incoming: Incoming,
    parts: VecDeque<Bytes>,
    is_whole: bool,
}

/// The length of a response, if its head states it.
fn stated_length(response: &Reader) -> Option<u64> {
    let value = response.headers.get(CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Reads until the end of the response, or as much as is held at once. Returns whether it is whole.
async fn read_parts(
    response: &mut Reader,
    parts: &mut VecDeque<Bytes>,
    held: &mut Reservation,
    relayable: bool,
) -> Result<bool, exchange::Error> {
    let limit = if relayable { WHOLE_MAX } else { BUFFERED_MAX };
    let mut length = 0;
    // What was reserved at first always suffices for one read.
    while length <= limit && held.set(length + READ_MAX) {
        let Some(part) = response.next().await else {
            held.set(length);
            return Ok(true);
        };
        let part = part?;
        length += part.len() as u64;
        parts.push_back(part);
    }
    held.set(length);
    if relayable {
        return Ok(false);
    }
    let limit = length as usize;
    Err(exchange::Error::TooLong { limit })
}

impl Incoming {
    /// Reads a successful plain response to its end, or as much of it as is held at once.
    pub async fn read_plain(mut self, job: &Job, held: &mut Reservation) -> Result<Plain, Failure> {
        let mut parts = VecDeque::new();
        let relayable = job.accepts_chunks || stated_length(&self.response).is_some();
        let read = read_parts(&mut self.response, &mut parts, held, relayable);
        let read = match self.attempt.await_response(job, read).await {
            None => Err(self.attempt.timeout_failure(job)),
            Some(Err(error)) => Err(self.attempt.exchange_failed(job, &error)),
            Some(Ok(is_whole)) => Ok(is_whole),
        };
        if read.is_err() {
            held.set(0);
        }
        let is_whole = read?;
        self.attempt.record_alive();
        self.attempt.first_event_received();
        self.attempt.record_answering();
        Ok(Plain {
            incoming: self,
            parts,
            is_whole,
        })
    }
}

impl Plain {
    /// The id of its replica.
    pub(super) fn replica(&self) -> &Arc<str> {
        &self.incoming.attempt.instance.id
    }

    /// Returns the response to the caller, and keeps `held` until it was handed over.
    pub fn answer(self, mut dispatch: Dispatch, mut held: Reservation) -> Answer {
        let head = self.incoming.head();
        let read: u64 = self.parts.iter().map(|part| part.len() as u64).sum();
        dispatch
            .gateway
            .record_response_size(&dispatch.job.route.name, read);
        if self.is_whole {
            self.incoming.attempt.record_complete();
            dispatch.gateway.record_success(&dispatch.job.subjects);
            dispatch.trace.set_outcome("whole");
            let mut body = BytesMut::with_capacity(read as usize);
            self.parts
                .iter()
                .for_each(|part| body.extend_from_slice(part));
            held.lower(read);
            return head.set_body(Holding::attach(body.freeze(), Some(held)));
        }
        let length = stated_length(&self.incoming.response);
        let relay = Relay {
            overtime: Overtime::new(dispatch.job.deadline, length.is_some()),
            dispatch,
            incoming: self.incoming,
            parts: self.parts,
            held,
            handed_over_at: None,
            was_unread: false,
        };
        let items: std::pin::Pin<Box<dyn Stream<Item = _>>> = Box::pin(relay.into_stream());
        head.set_body(match length {
            Some(length) => SizedStream::new(length, items).boxed(),
            None => BodyStream::new(items).boxed(),
        })
    }
}

/// A plain response that is read as its caller reads it.
struct Relay {
    dispatch: Dispatch,
    incoming: Incoming,
    /// What was read before the head was sent.
    parts: VecDeque<Bytes>,
    held: Reservation,
    /// When the last part was handed over.
    handed_over_at: Option<Time>,
    /// Whether the caller has left the response unread for [`UNREAD_MIN`].
    was_unread: bool,
    overtime: Overtime,
}

impl Relay {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(part)) => Some((Ok(part), Some(relay))),
                // The error closes the connection, so that the caller sees that the response is
                // incomplete.
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        })
    }

    fn now(&self) -> Time {
        self.dispatch.gateway.knowledge.now()
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        let now = self.now();
        if let Some(at) = self.handed_over_at.replace(now) {
            let unread = now.since(at);
            self.was_unread |= unread >= UNREAD_MIN;
            self.overtime.record_taken(now, unread);
        }
        let part = match self.parts.pop_front() {
            Some(part) => Some(Ok(part)),
            None => self.read().await,
        };
        self.handed_over_at = Some(self.now());
        let left = self.parts.iter().map(|part| part.len() as u64).sum();
        self.held.set(left);
        part
    }

    /// Reads the next part from the replica.
    async fn read(&mut self) -> Option<Result<Bytes, io::Error>> {
        let clock = self.dispatch.gateway.knowledge.clock;
        let remaining = self.dispatch.job.remaining(clock.now());
        let limit = remaining.max(SILENCE_MAX);
        let next = timeout::within(|| clock.now(), limit, self.incoming.response.next());
        match next.await {
            Some(Some(Ok(_))) if self.overtime.is_over(clock.now()) => {
                let detail = "the response goes on long after its deadline".to_owned();
                Some(Err(self.fail(detail, Signal::TimedOut)))
            }
            Some(Some(Ok(part))) => {
                self.dispatch.trace.record_received();
                Some(Ok(part))
            }
            Some(None) => {
                self.incoming.attempt.record_complete();
                let gateway = &self.dispatch.gateway;
                gateway.record_success(&self.dispatch.job.subjects);
                self.dispatch.trace.set_outcome("whole");
                None
            }
            Some(Some(Err(error))) => {
                Some(Err(self.fail(error.to_string(), attempt::signal(&error))))
            }
            None => Some(Err(
                self.fail("the replica is silent".to_owned(), Signal::TimedOut)
            )),
        }
    }

    /// Records that the response broke off. It isn't replaced by another one.
    fn fail(&mut self, detail: String, signal: Signal) -> io::Error {
        let attempt = &self.incoming.attempt;
        let failure = if self.was_unread {
            attempt.broken_unread(&self.dispatch.job, detail)
        } else {
            attempt.broken(&self.dispatch.job, detail, signal)
        };
        self.dispatch.trace.reason = failure.detail;
        self.dispatch.trace.set_outcome("broken_midway");
        io::ErrorKind::ConnectionAborted.into()
    }
}
