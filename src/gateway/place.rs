//! Finds a replica for a request, by asking sidecars for a lease or from what the entry knows. A
//! lease reserves a place in the replica's engine or queue.

use std::net::SocketAddr;
use std::time::Duration;

use super::dispatch::Dispatch;
use crate::clock::Time;
use crate::exchange::Recorder;
use crate::knowledge::gossip;
use crate::lease::{self, Response};
use crate::limit::fair;
use crate::route::pool::{Choice, Key, Limits, Unavailable};
use crate::route::search::{Reply, Search, Step};
use crate::timeout;

/// Timeout for a sidecar's answer over a used connection. Within a hall an answer takes 0.2 ms; 60
/// ms is the time of two chunks of weights on the sidecar's link. A link that holds an answer up
/// for longer would hold up the request as well.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Timeout for the answer over a new connection after the used one brought none: three times the
/// longest round trip between two halls.
const HEDGED_ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// The result of the search for a lease.
pub struct Found {
    /// The replica to send the request to, or else the best known one.
    pub choice: Result<Choice, Unavailable>,
    /// Whether a lease was granted there.
    pub leased: bool,
    /// Whether fewer than half of the service's slots are taken, as far as the entry knows.
    pub idle: bool,
    /// Number of sidecars that were asked.
    pub asked: u32,
    /// Time since the caller's first try, if a sidecar knows that the request was refused before.
    pub tried_before: Option<Duration>,
}

/// A sidecar's answer.
#[derive(Default)]
struct Offer {
    /// The replica, if a lease was granted.
    choice: Option<Choice>,
    /// Time since the caller's first try, if the sidecar knows it.
    tried_before: Option<Duration>,
}

impl Dispatch {
    /// Asks up to `lease_requests` sidecars for a lease with which the first event is expected
    /// within `limit`.
    pub(super) async fn find_replica(&self, lease_requests: u32, limit: Duration) -> Found {
        let mut search = Search::new(lease_requests);
        let mut tried_before = None;
        loop {
            let (key, known) = match search.step() {
                Step::Decide => {
                    let known = self.choose(search.probed());
                    return self.best_known(&search, known, tried_before);
                }
                Step::Retry(key) => (key, None),
                Step::Probe => {
                    let known = self.choose(search.probed());
                    match known.0 {
                        Ok(choice) if search.probed().contains(&choice.key) => {
                            search.exhausted();
                            continue;
                        }
                        Ok(choice) => (choice.key, Some(known)),
                        Err(_) => return self.best_known(&search, known, tried_before),
                    }
                }
            };
            let Some((sidecar, limits)) = self.sidecar_with_limits(key, limit) else {
                let known = known.unwrap_or_else(|| self.choose(search.probed()));
                return self.best_known(&search, known, tried_before);
            };
            let again = search.probed().contains(&key);
            let at = if again {
                limits.queued
            } else {
                limits.immediate
            };
            let request = lease::Request {
                first: search.probed().is_empty() && self.is_first_search(),
                ..self.build_lease_request(key, sidecar, at, limits.queued)
            };
            let answer = self
                .request_lease(&mut search, key, sidecar, &request, limits.whole)
                .await;
            tried_before = tried_before.max(answer.tried_before);
            if let Some(choice) = answer.choice {
                return Found {
                    choice: Ok(choice),
                    leased: true,
                    idle: false,
                    asked: search.probed().len() as u32 + 1,
                    tried_before,
                };
            }
        }
    }

    /// The best replica without a lease: the one with the earliest first event according
    /// to the sidecars that answered; if none did, or most slots of the service are free, the one
    /// that is `known` to be best.
    fn best_known(
        &self,
        search: &Search,
        known: (Result<Choice, Unavailable>, bool),
        tried_before: Option<Duration>,
    ) -> Found {
        let (known, idle) = known;
        let now = self.gateway.knowledge.now();
        let best = search.best().filter(|_| !idle);
        // The sidecar's estimate is better than this entry's: it knows the replica's actual load.
        let best = best.and_then(|(expected, key)| {
            let choice = self.expected_at(key, now)?;
            Some(Choice { expected, ..choice })
        });
        Found {
            choice: best.map_or(known, Ok),
            leased: false,
            idle,
            asked: search.probed().len() as u32,
            tried_before,
        }
    }

    /// Builds the request for a lease at the replica `key`. `at` is the limit on the first event
    /// for this lease, `whole` that of the caller's request itself.
    fn build_lease_request(
        &self,
        key: Key,
        sidecar: SocketAddr,
        at: Duration,
        whole: Duration,
    ) -> lease::Request {
        let gateway = &self.gateway;
        let knowledge = &gateway.knowledge;
        let demand = self.job.demand();
        let known = self.first_try.is_some();
        let (_, late) = self.limits();
        let pending = gateway
            .rejections
            .borrow_mut()
            .take_pending(sidecar, knowledge.now());
        let (route, customer) = if knowledge.policy.fair_shares {
            let customer = fair::group(self.job.customer.as_deref());
            (fair::group(Some(&self.job.route.name)), customer)
        } else {
            (0, 0)
        };
        lease::Request {
            from: Some(knowledge.identity.address),
            prompt: demand.prompt,
            output: demand.output,
            limit_ms: at.as_millis() as u64,
            queue_spread: knowledge.policy.queue_spread,
            // If the first try is known, the limit already takes it into account.
            request: (!known).then_some(self.job.fingerprint),
            whole_ms: whole.as_millis() as u64,
            late_ms: late.as_millis() as u64,
            refused: pending,
            cold: self.throttle(key),
            quota: self.quota_report(key),
            urgency: self.job.priority,
            late: self.is_late(),
            route,
            customer,
            hall: 0,
            first: false,
        }
    }

