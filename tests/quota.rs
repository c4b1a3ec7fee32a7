//! Quotas of replicas over many entries, in simulated time.
//!
//! The entries use the real membership table, shares, meters and quotas. The network between them,
//! the callers and one replica without a sidecar are a model: messages are delayed or lost, and
//! entries start, end, stop for a while and are cut off from each other while all of them still
//! reach the replica.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::member::peer::{Advertisement, Peers};
use pumicelatch::member::replica::Instance;
use pumicelatch::member::share::{self, History, Located};
use pumicelatch::route::meter::{Gate, Meter};
use pumicelatch::route::quota::{
    Change, InstanceReport, Quota, Rate, Registry, Report, Statement, Teller,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const START: Time = Time::from_millis(3_600_000);

/// Time after the first statement from which on the quota has to be kept.
const CONTACT: Duration = Duration::from_secs(3);

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Interval at which entries observe which others are alive.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between heartbeats to two entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between messages of the first entry of a hall to all others of it.
const FRAME_INTERVAL: Duration = Duration::from_millis(500);

/// Time from an entry's start until it takes requests though it has heard of no other entry.
const READY_MAX: Duration = Duration::from_millis(1_500);

/// Time after which an entry gives up asking for a grant.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Hold-off after a process that does not count or does not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest delay before others are notified of a change.
const SHARE_DELAY_MS: u64 = 100;

/// Seeds of days with trouble.
const SEEDS: u64 = 60;

/// Further seeds that earlier versions exceeded a quota with. Entries counted that had started
/// behind a cut and knew few others, or none; others took them for ended, as they had refused
/// connections before. Two parts of the fleet each had a burst.
const FAILED_SEEDS: [u64; 8] = [230, 392, 409, 509, 615, 722, 779, 1191];

const HALLS: [&str; 3] = ["a", "b", "c"];

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn rate(per_s: f64) -> Rate {
    Rate::new(per_s).unwrap()
}

fn instance() -> Instance {
    Instance {
        id: "i-1".into(),
        born: 1,
    }
}

fn address(entry: usize) -> SocketAddr {
    let [.., high, low] = (entry as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 80))
}

fn hall(entry: usize) -> Arc<str> {
    HALLS[entry % HALLS.len()].into()
}

/// One run of an entry's process.
struct Process {
    life: u32,
    peers: Peers,
    history: History,
    quotas: Registry,
    meter: Meter,
    held_until: Time,
    began: Time,
    seeds: Vec<SocketAddr>,
}

#[derive(Clone)]
enum Message {
    Heartbeat {
        from: usize,
        peers: Vec<Advertisement>,
        quotas: Vec<InstanceReport>,
        wants_answer: bool,
    },
    Ask {
        from: usize,
        number: u64,
        quota: Option<Report>,
    },
    Answer {
        number: u64,
        wait: Option<Duration>,
    },
    Response {
        sent_at: Time,
        statement: Statement,
    },
}

#[derive(Clone)]
enum Event {
    /// A caller's request.
    Request,
    Arrival {
        from: usize,
        sent_at: Time,
    },
    Message {
        to: usize,
        message: Message,
    },
    AnswerTimeout {
        entry: usize,
        number: u64,
    },
    Observe {
        entry: usize,
        life: u32,
    },
    Heartbeat {
        entry: usize,
        life: u32,
    },
    Frame {
        entry: usize,
        life: u32,
    },
    Share {
        entry: usize,
        life: u32,
    },
    Kill(usize),
    Start(usize),
    Freeze(usize, Duration),
    Cut(Vec<usize>),
}

/// A number of entries before one replica.
#[derive(Debug, Clone)]
struct Setting {
    entries: usize,
    per_s: f64,
    /// Callers' requests per second.
    demand: f64,
    /// Whether one entry gets nine in ten of them.
    skewed: bool,
    trouble: bool,
    seconds: u64,
    /// Whether entries keep the quota each by itself, in equal parts that are not safe.
    broken: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            entries: 4,
            per_s: 2.0,
            demand: 30.0,
            skewed: false,
            trouble: false,
            seconds: 40,
            broken: false,
        }
    }
}

