//! An attempt to have a request served by one replica.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{RequestHead, Response as HttpResponse};
use bytes::{Bytes, BytesMut};

use super::dialect::{Classification, Forward};
use super::job::Job;
use super::poison::Observation;
use super::probe::Probe;
use super::reader::{self, Handle, Reader};
use super::retry::Retry;
use super::trace;
use super::{CONNECT_TIMEOUT, Gateway, IDLE_MAX};
use crate::clock::Time;
use crate::config::routing::Kind;
use crate::exchange::{self, Alarm, Options, Recorder, Reuse, Unframed};
use crate::http::Answer;
use crate::http::observed::{Observed, Observer};
use crate::limit::memory::{Reservation, Sort};
use crate::member::replica::Instance;
use crate::request::attempt::Ended;
use crate::request::poison::Subject;
use crate::route::estimate::Demand;
use crate::route::health::Signal;
use crate::route::notice::Notice;
use crate::route::pool::{Choice, Key};
use crate::route::quota::Statement;
use crate::timeout;

/// Multiple of the latency objective for which a replica may be silent before an idempotent request
/// is sent to another as well.
const SILENCE_FACTOR: u32 = 3;

/// Lower bound of that silence.
const SILENCE_MIN: Duration = Duration::from_millis(1_200);

/// Interval at which a replica that is silent for longer is checked for a queue, and for a change of
/// the time until which the request has to start: half of the interval between the reports of its sidecar.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Largest response, in bytes, that is read to its end before it is forwarded.
const BUFFERED_BODY_MAX: usize = 16 << 20;

/// An attempt that failed.
#[derive(Debug)]
pub struct Failure {
    /// How it ended.
    pub ended: Ended,
    /// What happened.
    pub detail: String,
    /// The replica's response, if that was a complete error.
    pub answer: Option<Answer>,
}

impl Failure {
    /// A failure without a response.
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

/// Parameters of an attempt besides the request itself.
#[derive(Debug, Clone, Copy)]
pub struct Params {
    /// The id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// The only acceptable version of the weights, if a started stream is to be resumed.
    pub version: Option<u64>,
}

/// An attempt. Its replica's load includes it until it is dropped.
pub struct Attempt {
    gateway: Rc<Gateway>,
    key: Key,
    /// The instance of its replica.
    pub instance: Instance,
    /// What crashes of replicas are counted under.
    subjects: Rc<[Subject]>,
    choice: Choice,
    address: SocketAddr,
    /// The sidecar of the replica, if it is to buffer the response.
    sidecar: Option<SocketAddr>,
    began: Time,
    demand: Demand,
    number: u64,
    start_deadline: Option<Time>,
    /// Whether the first event has arrived.
    started: Cell<bool>,
    /// Whether the pool has recorded when the first event arrived, or that this tells nothing.
    start_recorded: Cell<bool>,
    /// When the replica was last known to be alive.
    alive_at: Cell<Time>,
    /// Whether the replica is known to have survived the request, or is already being checked.
    outcome_known: Cell<bool>,
    /// Whether the replica is silent now, for as long as it may be before another one is asked.
    silent: Cell<bool>,
    /// Whether it has been silent for so long at any time.
    was_silent: Cell<bool>,
    connection: Recorder,
    /// Raised when another replica is to be asked.
    alarm: Alarm,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_start(false);
        self.gateway.pool.borrow_mut().end(self.key, self.number);
        // The caller has left or the replica was silent; the replica may still crash because of
        // it.
        self.suspect(Observation::Abandoned);
    }
}

impl Attempt {
    /// Begins an attempt at the chosen replica, which raises `alarm` when that is silent; `None` if
    /// it has gone, or has since announced that it takes no requests.
    pub fn begin(gateway: &Rc<Gateway>, job: &Job, choice: Choice, alarm: &Alarm) -> Option<Self> {
        let sidecar = buffering_sidecar(gateway, job, choice.key);
        let now = gateway.knowledge.now();
        let mut pool = gateway.pool.borrow_mut();
        let replica = pool
            .get(choice.key)
            .filter(|replica| !replica.suspension().rejects(now))?;
        let (instance, address) = (replica.record.instance(), replica.record.address);
        let demand = job.demand();
        let model = job.meta.inference.as_ref().map(|work| &*work.model);
        let start_deadline = model.and_then(|model| pool.start_deadline(choice.key, model, now));
        let number = pool.begin(choice.key, demand, choice.expected, now);
        if gateway
            .knowledge
            .quotas
            .borrow()
            .get(&instance)
            .stated()
            .is_some()
        {
            gateway.instruments.count_limited_attempt();
        }
        Some(Self {
            gateway: gateway.clone(),
            key: choice.key,
            instance,
            subjects: job.subjects.clone(),
            choice,
            address,
            sidecar,
            began: now,
            demand,
            number,
            start_deadline,
            started: Cell::new(false),
            start_recorded: Cell::new(false),
            alive_at: Cell::new(now),
            outcome_known: Cell::new(false),
            silent: Cell::new(false),
            was_silent: Cell::new(false),
            connection: Recorder::with_alarm(alarm.clone()),
            alarm: alarm.clone(),
        })
    }

