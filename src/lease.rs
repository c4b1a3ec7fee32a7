//! Slot leases at a replica, granted by its sidecar, the one process that knows the replica's
//! current load.
//!
//! Reports are outdated when they are read, and all entries read the same ones: with 8 slots at
//! each of 120 replicas and 149 entries, a third of all arrivals were turned away while slots were
//! free elsewhere. The sidecar sees its engine without delay, so an entry asks it before sending a
//! request, and the sidecar counts what it has granted to others meanwhile.
//!
//! A lease ends when its request shows up at the engine, or when it expires, if the entry that
//! asked for it is gone.

pub mod late;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::routing::Engine;
use crate::config::urgency::URGENCY_MAX;
use crate::limit::fair::{self, Shares};
use crate::limit::retry::{self, Fingerprint, Rejection, Rejections};
use crate::limit::room::{Claim, Group, Room};
use crate::route::cold::TokenBucket;
use crate::route::estimate::{self, Demand};
use crate::route::meter::Gate;
use crate::route::quota;
use crate::route::replica::Load;

/// Path of a [`Request`].
pub const PATH: &str = "/v1/place";

/// Urgency of requests of which none is known: halfway from the highest to the lowest.
pub const DEFAULT_URGENCY: u8 = 5;

/// Longest time from a lease to the arrival of its request at the engine: a few milliseconds within
/// and between halls, and one turn of a busy process at either end. An engine state
/// that is observed later than that includes the request.
const ARRIVAL_MAX: Duration = Duration::from_millis(60);

/// Iterations of an engine, by the prompts of the requests that were admitted.
///
/// In an iteration, the engine prefills the prompts that arrived during the previous one, and a new
/// request waits for the end of the current one. With prompts of up to 3,900 tokens an iteration
/// takes 48 to 400 ms, which no report shows. Assuming half an iteration without prefill put the
/// wait off by more than 110 ms for one request in ten.
#[derive(Debug, Default)]
struct Iterations {
    /// When the current iteration ends, if it includes prefill.
    current_end: Time,
    /// Prompts that the next iteration prefills, in tokens.
    next_prompts: Vec<u32>,
}

impl Iterations {
    /// Time from `now` until a prompt of `prompt` tokens is prefilled, behind the requests in
    /// `load`.
    fn first_event(&mut self, engine: &Engine, prompt: u32, load: &Load, now: Time) -> Duration {
        self.advance(engine, load, now);
        let own_prefill = estimate::prefill(engine, prompt, load.pace);
        self.current_remaining(engine, load, now) + self.next_iteration(engine, load) + own_prefill
    }

    /// Adds a request with a prompt of `prompt` tokens.
    fn admit(&mut self, engine: &Engine, prompt: u32, load: &Load, now: Time) {
        self.advance(engine, load, now);
        self.current_end = now + self.current_remaining(engine, load, now);
        self.next_prompts.push(prompt);
    }

    fn advance(&mut self, engine: &Engine, load: &Load, now: Time) {
        if self.current_end > now || self.next_prompts.is_empty() {
            return;
        }
        self.current_end = self.current_end + self.next_iteration(engine, load);
        self.next_prompts.clear();
    }

    /// Duration of the next iteration, including the prefill known so far.
    fn next_iteration(&self, engine: &Engine, load: &Load) -> Duration {
        let prefill_time = |prompt: &u32| estimate::prefill(engine, *prompt, load.pace);
        let prefill_times: Duration = self.next_prompts.iter().map(prefill_time).sum();
        estimate::iteration(engine, load.in_progress(), load.pace) + prefill_times
    }

    /// Rest of the current iteration: on average half of it if it includes no prefill.
    fn current_remaining(&self, engine: &Engine, load: &Load, now: Time) -> Duration {
        if self.current_end > now {
            return self.current_end.since(now);
        }
        estimate::iteration(engine, load.in_progress(), load.pace)
            .mul_f64(estimate::ITERATION_WAIT_FRACTION)
    }
}

