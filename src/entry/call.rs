//! One caller's request from its head to the end of its answer: admission, attempts, relay.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::Entry;
use super::caller::{self, Body, Code, Failure, Head};
use super::event::Reader;
use super::status::count;
use crate::agent::door::{PROVEN, Reason, Turned};
use crate::clock::{Time, unix_millis};
use crate::config::InForce;
use crate::exchange::{self, Response, Reuse};
use crate::http::{self, Answer};
use crate::limit::Refusal;
use crate::request::{self, Break, Key, Next, Outcome, Situation};
use crate::route::{Ask, End, Need, ReplicaKey, hash_of};
use crate::template::fleet::{Limits, Priority, WHOLE_SHARE};
use crate::wire::header;

/// Header that names a request in its answer.
pub const REQUEST_HEADER: &str = "x-pumicelatch-request";

/// Bytes of a prompt that decide its affinity.
const PREFIX_BYTES: usize = 256;

/// When a caller without a replica should come back.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(500);

/// When a caller that was shed should come back, if the target gave no time.
const OVERLOAD_RETRY: Duration = Duration::from_millis(250);

/// How long a target may take to take up a broken answer.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an agent may take to issue a key or to cancel.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest whole answer that is gathered for a caller that does not stream.
const GATHERED_MAX: usize = 16 << 20;

/// Longest refusal of an agent.
const TURNED_MAX: usize = 4 << 10;

/// The body of a completion, as far as the entry looks into it.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    stream: bool,
}

/// The body of a request for a key.
#[derive(Debug, Deserialize)]
struct KeyRequest {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    service: Option<String>,
}

/// The answer to a request for a key.
#[derive(Debug, Serialize, Deserialize)]
pub struct Issued {
    /// The key, to be sent as `Idempotency-Key`.
    pub key: String,
}

/// A request that was checked.
#[derive(Debug, Clone)]
struct Job {
    id: String,
    customer: Arc<str>,
    need: Need,
    halls: Vec<String>,
    prefix: Option<u64>,
    path: String,
    body: Bytes,
    priority: Priority,
    deadline: Time,
    repeatable: bool,
    key: Option<Key>,
    streamed: bool,
}

/// Counts a request for as long as it lives, and its end.
struct Flight {
    entry: Rc<Entry>,
    customer: Arc<str>,
    began: Time,
    outcome: Option<Outcome>,
}

impl Flight {
    fn begin(entry: &Rc<Entry>, customer: &Arc<str>, limits: &Limits) -> Result<Self, Failure> {
        let admitted = entry
            .customers
            .borrow_mut()
            .begin(customer, limits.in_flight);
        if let Err(refusal) = admitted {
            let retry = match refusal {
                Refusal::Full { retry_after } | Refusal::Deadline { retry_after } => retry_after,
                Refusal::Customer { .. } => OVERLOAD_RETRY,
            };
            let failure = Failure::not_run(Code::CustomerLimit, refusal.to_string());
            return Err(failure.retry_after(retry));
        }
        count(&entry.counters.in_flight);
        Ok(Self {
            entry: entry.clone(),
            customer: customer.clone(),
            began: entry.node.clock.now(),
            outcome: None,
        })
    }

    fn ended(&mut self, outcome: Outcome) {
        self.outcome.get_or_insert(outcome);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let entry = &self.entry;
        entry.customers.borrow_mut().end(&self.customer);
        let counters = &entry.counters;
        counters.in_flight.set(counters.in_flight.get() - 1);
        let seconds = entry.node.clock.now().since(self.began).as_secs_f64();
        let (counter, name) = match self.outcome {
            Some(Outcome::Ran) => (&counters.ran, "ran"),
            Some(Outcome::NotRun) => (&counters.not_run, "not_run"),
            Some(Outcome::Unknown) | None => (&counters.unknown, "unknown"),
        };
        count(counter);
        entry.instruments.ended(name, seconds);
    }
}

fn customer_of(entry: &Entry, head: &Head) -> Result<InForce, Failure> {
    if let Some(in_force) = entry.node.book.borrow().customers().get(&head.customer) {
        return Ok(in_force.clone());
    }
    let message = format!("there is no customer `{}`", head.customer);
    Err(Failure::not_run(Code::UnknownCustomer, message))
}

