//! A model of one hall: an entry, the ledgers of its sidecars and batching engines, in time that the model keeps.

pub mod kind;
pub mod late;
pub mod site;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::residency::Regions;
use pumicelatch::config::routing::Engine;
use pumicelatch::gateway::level::Levels;
use pumicelatch::lease::{self, DEFAULT_URGENCY, Ledger};
use pumicelatch::limit::admission::{self, Bounds, Input, Verdict};
use pumicelatch::limit::fair;
use pumicelatch::limit::retry::{self, Fingerprint};
use pumicelatch::limit::size::{Class, Sizes};
use pumicelatch::policy::Policy;
use pumicelatch::route::estimate::{self, Demand};
use pumicelatch::route::pool::limit::Terms;
use pumicelatch::route::pool::{Choice, Key, Pool, Query, Unavailable};
use pumicelatch::route::search::{Reply, Search, Step};
use pumicelatch::standin::batch::{Batch, Work};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use kind::{Kind, Request};
use site::{Site, address, load, pool_of};

/// When the model starts.
pub const NOW: Time = Time::from_millis(50_000);

/// Period of the swing of the load.
const SWING_PERIOD_MS: f64 = 8_000.0;

/// Share of the remaining time up to which a caller respects the retry delay, as a divisor.
const RETRY_DELAY_DIVISOR: u32 = 3;

/// What a caller has seen.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Seen {
    /// When its first event came.
    pub first_event: Option<Time>,
    pub complete: bool,
    pub refusals: u32,
    /// Where its last attempt was sent.
    pub replica: Option<usize>,
}

/// What a sidecar is told of a kind's callers, besides its name as the route.
#[derive(Clone, Copy)]
pub struct Group {
    pub customer: &'static str,
    pub hall: &'static str,
}

/// Replicas that are slow, drawn anew in each period.
#[derive(Clone, Copy, Default)]
pub struct Slow {
    pub share: f64,
    pub pace: f64,
    pub period_ms: u64,
}

/// What a model has.
#[derive(Clone)]
pub struct Setting {
    pub engine: Engine,
    pub kinds: Vec<Kind>,
    /// Pace of each replica.
    pub paces: Vec<f64>,
    /// Requests per second at usual load.
    pub per_s: f64,
    /// Fraction by which the load varies.
    pub swing: f64,
    pub duration: Duration,
    pub deadline: Duration,
    /// Whether sizes have their shares.
    pub fair: bool,
    /// Whether sidecars are told the urgencies.
    pub urgencies: bool,
    /// Whether the entry refuses what the sidecars' levels exclude.
    pub levels: bool,
    /// Whether requests wait at the entry, and their callers retry once after a refusal.
    pub retries: bool,
    /// Whether sidecars see their engines only by polls, as they do, or at any time.
    pub polled: bool,
    pub seed: u64,
}

/// An attempt at the entry.
#[derive(Clone, Copy)]
struct Attempt {
    caller: usize,
    /// When it arrived.
    arrived: Time,
    /// Whether it was judged before.
    waited: bool,
}

/// The result of a search.
struct Found {
    /// Where to send the request; `None` if no lease was granted.
    choice: Option<Choice>,
    /// The replica with the earliest first event, according to its sidecar.
    best: Option<Choice>,
    /// Limit on the first event there.
    limit: Duration,
}

struct Replica {
    pace: f64,
    ledger: Ledger,
    batch: Batch<usize>,
    /// Requests that ran and waited when the sidecar last polled its engine.
    shown: (u32, u32),
    iteration_end: Option<Time>,
}

/// One entry before replicas, in simulated time.
pub struct Hall {
    pub setting: Setting,
    site: Site,
    pool: Pool,
    /// By urgency.
    sizes: BTreeMap<u8, Sizes>,
    kinds: Vec<Arc<str>>,
    replicas: Vec<Replica>,
    pub requests: Vec<Request>,
    pub seen: Vec<Seen>,
    classes: Vec<Class>,
    levels: Levels,
    /// Attempts that were refused without asking.
    pub excluded: u32,
    /// Where each request was sent, and its number there.
    sent: BTreeMap<usize, (Key, u64)>,
    /// Attempts to be judged, by time.
    attempts: BTreeMap<Time, Vec<Attempt>>,
    /// Late service; off unless a test switches it on.
    pub late: late::Service,
    pub slow: Slow,
    /// The groups of each kind, if sidecars are told of them.
    pub groups: Vec<Group>,
    rng: SmallRng,
}