    /// Whether no sidecar was asked for the request before, not even in an earlier try.
    fn is_first_search(&self) -> bool {
        self.trace.asked == 0 && self.first_try.is_none()
    }

    /// Asks the sidecar of the replica `key` for a lease.
    async fn request_lease(
        &self,
        search: &mut Search,
        key: Key,
        sidecar: SocketAddr,
        request: &lease::Request,
        limit: Duration,
    ) -> Offer {
        let knowledge = &self.gateway.knowledge;
        let (within, recorder) = ((ANSWER_TIMEOUT, HEDGED_ANSWER_TIMEOUT), Recorder::default());
        let answer = gossip::call_within::<_, Response>(
            knowledge,
            sidecar,
            lease::PATH,
            request,
            within,
            &recorder,
        );
        let answer = answer.await;
        let now = knowledge.now();
        match answer {
            Ok(answer) => {
                let address = {
                    let pool = self.gateway.pool.borrow();
                    pool.get(key).map(|replica| replica.record.address)
                };
                if let Some(address) = address {
                    self.gateway.apply_load(address, &answer.load, now);
                }
                if let Some(wait) = answer.quota_wait_ms {
                    self.mark_quota_used(key, Duration::from_millis(wait));
                }
                self.record_level(key, answer.level, now);
                self.gateway.merge_rejections(&answer.refused, now);
                let tried_before = answer.tried_before_ms.map(Duration::from_millis);
                if answer.dealt_out {
                    self.gateway.pool.borrow_mut().mark_cold_exhausted(key, now);
                }
                let choice = self
                    .expected_by_sidecar(key, &answer, now)
                    .filter(|_| !answer.dealt_out && answer.quota_wait_ms.is_none());
                if answer.given && choice.is_some() {
                    return Offer {
                        choice,
                        tried_before,
                    };
                }
                // A late request gets no place in a queue, so the best of those asked is not asked again.
                let queued = choice.filter(|_| !request.late);
                let reply = queued.map_or(Reply::Unavailable, |choice| Reply::Queued {
                    expected: choice.expected,
                    limit,
                });
                search.record(key, reply);
                Offer {
                    choice: None,
                    tried_before,
                }
            }
            Err(error) => {
                log::info!(
                    request = self.job.meta.id.as_str(), process:% = sidecar, connection:% = recorder;
                    "lease request failed: {error}"
                );
                let timed_out = matches!(
                    error,
                    gossip::Error::Timeout(timeout::Error::NoAnswer { .. })
                );
                self.gateway
                    .pool
                    .borrow_mut()
                    .mark_unresponsive(key, timed_out, now);
                if timed_out {
                    search.timed_out(key);
                } else {
                    search.record(key, Reply::Unavailable);
                }
                Offer::default()
            }
        }
    }

    /// The choice of the replica `key` with the estimate from the sidecar's `answer`, which is
    /// based on the engine's actual iterations, corrected by what this entry knows of the link.
    fn expected_by_sidecar(&self, key: Key, answer: &Response, now: Time) -> Option<Choice> {
        let choice = self.expected_at(key, now)?;
        let reported = answer.expected_ms.map(Duration::from_millis);
        let expected = reported.and_then(|reported| self.corrected(key, reported, now));
        Some(Choice {
            expected: expected.unwrap_or(choice.expected),
            ..choice
        })
    }

    fn corrected(&self, key: Key, reported: Duration, now: Time) -> Option<Duration> {
        let pool = self.gateway.pool.borrow();
        self.with_query(&[], |query| {
            pool.corrected_estimate(key, query, reported, now)
        })
    }

    fn expected_at(&self, key: Key, now: Time) -> Option<Choice> {
        self.with_query(&[], |query| {
            self.gateway.pool.borrow().estimate(key, query, now)
        })
    }

    /// The sidecar of a replica and the limits for its estimate; `None` if it grants no leases or
    /// has recently failed to answer.
    fn sidecar_with_limits(&self, key: Key, limit: Duration) -> Option<(SocketAddr, Limits)> {
        let sidecar = self.gateway.sidecar_of(key)?;
        let limit = self.limit_at(key, limit);
        let now = self.gateway.knowledge.now();
        let pool = self.gateway.pool.borrow();
        let left = if self.is_late() {
            // A late request is not bound by its limit. This one is for sidecars of earlier releases.
            self.limits().1
        } else {
            limit.saturating_sub(now.since(self.job.arrived))
        };
        let limits = self.with_query(&[], |query| pool.limits(key, query, left, now))?;
        Some((sidecar, limits))
    }
}
