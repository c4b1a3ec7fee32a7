//! Places at a replica, given by the one process that knows what is under way there.
//!
//! Reports are old when they are read, and all entries read the same ones: with 8 places at each of
//! 120 replicas and 149 entries, a third of all arrivals were turned away while places were free
//! elsewhere. The process beside a replica sees its engine without a lag, so an entry asks there
//! before it sends a request, and what was promised to others meanwhile is counted.
//!
//! A place that was given is a lease. It ends when the engine shows its request, or by its time if
//! the entry that asked for it is gone.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::routing::Engine;
use crate::limit::retry::{self, Fingerprint, Rejection, Rejections};
use crate::route::cold::TokenBucket;
use crate::route::estimate;
use crate::route::replica::Load;

/// Path of an [`Ask`].
pub const PATH: &str = "/v1/place";

/// How long a request takes at most from its place to the engine: a few milliseconds in a hall and
/// between halls, and a turn of a busy process at either end. An engine that was looked at later
/// than that shows it.
const ARRIVES: Duration = Duration::from_millis(60);

/// The passes of an engine, as the prompts make them that were let in.
///
/// An engine reads what has come since its present pass began in the next one, and whoever comes waits for
/// the end of the present one. With prompts of up to 3,900 tokens a pass takes 48 to 400 ms, which no
/// report tells; taken for half a plain pass, the wait was off by more than 110 ms for one in ten.
#[derive(Debug, Default)]
struct Passes {
    /// When the present pass ends, if prompts are read in it.
    ends: Time,
    /// Prompts that are read in the next one, in tokens.
    next: Vec<u32>,
}

impl Passes {
    /// Time from `now` until a prompt of so many tokens is read; `requests` are there already.
    fn first_event(&mut self, engine: &Engine, prompt: u32, load: &Load, now: Time) -> Duration {
        self.advance(engine, load, now);
        let own = estimate::prefill(engine, prompt, load.pace);
        self.rest(engine, load, now) + self.next_pass(engine, load) + own
    }

    /// A request with a prompt of so many tokens comes.
    fn enter(&mut self, engine: &Engine, prompt: u32, load: &Load, now: Time) {
        self.advance(engine, load, now);
        self.ends = now + self.rest(engine, load, now);
        self.next.push(prompt);
    }

    fn advance(&mut self, engine: &Engine, load: &Load, now: Time) {
        if self.ends > now || self.next.is_empty() {
            return;
        }
        self.ends = self.ends + self.next_pass(engine, load);
        self.next.clear();
    }

    /// Time of the next pass, as far as is known what is read in it.
    fn next_pass(&self, engine: &Engine, load: &Load) -> Duration {
        let read = |prompt: &u32| estimate::prefill(engine, *prompt, load.pace);
        let reads: Duration = self.next.iter().map(read).sum();
        estimate::iteration(engine, load.in_progress(), load.pace) + reads
    }

    /// What is left of the present pass: of one in which nothing is read, half of it on average.
    fn rest(&self, engine: &Engine, load: &Load, now: Time) -> Duration {
        if self.ends > now {
            return self.ends.since(now);
        }
        estimate::iteration(engine, load.in_progress(), load.pace).mul_f64(estimate::PASS_WAITED)
    }
}

/// What a cold replica bears.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Throttle {
    /// Milliseconds for which it is cold.
    pub rest_ms: u64,
    /// Requests a second that it bears meanwhile.
    pub per_s: f64,
}

/// An entry asks for a place.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Request {
    /// The entry that asks, if it tells.
    #[serde(default)]
    pub from: Option<SocketAddr>,
    /// Tokens to read.
    pub prompt: u32,
    /// Tokens to write, as far as can be told beforehand.
    pub output: u32,
    /// Milliseconds within which the first event has to be expected.
    pub limit_ms: u64,
    /// Hundredths of the mean time in an engine's queue that are expected.
    pub queue_spread: u32,
    /// The request, unless it is known that its caller was refused before.
    #[serde(default)]
    pub request: Option<Fingerprint>,
    /// Milliseconds that are the limit wherever the first event comes from: a place is asked for within
    /// less at first.
    #[serde(default)]
    pub whole_ms: u64,
    /// Milliseconds that are the limit if its caller was refused before and is late.
    #[serde(default)]
    pub late_ms: u64,
    /// Requests that the asker refused lately.
    #[serde(default)]
    pub refused: Vec<Rejection>,
    /// What the replica bears, if the asker knows that it is cold.
    #[serde(default)]
    pub cold: Option<Throttle>,
}

