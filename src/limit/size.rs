//! Size classes of requests: how large a request is among the recent ones of its kind.
//!
//! Limits are in units of time, and the time that a request takes grows with its size, so a limit
//! that treats all requests alike may exclude the large ones. So admissions are counted by size class,
//! and classes that are admitted more often than others leave room for those.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;

/// Number of recent requests of a kind among which a request is ranked.
const WINDOW: usize = 200;

/// Number of kinds that are ranked. Requests of any further kind count as [`Class::Small`].
const KINDS_MAX: usize = 256;

/// A kind with a lower decayed count of requests may be forgotten.
const COUNT_MIN: f64 = 0.01;

/// Number of size classes.
const CLASSES: usize = 4;

/// Time constant with which counts of requests are forgotten.
const MEMORY: Duration = Duration::from_secs(20);

/// Number of requests that is added when a surplus is computed, since a few of them tell little.
const COUNT_MARGIN: f64 = 3.0;

/// Reserve for each unit of surplus, as a multiple of the prefill time of a long prompt.
const RESERVE_GAIN: f64 = 5.0;

/// Largest reserve, as a multiple of the prefill time of a long prompt.
const RESERVE_MAX: f64 = 3.0;

/// Size class of a request among those of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// The largest tenth.
    Largest,
    /// The fifth below the largest tenth.
    Large,
    /// The three tenths below those.
    Medium,
    /// The smallest four tenths.
    Small,
}

impl Class {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Largest => "largest",
            Self::Large => "large",
            Self::Medium => "medium",
            Self::Small => "small",
        }
    }

    /// The class of a request that is larger than `smaller` of `total` requests.
    fn of_rank(smaller: usize, total: usize) -> Self {
        let at_least = |tenths| smaller > 0 && smaller * 10 >= total * tenths;
        if at_least(9) {
            Self::Largest
        } else if at_least(7) {
            Self::Large
        } else if at_least(4) {
            Self::Medium
        } else {
            Self::Small
        }
    }
}

/// Requests of one class, as decayed counts.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    offered: f64,
    admitted: f64,
}

impl Count {
    /// Share of the requests to be admitted at `rate` that were admitted in addition; negative if fewer
    /// were.
    fn surplus(self, rate: f64) -> f64 {
        let expected = self.offered * rate;
        (self.admitted - expected) / (expected + COUNT_MARGIN)
    }
}

/// Requests of one kind.
#[derive(Debug, Default)]
struct Kind {
    /// Engine time of the most recent requests.
    recent: VecDeque<Duration>,
    counts: [Count; CLASSES],
}

impl Kind {
    fn offered(&self) -> f64 {
        self.counts.iter().map(|count| count.offered).sum()
    }

    /// Share of the kind's requests that is admitted.
    fn rate(&self) -> f64 {
        let admitted: f64 = self.counts.iter().map(|count| count.admitted).sum();
        let offered = self.offered();
        if offered > 0.0 {
            admitted / offered
        } else {
            1.0
        }
    }
}

/// Recent requests to one service: their sizes, and how many of each size class were admitted.
#[derive(Debug, Default)]
pub struct Sizes {
    kinds: BTreeMap<Arc<str>, Kind>,
    /// Prefill times of the most recent requests.
    prefills: VecDeque<Duration>,
    decayed_at: Time,
}

impl Sizes {
    /// Ranks a request of `kind` that takes `work`, of which `prefill` is for its prompt, among the
    /// recent ones, and adds it to them.
    pub fn classify(
        &mut self,
        kind: &Arc<str>,
        work: Duration,
        prefill: Duration,
        now: Time,
    ) -> Class {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= KINDS_MAX {
            self.decay(now);
            self.kinds.retain(|_, kind| kind.offered() >= COUNT_MIN);
            if self.kinds.len() >= KINDS_MAX {
                return Class::Small;
            }
        }
        let recent = &mut self.kinds.entry(kind.clone()).or_default().recent;
        let smaller = recent.iter().filter(|other| **other < work).count();
        let class = Class::of_rank(smaller, recent.len());
        push(recent, work);
        push(&mut self.prefills, prefill);
        class
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / MEMORY.as_secs_f64()).exp();
        let counts = self.kinds.values_mut().flat_map(|kind| &mut kind.counts);
        for count in counts {
            count.offered *= factor;
            count.admitted *= factor;
        }
        self.decayed_at = now;
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, kind: &str, class: Class, admitted: bool, now: Time) {
        self.decay(now);
        if let Some(kind) = self.kinds.get_mut(kind) {
            let count = &mut kind.counts[class as usize];
            count.offered += 1.0;
            count.admitted += f64::from(u8::from(admitted));
        }
    }

    /// Part of a request's limit that is reserved for other sizes and kinds, as a multiple of the prefill
    /// time of a long prompt. It grows with how much more often its class is admitted, relative to its
    /// kind, than the class that is furthest behind.
    pub fn reserve(&self, kind: &str, class: Class) -> f64 {
        let Some(own) = self.kinds.get(kind) else {
            return 0.0;
        };
        let surplus = |kind: &Kind, count: &Count| count.surplus(kind.rate());
        let all = self.kinds.values();
        let lowest = all
            .flat_map(|kind| kind.counts.iter().map(move |count| surplus(kind, count)))
            .fold(0.0, f64::min);
        let ahead = surplus(own, &own.counts[class as usize]) - lowest;
        (ahead * RESERVE_GAIN).min(RESERVE_MAX)
    }

    /// Prefill time that nine of ten recent requests do not exceed.
    pub fn long_prefill(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.prefills.iter().copied().collect();
        if sorted.is_empty() {
            return Duration::ZERO;
        }
        let rank = sorted.len() * 9 / 10;
        *sorted.select_nth_unstable(rank).1
    }
}

fn push(recent: &mut VecDeque<Duration>, value: Duration) {
    if recent.len() >= WINDOW {
        recent.pop_front();
    }
    recent.push_back(value);
}
