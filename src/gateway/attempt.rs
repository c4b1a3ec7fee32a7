//! One exchange with a replica.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{RequestHead, Response as HttpResponse};
use bytes::Bytes;

use super::dialect::{Classification, Forward};
use super::job::Job;
use super::poison::Sight;
use super::reader::{self, Line, Reader};
use super::{CONNECT_TIMEOUT, Gateway, IDLE_MAX};
use crate::clock::Time;
use crate::config::routing::Kind;
use crate::exchange::{self, Note, Options, Reuse, Unframed};
use crate::http::Answer;
use crate::member::replica::Instance;
use crate::request::attempt::Ended;
use crate::request::poison::RequestHash;
use crate::route::estimate::Demand;
use crate::route::health::Signal;
use crate::route::notice::Notice;
use crate::route::pool::{Choice, Key};
use crate::timeout;

/// Objectives that a replica may be silent before a request that may be repeated goes elsewhere.
const SILENCE_FACTOR: u32 = 3;

/// Shortest such silence.
const SILENCE_MIN: Duration = Duration::from_millis(1_200);

/// How often it is looked whether a replica that is silent for longer still has a queue: half of the
/// time after which its process reports again.
const QUEUE_LOOK: Duration = Duration::from_millis(500);

/// Longest whole answer that is gathered.
const GATHERED_MAX: usize = 16 << 20;

/// Highest rank that a replica knows.
const URGENCY_MAX: u8 = 9;

/// An attempt that failed.
#[derive(Debug)]
pub struct Failure {
    /// How it ended.
    pub ended: Ended,
    /// What happened.
    pub detail: String,
    /// The replica's own answer, if it gave a failure.
    pub answer: Option<Answer>,
}

impl Failure {
    /// A failure without an answer.
    pub fn new(ended: Ended, detail: impl Into<String>) -> Self {
        Self {
            ended,
            detail: detail.into(),
            answer: None,
        }
    }
}

fn name(ended: Ended) -> &'static str {
    match ended {
        Ended::NotSent => "not_sent",
        Ended::Refused => "refused",
        Ended::Misdirected => "misdirected",
        Ended::Failed => "failed",
        Ended::Broken => "broken",
    }
}

/// What is asked of a replica beside the request itself.
#[derive(Debug, Clone, Copy)]
pub struct Send {
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The only version that will do.
    pub version: Option<u64>,
    /// Whether another replica may receive the request after this one.
    pub moves_on: bool,
}

/// An attempt, counted at its replica until it is dropped.
pub struct Attempt {
    gateway: Rc<Gateway>,
    key: Key,
    /// The life of its replica.
    pub instance: Instance,
    /// What it is an attempt of.
    request: RequestHash,
    choice: Choice,
    address: SocketAddr,
    /// The process beside the replica, if that is to keep what comes.
    keeper: Option<SocketAddr>,
    began: Time,
    demand: Demand,
    number: u64,
    start_bound: Option<Time>,
    started: Cell<bool>,
    /// Whether it was seen how its replica came through it.
    settled: Cell<bool>,
    connection: Note,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.count_start(false);
        self.gateway.pool.borrow_mut().end(self.key, self.number);
        // Its caller has left, or the replica was silent: that may end under it all the same.
        self.suspect(Sight::GivenUp);
    }
}

impl Attempt {
    /// Begins an attempt at a chosen replica, unless that has gone, or has told since that it wants nothing.
    pub fn begin(gateway: &Rc<Gateway>, job: &Job, choice: Choice) -> Option<Self> {
        let keeper = keeper(gateway, job, choice.key);
        let now = gateway.knowledge.now();
        let mut pool = gateway.pool.borrow_mut();
        let replica = pool
            .get(choice.key)
            .filter(|replica| !replica.suspension().rejects(now))?;
        let (instance, address) = (replica.record.instance(), replica.record.address);
        let demand = job.demand();
        let model = job.ask.inference.as_ref().map(|work| &*work.model);
        let start_bound = model.and_then(|model| pool.start_deadline(choice.key, model, now));
        let number = pool.begin(choice.key, demand, choice.expected, now);
        Some(Self {
            gateway: gateway.clone(),
            key: choice.key,
            instance,
            request: job.name,
            choice,
            address,
            keeper,
            began: now,
            demand,
            number,
            start_bound,
            started: Cell::new(false),
            settled: Cell::new(false),
            connection: Note::default(),
        })
    }

