//! Sizes of the receive buffers of connections to replicas.
//!
//! What a replica sends ahead of a caller that doesn't read stays in the kernel, where it counts as
//! memory of the box. The kernel lets the buffer of a single connection grow to megabytes, and
//! doesn't bound their sum for a process. So each connection begins with a small buffer, which is
//! doubled while it limits the transfer, out of a [`Pool`] that all connections share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Time;

/// Bytes of a buffer that each connection has. It is not taken from the pool.
pub const SIZE_MIN: u64 = 32 << 10;

/// Maximum number of bytes of a buffer: more than a link between two halls has in transit.
pub const SIZE_MAX: u64 = 512 << 10;

/// A buffer limits a transfer if it is filled within this time: a round trip on a link between two
/// halls takes no longer.
const FILL_TIME: Duration = Duration::from_millis(300);

/// Divisor of a machine's memory that yields the pool.
const MACHINE_DIVISOR: u64 = 16;

/// Divisor of the pool that yields what connections at rest leave to others.
const RESTING_DIVISOR: u64 = 2;

#[derive(Debug)]
struct State {
    limit: u64,
    taken: Cell<u64>,
}

/// The bytes that the buffers of a process's connections may have beyond [`SIZE_MIN`]. Clones share
/// them.
#[derive(Debug, Clone)]
pub struct Pool(Rc<State>);

impl Default for Pool {
    fn default() -> Self {
        Self::new(8 << 20)
    }
}

impl Pool {
    /// A pool of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self(Rc::new(State {
            limit,
            taken: Cell::new(0),
        }))
    }

    /// The pool on a machine with `machine_bytes` of memory.
    pub fn on(machine_bytes: u64) -> Self {
        Self::new(machine_bytes / MACHINE_DIVISOR)
    }

    /// The bytes that are taken.
    pub fn taken(&self) -> u64 {
        self.0.taken.get()
    }

    /// The buffer of a new connection.
    pub fn window(&self) -> Window {
        Window {
            pool: self.clone(),
            size: SIZE_MIN,
            read: 0,
            since: None,
        }
    }

    fn take(&self, bytes: u64) -> bool {
        let taken = self.taken() + bytes;
        let fits = taken <= self.0.limit;
        if fits {
            self.0.taken.set(taken);
        }
        fits
    }
}

/// The size of a connection's receive buffer. What it has of the pool is given back when this is
/// dropped.
#[derive(Debug)]
pub struct Window {
    pool: Pool,
    size: u64,
    /// Bytes read since `since`.
    read: u64,
    /// When the first of them were read.
    since: Option<Time>,
}

impl Window {
    /// The bytes that the buffer may hold.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Records that `bytes` were read.
    pub fn record_read(&mut self, bytes: u64, now: Time) {
        match self.since {
            Some(since) if now.since(since) < FILL_TIME => self.read += bytes,
            _ => {
                self.read = bytes;
                self.since = Some(now);
            }
        }
    }

    /// Records that all that had arrived is read. Returns whether the buffer has grown, because the
    /// sender may have waited for room in it. A buffer whose reader is slower than the sender stays
    /// as it is: it is never read empty.
    pub fn record_empty(&mut self, now: Time) -> bool {
        let is_recent = self.since.is_some_and(|since| now.since(since) < FILL_TIME);
        // The kernel's own part takes about half of a buffer.
        let was_full = is_recent && self.read >= self.size / 2;
        if !was_full || self.size >= SIZE_MAX || !self.pool.take(self.size) {
            return false;
        }
        self.size *= 2;
        self.read = 0;
        self.since = None;
        true
    }

    /// Whether the connection may be kept for a later exchange. A buffer can't be made smaller
    /// without losing what the sender was already allowed to send, so while the pool is short,
    /// connections with larger ones are closed.
    pub fn may_rest(&self) -> bool {
        let limit = self.pool.0.limit;
        self.size == SIZE_MIN || self.pool.taken() <= limit - limit / RESTING_DIVISOR
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        let taken = &self.pool.0.taken;
        taken.set(taken.get() - (self.size - SIZE_MIN));
    }
}
