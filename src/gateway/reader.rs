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
use crate::route::notice::{self, Notice};
use crate::run::{Call, Key, TOLD, Told};
use crate::timeout::Progress;

/// How long a connection may bring nothing before the answer is asked for over a new one as well. Events come every 0.1 s, and
/// a pause of 0.4 s makes a stream late; a new connection brings what has come meanwhile within a few milliseconds.
const QUIET: Duration = Duration::from_millis(300);

/// How long it may while others are suspected to be silent: about the time between two events. Whoever finds that out, it
/// holds for most connections at once.
const QUIET_SUSPECTED: Duration = Duration::from_millis(100);

/// How long it may take to hear that nobody reads a run any more, over a used connection.
const END_RENEWS: Duration = Duration::from_millis(60);

/// Connections that are asked already, at which a suspicion has none asked besides: the one that carries the request, and one
/// more.
const WAYS_SUSPECTED: usize = 2;

/// Connections in a row that may fail before an answer counts as broken.
const FAILED_MAX: u32 = 2;

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
    Kept(Box<Kept>),
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
        line: Line,
        head: RequestHead,
        body: Option<Bytes>,
        note: Note,
    ) -> Result<Self, Error> {
        let mut kept = Kept::begin(line, head, body, note)?;
        let mut response = kept.head().await?;
        let mut headers = std::mem::take(&mut response.headers);
        // It is for this process alone.
        headers.remove(TOLD);
        let status = response.status;
        kept.current = Some(response);
        Ok(Self {
            status,
            headers,
            source: Source::Kept(Box::new(kept)),
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
            Source::Kept(kept) => kept.next().await,
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
pub struct Line {
    gateway: Rc<Gateway>,
    process: SocketAddr,
    key: Key,
    request: Rc<str>,
    began: Time,
}

impl fmt::Debug for Line {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Line({}, {})", self.process, self.key)
    }
}

impl Line {
    /// A run of `request` that `process` is to keep.
    pub fn new(gateway: &Rc<Gateway>, process: SocketAddr, request: &str) -> Self {
        let key = Key(gateway.knowledge.rng.borrow_mut().random());
        Self {
            gateway: gateway.clone(),
            process,
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
        let head = Request::new(Method::GET, call.to_string()).head(self.process)?;
        let options = Options {
            reuse: Reuse::Never,
            connect_timeout: CONNECT_TIMEOUT,
            ..Options::default()
        };
        self.client()
            .exchange(self.process, head, None, options)
            .await
    }

    /// Tells that nobody reads the run any more: a connection that went silent does not.
    async fn end(self) {
        let call = Call::End { key: self.key };
        let options = Options {
            idle_max: IDLE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
            renews_after: Some(END_RENEWS),
            ..Options::default()
        };
        let client = self.client();
        let told = async {
            let head = Request::new(Method::POST, call.to_string()).head(self.process)?;
            client.exchange(self.process, head, None, options).await
        };
        if let Err(error) = told.await {
            log::info!(request = &*self.request, process:% = self.process; "end of a run not told: {error}");
        }
    }
}

/// One connection that is asked for an answer, or for the rest of one.
struct Way {
    from: u64,
    /// Whether it is the one that carries the request.
    first: bool,
    response: Result<Box<Response>, exchange::Error>,
}

/// An answer that the process beside a replica keeps.
struct Kept {
    line: Line,
    /// The connection that brings it now.
    current: Option<Box<Response>>,
    /// Bytes that this brings once more.
    again: u64,
    /// Bytes that came.
    came: u64,
    ways: FuturesUnordered<LocalBoxFuture<'static, Way>>,
    /// When bytes came last.
    heard: Time,
    /// How long after that the answer is asked for over one connection more.
    quiet: Duration,
    /// Counts suspicions of other connections.
    suspicions: watch::Receiver<u64>,
    failed: u32,
    /// Whether nothing more is to be had of the run.
    over: bool,
}

impl Drop for Kept {
    fn drop(&mut self) {
        if !self.over {
            actix_rt::spawn(self.line.clone().end());
        }
    }
}

/// What happened first.
enum Turn {
    Part(Option<Result<Bytes, exchange::Error>>),
    Way(Way),
    Suspected,
    Quiet,
}

impl Kept {
    fn begin(
        line: Line,
        mut head: RequestHead,
        body: Option<Bytes>,
        note: Note,
    ) -> Result<Self, Error> {
        let target = head.uri.path_and_query().map(ToString::to_string);
        let call = Call::Start {
            key: line.key,
            target: target.unwrap_or_default(),
        };
        head.uri = call.to_string().parse().map_err(|_| Error::NotSent)?;
        let options = Options {
            idle_max: IDLE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
            ..Options::default()
        };
        let (client, process) = (line.client(), line.process);
        let first = async move {
            let exchange = client.exchange_noting(process, head, body, options, &note);
            Way {
                from: 0,
                first: true,
                response: exchange.await.map(Box::new),
            }
        };
        let ways = FuturesUnordered::new();
        ways.push(first.boxed_local());
        Ok(Self {
            current: None,
            again: 0,
            came: 0,
            ways,
            heard: line.began,
            quiet: QUIET,
            suspicions: line.client().suspicions(),
            failed: 0,
            over: false,
            line,
        })
    }

    /// Asks for the rest of the answer over one connection more.
    fn ask_again(&mut self) {
        let (line, from) = (self.line.clone(), self.came);
        let way = async move {
            Way {
                from,
                first: false,
                response: line.read(from).await.map(Box::new),
            }
        };
        self.ways.push(way.boxed_local());
    }

    /// Waits for the head of the answer.
    async fn head(&mut self) -> Result<Box<Response>, Error> {
        loop {
            match self.turn().await {
                Turn::Way(way) => {
                    if let Some(response) = self.take(way)? {
                        return Ok(response);
                    }
                }
                // There is no connection yet that could bring a part.
                Turn::Part(_) | Turn::Quiet => self.ask_when_quiet(),
                Turn::Suspected => self.suspect(),
            }
        }
    }

    fn ask_when_quiet(&mut self) {
        let quiet = self.now().since(self.heard);
        self.quiet = quiet.max(QUIET) * 2;
        self.ask_again();
    }

    /// Other connections are suspected to be silent, so this one may bring nothing for less long. One that is asked
    /// for in its place already will show it.
    fn suspect(&mut self) {
        if self.ways.len() < WAYS_SUSPECTED {
            self.quiet = self.quiet.min(QUIET_SUSPECTED);
        }
    }

    fn now(&self) -> Time {
        self.line.gateway.knowledge.now()
    }

    /// Takes what a way brought: the answer, nothing yet, or that there will be none.
    fn take(&mut self, way: Way) -> Result<Option<Box<Response>>, Error> {
        let response = match way.response {
            Ok(response) => response,
            Err(exchange::Error::NotSent { reason }) if way.first => {
                return Err(self.ended(Error::OutOfReach { reason }));
            }
            Err(error) => return self.failed(error).map(|()| None),
        };
        match Told::of(response.header(TOLD)) {
            Some(Told::Replica) => {
                self.again = self.came - way.from;
                self.failed = 0;
                Ok(Some(response))
            }
            Some(told) if self.came == 0 && told.not_run(self.line.age()) => {
                let notice = Notice::parse(response.header(notice::HEADER));
                let error = if notice.is_empty() {
                    Error::NotSent
                } else {
                    Error::TurnedAway { notice }
                };
                Err(self.ended(error))
            }
            // A process of an earlier release keeps no runs.
            None if way.first && response.status == StatusCode::NOT_FOUND => {
                Err(self.ended(Error::NotSent))
            }
            Some(_) | None => {
                let reason = "the process beside the replica has no more of it";
                Err(self.ended(broken(reason).into()))
            }
        }
    }

    fn ended(&mut self, error: Error) -> Error {
        self.over = true;
        error
    }

    /// A connection failed. If it was the last, another is tried.
    fn failed(&mut self, error: exchange::Error) -> Result<(), Error> {
        if self.current.is_some() || !self.ways.is_empty() {
            return Ok(());
        }
        self.failed += 1;
        if self.failed > FAILED_MAX {
            return Err(broken(error).into());
        }
        self.ask_again();
        Ok(())
    }

    async fn next(&mut self) -> Option<Result<Bytes, exchange::Error>> {
        if self.over {
            return None;
        }
        loop {
            match self.turn().await {
                Turn::Part(None) => {
                    self.over = true;
                    return None;
                }
                Turn::Part(Some(Ok(bytes))) => {
                    self.quiet = QUIET;
                    self.heard = self.now();
                    let bytes = self.without_known(bytes);
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                Turn::Part(Some(Err(error))) => {
                    self.current = None;
                    let request = &*self.line.request;
                    log::info!(request, came = self.came; "its connection ended: {error}");
                    if let Err(error) = self.failed(error) {
                        return Some(Err(told(error)));
                    }
                }
                Turn::Quiet => self.ask_when_quiet(),
                Turn::Suspected => self.suspect(),
                Turn::Way(way) => match self.take(way) {
                    Ok(None) => {}
                    Ok(Some(response)) => {
                        let request = &*self.line.request;
                        log::info!(request, came = self.came; "read on over a new connection");
                        self.current = Some(response);
                    }
                    Err(error) => return Some(Err(told(error))),
                },
            }
        }
    }

    /// Waits for the next bytes, for a way, or until it has been quiet for long.
    async fn turn(&mut self) -> Turn {
        let quiet = self.quiet.saturating_sub(self.now().since(self.heard));
        let (current, ways) = (&mut self.current, &mut self.ways);
        let suspicions = &mut self.suspicions;
        let part = async {
            match current {
                Some(response) => response.next().await,
                None => pending().await,
            }
        };
        let way = async {
            match ways.next().await {
                Some(way) => way,
                None => pending().await,
            }
        };
        let suspected = async {
            // The sender lives as long as the gateway, which the line holds.
            let _ = suspicions.changed().await;
        };
        let (part, way, suspected) = (pin!(part), pin!(way), pin!(suspected));
        let quiet = pin!(sleep(quiet));
        match select(select(part, way), select(suspected, quiet)).await {
            Either::Left((Either::Left((part, _)), _)) => Turn::Part(part),
            Either::Left((Either::Right((way, _)), _)) => Turn::Way(way),
            Either::Right((Either::Left(_), _)) => Turn::Suspected,
            Either::Right((Either::Right(_), _)) => Turn::Quiet,
        }
    }

    /// Drops what came before over another connection.
    fn without_known(&mut self, mut bytes: Bytes) -> Bytes {
        let known = self.again.min(bytes.len() as u64);
        self.again -= known;
        bytes.advance(known as usize);
        self.came += bytes.len() as u64;
        bytes
    }
}

/// The error of an answer that had begun.
fn told(error: Error) -> exchange::Error {
    match error {
        Error::Exchange(error) => error,
        error => broken(error),
    }
}
