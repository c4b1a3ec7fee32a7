//! State of a process's open connections, shared by its clients.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::sync::watch;

use super::socket::Socket;
use crate::clock::{Clock, Time};
use crate::limit::window;
use crate::silence::{Connection, Detector, Others, Scope, Status, Suspicion};

/// How long after a silence began bytes may still arrive that were already in transit: a few
/// milliseconds between halls.
const IN_TRANSIT: Duration = Duration::from_millis(10);

/// Length from which ended exchanges are removed from the list of those in flight before it grows.
const IN_FLIGHT_PRUNE: usize = 64;

/// Maximum number of ended exchanges whose connections are remembered, since what these received is
/// evidence too.
const ENDED_MAX: usize = 64;

/// An exchange in flight, with the state of its connection.
#[derive(Debug)]
struct Exchange {
    peer: SocketAddr,
    opened: Time,
    last_received: Cell<Time>,
    status: Cell<Status>,
}

impl Exchange {
    fn connection(&self) -> Connection {
        Connection {
            peer: self.peer,
            opened: self.opened,
            last_received: self.last_received.get(),
            status: self.status.get(),
        }
    }
}

/// The state of the network paths of a process's connections. What one client detects, the others
/// know. It is not shared between threads.
#[derive(Debug)]
pub struct Paths {
    clock: Clock,
    detector: RefCell<Detector>,
    in_flight: RefCell<Vec<Weak<Exchange>>>,
    ended: RefCell<VecDeque<Connection>>,
    suspicion: RefCell<Suspicion>,
    suspected: watch::Sender<u64>,
    found: watch::Sender<u64>,
    all_found: watch::Sender<u64>,
    windows: window::Pool,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            clock: Clock::default(),
            detector: RefCell::default(),
            in_flight: RefCell::default(),
            ended: RefCell::default(),
            suspicion: RefCell::default(),
            suspected: watch::Sender::new(0),
            found: watch::Sender::new(0),
            all_found: watch::Sender::new(0),
            windows: window::Pool::default(),
        }
    }
}

impl Paths {
    /// The state of connections whose receive buffers are taken from `windows`.
    pub fn with_windows(windows: window::Pool) -> Self {
        Self {
            windows,
            ..Self::default()
        }
    }

    /// What the receive buffers of connections are taken from.
    pub fn windows(&self) -> &window::Pool {
        &self.windows
    }

    /// Opens a connection to `peer` from the address `local`.
    pub(super) async fn connect(
        &self,
        peer: SocketAddr,
        local: Option<IpAddr>,
    ) -> io::Result<Socket> {
        Socket::connect(peer, local, self.clock, &self.windows).await
    }

    /// The current time.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Reports that `peer` answered a request on a new connection, and not yet on a reused one,
    /// over which it was sent at `since`.
    pub(super) fn report_silent(&self, peer: SocketAddr, since: Time) {
        let now = self.now();
        let others = self.others(since);
        let mut detector = self.detector.borrow_mut();
        let scope = detector.report_silent(peer, since, others, now);
        drop(detector);
        log::warn!(
            peer:% = peer, extent:? = scope, others:? = others,
            silent_ms = now.since(since).as_millis() as u64;
            "a reused connection is silent while a new one to the same peer works"
        );
        self.found.send_modify(|count| *count += 1);
        if scope == Scope::All && others == Others::Silent {
            self.all_found.send_modify(|count| *count += 1);
        }
    }

    /// Whether an idle connection may have gone silent.
    pub(super) fn is_suspect(&self, connection: Connection) -> bool {
        self.detector.borrow().close_deadline(connection).is_some()
    }

    /// Reports that a new connection to `peer` answered before a reused one, which may still
    /// answer.
    pub(super) fn report_suspicion(&self, peer: SocketAddr) {
        let in_flight = self.in_flight.borrow();
        let in_flight = in_flight
            .iter()
            .filter(|exchange| exchange.strong_count() > 0);
        let (in_flight, now) = (in_flight.count(), self.now());
        if self.suspicion.borrow_mut().raise(peer, in_flight, now) {
            self.suspected.send_modify(|count| *count += 1);
        }
    }

    /// Counts how often such reports made all connections suspect.
    pub(super) fn suspicions(&self) -> watch::Receiver<u64> {
        self.suspected.subscribe()
    }

    /// Counts how often all open connections were found silent.
    pub fn all_silent(&self) -> watch::Receiver<u64> {
        self.all_found.subscribe()
    }

    /// Whether connections that were opened before `since` have received anything since then.
    fn others(&self, since: Time) -> Others {
        let received = |connection: Connection| {
            connection.opened < since && connection.last_received > since + IN_TRANSIT
        };
        let in_flight = self.in_flight.borrow();
        let mut in_flight = in_flight.iter().filter_map(Weak::upgrade);
        let ended = self.ended.borrow();
        if in_flight.any(|exchange| received(exchange.connection()))
            || ended.iter().any(|connection| received(*connection))
        {
            Others::Heard
        } else {
            Others::Silent
        }
    }

    /// Creates the guard of an exchange on a connection to `peer` that was opened at `opened` and
    /// last received bytes at `last_received`.
    pub(super) fn guard(
        self: &Rc<Self>,
        peer: SocketAddr,
        opened: Time,
        last_received: Time,
    ) -> Guard {
        let exchange = Rc::new(Exchange {
            peer,
            opened,
            last_received: Cell::new(last_received),
            status: Cell::new(Status::Waiting),
        });
        let mut in_flight = self.in_flight.borrow_mut();
        if in_flight.len() >= IN_FLIGHT_PRUNE && in_flight.len() == in_flight.capacity() {
            in_flight.retain(|exchange| exchange.strong_count() > 0);
        }
        in_flight.push(Rc::downgrade(&exchange));
        Guard {
            paths: self.clone(),
            exchange: exchange.clone(),
            dead: Some(Box::pin(dead(self.clone(), exchange))),
        }
    }
}

/// Completes when the connection of `exchange` counts as dead.
async fn dead(paths: Rc<Paths>, exchange: Rc<Exchange>) {
    let mut found = paths.found.subscribe();
    loop {
        found.borrow_and_update();
        let deadline = paths
            .detector
            .borrow()
            .close_deadline(exchange.connection());
        match deadline.map(|deadline| deadline.since(paths.now())) {
            Some(left) if left.is_zero() => return,
            Some(left) => sleep(left).await,
            // The sender lives as long as `paths` does.
            None => drop(found.changed().await),
        }
    }
}

/// A future that completes when the connection of its exchange has gone silent, as found by other
/// exchanges. After that it is pending until bytes were received.
pub(super) struct Guard {
    paths: Rc<Paths>,
    exchange: Rc<Exchange>,
    dead: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl fmt::Debug for Guard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Guard({:?})", self.exchange)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut ended = self.paths.ended.borrow_mut();
        if ended.len() == ENDED_MAX {
            ended.pop_front();
        }
        ended.push_back(self.exchange.connection());
    }
}

impl Guard {
    /// Records that bytes were received.
    pub fn touch(&mut self) {
        self.exchange.last_received.set(self.now());
        self.exchange.status.set(Status::Receiving);
        if self.dead.is_none() {
            let dead = dead(self.paths.clone(), self.exchange.clone());
            self.dead = Some(Box::pin(dead));
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.paths.now()
    }
}

impl Future for Guard {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(dead) = &mut self.dead else {
            return Poll::Pending;
        };
        std::task::ready!(dead.as_mut().poll(cx));
        self.dead = None;
        Poll::Ready(())
    }
}
