//! Issues the keys with which callers mark requests that must run at most once.

use std::rc::Rc;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::Entry;
use super::attempt::{ERROR_BODY_MAX, choose, no_replica, sign};
use super::call::{CONTROL_TIMEOUT, Job, draw, find_customer};
use super::caller::{self, Code, Failure, Head};
use crate::config::Active;
use crate::exchange;
use crate::http::{self, Answer};
use crate::route::{ReplicaKey, Resource};
use crate::wire::header;

/// Body of a request for a key.
#[derive(Debug, Deserialize)]
struct KeyRequest {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    service: Option<String>,
}

/// Response to a request for a key.
#[derive(Debug, Serialize, Deserialize)]
pub struct Issued {
    /// The key, to be sent in the `Idempotency-Key` header.
    pub key: String,
}

/// Handles `POST /v1/keys`: has the agent of a suitable target issue a key.
pub async fn handle(entry: Rc<Entry>, mut request: Request) -> Answer {
    match issue(&entry, &mut request).await {
        Ok(key) => http::json(StatusCode::OK, &Issued { key }),
        Err(failure) => failure.answer(),
    }
}

async fn issue(entry: &Rc<Entry>, request: &mut Request) -> Result<String, Failure> {
    let head = Head::read(request)?;
    let active = find_customer(entry, &head)?;
    let body = caller::read_body(&entry.tracker, request).await?;
    let requested: KeyRequest = serde_json::from_slice(&body)
        .map_err(|error| Failure::not_run(Code::BadBody, error.to_string()))?;
    let resource = resource_for(&active, &head, &requested)?;
    let mut job = Job::common(entry, &head, &active.fleet.limits, resource);
    if matches!(job.resource, Resource::Version(_)) {
        let stable = head.session.as_deref().unwrap_or_default();
        let draw = draw(&head.customer, stable);
        job.halls = active.fleet.serving_halls(draw).to_vec();
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

fn resource_for(active: &Active, head: &Head, requested: &KeyRequest) -> Result<Resource, Failure> {
    let fleet = &active.fleet;
    if let Some(name) = &requested.service {
        if fleet.services.iter().any(|service| service.name == *name) {
            return Ok(Resource::Service(name.as_str().into()));
        }
        let message = format!("the customer has no service `{name}`");
        return Err(Failure::not_run(Code::UnknownService, message));
    }
    let name = requested.model.as_deref().unwrap_or_default();
    let model = fleet.models.iter().find(|model| model.name == name);
    let stable = head.session.as_deref().unwrap_or_default();
    let draw = draw(&head.customer, stable);
    match model.and_then(|model| model.version_for(draw)) {
        Some(version) => Ok(Resource::Version(version.digest)),
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
    sign(entry, &mut request);
    let exchange = async {
        let mut response = entry.node.exchange.send(address, &request).await.ok()?;
        if response.status != StatusCode::OK {
            return None;
        }
        let bytes = response.read(ERROR_BODY_MAX).await.ok()?;
        String::from_utf8(bytes.to_vec()).ok()
    };
    actix_rt::time::timeout(CONTROL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
