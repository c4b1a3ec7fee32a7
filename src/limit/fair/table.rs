//! Engine time requested and granted by groups of one sort, their fair share, and who is over it.

use std::collections::BTreeMap;
use std::ops::Add;

use crate::clock::Time;

/// Number of intervals in a [`Window`]: 2 s, after which a load that has ended is forgotten.
pub(super) const INTERVALS: usize = 8;

/// A group that asks for up to this multiple of its usual load, in relation to all others, is not
/// throttled. The usual load takes in no more than that either, so that a flood of 10 s does not
/// become usual.
const USUAL_FACTOR: f64 = 2.0;

/// Least usual share of a group when it takes in more, so that a new group's can rise from zero.
const USUAL_SHARE_MIN: f64 = 0.05;

/// Intervals for which a group is throttled after it exceeds twice its usual load by [`CONFIDENCE`], as
/// long as it exceeds that at all. With three, a load that had ended was not forgotten within 2 s.
const HOLD_INTERVALS: u64 = 2;

/// Relative error of sums of engine times.
const ROUNDING: f64 = 1e-9;

/// Standard deviations by which a group has to exceed twice its usual load before it is throttled.
const CONFIDENCE: f64 = 2.5;

/// Number of groups of each sort that are remembered.
pub const GROUPS_MAX: usize = 256;

/// Engine time of a group's requests, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sum {
    pub(super) asked: f64,
    /// Sum of the squares of the requests' engine times: the variance of `asked`.
    pub(super) variance: f64,
    pub(super) granted: f64,
}

impl Add for Sum {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            variance: self.variance + other.variance,
            granted: self.granted + other.granted,
        }
    }
}

/// Sums over the last intervals, by interval.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    intervals: [Sum; INTERVALS],
    total: Sum,
}

impl Window {
    fn add(&mut self, interval: u64, sum: Sum) {
        let current = &mut self.intervals[interval as usize % INTERVALS];
        *current = *current + sum;
        self.total = self.total + sum;
    }

    /// Replaces the oldest interval by `interval`.
    fn begin(&mut self, interval: u64) {
        self.intervals[interval as usize % INTERVALS] = Sum::default();
        self.total = self
            .intervals
            .iter()
            .copied()
            .fold(Sum::default(), Add::add);
    }
}

/// Requests of one group.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Group {
    window: Window,
    /// Usual share of all requested engine time.
    usual: f64,
    seen: Time,
    /// Interval until which it may be throttled.
    held_until: u64,
    pub(super) throttled: bool,
}

impl Group {
    pub(super) fn asked(&self) -> f64 {
        self.window.total.asked
    }

    pub(super) fn granted(&self) -> f64 {
        self.window.total.granted
    }

    /// Updates whether the group is throttled: whether it asks for more than the share `level`, and for
    /// more than twice as much as usual in relation to all others, whose sum is `rest`.
    fn decide(&mut self, level: f64, rest: Sum, interval: u64) {
        let own = self.window.total;
        let most = share_max(self.usual);
        let difference = own.asked * (1.0 - most) - rest.asked * most;
        // Few requests tell little of how much they vary: none of the rest may be among them. So the
        // variance is at least that of a group which asks for just the most.
        let observed = own.variance * (1.0 - most) * (1.0 - most) + rest.variance * most * most;
        let chance = most * (1.0 - most) * (own.variance + rest.variance);
        let margin = CONFIDENCE * observed.max(chance).sqrt();
        let is_over = own.asked > level && rest.asked > 0.0;
        if is_over && difference > margin {
            self.held_until = interval + HOLD_INTERVALS;
        }
        self.throttled = is_over && difference > 0.0 && interval < self.held_until;
    }
}

/// Groups of one sort.
#[derive(Debug)]
pub(super) struct Table {
    pub(super) groups: BTreeMap<u32, Group>,
    /// Fair share of each group, in seconds of engine time within a window.
    pub(super) level: f64,
    /// The same as a part of all granted engine time.
    level_share: f64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            level: f64::INFINITY,
            level_share: f64::INFINITY,
        }
    }
}

impl Table {
    pub(super) fn add(&mut self, id: u32, interval: u64, sum: Sum, now: Time) {
        if !self.groups.contains_key(&id) && self.groups.len() >= GROUPS_MAX {
            let oldest = self.groups.iter().min_by_key(|(_, group)| group.seen);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.groups.remove(&oldest);
            }
        }
        let group = self.groups.entry(id).or_default();
        group.seen = now;
        group.window.add(interval, sum);
    }

    fn total(&self) -> Sum {
        let groups = self.groups.values();
        groups
            .map(|group| group.window.total)
            .fold(Sum::default(), Add::add)
    }

    /// Begins `interval`. `weight` is that of the last window in the usual shares.
    pub(super) fn begin(&mut self, interval: u64, weight: f64, learning: bool) {
        let asked = self.total().asked;
        for group in self.groups.values_mut() {
            if asked > 0.0 {
                let share = group.asked() / asked;
                let most = if learning {
                    1.0
                } else {
                    share_max(group.usual.max(USUAL_SHARE_MIN))
                };
                group.usual += (share.min(most) - group.usual) * weight;
            }
            group.window.begin(interval);
        }
    }

    /// Determines the fair share and who is throttled. Returns the groups for which that changed.
    pub(super) fn decide(&mut self, short: bool, interval: u64) -> Vec<u32> {
        let total = self.total();
        let asked = self.groups.values().map(Group::asked).collect();
        self.level = level(asked, total.granted);
        self.level_share = self.level / total.granted;
        let mut changed = Vec::new();
        for (id, group) in &mut self.groups {
            let own = group.window.total;
            let rest = Sum {
                asked: total.asked - own.asked,
                variance: total.variance - own.variance,
                granted: 0.0,
            };
            let before = group.throttled;
            group.decide(self.level, rest, interval);
            group.throttled &= short;
            if group.throttled != before {
                changed.push(*id);
            }
        }
        changed
    }

    /// How far a group is over its share, as a fraction of it.
    pub(super) fn excess(&self, id: u32) -> f64 {
        match self.groups.get(&id) {
            Some(group) if group.throttled => {
                group.granted() / self.total().granted / self.level_share - 1.0
            }
            _ => 0.0,
        }
    }
}

/// The share of a group which asks for [`USUAL_FACTOR`] times as much as usual beside others that ask
/// as usual.
fn share_max(usual: f64) -> f64 {
    let asked = usual * USUAL_FACTOR;
    asked / (1.0 - usual + asked)
}

/// The max-min fair share of `capacity`: groups that ask for less have what they ask for, and all
/// others have this. Infinite if there is enough for all, or if nothing is served.
fn level(mut asked: Vec<f64>, capacity: f64) -> f64 {
    asked.sort_unstable_by(f64::total_cmp);
    let (mut left, count) = (capacity, asked.len());
    for (index, asked) in asked.into_iter().enumerate() {
        let equal = left / (count - index) as f64;
        if asked > equal * (1.0 + ROUNDING) && equal > 0.0 {
            return equal;
        }
        left -= asked;
    }
    f64::INFINITY
}
