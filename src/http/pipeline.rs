//! Passes the requests of a connection to the HTTP server one at a time.
//!
//! The server decodes all that it has read: 128 KiB of short requests become tens of megabytes of
//! decoded heads that wait for the first response. A [`Connection`] therefore passes on the head of a
//! request and its body, and then nothing until the response is written. What a client sends ahead
//! stays in the kernel, where its window bounds it, but for a few kilobytes that are read to notice
//! that the client has left.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use actix_http::error::PayloadError;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{BoxedPayloadStream, HttpMessage, Payload, Request};
use actix_rt::time::{Sleep, sleep};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::cap::Seat;
use super::observed::Observer;
use super::server::Io;

/// Bytes that are read of a connection beyond the request that is being handled.
const AHEAD_MAX: usize = 4 << 10;

/// Bytes that are passed on before the server is to process them. It keeps a buffer of as much as it
/// has read at once.
const QUANTUM: usize = 16 << 10;

/// How often a connection whose client has sent ahead more than [`AHEAD_MAX`] is checked for its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its last response a connection still counts as busy, since the bytes may not have
/// been sent yet.
const FLUSH_GRACE: Duration = Duration::from_millis(100);

/// What is left of the body of the request that is being handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Body {
    /// Nothing.
    #[default]
    Complete,
    /// So many bytes.
    Bytes(u64),
    /// It is in chunks, and passed on when its reader waits for more: where it ends is only known to
    /// the server.
    Chunked {
        /// Whether its reader waits.
        wanted: bool,
    },
}

/// The request of a connection that is being handled, as the connection and its handler see it.
#[derive(Debug)]
pub(super) struct Activity {
    seat: Seat,
    pending: Cell<u32>,
    answered: Cell<u64>,
    last_answered_at: Cell<Option<Instant>>,
    body: Cell<Body>,
    /// Wakes the connection to read on.
    reader: RefCell<Option<Waker>>,
}

impl Activity {
    /// The activity of a connection that has a seat.
    pub(super) fn new(seat: Seat) -> Self {
        Self {
            seat,
            pending: Cell::new(0),
            answered: Cell::new(0),
            last_answered_at: Cell::new(None),
            body: Cell::default(),
            reader: RefCell::default(),
        }
    }

    /// Whether no request is being handled, and the last response is likely sent.
    pub(super) fn is_idle(&self) -> bool {
        let since = self.last_answered_at.get();
        self.pending.get() == 0 && since.is_none_or(|since| since.elapsed() >= FLUSH_GRACE)
    }

    /// Whether the body of the request that is being handled has been read to its end.
    pub(super) fn has_whole_body(&self) -> bool {
        matches!(self.body.get(), Body::Complete | Body::Bytes(0))
    }

    /// Number of requests that were answered.
    pub(super) fn answered(&self) -> u64 {
        self.answered.get()
    }

    /// Records that `request` is being handled until the result is dropped, and has its body passed
    /// on as it is read.
    pub(super) fn begin(self: &Rc<Self>, mut request: Request) -> (Request, Pending) {
        self.pending.set(self.pending.get() + 1);
        self.seat.begin();
        let pending = Pending(self.clone());
        if matches!(request.payload(), Payload::None) {
            self.body.set(Body::Complete);
            return (request, pending);
        }
        let length = request.headers().get(CONTENT_LENGTH);
        if let Some(length) = length.and_then(|length| length.to_str().ok()?.parse().ok()) {
            self.body.set(Body::Bytes(length));
            return (request, pending);
        }
        self.body.set(Body::Chunked { wanted: true });
        let (request, payload) = request.replace_payload(Payload::<BoxedPayloadStream>::None);
        let body: BoxedPayloadStream = Box::pin(Chunks {
            payload,
            activity: self.clone(),
        });
        let (request, _) = request.replace_payload(Payload::Stream { payload: body });
        (request, pending)
    }

    fn wake(&self) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.wake_by_ref();
        }
    }
}

/// A request that is being handled, until its response is handed over.
pub(super) struct Pending(Rc<Activity>);

impl Observer for Pending {}

impl Drop for Pending {
    fn drop(&mut self) {
        let activity = &self.0;
        activity.pending.set(activity.pending.get() - 1);
        activity.answered.set(activity.answered.get() + 1);
        activity.last_answered_at.set(Some(Instant::now()));
        if activity.pending.get() == 0 {
            activity.seat.end();
        }
        activity.wake();
    }
}