/// A stable number in 0..100: a session, or else a prompt, keeps its version and side while shares
/// grow.
fn draw(customer: &str, stable: &str) -> u32 {
    let text = format!("{customer}\n{stable}");
    (hash_of(text.as_bytes()) % u64::from(WHOLE_SHARE)) as u32
}

impl Job {
    fn common(entry: &Entry, head: &Head, limits: &Limits, need: Need) -> Self {
        let now = entry.node.clock.now();
        let millis = Duration::from_millis(limits.deadline_ms);
        let priority = head.priority.unwrap_or(limits.priority);
        Self {
            id: format!("{:032x}", rand::rng().random::<u128>()),
            customer: head.customer.as_str().into(),
            need,
            halls: Vec::new(),
            prefix: None,
            path: String::new(),
            body: Bytes::new(),
            priority: priority.min(limits.priority),
            deadline: now + head.deadline.unwrap_or(millis),
            repeatable: false,
            key: head.key.clone(),
            streamed: true,
        }
    }

    fn remaining(&self, entry: &Entry) -> Duration {
        self.deadline.since(entry.node.clock.now())
    }
}

/// `POST /v1/completions`.
pub async fn completion(entry: Rc<Entry>, mut request: Request) -> Answer {
    match prepare_completion(&entry, &mut request).await {
        Ok((job, flight)) => run(entry, job, flight).await,
        Err(failure) => refuse(&entry, &failure),
    }
}

/// `POST /v1/services/NAME/PATH`.
pub async fn service(entry: Rc<Entry>, mut request: Request, name: &str, path: &str) -> Answer {
    match prepare_service(&entry, &mut request, name, path).await {
        Ok((job, flight)) => run(entry, job, flight).await,
        Err(failure) => refuse(&entry, &failure),
    }
}

/// Refuses a request that was not taken further.
pub(super) fn refuse(entry: &Entry, failure: &Failure) -> Answer {
    count(&entry.counters.not_run);
    entry.instruments.ended("not_run", 0.0);
    failure.answer()
}

