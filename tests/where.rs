//! Constraints on where requests may be sent: regions that customers and routes are bound to, halls
//! that operators evacuate, and the rate limits of cold replicas.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::{Catalog, Effect, Fact, Revisioned};
use pumicelatch::config::evacuation::{Evacuation, Evacuations};
use pumicelatch::config::residency::{Regions, Residency};
use pumicelatch::lease::{self, Ledger, Throttle};
use pumicelatch::member::replica::{LoadedModel, Record};
use pumicelatch::policy::Policy;
use pumicelatch::route::cold::TokenBucket;
use pumicelatch::route::estimate::Demand;
use pumicelatch::route::pool::{Pool, Query, Unavailable};
use pumicelatch::route::replica::Load;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Time = Time::from_millis(50_000);

fn at(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

fn only(regions: &[&str]) -> Residency {
    Residency::Only(regions.iter().map(|region| Arc::from(*region)).collect())
}

fn record(index: u8, hall: &str, cold_ms: u64) -> Record {
    Record {
        id: format!("i-{index}").into(),
        born: 0,
        service: "desk".into(),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        hall: hall.into(),
        slots: 8,
        leaving: false,
        models: Vec::new(),
        cold_ms,
    }
}

/// An entry in the hall north-a, with two replicas in each of three halls in two regions.
struct Entry {
    catalog: Catalog,
    pool: Pool,
    regions: Regions,
    cold_per_s: f64,
}

impl Entry {
    fn new() -> Self {
        let mut entry = Self {
            catalog: Catalog::new(true),
            pool: Pool::new("north-a".into(), Policy::default()),
            regions: [
                ("north-a", "north"),
                ("north-b", "north"),
                ("south-a", "south"),
            ]
            .into_iter()
            .collect(),
            cold_per_s: 0.0,
        };
        for (index, hall) in ["north-a", "north-b", "south-a"].iter().enumerate() {
            for copy in 0..2 {
                let index = 2 * index as u8 + copy;
                entry.apply(
                    1 + u64::from(index),
                    Fact::Replica(record(index, hall, 0)),
                    NOW,
                );
            }
        }
        entry
    }

    fn apply(&mut self, revision: u64, fact: Fact, now: Time) -> Effect {
        let effect = self
            .catalog
            .apply(Revisioned { revision, fact }, now, false);
        self.pool.update(self.catalog.replicas(), |_| None);
        let halls: BTreeSet<Arc<str>> = self.catalog.evacuations().active().cloned().collect();
        self.pool.set_evacuated(halls);
        self.pool.refresh_cold(now);
        effect
    }

    fn evacuate(&mut self, revision: u64, hall: &str, asked: bool) -> Effect {
        let hall = hall.into();
        self.apply(
            revision,
            Fact::Evacuation {
                hall,
                active: asked,
            },
            NOW,
        )
    }

    fn ask<'a>(&'a self, residency: &'a Residency) -> Query<'a> {
        Query {
            service: "desk",
            model: None,
            engine: None,
            demand: Demand {
                prompt: 0,
                output: 0,
            },
            remaining: None,
            terms: None,
            tried: &[],
            full: &[],
            connections_max: 64,
            residency,
            regions: &self.regions,
            cold_per_s: self.cold_per_s,
            urgency: 1,
        }
    }

    /// Halls that a hundred requests go to, or the error if there is none.
    fn halls(&self, residency: &Residency, now: Time) -> Result<BTreeSet<String>, Unavailable> {
        (0..100)
            .map(|seed| {
                let mut rng = SmallRng::seed_from_u64(seed);
                let choice = self.pool.choose(self.ask(residency), now, &mut rng)?;
                Ok(self.pool.get(choice.key).unwrap().record.hall.to_string())
            })
            .collect()
    }
}

#[test]
fn region_bound_requests_never_leave_their_region() {
    let entry = Entry::new();
    let south = entry.halls(&only(&["south"]), NOW);
    assert_eq!(south, Ok(["south-a".to_owned()].into()));
    let nowhere = entry.halls(&only(&["west"]), NOW);
    assert_eq!(nowhere, Err(Unavailable::NoneAllowed));
    let anywhere = entry.halls(&Residency::Anywhere, NOW).unwrap();
    assert!(
        !anywhere.contains("south-a"),
        "replicas in the entry's region are preferred"
    );
}

#[test]
fn a_replica_in_an_unknown_region_gets_no_region_bound_requests() {
    let mut entry = Entry::new();
    entry.regions = Regions::default();
    let bound = entry.halls(&only(&["south"]), NOW);
    assert_eq!(bound, Err(Unavailable::NoneAllowed));
    assert!(entry.halls(&Residency::Anywhere, NOW).is_ok());
}

#[test]
fn no_estimate_is_given_for_a_replica_in_a_disallowed_hall() {
    let mut entry = Entry::new();
    let south = only(&["south"]);
    let key = entry.pool.by_service("desk")[0];
    assert!(entry.pool.estimate(key, entry.ask(&south), NOW).is_none());
    let anywhere = Residency::Anywhere;
    assert!(
        entry
            .pool
            .estimate(key, entry.ask(&anywhere), NOW)
            .is_some()
    );
    entry.evacuate(20, "north-a", true);
    assert!(
        entry
            .pool
            .estimate(key, entry.ask(&anywhere), NOW)
            .is_none()
    );
}

#[test]
fn residency_is_the_intersection_of_route_and_customer() {
    let route = only(&["north", "south"]);
    assert_eq!(
        route.intersection(&only(&["south", "west"])),
        only(&["south"])
    );
    assert_eq!(route.intersection(&Residency::Anywhere), route);
    assert_eq!(Residency::Anywhere.intersection(&route), route);
    let none = route.intersection(&only(&["west"]));
    assert!(!none.allows(Some("north")) && !none.allows(None));
}

#[test]
fn an_evacuated_hall_gets_no_requests_until_the_evacuation_ends() {
    let mut entry = Entry::new();
    assert_eq!(entry.evacuate(20, "north-a", true), Effect::Evacuations);
    let halls = entry.halls(&Residency::Anywhere, NOW).unwrap();
    assert!(!halls.contains("north-a") && !halls.is_empty());
    entry.evacuate(21, "north-b", true);
    entry.evacuate(22, "south-a", true);
    let none = entry.halls(&Residency::Anywhere, NOW);
    assert_eq!(none, Err(Unavailable::NoneAllowed));
    assert_eq!(entry.evacuate(23, "north-a", false), Effect::Evacuations);
    let halls = entry.halls(&Residency::Anywhere, NOW);
    assert_eq!(halls, Ok(["north-a".to_owned()].into()));
}

fn evacuation(revision: u64, asked: bool) -> Evacuation {
    Evacuation {
        hall: "north-a".into(),
        active: asked,
        revision,
    }
}

#[test]
fn the_newest_evacuation_revision_wins_in_any_order() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let mut known = Evacuations::default();
        let mut newest: Option<(u64, bool)> = None;
        for (revision, asked) in steps {
            let revision = u64::from(revision) + 1;
            known.apply(evacuation(revision, asked));
            if newest.is_none_or(|(known, _)| known < revision) {
                newest = Some((revision, asked));
            }
        }
        let asked = newest.is_some_and(|(_, asked)| asked);
        (known.active().count() == 1) == asked
            && known.revision() == newest.map_or(0, |(revision, _)| revision)
    }
    quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn a_full_read_ends_evacuations_that_the_store_no_longer_has() {
    let mut known = Evacuations::default();
    assert!(known.apply(evacuation(10, true)));
    assert!(!known.apply_list(&["north-a".into()], 30));
    assert!(!known.apply_list(&[], 9), "an older read is ignored");
    assert!(known.apply_list(&[], 30));
    assert_eq!(known.active().count(), 0);
    assert!(
        !known.apply(evacuation(10, true)),
        "a late report of it is ignored"
    );
}

