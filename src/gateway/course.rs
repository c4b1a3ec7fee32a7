//! The course of one request: admission, the choice of replicas, attempts, and what follows their ends.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use rand::RngExt;

use super::Gateway;
use super::attempt::{Attempt, Begun, Failure, Send};
use super::dialect::{Code, Refusal};
use super::job::Job;
use super::repeat::Repeat;
use super::trace::{Expected, Trace};
use crate::clock::Time;
use crate::http::Answer;
use crate::lease::Throttle;
use crate::limit::admission::{self, Bounds, Input, Verdict};
use crate::limit::retry;
use crate::request::Outcome;
use crate::request::attempt::{self as next, Ended, Next, Situation};
use crate::route::pool::{self, Choice, Key, ModelQuery, Unavailable};
use crate::stop;

/// When a caller should come back if a service has no replica.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(1_900);

/// When a caller should come back after a replica refused its request.
const REFUSED_RETRY: Duration = Duration::from_millis(150);

/// Time over which those who come back after the rest of a replica are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(400);

/// Connections to a replica that an entry may always have.
const CONNECTIONS_MIN: u32 = 3;

/// Processes that are asked for a place at each later look while a request waits.
const ASKS_AGAIN: u32 = 1;

/// Service time that is left out of the budget of a request that is tried again.
const RETRY_TIME_MIN: Duration = Duration::from_millis(30);

/// The process stops, and the request has not run.
pub(super) fn stopping() -> Refusal {
    Refusal::new(Code::Stopping, "the process stops").retry_after(stop::tracker::RETRY_DELAY)
}

/// The process ends, and the request may have run.
pub(super) fn ending() -> Refusal {
    Refusal::new(Code::Broken, "the process ends")
}

/// Answers for the entry itself, and writes down why.
pub(super) fn refuse(gateway: &Gateway, trace: &mut Trace, refusal: &Refusal) -> Answer {
    trace.ended(refusal.code.name());
    trace.reason.clone_from(&refusal.detail);
    let id = (!trace.id.is_empty()).then_some(trace.id.as_str());
    let mut answer = gateway.dialect.refuse(refusal, id);
    if let Some(outcome) = refusal.code.outcome() {
        answer.extensions_mut().insert(outcome);
    }
    answer
}

/// A request on its way.
pub struct Course {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The request.
    pub job: Rc<Job>,
    /// What is written down of it.
    pub trace: Trace,
    tried: Vec<Key>,
    unreached: u32,
    tainted: bool,
    failure: Option<Answer>,
    /// What the next attempt takes of the budget.
    repeat: Option<Repeat>,
    /// When its caller tried first, if it was refused before and came back.
    pub(super) first_try: Option<Time>,
    /// The only version that will do, once an answer of it has begun.
    pub(super) only: Option<u64>,
}

impl Course {
    pub(super) fn new(gateway: Rc<Gateway>, job: Rc<Job>, mut trace: Trace) -> Self {
        let first_try = gateway.first_try(&job);
        trace.returned = first_try.is_some();
        Self {
            first_try,
            gateway,
            job,
            trace,
            tried: Vec::new(),
            unreached: 0,
            tainted: false,
            failure: None,
            repeat: None,
            only: None,
        }
    }

    /// What a caller without an answer is told when the process ends before a further attempt.
    pub(super) fn untold(&self) -> Refusal {
        if self.tainted { ending() } else { stopping() }
    }

    /// Ends with the replica's own failure if there is one, or else with `refusal`.
    pub(super) fn give_up(&mut self, refusal: &Refusal) -> Answer {
        match self.failure.take() {
            Some(answer) => {
                self.trace.ended("failed");
                self.trace.reason.clone_from(&refusal.detail);
                answer
            }
            None => {
                if refusal.code.outcome() == Some(Outcome::NotRun) {
                    let first = self.first_try.unwrap_or(self.job.arrived);
                    self.gateway.note_refused(&self.job, first);
                }
                refuse(&self.gateway, &mut self.trace, refusal)
            }
        }
    }

    /// A process beside a replica knows that the caller tried `age` ago already.
    pub(super) fn note_returned(&mut self, age: Duration) {
        let first = self.gateway.knowledge.now() - age;
        let known = self.first_try.get_or_insert(first);
        *known = first.min(*known);
        self.trace.returned = true;
    }

