//! One replica as an entry knows it, from the replica list, from reports, and from the entry's own
//! requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold::{Cold, TokenBucket};
use super::estimate::Demand;
use super::health::Health;
use super::notice::{Notice, Suspension};
use super::quota::{self, Quota};
use crate::clock::Time;
use crate::config::catalog::{self, DesiredVersion};
use crate::hash;
use crate::member::replica::{self, LoadedModel, Record};
use crate::version::ACTIVATION_TIME;

/// A report older than this no longer counts.
const REPORT_STALE_AFTER: Duration = Duration::from_millis(3_000);

/// Time for which a sidecar has to report that its replica does not answer until it counts as
/// crashed. Before that it may have paused, which the sidecar reports after about a second.
const DEAD_AFTER: Duration = Duration::from_millis(2_000);

/// Oldest report to expect from a reachable sidecar: it reports every second, and halls are polled
/// and notified every half second.
const REPORT_AGE_MAX: Duration = Duration::from_millis(2_100);

/// Longest normal round trip over a link that transfers weights without being delayed.
const ROUND_TRIP_NORMAL_MAX: Duration = Duration::from_millis(80);

/// How long an unresponsive sidecar is not asked again: the time that it may take to report.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(1_000);

/// Assumed delay of a link over which a sidecar did not answer in time.
const UNRESPONSIVE_DELAY: Duration = Duration::from_millis(250);

/// How long a cold replica is skipped after its sidecar has granted all that it can take. At 14 to
/// 26 requests per second, the next one is allowed after 40 to 70 ms.
const COLD_EXHAUSTED_PAUSE: Duration = Duration::from_millis(50);

/// Time in which the known lag of a replica decays by half.
const LAG_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// The newest lag enters the moving average with a weight of one in this many.
const LAG_SMOOTHING_DIVISOR: u32 = 4;

/// State that a sidecar reports of its replica.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Instance of the replica that the report is about, as [`Record::born`]; 0 if unknown.
    pub born: u64,
    /// Requests that are running.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Factor on the replica's times; slow above 1.
    pub pace: f64,
    /// Models that are loaded.
    pub models: Vec<LoadedModel>,
    /// Whether it is about to switch or is switching its weights, and takes no new requests
    /// meanwhile.
    pub switching: bool,
    /// Whether it answers.
    pub alive: bool,
    /// Duration of the shortest recent exchange between the sidecar and an entry, in milliseconds.
    pub round_trip_ms: u64,
    /// Chunks of the wanted weights that the sidecar holds, while the replica lacks them.
    pub chunks_held: u32,
    /// All chunks of the wanted weights; 0 if the replica lacks none, or if they are not known yet.
    pub chunks: u32,
    /// Whether it sent a notice that it is leaving.
    pub leaving: bool,
    /// Remaining backoff that it asked for, in milliseconds.
    pub rest_ms: u32,
    /// Its quota, if it has stated one.
    pub quota: Option<quota::Report>,
    /// Whether the sidecar meters requests if there is a quota.
    pub meters: bool,
}

impl Load {
    /// Requests in progress, running or queued.
    pub fn in_progress(&self) -> u32 {
        self.running + self.queued
    }

    /// Whether it takes requests for any model, according to the report.
    pub fn accepts_requests(&self) -> bool {
        self.alive && !self.switching && !self.leaving && !self.models.is_empty()
    }

    /// The notice that the report passes on.
    pub fn notice(&self) -> Notice {
        Notice::new(self.leaving, Some(f64::from(self.rest_ms) / 1_000.0))
    }

    /// Whether it takes requests for the same versions as with the report `other`.
    pub fn same_availability(&self, other: &Self) -> bool {
        let same_state = self.switching == other.switching && self.alive == other.alive;
        let is_backing_off = |load: &Self| load.rest_ms > 0;
        let same_notice =
            self.leaving == other.leaving && is_backing_off(self) == is_backing_off(other);
        let quota = |load: &Self| load.quota.map(|quota| (quota.rate, quota.ended));
        let same_quota = quota(self) == quota(other);
        same_state && same_notice && same_quota && self.models == other.models
    }

