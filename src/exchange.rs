//! One HTTP/1.1 exchange whose end is known exactly, for the hops that a request travels.
//!
//! Two questions decide what a caller may be told, and a general client answers neither: did any
//! byte of the request leave, and did the answer end or was it cut off? `awc` ends a body without
//! an error when the peer's connection closes in the middle of it. So these hops use the codec of
//! `actix-http` directly: an error before the first byte is [`Error::NotSent`], everything after
//! it is [`Error::Broken`], and a body ends only where its length or its last chunk says so.

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
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead};
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use futures_util::future::{Either, select};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::clock::Time;
use crate::silence::{self, Status};

pub mod answer;
pub mod path;

pub use answer::Response;

use answer::Hop;
use path::Paths;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How much later than a new connection the used one may answer the same without counting as silent: a
/// few times the longest way between two halls and back.
const CONFIRMED_AFTER: Duration = Duration::from_millis(40);

/// Longest silence of a peer's machine, with bytes or probes unanswered, before its connection
/// counts as lost.
pub const LOSS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request left.
    #[error("not sent: {reason}")]
    NotSent {
        /// What happened.
        reason: String,
    },
    /// Bytes left, and the answer did not come whole.
    #[error("broken: {reason}")]
    Broken {
        /// What happened.
        reason: String,
    },
    /// The connection went silent, as exchanges with others show. Bytes left.
    #[error("the connection went silent with others")]
    Silent,
    /// The answer is longer than its reader allows.
    #[error("answer is longer than {limit} bytes")]
    TooLong {
        /// The bound, in bytes.
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

/// Whether a connection that was used before will do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It will: if the peer closes it meanwhile, the request may be sent again.
    Allowed,
    /// It will not: the peer may be closing it, and then nobody knows whether the request ran.
    Never,
}

/// What ends an answer that tells no length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unframed {
    /// Nothing: its connection's end cannot be told from a break, so it never counts as whole.
    Broken,
    /// The orderly end of its connection; a reset is a break.
    EndsWithConnection,
}

/// The connection that an exchange took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquisition {
    /// One that was opened for it.
    New,
    /// One that was used before.
    Used {
        /// How long it had rested.
        rested: Duration,
    },
    /// One that was opened when a used one had brought nothing for a while.
    Renewed,
}

impl fmt::Display for Acquisition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::New => formatter.write_str("new"),
            Self::Renewed => formatter.write_str("renewed"),
            Self::Used { rested } => write!(formatter, "used, rested {} ms", rested.as_millis()),
        }
    }
}

/// Keeps which connection an exchange took, for whoever has to explain how it ended. Clones tell of
/// the same exchange.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Rc<Cell<Option<Acquisition>>>);

impl Recorder {
    /// The connection that was taken last, if any was.
    pub fn acquisition(&self) -> Option<Acquisition> {
        self.0.get()
    }

    fn set(&self, way: Acquisition) {
        self.0.set(Some(way));
    }
}

impl fmt::Display for Recorder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.get() {
            Some(way) => way.fmt(formatter),
            None => formatter.write_str("none"),
        }
    }
}

/// How an exchange is to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Whether a used connection will do.
    pub reuse: Reuse,
    /// Longest rest of a connection that is used again, unless its peer says less.
    pub idle_max: Duration,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// What ends an answer without a length.
    pub unframed: Unframed,
    /// Whether the exchange ends with [`Error::Silent`] when its connection turns out to be silent.
    /// What may not run twice is waited for all the same.
    pub guarded: bool,
    /// For what may be sent twice: how long a used connection may leave it unanswered before it is
    /// sent again on a new one.
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
            hedge_after: None,
        }
    }
}

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Its headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Bytes,
    /// Whether a used connection will do.
    pub reuse: Reuse,
}

impl Request {
    /// A request without headers and body that may use any connection.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            reuse: Reuse::Allowed,
        }
    }

    /// The value of one of its headers, empty if it has none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| *known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Its head, for `peer`.
    pub fn head(&self, peer: SocketAddr) -> Result<RequestHead, Error> {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.path.parse().map_err(not_sent)?;
        let host = HeaderValue::from_str(&peer.to_string()).map_err(not_sent)?;
        head.headers.insert(HOST, host);
        for (name, value) in &self.headers {
            let value = HeaderValue::from_str(value).map_err(not_sent)?;
            head.headers.insert(HeaderName::from_static(name), value);
        }
        if self.reuse == Reuse::Never {
            head.set_connection_type(ConnectionType::Close);
        }
        Ok(head)
    }
}

type Connection = Framed<TcpStream, ClientCodec>;

