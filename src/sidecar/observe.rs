//! Asks the replica how it does, and tells the entries.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use rand::RngExt;

use super::Sidecar;
use super::engine::{Error, State};
use super::reconcile::Staged;
use crate::backoff::Backoff;
use crate::clock::Time;
use crate::exchange::{Note, Way};
use crate::knowledge::gossip::post_noting;
use crate::knowledge::hub;
use crate::knowledge::readers::Readers;
use crate::knowledge::traffic::Purpose;
use crate::lease;
use crate::route::notice::{Notice, Suspension};
use crate::route::replica::Load;
use crate::source::Topic;
use crate::timeout::{self, Progress};
use crate::wire::sync::{Heartbeat, REPORT_PATH, Report};

/// How often the replica is asked.
const LOOK: Duration = Duration::from_millis(100);

/// Looks between two of which it is written down what the replica has to do.
const LOOKS_LOGGED: u32 = 10;

/// How often it is asked while it wants rest from questions: only so is it known that it is still there.
const LOOK_AT_REST: Duration = Duration::from_secs(1);

/// How long it may take to answer.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers that may be missing before the replica counts as gone.
pub(super) const MISSES_MAX: u32 = 2;

/// How often it is looked whether an entry is to be told.
const TELL_LOOK: Duration = Duration::from_millis(50);

/// Shortest time between two reports to an entry, unless the replica begins or ends to take
/// requests: who sends requests here asks before that, and reports only say where to ask.
const TELL_MIN: Duration = Duration::from_millis(500);

/// Longest time between two reports.
const TELL_MAX: Duration = Duration::from_millis(1_000);

/// Time before an entry is told again that did not answer: it may just be starting.
const TELL_AGAIN: Duration = Duration::from_millis(200);

/// How often an entry is asked for the entries that it knows.
const ASK: Duration = Duration::from_millis(1_500);

/// How long no entry answers before the store is read.
const ALONE: Duration = Duration::from_millis(2_500);

/// How long the beginning of the store's answer is waited for then.
const ALONE_READ: Duration = Duration::from_millis(2_000);

/// Longest pause between two reads while no entry answers, before jitter: each brings the whole configuration over
/// the narrow link of a box, and the links between regions to all boxes at once.
const ALONE_MAX: Duration = Duration::from_secs(20);

/// Asks the replica until dropped.
pub async fn observe(sidecar: Rc<Sidecar>) {
    for look in 1_u32.. {
        sidecar.knowledge.traffic.count(Purpose::Probe, 0);
        let state = timeout(LOOK_TIMEOUT, sidecar.engine.state()).await;
        match state {
            Ok(Ok(state)) => {
                sidecar.misses.set(0);
                sidecar.take_state(Some(state));
            }
            // It is there, and wants to be asked less often.
            Ok(Err(Error::Rejected { backoff })) => {
                sidecar.misses.set(0);
                let notice = Notice {
                    backoff: Some(backoff),
                    ..Notice::default()
                };
                sidecar.wants(notice);
                sleep(backoff.min(LOOK_AT_REST)).await;
            }
            failed => {
                sidecar.misses.set(sidecar.misses.get() + 1);
                if sidecar.misses.get() == MISSES_MAX {
                    log::warn!(failed:? = failed.map(|result| result.err()); "replica lost");
                    sidecar.take_state(None);
                }
            }
        }
        sidecar.sweep_runs();
        if look.is_multiple_of(LOOKS_LOGGED) {
            sidecar.log_requests();
        }
        sleep(LOOK).await;
    }
}

impl Sidecar {
    /// Writes down what the replica has to do. What all replicas have beyond what all entries have under way is read by
    /// nobody.
    fn log_requests(&self) {
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else {
            return;
        };
        let State {
            running, queued, ..
        } = *state;
        self.requests.record(u64::from(running + queued), &[]);
        if running + queued > 0 {
            let leased = self.ledger.borrow().leased();
            log::info!(running, queued, leased; "requests at the replica");
        }
    }

    fn take_state(&self, state: Option<State>) {
        if let Some(state) = &state {
            if state.born < self.born.get() {
                // An answer of an earlier life, or one that does not tell.
                return;
            }
            if self.born.replace(state.born) < state.born {
                self.begin_life(state.born);
            }
        }
        match &state {
            Some(state) => self.wants(Notice::new(state.leaving, None)),
            // Without the start of its life, only its absence shows that another may follow.
            None if self.born.get() == 0 => self.wish.set(Suspension::default()),
            None => {}
        }
        let before = self.state.replace(state);
        let now = self.state.borrow();
        let mut ledger = self.ledger.borrow_mut();
        match &*now {
            Some(state) => ledger.observe(state.running + state.queued, self.knowledge.now()),
            None => ledger.reset(),
        }
        let takes = |state: &Option<State>| {
            let state = state.as_ref();
            state.map(|state| (state.busy, state.models.clone()))
        };
        if takes(&before) != takes(&now) {
            log::info!(takes:? = takes(&now); "replica holds");
            self.turned.set(self.turned.get() + 1);
        }
        if before != *now {
            self.told.set(self.told.get() + 1);
        }
    }

