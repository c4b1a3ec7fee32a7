//! The replicas that an entry knows by the platform's list, and the choice among them.
//!
//! Who may take a request at all is strict: listed, not leaving, of a version that is allowed.
//! Among those, the time to the first event is estimated from the last report and from what this
//! entry has sent since, and the shortest wins, with a handicap for other halls.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use slotmap::SlotMap;

use super::correction::Correction;
use super::estimate::{self, Backlog, Demand};
use super::health::Signal;
use super::notice::{Notice, Suspensions};
use super::replica::Replica;
use crate::clock::Time;
use crate::config::residency::{Regions, Residency};
use crate::config::routing::Engine;
use crate::member::replica::Instance;
use crate::policy::Policy;
use crate::wire::sync::ReplicaStatus;

mod life;

slotmap::new_key_type! {
    /// A replica in a [`Pool`].
    pub struct Key;
}

/// Service time of a plain service before any was measured.
const USUAL_UNKNOWN: Duration = Duration::from_millis(50);

/// A replica whose first events come later than estimated by more than this may stand behind a
/// link that holds everything up, the end of a request included.
const LATE_MAX: Duration = Duration::from_millis(100);

/// Such a replica gets nothing that early before the bound of its version.
const LATE_MARGIN: Duration = Duration::from_millis(1_600);

/// Nor so many times its delay before: a request takes so long to come there, and so does its end.
const LATE_FACTOR: u32 = 2;

/// Most that a link's delay counts in estimates: it is known from other exchanges than requests.
const LINK_DELAY_COUNTED: Duration = Duration::from_millis(250);

/// A request that outlasts its replica's next change of version costs this part of the excess.
const OVERRUN: u32 = 2;

/// One denied replica in this many shows that the list is behind; single ones are replaced.
const DENIED_PART: u32 = 3;

/// Prompts of usual length that an engine with a place free may have to read yet.
const LIGHT_PROMPTS: f64 = 1.0;

/// The model that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelQuery<'a> {
    /// The model.
    pub model: &'a str,
    /// The oldest version that will do.
    pub min_version: u64,
    /// The only version that will do, if a begun answer is to be taken up.
    pub pinned_version: Option<u64>,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, if the service serves models.
    pub model: Option<ModelQuery<'a>>,
    /// The engine's figures.
    pub engine: Option<&'a Engine>,
    /// What the request asks of it.
    pub demand: Demand,
    /// Replicas that were tried already.
    pub tried: &'a [Key],
    /// Replicas that have no place, by their own word.
    pub full: &'a [Key],
    /// Connections that this entry may have to one replica.
    pub connections_max: u32,
    /// Where the request may be served.
    pub residency: &'a Residency,
    /// The regions of halls.
    pub regions: &'a Regions,
    /// Requests a second that this entry may send to a replica that is cold; 0 if there is no bound.
    pub cold_per_s: f64,
}

/// A replica that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The replica.
    pub key: Key,
    /// When its first event (or answer) is expected.
    pub expected: Duration,
    /// Requests that it had, as far as is known.
    pub requests: u32,
}

/// Limits of the estimates that replicas' processes make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// That of a place at once.
    pub immediate: Duration,
    /// That of a place in a queue.
    pub queued: Duration,
}

/// Why no replica can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// The list shows none for the service.
    #[error("no replica is listed")]
    NoneListed,
    /// None stands in a region where the request may be served, and in a hall that is not evacuated.
    #[error("no replica stands where the request may be served")]
    NoneAllowed,
    /// All are leaving, or hold no weights that are allowed.
    #[error("no replica is fit")]
    NoneEligible,
    /// All that are fit are cold, and bear no more at the moment.
    #[error("all replicas are cold and bear no more")]
    Cold,
    /// All that are fit asked for rest.
    #[error("all replicas asked for rest, the first for {} ms more", remaining.as_millis())]
    BackingOff {
        /// Until the first of them takes requests again.
        remaining: Duration,
    },
    /// All that are fit were tried.
    #[error("all replicas were tried")]
    AllTried,
    /// This entry has as many connections as it may.
    #[error("no connection is free")]
    Connections,
}

