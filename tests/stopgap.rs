//! Replicas start empty while the newest version cannot be had, because its origin is narrow or away: half of a
//! service is replaced, and for ten seconds the rest carries everything. They take what others serve, if that pays.

use std::collections::BTreeSet;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::config::catalog::DesiredVersion;
use pumicelatch::version::fallback::{self, Availability, TransferTimes};

const NOW: Time = Time::from_millis(50_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An origin of 4.4 Mbit/s, a box's link of 7.3, and 12.4 s to change a version.
const TIMES: TransferTimes = TransferTimes {
    origin: Duration::from_millis(4_300),
    local: Duration::from_millis(2_600),
    bound: Duration::from_millis(12_400),
};

fn named(versions: &[(u64, u64)]) -> Vec<DesiredVersion> {
    let wanted = |&(version, ago)| DesiredVersion {
        version,
        revision: version,
        since: NOW - millis(ago),
    };
    versions.iter().map(wanted).collect()
}

/// The newest version is drawn: a fresh chunk 40 ms ago.
fn coming(missing: u32, unseen: u32) -> Availability {
    Availability {
        missing,
        unavailable: unseen,
        chunks: 96,
        since_progress: millis(40),
    }
}

fn away(outlook: Availability) -> Availability {
    Availability {
        since_progress: millis(1_600),
        ..outlook
    }
}

fn chosen(named: &[DesiredVersion], hold: &[u64], outlook: Availability) -> Option<u64> {
    let hold: BTreeSet<u64> = hold.iter().copied().collect();
    fallback::select(named, &hold, outlook, TIMES, NOW)
}

#[test]
fn while_the_origin_is_away_an_empty_replica_takes_the_version_that_others_serve() {
    let two = named(&[(2, 4_000), (3, 2_000)]);
    let stuck = away(coming(96, 90));
    assert_eq!(chosen(&two, &[1], stuck), Some(1));
    // Nobody holds the one between.
    assert_eq!(chosen(&two, &[1, 3], stuck), Some(1));
    assert_eq!(chosen(&two, &[1, 2], stuck), Some(2));
    assert_eq!(chosen(&two, &[], stuck), None);
    assert_eq!(chosen(&[], &[1], stuck), None);
}

#[test]
fn what_comes_soon_is_waited_for() {
    let one = named(&[(2, 1_000)]);
    let hold = [1];
    // Just named: the origin needs 4.3 s, the older version would serve after 3.2.
    let unknown = Availability {
        since_progress: millis(200),
        ..Availability::default()
    };
    assert_eq!(chosen(&one, &hold, unknown), None);
    assert_eq!(chosen(&one, &hold, coming(96, 96)), None);
    // Everything is in reach, whatever the origin does.
    assert_eq!(chosen(&one, &hold, away(coming(50, 0))), None);
    assert_eq!(chosen(&one, &hold, coming(0, 0)), None);
}

#[test]
fn a_version_whose_bound_is_near_is_not_taken() {
    let stuck = away(coming(96, 90));
    let hold = [1];
    // 3.2 s until it serves, and 2 s of service.
    assert_eq!(chosen(&named(&[(2, 7_000)]), &hold, stuck), Some(1));
    assert_eq!(chosen(&named(&[(2, 7_300)]), &hold, stuck), None);
    // The bound of the first version that it lacks counts, not that of the newest.
    assert_eq!(chosen(&named(&[(2, 9_000), (3, 500)]), &hold, stuck), None);
}
