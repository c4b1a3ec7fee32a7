//! The burst as an experiment: a fleet behind shaped links, faults, and what came of it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::fault::{Fault, Kind};
use super::sample;
use crate::http;
use crate::member::Role;
use crate::route::Strategy;
use crate::spread::swarm::Tally;
use crate::spread::{self, Favour};
use crate::standin::fleet::{self, Fleet};
use crate::weight::Digest;

/// Copies that the origin's link carries in a window.
pub const ORIGIN_COPIES: f64 = 4.0;

/// Copies that a box's link carries in a window, each way.
pub const BOX_COPIES: f64 = 2.0;

/// Most memory that the boxes of an experiment may take together.
pub const MEMORY_MAX: u64 = 10 << 30;

/// Part of the boxes that a fault takes.
const TAKEN: usize = 10;

/// How often the fleet is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// Windows after which an experiment is given up.
const WINDOWS_MAX: u32 = 4;

/// How long the platform's list lags behind a death.
const LIST_LAG: Duration = Duration::from_secs(3);

/// How long boxes may take to start.
const START_MAX: Duration = Duration::from_secs(60);

/// Longest time that the report tells apart, in milliseconds.
const TIME_MAX_MS: u64 = 24 * 3600 * 1000;

/// Bytes that go into one write of a stand-in link, for the share of writes to spoil.
const WRITE: u64 = 16 * 1024;

/// An experiment's settings.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Boxes.
    pub boxes: usize,
    /// Halls.
    pub halls: usize,
    /// Bytes of the model.
    pub model_bytes: u64,
    /// Bytes of a chunk.
    pub chunk_bytes: u32,
    /// The window T.
    pub window: Duration,
    /// What weighs more.
    pub favour: Favour,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Seed of models and faults.
    pub seed: u64,
    /// The burst.
    pub spread: spread::Setting,
    /// Entries, one hall after another.
    pub entries: usize,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            boxes: 100,
            halls: 3,
            model_bytes: 16 << 20,
            chunk_bytes: 128 << 10,
            window: Duration::from_secs(20),
            favour: Favour::Time,
            faults: Vec::new(),
            seed: 1,
            spread: spread::Setting::default(),
            entries: 0,
        }
    }
}

/// What came of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Boxes that were to become servable: those that lived.
    pub boxes: usize,
    /// Boxes that became servable.
    pub servable: usize,
    /// Seconds until the last of them.
    pub seconds: f64,
    /// The physical limit: half of the window.
    pub limit_seconds: f64,
    /// `seconds` over `limit_seconds`.
    pub time_ratio: f64,
    /// Bytes drawn from the origin.
    pub origin_bytes: u64,
    /// The same in copies of the model.
    pub origin_copies: f64,
    /// Seconds until half of the boxes were servable.
    pub servable_p50_seconds: f64,
    /// Seconds until 99 in 100 were.
    pub servable_p99_seconds: f64,
    /// Bytes a second that a box spent on anything but chunks, sent and received.
    pub control_bytes_per_box_second: f64,
    /// How fetches of chunks ended, over all boxes.
    pub fetches: Tally,
    /// Calls of the configuration service.
    pub config_reads: u64,
    /// Breaches of the invariants.
    pub violations: u64,
    /// What they were.
    pub violation_list: Vec<String>,
    /// Faults that were caused.
    pub faults: Vec<String>,
    /// The seed.
    pub seed: u64,
}

impl Report {
    /// Whether every box became servable and no invariant was breached.
    pub fn passed(&self) -> bool {
        self.violations == 0 && self.servable == self.boxes
    }
}

/// A model's random bytes.
pub fn model(bytes: u64, seed: u64) -> Bytes {
    let mut model = vec![0; bytes as usize];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut model);
    model.into()
}

/// The fleet's settings for an experiment.
pub fn fleet_setting(setting: &Setting) -> fleet::Setting {
    let window = setting.window.as_secs_f64();
    let model = setting.model_bytes as f64;
    fleet::Setting {
        halls: (0..setting.halls)
            .map(|hall| format!("hall-{hall}"))
            .collect(),
        memory_bytes: setting.model_bytes * 2,
        box_rate: BOX_COPIES * model / window,
        origin_rate: ORIGIN_COPIES * model / window,
        spread: setting.spread,
        seed: setting.seed,
        ..fleet::Setting::default()
    }
}

/// An experiment that is under way.
pub struct Experiment {
    setting: Setting,
    fleet: Fleet,
    rng: SmallRng,
    began: Instant,
    wanted: Digest,
    /// The versions that exist, with the digest of all their bytes.
    truths: Vec<(Digest, Digest)>,
    pending: Vec<(Instant, Event)>,
    violations: BTreeSet<String>,
}

/// Something that is to happen.
#[derive(Debug, Clone)]
enum Event {
    Fault(Kind),
    Unstall(Vec<usize>),
    OriginUp,
    OriginSound,
    Heal,
    Unlist(Vec<String>),
    ConfigUp,
}

