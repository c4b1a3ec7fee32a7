//! Reads the response of an attempt. If the sidecar buffers it ([`crate::run`]), reading continues
//! over a new connection when the current one breaks, goes silent or stalls.

use std::fmt;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, StatusCode};
use actix_rt::time::sleep;
use bytes::{Buf, Bytes};
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use rand::RngExt;
use tokio::sync::watch;

use super::{CONNECT_TIMEOUT, Gateway, IDLE_MAX};
use crate::clock::Time;
use crate::exchange::{self, Client, Options, Recorder, Request, Response, Reuse};
use crate::route::notice::{self, Notice};
use crate::run::{Call, DISPOSITION_HEADER, Disposition, Key};

/// Time without data after which the response is also requested over a new connection. Events come
/// every 0.1 s, and a pause of 0.4 s makes a stream late; a new connection delivers what has
/// accumulated within a few milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The same while other connections are suspected of having gone silent: about the time between two
/// events. Such a failure affects most connections at once, whichever exchange detects it.
const STALL_TIMEOUT_SUSPECTED: Duration = Duration::from_millis(100);

/// Time after which the end of a run, unanswered over a used connection, is sent again over a new
/// one.
const END_HEDGE_AFTER: Duration = Duration::from_millis(60);

/// Number of pending fetches from which on a suspicion starts no further one: the one that carries
/// the request, and one more.
const FETCHES_WHEN_SUSPECTED: usize = 2;

/// Connections that may fail in a row before the response counts as broken.
const FAILURES_MAX: u32 = 2;

/// Why no response started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The sidecar is unreachable, so nothing was sent.
    #[error("sidecar unreachable: {reason}")]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The sidecar did not forward the request, because its replica takes none at present.
    #[error("the replica wants nothing now ({notice})")]
    Rejected {
        /// The replica's notice.
        notice: Notice,
    },
    /// The sidecar did not forward the request, and will not.
    #[error("the sidecar did not forward the request")]
    NotSent,
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
}

fn broken(reason: impl ToString) -> exchange::Error {
    exchange::Error::Broken {
        reason: reason.to_string(),
    }
}

/// A response whose head has arrived. The end of its body means that the response is complete.
pub struct Reader {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    source: Source,
}

enum Source {
    /// The replica itself.
    Replica(Box<Response>),
    /// The sidecar, which buffers the response.
    Sidecar(Box<Buffered>),
}

impl Reader {
    /// Reads the response of the replica itself.
    pub fn of_replica(mut response: Response) -> Self {
        Self {
            status: response.status,
            headers: std::mem::take(&mut response.headers),
            source: Source::Replica(Box::new(response)),
        }
    }

    /// Asks the sidecar to run a request once, and reads the response that it buffers.
    pub async fn begin(
        handle: Handle,
        head: RequestHead,
        body: Option<Bytes>,
        recorder: Recorder,
    ) -> Result<Self, Error> {
        let mut buffered = Buffered::begin(handle, head, body, recorder)?;
        let mut response = buffered.head().await?;
        let mut headers = std::mem::take(&mut response.headers);
        // The header is meant for this process only.
        headers.remove(DISPOSITION_HEADER);
        let status = response.status;
        buffered.current = Some(response);
        Ok(Self {
            status,
            headers,
            source: Source::Sidecar(Box::new(buffered)),
        })
    }

    /// Records that reading was paused until now: what did not arrive meanwhile is no sign of a
    /// stall, and another connection could not deliver what this one still holds.
    pub fn mark_resumed(&mut self) {
        if let Source::Sidecar(buffered) = &mut self.source {
            buffered.last_received = buffered.now();
        }
    }

    /// Returns the next bytes. Cancel-safe: dropping the future loses no data.
    pub async fn next(&mut self) -> Option<Result<Bytes, exchange::Error>> {
        match &mut self.source {
            Source::Replica(response) => response.next().await,
            Source::Sidecar(buffered) => buffered.next().await,
        }
    }

    /// Whether the replica's body has neither a length nor chunks, as far as is known here.
    pub fn is_unframed(&self) -> bool {
        match &self.source {
            Source::Replica(response) => response.is_unframed(),
            Source::Sidecar(_) => false,
        }
    }
}

/// Identifies a run at a sidecar.
#[derive(Clone)]
pub struct Handle {
    gateway: Rc<Gateway>,
    sidecar: SocketAddr,
    key: Key,
    request: Rc<str>,
    began: Time,
}

impl fmt::Debug for Handle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Handle({}, {})", self.sidecar, self.key)
    }
}

impl Handle {
    /// A new run of `request` that `sidecar` is to buffer.
    pub fn new(gateway: &Rc<Gateway>, sidecar: SocketAddr, request: &str) -> Self {
        let key = Key(gateway.knowledge.rng.borrow_mut().random());
        Self {
            gateway: gateway.clone(),
            sidecar,
            key,
            request: request.into(),
            began: gateway.knowledge.now(),
        }
    }

    fn client(&self) -> Client {
        self.gateway.client.clone()
    }

    /// Time since the run was requested.
    fn age(&self) -> Duration {
        self.gateway.knowledge.now().since(self.began)
    }

