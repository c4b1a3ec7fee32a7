//! The caller's side: what a request must look like, and how it is told that something went wrong.

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

/// Longest body of a caller's request.
pub const BODY_MAX: usize = 1 << 20;

/// How long a caller may take to send its body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest deadline.
pub const DEADLINE_MAX_MS: u64 = 600_000;

/// Header that carries a key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that names a caller's session, which moves between versions and sides as one.
pub const SESSION: &str = "x-session";

/// Headers that only the system itself sets.
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

/// What a caller is told in place of an answer. Codes are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// A header is missing or wrong.
    BadHeader,
    /// A header that only the system sets was sent.
    InternalHeader,
    /// The body is not what the path takes.
    BadBody,
    /// The body is too long.
    BodyTooLong,
    /// The body did not come in time.
    BodyTooSlow,
    /// There is no such path or method.
    NoSuchPath,
    /// There is no such customer.
    UnknownCustomer,
    /// The customer has no such model.
    UnknownModel,
    /// The customer has no such service.
    UnknownService,
    /// The key is not one of this system's.
    BadKey,
    /// The customer has too many requests in progress.
    CustomerLimit,
    /// No replica may take the request now.
    NoReplica,
    /// All targets that were asked are full.
    Overloaded,
    /// The deadline cannot be met.
    Deadline,
    /// A request with this key is in progress.
    KeyInProgress,
    /// The key's box or its memory is gone: whether the request ran is not known.
    KeyLost,
    /// The request ran under this key, and its answer was too long to keep.
    AnswerNotKept,
    /// The target or the way to it failed.
    TargetFailed,
    /// The answer broke off.
    AnswerBroken,
    /// The entry stops.
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

/// A failure as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub code: Code,
    /// The same for people, with what would do.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// When to come back, in milliseconds; absent if that would not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The body of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The failure.
    pub error: Failure,
}

impl Failure {
    /// A request that surely did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// The entry stops, and the request did not run.
    pub fn stopping() -> Self {
        Self::not_run(Code::Stopping, "the entry stops").retry_after(tracker::RETRY_DELAY)
    }

    /// The entry ends, and the request may have run.
    pub fn ending() -> Self {
        let failure = Self::not_run(Code::AnswerBroken, "the entry ends");
        failure.with_outcome(Outcome::Unknown)
    }

    /// The same with another outcome.
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// The same with a time to come back.
    pub fn retry_after(self, after: Duration) -> Self {
        let millis = after.as_millis().max(1) as u64;
        Self {
            retry_after_ms: Some(millis),
            ..self
        }
    }

    /// The HTTP answer.
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

/// The headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The customer.
    pub customer: String,
    /// The priority that it states.
    pub priority: Option<Priority>,
    /// The deadline that it states.
    pub deadline: Option<Duration>,
    /// Whether it says that the request may run twice.
    pub repeatable: Option<bool>,
    /// Its key.
    pub key: Option<Key>,
    /// Its session.
    pub session: Option<String>,
}

/// Reads a request's body.
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
    /// Reads and checks the headers.
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
