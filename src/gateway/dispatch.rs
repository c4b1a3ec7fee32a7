//! State of one request: admission, choice of a replica, attempts, and what follows a failed
//! attempt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use rand::RngExt;

use super::Gateway;
use super::attempt::{Attempt, Failure, Params, Sending};
use super::dialect::{Code, Refusal};
use super::job::Job;
use super::retry::Retry;
use super::trace::{Estimate, Judgement, Trace};
use crate::clock::Time;
use crate::exchange::Alarm;
use crate::http::Answer;
use crate::lease::Throttle;
use crate::limit::admission::{self, Bounds, Input, Verdict};
use crate::request::Outcome;
use crate::request::attempt::{self as next, Ended, Next, Situation};
use crate::route::pool::{self, Choice, Key, ModelQuery, Unavailable};
use crate::stop;

/// Delay that callers are asked for if the service has no replica.
const NO_REPLICA_RETRY_DELAY: Duration = Duration::from_millis(1_900);

/// Delay that callers are asked for after a replica refused the request.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time over which the retries of callers are spread after the backoff that a replica asked for.
const RETRY_JITTER: Duration = Duration::from_millis(400);

/// Longest time over which the retries of callers are spread if quotas are used up.
const QUOTA_RETRY_SPREAD_MAX: Duration = Duration::from_secs(2);

/// Replicas for which a request asks for a grant before it is refused.
const GRANTS_ASKED_MAX: u32 = 4;

/// Lower bound of an entry's share of the connections to one replica.
const CONNECTIONS_MIN: u32 = 3;

/// Sidecars that are asked for a lease each time a waiting request is judged again.
const LEASE_REQUESTS_PER_RECHECK: u32 = 1;

/// Service time that another attempt needs: none is made unless more is left before the deadline.
const RETRY_TIME_MIN: Duration = Duration::from_millis(30);

/// The refusal of a request that has not run because the process is shutting down.
pub(super) fn shutting_down() -> Refusal {
    Refusal::new(Code::Stopping, "the process stops").retry_after(stop::tracker::RETRY_DELAY)
}

/// The refusal of a request that may have run when the process gave it up.
pub(super) fn aborted() -> Refusal {
    Refusal::new(Code::Broken, "the process ends")
}

/// Builds the gateway's own response to a refused request, and records the reason.
pub(super) fn refuse(gateway: &Gateway, trace: &mut Trace, refusal: &Refusal) -> Answer {
    trace.set_outcome(refusal.code.name());
    trace.reason.clone_from(&refusal.detail);
    trace.is_callers_fault = refusal.code.is_callers_fault();
    let id = (!trace.id.is_empty()).then_some(trace.id.as_str());
    let mut answer = gateway.dialect.refuse(refusal, id);
    if let Some(outcome) = refusal.code.outcome() {
        answer.extensions_mut().insert(outcome);
    }
    answer
}

/// A request while it is being served.
pub struct Dispatch {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The request.
    pub job: Rc<Job>,
    /// What is logged about it.
    pub trace: Trace,
    tried: Vec<Key>,
    /// Attempts of which no byte was sent.
    connect_failures: u32,
    /// Whether an attempt may have run.
    tainted: bool,
    /// The last error response of a replica.
    failure: Option<Answer>,
    /// The retry, taken from the budget, that the next attempt uses.
    retry: Option<Retry>,
    /// When the caller first tried, if the request was refused before.
    pub(super) first_try: Option<Time>,
    /// The only acceptable version of the weights, once a response has started.
    pub(super) pinned_version: Option<u64>,
    /// Whether it waited for weights and is served late.
    pub(super) late: bool,
    /// Raised when another replica is to be asked.
    pub(super) alarm: Alarm,
}

