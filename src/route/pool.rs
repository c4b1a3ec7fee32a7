//! The replicas that an entry knows by the platform's list, and the choice among them.
//!
//! Who may take a request at all is strict: listed, not leaving, of a version that is allowed.
//! Among those, the time to the first event is estimated from the last report and from what this
//! entry has sent since, and the shortest wins, with a handicap for other halls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use super::estimate::{self, Demand, Work};
use super::health::{Health, Sign};
use crate::clock::Time;
use crate::config::belief::{self, Listed, Wanted};
use crate::config::routing::Engine;
use crate::member::replica::{self, Held, Record};

slotmap::new_key_type! {
    /// A replica in a [`Pool`].
    pub struct Key;
}

/// A report older than this says nothing of the load any more.
const STALE: Duration = Duration::from_millis(2_000);

/// Service time of a plain service before any was measured.
const USUAL_UNKNOWN: Duration = Duration::from_millis(50);

/// Handicap of a replica in another hall.
const REMOTE: Duration = Duration::from_millis(60);

/// Candidates whose cost is over the least by no more than this are equal.
const EQUAL: Duration = Duration::from_millis(4);

/// Time in which what is known of a replica's lag loses half of its weight.
const LAG_HALF: Duration = Duration::from_millis(1_500);

/// Weight of the newest lag: one in this many.
const LAG_SMOOTHING: u32 = 4;

/// A replica whose first events come later than estimated by more than this may stand behind a
/// link that holds everything up, the end of a request included.
const LATE_MAX: Duration = Duration::from_millis(100);

/// Such a replica gets nothing that early before the bound of its version.
const LATE_MARGIN: Duration = Duration::from_millis(1_600);

/// A request that outlasts its replica's next change of version costs this part of the excess.
const OVERRUN: u32 = 2;

/// Cost of each taken slot: a fuller engine writes more slowly.
const CROWDING: Duration = Duration::from_millis(3);

/// What the process beside a replica reports of it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Factor on the replica's times; above 1 it is slow.
    pub pace: f64,
    /// The models that it holds.
    pub models: Vec<Held>,
    /// Whether it is about to change its weights, or does so, and takes nothing new meanwhile.
    pub switching: bool,
    /// Whether it answers.
    pub alive: bool,
}

/// A replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// What the list says.
    pub record: Record,
    load: Option<(Load, Time)>,
    own: u32,
    own_at_report: u32,
    unread: Unread,
    unread_at_report: u32,
    since_report: u32,
    lag: Lag,
    due: Option<Due>,
    health: Health,
    denied: bool,
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

/// A request without an event yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    number: u64,
    due: Time,
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

/// The versions that were named for a replica's model, and its place in the rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// The versions, oldest first.
    pub named: Vec<Wanted>,
    /// Time from a version's naming until the replica takes nothing new any more.
    pub begins: Duration,
    /// Time from a version's naming until nothing may start on an older one any more.
    pub bound: Duration,
}

/// A change of version that a replica has before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Change {
    at: Time,
    bound: Time,
}

impl Replica {
    fn new(record: Record) -> Self {
        Self {
            record,
            load: None,
            own: 0,
            own_at_report: 0,
            unread: Unread::default(),
            unread_at_report: 0,
            since_report: 0,
            lag: Lag::default(),
            due: None,
            health: Health::default(),
            denied: false,
        }
    }

    fn fresh(&self, now: Time) -> Option<&Load> {
        let (load, at) = self.load.as_ref()?;
        (now.since(*at) < STALE).then_some(load)
    }

    /// Requests in progress there, as far as this entry can tell.
    pub fn requests(&self, now: Time) -> u32 {
        let reported = self.fresh(now).map_or(0, |load| load.running + load.queued);
        reported.saturating_sub(self.own_at_report) + self.own
    }

    /// Requests that `fellows` other entries are likely to have sent since the last report: as many
    /// each as this one, for they see the same reports and judge alike.
    fn unseen(&self, fellows: u32, now: Time) -> u32 {
        let own = match self.fresh(now) {
            Some(_) => self.since_report.min(self.own),
            None => self.own,
        };
        own * fellows
    }

