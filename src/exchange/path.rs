//! What a process's clients know together of their open connections.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::sync::watch;

use crate::clock::{Clock, Time};
use crate::silence::{Connection, Detector, Others, Scope, Status, Suspicion};

/// How much later than a silence began bytes may come that were on their way: a few milliseconds
/// between halls.
const ON_THE_WAY: Duration = Duration::from_millis(10);

/// Length above which the list of exchanges under way is cleared of those that ended before it grows.
const UNDER_WAY: usize = 64;

/// Exchanges that ended and are remembered for what their connections brought.
const ENDED: usize = 64;

/// The connection of an exchange under way.
#[derive(Debug)]
struct Carrier {
    peer: SocketAddr,
    opened: Time,
    heard: Cell<Time>,
    is: Cell<Status>,
}

impl Carrier {
    fn connection(&self) -> Connection {
        Connection {
            peer: self.peer,
            opened: self.opened,
            last_received: self.heard.get(),
            status: self.is.get(),
        }
    }
}

/// The paths of a process's connections: what one client finds of them, the others know. It lives on
/// one thread.
#[derive(Debug)]
pub struct Paths {
    clock: Clock,
    findings: RefCell<Detector>,
    under_way: RefCell<Vec<Weak<Carrier>>>,
    ended: RefCell<VecDeque<Connection>>,
    suspicion: RefCell<Suspicion>,
    suspected: watch::Sender<u64>,
    found: watch::Sender<u64>,
    found_all: watch::Sender<u64>,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            clock: Clock::default(),
            findings: RefCell::default(),
            under_way: RefCell::default(),
            ended: RefCell::default(),
            suspicion: RefCell::default(),
            suspected: watch::Sender::new(0),
            found: watch::Sender::new(0),
            found_all: watch::Sender::new(0),
        }
    }
}

impl Paths {
    /// The present instant.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// `peer` answered on a new connection, and not yet on a used one, what was sent there at `since`.
    pub(super) fn report_silent(&self, peer: SocketAddr, since: Time) {
        let now = self.now();
        let others = self.others(since);
        let mut findings = self.findings.borrow_mut();
        let extent = findings.report_silent(peer, since, others, now);
        drop(findings);
        log::warn!(
            peer:% = peer, extent:? = extent, others:? = others,
            silent_ms = now.since(since).as_millis() as u64;
            "a used connection is silent, a new one to the same peer works"
        );
        self.found.send_modify(|count| *count += 1);
        if extent == Scope::All && others == Others::Silent {
            self.found_all.send_modify(|count| *count += 1);
        }
    }

    /// Whether a connection that rests is doubted.
    pub(super) fn doubts(&self, connection: Connection) -> bool {
        self.findings.borrow().close_deadline(connection).is_some()
    }

    /// A new connection to `peer` brought what a used one may yet bring.
    pub(super) fn suspect(&self, peer: SocketAddr) {
        let under_way = self.under_way.borrow();
        let under_way = under_way
            .iter()
            .filter(|carrier| carrier.strong_count() > 0);
        let (under_way, now) = (under_way.count(), self.now());
        if self.suspicion.borrow_mut().raise(peer, under_way, now) {
            self.suspected.send_modify(|count| *count += 1);
        }
    }

    /// Counts how often all connections were suspected by that.
    pub(super) fn suspicions(&self) -> watch::Receiver<u64> {
        self.suspected.subscribe()
    }

    /// Counts how often all open connections were found silent.
    pub fn all_silent(&self) -> watch::Receiver<u64> {
        self.found_all.subscribe()
    }

    /// Whether connections that were opened before `since` have brought anything from then on.
    fn others(&self, since: Time) -> Others {
        let heard = |connection: Connection| {
            connection.opened < since && connection.last_received > since + ON_THE_WAY
        };
        let under_way = self.under_way.borrow();
        let mut under_way = under_way.iter().filter_map(Weak::upgrade);
        let ended = self.ended.borrow();
        if under_way.any(|carrier| heard(carrier.connection()))
            || ended.iter().any(|connection| heard(*connection))
        {
            Others::Heard
        } else {
            Others::Silent
        }
    }

    /// Guards an exchange on a connection to `peer` that was opened at `opened` and brought something
    /// at `heard` last.
    pub(super) fn guard(self: &Rc<Self>, peer: SocketAddr, opened: Time, heard: Time) -> Guard {
        let carrier = Rc::new(Carrier {
            peer,
            opened,
            heard: Cell::new(heard),
            is: Cell::new(Status::Waiting),
        });
        let mut under_way = self.under_way.borrow_mut();
        if under_way.len() >= UNDER_WAY && under_way.len() == under_way.capacity() {
            under_way.retain(|carrier| carrier.strong_count() > 0);
        }
        under_way.push(Rc::downgrade(&carrier));
        Guard {
            paths: self.clone(),
            carrier: carrier.clone(),
            given_up: Box::pin(given_up(self.clone(), carrier)),
        }
    }
}

/// Ends when nothing is to be expected any more of a connection.
async fn given_up(paths: Rc<Paths>, carrier: Rc<Carrier>) {
    let mut found = paths.found.subscribe();
    loop {
        found.borrow_and_update();
        let due = paths.findings.borrow().close_deadline(carrier.connection());
        match due.map(|due| due.since(paths.now())) {
            Some(left) if left.is_zero() => return,
            Some(left) => sleep(left).await,
            // The sender lives as long as `paths` does.
            None => drop(found.changed().await),
        }
    }
}

/// A future that ends when its exchange's connection has gone silent, by what other exchanges found.
pub(super) struct Guard {
    paths: Rc<Paths>,
    carrier: Rc<Carrier>,
    given_up: Pin<Box<dyn Future<Output = ()>>>,
}

impl fmt::Debug for Guard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Guard({:?})", self.carrier)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut ended = self.paths.ended.borrow_mut();
        if ended.len() == ENDED {
            ended.pop_front();
        }
        ended.push_back(self.carrier.connection());
    }
}

impl Guard {
    /// Bytes came.
    pub fn heard(&self) {
        self.carrier.heard.set(self.now());
        self.carrier.is.set(Status::Receiving);
    }

    /// The present instant.
    pub fn now(&self) -> Time {
        self.paths.now()
    }
}

impl Future for Guard {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.given_up.as_mut().poll(cx)
    }
}
