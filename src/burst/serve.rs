//! Answers peers that take part in a burst.

use std::rc::Rc;

use actix_http::StatusCode;

use super::Burst;
use super::host::Host;
use super::manager::Manager;
use crate::http::{self, Answer};
use crate::stop::{Kind, Tracker};

/// Answers a peer that asks for `path`, if it is of a burst that the process takes part in.
pub async fn answer_path(bursts: &Manager, tracker: &Rc<Tracker>, path: &str) -> Answer {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let ["v1", "swarm", label, rest @ ..] = parts.as_slice() else {
        return http::status(StatusCode::NOT_FOUND);
    };
    let burst = label.parse().ok().and_then(|label| bursts.get(label));
    match burst {
        Some(burst) => answer(&bursts.host, tracker, burst, rest).await,
        None => http::status(StatusCode::NOT_FOUND),
    }
}

/// Answers a peer; `rest` is the path after the version's name.
pub async fn answer(
    host: &Rc<Host>,
    tracker: &Rc<Tracker>,
    burst: Rc<Burst>,
    rest: &[&str],
) -> Answer {
    match rest {
        ["manifest"] => match host.store.borrow().manifest(burst.version()) {
            Some(manifest) => http::pack(StatusCode::OK, manifest),
            None => http::status(StatusCode::NOT_FOUND),
        },
        ["have"] => http::stream(
            StatusCode::OK,
            "application/octet-stream",
            burst.have_stream(),
        ),
        ["chunks", index] => match index.parse() {
            Ok(index) => {
                let permit = tracker.admit(Kind::Peer);
                if permit.is_refused() {
                    return http::status(StatusCode::SERVICE_UNAVAILABLE);
                }
                permit.attach(burst.upload(host.clone(), index).await)
            }
            Err(_) => http::status(StatusCode::BAD_REQUEST),
        },
        _ => http::status(StatusCode::NOT_FOUND),
    }
}
