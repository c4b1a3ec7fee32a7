//! What a process knows of the platform and of the other processes, and how it keeps that fresh.
//!
//! * [`store`] reads and watches the platform's store.
//! * [`news`] builds heartbeats and their answers, and applies the latter.
//! * [`pace`] says how long calls to it wait, and how long they pause.
//! * [`readers`] decides who reads it for a whole hall.
//! * [`draws`] decides from whom a configuration is drawn that others know.
//! * [`fanout`] distributes a message to all entries of a hall.
//! * [`hub`] decides who tells a whole hall how replicas do, [`halls`] when another is asked.
//! * [`poison`] tells under which requests replicas ended.
//! * [`rounds`] plans when heartbeats are sent and to which processes.
//! * [`traffic`] counts what is sent to other processes.
//! * [`gossip`] exchanges what is newer with other processes of the system, so that one that the
//!   store turns away, or that just began, knows what the others know.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use draws::{Draws, Place};
use fanout::UnresponsiveEntries;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use readers::Readers;
use tokio::sync::Notify;
use traffic::Traffic;

use crate::clock::{Clock, Time};
use crate::config::catalog::{Catalog, Effect, Fact, Revisioned, Revisions};
use crate::config::residency::Regions;
use crate::exchange::{self, path::Paths};
use crate::log::Repeats;
use crate::member::peer::Peers;
use crate::member::rank::rank;
use crate::member::replica::Record;
use crate::policy::Policy;
use crate::request::poison::Registry;
use crate::source::{Batch, Damaged, Topic};
use crate::version::rollout;
use crate::wire::pack;
use crate::wire::sync::Summary;

pub mod draws;
pub mod fanout;
pub mod gossip;
pub mod hub;
pub mod news;
pub mod pace;
pub mod poison;
pub mod polls;
pub mod readers;
pub mod rounds;
pub mod store;
pub mod traffic;

/// The store counts as shaky for so long after it was out of reach.
const SHAKY: Duration = Duration::from_millis(4_000);

/// A store that answered another entry of the hall so short ago is not in trouble: readers ask at
/// least each second, and tell so at least each half.
const ANSWERS_OTHERS: Duration = Duration::from_millis(1_500);

/// Who a process is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The data hall that it stands in.
    pub hall: Arc<str>,
    /// Where it listens to other processes of the system.
    pub address: SocketAddr,
    /// Whether it is an entry.
    pub entry: bool,
}

/// What could not be read of the platform's documents since the process began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Losses {
    /// Fields, items and whole documents.
    pub count: u64,
    /// The latest of them.
    pub latest: Option<String>,
}

/// What a process knows. It lives on one thread.
#[derive(Debug)]
pub struct Knowledge {
    /// Who the process is.
    pub identity: Identity,
    /// The mechanisms of the policy.
    pub policy: Policy,
    /// Monotonic time.
    pub clock: Clock,
    /// Random choices.
    pub rng: RefCell<SmallRng>,
    /// Calls to other processes.
    pub client: exchange::Client,
    /// What they are, by purpose.
    pub traffic: Traffic,
    /// Beliefs about the platform.
    pub catalog: RefCell<Catalog>,
    /// Entries.
    pub peers: RefCell<Peers>,
    /// The newest configuration in brief, where the whole is not kept.
    pub summary: RefCell<Option<Summary>>,
    /// Addresses of processes to begin with.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// The regions of data halls.
    pub regions: RefCell<Regions>,
    /// Changes of what is believed.
    pub changed: tokio::sync::watch::Sender<u64>,
    /// Wakes those who tell the hall's entries that there is news.
    pub news: Notify,
    /// Wakes calls that may hang since before the store answered again.
    pub store_regained: Notify,
    trouble: Cell<Option<Time>>,
    /// What could not be read of the platform's documents.
    pub losses: RefCell<Losses>,
    fetching: Cell<bool>,
    /// Entries of the hall that recently failed to answer a message.
    unresponsive: RefCell<UnresponsiveEntries>,
    lost_heartbeats: Repeats,
    draws: RefCell<Draws>,
    /// The configuration as others draw it: it is packed once for all of them.
    packed: RefCell<pack::Cache>,
    /// The packed list of replicas, kept for all processes that draw it when they begin.
    packed_list: RefCell<pack::Cache>,
    readers: RefCell<Readers>,
    answered: Cell<Option<Time>>,
    /// Requests under which replicas ended.
    pub poison: RefCell<Registry>,
    /// Wakes those who tell the other entries of them.
    pub poison_changed: Notify,
    poison_comparing: Cell<bool>,
}