/// Why no other replica is asked while the ones that have the request are silent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum NoSuccessor {
    /// The request, the time left or the policy does not allow it.
    #[error("no further attempt is allowed")]
    NotAllowed,
    /// The retry budget of the service is used up.
    #[error("no repeat is left in the budget")]
    NoRetry,
    /// The request is blocked.
    #[error("{0}")]
    Blocked(String),
    /// The replica's quota is used up.
    #[error("the replica's quota is used up")]
    QuotaUsed,
    /// No replica can be chosen.
    #[error("{0}")]
    Unavailable(Unavailable),
    /// No replica has a place.
    #[error("{0}")]
    NoPlace(String),
}

impl Dispatch {
    pub(super) fn new(gateway: Rc<Gateway>, job: Rc<Job>, mut trace: Trace) -> Self {
        let first_try = gateway.first_try(&job);
        trace.returned = first_try.is_some();
        trace.demand = job.demand();
        trace.urgency = Some(job.priority);
        let work = job.meta.inference.as_ref();
        trace.output_max = work.map_or(0, |work| work.output_max);
        trace.timeout = Some(job.deadline.since(job.arrived));
        trace.size = gateway.size_class(&job);
        trace.service = Some(job.service.clone());
        trace.sent_max = job.route.attempts_max;
        Self {
            first_try,
            gateway,
            job,
            trace,
            tried: Vec::new(),
            connect_failures: 0,
            tainted: false,
            failure: None,
            retry: None,
            pinned_version: None,
            late: false,
            alarm: Alarm::default(),
        }
    }

    /// The refusal for a caller without a response when the process shuts down between attempts.
    pub(super) fn unanswered_refusal(&self) -> Refusal {
        if self.tainted {
            aborted()
        } else {
            shutting_down()
        }
    }

    /// Returns the last error response of a replica if there is one, or else `refusal`.
    pub(super) fn give_up(&mut self, refusal: &Refusal) -> Answer {
        match self.failure.take() {
            Some(answer) => {
                self.trace.set_outcome("failed");
                self.trace.reason.clone_from(&refusal.detail);
                answer
            }
            None => {
                if refusal.code.outcome() == Some(Outcome::NotRun) {
                    let first = self.first_try.unwrap_or(self.job.arrived);
                    self.gateway.record_rejection(&self.job, first);
                }
                refuse(&self.gateway, &mut self.trace, refusal)
            }
        }
    }

    /// Whether an attempt was made.
    pub(super) fn was_attempted(&self) -> bool {
        self.trace.sent + self.connect_failures > 0
    }

    /// Records that, according to a sidecar, the caller first tried `age` ago.
    pub(super) fn record_earlier_try(&mut self, age: Duration) {
        let first = self.gateway.knowledge.now() - age;
        let known = self.first_try.get_or_insert(first);
        *known = first.min(*known);
        self.trace.returned = true;
    }

    /// Records a failed attempt. `Ok` means that another attempt may be made.
    pub(super) fn handle_failure(&mut self, failure: Failure) -> Result<(), Refusal> {
        let (ended, detail) = self.record_failure(failure);
        match next::after(ended, self.situation()) {
            Next::Elsewhere { .. } if !self.gateway.setting.policy.retries => {
                Err(self.refusal_after(ended, detail))
            }
            Next::Elsewhere { charged } => {
                if !charged || self.acquire_retry() {
                    return Ok(());
                }
                let detail = format!("{detail}; no repeat is left in the budget");
                Err(self.refusal_after(ended, detail))
            }
            Next::PassOn | Next::GiveUp(_) => Err(self.refusal_after(ended, detail)),
        }
    }

    /// Takes a retry for the next attempt from the budget. Returns whether one was left.
    pub(super) fn acquire_retry(&mut self) -> bool {
        self.retry = Retry::acquire(&self.gateway, &self.job.service);
        self.retry.is_some()
    }

    /// Whether a retry was taken for the next attempt.
    pub(super) fn has_retry(&self) -> bool {
        self.retry.is_some()
    }