    /// Notes a failed attempt. An error is the end.
    pub(super) fn follow_up(&mut self, failure: Failure) -> Result<(), Refusal> {
        let (ended, detail) = self.take_failure(failure);
        match next::after(ended, self.situation()) {
            Next::Elsewhere { .. } if !self.gateway.setting.policy.retries => {
                Err(self.refusal_after(ended, detail))
            }
            Next::Elsewhere { charged } => {
                if !charged || self.take_repeat() {
                    return Ok(());
                }
                let detail = format!("{detail}; no repeat is left in the budget");
                Err(self.refusal_after(ended, detail))
            }
            Next::PassOn | Next::GiveUp(_) => Err(self.refusal_after(ended, detail)),
        }
    }

    /// Takes a repeat for the next attempt, if there is one.
    fn take_repeat(&mut self) -> bool {
        self.repeat = Repeat::take(&self.gateway, &self.job.service);
        self.repeat.is_some()
    }

    /// Takes what is to be kept of a failed attempt.
    fn take_failure(&mut self, failure: Failure) -> (Ended, String) {
        let Failure {
            ended,
            detail,
            answer,
        } = failure;
        if ended == Ended::NotSent {
            self.unreached += 1;
        }
        self.tainted |= next::outcome_of(ended) != Outcome::NotRun;
        if answer.is_some() {
            self.failure = answer;
        }
        (ended, detail)
    }

    /// What is known of the request.
    fn situation(&self) -> Situation {
        let remaining = self.job.remaining(self.gateway.knowledge.now());
        Situation {
            repeatable: self.job.route.repeatable(),
            tainted: self.tainted,
            sent: self.trace.sent,
            sent_max: self.job.route.attempts_max,
            connect_failures: self.unreached,
            time_left: remaining > RETRY_TIME_MIN,
        }
    }

    /// What a caller is told when no further attempt is made.
    fn refusal_after(&self, ended: Ended, detail: String) -> Refusal {
        let late = self.job.remaining(self.gateway.knowledge.now()) <= RETRY_TIME_MIN;
        if self.tainted || next::outcome_of(ended) != Outcome::NotRun {
            let code = if late {
                Code::LateUnknown
            } else {
                Code::Broken
            };
            return Refusal::new(code, detail);
        }
        if late {
            return Refusal::new(Code::LateNotRun, detail);
        }
        let now = self.gateway.knowledge.now();
        let refusal = Refusal::new(Code::NoReplica, detail);
        let rest = {
            let pool = self.gateway.pool.borrow();
            self.with_ask(&[], |ask| pool.backoff(ask, now))
        };
        if let Some(rest) = rest {
            return refusal.retry_after(self.after_rest(rest));
        }
        let outage = self
            .gateway
            .pool
            .borrow()
            .mostly_invalidated(&self.job.service);
        refusal.retry_after(if outage {
            self.arrival(self.job.remaining(now))
        } else {
            REFUSED_RETRY
        })
    }

    /// Finds a place, waits for one, or refuses.
    pub(super) async fn admit(&mut self) -> Result<Choice, Refusal> {
        let mut asks = self.gateway.setting.policy.lease_requests;
        loop {
            let chosen_before = self.trace.sent + self.unreached > 0;
            let limit = if chosen_before {
                // A request that was chosen a replica for already is worth the rest of its time.
                self.job.deadline.since(self.job.arrived)
            } else {
                self.limit()
            };
            let found = self.find(asks, limit).await;
            if let Some(age) = found.tried_before {
                self.note_returned(age);
            }
            let limit = if chosen_before { limit } else { self.limit() };
            self.trace.asked += found.asked;
            self.trace.place = found.given;
            let (choice, idle) = (found.choice, found.idle);
            if chosen_before {
                return choice
                    .and_then(|choice| self.unless_cold(choice, found.given))
                    .map_err(|shortage| self.refusal_after(Ended::Refused, shortage.to_string()));
            }
            if found.given {
                return choice.map_err(|shortage| self.shortage(shortage));
            }
            asks = asks.min(ASKS_AGAIN);
            let now = self.gateway.knowledge.now();
            let remaining = self.job.remaining(now);
            let case = Input {
                elapsed: now.since(self.job.arrived),
                remaining,
                expected: choice.as_ref().ok().map(|choice| choice.expected),
            };
            let verdict = if idle {
                Verdict::Send
            } else {
                admission::evaluate(case, Bounds::new(self.job.objective(), limit))
            };
            match (verdict, choice) {
                (Verdict::Send, Ok(choice)) => {
                    let choice = self.unless_cold(choice, found.given);
                    return choice.map_err(|shortage| self.shortage(shortage));
                }
                (Verdict::Wait(pause), _) => sleep(pause).await,
                (Verdict::Refuse { retry_after }, Ok(choice)) => {
                    let detail = format!(
                        "first event expected in {} ms at the best replica with {} requests",
                        choice.expected.as_millis(),
                        choice.requests
                    );
                    let refusal = Refusal::new(Code::Overload, detail);
                    return Err(refusal.retry_after(retry_after));
                }
                (_, Err(shortage)) => return Err(self.shortage(shortage)),
            }
        }
    }