impl Experiment {
    /// Starts the fleet and waits until every box knows the platform.
    pub async fn start(setting: Setting) -> Result<Self, http::Error> {
        let mut fleet = Fleet::start(fleet_setting(&setting))?;
        for _ in 0..setting.boxes {
            fleet.add_box(Role::Model)?;
        }
        for entry in 0..setting.entries {
            fleet.add_entry(entry % setting.halls, Strategy::default())?;
        }
        fleet.list_all();
        let mut experiment = Self {
            rng: SmallRng::seed_from_u64(setting.seed),
            began: Instant::now(),
            wanted: Digest::of(b""),
            truths: Vec::new(),
            pending: Vec::new(),
            violations: BTreeSet::new(),
            fleet,
            setting,
        };
        experiment.wanted = experiment.add_model(0);
        let deadline = Instant::now() + START_MAX;
        while Instant::now() < deadline && !experiment.started() {
            sleep(LOOK).await;
        }
        Ok(experiment)
    }

    /// The fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The version that is wanted.
    pub fn wanted(&self) -> Digest {
        self.wanted
    }

    fn started(&self) -> bool {
        self.fleet.boxes.iter().all(|member| {
            let probe = member.probe();
            probe.ready && probe.listed
        })
    }

    fn add_model(&mut self, number: u64) -> Digest {
        let seed = self.setting.seed.wrapping_mul(31).wrapping_add(number);
        let bytes = model(self.setting.model_bytes, seed);
        let content = Digest::of(&bytes);
        let digest = self.fleet.origin.add(bytes, self.setting.chunk_bytes);
        self.truths.push((digest, content));
        digest
    }

    /// Publishes the wanted version: the burst begins.
    pub fn publish(&mut self) {
        let halls = &self.fleet.setting.halls;
        let template = sample::template(halls, self.setting.favour);
        let customer = sample::customer(
            self.wanted,
            self.setting.model_bytes,
            self.setting.boxes * 2,
        );
        self.began = Instant::now();
        for fault in &self.setting.faults {
            let at = self.began + fault.at;
            self.pending.push((at, Event::Fault(fault.kind)));
        }
        self.fleet
            .platform
            .publish(sample::TEMPLATE, Some(&template));
        self.fleet
            .platform
            .publish(sample::CUSTOMER, Some(&customer));
    }

    /// Boxes that hold a servable replica, and boxes that live.
    pub fn progress(&self) -> (usize, usize) {
        let alive = self.fleet.boxes.iter().filter(|member| member.alive());
        let servable = alive
            .clone()
            .filter(|member| self.servable_since(member).is_some());
        (servable.count(), alive.count())
    }

    fn servable_since(&self, member: &fleet::Box) -> Option<Instant> {
        let probe = member.probe();
        let entry = probe
            .servable
            .iter()
            .find(|(digest, _)| *digest == self.wanted);
        entry.map(|(_, since)| *since)
    }

    /// Lets the experiment run until every living box is servable. Calls `progress` now and then.
    pub async fn run(&mut self, mut progress: impl FnMut(usize, usize)) -> Report {
        let reads = self.fleet.platform.config_reads();
        let bytes = self.link_bytes();
        let deadline = self.began + self.setting.window * WINDOWS_MAX;
        loop {
            self.happen();
            self.check();
            let (servable, alive) = self.progress();
            progress(servable, alive);
            let over = servable == alive && self.pending.is_empty();
            if over || Instant::now() > deadline {
                break;
            }
            sleep(LOOK).await;
        }
        self.check();
        self.report(reads, bytes)
    }

