//! Proxy to the target: admits requests from entries, forwards them, and states in each response
//! whether the request was executed, as far as that is known.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{HttpMessage, Method, Request, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::Agent;
use crate::clock::{Time, unix_millis};
use crate::exchange::{self, Response, Reuse};
use crate::http::{self, Answer};
use crate::limit::Refusal;
use crate::member::Role;
use crate::request::{self, Admission, Key};
use crate::template::fleet::Priority;
use crate::weight::Digest;
use crate::wire::header;

/// Maximum size of a request's body, in bytes.
pub const BODY_MAX: usize = 4 << 20;

/// Maximum size of an answer that is buffered before it is forwarded, in bytes.
const BUFFERED_ANSWER_MAX: usize = 16 << 20;

/// Maximum size of a plain service's answer that is forwarded in one piece, in bytes.
const SHORT_ANSWER_MAX: usize = 64 << 10;

/// How long a broken stream may be resumed before its request is cancelled at the engine. An entry that
/// cannot resume it cancels it by itself, so this matters only if the entry crashed. A box or entry
/// may pause for 2.2 s with the request to resume in its sockets, and the kernel takes up to 2.5 s to
/// give up a connection; 2 s cancelled runs that were then resumed in vain.
const RESUME_GRACE: Duration = Duration::from_secs(5);

/// Timeout of a cancellation at the target.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason for a response that is not the target's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The sender has no valid signature.
    Forbidden,
    /// A header is missing or invalid, or the body can't be read.
    Malformed,
    /// The target is leaving and accepts no new requests.
    Leaving,
    /// The target does not serve the version or service.
    NotServable,
    /// The target's queue is full, or no more keys can be issued.
    Full,
    /// The deadline cannot be met.
    Deadline,
    /// The target could not be reached.
    TargetDown,
    /// The request with this key is running.
    InProgress,
    /// The key is unknown here, so it is not known whether its request was executed.
    NoSuchKey,
    /// The request was sent to the target, and its outcome is not known.
    Lost,
    /// The request was executed, but its answer was too large to be stored.
    AnswerNotKept,
    /// The engine does not know the stream that was to be resumed.
    NoSuchStream,
}

/// Body of a response that is not the target's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The reason.
    pub reason: Reason,
    /// Milliseconds after which to retry; 0 if not known.
    pub retry_after_ms: u64,
}

/// What a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Resource {
    Version(Digest),
    Service,
}

/// A request from an entry.
#[derive(Debug, Clone)]
struct Job {
    id: String,
    resource: Resource,
    path: String,
    repeatable: bool,
    customer: String,
    priority: Priority,
    deadline: Duration,
    key: Option<Key>,
    /// The token from which a broken answer is resumed; `None` for a new request.
    resume_at: Option<u32>,
}

/// The headers that a signature covers, in this order.
pub const SIGNED_HEADERS: [&str; 9] = [
    header::REQUEST,
    header::VERSION,
    header::SERVICE,
    header::PATH,
    header::CUSTOMER,
    header::DEADLINE,
    header::KEY,
    header::FROM,
    header::REPEATABLE,
];

fn header_text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Whether a request has a valid signature.
fn is_authentic(agent: &Agent, request: &Request) -> bool {
    let parts: Vec<&str> = std::iter::once(request.path())
        .chain(SIGNED_HEADERS.map(|name| header_text(request, name).unwrap_or_default()))
        .collect();
    let result = agent
        .keyring
        .verify(header_text(request, header::PROOF), unix_millis(), &parts);
    if let Err(refusal) = result {
        log::warn!("request without a valid signature refused: {refusal}");
        return false;
    }
    true
}

impl Job {
    fn read(agent: &Agent, request: &Request) -> Option<Self> {
        let resource = match (
            header_text(request, header::VERSION),
            header_text(request, header::SERVICE),
        ) {
            (Some(digest), None) => Resource::Version(digest.parse().ok()?),
            (None, Some(name)) if agent.node.setting.role == Role::Service(name.to_owned()) => {
                Resource::Service
            }
            _ => return None,
        };
        let key = match header_text(request, header::KEY) {
            Some(key) => Some(key.parse().ok()?),
            None => None,
        };
        let resume_at = match header_text(request, header::FROM) {
            Some(token) => Some(token.parse().ok()?),
            None => None,
        };
        let millis: u64 = header_text(request, header::DEADLINE)?.parse().ok()?;
        let priority = match header_text(request, header::PRIORITY) {
            Some("low") => Priority::Low,
            Some("high") => Priority::High,
            _ => Priority::Normal,
        };
        Some(Self {
            id: header_text(request, header::REQUEST)?.to_owned(),
            resource,
            path: header_text(request, header::PATH).unwrap_or("/").to_owned(),
            repeatable: header_text(request, header::REPEATABLE) == Some("yes"),
            customer: header_text(request, header::CUSTOMER)?.to_owned(),
            priority,
            deadline: Duration::from_millis(millis),
            key,
            resume_at,
        })
    }

