//! Leases for late requests.
//!
//! The caller of a late request gains less from its response than a caller that can still be served in
//! time. So a late lease is granted only from capacity that no request in time needs.

use std::time::Duration;

use super::{Ledger, Request};
use crate::clock::Time;
use crate::config::routing::Engine;
use crate::route::estimate::{self, Backlog, Demand};
use crate::route::replica::Load;

/// Time for which a request in time shows that such requests arrive, or are refused. At 9 requests per
/// second and replica, the next one follows within it in 93 of 100 cases.
const RECENT: Duration = Duration::from_millis(300);

/// Late requests may hold one slot in this many while requests in time arrive.
pub const SLOTS_DIVISOR: u32 = 4;

/// The next request in time must be expected within the limit divided by this.
const LIMIT_DIVISOR: u32 = 2;

/// What a replica would look like with one more late request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Situation {
    /// Slots of the engine.
    pub slots: u32,
    /// Requests that are running, queued, or hold a lease, without the late one.
    pub in_progress: u32,
    /// Time until the current iteration ends.
    pub current_end: Duration,
    /// Time until the iteration that prefills the late request ends.
    pub prefilled: Duration,
    /// Expected time to the first event of a following request of mean size.
    pub next_expected: Duration,
}

/// A request in time that was granted a lease and waits for its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    expected: Time,
    due: Time,
}

/// What one sidecar remembers of requests in time and of its late leases.
#[derive(Debug, Default)]
pub struct Late {
    limit: Duration,
    arrived: Option<Time>,
    refused: Option<Time>,
    pending: Vec<Pending>,
    /// When each late request that was granted a lease is expected to end.
    held: Vec<Time>,
}

fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.since(at) < RECENT)
}

impl Late {
    /// Records a request in time with its `limit` on the first event, and the time at which that was
    /// `expected`. `granted` is whether it got a lease.
    pub fn record(&mut self, limit: Duration, expected: Duration, granted: bool, now: Time) {
        // A retry that can still be in time states what is left of the limit.
        self.limit = if is_recent(self.arrived, now) {
            self.limit.max(limit)
        } else {
            limit
        };
        self.arrived = Some(now);
        if granted {
            self.pending.retain(|pending| pending.expected > now);
            self.pending.push(Pending {
                expected: now + expected,
                due: now + limit,
            });
        } else if expected > limit {
            self.refused = Some(now);
        }
    }

    /// Whether a late request may have a lease.
    pub fn admits(&mut self, situation: Situation, now: Time) -> bool {
        self.held.retain(|end| *end > now);
        let slot_free = situation.in_progress < situation.slots;
        if !is_recent(self.arrived, now) {
            return slot_free;
        }
        let held_max = (situation.slots / SLOTS_DIVISOR).max(1);
        slot_free
            && !is_recent(self.refused, now)
            && situation.next_expected <= self.limit / LIMIT_DIVISOR
            && (self.held.len() as u32) < held_max
            && self.pending_stay_in_time(situation, now)
    }

    /// Whether the requests in time that are prefilled in the same iteration still meet their limits.
    fn pending_stay_in_time(&self, situation: Situation, now: Time) -> bool {
        let current_end = now + situation.current_end;
        let mut delayed = self
            .pending
            .iter()
            .filter(|pending| pending.expected > current_end);
        delayed.all(|pending| now + situation.prefilled <= pending.due)
    }

    /// Records a late lease whose request is expected to end at `end`.
    pub fn grant(&mut self, end: Time) {
        self.held.push(end);
    }
}

impl Ledger {
    /// Whether a late request may have a lease. `load` includes granted leases.
    pub(super) fn admits_late(
        &mut self,
        message: &Request,
        load: &Load,
        engine: &Engine,
        now: Time,
    ) -> bool {
        self.iterations.advance(engine, load, now);
        let with_late = Load {
            queued: load.queued + 1,
            ..load.clone()
        };
        let current_end = self.iterations.current_remaining(engine, load, now);
        let prefilled = current_end
            + self.iterations.next_iteration(engine, &with_late)
            + estimate::prefill(engine, message.prompt, load.pace);
        let mean_prompt = engine.mean_prompt_tokens as u32;
        let requests = with_late.in_progress();
        let situation = Situation {
            slots: engine.slots,
            in_progress: load.in_progress(),
            current_end,
            prefilled,
            next_expected: prefilled
                + estimate::prefill(engine, mean_prompt, load.pace)
                + estimate::queue_wait(engine, requests, load.pace, message.queue_spread),
        };
        self.late.admits(situation, now)
    }

    /// Records how a request was answered, for the decisions on late ones.
    pub(super) fn record_for_late(
        &mut self,
        message: &Request,
        load: &Load,
        engine: &Engine,
        expected: Duration,
        answer: Answer,
        now: Time,
    ) {
        match answer {
            Answer::InTime { granted } => {
                let limit = Duration::from_millis(message.whole_ms.max(message.limit_ms));
                self.late.record(limit, expected, granted, now);
            }
            Answer::Late { granted: true } => {
                let backlog = Backlog {
                    requests: load.in_progress(),
                    prompt_tokens: 0.0,
                    pace: load.pace,
                };
                let demand = Demand {
                    prompt: message.prompt,
                    output: message.output,
                };
                let end = now + expected + estimate::decode(engine, backlog, demand);
                self.late.grant(end);
            }
            Answer::Late { granted: false } => {}
        }
    }
}

/// How a request for a lease was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    /// A request that can be in time.
    InTime { granted: bool },
    /// A late request.
    Late { granted: bool },
}

impl Answer {
    /// The answer to a request that is late if `late`.
    pub(super) fn new(late: bool, granted: bool) -> Self {
        if late {
            Self::Late { granted }
        } else {
            Self::InTime { granted }
        }
    }
}
