//! HTTP/1.1 client for the hops of a request, which reports exactly how an exchange ended.
//!
//! What a caller may be told depends on two facts that a general client does not report: whether
//! any byte of the request was sent, and whether the response was complete or truncated. `awc` ends
//! a body without an error when the peer closes the connection in the middle of it. So this client
//! uses the codec of `actix-http` directly, behind a check of each head ([`head`]): an error before
//! the first byte is [`Error::NotSent`], any later one is [`Error::Broken`] or
//! [`Error::Malformed`], and a body ends only at its declared length or its last chunk.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::Message;
use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use futures_util::future::{Either, select};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::clock::{Deadline, Time};
use crate::limit::window;
use crate::silence::{self, Status};

pub mod alarm;
pub mod answer;
mod codec;
pub mod head;
pub mod liveness;
pub mod path;
mod socket;

pub use alarm::Alarm;
pub use answer::Response;

use answer::Hop;
use codec::Codec;
use liveness::Probe;
use path::Paths;
use socket::Socket;

/// Bytes of a request's body that are written at once.
const BODY_PART_BYTES: usize = 64 << 10;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How much later than the new connection a reused one may answer the same request without counting
/// as silent: a few times the longest round trip between two halls.
const SILENCE_GRACE: Duration = Duration::from_millis(40);

/// How long bytes or keep-alive probes may stay unacknowledged by a peer's machine before its
/// connection counts as lost.
pub const LOSS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for the connection of a body that does not fit into its buffers. The kernel also counts
/// the time in which the peer's window is closed, and a peer that has paused does not read.
const LONG_BODY_LOSS_TIMEOUT: Duration = Duration::from_secs(5);

/// Interim responses (1xx) that are read before the response.
const INTERIM_RESPONSES_MAX: usize = 16;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("not sent: {reason}")]
    NotSent {
        /// What happened.
        reason: String,
    },
    /// Bytes were sent, and no complete response was received.
    #[error("broken: {reason}")]
    Broken {
        /// What happened.
        reason: String,
    },
    /// Bytes were sent, and what was received breaks the protocol.
    #[error("malformed response: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The connection went silent, as shown by exchanges on other connections. Bytes were sent.
    #[error("the connection went silent with others")]
    Silent,
    /// The response body exceeds its reader's limit.
    #[error("answer is longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
}

fn not_sent(reason: impl ToString) -> Error {
    Error::NotSent {
        reason: reason.to_string(),
    }
}

fn broken(reason: impl ToString) -> Error {
    Error::Broken {
        reason: reason.to_string(),
    }
}

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Self {
        match error {
            codec::Error::Io(error) => broken(error),
            codec::Error::Head(_) | codec::Error::Parse(_) => Self::Malformed {
                reason: error.to_string(),
            },
        }
    }
}

/// Whether an exchange may use an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may: the request can be repeated if the peer closes the connection meanwhile.
    Allowed,
    /// It may not: the peer may be closing the connection, and then it is unknown whether the
    /// request ran.
    Never,
}

/// What ends a response body that has neither a length nor chunked encoding.
#[derive(Debug, Clone)]
pub enum Unframed {
    /// Nothing: the end of the connection cannot be told from a failure, so the body never counts
    /// as complete.
    Broken,
    /// The orderly close of the connection (FIN), if this probe shows that the peer runs after it. A
    /// reset is a failure.
    Confirmed(Rc<dyn Probe>),
}

/// How the connection of an exchange was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquisition {
    /// Opened for the exchange.
    New,
    /// Reused.
    Used {
        /// How long it had been idle.
        idle: Duration,
    },
    /// Opened when a reused one had received nothing for a while.
    Renewed,
}

impl fmt::Display for Acquisition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::New => formatter.write_str("new"),
            Self::Renewed => formatter.write_str("renewed"),
            Self::Used { idle } => write!(formatter, "used, rested {} ms", idle.as_millis()),
        }
    }
}

/// Records how the connection of an exchange was obtained, to explain how the exchange ended.
/// Clones share the record.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    acquisition: Rc<Cell<Option<Acquisition>>>,
    alarm: Option<Alarm>,
}

