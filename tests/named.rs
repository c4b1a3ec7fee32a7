//! From when on a version's bound is counted, and which versions a process knows of.
//!
//! Pattern: versions are named one soon after the other while a process begins, or while its watch of the
//! store hangs. The store tells the newest version only and nothing of its age; whoever asks it late counts the bound from then
//! on, and goes on sending to replicas of the version before. The other processes know better.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use pumicelatch::config::catalog::{DesiredVersion, Fact, Revisioned};
use pumicelatch::knowledge::{Identity, Knowledge};
use pumicelatch::policy::Policy;
use pumicelatch::source::{Batch, Topic};

const MODEL: &str = "m";

/// How much later than the other the one process asks the store.
const LATER: Duration = Duration::from_millis(300);

/// What both may differ by once they have spoken.
const SAME: Duration = Duration::from_millis(100);

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

/// The store answers that `version` is wanted, by a change of that revision.
fn store_tells(knowledge: &Knowledge, version: u64) {
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

/// `knowledge` asks `other` for its news.
fn asks(knowledge: &Knowledge, other: &Knowledge) {
    let news = other.update_for(&knowledge.heartbeat(false), false);
    knowledge.apply_update(other.identity.address, news);
}

/// How long it has known each version.
fn ages(knowledge: &Knowledge) -> Vec<(u64, Duration)> {
    let now = knowledge.now();
    let catalog = knowledge.catalog.borrow();
    let named = catalog.desired_versions(MODEL).iter();
    named
        .map(|DesiredVersion { version, since, .. }| (*version, now.since(*since)))
        .collect()
}

#[test]
fn a_process_that_reads_a_version_late_counts_its_bound_as_the_others_do() {
    let (first, late) = (entry(1), entry(2));
    store_tells(&first, 2);
    sleep(LATER);
    store_tells(&late, 2);
    let changes = *late.changed.borrow();
    asks(&late, &first);
    let (known, told) = (ages(&first)[0].1, ages(&late)[0].1);
    assert!(known.abs_diff(told) < SAME, "{known:?}, {told:?}");
    assert!(
        *late.changed.borrow() > changes,
        "its choices go by the new bound"
    );
}

#[test]
fn a_version_that_the_store_tells_no_more_is_learnt_from_the_others() {
    let (first, late) = (entry(1), entry(2));
    store_tells(&first, 2);
    sleep(LATER);
    for knowledge in [&first, &late] {
        store_tells(knowledge, 3);
    }
    asks(&late, &first);
    let versions: Vec<u64> = ages(&late).iter().map(|(version, _)| *version).collect();
    assert_eq!(versions, [2, 3]);
    let oldest = late
        .catalog
        .borrow()
        .oldest_allowed(MODEL, LATER, late.now());
    assert_eq!(oldest, 2, "nothing may start on version 1 any more");
}