    /// Carries out what is due.
    fn happen(&mut self) {
        let now = Instant::now();
        let (due, pending): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = pending;
        for (_, event) in due {
            self.carry_out(event);
        }
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Fault(kind) => self.fault(kind),
            Event::Unstall(indices) => {
                for index in indices {
                    self.fleet.boxes[index].link.set_stalled(false);
                }
            }
            Event::OriginUp => self.fleet.origin.set_down(false),
            Event::OriginSound => self.fleet.origin_link.set_corrupt(0.0),
            Event::Heal => self.fleet.net.set_cut(&self.fleet.setting.halls[0], false),
            Event::Unlist(names) => {
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                self.fleet.platform.remove_boxes(&names);
            }
            Event::ConfigUp => self.fleet.platform.set_config_down(false),
        }
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.pending.push((Instant::now() + after, event));
    }

    /// A tenth of the living boxes, at random.
    fn tenth(&mut self) -> Vec<usize> {
        let mut alive: Vec<usize> = (0..self.fleet.boxes.len())
            .filter(|&index| self.fleet.boxes[index].alive())
            .collect();
        alive.shuffle(&mut self.rng);
        alive.truncate(alive.len().div_ceil(TAKEN));
        alive
    }

    fn fault(&mut self, kind: Kind) {
        let quarter = self.setting.window / 4;
        let writes = u64::from(self.setting.chunk_bytes).div_ceil(WRITE) as f64;
        match kind {
            Kind::Kill => self.kill(),
            Kind::Stall => {
                let stalled = self.tenth();
                for &index in &stalled {
                    self.fleet.boxes[index].link.set_stalled(true);
                }
                self.later(quarter, Event::Unstall(stalled));
            }
            Kind::Corrupt => {
                for member in &self.fleet.boxes {
                    member.link.set_corrupt(0.05 / writes);
                }
            }
            Kind::CorruptPeer => {
                let first = self.tenth()[0];
                self.fleet.boxes[first].link.set_corrupt(1.0);
            }
            Kind::CorruptOrigin => {
                self.fleet.origin_link.set_corrupt(0.2 / writes);
                self.later(quarter, Event::OriginSound);
            }
            Kind::Replace => {
                self.wanted = self.add_model(1);
                let replicas = self.setting.boxes * 2;
                let text = sample::customer(self.wanted, self.setting.model_bytes, replicas);
                self.fleet.platform.publish(sample::CUSTOMER, Some(&text));
            }
            Kind::OriginDown => {
                self.fleet.origin.set_down(true);
                self.later(quarter, Event::OriginUp);
            }
            Kind::Partition => {
                self.fleet.net.set_cut(&self.fleet.setting.halls[0], true);
                self.later(quarter * 2, Event::Heal);
            }
            Kind::Pause => {
                for index in self.tenth() {
                    self.fleet.boxes[index].pause(quarter);
                }
            }
            Kind::Join => self.join(),
            Kind::ConfigDown => {
                self.fleet.platform.set_config_down(true);
                self.later(quarter, Event::ConfigUp);
            }
        }
    }

    fn kill(&mut self) {
        let mut names = Vec::new();
        for index in self.tenth() {
            let member = &mut self.fleet.boxes[index];
            member.kill();
            names.push(member.name.to_string());
        }
        self.later(LIST_LAG, Event::Unlist(names));
    }

    fn join(&mut self) {
        for _ in 0..self.fleet.boxes.len().div_ceil(TAKEN) {
            match self.fleet.add_box(Role::Model) {
                Ok(listed) => {
                    let listed = listed.clone();
                    self.fleet.platform.add_box(listed);
                }
                Err(error) => {
                    self.violations.insert(error.to_string());
                }
            }
        }
    }

    /// Confirms the invariants from what the engines hold, not from what the agents say.
    fn check(&mut self) {
        for member in self.fleet.boxes.iter().filter(|member| member.alive()) {
            let claimed = member.probe().servable;
            let loaded = member.engine.loaded();
            for (digest, content) in &loaded {
                if !self.truths.contains(&(*digest, *content)) {
                    let name = &member.name;
                    self.violations
                        .insert(format!("{name} loaded bytes that are not {digest:?}"));
                }
            }
            for (digest, since) in claimed {
                // An unload may have happened between the two looks.
                let settled = since.elapsed() > Duration::from_secs(1);
                let held = loaded.iter().any(|(held, _)| *held == digest);
                if !held && (!settled || digest == self.wanted) {
                    let name = &member.name;
                    self.violations
                        .insert(format!("{name} claims {digest:?}, which its engine lacks"));
                }
            }
        }
    }

    /// Bytes over all boxes' links, both ways.
    fn link_bytes(&self) -> u64 {
        let links = self.fleet.boxes.iter().map(|member| member.link.bytes());
        links.map(|(sent, received)| sent + received).sum()
    }

    fn report(&self, reads_before: u64, bytes_before: u64) -> Report {
        let mut times =
            Histogram::<u64>::new_with_bounds(1, TIME_MAX_MS, 3).expect("the bounds are in order");
        let mut seconds: f64 = 0.0;
        for member in self.fleet.boxes.iter().filter(|member| member.alive()) {
            if let Some(since) = self.servable_since(member) {
                let took = since.saturating_duration_since(self.began);
                seconds = seconds.max(took.as_secs_f64());
                times.saturating_record(took.as_millis() as u64);
            }
        }
        let (servable, boxes) = self.progress();
        let origin_bytes = self.fleet.origin.sent();
        let limit_seconds = self.setting.window.as_secs_f64() / BOX_COPIES;
        let chunk_bytes: u64 = self
            .fleet
            .boxes
            .iter()
            .map(|member| member.probe().chunk_bytes_sent)
            .sum();
        let mut fetches = Tally::default();
        for member in &self.fleet.boxes {
            fetches += member.probe().tally;
        }
        let all_bytes = self.link_bytes() - bytes_before;
        let control = all_bytes.saturating_sub(2 * chunk_bytes + origin_bytes) as f64;
        Report {
            boxes,
            servable,
            seconds,
            limit_seconds,
            time_ratio: seconds / limit_seconds,
            origin_bytes,
            origin_copies: origin_bytes as f64 / self.setting.model_bytes as f64,
            servable_p50_seconds: times.value_at_quantile(0.5) as f64 / 1e3,
            servable_p99_seconds: times.value_at_quantile(0.99) as f64 / 1e3,
            control_bytes_per_box_second: control / boxes.max(1) as f64 / seconds.max(1e-9),
            fetches,
            config_reads: self.fleet.platform.config_reads() - reads_before,
            violations: self.violations.len() as u64,
            violation_list: self.violations.iter().cloned().collect(),
            faults: self.setting.faults.iter().map(Fault::to_string).collect(),
            seed: self.setting.seed,
        }
    }
}
