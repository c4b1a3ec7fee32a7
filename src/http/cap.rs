//! Keeps the connections of a listener within their bounds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use slotmap::SecondaryMap;
use tokio::task::AbortHandle;

use crate::clock::Clock;
use crate::limit::connection::{Key, Setting, Table, Verdict};
use crate::limit::window;
use crate::log::Repeats;

/// How often the metrics are updated.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed or refused for lack of room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// There were too many, and it was of least use.
    Replaced,
    /// There were too many, and all others were busy.
    Refused,
    /// Too much had arrived that was not read, and it held most.
    Input,
}

impl Reason {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Replaced, Self::Refused, Self::Input];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Input => "input",
        }
    }
}

#[derive(Debug, Default)]
struct Closed {
    count: Cell<u64>,
    repeats: Repeats,
}

#[derive(Debug)]
struct State {
    listener: &'static str,
    clock: Clock,
    table: RefCell<Table>,
    tasks: RefCell<SecondaryMap<Key, AbortHandle>>,
    closed: [Closed; Reason::ALL.len()],
}

/// The connections of a listener, and what serves them. Clones share them.
#[derive(Debug, Clone)]
pub struct Cap(Rc<State>);

impl Default for Cap {
    fn default() -> Self {
        Self::new("", Setting::default())
    }
}

impl Cap {
    /// Bounds the connections of the listener of this name.
    pub fn new(listener: &'static str, setting: Setting) -> Self {
        Self(Rc::new(State {
            listener,
            clock: Clock::default(),
            table: RefCell::new(Table::new(setting)),
            tasks: RefCell::default(),
            closed: Default::default(),
        }))
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.0.table.borrow().count()
    }

    /// Bytes that have arrived and wait.
    pub fn input(&self) -> u64 {
        self.0.table.borrow().input()
    }

    /// Number of connections closed or refused for `reason`.
    pub fn closed(&self, reason: Reason) -> u64 {
        self.0.closed[reason as usize].count.get()
    }

    /// Receives a connection; `None` if it is refused.
    pub(super) fn admit(&self) -> Option<Seat> {
        let verdict = self.0.table.borrow_mut().open(self.0.clock.now());
        let key = match verdict {
            Verdict::Accepted(key) => key,
            Verdict::Replaces { new, old } => {
                self.abort(old, Reason::Replaced);
                new
            }
            Verdict::Refused => {
                self.count(Reason::Refused);
                return None;
            }
        };
        Some(Seat {
            cap: self.clone(),
            key,
        })
    }

    /// Names the task that serves a connection, which ends if the connection has to be closed.
    pub(super) fn serve(&self, key: Key, task: AbortHandle) {
        self.0.tasks.borrow_mut().insert(key, task);
    }

    fn abort(&self, key: Key, reason: Reason) {
        self.count(reason);
        if let Some(task) = self.0.tasks.borrow_mut().remove(key) {
            task.abort();
        }
    }

    fn count(&self, reason: Reason) {
        let closed = &self.0.closed[reason as usize];
        closed.count.set(closed.count.get() + 1);
        if let Some(count) = closed.repeats.count() {
            log::warn!(
                listener = self.0.listener, reason = reason.name(), count,
                open = self.open(), input_bytes = self.input();
                "connections closed for lack of room"
            );
        }
    }
}

/// Updates the metrics of the listeners of a process, and of the receive buffers towards replicas.
pub async fn report(meter: Meter, caps: Vec<Cap>, windows: window::Pool) {
    let open = meter
        .u64_gauge("pumicelatch.http.connections")
        .with_description("Open connections by listener")
        .build();
    let input = meter
        .u64_gauge("pumicelatch.http.input_bytes")
        .with_unit("By")
        .with_description("Bytes that have arrived ahead of their turn, by listener")
        .build();
    let closed = meter
        .u64_counter("pumicelatch.http.closed_connections")
        .with_description("Connections closed or refused for lack of room, by listener and reason")
        .build();
    let buffers = meter
        .u64_gauge("pumicelatch.http.receive_buffer_bytes")
        .with_unit("By")
        .with_description("Receive buffers of connections to replicas beyond their minimum")
        .build();
    let mut counted = vec![[0; Reason::ALL.len()]; caps.len()];
    loop {
        sleep(REPORT_INTERVAL).await;
        buffers.record(windows.taken(), &[]);
        for (cap, counted) in caps.iter().zip(&mut counted) {
            let listener = KeyValue::new("listener", cap.0.listener);
            open.record(cap.open() as u64, std::slice::from_ref(&listener));
            input.record(cap.input(), std::slice::from_ref(&listener));
            for (reason, counted) in Reason::ALL.into_iter().zip(counted) {
                let count = cap.closed(reason);
                let labels = [listener.clone(), KeyValue::new("reason", reason.name())];
                closed.add(count - std::mem::replace(counted, count), &labels);
            }
        }
    }
}

/// The place of a connection, given back when it is dropped.
#[derive(Debug)]
pub(super) struct Seat {
    cap: Cap,
    key: Key,
}

impl Seat {
    /// The connection's key.
    pub(super) fn key(&self) -> Key {
        self.key
    }

    /// Records that a request is being handled.
    pub(super) fn begin(&self) {
        self.cap.0.table.borrow_mut().begin(self.key);
    }

    /// Records that no request is being handled.
    pub(super) fn end(&self) {
        let now = self.cap.0.clock.now();
        self.cap.0.table.borrow_mut().end(self.key, now);
    }

    /// Records how many bytes have arrived and wait.
    pub(super) fn set_input(&self, bytes: u64) {
        let largest = self.cap.0.table.borrow_mut().set_input(self.key, bytes);
        if let Some(largest) = largest {
            self.cap.abort(largest, Reason::Input);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.cap.0.table.borrow_mut().close(self.key);
        self.cap.0.tasks.borrow_mut().remove(self.key);
    }
}
