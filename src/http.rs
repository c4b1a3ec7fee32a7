//! HTTP at a process's edge: one accept loop and small helpers around `actix-http` and `awc`.
//!
//! A process keeps its state on one thread, without locks, so its connections are served on that
//! thread too; `actix-server`'s worker threads would force every table behind a mutex.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::patience::{self, Progress};

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// How long after its last answer a connection counts as busy: its bytes may not have left yet.
const LAST_BYTES: Duration = Duration::from_millis(100);

/// How often a closing server looks whether a connection rests.
const REST_LOOK: Duration = Duration::from_millis(50);

/// Bytes that one connection's answer may wait in memory before the body is paused.
const WRITE_BUFFER: usize = 64 * 1024;

/// What goes wrong while a message is sent or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// Why the system refused.
        source: io::Error,
    },
    /// The connection failed before a request was written to it.
    #[error("cannot connect: {reason}")]
    Connect {
        /// What the client library reported.
        reason: String,
    },
    /// The exchange broke after bytes may have left.
    #[error("exchange broke: {reason}")]
    Exchange {
        /// What the client library reported.
        reason: String,
    },
    /// The peer answered with a status that is not a success.
    #[error("peer answered {status}")]
    Status {
        /// The status code.
        status: u16,
    },
    /// A body is longer than its reader allows.
    #[error("body is longer than {limit} bytes")]
    TooLong {
        /// The bound, in bytes.
        limit: usize,
    },
    /// A body could not be decoded.
    #[error("cannot decode body: {reason}")]
    Decode {
        /// What the codec reported.
        reason: String,
    },
}

impl From<awc::error::SendRequestError> for Error {
    fn from(error: awc::error::SendRequestError) -> Self {
        use awc::error::{ConnectError, SendRequestError as Send};
        match error {
            // awc calls it a connect error, too, when the peer closes the connection after the
            // request was written and before an answer came. Nobody knows then whether it ran.
            Send::Connect(ConnectError::Disconnected) => Self::Exchange {
                reason: "the peer closed the connection".to_owned(),
            },
            Send::Connect(reason) => Self::Connect {
                reason: reason.to_string(),
            },
            Send::Url(reason) => Self::Connect {
                reason: reason.to_string(),
            },
            other => Self::Exchange {
                reason: other.to_string(),
            },
        }
    }
}

/// A connection as the server sees it: a plain socket, or one that a test bench has wrapped.
pub trait Io: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// Wraps each accepted connection. Production serves plain sockets; a bench shapes them.
pub type Wrap = Rc<dyn Fn(TcpStream, SocketAddr) -> Box<dyn Io>>;

/// The [`Wrap`] that leaves a connection as it is.
pub fn plain() -> Wrap {
    Rc::new(|stream, _| Box::new(stream))
}

/// The answer type of all handlers.
pub type Answer = Response<BoxBody>;

/// Opens a listening socket, which any runtime may then [`adopt`]. Port 0 lets the kernel choose.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let open = || -> io::Result<std::net::TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|source| Error::Listen { address, source })
}

/// Hands a listening socket to the present thread's runtime.
pub fn adopt(listener: std::net::TcpListener) -> Result<TcpListener, Error> {
    let address = listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    TcpListener::from_std(listener).map_err(|source| Error::Listen { address, source })
}

/// How a server treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a caller may take to send a request's head.
    pub head: Duration,
    /// How long an idle connection is kept.
    pub idle: Duration,
    /// Whether a caller that closed its sending side still gets its answer. If not, its request
    /// ends at once.
    pub half_closed: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            head: HEAD_TIMEOUT,
            idle: KEEP_ALIVE,
            half_closed: true,
        }
    }
}

/// A running accept loop. Dropping it closes the listener; connections that are open go on.
#[derive(Debug)]
pub struct Server {
    accept: actix_rt::task::JoinHandle<()>,
    closing: watch::Sender<bool>,
}

impl Server {
    /// Serves `listener` with `handler` on the present thread.
    pub fn start<F, Fut>(listener: TcpListener, wrap: Wrap, handler: F) -> Self
    where
        F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
        Fut: Future<Output = Answer> + 'static,
    {
        Self::with_timing(listener, wrap, handler, Timing::default)
    }