async fn prepare_completion(
    entry: &Rc<Entry>,
    request: &mut Request,
) -> Result<(Job, Flight), Failure> {
    let head = Head::read(request)?;
    let in_force = customer_of(entry, &head)?;
    let body = caller::read_body(&entry.porter, request).await?;
    let completion: Completion = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is no completion request: {error}");
        Failure::not_run(Code::BadBody, message)
    })?;
    let fleet = &in_force.fleet;
    let model = fleet
        .models
        .iter()
        .find(|model| model.name == completion.model)
        .ok_or_else(|| {
            let message = format!("the customer has no model `{}`", completion.model);
            Failure::not_run(Code::UnknownModel, message)
        })?;
    let stable = head.session.as_deref().unwrap_or(&completion.prompt);
    let draw = draw(&head.customer, stable);
    let version = model.version_for(draw).ok_or_else(|| {
        Failure::not_run(
            Code::NoReplica,
            "the model has no version that takes requests",
        )
    })?;
    let need = Need::Version(version.digest);
    let job = Job {
        halls: fleet.serving_halls(draw).to_vec(),
        prefix: Some(prefix_hash(&completion.prompt)),
        body,
        repeatable: head.repeatable.unwrap_or(model.repeatable) && model.repeatable,
        streamed: completion.stream,
        ..Job::common(entry, &head, &fleet.limits, need)
    };
    let flight = Flight::begin(entry, &job.customer, &fleet.limits)?;
    Ok((job, flight))
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    hash_of(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

async fn prepare_service(
    entry: &Rc<Entry>,
    request: &mut Request,
    name: &str,
    path: &str,
) -> Result<(Job, Flight), Failure> {
    let head = Head::read(request)?;
    let in_force = customer_of(entry, &head)?;
    let fleet = &in_force.fleet;
    let service = fleet
        .services
        .iter()
        .find(|service| service.name == name)
        .ok_or_else(|| {
            let message = format!("the customer has no service `{name}`");
            Failure::not_run(Code::UnknownService, message)
        })?;
    let repeatable = head.repeatable.unwrap_or(service.repeatable) && service.repeatable;
    let body = caller::read_body(&entry.porter, request).await?;
    let job = Job {
        path: format!("/{path}"),
        body,
        repeatable,
        ..Job::common(entry, &head, &fleet.limits, Need::Service(name.into()))
    };
    let flight = Flight::begin(entry, &job.customer, &fleet.limits)?;
    Ok((job, flight))
}

/// `POST /v1/keys`: has a target's agent issue a key.
pub async fn key(entry: Rc<Entry>, mut request: Request) -> Answer {
    match issue(&entry, &mut request).await {
        Ok(key) => http::json(StatusCode::OK, &Issued { key }),
        Err(failure) => failure.answer(),
    }
}

async fn issue(entry: &Rc<Entry>, request: &mut Request) -> Result<String, Failure> {
    let head = Head::read(request)?;
    let in_force = customer_of(entry, &head)?;
    let body = caller::read_body(&entry.porter, request).await?;
    let wanted: KeyRequest = serde_json::from_slice(&body)
        .map_err(|error| Failure::not_run(Code::BadBody, error.to_string()))?;
    let need = key_need(&in_force, &head, &wanted)?;
    let mut job = Job::common(entry, &head, &in_force.fleet.limits, need);
    if matches!(job.need, Need::Version(_)) {
        let stable = head.session.as_deref().unwrap_or_default();
        let draw = draw(&head.customer, stable);
        job.halls = in_force.fleet.serving_halls(draw).to_vec();
    }
    let mut tried = Vec::new();
    while let Some(replica) = choose(entry, &job, &tried) {
        if let Some(key) = issue_at(entry, &job, replica).await {
            return Ok(key);
        }
        tried.push(replica);
    }
    Err(no_replica(entry))
}

fn key_need(in_force: &InForce, head: &Head, wanted: &KeyRequest) -> Result<Need, Failure> {
    let fleet = &in_force.fleet;
    if let Some(name) = &wanted.service {
        if fleet.services.iter().any(|service| service.name == *name) {
            return Ok(Need::Service(name.as_str().into()));
        }
        let message = format!("the customer has no service `{name}`");
        return Err(Failure::not_run(Code::UnknownService, message));
    }
    let name = wanted.model.as_deref().unwrap_or_default();
    let model = fleet.models.iter().find(|model| model.name == name);
    let stable = head.session.as_deref().unwrap_or_default();
    let draw = draw(&head.customer, stable);
    match model.and_then(|model| model.version_for(draw)) {
        Some(version) => Ok(Need::Version(version.digest)),
        None => {
            let message = format!("the customer has no model `{name}`");
            Err(Failure::not_run(Code::UnknownModel, message))
        }
    }
}

async fn issue_at(entry: &Rc<Entry>, job: &Job, replica: ReplicaKey) -> Option<String> {
    let address = entry.table.borrow().get(replica)?.address;
    let mut request = exchange::Request::new(Method::POST, "/v1/keys");
    request
        .headers
        .push((header::CUSTOMER, job.customer.to_string()));
    prove(entry, &mut request);
    let exchange = async {
        let mut response = entry.node.exchange.send(address, &request).await.ok()?;
        if response.status != StatusCode::OK {
            return None;
        }
        let bytes = response.read(TURNED_MAX).await.ok()?;
        String::from_utf8(bytes.to_vec()).ok()
    };
    actix_rt::time::timeout(SHORT_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}

/// Adds the proof over what the request carries so far.
fn prove(entry: &Entry, request: &mut exchange::Request) {
    let proof = {
        let parts: Vec<&str> = std::iter::once(request.path.as_str())
            .chain(PROVEN.map(|name| request.header(name)))
            .collect();
        entry.setting.keyring.prove(unix_millis(), &parts)
    };
    request.headers.push((header::PROOF, proof));
}

fn choose(entry: &Entry, job: &Job, tried: &[ReplicaKey]) -> Option<ReplicaKey> {
    let mut table = entry.table.borrow_mut();
    if let Some(key) = &job.key {
        return table
            .by_name(&key.name)
            .filter(|replica| !tried.contains(replica));
    }
    let ask = Ask {
        need: &job.need,
        halls: &job.halls,
        prefix: job.prefix,
        tried,
    };
    let now = entry.node.clock.now();
    let mut rng = entry.rng.borrow_mut();
    let choice = table.choose(ask, entry.setting.policy, now, &mut *rng)?;
    log::debug!(request = job.id.as_str(), reason:? = choice.reason; "target chosen");
    Some(choice.replica)
}

fn no_replica(entry: &Entry) -> Failure {
    let known = entry.table.borrow().names().count();
    let message = format!("no replica may take this request now ({known} targets known)");
    Failure::not_run(Code::NoReplica, message).retry_after(NO_REPLICA_RETRY)
}

/// An attempt at a target, counted in the table until it ends.
struct Attempt {
    entry: Rc<Entry>,
    replica: ReplicaKey,
    began: Time,
    end: End,
}

impl Attempt {
    fn begin(entry: &Rc<Entry>, replica: ReplicaKey) -> Self {
        entry.table.borrow_mut().begin(replica);
        Self {
            entry: entry.clone(),
            replica,
            began: entry.node.clock.now(),
            end: End::Neutral,
        }
    }

    fn whole(&mut self) {
        let took = self.entry.node.clock.now().since(self.began);
        self.end = End::Whole(took);
    }

    fn failed(&mut self) {
        self.end = End::Failed;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.entry.node.clock.now();
        self.entry
            .table
            .borrow_mut()
            .end(self.replica, self.end, now);
    }
}

/// How an attempt that got no answer broke.
struct Broken {
    found: Break,
    reason: Option<Turned>,
}

impl Broken {
    fn of(found: Break) -> Self {
        Self {
            found,
            reason: None,
        }
    }
}

/// The job as an agent takes it.
fn inner_request(entry: &Entry, job: &Job, resume_at: Option<u32>) -> exchange::Request {
    let mut request = exchange::Request::new(Method::POST, "/v1/run");
    let remaining = job.remaining(entry).as_millis().to_string();
    let headers = &mut request.headers;
    headers.push((header::REQUEST, job.id.clone()));
    headers.push((header::CUSTOMER, job.customer.to_string()));
    headers.push((header::DEADLINE, remaining));
    headers.push((header::PRIORITY, priority_name(job.priority).to_owned()));
    headers.push((header::REPEATABLE, yes_no(job.repeatable).to_owned()));
    match &job.need {
        Need::Version(digest) => headers.push((header::VERSION, digest.to_string())),
        Need::Service(name) => {
            headers.push((header::SERVICE, name.to_string()));
            headers.push((header::PATH, job.path.clone()));
        }
    }
    headers.extend(job.key.iter().map(|key| (header::KEY, key.to_string())));
    headers.extend(resume_at.map(|token| (header::FROM, token.to_string())));
    request.body = job.body.clone();
    if !job.repeatable {
        request.reuse = Reuse::Never;
    }
    prove(entry, &mut request);
    request
}

/// Sends the job to a target and returns the head of an admitted answer.
async fn send(
    entry: &Entry,
    job: &Job,
    replica: ReplicaKey,
    resume_at: Option<u32>,
) -> Result<Response, Broken> {
    let address = match entry.table.borrow().get(replica) {
        Some(known) => known.address,
        None => return Err(Broken::of(Break::NotReached)),
    };
    let request = inner_request(entry, job, resume_at);
    let remaining = job.remaining(entry);
    let limit = if resume_at.is_some() {
        remaining.min(RESUME_TIMEOUT)
    } else {
        remaining
    };
    let sent = entry.node.exchange.send(address, &request);
    match actix_rt::time::timeout(limit, sent).await {
        Ok(Ok(response)) => admitted(response).await,
        Ok(Err(exchange::Error::NotSent { .. })) => Err(Broken::of(Break::NotReached)),
        Ok(Err(_)) | Err(_) => Err(Broken::of(Break::NoAnswer)),
    }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
    }
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// Tells an admitted answer from a refusal by the agent's own header, never by the status, which
/// may be the target's.
async fn admitted(mut response: Response) -> Result<Response, Broken> {
    let found = match response.header(header::ADMITTED) {
        "yes" => return Ok(response),
        "no" => Break::NotAdmitted,
        _ => Break::Lost,
    };
    let bytes = response.read(TURNED_MAX).await;
    let reason = bytes
        .ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok());
    Err(Broken { found, reason })
}

/// Whether a refusal tells that the target is in a bad way.
fn blames_target(broken: &Broken) -> bool {
    match broken.found {
        Break::NotReached | Break::NoAnswer | Break::Lost | Break::MidAnswer => true,
        Break::NotAdmitted => matches!(
            broken.reason,
            Some(Turned {
                reason: Reason::TargetDown,
                ..
            })
        ),
    }
}

/// A request on its way: what its attempts have come to.
struct Course {
    entry: Rc<Entry>,
    job: Job,
    flight: Flight,
    tried: Vec<ReplicaKey>,
    tainted: bool,
    attempts: u32,
}

impl Course {
    fn situation(&self, begun: bool) -> Situation {
        Situation {
            repeatable: self.job.repeatable,
            keyed: self.job.key.is_some(),
            resumable: matches!(self.job.need, Need::Version(_)) && self.job.key.is_none(),
            tainted: self.tainted,
            begun,
            attempts: self.attempts,
            remaining_ms: self.job.remaining(&self.entry).as_millis() as u64,
        }
    }

    fn decide(&mut self, found: Break, begun: bool) -> Next {
        let situation = self.situation(begun);
        let next = request::after_break(found, situation, &mut self.entry.budget.borrow_mut());
        if matches!(found, Break::NoAnswer | Break::Lost | Break::MidAnswer) {
            self.tainted = true;
        }
        if !matches!(next, Next::GiveUp(_)) {
            count(&self.entry.counters.retries);
        }
        next
    }

    /// Tries targets until one admits the request.
    async fn dispatch(&mut self) -> Result<(Response, Attempt), Failure> {
        self.entry.budget.borrow_mut().earn();
        let mut last: Option<Broken> = None;
        loop {
            let Some(replica) = choose(&self.entry, &self.job, &self.tried) else {
                return Err(self.no_target(last));
            };
            self.attempts += 1;
            let mut attempt = Attempt::begin(&self.entry, replica);
            let broken = match send(&self.entry, &self.job, replica, None).await {
                Ok(response) => return Ok((response, attempt)),
                Err(broken) => broken,
            };
            if blames_target(&broken) {
                attempt.failed();
            }
            drop(attempt);
            self.tried.push(replica);
            match self.decide(broken.found, false) {
                Next::Elsewhere => last = Some(broken),
                Next::Resume | Next::GiveUp(_) => return Err(self.failure(&broken)),
            }
        }
    }

    /// There is nowhere (else) to go.
    fn no_target(&self, last: Option<Broken>) -> Failure {
        if let Some(broken) = last {
            return self.failure(&broken);
        }
        if self.job.key.is_some() {
            let message = "the key's box is not known here; whether the request ran is not known";
            return Failure::not_run(Code::KeyLost, message).with_outcome(Outcome::Unknown);
        }
        no_replica(&self.entry)
    }

    /// What the caller is told after `broken`.
    fn failure(&self, broken: &Broken) -> Failure {
        let outcome = request::outcome_after(broken.found, self.situation(false));
        let after = broken
            .reason
            .as_ref()
            .filter(|turned| turned.retry_after_ms > 0)
            .map_or(OVERLOAD_RETRY, |turned| {
                Duration::from_millis(turned.retry_after_ms)
            });
        let reason = broken.reason.as_ref().map(|turned| &turned.reason);
        let (code, message) = explain(reason, broken.found);
        let failure = Failure::not_run(code, message).with_outcome(outcome);
        let again = outcome == Outcome::NotRun || self.job.key.is_some();
        if again {
            failure.retry_after(after)
        } else {
            failure
        }
    }
}

fn explain(reason: Option<&Reason>, found: Break) -> (Code, &'static str) {
    match reason {
        Some(Reason::Full) => (Code::Overloaded, "every target that was asked is full"),
        Some(Reason::Deadline) => (Code::Deadline, "the deadline cannot be met"),
        Some(Reason::InProgress) => (Code::KeyInProgress, "a request with this key is running"),
        Some(Reason::NoSuchKey | Reason::Lost) => (
            Code::KeyLost,
            "the target no longer knows the outcome of this request",
        ),
        Some(Reason::AnswerNotKept) => (
            Code::AnswerNotKept,
            "the request ran, and its answer was too long to keep",
        ),
        Some(Reason::Leaving | Reason::NotServable | Reason::NoSuchStream) => {
            (Code::NoReplica, "no replica may take this request now")
        }
        Some(Reason::Malformed) => (Code::BadBody, "the target does not take this body"),
        Some(Reason::Forbidden) => (
            Code::TargetFailed,
            "the target does not trust this entry; compare their keyrings",
        ),
        Some(Reason::TargetDown) => (Code::TargetFailed, "the target does not answer"),
        None => match found {
            Break::NotReached => (Code::TargetFailed, "the target could not be reached"),
            _ => (Code::TargetFailed, "the way to the target broke"),
        },
    }
}

/// Names the request in its answer, whatever that is.
async fn run(entry: Rc<Entry>, job: Job, flight: Flight) -> Answer {
    let id = HeaderValue::from_str(&job.id);
    let mut answer = serve(entry, job, flight).await;
    if let Ok(id) = id {
        let name = HeaderName::from_static(REQUEST_HEADER);
        answer.headers_mut().insert(name, id);
    }
    answer
}

async fn serve(entry: Rc<Entry>, job: Job, flight: Flight) -> Answer {
    let mut course = Course {
        entry,
        job,
        flight,
        tried: Vec::new(),
        tainted: false,
        attempts: 0,
    };
    let (response, attempt) = match course.dispatch().await {
        Ok(begun) => begun,
        Err(failure) => {
            course.flight.ended(failure.outcome);
            return failure.answer();
        }
    };
    let events = matches!(course.job.need, Need::Version(_)) && response.status == StatusCode::OK;
    if events && course.job.key.is_none() {
        let streamed = course.job.streamed;
        let relay = Relay::new(course, response, attempt);
        return if streamed {
            relay.streamed()
        } else {
            relay.gathered().await
        };
    }
    pass(course, response, attempt).await
}

/// Passes on an answer that has no tokens to count: it is gathered first, so that the caller gets
/// it whole or not at all.
async fn pass(mut course: Course, mut response: Response, mut attempt: Attempt) -> Answer {
    let status = response.status;
    let content_type = response.headers.get("content-type").cloned();
    let remaining = course.job.remaining(&course.entry);
    let read = response.read(GATHERED_MAX);
    match actix_rt::time::timeout(remaining, read).await {
        Ok(Ok(bytes)) => {
            attempt.whole();
            course.flight.ended(Outcome::Ran);
            let mut answer = http::body(status, "application/octet-stream", bytes);
            if let Some(value) = content_type {
                let name = actix_http::header::CONTENT_TYPE;
                answer.headers_mut().insert(name, value);
            }
            answer
        }
        _ => {
            attempt.failed();
            course.flight.ended(Outcome::Unknown);
            broken().answer()
        }
    }
}

/// An answer of tokens on its way to the caller.
struct Relay {
    course: Course,
    response: Response,
    attempt: Option<Attempt>,
    reader: Reader,
    served_by: Arc<str>,
    finished: bool,
    stopped: bool,
}

/// How a relayed answer stopped short.
struct Stopped;

impl Relay {
    fn new(course: Course, response: Response, attempt: Attempt) -> Self {
        let served_by = course
            .entry
            .table
            .borrow()
            .get(attempt.replica)
            .map_or_else(|| "".into(), |replica| replica.name.clone());
        Self {
            course,
            response,
            attempt: Some(attempt),
            reader: Reader::default(),
            served_by,
            finished: false,
            stopped: false,
        }
    }

    /// The next events that are due; `None` after the last.
    async fn step(&mut self) -> Option<Result<Bytes, Stopped>> {
        loop {
            if self.reader.done() {
                self.finish();
                return None;
            }
            let remaining = self.course.job.remaining(&self.course.entry);
            let part = actix_rt::time::timeout(remaining, self.response.next()).await;
            let pushed = match part {
                Ok(Some(Ok(part))) => self.reader.push(&part).ok(),
                _ => None,
            };
            match pushed {
                Some(events) if events.is_empty() => {}
                Some(events) => return Some(Ok(events)),
                None if self.take_up().await => {}
                None => {
                    self.course.flight.ended(Outcome::Unknown);
                    return Some(Err(Stopped));
                }
            }
        }
    }

    fn finish(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.whole();
        }
        self.course.flight.ended(Outcome::Ran);
        self.finished = true;
    }

    /// Takes a broken answer up after its last whole token: at the same target, or, if the request
    /// is repeatable, by another run of the same version elsewhere.
    async fn take_up(&mut self) -> bool {
        self.reader.restart();
        let begun = self.reader.next() > 0;
        let mut replica = match &mut self.attempt {
            Some(attempt) => {
                attempt.failed();
                Some(attempt.replica)
            }
            None => None,
        };
        loop {
            if self.course.decide(Break::MidAnswer, begun) != Next::Resume {
                return false;
            }
            self.course.attempts += 1;
            let elsewhere = replica.is_none();
            let Some(target) = replica.take().or_else(|| self.other_target()) else {
                return false;
            };
            let attempt = Attempt::begin(&self.course.entry, target);
            let job = &self.course.job;
            // At the same target the stream goes on; elsewhere the engine begins anew and the
            // reader drops what came before.
            let resume_at = (!elsewhere).then(|| self.reader.next());
            if let Ok(response) = send(&self.course.entry, job, target, resume_at).await {
                self.response = response;
                self.attempt = Some(attempt);
                return true;
            }
            self.course.tried.push(target);
        }
    }

    fn other_target(&self) -> Option<ReplicaKey> {
        if !self.course.job.repeatable {
            return None;
        }
        choose(&self.course.entry, &self.course.job, &self.course.tried)
    }

    fn head(&self, mut answer: Answer) -> Answer {
        if let Ok(value) = HeaderValue::from_str(&self.served_by) {
            let name = HeaderName::from_static("x-pumicelatch-box");
            answer.headers_mut().insert(name, value);
        }
        if let Need::Version(digest) = &self.course.job.need
            && let Ok(value) = HeaderValue::from_str(&digest.to_string())
        {
            answer
                .headers_mut()
                .insert(HeaderName::from_static("x-pumicelatch-version"), value);
        }
        answer
    }

    fn streamed(self) -> Answer {
        let mut answer = self.head(http::status(StatusCode::OK));
        let body = http::stream(StatusCode::OK, "text/event-stream", self.into_stream());
        let headers = std::mem::replace(answer.headers_mut(), body.headers().clone());
        let mut answer = body;
        for (name, value) in headers {
            answer.headers_mut().insert(name, value);
        }
        answer
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            if relay.stopped {
                return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
            }
            match relay.step().await? {
                Ok(events) => Some((Ok(events), Some(relay))),
                // The caller must see that this is not the whole: an event says so, and then the
                // connection breaks instead of ending.
                Err(Stopped) => {
                    relay.stopped = true;
                    Some((Ok(broken_event()), Some(relay)))
                }
            }
        })
    }

    async fn gathered(mut self) -> Answer {
        let mut all = BytesMut::new();
        while let Some(step) = self.step().await {
            match step {
                Ok(events) if all.len() + events.len() <= GATHERED_MAX => {
                    all.extend_from_slice(&events);
                }
                _ => {
                    return broken().answer();
                }
            }
        }
        let tokens: Vec<serde_json::Value> = events_json(&all);
        let body = serde_json::json!({ "tokens": tokens });
        self.head(http::json(StatusCode::OK, &body))
    }
}