/// How much earlier than its version's bound a replica's last request has to be expected to start.
fn start_margin(replica: &Replica, now: Time) -> Duration {
    let late = replica.late(now).max(replica.link_delay(now));
    if late > LATE_MAX {
        LATE_MARGIN.max(late * LATE_FACTOR)
    } else {
        Duration::ZERO
    }
}

/// The replicas that an entry knows.
#[derive(Debug, Default)]
pub struct Pool {
    own_hall: Arc<str>,
    policy: Policy,
    replicas: SlotMap<Key, Replica>,
    ids: BTreeMap<Arc<str>, Key>,
    services: BTreeMap<Arc<str>, Vec<Key>>,
    addresses: BTreeMap<SocketAddr, Vec<Key>>,
    corrections: BTreeMap<Arc<str>, Correction>,
    evacuated: BTreeSet<Arc<str>>,
    reborn: Vec<SocketAddr>,
    wishes: Suspensions,
    begun: u64,
}

impl Pool {
    /// An empty pool of an entry in `own_hall`.
    pub fn new(own_hall: Arc<str>, policy: Policy) -> Self {
        Self {
            own_hall,
            policy,
            ..Self::default()
        }
    }

    /// When a request that is sent now has to have started at a replica, if it is about to change
    /// its version.
    pub fn start_deadline(&self, key: Key, model: &str, now: Time) -> Option<Time> {
        let replica = self.replicas.get(key)?;
        replica.change(model, now).map(|due| due.bound)
    }

    /// One replica.
    pub fn get(&self, key: Key) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Replicas of one service.
    pub fn by_service(&self, service: &str) -> &[Key] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// How the replicas of `hall` do, by reports that are fresh.
    pub fn reports(&self, hall: &str, now: Time) -> Vec<ReplicaStatus> {
        self.reports_since(hall, Time::default(), now)
    }

    /// How those replicas of `hall` do that began or ended to take requests after `since`, by reports
    /// that are fresh.
    pub fn reports_since(&self, hall: &str, since: Time, now: Time) -> Vec<ReplicaStatus> {
        let turned = self.of_hall(hall);
        let turned = turned.filter(|replica| replica.turned_at() > since);
        let told = turned.filter_map(|replica| {
            let (load, at) = replica.reported(now)?;
            Some(ReplicaStatus {
                address: replica.record.address,
                load: load.clone(),
                age_ms: now.since(at).as_millis() as u64,
            })
        });
        told.collect()
    }

    /// When the last replica of `hall` began or ended to take requests, by its reports.
    pub fn last_availability_change(&self, hall: &str) -> Option<Time> {
        self.of_hall(hall).map(Replica::turned_at).max()
    }

    /// The halls that replicas stand in.
    pub fn halls(&self) -> BTreeSet<Arc<str>> {
        let replicas = self.replicas.values();
        replicas
            .map(|replica| replica.record.hall.clone())
            .collect()
    }

    fn of_hall(&self, hall: &str) -> impl Iterator<Item = &Replica> {
        let replicas = self.replicas.values();
        replicas.filter(move |replica| *replica.record.hall == *hall)
    }

