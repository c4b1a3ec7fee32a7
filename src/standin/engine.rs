//! A model engine: takes fenced orders, loads weights from its agent, streams tokens, and keeps
//! its own account of what it ran, against which the system is checked.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::{HttpMessage, Request, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::http::{self, Answer, ClientSetting, Server, plain};
use crate::version::{EngineState, Fence, LoadState, Order, OrderKind};
use crate::weight::Digest;

/// Longest request body.
const BODY_MAX: usize = 1 << 20;

/// Header that names a request.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header that names the version a request is for, and in the answer the one that served it.
pub const VERSION_HEADER: &str = "x-version";

/// Header that says from which token on an answer is wanted.
pub const FROM_HEADER: &str = "x-from-token";

/// Requests for new tokens, as the engine takes them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Prompt {
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
}

fn default_tokens() -> u32 {
    16
}

/// How an engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Requests worked on at once.
    pub capacity: u32,
    /// Time until the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Whether it refuses orders under an older fence.
    pub checks_fence: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            capacity: 32,
            first_token: Duration::from_millis(5),
            token_interval: Duration::from_millis(1),
            checks_fence: true,
        }
    }
}

/// When an engine begins to stand still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// When it has broken the next stream.
    Break,
    /// When its state is read next.
    Report,
}

/// Runs of requests in a whole fleet, by request, as the targets counted them.
#[derive(Debug, Default)]
pub struct Runs {
    runs: Mutex<HashMap<String, u32>>,
}

impl Runs {
    /// Counts one run.
    pub fn add(&self, request: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(request.to_owned()).or_default() += 1;
    }

    /// How often `request` ran.
    pub fn count(&self, request: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(request).copied().unwrap_or(0)
    }

    /// Requests among `names` that ran more than once.
    pub fn doubled_of<'a>(&self, names: impl Iterator<Item = &'a str>) -> usize {
        names.filter(|name| self.count(name) > 1).count()
    }

    /// Runs of all requests.
    pub fn total(&self) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().sum()
    }
}

/// What an engine holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    residence: LoadState,
    /// Digest of all bytes that were loaded, as this engine hashed them itself.
    content: Option<Digest>,
}

#[derive(Debug, Default)]
struct State {
    highest_fence: Fence,
    versions: BTreeMap<Digest, Held>,
    in_flight: u32,
    streams: HashMap<String, (Prompt, Digest)>,
    planned_pause: Option<(Moment, Duration)>,
    paused_until: Option<Instant>,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    setting: Setting,
    state: Mutex<State>,
    slots: Arc<Semaphore>,
    runs: Arc<Runs>,
    break_after: AtomicU32,
    break_at_once: AtomicBool,
    repeat_tokens: AtomicBool,
    cancelled: AtomicU32,
}

impl Engine {
    /// An engine that counts its runs in `runs`.
    pub fn new(setting: Setting, runs: Arc<Runs>) -> Arc<Self> {
        Arc::new(Self {
            setting,
            state: Mutex::default(),
            slots: Arc::new(Semaphore::new(setting.capacity as usize)),
            runs,
            break_after: AtomicU32::new(0),
            break_at_once: AtomicBool::new(false),
            repeat_tokens: AtomicBool::new(false),
            cancelled: AtomicU32::new(0),
        })
    }

    /// Breaks the next stream after `tokens` tokens.
    pub fn break_next_stream(&self, tokens: u32) {
        self.break_after.store(tokens, Ordering::Relaxed);
    }

    /// Breaks the next stream before its first token, though the run has begun.
    pub fn refuse_before_first_token(&self) {
        self.break_at_once.store(true, Ordering::Relaxed);
    }

    /// Stands still on all connections for `duration` from `moment` on, and goes on after that.
    pub fn pause_at(&self, moment: Moment, duration: Duration) {
        self.lock().planned_pause = Some((moment, duration));
    }

    /// Whether a pause is planned or in progress.
    pub fn is_pausing(&self) -> bool {
        let state = self.lock();
        let paused = |until: Instant| Instant::now() < until;
        state.planned_pause.is_some() || state.paused_until.is_some_and(paused)
    }

    /// Begins the pause planned for `moment`, if there is one.
    fn reach(&self, moment: Moment) {
        let mut state = self.lock();
        if let Some((_, duration)) = state
            .planned_pause
            .take_if(|(planned, _)| *planned == moment)
        {
            state.paused_until = Some(Instant::now() + duration);
        }
    }

