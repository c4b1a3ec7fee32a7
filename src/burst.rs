//! Burst of one version: follows peers, fetches chunks and serves them, as scheduled by
//! [`crate::spread`].
//!
//! * [`host`] is the state that a process shares between its bursts.
//! * [`follow`] exchanges announcements with peers.
//! * [`fetch`] fetches the manifest and the chunks; [`doubt`] finds out that a manifest was spoilt.
//! * [`manager`] manages the bursts of the versions of a model.
//! * [`serve`] handles the requests of peers, [`upload`] sends them chunks, a few at a time.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use rand::RngExt;
use tokio::sync::{oneshot, watch};

use crate::audit::Event;
use crate::clock::{Clock, Time};
use crate::member::{Descriptor, Role};
use crate::spread::Favour;
use crate::spread::ring::Member;
use crate::spread::swarm::{Action, FetchKey, Outcome, PeerKey, Source, Swarm, Tally};
use crate::spread::upload::{Queue, UploadKey};
use crate::version::fallback::Availability;
use crate::weight::{self, Digest, Manifest};

pub mod doubt;
pub mod fetch;
pub mod follow;
pub mod host;
pub mod manager;
pub mod serve;
pub mod upload;

use doubt::Doubts;
use host::{Host, Origin};

/// Interval at which the plan runs if no event triggers it.
const PLAN_PERIOD: Duration = Duration::from_millis(50);

/// Interval at which the set of followed peers is updated.
const PEER_REVIEW_PERIOD: Duration = Duration::from_millis(500);

/// Factor by which the wait for announcements of peers is longer when the whole system starts.
const COLD_START_FACTOR: u32 = 20;

/// Delay before a version that did not fit into the store is admitted again.
const ADMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A version that is not wanted any more is released after no chunk was requested for this long.
const RELEASE_DELAY: Duration = Duration::from_secs(10);

/// Options of a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// What to minimize.
    pub favour: Favour,
    /// Which peers probably hold the version already.
    pub holders: Holders,
    /// Whether chunks are fetched from peers only, to leave the origin to a newer version.
    pub peers_only: bool,
    /// Time to transfer a chunk over the origin's link, if known.
    pub origin_chunk_time: Option<Duration>,
}

/// Which peers hold a version already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holders {
    /// No peer, because the version was published just now.
    Nobody,
    /// Possibly some. The box waits briefly for their announcements before it asks the origin.
    Some,
    /// All members: the whole system starts, and its boxes come up one by one.
    All,
}

/// A followed peer.
#[derive(Debug)]
struct FollowedPeer {
    key: Rc<Cell<Option<PeerKey>>>,
    task: JoinHandle<()>,
}