    /// The version of `model` that it holds, by the newer of report and list.
    pub fn version(&self, model: &str, now: Time) -> Option<u64> {
        let reported = self
            .fresh(now)
            .map(|load| replica::version_of(&load.models, model));
        reported.unwrap_or_else(|| self.record.version(model))
    }

    /// Prompt tokens that wait to be read there, as far as this entry can tell.
    fn unread(&self, usual_prompt: f64, now: Time) -> f64 {
        let reported = self.fresh(now).map_or(0, |load| load.queued);
        let others = reported.saturating_sub(self.unread_at_report);
        f64::from(others) * usual_prompt + self.unread.tokens as f64
    }

    /// The change of version that it has before it: the oldest that it lacks sets the times.
    fn change(&self, model: &str, now: Time) -> Option<Change> {
        let due = self.due.as_ref()?;
        let since = belief::first_lacking(&due.named, self.version(model, now)?)?.since;
        Some(Change {
            at: since + due.begins,
            bound: since + due.bound,
        })
    }

    /// How much later than estimated first events come from there.
    fn late(&self, now: Time) -> Duration {
        self.lag.now(now).max(self.unread.overdue(now))
    }

    fn pace(&self, now: Time) -> f64 {
        self.fresh(now).map_or(1.0, |load| load.pace)
    }

    fn switching(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|load| load.switching)
    }

    fn dead(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|load| !load.alive)
    }
}

/// The model that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelNeed<'a> {
    /// The model.
    pub model: &'a str,
    /// The oldest version that will do.
    pub oldest: u64,
    /// The only version that will do, if a begun answer is to be taken up.
    pub only: Option<u64>,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, if the service serves models.
    pub model: Option<ModelNeed<'a>>,
    /// The engine's figures.
    pub engine: Option<&'a Engine>,
    /// What the request asks of it.
    pub demand: Demand,
    /// Replicas that were tried already.
    pub tried: &'a [Key],
    /// Connections that this entry may have to one replica.
    pub connections_max: u32,
    /// Other entries that choose among the same replicas.
    pub fellows: u32,
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

/// Why no replica can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Shortage {
    /// The list shows none for the service.
    #[error("no replica is listed")]
    NoneListed,
    /// All are leaving, or hold no weights that are allowed.
    #[error("no replica is fit")]
    NoneFit,
    /// All that are fit were tried.
    #[error("all replicas were tried")]
    AllTried,
    /// This entry has as many connections as it may.
    #[error("no connection is free")]
    Connections,
}

/// The replicas that an entry knows.
#[derive(Debug, Default)]
pub struct Pool {
    own_hall: Arc<str>,
    replicas: SlotMap<Key, Replica>,
    ids: BTreeMap<Arc<str>, Key>,
    services: BTreeMap<Arc<str>, Vec<Key>>,
    begun: u64,
}

impl Pool {
    /// An empty pool of an entry in `own_hall`.
    pub fn new(own_hall: Arc<str>) -> Self {
        Self {
            own_hall,
            ..Self::default()
        }
    }

    /// Takes the list as it stands now, and what change of version each replica has before it.
    pub fn update(
        &mut self,
        list: &BTreeMap<Arc<str>, Listed>,
        due: impl Fn(&Record) -> Option<Due>,
    ) {
        let usable = |listed: &Listed| listed.gone.is_none() || listed.doubted;
        let gone: Vec<Arc<str>> = self
            .ids
            .keys()
            .filter(|id| !list.get(*id).is_some_and(usable))
            .cloned()
            .collect();
        for id in gone {
            if let Some(key) = self.ids.remove(&id) {
                self.replicas.remove(key);
            }
        }
        for (id, listed) in list.iter().filter(|(_, listed)| usable(listed)) {
            let key = match self.ids.get(id) {
                Some(&key) => key,
                None => {
                    let key = self.replicas.insert(Replica::new(listed.record.clone()));
                    self.ids.insert(id.clone(), key);
                    key
                }
            };
            self.replicas[key].record = listed.record.clone();
            self.replicas[key].due = due(&listed.record);
        }
        self.services.clear();
        for (key, replica) in &self.replicas {
            let service = replica.record.service.clone();
            self.services.entry(service).or_default().push(key);
        }
    }

