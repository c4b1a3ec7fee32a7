//! Tests of routing configurations and the catalog: route selection, access by key, and that no
//! fact is replaced by an older one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::{Clock, Time};
use pumicelatch::config::catalog::{
    Catalog, DesiredVersion, Effect, Fact, REMOVAL_GRACE, Revisioned, first_missing,
};
use pumicelatch::config::residency::Residency;
use pumicelatch::config::routing::{
    Access, Customer, Document, Gaps, Kind, Limits, Route, Routing, Share,
};
use pumicelatch::member::peer::{Advertisement, EXPIRY, Peers};
use pumicelatch::member::replica::Record;
use quickcheck::{TestResult, quickcheck};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 300,
        priority: 1,
        shares: vec![Share {
            service: "bench".into(),
            weight: 1,
        }],
        attempts_max: 2,
        anonymous: false,
        resumable: false,
        residency: Residency::Anywhere,
    }
}

fn document(version: u64) -> Document {
    Document {
        version,
        routes: vec![
            route("short", "a.example", "/lab/"),
            route("long", "a.example", "/lab/marks/"),
            route("other", "b.example", "/lab/"),
        ],
        services: Vec::new(),
        customers: vec![Customer {
            name: "escola".into(),
            keys: vec!["k1".to_owned()],
            priority: None,
            residency: Residency::Anywhere,
        }],
        limits: Limits::default(),
        gaps: Gaps::default(),
    }
}

fn record(id: &str) -> Record {
    Record {
        id: id.into(),
        born: 0,
        service: "tutor".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        hall: "lis-a".into(),
        slots: 16,
        leaving: false,
        models: Vec::new(),
        cold_ms: 0,
    }
}

fn apply(catalog: &mut Catalog, revision: u64, fact: Fact, now: Time) -> Effect {
    catalog.apply(Revisioned { revision, fact }, now, false)
}

fn usable(catalog: &Catalog, id: &str) -> bool {
    let listed = catalog.replicas().get(id);
    listed.is_some_and(|listed| listed.removed_at.is_none() || listed.provisional)
}

#[test]
fn route_with_longest_prefix_is_selected() {
    let routing = Routing::new(Arc::new(document(1)));
    let name = |host: &str, path: &str| routing.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/lab/marks/7").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/lab/7").as_deref(), Some("short"));
    assert_eq!(name("b.example", "/lab/marks/7").as_deref(), Some("other"));
    assert_eq!(name("a.example", "/labs"), None);
    assert_eq!(name("c.example", "/lab/"), None);
}

#[test]
fn access_requires_a_known_key_unless_anonymous() {
    let routing = Routing::new(Arc::new(document(1)));
    let closed = route("r", "a.example", "/");
    assert!(matches!(
        routing.access(&closed, Some("k1")),
        Access::Customer(customer) if &*customer.name == "escola"
    ));
    assert_eq!(routing.access(&closed, Some("k2")), Access::Denied);
    assert_eq!(routing.access(&closed, None), Access::Denied);
    let open = Route {
        anonymous: true,
        ..closed
    };
    assert_eq!(routing.access(&open, None), Access::Anonymous);
}

#[test]
fn services_are_selected_by_weight() {
    let shares = [("a", 90), ("b", 10)].map(|(service, weight)| Share {
        service: service.into(),
        weight,
    });
    let route = Route {
        shares: shares.to_vec(),
        ..route("r", "a.example", "/")
    };
    // A power of two distributes the draws exactly.
    let count = 1_024u64;
    let to_b = (0..count)
        .map(|step| ((step << 32) / count) as u32)
        .filter(|&draw| route.service(draw).is_some_and(|service| &**service == "b"))
        .count();
    let expected = (0..count).filter(|step| step * 100 / count >= 90);
    assert_eq!(to_b, expected.count());
}