    /// Requests the response from the byte `from` on, over a new connection.
    async fn read(self, from: u64) -> Result<Response, exchange::Error> {
        let call = Call::Read {
            key: self.key,
            from,
        };
        let head = Request::new(Method::GET, call.to_string()).head(self.sidecar)?;
        let options = Options {
            reuse: Reuse::Never,
            connect_timeout: CONNECT_TIMEOUT,
            ..Options::default()
        };
        self.client()
            .exchange(self.sidecar, head, None, options)
            .await
    }

    /// Tells the sidecar that the run has no reader any more. The closing of a connection that went
    /// silent would not tell it.
    async fn end(self) {
        let call = Call::End { key: self.key };
        let options = Options {
            idle_max: IDLE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
            hedge_after: Some(END_HEDGE_AFTER),
            ..Options::default()
        };
        let client = self.client();
        let notification = async {
            let head = Request::new(Method::POST, call.to_string()).head(self.sidecar)?;
            client.exchange(self.sidecar, head, None, options).await
        };
        if let Err(error) = notification.await {
            log::info!(request = &*self.request, process:% = self.sidecar; "cannot tell the sidecar that the run has no reader: {error}");
        }
    }
}

/// The result of requesting a response, or the rest of one, over one connection.
struct Fetch {
    from: u64,
    /// Whether this is the connection that carries the request.
    is_initial: bool,
    response: Result<Box<Response>, exchange::Error>,
}

/// A response that a sidecar buffers.
struct Buffered {
    handle: Handle,
    /// The connection that delivers it at present.
    current: Option<Box<Response>>,
    /// Bytes that `current` still delivers a second time.
    duplicate_bytes: u64,
    /// Bytes received, without duplicates.
    received: u64,
    fetches: FuturesUnordered<LocalBoxFuture<'static, Fetch>>,
    /// When bytes were last received.
    last_received: Time,
    /// Time after that at which the response is requested over a further connection.
    stall_timeout: Duration,
    /// Counts suspicions that connections have gone silent.
    suspicions: watch::Receiver<u64>,
    failures: u32,
    /// Whether the run has nothing more to deliver.
    finished: bool,
}

impl Drop for Buffered {
    fn drop(&mut self) {
        if !self.finished {
            actix_rt::spawn(self.handle.clone().end());
        }
    }
}

/// What happened next.
enum Event {
    Part(Option<Result<Bytes, exchange::Error>>),
    Fetch(Fetch),
    Suspected,
    Stalled,
}

impl Buffered {
    fn begin(
        handle: Handle,
        mut head: RequestHead,
        body: Option<Bytes>,
        recorder: Recorder,
    ) -> Result<Self, Error> {
        let target = head.uri.path_and_query().map(ToString::to_string);
        let call = Call::Start {
            key: handle.key,
            target: target.unwrap_or_default(),
        };
        head.uri = call.to_string().parse().map_err(|_| Error::NotSent)?;
        let options = Options {
            idle_max: IDLE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
            ..Options::default()
        };
        let (client, sidecar) = (handle.client(), handle.sidecar);
        let initial = async move {
            let exchange = client.exchange_recorded(sidecar, head, body, options, &recorder);
            Fetch {
                from: 0,
                is_initial: true,
                response: exchange.await.map(Box::new),
            }
        };
        let fetches = FuturesUnordered::new();
        fetches.push(initial.boxed_local());
        Ok(Self {
            current: None,
            duplicate_bytes: 0,
            received: 0,
            fetches,
            last_received: handle.began,
            stall_timeout: STALL_TIMEOUT,
            suspicions: handle.client().suspicions(),
            failures: 0,
            finished: false,
            handle,
        })
    }

    /// Requests the rest of the response over a further connection.
    fn fetch_rest(&mut self) {
        let (handle, from) = (self.handle.clone(), self.received);
        let fetch = async move {
            Fetch {
                from,
                is_initial: false,
                response: handle.read(from).await.map(Box::new),
            }
        };
        self.fetches.push(fetch.boxed_local());
    }

    /// Waits for the head of the response.
    async fn head(&mut self) -> Result<Box<Response>, Error> {
        loop {
            match self.next_event().await {
                Event::Fetch(fetch) => {
                    if let Some(response) = self.accept(fetch)? {
                        return Ok(response);
                    }
                }
                // No connection delivers the body yet, so there is no part.
                Event::Part(_) | Event::Stalled => self.fetch_after_stall(),
                Event::Suspected => self.shorten_stall_timeout(),
            }
        }
    }

    fn fetch_after_stall(&mut self) {
        let quiet = self.now().since(self.last_received);
        self.stall_timeout = quiet.max(STALL_TIMEOUT) * 2;
        self.fetch_rest();
    }

    /// Shortens the stall timeout because other connections are suspected of having gone silent.
    /// Does nothing if a replacement has already been requested, as that will show whether this one
    /// has.
    fn shorten_stall_timeout(&mut self) {
        if self.fetches.len() < FETCHES_WHEN_SUSPECTED {
            self.stall_timeout = self.stall_timeout.min(STALL_TIMEOUT_SUSPECTED);
        }
    }