fn broken() -> Failure {
    Failure::not_run(Code::AnswerBroken, "the answer broke off").with_outcome(Outcome::Unknown)
}

/// The event that tells a caller that its answer is not whole.
fn broken_event() -> Bytes {
    let body = Body { error: broken() };
    let text = serde_json::to_string(&body).unwrap_or_default();
    format!("event: error\ndata: {text}\n\n").into()
}

/// The data of all events but the last.
fn events_json(events: &[u8]) -> Vec<serde_json::Value> {
    String::from_utf8_lossy(events)
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data:")?.trim()).ok())
        .collect()
}

impl Drop for Relay {
    /// The caller went away: the engine need not go on.
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let Some(attempt) = &self.attempt else {
            return;
        };
        let entry = self.course.entry.clone();
        let Some(address) = entry
            .table
            .borrow()
            .get(attempt.replica)
            .map(|replica| replica.address)
        else {
            return;
        };
        let path = format!("/v1/cancel/{}", self.course.job.id);
        actix_rt::spawn(async move {
            let mut request = exchange::Request::new(Method::POST, path);
            prove(&entry, &mut request);
            let sent = entry.node.exchange.send(address, &request);
            let _ = actix_rt::time::timeout(SHORT_TIMEOUT, sent).await;
        });
    }
}