    /// The first event came.
    pub fn started(&self) {
        self.count_start(true);
    }

    fn count_start(&self, came: bool) {
        if !self.started.replace(true) {
            let now = self.gateway.knowledge.now();
            let mut pool = self.gateway.pool.borrow_mut();
            pool.record_first_event(self.key, self.number, self.demand, came, now);
        }
    }

    /// Notes something about the replica's health.
    pub fn note(&self, sign: Signal) {
        let now = self.gateway.knowledge.now();
        self.gateway
            .pool
            .borrow_mut()
            .record_health(self.key, sign, now);
    }

    /// Time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.gateway.knowledge.now().since(self.began)
    }

    /// Counts a whole answer.
    pub fn count_whole(&self) {
        self.settled.set(true);
        self.gateway.instruments.attempt("whole");
    }

    fn fail(&self, job: &Job, ended: Ended, sign: Signal, detail: String) -> Failure {
        self.note(sign);
        if ended != Ended::Broken {
            self.settled.set(true);
        }
        self.gateway.instruments.attempt(name(ended));
        log::warn!(
            request = job.ask.id.as_str(),
            name:% = job.name,
            replica = &*self.instance.id,
            ended = name(ended),
            known_requests = self.choice.requests,
            expected_ms = self.choice.expected.as_millis() as u64,
            connection:% = self.connection,
            ms = self.elapsed().as_millis() as u64;
            "attempt ended: {detail}"
        );
        Failure::new(ended, detail)
    }

    /// A failure after bytes left, because the answer is none or broke.
    pub fn broken(&self, job: &Job, detail: String, sign: Signal) -> Failure {
        if sign == Signal::Broken {
            self.suspect(Sight::Broke);
        }
        self.fail(job, Ended::Broken, sign, detail)
    }

    /// The replica may have ended under the request, or end soon. One that leaves ends as planned, with whatever runs there.
    fn suspect(&self, sight: Sight) {
        if self.settled.replace(true) {
            return;
        }
        let leaves = {
            let pool = self.gateway.pool.borrow();
            pool.get(self.key)
                .is_some_and(|replica| replica.record.leaving || replica.suspension().leaving())
        };
        if !leaves {
            let instance = self.instance.clone();
            self.gateway
                .suspect(self.request, instance, self.address, sight);
        }
    }

    fn failed(&self, job: &Job, error: &exchange::Error) -> Failure {
        self.broken(job, error.to_string(), sign(error))
    }

    /// Sends the request and reads the head of its answer.
    pub async fn send(self, job: &Job, send: Send) -> Result<Begun, Failure> {
        let Send {
            last_event,
            version,
            moves_on,
        } = send;
        let now = self.gateway.knowledge.now();
        let forward = Forward {
            replica: &self.instance.id,
            remaining: job.remaining(now),
            customer: job.customer.as_deref(),
            urgency: job.priority.min(URGENCY_MAX),
            last_event,
            version,
        };
        let head = self.gateway.dialect.forward(&job.head, forward);
        let exchange = self.exchange(job, head, moves_on);
        match self.within(job, exchange).await {
            None => Err(self.silent(job)),
            // Its process may speak of another life than this one. What this one wants comes with reports.
            Some(Err(error @ reader::Error::TurnedAway { .. })) => {
                let detail = format!("not sent: {error}");
                Err(self.fail(job, Ended::NotSent, Signal::Neutral, detail))
            }
            Some(Err(reader::Error::Exchange(exchange::Error::NotSent { reason }))) => {
                let detail = format!("not sent: {reason}");
                Err(self.fail(job, Ended::NotSent, Signal::Unreachable, detail))
            }
            Some(Err(reader::Error::Exchange(error))) => Err(self.failed(job, &error)),
            Some(Err(error)) => Err(self.broken(job, error.to_string(), Signal::Broken)),
            Some(Ok(response)) => self.read(job, version.is_some(), response).await,
        }
    }

    /// Has the request run: by the process beside the replica, or else directly.
    async fn exchange(
        &self,
        job: &Job,
        head: RequestHead,
        moves_on: bool,
    ) -> Result<Reader, reader::Error> {
        if let Some(keeper) = self.keeper {
            let line = Line::new(&self.gateway, keeper, &job.ask.id);
            let (body, note) = (job.body.clone(), self.connection.clone());
            match Reader::begin(line, head.clone(), body, note).await {
                Ok(reader) => return Ok(reader),
                Err(error @ (reader::Error::OutOfReach { .. } | reader::Error::NotSent)) => {
                    self.not_kept(job, &error);
                }
                Err(error) => return Err(error),
            }
        }
        let client = &self.gateway.client;
        let body = job.body.clone();
        let options = options(job, moves_on);
        let exchange = client.exchange_noting(self.address, head, body, options, &self.connection);
        Ok(Reader::of_replica(exchange.await?))
    }

    /// Nothing has run, and the request goes to the replica itself.
    fn not_kept(&self, job: &Job, error: &reader::Error) {
        log::info!(request = job.ask.id.as_str(), replica = &*self.instance.id; "sent directly: {error}");
        if matches!(error, reader::Error::OutOfReach { .. }) {
            let now = self.now();
            self.gateway
                .pool
                .borrow_mut()
                .mark_unresponsive(self.key, false, now);
        }
    }

    /// Awaits `step` for as long as this replica may be silent. While it has a queue, by the word of
    /// the process beside it, its silence says nothing: what was given up there would be carried
    /// all the same, and once more elsewhere.
    pub async fn within<T>(&self, job: &Job, step: impl Future<Output = T>) -> Option<T> {
        let mut step = pin!(step);
        let mut silence = if job.route.repeatable() {
            (job.objective() * SILENCE_FACTOR).max(SILENCE_MIN)
        } else {
            Duration::MAX
        };
        loop {
            let now = self.gateway.knowledge.now();
            let remaining = job.remaining(now);
            // It may not start on its replica's version any more once the next one is due.
            let start = self
                .start_bound(job)
                .map_or(remaining, |bound| bound.since(now));
            let longest = remaining.min(start);
            let wait = timeout::within(|| self.now(), silence.min(longest), &mut step);
            if let Some(done) = wait.await {
                return Some(done);
            }
            if silence >= longest || !self.gateway.pool.borrow().has_queue(self.key, self.now()) {
                return None;
            }
            silence = QUEUE_LOOK;
        }
    }

    /// When the request has to have started at its replica, as far as is known now: a version may be
    /// named, or turn out to have been named earlier, while it waits there.
    fn start_bound(&self, job: &Job) -> Option<Time> {
        if self.started.get() {
            return None;
        }
        let model = job.ask.inference.as_ref().map(|work| &*work.model)?;
        let pool = self.gateway.pool.borrow();
        let known = pool.start_deadline(self.key, model, self.now());
        self.start_bound.into_iter().chain(known).min()
    }

    fn now(&self) -> Time {
        self.gateway.knowledge.now()
    }

    /// The replica was silent for as long as it may be.
    pub fn silent(&self, job: &Job) -> Failure {
        let late = job.remaining(self.gateway.knowledge.now()).is_zero();
        let now = self.gateway.knowledge.now();
        let bound = self.start_bound(job).is_some_and(|bound| bound <= now);
        let detail = if late {
            "the request's time is over"
        } else if bound {
            "it has not started before its replica's version was over"
        } else {
            "the replica is silent"
        };
        self.broken(job, detail.to_owned(), Signal::TimedOut)
    }

    async fn read(self, job: &Job, versioned: bool, response: Reader) -> Result<Begun, Failure> {
        let status = response.status.as_u16();
        let dialect = &self.gateway.dialect;
        let reading = dialect.classify(&response, &job.ask.id);
        let notice = dialect.notice(response.status, &response.headers);
        if reading != Classification::Misdirected {
            self.wants(job, notice);
        }
        match reading {
            Classification::Success { version } => Ok(Begun {
                attempt: self,
                response,
                version,
            }),
            Classification::NotRun => {
                let detail = format!("the replica answered {status}, not run");
                // One that asks for rest is as well as it says.
                let sign = if notice.backoff.is_some() {
                    Signal::Neutral
                } else {
                    Signal::Refused
                };
                Err(self.fail(job, Ended::Refused, sign, detail))
            }
            Classification::Misdirected => {
                // Without a version in the request, it can only mean that the replica is another.
                if !versioned {
                    self.gateway.pool.borrow_mut().invalidate(self.key);
                }
                let detail = "another replica has the address, or it holds another version";
                Err(self.fail(job, Ended::Misdirected, Signal::Neutral, detail.to_owned()))
            }
            Classification::Foreign => {
                let detail = format!("answer {status} is none to this request");
                Err(self.broken(job, detail, Signal::Broken))
            }
            Classification::Failure => self.own_failure(job, response).await,
        }
    }

    /// The replica told what it wants. The list may say otherwise for long.
    fn wants(&self, job: &Job, notice: Notice) {
        let now = self.now();
        let mut pool = self.gateway.pool.borrow_mut();
        if pool.apply_notice(self.key, &self.instance, notice, now) {
            log::info!(
                request = job.ask.id.as_str(),
                replica = &*self.instance.id,
                notice:% = notice;
                "a replica told what it wants"
            );
        }
    }

    /// Gathers a failure of the replica's own, to be passed on if nothing better comes.
    async fn own_failure(self, job: &Job, response: Reader) -> Result<Begun, Failure> {
        let detail = format!("the replica answered {}", response.status.as_u16());
        let begun = Begun {
            attempt: self,
            response,
            version: None,
        };
        let (attempt, answer) = begun.whole(job).await?;
        let mut failure = attempt.fail(job, Ended::Failed, Signal::Failed, detail);
        failure.answer = Some(answer);
        Err(failure)
    }
}