/// Largest number of entries of `sent` within any one second.
fn busiest_second(sent: &[u64]) -> usize {
    let within = |from: u64| {
        let second = from..from + 1_000;
        sent.iter().filter(|at| second.contains(*at)).count()
    };
    sent.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// Requests per second that a replica of 12 slots can take while it is cold, as such fleets report.
const COLD_PER_S: f64 = 14.0;

/// Requests per second above which a cold replica fails: 1.5 times its rate plus five.
const COLD_FAILURE_RATE: usize = 26;

#[test]
fn leases_at_a_cold_replica_stay_within_its_rate_limit() {
    let mut ledger = Ledger::default();
    let load = Load {
        alive: true,
        pace: 1.0,
        models: vec![LoadedModel {
            model: "model".into(),
            version: 1,
        }],
        ..Load::default()
    };
    let mut given = Vec::new();
    // Forty entries ask every 5 ms each. One in ten already knows that the replica is cold.
    for ms in (0..3_000).step_by(5) {
        for entry in 0..40 {
            let cold = (entry % 10 == 0).then_some(Throttle {
                rest_ms: 3_000 - ms,
                per_s: COLD_PER_S,
            });
            let ask = lease::Request {
                limit_ms: 400,
                cold,
                ..lease::Request::default()
            };
            let answer = ledger.answer(&ask, load.clone(), None, at(ms));
            assert!(answer.given || answer.dealt_out);
            if answer.given {
                given.push(ms);
            }
        }
    }
    assert!(
        busiest_second(&given) <= COLD_FAILURE_RATE,
        "{}",
        busiest_second(&given)
    );
    assert!(
        given.len() >= 2 * COLD_PER_S as usize,
        "{} in all",
        given.len()
    );
    let warm = ledger.answer(&lease::Request::default(), load, None, at(3_001));
    assert!(warm.given && !warm.dealt_out);
}

#[test]
fn entries_without_a_sidecar_share_the_rate_of_a_cold_replica() {
    fn property(entries: u8, per_s: u8) -> bool {
        let (entries, per_s) = (usize::from(entries % 40) + 1, f64::from(per_s % 30) + 1.0);
        let mut buckets = vec![TokenBucket::default(); entries];
        let share = per_s / entries as f64;
        let mut sent = Vec::new();
        for ms in (0..4_000).step_by(10) {
            let each = buckets.iter_mut();
            let taken = each.filter_map(|bucket| bucket.take(share, at(ms)).then_some(ms));
            sent.extend(taken);
        }
        // Each bucket may hold one saved token.
        busiest_second(&sent) <= (per_s * 1.25).ceil() as usize + entries
    }
    quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn a_cold_replica_without_a_sidecar_is_skipped_until_a_token_is_available() {
    let mut entry = Entry::new();
    entry.cold_per_s = 2.0;
    for index in 0..4 {
        let hall = if index < 2 { "north-a" } else { "north-b" };
        entry.apply(
            30 + u64::from(index),
            Fact::Replica(record(index, hall, 3_000)),
            NOW,
        );
    }
    let north = only(&["north"]);
    assert_eq!(entry.halls(&north, NOW), Err(Unavailable::Cold));
    let key = entry.pool.by_service("desk")[0];
    assert!(!entry.pool.take_cold_token(key, 2.0, at(100)));
    assert!(entry.pool.take_cold_token(key, 2.0, at(600)));
    assert!(!entry.pool.take_cold_token(key, 2.0, at(610)));
    // Heartbeats repeat the same cold time, and later report that the replica is warm.
    entry.apply(40, Fact::Replica(record(0, "north-a", 3_000)), at(1_200));
    assert!(!entry.pool.take_cold_token(key, 2.0, at(1_050)));
    assert!(entry.halls(&north, at(3_100)).is_ok());
    entry.apply(41, Fact::Replica(record(1, "north-a", 0)), at(1_300));
    assert!(entry.halls(&north, at(1_300)).is_ok());
}

#[test]
fn an_entry_sends_its_share_to_a_cold_replica_without_a_sidecar() {
    let mut entry = Entry::new();
    entry.cold_per_s = 2.0;
    for index in 0..2 {
        entry.apply(
            30 + u64::from(index),
            Fact::Replica(record(index, "north-a", 3_000)),
            NOW,
        );
    }
    entry.evacuate(40, "north-b", true);
    let north = only(&["north"]);
    assert_eq!(entry.halls(&north, at(400)), Err(Unavailable::Cold));
    assert!(entry.halls(&north, at(600)).is_ok());
    for key in entry.pool.by_service("desk").to_vec() {
        assert!(entry.pool.take_cold_token(key, 2.0, at(600)));
    }
    assert_eq!(entry.halls(&north, at(700)), Err(Unavailable::Cold));
    assert!(entry.halls(&north, at(1_200)).is_ok());
}

#[test]
fn a_later_instance_does_not_inherit_the_cold_phase() {
    let mut entry = Entry::new();
    let first = Record {
        born: 1,
        ..record(0, "north-a", 3_000)
    };
    let address = first.address;
    entry.apply(30, Fact::Replica(first), NOW);
    let cold = |entry: &Entry| {
        let keys = entry.pool.by_service("desk").iter();
        let mut replicas = keys.filter_map(|key| entry.pool.get(*key));
        let replica = replicas.find(|replica| replica.record.address == address);
        !replica.unwrap().cold_remaining(at(10)).is_zero()
    };
    assert!(cold(&entry));
    let second = Load {
        born: 2,
        alive: true,
        ..Load::default()
    };
    entry.pool.report(address, &second, at(5));
    entry.pool.refresh_cold(at(6));
    assert!(!cold(&entry));
}
