//! The interface to callers: request headers and bodies, and error responses.

use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Request, StatusCode};
use actix_rt::time::timeout;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::http::{self, Answer, Error};
use crate::request::{Key, Outcome};
use crate::stop::{Tracker, tracker};
use crate::template::fleet::Priority;
use crate::wire::header;

/// Maximum length in bytes of a caller's request body.
pub const BODY_MAX: usize = 1 << 20;

/// Time limit for a caller to send its request body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum deadline, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 600_000;

/// Request header with the key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request header with the caller's session. All requests of a session move between versions and
/// halls together.
pub const SESSION: &str = "x-session";

/// Headers that only the system itself may set.
const INTERNAL: [&str; 8] = [
    header::REQUEST,
    header::VERSION,
    header::SERVICE,
    header::PATH,
    header::KEY,
    header::FROM,
    header::ADMITTED,
    header::PROOF,
];

/// Error codes in responses to callers. They are part of the stable interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// A header is missing or invalid.
    BadHeader,
    /// The request has a header that only the system itself may set.
    InternalHeader,
    /// The body is invalid for this path, or could not be read.
    BadBody,
    /// The body is too long.
    BodyTooLong,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// There is no such path or method.
    NoSuchPath,
    /// There is no such customer.
    UnknownCustomer,
    /// The customer has no such model.
    UnknownModel,
    /// The customer has no such service.
    UnknownService,
    /// The key does not have the form of a key issued by this system.
    BadKey,
    /// The customer has too many requests in progress.
    CustomerLimit,
    /// No replica can accept the request now.
    NoReplica,
    /// All targets that were tried are full.
    Overloaded,
    /// The deadline cannot be met.
    Deadline,
    /// A request with this key is in progress.
    KeyInProgress,
    /// The key's box, or its record of the key, is gone: whether the request ran is unknown.
    KeyLost,
    /// The request ran under this key, but its response was too long to store.
    AnswerNotKept,
    /// The target, or the connection to it, failed.
    TargetFailed,
    /// The response was interrupted.
    AnswerBroken,
    /// The entry is stopping.
    Stopping,
}