/// The body of a request in chunks, which asks for more when its reader waits.
struct Chunks {
    payload: Payload,
    activity: Rc<Activity>,
}

impl Stream for Chunks {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.payload).poll_next(cx);
        match polled {
            Poll::Pending => {
                self.activity.body.set(Body::Chunked { wanted: true });
                self.activity.wake();
            }
            Poll::Ready(None) => self.activity.body.set(Body::Complete),
            Poll::Ready(Some(_)) => {}
        }
        polled
    }
}

/// Finds the empty line that ends a head, or the chunks of a body, in bytes that come in parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    /// Inside a line.
    #[default]
    Text,
    /// At the beginning of a line.
    Begin,
    /// After a carriage return at the beginning of a line.
    Return,
}

impl Line {
    /// Advances over `bytes` up to the end of an empty line. Returns the number of bytes up to there.
    fn find_empty(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            *self = match (*self, byte) {
                (Self::Begin | Self::Return, b'\n') => {
                    *self = Self::Text;
                    return Some(index + 1);
                }
                (_, b'\n') => Self::Begin,
                (Self::Begin, b'\r') => Self::Return,
                _ => Self::Text,
            };
        }
        None
    }
}

/// What may be passed on to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Bytes up to the next empty line.
    Part,
    /// So many bytes of a body.
    Bytes(u64),
    /// Nothing until the response is written, or its handler wants more of the body.
    Nothing,
    /// Nothing any more: the connection is being closed, and what comes is discarded.
    Discard,
}

/// A connection of which the server reads one request at a time.
pub(super) struct Connection {
    io: Box<dyn Io>,
    activity: Rc<Activity>,
    /// Whether a client that has closed its sending side still gets responses.
    half_closed: bool,
    line: Line,
    /// Bytes that were read and not passed on.
    ahead: BytesMut,
    /// Whether the client has closed its sending side.
    ended: bool,
    /// Whether the server is to decode what it has before it reads more.
    decode_due: bool,
    /// Bytes passed on since the server last read all that there was.
    passed: usize,
    /// Bytes passed on of a head that is not complete.
    undecoded: u64,
    /// Bytes that the kernel holds, if they were counted.
    unread: u64,
    /// What the cap knows of all these.
    input: u64,
    /// Whether the client does not take what is written.
    write_blocked: bool,
    shutting_down: bool,
    check: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    pub(super) fn new(io: Box<dyn Io>, activity: Rc<Activity>, half_closed: bool) -> Self {
        Self {
            io,
            activity,
            half_closed,
            line: Line::default(),
            ahead: BytesMut::new(),
            ended: false,
            decode_due: false,
            passed: 0,
            undecoded: 0,
            unread: 0,
            input: 0,
            write_blocked: false,
            shutting_down: false,
            check: None,
        }
    }

    fn next(&self) -> Next {
        let is_free = self.activity.pending.get() == 0;
        match self.activity.body.get() {
            _ if self.shutting_down => Next::Discard,
            // The connection is closed after a response before the end of the body.
            Body::Bytes(1..) | Body::Chunked { .. } if is_free => Next::Discard,
            Body::Bytes(left @ 1..) => Next::Bytes(left),
            Body::Chunked { wanted: true } => Next::Part,
            _ if is_free && !self.write_blocked => Next::Part,
            _ => Next::Nothing,
        }
    }

    /// Records that the first of `bytes` are passed on as `next` allows. Returns how many.
    fn pass(&mut self, next: Next, bytes: &[u8]) -> usize {
        match next {
            Next::Nothing | Next::Discard => 0,
            Next::Bytes(left) => {
                let passed = left.min(bytes.len() as u64);
                self.activity.body.set(Body::Bytes(left - passed));
                passed as usize
            }
            Next::Part => {
                if matches!(self.activity.body.get(), Body::Chunked { .. }) {
                    self.activity.body.set(Body::Chunked { wanted: false });
                }
                let end = self.line.find_empty(bytes);
                self.decode_due = end.is_some();
                let passed = end.unwrap_or(bytes.len());
                let is_head = self.activity.pending.get() == 0;
                self.undecoded = match end {
                    None if is_head => self.undecoded + passed as u64,
                    _ => 0,
                };
                passed
            }
        }
    }