    /// Requests per second that the replica takes by its quota, if the report is from `now`.
    pub fn quota_per_s(&self, now: Time) -> Option<f64> {
        let mut quota = Quota::default();
        quota.merge(self.quota?, now);
        quota.per_s(now)
    }
}

/// A replica and what this entry knows of it.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its entry in the replica list.
    pub record: Record,
    pub(super) health: Health,
    /// Its place in an order of replicas that is the same at all entries.
    pub(super) rank: u64,
    load: Option<(Load, Time)>,
    own_requests: Vec<Sent>,
    own_at_report: u32,
    availability_changed_at: Time,
    /// Since when its sidecar reports that it does not answer.
    dead_since: Option<Time>,
    unresponsive: Option<Unresponsive>,
    pending: PendingRequests,
    pending_at_report: u32,
    lag: Lag,
    transfer: Option<Transfer>,
    cold: Cold,
    /// Limits this entry's requests while the replica is cold and no sidecar distributes them.
    token_bucket: TokenBucket,
    /// Until when the sidecar has no more requests of a cold replica to grant.
    cold_exhausted_until: Time,
    pub(super) schedule: Option<Schedule>,
    pub(super) invalidated: bool,
    pub(super) suspension: Suspension,
    pub(super) quota: Quota,
    /// Until when no request of an urgency is granted under the quota.
    quota_used_until: BTreeMap<u8, Time>,
}

/// Requests of this entry without a first event yet.
#[derive(Debug, Clone, Default)]
struct PendingRequests {
    requests: Vec<PendingRequest>,
    tokens: u64,
}

impl PendingRequests {
    fn count(&self) -> u32 {
        self.requests.len() as u32
    }

    /// How far the most overdue of them is behind its expected first event.
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

/// A request without a first event yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingRequest {
    number: u64,
    at: Time,
    due: Time,
}

/// A sidecar that did not answer.
#[derive(Debug, Clone, Copy)]
struct Unresponsive {
    at: Time,
    silent: bool,
}

/// Moving average of how much later than expected first events come.
#[derive(Debug, Clone, Copy, Default)]
struct Lag {
    mean: Duration,
    at: Time,
}

impl Lag {
    fn decayed(&self, now: Time) -> Duration {
        let halvings = now.since(self.at).as_secs_f64() / LAG_HALF_LIFE.as_secs_f64();
        self.mean.mul_f64(0.5f64.powf(halvings))
    }

    fn record(&mut self, late: Duration, now: Time) {
        let known = self.decayed(now);
        self.mean = (known * (LAG_SMOOTHING_DIVISOR - 1) + late) / LAG_SMOOTHING_DIVISOR;
        self.at = now;
    }
}

/// Transfer of missing weights to a replica, by its reports.
#[derive(Debug, Clone, Copy)]
struct Transfer {
    first: Time,
    held_at_first: u32,
    last: Time,
    held: u32,
    total: u32,
}

impl Transfer {
    /// Time until the replica is expected to serve, extrapolated from the progress so far.
    fn remaining(&self, now: Time) -> Option<Duration> {
        let gained = self.held - self.held_at_first;
        let missing = self.total.saturating_sub(self.held);
        if missing > 0 && gained == 0 {
            return None;
        }
        let transfer_time = self.last.since(self.first) * missing / gained.max(1);
        Some((transfer_time + ACTIVATION_TIME).saturating_sub(now.since(self.last)))
    }
}

/// Versions published for a replica's model, and the replica's times in their rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The versions, oldest first.
    pub versions: Vec<DesiredVersion>,
    /// Time from a version's publication until the replica takes no new requests.
    pub drain_after: Duration,
    /// Time from a version's publication until no request may start on an older one.
    pub cutoff: Duration,
}

/// The next version change of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Change {
    /// When the replica stops taking new requests.
    pub drain_at: Time,
    /// From when on no request may start on the current version.
    pub cutoff: Time,
}