    /// Records that the first event has arrived.
    pub fn first_event_received(&self) {
        self.started.set(true);
        self.record_start(true);
    }

    fn record_start(&self, received: bool) {
        if !self.start_recorded.replace(true) {
            let now = self.gateway.knowledge.now();
            let mut pool = self.gateway.pool.borrow_mut();
            pool.record_first_event(self.key, self.number, self.demand, received, now);
        }
    }

    /// Records a sign of the replica's health.
    pub fn record_health(&self, signal: Signal) {
        let now = self.gateway.knowledge.now();
        self.gateway
            .pool
            .borrow_mut()
            .record_health(self.key, signal, now);
    }

    /// Records that the replica answers, and how long that took. A pause tells nothing about how
    /// long it usually takes.
    pub fn record_answering(&self) {
        if !self.was_silent.get() {
            self.record_health(Signal::Success(self.elapsed()));
        }
    }

    /// Time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.gateway.knowledge.now().since(self.began)
    }

    /// Records that the replica is alive. If it had been silent, what was concluded from that is
    /// taken back.
    pub fn record_alive(&self) {
        self.alive_at.set(self.now());
        if self.silent.replace(false) {
            self.alarm.clear();
            self.record_health(Signal::Recovered);
            log::info!(
                replica = &*self.instance.id, ms = self.elapsed().as_millis() as u64;
                "silent replica goes on"
            );
        }
    }

    /// Whether the replica is silent, as was recorded.
    pub fn is_silent(&self) -> bool {
        self.silent.get()
    }

    /// Records that the replica is silent, so that another one is asked as well. It may only be
    /// paused, so its response is awaited nevertheless.
    pub fn record_silent(&self, job: &Job) {
        self.alarm.raise();
        if self.silent.replace(true) {
            return;
        }
        self.was_silent.set(true);
        self.record_health(Signal::TimedOut);
        // A pause tells nothing about how long first events take.
        self.record_start(false);
        if self.alive_at.get() == self.began {
            // The replica may have crashed before the request was sent.
            self.alive_at.set(Time::default());
        }
        log::info!(
            request = job.meta.id.as_str(), replica = &*self.instance.id,
            ms = self.elapsed().as_millis() as u64;
            "replica is silent"
        );
    }

    /// Counts a complete response.
    pub fn record_complete(&self) {
        self.outcome_known.set(true);
        self.gateway.instruments.count_attempt("whole");
    }

    fn fail(&self, job: &Job, ended: Ended, signal: Signal, detail: String) -> Failure {
        self.record_health(signal);
        if ended != Ended::Broken {
            self.outcome_known.set(true);
        }
        self.gateway.instruments.count_attempt(label(ended));
        log::warn!(
            request = job.meta.id.as_str(),
            name:% = job.subjects[0],
            parts = trace::names(job.subjects.get(1..)),
            replica = &*self.instance.id,
            ended = label(ended),
            known_requests = self.choice.requests,
            expected_ms = self.choice.expected.as_millis() as u64,
            connection:% = self.connection,
            ms = self.elapsed().as_millis() as u64;
            "attempt failed: {detail}"
        );
        Failure::new(ended, detail)
    }

    /// A failure after bytes were sent: the response is missing, invalid or incomplete.
    pub fn broken(&self, job: &Job, detail: String, signal: Signal) -> Failure {
        if signal == Signal::Broken {
            self.suspect(Observation::Broken);
        } else if self.alive_at.get() == self.began {
            // The replica may have crashed before the request was sent.
            self.alive_at.set(Time::default());
        }
        self.fail(job, Ended::Broken, signal, detail)
    }

    /// Has the replica checked for a crash, unless its fate is known or it is leaving: a
    /// leaving replica terminates as planned, with whatever runs there.
    fn suspect(&self, observation: Observation) {
        if self.outcome_known.replace(true) {
            return;
        }
        if !self.is_leaving() {
            let instance = self.instance.clone();
            self.gateway.suspect(
                self.subjects.clone(),
                instance,
                self.address,
                observation,
                self.alive_at.get(),
            );
        }
    }

    /// Whether the replica is about to terminate as planned.
    fn is_leaving(&self) -> bool {
        let pool = self.gateway.pool.borrow();
        pool.get(self.key)
            .is_some_and(|replica| replica.record.leaving || replica.suspension().leaving())
    }

    /// Like [`broken`](Self::broken), for a response that its caller had left unread: replicas cut
    /// such responses off, so it says nothing about the replica's health and is no crash.
    pub fn broken_unread(&self, job: &Job, detail: String) -> Failure {
        self.outcome_known.set(true);
        self.fail(job, Ended::Broken, Signal::Neutral, detail)
    }

    /// The failure of an exchange after bytes were sent.
    pub fn exchange_failed(&self, job: &Job, error: &exchange::Error) -> Failure {
        if let exchange::Error::Malformed { .. } = error {
            self.gateway.instruments.count_malformed_response();
        }
        self.broken(job, error.to_string(), signal(error))
    }

    /// Sends the request and reads the head of the response.
    pub async fn send(self, job: &Job, send: Params) -> Result<Incoming, Failure> {
        let Params {
            last_event,
            version,
        } = send;
        let now = self.gateway.knowledge.now();
        let forward = Forward {
            replica: &self.instance.id,
            remaining: job.remaining(now),
            customer: job.customer.as_deref(),
            urgency: job.priority,
            last_event,
            version,
        };
        let head = self.gateway.dialect.forward(&job.head, forward);
        let exchange = self.exchange(job, head);
        match self.await_response(job, exchange).await {
            None => Err(self.timeout_failure(job)),
            // The sidecar may mean another instance, so the notice is not applied to this one;
            // reports carry what this one announces.
            Some(Err(error @ reader::Error::Rejected { .. })) => {
                let detail = format!("not sent: {error}");
                Err(self.fail(job, Ended::NotSent, Signal::Neutral, detail))
            }
            Some(Err(reader::Error::Exchange(exchange::Error::NotSent { reason }))) => {
                let detail = format!("not sent: {reason}");
                Err(self.fail(job, Ended::NotSent, Signal::Unreachable, detail))
            }
            Some(Err(reader::Error::Exchange(error))) => Err(self.exchange_failed(job, &error)),
            Some(Err(error)) => Err(self.broken(job, error.to_string(), Signal::Broken)),
            Some(Ok(response)) => self.read(job, version.is_some(), response).await,
        }
    }

    /// Sends the request by way of the sidecar if it is to buffer the response, or else directly.
    async fn exchange(&self, job: &Job, head: RequestHead) -> Result<Reader, reader::Error> {
        if let Some(sidecar) = self.sidecar {
            let handle = Handle::new(&self.gateway, sidecar, &job.meta.id);
            let (body, recorder) = (job.body.clone(), self.connection.clone());
            match Reader::begin(handle, head.clone(), body, recorder).await {
                Ok(reader) => return Ok(reader),
                Err(error @ (reader::Error::Unreachable { .. } | reader::Error::NotSent)) => {
                    self.bypass_sidecar(job, &error);
                }
                Err(error) => return Err(error),
            }
        }
        let client = &self.gateway.client;
        let body = job.body.clone();
        let options = self.options(job);
        let exchange =
            client.exchange_recorded(self.address, head, body, options, &self.connection);
        Ok(Reader::of_replica(exchange.await?))
    }

    /// Options of an exchange with the replica itself.
    fn options(&self, job: &Job) -> Options {
        Options {
            // If the replica closes a reused connection at this moment, it is unknown whether the
            // request ran.
            reuse: if job.route.repeatable() {
                Reuse::Allowed
            } else {
                Reuse::Never
            },
            idle_max: IDLE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
            unframed: Unframed::Confirmed(Rc::new(Probe::new(&self.gateway, job, &self.instance))),
            guarded: false,
            ..Options::default()
        }
    }

    /// Records that the sidecar did not send the request on, so that it goes to the replica
    /// directly.
    fn bypass_sidecar(&self, job: &Job, error: &reader::Error) {
        log::info!(request = job.meta.id.as_str(), replica = &*self.instance.id; "bypassing the sidecar: {error}");
        if matches!(error, reader::Error::Unreachable { .. }) {
            let now = self.now();
            self.gateway
                .pool
                .borrow_mut()
                .mark_unresponsive(self.key, false, now);
        }
    }

    /// Awaits `step` until the deadline, or until the request may not start at this replica any
    /// more; `None` after that. If the replica is silent for long and the request may be repeated,
    /// the alarm is raised. While the sidecar reports a queue, silence is no sign of failure: the
    /// request would be processed a second time elsewhere.
    pub async fn await_response<T>(&self, job: &Job, step: impl Future<Output = T>) -> Option<T> {
        let mut step = pin!(step);
        let mut silence = if job.route.repeatable() {
            (job.objective() * SILENCE_FACTOR).max(SILENCE_MIN)
        } else {
            Duration::MAX
        };
        loop {
            let now = self.gateway.knowledge.now();
            let remaining = job.remaining(now);
            // Once the next version is due, the request may not start on the replica's current one.
            let start = self
                .start_deadline(job)
                .map_or(remaining, |bound| bound.since(now));
            let longest = remaining.min(start);
            let wait = timeout::within(|| self.now(), silence.min(longest), &mut step);
            if let Some(done) = wait.await {
                return Some(done);
            }
            if silence >= longest {
                return None;
            }
            if !self.silent.get() && !self.gateway.pool.borrow().has_queue(self.key, self.now()) {
                self.record_silent(job);
            }
            // The time until which the request has to start may become earlier meanwhile.
            silence = QUEUE_POLL_INTERVAL;
        }
    }

    /// The time by which the request has to have started at its replica, as far as is known now. It
    /// may become earlier while the request waits: a new version may be published, or turn out to
    /// have been published before.
    fn start_deadline(&self, job: &Job) -> Option<Time> {
        if self.started.get() {
            return None;
        }
        let model = job.meta.inference.as_ref().map(|work| &*work.model)?;
        let pool = self.gateway.pool.borrow();
        let known = pool.start_deadline(self.key, model, self.now());
        self.start_deadline.into_iter().chain(known).min()
    }

    fn now(&self) -> Time {
        self.gateway.knowledge.now()
    }

    /// The failure when the replica has not answered in time.
    pub fn timeout_failure(&self, job: &Job) -> Failure {
        let late = job.remaining(self.now()).is_zero();
        let detail = if late {
            "the request's time is over"
        } else {
            "it has not started before its replica's version was over"
        };
        self.broken(job, detail.to_owned(), Signal::TimedOut)
    }

    async fn read(self, job: &Job, versioned: bool, response: Reader) -> Result<Incoming, Failure> {
        self.record_alive();
        let status = response.status.as_u16();
        let dialect = &self.gateway.dialect;
        let reading = dialect.classify(&response, &job.meta.id);
        let notice = dialect.notice(response.status, &response.headers);
        if reading != Classification::Misdirected {
            self.apply_notice(job, notice);
        }
        if !matches!(
            reading,
            Classification::Misdirected | Classification::Foreign
        ) {
            self.record_quota(job, dialect.quota(&response.headers));
        }
        match reading {
            Classification::Success { version } => Ok(Incoming {
                attempt: self,
                response,
                version,
            }),
            Classification::NotRun => {
                let detail = format!("the replica answered {status}, not run");
                // A replica that asks for backoff is healthy.
                let signal = if notice.backoff.is_some() {
                    Signal::Neutral
                } else {
                    Signal::Refused
                };
                Err(self.fail(job, Ended::Refused, signal, detail))
            }
            Classification::Misdirected => {
                // The request named no version, so the address must belong to another replica.
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
            Classification::Failure => self.replica_error(job, response).await,
        }
    }

    /// Applies the notice in the replica's response. The list may lag behind it for long.
    fn apply_notice(&self, job: &Job, notice: Notice) {
        let now = self.now();
        let mut pool = self.gateway.pool.borrow_mut();
        if pool.apply_notice(self.key, &self.instance, notice, now) {
            log::info!(
                request = job.meta.id.as_str(),
                replica = &*self.instance.id,
                notice:% = notice;
                "replica changed what it accepts"
            );
        }
    }

    /// Records what the replica's response states about its quota.
    fn record_quota(&self, job: &Job, statement: Statement) {
        let knowledge = &self.gateway.knowledge;
        if let Some(change) = knowledge.record_quota(&self.instance, statement, self.began) {
            log::info!(
                request = job.meta.id.as_str(),
                replica = &*self.instance.id,
                sent_ms = self.elapsed().as_millis() as u64;
                "quota {change}"
            );
        }
    }

    /// Reads the replica's error response to its end; it is forwarded if no later attempt succeeds.
    async fn replica_error(self, job: &Job, response: Reader) -> Result<Incoming, Failure> {
        let detail = format!("the replica answered {}", response.status.as_u16());
        let incoming = Incoming {
            attempt: self,
            response,
            version: None,
        };
        let (attempt, answer) = incoming.read_to_end(job).await?;
        let mut failure = attempt.fail(job, Ended::Failed, Signal::Failed, detail);
        failure.answer = Some(answer);
        Err(failure)
    }
}