impl Drop for FollowedPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One version on this box, from the time it is wanted until it is released.
#[derive(Debug)]
pub struct Burst {
    version: Digest,
    origin: Rc<dyn Origin>,
    options: Options,
    wanted: Cell<bool>,
    /// Whether fetching and following have stopped. Held chunks are still served.
    suspended: Cell<bool>,
    started: Time,
    clock: Clock,
    members: RefCell<BTreeMap<Arc<str>, Descriptor>>,
    swarm: RefCell<Option<Swarm>>,
    received: RefCell<Vec<u32>>,
    doubts: RefCell<Doubts>,
    /// Whether another copy of the manifest is being looked for.
    correcting: Cell<bool>,
    /// Incremented with each change that followers should learn.
    updates: watch::Sender<u64>,
    uploads: RefCell<Queue>,
    waiters: RefCell<HashMap<UploadKey, oneshot::Sender<()>>>,
    followed: RefCell<BTreeMap<Arc<str>, FollowedPeer>>,
    fetches: RefCell<HashMap<FetchKey, JoinHandle<()>>>,
    last_served: Cell<Time>,
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
    /// Starts to receive a version.
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
            suspended: Cell::new(false),
            started: host.clock.now(),
            clock: host.clock,
            members: RefCell::default(),
            swarm: RefCell::default(),
            received: RefCell::default(),
            doubts: RefCell::default(),
            correcting: Cell::default(),
            updates: watch::Sender::new(0),
            uploads: RefCell::new(Queue::new(spread.upload_slots, spread.upload_queue_max)),
            waiters: RefCell::default(),
            followed: RefCell::default(),
            fetches: RefCell::default(),
            last_served: Cell::new(host.clock.now()),
            task: RefCell::default(),
        });
        host.audit(Event::ReceiveBegan {
            version: version.short(),
        });
        let task = actix_rt::spawn(run(host.clone(), Rc::downgrade(&burst)));
        burst.task.replace(Some(task));
        burst
    }

    /// Returns the version.
    pub fn version(&self) -> Digest {
        self.version
    }

    /// Sets whether the configuration assigns the version to this box.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.set(wanted);
    }

    /// Whether the configuration assigns the version to this box.
    pub fn wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Stops fetching. Held chunks are still served.
    pub fn suspend(&self) {
        if self.suspended.replace(true) {
            return;
        }
        self.followed.borrow_mut().clear();
        for (_, fetch) in self.fetches.borrow_mut().drain() {
            fetch.abort();
        }
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            swarm.clear_fetches();
        }
    }

    /// Stops for good. Nothing is stored any more, so that another burst of the version may begin.
    fn close(&self) {
        self.suspend();
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }

    /// Resumes a suspended burst, from then on with fetches from peers only.
    pub fn resume(self: &Rc<Self>, host: &Rc<Host>) {
        if self.suspended.replace(false) {
            if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
                swarm.disable_origin();
            }
            self.update_peers(host);
        }
    }

    /// Returns how much of the version is available on this box and its peers.
    pub fn availability(&self, now: Time) -> Availability {
        let swarm = self.swarm.borrow();
        let unknown = Availability {
            since_progress: now.since(self.started),
            ..Availability::default()
        };
        swarm
            .as_ref()
            .map_or(unknown, |swarm| swarm.availability(now))
    }

    /// Whether any upload is waiting or running.
    pub fn uploading(&self) -> bool {
        self.uploads.borrow().load() > 0
    }

    /// Whether all chunks are held and there are no uploads.
    fn is_idle(&self) -> bool {
        let swarm = self.swarm.borrow();
        swarm.as_ref().is_some_and(Swarm::complete) && !self.uploading()
    }

    /// Whether the version is needed no more on this box, except possibly by the engine.
    pub fn releasable(&self, now: Time) -> bool {
        !self.wanted.get()
            && self.uploads.borrow().load() == 0
            && now.since(self.last_served.get()) > RELEASE_DELAY
    }

    /// Sets the boxes that participate in the burst.
    pub fn set_members(self: &Rc<Self>, host: &Rc<Host>, members: Vec<Descriptor>) {
        let members: BTreeMap<_, _> = members
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        if *self.members.borrow() == members {
            return;
        }
        self.members.replace(members);
        self.update_peers(host);
    }

    fn ring_members(&self) -> Vec<Member> {
        self.members
            .borrow()
            .values()
            .map(|listed| Member {
                name: listed.name.clone(),
                hall: listed.hall.clone(),
            })
            .collect()
    }

    /// Returns the relays: members that only forward chunks and have no engine.
    fn relays(&self) -> Vec<Arc<str>> {
        let members = self.members.borrow();
        let relays = members.values().filter(|listed| listed.role == Role::Entry);
        relays.map(|listed| listed.name.clone()).collect()
    }

    /// Starts the downloads once the manifest is known.
    fn start_swarm(self: &Rc<Self>, host: &Rc<Host>, chunks: usize) {
        let own = Member {
            name: host.name.clone(),
            hall: host.hall.clone(),
        };
        let now = host.clock.now();
        let mut setting = host.spread.with_favour(self.options.favour);
        if let Some(chunk) = self.options.origin_chunk_time {
            setting = setting.with_origin_chunk_time(chunk);
        }
        setting.settle_fully = self.options.holders == Holders::All;
        setting.settle = match self.options.holders {
            Holders::Nobody => Duration::ZERO,
            Holders::Some => setting.settle,
            Holders::All => setting.settle * COLD_START_FACTOR,
        };
        let seed = rand::rng().random();
        let mut swarm = Swarm::new(self.version, own, chunks, setting, seed, now);
        if self.options.peers_only {
            swarm.disable_origin();
        }
        for &chunk in self.received.borrow().iter() {
            swarm.mark_held(chunk, now);
        }
        self.swarm.replace(Some(swarm));
        self.notify_followers();
        self.update_peers(host);
    }

    /// Loads chunks that the box already has outside its store, if they match the manifest.
    async fn load_local_chunks(&self, host: &Host, chunks: usize) {
        let Some(local) = &host.local_chunks else {
            return;
        };
        for chunk in 0..chunks as u32 {
            let Some(bytes) = local.chunk(self.version, chunk).await else {
                continue;
            };
            if self.store_chunk(host, chunk, &bytes).is_ok() {
                self.received.borrow_mut().push(chunk);
            }
        }
        local.done();
    }

    fn store_chunk(&self, host: &Host, chunk: u32, bytes: &[u8]) -> Result<bool, weight::Error> {
        let mut partial = host.store.borrow().receive(self.version, chunk)?;
        partial.push(bytes)?;
        let chunk = partial.finish()?;
        host.store.borrow_mut().put(chunk)
    }

    /// Follows the peers that the plan wants, and stops following those that are no longer members
    /// and unresponsive substitutes.
    fn update_peers(self: &Rc<Self>, host: &Rc<Host>) {
        if self.suspended.get() {
            return;
        }
        let (ring, relays) = (self.ring_members(), self.relays());
        let mut guard = self.swarm.borrow_mut();
        let Some(swarm) = guard.as_mut() else {
            return;
        };
        swarm.set_members_and_relays(ring, relays);
        if swarm.complete() {
            drop(guard);
            self.followed.borrow_mut().clear();
            return;
        }
        let now = host.clock.now();
        let wanted = swarm.wanted_peers(now);
        let regular = swarm.regular_peers();
        let members = self.members.borrow();
        let obsolete = |name: &Arc<str>| {
            let substitute = !regular.contains(name);
            !members.contains_key(name) || (substitute && !swarm.is_responsive(name, now))
        };
        let followed = self.followed.borrow();
        let removed: Vec<Arc<str>> = followed
            .keys()
            .filter(|name| obsolete(name))
            .cloned()
            .collect();
        drop(followed);
        drop(guard);
        for name in removed {
            self.unfollow(&name);
        }
        for name in wanted {
            let room = self.followed.borrow().len() < host.spread.peers_max;
            if room && !self.followed.borrow().contains_key(&name) {
                self.follow(host, &members[&name]);
            }
        }
    }

    fn unfollow(&self, name: &str) {
        let Some(peer) = self.followed.borrow_mut().remove(name) else {
            return;
        };
        if let (Some(key), Some(swarm)) = (peer.key.get(), self.swarm.borrow_mut().as_mut()) {
            swarm.remove_peer(key);
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
        self.followed
            .borrow_mut()
            .insert(peer.name.clone(), FollowedPeer { key, task });
    }

    /// Runs the plan and carries out its actions.
    fn run_plan(self: &Rc<Self>, host: &Rc<Host>) {
        if self.suspended.get() {
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
                    host.instruments.fetch_cancelled();
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
            self.finish_fetch(host, key, chunk, Outcome::Failed);
            return;
        };
        let request = fetch::ChunkRequest {
            key,
            chunk,
            source,
            url,
        };
        if source == Source::Origin {
            // Followers learn what is being fetched from the origin, so that they fetch other
            // chunks.
            self.notify_followers();
        }
        let task = actix_rt::spawn(fetch::fetch(host.clone(), Rc::downgrade(self), request));
        self.fetches.borrow_mut().insert(key, task);
    }

    fn peer_url(&self, peer: PeerKey, chunk: u32) -> Option<String> {
        let followed = self.followed.borrow();
        let name = followed
            .iter()
            .find(|(_, followed)| followed.key.get() == Some(peer))
            .map(|(name, _)| name)?;
        let members = self.members.borrow();
        let address = members.get(name)?.address;
        let base = host::swarm_url(address, self.version);
        Some(format!("{base}/chunks/{chunk}"))
    }

    fn finish_fetch(self: &Rc<Self>, host: &Rc<Host>, key: FetchKey, chunk: u32, outcome: Outcome) {
        let now = host.clock.now();
        host.instruments.fetch_finished(outcome);
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            swarm.finish(key, chunk, outcome, now);
        }
        match outcome {
            Outcome::Stored => {
                self.doubts.borrow_mut().clear(chunk);
                self.record_stored(host, chunk);
            }
            Outcome::Corrupt => {
                let is_doubted = self.doubts.borrow_mut().record(chunk);
                if is_doubted && !self.correcting.replace(true) {
                    actix_rt::spawn(fetch::correct_manifest(host.clone(), Rc::downgrade(self)));
                }
            }
            Outcome::Busy | Outcome::Failed => {}
        }
    }

    /// Corrects the manifest by another copy of it. Returns whether no digest is doubted any more.
    fn correct(&self, host: &Host, other: &Manifest) -> bool {
        if self.suspended.get() {
            return true;
        }
        let mut doubts = self.doubts.borrow_mut();
        let doubted = doubts.doubted();
        let corrected = host
            .store
            .borrow_mut()
            .correct(self.version, other, &doubted);
        for chunk in corrected.unwrap_or_default() {
            log::warn!(chunk, version:? = self.version; "the manifest was spoilt; another copy has another digest");
            doubts.clear(chunk);
        }
        doubts.doubted().is_empty()
    }

    /// Records a chunk that was verified and stored.
    fn record_stored(self: &Rc<Self>, host: &Rc<Host>, chunk: u32) {
        self.received.borrow_mut().push(chunk);
        self.notify_followers();
        if host.store.borrow().complete(self.version) {
            let chunks = self.received.borrow().len();
            log::info!(version:? = self.version, chunks; "weights are complete");
            host.audit(Event::ReceiveDone {
                version: self.version.short(),
            });
            host.wake.notify_one();
        }
    }

    /// Wakes the announcement streams of followers.
    fn notify_followers(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// Returns the chunks that are being fetched from the origin.
    fn origin_fetches(&self) -> Vec<u32> {
        let swarm = self.swarm.borrow();
        swarm
            .as_ref()
            .map(Swarm::origin_fetches)
            .unwrap_or_default()
    }

    /// Returns the milliseconds since any box fetched a chunk from the origin, as far as this box
    /// knows.
    fn origin_age(&self) -> Option<u64> {
        let swarm = self.swarm.borrow();
        let fetched = swarm.as_ref()?.last_origin_chunk()?;
        Some(self.clock.now().since(fetched).as_millis() as u64)
    }

    /// Returns the number of fetches by result.
    pub fn tally(&self) -> Tally {
        let swarm = self.swarm.borrow();
        swarm.as_ref().map(Swarm::tally).unwrap_or_default()
    }

    /// Returns the number of chunks held, and the total.
    pub fn progress(&self) -> (usize, usize) {
        self.swarm.borrow().as_ref().map_or((0, 0), Swarm::progress)
    }
}

/// Fetches the manifest, then runs the plan for as long as the burst exists.
async fn run(host: Rc<Host>, burst: Weak<Burst>) {
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
                sleep(ADMIT_RETRY_DELAY).await;
            }
        }
    }
    strong.load_local_chunks(&host, chunks).await;
    strong.start_swarm(&host, chunks);
    drop(strong);
    let mut last_review = host.clock.now();
    while let Some(strong) = burst.upgrade() {
        strong.run_plan(&host);
        strong.wake_uploads(&host);
        let now = host.clock.now();
        if now.since(last_review) >= PEER_REVIEW_PERIOD {
            last_review = now;
            strong.update_peers(&host);
        }
        let pause = if strong.is_idle() {
            PEER_REVIEW_PERIOD
        } else {
            PLAN_PERIOD
        };
        drop(strong);
        sleep(pause).await;
    }
}
