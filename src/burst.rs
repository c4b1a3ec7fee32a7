//! Carries out the plan of one version's burst: follows peers, draws chunks, serves them.
//!
//! * [`host`] is what a burst needs of its process.
//! * [`follow`] listens to peers.
//! * [`fetch`] draws the manifest and the chunks.
//! * [`manager`] keeps to the burst of one wanted version.
//! * [`serve`] answers peers, [`upload`] gives them chunks, a few at a time.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use rand::RngExt;
use tokio::sync::{oneshot, watch};

use crate::audit::Deed;
use crate::clock::{Clock, Time};
use crate::member::{Descriptor, Role};
use crate::spread::Favour;
use crate::spread::ring::Member;
use crate::spread::swarm::{Action, FetchKey, Outcome, PeerKey, Source, Swarm, Tally};
use crate::spread::upload::{Queue, UploadKey};
use crate::version::fallback::Availability;
use crate::weight::{self, Digest};

pub mod fetch;
pub mod follow;
pub mod host;
pub mod manager;
pub mod serve;
pub mod upload;

use host::{Host, Origin};

/// How often a plan is made without an event.
const TICK: Duration = Duration::from_millis(50);

/// How often the set of followed peers is looked over.
const REVIEW: Duration = Duration::from_millis(500);

/// How much longer a peer's word is awaited when the whole system begins.
const BEGIN_FACTOR: u32 = 20;

/// How long a version that finds no room waits before it asks again.
const ROOM_PAUSE: Duration = Duration::from_secs(1);

/// A version that nobody asked for during so long may be let go once it is not wanted.
const LINGER: Duration = Duration::from_secs(10);

/// What a burst is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// What weighs more.
    pub favour: Favour,
    /// Who holds the version already, as far as is known.
    pub holders: Holders,
    /// Whether it comes from peers alone: the origin is left to a newer version.
    pub peers_only: bool,
    /// How long a chunk takes over the origin's link, if that is known.
    pub origin_chunk_time: Option<Duration>,
}

/// Who holds a version already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holders {
    /// Nobody: it was named just now.
    Nobody,
    /// Perhaps some: their word is awaited for a moment before the origin is asked.
    Some,
    /// All whom it concerns: the whole system begins, and boxes come up with it one by one.
    All,
}

/// A peer that is being followed.
#[derive(Debug)]
struct Follow {
    key: Rc<Cell<Option<PeerKey>>>,
    task: JoinHandle<()>,
}

impl Drop for Follow {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One version at this box, from the moment it is wanted until it is let go.
#[derive(Debug)]
pub struct Burst {
    version: Digest,
    origin: Rc<dyn Origin>,
    options: Options,
    wanted: Cell<bool>,
    /// Whether nothing more is drawn or listened to: what is held is served.
    at_rest: Cell<bool>,
    began: Time,
    clock: Clock,
    members: RefCell<BTreeMap<Arc<str>, Descriptor>>,
    swarm: RefCell<Option<Swarm>>,
    gained: RefCell<Vec<u32>>,
    /// Counts what followers are to be told.
    told: watch::Sender<u64>,
    uploads: RefCell<Queue>,
    waiters: RefCell<HashMap<UploadKey, oneshot::Sender<()>>>,
    follows: RefCell<BTreeMap<Arc<str>, Follow>>,
    fetches: RefCell<HashMap<FetchKey, JoinHandle<()>>>,
    served: Cell<Time>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl Drop for Burst {
    fn drop(&mut self) {
        for fetch in self.fetches.borrow().values() {
            fetch.abort();
        }
        if let Some(task) = self.task.borrow().as_ref() {
            task.abort();
        }
    }
}

impl Burst {
    /// Begins to receive a version.
    pub fn start(
        host: &Rc<Host>,
        origin: Rc<dyn Origin>,
        version: Digest,
        options: Options,
    ) -> Rc<Self> {
        let spread = host.spread;
        let burst = Rc::new(Self {
            version,
            origin,
            options,
            wanted: Cell::new(true),
            at_rest: Cell::new(false),
            began: host.clock.now(),
            clock: host.clock,
            members: RefCell::default(),
            swarm: RefCell::default(),
            gained: RefCell::default(),
            told: watch::Sender::new(0),
            uploads: RefCell::new(Queue::new(spread.upload_slots, spread.upload_queue_max)),
            waiters: RefCell::default(),
            follows: RefCell::default(),
            fetches: RefCell::default(),
            served: Cell::new(host.clock.now()),
            task: RefCell::default(),
        });
        host.audit(Deed::ReceiveBegan {
            version: version.short(),
        });
        let task = actix_rt::spawn(receive(host.clone(), Rc::downgrade(&burst)));
        burst.task.replace(Some(task));
        burst
    }

