//! Messages by which an entry asks for a grant under a replica's quota: from the replica's sidecar,
//! or else from the entry that counts the requests to that replica.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::replica::Instance;
use crate::route::quota;

/// Path of a [`Request`].
pub const PATH: &str = "/v1/grant";

/// Time after which to ask again a process that does not count, or does not answer.
pub const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A request for a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The instance that the request would be sent to.
    pub instance: Instance,
    /// The hall of the replica.
    pub hall: Arc<str>,
    /// Its quota as known to the sender.
    #[serde(default)]
    pub quota: Option<quota::Report>,
    /// The request's urgency; 0 is the highest.
    pub urgency: u8,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Whether the request may be sent, at once.
    pub given: bool,
    /// Milliseconds after which to ask again otherwise.
    #[serde(default)]
    pub wait_ms: u64,
}

impl Response {
    /// Grants the request if `taken` is no time to wait for.
    pub fn of(taken: Result<(), Duration>) -> Self {
        taken.map_or_else(Self::denied, |()| Self {
            given: true,
            wait_ms: 0,
        })
    }

    /// Denies the request; the sender may ask again after `wait`.
    pub fn denied(wait: Duration) -> Self {
        Self {
            given: false,
            wait_ms: wait.as_millis() as u64,
        }
    }
}