    /// The replica started at `born`, perhaps anew: places, orders and what lay staged belong to an
    /// earlier life. What lies there all the same is read back before it is used.
    fn begin_life(&self, born: u64) {
        log::info!(born; "a life of the replica began");
        self.wish.set(Suspension::default());
        self.state.replace(None);
        self.ledger.borrow_mut().reset();
        self.client.forget(self.engine.address());
        self.staged.replace(Staged::default());
        self.set_noticed(None);
    }

    /// The replica told what it wants, which binds this process for all entries.
    pub(super) fn wants(&self, notice: Notice) {
        let mut wish = self.wish.get();
        if wish.apply(notice, self.knowledge.now()) {
            log::info!(notice:% = notice; "the replica told what it wants");
            self.wish.set(wish);
            self.turned.set(self.turned.get() + 1);
        }
    }

    /// Tells that the replica will change, or that it has.
    pub(super) fn set_noticed(&self, noticed: Option<Time>) {
        if self.noticed.replace(noticed) != noticed {
            self.turned.set(self.turned.get() + 1);
        }
    }

    /// Answers an entry that asks for a place.
    pub(super) fn place(&self, ask: &lease::Request) -> lease::Response {
        let engine = self.knowledge.summary().and_then(|brief| brief.engine);
        let now = self.knowledge.now();
        let load = self.load();
        let mut ledger = self.ledger.borrow_mut();
        ledger.answer(ask, load, engine.as_ref(), now)
    }

    fn load(&self) -> Load {
        let notice = self.wish.get().notice(self.knowledge.now());
        Load {
            leaving: notice.leaving,
            rest_ms: notice.backoff.map_or(0, |rest| rest.as_millis() as u32),
            ..self.seen()
        }
    }

    /// What was seen of the replica.
    fn seen(&self) -> Load {
        let rtt = self.rtt.borrow_mut().min(self.knowledge.now());
        let round_trip_ms = rtt.as_millis() as u64;
        let (chunks_held, chunks) = self.arriving();
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else {
            return Load {
                born: self.born.get(),
                alive: self.misses.get() < MISSES_MAX,
                pace: 1.0,
                round_trip_ms,
                chunks_held,
                chunks,
                ..Load::default()
            };
        };
        Load {
            born: state.born,
            running: state.running,
            queued: state.queued,
            pace: state.pace,
            models: state.models.clone(),
            switching: state.busy || self.noticed.get().is_some(),
            alive: true,
            round_trip_ms,
            chunks_held,
            chunks,
            ..Load::default()
        }
    }

    /// Chunks held of the wanted weights, and all of them, while the replica holds none at all.
    fn arriving(&self) -> (u32, u32) {
        let state = self.state.borrow();
        // Mostly it holds some; every report asks.
        let holds_any = state.as_ref().is_some_and(|state| !state.models.is_empty());
        if holds_any {
            return (0, 0);
        }
        let meanwhile = self.stopgap.borrow().clone();
        let Some(target) = meanwhile.or_else(|| self.target()) else {
            return (0, 0);
        };
        let (held, all) = self.host.store.borrow().progress(target.label());
        (held as u32, all as u32)
    }

    /// The entries to tell, the first of them first.
    fn entries(&self, told: &BTreeMap<SocketAddr, Told>) -> Vec<SocketAddr> {
        let silent = |entry| told.get(&entry).is_some_and(|last| last.failed);
        let near = self.knowledge.local_peers();
        let digests = self.knowledge.policy.digests;
        let known = if digests && !near.is_empty() {
            near
        } else {
            let peers = self.knowledge.peers.borrow();
            let alive = peers.alive(self.knowledge.now());
            alive.map(|(address, _)| address).collect()
        };
        if known.is_empty() {
            return self.knowledge.seeds.borrow().clone();
        }
        if !digests {
            return known;
        }
        // The others of the hall, and those of other halls, hear of it from the first ones.
        hub::report_targets(&Readers::ranked(&known), silent)
    }
}

/// What was told to an entry.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Time,
    count: u64,
    turned: u64,
    waiting: bool,
    failed: bool,
    /// When it was last asked for the entries that it knows.
    asked: Option<Time>,
}

