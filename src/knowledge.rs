//! What a process knows of the platform and of the other processes, and how it keeps that fresh.
//!
//! * [`store`] reads and watches the platform's store.
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
use rounds::PeerExchange;
use serde_bytes::ByteBuf;
use tokio::sync::Notify;
use traffic::Traffic;

use crate::clock::{Clock, Time};
use crate::config::belief::{Belief, Changes, Dated, DatedRecord, Effect, Fact, Marks, Wanted};
use crate::config::residency::Regions;
use crate::exchange::{self, path::Paths};
use crate::log::Repeats;
use crate::member::peer::{Peers, Told};
use crate::member::rank::rank;
use crate::member::replica::Record;
use crate::policy::Policy;
use crate::request::poison::Register;
use crate::source::{Batch, Damaged, Topic};
use crate::version::rollout;
use crate::wire::pack;
use crate::wire::sync::{Brief, DatedDocument, List, Named, News, PackedList, Sync};

pub mod draws;
pub mod fanout;
pub mod gossip;
pub mod halls;
pub mod hub;
pub mod pace;
pub mod poison;
pub mod readers;
pub mod rounds;
pub mod store;
pub mod traffic;

/// The store counts as shaky for so long after it was out of reach.
const SHAKY: Duration = Duration::from_millis(4_000);

/// A store that answered another entry of the hall so short ago is not in trouble: readers ask at
/// least each second, and tell so at least each half.
const ANSWERS_OTHERS: Duration = Duration::from_millis(1_500);

