//! Handles a caller's request from its head to the end of the response: validation, the customer's
//! limit, attempts, and forwarding of the response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Request, StatusCode};
use bytes::Bytes;
use rand::RngExt;
use serde::Deserialize;

use super::Entry;
use super::attempt::{self, Attempt, choose, is_target_fault, no_replica, send};
use super::caller::{self, Code, Failure, Head};
use super::relay::{Relay, interrupted};
use super::status::increment;
use crate::agent::proxy::Reason;
use crate::clock::Time;
use crate::config::Active;
use crate::exchange::Response;
use crate::http::{self, Answer};
use crate::limit::Refusal;
use crate::request::{self, Interruption, Key, Next, Outcome, Situation};
use crate::route::{ReplicaKey, Resource, hash_of};
use crate::template::fleet::{Limits, Priority, TOTAL_SHARE};

/// Response header with the request's id.
pub const REQUEST_HEADER: &str = "x-pumicelatch-request";

/// Length in bytes of the prompt prefix that is hashed for affinity.
const PREFIX_BYTES: usize = 256;

/// Retry delay that callers are given if neither the target nor the customer's limit gave one.
const OVERLOAD_RETRY: Duration = Duration::from_millis(250);

/// Time limit for an agent to issue a key or to cancel a request.
pub(super) const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length in bytes of a response that is buffered before it is sent to the caller.
pub(super) const BUFFERED_MAX: usize = 16 << 20;

/// The fields of a completion request's body that the entry reads.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    stream: bool,
}

/// A validated request.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) customer: Arc<str>,
    pub(super) resource: Resource,
    pub(super) halls: Vec<String>,
    pub(super) prefix: Option<u64>,
    pub(super) path: String,
    pub(super) body: Bytes,
    pub(super) priority: Priority,
    pub(super) deadline: Time,
    pub(super) repeatable: bool,
    pub(super) key: Option<Key>,
    pub(super) streamed: bool,
}

/// Counts a request as in progress until dropped, and then records its outcome and duration.
pub(super) struct Guard {
    entry: Rc<Entry>,
    customer: Arc<str>,
    began: Time,
    outcome: Option<Outcome>,
}

impl Guard {
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
        increment(&entry.counters.in_flight);
        Ok(Self {
            entry: entry.clone(),
            customer: customer.clone(),
            began: entry.node.clock.now(),
            outcome: None,
        })
    }

    pub(super) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome.get_or_insert(outcome);
    }
}

impl Drop for Guard {
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
        increment(counter);
        entry.instruments.record(name, seconds);
    }
}

pub(super) fn find_customer(entry: &Entry, head: &Head) -> Result<Active, Failure> {
    if let Some(active) = entry.node.book.borrow().customers().get(&head.customer) {
        return Ok(active.clone());
    }
    let message = format!("there is no customer `{}`", head.customer);
    Err(Failure::not_run(Code::UnknownCustomer, message))
}

/// Maps a session, or else a prompt, to a stable number in `0..100`, so that it keeps its version
/// and its halls while their shares grow.
pub(super) fn draw(customer: &str, stable: &str) -> u32 {
    let text = format!("{customer}\n{stable}");
    (hash_of(text.as_bytes()) % u64::from(TOTAL_SHARE)) as u32
}

