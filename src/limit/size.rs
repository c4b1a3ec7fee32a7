//! Size classes of requests: how large a request is among the recent ones of its kind.
//!
//! Limits are in units of time, and the time that a request takes grows with its size, so a limit
//! that treats all requests alike may exclude the large ones. Outcomes are therefore counted by size
//! class.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Number of recent requests of a kind among which a request is ranked.
const WINDOW: usize = 200;

/// Number of kinds that are ranked. Requests of any further kind count as [`Class::Rest`].
const KINDS_MAX: usize = 256;

/// Size class of a request among those of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// The largest tenth.
    Largest,
    /// The fifth below the largest tenth.
    Large,
    /// All smaller requests.
    Rest,
}

impl Class {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Largest => "largest",
            Self::Large => "large",
            Self::Rest => "rest",
        }
    }

    /// The class of a request that is larger than `smaller` of `total` requests.
    fn of_rank(smaller: usize, total: usize) -> Self {
        match (smaller, total) {
            (smaller, total) if smaller * 10 >= total * 9 && smaller > 0 => Self::Largest,
            (smaller, total) if smaller * 10 >= total * 7 && smaller > 0 => Self::Large,
            _ => Self::Rest,
        }
    }
}

/// Sizes of recent requests by kind.
#[derive(Debug, Default)]
pub struct Sizes {
    recent: BTreeMap<Arc<str>, VecDeque<Duration>>,
}

impl Sizes {
    /// Ranks a request of `kind` that takes `work` among the recent ones, and adds it to them.
    pub fn classify(&mut self, kind: &Arc<str>, work: Duration) -> Class {
        if !self.recent.contains_key(kind) && self.recent.len() >= KINDS_MAX {
            return Class::Rest;
        }
        let recent = self.recent.entry(kind.clone()).or_default();
        let smaller = recent.iter().filter(|other| **other < work).count();
        let class = Class::of_rank(smaller, recent.len());
        if recent.len() >= WINDOW {
            recent.pop_front();
        }
        recent.push_back(work);
        class
    }
}
