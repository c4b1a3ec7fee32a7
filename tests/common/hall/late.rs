//! Late service in the model: queues of held requests, one an entry.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::lease;
use pumicelatch::limit::admission;
use pumicelatch::limit::late::{Capacity, Place, Queue, Step, Waiting, retry_after};
use pumicelatch::policy::Policy;
use pumicelatch::route::estimate::{self, Backlog};
use pumicelatch::route::pool::{Choice, Key, Query};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::kind::Request;
use super::site::{address, load};
use super::{Attempt, Hall};

/// Sidecars that the head of a queue asks each time.
const LEASE_REQUESTS: usize = 2;

/// Time after a restart in which the arrival of weights is not known yet: two reports of progress.
const PROGRESS_UNKNOWN: Duration = Duration::from_millis(1_000);

/// A request that an entry holds.
struct Held {
    caller: usize,
    entry: usize,
    place: Place,
    since: Time,
    /// When it is evaluated again.
    due: Time,
}

/// A request that was held and then refused.
#[derive(Clone, Copy)]
pub struct GivenUp {
    pub held: Duration,
    /// Time that its caller had left when it was held.
    pub left: Duration,
}

/// Late service.
#[derive(Default)]
pub struct Service {
    pub on: bool,
    /// Until when no replica has weights, if the model starts without.
    pub weights_at: Option<Time>,
    /// Draws the requests, so that they are the same with and without late service.
    pub arrivals: Option<SmallRng>,
    queues: Vec<Queue>,
    held: Vec<Held>,
    pub given_up: Vec<GivenUp>,
    pub held_count: usize,
}

impl Service {
    /// Late service at so many entries.
    pub fn at(entries: usize, on: bool, seed: u64) -> Self {
        Self {
            arrivals: Some(SmallRng::seed_from_u64(seed)),
            on,
            queues: (0..entries).map(|_| Queue::default()).collect(),
            ..Self::default()
        }
    }

    fn lacks_weights(&self, now: Time) -> bool {
        self.weights_at.is_some_and(|at| now < at)
    }

    fn capacity(&self, now: Time) -> Capacity {
        match self.weights_at {
            Some(at) if now < super::NOW + PROGRESS_UNKNOWN => {
                debug_assert!(now < at);
                Capacity::Arriving(None)
            }
            Some(at) if now < at => Capacity::Arriving(Some(at.since(now))),
            _ => Capacity::Present,
        }
    }
}

impl Hall {
    /// Takes an attempt that late service decides on, or that finds no replica with weights. Returns
    /// whether it did.
    pub(super) fn take_late(&mut self, attempt: Attempt, is_late: bool, now: Time) -> bool {
        let is_first = self.seen[attempt.caller].refusals == 0;
        if self.late.on && !is_first && (is_late || self.late.lacks_weights(now)) {
            self.hold(attempt.caller, now);
            return true;
        }
        if !self.late.lacks_weights(now) {
            return false;
        }
        let arrival = match self.late.capacity(now) {
            Capacity::Arriving(arrival) => arrival,
            _ => None,
        };
        let remaining = self.remaining(attempt.caller, now);
        let delay = admission::retry_after(arrival, remaining, self.rng.random_range(0.0..1.0));
        self.refuse(attempt.caller, delay, now);
        true
    }

    /// Takes an attempt that was not admitted. Returns whether it did.
    pub(super) fn take_refused(&mut self, caller: usize, now: Time) -> bool {
        if !self.late.on {
            return false;
        }
        if self.seen[caller].refusals > 0 {
            self.hold(caller, now);
            return true;
        }
        let entry = self.entry_of(caller);
        self.late.queues[entry].refused(now);
        let expected = self.late.queues[entry].expected_last(now);
        let spread = self.rng.random_range(0.0..1.0);
        let delay = retry_after(expected, self.remaining(caller, now), spread);
        self.refuse(caller, delay, now);
        true
    }

    fn remaining(&self, caller: usize, now: Time) -> Duration {
        (self.requests[caller].arrived + self.setting.deadline).since(now)
    }