impl Job {
    pub(super) fn common(entry: &Entry, head: &Head, limits: &Limits, resource: Resource) -> Self {
        let now = entry.node.clock.now();
        let millis = Duration::from_millis(limits.deadline_ms);
        let priority = head.priority.unwrap_or(limits.priority);
        Self {
            id: format!("{:032x}", rand::rng().random::<u128>()),
            customer: head.customer.as_str().into(),
            resource,
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

    pub(super) fn remaining(&self, entry: &Entry) -> Duration {
        self.deadline.since(entry.node.clock.now())
    }
}

/// Handles `POST /v1/completions`.
pub async fn completion(entry: Rc<Entry>, mut request: Request) -> Answer {
    match prepare_completion(&entry, &mut request).await {
        Ok((job, guard)) => run(entry, job, guard).await,
        Err(failure) => reject(&entry, &failure),
    }
}

/// Handles `POST /v1/services/NAME/PATH`.
pub async fn service(entry: Rc<Entry>, mut request: Request, name: &str, path: &str) -> Answer {
    match prepare_service(&entry, &mut request, name, path).await {
        Ok((job, guard)) => run(entry, job, guard).await,
        Err(failure) => reject(&entry, &failure),
    }
}

/// Answers a request that fails before its first attempt, and counts it as not run.
pub(super) fn reject(entry: &Entry, failure: &Failure) -> Answer {
    increment(&entry.counters.not_run);
    entry.instruments.record("not_run", 0.0);
    failure.answer()
}

async fn prepare_completion(
    entry: &Rc<Entry>,
    request: &mut Request,
) -> Result<(Job, Guard), Failure> {
    let head = Head::read(request)?;
    let active = find_customer(entry, &head)?;
    let body = caller::read_body(&entry.tracker, request).await?;
    let completion: Completion = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is no completion request: {error}");
        Failure::not_run(Code::BadBody, message)
    })?;
    let fleet = &active.fleet;
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
    let resource = Resource::Version(version.digest);
    let job = Job {
        halls: fleet.serving_halls(draw).to_vec(),
        prefix: Some(prefix_hash(&completion.prompt)),
        body,
        repeatable: head.repeatable.unwrap_or(model.repeatable) && model.repeatable,
        streamed: completion.stream,
        ..Job::common(entry, &head, &fleet.limits, resource)
    };
    let guard = Guard::begin(entry, &job.customer, &fleet.limits)?;
    Ok((job, guard))
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
) -> Result<(Job, Guard), Failure> {
    let head = Head::read(request)?;
    let active = find_customer(entry, &head)?;
    let fleet = &active.fleet;
    let service = fleet
        .services
        .iter()
        .find(|service| service.name == name)
        .ok_or_else(|| {
            let message = format!("the customer has no service `{name}`");
            Failure::not_run(Code::UnknownService, message)
        })?;
    let repeatable = head.repeatable.unwrap_or(service.repeatable) && service.repeatable;
    let body = caller::read_body(&entry.tracker, request).await?;
    let job = Job {
        path: format!("/{path}"),
        body,
        repeatable,
        ..Job::common(entry, &head, &fleet.limits, Resource::Service(name.into()))
    };
    let guard = Guard::begin(entry, &job.customer, &fleet.limits)?;
    Ok((job, guard))
}

/// A request being dispatched, with the state of its attempts.
pub(super) struct Dispatch {
    pub(super) entry: Rc<Entry>,
    pub(super) job: Job,
    pub(super) guard: Guard,
    pub(super) tried: Vec<ReplicaKey>,
    pub(super) tainted: bool,
    pub(super) attempts: u32,
}

impl Dispatch {
    fn situation(&self, begun: bool) -> Situation {
        Situation {
            repeatable: self.job.repeatable,
            keyed: self.job.key.is_some(),
            resumable: matches!(self.job.resource, Resource::Version(_)) && self.job.key.is_none(),
            tainted: self.tainted,
            begun,
            attempts: self.attempts,
            remaining_ms: self.job.remaining(&self.entry).as_millis() as u64,
        }
    }

    pub(super) fn decide(&mut self, interruption: Interruption, begun: bool) -> Next {
        let situation = self.situation(begun);
        let next = request::after_interruption(
            interruption,
            situation,
            &mut self.entry.retry_budget.borrow_mut(),
        );
        if matches!(
            interruption,
            Interruption::NoAnswer | Interruption::Lost | Interruption::MidAnswer
        ) {
            self.tainted = true;
        }
        if !matches!(next, Next::GiveUp(_)) {
            increment(&self.entry.counters.retries);
        }
        next
    }

    /// Tries targets in turn until one admits the request.
    async fn start(&mut self) -> Result<(Response, Attempt), Failure> {
        self.entry.retry_budget.borrow_mut().earn();
        let mut last: Option<attempt::Error> = None;
        loop {
            let Some(replica) = choose(&self.entry, &self.job, &self.tried) else {
                return Err(self.no_target(last));
            };
            self.attempts += 1;
            let mut attempt = Attempt::begin(&self.entry, replica);
            let error = match send(&self.entry, &self.job, replica, None).await {
                Ok(response) => return Ok((response, attempt)),
                Err(error) => error,
            };
            if is_target_fault(&error) {
                attempt.fail();
            }
            drop(attempt);
            self.tried.push(replica);
            match self.decide(error.interruption, false) {
                Next::Elsewhere => last = Some(error),
                Next::Resume | Next::GiveUp(_) => return Err(self.failure(&error)),
            }
        }
    }