/// A connection that an exchange takes.
struct Taken {
    connection: Connection,
    opened: Time,
    /// When it brought something last, or was opened.
    heard: Time,
}

/// A connection at rest.
struct Kept {
    connection: Connection,
    opened: Time,
    /// When it brought something last. It rests since then.
    heard: Time,
    good_for: Option<Duration>,
}

impl Kept {
    fn usable(&self, idle_max: Duration, now: Time) -> bool {
        let longest = self.good_for.map_or(idle_max, |good| good.min(idle_max));
        now.since(self.heard) < longest && still_open(&self.connection)
    }
}

type Idle = Rc<RefCell<BTreeMap<SocketAddr, Vec<Kept>>>>;

/// A request on its way.
struct Sending {
    peer: SocketAddr,
    head: Rc<RequestHead>,
    body: Option<Bytes>,
    options: Options,
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
        if let Some(body) = self.body.clone().filter(|body| !body.is_empty()) {
            let chunk = Message::Chunk(Some(body));
            connection.write(chunk).map_err(not_sent)?;
        }
        Ok(())
    }
}

/// Makes exchanges, and keeps idle connections.
#[derive(Clone, Default)]
pub struct Client {
    local: Option<IpAddr>,
    idle: Idle,
    paths: Rc<Paths>,
}

impl fmt::Debug for Client {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Client({:?})", self.local)
    }
}

impl Client {
    /// A client whose connections leave from `local`.
    pub fn new(local: Option<IpAddr>) -> Self {
        Self {
            local,
            ..Self::default()
        }
    }

    /// A client that shares what is known of the process's connections.
    pub fn sharing(paths: Rc<Paths>) -> Self {
        Self {
            paths,
            ..Self::default()
        }
    }

    /// Sends `request` to `peer` and returns the head of its answer.
    pub async fn send(&self, peer: SocketAddr, request: &Request) -> Result<Response, Error> {
        let options = Options {
            reuse: request.reuse,
            ..Options::default()
        };
        let head = request.head(peer)?;
        let body = Some(request.body.clone());
        self.exchange(peer, head, body, options).await
    }

