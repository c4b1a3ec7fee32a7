//! Tests when a version's staleness bound starts, and which desired versions a process knows.
//!
//! Guards against a bound that starts late. Versions are published in quick succession while a
//! process starts or while its watch of the store hangs. The store returns only the newest version
//! and no age, so a process that reads it late would start the bound at that time, and go on
//! sending requests to replicas of the previous version. Other processes know the age.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use pumicelatch::config::catalog::{DesiredVersion, Fact, Revisioned};
use pumicelatch::knowledge::{Identity, Knowledge};
use pumicelatch::policy::Policy;
use pumicelatch::source::{Batch, Topic};

const MODEL: &str = "m";

/// How much later the second process reads the store.
const READ_DELAY: Duration = Duration::from_millis(300);

/// Tolerated difference between the ages at both processes after they have exchanged updates.
const TOLERANCE: Duration = Duration::from_millis(100);

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn entry(last: u8) -> Rc<Knowledge> {
    let identity = Identity {
        name: "entry".into(),
        hall: "hall".into(),
        address: address(last),
        entry: true,
    };
    Knowledge::new(identity, Vec::new(), 7, Policy::default(), Rc::default())
}

/// Delivers a batch from the store in which `version` is desired, at the revision of the same
/// number.
fn deliver_from_store(knowledge: &Knowledge, version: u64) {
    let fact = Fact::Version {
        model: MODEL.into(),
        version,
    };
    let batch = Batch {
        facts: vec![Revisioned {
            revision: version,
            fact,
        }],
        revision: version,
        ..Batch::default()
    };
    knowledge.apply_batch(Topic::Operator, false, batch);
}

/// `knowledge` requests an update from `other`.
fn request_update(knowledge: &Knowledge, other: &Knowledge) {
    let update = other.update_for(&knowledge.heartbeat(false), false);
    knowledge.apply_update(other.identity.address, update);
}

/// Returns how long the process has known each version.
fn ages(knowledge: &Knowledge) -> Vec<(u64, Duration)> {
    let now = knowledge.now();
    let catalog = knowledge.catalog.borrow();
    let desired = catalog.desired_versions(MODEL).iter();
    desired
        .map(|DesiredVersion { version, since, .. }| (*version, now.since(*since)))
        .collect()
}

#[test]
fn late_reader_adopts_the_age_known_to_others() {
    let (first, late) = (entry(1), entry(2));
    deliver_from_store(&first, 2);
    sleep(READ_DELAY);
    deliver_from_store(&late, 2);
    let changes = *late.changed.borrow();
    request_update(&late, &first);
    let (known, adopted) = (ages(&first)[0].1, ages(&late)[0].1);
    assert!(
        known.abs_diff(adopted) < TOLERANCE,
        "{known:?}, {adopted:?}"
    );
    assert!(
        *late.changed.borrow() > changes,
        "decisions use the corrected bound"
    );
}

#[test]
fn version_missing_from_the_store_is_learned_from_others() {
    let (first, late) = (entry(1), entry(2));
    deliver_from_store(&first, 2);
    sleep(READ_DELAY);
    for knowledge in [&first, &late] {
        deliver_from_store(knowledge, 3);
    }
    request_update(&late, &first);
    let versions: Vec<u64> = ages(&late).iter().map(|(version, _)| *version).collect();
    assert_eq!(versions, [2, 3]);
    let oldest = late
        .catalog
        .borrow()
        .oldest_allowed(MODEL, READ_DELAY, late.now());
    assert_eq!(oldest, 2, "no request may start on version 1");
}
