//! Guards against using what is known of an earlier instance for a later one. A replica may restart
//! under the same id, as a new instance. It has then lost its weights, but late updates about its
//! earlier instance still arrive, through the list, reports and other entries, in any order. All
//! state belongs to one instance, and a later instance replaces it completely.

use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::{Catalog, Effect, Fact, Revisioned};
use pumicelatch::config::residency::{Regions, Residency};
use pumicelatch::config::routing::Engine;
use pumicelatch::member::replica::{LoadedModel, Record};
use pumicelatch::policy::Policy;
use pumicelatch::route::estimate::Demand;
use pumicelatch::route::health::Signal;
use pumicelatch::route::pool::{Choice, Key, ModelQuery, Pool, Query, Unavailable};
use pumicelatch::route::replica::Load;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Time = Time::from_millis(50_000);

/// Start times of the two instances, in milliseconds since the Unix epoch.
const FIRST: u64 = 1_764_720_000_000;
const SECOND: u64 = FIRST + 700;

fn holding(version: u64) -> Vec<LoadedModel> {
    vec![LoadedModel {
        model: "model".into(),
        version,
    }]
}

fn record(born: u64, models: Vec<LoadedModel>) -> Record {
    Record {
        id: "i-1".into(),
        born,
        service: "tutor".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        hall: "hall".into(),
        slots: 8,
        leaving: false,
        models,
        cold_ms: 0,
    }
}

fn load(born: u64, models: Vec<LoadedModel>) -> Load {
    Load {
        born,
        running: 3,
        pace: 1.0,
        alive: true,
        models,
        ..Load::default()
    }
}

/// The state of an entry: what it believes of the list, and its pool.
struct Entry {
    catalog: Catalog,
    pool: Pool,
    engine: Engine,
    regions: Regions,
}

impl Entry {
    fn new() -> Self {
        Self {
            catalog: Catalog::new(true),
            pool: Pool::new("hall".into(), Policy::default()),
            engine: Engine {
                incomplete: false,
                ..Engine::default()
            },
            regions: Regions::default(),
        }
    }

    fn learn(&mut self, revision: u64, record: Record) -> Effect {
        let fact = Fact::Replica(record);
        let effect = self
            .catalog
            .apply(Revisioned { revision, fact }, NOW, false);
        self.pool.update(self.catalog.replicas(), |_| None);
        effect
    }

    fn query(&self) -> Query<'_> {
        Query {
            service: "tutor",
            model: Some(ModelQuery {
                model: "model",
                min_version: 0,
                pinned_version: None,
            }),
            engine: Some(&self.engine),
            demand: Demand {
                prompt: 900,
                output: 90,
            },
            remaining: None,
            terms: None,
            tried: &[],
            full: &[],
            connections_max: 64,
            residency: &Residency::Anywhere,
            regions: &self.regions,
            cold_per_s: 0.0,
            urgency: 1,
        }
    }

    fn choose(&self) -> Result<Choice, Unavailable> {
        self.pool
            .choose(self.query(), NOW, &mut SmallRng::seed_from_u64(1))
    }

    fn key(&self) -> Key {
        self.pool.by_service("tutor")[0]
    }
}

/// An update about the replica, as it may arrive at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Update {
    /// The record of the first instance in the list, written early.
    ListedFirst,
    /// The record of the first instance, written by a heartbeat after the second one started.
    ListedLate,
    /// The record of the second instance in the list.
    ListedSecond,
    /// The sidecar's report about the first instance.
    ReportedFirst,
    /// The sidecar's report about the second instance.
    ReportedSecond,
    /// Another entry passes on a report about the first instance.
    DigestLate,
}

use Update::*;

impl Update {
    fn apply(self, entry: &mut Entry) {
        let address = "10.0.0.1:80".parse().unwrap();
        match self {
            ListedFirst => drop(entry.learn(10, record(FIRST, holding(1)))),
            ListedLate => drop(entry.learn(14, record(FIRST, holding(1)))),
            ListedSecond => drop(entry.learn(12, record(SECOND, Vec::new()))),
            ReportedFirst | DigestLate => {
                let _ = entry.pool.report(address, &load(FIRST, holding(1)), NOW);
            }
            ReportedSecond => {
                let _ = entry.pool.report(address, &load(SECOND, Vec::new()), NOW);
            }
        }
    }

