//! The agent's HTTP server for peers, the engine in its box, entries and operators.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use actix_http::{HttpMessage, Request, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::net::TcpListener;

use super::{Agent, proxy, status};
use crate::burst::serve;
use crate::http::{self, Answer, Server, Timing, Wrap};
use crate::stop::Kind;
use crate::weight::Digest;
use crate::wire::{self, Report, header};

/// Maximum interval between two reports on a stream.
const REPORT_INTERVAL_MAX: std::time::Duration = std::time::Duration::from_secs(1);

/// Starts the server.
pub fn start(agent: &Rc<Agent>, listener: TcpListener, wrap: Wrap) -> Server {
    let agent = agent.clone();
    let cap = agent.node.cap.clone();
    let handler = move |request, peer| handle(agent.clone(), request, peer);
    Server::capped(listener, &cap, wrap, handler, Timing::default)
}

async fn handle(agent: Rc<Agent>, request: Request, peer: SocketAddr) -> Answer {
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method().as_str(), parts.as_slice()) {
        ("GET", ["v1", "swarm", digest, rest @ ..]) => swarm(agent, digest, rest).await,
        ("GET", ["v1", "weights", digest]) => weights(&agent, digest, peer.ip()),
        ("GET", ["v1", "config"]) => agent.node.config_answer(request.uri().query()),
        ("GET", ["v1", "report"]) => http::stream(
            StatusCode::OK,
            "application/octet-stream",
            report_stream(&agent),
        ),
        ("POST", ["v1", "run" | "keys"]) => admit(agent, request).await,
        ("POST", ["v1", "cancel", id]) => proxy::cancel(&agent, &request, id).await,
        ("GET", ["health", "live"]) => http::status(StatusCode::OK),
        ("GET", ["health", "ready"]) => ready(&agent),
        ("GET", ["status"]) => http::json(StatusCode::OK, &status::status(&agent)),
        ("GET", ["audit"]) => http::json(StatusCode::OK, agent.node.trail.borrow().records()),
        ("GET", ["metrics"]) => agent.node.metrics_answer(),
        _ => http::status(StatusCode::NOT_FOUND),
    }
}

/// Handles an entry's request, or refuses it if the agent is stopping.
async fn admit(agent: Rc<Agent>, request: Request) -> Answer {
    let resumes = request.headers().contains_key(header::FROM);
    let permit = agent.tracker.admit(match resumes {
        true => Kind::Continued,
        false => Kind::New,
    });
    if permit.is_refused() {
        return permit.attach(proxy::not_admitted(proxy::Reason::Leaving));
    }
    let answer = match request.path().trim_matches('/') {
        "v1/run" => proxy::run(agent, request).await,
        _ => proxy::issue_key(&agent, &request),
    };
    permit.attach(answer)
}

fn ready(agent: &Agent) -> Answer {
    if agent.leaving.get() {
        return http::body(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving");
    }
    if !*agent.node.ready.borrow() {
        let reason = "no configuration yet: neither the service nor a peer has answered";
        return http::body(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason);
    }
    http::status(StatusCode::OK)
}

async fn swarm(agent: Rc<Agent>, digest: &str, rest: &[&str]) -> Answer {
    let burst = digest.parse().ok().and_then(|digest| agent.burst(digest));
    match burst {
        Some(burst) => serve::answer(&agent.host, &agent.tracker, burst, rest).await,
        None => http::status(StatusCode::NOT_FOUND),
    }
}

/// Streams all bytes of a complete version. Only the engine in this box may fetch them.
fn weights(agent: &Rc<Agent>, digest: &str, peer: IpAddr) -> Answer {
    let own = agent.node.setting.listen.ip();
    if peer != own && (own.is_loopback() || !peer.is_loopback()) {
        return http::status(StatusCode::FORBIDDEN);
    }
    let Ok(digest) = digest.parse::<Digest>() else {
        return http::status(StatusCode::BAD_REQUEST);
    };
    if !agent.host.store.borrow().complete(digest) {
        return http::status(StatusCode::NOT_FOUND);
    }
    let agent = agent.clone();
    let chunks = stream::unfold(0, move |index| {
        let chunk = agent.host.store.borrow().get(digest, index);
        async move { chunk.map(|bytes| (Ok(bytes), index + 1)) }
    });
    http::stream(StatusCode::OK, "application/octet-stream", chunks)
}

fn report(agent: &Agent) -> Report {
    let gate = agent.gate.borrow();
    let in_flight = agent.in_flight.borrow();
    Report {
        boot: agent.boot,
        revision: agent.node.book.borrow().revision().0,
        leaving: agent.leaving.get(),
        servable: gate.servable.clone(),
        service: match &agent.node.setting.role {
            crate::member::Role::Service(name) => Some(name.clone()),
            _ => None,
        },
        in_flight: in_flight.total(),
        capacity: gate.engine.capacity,
    }
}

/// Streams a report on every change and at least every [`REPORT_INTERVAL_MAX`].
fn report_stream(agent: &Rc<Agent>) -> impl Stream<Item = Result<Bytes, std::io::Error>> + 'static {
    let changes = agent.report_changes.subscribe();
    let agent = Rc::downgrade(agent);
    stream::unfold((agent, changes, true), |state| async move {
        let (agent, mut changes, first) = state;
        if !first {
            let _ = actix_rt::time::timeout(REPORT_INTERVAL_MAX, changes.changed()).await;
        }
        changes.mark_unchanged();
        let frame = wire::encode(&report(&*agent.upgrade()?)).map_err(std::io::Error::other);
        Some((frame, (agent, changes, false)))
    })
}