/// How long after its naming a version is told to those who know it, with its age: longer than any
/// bound that is counted from there.
const VERSIONS_TOLD: Duration = Duration::from_secs(20);

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
    pub belief: RefCell<Belief>,
    /// Entries.
    pub peers: RefCell<Peers>,
    /// The newest configuration in brief, where the whole is not kept.
    pub brief: RefCell<Option<Brief>>,
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
    pub poison: RefCell<Register>,
    /// Wakes those who tell the other entries of them.
    pub poison_news: Notify,
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
            belief: RefCell::new(Belief::new(!policy.doubt)),
            policy,
            peers: RefCell::new(Peers::new(own)),
            brief: RefCell::default(),
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
            poison_news: Notify::new(),
            poison_comparing: Cell::new(false),
            identity,
        })
    }

    /// The present instant.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The other entries of the own hall.
    pub fn fellows(&self) -> Vec<SocketAddr> {
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
        readers.reads(topic, own, &self.fellows(), now)
    }

    /// Whether this entry lacks the configuration or the list of replicas. It needs both to serve
    /// requests.
    pub fn lacks_initial_state(&self) -> bool {
        let belief = self.belief.borrow();
        belief.routing().is_none() || !belief.lists_replicas()
    }

    /// Whether this entry has never had the list of replicas and a process with `marks` has it.
    fn lacks_list(&self, marks: Marks) -> bool {
        marks.replicas > 0 && !self.belief.borrow().lists_replicas()
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
        self.update_peers(|peers| peers.heard(entry, hall, now));
        if *hall != self.identity.hall {
            return;
        }
        if let Some(age) = store_age_ms.map(Duration::from_millis) {
            self.readers.borrow_mut().told(entry, now - age);
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
    pub fn lost(&self, entry: SocketAddr) {
        self.readers.borrow_mut().lost(entry);
    }

    /// Whether another process with these marks knows something newer.
    pub fn lacks(&self, marks: Marks) -> bool {
        marks.any_newer_than(self.belief.borrow().marks())
    }

    /// The place of a process in `hall` as a source of draws.
    fn place_of(&self, hall: &str) -> Place {
        if *hall == *self.identity.hall {
            Place::Near
        } else if rank(self.identity.address, self.fellows().into_iter(), hall) == 0 {
            Place::FarForAll
        } else {
            Place::Far
        }
    }

    /// The place of an entry in the own hall; `is_hub` says whether it sends frames to all others.
    /// Halls in which it reaches every entry directly make no distinction.
    fn place_in_own_hall(&self, is_hub: bool) -> Place {
        if is_hub && self.fellows().len() > fanout::DEGREE {
            Place::NearHub
        } else {
            Place::Near
        }
    }

    /// Whether this process is an entry that lacks the configuration or the list of replicas of a
    /// process with `marks`.
    fn needs_draw(&self, marks: Marks) -> bool {
        self.identity.entry && (!self.knows_routing(marks.routing) || self.lacks_list(marks))
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
        self.belief.borrow().marks().routing >= revision
    }

    /// The revision up to which a topic is known.
    pub fn revision(&self, topic: Topic) -> u64 {
        let belief = self.belief.borrow();
        match topic {
            Topic::Operator => {
                // An evacuation may be told while a configuration of before is still drawn: who watches
                // from it on would miss that one. What is seen twice changes nothing.
                let marks = belief.marks();
                // Without a configuration, read from the start: a version received from another
                // process may have a later revision than the configuration, and a watch from that
                // revision would miss it.
                if belief.routing().is_none() {
                    return 0;
                }
                marks.routing.max(marks.versions)
            }
            Topic::Replicas => belief.listed_at(),
        }
    }

    /// The store was out of reach of this process. While it answers others of the hall, that is no
    /// trouble of the store, and what it tells through them is as sure as ever.
    pub fn trouble(&self) {
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

    fn learn(&self, dated: Dated, origin: &str) -> Effect {
        let revision = dated.revision;
        let text = describe(&dated.fact);
        let (now, shaky) = (self.now(), self.shaky());
        let effect = self.belief.borrow_mut().learn(dated, now, shaky);
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
    pub fn take_batch(&self, topic: Topic, whole: bool, batch: Batch) {
        self.store_is_answering();
        if self.learn_batch(topic, whole, batch) {
            self.news.notify_one();
        }
    }

    /// Returns whether anything changed.
    fn learn_batch(&self, topic: Topic, whole: bool, batch: Batch) -> bool {
        self.note_damage(&batch.damaged, batch.at);
        if whole && topic == Topic::Replicas {
            let records = batch
                .facts
                .into_iter()
                .filter_map(|dated| match dated.fact {
                    Fact::Replica(record) => Some((dated.revision, record)),
                    _ => None,
                });
            let effect = self.take_list(records.collect(), batch.at, self.shaky(), "store");
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
            self.belief.borrow_mut().reached(batch.at);
        }
        changed
    }

    /// The store's whole word on evacuations: one that is not in it is over.
    fn take_evacuations(&self, batch: &Batch) -> bool {
        let halls = batch.facts.iter().filter_map(|dated| match &dated.fact {
            Fact::Evacuation { hall, asked: true } => Some(hall.clone()),
            _ => None,
        });
        let halls: Vec<Arc<str>> = halls.collect();
        let effect = self.belief.borrow_mut().learn_evacuations(&halls, batch.at);
        if effect != Effect::None {
            log::info!(revision = batch.at; "learned: evacuations that are over");
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
        let first_list = !self.belief.borrow().lists_replicas();
        let effect = self.belief.borrow_mut().learn_list(records, at, now, shaky);
        if first_list && !self.lacks_initial_state() {
            self.draws.borrow_mut().learned();
        }
        if effect != Effect::None {
            log::info!(revision = at, origin, replicas = count, shaky; "learned: list of replicas");
        }
        self.tell(effect);
        effect
    }

    /// Takes what another process answered.
    pub fn take_news(&self, from: SocketAddr, news: News) {
        self.update_peers(|peers| peers.learn(&news.peers, self.now()));
        if let Some(packed) = &news.packed_peers {
            match pack::unpack::<Vec<Told>>(packed) {
                Ok(told) => self.update_peers(|peers| peers.learn(&told, self.now())),
                Err(error) => {
                    log::warn!(from:% = from; "cannot unpack the list of entries: {error}");
                }
            }
        }
        if news.entry {
            self.hear(from, &news.hall, news.store_age_ms);
        }
        if let Some(dated) = news.routing {
            self.take_document(from, dated);
        }
        for named in news.versions {
            self.take_named(named);
        }
        for told in news.evacuations {
            let revision = told.revision;
            let fact = Fact::Evacuation {
                hall: told.hall,
                asked: told.asked,
            };
            self.learn(Dated { revision, fact }, &from.to_string());
        }
        if let Some(list) = news.replicas {
            self.take_whole_list(from, list);
        }
        if let Some(packed) = news.list {
            self.take_packed_list(from, packed);
        }
        if let Some(changes) = news.changes {
            self.take_changes(changes, &from.to_string());
        }
        if let Some(brief) = news.brief {
            let newer = self
                .brief
                .borrow()
                .as_ref()
                .is_none_or(|known| known.revision < brief.revision);
            if newer {
                self.brief.replace(Some(brief));
                self.tell(Effect::Routing);
            }
        }
    }

    fn take_changes(&self, changes: Changes, origin: &str) {
        let revision = changes.at;
        let (written, removed) = (changes.records.len(), changes.gone.len());
        let shaky = changes.shaky || self.shaky();
        let now = self.now();
        let effect = self.belief.borrow_mut().learn_changes(changes, now, shaky);
        if effect != Effect::None {
            log::info!(revision, origin, written, removed, shaky; "learned: changes of replicas");
        }
        self.tell(effect);
    }

    /// Applies the whole list of replicas, received from `from`.
    fn take_whole_list(&self, from: SocketAddr, list: List) {
        let records = list.records.into_iter();
        let records = records.map(|dated| (dated.revision, dated.record));
        let shaky = list.shaky || self.shaky();
        self.take_list(records.collect(), list.at, shaky, &from.to_string());
    }

    fn take_packed_list(&self, from: SocketAddr, list: PackedList) {
        let PackedList { at, shaky, packed } = list;
        match pack::unpack(&packed) {
            Ok(records) => self.take_whole_list(from, List { at, shaky, records }),
            Err(error) => {
                log::warn!(from:% = from, revision = at; "cannot unpack the list of replicas: {error}");
            }
        }
    }

    fn take_document(&self, from: SocketAddr, dated: DatedDocument) {
        let revision = dated.revision;
        match pack::unpack(&dated.packed) {
            Ok(document) => {
                let fact = Fact::Routing(Arc::new(document));
                self.learn(Dated { revision, fact }, &from.to_string());
            }
            Err(error) => log::warn!(from:% = from, revision; "configuration: {error}"),
        }
    }

    fn take_named(&self, named: Named) {
        let now = self.now();
        let age = Duration::from_millis(named.age_ms);
        let wanted = Wanted {
            version: named.version,
            revision: named.revision,
            since: now,
        };
        let model = named.model.clone();
        let effect = self.belief.borrow_mut().learn_aged(model, wanted, age, now);
        if effect != Effect::None {
            log::info!(
                model = &*named.model, version = named.version, age_ms = named.age_ms;
                "learned: version named"
            );
        }
        self.tell(effect);
    }

    /// The heartbeat that this process sends. With `names_entries` it tells the entries that it
    /// knows, and wants to be told.
    pub fn sync(&self, names_entries: bool) -> Sync {
        let exchange = if names_entries {
            PeerExchange::PushPull
        } else {
            PeerExchange::Skip
        };
        self.sync_exchanging(exchange)
    }

    /// The heartbeat that this process sends. `exchange` selects whether it sends and requests known
    /// entries.
    pub fn sync_exchanging(&self, exchange: PeerExchange) -> Sync {
        let now = self.now();
        Sync {
            from: self.identity.address,
            hall: self.identity.hall.clone(),
            entry: self.identity.entry,
            marks: self.belief.borrow().marks(),
            store_age_ms: self.store_age_ms(now),
            peers: match exchange {
                _ if !self.identity.entry => Vec::new(),
                PeerExchange::PushPull => self.peers.borrow().tell(now),
                PeerExchange::PushPullHall => self.hall_peers(now),
                PeerExchange::Skip | PeerExchange::Pull => Vec::new(),
            },
            wants_peers: exchange != PeerExchange::Skip,
            wants_routing: false,
            wants_list: false,
            draws_list: !self.belief.borrow().lists_replicas(),
            takes_changes: true,
            takes_packed_peers: true,
            takes_packed_digest: true,
            poison: self.poison.borrow().digest(now),
        }
    }

    /// The news since `marks` without the configuration, if there is any.
    pub fn news_since(&self, marks: Marks) -> Option<News> {
        let has_news = {
            let belief = self.belief.borrow();
            let own = belief.marks().without_routing();
            own.any_newer_than(marks) || names_young(&belief, self.now())
        };
        has_news.then(|| {
            let sync = Sync {
                entry: false,
                marks,
                ..self.sync(false)
            };
            self.news_for(&sync, false)
        })
    }

    /// The answer to an entry of another hall that polls this one: what its sender lacks. It lists
    /// only entries of this hall, because the sender polls the other halls as well.
    pub fn news_for_hall(&self, sync: &Sync) -> News {
        self.news_with_entries(sync, false, |now| self.hall_peers(now))
    }

    /// What this process tells others about the other entries of its own hall.
    fn hall_peers(&self, now: Time) -> Vec<Told> {
        let fellows = self.fellows();
        let peers = self.peers.borrow();
        peers.tell_filtered(now, |entry| fellows.contains(&entry))
    }

    /// The answer to a heartbeat: what its sender lacks. `brief` for one that does not keep the
    /// whole configuration.
    pub fn news_for(&self, sync: &Sync, brief: bool) -> News {
        self.news_with_entries(sync, brief, |now| self.entries_to_send(sync, now))
    }

    /// The answer to a heartbeat. It lists the result of `entries` if the sender requests entries.
    fn news_with_entries(
        &self,
        sync: &Sync,
        brief: bool,
        entries: impl FnOnce(Time) -> Vec<Told>,
    ) -> News {
        let now = self.now();
        self.update_peers(|peers| peers.learn(&sync.peers, now));
        if sync.entry {
            self.hear(sync.from, &sync.hall, sync.store_age_ms);
        }
        let belief = self.belief.borrow();
        let marks = belief.marks();
        let told = if sync.wants_peers {
            entries(now)
        } else {
            Vec::new()
        };
        let newer_routing = marks.routing > sync.marks.routing;
        let newer_list = marks.replicas > sync.marks.replicas;
        let changes = (newer_list && sync.takes_changes)
            .then(|| belief.changes_since(sync.marks.replicas))
            .flatten();
        let changes = changes.map(|changes| Changes {
            shaky: self.shaky(),
            ..changes
        });
        let packed_peers = if sync.takes_packed_peers {
            pack_peers(&told)
        } else {
            None
        };
        let needs_whole_list = newer_list && changes.is_none();
        News {
            hall: self.identity.hall.clone(),
            entry: self.identity.entry,
            marks,
            store_age_ms: self.store_age_ms(now),
            peers: if packed_peers.is_none() {
                told
            } else {
                Vec::new()
            },
            packed_peers,
            routing: (newer_routing && sync.wants_routing)
                .then(|| self.document())
                .flatten(),
            versions: if marks.versions > sync.marks.versions || names_young(&belief, now) {
                self.named(now)
            } else {
                Vec::new()
            },
            evacuations: if marks.evacuations > sync.marks.evacuations {
                belief.evacuations().tell()
            } else {
                Vec::new()
            },
            // A process that begins contacts several others, so it gets the list only from the one it
            // draws it from.
            replicas: (needs_whole_list && !sync.draws_list).then(|| list(&belief, self.shaky())),
            list: (needs_whole_list && sync.draws_list && sync.wants_list)
                .then(|| self.packed_list())
                .flatten(),
            changes,
            brief: (newer_routing && brief).then(|| self.brief()).flatten(),
            poison: self.poison.borrow().digest(now),
        }
    }

    /// The entries that the reply to `sync` lists: all known ones if the sender is an entry, a
    /// bounded subset if it is a sidecar, unless sidecars report to all entries.
    fn entries_to_send(&self, sync: &Sync, now: Time) -> Vec<Told> {
        let peers = self.peers.borrow();
        if sync.entry || !self.policy.digests {
            return peers.tell(now);
        }
        let selected = Readers::entries_for_sidecar(sync.from, &sync.hall, &peers, now);
        peers.tell_filtered(now, |entry| selected.contains(&entry))
    }

    /// The configuration as others draw it.
    fn document(&self) -> Option<DatedDocument> {
        let belief = self.belief.borrow();
        let routing = belief.routing()?;
        let revision = belief.marks().routing;
        let mut cache = self.packed.borrow_mut();
        match cache.get_or_pack(revision, || &*routing.document) {
            Ok(packed) => Some(DatedDocument { revision, packed }),
            Err(error) => {
                log::error!(revision; "configuration: {error}");
                None
            }
        }
    }

    /// The packed list of replicas, for processes that have none yet.
    fn packed_list(&self) -> Option<PackedList> {
        let belief = self.belief.borrow();
        let at = belief.marks().replicas;
        let mut cache = self.packed_list.borrow_mut();
        match cache.get_or_pack(at, || present_records(&belief)) {
            Ok(packed) => Some(PackedList {
                at,
                shaky: self.shaky(),
                packed,
            }),
            Err(error) => {
                log::error!(revision = at; "cannot pack the list of replicas: {error}");
                None
            }
        }
    }

    fn named(&self, now: Time) -> Vec<Named> {
        let belief = self.belief.borrow();
        let versions = belief.versions();
        versions
            .map(|(model, wanted)| Named {
                model: model.clone(),
                version: wanted.version,
                revision: wanted.revision,
                age_ms: now.since(wanted.since).as_millis() as u64,
            })
            .collect()
    }

    /// The settings of the change of versions, planned as `setting`, for an origin like the present one.
    pub fn rollout(&self, setting: rollout::Setting) -> rollout::Setting {
        let copy = self.brief().and_then(|brief| brief.copy());
        setting.with_copy(copy, self.policy)
    }

    /// The model that `service` serves, by the engine's figures, or by what its replicas hold.
    pub fn model_of(&self, service: &str) -> Option<Arc<str>> {
        let belief = self.belief.borrow();
        let configured = belief.routing().and_then(|routing| {
            let engine = routing.service(service)?.engine.as_ref()?;
            engine.models.first().cloned()
        });
        configured.or_else(|| belief.held_model(Some(service)))
    }

    /// The configuration in brief, from the whole if that is known.
    pub fn brief(&self) -> Option<Brief> {
        let belief = self.belief.borrow();
        let Some(routing) = belief.routing() else {
            return self.brief.borrow().clone();
        };
        let services = routing.document.services.iter();
        Some(Brief {
            revision: belief.marks().routing,
            origin: routing.origin(),
            origin_mbps: routing.origin_mbps(),
            engine: services.clone().find_map(|service| service.engine.clone()),
        })
    }
}

/// Encodes `told` for [`News::packed_peers`]. Returns `None` if it is empty or cannot be packed.
fn pack_peers(told: &[Told]) -> Option<ByteBuf> {
    if told.is_empty() {
        return None;
    }
    match pack::pack(&told) {
        Ok(packed) => Some(packed.into()),
        Err(error) => {
            log::error!("cannot pack the list of entries: {error}");
            None
        }
    }
}

/// Whether a version was named lately. Then a process that knows the newest may still lack the one before,
/// which the store tells nobody any more, or have heard of them later than this one.
fn names_young(belief: &Belief, now: Time) -> bool {
    let mut named = belief.versions();
    named.any(|(_, wanted)| now.since(wanted.since) < VERSIONS_TOLD)
}

fn list(belief: &Belief, shaky: bool) -> List {
    List {
        at: belief.marks().replicas,
        shaky,
        records: present_records(belief),
    }
}

fn present_records(belief: &Belief) -> Vec<DatedRecord> {
    let present = belief.replicas().values();
    let present = present.filter(|listed| listed.gone.is_none());
    let dated = present.map(|listed| DatedRecord {
        revision: listed.revision,
        record: listed.record.clone(),
    });
    dated.collect()
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
        Fact::Evacuation { hall, asked: true } => format!("hall {hall} is evacuated"),
        Fact::Evacuation { hall, .. } => format!("the evacuation of hall {hall} is over"),
    }
}
