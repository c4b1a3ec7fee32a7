//! HTTP server: an accept loop and its connections.
//!
//! A process keeps its state on one thread, without locks, so its connections are served on that
//! thread too. With the worker threads of `actix-server`, every table would need a mutex.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{ConnectionType, HttpService, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use nix::sys::socket::{MsgFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::Answer;
use super::cap::Cap;
use super::observed::Observed;
use super::pipeline::{Activity, Connection};

/// Timeout for a caller to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// How often a closing server checks whether a connection is idle. Also the delay before accepting
/// again after an error.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a caller that was answered may continue to send its body. Closing a connection with
/// unread bytes would reset it, and the response would be lost. A round trip between regions takes
/// 0.3 s.
const LINGER: Duration = Duration::from_secs(1);

/// Up to how many unread bytes of a connection are counted.
pub const UNREAD_MAX: usize = 512 << 10;

/// Default of [`Timing::write_buffer`].
const WRITE_BUFFER: usize = 64 * 1024;

/// A server connection: a plain socket, or one wrapped by a test bench.
pub trait Io: AsyncRead + AsyncWrite + Unpin {
    /// Whether the peer is known to have closed its sending side, although bytes before that are
    /// not read.
    fn is_read_closed(&self) -> bool {
        false
    }

    /// Bytes that have arrived and are not read, up to [`UNREAD_MAX`].
    fn unread(&self) -> usize {
        0
    }
}

thread_local! {
    /// Room for the bytes that a count of them would return.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; UNREAD_MAX]);
}

impl Io for TcpStream {
    fn unread(&self) -> usize {
        // Nothing is copied: TCP only counts what it would cut off.
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_TRUNC | MsgFlags::MSG_DONTWAIT;
        SCRATCH.with_borrow_mut(|scratch| recv(self.as_raw_fd(), scratch, flags).unwrap_or(0))
    }

    fn is_read_closed(&self) -> bool {
        let ready = self.ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
    }
}

/// Wraps each accepted connection. Production serves plain sockets; a bench shapes their traffic.
pub type Wrap = Rc<dyn Fn(TcpStream, SocketAddr) -> Box<dyn Io>>;

/// A [`Wrap`] that leaves connections unchanged.
pub fn plain() -> Wrap {
    Rc::new(|stream, _| Box::new(stream))
}

/// Timeouts and behaviour of a server's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Timeout for a caller to send a request's head.
    pub head: Duration,
    /// How long an idle connection is kept open.
    pub idle: Duration,
    /// Whether a caller that closed its sending side still gets its response. If not, its request
    /// is aborted at once.
    pub half_closed: bool,
    /// Bytes of a response buffered per connection before reading its body pauses.
    pub write_buffer: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            head: HEAD_TIMEOUT,
            idle: KEEP_ALIVE,
            half_closed: true,
            write_buffer: WRITE_BUFFER,
        }
    }
}

/// Stages of a server's shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    /// Accepts connections.
    Open,
    /// Still accepts connections, but closes each open one once it has completed a response: one
    /// that had begun before could not announce that it is the last.
    Leaving,
    /// Accepts no more connections; open ones continue.
    Refusing,
    /// Closes open connections as soon as they are idle.
    Draining,
}

/// A running accept loop. Dropping it closes the listener; open connections continue.
#[derive(Debug)]
pub struct Server {
    accept: actix_rt::task::JoinHandle<()>,
    closing: watch::Sender<Closing>,
}

impl Server {
    /// Serves `listener` with `handler` on the current thread.
    pub fn start<F, Fut>(listener: TcpListener, wrap: Wrap, handler: F) -> Self
    where
        F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
        Fut: Future<Output = Answer> + 'static,
    {
        Self::with_timing(listener, wrap, handler, Timing::default)
    }

    /// Serves `listener` with `handler`. `timing` is called for each new connection.
    pub fn with_timing<F, Fut, T>(listener: TcpListener, wrap: Wrap, handler: F, timing: T) -> Self
    where
        F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
        Fut: Future<Output = Answer> + 'static,
        T: Fn() -> Timing + 'static,
    {
        Self::capped(listener, &Cap::default(), wrap, handler, timing)
    }

    /// Serves `listener` with `handler`, within the bounds of `cap`. `timing` is called for each
    /// new connection.
    pub fn capped<F, Fut, T>(
        listener: TcpListener,
        cap: &Cap,
        wrap: Wrap,
        handler: F,
        timing: T,
    ) -> Self
    where
        F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
        Fut: Future<Output = Answer> + 'static,
        T: Fn() -> Timing + 'static,
    {
        let closing = watch::Sender::new(Closing::Open);
        let closed = closing.subscribe();
        let accepting = accept_loop(listener, cap.clone(), wrap, handler, timing, closed);
        let accept = actix_rt::spawn(accepting);
        Self { accept, closing }
    }

