//! Forwards a stream event by event, and has another replica resume it when its own is silent or
//! breaks off.
//!
//! A silent replica may be gone, or may only have paused. So it is read on until another one has
//! delivered the next event; whichever is first goes on.
//!
//! A task reads the stream ahead of its caller, as far as memory allows: replicas cut off what
//! stays unread for about a second.

use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody};
use actix_http::{Response as HttpResponse, StatusCode};
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};

use super::attempt::{self, Attempt, Failure, Incoming, Sending};
use super::dispatch::{Dispatch, NoSuccessor};
use super::event::Splitter;
use super::lead::{Lead, Outlet};
use super::race::{self, RECHECK_INTERVAL};
use super::reader::Reader;
use crate::clock::Time;
use crate::exchange;
use crate::http::Answer;
use crate::limit::memory::{READ_MAX, Reservation, UNREAD_MIN, Verdict};
use crate::route::health::Signal;
use crate::route::pool::Choice;
use crate::timeout;

/// Time without data after which another replica is asked to resume a stream, if that is allowed.
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
    /// The attempt failed, and this is what it says about the replica's health.
    Broken(String, Signal),
    /// The current replica is silent. Recording that raises the alarm.
    Silent,
    /// Another replica is to be asked: an alarm was raised, or a search failed some time ago.
    Due,
    /// The search for another replica has ended.
    Found(Result<Choice, NoSuccessor>),
    /// Another replica has begun to answer, or failed.
    Successor(Box<Result<Resumed, Failure>>),
    /// The request's deadline has passed.
    Expired,
}

/// What was waited for. The parts of a response are handled once nothing borrows the relay any more.
enum Event {
    /// The next part of the current attempt's response.
    Received(Option<Result<Bytes, exchange::Error>>),
    /// Anything else.
    Other(Step),
}

fn broken(detail: &str) -> Step {
    Step::Broken(detail.to_owned(), Signal::Broken)
}

/// The attempt that delivers the stream at present.
struct Current {
    attempt: Attempt,
    response: Reader,
}

/// A stream that another replica has resumed, with the first events that came of it.
struct Resumed {
    current: Current,
    version: Option<u64>,
    splitter: Splitter,
    events: Bytes,
}

/// Has another replica resume a stream. `splitter` has seen what was forwarded. Completes when
/// something to forward has arrived, or as much of an event as is read at once.
async fn resume(sending: Sending, mut splitter: Splitter) -> Result<Resumed, Failure> {
    let job = sending.job.clone();
    let Incoming {
        attempt,
        mut response,
        version,
    } = sending.run().await?;
    let mut events = Bytes::new();
    while events.is_empty() && splitter.partial_bytes() < READ_MAX {
        let next = attempt.await_response(&job, response.next()).await;
        let error = match next {
            Some(Some(Ok(bytes))) => {
                attempt.record_alive();
                match splitter.push(bytes) {
                    Ok(complete) => {
                        events = complete;
                        continue;
                    }
                    Err(error) => (error.to_string(), Signal::Broken),
                }
            }
            Some(None) if splitter.is_partial() => (
                "the stream ended inside an event".to_owned(),
                Signal::Broken,
            ),
            // The replica may have cut it off, and another one may still go on.
            Some(None) if response.is_unframed() => (
                "the stream ended without an event".to_owned(),
                Signal::Broken,
            ),
            // Nothing was missing but the end.
            Some(None) => break,
            Some(Some(Err(error))) => (error.to_string(), attempt::signal(&error)),
            None => return Err(attempt.timeout_failure(&job)),
        };
        return Err(attempt.broken(&job, error.0, error.1));
    }
    Ok(Resumed {
        current: Current { attempt, response },
        version,
        splitter,
        events,
    })
}

