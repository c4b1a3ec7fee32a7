//! The door to the target: admits requests from entries, hands them over, and is truthful about
//! whether they ran.

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

/// Longest body of a request.
pub const BODY_MAX: usize = 4 << 20;

/// Longest answer of a keyed request, which is gathered before it is sent on.
const GATHERED_MAX: usize = 16 << 20;

/// Longest answer of a plain service that is passed on in one piece.
const SHORT_ANSWER: usize = 64 << 10;

/// How long a broken stream may be taken up again before the engine is told to stop.
const RESUME_GRACE: Duration = Duration::from_secs(2);

/// How long the target may take to answer a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request was not admitted, or what became of one that was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The caller of this door has no valid proof.
    Forbidden,
    /// A header is missing or wrong.
    Malformed,
    /// The target takes no more work.
    Leaving,
    /// The target does not serve the version or service.
    NotServable,
    /// Its queue is full.
    Full,
    /// The deadline cannot be met.
    Deadline,
    /// The target could not be reached.
    TargetDown,
    /// The key's request is running.
    InProgress,
    /// The key is unknown here: whether its request ran is not known.
    NoSuchKey,
    /// The target was handed the request, and how that ended is not known.
    Lost,
    /// The request ran, and its answer was too long to keep.
    AnswerNotKept,
    /// The engine does not know the stream that was to be resumed.
    NoSuchStream,
}

/// An answer that is not the target's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Why.
    pub reason: Reason,
    /// When to come back, in milliseconds; 0 when that is not known.
    pub retry_after_ms: u64,
}

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Wanted {
    Version(Digest),
    Service,
}

/// A request at the door.
#[derive(Debug, Clone)]
struct Job {
    id: String,
    wanted: Wanted,
    path: String,
    repeatable: bool,
    customer: String,
    priority: Priority,
    deadline: Duration,
    key: Option<Key>,
    /// The token at which a broken answer is to be taken up; `None` for a new request.
    resume_at: Option<u32>,
}

/// The headers that a proof covers, in order.
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

fn text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn proven(agent: &Agent, request: &Request) -> bool {
    let parts: Vec<&str> = std::iter::once(request.path())
        .chain(SIGNED_HEADERS.map(|name| text(request, name).unwrap_or_default()))
        .collect();
    let verdict = agent
        .keyring
        .verify(text(request, header::PROOF), unix_millis(), &parts);
    if let Err(refusal) = verdict {
        log::warn!("request at the door refused: {refusal}");
        return false;
    }
    true
}

impl Job {
    fn read(agent: &Agent, request: &Request) -> Option<Self> {
        let wanted = match (
            text(request, header::VERSION),
            text(request, header::SERVICE),
        ) {
            (Some(digest), None) => Wanted::Version(digest.parse().ok()?),
            (None, Some(name)) if agent.node.setting.role == Role::Service(name.to_owned()) => {
                Wanted::Service
            }
            _ => return None,
        };
        let key = match text(request, header::KEY) {
            Some(key) => Some(key.parse().ok()?),
            None => None,
        };
        let resume_at = match text(request, header::FROM) {
            Some(token) => Some(token.parse().ok()?),
            None => None,
        };
        let millis: u64 = text(request, header::DEADLINE)?.parse().ok()?;
        let priority = match text(request, header::PRIORITY) {
            Some("low") => Priority::Low,
            Some("high") => Priority::High,
            _ => Priority::Normal,
        };
        Some(Self {
            id: text(request, header::REQUEST)?.to_owned(),
            wanted,
            path: text(request, header::PATH).unwrap_or("/").to_owned(),
            repeatable: text(request, header::REPEATABLE) == Some("yes"),
            customer: text(request, header::CUSTOMER)?.to_owned(),
            priority,
            deadline: Duration::from_millis(millis),
            key,
            resume_at,
        })
    }

    fn version(&self) -> Option<Digest> {
        match self.wanted {
            Wanted::Version(digest) => Some(digest),
            Wanted::Service => None,
        }
    }
}

fn turned(code: StatusCode, admitted: &'static str, reason: Reason, after: Duration) -> Answer {
    let body = Error {
        reason,
        retry_after_ms: after.as_millis() as u64,
    };
    let mut answer = http::json(code, &body);
    set(&mut answer, header::ADMITTED, admitted);
    answer
}

pub(super) fn not_admitted(reason: Reason) -> Answer {
    turned(
        StatusCode::SERVICE_UNAVAILABLE,
        "no",
        reason,
        Duration::ZERO,
    )
}

fn unknown(reason: Reason) -> Answer {
    turned(StatusCode::BAD_GATEWAY, "unknown", reason, Duration::ZERO)
}

