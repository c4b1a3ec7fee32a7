//! Tracks the requests of a server and drives a planned stop: admits requests, counts them by outcome,
//! and returns when the process may exit.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::body::MessageBody;
use actix_rt::time::sleep;
use futures_util::future::{Either, select};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use tokio::sync::watch;

use super::{Decision, Kind, Phase, Setting, Stop};
use crate::clock::Clock;
use crate::http::observed::{Observed, Observer};
use crate::http::{Answer, Server};
use crate::request::Outcome;

/// How often a stopping process advances its stop: a quarter of the flush period.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after which a refused caller should retry. It is short because other processes accept the
/// request at once, and know of the stop.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Requests that arrived during a stop, by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Answered completely.
    pub served: u64,
    /// Refused as not run, for a reason other than the stop.
    pub refused: u64,
    /// Refused as not run because of the stop.
    pub stopped: u64,
    /// With an incomplete answer or an unknown outcome.
    pub cut: u64,
}

/// How a request ended, as counted during a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completion {
    Served,
    Refused,
    Stopped,
    Cut,
}

/// Admits and counts requests. It is confined to one thread.
#[derive(Debug)]
pub struct Tracker {
    clock: Clock,
    stop: RefCell<Stop>,
    phase: watch::Sender<Phase>,
    counts: Cell<Counts>,
    /// Requests that arrived during the stop and have not ended yet.
    uncounted: Cell<u64>,
    requests: Counter<u64>,
}

impl Tracker {
    /// Creates the tracker of a process that is not stopping.
    pub fn new(clock: Clock, meter: &Meter) -> Rc<Self> {
        Rc::new(Self {
            clock,
            stop: RefCell::default(),
            phase: watch::Sender::default(),
            counts: Cell::default(),
            uncounted: Cell::new(0),
            requests: meter
                .u64_counter("pumicelatch.stop.requests")
                .with_description(
                    "Callers' requests that arrived within a planned stop, by outcome",
                )
                .build(),
        })
    }

    /// Announces the stop of the process, which still accepts requests.
    pub fn begin(&self, setting: Setting) {
        self.stop.borrow_mut().begin(setting, self.clock.now());
        self.publish_phase();
    }

    fn publish_phase(&self) {
        let phase = self.stop.borrow().phase();
        self.phase.send_if_modified(|published| {
            let changed = *published != phase;
            *published = phase;
            changed
        });
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().phase() > Phase::Serving
    }

    /// Number of requests whose answers have not been handed over yet.
    pub fn in_flight(&self) -> u64 {
        self.stop.borrow().in_flight()
    }

    /// Requests that arrived during the stop and have ended.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Registers an arriving request.
    pub fn admit(self: &Rc<Self>, kind: Kind) -> Permit {
        let decision = self.stop.borrow_mut().admit(kind, self.clock.now());
        let during_stop = self.is_stopping() && kind != Kind::Peer;
        self.uncounted
            .set(self.uncounted.get() + u64::from(during_stop));
        Permit {
            tracker: self.clone(),
            decision,
            during_stop,
            completion: Completion::Cut,
        }
    }

    /// Runs `work`. Returns `None` if requests in flight are aborted before it completes.
    pub async fn until_abort<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.phase.subscribe();
        let aborted = phase.wait_for(|phase| *phase >= Phase::Aborting);
        match select(pin!(work), pin!(aborted)).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }

    /// Runs `work`. Returns `None` if a planned stop begins before it completes.
    pub async fn until_stop<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.phase.subscribe();
        let begun = phase.wait_for(|phase| *phase > Phase::Serving);
        match select(pin!(work), pin!(begun)).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }

    /// Stops the process that accepts requests at `server`. Returns when the process may exit; nothing
    /// else may run on the thread before it does.
    pub async fn stop(&self, setting: Setting, server: &Server) {
        self.begin(setting);
        server.leave();
        loop {
            sleep(POLL_INTERVAL).await;
            let phase = self.stop.borrow_mut().poll(self.clock.now());
            self.publish_phase();
            if !self.stop.borrow().accepts_connections() {
                server.stop_accepting();
            }
            match phase {
                Phase::Closing => server.close(),
                Phase::Done => return self.count_remaining(),
                _ => {}
            }
        }
    }

    /// Counts the requests in flight as cut when the process exits, and logs the counts.
    fn count_remaining(&self) {
        let under_way = self.in_flight();
        if under_way > 0 {
            log::warn!(under_way; "requests were still in progress at the end of the stop");
        }
        for _ in 0..self.uncounted.replace(0) {
            self.count(Completion::Cut);
        }
        let Counts {
            served,
            refused,
            stopped,
            cut,
        } = self.counts();
        log::info!(under_way, served, refused, stopped, cut; "planned stop is over");
    }

    fn count(&self, completion: Completion) {
        let mut counts = self.counts();
        let (counter, name) = match completion {
            Completion::Served => (&mut counts.served, "served"),
            Completion::Refused => (&mut counts.refused, "refused"),
            Completion::Stopped => (&mut counts.stopped, "stopped"),
            Completion::Cut => (&mut counts.cut, "cut"),
        };
        *counter += 1;
        self.counts.set(counts);
        self.requests.add(1, &[KeyValue::new("outcome", name)]);
    }
}

/// Registration of a request, from its arrival to the end of its answer.
#[derive(Debug)]
pub struct Permit {
    tracker: Rc<Tracker>,
    decision: Decision,
    during_stop: bool,
    completion: Completion,
}

impl Permit {
    /// Whether the request must be refused.
    pub fn is_refused(&self) -> bool {
        self.decision != Decision::Accepted
    }

    /// How the request ends if `answer` is handed over completely. Answers that the process itself
    /// creates carry the request's [`Outcome`] as an extension.
    fn completion(&self, answer: &Answer) -> Completion {
        let aborting = self.tracker.stop.borrow().phase() >= Phase::Aborting;
        let outcome = answer.extensions().get::<Outcome>().copied();
        match outcome {
            _ if self.is_refused() => Completion::Stopped,
            Some(Outcome::NotRun) if aborting => Completion::Stopped,
            Some(Outcome::NotRun) => Completion::Refused,
            Some(Outcome::Unknown) => Completion::Cut,
            Some(Outcome::Ran) | None => Completion::Served,
        }
    }

    /// Holds the permit until `answer` is handed over. During a stop, the connection is closed
    /// afterwards.
    pub fn attach(self, mut answer: Answer) -> Answer {
        if self.tracker.is_stopping() {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        let guard = BodyGuard {
            if_whole: self.completion(&answer),
            permit: self,
        };
        answer.map_body(|_, body| Observed::new(body, guard).boxed())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let tracker = &self.tracker;
        if self.decision != Decision::Dismissed {
            tracker.stop.borrow_mut().finish(tracker.clock.now());
        }
        let uncounted = tracker.uncounted.get();
        if self.during_stop && uncounted > 0 {
            tracker.uncounted.set(uncounted - 1);
            tracker.count(self.completion);
        }
    }
}

/// Holds a permit in the body of an answer.
struct BodyGuard {
    permit: Permit,
    if_whole: Completion,
}

impl Observer for BodyGuard {
    fn completed(&mut self) {
        self.permit.completion = self.if_whole;
    }
}