impl Code {
    fn status(self) -> StatusCode {
        match self {
            Self::BadHeader | Self::InternalHeader | Self::BadBody | Self::BadKey => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoSuchPath
            | Self::UnknownCustomer
            | Self::UnknownModel
            | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NoReplica | Self::Overloaded | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyInProgress => StatusCode::CONFLICT,
            Self::KeyLost | Self::AnswerNotKept => StatusCode::GONE,
            Self::TargetFailed | Self::AnswerBroken => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A failure as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Error code.
    pub code: Code,
    /// Human-readable description, with what to do instead where that is known.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Delay in milliseconds after which to retry; absent if a retry would not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The response body of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The failure.
    pub error: Failure,
}

impl Failure {
    /// A request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// The entry is stopping, and the request did not run.
    pub fn stopping() -> Self {
        Self::not_run(Code::Stopping, "the entry stops").retry_after(tracker::RETRY_DELAY)
    }

    /// The entry aborts requests in progress at the end of a stop; the request may have run.
    pub fn ending() -> Self {
        let failure = Self::not_run(Code::AnswerBroken, "the entry ends");
        failure.with_outcome(Outcome::Unknown)
    }

    /// Replaces the outcome.
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// Sets the retry delay, of at least one millisecond.
    pub fn retry_after(self, after: Duration) -> Self {
        let millis = after.as_millis().max(1) as u64;
        Self {
            retry_after_ms: Some(millis),
            ..self
        }
    }

    /// The HTTP response. A server error carries the outcome as an extension, by which the
    /// [`Tracker`] counts it.
    pub fn answer(&self) -> Answer {
        let body = Body {
            error: self.clone(),
        };
        let status = self.code.status();
        let mut answer = http::json(status, &body);
        if status.is_server_error() {
            answer.extensions_mut().insert(self.outcome);
        }
        if let Some(millis) = self.retry_after_ms {
            let seconds = millis.div_ceil(1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// The parsed headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The customer.
    pub customer: String,
    /// The requested priority.
    pub priority: Option<Priority>,
    /// The requested deadline, as the time remaining.
    pub deadline: Option<Duration>,
    /// Whether the caller allows the request to run more than once.
    pub repeatable: Option<bool>,
    /// The key that limits it to one run.
    pub key: Option<Key>,
    /// The session it belongs to.
    pub session: Option<String>,
}

/// Reads a request's body, within [`BODY_MAX`] and [`BODY_TIMEOUT`].
pub async fn read_body(tracker: &Tracker, request: &mut Request) -> Result<Bytes, Failure> {
    let read = tracker.until_abort(http::read_request(request, BODY_MAX));
    match timeout(BODY_TIMEOUT, read).await {
        Err(_) => {
            let message = format!("the body did not come within {} s", BODY_TIMEOUT.as_secs());
            Err(Failure::not_run(Code::BodyTooSlow, message))
        }
        Ok(None) => Err(Failure::stopping()),
        Ok(Some(Err(Error::TooLong { limit }))) => {
            let message = format!("the body is longer than {limit} bytes");
            Err(Failure::not_run(Code::BodyTooLong, message))
        }
        Ok(Some(Err(error))) => Err(Failure::not_run(Code::BadBody, error.to_string())),
        Ok(Some(Ok(bytes))) => Ok(bytes),
    }
}

fn header_text<'a>(request: &'a Request, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = request.headers().get(HeaderName::from_static(name)) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| bad_header(name, "plain ASCII text"))?;
    Ok(Some(text))
}

fn bad_header(name: &str, expected: &str) -> Failure {
    let message = format!("header {name} is wrong; give {expected}");
    Failure::not_run(Code::BadHeader, message)
}

impl Head {
    /// Parses and validates the headers.
    pub fn read(request: &Request) -> Result<Self, Failure> {
        for name in INTERNAL {
            if request
                .headers()
                .contains_key(HeaderName::from_static(name))
            {
                let message = format!("header {name} is the system's own; leave it out");
                return Err(Failure::not_run(Code::InternalHeader, message));
            }
        }
        let customer = header_text(request, header::CUSTOMER)?
            .filter(|customer| !customer.is_empty())
            .ok_or_else(|| bad_header(header::CUSTOMER, "the customer's name"))?;
        let priority = match header_text(request, header::PRIORITY)? {
            None => None,
            Some("low") => Some(Priority::Low),
            Some("normal") => Some(Priority::Normal),
            Some("high") => Some(Priority::High),
            Some(_) => return Err(bad_header(header::PRIORITY, "low, normal or high")),
        };
        let repeatable = match header_text(request, header::REPEATABLE)? {
            None => None,
            Some("yes") => Some(true),
            Some("no") => Some(false),
            Some(_) => return Err(bad_header(header::REPEATABLE, "yes or no")),
        };
        let key = match header_text(request, IDEMPOTENCY_KEY)? {
            None => None,
            Some(key) => Some(key.parse().map_err(|_| {
                let message = "the key was not issued by this system; get one from POST /v1/keys";
                Failure::not_run(Code::BadKey, message)
            })?),
        };
        Ok(Self {
            customer: customer.to_owned(),
            priority,
            deadline: deadline(request)?,
            repeatable,
            key,
            session: header_text(request, SESSION)?.map(str::to_owned),
        })
    }
}

fn deadline(request: &Request) -> Result<Option<Duration>, Failure> {
    let Some(text) = header_text(request, header::DEADLINE)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(millis @ 1..=DEADLINE_MAX_MS) => Ok(Some(Duration::from_millis(millis))),
        _ => Err(bad_header(
            header::DEADLINE,
            "milliseconds from 1 to 600000",
        )),
    }
}
