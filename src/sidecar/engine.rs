//! What a replica offers to the process beside it.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::member::replica::{self, LoadedModel};
use crate::route::notice::Notice;

/// What a replica reports of itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not tell.
    pub born: u64,
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Whether it carries an order out.
    pub busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Factor on its times; above 1 it is slow.
    pub pace: f64,
    /// Whether it said with its answer that it leaves.
    pub leaving: bool,
}

impl State {
    /// The version of `model` that it holds.
    pub fn loaded(&self, model: &str) -> Option<u64> {
        replica::version_of(&self.models, model)
    }
}

/// How a replica took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It carries the order out.
    Accepted,
    /// It holds what was ordered already.
    AlreadyLoaded,
    /// The order does not fit its state.
    Conflict,
}

/// Why a replica did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The exchange failed.
    #[error("replica is out of reach: {reason}")]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// It turned the question away, and wants nothing for so long.
    #[error("replica wants rest for {} ms", backoff.as_millis())]
    Rejected {
        /// How long.
        backoff: Duration,
    },
    /// It answered with an unexpected status.
    #[error("replica answered {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer makes no sense.
    #[error("replica's answer is not understood: {reason}")]
    Malformed {
        /// What the codec reported.
        reason: String,
    },
}

/// A replica, asked from its own machine.
pub trait Engine {
    /// Where it takes requests from its own machine.
    fn address(&self) -> SocketAddr;

    /// What an answer of `status` and `headers` tells of what it wants.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// How it does.
    fn state(&self) -> LocalBoxFuture<'_, Result<State, Error>>;

    /// A staged chunk, if there is one.
    fn staged<'a>(
        &'a self,
        model: &'a str,
        chunk: u32,
    ) -> LocalBoxFuture<'a, Result<Option<Bytes>, Error>>;

    /// Stages a chunk.
    fn stage<'a>(
        &'a self,
        model: &'a str,
        chunk: u32,
        bytes: Bytes,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Orders it to take what is staged, once it has finished what runs.
    fn load<'a>(
        &'a self,
        model: &'a str,
        version: u64,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>>;
}