    fn now(&self) -> Time {
        self.handle.gateway.knowledge.now()
    }

    /// Processes a fetch: it brought the response, failed so that others are awaited, or showed
    /// that there will be no response.
    fn accept(&mut self, fetch: Fetch) -> Result<Option<Box<Response>>, Error> {
        let response = match fetch.response {
            Ok(response) => response,
            Err(exchange::Error::NotSent { reason }) if fetch.is_initial => {
                return Err(self.finish_with(Error::Unreachable { reason }));
            }
            Err(error) => return self.fetch_failed(error).map(|()| None),
        };
        match Disposition::parse(response.header(DISPOSITION_HEADER)) {
            Some(Disposition::Replica) => {
                self.duplicate_bytes = self.received - fetch.from;
                self.failures = 0;
                Ok(Some(response))
            }
            Some(disposition) if self.received == 0 && disposition.not_run(self.handle.age()) => {
                let notice = Notice::parse(response.header(notice::HEADER));
                let error = if notice.is_empty() {
                    Error::NotSent
                } else {
                    Error::Rejected { notice }
                };
                Err(self.finish_with(error))
            }
            // A sidecar of an earlier release does not know the path, as it buffers no runs.
            None if fetch.is_initial && response.status == StatusCode::NOT_FOUND => {
                Err(self.finish_with(Error::NotSent))
            }
            Some(_) | None => {
                let reason = "the process beside the replica has no more of it";
                Err(self.finish_with(broken(reason).into()))
            }
        }
    }

    fn finish_with(&mut self, error: Error) -> Error {
        self.finished = true;
        error
    }

    /// Records a failed connection. If no other is left, tries a new one, up to [`FAILURES_MAX`]
    /// times.
    fn fetch_failed(&mut self, error: exchange::Error) -> Result<(), Error> {
        if self.current.is_some() || !self.fetches.is_empty() {
            return Ok(());
        }
        self.failures += 1;
        if self.failures > FAILURES_MAX {
            return Err(broken(error).into());
        }
        self.fetch_rest();
        Ok(())
    }

    async fn next(&mut self) -> Option<Result<Bytes, exchange::Error>> {
        if self.finished {
            return None;
        }
        loop {
            match self.next_event().await {
                Event::Part(None) => {
                    self.finished = true;
                    return None;
                }
                Event::Part(Some(Ok(bytes))) => {
                    self.stall_timeout = STALL_TIMEOUT;
                    self.last_received = self.now();
                    let bytes = self.skip_duplicate(bytes);
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                Event::Part(Some(Err(error))) => {
                    self.current = None;
                    let request = &*self.handle.request;
                    log::info!(request, came = self.received; "connection to the sidecar failed: {error}");
                    if let Err(error) = self.fetch_failed(error) {
                        return Some(Err(exchange_error(error)));
                    }
                }
                Event::Stalled => self.fetch_after_stall(),
                Event::Suspected => self.shorten_stall_timeout(),
                Event::Fetch(fetch) => match self.accept(fetch) {
                    Ok(None) => {}
                    Ok(Some(response)) => {
                        let request = &*self.handle.request;
                        log::info!(request, came = self.received; "reading the response over a new connection");
                        self.current = Some(response);
                    }
                    Err(error) => return Some(Err(exchange_error(error))),
                },
            }
        }
    }

    /// Waits for the next bytes, the result of a fetch, a suspicion or a stall.
    async fn next_event(&mut self) -> Event {
        let quiet = self
            .stall_timeout
            .saturating_sub(self.now().since(self.last_received));
        let (current, fetches) = (&mut self.current, &mut self.fetches);
        let suspicions = &mut self.suspicions;
        let part = async {
            match current {
                Some(response) => response.next().await,
                None => pending().await,
            }
        };
        let fetch = async {
            match fetches.next().await {
                Some(fetch) => fetch,
                None => pending().await,
            }
        };
        let suspected = async {
            // The sender lives as long as the gateway, which the handle refers to.
            let _ = suspicions.changed().await;
        };
        let (part, fetch, suspected) = (pin!(part), pin!(fetch), pin!(suspected));
        let quiet = pin!(sleep(quiet));
        match select(select(part, fetch), select(suspected, quiet)).await {
            Either::Left((Either::Left((part, _)), _)) => Event::Part(part),
            Either::Left((Either::Right((fetch, _)), _)) => Event::Fetch(fetch),
            Either::Right((Either::Left(_), _)) => Event::Suspected,
            Either::Right((Either::Right(_), _)) => Event::Stalled,
        }
    }

    /// Removes bytes that were already received over another connection.
    fn skip_duplicate(&mut self, mut bytes: Bytes) -> Bytes {
        let known = self.duplicate_bytes.min(bytes.len() as u64);
        self.duplicate_bytes -= known;
        bytes.advance(known as usize);
        self.received += bytes.len() as u64;
        bytes
    }
}

/// Converts the error of a response that had started.
fn exchange_error(error: Error) -> exchange::Error {
    match error {
        Error::Exchange(error) => error,
        error => broken(error),
    }
}
