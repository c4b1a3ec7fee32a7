//! Requests as an experiment: a fleet under load and faults, judged by its engines and callers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, sleep_until};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::caller::{Ask, Caller, Seen, Told};
use super::sample;
use super::spread::model;
use crate::http;
use crate::member::Role;
use crate::request::Outcome;
use crate::route::Strategy;
use crate::spread::Favour;
use crate::standin::engine;
use crate::standin::fleet::{Fleet, Setting as FleetSetting};
use crate::weight::Digest;

/// Boxes with a model engine.
const BOXES: usize = 12;

/// Boxes with a plain service.
const SERVICES: usize = 3;

/// Entries.
const ENTRIES: usize = 3;

/// Bytes of the model; the experiment is about requests.
const MODEL_BYTES: u64 = 64 << 10;

/// By how much the stand-in's timers are late on the average: they count whole milliseconds.
const TIMER: Duration = Duration::from_millis(1);

/// Tokens of each answer.
const TOKENS: u32 = 8;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(2_000);

/// Of so many requests one is a call of the plain service that may not be repeated.
const SERVICE_EVERY: u64 = 10;

/// A box that left may be sent work for so long after it announced that.
const LEAVING: Duration = Duration::from_secs(3);

/// How long the fleet may take to start.
const START_MAX: Duration = Duration::from_secs(60);

/// Longest time that the report tells apart, in microseconds.
const TIME_MAX_US: u64 = 600_000_000;

/// What happens while requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// A third of the engines are four times slower.
    Uneven,
    /// Three times the fleet's capacity is sent.
    Overload,
    /// One customer sends ten times as much as the other.
    Flood,
    /// A quarter of the boxes die.
    Kill,
    /// One engine is ten times slower.
    Slow,
    /// A quarter of the boxes leave.
    Drain,
    /// The first hall is cut off from the others and the platform.
    Partition,
    /// Every call has a key and is sent again through another entry.
    Resubmit,
    /// Every entry is replaced by a new one, one after another, in planned stops.
    Roll,
}

/// All scenarios, with their names.
pub const SCENARIOS: [(Scenario, &str); 10] = [
    (Scenario::Steady, "steady"),
    (Scenario::Uneven, "uneven"),
    (Scenario::Overload, "overload"),
    (Scenario::Flood, "flood"),
    (Scenario::Kill, "kill"),
    (Scenario::Slow, "slow"),
    (Scenario::Drain, "drain"),
    (Scenario::Partition, "partition"),
    (Scenario::Resubmit, "resubmit"),
    (Scenario::Roll, "roll"),
];

/// An experiment's settings.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// What happens.
    pub scenario: Scenario,
    /// How targets are chosen.
    pub policy: Strategy,
    /// Requests a second; `None` for half of the fleet's capacity.
    pub rate: Option<f64>,
    /// How long requests are sent.
    pub duration: Duration,
    /// Seed of prompts and faults.
    pub seed: u64,
}

/// What came of an experiment.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: Strategy,
    /// Requests a second that were meant to be sent.
    pub rate: f64,
    /// Requests a second that the engines could answer.
    pub capacity: f64,
    /// Requests sent.
    pub sent: u64,
    /// Answered whole.
    pub ran: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// With an unknown outcome.
    pub unknown: u64,
    /// Model requests answered within their deadline, over what the engines could answer in that time.
    pub goodput_ratio: f64,
    /// Median time to the end of an answer.
    pub p50_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// Median time in which a refused request was refused.
    pub refused_p50_ms: f64,
    /// 99th percentile of it.
    pub refused_p99_ms: f64,
    /// Coefficient of variation of the answers over boxes.
    pub spread_over_boxes: f64,
    /// Answers of the customer that does not flood, over its requests.
    pub modest_answered: f64,
    /// Requests that may not be repeated and ran twice.
    pub doubled: u64,
    /// Requests told as not run that ran.
    pub falsely_not_run: u64,
    /// Answers told as whole that are not.
    pub not_whole: u64,
    /// Answers with tokens of another request or version.
    pub mixed: u64,
    /// Requests that a box took later than 3 s after it announced that it leaves.
    pub late_to_leaving: u64,
    /// The sum of the last five.
    pub violations: u64,
}

/// One request and what came of it.
struct Call {
    began: Instant,
    prompt: String,
    service: bool,
    modest: bool,
    seen: Seen,
}