impl Replica {
    /// Its health as seen from this entry.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Creates a replica of which only the list entry is known.
    pub fn new(record: Record) -> Self {
        Self {
            rank: hash::of([record.id.as_bytes()]),
            record,
            load: None,
            own_requests: Vec::new(),
            own_at_report: 0,
            availability_changed_at: Time::default(),
            dead_since: None,
            unresponsive: None,
            pending: PendingRequests::default(),
            pending_at_report: 0,
            lag: Lag::default(),
            transfer: None,
            cold: Cold::default(),
            token_bucket: TokenBucket::default(),
            cold_exhausted_until: Time::default(),
            schedule: None,
            health: Health::default(),
            invalidated: false,
            suspension: Suspension::default(),
            quota: Quota::default(),
            quota_used_until: BTreeMap::new(),
        }
    }

    /// The suspension that it asked for.
    pub fn suspension(&self) -> Suspension {
        self.suspension
    }

    /// Requests per second that it takes from all processes by its quota, if that limits them.
    pub fn quota_per_s(&self, now: Time) -> Option<f64> {
        self.quota.per_s(now)
    }

    /// Whether its sidecar meters the requests under a quota.
    pub fn has_metering_sidecar(&self, now: Time) -> bool {
        self.fresh_load(now).is_some_and(|load| load.meters)
    }

    /// Time since the last report of a sidecar that meters; `None` if there was none.
    pub fn metering_report_age(&self, now: Time) -> Option<Duration> {
        let (load, at) = self.load.as_ref()?;
        load.meters.then(|| now.since(*at))
    }

