//! A plain service: answers each call with a digest of its body, after a while, and counts runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use actix_http::{HttpMessage, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::engine::{REQUEST_HEADER, Runs};
use crate::http::{self, Answer, Server, plain};
use crate::weight::Digest;

/// Longest request body.
const BODY_MAX: usize = 1 << 20;

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
}

impl Service {
    /// A service that takes `delay` for each call.
    pub fn new(delay: Duration, runs: Arc<Runs>) -> Arc<Self> {
        Arc::new(Self {
            delay,
            runs,
            in_flight: AtomicU32::new(0),
        })
    }

    /// Calls in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
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
        tokio::time::sleep(self.delay).await;
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let receipt = Receipt {
            request: id,
            body: Digest::of(&body),
        };
        http::json(StatusCode::OK, &receipt)
    }
}