impl Recorder {
    /// A recorder that raises `alarm` when the connection of an exchange that is not
    /// [guarded](Options::guarded) is found silent.
    pub fn with_alarm(alarm: Alarm) -> Self {
        Self {
            alarm: Some(alarm),
            ..Self::default()
        }
    }

    /// How the last connection was obtained, if there was one.
    pub fn acquisition(&self) -> Option<Acquisition> {
        self.acquisition.get()
    }

    fn set(&self, acquisition: Acquisition) {
        self.acquisition.set(Some(acquisition));
    }
}

impl fmt::Display for Recorder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.acquisition.get() {
            Some(acquisition) => acquisition.fmt(formatter),
            None => formatter.write_str("none"),
        }
    }
}

/// Options of an exchange.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whether an idle connection may be used.
    pub reuse: Reuse,
    /// Maximum idle time of a connection that is reused, unless its peer announced a shorter one.
    pub idle_max: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// What ends a response body without a length.
    pub unframed: Unframed,
    /// Whether the exchange fails with [`Error::Silent`] when its connection is found silent.
    /// Cleared for callers' requests: a connection that was found silent may still go on, so its
    /// response is awaited until another one is there.
    pub guarded: bool,
    /// When the request may no longer be sent. The exchange then fails with [`Error::NotSent`], even if
    /// the process was suspended after it had a connection.
    pub send_before: Option<Deadline>,
    /// For a request that may be sent twice: how long a reused connection may leave it unanswered
    /// before it is repeated on a new one.
    pub hedge_after: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            reuse: Reuse::Allowed,
            idle_max: Duration::from_secs(3_600),
            connect_timeout: CONNECT_TIMEOUT,
            unframed: Unframed::Broken,
            guarded: true,
            send_before: None,
            hedge_after: None,
        }
    }
}

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether an idle connection may be used.
    pub reuse: Reuse,
}

impl Request {
    /// Creates a request without headers and body that may use any connection.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            reuse: Reuse::Allowed,
        }
    }

    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| *known == name);
        found.map_or("", |(_, value)| value)
    }

    /// The head of the request to `peer`.
    pub fn head(&self, peer: SocketAddr) -> Result<RequestHead, Error> {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.path.parse().map_err(not_sent)?;
        let host = HeaderValue::from_str(&peer.to_string()).map_err(not_sent)?;
        head.headers.insert(HOST, host);
        for (name, value) in &self.headers {
            let value = HeaderValue::from_bytes(value.as_bytes()).map_err(not_sent)?;
            head.headers.insert(HeaderName::from_static(name), value);
        }
        if self.reuse == Reuse::Never {
            head.set_connection_type(ConnectionType::Close);
        }
        Ok(head)
    }
}

type Connection = Framed<Socket, Codec>;

/// A connection taken for an exchange.
#[derive(Debug)]
struct Checkout {
    connection: Connection,
    opened: Time,
    /// When it last received bytes, or was opened.
    last_received: Time,
}

/// A connection in the idle pool.
struct IdleConnection {
    connection: Connection,
    opened: Time,
    /// When it last received bytes. It has been idle since then.
    last_received: Time,
    /// How long the peer keeps the idle connection, if it announced that.
    keep_alive_limit: Option<Duration>,
}

impl IdleConnection {
    fn usable(&self, idle_max: Duration, now: Time) -> bool {
        let limit = self
            .keep_alive_limit
            .map_or(idle_max, |limit| limit.min(idle_max));
        now.since(self.last_received) < limit && still_open(&self.connection)
    }
}

type Pool = Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>;

/// A request to send.
struct Sending {
    peer: SocketAddr,
    head: Rc<RequestHead>,
    body: Option<Bytes>,
    options: Options,
    alarm: Option<Alarm>,
}

impl Sending {
    fn write(&self, connection: &mut Connection) -> Result<(), Error> {
        let length = match &self.body {
            None => BodySize::None,
            Some(body) => BodySize::Sized(body.len() as u64),
        };
        let head = RequestHeadType::Rc(self.head.clone(), None);
        let mut connection = Pin::new(connection);
        let item = Message::Item((head, length));
        connection.as_mut().write(item).map_err(not_sent)?;
        self.write_part(connection, 0).map_err(not_sent)
    }