impl Hall {
    pub fn new(setting: Setting) -> Self {
        let replica = |pace: &f64| Replica {
            pace: *pace,
            ledger: Ledger::default(),
            batch: Batch::new(setting.engine.clone()),
            shown: (0, 0),
            iteration_end: None,
        };
        Self {
            site: Site {
                engine: setting.engine.clone(),
                regions: Regions::default(),
            },
            pool: pool_of(&setting.paces),
            sizes: BTreeMap::new(),
            kinds: setting.kinds.iter().map(|kind| kind.name.into()).collect(),
            replicas: setting.paces.iter().map(replica).collect(),
            requests: Vec::new(),
            seen: Vec::new(),
            classes: Vec::new(),
            levels: Levels::default(),
            excluded: 0,
            sent: BTreeMap::new(),
            attempts: BTreeMap::new(),
            late: late::Service::default(),
            slow: Slow::default(),
            groups: Vec::new(),
            rng: SmallRng::seed_from_u64(setting.seed),
            setting,
        }
    }

    /// Runs a model to its end.
    pub fn run(setting: Setting) -> Self {
        Self::new(setting).complete()
    }

    /// Runs the model to its end.
    pub fn complete(mut self) -> Self {
        for step in 0..self.setting.duration.as_millis() as u64 {
            self.step(step);
        }
        self
    }

    /// Runs the millisecond `step`.
    pub fn step(&mut self, step: u64) {
        let now = NOW + Duration::from_millis(step);
        self.draw_paces(step);
        self.iterate(now);
        if step.is_multiple_of(100) {
            self.report(now, step.is_multiple_of(500));
        }
        let per_ms = self.per_s(now) / 1_000.0;
        let rng = self.late.arrivals.as_mut().unwrap_or(&mut self.rng);
        if rng.random_bool(per_ms) {
            let request = kind::draw(rng, &self.setting.kinds, now);
            self.requests.push(request);
            self.seen.push(Seen::default());
            self.admit(
                Attempt {
                    caller: self.requests.len() - 1,
                    arrived: now,
                    waited: false,
                },
                now,
            );
        }
        while let Some(due) = self.attempts.first_entry().filter(|due| *due.key() <= now) {
            for attempt in due.remove() {
                self.admit(attempt, now);
            }
        }
        self.step_held(now);
    }

    fn draw_paces(&mut self, step: u64) {
        let slow = self.slow;
        if slow.period_ms == 0 || !step.is_multiple_of(slow.period_ms) {
            return;
        }
        for (replica, pace) in self.replicas.iter_mut().zip(&self.setting.paces) {
            let is_slow = self.rng.random_bool(slow.share);
            replica.pace = if is_slow { pace * slow.pace } else { *pace };
        }
    }

    fn per_s(&self, now: Time) -> f64 {
        let elapsed = now.since(NOW);
        let phase = elapsed.as_millis() as f64 / SWING_PERIOD_MS * std::f64::consts::TAU;
        let shares = self.setting.kinds.iter().map(|kind| kind.share_at(elapsed));
        let per_s = self.setting.per_s * shares.sum::<f64>();
        per_s * (1.0 + self.setting.swing * phase.sin())
    }

