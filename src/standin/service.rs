//! A plain service: answers each call with a digest of its body, after a while, and counts runs.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use actix_http::{HttpMessage, Request, StatusCode};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::engine::{REQUEST_HEADER, Runs};
use crate::http::{self, Answer, Server, plain};
use crate::weight::Digest;

/// Longest request body.
const BODY_MAX: usize = 1 << 20;

/// Time from the first half of an answer to its cut.
const CUT_AFTER: Duration = Duration::from_millis(50);

/// What the service answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The request's name.
    pub request: String,
    /// Digest of its body.
    pub body: Digest,
}

/// A plain service.
#[derive(Debug)]
pub struct Service {
    delay: Duration,
    runs: Arc<Runs>,
    in_flight: AtomicU32,
    cut_next: AtomicBool,
}

impl Service {
    /// A service that takes `delay` for each call.
    pub fn new(delay: Duration, runs: Arc<Runs>) -> Arc<Self> {
        Arc::new(Self {
            delay,
            runs,
            in_flight: AtomicU32::new(0),
            cut_next: AtomicBool::new(false),
        })
    }

    /// Calls in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Cuts the next answer off after its first bytes.
    pub fn cut_next_answer(&self) {
        self.cut_next.store(true, Ordering::Relaxed);
    }

    /// Serves on the present thread.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> Server {
        let service = self.clone();
        Server::start(listener, plain(), move |request, _| {
            service.clone().answer(request)
        })
    }

    async fn answer(self: Arc<Self>, mut request: Request) -> Answer {
        let id = request
            .headers()
            .get(REQUEST_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let Ok(body) = http::read_request(&mut request, BODY_MAX).await else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        self.runs.add(&id);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let receipt = Receipt {
            request: id,
            body: Digest::of(&body),
        };
        if self.cut_next.swap(false, Ordering::Relaxed) {
            return cut(&receipt);
        }
        http::json(StatusCode::OK, &receipt)
    }
}

/// An answer whose connection closes in its middle.
fn cut(receipt: &Receipt) -> Answer {
    let text = serde_json::to_string(receipt).unwrap_or_default();
    let half = Bytes::from(text[..text.len() / 2].to_owned());
    let later = async {
        // The first half has to be on its way before the connection closes.
        tokio::time::sleep(CUT_AFTER).await;
        Err(io::ErrorKind::ConnectionReset.into())
    };
    let parts = stream::iter([Ok(half)]).chain(stream::once(later));
    http::stream(StatusCode::OK, "application/json", parts)
}