type Calls = Rc<RefCell<Vec<Call>>>;

/// An experiment that is under way.
struct Experiment {
    setting: Setting,
    fleet: Fleet,
    capacity: f64,
    calls: Calls,
    left: Vec<(String, Instant)>,
}

fn engine_setting() -> engine::Setting {
    engine::Setting {
        capacity: 4,
        first_token: Duration::from_millis(20),
        token_interval: Duration::from_millis(2),
        checks_fence: true,
    }
}

fn slower(setting: engine::Setting, times: u32) -> engine::Setting {
    engine::Setting {
        first_token: setting.first_token * times,
        token_interval: setting.token_interval * times,
        ..setting
    }
}

/// Requests a second that one engine can answer.
fn engine_capacity(setting: engine::Setting) -> f64 {
    let sleeps = TOKENS + 1;
    let one = setting.first_token + setting.token_interval * TOKENS + TIMER * sleeps;
    f64::from(setting.capacity) / one.as_secs_f64()
}

/// Runs an experiment.
pub async fn run(setting: Setting) -> Result<Report, http::Error> {
    let mut experiment = Experiment::start(setting).await?;
    let rate = setting.rate.unwrap_or(match setting.scenario {
        Scenario::Overload => experiment.capacity * 3.0,
        Scenario::Flood => experiment.capacity * 2.0,
        Scenario::Kill | Scenario::Drain | Scenario::Slow | Scenario::Partition => {
            experiment.capacity * 0.4
        }
        _ => experiment.capacity * 0.5,
    });
    experiment.load(rate).await?;
    Ok(experiment.report(rate))
}

impl Experiment {
    async fn start(setting: Setting) -> Result<Self, http::Error> {
        let mut fleet = Fleet::start(FleetSetting {
            seed: setting.seed,
            ..FleetSetting::default()
        })?;
        let mut capacity = 0.0;
        for index in 0..BOXES {
            let engine = match setting.scenario {
                Scenario::Uneven if index % 3 == 0 => slower(engine_setting(), 4),
                Scenario::Slow if index == 0 => slower(engine_setting(), 10),
                _ => engine_setting(),
            };
            capacity += engine_capacity(engine);
            fleet.setting.engine = engine;
            fleet.add_box(Role::Model)?;
        }
        fleet.setting.engine = engine_setting();
        for _ in 0..SERVICES {
            fleet.add_box(Role::Service(sample::SERVICE.to_owned()))?;
        }
        for entry in 0..2 * ENTRIES {
            // The second half takes over in a roll.
            fleet.add_entry(entry % ENTRIES, setting.policy)?;
        }
        fleet.list_all();
        let version = publish(&fleet, setting.seed);
        let experiment = Self {
            setting,
            fleet,
            capacity,
            calls: Calls::default(),
            left: Vec::new(),
        };
        experiment.until_served(version).await;
        Ok(experiment)
    }

    /// Waits until every box serves, and entries have heard of it.
    async fn until_served(&self, version: Digest) {
        let deadline = Instant::now() + START_MAX;
        let serves = |member: &crate::standin::fleet::Box| {
            let servable = member.probe().servable;
            member.service.is_some() || servable.iter().any(|(digest, _)| *digest == version)
        };
        while Instant::now() < deadline && !self.fleet.boxes.iter().all(serves) {
            sleep(Duration::from_millis(20)).await;
        }
        // Reports come at least once a second.
        sleep(Duration::from_millis(1_500)).await;
    }

    /// Sends requests at an even rate, whatever becomes of them, and causes the scenario's events.
    async fn load(&mut self, rate: f64) -> Result<(), http::Error> {
        let entries: Vec<String> = self.fleet.entries.iter().map(|entry| entry.url()).collect();
        let callers = [Rc::new(Caller::default()), Rc::new(Caller::new("modest"))];
        let mut rng = SmallRng::seed_from_u64(self.setting.seed);
        let began = Instant::now();
        let middle = began + self.setting.duration / 3;
        let mut happened = false;
        let mut replaced = 0;
        let mut tasks = Vec::new();
        let total = (rate * self.setting.duration.as_secs_f64()) as u64;
        for number in 0..total {
            let due = began + Duration::from_secs_f64(number as f64 / rate);
            sleep_until(due.into()).await;
            if !happened && Instant::now() >= middle {
                happened = true;
                self.happen()?;
            }
            if self.setting.scenario == Scenario::Roll {
                replaced = self.roll(began);
            }
            let active = &entries[replaced..replaced + ENTRIES];
            let modest = self.setting.scenario == Scenario::Flood && number % 11 == 0;
            let request = Outgoing {
                number,
                entry: active[rng.random_range(0..ENTRIES)].clone(),
                other: active[rng.random_range(0..ENTRIES)].clone(),
                caller: callers[usize::from(modest)].clone(),
                modest,
                keyed: self.setting.scenario == Scenario::Resubmit,
            };
            tasks.push(actix_rt::spawn(request.send(self.calls.clone())));
        }
        for task in tasks {
            let _ = task.await;
        }
        Ok(())
    }