    fn report(&mut self, now: Time, to_entries: bool) {
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            let (running, queued) = (replica.batch.running(), replica.batch.queued());
            replica.ledger.observe(running + queued, now);
            replica.shown = (running, queued);
            if to_entries {
                let load = load(running, queued, replica.pace);
                self.pool.report(address(index), &load, now);
            }
        }
    }

    fn iterate(&mut self, now: Time) {
        let (requests, seen, sent) = (&self.requests, &mut self.seen, &mut self.sent);
        for replica in &mut self.replicas {
            if replica.iteration_end.is_some_and(|end| end > now) {
                continue;
            }
            if replica.iteration_end.take().is_some() {
                replica.batch.end_iteration(|work| {
                    let (key, number) = sent[&work.caller];
                    let demand = requests[work.caller].demand();
                    self.pool.record_first_event(key, number, demand, true, now);
                    let seen = &mut seen[work.caller];
                    seen.first_event.get_or_insert(now);
                    seen.complete |= work.is_complete();
                    if work.is_complete() {
                        self.pool.end(key, number);
                    }
                });
            }
            replica.batch.retain(|work| {
                let present = now < requests[work.caller].arrived + self.setting.deadline;
                if !present && let Some((key, number)) = sent.remove(&work.caller) {
                    self.pool.end(key, number);
                }
                present
            });
            let iteration = replica.batch.begin_iteration();
            replica.iteration_end = iteration.map(|time| now + time.mul_f64(replica.pace));
        }
    }

    pub fn shares(&mut self) -> impl Iterator<Item = &mut fair::Shares> {
        self.replicas
            .iter_mut()
            .map(|replica| &mut replica.ledger.shares)
    }

    pub fn replicas(&self) -> usize {
        self.replicas.len()
    }

    /// The urgency of a request, if sidecars are told.
    fn urgency(&self, request: Request) -> u8 {
        let urgency = self.setting.kinds[request.kind].urgency;
        let urgency = Some(urgency).filter(|_| self.setting.urgencies);
        urgency.unwrap_or(DEFAULT_URGENCY)
    }

    /// The limit on the first event of any kind.
    fn limit(&self) -> Duration {
        let objectives = self.setting.kinds.iter().map(|kind| kind.objective);
        objectives.min().unwrap()
    }

    fn admit(&mut self, attempt: Attempt, now: Time) {
        let caller = attempt.caller;
        let request = self.requests[caller];
        let kind = self.kinds[request.kind].clone();
        let urgency = self.urgency(request);
        let is_first = self.seen[caller].refusals == 0;
        if self.classes.len() == caller {
            let work = estimate::work(&self.site.engine, request.demand());
            let prefill = estimate::prefill(&self.site.engine, request.prompt, 1.0);
            let class = self
                .sizes
                .entry(urgency)
                .or_default()
                .classify(&kind, work, prefill, now);
            self.classes.push(class);
        }
        let class = self.classes[caller];
        let whole = self.limit();
        let late = whole * Policy::default().retry_admit_percent / 100;
        let age = attempt.arrived.since(request.arrived);
        let limit = if is_first {
            whole
        } else {
            retry::remaining_limit(whole, late, age)
        };
        if self.take_late(attempt, !is_first && limit <= late, now) {
            return;
        }
        let sizes = &self.sizes[&urgency];
        let terms = self.setting.fair.then(|| Terms {
            limit: whole,
            spent: whole - limit,
            long_prefill: sizes.long_prefill(),
            reserve: sizes.reserve(&kind, class),
        });
        if !attempt.waited && self.is_excluded(urgency, now) {
            self.excluded += 1;
            if is_first {
                let sizes = self.sizes.entry(urgency).or_default();
                sizes.record(&kind, class, false, now);
            }
            let input = self.input(attempt, None, now);
            self.refuse(caller, admission::overload_delay(input, limit), now);
            return;
        }
        let chosen = self.search(attempt, (limit, terms), now);
        let too_slow = chosen.as_ref().err() == Some(&Unavailable::TooSlow);
        let mut admitted = None;
        let mut waits = false;
        if let Ok(found) = chosen {
            admitted = found.choice;
            if admitted.is_none() && self.setting.retries {
                match self.judge(attempt, &found, now) {
                    Verdict::Send => admitted = found.best,
                    Verdict::Wait(pause) => {
                        waits = true;
                        self.wait(attempt, now + pause);
                    }
                    Verdict::Refuse { .. } if self.take_refused(caller, now) => {}
                    Verdict::Refuse { retry_after } => self.refuse(caller, retry_after, now),
                }
            }
        }
        if is_first && !waits && !too_slow {
            let sizes = self.sizes.entry(urgency).or_default();
            sizes.record(&kind, class, admitted.is_some(), now);
        }
        if let Some(choice) = admitted {
            self.send(caller, choice, now);
        }
    }

    fn send(&mut self, caller: usize, choice: Choice, now: Time) {
        let request = self.requests[caller];
        let number = self
            .pool
            .begin(choice.key, request.demand(), choice.expected, now);
        self.sent.insert(caller, (choice.key, number));
        let index = self.index(choice.key);
        self.seen[caller].replica = Some(index);
        let mut work = Work::new(request.prompt, request.output, caller);
        work.urgency = self.setting.kinds[request.kind].urgency;
        self.replicas[index].batch.push(work);
    }

    /// Whether the sidecars' levels exclude requests of `urgency`.
    fn is_excluded(&mut self, urgency: u8, now: Time) -> bool {
        let instances = self.site.query(Demand::default(), None);
        let instances = self.pool.selectable_in("hall", instances, now);
        let level = self.levels.excluding(urgency, &instances, now);
        self.setting.levels && level.is_some()
    }

    fn input(&self, attempt: Attempt, best: Option<Choice>, now: Time) -> Input {
        let arrived = self.requests[attempt.caller].arrived;
        Input {
            elapsed: now.since(attempt.arrived),
            remaining: (arrived + self.setting.deadline).since(now),
            expected: best.map(|best| best.expected),
        }
    }

    fn judge(&self, attempt: Attempt, found: &Found, now: Time) -> Verdict {
        let request = self.requests[attempt.caller];
        let input = self.input(attempt, found.best, now);
        let objective = self.setting.kinds[request.kind].objective;
        admission::evaluate(input, Bounds::new(objective, found.limit))
    }

    /// Has a request wait at the entry.
    fn wait(&mut self, attempt: Attempt, until: Time) {
        let waiting = Attempt {
            waited: true,
            ..attempt
        };
        self.attempts.entry(until).or_default().push(waiting);
    }

    /// Refuses a request. Its caller retries once.
    fn refuse(&mut self, caller: usize, retry_after: Duration, now: Time) {
        let seen = &mut self.seen[caller];
        seen.refusals += 1;
        if seen.refusals > 1 {
            return;
        }
        let deadline = self.requests[caller].arrived + self.setting.deadline;
        let arrived = now + retry_after.min(deadline.since(now) / RETRY_DELAY_DIVISOR);
        let retry = Attempt {
            caller,
            arrived,
            waited: false,
        };
        self.attempts.entry(arrived).or_default().push(retry);
    }

    fn index(&self, key: Key) -> usize {
        let ip = self.pool.get(key).unwrap().record.address.ip();
        let addresses = 0..self.replicas.len();
        addresses
            .into_iter()
            .find(|index| address(*index).ip() == ip)
            .unwrap()
    }

    /// Finds a replica as an entry does.
    fn search(
        &mut self,
        attempt: Attempt,
        (whole, terms): (Duration, Option<Terms>),
        now: Time,
    ) -> Result<Found, Unavailable> {
        let request = self.requests[attempt.caller];
        let waited = now.since(attempt.arrived);
        let mut search = Search::new(if attempt.waited { 1 } else { 3 });
        loop {
            let query = self.site.query(request.demand(), terms);
            let (taken, places) = self.pool.occupancy(query, now);
            let idle = taken * 2 < places;
            let query = Query {
                remaining: terms.filter(|_| !idle).map(|_| self.setting.deadline),
                full: search.probed(),
                ..query
            };
            let known = self.pool.choose(query, now, &mut self.rng)?;
            let (key, again) = match search.step() {
                Step::Probe if search.probed().contains(&known.key) => {
                    search.exhausted();
                    continue;
                }
                Step::Probe => (known.key, false),
                Step::Retry(key) => (key, true),
                Step::Decide => {
                    let best = search.best();
                    let at = best.map(|(_, key)| self.pool.first_event_limit(key, query, now));
                    return Ok(Found {
                        choice: idle.then_some(known),
                        best: best.map(|(expected, key)| Choice {
                            key,
                            expected,
                            ..known
                        }),
                        limit: at.flatten().unwrap_or(whole),
                    });
                }
            };
            let limit = self.pool.first_event_limit(key, query, now);
            let limit = limit.unwrap_or(whole).saturating_sub(waited);
            let limits = self.pool.limits(key, query, limit, now).unwrap();
            let at = if again {
                limits.queued
            } else {
                limits.immediate
            };
            let first = search.probed().is_empty() && !attempt.waited;
            let first = first && self.seen[attempt.caller].refusals == 0;
            let at = (at, limits.queued);
            let answer = self.ask(request, key, at, first, now);
            let expected = Duration::from_millis(answer.expected_ms.unwrap());
            if answer.given {
                return Ok(Found {
                    choice: Some(Choice { key, ..known }),
                    best: None,
                    limit,
                });
            }
            search.record(key, Reply::Queued { expected, limit });
        }
    }

    /// Asks the sidecar of `key` for a lease.
    fn ask(
        &mut self,
        request: Request,
        key: Key,
        (at, whole): (Duration, Duration),
        first: bool,
        now: Time,
    ) -> lease::Response {
        let kind = &self.setting.kinds[request.kind];
        let urgency = self.urgency(request);
        let group = self.groups.get(request.kind);
        let message = lease::Request {
            prompt: request.prompt,
            output: request.demand().output,
            limit_ms: at.as_millis() as u64,
            whole_ms: whole.as_millis() as u64,
            first,
            queue_spread: Policy::default().queue_spread,
            urgency,
            request: Some(Fingerprint::of([&request.arrived.0.to_le_bytes()[..]])),
            route: fair::group(group.map(|_| kind.name)),
            customer: fair::group(group.map(|group| group.customer)),
            hall: fair::group(group.map(|group| group.hall)),
            ..lease::Request::default()
        };
        let index = self.index(key);
        let replica = &mut self.replicas[index];
        let (mut running, mut queued) = (replica.batch.running(), replica.batch.queued());
        if self.setting.polled {
            (running, queued) = replica.shown;
        }
        let load = load(running, queued, replica.pace);
        let answer = replica
            .ledger
            .answer(&message, load, Some(&self.site.engine), now);
        let instance = self.pool.get(key).unwrap().record.instance();
        self.levels.record(instance, answer.level, now);
        answer
    }
}