    /// The hosts of a hall's model replicas without a fresh report.
    pub fn unreported_hosts(&self, hall: &str, now: Time) -> Vec<IpAddr> {
        let silent = self
            .of_hall(hall)
            .filter(|replica| !replica.record.models.is_empty() && replica.reported(now).is_none());
        let mut hosts: Vec<IpAddr> = silent.map(|replica| replica.record.address.ip()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// The process beside a replica did not answer; with `silent`, its link may be held up.
    pub fn mark_unresponsive(&mut self, key: Key, silent: bool, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.unheard(silent, now);
        }
    }

    /// Whether a replica has a queue, which explains that it is silent.
    pub fn has_queue(&self, key: Key, now: Time) -> bool {
        self.replicas
            .get(key)
            .is_some_and(|replica| replica.queues(now))
    }

    /// Whether the process beside a replica is to be asked for a place.
    pub fn grants_leases(&self, key: Key, now: Time) -> bool {
        self.replicas
            .get(key)
            .is_some_and(|replica| replica.gives_places(now))
    }

    /// The replicas of `halls` are to get nothing more, and those of no others.
    pub fn set_evacuated(&mut self, halls: BTreeSet<Arc<str>>) {
        self.evacuated = halls;
    }

    /// Takes how long replicas say that they are cold.
    pub fn refresh_cold(&mut self, now: Time) {
        for replica in self.replicas.values_mut() {
            replica.tell_cold(now);
        }
    }

    /// The process beside a cold replica has dealt out what that bears.
    pub fn mark_cold_exhausted(&mut self, key: Key, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.dealt_out(now);
        }
    }

    /// Takes a request to the replica `key` from this entry's part of what it bears while it is cold,
    /// `per_s` a second, if it may be sent.
    pub fn take_cold_token(&mut self, key: Key, per_s: f64, now: Time) -> bool {
        let replica = self.replicas.get_mut(key);
        replica.is_none_or(|replica| replica.take_cold(per_s, now))
    }