    fn version(&self) -> Option<Digest> {
        match self.resource {
            Resource::Version(digest) => Some(digest),
            Resource::Service => None,
        }
    }
}

fn error_response(
    code: StatusCode,
    admitted: &'static str,
    reason: Reason,
    retry_after: Duration,
) -> Answer {
    let body = Error {
        reason,
        retry_after_ms: retry_after.as_millis() as u64,
    };
    let mut answer = http::json(code, &body);
    set_header(&mut answer, header::ADMITTED, admitted);
    answer
}

pub(super) fn not_admitted(reason: Reason) -> Answer {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no",
        reason,
        Duration::ZERO,
    )
}

fn unknown(reason: Reason) -> Answer {
    error_response(StatusCode::BAD_GATEWAY, "unknown", reason, Duration::ZERO)
}

fn set_header(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Issues a key for a request that must run at most once.
pub fn issue_key(agent: &Agent, request: &Request) -> Answer {
    if !is_authentic(agent, request) {
        return error_response(
            StatusCode::FORBIDDEN,
            "no",
            Reason::Forbidden,
            Duration::ZERO,
        );
    }
    if agent.leaving.get() {
        return not_admitted(Reason::Leaving);
    }
    let Some(customer) = header_text(request, header::CUSTOMER) else {
        return not_admitted(Reason::Malformed);
    };
    let secret = rand::rng().random();
    let key = agent
        .ledger
        .borrow_mut()
        .issue(agent.name(), customer, secret);
    match key {
        Some(key) => http::body(StatusCode::OK, "text/plain", key.to_string()),
        None => not_admitted(Reason::Full),
    }
}

/// Cancels a request at the engine because its caller has disconnected.
pub async fn cancel(agent: &Rc<Agent>, request: &Request, id: &str) -> Answer {
    if !is_authentic(agent, request) {
        return error_response(
            StatusCode::FORBIDDEN,
            "no",
            Reason::Forbidden,
            Duration::ZERO,
        );
    }
    cancel_at_engine(agent, id).await;
    http::status(StatusCode::NO_CONTENT)
}

async fn cancel_at_engine(agent: &Agent, id: &str) {
    let url = format!("http://{}/v1/streams/{id}", agent.setting.target_address);
    let request = agent.node.client.0.delete(url).send();
    let _ = actix_rt::time::timeout(CANCEL_TIMEOUT, request).await;
}

/// Runs a request at the target.
pub async fn run(agent: Rc<Agent>, mut request: Request) -> Answer {
    if !is_authentic(&agent, &request) {
        return error_response(
            StatusCode::FORBIDDEN,
            "no",
            Reason::Forbidden,
            Duration::ZERO,
        );
    }
    let arrived = agent.node.clock.now();
    let Some(job) = Job::read(&agent, &request) else {
        return not_admitted(Reason::Malformed);
    };
    let Ok(body) = http::read_request(&mut request, BODY_MAX).await else {
        return not_admitted(Reason::Malformed);
    };
    let answer = match &job.key {
        Some(key) => run_keyed(agent.clone(), job.clone(), key.clone(), body, arrived).await,
        None => run_unkeyed(&agent, &job, body, arrived).await,
    };
    agent.instruments.request(admitted_label(&answer));
    answer
}

/// The label of an answer's request in metrics: whether it was admitted.
fn admitted_label(answer: &Answer) -> &'static str {
    match answer.headers().get(header::ADMITTED) {
        Some(value) if value == "yes" => "yes",
        Some(value) if value == "no" => "no",
        _ => "unknown",
    }
}

/// Checks whether the target may execute the job now. Otherwise returns the response to send.
fn admit(agent: &Agent, job: &Job, arrived: Time) -> Result<(), Answer> {
    if agent.leaving.get() && job.resume_at.is_none() {
        return Err(not_admitted(Reason::Leaving));
    }
    if let Resource::Version(digest) = job.resource
        && !agent.gate.borrow().servable.contains(&digest)
    {
        return Err(not_admitted(Reason::NotServable));
    }
    let elapsed = agent.node.clock.now().since(arrived);
    let remaining = job.deadline.saturating_sub(elapsed);
    let decision = agent.in_flight.borrow().check(job.priority, remaining);
    decision.map_err(|refusal| {
        let (reason, retry_after) = match refusal {
            Refusal::Full { retry_after } => (Reason::Full, retry_after),
            Refusal::Deadline { retry_after } => (Reason::Deadline, retry_after),
            Refusal::Customer { .. } => (Reason::Full, Duration::ZERO),
        };
        error_response(StatusCode::SERVICE_UNAVAILABLE, "no", reason, retry_after)
    })
}