impl Told {
    /// Whether it is told again when this is the `count` of changes, and that of those of whether
    /// the replica takes requests.
    fn due(&self, count: u64, turned: u64, now: Time) -> bool {
        if self.waiting {
            return false;
        }
        let since = now.since(self.at);
        let again = self.failed && since >= TELL_AGAIN;
        let changed = self.count != count && since >= TELL_MIN;
        again || changed || self.turned != turned || since >= TELL_MAX
    }
}

/// Tells the entries until dropped.
pub async fn tell(sidecar: Rc<Sidecar>) {
    let told: Rc<RefCell<BTreeMap<SocketAddr, Told>>> = Rc::default();
    loop {
        let entries = sidecar.entries(&told.borrow());
        told.borrow_mut().retain(|entry, _| entries.contains(entry));
        for (place, entry) in entries.into_iter().enumerate() {
            tell_if_due(&sidecar, &told, entry, place == 0);
        }
        let now = sidecar.knowledge.now();
        sidecar.knowledge.peers.borrow_mut().remove_expired(now);
        sleep(TELL_LOOK).await;
    }
}

fn tell_if_due(
    sidecar: &Rc<Sidecar>,
    told: &Rc<RefCell<BTreeMap<SocketAddr, Told>>>,
    entry: SocketAddr,
    first: bool,
) {
    let now = sidecar.knowledge.now();
    let (count, turned) = (sidecar.told.get(), sidecar.turned.get());
    let last = told.borrow().get(&entry).copied();
    if last.is_some_and(|last| !last.due(count, turned, now)) {
        return;
    }
    let asked = last.and_then(|last| last.asked);
    // One that did not answer leaves the question to the next.
    let asks = (first || last.is_none_or(|last| last.failed))
        && asked.is_none_or(|asked| now.since(asked) >= ASK);
    let waiting = Told {
        at: now,
        count,
        turned,
        waiting: true,
        failed: last.is_some_and(|last| last.failed),
        asked: if asks { Some(now) } else { asked },
    };
    told.borrow_mut().insert(entry, waiting);
    let (sidecar, told) = (sidecar.clone(), told.clone());
    actix_rt::spawn(async move {
        let heard = tell_one(&sidecar, entry, asks).await;
        if let Some(last) = told.borrow_mut().get_mut(&entry) {
            last.failed = !heard;
            last.waiting = false;
        }
    });
}

/// Tells one entry. Returns whether it answered.
async fn tell_one(sidecar: &Sidecar, entry: SocketAddr, asks: bool) -> bool {
    let report = Report {
        address: sidecar.setting.replica,
        load: sidecar.load(),
        heartbeat: Heartbeat {
            wants_list: !sidecar.knowledge.catalog.borrow().has_replica_list(),
            ..sidecar.knowledge.heartbeat(asks)
        },
    };
    let (began, note) = (sidecar.knowledge.now(), Note::default());
    match post_noting(&sidecar.knowledge, entry, REPORT_PATH, &report, &note).await {
        // The time of one that was sent twice says nothing of the link.
        Ok(()) if note.way() == Some(Way::Renewed) => {}
        Ok(()) => {
            let now = sidecar.knowledge.now();
            sidecar.rtt.borrow_mut().record(now.since(began), now);
        }
        Err(error) => {
            log::debug!(entry:% = entry; "report: {error}");
            return false;
        }
    }
    true
}

/// Reads the store while no entry answers.
pub async fn read_store_when_alone(sidecar: Rc<Sidecar>) {
    let mut backoff = Backoff::new(ALONE, ALONE_MAX);
    let mut pause = backoff.failed();
    loop {
        sleep(pause).await;
        let now = sidecar.knowledge.now();
        if sidecar.knowledge.peers.borrow().alive(now).next().is_some() {
            backoff.succeeded();
            pause = backoff.failed();
            continue;
        }
        log::info!("no entry answers; reading the store");
        for topic in [Topic::Operator, Topic::Replicas] {
            read_store(&sidecar, topic).await;
        }
        let jitter = sidecar.knowledge.rng.borrow_mut().random_range(0.7..1.3);
        pause = backoff.failed().mul_f64(jitter);
    }
}

async fn read_store(sidecar: &Sidecar, topic: Topic) {
    let progress = Progress::default();
    let call = sidecar.source.read(topic, progress.clone());
    let waits = timeout::Config::with_first_byte(ALONE_READ);
    match timeout::wait(call, &progress, waits).await {
        Ok(Ok(batch)) => sidecar.knowledge.apply_batch(topic, true, batch),
        Ok(Err(error)) => log::info!(topic:? = topic; "{error}"),
        Err(error) => log::info!(topic:? = topic; "store: {error}"),
    }
}
