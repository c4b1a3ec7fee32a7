//! What a process's clients know together of their open connections.

use std::cell::{Cell, RefCell};
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
use crate::silence::{Extent, Findings, Others};

/// How much later than an exchange began bytes may come that were on their way then.
const ON_THEIR_WAY: Duration = Duration::from_millis(10);

/// Exchanges under way above which those that ended are forgotten at once.
const UNDER_WAY_SWEPT: usize = 64;

/// The connection of an exchange under way.
#[derive(Debug)]
struct Life {
    opened: Time,
    heard: Cell<Time>,
}

/// The paths of a process's connections: what one client finds of them, the others know. It lives on
/// one thread.
#[derive(Debug)]
pub struct Paths {
    clock: Clock,
    findings: RefCell<Findings>,
    under_way: RefCell<Vec<Weak<Life>>>,
    found: watch::Sender<u64>,
    found_all: watch::Sender<u64>,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            clock: Clock::default(),
            findings: RefCell::default(),
            under_way: RefCell::default(),
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

    /// `peer` answered on a new connection what it had left unanswered on a used one from `since` on.
    pub(super) fn silent(&self, peer: SocketAddr, since: Time) {
        let now = self.now();
        let others = self.others(since);
        let extent = self.findings.borrow_mut().silent(peer, since, others, now);
        let silent_ms = now.since(since).as_millis() as u64;
        log::warn!(
            peer:% = peer, extent:? = extent, others:? = others, silent_ms;
            "open connections are silent, new ones work"
        );
        self.found.send_modify(|count| *count += 1);
        if extent == Extent::All {
            self.found_all.send_modify(|count| *count += 1);
        }
    }

    /// Whether a connection to `peer` is doubted that brought something at `heard` last.
    pub(super) fn doubts(&self, peer: SocketAddr, heard: Time) -> bool {
        self.findings.borrow().doubts(peer, heard)
    }

    /// Counts how often all open connections were found silent.
    pub fn all_silent(&self) -> watch::Receiver<u64> {
        self.found_all.subscribe()
    }

    /// Whether exchanges on connections that were opened before `since` have brought anything from
    /// then on.
    fn others(&self, since: Time) -> Others {
        let under_way = self.under_way.borrow();
        let mut lives = under_way.iter().filter_map(Weak::upgrade);
        let heard =
            lives.any(|life| life.opened < since && life.heard.get() > since + ON_THEIR_WAY);
        if heard { Others::Heard } else { Others::Silent }
    }

    /// Guards an exchange on a connection to `peer` that was opened at `opened` and brought something
    /// at `heard` last.
    pub(super) fn guard(self: &Rc<Self>, peer: SocketAddr, opened: Time, heard: Time) -> Guard {
        let heard = Cell::new(heard);
        let life = Rc::new(Life { opened, heard });
        let mut under_way = self.under_way.borrow_mut();
        if under_way.len() >= UNDER_WAY_SWEPT && under_way.len() == under_way.capacity() {
            under_way.retain(|life| life.strong_count() > 0);
        }
        under_way.push(Rc::downgrade(&life));
        Guard {
            paths: self.clone(),
            life: life.clone(),
            gives_up: Box::pin(gives_up(self.clone(), peer, life)),
        }
    }
}

/// Ends when nothing is to be expected any more of a connection.
async fn gives_up(paths: Rc<Paths>, peer: SocketAddr, life: Rc<Life>) {
    let mut found = paths.found.subscribe();
    loop {
        found.borrow_and_update();
        let due = paths.findings.borrow().gives_up(peer, life.heard.get());
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
    life: Rc<Life>,
    gives_up: Pin<Box<dyn Future<Output = ()>>>,
}

impl fmt::Debug for Guard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Guard({:?})", self.life)
    }
}

impl Guard {
    /// Bytes came.
    pub fn heard(&self) {
        self.life.heard.set(self.paths.now());
    }

    /// When bytes came last.
    pub fn last(&self) -> Time {
        self.life.heard.get()
    }
}

impl Future for Guard {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.gives_up.as_mut().poll(cx)
    }
}