struct Model {
    setting: Setting,
    rng: SmallRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    contents: BTreeMap<u64, Event>,
    next_number: u64,
    processes: Vec<Option<Process>>,
    lives: Vec<u32>,
    frozen_until: Vec<Time>,
    islands: Vec<usize>,
    pending: BTreeMap<u64, usize>,
    arrivals: Vec<Time>,
    first_statement: Option<Time>,
    /// When entries last started, ended or were cut off.
    disturbed_at: Time,
}

impl Model {
    fn new(setting: Setting, seed: u64) -> Self {
        let entries = setting.entries;
        let mut model = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            events: BinaryHeap::new(),
            contents: BTreeMap::new(),
            next_number: 0,
            processes: (0..entries).map(|_| None).collect(),
            lives: vec![0; entries],
            frozen_until: vec![Time::default(); entries],
            islands: vec![0; entries],
            pending: BTreeMap::new(),
            arrivals: Vec::new(),
            first_statement: None,
            disturbed_at: START,
            setting,
        };
        // A fifth of the entries of a day with trouble is added during it.
        for entry in 0..entries {
            let late = model.setting.trouble && entry > 1 && model.rng.random_ratio(1, 5);
            let at = if late {
                model.rng.random_range(5_000..25_000)
            } else {
                model.rng.random_range(0..300)
            };
            model.at(after(at), Event::Start(entry));
        }
        model.at(after(6_000), Event::Request);
        if model.setting.trouble {
            model.plan_trouble();
        }
        model
    }

    fn plan_trouble(&mut self) {
        let entries = self.setting.entries;
        for _ in 0..self.rng.random_range(2..7) {
            let at = after(self.rng.random_range(4_000..28_000));
            let entry = self.rng.random_range(0..entries);
            match self.rng.random_range(0..5) {
                0 | 1 => {
                    self.at(at, Event::Kill(entry));
                    let back = at + millis(self.rng.random_range(300..9_000));
                    self.at(back, Event::Start(entry));
                }
                2 => {
                    let time = millis(self.rng.random_range(500..9_000));
                    self.at(at, Event::Freeze(entry, time));
                }
                3 => {
                    let parts = self.rng.random_range(2..4);
                    let islands = (0..entries).map(|_| self.rng.random_range(0..parts));
                    let islands = islands.collect();
                    self.cut(at, islands);
                }
                _ => {
                    let alone = (0..entries).map(|other| usize::from(other == entry));
                    let islands = alone.collect();
                    self.cut(at, islands);
                }
            }
        }
    }

    fn cut(&mut self, at: Time, islands: Vec<usize>) {
        self.at(at, Event::Cut(islands));
        let healed = at + millis(self.rng.random_range(1_000..18_000));
        self.at(healed, Event::Cut(vec![0; self.setting.entries]));
    }

    fn at(&mut self, at: Time, event: Event) {
        self.next_number += 1;
        self.events.push(Reverse((at, self.next_number)));
        self.contents.insert(self.next_number, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Delay of a message: mostly a few milliseconds.
    fn delay(&mut self) -> Duration {
        let slow = self.rng.random_ratio(1, 20);
        let micros = if slow { 1_000..60_000 } else { 200..5_000 };
        Duration::from_micros(self.rng.random_range(micros))
    }

    /// Sends a message, which may be lost.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.islands[from] != self.islands[to] || self.rng.random_ratio(1, 200) {
            return;
        }
        let delay = self.delay();
        self.after(delay, Event::Message { to, message });
    }

    fn index(&self, address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else {
            unreachable!("entries have IPv4 addresses");
        };
        let [.., high, low] = address.ip().octets();
        usize::from(high) << 8 | usize::from(low)
    }

    fn run(mut self) -> Self {
        let end = after(self.setting.seconds * 1_000);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.contents.remove(&number).unwrap();
            if let Some(entry) = entry_of(&event)
                && self.frozen_until[entry] > at
            {
                let until = self.frozen_until[entry];
                self.at(until, event);
                continue;
            }
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::Arrival { from, sent_at } => self.arrival(from, sent_at),
            Event::Message { to, message } => self.receive(to, message),
            Event::AnswerTimeout { entry, number } => {
                if self.pending.remove(&number).is_some()
                    && let Some(process) = &mut self.processes[entry]
                {
                    process.held_until = self.now + RETRY_DELAY;
                }
            }
            Event::Observe { entry, life } => self.observe(entry, life),
            Event::Heartbeat { entry, life } => self.heartbeat(entry, life),
            Event::Frame { entry, life } => self.frame(entry, life),
            Event::Share { entry, life } => self.share(entry, life),
            Event::Kill(entry) => {
                self.processes[entry] = None;
                self.disturbed_at = self.now;
            }
            Event::Start(entry) => self.start(entry),
            Event::Freeze(entry, time) => {
                self.frozen_until[entry] = self.now + time;
                self.disturbed_at = self.now + time;
            }
            Event::Cut(islands) => {
                self.islands = islands;
                self.disturbed_at = self.now;
            }
        }
    }

    fn start(&mut self, entry: usize) {
        if self.processes[entry].is_some() {
            return;
        }
        self.lives[entry] += 1;
        self.disturbed_at = self.now;
        let life = self.lives[entry];
        let seeds = (0..self.setting.entries.min(3)).filter(|seed| *seed != entry);
        self.processes[entry] = Some(Process {
            life,
            peers: Peers::new(Some(address(entry))),
            history: History::new(address(entry)),
            quotas: Registry::default(),
            meter: Meter::default(),
            held_until: Time::default(),
            began: self.now,
            seeds: seeds.map(address).collect(),
        });
        for event in [
            Event::Observe { entry, life },
            Event::Heartbeat { entry, life },
            Event::Frame { entry, life },
        ] {
            self.after(millis(1), event);
        }
    }

    fn process(&self, entry: usize, life: u32) -> Option<&Process> {
        let process = self.processes[entry].as_ref();
        process.filter(|process| process.life == life)
    }

    fn alive(&self, entry: usize) -> Vec<Located> {
        let process = self.processes[entry].as_ref().unwrap();
        let others = process.peers.alive(self.now);
        let mut alive: Vec<Located> = others
            .map(|(address, hall)| (address, hall.clone()))
            .collect();
        alive.push((address(entry), hall(entry)));
        alive.sort_unstable();
        alive
    }

    fn observe(&mut self, entry: usize, life: u32) {
        if self.process(entry, life).is_none() {
            return;
        }
        let now = self.now;
        let alive = self.alive(entry);
        let process = self.processes[entry].as_ref().unwrap();
        let age = now.since(process.began);
        let missing = process.peers.missing_of(&process.seeds, age, now);
        // A connection is refused where no process runs, unless it is behind a cut.
        let probes = self.rng.random_ratio(1, 5);
        let process = self.processes[entry].as_ref().unwrap();
        let mut refused = process.peers.silent(now);
        refused.retain(|silent| {
            let other = self.index(*silent);
            let runs = self.processes[other].is_some();
            probes && !runs && self.islands[other] == self.islands[entry]
        });
        let process = self.processes[entry].as_mut().unwrap();
        process.history.observe(alive, missing, now);
        for address in refused {
            process.peers.mark_refused(address, now);
        }
        process.peers.remove_expired(now);
        self.after(OBSERVE_INTERVAL, Event::Observe { entry, life });
    }

    fn message(&self, entry: usize, wants_answer: bool) -> Message {
        let process = self.processes[entry].as_ref().unwrap();
        Message::Heartbeat {
            from: entry,
            peers: process.peers.advertise(self.now),
            quotas: process.quotas.reports(self.now),
            wants_answer,
        }
    }

    fn heartbeat(&mut self, entry: usize, life: u32) {
        let Some(process) = self.process(entry, life) else {
            return;
        };
        let young = self.now.since(process.began) < Duration::from_secs(3);
        let (seeds, alive) = (process.seeds.clone(), self.alive(entry));
        let mut targets: Vec<usize> = alive
            .sample(&mut self.rng, 2)
            .map(|(address, _)| *address)
            .collect::<Vec<_>>()
            .into_iter()
            .map(|address| self.index(address))
            .collect();
        if young || self.rng.random_ratio(1, 3) {
            targets.extend(seeds.iter().map(|seed| self.index(*seed)));
        }
        targets.retain(|target| *target != entry);
        let message = self.message(entry, true);
        for target in targets {
            self.send(entry, target, message.clone());
        }
        let pause = if young {
            HEARTBEAT_INTERVAL / 8
        } else {
            HEARTBEAT_INTERVAL
        };
        self.after(pause, Event::Heartbeat { entry, life });
    }

    fn frame(&mut self, entry: usize, life: u32) {
        if self.process(entry, life).is_none() {
            return;
        }
        let local = self.alive(entry);
        let local: Vec<SocketAddr> = local
            .into_iter()
            .filter(|(_, at)| *at == hall(entry))
            .map(|(address, _)| address)
            .collect();
        if local.iter().min() == Some(&address(entry)) {
            let message = self.message(entry, false);
            for other in local {
                let other = self.index(other);
                if other != entry {
                    self.send(entry, other, message.clone());
                }
            }
        }
        self.after(FRAME_INTERVAL, Event::Frame { entry, life });
    }

    fn share(&mut self, entry: usize, life: u32) {
        let unshared = self
            .process(entry, life)
            .is_some_and(|process| process.quotas.has_unshared());
        if !unshared {
            return;
        }
        let process = self.processes[entry].as_mut().unwrap();
        process.quotas.mark_shared();
        let message = self.message(entry, false);
        for (other, _) in self.alive(entry) {
            let other = self.index(other);
            if other != entry {
                self.send(entry, other, message.clone());
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.now;
        let Some(process) = &mut self.processes[to] else {
            if let Message::Ask { number, .. } = message {
                // The connection is refused.
                if let Some(entry) = self.pending.remove(&number)
                    && let Some(process) = &mut self.processes[entry]
                {
                    process.held_until = now + RETRY_DELAY;
                }
            }
            return;
        };
        match message {
            Message::Heartbeat {
                from,
                peers,
                quotas,
                wants_answer,
            } => {
                process.peers.observe(address(from), &hall(from), now);
                process.peers.merge(&peers, now);
                for told in quotas {
                    process
                        .quotas
                        .merge(&told.instance, told.report, Teller::Entry, now);
                }
                if wants_answer {
                    let answer = self.message(to, false);
                    self.send(to, from, answer);
                }
            }
            Message::Ask {
                from,
                number,
                quota,
            } => {
                if let Some(report) = quota {
                    let teller = Teller::Entry;
                    process.quotas.merge(&instance(), report, teller, now);
                }
                let wait = self.grant(to).err();
                self.send(to, from, Message::Answer { number, wait });
            }
            Message::Answer { number, wait } => {
                if self.pending.remove(&number).is_none() {
                    return;
                }
                match wait {
                    None => self.forward(to),
                    Some(wait) => process.held_until = now + wait,
                }
            }
            Message::Response { sent_at, statement } => {
                let change = process.quotas.record(&instance(), statement, sent_at, now);
                if change.is_some() {
                    let life = process.life;
                    let delay = millis(self.rng.random_range(0..SHARE_DELAY_MS));
                    self.after(delay, Event::Share { entry: to, life });
                }
            }
        }
    }

    /// Takes a grant from the meter of `entry`.
    fn grant(&mut self, entry: usize) -> Result<(), Duration> {
        let now = self.now;
        let broken = self.setting.broken;
        let process = self.processes[entry].as_mut().unwrap();
        let Some(per_s) = process.quotas.get(&instance()).per_s(now) else {
            return Ok(());
        };
        let share = if broken {
            1.0
        } else {
            process.history.share("i-1", HALLS[0], now)
        };
        if share == 0.0 {
            process.meter = Meter::default();
            return Err(RETRY_DELAY);
        }
        process.meter.take(1, per_s * share, now)
    }

    fn forward(&mut self, entry: usize) {
        let (delay, sent_at) = (self.delay(), self.now);
        self.after(
            delay,
            Event::Arrival {
                from: entry,
                sent_at,
            },
        );
    }

    fn request(&mut self) {
        let gap = -self.rng.random_range(0.001_f64..1.0).ln() / self.setting.demand;
        self.after(Duration::from_secs_f64(gap), Event::Request);
        let entries = self.setting.entries;
        let entry = if self.setting.skewed && self.rng.random_ratio(9, 10) {
            entries / 2
        } else {
            self.rng.random_range(0..entries)
        };
        if self.frozen_until[entry] > self.now {
            return;
        }
        let Some(process) = &self.processes[entry] else {
            return;
        };
        // An entry is ready once it has the configuration, which others send with the quotas.
        let young = self.now.since(process.began) < READY_MAX;
        if young && process.peers.is_empty() {
            return;
        }
        let quota = process.quotas.get(&instance());
        if quota.per_s(self.now).is_none() {
            return self.forward(entry);
        }
        if process.held_until > self.now {
            return;
        }
        let report = quota.report(self.now);
        let counter = share::counter(&self.alive(entry), "i-1", HALLS[0]).unwrap();
        let counter = self.index(counter);
        if counter == entry || self.setting.broken {
            match self.grant(entry) {
                Ok(()) => self.forward(entry),
                Err(wait) => {
                    let process = self.processes[entry].as_mut().unwrap();
                    process.held_until = self.now + wait;
                }
            }
            return;
        }
        self.next_number += 1;
        let number = self.next_number;
        self.pending.insert(number, entry);
        self.send(
            entry,
            counter,
            Message::Ask {
                from: entry,
                number,
                quota: report,
            },
        );
        self.after(ANSWER_TIMEOUT, Event::AnswerTimeout { entry, number });
    }

    fn arrival(&mut self, from: usize, sent_at: Time) {
        // A process that has just started cannot keep a quota that nobody has told it yet.
        let told = self.processes[from].as_ref().is_none_or(|process| {
            let quota = process.quotas.get(&instance());
            quota.stated().is_some() || self.now.since(process.began) > CONTACT
        });
        if told || self.first_statement.is_none() {
            self.arrivals.push(self.now);
        }
        let answered = self.now + millis(self.rng.random_range(5..80));
        self.first_statement.get_or_insert(answered);
        let message = Message::Response {
            sent_at,
            statement: Statement::Quota(rate(self.setting.per_s)),
        };
        self.at(answered, Event::Message { to: from, message });
    }

    /// The most arrivals within [`WINDOW`], later than [`CONTACT`] after the first statement.
    fn most(&self) -> usize {
        let from = self.first_statement.unwrap() + CONTACT;
        let later: Vec<Time> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |(index, first): (usize, &Time)| {
            later[index..].partition_point(|at| at.since(*first) < WINDOW)
        };
        later.iter().enumerate().map(within).max().unwrap_or(0)
    }

    fn arrived_since(&self, since: Time) -> usize {
        self.arrivals.iter().filter(|at| **at >= since).count()
    }

    fn allowed(&self) -> usize {
        (self.setting.per_s * WINDOW.as_secs_f64() * 1.1 + 3.0) as usize
    }
}

/// The entry that handles an event, unless it is frozen.
fn entry_of(event: &Event) -> Option<usize> {
    match event {
        Event::Message { to, .. } => Some(*to),
        Event::AnswerTimeout { entry, .. }
        | Event::Observe { entry, .. }
        | Event::Heartbeat { entry, .. }
        | Event::Frame { entry, .. }
        | Event::Share { entry, .. } => Some(*entry),
        _ => None,
    }
}

/// The setting of a seed: up to 150 entries, quotas from one request in two seconds to forty a
/// second.
fn drawn(seed: u64, trouble: bool) -> Setting {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entries = *[2, 3, 4, 7, 12, 30, 150].choose(&mut rng).unwrap();
    let per_s = *[0.5, 1.5, 2.0, 5.0, 12.0, 40.0].choose(&mut rng).unwrap();
    Setting {
        entries,
        per_s,
        demand: (per_s * 4.0).max(20.0),
        skewed: rng.random_ratio(1, 3),
        trouble,
        ..Setting::default()
    }
}

/// Guards against entries that together send more than a quota while they start, end, freeze, and
/// are cut off from each other.
#[test]
fn a_quota_is_kept_by_all_entries_together_in_any_trouble() {
    for seed in (0..SEEDS).chain(FAILED_SEEDS) {
        let setting = drawn(seed, true);
        let model = Model::new(setting.clone(), seed).run();
        let (most, allowed) = (model.most(), model.allowed());
        assert!(
            most <= allowed,
            "{most} of {allowed}, seed {seed}, {setting:?}"
        );
    }
}

/// Guards against a quota that is kept because hardly any of it is used.
#[test]
fn four_fifths_of_a_quota_are_used_by_any_number_of_entries() {
    for seed in 0..40 {
        let setting = drawn(seed, false);
        let model = Model::new(setting.clone(), seed).run();
        let (most, allowed) = (model.most(), model.allowed());
        assert!(
            most <= allowed,
            "{most} of {allowed}, seed {seed}, {setting:?}"
        );
        let used = model.arrived_since(after(12_000)) as f64;
        let wanted = setting.per_s * (setting.seconds - 12) as f64 * 0.8;
        assert!(
            used >= wanted,
            "{used} of {wanted}, seed {seed}, {setting:?}"
        );
    }
}

/// Shows that the model finds entries that count each for itself.
#[test]
fn the_model_finds_entries_that_each_keep_the_quota_alone() {
    let exceeded = (0..10).filter(|seed| {
        let setting = Setting {
            broken: true,
            ..Setting::default()
        };
        let model = Model::new(setting, *seed).run();
        model.most() > model.allowed()
    });
    assert_eq!(exceeded.count(), 10);
}

/// A quota of 2 requests per second, stated at 1 s.
fn stated() -> Quota {
    let mut quota = Quota::default();
    let change = quota.record(Statement::Quota(rate(2.0)), after(900), after(1_000));
    assert_eq!(change, Some(Change::Stated(rate(2.0))));
    quota
}

/// Guards against the response to an older request that ends a quota.
#[test]
fn only_a_response_to_a_request_sent_under_the_quota_ends_it() {
    let mut quota = stated();
    let older = quota.record(Statement::Absent, after(999), after(1_500));
    assert_eq!((older, quota.stated()), (None, Some(rate(2.0))));
    let later = quota.record(Statement::Absent, after(1_000), after(1_600));
    assert_eq!(later, Some(Change::Ended(rate(2.0))));
    assert_eq!(quota.stated(), None);
}

/// Guards against a header that cannot be read being taken for the end of a quota.
#[test]
fn a_malformed_statement_neither_states_nor_ends_a_quota() {
    let mut quota = stated();
    let malformed =
        |quota: &mut Quota| quota.record(Statement::Malformed, after(2_000), after(2_100));
    assert_eq!(malformed(&mut quota), Some(Change::Malformed));
    assert_eq!(malformed(&mut quota), None, "one line is enough");
    assert_eq!(quota.stated(), Some(rate(2.0)));
    let mut none = Quota::default();
    malformed(&mut none);
    assert_eq!(none.per_s(after(2_100)), None);
}

/// Guards against all processes turning to a replica at once when its quota ends.
#[test]
fn the_rate_rises_for_two_seconds_after_the_end_of_a_quota() {
    let mut quota = stated();
    quota.record(Statement::Absent, after(2_000), after(2_000));
    let rates = [2_000, 2_400, 2_800, 3_600].map(|at| quota.per_s(after(at)).unwrap());
    assert_eq!(rates, [2.0, 4.0, 8.0, 32.0]);
    assert_eq!(quota.per_s(after(4_000)), None);
}

/// Guards against a replica that is never asked again, so that its quota cannot end.
#[test]
fn a_quota_of_nothing_leaves_trial_requests() {
    let mut quota = Quota::default();
    quota.record(Statement::Quota(rate(0.0)), START, START);
    let per_s = quota.per_s(START).unwrap();
    let mut meter = Meter::default();
    let taken = (0..1_000).filter(|second| {
        let now = START + Duration::from_secs(*second);
        meter.take(0, per_s, now).is_ok()
    });
    let taken = taken.count();
    assert!((150..=205).contains(&taken), "{taken} in 1,000 s");
}

/// Guards against an old end of a quota that undoes what is known from a later response.
#[test]
fn what_others_report_is_ordered_by_its_age() {
    let mut quota = stated();
    let ended = |sent_age_ms| Report {
        rate: rate(2.0),
        ended: true,
        age_ms: 0,
        sent_age_ms,
    };
    assert_eq!(quota.merge(ended(1_500), after(2_000)), None);
    let change = quota.merge(ended(100), after(2_000));
    assert_eq!(change, Some(Change::Ended(rate(2.0))));
    let old = Report {
        rate: rate(2.0),
        ended: false,
        age_ms: 1_500,
        sent_age_ms: 1_500,
    };
    assert_eq!(quota.merge(old, after(2_100)), None);
    let new = Report { age_ms: 0, ..old };
    let change = quota.merge(new, after(3_000));
    assert_eq!(change, Some(Change::Stated(rate(2.0))));
}

/// Grants in 200 s to each of `urgencies`, of which each asks so many times a second.
fn grants(per_s: f64, urgencies: &[(u8, u64)]) -> Vec<usize> {
    let mut meter = Meter::default();
    let mut asks: Vec<(u64, usize)> = Vec::new();
    for (index, (_, rate)) in urgencies.iter().enumerate() {
        let times = (0..200 * rate).map(|number| (number * 1_000 / rate, index));
        asks.extend(times);
    }
    asks.sort_unstable();
    let mut granted = vec![0; urgencies.len()];
    for (at, index) in asks {
        let (urgency, _) = urgencies[index];
        granted[index] += usize::from(meter.take(urgency, per_s, after(at)).is_ok());
    }
    granted
}

/// Guards against urgent requests that wait for others, and against others that never get a turn.
#[test]
fn urgent_requests_get_most_of_a_quota_and_the_others_a_part() {
    let granted = grants(4.0, &[(0, 20), (1, 20), (3, 20)]);
    let all: usize = granted.iter().sum();
    assert!(all >= 780, "{granted:?} of 800");
    assert!(granted[0] * 10 >= all * 6, "{granted:?}");
    assert!(granted[1] > granted[2], "{granted:?}");
    assert!(granted[2] * 20 >= all, "{granted:?}");
}

/// Guards against a part of a quota that is kept for urgent requests that do not come.
#[test]
fn what_urgent_requests_leave_is_used_by_others() {
    let granted = grants(4.0, &[(0, 1), (2, 40)]);
    assert!(granted[0] >= 190, "{granted:?}");
    assert!(granted[0] + granted[1] >= 720, "{granted:?} of 800");
}

/// Guards against requests that are counted twice, with their grant and when they arrive.
#[test]
fn a_granted_request_is_admitted_without_another_grant() {
    let mut gate = Gate::default();
    let _ = gate.take(1, 1.0, START);
    assert!(gate.take(1, 1.0, after(1_000)).is_ok());
    assert!(gate.admit(1, 1.0, after(1_010)).is_ok());
    assert!(gate.admit(1, 1.0, after(1_020)).is_err(), "nothing is left");
}

/// Guards against quotas that are kept, told and probed for long after they have ended.
#[test]
fn an_ended_quota_is_forgotten() {
    let mut quotas = Registry::default();
    let statement = Statement::Quota(rate(2.0));
    quotas.record(&instance(), statement, START, after(10));
    quotas.record(&instance(), Statement::Absent, after(20), after(30));
    quotas.remove_expired(after(10_000));
    assert!(!quotas.is_empty(), "others have to be told");
    quotas.remove_expired(after(70_000));
    assert!(quotas.is_empty());
}
