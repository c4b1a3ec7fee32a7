//! How callers and replicas speak, as far as an entry has to know.
//!
//! A dialect translates: names of headers, forms of answers. It decides nothing.

use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};

use super::reader::Reader;
use crate::http::Answer;
use crate::request::Outcome;
use crate::route::notice::Notice;

/// What a request asks of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inference {
    /// The model.
    pub model: Arc<str>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens that it may write at most.
    pub output_max: u32,
    /// Tokens that the caller expects.
    pub output_hint: Option<u32>,
    /// What names the beginnings that the prompt shares with others.
    pub prefix: Option<Arc<str>>,
}

/// What a caller's head says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Names this try of the request.
    pub id: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// What it asks of an engine.
    pub inference: Option<Inference>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// Bytes of the body, if it tells.
    pub body_length: Option<u64>,
}

/// A head that is no request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{part} is missing or wrong")]
pub struct Malformed {
    /// Which part.
    pub part: &'static str,
}

/// What is added to a request on its way to a replica.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// The replica that is meant.
    pub replica: &'a str,
    /// How long it may take.
    pub remaining: Duration,
    /// The customer.
    pub customer: Option<&'a str>,
    /// Its rank, 0 being the highest.
    pub urgency: u8,
    /// The last event that is known of a begun answer.
    pub last_event: Option<u64>,
    /// The only version of the weights that will do.
    pub version: Option<u64>,
}

/// What the head of a replica's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// A success, of a version of the weights if it tells one.
    Success {
        /// The version.
        version: Option<u64>,
    },
    /// A failure of the replica's own.
    Failure,
    /// It did not run the request.
    NotRun,
    /// Another replica has the address, or this one has other weights; it did not run the request.
    Misdirected,
    /// The answer belongs to another request, or is none of a replica's.
    Foreign,
}

/// Why a request gets an answer of the entry's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The head or body is no request.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The body did not come in time.
    BodyTooSlow,
    /// No route takes it.
    NoRoute,
    /// It needs a valid key.
    NoAccess,
    /// This process has no configuration yet.
    NotReady,
    /// This process stops. It has not run.
    Stopping,
    /// No replica can take it in time. It has not run.
    Overload,
    /// No replica is there. It has not run.
    NoReplica,
    /// Its time is over, and it has not run.
    LateNotRun,
    /// Its time is over, and it may have run.
    LateUnknown,
    /// Its answer broke; it may have run.
    Broken,
    /// Replicas ended under it whenever it came.
    Poison,
}

impl Code {
    /// The HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoAccess => StatusCode::UNAUTHORIZED,
            Self::NotReady
            | Self::Stopping
            | Self::Overload
            | Self::NoReplica
            | Self::LateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::LateUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            // Neither a promise nor an invitation to come again.
            Self::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }

    /// Whether the request ran, if nothing is wrong with the request itself.
    pub fn outcome(self) -> Option<Outcome> {
        match self.status() {
            StatusCode::SERVICE_UNAVAILABLE => Some(Outcome::NotRun),
            StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Its name in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoRoute => "no_route",
            Self::NoAccess => "no_access",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::Overload => "overload",
            Self::NoReplica => "no_replica",
            Self::LateNotRun => "late_not_run",
            Self::LateUnknown => "late_unknown",
            Self::Broken => "broken",
            Self::Poison => "poison",
        }
    }
}

/// An answer of the entry's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// What exactly, for people.
    pub detail: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal for `code`.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Asks the caller to come back after `retry_after`.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}

/// Translates between callers, the entry and replicas.
pub trait Dialect {
    /// Reads a caller's head.
    fn parse(&self, head: &RequestHead) -> Result<Metadata, Malformed>;

    /// The head that a replica gets for a caller's `head`.
    fn forward(&self, head: &RequestHead, forward: Forward<'_>) -> RequestHead;

    /// What the head of a replica's answer to the request `id` means.
    fn classify(&self, answer: &Reader, id: &str) -> Classification;

    /// What an answer of `status` and `headers` tells of what its replica wants.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Copies what a caller is to see of a replica's headers.
    fn pass_headers(&self, from: &HeaderMap, into: &mut HeaderMap);

    /// An answer of the entry's own to the request `id`.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> Answer;
}