    /// Waits until no pause is in progress.
    async fn pause_end(&self) {
        let until = self.lock().paused_until;
        if let Some(until) = until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Sends every token twice, or ends that.
    pub fn set_repeat_tokens(&self, repeat: bool) {
        self.repeat_tokens.store(repeat, Ordering::Relaxed);
    }

    /// Streams that were cancelled.
    pub fn cancelled(&self) -> u32 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// The versions that can serve, with the digest of the bytes that were loaded.
    pub fn loaded(&self) -> Vec<(Digest, Digest)> {
        self.lock()
            .versions
            .iter()
            .filter_map(|(digest, held)| Some((*digest, held.content?)))
            .collect()
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    /// Forgets everything, as an engine that was restarted.
    pub fn restart(&self) {
        *self.lock() = State::default();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves on the present thread.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> Server {
        let engine = self.clone();
        let own = listener
            .local_addr()
            .map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |address| address.ip());
        Server::start(listener, plain(), move |request, _| {
            engine.clone().answer(request, own)
        })
    }

    async fn answer(self: Arc<Self>, mut request: Request, own: IpAddr) -> Answer {
        let path = request.path().to_owned();
        if path == "/v1/state" {
            self.reach(Moment::Report);
        }
        self.pause_end().await;
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/v1/state") => http::json(StatusCode::OK, &self.report()),
            ("POST", "/v1/orders") => self.order(&mut request, own).await,
            ("POST", "/v1/generate") => self.generate(&mut request).await,
            ("GET", path) if path.starts_with("/v1/streams/") => {
                self.resume(&path["/v1/streams/".len()..], from_token(&request))
            }
            ("DELETE", path) if path.starts_with("/v1/streams/") => {
                self.cancel(&path["/v1/streams/".len()..])
            }
            _ => http::status(StatusCode::NOT_FOUND),
        }
    }

    fn report(&self) -> EngineState {
        let state = self.lock();
        EngineState {
            highest_fence: state.highest_fence,
            versions: state
                .versions
                .iter()
                .map(|(digest, held)| (*digest, held.residence))
                .collect(),
            in_flight: state.in_flight,
            capacity: self.setting.capacity,
        }
    }

    async fn order(self: &Arc<Self>, request: &mut Request, own: IpAddr) -> Answer {
        let Ok(bytes) = http::read_request(request, BODY_MAX).await else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        let Ok(order) = serde_json::from_slice::<Order>(&bytes) else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if self.setting.checks_fence && order.fence < state.highest_fence {
            return http::json(StatusCode::CONFLICT, &state.highest_fence);
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        match order.kind {
            OrderKind::Unload { digest } => {
                state.versions.remove(&digest);
            }
            OrderKind::Load {
                digest,
                source,
                bytes,
            } => {
                if let Entry::Vacant(vacant) = state.versions.entry(digest) {
                    vacant.insert(Held {
                        residence: LoadState::Loading,
                        content: None,
                    });
                    actix_rt::spawn(self.clone().load(digest, source, bytes, own));
                }
            }
        }
        http::json(StatusCode::OK, &state.highest_fence)
    }

    async fn load(self: Arc<Self>, digest: Digest, source: String, bytes: u64, own: IpAddr) {
        let content = pull(&source, bytes, own).await;
        let mut state = self.lock();
        match (content, state.versions.get_mut(&digest)) {
            (Some(content), Some(held)) => {
                held.residence = LoadState::Loaded;
                held.content = Some(content);
            }
            (None, Some(_)) => {
                state.versions.remove(&digest);
            }
            (_, None) => {}
        }
    }

    async fn generate(self: &Arc<Self>, request: &mut Request) -> Answer {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let (Some(id), Some(version)) = (header(REQUEST_HEADER), header(VERSION_HEADER)) else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        let Ok(version) = version.parse::<Digest>() else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        let from = from_token(request);
        let Ok(bytes) = http::read_request(request, BODY_MAX).await else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        let Ok(prompt) = serde_json::from_slice::<Prompt>(&bytes) else {
            return http::status(StatusCode::BAD_REQUEST);
        };
        {
            let mut state = self.lock();
            let held = state.versions.get(&version);
            if held.is_none_or(|held| held.residence != LoadState::Loaded) {
                return http::status(StatusCode::CONFLICT);
            }
            state.streams.insert(id.clone(), (prompt.clone(), version));
        }
        if from == 0 {
            self.runs.add(&id);
        }
        self.tokens(id, prompt, version, from)
    }

    fn resume(self: &Arc<Self>, id: &str, from: u32) -> Answer {
        let known = self.lock().streams.get(id).cloned();
        match known {
            Some((prompt, version)) => self.tokens(id.to_owned(), prompt, version, from),
            None => http::status(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, id: &str) -> Answer {
        match self.lock().streams.remove(id) {
            Some(_) => {
                self.cancelled.fetch_add(1, Ordering::Relaxed);
                http::status(StatusCode::NO_CONTENT)
            }
            None => http::status(StatusCode::NOT_FOUND),
        }
    }

    fn tokens(self: &Arc<Self>, id: String, prompt: Prompt, version: Digest, from: u32) -> Answer {
        let events = Events {
            engine: self.clone(),
            id,
            prompt,
            version,
            next: from,
            sent: 0,
            break_after: self.break_after.swap(0, Ordering::Relaxed),
            slot: None,
        };
        let mut answer = http::stream(StatusCode::OK, "text/event-stream", events.into_stream());
        if let Ok(value) = version.to_string().parse() {
            let name = actix_http::header::HeaderName::from_static(VERSION_HEADER);
            answer.headers_mut().insert(name, value);
        }
        answer
    }
}

fn from_token(request: &Request) -> u32 {
    let value = request.headers().get(FROM_HEADER);
    value
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0)
}

/// Reads all bytes of a version and returns their digest, `None` if they do not come whole.
async fn pull(source: &str, bytes: u64, own: IpAddr) -> Option<Digest> {
    let client = http::client(ClientSetting {
        local_address: Some(own),
        ..ClientSetting::default()
    });
    let mut response = client.get(source).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut hasher = blake3::Hasher::new();
    while let Some(part) = response.next().await {
        hasher.update(&part.ok()?);
    }
    (hasher.count() == bytes).then(|| hasher.finalize().into())
}

/// The text of token `index`: it depends on the prompt and the version, so that an answer to
/// another request or a splice of two versions shows.
pub fn token(prompt: &str, version: Digest, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt.as_bytes());
    hasher.update(version.as_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.finalize().to_hex()[..6].to_owned()
}

/// A slot of the engine while a stream runs.
struct Slot {
    engine: Arc<Engine>,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.engine.lock().in_flight -= 1;
    }
}

/// A stream of server-sent events in the making.
struct Events {
    engine: Arc<Engine>,
    id: String,
    prompt: Prompt,
    version: Digest,
    next: u32,
    sent: u32,
    break_after: u32,
    slot: Option<Slot>,
}

impl Events {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(Some(self), |events| async move {
            let events = events?;
            events.step().await
        })
    }

    async fn step(mut self) -> Option<(Result<Bytes, io::Error>, Option<Self>)> {
        if self.slot.is_none() {
            let permit = self.engine.slots.clone().acquire_owned().await.ok()?;
            self.engine.lock().in_flight += 1;
            self.slot = Some(Slot {
                engine: self.engine.clone(),
                _permit: permit,
            });
            tokio::time::sleep(self.engine.setting.first_token).await;
        } else if !self.engine.setting.token_interval.is_zero() {
            tokio::time::sleep(self.engine.setting.token_interval).await;
        }
        self.engine.pause_end().await;
        let cancelled = !self.engine.lock().streams.contains_key(&self.id);
        let at_once = self.sent == 0 && self.engine.break_at_once.swap(false, Ordering::Relaxed);
        let broken = self.break_after > 0 && self.sent >= self.break_after;
        if cancelled || at_once || broken {
            self.engine.reach(Moment::Break);
            return Some((Err(io::ErrorKind::ConnectionReset.into()), None));
        }
        if self.next >= self.prompt.max_tokens {
            self.engine.lock().streams.remove(&self.id);
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None));
        }
        let text = token(&self.prompt.prompt, self.version, self.next);
        let mut event = format!("id: {}\ndata: {{\"token\":\"{text}\"}}\n\n", self.next);
        if self.engine.repeat_tokens.load(Ordering::Relaxed) {
            event = event.repeat(2);
        }
        self.next += 1;
        self.sent += 1;
        Some((Ok(event.into()), Some(self)))
    }
}