    /// Serves `listener` with `handler`; each new connection is treated as `timing` says then.
    pub fn with_timing<F, Fut, T>(listener: TcpListener, wrap: Wrap, handler: F, timing: T) -> Self
    where
        F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
        Fut: Future<Output = Answer> + 'static,
        T: Fn() -> Timing + 'static,
    {
        let closing = watch::Sender::new(false);
        let closed = closing.subscribe();
        let accept = actix_rt::spawn(accept_loop(listener, wrap, handler, timing, closed));
        Self { accept, closing }
    }

    /// Stops accepting connections. Those that are open go on.
    pub fn stop_accepting(&self) {
        self.accept.abort();
    }

    /// Stops accepting connections, and closes those that are open as soon as they rest.
    pub fn close(&self) {
        self.accept.abort();
        self.closing.send_replace(true);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// What a connection has to do: requests whose answers are not written yet.
#[derive(Debug, Default)]
struct Activity {
    answers: Cell<u32>,
    rests_since: Cell<Option<Instant>>,
}

impl Activity {
    fn rests(&self) -> bool {
        let since = self.rests_since.get();
        self.answers.get() == 0 && since.is_none_or(|since| since.elapsed() >= LAST_BYTES)
    }
}

/// Counts an answer until it is written or given up.
struct Busy(Rc<Activity>);

impl Busy {
    fn begin(activity: &Rc<Activity>) -> Self {
        activity.answers.set(activity.answers.get() + 1);
        Self(activity.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.answers.set(self.0.answers.get() - 1);
        self.0.rests_since.set(Some(Instant::now()));
    }
}

/// A body that keeps its connection busy.
struct BusyBody {
    body: BoxBody,
    _busy: Busy,
}

impl MessageBody for BusyBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// Waits until the server closes and the connection rests.
async fn closed_at_rest(mut closing: watch::Receiver<bool>, activity: Rc<Activity>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // The server is gone, and its connections go on.
        std::future::pending::<()>().await;
    }
    while !activity.rests() {
        actix_rt::time::sleep(REST_LOOK).await;
    }
}

async fn accept_loop<F, Fut, T>(
    listener: TcpListener,
    wrap: Wrap,
    handler: F,
    timing: T,
    closing: watch::Receiver<bool>,
) where
    F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
    Fut: Future<Output = Answer> + 'static,
    T: Fn() -> Timing + 'static,
{
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of descriptors: wait for some to be closed instead of spinning.
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = serve_connection(wrap(stream, peer), peer, handler.clone(), timing());
        let closing = closing.clone();
        actix_rt::spawn(async move {
            let activity = Rc::new(Activity::default());
            let closed = closed_at_rest(closing, activity.clone());
            let both =
                futures_util::future::select(Box::pin(connection(activity)), Box::pin(closed));
            both.await;
        });
    }
}

fn serve_connection<F, Fut>(
    io: Box<dyn Io>,
    peer: SocketAddr,
    handler: F,
    timing: Timing,
) -> impl FnOnce(Rc<Activity>) -> Pin<Box<dyn Future<Output = ()>>>
where
    F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
    Fut: Future<Output = Answer> + 'static,
{
    move |activity| {
        Box::pin(async move {
            let service = fn_service(move |request: Request| {
                let busy = Busy::begin(&activity);
                let answer = handler(request, peer);
                async move {
                    let answer = answer.await.map_body(|_, body| {
                        let busy = BusyBody { body, _busy: busy };
                        busy.boxed()
                    });
                    Ok::<_, actix_http::Error>(answer)
                }
            });
            let factory = HttpService::<Box<dyn Io>, _, BoxBody>::build()
                .client_request_timeout(timing.head)
                .keep_alive(timing.idle)
                .h1_allow_half_closed(timing.half_closed)
                .h1_write_buffer_size(WRITE_BUFFER)
                .h1(service);
            let Ok(connection) = factory.new_service(()).await else {
                return;
            };
            if let Err(error) = connection.call((io, Some(peer))).await {
                log::debug!(peer:% = peer; "connection ended: {error}");
            }
        })
    }
}

/// Settings of an HTTP client.
#[derive(Debug, Clone, Copy)]
pub struct ClientSetting {
    /// The address that connections leave from, so that a box is known by it.
    pub local_address: Option<IpAddr>,
    /// Connections kept for one peer and in all.
    pub connections: usize,
}

impl Default for ClientSetting {
    fn default() -> Self {
        Self {
            local_address: None,
            connections: 1024,
        }
    }
}

/// A client without a timeout of its own: callers bound each exchange.
pub fn client(setting: ClientSetting) -> awc::Client {
    let mut connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .handshake_timeout(CONNECT_TIMEOUT)
        .limit(setting.connections);
    if let Some(address) = setting.local_address {
        connector = connector.local_address(address);
    }
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// An empty answer.
pub fn status(code: StatusCode) -> Answer {
    Response::with_body(code, BoxBody::new(()))
}

/// An answer of `body` under a content type.
pub fn body(code: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::with_body(code, BoxBody::new(body.into()));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// A JSON answer.
pub fn json<T: Serialize>(code: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => body(code, "application/json", bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A MessagePack answer, the codec between the system's own processes.
pub fn pack<T: Serialize>(code: StatusCode, value: &T) -> Answer {
    match rmp_serde::to_vec_named(value) {
        Ok(bytes) => body(code, "application/msgpack", bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A streamed answer; an error item breaks the connection, so that the reader sees the break.
pub fn stream<S>(code: StatusCode, content_type: &'static str, items: S) -> Answer
where
    S: Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    let body = BodyStream::new(Box::pin(items) as Pin<Box<dyn Stream<Item = _>>>);
    let mut answer = Response::with_body(code, body.boxed());
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Reads a request's body of at most `limit` bytes.
pub async fn read_request(request: &mut Request, limit: usize) -> Result<Bytes, Error> {
    let mut payload = request.take_payload();
    let mut all = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| Error::Exchange {
            reason: error.to_string(),
        })?;
        if all.len() + part.len() > limit {
            return Err(Error::TooLong { limit });
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

/// Reads a response's body of at most `limit` bytes.
pub async fn read_response<S>(payload: &mut S, limit: usize) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    read_noting(payload, limit, &Progress::default()).await
}

/// Reads a response's body of at most `limit` bytes, and notes when bytes come.
async fn read_noting<S>(payload: &mut S, limit: usize, progress: &Progress) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut all = BytesMut::new();
    progress.came();
    while let Some(part) = payload.next().await {
        progress.came();
        let part = part.map_err(|error| Error::Exchange {
            reason: error.to_string(),
        })?;
        if all.len() + part.len() > limit {
            return Err(Error::TooLong { limit });
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

/// Gets `url`, whose answer begins within `first`, and decodes its JSON.
pub async fn get_json<T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first: Duration,
) -> Result<T, Error> {
    let bytes = get(client, url, limit, first).await?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
        reason: error.to_string(),
    })
}

/// Gets `url`, whose answer begins within `first`, and decodes its MessagePack.
pub async fn get_pack<T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first: Duration,
) -> Result<T, Error> {
    let bytes = get(client, url, limit, first).await?;
    rmp_serde::from_slice(&bytes).map_err(|error| Error::Decode {
        reason: error.to_string(),
    })
}

/// Gets `url`, whose answer begins within `first`.
pub async fn get(
    client: &awc::Client,
    url: &str,
    limit: usize,
    first: Duration,
) -> Result<Bytes, Error> {
    receive(client.get(url), limit, first).await
}

/// Sends `request` and reads its answer, which begins within `first`. A long one may take its time.
pub async fn receive(
    request: awc::ClientRequest,
    limit: usize,
    first: Duration,
) -> Result<Bytes, Error> {
    let progress = Progress::default();
    let exchange = async {
        let mut response = request.send().await?;
        let status = response.status();
        if !status.is_success() {
            return Err(Error::Status {
                status: status.as_u16(),
            });
        }
        read_noting(&mut response, limit, &progress).await
    };
    while_moving(first, &progress, exchange).await
}

/// Posts JSON and decodes a JSON answer, which begins within `first`. Statuses other than success
/// are errors.
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    value: &B,
    first: Duration,
) -> Result<T, Error> {
    /// Longest answer to a post.
    const LIMIT: usize = 1 << 20;
    let progress = Progress::default();
    let exchange = async {
        let mut response = client.post(url).send_json(value).await?;
        let status = response.status();
        let bytes = read_noting(&mut response, LIMIT, &progress).await?;
        if !status.is_success() {
            return Err(Error::Status {
                status: status.as_u16(),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
            reason: error.to_string(),
        })
    };
    while_moving(first, &progress, exchange).await
}

async fn while_moving<T>(
    first: Duration,
    progress: &Progress,
    exchange: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let waits = patience::Setting::beginning_within(first);
    let ended = patience::wait(exchange, progress, waits).await;
    ended.unwrap_or_else(|error| {
        Err(Error::Exchange {
            reason: error.to_string(),
        })
    })
}