    /// Writes the part of the body that begins at `from`. The connection copies what is written, so
    /// a long body is written as the peer takes it.
    fn write_part(&self, connection: Pin<&mut Connection>, from: usize) -> io::Result<()> {
        match self.part(from) {
            Some(part) => connection.write(Message::Chunk(Some(part))),
            None => Ok(()),
        }
    }

    /// Whether the request may no longer be sent.
    fn is_late(&self) -> bool {
        let deadline = self.options.send_before;
        deadline.is_some_and(|deadline| deadline.has_passed())
    }

    /// Whether the body may have to wait until the peer reads.
    fn is_long(&self) -> bool {
        let body = self.body.as_ref();
        body.is_some_and(|body| body.len() > BODY_PART_BYTES)
    }

    fn part(&self, from: usize) -> Option<Bytes> {
        let body = self.body.as_ref().filter(|body| from < body.len())?;
        Some(body.slice(from..body.len().min(from + BODY_PART_BYTES)))
    }
}

/// How far a request was sent when the head of its response was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    Completely,
    Partly,
    /// Writing it failed.
    Failed(io::ErrorKind),
}

impl Sent {
    /// The failure that the end of the connection no longer shows. The kernel reports a failure once: a
    /// connection that was reset reads as closed in order after a write has failed. A broken pipe is
    /// reported only if the peer had closed it in order before.
    fn hidden_failure(self) -> Option<io::ErrorKind> {
        match self {
            Self::Failed(io::ErrorKind::BrokenPipe) | Self::Completely | Self::Partly => None,
            Self::Failed(kind) => Some(kind),
        }
    }
}

/// Makes exchanges and pools idle connections.
#[derive(Clone, Default)]
pub struct Client {
    local: Option<IpAddr>,
    idle: Pool,
    paths: Rc<Paths>,
}

impl fmt::Debug for Client {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Client({:?})", self.local)
    }
}

impl Client {
    /// Creates a client whose connections are bound to the local address `local`.
    pub fn new(local: Option<IpAddr>) -> Self {
        Self {
            local,
            ..Self::default()
        }
    }

    /// Creates a client that shares `paths`, the state of the process's connections.
    pub fn sharing(paths: Rc<Paths>) -> Self {
        Self {
            paths,
            ..Self::default()
        }
    }

    /// What the receive buffers of its connections are taken from.
    pub fn windows(&self) -> window::Pool {
        self.paths.windows().clone()
    }

    /// Sends `request` to `peer` and returns once the head of the response is read.
    pub async fn send(&self, peer: SocketAddr, request: &Request) -> Result<Response, Error> {
        let options = Options {
            reuse: request.reuse,
            ..Options::default()
        };
        let head = request.head(peer)?;
        let body = Some(request.body.clone());
        self.exchange(peer, head, body, options).await
    }

