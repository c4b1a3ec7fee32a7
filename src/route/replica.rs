//! One replica as an entry knows it: what the list and reports say, and what this entry sent there.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold::{Cold, TokenBucket};
use super::estimate::Demand;
use super::health::Health;
use super::notice::{Notice, Suspension};
use crate::clock::Time;
use crate::config::catalog::{self, DesiredVersion};
use crate::member::replica::{self, LoadedModel, Record};
use crate::version::ACTIVATION_TIME;

/// A report older than this says nothing of the load any more.
const STALE: Duration = Duration::from_millis(3_000);

/// Greatest age of a report of a process in reach: it reports each second, another hall is asked
/// and a hall is told each half.
const REPORT_AGE_MAX: Duration = Duration::from_millis(2_100);

/// Longest round trip over a link that weights are drawn through, but that is not held up.
const ROUND_TRIP_USUAL: Duration = Duration::from_millis(80);

/// How long a process that did not answer is not asked again: as long as it may take to report.
const UNHEARD: Duration = Duration::from_millis(1_000);

/// Delay of a link over which a process did not answer a question in time.
const UNHEARD_DELAY: Duration = Duration::from_millis(250);

/// How long a cold replica is passed over whose process has dealt out what it bears. At 14 to 26 requests a
/// second the next one is allowed after 40 to 70 ms.
const DEALS_AGAIN: Duration = Duration::from_millis(50);

/// Time in which what is known of a replica's lag loses half of its weight.
const LAG_HALF: Duration = Duration::from_millis(1_500);

/// Weight of the newest lag: one in this many.
const LAG_SMOOTHING: u32 = 4;

/// What the process beside a replica reports of it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// The life of the replica that it is about, as [`Record::born`]; 0 if it does not tell.
    pub born: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Factor on the replica's times; above 1 it is slow.
    pub pace: f64,
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Whether it is about to change its weights, or does so, and takes nothing new meanwhile.
    pub switching: bool,
    /// Whether it answers.
    pub alive: bool,
    /// Milliseconds that the shortest late exchange of its process with an entry took.
    pub round_trip_ms: u64,
    /// Chunks of the wanted weights that its process holds, while the replica lacks them.
    pub chunks_held: u32,
    /// All chunks of them; 0 if it lacks none, or they are not known yet.
    pub chunks: u32,
    /// Whether it told that it leaves.
    pub leaving: bool,
    /// Milliseconds for which it told that it wants nothing.
    pub rest_ms: u32,
}

impl Load {
    /// Requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.running + self.queued
    }

    /// Whether it takes requests for any model, according to the report of its process.
    pub fn accepts_requests(&self) -> bool {
        self.alive && !self.switching && !self.leaving && !self.models.is_empty()
    }

    /// What the replica wants, as its process told it.
    pub fn notice(&self) -> Notice {
        Notice::new(self.leaving, Some(f64::from(self.rest_ms) / 1_000.0))
    }

    /// Whether it takes requests of the same versions as by `other`.
    pub fn same_availability(&self, other: &Self) -> bool {
        let same_state = self.switching == other.switching && self.alive == other.alive;
        let rests = |load: &Self| load.rest_ms > 0;
        let same_wish = self.leaving == other.leaving && rests(self) == rests(other);
        same_state && same_wish && self.models == other.models
    }
}

/// A replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// What the list says.
    pub record: Record,
    pub(super) health: Health,
    load: Option<(Load, Time)>,
    own: Vec<Sent>,
    own_at_report: u32,
    turned_at: Time,
    unheard: Option<Unheard>,
    unread: Unread,
    unread_at_report: u32,
    lag: Lag,
    arriving: Option<Arriving>,
    cold: Cold,
    /// Requests of this entry that may be sent while it is cold and nobody beside it deals them out.
    allowance: TokenBucket,
    /// Until when the process beside it has no request of a cold replica to deal out.
    dealt_out: Time,
    pub(super) due: Option<Schedule>,
    pub(super) denied: bool,
    pub(super) wish: Suspension,
}

