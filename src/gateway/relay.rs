//! Forwards a stream event by event, and resumes it at another replica when it breaks.
//!
//! A task reads the stream ahead of its caller, as far as memory allows: replicas cut off what
//! stays unread for about a second.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody};
use actix_rt::time::timeout;
use bytes::Bytes;

use super::attempt::{self, Attempt, Failure, Incoming};
use super::dispatch::Dispatch;
use super::event::Splitter;
use super::lead::{Lead, Outlet};
use super::reader::Reader;
use crate::clock::Time;
use crate::http::Answer;
use crate::limit::memory::{READ_MAX, Reservation, UNREAD_MIN, Verdict};
use crate::request::attempt::Ended;
use crate::route::health::Signal;
use crate::timeout;

/// Time without data after which a stream is resumed at another replica, if that is allowed.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// Interval at which a paused stream is checked for memory that others have returned. Its caller
/// has events to read meanwhile.
const PAUSE_RECHECK: Duration = Duration::from_millis(100);

/// What a step of a stream brought.
enum Step {
    /// Complete events.
    Events(Bytes),
    /// Part of an event.
    Part,
    /// The end of the stream.
    End,
    /// A failure, and what it says about the replica's health.
    Broken(String, Signal),
    /// The request's deadline has passed.
    Expired,
}

fn broken(detail: &str) -> Step {
    Step::Broken(detail.to_owned(), Signal::Broken)
}

/// A stream on its way to the caller. Dropping it closes the connection to the replica.
pub struct Relay {
    dispatch: Dispatch,
    attempt: Attempt,
    response: Reader,
    splitter: Splitter,
    head: Option<actix_http::Response<()>>,
    last_event_at: Option<Time>,
    /// What was read and is not with the caller's connection yet.
    lead: Rc<Lead>,
    /// Whether the caller has left the response of this attempt unread for [`UNREAD_MIN`].
    was_unread: bool,
}

impl Relay {
    /// A relay of the response that has started, which may hold the memory `held`.
    pub fn new(mut dispatch: Dispatch, incoming: Incoming, held: Reservation) -> Self {
        let head = incoming.head();
        let Incoming {
            attempt,
            response,
            version,
        } = incoming;
        dispatch.pinned_version = version;
        Self {
            splitter: Splitter::after(dispatch.job.meta.last_event),
            dispatch,
            attempt,
            response,
            head: Some(head),
            last_event_at: None,
            lead: Rc::new(Lead::new(held)),
            was_unread: false,
        }
    }

    /// Returns the response to the caller. Its head is that of the first replica, even if the
    /// stream is resumed at another.
    pub fn answer(mut self) -> Answer {
        let head = self
            .head
            .take()
            .unwrap_or_else(|| actix_http::Response::with_body(self.response.status, ()));
        let lead = self.lead.clone();
        let task = actix_rt::spawn(self.read_ahead());
        let body = BodyStream::new(Outlet::new(lead, task));
        head.set_body(body.boxed())
    }

    /// Reads the stream to its end, ahead of its caller.
    async fn read_ahead(mut self) {
        let lead = self.lead.clone();
        loop {
            self.wait_for_room().await;
            match self.next().await {
                Some(Ok(events)) => lead.push(events, self.splitter.partial_bytes()),
                ended => {
                    let error = ended.and_then(Result::err);
                    self.lead.drained().await;
                    let (gateway, route) = (&self.dispatch.gateway, &self.dispatch.job.route);
                    gateway.record_response_size(&route.name, lead.peak());
                    if error.is_none() {
                        self.dispatch.trace.set_outcome("whole");
                    }
                    return lead.end(error);
                }
            }
        }
    }

    /// Waits until the next bytes may be read from the replica: at once while the caller keeps up.
    async fn wait_for_room(&mut self) {
        let began = self.dispatch.gateway.knowledge.now();
        let mut counted = false;
        while let Some(verdict) = self.lead.hindrance(READ_MAX) {
            if verdict == Verdict::Paused {
                if !std::mem::replace(&mut counted, true) {
                    self.dispatch.gateway.instruments.count_paused();
                }
                let _ = timeout(PAUSE_RECHECK, self.lead.taken()).await;
            } else {
                self.lead.taken().await;
            }
            let waited = self.dispatch.gateway.knowledge.now().since(began);
            self.was_unread |= waited >= UNREAD_MIN;
            self.response.mark_resumed();
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            match self.step().await {
                Step::Part => {
                    self.lead.set_partial(self.splitter.partial_bytes());
                    self.wait_for_room().await;
                }
                Step::Events(events) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                Step::End => {
                    self.attempt.record_complete();
                    self.dispatch
                        .gateway
                        .record_success(&self.dispatch.job.subjects);
                    return None;
                }
                Step::Expired => {
                    self.dispatch.trace.set_outcome("late_midway");
                    let detail = format!(
                        "the deadline passed after {} events",
                        self.splitter.forwarded()
                    );
                    self.dispatch.trace.reason = detail;
                    return Some(Err(io::ErrorKind::TimedOut.into()));
                }
                Step::Broken(detail, signal) => {
                    if !self.resume(detail, signal).await {
                        self.dispatch.trace.set_outcome("broken_midway");
                        return Some(Err(io::ErrorKind::ConnectionAborted.into()));
                    }
                }
            }
        }
    }

