//! Handles the requests of peers in a burst.

use std::rc::Rc;

use actix_http::StatusCode;

use super::Burst;
use super::host::Host;
use super::manager::Manager;
use crate::http::{self, Answer};
use crate::stop::{Kind, Tracker};

/// Handles a request for `path` under `/v1/swarm/`. Answers 404 if the process does not participate
/// in that burst.
pub async fn answer_path(bursts: &Manager, tracker: &Rc<Tracker>, path: &str) -> Answer {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let ["v1", "swarm", label, rest @ ..] = segments.as_slice() else {
        return http::status(StatusCode::NOT_FOUND);
    };
    let burst = label.parse().ok().and_then(|label| bursts.get(label));
    match burst {
        Some(burst) => answer(&bursts.host, tracker, burst, rest).await,
        None => http::status(StatusCode::NOT_FOUND),
    }
}

/// Handles a request for a burst. `rest` is the path after the version.
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