    /// Sends a request of `head` and `body` to `peer` and returns the head of its answer.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        head: RequestHead,
        body: Option<Bytes>,
        options: Options,
    ) -> Result<Response, Error> {
        let note = Recorder::default();
        self.exchange_recorded(peer, head, body, options, &note)
            .await
    }

    /// Does the same, and notes in `note` which connection it takes.
    pub async fn exchange_recorded(
        &self,
        peer: SocketAddr,
        head: RequestHead,
        body: Option<Bytes>,
        options: Options,
        note: &Recorder,
    ) -> Result<Response, Error> {
        let sending = Rc::new(Sending {
            peer,
            head: Rc::new(head),
            body,
            options,
        });
        let used = match options.reuse {
            Reuse::Allowed => self.used(peer, options, note),
            Reuse::Never => None,
        };
        let Some(used) = used else {
            let taken = self.open(&sending, note).await?;
            return self.converse(&sending, taken).await;
        };
        match options.hedge_after {
            None => self.converse(&sending, used).await,
            Some(after) => self.converse_or_renew(sending, used, after, note).await,
        }
    }

    /// Sends a request over a used connection, and again over a new one if that brings nothing `after`
    /// so long. Whichever answers first counts.
    async fn converse_or_renew(
        &self,
        sending: Rc<Sending>,
        used: Taken,
        after: Duration,
        note: &Recorder,
    ) -> Result<Response, Error> {
        let since = self.paths.now();
        let (client, request) = (self.clone(), sending.clone());
        let old = Box::pin(async move { client.converse(&request, used).await });
        let old = match select(old, pin!(sleep(after))).await {
            Either::Left((Err(Error::Silent), _)) => None,
            Either::Left((answer, _)) => return answer,
            Either::Right((_, old)) => Some(old),
        };
        let new = pin!(async {
            let taken = self.open(&sending, note).await?;
            note.set(Acquisition::Renewed);
            self.converse(&sending, taken).await
        });
        let Some(old) = old else {
            return new.await;
        };
        match select(old, new).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(_), new)) => new.await,
            Either::Right((answer, old)) => {
                let answer = answer?;
                self.paths.suspect(sending.peer);
                let (paths, peer) = (self.paths.clone(), sending.peer);
                actix_rt::spawn(async move {
                    // What holds a link up holds both up: the old one answers about then as well.
                    if timeout(CONFIRMED_AFTER, old).await.is_err() {
                        paths.report_silent(peer, since);
                    }
                });
                Ok(answer)
            }
        }
    }

    /// Sends a request over a connection and reads the head of its answer.
    async fn converse(&self, sending: &Sending, taken: Taken) -> Result<Response, Error> {
        let Taken {
            mut connection,
            opened,
            heard,
        } = taken;
        sending.write(&mut connection)?;
        let mut guard = self.paths.guard(sending.peer, opened, heard);
        let ended = {
            let converse = pin!(converse(&mut connection));
            if sending.options.guarded {
                match select(converse, &mut guard).await {
                    Either::Left((ended, _)) => ended,
                    Either::Right(_) => Err(Error::Silent),
                }
            } else {
                converse.await
            }
        };
        let (head, sent) = ended?;
        guard.heard();
        let hop = Hop {
            idle: self.idle.clone(),
            peer: sending.peer,
            opened,
            // A peer that answered before it read the request may read the rest as another one.
            reusable: sent,
            unframed: sending.options.unframed,
            guard,
            guarded: sending.options.guarded,
        };
        Ok(Response::new(hop, head, connection))
    }

    /// A connection to `peer` that was used before, and is good as far as is known.
    fn used(&self, peer: SocketAddr, options: Options, note: &Recorder) -> Option<Taken> {
        let now = self.paths.now();
        while let Some(kept) = self.kept(peer) {
            let connection = silence::Connection {
                peer,
                opened: kept.opened,
                last_received: kept.heard,
                status: Status::Idle,
            };
            if kept.usable(options.idle_max, now) && !self.paths.doubts(connection) {
                let rested = now.since(kept.heard);
                note.set(Acquisition::Used { rested });
                return Some(Taken {
                    connection: kept.connection,
                    opened: kept.opened,
                    heard: kept.heard,
                });
            }
        }
        None
    }

    /// Opens a connection.
    async fn open(&self, sending: &Sending, note: &Recorder) -> Result<Taken, Error> {
        note.set(Acquisition::New);
        let open = self.connect(sending.peer);
        let open = timeout(sending.options.connect_timeout, open);
        let stream = open
            .await
            .map_err(|_| not_sent("no connection in time"))?
            .map_err(not_sent)?;
        let _ = stream.set_nodelay(true);
        watch_for_loss(&stream);
        let opened = self.paths.now();
        Ok(Taken {
            connection: Framed::new(stream, ClientCodec::default()),
            opened,
            heard: opened,
        })
    }

    /// Opens a connection to `peer` and closes it. Returns whether its machine answers `within` so long that nobody
    /// listens there.
    pub async fn probe_refused(&self, peer: SocketAddr, within: Duration) -> bool {
        let opened = timeout(within, self.connect(peer)).await;
        matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Counts how often used connections brought nothing where new ones did, so that all may be silent.
    pub fn suspicions(&self) -> watch::Receiver<u64> {
        self.paths.suspicions()
    }

    /// Closes connections that rested for longer than `idle_max`, or than their peers said.
    pub fn reap(&self, idle_max: Duration) {
        let now = self.paths.now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|kept| kept.usable(idle_max, now));
            !kept.is_empty()
        });
    }

    /// Closes connections to `peer` that rest: another process listens there now.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    fn kept(&self, peer: SocketAddr) -> Option<Kept> {
        self.idle.borrow_mut().get_mut(&peer)?.pop()
    }

    async fn connect(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let socket = if peer.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(local) = self.local {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        socket.connect(peer).await
    }
}

/// Writes what is due and reads the head of the answer, whichever comes first. Returns whether the
/// request left whole.
async fn converse(connection: &mut Connection) -> Result<(ResponseHead, bool), Error> {
    let mut sent = false;
    let mut failed = false;
    let head = poll_fn(|cx| {
        if !sent && !failed {
            match Pin::new(&mut *connection).flush(cx) {
                Poll::Ready(Ok(())) => sent = true,
                Poll::Ready(Err(_)) => failed = true,
                Poll::Pending => {}
            }
        }
        Pin::new(&mut *connection).next_item(cx)
    })
    .await;
    match head {
        Some(Ok(head)) => Ok((head, sent)),
        Some(Err(error)) => Err(broken(error)),
        None => Err(broken("the peer closed the connection")),
    }
}

/// Has the kernel notice a peer whose machine went silent: it neither closes nor resets.
fn watch_for_loss(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(LOSS_TIMEOUT)
        .with_interval(Duration::from_secs(1))
        .with_retries(1);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(LOSS_TIMEOUT));
}

/// Whether an idle connection has neither been closed nor got bytes that nobody asked for.
fn still_open(connection: &Connection) -> bool {
    let mut byte = [0];
    match connection.io_ref().try_read(&mut byte) {
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
