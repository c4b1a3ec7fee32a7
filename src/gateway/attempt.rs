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
use super::poison::Observation;
use super::reader::{self, Handle, Reader};
use super::{CONNECT_TIMEOUT, Gateway, IDLE_MAX};
use crate::clock::Time;
use crate::config::routing::Kind;
use crate::exchange::{self, Note, Options, Reuse, Unframed};
use crate::http::Answer;
use crate::member::replica::Life;
use crate::patience;
use crate::request::attempt::Ended;
use crate::request::poison::Name;
use crate::route::estimate::Demand;
use crate::route::health::Sign;
use crate::route::notice::Notice;
use crate::route::pool::{Choice, Key};

/// Objectives that a replica may be silent before a request that may be repeated goes elsewhere.
const SILENCE_FACTOR: u32 = 3;

/// Shortest such silence.
const SILENCE_MIN: Duration = Duration::from_millis(1_200);

/// How often it is looked whether a replica that is silent for longer still has a queue: half of the
/// time after which its process reports again.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest whole answer that is gathered.
const BUFFERED_BODY_MAX: usize = 16 << 20;

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

fn label(ended: Ended) -> &'static str {
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
pub struct Params {
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The only version that will do.
    pub version: Option<u64>,
    /// Whether another replica may receive the request after this one.
    pub can_fail_over: bool,
}

/// An attempt, counted at its replica until it is dropped.
pub struct Attempt {
    gateway: Rc<Gateway>,
    key: Key,
    /// The life of its replica.
    pub life: Life,
    /// What it is an attempt of.
    request: Name,
    choice: Choice,
    address: SocketAddr,
    /// The process beside the replica, if that is to keep what comes.
    sidecar: Option<SocketAddr>,
    began: Time,
    demand: Demand,
    number: u64,
    start_bound: Option<Time>,
    started: Cell<bool>,
    /// Whether it was seen how its replica came through it.
    outcome_known: Cell<bool>,
    connection: Note,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_start(false);
        self.gateway.pool.borrow_mut().end(self.key, self.number);
        // Its caller has left, or the replica was silent: that may end under it all the same.
        self.suspect(Observation::Abandoned);
    }
}

impl Attempt {
    /// Begins an attempt at a chosen replica, unless that has gone, or has told since that it wants nothing.
    pub fn begin(gateway: &Rc<Gateway>, job: &Job, choice: Choice) -> Option<Self> {
        let sidecar = buffering_sidecar(gateway, job, choice.key);
        let now = gateway.knowledge.now();
        let mut pool = gateway.pool.borrow_mut();
        let replica = pool
            .get(choice.key)
            .filter(|replica| !replica.wish().refuses(now))?;
        let (life, address) = (replica.record.life(), replica.record.address);
        let demand = job.demand();
        let model = job.meta.inference.as_ref().map(|work| &*work.model);
        let start_bound = model.and_then(|model| pool.start_bound(choice.key, model, now));
        let number = pool.begin(choice.key, demand, choice.expected, now);
        Some(Self {
            gateway: gateway.clone(),
            key: choice.key,
            life,
            request: job.name,
            choice,
            address,
            sidecar,
            began: now,
            demand,
            number,
            start_bound,
            started: Cell::new(false),
            outcome_known: Cell::new(false),
            connection: Note::default(),
        })
    }

    /// The first event came.
    pub fn first_event_received(&self) {
        self.record_start(true);
    }

    fn record_start(&self, came: bool) {
        if !self.started.replace(true) {
            let now = self.gateway.knowledge.now();
            let mut pool = self.gateway.pool.borrow_mut();
            pool.started(self.key, self.number, self.demand, came, now);
        }
    }

    /// Notes something about the replica's health.
    pub fn note(&self, sign: Sign) {
        let now = self.gateway.knowledge.now();
        self.gateway.pool.borrow_mut().note(self.key, sign, now);
    }

