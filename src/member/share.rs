//! Which entry counts something on behalf of all entries, and how much of it.
//!
//! For each subject, the entry that ranks first counts, and the others ask it. Entries may disagree
//! on who that is while their knowledge of each other spreads, and parts of the fleet that are cut
//! off from each other each have a first entry. So an entry counts only a share:
//!
//! * the part of the known entries that are alive in its view. The shares of parts that know of
//!   each other add up to one at most.
//! * the smallest share of the last seconds. A share falls as soon as another entry may count, and
//!   rises only once all know of the change.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::peer::ALIVE_TIMEOUT;
use super::rank::weight;
use crate::clock::Time;

/// Time that a change has to be known before a share rises: in this time every entry that can be
/// reached has learned of it, or taken those that cannot for dead.
pub const SETTLING: Duration = ALIVE_TIMEOUT;

/// Time without an observation after which the process was stopped meanwhile, and does not know
/// what the others did.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// An entry and its hall.
pub type Located = (SocketAddr, Arc<str>);

/// The entry that counts `subject`: the first of `hall` if it has any, or else of all.
pub fn counter(entries: &[Located], subject: &str, hall: &str) -> Option<SocketAddr> {
    let first = |local: bool| {
        let entries = entries.iter().filter(|(_, at)| !local || **at == *hall);
        entries
            .map(|(address, _)| *address)
            .max_by_key(|address| weight(*address, subject))
    };
    first(true).or_else(|| first(false))
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct View {
    /// The entries that are alive, the own one included.
    alive: Vec<Located>,
    /// Further entries that are known and may be cut off; `None` if the entry has just started and
    /// knows of no other, though there are some.
    missing: Option<usize>,
}

impl View {
    fn share(&self, own: SocketAddr, subject: &str, hall: &str) -> f64 {
        if counter(&self.alive, subject, hall) != Some(own) {
            return 0.0;
        }
        let alive = self.alive.len();
        self.missing
            .map_or(0.0, |missing| alive as f64 / (alive + missing) as f64)
    }
}

/// The entries that one entry has known of late.
#[derive(Debug)]
pub struct History {
    own: SocketAddr,
    /// Views and when each began, oldest first.
    views: VecDeque<(Time, View)>,
    observed_at: Time,
}

impl History {
    /// The history of the entry at `own`, which has just started.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            views: VecDeque::new(),
            observed_at: Time::default(),
        }
    }

    /// Records the entries that are `alive` at `now`, the own one included, and the number of
    /// further known ones that are `missing`, if that is known. To be called several times a second.
    pub fn observe(&mut self, alive: Vec<Located>, missing: Option<usize>, now: Time) {
        if self.was_stopped(now) {
            self.views.clear();
        }
        self.observed_at = now;
        let view = View { alive, missing };
        if self.views.back().is_none_or(|(_, last)| *last != view) {
            self.views.push_back((now, view));
        }
        while self
            .views
            .get(1)
            .is_some_and(|(began, _)| now.since(*began) >= SETTLING)
        {
            self.views.pop_front();
        }
    }

    fn was_stopped(&self, now: Time) -> bool {
        now.since(self.observed_at) > PAUSE_MAX
    }

    /// The share of `subject`, in `hall`, that this entry counts at `now`.
    pub fn share(&self, subject: &str, hall: &str, now: Time) -> f64 {
        let Some((began, _)) = self.views.front() else {
            return 0.0;
        };
        if self.was_stopped(now) || now.since(*began) < SETTLING {
            return 0.0;
        }
        let shares = self
            .views
            .iter()
            .map(|(_, view)| view.share(self.own, subject, hall));
        shares.min_by(f64::total_cmp).unwrap_or_default()
    }
}