/// Own requests that have had no event yet.
#[derive(Debug, Clone, Default)]
struct Unread {
    requests: Vec<Pending>,
    tokens: u64,
}

impl Unread {
    fn count(&self) -> u32 {
        self.requests.len() as u32
    }

    /// By how much the most overdue of them is late.
    fn overdue(&self, now: Time) -> Duration {
        let late = self.requests.iter().map(|pending| now.since(pending.due));
        late.max().unwrap_or_default()
    }
}

/// A request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sent {
    number: u64,
    at: Time,
}

/// A request without an event yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    number: u64,
    at: Time,
    due: Time,
}

/// The process beside a replica did not answer.
#[derive(Debug, Clone, Copy)]
struct Unheard {
    at: Time,
    silent: bool,
}

/// How much later than expected a replica's first events come.
#[derive(Debug, Clone, Copy, Default)]
struct Lag {
    mean: Duration,
    at: Time,
}

impl Lag {
    fn now(&self, now: Time) -> Duration {
        let halvings = now.since(self.at).as_secs_f64() / LAG_HALF.as_secs_f64();
        self.mean.mul_f64(0.5f64.powf(halvings))
    }

    fn note(&mut self, late: Duration, now: Time) {
        let known = self.now(now);
        self.mean = (known * (LAG_SMOOTHING - 1) + late) / LAG_SMOOTHING;
        self.at = now;
    }
}

/// Weights on their way to a replica.
#[derive(Debug, Clone, Copy)]
struct Arriving {
    first: Time,
    held_first: u32,
    last: Time,
    held: u32,
    all: u32,
}

impl Arriving {
    /// When the replica is expected to serve, at the pace so far.
    fn rest(&self, now: Time) -> Option<Duration> {
        let gained = self.held - self.held_first;
        let missing = self.all.saturating_sub(self.held);
        if missing > 0 && gained == 0 {
            return None;
        }
        let drawing = self.last.since(self.first) * missing / gained.max(1);
        Some((drawing + ACTIVATION_TIME).saturating_sub(now.since(self.last)))
    }
}

/// The versions that were named for a replica's model, and its place in the rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The versions, oldest first.
    pub versions: Vec<DesiredVersion>,
    /// Time from a version's naming until the replica takes nothing new any more.
    pub drain_after: Duration,
    /// Time from a version's naming until nothing may start on an older one any more.
    pub cutoff: Duration,
}

/// A change of version that a replica has before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Change {
    /// When the replica takes nothing new any more.
    pub at: Time,
    /// When nothing may start on its version any more.
    pub bound: Time,
}

impl Replica {
    /// A replica of which only its entry is known.
    pub fn new(record: Record) -> Self {
        Self {
            record,
            load: None,
            own: Vec::new(),
            own_at_report: 0,
            turned_at: Time::default(),
            unheard: None,
            unread: Unread::default(),
            unread_at_report: 0,
            lag: Lag::default(),
            arriving: None,
            cold: Cold::default(),
            allowance: TokenBucket::default(),
            dealt_out: Time::default(),
            due: None,
            health: Health::default(),
            denied: false,
            wish: Suspension::default(),
        }
    }

    /// What it wants, by its own words.
    pub fn suspension(&self) -> Suspension {
        self.wish
    }

    /// The last report and its time, unless it says nothing any more.
    pub(super) fn reported(&self, now: Time) -> Option<(&Load, Time)> {
        let (load, at) = self.load.as_ref()?;
        (now.since(*at) < STALE).then_some((load, *at))
    }

    fn fresh(&self, now: Time) -> Option<&Load> {
        self.reported(now).map(|(load, _)| load)
    }

    /// Requests in progress there, as far as this entry can tell.
    pub fn requests(&self, now: Time) -> u32 {
        let reported = self.fresh(now).map_or(0, Load::in_progress);
        reported.saturating_sub(self.own_at_report) + self.own()
    }