    fn shortage(&self, shortage: Unavailable) -> Refusal {
        let remaining = self.job.remaining(self.gateway.knowledge.now());
        let refusal = Refusal::new(Code::NoReplica, shortage.to_string());
        refusal.retry_after(match shortage {
            Unavailable::BackingOff { remaining: rest } => self.after_rest(rest),
            _ => self.arrival(remaining),
        })
    }

    /// When a caller should come back to replicas of which the first has so much of its rest left: no sooner, and not all callers at
    /// once.
    fn after_rest(&self, rest: Duration) -> Duration {
        let apart = self
            .gateway
            .knowledge
            .rng
            .borrow_mut()
            .random_range(0.0..1.0);
        rest + RETURN_SPREAD.mul_f64(apart)
    }

    /// The limit on its first event, counted from its arrival.
    fn limit(&self) -> Duration {
        let (whole, late) = self.limits();
        let age = self.first_try.map(|first| self.job.arrived.since(first));
        age.map_or(whole, |age| retry::remaining_limit(whole, late, age))
    }

    /// The limit that is common to requests of the service, as far as the policy shares it, and that
    /// of requests whose callers were refused before and are late.
    pub(super) fn limits(&self) -> (Duration, Duration) {
        let gateway = &self.gateway;
        let own = self.job.objective();
        let tightest = self.job.routing.min_objective_ms(&self.job.service);
        let base = match tightest.filter(|_| gateway.setting.policy.shared_limit) {
            Some(tightest) => own.min(Duration::from_millis(tightest)),
            None => own,
        };
        let policy = &gateway.setting.policy;
        (
            base * policy.admit_percent / 100,
            base * policy.retry_admit_percent / 100,
        )
    }

    /// When the caller should come back to find weights at the replicas.
    fn arrival(&self, remaining: Duration) -> Duration {
        let gateway = &self.gateway;
        if !gateway.setting.policy.retry_after_eta {
            return NO_REPLICA_RETRY;
        }
        let now = gateway.knowledge.now();
        let arrival = gateway.pool.borrow().weights_eta(&self.job.service, now);
        let spread = gateway.knowledge.rng.borrow_mut().random_range(0.0..1.0);
        admission::retry_after(arrival, remaining, spread)
    }

    /// Chooses a replica, if possible none of `full`; for a begun answer, one of its version. Tells as
    /// well whether the service is mostly idle, so that nothing is to be refused.
    pub fn choose(&self, full: &[Key]) -> (Result<Choice, Unavailable>, bool) {
        let gateway = &self.gateway;
        gateway.refresh_pool();
        let now = gateway.knowledge.now();
        self.with_ask(full, |ask| {
            let pool = gateway.pool.borrow();
            let mut rng = gateway.knowledge.rng.borrow_mut();
            let choice = pool.choose(ask, now, &mut *rng);
            let (taken, places) = pool.occupancy(ask, now);
            (choice, taken * 2 < places)
        })
    }