    /// The failure reported when no (further) target is available: that of the last attempt, if any.
    fn no_target(&self, last: Option<attempt::Error>) -> Failure {
        if let Some(error) = last {
            return self.failure(&error);
        }
        if self.job.key.is_some() {
            let message = "the key's box is not known here; whether the request ran is not known";
            return Failure::not_run(Code::KeyLost, message).with_outcome(Outcome::Unknown);
        }
        no_replica(&self.entry)
    }

    /// The failure reported to the caller after a failed attempt.
    fn failure(&self, error: &attempt::Error) -> Failure {
        let outcome = request::outcome_after(error.interruption, self.situation(false));
        let after = error
            .rejection
            .as_ref()
            .filter(|rejection| rejection.retry_after_ms > 0)
            .map_or(OVERLOAD_RETRY, |rejection| {
                Duration::from_millis(rejection.retry_after_ms)
            });
        let reason = error.rejection.as_ref().map(|rejection| &rejection.reason);
        let (code, message) = code_and_message(reason, error.interruption);
        let failure = Failure::not_run(code, message).with_outcome(outcome);
        let may_retry = outcome == Outcome::NotRun || self.job.key.is_some();
        if may_retry {
            failure.retry_after(after)
        } else {
            failure
        }
    }
}

fn code_and_message(reason: Option<&Reason>, interruption: Interruption) -> (Code, &'static str) {
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
        None => match interruption {
            Interruption::NotReached => (Code::TargetFailed, "the target could not be reached"),
            _ => (Code::TargetFailed, "the way to the target broke"),
        },
    }
}

/// Serves the job, and adds the request's id to the response, whether it succeeded or not.
async fn run(entry: Rc<Entry>, job: Job, guard: Guard) -> Answer {
    let id = HeaderValue::from_str(&job.id);
    let mut answer = serve(entry, job, guard).await;
    if let Ok(id) = id {
        let name = HeaderName::from_static(REQUEST_HEADER);
        answer.headers_mut().insert(name, id);
    }
    answer
}

async fn serve(entry: Rc<Entry>, job: Job, guard: Guard) -> Answer {
    let mut dispatch = Dispatch {
        entry,
        job,
        guard,
        tried: Vec::new(),
        tainted: false,
        attempts: 0,
    };
    let (response, attempt) = match dispatch.start().await {
        Ok(begun) => begun,
        Err(failure) => {
            dispatch.guard.set_outcome(failure.outcome);
            return failure.answer();
        }
    };
    let events =
        matches!(dispatch.job.resource, Resource::Version(_)) && response.status == StatusCode::OK;
    if events && dispatch.job.key.is_none() {
        let streamed = dispatch.job.streamed;
        let relay = Relay::new(dispatch, response, attempt);
        return if streamed {
            relay.streamed()
        } else {
            relay.buffered().await
        };
    }
    forward_buffered(dispatch, response, attempt).await
}

/// Forwards a response that is not relayed event by event. It is buffered first, so that the caller
/// gets either the complete response or an error.
async fn forward_buffered(
    mut dispatch: Dispatch,
    mut response: Response,
    mut attempt: Attempt,
) -> Answer {
    let status = response.status;
    let content_type = response.headers.get("content-type").cloned();
    let remaining = dispatch.job.remaining(&dispatch.entry);
    let read = response.read(BUFFERED_MAX);
    match actix_rt::time::timeout(remaining, read).await {
        Ok(Ok(bytes)) => {
            attempt.succeed();
            dispatch.guard.set_outcome(Outcome::Ran);
            let mut answer = http::body(status, "application/octet-stream", bytes);
            if let Some(value) = content_type {
                let name = actix_http::header::CONTENT_TYPE;
                answer.headers_mut().insert(name, value);
            }
            answer
        }
        _ => {
            attempt.fail();
            dispatch.guard.set_outcome(Outcome::Unknown);
            interrupted().answer()
        }
    }
}
