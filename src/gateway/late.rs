//! Holds late requests until there is capacity for them, by the decisions of [`late`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use rand::RngExt;
use tokio::sync::Notify;

use super::Gateway;
use super::dialect::{Code, Refusal};
use super::dispatch::{Dispatch, shutting_down};
use crate::config::residency::Residency;
use crate::config::routing::transfer_time;
use crate::limit::late::{self, Capacity, Place, Queue, Step, Waiting};
use crate::limit::retry;
use crate::request::Outcome;
use crate::route::estimate::{self, Backlog, Demand};
use crate::route::pool::{Choice, Unavailable};
use crate::version::ACTIVATION_TIME;

/// Sidecars that the head of a queue asks each time. A second one finds a free slot that the entry's
/// reports do not show yet.
const LEASE_REQUESTS: u32 = 2;

/// Attempts at replicas that turned out to lack weights which are not counted against the route's
/// maximum: they have not run the request.
const WEIGHTS_ATTEMPTS_MAX: u32 = 2;

/// Time from the start of the processes until the transfers of weights begin.
const MEETING_TIME: Duration = Duration::from_millis(800);

/// What requests of one queue have in common: they can be served by the same replicas.
type Key = (Arc<str>, Residency);

/// A queue, and the held requests by their places, each woken when it becomes the head.
#[derive(Default)]
struct Line {
    queue: Queue,
    wakers: BTreeMap<Place, Rc<Notify>>,
}

impl Line {
    fn wake_head(&self) {
        let head = self.queue.head();
        if let Some(waker) = head.and_then(|place| self.wakers.get(&place)) {
            waker.notify_one();
        }
    }
}

/// The late requests that an entry holds.
#[derive(Default)]
pub(super) struct Held {
    lines: BTreeMap<Key, Line>,
}

impl Held {
    pub(super) fn count(&self) -> usize {
        self.lines.values().map(|line| line.queue.len()).sum()
    }
}

/// A held request. Dropping it, as when its caller leaves, forgets the request.
struct Ticket {
    gateway: Rc<Gateway>,
    key: Key,
    place: Place,
    waker: Rc<Notify>,
}

impl Ticket {
    fn enter(gateway: &Rc<Gateway>, key: Key, request: Waiting) -> Option<Self> {
        let mut held = gateway.late.borrow_mut();
        let count = held.count();
        let now = gateway.knowledge.now();
        held.lines
            .retain(|known, line| *known == key || !line.queue.is_idle(now));
        let line = held.lines.entry(key.clone()).or_default();
        let place = line.queue.enter(request, count)?;
        let waker = Rc::new(Notify::new());
        line.wakers.insert(place, waker.clone());
        gateway.instruments.set_waiting(held.count());
        drop(held);
        Some(Self {
            gateway: gateway.clone(),
            key,
            place,
            waker,
        })
    }

    fn with_line<T>(&self, then: impl FnOnce(&mut Line) -> T) -> T {
        let mut held = self.gateway.late.borrow_mut();
        then(held.lines.entry(self.key.clone()).or_default())
    }

    fn step(&self, capacity: Capacity) -> Step {
        let now = self.gateway.knowledge.now();
        self.with_line(|line| line.queue.step(self.place, capacity, now))
    }

    fn asked(&self, granted: bool) {
        let now = self.gateway.knowledge.now();
        self.with_line(|line| line.queue.asked(self.place, granted, now));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.with_line(|line| {
            line.queue.leave(self.place);
            line.wakers.remove(&self.place);
            line.wake_head();
        });
        let count = self.gateway.late.borrow().count();
        self.gateway.instruments.set_waiting(count);
    }
}

impl Dispatch {
    /// Finds a replica for the request, in time or, if it was refused before, late.
    pub(super) async fn find_place_or_hold(&mut self) -> Result<Choice, Refusal> {
        if self.is_late() && !self.gateway.tracker.is_stopping() {
            return self.hold_until_stop().await;
        }
        let refusal = match self.find_place().await {
            Ok(choice) => return Ok(choice),
            Err(refusal) => refusal,
        };
        if !self.gateway.tracker.is_stopping() && self.may_wait_for_weights(&refusal) {
            return self.hold_until_stop().await;
        }
        if !self.has_late_service() || self.was_attempted() {
            return Err(refusal);
        }
        if self.first_try.is_none() {
            return Err(self.with_retry_delay(refusal, true));
        }
        if self.gateway.tracker.is_stopping() {
            return Err(refusal);
        }
        self.hold_until_stop().await
    }