    /// Calls `then` with what this request asks the pool for.
    pub(super) fn with_ask<T>(&self, full: &[Key], then: impl FnOnce(pool::Query<'_>) -> T) -> T {
        let gateway = &self.gateway;
        let now = gateway.knowledge.now();
        let service = self.job.routing.service(&self.job.service);
        let model = self.job.ask.inference.as_ref().map(|work| &*work.model);
        let engine = service.and_then(|service| service.engine.as_ref());
        // Replicas that hold models are engines, whatever could be read of their service.
        let engines = || {
            let catalog = gateway.knowledge.catalog.borrow();
            engine.is_some() || catalog.loaded_model(Some(&self.job.service)).is_some()
        };
        let model = model.filter(|_| engines());
        let entries = gateway.knowledge.peers.borrow().upper_bound() as u32;
        let connections = service.map_or(u32::MAX, |service| service.connections_max);
        let regions = gateway.knowledge.regions.borrow();
        then(pool::Query {
            service: &self.job.service,
            model: model.map(|model| ModelQuery {
                model,
                min_version: self.oldest_version(model, now),
                pinned_version: self.only,
            }),
            engine,
            demand: self.job.demand(),
            tried: &self.tried,
            full,
            connections_max: (connections / entries.max(1)).max(CONNECTIONS_MIN),
            residency: &self.job.residency,
            regions: &regions,
            cold_per_s: self.own_cold_per_s(),
        })
    }

    /// Requests a second that a cold replica bears; 0 if there is no bound.
    fn cold_per_s(&self) -> f64 {
        let service = self.job.routing.service(&self.job.service);
        service.map_or(0.0, |service| service.cold_per_s)
    }

    /// Part of it that this entry may send where the process beside the replica deals none out.
    fn own_cold_per_s(&self) -> f64 {
        let entries = self.gateway.knowledge.peers.borrow().upper_bound();
        self.cold_per_s() / entries.max(1) as f64
    }

    /// What the replica `key` bears, if it is cold.
    pub(super) fn ration(&self, key: Key) -> Option<Throttle> {
        let per_s = self.cold_per_s();
        let now = self.gateway.knowledge.now();
        let pool = self.gateway.pool.borrow();
        let rest = pool.get(key)?.cold_remaining(now);
        (per_s > 0.0 && !rest.is_zero()).then_some(Throttle {
            rest_ms: rest.as_millis() as u64,
            per_s,
        })
    }

    /// The choice, unless no place is kept there, and the replica is cold and bears no more.
    fn unless_cold(&self, choice: Choice, given: bool) -> Result<Choice, Unavailable> {
        let now = self.gateway.knowledge.now();
        let mut pool = self.gateway.pool.borrow_mut();
        let bears = given || pool.take_cold_token(choice.key, self.own_cold_per_s(), now);
        bears.then_some(choice).ok_or(Unavailable::Cold)
    }

    fn oldest_version(&self, model: &str, now: Time) -> u64 {
        let rollout = self.gateway.setting.rollout;
        let catalog = self.gateway.knowledge.catalog.borrow();
        let bound = rollout.bound.saturating_sub(rollout.margin);
        catalog.oldest_allowed(model, bound, now)
    }

    /// Sends the request to the chosen replica.
    pub async fn attempt(
        &mut self,
        choice: Choice,
        last_event: Option<u64>,
    ) -> Result<Begun, Failure> {
        let Some(attempt) = Attempt::begin(&self.gateway, &self.job, choice) else {
            let detail = "the replica has gone, or wants nothing now";
            return Err(Failure::new(Ended::NotSent, detail));
        };
        self.tried.push(choice.key);
        self.trace.replica = Some(attempt.instance.id.clone());
        self.trace.expected = Some(Expected {
            chosen: self.trace.elapsed(),
            first: choice.expected,
            requests: choice.requests,
        });
        let send = Send {
            last_event,
            version: self.only,
            moves_on: self.may_move_after_one_more(),
        };
        let mut repeat = self.repeat.take();
        if let Some(repeat) = &mut repeat {
            repeat.send();
        }
        let result = attempt.send(&self.job, send).await;
        let ended = result.as_ref().err().map(|failure| failure.ended);
        if let Some(repeat) = repeat {
            repeat.ended(ended);
        }
        self.trace.sent += u32::from(ended != Some(Ended::NotSent));
        result
    }

    /// Notes the failure of an attempt to take a begun answer up. Returns whether another may
    /// follow.
    pub fn may_resume(&mut self, failure: Failure) -> bool {
        let (ended, detail) = self.take_failure(failure);
        self.trace.reason = detail;
        if !self.gateway.setting.policy.resume {
            return false;
        }
        let next = next::after(ended, self.situation());
        match next {
            Next::Elsewhere { charged } => !charged || self.take_repeat(),
            Next::PassOn | Next::GiveUp(_) => false,
        }
    }

    /// Whether another replica may still receive the request.
    pub fn may_move(&self) -> bool {
        moves_on(self.situation())
    }

    /// Whether another one may once the next has received it.
    fn may_move_after_one_more(&self) -> bool {
        let situation = self.situation();
        moves_on(Situation {
            sent: situation.sent + 1,
            ..situation
        })
    }
}

fn moves_on(situation: Situation) -> bool {
    let next = next::after(Ended::Broken, situation);
    matches!(next, Next::Elsewhere { .. })
}
