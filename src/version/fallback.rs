//! Selects a fallback version for an empty replica while the newest version is not available.
//!
//! A newly published version may take long to arrive because the origin's link is slow or the
//! origin is down. A replica that starts in the meantime and waits for it serves nothing, while
//! others still serve the previous version, which is allowed until the staleness bound of the first
//! version that it lacks. The replica therefore loads that version from its peers, provided that it
//! can serve for a while before the newest version arrives and before the bound ends.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ACTIVATION_TIME;
use crate::clock::Time;
use crate::config::catalog::{DesiredVersion, first_missing};

/// Minimum time for which a fallback version has to serve. Switching away from it costs about a
/// second of service (finishing requests, then 0.3 s to load the next version).
const SERVICE_TIME_MIN: Duration = Duration::from_millis(2_000);

/// Time without a new chunk anywhere after which the arrival can't be predicted. An origin that is
/// being read from delivers a chunk every few hundredths of a second.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Availability of the newest version's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Availability {
    /// Chunks that this box lacks.
    pub missing: u32,
    /// Missing chunks that no reachable process holds either.
    pub unavailable: u32,
    /// Total number of chunks, or 0 while unknown.
    pub chunks: u32,
    /// Time since a chunk was seen for the first time.
    pub since_progress: Duration,
}

/// Durations that the selection is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferTimes {
    /// Transfer of a complete copy over the origin's link.
    pub origin: Duration,
    /// Transfer of a complete copy over this box's link.
    pub local: Duration,
    /// Staleness bound: time from the publication of a version until replicas of older ones may
    /// receive no requests.
    pub bound: Duration,
}

impl Availability {
    /// Returns the time until the newest version is served here, or `None` if it can't be
    /// predicted.
    pub fn time_to_serve(&self, times: TransferTimes) -> Option<Duration> {
        if self.chunks > 0 && self.unavailable == 0 {
            return Some(times.local * self.missing / self.chunks + ACTIVATION_TIME);
        }
        if self.since_progress >= STALL_TIMEOUT {
            return None;
        }
        let from_origin = if self.chunks == 0 {
            times.origin
        } else {
            times.origin * self.unavailable / self.chunks
        };
        Some(
            from_origin.max(times.local * self.missing.max(1) / self.chunks.max(1))
                + ACTIVATION_TIME,
        )
    }
}

/// Returns the version that an empty replica should load for the time being, out of those that
/// others have `loaded`, or `None` if none is worthwhile.
pub fn select(
    desired: &[DesiredVersion],
    loaded: &BTreeSet<u64>,
    availability: Availability,
    times: TransferTimes,
    now: Time,
) -> Option<u64> {
    let time_to_load = times.local + ACTIVATION_TIME;
    let worthwhile = |until: Duration| until >= time_to_load + SERVICE_TIME_MIN;
    if !availability.time_to_serve(times).is_none_or(worthwhile) {
        return None;
    }
    let newest = desired.last()?.version;
    let older = loaded.range(..newest).rev().copied();
    let mut allowed = older.filter(|version| {
        let bound_end = first_missing(desired, *version).map(|missing| missing.since + times.bound);
        bound_end.is_some_and(|bound_end| worthwhile(bound_end.since(now)))
    });
    allowed.next()
}