    /// The entry that a caller's retry reaches.
    fn entry_of(&self, caller: usize) -> usize {
        caller % self.late.queues.len()
    }

    fn hold(&mut self, caller: usize, now: Time) {
        let request = self.requests[caller];
        let engine = &self.site.engine;
        let backlog = Backlog {
            requests: engine.slots / 2,
            prompt_tokens: 0.0,
            pace: 1.0,
        };
        let waiting = Waiting {
            urgency: self.setting.kinds[request.kind].urgency,
            deadline: request.arrived + self.setting.deadline,
            response: estimate::first_event(engine, backlog, request.demand(), 0)
                + estimate::decode(engine, backlog, request.demand()),
            since: now,
            slots: engine.slots * self.replicas.len() as u32 / self.late.queues.len() as u32,
        };
        let entry = self.entry_of(caller);
        let queue = &mut self.late.queues[entry];
        let count = queue.len();
        let Some(place) = queue.enter(waiting, count) else {
            self.refuse(caller, Duration::ZERO, now);
            return;
        };
        self.late.held_count += 1;
        self.late.held.push(Held {
            caller,
            entry,
            place,
            since: now,
            due: now,
        });
    }

    /// Evaluates the held requests that are due.
    pub(super) fn step_held(&mut self, now: Time) {
        let mut index = 0;
        while index < self.late.held.len() {
            let Held {
                caller,
                entry,
                place,
                due,
                ..
            } = self.late.held[index];
            if due > now {
                index += 1;
                continue;
            }
            let capacity = self.late.capacity(now);
            match self.late.queues[entry].step(place, capacity, now) {
                Step::Wait(time) => {
                    self.late.held[index].due = now + time;
                    index += 1;
                }
                Step::GiveUp => {
                    let held = self.late.held.remove(index);
                    self.give_up(&held, now);
                    self.wake_head(entry, now);
                    index = 0;
                }
                Step::Ask => {
                    let choice = self.ask_late(self.requests[caller], now);
                    self.late.queues[entry].asked(place, choice.is_some(), now);
                    let Some(choice) = choice else { continue };
                    self.late.held.remove(index);
                    self.send(caller, choice, now);
                    self.wake_head(entry, now);
                    index = 0;
                }
            }
        }
    }

    fn wake_head(&mut self, entry: usize, now: Time) {
        let head = self.late.queues[entry].head();
        let held = self.late.held.iter_mut();
        for held in held.filter(|held| held.entry == entry && Some(held.place) == head) {
            held.due = now;
        }
    }

    fn give_up(&mut self, held: &Held, now: Time) {
        self.late.queues[held.entry].leave(held.place);
        self.late.given_up.push(GivenUp {
            held: now.since(held.since),
            left: self.remaining(held.caller, held.since),
        });
        self.refuse(held.caller, Duration::ZERO, now);
    }

    /// Asks sidecars for a late lease.
    fn ask_late(&mut self, request: Request, now: Time) -> Option<Choice> {
        let mut asked: Vec<Key> = Vec::new();
        while asked.len() < LEASE_REQUESTS {
            let query = Query {
                full: &asked,
                ..self.site.query(request.demand(), None)
            };
            let choice = self.pool.choose(query, now, &mut self.rng).ok()?;
            if asked.contains(&choice.key) {
                return None;
            }
            let message = lease::Request {
                prompt: request.prompt,
                output: request.demand().output,
                queue_spread: Policy::default().queue_spread,
                urgency: self.setting.kinds[request.kind].urgency,
                late: true,
                ..lease::Request::default()
            };
            let index = self.index(choice.key);
            let replica = &mut self.replicas[index];
            let (running, queued) = (replica.batch.running(), replica.batch.queued());
            replica.ledger.observe(running + queued, now);
            let load = load(running, queued, replica.pace);
            let engine = Some(&self.site.engine);
            let answer = replica.ledger.answer(&message, load, engine, now);
            self.pool.report(address(index), &answer.load, now);
            if answer.given {
                return Some(choice);
            }
            asked.push(choice.key);
        }
        None
    }
}
