//! The interface of a replica towards its sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::clock::Deadline;
use crate::exchange::Request;
use crate::member::replica::{self, Instance, LoadedModel};
use crate::route::notice::Notice;
use crate::route::quota::Statement;

/// A replica's report about itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    /// Its start time in milliseconds since the Unix epoch; 0 if not reported.
    pub born: u64,
    /// The models that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Requests that are running.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Factor on its times; slow above 1.
    pub pace: f64,
    /// Whether its answer contained a notice that it is leaving.
    pub leaving: bool,
    /// What its answer stated about its quota.
    pub quota: Statement,
}

impl State {
    /// Returns the loaded version of `model`, if any.
    pub fn loaded(&self, model: &str) -> Option<u64> {
        replica::version_of(&self.models, model)
    }
}

/// A replica's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It executes the order.
    Accepted,
    /// It has already loaded the ordered version.
    AlreadyLoaded,
    /// It can't execute the order in its current state.
    Conflict,
}

/// Error of a call to a replica.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the call was sent.
    #[error("not sent: {reason}")]
    NotSent {
        /// The reported error.
        reason: String,
    },
    /// The exchange failed.
    #[error("replica is unreachable: {reason}")]
    Unreachable {
        /// The reported error.
        reason: String,
    },
    /// The replica rejected the call and asked for a backoff.
    #[error("replica asked for a backoff of {} ms", backoff.as_millis())]
    Rejected {
        /// Time for which it accepts no calls.
        backoff: Duration,
    },
    /// The replica answered with an unexpected status.
    #[error("replica answered with status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer can't be decoded.
    #[error("cannot decode the replica's answer: {reason}")]
    Malformed {
        /// The error of the decoder.
        reason: String,
    },
}

/// A replica, as seen from its own machine.
pub trait Engine {
    /// The address at which it accepts requests from its own machine.
    fn address(&self) -> SocketAddr;

    /// Returns the notice in an answer with this `status` and `headers`.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Reads what an answer's `headers` state about the quota.
    fn quota(&self, headers: &HeaderMap) -> Statement;

    /// The request for its state.
    fn state_request(&self) -> Request;

    /// A health check of the replica with the id `replica`, at the path of its service's.
    fn health_request(&self, replica: &str, path: &str) -> Request;

    /// Reads from a health check's answer which instance sent it; `None` if it does not name one.
    fn instance(&self, headers: &HeaderMap, body: &[u8]) -> Option<Instance>;

    /// Reads from an answer's `body` when the replica started, as [`State::born`].
    fn born(&self, body: &[u8]) -> u64;

    /// Fetches its state.
    fn state(&self) -> LocalBoxFuture<'_, Result<State, Error>>;

    /// Fetches a staged chunk, if there is one.
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

    /// Orders it to load the staged version once running requests have finished. Fails with
    /// [`Error::NotSent`] if the order can't be sent before `send_before`.
    fn load<'a>(
        &'a self,
        model: &'a str,
        version: u64,
        send_before: Deadline,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>>;
}