impl Request {
    /// The limit, where the caller's first try was so long ago, if it was refused before.
    fn limit(&self, tried_before: Option<Duration>) -> Duration {
        let at = Duration::from_millis(self.limit_ms);
        let Some(age) = tried_before else {
            return at;
        };
        let whole = Duration::from_millis(self.whole_ms);
        let late = Duration::from_millis(self.late_ms);
        at.min(retry::remaining_limit(whole, late, age))
    }
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Whether there is a place, which is kept for a moment.
    pub given: bool,
    /// How the replica does, other requests on their way to it included.
    pub load: Load,
    /// Milliseconds until the first event of the request as it is expected there, if that can be told.
    #[serde(default)]
    pub expected_ms: Option<u64>,
    /// Milliseconds since the caller's first try, if it is known here that it was refused.
    #[serde(default)]
    pub tried_before_ms: Option<u64>,
    /// Requests that other entries refused lately.
    #[serde(default)]
    pub refused: Vec<Rejection>,
    /// Whether the replica is cold, and bears no more at the moment.
    #[serde(default)]
    pub dealt_out: bool,
}

/// A place that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    at: Time,
}

/// The places that were given at one replica.
#[derive(Debug, Default)]
pub struct Ledger {
    leases: VecDeque<Lease>,
    present: u32,
    passes: Passes,
    refusals: Rejections,
    cold: Option<(Throttle, Time)>,
    allowance: TokenBucket,
}

impl Ledger {
    /// The engine shows so many requests, running and waiting, at `at`. A lease ends with each one
    /// more than before, and once its request is sure to be among them.
    pub fn observe(&mut self, present: u32, at: Time) {
        let more = present.saturating_sub(self.present) as usize;
        self.leases.drain(..more.min(self.leases.len()));
        self.leases.retain(|lease| at.since(lease.at) < ARRIVES);
        self.present = present;
    }

    /// The engine is gone, with all that it had.
    pub fn reset(&mut self) {
        self.leases.clear();
        self.present = 0;
        self.passes = Passes::default();
        self.cold = None;
    }

    /// What one entry knows of the replica's being cold binds all: others may not know it yet.
    fn hear_cold(&mut self, told: Option<Throttle>, now: Time) {
        let until = |told: Throttle| now + Duration::from_millis(told.rest_ms);
        let known = self.cold.map(|(_, until)| until);
        let Some(told) = told.filter(|told| known.is_none_or(|known| known < until(*told))) else {
            return;
        };
        if known.is_none_or(|known| known <= now) {
            self.allowance = TokenBucket::new(now);
        }
        self.cold = Some((told, until(told)));
    }

    /// Whether the replica bears one more request, as far as it is cold; if so, that is counted.
    fn bears(&mut self, now: Time) -> bool {
        match self.cold {
            Some((ration, until)) if now < until => self.allowance.take(ration.per_s, now),
            _ => true,
        }
    }

    /// Requests that are on their way.
    pub fn leased(&self) -> u32 {
        self.leases.len() as u32
    }

    /// Answers `ask` at a replica that does as `load` says, without those on their way. `engine` has
    /// its figures, if they are known.
    pub fn answer(
        &mut self,
        ask: &Request,
        load: Load,
        engine: Option<&Engine>,
        now: Time,
    ) -> Response {
        let told = ask.from.map(|from| self.refusals.take_pending(from, now));
        self.refusals.merge_and_forward(&ask.refused, now);
        let first = ask
            .request
            .and_then(|request| self.refusals.first_try(request, now));
        let tried_before = first.map(|first| now.since(first));
        let limit = ask.limit(tried_before);
        let load = Load {
            queued: load.queued + self.leased(),
            ..load
        };
        let expected = engine.map(|engine| self.expected(ask, &load, engine, now));
        let takes = load.alive && !load.switching && !load.models.is_empty();
        let takes = takes && load.notice().is_empty();
        let takes = takes && expected.is_none_or(|expected| expected <= limit);
        self.hear_cold(ask.cold, now);
        let given = takes && self.bears(now);
        if given {
            self.leases.push_back(Lease { at: now });
            if let Some(engine) = engine {
                self.passes.enter(engine, ask.prompt, &load, now);
            }
        }
        Response {
            given,
            load,
            expected_ms: expected.map(|expected| expected.as_millis() as u64),
            tried_before_ms: tried_before.map(|age| age.as_millis() as u64),
            refused: told.unwrap_or_default(),
            dealt_out: takes && !given,
        }
    }

    /// When the first event of a request that comes now is expected, where `load` includes those on
    /// their way.
    fn expected(&mut self, ask: &Request, load: &Load, engine: &Engine, now: Time) -> Duration {
        let queue = estimate::queue_wait(engine, load.in_progress(), load.pace, ask.queue_spread);
        queue + self.passes.first_event(engine, ask.prompt, load, now)
    }
}
