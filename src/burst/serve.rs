//! Answers peers that take part in a burst.

use std::rc::Rc;

use actix_http::StatusCode;

use super::Burst;
use super::host::Host;
use crate::http::{self, Answer};

/// Answers a peer; `rest` is the path after the version's name.
pub async fn answer(host: &Rc<Host>, burst: Rc<Burst>, rest: &[&str]) -> Answer {
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
            Ok(index) => burst.upload(host.clone(), index).await,
            Err(_) => http::status(StatusCode::BAD_REQUEST),
        },
        _ => http::status(StatusCode::NOT_FOUND),
    }
}