    /// A replica is not the one that is listed any more: nothing more goes there.
    pub fn invalidate(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.denied = true;
        }
    }

    /// The replica `key` told `notice`, in its life `life`. Returns whether that is news.
    pub fn apply_notice(
        &mut self,
        key: Key,
        instance: &Instance,
        notice: Notice,
        now: Time,
    ) -> bool {
        if notice.is_empty() {
            return false;
        }
        let mut wish = self.wishes.of(instance);
        let news = wish.apply(notice, now);
        self.wishes.remember(instance.clone(), wish, now);
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.wish.apply(notice, now);
        }
        news
    }

    /// For how long nothing can be served because all replicas that are fit asked for rest, if they did.
    pub fn backoff(&self, ask: Query<'_>, now: Time) -> Option<Duration> {
        let able = self
            .by_service(ask.service)
            .iter()
            .map(|&key| &self.replicas[key]);
        let able = able.filter(|replica| self.there(replica, ask) && self.able(replica, ask, now));
        let rest = able.map(|replica| replica.wish.backoff(now)).min()?;
        (!rest.is_zero()).then_some(rest)
    }

    /// Chooses a replica.
    pub fn choose(
        &self,
        ask: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Result<Choice, Unavailable> {
        let listed = self.by_service(ask.service);
        if listed.is_empty() {
            return Err(Unavailable::NoneListed);
        }
        let there: Vec<Key> = listed
            .iter()
            .copied()
            .filter(|&key| self.there(&self.replicas[key], ask))
            .collect();
        if there.is_empty() {
            return Err(Unavailable::NoneAllowed);
        }
        let fit: Vec<Key> = there
            .into_iter()
            .filter(|&key| self.able(&self.replicas[key], ask, now))
            .collect();
        if fit.is_empty() {
            return Err(Unavailable::NoneEligible);
        }
        let fit: Vec<Key> = fit
            .into_iter()
            .filter(|&key| self.replicas[key].bears(ask.cold_per_s, now))
            .collect();
        if fit.is_empty() {
            return Err(Unavailable::Cold);
        }
        let first = fit
            .iter()
            .map(|&key| self.replicas[key].wish.backoff(now))
            .min();
        let fit: Vec<Key> = fit
            .into_iter()
            .filter(|&key| !self.replicas[key].wish.rejects(now))
            .collect();
        if fit.is_empty() {
            let rest = first.unwrap_or_default();
            return Err(Unavailable::BackingOff { remaining: rest });
        }
        let untried: Vec<Key> = fit
            .into_iter()
            .filter(|key| !ask.tried.contains(key))
            .collect();
        if untried.is_empty() {
            return Err(Unavailable::AllTried);
        }
        let connected: Vec<Key> = untried
            .into_iter()
            .filter(|&key| self.replicas[key].own() < ask.connections_max)
            .collect();
        if connected.is_empty() {
            return Err(Unavailable::Connections);
        }
        let well: Vec<Key> = connected
            .iter()
            .copied()
            .filter(|&key| !self.replicas[key].health.paused(now))
            .collect();
        // When all are paused, one of them is better than none.
        let candidates = if well.is_empty() { connected } else { well };
        let open: Vec<Key> = candidates
            .iter()
            .copied()
            .filter(|key| !ask.full.contains(key))
            .collect();
        // The least full one is better than none.
        let candidates = if open.is_empty() { candidates } else { open };
        self.cheapest(&candidates, ask, now, rng)
            .ok_or(Unavailable::NoneEligible)
    }

    /// Whether a replica stands where the request may be served.
    fn there(&self, replica: &Replica, ask: Query<'_>) -> bool {
        let hall = &replica.record.hall;
        !self.evacuated.contains(hall) && ask.residency.allows(ask.regions.get(hall))
    }

    fn fit(&self, replica: &Replica, ask: Query<'_>, now: Time) -> bool {
        let rests = replica.wish.rejects(now);
        !rests && self.there(replica, ask) && self.able(replica, ask, now)
    }

    /// Whether a replica takes the request, wherever it stands.
    fn able(&self, replica: &Replica, ask: Query<'_>, now: Time) -> bool {
        let leaving = replica.record.leaving || replica.wish.leaving();
        if leaving || replica.denied || replica.dead(now) {
            return false;
        }
        let Some(need) = ask.model else {
            return true;
        };
        let Some(version) = replica.version(need.model, now) else {
            return false;
        };
        let wanted =
            version >= need.min_version && need.pinned_version.is_none_or(|only| only == version);
        // What waits there too long would start on a version that is not allowed any more.
        let starts = || now + self.expected(replica, ask, now);
        let change = replica.change(need.model, now);
        wanted && change.is_none_or(|change| starts() + start_margin(replica, now) < change.bound)
    }

    fn cheapest(
        &self,
        candidates: &[Key],
        ask: Query<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let costs: Vec<(Duration, Key)> = candidates
            .iter()
            .map(|&key| (self.cost(&self.replicas[key], ask, now), key))
            .collect();
        let least = costs.iter().map(|(cost, _)| *cost).min()?;
        let near: Vec<&(Duration, Key)> = costs
            .iter()
            .filter(|(cost, _)| *cost <= least + self.policy.cost_tolerance)
            .collect();
        // The better of two at random: all entries see the same reports, and would all choose the
        // best.
        let drawn = [(); 2].map(|()| near[rng.random_range(0..near.len())]);
        let (_, key) = **drawn.iter().min_by_key(|(cost, _)| *cost)?;
        let replica = &self.replicas[key];
        Some(Choice {
            key,
            expected: self.expected(replica, ask, now),
            requests: replica.requests(now),
        })
    }

    /// When the first event is expected of a request that is sent to the replica `key` now, if it may
    /// be sent there.
    pub fn estimate(&self, key: Key, ask: Query<'_>, now: Time) -> Option<Choice> {
        let replica = self.replicas.get(key)?;
        self.fit(replica, ask, now).then(|| Choice {
            key,
            expected: self.expected(replica, ask, now),
            requests: replica.requests(now),
        })
    }

    /// The limits within which a replica's process, which knows its engine's load only, is to expect
    /// a first event so that it comes within `limit`: what is known of its link and of the engine's
    /// figures is left out. The tight one is that of an engine with a place free and little to read.
    pub fn limits(&self, key: Key, ask: Query<'_>, limit: Duration, now: Time) -> Option<Limits> {
        let (replica, engine) = (self.replicas.get(key)?, ask.engine?);
        let late = self.late(replica, now);
        let whole = self.uncorrected(ask.service, engine, limit.saturating_sub(late));
        let light = Backlog {
            requests: engine.slots.saturating_sub(1),
            prompt_tokens: engine.mean_prompt_tokens * LIGHT_PROMPTS,
            pace: 1.0,
        };
        let spread = self.policy.queue_spread;
        let tight = estimate::first_event(engine, light, ask.demand, spread);
        Some(Limits {
            immediate: tight.min(whole),
            queued: whole,
        })
    }

    /// The estimate `told` by the process beside the replica `key`, with what is known here of its link and
    /// of the engine's figures.
    pub fn corrected_estimate(
        &self,
        key: Key,
        ask: Query<'_>,
        told: Duration,
        now: Time,
    ) -> Option<Duration> {
        let (replica, engine) = (self.replicas.get(key)?, ask.engine?);
        Some(self.corrected(ask.service, engine, told) + self.late(replica, now))
    }

    /// The limit on an estimate by the engine's figures, where `limit` is that on the corrected one.
    fn uncorrected(&self, service: &str, engine: &Engine, limit: Duration) -> Duration {
        let known = self.corrections.get(service).filter(|_| engine.incomplete);
        known.map_or(limit, |correction| correction.undo(limit))
    }

    fn late(&self, replica: &Replica, now: Time) -> Duration {
        let held_up = if self.policy.link_delay {
            replica.link_delay(now).min(LINK_DELAY_COUNTED)
        } else {
            Duration::ZERO
        };
        replica.late(now).max(held_up)
    }

    fn cost(&self, replica: &Replica, ask: Query<'_>, now: Time) -> Duration {
        let crowding = self.policy.slot_cost * replica.requests(now);
        let far = if replica.record.hall == self.own_hall {
            Duration::ZERO
        } else {
            self.policy.remote_penalty
        };
        let expected = self.expected(replica, ask, now);
        expected + crowding + far + self.overrun(replica, ask, expected, now) / OVERRUN
    }

    /// How much longer than until its next change of version a replica would work on a request:
    /// for so long it would take nothing new.
    fn overrun(
        &self,
        replica: &Replica,
        ask: Query<'_>,
        expected: Duration,
        now: Time,
    ) -> Duration {
        let change = ask.model.and_then(|need| replica.change(need.model, now));
        let (Some(due), Some(engine)) = (change, ask.engine) else {
            return Duration::ZERO;
        };
        if due.at <= now {
            // Its weights are late, and it changes whenever they come: that says nothing against it, and
            // the replicas whose time is yet to come cannot carry the work of all others.
            return Duration::ZERO;
        }
        let work = self.work(replica, engine, now);
        let ends = now + expected + estimate::decode(engine, work, ask.demand);
        ends.since(due.at)
    }

    fn work(&self, replica: &Replica, engine: &Engine, now: Time) -> Backlog {
        Backlog {
            requests: replica.requests(now),
            prompt_tokens: replica.unread(engine.mean_prompt_tokens, now),
            pace: replica.pace(now),
        }
    }

    /// When the first event (or the answer) of a request that is sent now is expected.
    fn expected(&self, replica: &Replica, ask: Query<'_>, now: Time) -> Duration {
        let Some(engine) = ask.engine else {
            let usual = replica.health.latency().unwrap_or(USUAL_UNKNOWN);
            let slots = replica.record.slots.max(1);
            let waiting = replica.requests(now).saturating_sub(slots - 1);
            return usual + usual * waiting / slots;
        };
        let work = self.work(replica, engine, now);
        let spread = self.policy.queue_spread;
        let first = estimate::first_event(engine, work, ask.demand, spread);
        let expected = self.corrected(ask.service, engine, first) + self.late(replica, now);
        if !replica.switching(now) {
            return expected;
        }
        // It finishes what runs before it takes anything new.
        expected + estimate::completion_interval(engine, work.pace) * engine.slots / 2
    }

    /// The estimate `first` of an engine of `service`, corrected if its figures are guesses.
    fn corrected(&self, service: &str, engine: &Engine, first: Duration) -> Duration {
        let known = self.corrections.get(service).filter(|_| engine.incomplete);
        known.map_or(first, |correction| correction.apply(first))
    }

    /// Whether a third of a service's replicas or more turned out not to be what the list says: they
    /// have lost their weights, and the list does not know it yet.
    pub fn mostly_invalidated(&self, service: &str) -> bool {
        let listed = self.by_service(service);
        let denied = listed.iter().filter(|&&key| self.replicas[key].denied);
        let denied = denied.count() as u32;
        denied > 0 && denied * DENIED_PART >= listed.len() as u32
    }

    /// When weights are expected at the replicas of a service that lack them: at half of those that
    /// tell how far they are.
    pub fn weights_eta(&self, service: &str, now: Time) -> Option<Duration> {
        let replicas = self
            .by_service(service)
            .iter()
            .map(|&key| &self.replicas[key]);
        let mut arrivals: Vec<Duration> = replicas
            .filter_map(|replica| replica.arrival(now))
            .collect();
        arrivals.sort_unstable();
        arrivals.get(arrivals.len() / 2).copied()
    }

    /// Taken places of a service's fit replicas, and all of them.
    pub fn occupancy(&self, ask: Query<'_>, now: Time) -> (u32, u32) {
        let fit = self
            .by_service(ask.service)
            .iter()
            .map(|&key| &self.replicas[key]);
        fit.filter(|replica| self.fit(replica, ask, now)).fold(
            (0, 0),
            |(taken, places), replica| {
                let slots = replica.record.slots;
                (taken + replica.requests(now).min(slots), places + slots)
            },
        )
    }

    /// A request was sent to a replica. Returns the number by which its start is told.
    pub fn begin(&mut self, key: Key, demand: Demand, expected: Duration, now: Time) -> u64 {
        self.begun += 1;
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.begin(self.begun, demand, now, now + expected);
        }
        self.begun
    }

    /// A request's first event came; `false` if it ended without one.
    pub fn record_first_event(
        &mut self,
        key: Key,
        number: u64,
        demand: Demand,
        came: bool,
        now: Time,
    ) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if let Some((expected, took)) = replica.started(number, demand, came, now) {
            let service = replica.record.service.clone();
            self.corrections
                .entry(service)
                .or_default()
                .record(expected, took);
        }
    }

    /// A request at a replica ended.
    pub fn end(&mut self, key: Key, number: u64) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.end(number);
        }
    }

    /// Replicas that a report has come of.
    pub fn reporting(&self, now: Time) -> usize {
        let replicas = self.replicas.values();
        let reported = replicas.filter_map(|replica| replica.reported(now));
        reported.count()
    }

    /// Attempts of this entry that have not ended.
    pub fn in_flight(&self) -> u32 {
        let replicas = self.replicas.values();
        replicas.map(|replica| replica.under_way()).sum()
    }

    /// Something was learned of a replica's health.
    pub fn record_health(&mut self, key: Key, sign: Signal, now: Time) {
        let Some(replica) = self.replicas.get(key) else {
            return;
        };
        let fellows = self.fellows_rate(key, &replica.record.service);
        self.replicas[key].health.record(sign, fellows, now);
    }

    /// Rate of failures of a service's other replicas: the middle one of theirs.
    fn fellows_rate(&self, key: Key, service: &str) -> f64 {
        let mut rates: Vec<f64> = self
            .by_service(service)
            .iter()
            .filter(|&&other| other != key)
            .map(|&other| self.replicas[other].health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}