#[test]
fn older_configuration_is_never_restored() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut catalog = Catalog::default();
        let mut highest = (0, 0);
        for (revision, version) in steps {
            let (revision, version) = (u64::from(revision), u64::from(version));
            let fact = Fact::Routing(Arc::new(document(version)));
            apply(&mut catalog, revision, fact, Time::default());
            let known = catalog.routing().map_or(0, |known| known.document.version);
            let revisions = catalog.revisions().routing;
            if known < highest.0 || revisions < highest.1 {
                return false;
            }
            highest = (known, revisions);
        }
        true
    }
    quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn removed_replica_is_not_restored_by_an_older_entry() {
    let mut catalog = Catalog::default();
    let now = Time::from_millis(1_000);
    apply(&mut catalog, 5, Fact::Replica(record("i-1")), now);
    assert!(usable(&catalog, "i-1"));
    apply(&mut catalog, 9, Fact::ReplicaGone("i-1".into()), now);
    assert!(!usable(&catalog, "i-1"));
    catalog.remove_expired(now);
    apply(&mut catalog, 7, Fact::Replica(record("i-1")), now);
    assert!(!usable(&catalog, "i-1"));
    apply(&mut catalog, 11, Fact::Replica(record("i-1")), now);
    assert!(usable(&catalog, "i-1"));
}

#[test]
fn removal_after_store_outage_is_provisional_for_the_grace_period() {
    let mut catalog = Catalog::default();
    let now = Time::from_millis(1_000);
    apply(&mut catalog, 5, Fact::Replica(record("i-1")), now);
    let gone = Revisioned {
        revision: 6,
        fact: Fact::ReplicaGone("i-1".into()),
    };
    catalog.apply(gone, now, true);
    assert!(usable(&catalog, "i-1"));
    assert!(catalog.remove_expired(now + REMOVAL_GRACE));
    assert!(!usable(&catalog, "i-1"));
    assert!(
        REMOVAL_GRACE < Duration::from_millis(1_500),
        "the grace period ends before a leaving replica is due"
    );
}

#[test]
fn mass_removal_is_provisional_and_a_single_one_is_not() {
    let mut catalog = Catalog::default();
    let now = Time::from_millis(1_000);
    for index in 0..12 {
        let id = format!("i-{index}");
        apply(&mut catalog, 5, Fact::Replica(record(&id)), now);
    }
    apply(&mut catalog, 6, Fact::ReplicaGone("i-0".into()), now);
    assert!(!usable(&catalog, "i-0"));
    for index in 1..5 {
        let id: Arc<str> = format!("i-{index}").into();
        apply(&mut catalog, 7, Fact::ReplicaGone(id), now);
    }
    assert!((1..5).all(|index| usable(&catalog, &format!("i-{index}"))));
}

#[test]
fn every_desired_version_has_its_own_bound() {
    let mut catalog = Catalog::default();
    let bound = Duration::from_secs(8);
    let name = |catalog: &mut Catalog, version, at: u64| {
        let fact = Fact::Version {
            model: "m".into(),
            version,
        };
        apply(catalog, version, fact, Time::from_millis(at));
    };
    name(&mut catalog, 2, 18_000);
    name(&mut catalog, 3, 20_000);
    let allowed = |at: u64| catalog.oldest_allowed("m", bound, Time::from_millis(at));
    assert_eq!(allowed(25_999), 0);
    assert_eq!(allowed(26_000), 2);
    assert_eq!(allowed(28_000), 3);
    let first = first_missing(catalog.desired_versions("m"), 1).unwrap();
    assert_eq!((first.version, first.since), (2, Time::from_millis(18_000)));
    assert_eq!(first_missing(catalog.desired_versions("m"), 3), None);
}

#[test]
fn versions_are_sorted_whatever_the_order_of_arrival() {
    fn property(versions: Vec<u8>) -> TestResult {
        if versions.is_empty() {
            return TestResult::discard();
        }
        let mut catalog = Catalog::default();
        for &version in &versions {
            let fact = Fact::Version {
                model: "m".into(),
                version: u64::from(version),
            };
            apply(&mut catalog, u64::from(version), fact, Time::default());
        }
        let desired = catalog.desired_versions("m");
        let ordered = desired
            .windows(2)
            .all(|pair| pair[0].version < pair[1].version);
        let newest = versions.iter().copied().max().map(u64::from);
        TestResult::from_bool(ordered && desired.last().map(|last| last.version) == newest)
    }
    quickcheck(property as fn(Vec<u8>) -> TestResult);
}

#[test]
fn upper_bound_covers_all_entries_that_may_be_running() {
    let own = "10.0.0.1:8000".parse().unwrap();
    let mut peers = Peers::new(Some(own));
    let now = Time::from_millis(100_000);
    let advertised: Vec<Advertisement> = (1..=6)
        .map(|index| Advertisement {
            address: format!("10.0.0.{index}:8000").parse().unwrap(),
            hall: "lis-a".into(),
            age_ms: 0,
        })
        .collect();
    peers.merge(&advertised, now);
    // The process itself and five others; there may be more that were not reported.
    assert!(peers.upper_bound() > 6);
    peers.remove_expired(now + EXPIRY);
    assert!(peers.alive(now + EXPIRY).next().is_none());
    assert!(peers.upper_bound() >= 1);
}