    /// Sends a request of `head` and `body` to `peer` and returns once the head of the response is
    /// read.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        head: RequestHead,
        body: Option<Bytes>,
        options: Options,
    ) -> Result<Response, Error> {
        let recorder = Recorder::default();
        self.exchange_recorded(peer, head, body, options, &recorder)
            .await
    }

    /// Like [`exchange`](Self::exchange), and records in `recorder` how the connection was
    /// obtained.
    pub async fn exchange_recorded(
        &self,
        peer: SocketAddr,
        head: RequestHead,
        body: Option<Bytes>,
        options: Options,
        recorder: &Recorder,
    ) -> Result<Response, Error> {
        let used = match options.reuse {
            Reuse::Allowed => self.take_idle(peer, &options, recorder),
            Reuse::Never => None,
        };
        let hedge_after = options.hedge_after;
        let sending = Rc::new(Sending {
            peer,
            head: Rc::new(head),
            body,
            options,
            alarm: recorder.alarm.clone(),
        });
        let Some(used) = used else {
            let checkout = self.open(&sending, recorder).await?;
            return self.run(&sending, checkout).await;
        };
        match hedge_after {
            None => self.run(&sending, used).await,
            Some(after) => self.run_hedged(sending, used, after, recorder).await,
        }
    }

    /// Sends a request over the reused connection `used`, and repeats it over a new one if nothing
    /// is received within `after`. The first response counts.
    async fn run_hedged(
        &self,
        sending: Rc<Sending>,
        used: Checkout,
        after: Duration,
        recorder: &Recorder,
    ) -> Result<Response, Error> {
        let since = self.paths.now();
        let (client, request) = (self.clone(), sending.clone());
        let old = Box::pin(async move { client.run(&request, used).await });
        let old = match select(old, pin!(sleep(after))).await {
            Either::Left((Err(Error::Silent), _)) => None,
            Either::Left((answer, _)) => return answer,
            Either::Right((_, old)) => Some(old),
        };
        let new = pin!(async {
            let checkout = self.open(&sending, recorder).await?;
            recorder.set(Acquisition::Renewed);
            self.run(&sending, checkout).await
        });
        let Some(old) = old else {
            return new.await;
        };
        match select(old, new).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(_), new)) => new.await,
            Either::Right((answer, old)) => {
                let answer = answer?;
                self.paths.report_suspicion(sending.peer);
                let (paths, peer) = (self.paths.clone(), sending.peer);
                actix_rt::spawn(async move {
                    // A delay of the link affects both connections, so the old one would answer at
                    // about the same time.
                    if timeout(SILENCE_GRACE, old).await.is_err() {
                        paths.report_silent(peer, since);
                    }
                });
                Ok(answer)
            }
        }
    }

    /// Sends a request over a connection and reads the head of the response.
    async fn run(&self, sending: &Sending, checkout: Checkout) -> Result<Response, Error> {
        let Checkout {
            mut connection,
            opened,
            last_received,
        } = checkout;
        if sending.is_long() {
            set_loss_timeout(connection.io_ref().stream(), LONG_BODY_LOSS_TIMEOUT);
        }
        if sending.is_late() {
            return Err(not_sent("the deadline for sending it has passed"));
        }
        let sent_at = self.paths.now();
        sending.write(&mut connection)?;
        let mut guard = self.paths.guard(sending.peer, opened, last_received);
        let ended = {
            let transfer = pin!(transfer(&mut connection, sending));
            match select(transfer, &mut guard).await {
                Either::Left((ended, _)) => ended,
                Either::Right(_) if sending.options.guarded => Err(Error::Silent),
                Either::Right(((), transfer)) => {
                    sending.alarm.iter().for_each(Alarm::raise);
                    transfer.await
                }
            }
        };
        let (head, sent) = ended?;
        guard.touch();
        let hop = Hop {
            client: self.clone(),
            peer: sending.peer,
            opened,
            sent_at,
            // A peer that responds before it has read the request may take the rest for another
            // one. The next request on the connection would have the longer timeout.
            reusable: sent == Sent::Completely && !sending.is_long(),
            failure: sent.hidden_failure(),
            bodiless: sending.head.method == Method::HEAD,
            options: sending.options.clone(),
            guard,
            alarm: sending.alarm.clone(),
        };
        Ok(Response::new(hop, head, connection))
    }

    /// Takes an idle connection to `peer` that is still usable as far as is known.
    fn take_idle(
        &self,
        peer: SocketAddr,
        options: &Options,
        recorder: &Recorder,
    ) -> Option<Checkout> {
        let now = self.paths.now();
        while let Some(kept) = self.pop_idle(peer) {
            let connection = silence::Connection {
                peer,
                opened: kept.opened,
                last_received: kept.last_received,
                status: Status::Idle,
            };
            if kept.usable(options.idle_max, now) && !self.paths.is_suspect(connection) {
                let idle = now.since(kept.last_received);
                recorder.set(Acquisition::Used { idle });
                return Some(Checkout {
                    connection: kept.connection,
                    opened: kept.opened,
                    last_received: kept.last_received,
                });
            }
        }
        None
    }

    /// Opens a new connection.
    async fn open(&self, sending: &Sending, recorder: &Recorder) -> Result<Checkout, Error> {
        recorder.set(Acquisition::New);
        let open = self.open_within(sending.peer, sending.options.connect_timeout);
        open.await.map_err(not_sent)
    }

    /// Opens a new connection to `peer` within the timeout `within`.
    async fn open_within(&self, peer: SocketAddr, within: Duration) -> io::Result<Checkout> {
        let open = timeout(within, self.paths.connect(peer, self.local));
        let late = |_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
        let socket = open.await.map_err(late)??;
        let _ = socket.stream().set_nodelay(true);
        enable_loss_detection(socket.stream());
        let opened = self.paths.now();
        Ok(Checkout {
            connection: Framed::new(socket, Codec::default()),
            opened,
            last_received: opened,
        })
    }

    /// Opens a connection to `peer` and closes it. Returns whether its machine refuses it (nothing
    /// listens there) within the timeout `within`.
    pub async fn probe_refused(&self, peer: SocketAddr, within: Duration) -> bool {
        let opened = timeout(within, self.paths.connect(peer, self.local)).await;
        matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Counts how often reused connections received nothing while new ones did, so that all of them
    /// may be silent.
    pub fn suspicions(&self) -> watch::Receiver<u64> {
        self.paths.suspicions()
    }

    /// Closes connections that have been idle for longer than `idle_max` or than their peers
    /// announced, and those that are no longer open.
    pub fn reap(&self, idle_max: Duration) {
        let now = self.paths.now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|kept| kept.usable(idle_max, now));
            !kept.is_empty()
        });
    }

    /// Closes the idle connections to `peer`. Used when another process listens there now.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    fn pop_idle(&self, peer: SocketAddr) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&peer)?.pop()
    }
}

