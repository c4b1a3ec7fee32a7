//! A planned stop at a process's edge: lets requests in, counts what becomes of them, and tells when
//! the process may end.

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
use crate::http::held::{Held, Keeper};
use crate::http::{Answer, Server};
use crate::request::Outcome;

/// How often a stopping process looks how far it has come: a quarter of the time for last bytes.
const LOOK: Duration = Duration::from_millis(50);

/// When a refused caller should come back: others take it at once, and have heard of the stop.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What became of the requests that arrived within a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Those that were answered whole.
    pub served: u64,
    /// Those that were refused as not run, as at any other time.
    pub refused: u64,
    /// Those that were refused as not run because of the stop.
    pub stopped: u64,
    /// Those whose answer did not come whole, or whose outcome nobody knows.
    pub cut: u64,
}

/// How a request ended, as far as a stop is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    Stopped,
    Cut,
}

/// Lets requests in. It lives on one thread.
#[derive(Debug)]
pub struct Tracker {
    clock: Clock,
    stop: RefCell<Stop>,
    phase: watch::Sender<Phase>,
    tally: Cell<Tally>,
    late: Cell<u64>,
    requests: Counter<u64>,
}

impl Tracker {
    /// A porter of a process that does not stop yet.
    pub fn new(clock: Clock, meter: &Meter) -> Rc<Self> {
        Rc::new(Self {
            clock,
            stop: RefCell::default(),
            phase: watch::Sender::default(),
            tally: Cell::default(),
            late: Cell::new(0),
            requests: meter
                .u64_counter("pumicelatch.stop.requests")
                .with_description(
                    "Callers' requests that arrived within a planned stop, by outcome",
                )
                .build(),
        })
    }

    /// The process is to stop, and goes on taking requests for now.
    pub fn begin(&self, setting: Setting) {
        self.stop.borrow_mut().begin(setting, self.clock.now());
        self.tell();
    }

    fn tell(&self) {
        let phase = self.stop.borrow().phase();
        self.phase.send_if_modified(|told| {
            let changed = *told != phase;
            *told = phase;
            changed
        });
    }

    /// Whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().phase() > Phase::Serving
    }

    /// Requests whose answers are not handed over.
    pub fn in_flight(&self) -> u64 {
        self.stop.borrow().in_flight()
    }

    /// What became of the requests that arrived within the stop so far.
    pub fn tally(&self) -> Tally {
        self.tally.get()
    }

    /// A request arrives.
    pub fn admit(self: &Rc<Self>, kind: Kind) -> Permit {
        let verdict = self.stop.borrow_mut().arrive(kind, self.clock.now());
        let late = self.is_stopping() && kind != Kind::Peer;
        self.late.set(self.late.get() + u64::from(late));
        Permit {
            tracker: self.clone(),
            verdict,
            late,
            end: End::Cut,
        }
    }

    /// Does `work` unless what is under way is given up before it is done.
    pub async fn until_abort<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.phase.subscribe();
        let given_up = phase.wait_for(|phase| *phase >= Phase::Ending);
        match select(pin!(work), pin!(given_up)).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }

    /// Stops the process that takes requests at `server`. Returns when it may end; nothing else may
    /// happen on the thread before it does.
    pub async fn stop(&self, setting: Setting, server: &Server) {
        self.begin(setting);
        server.leave();
        loop {
            sleep(LOOK).await;
            let phase = self.stop.borrow_mut().look(self.clock.now());
            self.tell();
            if !self.stop.borrow().accepts() {
                server.stop_accepting();
            }
            match phase {
                Phase::Closing => server.close(),
                Phase::Over => return self.count_rest(),
                _ => {}
            }
        }
    }

    /// What is under way when the process ends is cut.
    fn count_rest(&self) {
        let under_way = self.in_flight();
        if under_way > 0 {
            log::warn!(under_way; "requests were still in progress at the end of the stop");
        }
        for _ in 0..self.late.replace(0) {
            self.count(End::Cut);
        }
        let Tally {
            served,
            refused,
            stopped,
            cut,
        } = self.tally();
        log::info!(under_way, served, refused, stopped, cut; "planned stop is over");
    }

    fn count(&self, end: End) {
        let mut tally = self.tally();
        let (counter, name) = match end {
            End::Served => (&mut tally.served, "served"),
            End::Refused => (&mut tally.refused, "refused"),
            End::Stopped => (&mut tally.stopped, "stopped"),
            End::Cut => (&mut tally.cut, "cut"),
        };
        *counter += 1;
        self.tally.set(tally);
        self.requests.add(1, &[KeyValue::new("outcome", name)]);
    }
}

/// A request, from its arrival to the end of its answer.
#[derive(Debug)]
pub struct Permit {
    tracker: Rc<Tracker>,
    verdict: Decision,
    late: bool,
    end: End,
}

impl Permit {
    /// Whether it is to be refused.
    pub fn is_refused(&self) -> bool {
        self.verdict != Decision::Taken
    }

    /// How the request ends once `answer` is handed over. An answer of the process's own bears the
    /// request's [`Outcome`].
    fn ends_as(&self, answer: &Answer) -> End {
        let given_up = self.tracker.stop.borrow().phase() >= Phase::Ending;
        let told = answer.extensions().get::<Outcome>().copied();
        match told {
            _ if self.is_refused() => End::Stopped,
            Some(Outcome::NotRun) if given_up => End::Stopped,
            Some(Outcome::NotRun) => End::Refused,
            Some(Outcome::Unknown) => End::Cut,
            Some(Outcome::Ran) | None => End::Served,
        }
    }

    /// Keeps the ticket until `answer` is handed over. In a stop, its connection takes no more.
    pub fn attach(self, mut answer: Answer) -> Answer {
        if self.tracker.is_stopping() {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        let kept = Kept {
            once_whole: self.ends_as(&answer),
            permit: self,
        };
        answer.map_body(|_, body| Held::new(body, kept).boxed())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let tracker = &self.tracker;
        if self.verdict != Decision::Dismissed {
            tracker.stop.borrow_mut().end(tracker.clock.now());
        }
        let late = tracker.late.get();
        if self.late && late > 0 {
            tracker.late.set(late - 1);
            tracker.count(self.end);
        }
    }
}

/// A ticket that an answer's body keeps.
struct Kept {
    permit: Permit,
    once_whole: End,
}

impl Keeper for Kept {
    fn whole(&mut self) {
        self.permit.end = self.once_whole;
    }
}