/// What a failed exchange says about the replica's health: nothing if connections to other peers
/// went silent as well.
pub fn signal(error: &exchange::Error) -> Signal {
    match error {
        exchange::Error::Silent => Signal::Neutral,
        _ => Signal::Broken,
    }
}

/// The sidecar of the replica `key`, if it is to buffer the response. Only idempotent streams are
/// buffered, so that a killed sidecar costs no more than a killed replica.
fn buffering_sidecar(gateway: &Gateway, job: &Job, key: Key) -> Option<SocketAddr> {
    let streams = job.route.kind == Kind::Streaming && job.route.repeatable();
    if !streams || !gateway.setting.policy.stream_buffering {
        return None;
    }
    gateway.sidecar_of(key)
}

/// An attempt that is to be sent. Dropping it while it runs closes the connection to the replica.
pub struct Sending {
    /// The request.
    pub job: Rc<Job>,
    /// The attempt.
    pub attempt: Attempt,
    /// Parameters besides the request.
    pub params: Params,
    /// The retry that it uses.
    pub retry: Option<Retry>,
}

impl Sending {
    /// Sends the request and reads the head of the response.
    pub async fn run(self) -> Result<Incoming, Failure> {
        let result = self.attempt.send(&self.job, self.params).await;
        if let Some(retry) = self.retry {
            retry.settle(result.as_ref().err().map(|failure| failure.ended));
        }
        result
    }
}

