//! What was read of a stream ahead of its caller: filled by the task that reads the stream, and
//! emptied by the caller's connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::Notify;

use crate::limit::memory::{READ_MAX, Reservation, Verdict};

/// The events that are held, and the memory that they take.
#[derive(Debug)]
pub struct Lead {
    state: RefCell<State>,
    /// Wakes the connection.
    waker: RefCell<Option<Waker>>,
    /// Notified when the connection has taken a part.
    taken: Notify,
}

#[derive(Debug)]
struct State {
    events: VecDeque<Bytes>,
    /// Bytes of `events`.
    length: u64,
    /// Bytes of an event that is not complete yet.
    partial: u64,
    /// The most bytes that were held.
    peak: u64,
    held: Reservation,
    /// How the stream ended.
    end: Option<Option<io::Error>>,
}

impl State {
    fn count(&mut self, reading: u64) {
        let used = self.length + self.partial;
        self.peak = self.peak.max(used);
        self.held.set(used + reading);
    }
}

impl Lead {
    /// Holds nothing yet, and up to what `held` allows.
    pub fn new(held: Reservation) -> Self {
        let state = State {
            events: VecDeque::new(),
            length: 0,
            partial: 0,
            peak: 0,
            held,
            end: None,
        };
        Self {
            state: RefCell::new(state),
            waker: RefCell::default(),
            taken: Notify::new(),
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Adds events; `partial` bytes of a further one were read.
    pub fn push(&self, events: Bytes, partial: u64) {
        let mut state = self.state.borrow_mut();
        state.length += events.len() as u64;
        state.partial = partial;
        state.events.push_back(events);
        state.count(0);
        drop(state);
        self.wake();
    }

    /// Sets the bytes of an event that is not complete yet.
    pub fn set_partial(&self, partial: u64) {
        let mut state = self.state.borrow_mut();
        state.partial = partial;
        state.count(0);
    }

    /// Ends the stream, with an error if it is incomplete.
    pub fn end(&self, error: Option<io::Error>) {
        self.state.borrow_mut().end = Some(error);
        self.wake();
    }

    /// The most bytes that were held.
    pub fn peak(&self) -> u64 {
        self.state.borrow().peak
    }

    /// Why `bytes` more may not be read now. If they may, they are counted until what was read is
    /// added.
    pub fn hindrance(&self, bytes: u64) -> Option<Verdict> {
        let mut state = self.state.borrow_mut();
        state.count(0);
        // A caller that has got everything waits for the rest of an event, however long that is.
        let verdict = if state.events.is_empty() && state.held.may_proceed(bytes) {
            Verdict::Read
        } else {
            state.held.may_read(bytes)
        };
        if verdict != Verdict::Read {
            return Some(verdict);
        }
        state.count(bytes);
        None
    }

    /// Waits until the connection has taken a part.
    pub async fn taken(&self) {
        self.taken.notified().await;
    }

    /// Waits until the connection has taken everything.
    pub async fn drained(&self) {
        while !self.state.borrow().events.is_empty() {
            self.taken().await;
        }
    }

    /// Takes the next part, of at most [`READ_MAX`] bytes: the HTTP server copies it.
    fn take(&self) -> Option<Bytes> {
        let mut state = self.state.borrow_mut();
        let mut events = state.events.pop_front()?;
        let part = events.split_to(events.len().min(READ_MAX as usize));
        if !events.is_empty() {
            state.events.push_front(events);
        }
        state.length -= part.len() as u64;
        state.count(0);
        drop(state);
        self.taken.notify_one();
        Some(part)
    }
}

/// The body of the response to the caller. Dropping it ends the task that reads the stream.
#[derive(Debug)]
pub struct Outlet {
    lead: Rc<Lead>,
    task: JoinHandle<()>,
}

impl Outlet {
    /// Hands over what `task` adds to `lead`.
    pub fn new(lead: Rc<Lead>, task: JoinHandle<()>) -> Self {
        Self { lead, task }
    }
}

impl Drop for Outlet {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Stream for Outlet {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(part) = self.lead.take() {
            return Poll::Ready(Some(Ok(part)));
        }
        if let Some(error) = self.lead.state.borrow_mut().end.take() {
            return Poll::Ready(error.map(Err));
        }
        self.lead.waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}
