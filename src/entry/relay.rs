//! Relays a token stream to the caller, and resumes it when it is interrupted.

use std::future::pending;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, Stream, StreamExt, stream};

use super::attempt::{self, Attempt, choose, send, sign};
use super::call::{BUFFERED_MAX, CONTROL_TIMEOUT, Dispatch};
use super::caller::{Body, Code, Failure};
use super::event::Reader;
use crate::exchange::{self, Response};
use crate::http::{self, Answer};
use crate::request::{Interruption, Next, Outcome};
use crate::route::{ReplicaKey, Resource};

/// How long the targets that were asked to resume a response may be silent before another one is
/// asked as well.
const RESUME_SILENCE_MAX: Duration = Duration::from_secs(2);

/// A token stream being relayed to the caller.
pub(super) struct Relay {
    dispatch: Dispatch,
    response: Response,
    attempt: Option<Attempt>,
    reader: Reader,
    served_by: Arc<str>,
    finished: bool,
    aborting: bool,
}

/// The response was interrupted and cannot be resumed.
struct Interrupted;

impl Relay {
    pub(super) fn new(dispatch: Dispatch, response: Response, attempt: Attempt) -> Self {
        let served_by = dispatch
            .entry
            .table
            .borrow()
            .get(attempt.replica)
            .map_or_else(|| "".into(), |replica| replica.name.clone());
        Self {
            dispatch,
            response,
            attempt: Some(attempt),
            reader: Reader::default(),
            served_by,
            finished: false,
            aborting: false,
        }
    }

    /// Returns the next complete events, or `None` at the end of the response.
    async fn next_events(&mut self) -> Option<Result<Bytes, Interrupted>> {
        loop {
            if self.reader.is_done() {
                self.finish();
                return None;
            }
            let remaining = self.dispatch.job.remaining(&self.dispatch.entry);
            let part = actix_rt::time::timeout(remaining, self.response.next()).await;
            let pushed = match part {
                Ok(Some(Ok(part))) => self.reader.push(&part).ok(),
                _ => None,
            };
            match pushed {
                Some(events) if events.is_empty() => {}
                Some(events) => return Some(Ok(events)),
                None if self.resume().await => {}
                None => {
                    self.dispatch.guard.set_outcome(Outcome::Unknown);
                    return Some(Err(Interrupted));
                }
            }
        }
    }