/// Rate limit of a cold replica.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Throttle {
    /// Remaining cold time, in milliseconds.
    pub rest_ms: u64,
    /// Requests per second that the replica can take meanwhile.
    pub per_s: f64,
}

/// An entry's request for a slot lease.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Request {
    /// Address of the asking entry, if it gives one.
    #[serde(default)]
    pub from: Option<SocketAddr>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens, as far as known in advance.
    pub output: u32,
    /// Limit on the expected time until the first event, in milliseconds.
    pub limit_ms: u64,
    /// Factor on the mean queueing time, in percent.
    pub queue_spread: u32,
    /// Fingerprint of the request, unless it is already known to be a retry.
    #[serde(default)]
    pub request: Option<Fingerprint>,
    /// Full limit on the first event, in milliseconds. The first attempts ask with a lower
    /// `limit_ms`.
    #[serde(default)]
    pub whole_ms: u64,
    /// Limit for a retry that can no longer meet the objective, in milliseconds.
    #[serde(default)]
    pub late_ms: u64,
    /// Requests that the entry refused recently.
    #[serde(default)]
    pub refused: Vec<Rejection>,
    /// Rate limit of the replica, if the entry knows that it is cold.
    #[serde(default)]
    pub cold: Option<Throttle>,
    /// Quota of the replica, if the entry knows of one.
    #[serde(default)]
    pub quota: Option<quota::Report>,
    /// The request's urgency; 0 is the highest.
    #[serde(default = "default_urgency")]
    pub urgency: u8,
    /// Whether the request is late: it was refused before and cannot be in time any more.
    #[serde(default)]
    pub late: bool,
    /// Hash of the request's route; 0 if unknown, or if the entry's policy asks for no fair shares.
    #[serde(default)]
    pub route: u32,
    /// Hash of its customer; 0 if unknown.
    #[serde(default)]
    pub customer: u32,
    /// Hash of the hall of the asking entry, which the receiver looks up by `from`; 0 if unknown.
    #[serde(skip)]
    pub hall: u32,
    /// Whether this is the first sidecar that is asked for the request, in its first try.
    #[serde(default = "default_first")]
    pub first: bool,
}

fn default_urgency() -> u8 {
    DEFAULT_URGENCY
}

fn default_first() -> bool {
    true
}

impl Request {
    /// Limit on the first event. `tried_before` is the time since the first try if the request is a
    /// retry.
    fn limit(&self, tried_before: Option<Duration>) -> Duration {
        let at = Duration::from_millis(self.limit_ms);
        let Some(age) = tried_before else {
            return at;
        };
        let whole = Duration::from_millis(self.whole_ms);
        let late = Duration::from_millis(self.late_ms);
        at.min(retry::remaining_limit(whole, late, age))
    }

    /// Whether fair shares apply. A late request takes only what the others leave.
    fn has_groups(&self) -> bool {
        self.route != 0 && !self.late
    }

    fn groups(&self) -> fair::Claim {
        fair::Claim {
            urgency: self.urgency,
            route: self.route,
            customer: self.customer,
            hall: self.hall,
        }
    }

    fn work(&self, engine: &Engine) -> Duration {
        let (prompt, output) = (self.prompt, self.output);
        estimate::work(engine, Demand { prompt, output })
    }
}

/// A sidecar's response to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Whether the lease is granted. It is kept for a moment.
    pub given: bool,
    /// The replica's load, including granted leases.
    pub load: Load,
    /// Expected time until the first event, in milliseconds, if it can be estimated.
    #[serde(default)]
    pub expected_ms: Option<u64>,
    /// Time since the caller's first try, in milliseconds, if the request is a known retry.
    #[serde(default)]
    pub tried_before_ms: Option<u64>,
    /// Requests that other entries refused recently.
    #[serde(default)]
    pub refused: Vec<Rejection>,
    /// Whether the replica is cold and at its rate limit.
    #[serde(default)]
    pub dealt_out: bool,
    /// Milliseconds until a request may be granted under the replica's quota, if that is used up.
    #[serde(default)]
    pub quota_wait_ms: Option<u64>,
    /// The highest urgency number that the replica accepts in its queue; `None` if all are.
    #[serde(default)]
    pub level: Option<u8>,
}

