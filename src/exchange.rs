//! One HTTP/1.1 exchange whose end is known exactly, for the hops that a request travels.
//!
//! Two questions decide what a caller may be told, and a general client answers neither: did any
//! byte of the request leave, and did the answer end or was it cut off? `awc` ends a body without
//! an error when the peer's connection closes in the middle of it. So these hops use the codec of
//! `actix-http` directly: an error before the first byte is [`Error::NotSent`], everything after
//! it is [`Error::Broken`], and a body ends only where its length or its last chunk says so.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::net::{TcpSocket, TcpStream};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections kept for each peer.
const IDLE_MAX: usize = 64;

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

    fn head(&self, peer: SocketAddr) -> Result<RequestHead, Error> {
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

type Idle = Rc<RefCell<BTreeMap<SocketAddr, Vec<Connection>>>>;

/// Makes exchanges, and keeps idle connections.
#[derive(Clone, Default)]
pub struct Client {
    local: Option<IpAddr>,
    idle: Idle,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Client({:?})", self.local)
    }
}

impl Client {
    /// A client whose connections leave from `local`.
    pub fn new(local: Option<IpAddr>) -> Self {
        Self {
            local,
            idle: Idle::default(),
        }
    }

    /// Sends `request` to `peer` and returns the head of its answer.
    pub async fn send(&self, peer: SocketAddr, request: &Request) -> Result<Response, Error> {
        let head = request.head(peer)?;
        let mut connection = self.connection(peer, request.reuse).await?;
        let length = match request.body.len() {
            0 => BodySize::Sized(0),
            length => BodySize::Sized(length as u64),
        };
        let item = Message::Item((RequestHeadType::Owned(head), length));
        Pin::new(&mut connection).write(item).map_err(not_sent)?;
        if !request.body.is_empty() {
            let chunk = Message::Chunk(Some(request.body.clone()));
            Pin::new(&mut connection).write(chunk).map_err(not_sent)?;
        }
        poll_fn(|cx| Pin::new(&mut connection).flush(cx))
            .await
            .map_err(broken)?;
        let head = poll_fn(|cx| Pin::new(&mut connection).next_item(cx)).await;
        match head {
            Some(Ok(head)) => Ok(Response::new(self.idle.clone(), peer, head, connection)),
            Some(Err(error)) => Err(broken(error)),
            None => Err(broken("the peer closed the connection")),
        }
    }

    async fn connection(&self, peer: SocketAddr, reuse: Reuse) -> Result<Connection, Error> {
        if reuse == Reuse::Allowed {
            while let Some(kept) = self.kept(peer) {
                if still_open(&kept) {
                    return Ok(kept);
                }
            }
        }
        let open = actix_rt::time::timeout(CONNECT_TIMEOUT, self.connect(peer));
        let stream = open
            .await
            .map_err(|_| not_sent("no connection in time"))?
            .map_err(not_sent)?;
        let _ = stream.set_nodelay(true);
        Ok(Framed::new(stream, ClientCodec::default()))
    }

    fn kept(&self, peer: SocketAddr) -> Option<Connection> {
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

/// Whether an idle connection has neither been closed nor got bytes that nobody asked for.
fn still_open(connection: &Connection) -> bool {
    let mut byte = [0];
    match connection.io_ref().try_read(&mut byte) {
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// What is left to read of an answer.
enum Rest {
    /// Bytes are to come on this connection.
    Open(Framed<TcpStream, ClientPayloadCodec>),
    /// The answer is whole.
    Whole,
    /// It was cut off.
    Cut,
}

/// An answer. Its body is a stream that ends only if the answer is whole.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    idle: Idle,
    peer: SocketAddr,
    rest: Rest,
    until_close: bool,
}

impl std::fmt::Debug for Response {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Response({})", self.status)
    }
}

impl Response {
    fn new(idle: Idle, peer: SocketAddr, head: ResponseHead, connection: Connection) -> Self {
        let kind = connection.codec_ref().message_type();
        let mut response = Self {
            status: head.status,
            headers: head.headers,
            idle,
            peer,
            rest: Rest::Whole,
            // Without a length, HTTP/1.1 lets the connection's end end the body. That end cannot
            // be told from a break, so such an answer never counts as whole.
            until_close: matches!(kind, MessageType::Stream),
        };
        match kind {
            MessageType::None => response.keep(connection),
            MessageType::Payload | MessageType::Stream => {
                let payload = connection.into_map_codec(ClientCodec::into_payload_codec);
                response.rest = Rest::Open(payload);
            }
        }
        response
    }

    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Reads the whole body of at most `limit` bytes.
    pub async fn read(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut all = BytesMut::new();
        while let Some(part) = self.next().await {
            let part = part?;
            if all.len() + part.len() > limit {
                return Err(Error::TooLong { limit });
            }
            all.extend_from_slice(&part);
        }
        Ok(all.freeze())
    }

    fn keep(&self, connection: Connection) {
        if !connection.codec_ref().keep_alive() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(self.peer).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(connection);
        }
    }

    fn ended(&mut self) {
        let rest = std::mem::replace(&mut self.rest, Rest::Whole);
        if let Rest::Open(payload) = rest {
            self.keep(payload.into_map_codec(ClientPayloadCodec::into_message_codec));
        }
    }
}

impl Stream for Response {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let payload = match &mut self.rest {
            Rest::Whole => return Poll::Ready(None),
            Rest::Cut => return Poll::Ready(Some(Err(broken("the answer was cut off")))),
            Rest::Open(payload) => payload,
        };
        let item = std::task::ready!(Pin::new(payload).next_item(cx));
        match item {
            Some(Ok(Some(part))) => Poll::Ready(Some(Ok(part))),
            Some(Ok(None)) if !self.until_close => {
                self.ended();
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.rest = Rest::Cut;
                Poll::Ready(Some(Err(broken(error))))
            }
            Some(Ok(None)) | None => {
                self.rest = Rest::Cut;
                Poll::Ready(Some(Err(broken("the answer was cut off"))))
            }
        }
    }
}
