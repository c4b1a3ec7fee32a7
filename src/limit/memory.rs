//! Bound on the bytes that a process holds for its callers: bodies of requests, plain responses
//! until they are written, and streams that are read ahead of their callers.
//!
//! Limits per request don't bound their sum: 100 unread responses of 8 MiB took 1.2 GB on boxes of
//! 112 MB, where a process over its memory is killed. So what is held is reserved from a
//! [`Budget`]. A request is taken only if its minimum fits, and with its minimum it can always
//! proceed; only what exceeds that waits for room. So requests that are taken never wait for each
//! other.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Bytes that a stream is read ahead of its caller: about a second of what the fastest replicas
/// send, after which they cut off what is unread.
pub const READ_AHEAD_MAX: u64 = 256 << 10;

/// Bytes of a plain response up to which it is read to its end before any of it is forwarded, so
/// that one that breaks off can be tried elsewhere.
pub const WHOLE_MAX: u64 = 64 << 10;

/// Upper bound of the bytes of one read from a replica.
pub const READ_MAX: u64 = 16 << 10;

/// Bytes that each response can always hold: those of one read, which are then with the HTTP server
/// until the caller takes them.
pub const RESPONSE_MIN: u64 = READ_MAX;

/// Bytes that a request in progress takes besides its body and response: the futures that serve it,
/// of about 15 KiB, and two heads of up to [`USUAL_FIELDS`].
const REQUEST_BYTES: u64 = 32 << 10;

/// Fields of a head for which there is room in [`REQUEST_BYTES`].
const USUAL_FIELDS: usize = 16;

/// Bytes that each further field takes: a place in the tables of two heads, which may be half empty.
const FIELD_BYTES: u64 = 1 << 10;

/// Length of a head, in bytes, for which there is room in [`REQUEST_BYTES`].
const USUAL_LENGTH: usize = 4 << 10;

/// How often the rest of a longer head is held: as it was read, as it is written to a replica, and
/// what is decoded of it, each in a buffer that may be half empty.
const LENGTH_FACTOR: u64 = 4;

/// Size of a request's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Number of fields.
    pub fields: usize,
    /// Length in bytes.
    pub length: usize,
}

/// Bytes that a request in progress with such a `head` takes besides its body and response.
pub fn request_bytes(head: Head) -> u64 {
    let fields = head.fields.saturating_sub(USUAL_FIELDS) as u64;
    let length = head.length.saturating_sub(USUAL_LENGTH) as u64;
    REQUEST_BYTES + fields * FIELD_BYTES + length * LENGTH_FACTOR
}

/// Bytes that an open connection takes: measured with 2,000 at rest.
const CONNECTION_BYTES: u64 = 12 << 10;

/// Divisor of the budget that yields the memory of connections that is not counted, since the
/// process's own part covers it: for 28 MB, about 1,200 connections.
const CONNECTIONS_DIVISOR: u64 = 2;

/// Bytes that the HTTP server takes of a response to a caller before it writes them. It takes the
/// next part only when fewer are left, so that what isn't written stays with the response, where it
/// is counted.
pub const WRITE_BUFFER: usize = 4 << 10;

/// Time for which a response has to be left unread until a break of it says nothing about its
/// replica. Replicas cut off what stays unread for about a second.
pub const UNREAD_MIN: Duration = Duration::from_millis(300);

/// Delay that callers are asked for when their requests don't fit: what fast callers get is written
/// within this time.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Weight of the newest response in the usual size, as a divisor.
const SMOOTHING_DIVISOR: u64 = 8;

/// Divisor of the budget that yields the part from which on memory is short: the streams that hold
/// most leave it to the others and to new requests.
const SHORT_DIVISOR: u64 = 4;

/// Divisor of the budget that yields the part that all streams leave to new requests.
const RESERVE_DIVISOR: u64 = 8;

/// Divisor of an entry's memory that yields its budget. Besides the budget, the process takes about
/// 10 MB, allocations that the budget doesn't count, and its share for weights; all of it is to
/// fit into half of the memory.
const ENTRY_DIVISOR: u64 = 4;

/// Divisor of the memory of a replica's box that yields its sidecar's budget: weights take more
/// there.
const SIDECAR_DIVISOR: u64 = 8;

/// The budget of an entry on a machine with `machine_bytes` of memory.
pub fn for_entry(machine_bytes: u64) -> u64 {
    machine_bytes / ENTRY_DIVISOR
}

/// The budget of a sidecar on a machine with `machine_bytes` of memory.
pub fn for_sidecar(machine_bytes: u64) -> u64 {
    machine_bytes / SIDECAR_DIVISOR
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sort {
    /// The body of a request.
    Body,
    /// A plain response.
    Answer,
    /// A stream.
    Stream,
}

impl Sort {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Body, Self::Answer, Self::Stream];

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Answer => "answer",
            Self::Stream => "stream",
        }
    }
}

/// What a response needs at least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    sort: Sort,
    bytes: u64,
}

/// Whether a response may be read on ahead of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Read,
    /// It holds as much as a single response may.
    Full,
    /// The budget is short, and it is among those that hold most.
    Paused,
}

#[derive(Debug, Default)]
struct State {
    limit: u64,
    held: [u64; Sort::ALL.len()],
    /// Number of reservations for streams.
    streams: u64,
    /// Number of open connections.
    connections: u64,
}