/// A granted lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    at: Time,
}

/// Leases granted at one replica.
#[derive(Debug, Default)]
pub struct Ledger {
    leases: VecDeque<Lease>,
    in_progress: u32,
    /// Capacity by urgency.
    pub room: Room,
    iterations: Iterations,
    rejections: Rejections,
    cold: Option<(Throttle, Time)>,
    token_bucket: TokenBucket,
    late: late::Late,
    /// Requests under the replica's quota.
    pub gate: Gate,
    /// Fair shares of the replica among requests of one urgency.
    pub shares: Shares,
}

impl Ledger {
    /// Takes the number of requests, running or queued, that the engine showed at `at`. One lease
    /// ends with each additional request, and any lease that is old enough for its request to be
    /// included.
    pub fn observe(&mut self, in_progress: u32, at: Time) {
        let additional = in_progress.saturating_sub(self.in_progress) as usize;
        self.leases.drain(..additional.min(self.leases.len()));
        self.leases.retain(|lease| at.since(lease.at) < ARRIVAL_MAX);
        self.in_progress = in_progress;
    }

    /// Drops all state of an engine that is gone.
    pub fn reset(&mut self) {
        self.leases.clear();
        self.in_progress = 0;
        self.iterations = Iterations::default();
        self.room = Room::default();
        self.cold = None;
        self.late = late::Late::default();
        self.gate = Gate::default();
    }

    /// Takes a cold replica's rate limit from one entry. It applies to all entries, since others
    /// may not know of it yet.
    fn update_throttle(&mut self, throttle: Option<Throttle>, now: Time) {
        let until = |throttle: Throttle| now + Duration::from_millis(throttle.rest_ms);
        let known = self.cold.map(|(_, until)| until);
        let Some(throttle) =
            throttle.filter(|throttle| known.is_none_or(|known| known < until(*throttle)))
        else {
            return;
        };
        if known.is_none_or(|known| known <= now) {
            self.token_bucket = TokenBucket::new(now);
        }
        self.cold = Some((throttle, until(throttle)));
    }

    /// Takes a token if the replica is cold. Returns whether it can take another request.
    fn take_cold_token(&mut self, now: Time) -> bool {
        match self.cold {
            Some((throttle, until)) if now < until => self.token_bucket.take(throttle.per_s, now),
            _ => true,
        }
    }

    /// Requests that hold a lease and have not arrived yet.
    pub fn leased(&self) -> u32 {
        self.leases.len() as u32
    }