    /// The version of `model` that it holds, by the newer of report and list.
    pub fn version(&self, model: &str, now: Time) -> Option<u64> {
        let reported = self
            .fresh(now)
            .map(|load| replica::version_of(&load.models, model));
        reported.unwrap_or_else(|| self.record.version(model))
    }

    /// Prompt tokens that wait to be read there, as far as this entry can tell.
    pub(super) fn unread(&self, usual_prompt: f64, now: Time) -> f64 {
        let reported = self.fresh(now).map_or(0, |load| load.queued);
        let others = reported.saturating_sub(self.unread_at_report);
        f64::from(others) * usual_prompt + self.unread.tokens as f64
    }

    /// The change of version that it has before it: the oldest that it lacks sets the times.
    pub(super) fn change(&self, model: &str, now: Time) -> Option<Change> {
        let due = self.due.as_ref()?;
        let since = catalog::first_missing(&due.versions, self.version(model, now)?)?.since;
        Some(Change {
            at: since + due.drain_after,
            bound: since + due.cutoff,
        })
    }

    /// How much later than estimated first events come from there.
    pub(super) fn late(&self, now: Time) -> Duration {
        self.lag.now(now).max(self.unread.overdue(now))
    }

    /// How long its link seems to hold up what is sent there, beyond the usual: exchanges take long
    /// that the process beside it has with entries, or its reports are missing.
    pub(super) fn link_delay(&self, now: Time) -> Duration {
        let Some((load, at)) = &self.load else {
            return Duration::ZERO;
        };
        let trip = Duration::from_millis(load.round_trip_ms).saturating_sub(ROUND_TRIP_USUAL);
        let silent = now.since(*at).saturating_sub(REPORT_AGE_MAX);
        let unheard = self.unheard_lately(now).filter(|unheard| unheard.silent);
        let unheard = unheard.map_or(Duration::ZERO, |_| UNHEARD_DELAY);
        trip.max(silent).max(unheard)
    }

    fn unheard_lately(&self, now: Time) -> Option<Unheard> {
        self.unheard
            .filter(|unheard| now.since(unheard.at) < UNHEARD)
    }

    /// The process beside it did not answer; with `silent`, its link may be held up.
    pub(super) fn unheard(&mut self, silent: bool, now: Time) {
        self.unheard = Some(Unheard { at: now, silent });
    }