/// Counts a request as in flight at the target until dropped.
struct Guard {
    agent: Rc<Agent>,
    version: Option<Digest>,
    started_at: Time,
    completed: bool,
}

impl Guard {
    fn new(agent: &Rc<Agent>, version: Option<Digest>) -> Self {
        agent.in_flight.borrow_mut().begin(version);
        Self {
            agent: agent.clone(),
            version,
            started_at: agent.node.clock.now(),
            completed: false,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let duration = self.agent.node.clock.now().since(self.started_at);
        let duration = self.completed.then_some(duration);
        self.agent
            .in_flight
            .borrow_mut()
            .end(self.version, duration);
    }
}

/// Failure to send a job to the target.
enum Failure {
    /// The target did not execute it.
    NotRun(Reason),
    /// The target may have executed it.
    Unknown,
}

async fn send_to_target(agent: &Agent, job: &Job, body: Bytes) -> Result<Response, Failure> {
    let mut request = match job.resource {
        Resource::Version(_) if job.resume_at.is_some() => {
            exchange::Request::new(Method::GET, format!("/v1/streams/{}", job.id))
        }
        Resource::Version(_) => exchange::Request::new(Method::POST, "/v1/generate"),
        Resource::Service => exchange::Request::new(Method::POST, job.path.as_str()),
    };
    request.headers.push((header::REQUEST, job.id.clone()));
    if let Some(token) = job.resume_at {
        request.headers.push((header::FROM, token.to_string()));
    }
    if let Resource::Version(digest) = job.resource {
        request.headers.push((header::VERSION, digest.to_string()));
    }
    request.body = body;
    if !job.repeatable {
        request.reuse = Reuse::Never;
    }
    let sent = agent
        .node
        .exchange
        .send(agent.setting.target_address, &request)
        .await;
    sent.map_err(|error| match error {
        exchange::Error::NotSent { .. } => Failure::NotRun(Reason::TargetDown),
        _ => Failure::Unknown,
    })
}

/// The reason for which a model engine rejected a request, according to its status; `None` if it accepted
/// the request.
fn rejection_reason(job: &Job, status: StatusCode) -> Option<Reason> {
    match (&job.resource, status) {
        (Resource::Service, _) | (_, StatusCode::OK) => None,
        (_, StatusCode::CONFLICT) => Some(Reason::NotServable),
        (_, StatusCode::NOT_FOUND) => Some(Reason::NoSuchStream),
        (_, status) if status.is_client_error() => Some(Reason::Malformed),
        _ => None,
    }
}

async fn run_unkeyed(agent: &Rc<Agent>, job: &Job, body: Bytes, arrived: Time) -> Answer {
    if let Err(answer) = admit(agent, job, arrived) {
        return answer;
    }
    let guard = Guard::new(agent, job.version());
    if job.resume_at.is_some() {
        let mut resumed = agent.resume_counts.borrow_mut();
        *resumed.entry(job.id.clone()).or_default() += 1;
    }
    let response = match send_to_target(agent, job, body).await {
        Ok(response) => response,
        Err(Failure::NotRun(reason)) => return not_admitted(reason),
        Err(Failure::Unknown) => return unknown(Reason::Lost),
    };
    if let Some(reason) = rejection_reason(job, response.status) {
        return not_admitted(reason);
    }
    if job.resource == Resource::Service && is_short(&response) {
        return forward_short(response, guard).await;
    }
    forward(job, response, guard)
}

/// Whether an answer is short enough to be forwarded in one piece, according to its Content-Length.
fn is_short(response: &Response) -> bool {
    let length = response.header("content-length").parse::<usize>();
    length.is_ok_and(|length| length <= SHORT_ANSWER_MAX)
}

/// Forwards a short answer in one piece, which saves wakeups on both sides.
async fn forward_short(response: Response, mut guard: Guard) -> Answer {
    match buffer_answer(response).await {
        Some(answer) => {
            guard.completed = true;
            buffered_response(answer)
        }
        None => unknown(Reason::Lost),
    }
}

/// Forwards the target's answer as it arrives.
fn forward(job: &Job, response: Response, guard: Guard) -> Answer {
    let status = response.status;
    let copied: Vec<(HeaderName, HeaderValue)> = ["content-type", header::VERSION]
        .into_iter()
        .filter_map(|name| {
            let value = response.headers.get(name)?.clone();
            Some((HeaderName::from_static(name), value))
        })
        .collect();
    let relay = Relay {
        response,
        id: job.id.clone(),
        cancellable: matches!(job.resource, Resource::Version(_)),
        guard,
    };
    let mut answer = http::stream(status, "application/octet-stream", relay);
    for (name, value) in copied {
        answer.headers_mut().insert(name, value);
    }
    set_header(&mut answer, header::ADMITTED, "yes");
    answer
}

/// Body of an answer that is streamed from the target to the entry.
struct Relay {
    response: Response,
    id: String,
    cancellable: bool,
    guard: Guard,
}

impl Stream for Relay {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let part = std::task::ready!(self.response.poll_next_unpin(cx));
        if part.is_none() {
            self.guard.completed = true;
            // A complete answer is never resumed, so its count is no longer needed.
            let agent = self.guard.agent.clone();
            agent.resume_counts.borrow_mut().remove(&self.id);
        }
        Poll::Ready(part.map(|part| part.map_err(io::Error::other)))
    }
}