fn set(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Issues a key for a request that must run at most once.
pub fn issue_key(agent: &Agent, request: &Request) -> Answer {
    if !proven(agent, request) {
        return turned(
            StatusCode::FORBIDDEN,
            "no",
            Reason::Forbidden,
            Duration::ZERO,
        );
    }
    if agent.leaving.get() {
        return not_admitted(Reason::Leaving);
    }
    let Some(customer) = text(request, header::CUSTOMER) else {
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

/// Tells the engine to stop working on a request whose caller went away.
pub async fn cancel(agent: &Rc<Agent>, request: &Request, id: &str) -> Answer {
    if !proven(agent, request) {
        return turned(
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

/// Takes a request to the target.
pub async fn run(agent: Rc<Agent>, mut request: Request) -> Answer {
    if !proven(&agent, &request) {
        return turned(
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
        None => run_once(&agent, &job, body, arrived).await,
    };
    agent.instruments.request(admitted_name(&answer));
    answer
}

/// What the answer says of whether its request was admitted.
fn admitted_name(answer: &Answer) -> &'static str {
    match answer.headers().get(header::ADMITTED) {
        Some(value) if value == "yes" => "yes",
        Some(value) if value == "no" => "no",
        _ => "unknown",
    }
}

/// Whether the target may take the job now.
fn admit(agent: &Agent, job: &Job, arrived: Time) -> Result<(), Answer> {
    if agent.leaving.get() && job.resume_at.is_none() {
        return Err(not_admitted(Reason::Leaving));
    }
    if let Wanted::Version(digest) = job.wanted
        && !agent.gate.borrow().servable.contains(&digest)
    {
        return Err(not_admitted(Reason::NotServable));
    }
    let spent = agent.node.clock.now().since(arrived);
    let remaining = job.deadline.saturating_sub(spent);
    let verdict = agent.in_flight.borrow().check(job.priority, remaining);
    verdict.map_err(|refusal| {
        let (reason, after) = match refusal {
            Refusal::Full { retry_after } => (Reason::Full, retry_after),
            Refusal::Deadline { retry_after } => (Reason::Deadline, retry_after),
            Refusal::Customer { .. } => (Reason::Full, Duration::ZERO),
        };
        turned(StatusCode::SERVICE_UNAVAILABLE, "no", reason, after)
    })
}

/// Counts a request at the target for as long as it lives.
struct Flight {
    agent: Rc<Agent>,
    version: Option<Digest>,
    began: Time,
    whole: bool,
}

impl Flight {
    fn new(agent: &Rc<Agent>, version: Option<Digest>) -> Self {
        agent.in_flight.borrow_mut().begin(version);
        Self {
            agent: agent.clone(),
            version,
            began: agent.node.clock.now(),
            whole: false,
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let took = self.agent.node.clock.now().since(self.began);
        let took = self.whole.then_some(took);
        self.agent.in_flight.borrow_mut().end(self.version, took);
    }
}

/// How handing a job to the target failed.
enum Failure {
    /// The target surely did not take it.
    NotRun(Reason),
    /// It may have.
    Unknown,
}

async fn hand_over(agent: &Agent, job: &Job, body: Bytes) -> Result<Response, Failure> {
    let mut request = match job.wanted {
        Wanted::Version(_) if job.resume_at.is_some() => {
            exchange::Request::new(Method::GET, format!("/v1/streams/{}", job.id))
        }
        Wanted::Version(_) => exchange::Request::new(Method::POST, "/v1/generate"),
        Wanted::Service => exchange::Request::new(Method::POST, job.path.as_str()),
    };
    request.headers.push((header::REQUEST, job.id.clone()));
    if let Some(token) = job.resume_at {
        request.headers.push((header::FROM, token.to_string()));
    }
    if let Wanted::Version(digest) = job.wanted {
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

/// A model engine says by its status that it did not take a request.
fn refused(job: &Job, status: StatusCode) -> Option<Reason> {
    match (&job.wanted, status) {
        (Wanted::Service, _) | (_, StatusCode::OK) => None,
        (_, StatusCode::CONFLICT) => Some(Reason::NotServable),
        (_, StatusCode::NOT_FOUND) => Some(Reason::NoSuchStream),
        (_, status) if status.is_client_error() => Some(Reason::Malformed),
        _ => None,
    }
}

async fn run_once(agent: &Rc<Agent>, job: &Job, body: Bytes, arrived: Time) -> Answer {
    if let Err(answer) = admit(agent, job, arrived) {
        return answer;
    }
    let flight = Flight::new(agent, job.version());
    if job.resume_at.is_some() {
        let mut resumed = agent.resumed.borrow_mut();
        *resumed.entry(job.id.clone()).or_default() += 1;
    }
    let response = match hand_over(agent, job, body).await {
        Ok(response) => response,
        Err(Failure::NotRun(reason)) => return not_admitted(reason),
        Err(Failure::Unknown) => return unknown(Reason::Lost),
    };
    if let Some(reason) = refused(job, response.status) {
        return not_admitted(reason);
    }
    if job.wanted == Wanted::Service && is_short(&response) {
        return forward_short(response, flight).await;
    }
    forward(job, response, flight)
}

/// Whether an answer says that it is short enough to be passed on in one piece.
fn is_short(response: &Response) -> bool {
    let length = response.header("content-length").parse::<usize>();
    length.is_ok_and(|length| length <= SHORT_ANSWER)
}

/// Passes on a short answer in one piece, which spares both sides several wakeups.
async fn forward_short(response: Response, mut flight: Flight) -> Answer {
    match gather_answer(response).await {
        Some(answer) => {
            flight.whole = true;
            stored(answer)
        }
        None => unknown(Reason::Lost),
    }
}

/// Passes the target's answer on as it comes.
fn forward(job: &Job, response: Response, flight: Flight) -> Answer {
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
        cancels: matches!(job.wanted, Wanted::Version(_)),
        flight,
    };
    let mut answer = http::stream(status, "application/octet-stream", relay);
    for (name, value) in copied {
        answer.headers_mut().insert(name, value);
    }
    set(&mut answer, header::ADMITTED, "yes");
    answer
}

/// An answer on its way from the target to the entry.
struct Relay {
    response: Response,
    id: String,
    cancels: bool,
    flight: Flight,
}

impl Stream for Relay {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let part = std::task::ready!(self.response.poll_next_unpin(cx));
        if part.is_none() {
            self.flight.whole = true;
            // Nobody takes up an answer that is whole, so its count need not be kept.
            let agent = self.flight.agent.clone();
            agent.resumed.borrow_mut().remove(&self.id);
        }
        Poll::Ready(part.map(|part| part.map_err(io::Error::other)))
    }
}

impl Drop for Relay {
    /// A stream that was cut off on its way may be taken up again; if nobody comes, the engine is
    /// told to stop.
    fn drop(&mut self) {
        if self.flight.whole || !self.cancels {
            return;
        }
        let agent = self.flight.agent.clone();
        let id = std::mem::take(&mut self.id);
        let before = agent.resumed.borrow().get(&id).copied();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(RESUME_GRACE).await;
            let after = agent.resumed.borrow().get(&id).copied();
            if before == after {
                agent.resumed.borrow_mut().remove(&id);
                cancel_at_engine(&agent, &id).await;
            }
        });
    }
}

/// Runs a request that has a key: at most once, to its end even when the entry goes away, and with
/// an answer that a repeat gets again.
async fn run_keyed(agent: Rc<Agent>, job: Job, key: Key, body: Bytes, arrived: Time) -> Answer {
    let admission = agent.ledger.borrow_mut().admit(&key, &job.customer);
    match admission {
        Admission::Run => {}
        Admission::Done(Some(answer)) => return stored(answer),
        Admission::Done(None) => {
            return turned(
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
    // Runs in a task of its own: this handler is dropped when the entry's connection ends.
    let task = actix_rt::spawn(async move { gather(&agent, &job, &key, body).await });
    task.await.unwrap_or_else(|_| unknown(Reason::Lost))
}

async fn gather(agent: &Rc<Agent>, job: &Job, key: &Key, body: Bytes) -> Answer {
    let mut flight = Flight::new(agent, job.version());
    let response = match hand_over(agent, job, body).await {
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
    if let Some(reason) = refused(job, response.status) {
        agent.ledger.borrow_mut().not_run(key);
        return not_admitted(reason);
    }
    match gather_answer(response).await {
        Some(answer) => {
            flight.whole = true;
            agent.ledger.borrow_mut().done(key, answer.clone());
            stored(answer)
        }
        None => {
            agent.ledger.borrow_mut().lost(key);
            unknown(Reason::Lost)
        }
    }
}

async fn gather_answer(mut response: Response) -> Option<request::Answer> {
    let body = response.read(GATHERED_MAX).await.ok()?;
    Some(request::Answer {
        status: response.status.as_u16(),
        content_type: match response.header("content-type") {
            "" => "application/octet-stream".to_owned(),
            known => known.to_owned(),
        },
        body,
    })
}

fn stored(answer: request::Answer) -> Answer {
    let code = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut out = http::body(code, "application/octet-stream", answer.body);
    set(&mut out, "content-type", &answer.content_type);
    set(&mut out, header::ADMITTED, "yes");
    out
}