    fn is_second(self) -> bool {
        matches!(self, ListedSecond | ReportedSecond)
    }
}

fn permutations(rest: &[Update]) -> Vec<Vec<Update>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (place, &first) in rest.iter().enumerate() {
        let mut others = rest.to_vec();
        others.remove(place);
        for mut order in permutations(&others) {
            order.insert(0, first);
            all.push(order);
        }
    }
    all
}

#[test]
fn a_later_instance_is_never_used_for_weights_of_an_earlier_one_in_any_order_of_updates() {
    let all = [
        ListedFirst,
        ListedLate,
        ListedSecond,
        ReportedFirst,
        ReportedSecond,
        DigestLate,
    ];
    for order in permutations(&all) {
        let mut entry = Entry::new();
        let mut second_known = false;
        for update in &order {
            let listed = entry.catalog.replicas().contains_key("i-1");
            // A report about a replica that is not listed yet has no effect.
            second_known |= update.is_second() && (listed || *update == ListedSecond);
            update.apply(&mut entry);
            if second_known {
                assert_eq!(
                    entry.choose(),
                    Err(Unavailable::NoneEligible),
                    "{order:?} after {update:?}"
                );
            }
        }
        let listed = &entry.catalog.replicas()["i-1"];
        assert_eq!(
            (listed.record.born, listed.removed_at),
            (SECOND, None),
            "{order:?}"
        );
        let served = load(SECOND, holding(2));
        entry.pool.report(
            listed.record.address,
            &served,
            NOW + Duration::from_millis(1),
        );
        assert!(
            entry.choose().is_ok(),
            "{order:?}: it serves once it holds weights"
        );
    }
}

#[test]
fn the_record_that_is_passed_on_does_not_depend_on_the_order_of_lists() {
    let (early, late) = (record(FIRST, holding(1)), record(SECOND, Vec::new()));
    let record_after = |order: [(u64, &Record); 2]| {
        let mut catalog = Catalog::new(true);
        for (revision, record) in order {
            let fact = Fact::Replica(record.clone());
            catalog.apply(Revisioned { revision, fact }, NOW, false);
        }
        catalog.replicas()["i-1"].record.clone()
    };
    for (first, second) in [(10, 12), (12, 10)] {
        assert_eq!(record_after([(first, &early), (second, &late)]), late);
        assert_eq!(record_after([(second, &late), (first, &early)]), late);
    }
}

/// Guards against state of one instance that would harm another: requests in flight, penalties,
/// lags, denials, connections.
#[test]
fn requests_penalties_lags_denials_and_connections_end_with_their_instance() {
    let mut entry = Entry::new();
    entry.learn(10, record(FIRST, holding(1)));
    let address = "10.0.0.1:80".parse().unwrap();
    entry.pool.report(address, &load(FIRST, holding(1)), NOW);
    let demand = entry.query().demand;
    let first = entry.key();
    let numbers: Vec<u64> = (0..8)
        .map(|_| entry.pool.begin(first, demand, Duration::ZERO, NOW))
        .collect();
    for _ in 0..8 {
        entry.pool.record_health(first, Signal::Broken, NOW);
    }
    entry.pool.invalidate(first);
    entry.pool.mark_unresponsive(first, true, NOW);
    assert_eq!(entry.choose(), Err(Unavailable::NoneEligible));
    assert_eq!(entry.pool.take_restarted(), []);

    entry.learn(12, record(SECOND, holding(1)));
    assert_eq!(entry.pool.take_restarted(), [address]);
    let second = entry.key();
    assert_ne!(
        second, first,
        "requests that were tried at the first instance may be tried at the second"
    );
    let choice = entry.choose().unwrap();
    assert_eq!((choice.key, choice.requests), (second, 0));
    let alone = choice.expected;

    // Late events of the first instance's requests and a late report about it change nothing.
    let late = NOW + Duration::from_millis(900);
    for number in numbers {
        entry
            .pool
            .record_first_event(first, number, demand, true, late);
        entry.pool.end(first, number);
        entry.pool.record_health(first, Signal::Unreachable, late);
    }
    entry.pool.report(address, &load(FIRST, holding(1)), late);
    let choice = entry.choose().unwrap();
    assert_eq!(
        (choice.key, choice.requests, choice.expected),
        (second, 0, alone)
    );
    assert!(
        !entry.pool.grants_leases(second, late),
        "its sidecar has not reported yet"
    );
}

