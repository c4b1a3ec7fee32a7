//! Tests the selection of a fallback version for replicas that start empty while the newest version
//! is not available, because its origin has a slow link or is down.
//!
//! Guards against an outage in which half of a service was replaced and the other half carried the
//! whole load for ten seconds, although the new replicas could have served the version of the
//! others.

use std::collections::BTreeSet;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::DesiredVersion;
use pumicelatch::version::fallback::{self, Availability, TransferTimes};

const NOW: Time = Time::from_millis(50_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An origin's link of 4.4 Mbit/s, a box's link of 7.3 Mbit/s, and a staleness bound of 12.4 s.
const TIMES: TransferTimes = TransferTimes {
    origin: Duration::from_millis(4_300),
    local: Duration::from_millis(2_600),
    bound: Duration::from_millis(12_400),
};

fn desired(versions: &[(u64, u64)]) -> Vec<DesiredVersion> {
    let desired_version = |&(version, ago)| DesiredVersion {
        version,
        revision: version,
        since: NOW - millis(ago),
    };
    versions.iter().map(desired_version).collect()
}

/// The newest version is being fetched: the last new chunk arrived 40 ms ago.
fn fetching(missing: u32, unavailable: u32) -> Availability {
    Availability {
        missing,
        unavailable,
        chunks: 96,
        since_progress: millis(40),
    }
}

fn stalled(availability: Availability) -> Availability {
    Availability {
        since_progress: millis(1_600),
        ..availability
    }
}

fn selected(desired: &[DesiredVersion], loaded: &[u64], availability: Availability) -> Option<u64> {
    let loaded: BTreeSet<u64> = loaded.iter().copied().collect();
    fallback::select(desired, &loaded, availability, TIMES, NOW)
}

#[test]
fn empty_replica_selects_the_version_of_others_while_the_origin_is_down() {
    let two = desired(&[(2, 4_000), (3, 2_000)]);
    let origin_down = stalled(fetching(96, 90));
    assert_eq!(selected(&two, &[1], origin_down), Some(1));
    // No process holds the version in between.
    assert_eq!(selected(&two, &[1, 3], origin_down), Some(1));
    assert_eq!(selected(&two, &[1, 2], origin_down), Some(2));
    assert_eq!(selected(&two, &[], origin_down), None);
    assert_eq!(selected(&[], &[1], origin_down), None);
}

#[test]
fn version_that_arrives_soon_is_awaited() {
    let one = desired(&[(2, 1_000)]);
    let loaded = [1];
    // Just published: the origin needs 4.3 s, while the older version would serve after 3.2 s.
    let unknown = Availability {
        since_progress: millis(200),
        ..Availability::default()
    };
    assert_eq!(selected(&one, &loaded, unknown), None);
    assert_eq!(selected(&one, &loaded, fetching(96, 96)), None);
    // All chunks are available, whatever the state of the origin.
    assert_eq!(selected(&one, &loaded, stalled(fetching(50, 0))), None);
    assert_eq!(selected(&one, &loaded, fetching(0, 0)), None);
}

#[test]
fn version_whose_bound_ends_soon_is_not_selected() {
    let origin_down = stalled(fetching(96, 90));
    let loaded = [1];
    // Serving starts after 3.2 s and has to last for 2 s.
    assert_eq!(
        selected(&desired(&[(2, 7_000)]), &loaded, origin_down),
        Some(1)
    );
    assert_eq!(
        selected(&desired(&[(2, 7_300)]), &loaded, origin_down),
        None
    );
    // The bound of the first version that the replica lacks counts, not that of the newest.
    assert_eq!(
        selected(&desired(&[(2, 9_000), (3, 500)]), &loaded, origin_down),
        None
    );
}
