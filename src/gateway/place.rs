//! Finds a place for a request: asks the processes beside replicas, or goes by what is known.

use std::net::SocketAddr;
use std::time::Duration;

use super::call::Course;
use crate::clock::Time;
use crate::exchange::Note;
use crate::knowledge::gossip;
use crate::patience;
use crate::place::{self, Answer};
use crate::route::pool::{Choice, Key, Limits, Shortage};
use crate::route::search::{Said, Search, Step};

/// How long the process beside a replica may take to answer. In a hall that is 0.2 ms, and 60 ms are
/// two chunks of weights on its link: what takes longer would hold up the request as well.
const ANSWERS_WITHIN: Duration = Duration::from_millis(60);

/// How long it may take on a new connection, after a used one has brought nothing: three times the
/// longest way between two halls and back.
const ANSWERS_AGAIN: Duration = Duration::from_millis(30);

/// What was found for a request.
pub struct Found {
    /// The replica to send it to, or the best that is known.
    pub choice: Result<Choice, Shortage>,
    /// Whether a place is kept there.
    pub given: bool,
    /// Whether the service is mostly idle, as far as is known.
    pub idle: bool,
    /// Processes that were asked.
    pub asked: u32,
}

impl Course {
    /// Asks up to `asks` processes for a place from which the first event comes within `limit`.
    pub(super) async fn find(&self, asks: u32, limit: Duration) -> Found {
        let mut search = Search::new(asks, limit);
        loop {
            let (key, known) = match search.step() {
                Step::Judge => {
                    let known = self.choose(search.asked());
                    return self.best_known(&search, known);
                }
                Step::Again(key) => (key, None),
                Step::Another => {
                    let known = self.choose(search.asked());
                    match known.0 {
                        Ok(choice) if search.asked().contains(&choice.key) => {
                            search.exhausted();
                            continue;
                        }
                        Ok(choice) => (choice.key, Some(known)),
                        Err(_) => return self.best_known(&search, known),
                    }
                }
            };
            let Some((process, limits)) = self.process_beside(key, limit) else {
                let known = known.unwrap_or_else(|| self.choose(search.asked()));
                return self.best_known(&search, known);
            };
            let again = search.asked().contains(&key);
            let limit = if again { limits.whole } else { limits.tight };
            if let Some(choice) = self.ask(&mut search, key, process, limit).await {
                return Found {
                    choice: Ok(choice),
                    given: true,
                    idle: false,
                    asked: search.asked().len() as u32 + 1,
                };
            }
        }
    }

    /// The best replica without a place: one of those that answered, if any did; but if most places
    /// of the service are free, the one that is `known` beside those.
    fn best_known(&self, search: &Search, known: (Result<Choice, Shortage>, bool)) -> Found {
        let (known, idle) = known;
        let now = self.gateway.knowledge.now();
        let least = search.least().filter(|_| !idle);
        let least = least.and_then(|key| self.expects(key, now));
        Found {
            choice: least.map_or(known, Ok),
            given: false,
            idle,
            asked: search.asked().len() as u32,
        }
    }

    /// Asks the process beside the replica `key`. Returns the choice if it gives a place.
    async fn ask(
        &self,
        search: &mut Search,
        key: Key,
        process: SocketAddr,
        limit: Duration,
    ) -> Option<Choice> {
        let knowledge = &self.gateway.knowledge;
        let demand = self.job.demand();
        let ask = place::Ask {
            prompt: demand.prompt,
            output: demand.output,
            limit_ms: limit.as_millis() as u64,
            queue_spread: knowledge.policy.queue_spread,
        };
        let (within, note) = ((ANSWERS_WITHIN, ANSWERS_AGAIN), Note::default());
        let answer =
            gossip::ask_within::<_, Answer>(knowledge, process, place::PATH, &ask, within, &note);
        let answer = answer.await;
        let now = knowledge.now();
        match answer {
            Ok(answer) => {
                let address = self.gateway.pool.borrow().get(key)?.record.address;
                let mut pool = self.gateway.pool.borrow_mut();
                pool.report(address, &answer.load, now);
                drop(pool);
                let choice = self.expects(key, now);
                if answer.given && choice.is_some() {
                    return choice;
                }
                let said = choice.map_or(Said::Nothing, |choice| Said::Later(choice.expected));
                search.heard(key, said);
            }
            Err(error) => {
                log::info!(
                    request = self.job.ask.id.as_str(), process:% = process, connection:% = note;
                    "no place: {error}"
                );
                let silent = matches!(
                    error,
                    gossip::Error::Patience(patience::Error::NoAnswer { .. })
                );
                self.gateway.pool.borrow_mut().unheard(key, silent, now);
                if silent {
                    search.silent(key);
                } else {
                    search.heard(key, Said::Nothing);
                }
            }
        }
        None
    }

    fn expects(&self, key: Key, now: Time) -> Option<Choice> {
        self.with_ask(&[], |ask| self.gateway.pool.borrow().expects(key, ask, now))
    }

    /// Where the process beside a replica is asked, and the limits that it is told; `None` if
    /// nobody there gives places, or did not answer lately.
    fn process_beside(&self, key: Key, limit: Duration) -> Option<(SocketAddr, Limits)> {
        let now = self.gateway.knowledge.now();
        let pool = self.gateway.pool.borrow();
        if !pool.gives_places(key, now) {
            return None;
        }
        let host = pool.get(key)?.record.address.ip();
        let left = limit.saturating_sub(now.since(self.job.arrived));
        let limits = self.with_ask(&[], |ask| pool.limits(key, ask, left, now))?;
        let process = SocketAddr::new(host, self.gateway.setting.sidecar_port);
        Some((process, limits))
    }
}