    /// When a request that is sent now has to have started at a replica, if it is about to change
    /// its version.
    pub fn start_bound(&self, key: Key, model: &str, now: Time) -> Option<Time> {
        let replica = self.replicas.get(key)?;
        replica.change(model, now).map(|due| due.bound)
    }

    /// One replica.
    pub fn get(&self, key: Key) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Replicas of one service.
    pub fn of(&self, service: &str) -> &[Key] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The process beside the replica at `address` reported. Returns whether anyone is there.
    pub fn report(&mut self, address: SocketAddr, load: &Load, now: Time) -> bool {
        let mut found = false;
        for (_, replica) in &mut self.replicas {
            if replica.record.address == address {
                replica.load = Some((load.clone(), now));
                replica.own_at_report = replica.own;
                replica.unread_at_report = replica.unread.count();
                replica.since_report = 0;
                found = true;
            }
        }
        found
    }

    /// A replica is not the one that is listed any more: nothing more goes there.
    pub fn deny(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.denied = true;
        }
    }

    /// Chooses a replica.
    pub fn choose(&self, ask: Ask<'_>, now: Time, rng: &mut impl Rng) -> Result<Choice, Shortage> {
        let listed = self.of(ask.service);
        if listed.is_empty() {
            return Err(Shortage::NoneListed);
        }
        let fit: Vec<Key> = listed
            .iter()
            .copied()
            .filter(|&key| self.fit(&self.replicas[key], ask, now))
            .collect();
        if fit.is_empty() {
            return Err(Shortage::NoneFit);
        }
        let untried: Vec<Key> = fit
            .into_iter()
            .filter(|key| !ask.tried.contains(key))
            .collect();
        if untried.is_empty() {
            return Err(Shortage::AllTried);
        }
        let connected: Vec<Key> = untried
            .into_iter()
            .filter(|&key| self.replicas[key].own < ask.connections_max)
            .collect();
        if connected.is_empty() {
            return Err(Shortage::Connections);
        }
        let well: Vec<Key> = connected
            .iter()
            .copied()
            .filter(|&key| !self.replicas[key].health.paused(now))
            .collect();
        // When all are paused, one of them is better than none.
        let candidates = if well.is_empty() { connected } else { well };
        self.cheapest(&candidates, ask, now, rng)
            .ok_or(Shortage::NoneFit)
    }

    fn fit(&self, replica: &Replica, ask: Ask<'_>, now: Time) -> bool {
        if replica.record.leaving || replica.denied || replica.dead(now) {
            return false;
        }
        let Some(need) = ask.model else {
            return true;
        };
        let Some(version) = replica.version(need.model, now) else {
            return false;
        };
        let wanted = version >= need.oldest && need.only.is_none_or(|only| only == version);
        // What waits there too long would start on a version that is not allowed any more.
        let starts = || now + self.expected(replica, ask, now);
        let change = replica.change(need.model, now);
        wanted
            && change.is_none_or(|change| {
                let late = replica.late(now) > LATE_MAX;
                let margin = if late { LATE_MARGIN } else { Duration::ZERO };
                starts() + margin < change.bound
            })
    }

    fn cheapest(
        &self,
        candidates: &[Key],
        ask: Ask<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let costs: Vec<(Duration, Key)> = candidates
            .iter()
            .map(|&key| (self.cost(&self.replicas[key], ask, now), key))
            .collect();
        let least = costs.iter().map(|(cost, _)| *cost).min()?;
        let equal: Vec<Key> = costs
            .iter()
            .filter(|(cost, _)| *cost <= least + EQUAL)
            .map(|(_, key)| *key)
            .collect();
        let key = equal[rng.random_range(0..equal.len())];
        let replica = &self.replicas[key];
        Some(Choice {
            key,
            expected: self.expected(replica, ask, now),
            requests: replica.requests(now),
        })
    }

    fn cost(&self, replica: &Replica, ask: Ask<'_>, now: Time) -> Duration {
        let crowding = CROWDING * replica.requests(now);
        let far = if replica.record.hall == self.own_hall {
            Duration::ZERO
        } else {
            REMOTE
        };
        let expected = self.expected(replica, ask, now);
        expected + crowding + far + self.overrun(replica, ask, expected, now) / OVERRUN
    }

    /// How much longer than until its next change of version a replica would work on a request:
    /// for so long it would take nothing new.
    fn overrun(&self, replica: &Replica, ask: Ask<'_>, expected: Duration, now: Time) -> Duration {
        let change = ask.model.and_then(|need| replica.change(need.model, now));
        let (Some(due), Some(engine)) = (change, ask.engine) else {
            return Duration::ZERO;
        };
        let work = self.work(replica, engine, ask, now);
        let ends = now + expected + estimate::writing(engine, work, ask.demand);
        ends.since(due.at)
    }

    fn work(&self, replica: &Replica, engine: &Engine, ask: Ask<'_>, now: Time) -> Work {
        let unseen = replica.unseen(ask.fellows, now);
        let unseen_tokens = f64::from(unseen) * engine.usual_prompt;
        Work {
            requests: replica.requests(now) + unseen,
            unread: replica.unread(engine.usual_prompt, now) + unseen_tokens,
            pace: replica.pace(now),
        }
    }

    /// When the first event (or the answer) of a request that is sent now is expected.
    fn expected(&self, replica: &Replica, ask: Ask<'_>, now: Time) -> Duration {
        let Some(engine) = ask.engine else {
            let usual = replica.health.usual().unwrap_or(USUAL_UNKNOWN);
            let slots = replica.record.slots.max(1);
            let waiting = replica.requests(now).saturating_sub(slots - 1);
            return usual + usual * waiting / slots;
        };
        let work = self.work(replica, engine, ask, now);
        let expected = estimate::first_event(engine, work, ask.demand) + replica.late(now);
        if !replica.switching(now) {
            return expected;
        }
        // It finishes what runs before it takes anything new.
        expected + estimate::turnover(engine, work.pace) * engine.slots / 2
    }

    /// Taken places of a service's fit replicas, and all of them.
    pub fn occupancy(&self, ask: Ask<'_>, now: Time) -> (u32, u32) {
        let fit = self.of(ask.service).iter().map(|&key| &self.replicas[key]);
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
        let number = self.begun;
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own += 1;
            replica.since_report += 1;
            let due = now + expected;
            replica.unread.requests.push(Pending { number, due });
            replica.unread.tokens += u64::from(demand.prompt);
        }
        number
    }

    /// A request's first event came; `false` if it ended without one.
    pub fn started(&mut self, key: Key, number: u64, demand: Demand, came: bool, now: Time) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let unread = &mut replica.unread;
        let Some(place) = unread
            .requests
            .iter()
            .position(|known| known.number == number)
        else {
            return;
        };
        let pending = unread.requests.swap_remove(place);
        unread.tokens = unread.tokens.saturating_sub(u64::from(demand.prompt));
        replica.unread_at_report = replica.unread_at_report.min(unread.count());
        if came {
            replica.lag.note(now.since(pending.due), now);
        }
    }

    /// A request at a replica ended.
    pub fn end(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own = replica.own.saturating_sub(1);
            replica.own_at_report = replica.own_at_report.min(replica.own);
        }
    }

    /// Something was learned of a replica's health.
    pub fn note(&mut self, key: Key, sign: Sign, now: Time) {
        let Some(replica) = self.replicas.get(key) else {
            return;
        };
        let fellows = self.fellows_rate(key, &replica.record.service);
        self.replicas[key].health.note(sign, fellows, now);
    }

    /// Rate of failures of a service's other replicas: the middle one of theirs.
    fn fellows_rate(&self, key: Key, service: &str) -> f64 {
        let mut rates: Vec<f64> = self
            .of(service)
            .iter()
            .filter(|&&other| other != key)
            .map(|&other| self.replicas[other].health.rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}
