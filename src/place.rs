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
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::routing::Engine;
use crate::limit::returning::{self, Fingerprint, Memory, Refused};
use crate::route::estimate::{self, Demand, Work};
use crate::route::replica::Load;

/// Path of an [`Ask`].
pub const PATH: &str = "/v1/place";

/// How long a request takes at most from its place to the engine: a few milliseconds in a hall and
/// between halls, and a turn of a busy process at either end. An engine that was looked at later
/// than that shows it.
const ARRIVES: Duration = Duration::from_millis(60);

/// An entry asks for a place.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ask {
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
    pub refused: Vec<Refused>,
}

impl Ask {
    /// The limit, where the caller's first try was so long ago, if it was refused before.
    fn limit(&self, tried_before: Option<Duration>) -> Duration {
        let at = Duration::from_millis(self.limit_ms);
        let Some(age) = tried_before else {
            return at;
        };
        let whole = Duration::from_millis(self.whole_ms);
        let late = Duration::from_millis(self.late_ms);
        at.min(returning::limit(whole, late, age))
    }
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether there is a place, which is kept for a moment.
    pub given: bool,
    /// How the replica does, other requests on their way to it included.
    pub load: Load,
    /// Milliseconds since the caller's first try, if it is known here that it was refused.
    #[serde(default)]
    pub tried_before_ms: Option<u64>,
}

/// A place that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    at: Time,
    prompt: u32,
}

/// The places that were given at one replica.
#[derive(Debug, Default)]
pub struct Ledger {
    leases: VecDeque<Lease>,
    present: u32,
    refused: Memory,
}

impl Ledger {
    /// The engine shows so many requests, running and waiting, at `at`. A lease ends with each one
    /// more than before, and once its request is sure to be among them.
    pub fn shown(&mut self, present: u32, at: Time) {
        let more = present.saturating_sub(self.present) as usize;
        self.leases.drain(..more.min(self.leases.len()));
        self.leases.retain(|lease| at.since(lease.at) < ARRIVES);
        self.present = present;
    }

    /// The engine is gone, with all that it had.
    pub fn lost(&mut self) {
        self.leases.clear();
        self.present = 0;
    }

    /// Requests that are on their way.
    pub fn leased(&self) -> u32 {
        self.leases.len() as u32
    }

    /// Answers `ask` at a replica that does as `load` says, without those on their way. `engine` has
    /// its figures, if they are known.
    pub fn answer(&mut self, ask: &Ask, load: Load, engine: Option<&Engine>, now: Time) -> Answer {
        for refused in &ask.refused {
            self.refused.heard(*refused, now);
        }
        let first = ask
            .request
            .and_then(|request| self.refused.first_try(request, now));
        let tried_before = first.map(|first| now.since(first));
        let limit = ask.limit(tried_before);
        let in_time = engine.is_none_or(|engine| self.expected(ask, &load, engine) <= limit);
        let load = Load {
            queued: load.queued + self.leased(),
            ..load
        };
        let takes = load.alive && !load.switching && !load.models.is_empty();
        let given = takes && in_time;
        if given {
            let prompt = ask.prompt;
            self.leases.push_back(Lease { at: now, prompt });
        }
        Answer {
            given,
            load,
            tried_before_ms: tried_before.map(|age| age.as_millis() as u64),
        }
    }

    /// When the first event of a request that comes now is expected.
    fn expected(&self, ask: &Ask, load: &Load, engine: &Engine) -> Duration {
        let coming = self.leases.iter().map(|lease| f64::from(lease.prompt));
        let work = Work {
            requests: load.present() + self.leased(),
            unread: f64::from(load.queued) * engine.usual_prompt + coming.sum::<f64>(),
            pace: load.pace,
        };
        let demand = Demand {
            prompt: ask.prompt,
            output: ask.output,
        };
        estimate::first_event(engine, work, demand, ask.queue_spread)
    }
}
