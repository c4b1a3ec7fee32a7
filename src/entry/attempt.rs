//! A single attempt of a request: choosing the target, sending the request to its agent, and
//! classifying a failure.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;

use super::Entry;
use super::call::Job;
use super::caller::{Code, Failure};
use crate::agent::proxy::{self, Reason, SIGNED_HEADERS};
use crate::clock::{Time, unix_millis};
use crate::exchange::{self, Response, Reuse};
use crate::request::Interruption;
use crate::route::{Completion, Query, ReplicaKey, Resource};
use crate::template::fleet::Priority;
use crate::wire::header;

/// Retry delay that callers are given when no replica is available.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(500);

/// Maximum length in bytes of an agent's error body or issued key.
pub(super) const ERROR_BODY_MAX: usize = 4 << 10;

/// Signs the path and the headers that the request carries so far, and adds the signature.
pub(super) fn sign(entry: &Entry, request: &mut exchange::Request) {
    let signature = {
        let parts: Vec<&str> = std::iter::once(request.path.as_str())
            .chain(SIGNED_HEADERS.map(|name| request.header(name)))
            .collect();
        entry.setting.keyring.sign(unix_millis(), &parts)
    };
    request.headers.push((header::PROOF, signature));
}

/// Chooses a target that has not been tried yet. A request with a key may only go to the box that
/// issued the key.
pub(super) fn choose(entry: &Entry, job: &Job, tried: &[ReplicaKey]) -> Option<ReplicaKey> {
    let mut table = entry.table.borrow_mut();
    if let Some(key) = &job.key {
        return table
            .by_name(&key.name)
            .filter(|replica| !tried.contains(replica));
    }
    let query = Query {
        resource: &job.resource,
        halls: &job.halls,
        prefix: job.prefix,
        tried,
    };
    let now = entry.node.clock.now();
    let mut rng = entry.rng.borrow_mut();
    let choice = table.choose(query, entry.setting.strategy, now, &mut *rng)?;
    log::debug!(request = job.id.as_str(), reason:? = choice.reason; "target chosen");
    Some(choice.replica)
}

pub(super) fn no_replica(entry: &Entry) -> Failure {
    let known = entry.table.borrow().names().count();
    let message = format!("no replica may take this request now ({known} targets known)");
    Failure::not_run(Code::NoReplica, message).retry_after(NO_REPLICA_RETRY)
}

/// An attempt at a target. The table counts it as in flight until it is dropped, and is then given
/// its [`Completion`].
pub(super) struct Attempt {
    entry: Rc<Entry>,
    pub(super) replica: ReplicaKey,
    began: Time,
    completion: Completion,
}

impl Attempt {
    pub(super) fn begin(entry: &Rc<Entry>, replica: ReplicaKey) -> Self {
        entry.table.borrow_mut().begin(replica);
        Self {
            entry: entry.clone(),
            replica,
            began: entry.node.clock.now(),
            completion: Completion::Neutral,
        }
    }

    pub(super) fn succeed(&mut self) {
        let took = self.entry.node.clock.now().since(self.began);
        self.completion = Completion::Success(took);
    }

    pub(super) fn fail(&mut self) {
        self.completion = Completion::Failed;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.entry.node.clock.now();
        self.entry
            .table
            .borrow_mut()
            .end(self.replica, self.completion, now);
    }
}

/// Why an attempt got no admitted response.
pub(super) struct Error {
    pub(super) interruption: Interruption,
    pub(super) rejection: Option<proxy::Error>,
}

impl Error {
    pub(super) fn new(interruption: Interruption) -> Self {
        Self {
            interruption,
            rejection: None,
        }
    }
}

/// Builds the signed request to the agent. A request that is not repeatable is never sent over a
/// reused connection.
fn inner_request(entry: &Entry, job: &Job, resume_at: Option<u32>) -> exchange::Request {
    let mut request = exchange::Request::new(Method::POST, "/v1/run");
    let remaining = job.remaining(entry).as_millis().to_string();
    let headers = &mut request.headers;
    headers.push((header::REQUEST, job.id.clone()));
    headers.push((header::CUSTOMER, job.customer.to_string()));
    headers.push((header::DEADLINE, remaining));
    headers.push((header::PRIORITY, priority_name(job.priority).to_owned()));
    headers.push((header::REPEATABLE, yes_or_no(job.repeatable).to_owned()));
    match &job.resource {
        Resource::Version(digest) => headers.push((header::VERSION, digest.to_string())),
        Resource::Service(name) => {
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
    sign(entry, &mut request);
    request
}

/// Sends the job to a target, and returns the response if the agent admitted the request.
pub(super) async fn send(
    entry: &Entry,
    job: &Job,
    replica: ReplicaKey,
    resume_at: Option<u32>,
) -> Result<Response, Error> {
    let address = match entry.table.borrow().get(replica) {
        Some(known) => known.address,
        None => return Err(Error::new(Interruption::NotReached)),
    };
    let request = inner_request(entry, job, resume_at);
    let sent = entry.node.exchange.send(address, &request);
    match actix_rt::time::timeout(job.remaining(entry), sent).await {
        Ok(Ok(response)) => check_admission(response).await,
        Ok(Err(exchange::Error::NotSent { .. })) => Err(Error::new(Interruption::NotReached)),
        Ok(Err(_)) | Err(_) => Err(Error::new(Interruption::NoAnswer)),
    }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
    }
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// Distinguishes an admitted response from a rejection by the agent's own header, never by the
/// status, which may be the target's.
async fn check_admission(mut response: Response) -> Result<Response, Error> {
    let interruption = match response.header(header::ADMITTED) {
        "yes" => return Ok(response),
        "no" => Interruption::NotAdmitted,
        _ => Interruption::Lost,
    };
    let bytes = response.read(ERROR_BODY_MAX).await;
    let rejection = bytes
        .ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok());
    Err(Error {
        interruption,
        rejection,
    })
}

/// Whether the failure counts against the target's health.
pub(super) fn is_target_fault(error: &Error) -> bool {
    match error.interruption {
        Interruption::NotReached
        | Interruption::NoAnswer
        | Interruption::Lost
        | Interruption::MidAnswer => true,
        Interruption::NotAdmitted => matches!(
            error.rejection,
            Some(proxy::Error {
                reason: Reason::TargetDown,
                ..
            })
        ),
    }
}