    fn happen(&mut self) -> Result<(), http::Error> {
        match self.setting.scenario {
            Scenario::Kill => {
                for index in 0..BOXES / 4 {
                    self.fleet.boxes[index].kill();
                }
            }
            Scenario::Drain => {
                for index in 0..BOXES / 4 {
                    let member = &self.fleet.boxes[index];
                    member.drain();
                    self.left.push((member.name.to_string(), Instant::now()));
                }
            }
            Scenario::Partition => {
                self.fleet.net.set_cut(&self.fleet.setting.halls[0], true);
            }
            _ => {}
        }
        Ok(())
    }

    /// Replaces entry after entry: the balancer sends nothing more to one that announced its stop,
    /// and some time later its process is gone. Returns how many are replaced.
    fn roll(&mut self, began: Instant) -> usize {
        let step = self.setting.duration / (ENTRIES as u32 + 1);
        let passed = began.elapsed();
        let replaced = (passed.as_millis() / step.as_millis().max(1)) as usize;
        let replaced = replaced.min(ENTRIES);
        for (index, entry) in self.fleet.entries[..replaced].iter_mut().enumerate() {
            entry.drain();
            if passed > step * (index as u32 + 1) + step / 2 {
                entry.kill();
            }
        }
        replaced
    }

    fn report(&self, rate: f64) -> Report {
        let calls = self.calls.borrow();
        let mut times = Times::default();
        let mut report = Report {
            scenario: name_of(self.setting.scenario).to_owned(),
            policy: self.setting.policy,
            rate,
            capacity: self.capacity,
            sent: calls.len() as u64,
            ..Report::default()
        };
        let mut in_deadline = 0;
        for call in calls.iter() {
            let seen = &call.seen;
            match seen.outcome() {
                Outcome::Ran => report.ran += 1,
                Outcome::NotRun => report.not_run += 1,
                Outcome::Unknown => report.unknown += 1,
            }
            times.add(call);
            let timely = seen.told == Told::Whole && seen.took <= DEADLINE;
            in_deadline += u64::from(timely && !call.service);
        }
        let possible = self.capacity * self.setting.duration.as_secs_f64();
        report.goodput_ratio = in_deadline as f64 / possible;
        report.modest_answered = answered(calls.iter().filter(|call| call.modest));
        report.spread_over_boxes = variation(&calls);
        times.fill(&mut report);
        self.judge(&calls, &mut report);
        report
    }

    /// Counts what must not happen, from what engines and callers saw.
    fn judge(&self, calls: &[Call], report: &mut Report) {
        let runs = &self.fleet.runs;
        let single = calls.iter().filter(|call| call.service);
        let mut names: Vec<&str> = single
            .flat_map(|call| [call.seen.request.as_str(), call.seen.run.as_str()])
            .filter(|name| !name.is_empty())
            .collect();
        names.sort_unstable();
        names.dedup();
        report.doubled = runs.doubled_of(names.into_iter()) as u64;
        for call in calls {
            let seen = &call.seen;
            let ran = runs.count(&seen.request) > 0;
            report.falsely_not_run += u64::from(seen.outcome() == Outcome::NotRun && ran);
            let short = !call.service && seen.tokens.len() != TOKENS as usize;
            report.not_whole += u64::from(seen.told == Told::Whole && short);
            report.mixed += u64::from(!call.service && !seen.unmixed(&call.prompt));
            let late = self
                .left
                .iter()
                .any(|(name, since)| seen.served_by == *name && call.began > *since + LEAVING);
            report.late_to_leaving += u64::from(late);
        }
        report.violations = report.doubled
            + report.falsely_not_run
            + report.not_whole
            + report.mixed
            + report.late_to_leaving;
    }
}