    fn record_events(&mut self) {
        self.attempt.record_alive();
        let now = self.dispatch.gateway.knowledge.now();
        if let Some(last) = self.last_event_at.replace(now) {
            let trace = &mut self.dispatch.trace;
            trace.gap = trace.gap.max(now.since(last));
        }
        self.record_first_event();
    }

    fn record_first_event(&mut self) {
        self.attempt.first_event_received();
        if self.dispatch.trace.first.is_some() {
            return;
        }
        let first = self.dispatch.trace.elapsed();
        self.dispatch.trace.first = Some(first);
        self.dispatch.gateway.instruments.record_first_event(first);
        self.attempt
            .record_health(Signal::Success(self.attempt.elapsed()));
    }

    async fn step(&mut self) -> Step {
        let now = self.dispatch.gateway.knowledge.now();
        let remaining = self.dispatch.job.remaining(now);
        let can_fail_over = self.dispatch.can_fail_over();
        let time_limit = if can_fail_over {
            remaining.min(SILENCE_MAX)
        } else {
            remaining
        };
        // A stream that cannot fail over waits even on a silent connection.
        self.response.set_guarded(can_fail_over);
        let clock = self.dispatch.gateway.knowledge.clock;
        match timeout::within(|| clock.now(), time_limit, self.response.next()).await {
            Some(Some(Ok(bytes))) => {
                self.dispatch.trace.record_received();
                match self.splitter.push(bytes) {
                    Ok(events) if events.is_empty() => Step::Part,
                    Ok(events) => Step::Events(events),
                    Err(error) => Step::Broken(error.to_string(), Signal::Broken),
                }
            }
            Some(Some(Err(error))) => Step::Broken(error.to_string(), attempt::signal(&error)),
            Some(None) if self.splitter.is_partial() => broken("the stream ended inside an event"),
            Some(None) if self.ended_by_crash().await => {
                broken("the stream ended with its replica")
            }
            Some(None) => Step::End,
            None if time_limit == remaining => Step::Expired,
            None => Step::Broken("the replica is silent".to_owned(), Signal::TimedOut),
        }
    }

    /// Whether the stream, which may look complete, ended because its replica crashed.
    async fn ended_by_crash(&self) -> bool {
        self.response.ends_with_connection() && self.attempt.has_crashed().await
    }

    /// Resumes the stream at another replica, after the last complete event.
    async fn resume(&mut self, detail: String, signal: Signal) -> bool {
        let passed = self.splitter.forwarded();
        let detail = format!("{detail} after {passed} events");
        let mut failure = if self.was_unread {
            self.attempt.broken_unread(&self.dispatch.job, detail)
        } else {
            self.attempt.broken(&self.dispatch.job, detail, signal)
        };
        if self.was_unread {
            // Another replica would cut the stream off as well while its caller does not read.
            self.lead.drained().await;
        }
        loop {
            if !self.dispatch.may_resume(failure) {
                return false;
            }
            let choice = match self.dispatch.choose(&[]).0 {
                Ok(choice) => choice,
                Err(unavailable) => {
                    self.dispatch.trace.reason =
                        format!("{}; not resumed: {unavailable}", self.dispatch.trace.reason);
                    return false;
                }
            };
            if !self.dispatch.is_allowed() {
                self.dispatch.trace.reason = self.dispatch.blocked_refusal().detail;
                return false;
            }
            if let Err(wait) = self.dispatch.take_grant(choice.key, false).await {
                self.dispatch.mark_quota_used(choice.key, wait);
                failure = Failure::new(Ended::NotSent, "the replica's quota is used up");
                continue;
            }
            let last = self.splitter.last();
            match self.dispatch.attempt(choice, last).await {
                Ok(incoming) => {
                    self.splitter.discard_partial();
                    self.lead.set_partial(0);
                    self.was_unread = false;
                    self.attempt = incoming.attempt;
                    self.response = incoming.response;
                    self.dispatch.pinned_version =
                        self.dispatch.pinned_version.or(incoming.version);
                    log::info!(
                        request = self.dispatch.job.meta.id.as_str(),
                        replica = &*self.attempt.instance.id,
                        last_event:? = last;
                        "stream resumed"
                    );
                    return true;
                }
                Err(next) => failure = next,
            }
        }
    }
}
