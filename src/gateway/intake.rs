//! Validates a caller's request: its head, route and access; and reads its body.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, RequestHead, Version};
use bytes::Bytes;
use rand::RngExt;

use super::Gateway;
use super::dialect::{Code, Inference, Metadata, Refusal};
use super::job::Job;
use super::trace::Trace;
use crate::clock::Time;
use crate::config::routing::{Access, Kind, Limits, Route, Routing};
use crate::http::{self, Error};
use crate::limit::memory::{self, Reservation};
use crate::limit::retry::Fingerprint;
use crate::request::poison::Subject;
use crate::timeout;

/// Delay that callers are asked for while the configuration is missing or partly unreadable.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time that a caller is assumed to wait if it does not state it and no route is known.
const TIMEOUT_UNKNOWN: Duration = Duration::from_secs(1);

/// Length of the body prefix that is part of the fingerprint, in bytes, to bound the cost of
/// hashing.
const FINGERPRINT_BODY_MAX: usize = 4 << 10;

/// Records the id of a request that is refused without further validation.
pub fn record_id(gateway: &Gateway, request: &Request, trace: &mut Trace) {
    if let Ok(meta) = gateway.dialect.parse(request.head()) {
        trace.id = meta.id;
    }
}

/// A validated request.
pub struct Prepared {
    /// The request.
    pub job: Job,
    /// The memory for its response.
    pub response: Reservation,
}

/// Validates a request against the current configuration, and reads its body.
pub async fn prepare(
    gateway: &Gateway,
    request: &mut Request,
    trace: &mut Trace,
) -> Result<Prepared, Refusal> {
    let meta = gateway.dialect.parse(request.head());
    if let Ok(meta) = &meta {
        trace.id.clone_from(&meta.id);
    }
    let remaining = meta.as_ref().ok().and_then(|meta| meta.timeout);
    let Some(routing) = gateway.routing(remaining.unwrap_or(TIMEOUT_UNKNOWN)).await else {
        let refusal = Refusal::new(Code::NotReady, "no configuration is known yet");
        return Err(refusal.retry_after(NOT_READY_RETRY_DELAY));
    };
    let meta = meta.map_err(|error| Refusal::new(Code::Malformed, error.to_string()))?;
    let limits = routing.document.limits;
    let size = check_head(request.head(), &meta, limits)?;
    let route = routing
        .route(&meta.host, &meta.path)
        .cloned()
        .ok_or_else(|| no_route(&routing))?;
    trace.route = route.name.clone();
    trace.config = routing.document.version;
    let customer = match routing.access(&route, meta.api_key.as_deref()) {
        Access::Customer(customer) => Some(customer),
        Access::Anonymous => None,
        Access::Denied => {
            let text = "a valid key is needed";
            return Err(Refusal::new(Code::NoAccess, text));
        }
        Access::Unknown => return Err(unreadable_config("customers")),
    };
    let own_priority = customer.and_then(|customer| customer.priority);
    let residency = customer.map_or_else(
        || route.residency.clone(),
        |customer| route.residency.intersection(&customer.residency),
    );
    let customer = customer.map(|customer| customer.name.clone());
    let draw = gateway.knowledge.rng.borrow_mut().random();
    let service = route
        .service(draw)
        .cloned()
        .ok_or_else(|| unreadable_config("the services of this route"))?;
    let urgencies = &routing.urgencies;
    let priority = urgencies.of(&service, own_priority, &route);
    let route_timeout = Duration::from_millis(route.timeout_ms);
    let timeout = meta
        .timeout
        .map_or(route_timeout, |deadline| deadline.min(route_timeout));
    let arrived = trace.arrived;
    let response = reserve_response(gateway, &route)?;
    let mut body_held = reserve_body(gateway, &meta, size)?;
    let now = || gateway.knowledge.now();
    let body = read_body(request, limits, timeout, &mut body_held, now).await?;
    let fingerprint = fingerprint(&meta, body.as_deref());
    let subjects = subjects(request.head(), &meta, customer.as_deref(), body.as_deref());
    trace.subjects = subjects.clone();
    let job = Job {
        accepts_chunks: request.head().version > Version::HTTP_10,
        head: take_head(request),
        meta,
        body,
        body_held,
        route,
        service,
        routing,
        customer,
        priority,
        residency,
        arrived,
        deadline: arrived + timeout,
        fingerprint,
        subjects,
    };
    Ok(Prepared { job, response })
}

/// The refusal of a request that doesn't fit into the memory for requests.
fn out_of_memory() -> Refusal {
    let refusal = Refusal::new(Code::Overload, "the memory for requests is used up");
    refusal.retry_after(memory::RETRY_DELAY)
}

/// Reserves memory for a response of the route's usual size.
fn reserve_response(gateway: &Gateway, route: &Route) -> Result<Reservation, Refusal> {
    let sort = match route.kind {
        Kind::Streaming => memory::Sort::Stream,
        _ => memory::Sort::Answer,
    };
    let usual = gateway.usual_sizes.borrow().get(&route.name).copied();
    let need = usual.unwrap_or_default().need();
    gateway.held.reserve(sort, need).ok_or_else(out_of_memory)
}