#[test]
fn starting_process_adopts_the_age_of_received_facts() {
    let now = Clock::default().now();
    let own: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let mut peers = Peers::new(Some(own));
    let advertised = Advertisement {
        address: "10.0.0.2:80".parse().unwrap(),
        hall: "lis-a".into(),
        age_ms: 1_500,
    };
    peers.merge(&[advertised], now);
    assert_eq!(peers.alive(now).count(), 1);
    assert_eq!(peers.added(), 1);

    let mut catalog = Catalog::default();
    let desired_version = DesiredVersion {
        version: 2,
        revision: 5,
        since: now,
    };
    let age = Duration::from_secs(10);
    catalog.apply_aged("m".into(), desired_version, age, now);
    let bound = Duration::from_secs(8);
    assert_eq!(
        catalog.oldest_allowed("m", bound, now),
        2,
        "the bound of the version has ended"
    );
}

#[test]
fn document_without_a_version_is_ordered_by_revision() {
    let mut catalog = Catalog::default();
    let now = Time::from_millis(1_000);
    let mut apply = |revision, version: u64| {
        let mut document = document(version);
        document.gaps.version = version == 0;
        let fact = Fact::Routing(Arc::new(document));
        catalog.apply(Revisioned { revision, fact }, now, false)
    };
    assert_eq!(apply(5, 7), Effect::Routing);
    assert_eq!(apply(6, 7), Effect::None);
    assert_eq!(apply(7, 0), Effect::Routing);
    assert_eq!(apply(4, 9), Effect::None);
    assert_eq!(apply(8, 3), Effect::Routing);
}

/// Transfers what `first` knows of the list of replicas to `second`.
fn transfer_list(first: &Catalog, second: &mut Catalog) {
    let since = second.revisions().replicas;
    match first.changes_since(since) {
        Some(changes) => second.apply_changes(changes, Time::default(), false),
        None => {
            let listed = first.replicas().values();
            let listed = listed.filter(|listed| listed.removed_at.is_none());
            let records = listed.map(|listed| (listed.revision, listed.record.clone()));
            let at = first.revisions().replicas;
            second.apply_list(records.collect(), at, Time::default(), false)
        }
    };
}

#[test]
fn list_built_from_changes_is_identical() {
    fn property(steps: Vec<(u8, bool, bool)>) -> bool {
        let now = Time::default();
        let (mut first, mut second) = (Catalog::new(true), Catalog::new(true));
        first.apply_list(vec![(1, record("i-0"))], 1, now, false);
        for (step, (id, removed, transferred)) in steps.into_iter().enumerate() {
            let id = format!("i-{}", id % 6);
            let fact = if removed {
                Fact::ReplicaGone(id.into())
            } else {
                Fact::Replica(Record {
                    leaving: step % 2 == 0,
                    ..record(&id)
                })
            };
            apply(&mut first, step as u64 + 2, fact, now);
            if transferred {
                transfer_list(&first, &mut second);
                let present = |catalog: &Catalog| -> Vec<Record> {
                    let listed = catalog.replicas().values();
                    let listed = listed.filter(|listed| listed.removed_at.is_none());
                    listed.map(|listed| listed.record.clone()).collect()
                };
                if present(&first) != present(&second) {
                    return false;
                }
            }
        }
        true
    }
    quickcheck(property as fn(Vec<(u8, bool, bool)>) -> bool);
}

#[test]
fn changes_before_the_first_list_are_not_sent() {
    let now = Time::default();
    let mut late = Catalog::new(true);
    late.apply_list(vec![(30, record("i-2"))], 50, now, false);
    assert!(
        late.changes_since(40).is_none(),
        "changes before the first list are not known"
    );
    apply(&mut late, 51, Fact::Replica(record("i-3")), now);
    let changes = late.changes_since(50).unwrap();
    assert!(changes.records.len() == 1 && changes.removals.is_empty());
    // A process that lacks earlier changes rejects these.
    let mut other = Catalog::new(true);
    other.apply_list(vec![(10, record("i-1"))], 10, now, false);
    assert_eq!(other.apply_changes(changes, now, false), Effect::None);
    assert!(!usable(&other, "i-3"));
}
