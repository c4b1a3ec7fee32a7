//! One accept loop and its connections.
//!
//! A process keeps its state on one thread, without locks, so its connections are served on that
//! thread too; `actix-server`'s worker threads would force every table behind a mutex.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpService, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::{Either, select};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::Answer;
use super::observed::{Observed, Observer};

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// How long after its last answer a connection counts as busy: its bytes may not have left yet.
const LAST_BYTES: Duration = Duration::from_millis(100);

/// How often a closing server looks whether a connection rests.
const REST_LOOK: Duration = Duration::from_millis(50);

/// How long a caller that was answered may go on sending its body: a close with unread bytes would
/// reset the connection, and the answer with it. A round trip between regions takes 0.3 s.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes that one connection's answer may wait in memory before the body is paused.
const WRITE_BUFFER: usize = 64 * 1024;

/// A connection as the server sees it: a plain socket, or one that a test bench has wrapped.
pub trait Io: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// Wraps each accepted connection. Production serves plain sockets; a bench shapes them.
pub type Wrap = Rc<dyn Fn(TcpStream, SocketAddr) -> Box<dyn Io>>;

/// The [`Wrap`] that leaves a connection as it is.
pub fn plain() -> Wrap {
    Rc::new(|stream, _| Box::new(stream))
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

/// How far a server has closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    /// It accepts connections.
    Open,
    /// It still does, but closes each that is open once it has answered on it: an answer that had begun
    /// before could not say that it is the last.
    Leaving,
    /// It accepts no more; those that are open go on.
    Refusing,
    /// It closes those that are open as soon as they rest.
    Resting,
}

/// A running accept loop. Dropping it closes the listener; connections that are open go on.
#[derive(Debug)]
pub struct Server {
    accept: actix_rt::task::JoinHandle<()>,
    closing: watch::Sender<Closing>,
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
        let closing = watch::Sender::new(Closing::Open);
        let closed = closing.subscribe();
        let accept = actix_rt::spawn(accept_loop(listener, wrap, handler, timing, closed));
        Self { accept, closing }
    }

    /// Closes each open connection once it has answered on it.
    pub fn leave(&self) {
        self.close_as_far_as(Closing::Leaving);
    }

    /// Stops accepting connections but those that wait in the listen queue. Those that are open go
    /// on.
    pub fn stop_accepting(&self) {
        self.close_as_far_as(Closing::Refusing);
    }

    fn close_as_far_as(&self, stage: Closing) {
        self.closing.send_if_modified(|closing| {
            let first = *closing < stage;
            *closing = stage.max(*closing);
            first
        });
    }

    /// Stops accepting connections, and closes those that are open as soon as they rest.
    pub fn close(&self) {
        self.close_as_far_as(Closing::Resting);
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
    answered: Cell<u64>,
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

impl Observer for Busy {}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.answers.set(self.0.answers.get() - 1);
        self.0.answered.set(self.0.answered.get() + 1);
        self.0.rests_since.set(Some(Instant::now()));
    }
}

/// Waits until the server has closed as far as `stage`; forever if it is gone before.
async fn reached(closing: &mut watch::Receiver<Closing>, stage: Closing) {
    if closing.wait_for(|closing| *closing >= stage).await.is_err() {
        // The server is gone, and its connections go on.
        std::future::pending::<()>().await;
    }
}

/// Waits until the server leaves and the connection rests after an answer, or closes and it rests.
async fn closed_at_rest(mut closing: watch::Receiver<Closing>, activity: Rc<Activity>) {
    reached(&mut closing, Closing::Leaving).await;
    let answered = activity.answered.get();
    loop {
        // What has arrived by the end of a sleep is read before this looks.
        actix_rt::time::sleep(REST_LOOK).await;
        let closes = *closing.borrow() >= Closing::Resting || activity.answered.get() > answered;
        if closes && activity.rests() {
            return;
        }
    }
}

async fn accept_loop<F, Fut, T>(
    listener: TcpListener,
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
        let _ = stream.set_nodelay(true);
        let connection = serve_connection(wrap(stream, peer), peer, handler.clone(), timing());
        let closed = closed.clone();
        actix_rt::spawn(async move {
            let activity = Rc::new(Activity::default());
            let closed = closed_at_rest(closed, activity.clone());
            select(Box::pin(connection(activity)), Box::pin(closed)).await;
        });
    };
    loop {
        let stopped = reached(&mut closing, Closing::Refusing);
        match select(Box::pin(stopped), Box::pin(listener.accept())).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => serve(stream, peer),
            // Out of descriptors: wait for some to be closed instead of spinning.
            Either::Right((Err(_), _)) => actix_rt::time::sleep(REST_LOOK).await,
        }
    }
    match listener.into_std() {
        Ok(queue) => accept_queue(&queue, serve),
        Err(error) => log::warn!("connections in the listen queue are lost: {error}"),
    }
}

/// Accepts what waits in the listen queue: those callers believe that they are connected. The
/// runtime may not have heard of them yet, so the system is asked.
fn accept_queue(queue: &std::net::TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    while let Ok((stream, peer)) = queue.accept() {
        let adopted = stream.set_nonblocking(true);
        match adopted.and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => serve(stream, peer),
            Err(error) => log::debug!(peer:% = peer; "connection not taken over: {error}"),
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
            let service = fn_service(move |request: Request| {
                let busy = Busy::begin(&activity);
                let answer = handler(request, peer);
                async move {
                    let answer = answer
                        .await
                        .map_body(|_, body| Observed::new(body, busy).boxed());
                    Ok::<_, actix_http::Error>(answer)
                }
            });
            let factory = HttpService::<Box<dyn Io>, _, BoxBody>::build()
                .client_request_timeout(timing.head)
                .client_disconnect_timeout(LINGER)
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