    /// Time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.gateway.knowledge.now().since(self.began)
    }

    /// Counts a whole answer.
    pub fn record_complete(&self) {
        self.outcome_known.set(true);
        self.gateway.instruments.count_attempt("whole");
    }

    fn fail(&self, job: &Job, ended: Ended, sign: Sign, detail: String) -> Failure {
        self.note(sign);
        if ended != Ended::Broken {
            self.outcome_known.set(true);
        }
        self.gateway.instruments.count_attempt(label(ended));
        log::warn!(
            request = job.meta.id.as_str(),
            name:% = job.name,
            replica = &*self.life.id,
            ended = label(ended),
            known_requests = self.choice.requests,
            expected_ms = self.choice.expected.as_millis() as u64,
            connection:% = self.connection,
            ms = self.elapsed().as_millis() as u64;
            "attempt ended: {detail}"
        );
        Failure::new(ended, detail)
    }

    /// A failure after bytes left, because the answer is none or broke.
    pub fn broken(&self, job: &Job, detail: String, sign: Sign) -> Failure {
        if sign == Sign::Broken {
            self.suspect(Observation::Broken);
        }
        self.fail(job, Ended::Broken, sign, detail)
    }

    /// The replica may have ended under the request, or end soon. One that leaves ends as planned, with whatever runs there.
    fn suspect(&self, observation: Observation) {
        if self.outcome_known.replace(true) {
            return;
        }
        let leaves = {
            let pool = self.gateway.pool.borrow();
            pool.get(self.key)
                .is_some_and(|replica| replica.record.leaving || replica.wish().leaving())
        };
        if !leaves {
            let life = self.life.clone();
            self.gateway
                .suspect(self.request, life, self.address, observation);
        }
    }

    fn exchange_failed(&self, job: &Job, error: &exchange::Error) -> Failure {
        self.broken(job, error.to_string(), sign(error))
    }

    /// Sends the request and reads the head of its answer.
    pub async fn send(self, job: &Job, send: Params) -> Result<Reply, Failure> {
        let Params {
            last_event,
            version,
            can_fail_over,
        } = send;
        let now = self.gateway.knowledge.now();
        let forward = Forward {
            replica: &self.life.id,
            remaining: job.remaining(now),
            customer: job.customer.as_deref(),
            urgency: job.priority.min(URGENCY_MAX),
            last_event,
            version,
        };
        let head = self.gateway.dialect.forward(&job.head, forward);
        let exchange = self.exchange(job, head, can_fail_over);
        match self.within(job, exchange).await {
            None => Err(self.silent(job)),
            // Its process may speak of another life than this one. What this one wants comes with reports.
            Some(Err(error @ reader::Error::TurnedAway { .. })) => {
                let detail = format!("not sent: {error}");
                Err(self.fail(job, Ended::NotSent, Sign::None, detail))
            }
            Some(Err(reader::Error::Exchange(exchange::Error::NotSent { reason }))) => {
                let detail = format!("not sent: {reason}");
                Err(self.fail(job, Ended::NotSent, Sign::Unreachable, detail))
            }
            Some(Err(reader::Error::Exchange(error))) => Err(self.exchange_failed(job, &error)),
            Some(Err(error)) => Err(self.broken(job, error.to_string(), Sign::Broken)),
            Some(Ok(response)) => self.read(job, version.is_some(), response).await,
        }
    }

    /// Has the request run: by the process beside the replica, or else directly.
    async fn exchange(
        &self,
        job: &Job,
        head: RequestHead,
        can_fail_over: bool,
    ) -> Result<Reader, reader::Error> {
        if let Some(sidecar) = self.sidecar {
            let handle = Handle::new(&self.gateway, sidecar, &job.meta.id);
            let (body, note) = (job.body.clone(), self.connection.clone());
            match Reader::begin(handle, head.clone(), body, note).await {
                Ok(reader) => return Ok(reader),
                Err(error @ (reader::Error::OutOfReach { .. } | reader::Error::NotSent)) => {
                    self.bypass_sidecar(job, &error);
                }
                Err(error) => return Err(error),
            }
        }
        let client = &self.gateway.client;
        let body = job.body.clone();
        let options = options(job, can_fail_over);
        let exchange = client.exchange_noting(self.address, head, body, options, &self.connection);
        Ok(Reader::of_replica(exchange.await?))
    }

    /// Nothing has run, and the request goes to the replica itself.
    fn bypass_sidecar(&self, job: &Job, error: &reader::Error) {
        log::info!(request = job.meta.id.as_str(), replica = &*self.life.id; "sent directly: {error}");
        if matches!(error, reader::Error::OutOfReach { .. }) {
            let now = self.now();
            self.gateway.pool.borrow_mut().unheard(self.key, false, now);
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
            let wait = patience::within(|| self.now(), silence.min(longest), &mut step);
            if let Some(done) = wait.await {
                return Some(done);
            }
            if silence >= longest || !self.gateway.pool.borrow().queues(self.key, self.now()) {
                return None;
            }
            silence = QUEUE_POLL_INTERVAL;
        }
    }

    /// When the request has to have started at its replica, as far as is known now: a version may be
    /// named, or turn out to have been named earlier, while it waits there.
    fn start_bound(&self, job: &Job) -> Option<Time> {
        if self.started.get() {
            return None;
        }
        let model = job.meta.inference.as_ref().map(|work| &*work.model)?;
        let pool = self.gateway.pool.borrow();
        let known = pool.start_bound(self.key, model, self.now());
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
        self.broken(job, detail.to_owned(), Sign::Silent)
    }

    async fn read(self, job: &Job, versioned: bool, response: Reader) -> Result<Reply, Failure> {
        let status = response.status.as_u16();
        let dialect = &self.gateway.dialect;
        let reading = dialect.classify(&response, &job.meta.id);
        let notice = dialect.notice(response.status, &response.headers);
        if reading != Classification::Misdirected {
            self.apply_notice(job, notice);
        }
        match reading {
            Classification::Success { version } => Ok(Reply {
                attempt: self,
                response,
                version,
            }),
            Classification::NotRun => {
                let detail = format!("the replica answered {status}, not run");
                // One that asks for rest is as well as it says.
                let sign = if notice.rest.is_some() {
                    Sign::None
                } else {
                    Sign::Refused
                };
                Err(self.fail(job, Ended::Refused, sign, detail))
            }
            Classification::Misdirected => {
                // Without a version in the request, it can only mean that the replica is another.
                if !versioned {
                    self.gateway.pool.borrow_mut().deny(self.key);
                }
                let detail = "another replica has the address, or it holds another version";
                Err(self.fail(job, Ended::Misdirected, Sign::None, detail.to_owned()))
            }
            Classification::Foreign => {
                let detail = format!("answer {status} is none to this request");
                Err(self.broken(job, detail, Sign::Broken))
            }
            Classification::Failure => self.replica_error(job, response).await,
        }
    }

    /// The replica told what it wants. The list may say otherwise for long.
    fn apply_notice(&self, job: &Job, notice: Notice) {
        let now = self.now();
        let mut pool = self.gateway.pool.borrow_mut();
        if pool.take_notice(self.key, &self.life, notice, now) {
            log::info!(
                request = job.meta.id.as_str(),
                replica = &*self.life.id,
                notice:% = notice;
                "a replica told what it wants"
            );
        }
    }

    /// Gathers a failure of the replica's own, to be passed on if nothing better comes.
    async fn replica_error(self, job: &Job, response: Reader) -> Result<Reply, Failure> {
        let detail = format!("the replica answered {}", response.status.as_u16());
        let reply = Reply {
            attempt: self,
            response,
            version: None,
        };
        let (attempt, answer) = reply.whole(job).await?;
        let mut failure = attempt.fail(job, Ended::Failed, Sign::Failed, detail);
        failure.answer = Some(answer);
        Err(failure)
    }
}