/// Reserves memory for the request itself, with such a head, and for its body, as far as the length is
/// known.
fn reserve_body(
    gateway: &Gateway,
    meta: &Metadata,
    head: memory::Head,
) -> Result<Reservation, Refusal> {
    let request = memory::request_bytes(head);
    let need = request + meta.body_length.unwrap_or_default();
    let reserved = gateway.held.reserve(memory::Sort::Body, need);
    let mut reserved = reserved.ok_or_else(out_of_memory)?;
    reserved.set(request);
    Ok(reserved)
}

/// The fingerprint of a request, which is the same for each retry: it leaves out the try's id, the
/// deadline, and how much of a response the caller already has.
fn fingerprint(meta: &Metadata, body: Option<&[u8]>) -> Fingerprint {
    let body = body.unwrap_or_default();
    let length = (body.len() as u64).to_le_bytes();
    let work = meta.inference.as_ref();
    let number = |of: fn(&Inference) -> u32| work.map_or(0, of).to_le_bytes();
    let (prompt, output) = (number(|work| work.prompt), number(|work| work.output_max));
    let hint = number(|work| work.output_hint.unwrap_or(0));
    Fingerprint::of([
        meta.host.as_bytes(),
        meta.path.as_bytes(),
        meta.api_key.as_deref().unwrap_or_default().as_bytes(),
        work.and_then(|work| work.prefix.as_deref())
            .unwrap_or_default()
            .as_bytes(),
        &prompt,
        &output,
        &hint,
        &length,
        &body[..body.len().min(FINGERPRINT_BODY_MAX)],
    ])
}

/// What crashes of replicas are counted under: the request, which is the same for each retry and for
/// all API keys of a customer, and the parts of its prompt that others may have as well.
fn subjects(
    head: &RequestHead,
    meta: &Metadata,
    customer: Option<&str>,
    body: Option<&[u8]>,
) -> Rc<[Subject]> {
    let path = head
        .uri
        .path_and_query()
        .map_or(&*meta.path, |path| path.as_str());
    let caller = customer.or(meta.api_key.as_deref()).unwrap_or_default();
    let request = Subject::request(&meta.host, path, caller, body.unwrap_or_default());
    let work = meta.inference.iter();
    let parts = work.flat_map(|work| {
        let parts = work.shared_parts.iter();
        parts.map(|id| Subject::prompt_part(&work.model, id))
    });
    std::iter::once(request).chain(parts).collect()
}

/// Refuses a request that may depend on an unreadable part of the configuration. The caller must
/// not be told that access is denied, as that is not known.
fn unreadable_config(part: &str) -> Refusal {
    let text = format!("{part} of the configuration could not be read");
    Refusal::new(Code::NotReady, text).retry_after(NOT_READY_RETRY_DELAY)
}

fn no_route(routing: &Routing) -> Refusal {
    if routing.document.gaps.routes {
        return unreadable_config("routes");
    }
    Refusal::new(Code::NoRoute, "no route takes this host and path")
}

fn take_head(request: &mut Request) -> RequestHead {
    let head = request.head_mut();
    let mut taken = RequestHead::default();
    taken.method = head.method.clone();
    taken.uri = head.uri.clone();
    taken.headers = std::mem::take(&mut head.headers);
    taken
}

/// Refuses a request over the limits. Returns the size of its head.
fn check_head(
    head: &RequestHead,
    meta: &Metadata,
    limits: Limits,
) -> Result<memory::Head, Refusal> {
    let line = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let fields = head.headers.iter();
    let length: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let length = line + length;
    if length > limits.head_bytes {
        let text = format!("the head is longer than {} bytes", limits.head_bytes);
        return Err(Refusal::new(Code::HeadTooLong, text));
    }
    if meta
        .body_length
        .is_some_and(|length| length > limits.body_bytes as u64)
    {
        let text = format!("the body is longer than {} bytes", limits.body_bytes);
        return Err(Refusal::new(Code::BodyTooLong, text));
    }
    Ok(memory::Head {
        fields: head.headers.len(),
        length,
    })
}

async fn read_body(
    request: &mut Request,
    limits: Limits,
    timeout: Duration,
    held: &mut Reservation,
    now: impl Fn() -> Time,
) -> Result<Option<Bytes>, Refusal> {
    let none = matches!(request.payload(), actix_http::Payload::None);
    if none {
        return Ok(None);
    }
    let body = http::read_request_held(request, limits.body_bytes, held);
    match timeout::within(now, timeout, body).await {
        None => Err(Refusal::new(
            Code::BodyTooSlow,
            "the body did not come in time",
        )),
        Some(Err(Error::TooLong { limit })) => {
            let text = format!("the body is longer than {limit} bytes");
            Err(Refusal::new(Code::BodyTooLong, text))
        }
        Some(Err(Error::OutOfMemory)) => Err(out_of_memory()),
        Some(Err(error)) => Err(Refusal::new(Code::Malformed, error.to_string())),
        Some(Ok(body)) => Ok(Some(body)),
    }
}