    /// Whether the request is to be held instead of being refused, since the service's replicas lack
    /// weights that are expected early enough. Without replicas, entries do not learn which callers try
    /// again, so this applies to first attempts as well: for most callers the retry is the last try.
    pub(super) fn may_wait_for_weights(&mut self, refusal: &Refusal) -> bool {
        let not_run = refusal.code.outcome() == Some(Outcome::NotRun) && !self.may_have_run();
        let attempts_left = self.trace.sent < self.job.route.attempts_max + WEIGHTS_ATTEMPTS_MAX;
        if !not_run || !attempts_left || !self.has_late_service() {
            return false;
        }
        let latest = self.job.remaining(self.gateway.knowledge.now());
        let latest = latest.saturating_sub(self.response_time());
        self.late =
            matches!(self.capacity(), Ok(Capacity::Arriving(Some(arrival))) if arrival < latest);
        self.late
    }

    /// Whether late requests are served: only where an engine's figures are known.
    fn has_late_service(&self) -> bool {
        let service = self.job.routing.service(&self.job.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        self.gateway.setting.policy.late && engine.is_some() && self.job.meta.inference.is_some()
    }

    /// Whether the request was refused before and cannot be in time any more. After an attempt, the
    /// usual rules apply.
    pub(super) fn is_late(&self) -> bool {
        if self.late && !self.may_have_run() {
            return true;
        }
        let Some(first) = self.first_try.filter(|_| !self.was_attempted()) else {
            return false;
        };
        let (whole, late) = self.limits();
        let age = self.gateway.knowledge.now().since(first);
        self.has_late_service() && retry::remaining_limit(whole, late, age) <= late
    }

    /// Holds the request as [`Self::hold`], until a planned stop begins.
    async fn hold_until_stop(&mut self) -> Result<Choice, Refusal> {
        let gateway = self.gateway.clone();
        let begun = gateway.knowledge.now();
        let held = gateway.tracker.until_stop(self.hold()).await;
        let held = held.unwrap_or_else(|| Err(shutting_down()));
        self.trace.held = gateway.knowledge.now().since(begun);
        gateway.instruments.count_late(match held {
            Ok(_) => "served",
            Err(_) => "gave_up",
        });
        held
    }

    /// Holds the request until a sidecar grants it a late lease, or until it is clear that it will not
    /// be served before its deadline.
    async fn hold(&mut self) -> Result<Choice, Refusal> {
        self.trace.late = true;
        let now = self.gateway.knowledge.now();
        let request = Waiting {
            urgency: self.job.priority,
            deadline: self.job.deadline,
            response: self.response_time(),
            since: now,
            slots: self.share_of_slots(),
        };
        let key = (self.job.service.clone(), self.job.residency.clone());
        let Some(ticket) = Ticket::enter(&self.gateway, key, request) else {
            return Err(self.not_held("the entry holds as many late requests as it may"));
        };
        self.gateway.instruments.count_late("held");
        loop {
            let capacity = self.capacity()?;
            match ticket.step(capacity) {
                Step::Ask => {
                    let choice = self.ask_late().await;
                    ticket.asked(choice.is_some());
                    if let Some(choice) = choice {
                        return self.with_retry(choice);
                    }
                }
                Step::Wait(time) => {
                    // A wait that ends early or late is followed by another evaluation.
                    timeout(time, ticket.waker.notified()).await.ok();
                }
                Step::GiveUp => {
                    return Err(self.not_held("no capacity is expected before the deadline"));
                }
            }
        }
    }

    fn not_held(&self, detail: &str) -> Refusal {
        self.with_retry_delay(Refusal::new(Code::Overload, detail), false)
    }

    /// Takes a retry from the budget if a replica has received the request already.
    fn with_retry(&mut self, choice: Choice) -> Result<Choice, Refusal> {
        if self.trace.sent == 0 || self.has_retry() || self.acquire_retry() {
            return Ok(choice);
        }
        let detail = "no repeat is left in the budget";
        Err(self.with_retry_delay(Refusal::new(Code::Overload, detail), false))
    }

    /// Asks sidecars for a late lease.
    async fn ask_late(&mut self) -> Option<Choice> {
        let found = self.find_replica(LEASE_REQUESTS, self.limit()).await;
        self.trace.asked += found.asked;
        self.trace.leased = found.leased;
        let choice = found.choice.ok()?;
        // Without an answer from a sidecar, a service of which most slots are free takes the request.
        let admitted = found.leased || (found.idle && found.asked == 0);
        admitted
            .then(|| self.check_cold(choice, found.leased).ok())
            .flatten()
    }

    /// This entry's share of the slots of the service.
    fn share_of_slots(&self) -> u32 {
        let entries = self.gateway.knowledge.peers.borrow().upper_bound() as u32;
        let pool = self.gateway.pool.borrow();
        let replicas = pool.by_service(&self.job.service).iter();
        let slots = replicas.filter_map(|key| Some(pool.get(*key)?.record.slots));
        slots.sum::<u32>() / entries.max(1)
    }

    /// What is known of the capacity for the request; an error if it is refused at once.
    fn capacity(&self) -> Result<Capacity, Refusal> {
        let gateway = &self.gateway;
        let unavailable = match self.choose(&[]).0 {
            // If the list is out of date, only replicas whose sidecars report are known to be there.
            Ok(choice) if self.is_list_current() || gateway.sidecar_of(choice.key).is_some() => {
                return Ok(Capacity::Present);
            }
            Ok(_) => Unavailable::NoneEligible,
            Err(Unavailable::Cold) => return Ok(Capacity::Present),
            Err(unavailable) => unavailable,
        };
        let lacks_weights = matches!(
            unavailable,
            Unavailable::NoneListed | Unavailable::NoneEligible
        );
        if !lacks_weights {
            return Err(self.unavailable(unavailable));
        }
        let now = gateway.knowledge.now();
        let (arrival, receives_weights) = {
            let pool = gateway.pool.borrow();
            let arrival = pool.weights_eta(&self.job.service, now);
            (arrival, pool.receives_weights(&self.job.service))
        };
        // The progress of the first chunks says little about the rest, and those who are refused wrongly
        // have mostly no further try.
        let arrival = arrival.into_iter().chain(self.arrival_after_start()).min();
        if arrival.is_none() && !receives_weights {
            return Err(self.unavailable(unavailable));
        }
        Ok(Capacity::Arriving(arrival))
    }

    fn is_list_current(&self) -> bool {
        let pool = self.gateway.pool.borrow();
        !pool.mostly_invalidated(&self.job.service)
    }

    /// Time until weights are expected if all processes started when this one did and no progress is
    /// known yet: one copy over the link of the origin, which is about that of a box.
    fn arrival_after_start(&self) -> Option<Duration> {
        let services = &self.job.routing.document.services;
        let engine = self
            .job
            .routing
            .service(&self.job.service)?
            .engine
            .as_ref()?;
        let origin = services.iter().find(|service| service.origin.is_some())?;
        let transfer = transfer_time(engine.weight_bytes(), origin.link_mbps?);
        let uptime = self.gateway.knowledge.now().since(self.gateway.began);
        (transfer + ACTIVATION_TIME + MEETING_TIME).checked_sub(uptime)
    }

    /// Expected time from sending the request to the end of its response, at a replica of which half of
    /// the slots are taken: late leases are not granted on full ones.
    fn response_time(&self) -> Duration {
        let service = self.job.routing.service(&self.job.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return Duration::ZERO;
        };
        let demand = self.job.demand();
        let mean_output = engine.mean_answer_tokens as u32;
        let output = if self.job.predicts_output() {
            demand.output
        } else {
            // The maximum may be far above the length of the response.
            demand.output.min(mean_output)
        };
        let demand = Demand { output, ..demand };
        let backlog = Backlog {
            requests: engine.slots / 2,
            prompt_tokens: 0.0,
            pace: 1.0,
        };
        estimate::first_event(engine, backlog, demand, 0)
            + estimate::decode(engine, backlog, demand)
    }

    /// Replaces the retry delay of a refusal for lack of capacity in time by the time at which capacity
    /// is expected. `is_first` is whether a first attempt is refused.
    fn with_retry_delay(&self, refusal: Refusal, is_first: bool) -> Refusal {
        if refusal.code != Code::Overload || self.choose(&[]).0.is_err() {
            return refusal;
        }
        let gateway = &self.gateway;
        let now = gateway.knowledge.now();
        let key = (self.job.service.clone(), self.job.residency.clone());
        let mut held = gateway.late.borrow_mut();
        let queue = &mut held.lines.entry(key).or_default().queue;
        if is_first {
            queue.refused(now);
        }
        let expected = queue.expected_last(now);
        drop(held);
        let spread = gateway.knowledge.rng.borrow_mut().random_range(0.0..1.0);
        refusal.retry_after(late::retry_after(expected, self.job.remaining(now), spread))
    }
}