    /// Whether it has a queue, or takes nothing new while it changes its weights.
    pub(super) fn queues(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|load| {
            let full = load.in_progress() >= self.record.slots;
            load.alive && (load.switching || full)
        })
    }

    /// Whether the process beside it is to be asked for a place.
    pub(super) fn gives_places(&self, now: Time) -> bool {
        self.unheard_lately(now).is_none() && self.fresh(now).is_some_and(|load| load.alive)
    }

    /// Factor on its times.
    pub(super) fn pace(&self, now: Time) -> f64 {
        self.fresh(now).map_or(1.0, |load| load.pace)
    }

    /// Whether it takes nothing new because of a change of version.
    pub(super) fn switching(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|load| load.switching)
    }

    /// Takes how long it says that it is cold.
    pub(super) fn tell_cold(&mut self, now: Time) {
        let warm = self.cold_remaining(now).is_zero();
        self.cold.tell(self.record.cold_ms, now);
        if warm {
            self.allowance = TokenBucket::new(now);
        }
    }

    /// For how long it is still cold.
    pub fn cold_remaining(&self, now: Time) -> Duration {
        self.cold.rest(now)
    }

    /// Whether its being cold bounds what it gets, where it bears `per_s` requests a second then.
    fn bound(&self, per_s: f64, now: Time) -> bool {
        per_s > 0.0 && !self.cold_remaining(now).is_zero()
    }

    /// Whether a request may be on its way to it soon, as far as it is cold: the process beside it
    /// deals out what it bears, or else this entry's part, `per_s` a second, allows one.
    pub(super) fn bears(&self, per_s: f64, now: Time) -> bool {
        if !self.bound(per_s, now) {
            return true;
        }
        if self.gives_places(now) {
            return self.dealt_out <= now;
        }
        self.allowance.allows(per_s, now)
    }

    /// Takes one request from this entry's part of what a cold replica bears.
    pub(super) fn take_cold(&mut self, per_s: f64, now: Time) -> bool {
        !self.bound(per_s, now) || self.allowance.take(per_s, now)
    }

    /// The process beside it has dealt out what a cold replica bears.
    pub(super) fn dealt_out(&mut self, now: Time) {
        self.dealt_out = now + DEALS_AGAIN;
    }

    /// Whether the process beside it finds nobody there.
    pub(super) fn dead(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|load| !load.alive)
    }

    /// This entry's attempts here that have not ended.
    pub(super) fn under_way(&self) -> u32 {
        self.own.len() as u32
    }

    /// The process beside it reported.
    pub(super) fn report(&mut self, load: &Load, at: Time) {
        if self.load.as_ref().is_some_and(|(_, known)| *known > at) {
            return;
        }
        self.note_arriving(load, at);
        let known = self.load.as_ref();
        if known.is_none_or(|(known, _)| !known.same_availability(load)) {
            self.turned_at = at;
        }
        self.load = Some((load.clone(), at));
        self.own_at_report = self.own.iter().filter(|sent| sent.at <= at).count() as u32;
        let unread = self.unread.requests.iter();
        self.unread_at_report = unread.filter(|pending| pending.at <= at).count() as u32;
    }

    fn note_arriving(&mut self, load: &Load, at: Time) {
        if load.chunks == 0 {
            self.arriving = None;
            return;
        }
        let known = self
            .arriving
            .filter(|known| known.held_first <= load.chunks_held);
        let (first, held_first) = known.map_or((at, load.chunks_held), |known| {
            (known.first, known.held_first)
        });
        self.arriving = Some(Arriving {
            first,
            held_first,
            last: at,
            held: load.chunks_held,
            all: load.chunks,
        });
    }

    /// When it is expected to serve, if weights are on their way to it.
    pub(super) fn arrival(&self, now: Time) -> Option<Duration> {
        self.arriving.as_ref()?.rest(now)
    }

    /// When it last began or ended to take requests, by its reports.
    pub(super) fn turned_at(&self) -> Time {
        self.turned_at
    }

    /// This entry's requests in progress there.
    pub(super) fn own(&self) -> u32 {
        self.own.len() as u32
    }

    /// This entry sends it the request of that number, whose first event is due then.
    pub(super) fn begin(&mut self, number: u64, demand: Demand, at: Time, due: Time) {
        self.own.push(Sent { number, at });
        self.unread.requests.push(Pending { number, at, due });
        self.unread.tokens += u64::from(demand.prompt);
    }

    /// A request's first event came; `false` if it ended without one. Returns how long the first
    /// event was expected to take, and how long it took.
    pub(super) fn started(
        &mut self,
        number: u64,
        demand: Demand,
        came: bool,
        now: Time,
    ) -> Option<(Duration, Duration)> {
        let unread = &mut self.unread;
        let mut pending = unread.requests.iter();
        let place = pending.position(|known| known.number == number)?;
        let pending = unread.requests.swap_remove(place);
        unread.tokens = unread.tokens.saturating_sub(u64::from(demand.prompt));
        self.unread_at_report = self.unread_at_report.min(unread.count());
        if !came {
            return None;
        }
        self.lag.note(now.since(pending.due), now);
        Some((pending.due.since(pending.at), now.since(pending.at)))
    }

    /// A request of this entry ended there.
    pub(super) fn end(&mut self, number: u64) {
        if let Some(place) = self.own.iter().position(|sent| sent.number == number) {
            self.own.swap_remove(place);
        }
        self.own_at_report = self.own_at_report.min(self.own());
    }
}