#[test]
fn a_record_without_start_time_is_ignored_if_others_of_its_service_have_one() {
    let without_start = Record {
        id: "i-2".into(),
        address: "10.0.0.9:80".parse().unwrap(),
        ..record(0, holding(1))
    };
    let listed = |order: [&Record; 2]| {
        let mut entry = Entry::new();
        for (step, record) in order.into_iter().enumerate() {
            entry.learn(10 + step as u64, record.clone());
        }
        let ids = entry.pool.by_service("tutor").iter();
        let ids = ids.map(|&key| entry.pool.get(key).unwrap().record.id.clone());
        ids.collect::<Vec<Arc<str>>>()
    };
    let with_start = record(FIRST, holding(1));
    assert_eq!(listed([&without_start, &with_start]), ["i-1".into()]);
    assert_eq!(listed([&with_start, &without_start]), ["i-1".into()]);
    // If no record of the service has a start time, all are used.
    let silent = record(0, holding(1));
    assert_eq!(listed([&silent, &without_start]).len(), 2);
}

#[test]
fn a_report_applies_to_the_replica_of_its_instance_if_two_are_listed_at_one_address() {
    let mut entry = Entry::new();
    entry.learn(10, record(FIRST, holding(1)));
    let next = Record {
        id: "i-2".into(),
        ..record(SECOND, Vec::new())
    };
    entry.learn(11, next);
    let address = "10.0.0.1:80".parse().unwrap();
    entry.pool.report(address, &load(SECOND, holding(2)), NOW);
    let holds = |id: &str| {
        let keys = entry.pool.by_service("tutor").iter();
        let mut found = keys.map(|&key| entry.pool.get(key).unwrap());
        let found = found.find(|replica| &*replica.record.id == id).unwrap();
        found.version("model", NOW)
    };
    assert_eq!((holds("i-1"), holds("i-2")), (Some(1), Some(2)));
}

/// What shows, besides a refused connection, that a run broke because its replica is gone, and not
/// because its connection failed. Replicas that had only paused were counted as crashed.
#[test]
fn an_instance_is_over_when_a_later_one_is_known_or_the_replica_is_dead_for_long() {
    let mut entry = Entry::new();
    entry.learn(10, record(FIRST, holding(1)));
    let address = "10.0.0.1:80".parse().unwrap();
    let known = entry.pool.ids_at(address);
    let over = |entry: &Entry| entry.pool.superseded(address, FIRST, &known, NOW);
    entry.pool.report(address, &load(FIRST, holding(1)), NOW);
    assert!(!over(&entry), "it is alive");

    let mut reborn = Entry::new();
    reborn.learn(12, record(SECOND, holding(1)));
    assert!(over(&reborn), "it restarted under its id");

    let other = Record {
        id: "i-2".into(),
        ..record(SECOND, Vec::new())
    };
    entry.learn(13, other);
    assert!(over(&entry), "another took its address");

    let mut dead = Entry::new();
    dead.learn(10, record(FIRST, holding(1)));
    let nobody = Load {
        alive: false,
        ..load(FIRST, Vec::new())
    };
    let over_after = |entry: &Entry, ms| {
        let now = NOW + Duration::from_millis(ms);
        entry.pool.superseded(address, FIRST, &known, now)
    };
    dead.pool.report(address, &load(FIRST, holding(1)), NOW);
    for ms in [1_000, 2_000, 3_000] {
        dead.pool
            .report(address, &nobody, NOW + Duration::from_millis(ms));
    }
    assert!(!over_after(&dead, 1_000), "it may only have paused");
    assert!(!over_after(&dead, 2_400), "it may only have paused");
    assert!(over_after(&dead, 3_000), "its sidecar reports it dead");
    let goes_on = load(FIRST, holding(1));
    dead.pool
        .report(address, &goes_on, NOW + Duration::from_millis(3_100));
    assert!(!over_after(&dead, 3_100), "it goes on");
}