    /// Passes on bytes that were read before.
    fn pass_ahead(&mut self, next: Next, buffer: &mut ReadBuf<'_>) {
        let mut ahead = std::mem::take(&mut self.ahead);
        let length = ahead.len().min(buffer.remaining());
        let passed = self.pass(next, &ahead[..length]);
        buffer.put_slice(&ahead[..passed]);
        ahead.advance(passed);
        if !ahead.is_empty() {
            self.ahead = ahead;
        }
    }

    /// Reads from the client and passes on what `next` allows; the rest is kept.
    fn poll_pass(
        &mut self,
        cx: &mut Context<'_>,
        next: Next,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = match next {
            Next::Part => AHEAD_MAX,
            Next::Bytes(left) => usize::try_from(left).unwrap_or(usize::MAX),
            Next::Nothing | Next::Discard => 0,
        };
        let limit = limit.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut part))?;
        let bytes = part.filled();
        self.ended = bytes.is_empty();
        let passed = self.pass(next, bytes);
        self.ahead.extend_from_slice(&bytes[passed..]);
        buffer.advance(passed);
        Poll::Ready(Ok(()))
    }

    /// Reads to the end of the connection, and passes on nothing.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.ahead = BytesMut::new();
        let mut bytes = [0; QUANTUM];
        let mut part = ReadBuf::new(&mut bytes);
        if !self.ended {
            let read = Pin::new(&mut self.io).poll_read(cx, &mut part);
            self.unread = self.io.unread() as u64;
            ready!(read)?;
            self.ended = part.filled().is_empty();
        }
        if self.ended {
            return Poll::Ready(Ok(()));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Waits for the end of the connection while nothing is passed on. Up to [`AHEAD_MAX`] bytes are
    /// read for that.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.ended && self.ahead.len() < AHEAD_MAX {
            let mut bytes = [0; AHEAD_MAX];
            let mut part = ReadBuf::new(&mut bytes[self.ahead.len()..]);
            ready!(Pin::new(&mut self.io).poll_read(cx, &mut part))?;
            self.ended = part.filled().is_empty();
            self.ahead.extend_from_slice(part.filled());
        }
        if self.ended && (!self.half_closed || self.ahead.is_empty()) {
            return Poll::Ready(Ok(()));
        }
        if self.check.is_none() {
            self.unread = self.io.unread() as u64;
        }
        loop {
            let check = self
                .check
                .get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
            ready!(check.as_mut().poll(cx));
            self.check = None;
            self.unread = self.io.unread() as u64;
            if !self.half_closed && self.io.is_read_closed() {
                self.ended = true;
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Connection {
    fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.decode_due {
            // The server decodes once there is nothing more to read.
            self.decode_due = false;
            self.passed = 0;
            let end = self.poll_end(cx);
            if end.is_pending() && !self.ahead.is_empty() {
                cx.waker().wake_by_ref();
            }
            return end;
        }
        if self.passed >= QUANTUM {
            self.passed = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = match self.next() {
            Next::Nothing => return self.poll_end(cx),
            Next::Discard => return self.poll_discard(cx),
            next if !self.ahead.is_empty() => {
                self.pass_ahead(next, buffer);
                Poll::Ready(Ok(()))
            }
            _ if self.ended => Poll::Ready(Ok(())),
            next => self.poll_pass(cx, next, buffer),
        };
        match polled {
            Poll::Ready(_) => self.passed += buffer.filled().len() - before,
            Poll::Pending => {
                self.passed = 0;
                self.unread = 0;
            }
        }
        polled
    }

    /// Records whether the client takes what is written. Once it does again, reading goes on.
    fn record_write(&mut self, cx: &Context<'_>, is_blocked: bool) {
        if self.write_blocked && !is_blocked {
            cx.waker().wake_by_ref();
        }
        self.write_blocked = is_blocked;
    }

    /// Tells the cap what has arrived and waits.
    fn report_input(&mut self) {
        let input = self.ahead.len() as u64 + self.undecoded + self.unread;
        if input != self.input {
            self.input = input;
            self.activity.seat.set_input(input);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut reader = this.activity.reader.borrow_mut();
        if !reader
            .as_ref()
            .is_some_and(|reader| reader.will_wake(cx.waker()))
        {
            *reader = Some(cx.waker().clone());
        }
        drop(reader);
        let polled = this.poll_next(cx, buffer);
        this.report_input();
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.record_write(cx, written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shutting_down = true;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.record_write(cx, written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