impl State {
    fn total(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Bytes of connections that the process's own part doesn't cover.
    fn overhead(&self) -> u64 {
        let connections = self.connections * CONNECTION_BYTES;
        connections.saturating_sub(self.limit / CONNECTIONS_DIVISOR)
    }

    fn fits(&self, bytes: u64) -> bool {
        self.total() + self.overhead() + bytes <= self.limit
    }

    /// Whether `bytes` more leave less than one part in `divisor` of the budget.
    fn leaves_less(&self, bytes: u64, divisor: u64) -> bool {
        self.total() + self.overhead() + bytes > self.limit - self.limit / divisor
    }

    /// The mean of what streams hold. While the budget is short, those above it are paused.
    fn mean(&self) -> u64 {
        self.held[Sort::Stream as usize] / self.streams.max(1)
    }
}

/// The bytes that a process may hold. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Budget(Rc<RefCell<State>>);

impl Budget {
    /// A budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        let state = State {
            limit,
            ..State::default()
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// The bytes that may be held.
    pub fn limit(&self) -> u64 {
        self.0.borrow().limit
    }

    /// The bytes that are held or reserved for `sort`.
    pub fn held(&self, sort: Sort) -> u64 {
        self.0.borrow().held[sort as usize]
    }

    /// The bytes that are held or reserved.
    pub fn total(&self) -> u64 {
        self.0.borrow().total()
    }

    /// Counts a connection until the result is dropped.
    pub fn connect(&self) -> Connection {
        self.0.borrow_mut().connections += 1;
        Connection(self.clone())
    }

    /// Reserves `bytes`, which the holder can use at any time; `None` if they don't fit.
    pub fn reserve(&self, sort: Sort, bytes: u64) -> Option<Reservation> {
        let mut state = self.0.borrow_mut();
        if !state.fits(bytes) {
            return None;
        }
        state.held[sort as usize] += bytes;
        state.streams += u64::from(sort == Sort::Stream);
        drop(state);
        Some(Reservation {
            budget: self.clone(),
            sort,
            minimum: bytes,
            used: 0,
        })
    }
}

impl Budget {
    /// Reserves what a response needs; `None` if it does not fit.
    pub fn reserve_need(&self, need: Need) -> Option<Reservation> {
        self.reserve(need.sort, need.bytes)
    }
}

/// The usual size of the responses of a route: a moving average of what was held for them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usual(Option<u64>);

impl Usual {
    /// Records the size of a response.
    pub fn record(&mut self, bytes: u64) {
        let bytes = bytes.min(WHOLE_MAX);
        self.0 = Some(match self.0 {
            None => bytes,
            Some(usual) => (usual * (SMOOTHING_DIVISOR - 1) + bytes) / SMOOTHING_DIVISOR,
        });
    }

    /// The bytes to reserve for a response.
    pub fn need(self) -> u64 {
        self.0.unwrap_or_default().max(RESPONSE_MIN)
    }
}

/// An open connection, counted in a [`Budget`].
#[derive(Debug)]
pub struct Connection(Budget);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.0.borrow_mut().connections -= 1;
    }
}

/// Bytes reserved from a [`Budget`], which get them back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    sort: Sort,
    /// What was reserved at first, and stays reserved whether it is used or not.
    minimum: u64,
    used: u64,
}

impl Reservation {
    /// What is reserved at least.
    pub fn need(&self) -> Need {
        Need {
            sort: self.sort,
            bytes: self.minimum,
        }
    }

    /// The bytes in use.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// The bytes that are reserved, in use or not.
    pub fn reserved(&self) -> u64 {
        self.used.max(self.minimum)
    }

    /// Sets the bytes in use. Returns whether they fit; if not, nothing changes.
    pub fn set(&mut self, used: u64) -> bool {
        let (old, new) = (self.reserved(), used.max(self.minimum));
        let mut state = self.budget.0.borrow_mut();
        if new > old && !state.fits(new - old) {
            return false;
        }
        let held = &mut state.held[self.sort as usize];
        *held = *held - old + new;
        drop(state);
        self.used = used;
        true
    }

    /// Lowers the minimum to `bytes`, once it is known that no more is needed.
    pub fn lower(&mut self, bytes: u64) {
        let old = self.reserved();
        self.minimum = self.minimum.min(bytes);
        let mut state = self.budget.0.borrow_mut();
        state.held[self.sort as usize] -= old - self.used.max(self.minimum);
    }

    /// Whether `bytes` more fit for a caller that waits for them.
    pub fn may_proceed(&self, bytes: u64) -> bool {
        let more = (self.used + bytes).max(self.minimum) - self.reserved();
        self.budget.0.borrow().fits(more)
    }

    /// Whether `bytes` more may be read ahead of the caller.
    pub fn may_read(&self, bytes: u64) -> Verdict {
        let used = self.used + bytes;
        if used <= self.minimum {
            return Verdict::Read;
        }
        if used > READ_AHEAD_MAX {
            return Verdict::Full;
        }
        let state = self.budget.0.borrow();
        let more = used.max(self.minimum) - self.reserved();
        let is_large = self.reserved() >= state.mean();
        let is_short = state.leaves_less(more, SHORT_DIVISOR);
        if state.leaves_less(more, RESERVE_DIVISOR) || (is_short && is_large) {
            Verdict::Paused
        } else {
            Verdict::Read
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.0.borrow_mut();
        state.held[self.sort as usize] -= self.reserved();
        state.streams -= u64::from(self.sort == Sort::Stream);
    }
}
