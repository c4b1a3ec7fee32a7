//! Capacity of one replica by urgency: the limit on the wait of each request while more urgent ones
//! are short of capacity.
//!
//! Engines take the more urgent requests from their queue first, but a request that runs keeps its
//! slot. So while the more urgent wait near their limit, the less urgent get free slots only, and
//! no place in the queue. A slot that is free is always granted, since an empty one helps nobody.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Minimum share of what an urgency requests, as long as anything is granted.
const SHARE_MIN: f64 = 0.25;

/// Time constant with which requested and granted work is forgotten.
const WORK_MEMORY: Duration = Duration::from_millis(600);

/// Time after its last request in which an urgency is forgotten.
const MEMORY: Duration = Duration::from_secs(2);

/// Fraction of its limit above which the expected wait of a request counts as a shortage.
const SHORTAGE: f64 = 0.8;

/// Part of the requested work below which the shortage of an urgency does not throttle the others. It
/// is first in the engine's queue, and so few find a slot.
const PRESSING_SHARE_MIN: f64 = 0.05;

/// Time in which the capacity of the less urgent is restored after a shortage. Engines take 1 to 2 s
/// for a request, during which a slot is not available to more urgent ones.
const RELEASE: Duration = Duration::from_secs(2);

/// Time for which a refusal for urgency closes the queue in [`Room::level`]: about one iteration, in
/// which the engine's slots do not change.
const CLOSED_MAX: Duration = Duration::from_millis(100);

/// What a request belongs to, as hashes; 0 is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Group {
    /// The route.
    pub route: u32,
    /// The customer.
    pub customer: u32,
    /// The hall of the asking entry.
    pub hall: u32,
}

/// What a request for a lease asks for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Claim {
    /// Its urgency; 0 is the highest.
    pub urgency: u8,
    /// What it belongs to.
    pub group: Group,
    /// Engine time that it takes.
    pub work: Duration,
    /// Whether it counts as requested: the first sidecar is asked, in the first try.
    pub first: bool,
    /// Expected time to its first event, behind the requests of its urgency and more urgent ones.
    pub expected: Duration,
    /// The same behind all requests.
    pub behind_all: Duration,
    /// The same with a free slot.
    pub with_slot: Duration,
    /// Limit on the first event without regard to urgency.
    pub limit: Duration,
    /// Whether it cannot be in time any more. Its wait is no shortage, and it does not count as
    /// requested.
    pub late: bool,
}

/// What is compared to admit a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Expected time to the first event.
    pub expected: Duration,
    /// Limit on that time.
    pub limit: Duration,
}

impl Terms {
    /// The expected time, plus the part of `limit` that the claim has to leave to others.
    pub fn expected_within(&self, limit: Duration) -> Duration {
        self.expected + limit.saturating_sub(self.limit)
    }
}

/// Requests of one urgency.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// Decayed work, in seconds.
    requested: f64,
    granted: f64,
    asked_at: Time,
    /// When one was last expected near its limit.
    short_at: Option<Time>,
    /// When one was last refused for its urgency, unless one was granted since.
    closed_at: Option<Time>,
}

impl Count {
    /// Whether less than the minimum share of the requested work was granted.
    fn is_short(&self) -> bool {
        self.granted < SHARE_MIN * self.requested
    }

    /// Granted fraction of the requested work.
    fn fraction(&self) -> f64 {
        if self.requested > 0.0 {
            self.granted / self.requested
        } else {
            1.0
        }
    }

    /// Between 1 at a shortage and 0 once it is over.
    fn pressure(&self, now: Time) -> f64 {
        let age = self.short_at.map(|at| now.since(at));
        let age = age.map_or(1.0, |age| age.div_duration_f64(RELEASE));
        (1.0 - age).max(0.0)
    }
}

/// Why the claims of an urgency are limited.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cause {
    /// More urgent requests are short of capacity, by this pressure.
    Urgent(f64),
    /// A less urgent one is below its minimum share.
    MinimumShare,
}

/// Requests at one replica by urgency.
#[derive(Debug, Clone, Default)]
pub struct Room {
    counts: BTreeMap<u8, Count>,
    /// Urgencies of the requests that were granted and wait, the most urgent first.
    waiting: Vec<u8>,
    decayed_at: Time,
}

impl Room {
    /// Of `waiting` requests at the engine, those that it takes before one of `urgency`.
    pub fn ahead(&mut self, urgency: u8, waiting: u32) -> u32 {
        // The engine has taken the most urgent.
        let taken = self.waiting.len().saturating_sub(waiting as usize);
        self.waiting.drain(..taken);
        let not_behind = self.waiting.partition_point(|other| *other <= urgency);
        waiting - (self.waiting.len() - not_behind) as u32
    }