/// A response whose head has arrived.
pub struct Incoming {
    /// The attempt.
    pub attempt: Attempt,
    /// The response.
    pub response: Reader,
    /// The version of the weights that produced it, if the head names one.
    pub version: Option<u64>,
}

impl Incoming {
    /// The response head for the caller.
    pub fn head(&self) -> HttpResponse<()> {
        let mut answer = HttpResponse::with_body(self.response.status, ());
        let headers = &self.response.headers;
        let dialect = &self.attempt.gateway.dialect;
        dialect.pass_headers(headers, answer.headers_mut());
        answer
    }

    /// Reads the body of an error to its end, as far as memory allows.
    async fn read_to_end(mut self, job: &Job) -> Result<(Attempt, Answer), Failure> {
        let limit = BUFFERED_BODY_MAX as u64;
        let mut held = self.attempt.gateway.held.reserve(Sort::Answer, 0);
        let read = read_counted(&mut self.response, limit, held.as_mut());
        let body = match self.attempt.await_response(job, read).await {
            None => return Err(self.attempt.timeout_failure(job)),
            Some(Err(error)) => return Err(self.attempt.exchange_failed(job, &error)),
            Some(Ok(body)) => body,
        };
        let body = Holding::attach(body, held);
        let answer = self.head().set_body(body);
        Ok((self.attempt, answer))
    }
}

/// Reads a body of at most `limit` bytes, which are counted in `held`.
pub(super) async fn read_counted(
    response: &mut Reader,
    limit: u64,
    held: Option<&mut Reservation>,
) -> Result<Bytes, exchange::Error> {
    let too_long = exchange::Error::TooLong {
        limit: limit as usize,
    };
    let Some(held) = held else {
        return Err(too_long);
    };
    let mut all = BytesMut::new();
    while let Some(part) = response.next().await {
        let part = part?;
        let length = (all.len() + part.len()) as u64;
        if length > limit || !held.set(length) {
            return Err(too_long);
        }
        all.extend_from_slice(&part);
    }
    Ok(all.freeze())
}

/// Keeps a reservation until the response was handed over.
pub(super) struct Holding {
    _held: Option<Reservation>,
}

impl Observer for Holding {}

impl Holding {
    /// A body that keeps `held`.
    pub(super) fn attach(body: Bytes, held: Option<Reservation>) -> BoxBody {
        Observed::new(BoxBody::new(body), Self { _held: held }).boxed()
    }
}
