//! Reads the answer of an attempt. One that the process beside its replica keeps ([`crate::run`]) is read on over a
//! new connection when the one that brought it breaks, goes silent, or brings nothing for a while.

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
use futures_util::{FutureExt, StreamExt, stream};
use rand::RngExt;
use tokio::sync::watch;

use super::{CONNECT_TIMEOUT, Gateway, IDLE_MAX};
use crate::clock::Time;
use crate::exchange::{self, Client, Note, Options, Request, Response, Reuse, answer};
use crate::patience::Progress;
use crate::route::notice::{self, Notice};
use crate::run::{Call, Key, TOLD, Told};

/// How long a connection may bring nothing before the answer is asked for over a new one as well. Events come every 0.1 s, and
/// a pause of 0.4 s makes a stream late; a new connection brings what has come meanwhile within a few milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// How long it may while others are suspected to be silent: about the time between two events. Whoever finds that out, it
/// holds for most connections at once.
const STALL_TIMEOUT_SUSPECTED: Duration = Duration::from_millis(100);

/// How long it may take to hear that nobody reads a run any more, over a used connection.
const END_RENEW_AFTER: Duration = Duration::from_millis(60);

/// Connections that are asked already, at which a suspicion has none asked besides: the one that carries the request, and one
/// more.
const FETCHES_WHEN_SUSPECTED: usize = 2;

/// Connections in a row that may fail before an answer counts as broken.
const FAILURES_MAX: u32 = 2;

/// Why an answer did not begin.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The process beside the replica is out of reach, so nothing was sent.
    #[error("the process beside the replica is out of reach: {reason}")]
    OutOfReach {
        /// What happened.
        reason: String,
    },
    /// That process did not send the request on, because its replica wants nothing now.
    #[error("the replica wants nothing now ({notice})")]
    TurnedAway {
        /// What it told.
        notice: Notice,
    },
    /// That process says that it did not send the request on, and will not.
    #[error("the process beside the replica did not send it on")]
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

/// An answer whose head came. Its body ends only if the answer is whole.
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
    /// The process beside it.
    Sidecar(Box<Buffered>),
}

impl Reader {
    /// Reads what the replica itself answers.
    pub fn of_replica(mut response: Response) -> Self {
        Self {
            status: response.status,
            headers: std::mem::take(&mut response.headers),
            source: Source::Replica(Box::new(response)),
        }
    }

    /// Asks the process at `line` to run a request once, and reads what it keeps of the answer.
    pub async fn begin(
        handle: Handle,
        head: RequestHead,
        body: Option<Bytes>,
        note: Note,
    ) -> Result<Self, Error> {
        let mut buffered = Buffered::begin(handle, head, body, note)?;
        let mut response = buffered.head().await?;
        let mut headers = std::mem::take(&mut response.headers);
        // It is for this process alone.
        headers.remove(TOLD);
        let status = response.status;
        buffered.current = Some(response);
        Ok(Self {
            status,
            headers,
            source: Source::Sidecar(Box::new(buffered)),
        })
    }

    /// Sets whether it ends when its connection turns out to be silent, if nobody keeps the answer.
    pub fn set_guarded(&mut self, guarded: bool) {
        if let Source::Replica(response) = &mut self.source {
            response.set_guarded(guarded);
        }
    }

    /// The next bytes. A call that is given up loses none.
    pub async fn next(&mut self) -> Option<Result<Bytes, exchange::Error>> {
        match &mut self.source {
            Source::Replica(response) => response.next().await,
            Source::Sidecar(buffered) => buffered.next().await,
        }
    }

    /// Reads the whole body of at most `limit` bytes.
    pub async fn read(&mut self, limit: usize) -> Result<Bytes, exchange::Error> {
        let parts = stream::unfold(self, |reader| async move {
            let part = reader.next().await?;
            Some((part, reader))
        });
        answer::gather(&mut pin!(parts), limit, &Progress::default()).await
    }
}

/// Where a run is kept.
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
    /// A run of `request` that `process` is to keep.
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

    /// Time since the run was asked for.
    fn age(&self) -> Duration {
        self.gateway.knowledge.now().since(self.began)
    }

    /// Asks for the answer from the byte `from` on, over a new connection.
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

    /// Tells that nobody reads the run any more: a connection that went silent does not.
    async fn end(self) {
        let call = Call::End { key: self.key };
        let options = Options {
            idle_max: IDLE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
            renews_after: Some(END_RENEW_AFTER),
            ..Options::default()
        };
        let client = self.client();
        let told = async {
            let head = Request::new(Method::POST, call.to_string()).head(self.sidecar)?;
            client.exchange(self.sidecar, head, None, options).await
        };
        if let Err(error) = told.await {
            log::info!(request = &*self.request, process:% = self.sidecar; "end of a run not told: {error}");
        }
    }
}