/// What a failed exchange says about its replica: nothing, if its connection went silent with others.
pub fn sign(error: &exchange::Error) -> Signal {
    match error {
        exchange::Error::Silent => Signal::Neutral,
        _ => Signal::Broken,
    }
}

/// The process beside the replica `key`, if that is to keep what a request brings: a stream that may be sent again, so
/// that a process that is killed with it costs no more than a replica that is.
fn keeper(gateway: &Gateway, job: &Job, key: Key) -> Option<SocketAddr> {
    let streams = job.route.kind == Kind::Streaming && job.route.repeatable();
    if !streams || !gateway.setting.policy.stream_buffering {
        return None;
    }
    gateway.process_beside(key)
}

fn options(job: &Job, moves_on: bool) -> Options {
    Options {
        // A connection that its replica closes just now would leave unknown whether the request
        // ran.
        reuse: if job.route.repeatable() {
            Reuse::Allowed
        } else {
            Reuse::Never
        },
        idle_max: IDLE_MAX,
        connect_timeout: CONNECT_TIMEOUT,
        unframed: Unframed::EndsWithConnection,
        // What nobody else may receive is waited for.
        guarded: moves_on,
        ..Options::default()
    }
}

/// An answer whose head came.
pub struct Begun {
    /// The attempt.
    pub attempt: Attempt,
    /// The answer.
    pub response: Reader,
    /// The version of the weights behind it, if it told one.
    pub version: Option<u64>,
}

impl Begun {
    /// The head that the caller gets.
    pub fn head(&self) -> HttpResponse<()> {
        let mut answer = HttpResponse::with_body(self.response.status, ());
        let headers = &self.response.headers;
        let dialect = &self.attempt.gateway.dialect;
        dialect.pass_headers(headers, answer.headers_mut());
        answer
    }

    /// Gathers a whole success.
    pub async fn gather(self, job: &Job) -> Result<Answer, Failure> {
        let (attempt, answer) = self.whole(job).await?;
        attempt.started();
        attempt.note(Signal::Success(attempt.elapsed()));
        attempt.count_whole();
        Ok(answer)
    }

    /// Gathers the whole answer.
    async fn whole(mut self, job: &Job) -> Result<(Attempt, Answer), Failure> {
        let read = self.response.read(GATHERED_MAX);
        let body: Bytes = match self.attempt.within(job, read).await {
            None => return Err(self.attempt.silent(job)),
            Some(Err(error)) => return Err(self.attempt.failed(job, &error)),
            Some(Ok(body)) => body,
        };
        let answer = self.head().set_body(BoxBody::new(body));
        Ok((self.attempt, answer))
    }
}