    /// Whether an attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.tainted
    }

    /// Updates the state from a failed attempt. Returns how it ended and the details.
    fn record_failure(&mut self, failure: Failure) -> (Ended, String) {
        let Failure {
            ended,
            detail,
            answer,
        } = failure;
        if ended == Ended::NotSent {
            self.connect_failures += 1;
            self.trace.sent -= 1;
        }
        self.tainted |= next::outcome_of(ended) != Outcome::NotRun;
        if answer.is_some() {
            self.failure = answer;
        }
        (ended, detail)
    }

    /// The state that decides what follows a failed attempt.
    fn situation(&self) -> Situation {
        let remaining = self.job.remaining(self.gateway.knowledge.now());
        Situation {
            repeatable: self.job.route.repeatable(),
            tainted: self.tainted,
            sent: self.trace.sent,
            sent_max: self.job.route.attempts_max,
            connect_failures: self.connect_failures,
            time_left: remaining > RETRY_TIME_MIN,
        }
    }

    /// The refusal when no further attempt is made.
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
        let backoff = {
            let pool = self.gateway.pool.borrow();
            self.with_query(&[], |query| pool.backoff(query, now))
        };
        if let Some(backoff) = backoff {
            return refusal.retry_after(self.delay_after_backoff(backoff));
        }
        let outage = self
            .gateway
            .pool
            .borrow()
            .mostly_invalidated(&self.job.service);
        refusal.retry_after(if outage {
            self.weights_retry_delay(self.job.remaining(now))
        } else {
            REFUSED_RETRY_DELAY
        })
    }

    /// Finds a replica for the request and takes a grant if that has a quota, or refuses the
    /// request.
    pub(super) async fn admit(&mut self) -> Result<Choice, Refusal> {
        self.check_level()?;
        let mut asked = 0;
        loop {
            let choice = self.find_place_or_hold().await?;
            let Err(wait) = self.take_grant(choice.key, self.trace.leased).await else {
                return Ok(choice);
            };
            self.mark_quota_used(choice.key, wait);
            asked += 1;
            if asked == GRANTS_ASKED_MAX {
                let unavailable = Unavailable::QuotaUsed {
                    remaining: wait,
                    interval: wait,
                };
                return Err(self.unavailable(unavailable));
            }
        }
    }

    /// Finds a replica for the request, waiting for a short time if need be, or refuses the
    /// request.
    pub(super) async fn find_place(&mut self) -> Result<Choice, Refusal> {
        let mut lease_requests = self.gateway.setting.policy.lease_requests;
        loop {
            let chosen_before = self.was_attempted();
            let limit = if chosen_before {
                // After an earlier attempt, only the deadline limits the wait for the first event.
                self.job.deadline.since(self.job.arrived)
            } else {
                self.limit()
            };
            let found = self.find_replica(lease_requests, limit).await;
            if let Some(age) = found.tried_before {
                self.record_earlier_try(age);
            }
            let limit = match &found.choice {
                _ if chosen_before => limit,
                Ok(choice) => self.limit_at(choice.key, self.limit()),
                Err(_) => self.limit(),
            };
            self.trace.asked += found.asked;
            self.trace.leased = found.leased;
            let (choice, idle) = (found.choice, found.idle);
            if let Ok(choice) = &choice {
                self.trace.judgement = Some(Judgement {
                    expected: choice.expected,
                    prefill: choice.prefill,
                    limit,
                });
            }
            if chosen_before {
                return choice
                    .and_then(|choice| self.check_cold(choice, found.leased))
                    .map_err(|unavailable| {
                        self.refusal_after(Ended::Refused, unavailable.to_string())
                    });
            }
            if let Err(unavailable @ (Unavailable::TooSlow | Unavailable::QuotaUsed { .. })) =
                choice
            {
                return Err(self.unavailable(unavailable));
            }
            if found.leased {
                self.record_admission(true);
                return choice.map_err(|unavailable| self.unavailable(unavailable));
            }
            lease_requests = lease_requests.min(LEASE_REQUESTS_PER_RECHECK);
            let now = self.gateway.knowledge.now();
            let remaining = self.job.remaining(now);
            let input = Input {
                elapsed: now.since(self.job.arrived),
                remaining,
                expected: choice.as_ref().ok().map(|choice| choice.expected),
            };
            let verdict = if idle {
                Verdict::Send
            } else {
                admission::evaluate(input, Bounds::new(self.job.objective(), limit))
            };
            match (verdict, choice) {
                (Verdict::Send, Ok(choice)) => {
                    self.record_admission(true);
                    let choice = self.check_cold(choice, found.leased);
                    return choice.map_err(|unavailable| self.unavailable(unavailable));
                }
                (Verdict::Wait(pause), _) => sleep(pause).await,
                (Verdict::Refuse { retry_after }, Ok(choice)) => {
                    self.record_admission(false);
                    let detail = format!(
                        "first event expected in {} ms at the best replica with {} requests",
                        choice.expected.as_millis(),
                        choice.requests
                    );
                    let refusal = Refusal::new(Code::Overload, detail);
                    return Err(refusal.retry_after(retry_after));
                }
                (_, Err(unavailable)) => return Err(self.unavailable(unavailable)),
            }
        }
    }

    pub(super) fn unavailable(&self, unavailable: Unavailable) -> Refusal {
        let remaining = self.job.remaining(self.gateway.knowledge.now());
        let code = match unavailable {
            Unavailable::TooSlow => Code::Overload,
            _ => Code::NoReplica,
        };
        let refusal = Refusal::new(code, unavailable.to_string());
        refusal.retry_after(match unavailable {
            Unavailable::BackingOff { remaining: backoff } => self.delay_after_backoff(backoff),
            Unavailable::QuotaUsed {
                remaining,
                interval,
            } => self.delay_after_quota(remaining, interval),
            _ => self.weights_retry_delay(remaining),
        })
    }

    /// Delay that the caller is asked for if all replicas asked for backoff and the shortest lasts
    /// for `backoff`: not less, and with jitter so that callers do not all return at once.
    fn delay_after_backoff(&self, backoff: Duration) -> Duration {
        let apart = self
            .gateway
            .knowledge
            .rng
            .borrow_mut()
            .random_range(0.0..1.0);
        backoff + RETRY_JITTER.mul_f64(apart)
    }

    /// Delay that the caller is asked for if the quotas of all replicas are used up for `remaining`
    /// and then take one request in each `interval`.
    fn delay_after_quota(&self, remaining: Duration, interval: Duration) -> Duration {
        let apart = self
            .gateway
            .knowledge
            .rng
            .borrow_mut()
            .random_range(0.0..1.0);
        remaining
            + interval
                .clamp(RETRY_JITTER, QUOTA_RETRY_SPREAD_MAX)
                .mul_f64(apart)
    }

    /// Delay that the caller is asked for until replicas are expected to have received weights.
    fn weights_retry_delay(&self, remaining: Duration) -> Duration {
        let gateway = &self.gateway;
        if !gateway.setting.policy.retry_after_eta {
            return NO_REPLICA_RETRY_DELAY;
        }
        let now = gateway.knowledge.now();
        let arrival = gateway.pool.borrow().weights_eta(&self.job.service, now);
        let spread = gateway.knowledge.rng.borrow_mut().random_range(0.0..1.0);
        admission::retry_after(arrival, remaining, spread)
    }

    /// Chooses a replica, avoiding those in `full` if possible; for a started response, one with
    /// the same version. Also returns whether fewer than half of the service's slots are taken, in
    /// which case the request need not be refused.
    pub fn choose(&self, full: &[Key]) -> (Result<Choice, Unavailable>, bool) {
        let gateway = &self.gateway;
        gateway.refresh_pool();
        let now = gateway.knowledge.now();
        self.with_query(full, |query| {
            let pool = gateway.pool.borrow();
            let mut rng = gateway.knowledge.rng.borrow_mut();
            let (taken, places) = pool.occupancy(query, now);
            let idle = taken * 2 < places;
            let may_be_refused = !idle && !self.was_attempted() && self.job.predicts_output();
            let query = pool::Query {
                remaining: may_be_refused.then(|| self.job.remaining(now)),
                terms: self.terms(),
                ..query
            };
            let choice = pool.choose(query, now, &mut *rng);
            (choice, idle)
        })
    }

    /// Calls `then` with this request's query to the pool.
    pub(super) fn with_query<T>(&self, full: &[Key], then: impl FnOnce(pool::Query<'_>) -> T) -> T {
        let gateway = &self.gateway;
        let now = gateway.knowledge.now();
        let service = self.job.routing.service(&self.job.service);
        let model = self.job.meta.inference.as_ref().map(|work| &*work.model);
        let engine = service.and_then(|service| service.engine.as_ref());
        // Replicas that hold models are engines even if their service's configuration is
        // unreadable.
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
                pinned_version: self.pinned_version,
            }),
            engine,
            demand: self.job.demand(),
            remaining: None,
            terms: None,
            tried: &self.tried,
            full,
            connections_max: (connections / entries.max(1)).max(CONNECTIONS_MIN),
            residency: &self.job.residency,
            regions: &regions,
            cold_per_s: self.own_cold_per_s(),
            urgency: self.job.priority,
        })
    }

    /// Requests per second that a cold replica tolerates; 0 if unlimited.
    fn cold_per_s(&self) -> f64 {
        let service = self.job.routing.service(&self.job.service);
        service.map_or(0.0, |service| service.cold_per_s)
    }

    /// This entry's share of that rate, used where no sidecar limits the rate of the replica's
    /// requests.
    fn own_cold_per_s(&self) -> f64 {
        let entries = self.gateway.knowledge.peers.borrow().upper_bound();
        self.cold_per_s() / entries.max(1) as f64
    }

    /// The throttle of the replica `key`, if it is cold and its rate is limited.
    pub(super) fn throttle(&self, key: Key) -> Option<Throttle> {
        let per_s = self.cold_per_s();
        let now = self.gateway.knowledge.now();
        let pool = self.gateway.pool.borrow();
        let remaining = pool.get(key)?.cold_remaining(now);
        (per_s > 0.0 && !remaining.is_zero()).then_some(Throttle {
            rest_ms: remaining.as_millis() as u64,
            per_s,
        })
    }

    /// Returns the choice unless the replica is cold and its rate is used up. A request
    /// that was granted a lease passes: the sidecar has counted it.
    pub(super) fn check_cold(&self, choice: Choice, leased: bool) -> Result<Choice, Unavailable> {
        let now = self.gateway.knowledge.now();
        let mut pool = self.gateway.pool.borrow_mut();
        let bears = leased || pool.take_cold_token(choice.key, self.own_cold_per_s(), now);
        bears.then_some(choice).ok_or(Unavailable::Cold)
    }

    fn oldest_version(&self, model: &str, now: Time) -> u64 {
        let rollout = self.gateway.setting.rollout;
        let catalog = self.gateway.knowledge.catalog.borrow();
        let bound = rollout.bound.saturating_sub(rollout.margin);
        catalog.oldest_allowed(model, bound, now)
    }

    /// Begins an attempt at the chosen replica, which counts as sent from now on.
    pub fn begin(&mut self, choice: Choice, last_event: Option<u64>) -> Result<Sending, Failure> {
        self.trace.sent += 1;
        let begun = Attempt::begin(&self.gateway, &self.job, choice, &self.alarm);
        let Some(attempt) = begun else {
            let detail = "the replica has gone, or wants nothing now";
            return Err(Failure::new(Ended::NotSent, detail));
        };
        self.tried.push(choice.key);
        self.trace.replica = Some(attempt.instance.id.clone());
        self.trace.expected = Some(Estimate {
            chosen: self.trace.elapsed(),
            first: choice.expected,
            requests: choice.requests,
        });
        let mut retry = self.retry.take();
        if let Some(retry) = &mut retry {
            retry.mark_sent();
        }
        Ok(Sending {
            job: self.job.clone(),
            attempt,
            params: Params {
                last_event,
                version: self.pinned_version,
            },
            retry,
        })
    }

    /// Finds another replica for a request that all replicas which have it leave without an answer.
    pub(super) async fn find_successor(&mut self) -> Result<Choice, NoSuccessor> {
        self.check_successor()?;
        let found = self.find_place().await;
        let granted = match found {
            Ok(choice) => self.take_successor_grant(choice, self.trace.leased).await,
            Err(refusal) => Err(NoSuccessor::NoPlace(refusal.detail)),
        };
        self.return_retry_unless(granted)
    }

    /// Finds another replica that can resume a stream.
    pub(super) async fn find_resuming(&mut self) -> Result<Choice, NoSuccessor> {
        if !self.gateway.setting.policy.resume {
            return Err(NoSuccessor::NotAllowed);
        }
        self.check_successor()?;
        loop {
            let granted = match self.choose(&[]).0 {
                Ok(choice) => self.take_successor_grant(choice, false).await,
                Err(unavailable) => Err(NoSuccessor::Unavailable(unavailable)),
            };
            // Quotas that are used up are not chosen again.
            if granted != Err(NoSuccessor::QuotaUsed) {
                return self.return_retry_unless(granted);
            }
        }
    }

    /// Checks whether another replica may receive the request now, and takes a retry from the
    /// budget if one is needed.
    fn check_successor(&mut self) -> Result<(), NoSuccessor> {
        let next = next::after(Ended::Broken, self.situation());
        let Next::Elsewhere { charged } = next else {
            return Err(NoSuccessor::NotAllowed);
        };
        if !self.gateway.setting.policy.retries {
            return Err(NoSuccessor::NotAllowed);
        }
        // A trial of a blocked request is left to those that have not been sent at all.
        if !self.is_allowed() {
            return Err(NoSuccessor::Blocked(self.blocked_refusal().detail));
        }
        if charged && !self.has_retry() && !self.acquire_retry() {
            return Err(NoSuccessor::NoRetry);
        }
        Ok(())
    }

    async fn take_successor_grant(
        &self,
        choice: Choice,
        leased: bool,
    ) -> Result<Choice, NoSuccessor> {
        let granted = self.take_grant(choice.key, leased).await;
        granted.map(|()| choice).map_err(|wait| {
            self.mark_quota_used(choice.key, wait);
            NoSuccessor::QuotaUsed
        })
    }

    fn return_retry_unless(
        &mut self,
        found: Result<Choice, NoSuccessor>,
    ) -> Result<Choice, NoSuccessor> {
        if found.is_err() {
            self.return_retry();
        }
        found
    }

    /// Returns the retry that was taken for an attempt which will not be made.
    pub(super) fn return_retry(&mut self) {
        self.retry = None;
    }

    /// Records that an attempt failed while others go on.
    pub(super) fn record_failure_of_one(&mut self, failure: Failure) {
        let (_, detail) = self.record_failure(failure);
        self.trace.reason = detail;
    }

    /// Records that the replica `id` has begun to answer.
    pub(super) fn record_answering(&mut self, id: &Arc<str>) {
        self.trace.replica = Some(id.clone());
        self.trace.record_received();
        self.return_retry();
        self.alarm.clear();
    }

    /// Whether another replica may still receive the request.
    pub(super) fn can_fail_over(&self) -> bool {
        let next = next::after(Ended::Broken, self.situation());
        matches!(next, Next::Elsewhere { .. })
    }
}