    /// The version.
    pub fn version(&self) -> Digest {
        self.version
    }

    /// Says whether the configuration wants the version here.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.set(wanted);
    }

    /// Whether the configuration wants the version here.
    pub fn wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Draws nothing more, and serves what is held.
    pub fn rest(&self) {
        if self.at_rest.replace(true) {
            return;
        }
        self.follows.borrow_mut().clear();
        for (_, fetch) in self.fetches.borrow_mut().drain() {
            fetch.abort();
        }
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            swarm.drop_all();
        }
    }

    /// Draws from peers again after a rest.
    pub fn resume(self: &Rc<Self>, host: &Rc<Host>) {
        if self.at_rest.replace(false) {
            if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
                swarm.leave_origin();
            }
            self.review(host);
        }
    }

    /// What is known of the version's weights, here and at peers.
    pub fn availability(&self, now: Time) -> Availability {
        let swarm = self.swarm.borrow();
        let unknown = Availability {
            since_progress: now.since(self.began),
            ..Availability::default()
        };
        swarm
            .as_ref()
            .map_or(unknown, |swarm| swarm.availability(now))
    }

    /// Whether a peer is being served.
    pub fn uploading(&self) -> bool {
        self.uploads.borrow().load() > 0
    }

    /// Whether everything is held and nobody is being served.
    fn rests(&self) -> bool {
        let swarm = self.swarm.borrow();
        swarm.as_ref().is_some_and(Swarm::complete) && !self.uploading()
    }

    /// Whether nothing needs the version here any more but, perhaps, the engine.
    pub fn releasable(&self, now: Time) -> bool {
        !self.wanted.get()
            && self.uploads.borrow().load() == 0
            && now.since(self.served.get()) > LINGER
    }

    /// Sets the boxes that carry the version.
    pub fn set_members(self: &Rc<Self>, host: &Rc<Host>, members: Vec<Descriptor>) {
        let members: BTreeMap<_, _> = members
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        if *self.members.borrow() == members {
            return;
        }
        self.members.replace(members);
        self.review(host);
    }

    fn ring(&self) -> Vec<Member> {
        self.members
            .borrow()
            .values()
            .map(|listed| Member {
                name: listed.name.clone(),
                hall: listed.hall.clone(),
            })
            .collect()
    }

    /// The members that carry chunks for others and have no engine.
    fn relays(&self) -> Vec<Arc<str>> {
        let members = self.members.borrow();
        let relays = members.values().filter(|listed| listed.role == Role::Entry);
        relays.map(|listed| listed.name.clone()).collect()
    }

    /// Begins the plan once the manifest is there.
    fn begin(self: &Rc<Self>, host: &Rc<Host>, chunks: usize) {
        let own = Member {
            name: host.name.clone(),
            hall: host.hall.clone(),
        };
        let now = host.clock.now();
        let mut setting = host.spread.favouring(self.options.favour);
        if let Some(chunk) = self.options.origin_chunk_time {
            setting = setting.with_origin_chunk(chunk);
        }
        setting.settle_fully = self.options.holders == Holders::All;
        setting.settle = match self.options.holders {
            Holders::Nobody => Duration::ZERO,
            Holders::Some => setting.settle,
            Holders::All => setting.settle * BEGIN_FACTOR,
        };
        let seed = rand::rng().random();
        let mut swarm = Swarm::new(self.version, own, chunks, setting, seed, now);
        if self.options.peers_only {
            swarm.leave_origin();
        }
        for &chunk in self.gained.borrow().iter() {
            swarm.hold(chunk, now);
        }
        self.swarm.replace(Some(swarm));
        self.tell();
        self.review(host);
    }

    /// Takes the chunks that lie in the box already, as far as they match the manifest.
    async fn take_local(&self, host: &Host, chunks: usize) {
        let Some(local) = &host.local_chunks else {
            return;
        };
        for chunk in 0..chunks as u32 {
            let Some(bytes) = local.chunk(self.version, chunk).await else {
                continue;
            };
            if self.keep(host, chunk, &bytes).is_ok() {
                self.gained.borrow_mut().push(chunk);
            }
        }
        local.done();
    }

    fn keep(&self, host: &Host, chunk: u32, bytes: &[u8]) -> Result<bool, weight::Error> {
        let mut receipt = host.store.borrow().receive(self.version, chunk)?;
        receipt.push(bytes)?;
        let chunk = receipt.finish()?;
        host.store.borrow_mut().put(chunk)
    }

    /// Follows the peers that the plan wants, and lets go of those that are no members any more.
    fn review(self: &Rc<Self>, host: &Rc<Host>) {
        if self.at_rest.get() {
            return;
        }
        let (ring, relays) = (self.ring(), self.relays());
        let mut guard = self.swarm.borrow_mut();
        let Some(swarm) = guard.as_mut() else {
            return;
        };
        swarm.set_members_and_relays(ring, relays);
        if swarm.complete() {
            drop(guard);
            self.follows.borrow_mut().clear();
            return;
        }
        let now = host.clock.now();
        let wanted = swarm.wanted_peers(now);
        let regular = swarm.regular_peers();
        let members = self.members.borrow();
        let useless = |name: &Arc<str>| {
            let substitute = !regular.contains(name);
            !members.contains_key(name) || (substitute && !swarm.heard_from(name, now))
        };
        let follows = self.follows.borrow();
        let gone: Vec<Arc<str>> = follows
            .keys()
            .filter(|name| useless(name))
            .cloned()
            .collect();
        drop(follows);
        drop(guard);
        for name in gone {
            self.unfollow(&name);
        }
        for name in wanted {
            let room = self.follows.borrow().len() < host.spread.peers_max;
            if room && !self.follows.borrow().contains_key(&name) {
                self.follow(host, &members[&name]);
            }
        }
    }

    fn unfollow(&self, name: &str) {
        let Some(follow) = self.follows.borrow_mut().remove(name) else {
            return;
        };
        if let (Some(key), Some(swarm)) = (follow.key.get(), self.swarm.borrow_mut().as_mut()) {
            swarm.leave(key);
        }
    }

    fn follow(self: &Rc<Self>, host: &Rc<Host>, peer: &Descriptor) {
        let key = Rc::new(Cell::new(None));
        let task = actix_rt::spawn(follow::follow(
            host.clone(),
            Rc::downgrade(self),
            peer.clone(),
            key.clone(),
        ));
        self.follows
            .borrow_mut()
            .insert(peer.name.clone(), Follow { key, task });
    }

    /// Makes a plan and carries it out.
    fn plan(self: &Rc<Self>, host: &Rc<Host>) {
        if self.at_rest.get() {
            return;
        }
        let now = host.clock.now();
        let actions = match self.swarm.borrow_mut().as_mut() {
            Some(swarm) => swarm.tick(now),
            None => return,
        };
        for action in actions {
            match action {
                Action::Cancel { fetch } => {
                    host.instruments.cancelled();
                    if let Some(task) = self.fetches.borrow_mut().remove(&fetch) {
                        task.abort();
                    }
                }
                Action::Fetch {
                    fetch,
                    chunk,
                    source,
                } => self.fetch(host, fetch, chunk, source),
            }
        }
    }

    fn fetch(self: &Rc<Self>, host: &Rc<Host>, key: FetchKey, chunk: u32, source: Source) {
        let url = match source {
            Source::Origin => Some(self.origin.chunk_url(self.version, chunk)),
            Source::Peer(peer) => self.peer_url(peer, chunk),
        };
        let Some(url) = url else {
            self.finish(host, key, chunk, Outcome::Failed);
            return;
        };
        let draw = fetch::Draw {
            key,
            chunk,
            source,
            url,
        };
        if source == Source::Origin {
            // Followers are told what is being drawn, so that they draw something else.
            self.tell();
        }
        let task = actix_rt::spawn(fetch::fetch(host.clone(), Rc::downgrade(self), draw));
        self.fetches.borrow_mut().insert(key, task);
    }

    fn peer_url(&self, peer: PeerKey, chunk: u32) -> Option<String> {
        let follows = self.follows.borrow();
        let name = follows
            .iter()
            .find(|(_, follow)| follow.key.get() == Some(peer))
            .map(|(name, _)| name)?;
        let members = self.members.borrow();
        let address = members.get(name)?.address;
        let base = host::swarm_url(address, self.version);
        Some(format!("{base}/chunks/{chunk}"))
    }

    fn finish(self: &Rc<Self>, host: &Rc<Host>, key: FetchKey, chunk: u32, outcome: Outcome) {
        let now = host.clock.now();
        host.instruments.chunk(outcome);
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            swarm.finish(key, chunk, outcome, now);
        }
        if outcome == Outcome::Stored {
            self.gain(host, chunk);
        }
    }

    /// A chunk was verified and is held.
    fn gain(self: &Rc<Self>, host: &Rc<Host>, chunk: u32) {
        self.gained.borrow_mut().push(chunk);
        self.tell();
        if host.store.borrow().complete(self.version) {
            let chunks = self.gained.borrow().len();
            log::info!(version:? = self.version, chunks; "weights are complete");
            host.audit(Deed::ReceiveDone {
                version: self.version.short(),
            });
            host.wake.notify_one();
        }
    }

    /// Wakes those who tell followers what is gained or drawn.
    fn tell(&self) {
        self.told.send_modify(|count| *count += 1);
    }

    /// Chunks that are being drawn from the origin.
    fn drawing(&self) -> Vec<u32> {
        let swarm = self.swarm.borrow();
        swarm.as_ref().map(Swarm::drawing).unwrap_or_default()
    }

    /// Milliseconds since the origin brought a chunk to anyone, as far as is known.
    fn origin_age(&self) -> Option<u64> {
        let swarm = self.swarm.borrow();
        let brought = swarm.as_ref()?.origin_brought()?;
        Some(self.clock.now().since(brought).as_millis() as u64)
    }

    /// How fetches ended so far.
    pub fn tally(&self) -> Tally {
        let swarm = self.swarm.borrow();
        swarm.as_ref().map(Swarm::tally).unwrap_or_default()
    }

    /// Chunks held, and chunks in all.
    pub fn progress(&self) -> (usize, usize) {
        self.swarm.borrow().as_ref().map_or((0, 0), Swarm::held)
    }
}

/// Gets the manifest, then plans until every chunk is held.
async fn receive(host: Rc<Host>, burst: Weak<Burst>) {
    let Some(manifest) = fetch::manifest(&host, &burst).await else {
        return;
    };
    let Some(strong) = burst.upgrade() else {
        return;
    };
    let version = strong.version;
    let chunks = manifest.chunks.len();
    loop {
        let hash = strong.origin.hash();
        let admitted = host
            .store
            .borrow_mut()
            .admit_checked(version, manifest.clone(), hash);
        match admitted {
            Ok(()) => break,
            Err(error) => {
                log::warn!("{error}");
                sleep(ROOM_PAUSE).await;
            }
        }
    }
    strong.take_local(&host, chunks).await;
    strong.begin(&host, chunks);
    drop(strong);
    let mut reviewed = host.clock.now();
    while let Some(strong) = burst.upgrade() {
        strong.plan(&host);
        strong.wake_uploads(&host);
        let now = host.clock.now();
        if now.since(reviewed) >= REVIEW {
            reviewed = now;
            strong.review(&host);
        }
        let pause = if strong.rests() { REVIEW } else { TICK };
        drop(strong);
        sleep(pause).await;
    }
}