impl Drop for Relay {
    /// Cancels the request of a broken stream at the engine unless the stream is resumed within
    /// [`RESUME_GRACE`].
    fn drop(&mut self) {
        if self.guard.completed || !self.cancellable {
            return;
        }
        let agent = self.guard.agent.clone();
        let id = std::mem::take(&mut self.id);
        let count_before = agent.resume_counts.borrow().get(&id).copied();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(RESUME_GRACE).await;
            let count_after = agent.resume_counts.borrow().get(&id).copied();
            if count_before == count_after {
                agent.resume_counts.borrow_mut().remove(&id);
                cancel_at_engine(&agent, &id).await;
            }
        });
    }
}

/// Runs a request with a key: at most once, to its end even if the entry disconnects, and with an answer
/// that is stored for repeats.
async fn run_keyed(agent: Rc<Agent>, job: Job, key: Key, body: Bytes, arrived: Time) -> Answer {
    let admission = agent.ledger.borrow_mut().admit(&key, &job.customer);
    match admission {
        Admission::Run => {}
        Admission::Done(Some(answer)) => return buffered_response(answer),
        Admission::Done(None) => {
            return error_response(
                StatusCode::GONE,
                "yes",
                Reason::AnswerNotKept,
                Duration::ZERO,
            );
        }
        Admission::InProgress => return unknown(Reason::InProgress),
        Admission::Lost => return unknown(Reason::Lost),
        Admission::NoSuchKey => return unknown(Reason::NoSuchKey),
    }
    if let Err(answer) = admit(&agent, &job, arrived) {
        agent.ledger.borrow_mut().not_run(&key);
        return answer;
    }
    // Runs in a separate task, because this handler is dropped when the entry's connection is closed.
    let task = actix_rt::spawn(async move { run_to_end(&agent, &job, &key, body).await });
    task.await.unwrap_or_else(|_| unknown(Reason::Lost))
}

async fn run_to_end(agent: &Rc<Agent>, job: &Job, key: &Key, body: Bytes) -> Answer {
    let mut guard = Guard::new(agent, job.version());
    let response = match send_to_target(agent, job, body).await {
        Ok(response) => response,
        Err(Failure::NotRun(reason)) => {
            agent.ledger.borrow_mut().not_run(key);
            return not_admitted(reason);
        }
        Err(Failure::Unknown) => {
            agent.ledger.borrow_mut().lost(key);
            return unknown(Reason::Lost);
        }
    };
    if let Some(reason) = rejection_reason(job, response.status) {
        agent.ledger.borrow_mut().not_run(key);
        return not_admitted(reason);
    }
    match buffer_answer(response).await {
        Some(answer) => {
            guard.completed = true;
            agent.ledger.borrow_mut().done(key, answer.clone());
            buffered_response(answer)
        }
        None => {
            agent.ledger.borrow_mut().lost(key);
            unknown(Reason::Lost)
        }
    }
}

async fn buffer_answer(mut response: Response) -> Option<request::Answer> {
    let body = response.read(BUFFERED_ANSWER_MAX).await.ok()?;
    Some(request::Answer {
        status: response.status.as_u16(),
        content_type: match response.header("content-type") {
            "" => "application/octet-stream".to_owned(),
            known => known.to_owned(),
        },
        body,
    })
}

fn buffered_response(answer: request::Answer) -> Answer {
    let code = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut out = http::body(code, "application/octet-stream", answer.body);
    set_header(&mut out, "content-type", &answer.content_type);
    set_header(&mut out, header::ADMITTED, "yes");
    out
}