    fn finish(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.succeed();
        }
        self.dispatch.guard.set_outcome(Outcome::Ran);
        self.finished = true;
    }

    /// Resumes an interrupted response after its last complete token: at the same target, or, if the
    /// request is repeatable, by running it again on another target with the same version. A silent
    /// target may go on, so it is awaited while another one is asked, and the first response counts.
    async fn resume(&mut self) -> bool {
        self.reader.restart();
        let mut same_target = self.attempt.as_mut().map(|attempt| {
            attempt.fail();
            attempt.replica
        });
        let mut attempts = FuturesUnordered::new();
        loop {
            let next = self.next_attempt(same_target.take());
            let may_ask_more = next.is_some();
            attempts.extend(next);
            if attempts.is_empty() {
                return false;
            }
            let silence = async {
                match may_ask_more {
                    true => actix_rt::time::sleep(RESUME_SILENCE_MAX).await,
                    false => pending().await,
                }
            };
            if let Either::Left((Some((attempt, Ok(response))), _)) =
                select(attempts.next(), pin!(silence)).await
            {
                self.response = response;
                self.attempt = Some(attempt);
                return true;
            }
        }
    }

    /// Begins an attempt to resume the response at `same_target`, where it was interrupted, or else
    /// at another target, if the request may be sent to one.
    fn next_attempt(
        &mut self,
        same_target: Option<ReplicaKey>,
    ) -> Option<LocalBoxFuture<'static, (Attempt, Result<Response, attempt::Error>)>> {
        let elsewhere = same_target.is_none();
        if elsewhere && !self.dispatch.job.repeatable {
            return None;
        }
        let begun = self.reader.next_token() > 0;
        if self.dispatch.decide(Interruption::MidAnswer, begun) != Next::Resume {
            return None;
        }
        self.dispatch.attempts += 1;
        let target = same_target.or_else(|| self.choose_other())?;
        self.dispatch.tried.push(target);
        let entry = self.dispatch.entry.clone();
        let job = self.dispatch.job.clone();
        let attempt = Attempt::begin(&entry, target);
        // The same target continues the stream. Another target runs the request from the start,
        // and the reader drops the tokens that were already forwarded.
        let resume_at = (!elsewhere).then(|| self.reader.next_token());
        let sent = async move { (attempt, send(&entry, &job, target, resume_at).await) };
        Some(sent.boxed_local())
    }

    fn choose_other(&self) -> Option<ReplicaKey> {
        choose(
            &self.dispatch.entry,
            &self.dispatch.job,
            &self.dispatch.tried,
        )
    }

    fn add_headers(&self, mut answer: Answer) -> Answer {
        if let Ok(value) = HeaderValue::from_str(&self.served_by) {
            let name = HeaderName::from_static("x-pumicelatch-box");
            answer.headers_mut().insert(name, value);
        }
        if let Resource::Version(digest) = &self.dispatch.job.resource
            && let Ok(value) = HeaderValue::from_str(&digest.to_string())
        {
            answer
                .headers_mut()
                .insert(HeaderName::from_static("x-pumicelatch-version"), value);
        }
        answer
    }

    pub(super) fn streamed(self) -> Answer {
        let mut answer = self.add_headers(http::status(StatusCode::OK));
        let body = http::stream(StatusCode::OK, "text/event-stream", self.into_stream());
        let headers = std::mem::replace(answer.headers_mut(), body.headers().clone());
        let mut answer = body;
        for (name, value) in headers {
            answer.headers_mut().insert(name, value);
        }
        answer
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            if relay.aborting {
                return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
            }
            match relay.next_events().await? {
                Ok(events) => Some((Ok(events), Some(relay))),
                // The caller must not take the response for complete: send an error event, then
                // abort the connection instead of ending the body.
                Err(Interrupted) => {
                    relay.aborting = true;
                    Some((Ok(error_event()), Some(relay)))
                }
            }
        })
    }

    pub(super) async fn buffered(mut self) -> Answer {
        let mut all = BytesMut::new();
        while let Some(step) = self.next_events().await {
            match step {
                Ok(events) if all.len() + events.len() <= BUFFERED_MAX => {
                    all.extend_from_slice(&events);
                }
                _ => {
                    return interrupted().answer();
                }
            }
        }
        let tokens: Vec<serde_json::Value> = events_json(&all);
        let body = serde_json::json!({ "tokens": tokens });
        self.add_headers(http::json(StatusCode::OK, &body))
    }
}

/// The failure reported for a response that was interrupted or is too long to buffer.
pub(super) fn interrupted() -> Failure {
    Failure::not_run(Code::AnswerBroken, "the answer broke off").with_outcome(Outcome::Unknown)
}

/// The event that tells the caller that the response is incomplete.
fn error_event() -> Bytes {
    let body = Body {
        error: interrupted(),
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    format!("event: error\ndata: {text}\n\n").into()
}

/// Parses the data of all events. The final `[DONE]` is not JSON and is skipped.
fn events_json(events: &[u8]) -> Vec<serde_json::Value> {
    String::from_utf8_lossy(events)
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data:")?.trim()).ok())
        .collect()
}

impl Drop for Relay {
    /// Cancels the request at the target if the response was not relayed to its end, for instance
    /// because the caller disconnected.
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let Some(attempt) = &self.attempt else {
            return;
        };
        let entry = self.dispatch.entry.clone();
        let Some(address) = entry
            .table
            .borrow()
            .get(attempt.replica)
            .map(|replica| replica.address)
        else {
            return;
        };
        let path = format!("/v1/cancel/{}", self.dispatch.job.id);
        actix_rt::spawn(async move {
            let mut request = exchange::Request::new(Method::POST, path);
            sign(&entry, &mut request);
            let sent = entry.node.exchange.send(address, &request);
            let _ = actix_rt::time::timeout(CONTROL_TIMEOUT, sent).await;
        });
    }
}