    /// Closes each open connection after its next response.
    pub fn leave(&self) {
        self.advance_to(Closing::Leaving);
    }

    /// Stops accepting connections, except those in the listen queue. Open ones continue.
    pub fn stop_accepting(&self) {
        self.advance_to(Closing::Refusing);
    }

    fn advance_to(&self, stage: Closing) {
        self.closing.send_if_modified(|closing| {
            let first = *closing < stage;
            *closing = stage.max(*closing);
            first
        });
    }

    /// Stops accepting connections, and closes open ones as soon as they are idle.
    pub fn close(&self) {
        self.advance_to(Closing::Draining);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Waits until the server has reached `stage`; forever if it is dropped before.
async fn wait_for_stage(closing: &mut watch::Receiver<Closing>, stage: Closing) {
    if closing.wait_for(|closing| *closing >= stage).await.is_err() {
        // The server was dropped; its connections continue.
        std::future::pending::<()>().await;
    }
}

/// Waits until the connection may be closed: the server is leaving and the connection is idle after
/// a response, or the server is closing and the connection is idle.
async fn wait_until_closable(mut closing: watch::Receiver<Closing>, activity: Rc<Activity>) {
    wait_for_stage(&mut closing, Closing::Leaving).await;
    let answered = activity.answered();
    loop {
        // Bytes that arrive before the end of the sleep are read before this check.
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let due = *closing.borrow() >= Closing::Draining || activity.answered() > answered;
        if due && activity.is_idle() {
            return;
        }
    }
}

async fn accept_loop<F, Fut, T>(
    listener: TcpListener,
    cap: Cap,
    wrap: Wrap,
    handler: F,
    timing: T,
    mut closing: watch::Receiver<Closing>,
) where
    F: Fn(Request, SocketAddr) -> Fut + Clone + 'static,
    Fut: Future<Output = Answer> + 'static,
    T: Fn() -> Timing + 'static,
{
    let closed = closing.clone();
    let serve = |stream: TcpStream, peer| {
        let Some(seat) = cap.admit() else {
            return;
        };
        let key = seat.key();
        let _ = stream.set_nodelay(true);
        let connection = serve_connection(wrap(stream, peer), peer, handler.clone(), timing());
        let closed = closed.clone();
        let task = actix_rt::spawn(async move {
            let activity = Rc::new(Activity::new(seat));
            let closed = wait_until_closable(closed, activity.clone());
            select(Box::pin(connection(activity)), Box::pin(closed)).await;
        });
        cap.serve(key, task.abort_handle());
    };
    loop {
        let stopped = wait_for_stage(&mut closing, Closing::Refusing);
        match select(Box::pin(stopped), Box::pin(listener.accept())).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => serve(stream, peer),
            // Out of file descriptors: wait until some are closed instead of busy-looping.
            Either::Right((Err(_), _)) => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
    }
    match listener.into_std() {
        Ok(queue) => accept_queue(&queue, serve),
        Err(error) => log::warn!("connections in the listen queue lost: {error}"),
    }
}

/// Accepts the connections in the listen queue, whose callers consider themselves connected. The
/// runtime may not have been notified of them yet, so this asks the system.
fn accept_queue(queue: &std::net::TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    while let Ok((stream, peer)) = queue.accept() {
        let adopted = stream.set_nonblocking(true);
        match adopted.and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => serve(stream, peer),
            Err(error) => log::debug!(peer:% = peer; "cannot accept queued connection: {error}"),
        }
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
            let io = Connection::new(io, activity.clone(), timing.half_closed);
            let service = fn_service(move |request: Request| {
                let (request, pending) = activity.begin(request);
                // The future of a gateway's handler has 15 KiB, which connections at rest would
                // take as well if it weren't boxed.
                let answer = Box::pin(handler(request, peer));
                let activity = activity.clone();
                async move {
                    let mut answer = answer
                        .await
                        .map_body(|_, body| Observed::new(body, pending).boxed());
                    if !activity.has_whole_body() {
                        let head = answer.head_mut();
                        head.set_connection_type(ConnectionType::Close);
                    }
                    Ok::<_, actix_http::Error>(answer)
                }
            });
            let factory = HttpService::<Connection, _, BoxBody>::build()
                .client_request_timeout(timing.head)
                .client_disconnect_timeout(LINGER)
                .keep_alive(timing.idle)
                .h1_allow_half_closed(timing.half_closed)
                .h1_write_buffer_size(timing.write_buffer)
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