/// What a failed exchange says about its replica: nothing, if its connection went silent with others.
pub fn sign(error: &exchange::Error) -> Sign {
    match error {
        exchange::Error::Silent => Sign::None,
        _ => Sign::Broken,
    }
}

/// The process beside the replica `key`, if that is to keep what a request brings: a stream that may be sent again, so
/// that a process that is killed with it costs no more than a replica that is.
fn buffering_sidecar(gateway: &Gateway, job: &Job, key: Key) -> Option<SocketAddr> {
    let streams = job.route.kind == Kind::Streaming && job.route.repeatable();
    if !streams || !gateway.setting.policy.kept {
        return None;
    }
    gateway.sidecar_of(key)
}

fn options(job: &Job, can_fail_over: bool) -> Options {
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
        guarded: can_fail_over,
        ..Options::default()
    }
}

/// An answer whose head came.
pub struct Reply {
    /// The attempt.
    pub attempt: Attempt,
    /// The answer.
    pub response: Reader,
    /// The version of the weights behind it, if it told one.
    pub version: Option<u64>,
}

impl Reply {
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
        attempt.first_event_received();
        attempt.note(Sign::Whole(attempt.elapsed()));
        attempt.record_complete();
        Ok(answer)
    }

    /// Gathers the whole answer.
    async fn whole(mut self, job: &Job) -> Result<(Attempt, Answer), Failure> {
        let read = self.response.read(BUFFERED_BODY_MAX);
        let body: Bytes = match self.attempt.within(job, read).await {
            None => return Err(self.attempt.silent(job)),
            Some(Err(error)) => return Err(self.attempt.exchange_failed(job, &error)),
            Some(Ok(body)) => body,
        };
        let answer = self.head().set_body(BoxBody::new(body));
        Ok((self.attempt, answer))
    }
}
