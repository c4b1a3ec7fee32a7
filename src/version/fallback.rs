//! Which version an empty replica takes while the newest cannot be had.
//!
//! A version that was named may be long in coming: its origin is narrow, or away. A replica that starts
//! meanwhile and waits for it serves nothing, while others serve the version before, which is allowed
//! until the bound of the first one that it lacks. So it takes that one from them, if it can serve
//! for a while before the newest comes and before the bound.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ACTIVATION_TIME;
use crate::clock::Time;
use crate::config::catalog::{DesiredVersion, first_missing};

/// How long a replica is to serve a version that it takes for a time: to give it up again takes about a
/// second of its work (what runs is finished, 0.3 s to take the next one in).
const SERVES_MIN: Duration = Duration::from_millis(2_000);

/// How long no chunk of a version may be new anywhere before nobody can tell when it comes: an origin
/// that is drawn from brings one each few hundredths of a second.
const QUIET_MAX: Duration = Duration::from_millis(1_500);

/// What is known of the newest version's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Availability {
    /// Chunks that this box lacks.
    pub missing: u32,
    /// Of those, chunks that nobody in reach holds either.
    pub unavailable: u32,
    /// All its chunks; 0 while they are not known.
    pub chunks: u32,
    /// Time since one of them was seen for the first time.
    pub since_progress: Duration,
}

/// What things take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferTimes {
    /// A whole copy over the origin's link.
    pub origin: Duration,
    /// A whole copy over this box's link.
    pub local: Duration,
    /// From the naming of a version until nothing may be sent to a replica of an older one.
    pub bound: Duration,
}

impl Availability {
    /// When the newest version is served here, if that can be told.
    pub fn time_to_serve(&self, times: TransferTimes) -> Option<Duration> {
        if self.chunks > 0 && self.unavailable == 0 {
            return Some(times.local * self.missing / self.chunks + ACTIVATION_TIME);
        }
        if self.since_progress >= QUIET_MAX {
            return None;
        }
        let unseen = if self.chunks == 0 {
            times.origin
        } else {
            times.origin * self.unavailable / self.chunks
        };
        Some(unseen.max(times.local * self.missing.max(1) / self.chunks.max(1)) + ACTIVATION_TIME)
    }
}

/// The version that an empty replica takes meanwhile, of those that others `hold`, if one pays.
pub fn select(
    named: &[DesiredVersion],
    hold: &BTreeSet<u64>,
    outlook: Availability,
    times: TransferTimes,
    now: Time,
) -> Option<u64> {
    let serves = times.local + ACTIVATION_TIME;
    let pays = |until: Duration| until >= serves + SERVES_MIN;
    if !outlook.time_to_serve(times).is_none_or(pays) {
        return None;
    }
    let newest = named.last()?.version;
    let older = hold.range(..newest).rev().copied();
    let mut allowed = older.filter(|version| {
        let ends = first_missing(named, *version).map(|lacking| lacking.since + times.bound);
        ends.is_some_and(|ends| pays(ends.since(now)))
    });
    allowed.next()
}
