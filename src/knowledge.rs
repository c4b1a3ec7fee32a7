//! What a process knows about the platform and the other processes, and how it keeps this up to date.
//!
//! * [`store`] reads and watches the platform's store.
//! * [`heartbeat`] builds heartbeats and their answers, and applies the answers.
//! * [`schedule`] sets the timeouts of calls to the store and the pauses between them.
//! * [`readers`] determines which entries read the store for a whole hall.
//! * [`fetches`] selects the process from which a newer configuration is fetched.
//! * [`fanout`] distributes a message to all entries of a hall.
//! * [`hub`] determines which entry sends the status of replicas to a whole hall, [`polls`] when other
//!   halls are polled for theirs.
//! * [`poison`] distributes the requests under which replicas crashed, [`quotas`] the quotas that
//!   replicas state.
//! * [`rounds`] plans when heartbeats are sent and to which processes.
//! * [`traffic`] counts the messages to other processes.
//! * [`gossip`] exchanges updates with other processes of the system, so that a process that the store
//!   rejects, or that has just started, learns what the others know.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fanout::UnresponsiveEntries;
use fetches::{Fetches, Locality};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use readers::Readers;
use tokio::sync::Notify;
use traffic::Traffic;

use crate::clock::{Clock, Time};
use crate::config::catalog::{Catalog, Effect, Fact, Revisioned, Revisions};
use crate::config::residency::Regions;
use crate::config::revision;
use crate::config::routing::health_path_default;
use crate::exchange::{self, path::Paths};
use crate::log::Repeats;
use crate::member::peer::Peers;
use crate::member::rank::rank;
use crate::member::replica::Record;
use crate::policy::Policy;
use crate::request::poison::Registry;
use crate::route::quota;
use crate::source::{Batch, Damaged, Topic};
use crate::version::rollout;
use crate::wire::pack;
use crate::wire::sync::Summary;

pub mod fanout;
pub mod fetches;
pub mod gossip;
pub mod heartbeat;
pub mod hub;
pub mod poison;
pub mod polls;
pub mod quotas;
pub mod readers;
pub mod rounds;
pub mod schedule;
pub mod store;
pub mod traffic;

/// How long the store is considered unstable after it was unreachable.
const UNSTABLE_PERIOD: Duration = Duration::from_millis(4_000);

/// A store that answered another entry of the hall within this time is considered reachable. Readers call
/// it at least every second, and report its answers at least every half second.
const LOCAL_ANSWER_MAX_AGE: Duration = Duration::from_millis(1_500);

/// The identity of a process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name in logs.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The address on which it listens to other processes of the system.
    pub address: SocketAddr,
    /// Whether it is an entry.
    pub entry: bool,
}

/// Parts of the platform's documents that could not be read since the process started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Losses {
    /// Their number: fields, items and whole documents.
    pub count: u64,
    /// Description of the latest one.
    pub latest: Option<String>,
}

/// What a process knows. It is confined to one thread.
#[derive(Debug)]
pub struct Knowledge {
    /// The identity of the process.
    pub identity: Identity,
    /// The enabled mechanisms.
    pub policy: Policy,
    /// The monotonic clock.
    pub clock: Clock,
    /// The random number generator.
    pub rng: RefCell<SmallRng>,
    /// The client for calls to other processes.
    pub client: exchange::Client,
    /// Counts of these calls by purpose.
    pub traffic: Traffic,
    /// Counts of failed calls to the store.
    pub store_failures: store::Failures,
    /// What is known about the platform.
    pub catalog: RefCell<Catalog>,
    /// The known entries.
    pub peers: RefCell<Peers>,
    /// A summary of the newest configuration, in processes that do not keep the configuration itself.
    pub summary: RefCell<Option<Summary>>,
    /// Addresses of the processes to contact first.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// The regions of data halls.
    pub regions: RefCell<Regions>,
    /// Counts the changes of what is known.
    pub changed: tokio::sync::watch::Sender<u64>,
    /// Wakes the task that notifies the hall's entries of updates.
    pub update_notify: Notify,
    /// Wakes calls to the store that may have been hanging since before it answered again.
    pub store_regained: Notify,
    last_store_failure: Cell<Option<Time>>,
    /// Parts of the platform's documents that could not be read.
    pub losses: RefCell<Losses>,
    fetching: Cell<bool>,
    /// Entries of the hall that recently failed to answer a message.
    unresponsive: RefCell<UnresponsiveEntries>,
    heartbeat_failures: Repeats,
    fetches: RefCell<Fetches>,
    /// The packed configuration, cached for all processes that fetch it.
    packed_routing: RefCell<pack::Cache>,
    /// The packed list of replicas, cached for all processes that fetch it when they start.
    packed_list: RefCell<pack::Cache>,
    readers: RefCell<Readers>,
    last_store_answer: Cell<Option<Time>>,
    /// Requests under which replicas crashed.
    pub poison: RefCell<Registry>,
    /// Wakes the task that notifies the other entries of these requests.
    pub poison_changed: Notify,
    poison_comparing: Cell<bool>,
    /// The quotas that replicas have stated.
    pub quotas: RefCell<quota::Registry>,
    /// Wakes the task that notifies the other entries of a change that a replica stated.
    pub quotas_changed: Notify,
}

