//! Fair shares of a replica's engine among requests of one urgency: by route, by customer and by the
//! hall of the asking entry.
//!
//! While requests of an urgency are short of capacity, all of them see the same expected wait, so a
//! group that sends several times its usual load takes the capacity of all others. Here each group
//! may have its max-min fair share of what is granted. A group beyond that waits in the engine's
//! queue for a smaller part of the limit or not at all, and is left the slots that are free.
//!
//! A sidecar grants some 12 requests a second, so what a group asks for in 2 s varies by half from
//! chance alone, and entries ask the sidecar that looks best, so how much all groups ask for varies
//! even more. So a group's load is compared with that of all others, and by standard deviations; and
//! each sidecar counts what it is asked for, also after others, which are several times as many
//! requests as it grants.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::config::urgency::URGENCY_MAX;
use crate::hash;
use crate::limit::retry::Fingerprint;

mod table;

pub use table::GROUPS_MAX;
use table::{INTERVALS, Sum, Table};

/// Length of one interval of a window.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time over which a group's usual load is averaged.
const USUAL_PERIOD: Duration = Duration::from_secs(20);

/// Time that has to be observed before any load counts as unusual.
const LEARNING_PERIOD: Duration = Duration::from_secs(4);

/// Excess over the fair share, as a fraction of it, from which a group gets no place in the queue. At
/// 0.5, a group that asked for four times its usual load stayed a quarter over its share.
const EXCESS_MAX: f64 = 0.1;

/// Least part of the limit that a request may use. With 200 ms, the least that one without a free slot
/// waits, it exceeds any limit.
const FRACTION_MIN: f64 = 0.05;

/// Time since the last refusal after which requests are no longer short of capacity. It bridges the
/// gaps between the requests at one sidecar.
const SHORTAGE_PERIOD: Duration = Duration::from_millis(1_000);

/// Longest time for which an entry has a refused request ask again: 15% of an objective of 800 ms. A
/// request that asks again is not counted again, and slots are left to it meanwhile.
const WAIT_MAX: Duration = Duration::from_millis(120);

/// Number of requests that are remembered for [`WAIT_MAX`], at 2,000 a second.
const ASKED_MAX: usize = 240;

/// Minimum interval between two reported changes.
const CHANGE_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// By what requests are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sort {
    /// By route.
    Route,
    /// By customer.
    Customer,
    /// By the hall of the asking entry.
    Hall,
}

impl Sort {
    /// All sorts.
    pub const ALL: [Self; 3] = [Self::Route, Self::Customer, Self::Hall];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Customer => "customer",
            Self::Hall => "hall",
        }
    }
}

/// The group of the requests with this route, customer or hall. Names collide once in four billion
/// pairs, which merges their groups.
pub fn group(name: Option<&str>) -> u32 {
    name.map_or(0, |name| hash::of([name.as_bytes()]) as u32)
}

/// The groups to which a request belongs, as hashes. 0 means unknown and counts as one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Claim {
    /// The request's urgency; 0 is the highest.
    pub urgency: u8,
    /// Hash of its route.
    pub route: u32,
    /// Hash of its customer.
    pub customer: u32,
    /// Hash of the hall of the asking entry.
    pub hall: u32,
}

impl Claim {
    fn group(&self, sort: Sort) -> u32 {
        match sort {
            Sort::Route => self.route,
            Sort::Customer => self.customer,
            Sort::Hall => self.hall,
        }
    }
}

/// The throttling of a group starts or ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Urgency of the requests.
    pub urgency: u8,
    /// Sort of the group.
    pub sort: Sort,
    /// The group, as in [`Claim`].
    pub group: u32,
    /// Whether it starts.
    pub starts: bool,
    /// The group's fair share; `None` if there is enough for all.
    pub share: Option<Duration>,
    /// Engine time requested in the last 2 s.
    pub asked: Duration,
    /// Engine time granted in the last 2 s.
    pub granted: Duration,
}

/// Requests of one urgency.
#[derive(Debug, Default)]
struct Contest {
    tables: [Table; Sort::ALL.len()],
    first: u64,
    interval: u64,
    refused_at: Option<Time>,
    /// When a request that is not over its share was last refused.
    denied_at: Option<Time>,
}

fn interval_at(now: Time) -> u64 {
    now.0 / INTERVAL.as_micros() as u64
}

impl Contest {
    fn new(now: Time) -> Self {
        Self {
            first: interval_at(now),
            interval: interval_at(now),
            ..Self::default()
        }
    }

    fn add(&mut self, claim: Claim, sum: Sum, now: Time) {
        for (sort, table) in Sort::ALL.into_iter().zip(&mut self.tables) {
            table.add(claim.group(sort), self.interval, sum, now);
        }
    }

    /// Begins the intervals up to `now`. Returns the groups whose throttling starts or ends.
    fn advance(&mut self, now: Time) -> Vec<(Sort, u32)> {
        let current = interval_at(now);
        if current <= self.interval {
            return Vec::new();
        }
        // More intervals than this change nothing but the usual load of groups that are gone.
        let steps_max = (USUAL_PERIOD.as_micros() / INTERVAL.as_micros()) as u64 * 3;
        self.interval = self.interval.max(current.saturating_sub(steps_max));
        while self.interval < current {
            self.interval += 1;
            self.begin();
        }
        let short = self
            .refused_at
            .is_some_and(|at| now.since(at) < SHORTAGE_PERIOD);
        let short = short && self.age() >= LEARNING_PERIOD;
        let mut changed = Vec::new();
        for (sort, table) in Sort::ALL.into_iter().zip(&mut self.tables) {
            changed.extend(
                table
                    .decide(short, self.interval)
                    .into_iter()
                    .map(|group| (sort, group)),
            );
        }
        changed
    }