/// Flushes the request and reads the head of the response, concurrently. Also returns how far the
/// request was sent by then.
async fn transfer(
    connection: &mut Connection,
    sending: &Sending,
) -> Result<(ResponseHead, Sent), Error> {
    let mut written = BODY_PART_BYTES;
    let mut sent = Sent::Partly;
    for _ in 0..=INTERIM_RESPONSES_MAX {
        let head = poll_fn(|cx| {
            connection.io_mut().begin_turn();
            while sent == Sent::Partly {
                match Pin::new(&mut *connection).flush(cx) {
                    Poll::Ready(Ok(())) if sending.part(written).is_some() => {
                        let part = sending.write_part(Pin::new(&mut *connection), written);
                        if let Err(error) = part {
                            sent = Sent::Failed(error.kind());
                        }
                        written += BODY_PART_BYTES;
                    }
                    Poll::Ready(Ok(())) => sent = Sent::Completely,
                    Poll::Ready(Err(error)) => sent = Sent::Failed(error.kind()),
                    Poll::Pending => break,
                }
            }
            Pin::new(&mut *connection).next_item(cx)
        });
        match head.await {
            // No request asks for another protocol, so what follows can't be read.
            Some(Ok(head)) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(broken("the peer switched to another protocol"));
            }
            Some(Ok(head)) if head.status.is_informational() => {}
            Some(Ok(head)) => return Ok((head, sent)),
            Some(Err(error)) => return Err(error.into()),
            None => return Err(closed(sent)),
        }
    }
    Err(broken("too many interim responses"))
}

/// The error when the connection ended before a response.
fn closed(sent: Sent) -> Error {
    match sent {
        Sent::Failed(kind) => broken(format_args!("sending the request failed: {kind}")),
        Sent::Completely | Sent::Partly => broken("the peer closed the connection"),
    }
}

/// Has the kernel detect a peer whose machine went silent, which sends neither FIN nor RST.
fn enable_loss_detection(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(LOSS_TIMEOUT)
        .with_interval(Duration::from_secs(1))
        .with_retries(1);
    let _ = socket.set_tcp_keepalive(&probes);
    set_loss_timeout(stream, LOSS_TIMEOUT);
}

fn set_loss_timeout(stream: &TcpStream, timeout: Duration) {
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
}

/// Whether an idle connection has neither been closed nor received unsolicited bytes.
fn still_open(connection: &Connection) -> bool {
    let mut byte = [0];
    match connection.io_ref().stream().try_read(&mut byte) {
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