impl Knowledge {
    /// Creates the knowledge of a process that has just started. `paths` is the state of its connections.
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
            update_notify: Notify::new(),
            store_failures: store::Failures::default(),
            store_regained: Notify::new(),
            last_store_failure: Cell::new(None),
            losses: RefCell::default(),
            fetching: Cell::new(false),
            unresponsive: RefCell::default(),
            heartbeat_failures: Repeats::default(),
            fetches: RefCell::default(),
            packed_routing: RefCell::default(),
            packed_list: RefCell::default(),
            readers: RefCell::new(Readers::new(Clock::default().now())),
            last_store_answer: Cell::new(None),
            poison: RefCell::default(),
            poison_changed: Notify::new(),
            poison_comparing: Cell::new(false),
            quotas: RefCell::default(),
            quotas_changed: Notify::new(),
            identity,
        })
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The other entries of the own hall.
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        peers.of_hall(&self.identity.hall, self.now())
    }

    /// Whether this entry reads `topic` from the store itself instead of leaving it to others of its hall.
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

    /// Whether this entry has never had the list of replicas and a process with `revisions` has it.
    fn lacks_list(&self, revisions: Revisions) -> bool {
        revisions.replicas > 0 && !self.catalog.borrow().has_replica_list()
    }

    /// Records that bytes of an answer of the store were received.
    fn record_store_answer(&self) {
        self.last_store_answer.set(Some(self.now()));
    }

    /// Milliseconds since the store answered this process.
    fn store_age_ms(&self, now: Time) -> Option<u64> {
        let at = self.last_store_answer.get()?;
        Some(now.since(at).as_millis() as u64)
    }

    /// Records what every message of an entry implies: that it is alive, and, if it is in this hall, how
    /// long ago the store answered it.
    fn record_peer(&self, entry: SocketAddr, hall: &Arc<str>, store_age_ms: Option<u64>) {
        let now = self.now();
        self.update_peers(|peers| peers.observe(entry, hall, now));
        if *hall != self.identity.hall {
            return;
        }
        if let Some(age) = store_age_ms.map(Duration::from_millis) {
            self.readers.borrow_mut().record_answer(entry, now - age);
        }
    }

    /// Updates the known entries, and reports a change if there is a new one.
    fn update_peers(&self, update: impl FnOnce(&mut Peers)) {
        let mut peers = self.peers.borrow_mut();
        let before = peers.added();
        update(&mut peers);
        if peers.added() != before {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Records that an entry does not answer.
    pub fn mark_unreachable(&self, entry: SocketAddr) {
        self.readers.borrow_mut().remove(entry);
    }

    /// Whether a process with `revisions` has newer state than this one.
    pub fn is_behind(&self, revisions: Revisions) -> bool {
        revisions.any_newer_than(self.catalog.borrow().revisions())
    }

    /// The locality of a process in `hall` as a source of fetches.
    fn locality_of(&self, hall: &str) -> Locality {
        if *hall == *self.identity.hall {
            Locality::Local
        } else if rank(self.identity.address, self.local_peers().into_iter(), hall) == 0 {
            Locality::RemoteDelegate
        } else {
            Locality::Remote
        }
    }

    /// The locality of an entry in the own hall; `is_hub` is set if it sends frames to all others. In
    /// halls where the hub reaches every entry directly, it is treated like any other entry.
    fn locality_in_own_hall(&self, is_hub: bool) -> Locality {
        if is_hub && self.local_peers().len() > fanout::DEGREE {
            Locality::LocalHub
        } else {
            Locality::Local
        }
    }

    /// Whether this process is an entry that lacks the configuration or the list of replicas of a process
    /// with `revisions`.
    fn needs_fetch(&self, revisions: Revisions) -> bool {
        self.identity.entry && (!self.knows_routing(revisions) || self.lacks_list(revisions))
    }

    /// Whether to start a fetch from `peer` at `locality` now. If so, the caller must call
    /// [`Knowledge::finish_fetch`] afterwards.
    fn begin_fetch(&self, peer: SocketAddr, locality: Locality) -> bool {
        self.fetches.borrow_mut().begin(peer, locality, self.now())
    }

    /// Records the end of a fetch from `peer`.
    fn finish_fetch(&self, peer: SocketAddr) {
        self.fetches.borrow_mut().finish(peer);
    }

    /// Whether the configuration is known that a process with `revisions` has.
    fn knows_routing(&self, revisions: Revisions) -> bool {
        !revisions.has_newer_routing_than(self.catalog.borrow().revisions())
    }

    /// The revision up to which a topic is known.
    pub fn revision(&self, topic: Topic) -> u64 {
        let catalog = self.catalog.borrow();
        if catalog.was_restored() {
            // Revisions may have been raised above those of the store, and a watch from them would
            // miss changes.
            return 0;
        }
        match topic {
            Topic::Operator => {
                // Leaves out the revision of evacuations: one may be received while an older
                // configuration is still being fetched, which a watch from that revision would miss.
                // Facts that are received twice have no effect.
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

    /// Records that the store was unreachable for this process, unless it answers others of the hall:
    /// then the store itself is not at fault, and what it reports through them is reliable.
    pub fn record_store_failure(&self) {
        let now = self.now();
        if self
            .readers
            .borrow()
            .answered_within(LOCAL_ANSWER_MAX_AGE, now)
        {
            return;
        }
        self.last_store_failure.set(Some(now));
    }

    /// Whether the store was unreachable recently.
    fn store_unstable(&self) -> bool {
        let now = self.now();
        self.last_store_failure
            .get()
            .is_some_and(|at| now.since(at) < UNSTABLE_PERIOD)
    }

    fn notify(&self, effect: Effect) {
        if effect != Effect::None {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    fn apply_fact(&self, dated: Revisioned, origin: &str) -> Effect {
        self.apply_fact_by(Catalog::apply, dated, origin)
    }

    fn apply_fact_by(
        &self,
        apply: impl FnOnce(&mut Catalog, Revisioned, Time, bool) -> Effect,
        dated: Revisioned,
        origin: &str,
    ) -> Effect {
        let revision = dated.revision;
        let text = describe(&dated.fact);
        let (now, store_unstable) = (self.now(), self.store_unstable());
        let effect = apply(&mut self.catalog.borrow_mut(), dated, now, store_unstable);
        if effect != Effect::None {
            log::info!(revision, origin, shaky = store_unstable; "applied: {text}");
        }
        if effect == Effect::Routing {
            self.fetches.borrow_mut().reset();
        }
        self.notify(effect);
        effect
    }

    /// Applies an answer of the store; `whole` if it contains the whole topic.
    pub fn apply_batch(&self, topic: Topic, whole: bool, batch: Batch) {
        self.record_store_answer();
        if self.apply_facts(topic, whole, batch) {
            self.update_notify.notify_one();
        }
    }

    /// Applies the facts of a batch. Returns whether anything changed.
    fn apply_facts(&self, topic: Topic, whole: bool, batch: Batch) -> bool {
        self.log_losses(&batch.damaged, batch.revision);
        let mut catalog = self.catalog.borrow_mut();
        if catalog.observe_era(batch.revision, self.now()) {
            let (era, number) = (
                revision::era(batch.revision),
                revision::number(batch.revision),
            );
            log::warn!(era, number, topic:? = topic; "the store has come back from an older copy");
        }
        drop(catalog);
        let is_part = batch.incomplete.is_some();
        if whole && topic == Topic::Replicas {
            let records = batch
                .facts
                .into_iter()
                .filter_map(|dated| match dated.fact {
                    Fact::Replica(record) => Some((dated.revision, record)),
                    _ => None,
                });
            let apply = |catalog: &mut Catalog, records, at, now, store_unstable| {
                if is_part {
                    catalog.apply_partial_list(records, now)
                } else {
                    catalog.apply_read_list(records, at, now, store_unstable)
                }
            };
            let effect = self.apply_list(
                apply,
                records.collect(),
                batch.revision,
                self.store_unstable(),
                "store",
            );
            return effect != Effect::None;
        }
        let mut changed = false;
        if whole && !is_part {
            changed |= self.apply_all_evacuations(&batch);
        }
        let apply = if whole {
            Catalog::apply_read
        } else {
            Catalog::apply
        };
        for dated in batch.facts {
            changed |= self.apply_fact_by(apply, dated, "store") != Effect::None;
        }
        if topic == Topic::Replicas {
            self.catalog.borrow_mut().advance_list(batch.revision);
        }
        changed
    }

    /// Applies the evacuations of a batch with a whole topic: those that it does not contain are over.
    fn apply_all_evacuations(&self, batch: &Batch) -> bool {
        let halls = batch.facts.iter().filter_map(|dated| match &dated.fact {
            Fact::Evacuation { hall, active: true } => Some(hall.clone()),
            _ => None,
        });
        let halls: Vec<Arc<str>> = halls.collect();
        let effect =
            self.catalog
                .borrow_mut()
                .apply_evacuations(&halls, batch.revision, self.now());
        if effect != Effect::None {
            log::info!(revision = batch.revision; "applied: end of evacuations");
        }
        self.notify(effect);
        effect != Effect::None
    }

    /// Logs and counts the parts of store entries that could not be read.
    fn log_losses(&self, damaged: &[Damaged], revision: u64) {
        let mut losses = self.losses.borrow_mut();
        for entry in damaged {
            for loss in &entry.losses {
                log::warn!(revision, key = entry.key.as_str(); "store entry not fully read: {loss}");
            }
            losses.count += entry.losses.len() as u64;
            losses.latest = entry
                .losses
                .last()
                .map(|loss| format!("{}: {loss}", entry.key));
        }
    }

    fn apply_list(
        &self,
        apply: impl FnOnce(&mut Catalog, Vec<(u64, Record)>, u64, Time, bool) -> Effect,
        records: Vec<(u64, Record)>,
        at: u64,
        store_unstable: bool,
        origin: &str,
    ) -> Effect {
        let count = records.len();
        let now = self.now();
        let first_list = !self.catalog.borrow().has_replica_list();
        let mut catalog = self.catalog.borrow_mut();
        let effect = apply(&mut catalog, records, at, now, store_unstable);
        drop(catalog);
        if first_list && !self.lacks_initial_state() {
            self.fetches.borrow_mut().reset();
        }
        if effect != Effect::None {
            log::info!(revision = at, origin, replicas = count, shaky = store_unstable; "applied: list of replicas");
        }
        self.notify(effect);
        effect
    }

    /// The rollout settings `setting`, adapted to the transfer time of the current origin.
    pub fn rollout(&self, setting: rollout::Setting) -> rollout::Setting {
        let copy = self.summary().and_then(|summary| summary.copy());
        setting.with_transfer_time(copy, self.policy)
    }

    /// The model that `service` serves, according to its engine's configuration or else to the models that
    /// its replicas have loaded.
    pub fn model_of(&self, service: &str) -> Option<Arc<str>> {
        let catalog = self.catalog.borrow();
        let configured = catalog.routing().and_then(|routing| {
            let engine = routing.service(service)?.engine.as_ref()?;
            engine.models.first().cloned()
        });
        configured.or_else(|| catalog.loaded_model(Some(service)))
    }

    /// The summary of the configuration, derived from the configuration itself if that is known.
    pub fn summary(&self) -> Option<Summary> {
        let catalog = self.catalog.borrow();
        let Some(routing) = catalog.routing() else {
            return self.summary.borrow().clone();
        };
        let mut services = routing.document.services.iter();
        let service = services.find(|service| service.engine.is_some());
        Some(Summary {
            revision: catalog.revisions().routing,
            origin: routing.origin(),
            origin_mbps: routing.origin_mbps(),
            engine: service.and_then(|service| service.engine.clone()),
            health_path: service
                .map_or_else(health_path_default, |service| service.health_path.clone()),
        })
    }
}

fn describe(fact: &Fact) -> String {
    match fact {
        Fact::Routing(document) => format!("routing version {}", document.version),
        Fact::Version { model, version } => format!("model {model}: desired version {version}"),
        Fact::Replica(record) => {
            let state = if record.leaving { "leaving" } else { "ready" };
            format!("replica {} of {} {state}", record.id, record.service)
        }
        Fact::ReplicaGone(id) => format!("replica {id} removed"),
        Fact::Evacuation { hall, active: true } => format!("evacuation of hall {hall} started"),
        Fact::Evacuation { hall, .. } => format!("evacuation of hall {hall} ended"),
    }
}
