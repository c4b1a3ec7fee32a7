//! Passes a stream on, event by event, and takes it up at another replica when it breaks.

use std::io;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody};
use bytes::Bytes;
use futures_util::{Stream, stream};

use super::attempt::{self, Attempt, Begun};
use super::course::Course;
use super::event::Cutter;
use super::reader::Reader;
use crate::clock::Time;
use crate::http::Answer;
use crate::route::health::Signal;
use crate::timeout;

/// A stream without an event for so long is taken up elsewhere, if it may be.
const SILENCE: Duration = Duration::from_millis(1_500);

/// What a step of a stream brought.
enum Step {
    /// Whole events.
    Events(Bytes),
    /// Part of an event.
    Part,
    /// The end.
    End,
    /// A break, and what it says about the replica.
    Broken(String, Signal),
    /// The request's time is over.
    Late,
}

fn broken(detail: &str) -> Step {
    Step::Broken(detail.to_owned(), Signal::Broken)
}

/// A stream on its way to the caller. Dropping it closes the connection to the replica.
pub struct Relay {
    course: Course,
    attempt: Attempt,
    response: Reader,
    cutter: Cutter,
    head: Option<actix_http::Response<()>>,
    last_event_at: Option<Time>,
}

impl Relay {
    /// Passes on what began.
    pub fn new(mut course: Course, begun: Begun) -> Self {
        let head = begun.head();
        let Begun {
            attempt,
            response,
            version,
        } = begun;
        course.only = version;
        Self {
            cutter: Cutter::after(course.job.ask.last_event),
            course,
            attempt,
            response,
            head: Some(head),
            last_event_at: None,
        }
    }

    /// The answer to the caller. It keeps the head of its first replica, whatever follows.
    pub fn answer(mut self) -> Answer {
        let head = self
            .head
            .take()
            .unwrap_or_else(|| actix_http::Response::with_body(self.response.status, ()));
        let body = BodyStream::new(Box::pin(self.into_stream()));
        head.set_body(body.boxed())
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(events)) => Some((Ok(events), Some(relay))),
                // The connection breaks, so that the caller sees that this is not the whole.
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            match self.step().await {
                Step::Part => {}
                Step::Events(events) => {
                    self.note_events();
                    return Some(Ok(events));
                }
                Step::End => {
                    self.attempt.count_whole();
                    self.course.gateway.came_good(self.course.job.name);
                    self.course.trace.ended("whole");
                    return None;
                }
                Step::Late => {
                    self.course.trace.ended("late_midway");
                    let detail = format!("its time was over after {} events", self.cutter.passed());
                    self.course.trace.reason = detail;
                    return Some(Err(io::ErrorKind::TimedOut.into()));
                }
                Step::Broken(detail, sign) => {
                    if !self.resume(detail, sign).await {
                        self.course.trace.ended("broken_midway");
                        return Some(Err(io::ErrorKind::ConnectionAborted.into()));
                    }
                }
            }
        }
    }

    fn note_events(&mut self) {
        let now = self.course.gateway.knowledge.now();
        if let Some(last) = self.last_event_at.replace(now) {
            let trace = &mut self.course.trace;
            trace.gap = trace.gap.max(now.since(last));
        }
        self.note_first();
    }

    fn note_first(&mut self) {
        self.attempt.started();
        if self.course.trace.first.is_some() {
            return;
        }
        let first = self.course.trace.elapsed();
        self.course.trace.first = Some(first);
        self.course.gateway.instruments.first(first);
        self.attempt.note(Signal::Success(self.attempt.elapsed()));
    }

    async fn step(&mut self) -> Step {
        let now = self.course.gateway.knowledge.now();
        let remaining = self.course.job.remaining(now);
        let may_move = self.course.may_move();
        let patience = if may_move {
            remaining.min(SILENCE)
        } else {
            remaining
        };
        // What nobody else may take up is waited for.
        self.response.set_guarded(may_move);
        let clock = self.course.gateway.knowledge.clock;
        match timeout::within(|| clock.now(), patience, self.response.next()).await {
            Some(Some(Ok(bytes))) => match self.cutter.push(bytes) {
                Ok(events) if events.is_empty() => Step::Part,
                Ok(events) => Step::Events(events),
                Err(error) => Step::Broken(error.to_string(), Signal::Broken),
            },
            Some(Some(Err(error))) => Step::Broken(error.to_string(), attempt::sign(&error)),
            Some(None) if self.cutter.midway() => broken("it ended inside an event"),
            Some(None) => Step::End,
            None if patience == remaining => Step::Late,
            None => Step::Broken("the replica is silent".to_owned(), Signal::TimedOut),
        }
    }

    /// Takes the stream up at another replica, after the last whole event.
    async fn resume(&mut self, detail: String, sign: Signal) -> bool {
        let passed = self.cutter.passed();
        let detail = format!("{detail} after {passed} events");
        let mut failure = self.attempt.broken(&self.course.job, detail, sign);
        loop {
            if !self.course.may_resume(failure) {
                return false;
            }
            let choice = match self.course.choose(&[]).0 {
                Ok(choice) => choice,
                Err(shortage) => {
                    self.course.trace.reason =
                        format!("{}; not taken up: {shortage}", self.course.trace.reason);
                    return false;
                }
            };
            if !self.course.free() {
                self.course.trace.reason = self.course.barred().detail;
                return false;
            }
            let last = self.cutter.last();
            match self.course.attempt(choice, last).await {
                Ok(begun) => {
                    self.cutter.restart();
                    self.attempt = begun.attempt;
                    self.response = begun.response;
                    self.course.only = self.course.only.or(begun.version);
                    log::info!(
                        request = self.course.job.ask.id.as_str(),
                        replica = &*self.attempt.instance.id,
                        last_event:? = last;
                        "stream taken up"
                    );
                    return true;
                }
                Err(next) => failure = next,
            }
        }
    }
}