/// One connection that is asked for an answer, or for the rest of one.
struct Fetch {
    from: u64,
    /// Whether it is the one that carries the request.
    is_initial: bool,
    response: Result<Box<Response>, exchange::Error>,
}

/// An answer that the process beside a replica keeps.
struct Buffered {
    handle: Handle,
    /// The connection that brings it now.
    current: Option<Box<Response>>,
    /// Bytes that this brings once more.
    duplicate_bytes: u64,
    /// Bytes that came.
    received: u64,
    fetches: FuturesUnordered<LocalBoxFuture<'static, Fetch>>,
    /// When bytes came last.
    last_received: Time,
    /// How long after that the answer is asked for over one connection more.
    stall_timeout: Duration,
    /// Counts suspicions of other connections.
    suspicions: watch::Receiver<u64>,
    failures: u32,
    /// Whether nothing more is to be had of the run.
    finished: bool,
}

impl Drop for Buffered {
    fn drop(&mut self) {
        if !self.finished {
            actix_rt::spawn(self.handle.clone().end());
        }
    }
}

/// What happened first.
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
        note: Note,
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
            let exchange = client.exchange_noting(sidecar, head, body, options, &note);
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

    /// Asks for the rest of the answer over one connection more.
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

    /// Waits for the head of the answer.
    async fn head(&mut self) -> Result<Box<Response>, Error> {
        loop {
            match self.next_event().await {
                Event::Fetch(fetch) => {
                    if let Some(response) = self.accept(fetch)? {
                        return Ok(response);
                    }
                }
                // There is no connection yet that could bring a part.
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

    /// Other connections are suspected to be silent, so this one may bring nothing for less long. One that is asked
    /// for in its place already will show it.
    fn shorten_stall_timeout(&mut self) {
        if self.fetches.len() < FETCHES_WHEN_SUSPECTED {
            self.stall_timeout = self.stall_timeout.min(STALL_TIMEOUT_SUSPECTED);
        }
    }

    fn now(&self) -> Time {
        self.handle.gateway.knowledge.now()
    }

    /// Takes what a way brought: the answer, nothing yet, or that there will be none.
    fn accept(&mut self, fetch: Fetch) -> Result<Option<Box<Response>>, Error> {
        let response = match fetch.response {
            Ok(response) => response,
            Err(exchange::Error::NotSent { reason }) if fetch.is_initial => {
                return Err(self.finish_with(Error::OutOfReach { reason }));
            }
            Err(error) => return self.fetch_failed(error).map(|()| None),
        };
        match Told::of(response.header(TOLD)) {
            Some(Told::Replica) => {
                self.duplicate_bytes = self.received - fetch.from;
                self.failures = 0;
                Ok(Some(response))
            }
            Some(told) if self.received == 0 && told.not_run(self.handle.age()) => {
                let notice = Notice::of(response.header(notice::HEADER));
                let error = if notice.is_empty() {
                    Error::NotSent
                } else {
                    Error::TurnedAway { notice }
                };
                Err(self.finish_with(error))
            }
            // A process of an earlier release keeps no runs.
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

    /// A connection failed. If it was the last, another is tried.
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
                    log::info!(request, came = self.received; "its connection ended: {error}");
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
                        log::info!(request, came = self.received; "read on over a new connection");
                        self.current = Some(response);
                    }
                    Err(error) => return Some(Err(exchange_error(error))),
                },
            }
        }
    }

    /// Waits for the next bytes, for a way, or until it has been quiet for long.
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
            // The sender lives as long as the gateway, which the line holds.
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

    /// Drops what came before over another connection.
    fn skip_duplicate(&mut self, mut bytes: Bytes) -> Bytes {
        let known = self.duplicate_bytes.min(bytes.len() as u64);
        self.duplicate_bytes -= known;
        bytes.advance(known as usize);
        self.received += bytes.len() as u64;
        bytes
    }
}

/// The error of an answer that had begun.
fn exchange_error(error: Error) -> exchange::Error {
    match error {
        Error::Exchange(error) => error,
        error => broken(error),
    }
}