    /// Answers a request for a lease. `load` is the replica's load without leases, and `engine` has
    /// the engine's figures, if known.
    pub fn answer(
        &mut self,
        message: &Request,
        load: Load,
        engine: Option<&Engine>,
        now: Time,
    ) -> Response {
        let rejections_to_send = message
            .from
            .map(|from| self.rejections.take_pending(from, now));
        self.rejections.merge_and_forward(&message.refused, now);
        let first = message
            .request
            .and_then(|request| self.rejections.first_try(request, now));
        let tried_before = first.map(|first| now.since(first));
        let limit = message.limit(tried_before);
        let load = Load {
            queued: load.queued + self.leased(),
            ..load
        };
        let claim = engine.map(|engine| self.claim(message, tried_before, &load, engine, now));
        let terms = claim.map(|claim| (claim, self.room.terms(&claim, now)));
        let expected = terms.map(|(claim, terms)| terms.expected_within(claim.limit));
        let work = engine.map(|engine| message.work(engine));
        // Without a fingerprint, the request is known to be a retry.
        let asked = message
            .request
            .filter(|_| tried_before.is_none() && message.has_groups());
        if let (Some(request), Some(work)) = (asked, work) {
            self.shares.ask(message.groups(), request, work, now);
        }
        let is_free = engine.is_none_or(|engine| load.in_progress() < engine.slots);
        let expected =
            expected.map(|expected| self.fair_wait(message, limit, expected, is_free, now));
        let accepts = load.alive && !load.switching && !load.models.is_empty();
        let accepts = accepts && load.notice().is_empty();
        let accepts = accepts
            && match engine.filter(|_| message.late) {
                Some(engine) => self.admits_late(message, &load, engine, now),
                None => expected.is_none_or(|expected| expected <= limit),
            };
        self.update_throttle(message.cold, now);
        let warm = accepts && self.take_cold_token(now);
        let quota = load.quota_per_s(now).filter(|_| warm);
        let quota_wait = quota.and_then(|per_s| self.gate.take(message.urgency, per_s, now).err());
        let given = warm && quota_wait.is_none();
        if let (Some(engine), Some(expected)) = (engine, expected) {
            let answer = late::Answer::new(message.late || tried_before.is_some(), given);
            self.record_for_late(message, &load, engine, expected, answer, now);
        }
        if given {
            self.leases.push_back(Lease { at: now });
            if message.has_groups() {
                self.shares
                    .grant(message.groups(), work.unwrap_or_default(), now);
            }
            if let Some(engine) = engine {
                self.iterations.admit(engine, message.prompt, &load, now);
            }
        }
        if let Some((claim, terms)) = terms {
            self.room.record(&claim, terms, given, now);
        }
        Response {
            given,
            load,
            expected_ms: expected.map(|expected| expected.as_millis() as u64),
            tried_before_ms: tried_before.map(|age| age.as_millis() as u64),
            refused: rejections_to_send.unwrap_or_default(),
            dealt_out: accepts && !warm,
            quota_wait_ms: quota_wait.map(|wait| wait.as_millis() as u64),
            level: self.room.level(now),
        }
    }

    /// What a new request asks for, where `load` includes granted leases.
    fn claim(
        &mut self,
        message: &Request,
        tried_before: Option<Duration>,
        load: &Load,
        engine: &Engine,
        now: Time,
    ) -> Claim {
        let urgency = message.urgency.min(URGENCY_MAX);
        let ahead = Load {
            queued: self.room.ahead(urgency, load.queued),
            ..load.clone()
        };
        let whole = Request {
            limit_ms: message.limit_ms.max(message.whole_ms),
            ..message.clone()
        };
        let behind_all = self.expected(message, load, engine, now);
        let queue =
            estimate::queue_wait(engine, load.in_progress(), load.pace, message.queue_spread);
        let demand = Demand {
            prompt: message.prompt,
            output: message.output,
        };
        let limit = whole.limit(tried_before);
        let returns_late =
            tried_before.is_some() && limit <= Duration::from_millis(message.late_ms);
        Claim {
            urgency,
            group: Group::default(),
            work: estimate::work(engine, demand),
            first: message.first && tried_before.is_none(),
            expected: self.expected(message, &ahead, engine, now),
            behind_all,
            with_slot: behind_all.saturating_sub(queue),
            limit,
            late: message.late || returns_late,
        }
    }

    /// The expected time `expected` as it applies to a request by the fair shares: longer if a group of
    /// it is over its share, unless a slot is free. The entry is told the same, or it would send the
    /// request without a lease.
    fn fair_wait(
        &mut self,
        message: &Request,
        limit: Duration,
        expected: Duration,
        is_free: bool,
        now: Time,
    ) -> Duration {
        if !message.has_groups() {
            return expected;
        }
        let fraction = self.shares.fraction(message.groups(), is_free, now);
        let fair = expected.div_f64(fraction);
        // Being refused at a lower limit than the whole one is no sign of a shortage: the request may
        // still get a place in the queue. A retry that is late has too low a limit to show one.
        let whole = limit.max(Duration::from_millis(message.whole_ms));
        if message.request.is_some() && fair > whole {
            self.shares.refuse(message.groups(), now);
        }
        fair
    }

    /// Expected time until the first event of a new request, where `load` includes granted leases.
    fn expected(&mut self, message: &Request, load: &Load, engine: &Engine, now: Time) -> Duration {
        let queue =
            estimate::queue_wait(engine, load.in_progress(), load.pace, message.queue_spread);
        queue
            + self
                .iterations
                .first_event(engine, message.prompt, load, now)
    }
}
