//! A replica may start again under the id that it had. It then holds nothing of before, and news of its
//! earlier life arrives late, through the list, reports and other entries, in any order. Whatever was
//! believed belongs to one life: a later one replaces it whole.

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

/// The starts of the two lives, in milliseconds since the Unix epoch.
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

/// An entry's picture: what it believes of the list, and its pool.
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

    fn ask(&self) -> Query<'_> {
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
            tried: &[],
            full: &[],
            connections_max: 64,
            residency: &Residency::Anywhere,
            regions: &self.regions,
            cold_per_s: 0.0,
        }
    }

    fn choose(&self) -> Result<Choice, Unavailable> {
        self.pool
            .choose(self.ask(), NOW, &mut SmallRng::seed_from_u64(1))
    }

    fn key(&self) -> Key {
        self.pool.by_service("tutor")[0]
    }
}

/// News of the replica, as it may arrive at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    /// The list's entry of the first life, written early.
    ListedFirst,
    /// A heartbeat of the first life, written after the second one began.
    ListedLate,
    /// The list's entry of the second life.
    ListedSecond,
    /// The process beside it tells of the first life.
    ReportedFirst,
    /// It tells of the second life.
    ReportedSecond,
    /// Another entry tells what it was told of the first life.
    DigestLate,
}

use News::*;

impl News {
    fn arrives(self, entry: &mut Entry) {
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

    fn tells_second(self) -> bool {
        matches!(self, ListedSecond | ReportedSecond)
    }
}

fn orders(rest: &[News]) -> Vec<Vec<News>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (place, &first) in rest.iter().enumerate() {
        let mut others = rest.to_vec();
        others.remove(place);
        for mut order in orders(&others) {
            order.insert(0, first);
            all.push(order);
        }
    }
    all
}

#[test]
fn in_every_order_of_news_a_later_life_is_never_used_for_what_an_earlier_one_held() {
    let all = [
        ListedFirst,
        ListedLate,
        ListedSecond,
        ReportedFirst,
        ReportedSecond,
        DigestLate,
    ];
    for order in orders(&all) {
        let mut entry = Entry::new();
        let mut told = false;
        for news in &order {
            let listed = entry.catalog.replicas().contains_key("i-1");
            // A report about a replica that is not listed yet is no news of it.
            told |= news.tells_second() && (listed || *news == ListedSecond);
            news.arrives(&mut entry);
            if told {
                assert_eq!(
                    entry.choose(),
                    Err(Unavailable::NoneEligible),
                    "{order:?} after {news:?}"
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
            "{order:?}: it serves once it holds something"
        );
    }
}

#[test]
fn the_order_of_lists_makes_no_difference_to_what_is_told_on() {
    let (early, late) = (record(FIRST, holding(1)), record(SECOND, Vec::new()));
    let learnt = |order: [(u64, &Record); 2]| {
        let mut catalog = Catalog::new(true);
        for (revision, record) in order {
            let fact = Fact::Replica(record.clone());
            catalog.apply(Revisioned { revision, fact }, NOW, false);
        }
        catalog.replicas()["i-1"].record.clone()
    };
    for (first, second) in [(10, 12), (12, 10)] {
        assert_eq!(learnt([(first, &early), (second, &late)]), late);
        assert_eq!(learnt([(second, &late), (first, &early)]), late);
    }
}

/// Everything that an entry believes of one life, and that another would suffer from.
#[test]
fn requests_penalties_lags_denials_and_connections_end_with_their_life() {
    let mut entry = Entry::new();
    entry.learn(10, record(FIRST, holding(1)));
    let address = "10.0.0.1:80".parse().unwrap();
    entry.pool.report(address, &load(FIRST, holding(1)), NOW);
    let demand = entry.ask().demand;
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
        "whoever tried the first life may try the second"
    );
    let choice = entry.choose().unwrap();
    assert_eq!((choice.key, choice.requests), (second, 0));
    let alone = choice.expected;

    // What the first life's requests and its process still bring changes nothing.
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
        "its process has not told yet"
    );
}

#[test]
fn where_replicas_tell_their_lives_an_entry_without_one_names_none_and_the_others_hold() {
    let stranger = Record {
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
    let sound = record(FIRST, holding(1));
    assert_eq!(listed([&stranger, &sound]), ["i-1".into()]);
    assert_eq!(listed([&sound, &stranger]), ["i-1".into()]);
    // Where nobody tells, all are used.
    let silent = record(0, holding(1));
    assert_eq!(listed([&silent, &stranger]).len(), 2);
}

#[test]
fn a_report_is_about_the_replica_of_its_life_where_two_are_listed_at_one_address() {
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

/// What shows, beside a connection that is refused, that a run broke with its replica and not with its connection.
#[test]
fn a_life_is_over_when_a_later_one_is_known_or_nobody_is_found_there() {
    let mut entry = Entry::new();
    entry.learn(10, record(FIRST, holding(1)));
    let address = "10.0.0.1:80".parse().unwrap();
    let known = entry.pool.ids_at(address);
    let over = |entry: &Entry| entry.pool.superseded(address, FIRST, &known, NOW);
    entry.pool.report(address, &load(FIRST, holding(1)), NOW);
    assert!(!over(&entry), "it is there");

    let mut reborn = Entry::new();
    reborn.learn(12, record(SECOND, holding(1)));
    assert!(over(&reborn), "it started again under its id");

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
    dead.pool.report(address, &nobody, NOW);
    assert!(over(&dead), "the process beside it finds nobody");
}
