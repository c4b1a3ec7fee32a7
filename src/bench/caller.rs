//! A caller: sends requests to an entry and judges the answers by itself.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use futures_util::StreamExt;
use serde_json::Value;

use super::sample;
use crate::entry::caller::{Body, Failure, IDEMPOTENCY_KEY};
use crate::entry::key::Issued;
use crate::http::{self, ClientSetting};
use crate::request::Outcome;
use crate::standin::engine;
use crate::weight::Digest;
use crate::wire::header;

/// Where callers stand: on no box's link, and on no side of a cut.
const CALLER_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

/// Longest answer that a caller reads.
const ANSWER_MAX: usize = 16 << 20;

/// What a caller was told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    /// A whole answer came.
    Whole,
    /// The system refused, or gave up.
    Refused(Failure),
    /// The answer broke off, and the caller saw that.
    Broken,
    /// No answer came.
    Nothing,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// What it was told.
    pub told: Told,
    /// Name of the request inside the system.
    pub request: String,
    /// Name of the run that a plain service answered from.
    pub run: String,
    /// The box that answered.
    pub served_by: String,
    /// The version that the answer is of.
    pub version: Option<Digest>,
    /// The tokens that came, in order.
    pub tokens: Vec<String>,
    /// Time until the first byte of the answer's body.
    pub first: Duration,
    /// Time until the end.
    pub took: Duration,
}

impl Seen {
    /// What the caller may believe of whether its request ran.
    pub fn outcome(&self) -> Outcome {
        match &self.told {
            Told::Whole => Outcome::Ran,
            Told::Refused(failure) => failure.outcome,
            Told::Broken | Told::Nothing => Outcome::Unknown,
        }
    }

    /// Whether the tokens are a beginning of the right answer of a single version.
    pub fn unmixed(&self, prompt: &str) -> bool {
        let Some(version) = self.version else {
            return self.tokens.is_empty();
        };
        self.tokens
            .iter()
            .enumerate()
            .all(|(index, token)| *token == engine::token(prompt, version, index as u32))
    }
}

/// A caller of one customer.
pub struct Caller {
    client: awc::Client,
    customer: String,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            prompt: "turbine 7: vibration over limit".to_owned(),
            tokens: 8,
            stream: true,
            headers: Vec::new(),
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(sample::CUSTOMER_NAME)
    }
}

impl Caller {
    /// A caller of `customer`.
    pub fn new(customer: &str) -> Self {
        Self {
            client: http::client(ClientSetting {
                local_address: Some(CALLER_ADDRESS),
                ..ClientSetting::default()
            }),
            customer: customer.to_owned(),
        }
    }

    /// Asks the model for tokens.
    pub async fn complete(&self, entry: &str, ask: &Ask) -> Seen {
        let body = serde_json::json!({
            "model": sample::MODEL,
            "prompt": ask.prompt,
            "max_tokens": ask.tokens,
            "stream": ask.stream,
        });
        let url = format!("{entry}/v1/completions");
        self.exchange(url, body.to_string(), &ask.headers).await
    }

    /// Calls the plain service.
    pub async fn call(&self, entry: &str, body: &str, headers: &[(&'static str, String)]) -> Seen {
        let url = format!("{entry}/v1/services/{}/orders", sample::SERVICE);
        self.exchange(url, body.to_owned(), headers).await
    }

    /// Gets a key for a call of the plain service.
    pub async fn key(&self, entry: &str) -> Option<String> {
        let body = serde_json::json!({ "service": sample::SERVICE });
        let mut response = self
            .client
            .post(format!("{entry}/v1/keys"))
            .insert_header((header::CUSTOMER, self.customer.as_str()))
            .send_body(body.to_string())
            .await
            .ok()?;
        let bytes = http::read_response(&mut response, ANSWER_MAX).await.ok()?;
        let issued: Issued = serde_json::from_slice(&bytes).ok()?;
        Some(issued.key)
    }

    /// The headers that carry `key`.
    pub fn keyed(key: &str) -> Vec<(&'static str, String)> {
        vec![(IDEMPOTENCY_KEY, key.to_owned())]
    }

    async fn exchange(
        &self,
        url: String,
        body: String,
        headers: &[(&'static str, String)],
    ) -> Seen {
        let began = Instant::now();
        let mut seen = Seen {
            told: Told::Nothing,
            request: String::new(),
            run: String::new(),
            served_by: String::new(),
            version: None,
            tokens: Vec::new(),
            first: Duration::ZERO,
            took: Duration::ZERO,
        };
        let mut request = self
            .client
            .post(url)
            .insert_header((header::CUSTOMER, self.customer.as_str()));
        for (name, value) in headers {
            request = request.insert_header((*name, value.as_str()));
        }
        if let Ok(response) = request.send_body(body).await {
            read(response, &mut seen, began).await;
        }
        seen.took = began.elapsed();
        seen
    }
}

async fn read(mut response: awc::ClientResponse, seen: &mut Seen, began: Instant) {
    let text = |name: &str| {
        let value = response.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    seen.request = text("x-pumicelatch-request");
    seen.served_by = text("x-pumicelatch-box");
    seen.version = text("x-pumicelatch-version").parse().ok();
    let streamed = text("content-type").starts_with("text/event-stream");
    let status = response.status();
    if streamed {
        return read_events(response, seen, began).await;
    }
    let Ok(bytes) = http::read_response(&mut response, ANSWER_MAX).await else {
        seen.told = Told::Broken;
        return;
    };
    seen.first = began.elapsed();
    if let Ok(body) = serde_json::from_slice::<Body>(&bytes) {
        seen.told = Told::Refused(body.error);
        return;
    }
    if status != StatusCode::OK {
        seen.told = Told::Broken;
        return;
    }
    if let Ok(value) = serde_json::from_slice::<Value>(&bytes) {
        let tokens = value["tokens"].as_array().into_iter().flatten();
        seen.tokens.extend(tokens.filter_map(token_of));
        if let Some(run) = value["request"].as_str() {
            seen.run = run.to_owned();
        }
    }
    seen.told = Told::Whole;
}

fn token_of(value: &Value) -> Option<String> {
    value["token"].as_str().map(str::to_owned)
}

async fn read_events(mut response: awc::ClientResponse, seen: &mut Seen, began: Instant) {
    let mut text = String::new();
    let mut ended_well = true;
    while let Some(part) = response.next().await {
        let Ok(part) = part else {
            ended_well = false;
            break;
        };
        if seen.first.is_zero() {
            seen.first = began.elapsed();
        }
        text.push_str(&String::from_utf8_lossy(&part));
    }
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        match serde_json::from_str::<Value>(data) {
            Ok(value) => seen.tokens.extend(token_of(&value)),
            Err(_) => done |= data == "[DONE]",
        }
    }
    seen.told = if done && ended_well {
        Told::Whole
    } else {
        Told::Broken
    };
}
