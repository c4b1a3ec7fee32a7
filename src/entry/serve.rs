//! The entry's HTTP server, for callers, peers and operators.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::{Request, StatusCode};
use tokio::net::TcpListener;

use super::caller::{Code, Failure};
use super::{Entry, call, key, status};
use crate::http::{self, Answer, Server, Timing, Wrap};
use crate::stop::Kind;

/// Starts the server.
pub fn start(entry: &Rc<Entry>, listener: TcpListener, wrap: Wrap) -> Server {
    let entry = entry.clone();
    let cap = entry.node.cap.clone();
    let handler = move |request, peer| route(entry.clone(), request, peer);
    Server::capped(listener, &cap, wrap, handler, Timing::default)
}

async fn route(entry: Rc<Entry>, request: Request, _peer: SocketAddr) -> Answer {
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method().as_str(), parts.as_slice()) {
        ("POST", ["v1", "completions" | "services" | "keys", ..]) => {
            handle_caller(entry, request, &parts).await
        }
        ("GET", ["v1", "config"]) => entry.node.config_answer(request.uri().query()),
        ("GET", ["health", "live"]) => http::status(StatusCode::OK),
        ("GET", ["health", "ready"]) => ready(&entry),
        ("GET", ["status"]) => http::json(StatusCode::OK, &status::status(&entry)),
        ("GET", ["audit"]) => http::json(StatusCode::OK, entry.node.trail.borrow().records()),
        ("GET", ["metrics"]) => entry.node.metrics_answer(),
        _ => no_such_path(),
    }
}

fn no_such_path() -> Answer {
    Failure::not_run(Code::NoSuchPath, "there is no such path or method").answer()
}

/// Handles a caller's request, or rejects it if the entry is stopping.
async fn handle_caller(entry: Rc<Entry>, request: Request, parts: &[&str]) -> Answer {
    let permit = entry.tracker.admit(Kind::New);
    if permit.is_refused() {
        return permit.attach(call::reject(&entry, &Failure::stopping()));
    }
    let tracker = entry.tracker.clone();
    let work = async {
        match parts {
            ["v1", "completions"] => call::completion(entry, request).await,
            ["v1", "services", name, rest @ ..] => {
                call::service(entry, request, name, &rest.join("/")).await
            }
            ["v1", "keys"] => key::handle(entry, request).await,
            _ => no_such_path(),
        }
    };
    let answer = tracker.until_abort(work).await;
    permit.attach(answer.unwrap_or_else(|| Failure::ending().answer()))
}

fn ready(entry: &Entry) -> Answer {
    if entry.tracker.is_stopping() {
        return http::body(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping");
    }
    if !*entry.node.ready.borrow() {
        let reason = "no configuration yet: neither the service nor a peer has answered";
        return http::body(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason);
    }
    http::status(StatusCode::OK)
}
