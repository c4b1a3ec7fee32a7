//! A store that comes back from older copies of itself, in simulated time.
//!
//! Processes keep real catalogs. The first two read and watch a model of the store, the others hear
//! of changes from them as in heartbeats. Operators and replicas write, and write again what the
//! store has lost; processes restart and are cut off for a while.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::{Catalog, Effect, Fact, RESTORE_GRACE, Revisioned};
use pumicelatch::config::revision;
use pumicelatch::config::routing::{Document, Gaps, Limits};
use pumicelatch::member::replica::Record;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const START: Time = Time::from_millis(3_600_000);

/// Interval between two steps of the model.
const STEP: Duration = Duration::from_millis(100);

/// Time within which a change has to be in force where nothing is cut off.
const APPLY: Duration = Duration::from_millis(2_000);

/// Interval at which a replica writes its entry.
const WRITE_STEPS: u64 = 12;

/// Steps without a write after which a replica's entry is removed.
const LEASE_STEPS: u64 = 36;

const READERS: usize = 2;

fn document(version: u64) -> Fact {
    Fact::Routing(Arc::new(Document {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        customers: Vec::new(),
        limits: Limits::default(),
        gaps: Gaps::default(),
    }))
}

fn record(id: u64, leaving: bool) -> Record {
    Record {
        id: format!("i-{id}").into(),
        born: id + 1,
        service: "plain".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        hall: "a".into(),
        slots: 4,
        leaving,
        models: Vec::new(),
        cold_ms: 0,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Present { leaving: bool },
    Gone,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    number: u64,
    config: (u64, u64),
    /// The replicas' entries and the numbers of their last changes.
    replicas: BTreeMap<u64, (u64, Entry)>,
}

impl Contents {
    fn next(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn configure(&mut self, version: u64) {
        if self.config.1 != version {
            self.config = (self.next(), version);
        }
    }

    fn write(&mut self, id: u64, entry: Entry) {
        let known = self.replicas.get(&id).map(|(_, entry)| *entry);
        if known != Some(entry) && (known.is_some() || entry != Entry::Gone) {
            let number = self.next();
            self.replicas.insert(id, (number, entry));
        }
    }
}

/// A replica, and what it has the store say of it.
#[derive(Debug, Clone, Copy)]
struct Replica {
    alive: bool,
    leaving: bool,
    written_at: u64,
    /// When its present state was acknowledged.
    acknowledged_at: u64,
}

struct Process {
    catalog: Catalog,
    started_at: u64,
    cut_until: u64,
    cut_at: u64,
    /// The revision that its watch continues from.
    after: Option<u64>,
    version: u64,
}

struct Model {
    rng: SmallRng,
    step: u64,
    /// Whether the store tells its era.
    tells_era: bool,
    era: u64,
    contents: Contents,
    copy: Contents,
    away_until: u64,
    restored_at: u64,
    processes: Vec<Process>,
    replicas: BTreeMap<u64, Replica>,
    version: u64,
    version_at: u64,
}

fn process(step: u64) -> Process {
    Process {
        catalog: Catalog::new(false),
        started_at: step,
        cut_until: 0,
        cut_at: 0,
        after: None,
        version: 0,
    }
}

impl Model {
    fn new(seed: u64, tells_era: bool) -> Self {
        let mut model = Self {
            rng: SmallRng::seed_from_u64(seed),
            step: 0,
            tells_era,
            era: 1,
            contents: Contents::default(),
            copy: Contents::default(),
            away_until: 0,
            restored_at: 0,
            processes: (0..4).map(|_| process(0)).collect(),
            replicas: BTreeMap::new(),
            version: 1,
            version_at: 0,
        };
        model.contents.configure(1);
        for id in 0..4 {
            model.add_replica(id);
        }
        model.copy = model.contents.clone();
        model
    }

    fn now(&self) -> Time {
        START + STEP * self.step as u32
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_ratio(1, one_in)
    }

    fn add_replica(&mut self, id: u64) {
        let replica = Replica {
            alive: true,
            leaving: false,
            written_at: self.step,
            acknowledged_at: self.step,
        };
        self.replicas.insert(id, replica);
        self.contents.write(id, Entry::Present { leaving: false });
    }

    fn is_away(&self) -> bool {
        self.step < self.away_until
    }

    fn advance(&mut self) {
        self.step += 1;
        if self.chance(40) {
            self.copy = self.contents.clone();
        }
        if !self.is_away() && self.chance(60) {
            self.contents = self.copy.clone();
            self.era += 1;
            self.away_until = self.step + self.rng.random_range(1..8);
            self.restored_at = self.away_until;
            // The leases begin anew.
            for replica in self.replicas.values_mut() {
                replica.written_at = replica.written_at.max(self.away_until);
            }
        }
        if !self.is_away() {
            self.write();
        }
        self.disturb();
        for index in 0..self.processes.len() {
            if self.step >= self.processes[index].cut_until {
                if index < READERS && !self.is_away() {
                    self.read(index);
                }
                self.hear(index);
            }
        }
        let now = self.now();
        for process in &mut self.processes {
            process.catalog.remove_expired(now);
        }
    }

    /// Operators and replicas write what is new, and again what the store has lost.
    fn write(&mut self) {
        // What others write.
        self.contents.number += self.rng.random_range(0..4);
        if self.chance(15) {
            self.version += self.rng.random_range(1..4);
            self.version_at = self.step;
        }
        if self.contents.config.1 != self.version {
            if self.contents.config.1 < self.version && self.version_at < self.restored_at {
                self.version_at = self.step;
            }
            self.contents.configure(self.version);
        }
        let ids: Vec<u64> = self.replicas.keys().copied().collect();
        for id in ids {
            let leaves = self.chance(150);
            let ends = self.chance(80);
            let step = self.step;
            let Some(replica) = self.replicas.get_mut(&id) else {
                continue;
            };
            if replica.alive && !replica.leaving && leaves {
                replica.leaving = true;
                replica.written_at = 0;
                replica.acknowledged_at = step;
            }
            if replica.alive && replica.leaving && ends {
                replica.alive = false;
                replica.acknowledged_at = step;
                self.contents.write(id, Entry::Gone);
            }
            if replica.alive && step >= replica.written_at + WRITE_STEPS {
                replica.written_at = step;
                let leaving = replica.leaving;
                self.contents.write(id, Entry::Present { leaving });
            }
            if !replica.alive && step >= replica.written_at + LEASE_STEPS {
                self.contents.write(id, Entry::Gone);
            }
        }
        if self.chance(100) {
            let id = self.replicas.len() as u64;
            self.add_replica(id);
        }
    }

    fn disturb(&mut self) {
        let step = self.step;
        if self.chance(50) {
            let index = self.rng.random_range(0..self.processes.len());
            let time = self.rng.random_range(2..30);
            let process = &mut self.processes[index];
            process.cut_at = step;
            process.cut_until = step + time;
        }
        if self.chance(120) {
            let index = self.rng.random_range(0..self.processes.len());
            self.processes[index] = process(step);
        }
    }

    fn revision(&self, number: u64) -> u64 {
        let era = if self.tells_era { self.era } else { 0 };
        revision::combine(era, number)
    }

    fn facts(&self, after: u64) -> Vec<Revisioned> {
        let (at, version) = self.contents.config;
        let config = (at > after).then(|| Revisioned {
            revision: self.revision(at),
            fact: document(version),
        });
        let replicas = self.contents.replicas.iter();
        let replicas = replicas.filter(|(_, (at, _))| *at > after);
        let replicas = replicas.map(|(id, (at, entry))| Revisioned {
            revision: self.revision(*at),
            fact: match entry {
                Entry::Present { leaving } => Fact::Replica(record(*id, *leaving)),
                Entry::Gone => Fact::ReplicaGone(record(*id, false).id),
            },
        });
        config.into_iter().chain(replicas).collect()
    }

    /// A reader's call: a watch, or a read of everything if the history is not there.
    fn read(&mut self, index: usize) {
        let (now, at) = (self.now(), self.revision(self.contents.number));
        let known = self.processes[index].after;
        let watched = known.filter(|known| {
            revision::era(*known) == revision::era(at)
                && revision::number(*known) <= revision::number(at)
        });
        let facts = self.facts(watched.map_or(0, revision::number));
        let process = &mut self.processes[index];
        process.after = Some(at);
        if watched.is_some() {
            for fact in facts {
                process.catalog.apply(fact, now, false);
            }
            process.catalog.advance_list(at);
            return;
        }
        let mut records = Vec::new();
        for Revisioned { revision, fact } in facts {
            match fact {
                Fact::Replica(record) => records.push((revision, record)),
                Fact::ReplicaGone(_) => {}
                fact => {
                    let fact = Revisioned { revision, fact };
                    process.catalog.apply_read(fact, now, false);
                }
            }
        }
        process.catalog.apply_read_list(records, at, now, false);
    }

    /// Hears from another process what that one knows and this one lacks.
    fn hear(&mut self, index: usize) {
        let other = self.rng.random_range(0..self.processes.len());
        if other == index || self.step < self.processes[other].cut_until {
            return;
        }
        let now = self.now();
        let own = self.processes[index].catalog.revisions();
        let from = &self.processes[other].catalog;
        let theirs = from.revisions();
        let newer_routing = theirs.has_newer_routing_than(own);
        let config = from.routing().filter(|_| newer_routing);
        let config = config.map(|routing| Revisioned {
            revision: theirs.routing,
            fact: Fact::Routing(routing.document.clone()),
        });
        let settled = theirs.has_settled_since(own);
        let newer = settled || theirs.replicas > own.replicas;
        let changes = newer && !settled;
        let changes = changes.then(|| from.changes_since(own.replicas)).flatten();
        let list = (newer && changes.is_none()).then(|| {
            let present = from.replicas().values();
            let present = present.filter(|listed| listed.removed_at.is_none());
            let records = present.map(|listed| (listed.revision, listed.record.clone()));
            (records.collect::<Vec<_>>(), theirs.replicas)
        });
        let catalog = &mut self.processes[index].catalog;
        if let Some(config) = config {
            catalog.apply(config, now, false);
        }
        if let Some(changes) = changes {
            catalog.apply_changes(changes, now, false);
        }
        if let Some((records, at)) = list {
            catalog.apply_settled_list(records, at, theirs.settled_era, now, false);
        }
    }

    /// Returns what is wrong, if anything.
    fn check(&mut self) -> Option<String> {
        let (step, bound) = (self.step, (APPLY.as_millis() / STEP.as_millis()) as u64);
        let is_calm = step > self.restored_at + bound;
        let grace = (RESTORE_GRACE.as_millis() / STEP.as_millis()) as u64;
        let undisturbed = self
            .processes
            .iter()
            .map(|process| process.cut_until.max(process.started_at))
            .max()
            .unwrap_or_default();
        for (index, process) in self.processes.iter_mut().enumerate() {
            let routing = process.catalog.routing();
            let version = routing.map_or(0, |routing| routing.document.version);
            if version < process.version {
                return Some(format!(
                    "step {step}: process {index} went back from {} to {version}",
                    process.version
                ));
            }
            process.version = version;
            // All in touch for as long as a change may take, twice: to a reader, and from there.
            let in_touch = step > undisturbed + 2 * bound;
            if !in_touch || !is_calm {
                continue;
            }
            if version < self.version && step > self.version_at + bound {
                return Some(format!(
                    "step {step}: process {index} has {version}, not {}",
                    self.version
                ));
            }
            for (id, replica) in &self.replicas {
                let id = record(*id, false).id;
                let listed = process.catalog.replicas().get(&id);
                let usable = listed.filter(|listed| listed.removed_at.is_none());
                let takes = usable.is_some_and(|listed| !listed.record.leaving);
                let settled = step > replica.acknowledged_at + bound;
                let long_settled = step > self.restored_at + grace + 2 * bound;
                if takes && (replica.leaving || !replica.alive) && settled && long_settled {
                    return Some(format!(
                        "step {step}: process {index} uses {id}: {replica:?}"
                    ));
                }
                let should = replica.alive && !replica.leaving && settled && long_settled;
                if should && !takes {
                    return Some(format!(
                        "step {step}: process {index} lacks {id}: {replica:?}"
                    ));
                }
            }
        }
        None
    }

    fn run(mut self, steps: u64) -> Option<String> {
        for _ in 0..steps {
            self.advance();
            if let Some(wrong) = self.check() {
                return Some(wrong);
            }
        }
        None
    }
}

/// Steps of one seed: a minute.
const STEPS: u64 = 600;

/// Guards against changes that are refused, or undone, as the store's revisions go back.
#[test]
fn changes_are_in_force_and_none_goes_back_over_copies_of_the_store() {
    for seed in 0..SEEDS {
        if let Some(wrong) = Model::new(seed, true).run(STEPS) {
            panic!("seed {seed}: {wrong}");
        }
    }
}

/// Seeds that are played.
const SEEDS: u64 = 2_000;

/// Shows that the model finds revisions that are ordered by their numbers alone.
#[test]
fn the_model_finds_revisions_without_an_era() {
    let found = (0..200).filter(|seed| Model::new(*seed, false).run(STEPS).is_some());
    let found = found.count();
    assert!(found >= 40, "{found} of 200");
}

/// Guards against the entry of a replica that has ended staying in the list of a process that hears
/// of the store from others.
#[test]
fn a_replica_that_has_ended_is_dropped_after_a_copy() {
    for seed in [4_926, 12_104, 24_789, 27_619] {
        if let Some(wrong) = Model::new(seed, true).run(STEPS) {
            panic!("seed {seed}: {wrong}");
        }
    }
}

/// Guards against a process that reads the store, and comes back in touch with it long after the copy, keeping what the copy
/// lacks for as long as those that saw it come back.
#[test]
fn a_reader_that_was_cut_off_settles_with_the_others() {
    for seed in [44_889, 48_410, 66_199] {
        if let Some(wrong) = Model::new(seed, true).run(STEPS) {
            panic!("seed {seed}: {wrong}");
        }
    }
}

/// Guards against a record that was put aside replacing a newer one, by which its replica leaves.
#[test]
fn a_reader_uses_no_leaving_replica_after_a_copy() {
    if let Some(wrong) = Model::new(66_792, true).run(STEPS) {
        panic!("{wrong}");
    }
}

/// Guards against a replica that leaves and has ended staying in use at a process that reads the store, after a copy.
#[test]
#[ignore = "step 451: process 1 uses i-4, which leaves and has ended; issue 58"]
fn an_ended_replica_is_not_used_by_a_reader_after_a_copy() {
    if let Some(wrong) = Model::new(7_001_285, true).run(STEPS) {
        panic!("{wrong}");
    }
}

/// A catalog whose list of replicas is empty and known up to `revision`.
fn empty_list(revision: u64) -> Catalog {
    let mut catalog = Catalog::new(false);
    catalog.apply_read_list(Vec::new(), revision, START, false);
    catalog
}

/// Guards against a removal that is not passed on by a process that has not known the replica.
#[test]
fn removal_of_an_unknown_replica_is_told_to_others() {
    let mut catalog = empty_list(10);
    let gone = Fact::ReplicaGone(record(1, false).id);
    catalog.apply(
        Revisioned {
            revision: 14,
            fact: gone,
        },
        START,
        false,
    );
    let other = Fact::Replica(record(2, false));
    catalog.apply(
        Revisioned {
            revision: 15,
            fact: other,
        },
        START,
        false,
    );
    let changes = catalog.changes_since(12).unwrap();
    let removals: Vec<u64> = changes
        .removals
        .iter()
        .map(|removal| removal.revision)
        .collect();
    assert_eq!(removals, [14]);
}

/// Guards against changes that lack a replica's removal, where it came and went between two reads of the whole list.
#[test]
fn no_changes_are_told_since_a_time_between_two_whole_lists() {
    let mut catalog = empty_list(10);
    catalog.apply_read_list(vec![(18, record(2, false))], 20, START, false);
    assert!(catalog.changes_since(10).is_some());
    assert!(catalog.changes_since(13).is_none());
    assert!(catalog.changes_since(20).is_some());
    catalog.apply_read_list(vec![(18, record(2, false))], 30, START, false);
    let known = [13, 20, 25, 30].map(|since| catalog.changes_since(since).is_some());
    assert_eq!(known, [false, true, false, true]);
}

/// Guards against a restored store that undoes an evacuation, or ends one that it lacks, before
/// operators have written it again.
#[test]
fn evacuations_are_kept_until_the_copy_has_settled() {
    let mut catalog = Catalog::new(false);
    let evacuation = |hall: &str, active| Fact::Evacuation {
        hall: hall.into(),
        active,
    };
    let fact = |era, number, fact| Revisioned {
        revision: revision::combine(era, number),
        fact,
    };
    catalog.apply(fact(1, 60, evacuation("a", true)), START, false);
    catalog.apply(fact(1, 40, evacuation("b", true)), START, false);
    catalog.apply(fact(1, 65, evacuation("b", false)), START, false);
    catalog.apply(fact(1, 30, document(3)), START, false);
    let active = |catalog: &Catalog| -> Vec<String> {
        let active = catalog.evacuations().active();
        active.map(|hall| hall.to_string()).collect()
    };
    let restored = START + STEP;
    let undone = fact(2, 40, evacuation("b", true));
    assert_eq!(catalog.apply_read(undone, restored, false), Effect::None);
    let halls = ["b".into()];
    catalog.apply_evacuations(&halls, revision::combine(2, 50), restored);
    assert_eq!(active(&catalog), ["a"]);
    let later = restored + Duration::from_secs(1);
    let new = fact(2, 52, evacuation("c", true));
    assert_eq!(catalog.apply(new, later, false), Effect::Evacuations);
    // It does not read the list of replicas, so it settles after those that do.
    catalog.remove_expired(restored + RESTORE_GRACE * 2);
    assert_eq!(
        active(&catalog),
        ["b", "c"],
        "nobody wrote the others again"
    );
}