    /// Time until a request of `urgency` may be granted under the quota again.
    pub(super) fn quota_wait(&self, urgency: u8, now: Time) -> Duration {
        if self.quota_per_s(now).is_none() {
            return Duration::ZERO;
        }
        let until = self.quota_used_until.get(&urgency);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Records that no request of `urgency` is granted under the quota for `wait`.
    pub(super) fn mark_quota_used(&mut self, urgency: u8, wait: Duration, now: Time) {
        self.quota_used_until.insert(urgency, now + wait);
    }

    /// The last report and its time, unless it is stale.
    pub(super) fn fresh_report(&self, now: Time) -> Option<(&Load, Time)> {
        let (load, at) = self.load.as_ref()?;
        (now.since(*at) < REPORT_STALE_AFTER).then_some((load, *at))
    }

    fn fresh_load(&self, now: Time) -> Option<&Load> {
        self.fresh_report(now).map(|(load, _)| load)
    }

    /// Estimated requests in progress: those of others by the last report, plus this entry's own.
    pub fn requests(&self, now: Time) -> u32 {
        let reported = self.fresh_load(now).map_or(0, Load::in_progress);
        reported.saturating_sub(self.own_at_report) + self.own_requests()
    }

    /// The loaded version of `model`, by the last report or else by the replica list.
    pub fn version(&self, model: &str, now: Time) -> Option<u64> {
        let reported = self
            .fresh_load(now)
            .map(|load| replica::version_of(&load.models, model));
        reported.unwrap_or_else(|| self.record.version(model))
    }

    /// Estimated prompt tokens that wait for prefill there.
    pub(super) fn pending_prompt_tokens(&self, mean_prompt_tokens: f64, now: Time) -> f64 {
        let reported = self.fresh_load(now).map_or(0, |load| load.queued);
        let others = reported.saturating_sub(self.pending_at_report);
        f64::from(others) * mean_prompt_tokens + self.pending.tokens as f64
    }

    /// The next version change. The oldest version that the replica lacks determines its times.
    pub(super) fn change(&self, model: &str, now: Time) -> Option<Change> {
        let schedule = self.schedule.as_ref()?;
        let since = catalog::first_missing(&schedule.versions, self.version(model, now)?)?.since;
        Some(Change {
            drain_at: since + schedule.drain_after,
            cutoff: since + schedule.cutoff,
        })
    }

    /// How much later than estimated its first events come.
    pub(super) fn lag(&self, now: Time) -> Duration {
        self.lag.decayed(now).max(self.pending.overdue(now))
    }

    /// How much its link seems to delay messages beyond the normal: exchanges between its sidecar
    /// and entries take long, or its reports are missing.
    pub(super) fn link_delay(&self, now: Time) -> Duration {
        let Some((load, at)) = &self.load else {
            return Duration::ZERO;
        };
        let trip = Duration::from_millis(load.round_trip_ms).saturating_sub(ROUND_TRIP_NORMAL_MAX);
        let silent = now.since(*at).saturating_sub(REPORT_AGE_MAX);
        let unresponsive = self
            .recently_unresponsive(now)
            .filter(|unresponsive| unresponsive.silent);
        let unresponsive = unresponsive.map_or(Duration::ZERO, |_| UNRESPONSIVE_DELAY);
        trip.max(silent).max(unresponsive)
    }

    fn recently_unresponsive(&self, now: Time) -> Option<Unresponsive> {
        self.unresponsive
            .filter(|unresponsive| now.since(unresponsive.at) < UNRESPONSIVE_PAUSE)
    }

    /// Records that its sidecar did not answer. With `silent`, its link may be delayed.
    pub(super) fn mark_unresponsive(&mut self, silent: bool, now: Time) {
        self.unresponsive = Some(Unresponsive { at: now, silent });
    }

    /// Whether it has a queue, or takes no new requests because it is switching weights.
    pub(super) fn has_queue(&self, now: Time) -> bool {
        self.fresh_load(now).is_some_and(|load| {
            let full = load.in_progress() >= self.record.slots;
            load.alive && (load.switching || full)
        })
    }

    /// Whether to ask its sidecar for a lease.
    pub(super) fn grants_leases(&self, now: Time) -> bool {
        self.recently_unresponsive(now).is_none()
            && self.fresh_load(now).is_some_and(|load| load.alive)
    }

    /// Factor on its times.
    pub(super) fn pace(&self, now: Time) -> f64 {
        self.fresh_load(now).map_or(1.0, |load| load.pace)
    }

    /// Whether it takes no new requests because of a version change.
    pub(super) fn switching(&self, now: Time) -> bool {
        self.fresh_load(now).is_some_and(|load| load.switching)
    }

    /// Applies the remaining cold time that the replica list shows.
    pub(super) fn refresh_cold(&mut self, now: Time) {
        let warm = self.cold_remaining(now).is_zero();
        self.cold.update(self.record.cold_ms, now);
        if warm {
            self.token_bucket = TokenBucket::new(now);
        }
    }

    /// Time until it is warm.
    pub fn cold_remaining(&self, now: Time) -> Duration {
        self.cold.remaining(now)
    }

    /// Whether it is cold and limited to `per_s` requests per second.
    fn is_cold_limited(&self, per_s: f64, now: Time) -> bool {
        per_s > 0.0 && !self.cold_remaining(now).is_zero()
    }

    /// Whether its being cold allows a request now. The sidecar distributes the permitted requests;
    /// without one, this entry's share of `per_s` per second has to allow it.
    pub(super) fn cold_permits(&self, per_s: f64, now: Time) -> bool {
        if !self.is_cold_limited(per_s, now) {
            return true;
        }
        if self.grants_leases(now) {
            return self.cold_exhausted_until <= now;
        }
        self.token_bucket.allows(per_s, now)
    }

    /// Takes a token from this entry's share of a cold replica's rate.
    pub(super) fn take_cold_token(&mut self, per_s: f64, now: Time) -> bool {
        !self.is_cold_limited(per_s, now) || self.token_bucket.take(per_s, now)
    }

    /// Records that its sidecar has granted all that the cold replica can take for now.
    pub(super) fn mark_cold_exhausted(&mut self, now: Time) {
        self.cold_exhausted_until = now + COLD_EXHAUSTED_PAUSE;
    }

    /// Whether its sidecar finds that it does not answer.
    pub(super) fn is_dead(&self, now: Time) -> bool {
        self.fresh_load(now).is_some_and(|load| !load.alive)
    }

    /// Whether its sidecar finds that it does not answer, for longer than a pause.
    pub(super) fn has_crashed(&self, now: Time) -> bool {
        let is_long = |since: Time| now.since(since) >= DEAD_AFTER;
        self.is_dead(now) && self.dead_since.is_some_and(is_long)
    }

    /// Attempts of this entry in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.own_requests.len() as u32
    }