impl Knowledge {
    /// Nothing known yet. `paths` has what is known of the process's connections.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        seed: u64,
        policy: Policy,
        paths: Rc<Paths>,
    ) -> Rc<Self> {
        let own = identity.entry.then_some(identity.address);
        Rc::new(Self {
            clock: Clock::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            client: exchange::Client::sharing(paths),
            traffic: Traffic::default(),
            catalog: RefCell::new(Catalog::new(!policy.removal_grace)),
            policy,
            peers: RefCell::new(Peers::new(own)),
            summary: RefCell::default(),
            seeds: RefCell::new(seeds),
            regions: RefCell::default(),
            changed: tokio::sync::watch::Sender::new(0),
            news: Notify::new(),
            store_regained: Notify::new(),
            trouble: Cell::new(None),
            losses: RefCell::default(),
            fetching: Cell::new(false),
            unresponsive: RefCell::default(),
            lost_heartbeats: Repeats::default(),
            draws: RefCell::default(),
            packed: RefCell::default(),
            packed_list: RefCell::default(),
            readers: RefCell::new(Readers::new(Clock::default().now())),
            answered: Cell::new(None),
            poison: RefCell::default(),
            poison_changed: Notify::new(),
            poison_comparing: Cell::new(false),
            identity,
        })
    }

    /// The present instant.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The other entries of the own hall.
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        peers.of_hall(&self.identity.hall, self.now())
    }

    /// Whether this entry reads `topic` from the store, or others of its hall do.
    pub fn reads(&self, topic: Topic) -> bool {
        if !self.policy.few_readers {
            return true;
        }
        let (readers, own, now) = (self.readers.borrow(), self.identity.address, self.now());
        let (peers, seeds) = (self.peers.borrow(), self.seeds.borrow());
        if readers.awaits_seeds(own, &peers, &seeds, now) {
            return false;
        }
        readers.reads(topic, own, &self.local_peers(), now)
    }

    /// Whether this entry lacks the configuration or the list of replicas. It needs both to serve
    /// requests.
    pub fn lacks_initial_state(&self) -> bool {
        let catalog = self.catalog.borrow();
        catalog.routing().is_none() || !catalog.has_replica_list()
    }

    /// Whether this entry has never had the list of replicas and a process with `marks` has it.
    fn lacks_list(&self, revisions: Revisions) -> bool {
        revisions.replicas > 0 && !self.catalog.borrow().has_replica_list()
    }

    /// Bytes of an answer of the store came.
    fn store_is_answering(&self) {
        self.answered.set(Some(self.now()));
    }

    /// Milliseconds since the store answered this process.
    fn store_age_ms(&self, now: Time) -> Option<u64> {
        let at = self.answered.get()?;
        Some(now.since(at).as_millis() as u64)
    }

    /// Takes what an entry tells of itself with every message: that it is there, and, if it stands
    /// in this hall, how long ago the store answered it.
    fn hear(&self, entry: SocketAddr, hall: &Arc<str>, store_age_ms: Option<u64>) {
        let now = self.now();
        self.update_peers(|peers| peers.observe(entry, hall, now));
        if *hall != self.identity.hall {
            return;
        }
        if let Some(age) = store_age_ms.map(Duration::from_millis) {
            self.readers.borrow_mut().record_answer(entry, now - age);
        }
    }

    /// Updates the entries, and wakes those who work with them if there is a new one.
    fn update_peers(&self, update: impl FnOnce(&mut Peers)) {
        let mut peers = self.peers.borrow_mut();
        let before = peers.added();
        update(&mut peers);
        if peers.added() != before {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// An entry does not answer.
    pub fn mark_unreachable(&self, entry: SocketAddr) {
        self.readers.borrow_mut().remove(entry);
    }

    /// Whether another process with these marks knows something newer.
    pub fn is_behind(&self, revisions: Revisions) -> bool {
        revisions.any_newer_than(self.catalog.borrow().revisions())
    }

    /// The place of a process in `hall` as a source of draws.
    fn place_of(&self, hall: &str) -> Place {
        if *hall == *self.identity.hall {
            Place::Near
        } else if rank(self.identity.address, self.local_peers().into_iter(), hall) == 0 {
            Place::FarForAll
        } else {
            Place::Far
        }
    }

    /// The place of an entry in the own hall; `is_hub` says whether it sends frames to all others.
    /// Halls in which it reaches every entry directly make no distinction.
    fn place_in_own_hall(&self, is_hub: bool) -> Place {
        if is_hub && self.local_peers().len() > fanout::DEGREE {
            Place::NearHub
        } else {
            Place::Near
        }
    }

    /// Whether this process is an entry that lacks the configuration or the list of replicas of a
    /// process with `marks`.
    fn needs_draw(&self, revisions: Revisions) -> bool {
        self.identity.entry
            && (!self.knows_routing(revisions.routing) || self.lacks_list(revisions))
    }

    /// Whether to start a draw from `peer` at `place` now. If so, the caller has to call
    /// [`Knowledge::drew`] afterwards.
    fn begins_draw(&self, peer: SocketAddr, place: Place) -> bool {
        self.draws.borrow_mut().begin(peer, place, self.now())
    }

    /// A draw from `peer` ended.
    fn drew(&self, peer: SocketAddr) {
        self.draws.borrow_mut().ended(peer);
    }

    /// Whether the configuration is known up to `revision`.
    fn knows_routing(&self, revision: u64) -> bool {
        self.catalog.borrow().revisions().routing >= revision
    }

    /// The revision up to which a topic is known.
    pub fn revision(&self, topic: Topic) -> u64 {
        let catalog = self.catalog.borrow();
        match topic {
            Topic::Operator => {
                // An evacuation may be told while a configuration of before is still drawn: who watches
                // from it on would miss that one. What is seen twice changes nothing.
                let revisions = catalog.revisions();
                // Without a configuration, read from the start: a version received from another
                // process may have a later revision than the configuration, and a watch from that
                // revision would miss it.
                if catalog.routing().is_none() {
                    return 0;
                }
                revisions.routing.max(revisions.versions)
            }
            Topic::Replicas => catalog.list_revision(),
        }
    }

    /// The store was out of reach of this process. While it answers others of the hall, that is no
    /// trouble of the store, and what it tells through them is as sure as ever.
    pub fn record_store_failure(&self) {
        let now = self.now();
        if self.readers.borrow().answered_within(ANSWERS_OTHERS, now) {
            return;
        }
        self.trouble.set(Some(now));
    }

    fn shaky(&self) -> bool {
        let now = self.now();
        self.trouble
            .get()
            .is_some_and(|trouble| now.since(trouble) < SHAKY)
    }

    fn tell(&self, effect: Effect) {
        if effect != Effect::None {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    fn learn(&self, dated: Revisioned, origin: &str) -> Effect {
        let revision = dated.revision;
        let text = describe(&dated.fact);
        let (now, shaky) = (self.now(), self.shaky());
        let effect = self.catalog.borrow_mut().apply(dated, now, shaky);
        if effect != Effect::None {
            log::info!(revision, origin, shaky; "learned: {text}");
        }
        if effect == Effect::Routing {
            self.draws.borrow_mut().learned();
        }
        self.tell(effect);
        effect
    }

    /// Takes what the store answered; `whole` if that is everything of its topic.
    pub fn apply_batch(&self, topic: Topic, whole: bool, batch: Batch) {
        self.store_is_answering();
        if self.learn_batch(topic, whole, batch) {
            self.news.notify_one();
        }
    }

    /// Returns whether anything changed.
    fn learn_batch(&self, topic: Topic, whole: bool, batch: Batch) -> bool {
        self.note_damage(&batch.damaged, batch.revision);
        if whole && topic == Topic::Replicas {
            let records = batch
                .facts
                .into_iter()
                .filter_map(|dated| match dated.fact {
                    Fact::Replica(record) => Some((dated.revision, record)),
                    _ => None,
                });
            let effect = self.take_list(records.collect(), batch.revision, self.shaky(), "store");
            return effect != Effect::None;
        }
        let mut changed = false;
        if whole {
            changed |= self.take_evacuations(&batch);
        }
        for dated in batch.facts {
            changed |= self.learn(dated, "store") != Effect::None;
        }
        if topic == Topic::Replicas {
            self.catalog.borrow_mut().advance_list(batch.revision);
        }
        changed
    }

    /// The store's whole word on evacuations: one that is not in it is over.
    fn take_evacuations(&self, batch: &Batch) -> bool {
        let halls = batch.facts.iter().filter_map(|dated| match &dated.fact {
            Fact::Evacuation { hall, active: true } => Some(hall.clone()),
            _ => None,
        });
        let halls: Vec<Arc<str>> = halls.collect();
        let effect = self
            .catalog
            .borrow_mut()
            .apply_evacuations(&halls, batch.revision);
        if effect != Effect::None {
            log::info!(revision = batch.revision; "learned: evacuations that are over");
        }
        self.tell(effect);
        effect != Effect::None
    }

    /// Writes down what could not be read of entries of the store.
    fn note_damage(&self, damaged: &[Damaged], revision: u64) {
        let mut losses = self.losses.borrow_mut();
        for entry in damaged {
            for loss in &entry.losses {
                log::warn!(revision, key = entry.key.as_str(); "entry of the store: {loss}");
            }
            losses.count += entry.losses.len() as u64;
            losses.latest = entry
                .losses
                .last()
                .map(|loss| format!("{}: {loss}", entry.key));
        }
    }

    fn take_list(&self, records: Vec<(u64, Record)>, at: u64, shaky: bool, origin: &str) -> Effect {
        let count = records.len();
        let now = self.now();
        let first_list = !self.catalog.borrow().has_replica_list();
        let effect = self
            .catalog
            .borrow_mut()
            .apply_list(records, at, now, shaky);
        if first_list && !self.lacks_initial_state() {
            self.draws.borrow_mut().learned();
        }
        if effect != Effect::None {
            log::info!(revision = at, origin, replicas = count, shaky; "learned: list of replicas");
        }
        self.tell(effect);
        effect
    }

    /// The settings of the change of versions, planned as `setting`, for an origin like the present one.
    pub fn rollout(&self, setting: rollout::Setting) -> rollout::Setting {
        let copy = self.summary().and_then(|brief| brief.copy());
        setting.with_transfer_time(copy, self.policy)
    }

    /// The model that `service` serves, by the engine's figures, or by what its replicas hold.
    pub fn model_of(&self, service: &str) -> Option<Arc<str>> {
        let catalog = self.catalog.borrow();
        let configured = catalog.routing().and_then(|routing| {
            let engine = routing.service(service)?.engine.as_ref()?;
            engine.models.first().cloned()
        });
        configured.or_else(|| catalog.loaded_model(Some(service)))
    }

    /// The configuration in brief, from the whole if that is known.
    pub fn summary(&self) -> Option<Summary> {
        let catalog = self.catalog.borrow();
        let Some(routing) = catalog.routing() else {
            return self.summary.borrow().clone();
        };
        let services = routing.document.services.iter();
        Some(Summary {
            revision: catalog.revisions().routing,
            origin: routing.origin(),
            origin_mbps: routing.origin_mbps(),
            engine: services.clone().find_map(|service| service.engine.clone()),
        })
    }
}

fn describe(fact: &Fact) -> String {
    match fact {
        Fact::Routing(document) => format!("routing version {}", document.version),
        Fact::Version { model, version } => format!("model {model} wanted in version {version}"),
        Fact::Replica(record) => {
            let state = if record.leaving { "leaving" } else { "ready" };
            format!("replica {} of {} {state}", record.id, record.service)
        }
        Fact::ReplicaGone(id) => format!("replica {id} gone"),
        Fact::Evacuation { hall, active: true } => format!("hall {hall} is evacuated"),
        Fact::Evacuation { hall, .. } => format!("the evacuation of hall {hall} is over"),
    }
}