    /// Time since the first request.
    fn age(&self) -> Duration {
        INTERVAL * (self.interval - self.first).min(u64::from(u32::MAX)) as u32
    }

    fn begin(&mut self) {
        let window = INTERVAL * INTERVALS as u32;
        let learned = self.age().saturating_sub(window).min(USUAL_PERIOD);
        let weight = if learned.is_zero() {
            // The first window counts in full once it is complete.
            1.0
        } else {
            INTERVAL.as_secs_f64() / (learned + INTERVAL).as_secs_f64()
        };
        let learning = self.age() < LEARNING_PERIOD;
        for table in &mut self.tables {
            table.begin(self.interval, weight, learning);
        }
    }

    /// How far a request's group is over its share in the sort where it is furthest over.
    fn excess(&self, claim: Claim) -> f64 {
        let tables = Sort::ALL.into_iter().zip(&self.tables);
        tables
            .map(|(sort, table)| table.excess(claim.group(sort)))
            .fold(0.0, f64::max)
    }

    fn change(&self, urgency: u8, sort: Sort, id: u32) -> Option<Change> {
        let table = &self.tables[sort as usize];
        let group = table.groups.get(&id)?;
        let share = Some(table.level).filter(|level| level.is_finite());
        Some(Change {
            urgency,
            sort,
            group: id,
            starts: group.throttled,
            share: share.map(Duration::from_secs_f64),
            asked: Duration::from_secs_f64(group.asked()),
            granted: Duration::from_secs_f64(group.granted()),
        })
    }
}

/// Requests at one replica, by urgency and group.
#[derive(Debug, Default)]
pub struct Shares {
    contests: BTreeMap<u8, Contest>,
    /// Requests that asked of late.
    recent: VecDeque<(Fingerprint, Time)>,
    change: Option<Change>,
    change_taken_at: Option<Time>,
}

impl Shares {
    fn contest(&mut self, urgency: u8, now: Time) -> &mut Contest {
        let urgency = urgency.min(URGENCY_MAX);
        let contest = self
            .contests
            .entry(urgency)
            .or_insert_with(|| Contest::new(now));
        for (sort, id) in contest.advance(now) {
            self.change = contest.change(urgency, sort, id).or(self.change);
        }
        contest
    }

    /// Records a request that asks for the engine time `work`, unless it asked before.
    pub fn ask(&mut self, claim: Claim, request: Fingerprint, work: Duration, now: Time) {
        if !self.is_new(request, now) {
            return;
        }
        let asked = work.as_secs_f64();
        let sum = Sum {
            asked,
            variance: asked * asked,
            granted: 0.0,
        };
        self.contest(claim.urgency, now).add(claim, sum, now);
    }

    fn is_new(&mut self, request: Fingerprint, now: Time) -> bool {
        let is_old = |(_, at): &(Fingerprint, Time)| now.since(*at) >= WAIT_MAX;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        let known = self.recent.iter().any(|(recent, _)| *recent == request);
        if !known {
            if self.recent.len() >= ASKED_MAX {
                self.recent.pop_front();
            }
            self.recent.push_back((request, now));
        }
        !known
    }

    /// Records that a request was granted.
    pub fn grant(&mut self, claim: Claim, work: Duration, now: Time) {
        let sum = Sum {
            granted: work.as_secs_f64(),
            ..Sum::default()
        };
        self.contest(claim.urgency, now).add(claim, sum, now);
    }

    /// Records that a request found no capacity at its whole limit, or at the part of it that it may use.
    pub fn refuse(&mut self, claim: Claim, now: Time) {
        let contest = self.contest(claim.urgency, now);
        contest.refused_at = Some(now);
        if contest.excess(claim) <= 0.0 {
            contest.denied_at = Some(now);
        }
    }

    /// Part of the limit on the wait that a request may use: 1 unless a group of it is over its share.
    /// At the least it gets neither a place in the queue nor a free slot. A free slot is not denied
    /// unless others were refused of late, so that none stays idle.
    pub fn fraction(&mut self, claim: Claim, is_free: bool, now: Time) -> f64 {
        let contest = self.contest(claim.urgency, now);
        let denied_at = contest.denied_at;
        let is_left = is_free && denied_at.is_none_or(|at| now.since(at) >= WAIT_MAX);
        if is_left {
            return 1.0;
        }
        (1.0 - contest.excess(claim) / EXCESS_MAX).clamp(FRACTION_MIN, 1.0)
    }

    /// Ends throttling that no longer applies, when no request arrives to do so.
    pub fn settle(&mut self, now: Time) {
        let urgencies: Vec<u8> = self.contests.keys().copied().collect();
        for urgency in urgencies {
            self.contest(urgency, now);
        }
    }

    /// Number of groups that are throttled.
    pub fn throttled(&self, sort: Sort) -> usize {
        let tables = self.contests.values();
        let groups = tables.flat_map(|contest| contest.tables[sort as usize].groups.values());
        groups.filter(|group| group.throttled).count()
    }

    /// Number of groups that are remembered.
    pub fn remembered(&self, sort: Sort) -> usize {
        let contests = self.contests.values();
        contests
            .map(|contest| contest.tables[sort as usize].groups.len())
            .sum()
    }

    /// The latest change, if one is to be reported: at most one a second.
    pub fn take_change(&mut self, now: Time) -> Option<Change> {
        let due = self
            .change_taken_at
            .is_none_or(|at| now.since(at) >= CHANGE_INTERVAL_MIN);
        let change = self.change.take_if(|_| due)?;
        self.change_taken_at = Some(now);
        Some(change)
    }
}