    /// Applies a report of its sidecar.
    pub(super) fn report(&mut self, load: &Load, at: Time) {
        if self.load.as_ref().is_some_and(|(_, known)| *known > at) {
            return;
        }
        self.record_transfer(load, at);
        self.dead_since = (!load.alive).then(|| self.dead_since.unwrap_or(at));
        let known = self.load.as_ref();
        if known.is_none_or(|(known, _)| !known.same_availability(load)) {
            self.availability_changed_at = at;
        }
        self.load = Some((load.clone(), at));
        self.own_at_report = self
            .own_requests
            .iter()
            .filter(|sent| sent.at <= at)
            .count() as u32;
        let pending = self.pending.requests.iter();
        self.pending_at_report = pending.filter(|pending| pending.at <= at).count() as u32;
    }

    fn record_transfer(&mut self, load: &Load, at: Time) {
        if load.chunks == 0 {
            self.transfer = None;
            return;
        }
        let known = self
            .transfer
            .filter(|known| known.held_at_first <= load.chunks_held);
        let (first, held_at_first) = known.map_or((at, load.chunks_held), |known| {
            (known.first, known.held_at_first)
        });
        self.transfer = Some(Transfer {
            first,
            held_at_first,
            last: at,
            held: load.chunks_held,
            total: load.chunks,
        });
    }

    /// Time until it is expected to serve, if weights are being transferred to it.
    pub(super) fn weights_eta(&self, now: Time) -> Option<Duration> {
        self.transfer.as_ref()?.remaining(now)
    }

    /// Whether weights are being transferred to it.
    pub(super) fn receives_weights(&self) -> bool {
        self.transfer.is_some()
    }

    /// When it last began or stopped taking requests, by its reports.
    pub(super) fn availability_changed_at(&self) -> Time {
        self.availability_changed_at
    }

    /// This entry's requests in progress there.
    pub(super) fn own_requests(&self) -> u32 {
        self.own_requests.len() as u32
    }

    /// Records that this entry sends it a request, whose first event is expected at `due`.
    pub(super) fn begin(&mut self, number: u64, demand: Demand, at: Time, due: Time) {
        self.own_requests.push(Sent { number, at });
        self.pending
            .requests
            .push(PendingRequest { number, at, due });
        self.pending.tokens += u64::from(demand.prompt);
    }

    /// Records a request's first event, or with `received` false that it ended without one.
    /// Returns how long the first event was expected to take, and how long it took.
    pub(super) fn record_first_event(
        &mut self,
        number: u64,
        demand: Demand,
        received: bool,
        now: Time,
    ) -> Option<(Duration, Duration)> {
        let pending = &mut self.pending;
        let mut requests = pending.requests.iter();
        let index = requests.position(|known| known.number == number)?;
        let request = pending.requests.swap_remove(index);
        pending.tokens = pending.tokens.saturating_sub(u64::from(demand.prompt));
        self.pending_at_report = self.pending_at_report.min(pending.count());
        if !received {
            return None;
        }
        self.lag.record(now.since(request.due), now);
        Some((request.due.since(request.at), now.since(request.at)))
    }

    /// Records that a request of this entry ended.
    pub(super) fn end(&mut self, number: u64) {
        if let Some(index) = self
            .own_requests
            .iter()
            .position(|sent| sent.number == number)
        {
            self.own_requests.swap_remove(index);
        }
        self.own_at_report = self.own_at_report.min(self.own_requests());
    }
}