/// A stream on its way to the caller. Dropping it closes the connections to the replicas.
pub struct Relay {
    dispatch: Dispatch,
    /// The attempt that delivers the stream; none after that broke.
    current: Option<Current>,
    /// Attempts at other replicas to resume it, which run while the current one is silent or
    /// broken.
    successors: FuturesUnordered<LocalBoxFuture<'static, Result<Resumed, Failure>>>,
    /// Whether another replica is being looked for.
    searching: bool,
    /// When another replica is looked for again, after a search that found none.
    recheck_at: Option<Time>,
    splitter: Splitter,
    head: Option<HttpResponse<()>>,
    last_event_at: Option<Time>,
    /// Since when the replica has sent nothing, although its stream was read.
    quiet_since: Time,
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
            quiet_since: dispatch.gateway.knowledge.now(),
            dispatch,
            current: Some(Current { attempt, response }),
            successors: FuturesUnordered::new(),
            searching: false,
            recheck_at: None,
            head: Some(head),
            last_event_at: None,
            lead: Rc::new(Lead::new(held)),
            was_unread: false,
        }
    }

    /// Returns the response to the caller. Its head is that of the first replica, even if the
    /// stream is resumed at another.
    pub fn answer(mut self) -> Answer {
        let head = self.head.take();
        let head = head.unwrap_or_else(|| HttpResponse::with_body(StatusCode::OK, ()));
        let lead = self.lead.clone();
        let task = actix_rt::spawn(self.read_ahead());
        let body = BodyStream::new(Outlet::new(lead, task));
        head.set_body(body.boxed())
    }

    fn now(&self) -> Time {
        self.dispatch.gateway.knowledge.now()
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
        let began = self.now();
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
            let now = self.now();
            self.was_unread |= now.since(began) >= UNREAD_MIN;
            self.quiet_since = now;
            if let Some(current) = &mut self.current {
                current.response.mark_resumed();
            }
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
                    if let Some(current) = &self.current {
                        current.attempt.record_complete();
                    }
                    let gateway = &self.dispatch.gateway;
                    gateway.record_success(&self.dispatch.job.subjects);
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
                Step::Silent => {
                    if let Some(current) = &self.current {
                        current.attempt.record_silent(&self.dispatch.job);
                    }
                }
                Step::Due => {
                    self.searching = true;
                    self.recheck_at = None;
                }
                Step::Broken(detail, signal) => self.record_break(detail, signal).await,
                Step::Successor(ended) => match *ended {
                    Ok(resumed) => {
                        let events = self.adopt(resumed);
                        if !events.is_empty() {
                            self.record_events();
                            return Some(Ok(events));
                        }
                    }
                    Err(failure) => {
                        self.dispatch.record_failure_of_one(failure);
                        self.searching = true;
                    }
                },
                Step::Found(found) => self.begin_successor(found),
            }
            if !self.is_alive() {
                self.dispatch.trace.set_outcome("broken_midway");
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
    }

    /// Whether the stream may still go on.
    fn is_alive(&self) -> bool {
        self.current.is_some() || self.searching || !self.successors.is_empty()
    }

    /// Records that the current attempt broke, so that another replica is looked for.
    async fn record_break(&mut self, detail: String, signal: Signal) {
        let Some(current) = self.current.take() else {
            return;
        };
        let passed = self.splitter.forwarded();
        let detail = format!("{detail} after {passed} events");
        let failure = if self.was_unread {
            current.attempt.broken_unread(&self.dispatch.job, detail)
        } else {
            current.attempt.broken(&self.dispatch.job, detail, signal)
        };
        self.dispatch.record_failure_of_one(failure);
        drop(current);
        if self.was_unread {
            // Another replica would cut the stream off as well while its caller does not read.
            self.lead.drained().await;
        }
        // An attempt that was begun while this one was silent goes on alone.
        self.searching = self.successors.is_empty();
    }

    /// Has the chosen replica resume the stream, after the last complete event.
    fn begin_successor(&mut self, found: Result<Choice, NoSuccessor>) {
        self.searching = false;
        let begun = match found {
            Ok(choice) => self.dispatch.begin(choice, self.splitter.last()),
            Err(none) if self.current.is_none() && self.successors.is_empty() => {
                let reason = &mut self.dispatch.trace.reason;
                *reason = format!("{reason}; not resumed: {none}");
                return;
            }
            Err(_) => {
                let may_follow = self.dispatch.can_fail_over();
                self.recheck_at = may_follow.then(|| self.now() + RECHECK_INTERVAL);
                return;
            }
        };
        match begun {
            Ok(sending) => {
                let splitter = Splitter::after(self.splitter.last());
                let successor = resume(sending, splitter);
                self.successors.push(successor.boxed_local());
            }
            Err(failure) => {
                self.dispatch.record_failure_of_one(failure);
                self.searching = true;
            }
        }
    }

    /// Forwards the stream of another replica from now on. Returns its first events.
    fn adopt(&mut self, resumed: Resumed) -> Bytes {
        let last = self.splitter.last();
        let Resumed {
            current,
            version,
            splitter,
            events,
        } = resumed;
        log::info!(
            request = self.dispatch.job.meta.id.as_str(),
            replica = &*current.attempt.instance.id,
            last_event:? = last;
            "stream resumed"
        );
        self.dispatch.record_answering(&current.attempt.instance.id);
        self.dispatch.pinned_version = self.dispatch.pinned_version.or(version);
        self.splitter.resume(splitter);
        self.lead.set_partial(self.splitter.partial_bytes());
        self.current = Some(current);
        self.was_unread = false;
        self.end_race();
        events
    }

    /// Ends the attempts at other replicas: the current one delivers the stream.
    fn end_race(&mut self) {
        if let Some(current) = &self.current {
            self.dispatch.trace.replica = Some(current.attempt.instance.id.clone());
        }
        self.quiet_since = self.now();
        self.searching = false;
        self.recheck_at = None;
        self.successors.clear();
        self.dispatch.return_retry();
        self.dispatch.alarm.clear();
    }

    fn record_events(&mut self) {
        let now = self.now();
        if let Some(last) = self.last_event_at.replace(now) {
            let trace = &mut self.dispatch.trace;
            trace.gap = trace.gap.max(now.since(last));
        }
        self.record_first_event();
    }

    fn record_first_event(&mut self) {
        let Some(Current { attempt, .. }) = &self.current else {
            return;
        };
        attempt.first_event_received();
        if self.dispatch.trace.first.is_some() {
            return;
        }
        let first = self.dispatch.trace.elapsed();
        self.dispatch.trace.first = Some(first);
        self.dispatch.gateway.instruments.record_first_event(first);
        attempt.record_answering();
    }

    /// Waits for the next bytes of the current attempt, its silence, the result of an attempt at
    /// another replica or of the search for one, or the deadline.
    async fn step(&mut self) -> Step {
        let now = self.now();
        let remaining = self.dispatch.job.remaining(now);
        let quiet = (self.quiet_since + SILENCE_MAX).since(now);
        let recheck = self.recheck_at.map(|at| at.since(now));
        let clock = self.dispatch.gateway.knowledge.clock;
        let alarm = self.dispatch.alarm.clone();
        let Self {
            dispatch,
            current,
            successors,
            searching,
            ..
        } = self;
        // Without a current attempt, only the successors are awaited.
        let silence_known = current
            .as_ref()
            .is_none_or(|current| current.attempt.is_silent());
        let received = async {
            match current {
                Some(current) => Event::Received(current.response.next().await),
                None => pending().await,
            }
        };
        let successor = async {
            match successors.next().await {
                Some(ended) => Event::Other(Step::Successor(Box::new(ended))),
                None => pending().await,
            }
        };
        let search = async {
            if *searching {
                return Event::Other(Step::Found(dispatch.find_resuming().await));
            }
            race::either(alarm.raised(), race::after(recheck)).await;
            Event::Other(Step::Due)
        };
        let silence = async {
            race::after((!silence_known).then_some(quiet)).await;
            Event::Other(Step::Silent)
        };
        let event = race::either(
            race::either(received, successor),
            race::either(search, silence),
        );
        match timeout::within(|| clock.now(), remaining, event).await {
            Some(Event::Received(part)) => self.received(part),
            Some(Event::Other(step)) => step,
            None => Step::Expired,
        }
    }

    fn is_expired(&self) -> bool {
        self.dispatch.job.remaining(self.now()).is_zero()
    }

    /// Handles what the current attempt has sent.
    fn received(&mut self, part: Option<Result<Bytes, exchange::Error>>) -> Step {
        let Some(Current { attempt, .. }) = &self.current else {
            return Step::Part;
        };
        match part {
            Some(Ok(bytes)) => {
                attempt.record_alive();
                self.dispatch.trace.record_received();
                self.quiet_since = self.dispatch.gateway.knowledge.now();
                match self.splitter.push(bytes) {
                    // Without an event, bytes that keep coming do not extend the deadline.
                    Ok(events) if events.is_empty() && self.is_expired() => Step::Expired,
                    Ok(events) if events.is_empty() => Step::Part,
                    Ok(events) => {
                        self.end_race();
                        Step::Events(events)
                    }
                    Err(error) => Step::Broken(error.to_string(), Signal::Broken),
                }
            }
            Some(Err(error)) => Step::Broken(error.to_string(), attempt::signal(&error)),
            None if self.splitter.is_partial() => broken("the stream ended inside an event"),
            None => Step::End,
        }
    }
}
