//! When crashes happened, as far as that is known.

use std::time::Duration;

use crate::clock::Time;

/// Time within which the reports of one event may differ. Entries notice the same crash at different
/// moments, and ages grow while they are in transit.
const TOLERANCE: Duration = Duration::from_millis(100);

/// The time in which a crash happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// When the instance was last known to be alive.
    pub earliest: Time,
    /// When it was known to have crashed.
    pub latest: Time,
}

impl From<Time> for Window {
    fn from(at: Time) -> Self {
        Self {
            earliest: at,
            latest: at,
        }
    }
}

/// Returns the least number of moments at which all crashes can have happened. A loss of power ends
/// many instances at one moment, which is noticed sooner at some than at others.
pub(super) fn moments(windows: impl Iterator<Item = Window>) -> usize {
    let mut windows: Vec<Window> = windows.collect();
    windows.sort_by_key(|window| window.latest);
    let mut last: Option<Time> = None;
    let mut count = 0;
    for window in windows {
        if last.is_none_or(|last| window.earliest > last + TOLERANCE) {
            last = Some(window.latest);
            count += 1;
        }
    }
    count
}