fn name_of(scenario: Scenario) -> &'static str {
    let found = SCENARIOS.iter().find(|(known, _)| *known == scenario);
    found.map_or("", |(_, name)| name)
}

fn publish(fleet: &Fleet, seed: u64) -> Digest {
    let version = fleet.origin.add(model(MODEL_BYTES, seed), 16 << 10);
    let template = sample::template(&fleet.setting.halls, Favour::Time);
    let customer = sample::customer(version, MODEL_BYTES, BOXES);
    fleet.platform.publish(sample::TEMPLATE, Some(&template));
    fleet.platform.publish(sample::CUSTOMER, Some(&customer));
    fleet.platform.publish("customers/modest", Some(&customer));
    version
}

fn answered<'a>(calls: impl Iterator<Item = &'a Call>) -> f64 {
    let (mut all, mut whole) = (0_u32, 0_u32);
    for call in calls {
        all += 1;
        whole += u32::from(call.seen.told == Told::Whole);
    }
    f64::from(whole) / f64::from(all.max(1))
}

/// Standard deviation over mean of the answers of each box.
fn variation(calls: &[Call]) -> f64 {
    let mut boxes: BTreeMap<&str, f64> = BTreeMap::new();
    for call in calls.iter().filter(|call| !call.seen.served_by.is_empty()) {
        *boxes.entry(&call.seen.served_by).or_default() += 1.0;
    }
    let count = boxes.len().max(1) as f64;
    let mean = boxes.values().sum::<f64>() / count;
    let square = |value: &f64| (value - mean) * (value - mean);
    let variance = boxes.values().map(square).sum::<f64>() / count;
    variance.sqrt() / mean.max(1e-9)
}

/// A request about to be sent.
struct Outgoing {
    number: u64,
    entry: String,
    other: String,
    caller: Rc<Caller>,
    modest: bool,
    keyed: bool,
}

impl Outgoing {
    async fn send(self, calls: Calls) {
        let began = Instant::now();
        let prompt = format!("request {}", self.number);
        let deadline = ("x-deadline-ms", DEADLINE.as_millis().to_string());
        let service = self.keyed || self.number.is_multiple_of(SERVICE_EVERY);
        let record = |seen| Call {
            began,
            prompt: prompt.clone(),
            service,
            modest: self.modest,
            seen,
        };
        if !service {
            let ask = Ask {
                prompt: prompt.clone(),
                tokens: TOKENS,
                headers: vec![deadline],
                ..Ask::default()
            };
            let seen = self.caller.complete(&self.entry, &ask).await;
            calls.borrow_mut().push(record(seen));
            return;
        }
        let mut headers = vec![deadline];
        if self.keyed {
            let Some(key) = self.caller.key(&self.entry).await else {
                return;
            };
            headers.extend(Caller::keyed(&key));
            let seen = self.caller.call(&self.entry, &prompt, &headers).await;
            calls.borrow_mut().push(record(seen));
        }
        let seen = self.caller.call(&self.other, &prompt, &headers).await;
        calls.borrow_mut().push(record(seen));
    }
}

/// Times of answers and refusals.
struct Times {
    whole: Histogram<u64>,
    first: Histogram<u64>,
    refused: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, TIME_MAX_US, 3).expect("the bounds are in order");
        Self {
            whole: histogram(),
            first: histogram(),
            refused: histogram(),
        }
    }
}

impl Times {
    fn add(&mut self, call: &Call) {
        let micros = |duration: Duration| duration.as_micros() as u64;
        match call.seen.told {
            Told::Whole if !call.service => {
                self.whole.saturating_record(micros(call.seen.took));
                self.first.saturating_record(micros(call.seen.first));
            }
            Told::Refused(_) => self.refused.saturating_record(micros(call.seen.took)),
            _ => {}
        }
    }

    fn fill(&self, report: &mut Report) {
        let millis = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        report.p50_ms = millis(&self.whole, 0.5);
        report.p99_ms = millis(&self.whole, 0.99);
        report.first_token_p95_ms = millis(&self.first, 0.95);
        report.refused_p50_ms = millis(&self.refused, 0.5);
        report.refused_p99_ms = millis(&self.refused, 0.99);
    }
}