    /// The terms that apply to a claim.
    pub fn terms(&mut self, claim: &Claim, now: Time) -> Terms {
        self.forget(now);
        let (expected, pressure) = match self.cause(claim.urgency, now) {
            None => (claim.expected, 0.0),
            Some(Cause::Urgent(pressure)) => (claim.behind_all, pressure),
            Some(Cause::MinimumShare) => (claim.behind_all, 1.0),
        };
        let withheld = claim.limit.saturating_sub(claim.with_slot);
        let leaves_slot = pressure > 0.0 && self.leaves_free_slot(claim.urgency, now);
        Terms {
            expected,
            limit: if leaves_slot {
                Duration::ZERO
            } else {
                claim.limit - withheld.mul_f64(pressure)
            },
        }
    }

    /// Whether a free slot is left to a more urgent request that is throttled as well. One that was
    /// refused within an iteration has mostly been followed by another before the slot is missed.
    fn leaves_free_slot(&self, urgency: u8, now: Time) -> bool {
        let refused = |count: &Count| count.closed_at.is_some_and(|at| now.since(at) < CLOSED_MAX);
        self.counts
            .range(..urgency)
            .any(|(_, count)| refused(count))
    }

    /// Records a claim and whether it was granted, under the `terms` that applied.
    pub fn record(&mut self, claim: &Claim, terms: Terms, given: bool, now: Time) {
        self.forget(now);
        let count = self.counts.entry(claim.urgency).or_default();
        count.asked_at = now;
        let work = claim.work.as_secs_f64();
        if claim.first && !claim.late {
            count.requested += work;
        }
        if !claim.late && claim.expected > claim.limit.mul_f64(SHORTAGE) {
            count.short_at = Some(now);
        }
        if given {
            count.granted += work;
            count.closed_at = None;
            let at = self
                .waiting
                .partition_point(|other| *other <= claim.urgency);
            self.waiting.insert(at, claim.urgency);
        } else if !claim.late && terms.limit < claim.limit && terms.expected > terms.limit {
            count.closed_at = Some(now);
        }
    }

    /// The highest urgency number that is now accepted in the queue; `None` if all are.
    pub fn level(&mut self, now: Time) -> Option<u8> {
        self.forget(now);
        let is_closed = |urgency: &u8, count: &Count| {
            let refused = count.closed_at.is_some_and(|at| now.since(at) < CLOSED_MAX);
            refused && matches!(self.cause(*urgency, now), Some(Cause::Urgent(_)))
        };
        let mut open = self.counts.iter().rev();
        let level = *open.find(|(urgency, count)| !is_closed(urgency, count))?.0;
        self.counts.range(level + 1..).next().map(|_| level)
    }

    /// Granted fraction of the requested work by urgency.
    pub fn granted(&self) -> impl Iterator<Item = (u8, f64)> {
        let counts = self.counts.iter();
        counts.map(|(urgency, count)| (*urgency, count.fraction().min(1.0)))
    }

    /// Why the claims of `urgency` are limited, if they are.
    fn cause(&self, urgency: u8, now: Time) -> Option<Cause> {
        if self.counts.get(&urgency).is_some_and(Count::is_short) {
            return None;
        }
        let requested: f64 = self.counts.values().map(|count| count.requested).sum();
        let pressing = self
            .counts
            .range(..urgency)
            .filter(|(_, count)| count.requested >= requested * PRESSING_SHARE_MIN);
        let pressure = pressing
            .map(|(_, count)| count.pressure(now))
            .fold(0.0, f64::max);
        if pressure > 0.0 {
            return Some(Cause::Urgent(pressure));
        }
        // Of those above their minimum share, the least urgent leaves capacity to those below it.
        let less_urgent = || self.counts.range(urgency + 1..).map(|(_, count)| count);
        let yields = less_urgent().any(Count::is_short)
            && less_urgent().all(|count| count.fraction() <= SHARE_MIN);
        yields.then_some(Cause::MinimumShare)
    }

    fn forget(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / WORK_MEMORY.as_secs_f64()).exp();
        self.counts
            .retain(|_, count| now.since(count.asked_at) < MEMORY);
        for count in self.counts.values_mut() {
            count.requested *= factor;
            count.granted *= factor;
        }
        self.decayed_at = now;
    }
}
