//! The interface to a dialect: how callers and replicas express requests and responses.
//!
//! A dialect translates names of headers and forms of responses. It makes no decisions.

use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};

use super::reader::Reader;
use crate::exchange::Request;
use crate::http::Answer;
use crate::member::replica::Instance;
use crate::request::Outcome;
use crate::route::notice::Notice;
use crate::route::quota::Statement;

/// Maximum number of parts of a prompt that crashes are counted under. What a caller names costs
/// memory and time for each name.
pub const SHARED_PARTS_MAX: usize = 128;

/// The parameters of an inference request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inference {
    /// The model.
    pub model: Arc<str>,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub output_max: u32,
    /// Number of tokens that the caller expects to be generated.
    pub output_hint: Option<u32>,
    /// Identifies the prefixes that the prompt shares with others.
    pub prefix: Option<Arc<str>>,
    /// The parts of the prompt that other requests may have as well: all but the last, and at most
    /// [`SHARED_PARTS_MAX`].
    pub shared_parts: Vec<String>,
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// The id of this try of the request.
    pub id: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the caller is willing to wait.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The inference parameters, if the request is for a model.
    pub inference: Option<Inference>,
    /// The id of the last event that the caller received of an earlier response.
    pub last_event: Option<u64>,
    /// Length of the body in bytes, if the head gives it.
    pub body_length: Option<u64>,
}

/// The head of a malformed request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{part} is missing or wrong")]
pub struct Malformed {
    /// The part that is malformed.
    pub part: &'static str,
}

/// What is added to a request when it is forwarded to a replica.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// The id of the replica that is to serve it.
    pub replica: &'a str,
    /// Time until its deadline.
    pub remaining: Duration,
    /// The customer.
    pub customer: Option<&'a str>,
    /// Its urgency; 0 is the highest.
    pub urgency: u8,
    /// The id of the last event received of a response that is to be resumed.
    pub last_event: Option<u64>,
    /// The only acceptable version of the weights.
    pub version: Option<u64>,
}

/// What the head of a replica's response means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// A success.
    Success {
        /// The version of the weights, if the head names one.
        version: Option<u64>,
    },
    /// An error response of the replica itself.
    Failure,
    /// The replica did not run the request.
    NotRun,
    /// The address belongs to another replica, or the replica has other weights; it did not run the
    /// request.
    Misdirected,
    /// The response belongs to another request, or does not come from a replica.
    Foreign,
}

/// Why the gateway answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The head or body is malformed.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// No route matches.
    NoRoute,
    /// The route needs a valid API key.
    NoAccess,
    /// The process has no configuration yet, or could not read the part that the request needs.
    NotReady,
    /// The process is shutting down. The request has not run.
    Stopping,
    /// No replica can start it in time. The request has not run.
    Overload,
    /// No replica is available. The request has not run.
    NoReplica,
    /// The deadline has passed. The request has not run.
    LateNotRun,
    /// The deadline has passed. The request may have run.
    LateUnknown,
    /// The response was broken off. The request may have run.
    Broken,
    /// Replicas crashed whenever they processed it.
    Poison,
}

impl Code {
    /// Whether the request itself is at fault, so that its caller can send any number of the kind.
    pub fn is_callers_fault(self) -> bool {
        match self {
            Self::Malformed
            | Self::HeadTooLong
            | Self::BodyTooLong
            | Self::BodyTooSlow
            | Self::NoRoute
            | Self::NoAccess => true,
            Self::NotReady
            | Self::Stopping
            | Self::Overload
            | Self::NoReplica
            | Self::LateNotRun
            | Self::LateUnknown
            | Self::Broken
            | Self::Poison => false,
        }
    }

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
            // A status that neither promises that the request has not run nor invites a retry.
            Self::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }

    /// Whether the request ran; `None` if it was rejected for a fault of its own.
    pub fn outcome(self) -> Option<Outcome> {
        match self.status() {
            StatusCode::SERVICE_UNAVAILABLE => Some(Outcome::NotRun),
            StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Its name in responses, logs and metrics.
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

/// A response of the gateway itself to a request that it does not serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// Human-readable details.
    pub detail: String,
    /// Delay after which the caller should retry.
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

    /// Sets the delay after which the caller should retry.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}

/// Translates between callers, the gateway and replicas.
pub trait Dialect {
    /// Parses the head of a caller's request.
    fn parse(&self, head: &RequestHead) -> Result<Metadata, Malformed>;

    /// Builds the head of the request to a replica from a caller's `head`.
    fn forward(&self, head: &RequestHead, forward: Forward<'_>) -> RequestHead;

    /// Classifies a replica's response to the request `id` by its head.
    fn classify(&self, answer: &Reader, id: &str) -> Classification;

    /// Reads from a response's `status` and `headers` whether its replica is leaving or asks for
    /// backoff.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Reads what a response's `headers` state about the quota of its replica.
    fn quota(&self, headers: &HeaderMap) -> Statement;

    /// A health check of the replica with the id `replica`, at the path of its service's.
    fn health_request(&self, replica: &str, path: &str) -> Request;

    /// Reads from a health check's answer which instance sent it; `None` if it does not name one.
    fn instance(&self, headers: &HeaderMap, body: &[u8]) -> Option<Instance>;

    /// Copies the headers of a replica's response that the caller may see.
    fn pass_headers(&self, from: &HeaderMap, into: &mut HeaderMap);

    /// Builds the gateway's own response to the request `id`.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> Answer;
}
