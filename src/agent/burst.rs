//! Carries out the plan of one version's burst: follows peers, draws chunks, serves them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use rand::RngExt;
use tokio::sync::{oneshot, watch};

use super::Agent;
use crate::audit::Deed;
use crate::http::{self, Answer, Error};
use crate::member::Listed;
use crate::spread::Favour;
use crate::spread::ring::Member;
use crate::spread::swarm::{Action, FetchKey, Notice, Outcome, PeerKey, Source, Swarm, Tally};
use crate::spread::upload::{Admission, Queue, UploadKey};
use crate::weight::{Digest, Manifest};
use crate::wire::{self, Have};

/// How often a plan is made without an event.
const TICK: Duration = Duration::from_millis(50);

/// Chunks gained within so long are told in one frame.
const COALESCE: Duration = Duration::from_millis(10);

/// How often a peer tells that it lives, with or without news.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// First pause before a peer is followed again, doubled up to [`FOLLOW_PAUSE_MAX`].
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a peer is followed again.
const FOLLOW_PAUSE_MAX: Duration = Duration::from_secs(1);

/// A peer that does not answer for so long is asked anew.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a manifest may take to arrive.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two rounds of asking for the manifest.
const MANIFEST_PAUSE: Duration = Duration::from_millis(50);

/// Rounds after which a box that is no sponsor asks the origin for the manifest itself.
const MANIFEST_ROUNDS: u32 = 40;

/// Longest manifest.
const MANIFEST_MAX: usize = 8 << 20;

/// Bytes of a chunk that are handed to a connection at a time.
const SLICE: usize = 16 * 1024;

/// How often the set of followed peers is looked over.
const REVIEW: Duration = Duration::from_millis(500);

/// A version that nobody asked for during so long may be let go once it is not wanted.
const LINGER: Duration = Duration::from_secs(10);

/// Header that tells how many uploads a box has.
const LOAD_HEADER: &str = "x-load";

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
    favour: Favour,
    wanted: Cell<bool>,
    members: RefCell<BTreeMap<Arc<str>, Listed>>,
    swarm: RefCell<Option<Swarm>>,
    gained: RefCell<Vec<u32>>,
    told: watch::Sender<usize>,
    uploads: RefCell<Queue>,
    waiters: RefCell<HashMap<UploadKey, oneshot::Sender<()>>>,
    follows: RefCell<BTreeMap<Arc<str>, Follow>>,
    fetches: RefCell<HashMap<FetchKey, JoinHandle<()>>>,
    served: Cell<crate::clock::Time>,
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
    pub fn start(agent: &Rc<Agent>, version: Digest, favour: Favour) -> Rc<Self> {
        let spread = agent.setting.spread;
        let burst = Rc::new(Self {
            version,
            favour,
            wanted: Cell::new(true),
            members: RefCell::default(),
            swarm: RefCell::default(),
            gained: RefCell::default(),
            told: watch::Sender::new(0),
            uploads: RefCell::new(Queue::new(spread.upload_slots, spread.upload_queue_max)),
            waiters: RefCell::default(),
            follows: RefCell::default(),
            fetches: RefCell::default(),
            served: Cell::new(agent.node.clock.now()),
            task: RefCell::default(),
        });
        agent.node.audit(Deed::ReceiveBegan {
            version: version.short(),
        });
        let task = actix_rt::spawn(receive(agent.clone(), Rc::downgrade(&burst)));
        burst.task.replace(Some(task));
        burst
    }

    /// Says whether the configuration wants the version here.
    pub fn set_wanted(&self, wanted: bool) {
        self.wanted.set(wanted);
    }

    /// Whether the configuration wants the version here.
    pub fn wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Whether a peer is being served.
    pub fn uploading(&self) -> bool {
        self.uploads.borrow().load() > 0
    }

    /// Whether nothing needs the version here any more but, perhaps, the engine.
    pub fn releasable(&self, now: crate::clock::Time) -> bool {
        !self.wanted.get()
            && self.uploads.borrow().load() == 0
            && now.since(self.served.get()) > LINGER
    }

    /// Sets the boxes that carry the version.
    pub fn set_members(self: &Rc<Self>, agent: &Rc<Agent>, members: Vec<Listed>) {
        let members: BTreeMap<_, _> = members
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        if *self.members.borrow() == members {
            return;
        }
        self.members.replace(members);
        self.review(agent);
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

    /// Begins the plan once the manifest is there.
    fn begin(self: &Rc<Self>, agent: &Rc<Agent>, chunks: usize) {
        let own = Member {
            name: agent.name().clone(),
            hall: agent.node.setting.hall.clone(),
        };
        let now = agent.node.clock.now();
        let setting = agent.setting.spread.favouring(self.favour);
        let seed = rand::rng().random();
        let swarm = Swarm::new(self.version, own, chunks, setting, seed, now);
        self.swarm.replace(Some(swarm));
        self.told.send_replace(0);
        self.review(agent);
    }

    /// Follows the peers that the plan wants, and lets go of those that are no members any more.
    fn review(self: &Rc<Self>, agent: &Rc<Agent>) {
        let ring = self.ring();
        let mut guard = self.swarm.borrow_mut();
        let Some(swarm) = guard.as_mut() else {
            return;
        };
        swarm.set_members(ring);
        if swarm.complete() {
            drop(guard);
            self.follows.borrow_mut().clear();
            return;
        }
        let now = agent.node.clock.now();
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
            let room = self.follows.borrow().len() < agent.setting.spread.peers_max;
            if room && !self.follows.borrow().contains_key(&name) {
                self.follow(agent, &members[&name]);
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

    fn follow(self: &Rc<Self>, agent: &Rc<Agent>, peer: &Listed) {
        let key = Rc::new(Cell::new(None));
        let task = actix_rt::spawn(follow(
            agent.clone(),
            Rc::downgrade(self),
            peer.clone(),
            key.clone(),
        ));
        self.follows
            .borrow_mut()
            .insert(peer.name.clone(), Follow { key, task });
    }

    /// Makes a plan and carries it out.
    fn plan(self: &Rc<Self>, agent: &Rc<Agent>) {
        let now = agent.node.clock.now();
        let actions = match self.swarm.borrow_mut().as_mut() {
            Some(swarm) => swarm.tick(now),
            None => return,
        };
        for action in actions {
            match action {
                Action::Cancel { fetch } => {
                    agent.instruments.cancelled();
                    if let Some(task) = self.fetches.borrow_mut().remove(&fetch) {
                        task.abort();
                    }
                }
                Action::Fetch {
                    fetch,
                    chunk,
                    source,
                } => self.fetch(agent, fetch, chunk, source),
            }
        }
    }

    fn fetch(self: &Rc<Self>, agent: &Rc<Agent>, key: FetchKey, chunk: u32, source: Source) {
        let base = match source {
            Source::Origin => Some(format!(
                "{}/weights/{}",
                agent.setting.origin_url, self.version
            )),
            Source::Peer(peer) => self.peer_base(peer),
        };
        let Some(base) = base else {
            self.finish(agent, key, chunk, Outcome::Failed);
            return;
        };
        let url = format!("{base}/chunks/{chunk}");
        let task = actix_rt::spawn(fetch(agent.clone(), Rc::downgrade(self), key, chunk, url));
        self.fetches.borrow_mut().insert(key, task);
    }

    fn peer_base(&self, peer: PeerKey) -> Option<String> {
        let follows = self.follows.borrow();
        let name = follows
            .iter()
            .find(|(_, follow)| follow.key.get() == Some(peer))
            .map(|(name, _)| name)?;
        let members = self.members.borrow();
        let address = members.get(name)?.address;
        Some(swarm_url(address, self.version))
    }

    fn finish(self: &Rc<Self>, agent: &Rc<Agent>, key: FetchKey, chunk: u32, outcome: Outcome) {
        let now = agent.node.clock.now();
        agent.instruments.chunk(outcome);
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            swarm.finish(key, chunk, outcome, now);
        }
        if outcome == Outcome::Stored {
            self.gain(agent, chunk);
        }
    }

    /// A chunk was verified and is held.
    fn gain(self: &Rc<Self>, agent: &Rc<Agent>, chunk: u32) {
        self.gained.borrow_mut().push(chunk);
        let count = self.gained.borrow().len();
        self.told.send_replace(count);
        if agent.store.borrow().complete(self.version) {
            agent.node.audit(Deed::ReceiveDone {
                version: self.version.short(),
            });
            agent.wake_engine.notify_one();
        }
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

    /// The stream of what this box gains, for one follower.
    pub fn have_stream(
        self: &Rc<Self>,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> + 'static {
        let told = self.told.subscribe();
        let burst = Rc::downgrade(self);
        stream::unfold((burst, told, None), |(burst, mut told, sent)| async move {
            if sent.is_some() {
                let news = async {
                    if told.changed().await.is_ok() {
                        sleep(COALESCE).await;
                    }
                };
                let _ = actix_rt::time::timeout(HEARTBEAT, news).await;
            }
            told.mark_unchanged();
            let strong = burst.upgrade()?;
            let from = sent.unwrap_or(0);
            let have = Have {
                gained: strong.gained.borrow()[from..].to_vec(),
                load: strong.uploads.borrow().load() as u32,
                manifest: strong.swarm.borrow().is_some(),
            };
            let sent = Some(from + have.gained.len());
            let frame = wire::encode(&have).map_err(std::io::Error::other);
            Some((frame, (burst, told, sent)))
        })
    }

    /// Serves a chunk to a peer, now or when its turn comes.
    pub async fn upload(self: Rc<Self>, agent: Rc<Agent>, chunk: u32) -> Answer {
        let Some(bytes) = agent.store.borrow().get(self.version, chunk) else {
            return http::status(StatusCode::NOT_FOUND);
        };
        let now = agent.node.clock.now();
        self.served.set(now);
        let admission = self.uploads.borrow_mut().request(chunk, now);
        let turn = match admission {
            Admission::Busy => return self.busy(),
            Admission::Start(key) => Turn::new(&agent, &self, key),
            Admission::Wait(key) => {
                let turn = Turn::new(&agent, &self, key);
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(key, sender);
                if receiver.await.is_err() {
                    return http::status(StatusCode::SERVICE_UNAVAILABLE);
                }
                turn
            }
        };
        let load = self.uploads.borrow().load();
        let body = UploadBody {
            bytes,
            offset: 0,
            turn,
        };
        let mut answer = Response::with_body(StatusCode::OK, body.boxed());
        set_load(&mut answer, load);
        answer
    }

    fn busy(&self) -> Answer {
        let mut answer = http::status(StatusCode::SERVICE_UNAVAILABLE);
        set_load(&mut answer, self.uploads.borrow().load());
        answer
    }

    /// Wakes the uploads whose turn has come.
    fn wake_uploads(&self, agent: &Agent) {
        let now = agent.node.clock.now();
        loop {
            let next = self.uploads.borrow_mut().next(now);
            let Some(key) = next else {
                return;
            };
            let waiter = self.waiters.borrow_mut().remove(&key);
            if waiter.is_none_or(|waiter| waiter.send(()).is_err()) {
                self.uploads.borrow_mut().finish(key, false);
            }
        }
    }
}

fn set_load(answer: &mut Response<BoxBody>, load: usize) {
    if let Ok(value) = HeaderValue::from_str(&load.to_string()) {
        let name = HeaderName::from_static(LOAD_HEADER);
        answer.headers_mut().insert(name, value);
    }
}

fn swarm_url(address: std::net::SocketAddr, version: Digest) -> String {
    format!("http://{address}/v1/swarm/{version}")
}

/// An upload's place in the queue, given back when dropped.
struct Turn {
    agent: Rc<Agent>,
    burst: Rc<Burst>,
    key: UploadKey,
    whole: bool,
}

impl Turn {
    fn new(agent: &Rc<Agent>, burst: &Rc<Burst>, key: UploadKey) -> Self {
        Self {
            agent: agent.clone(),
            burst: burst.clone(),
            key,
            whole: false,
        }
    }

    fn progress(&self) {
        let now = self.agent.node.clock.now();
        self.burst.uploads.borrow_mut().progress(self.key, now);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.burst.waiters.borrow_mut().remove(&self.key);
        self.burst.uploads.borrow_mut().finish(self.key, self.whole);
        self.burst.wake_uploads(&self.agent);
    }
}

/// A chunk on its way out, handed over slice by slice so that its pace is known.
struct UploadBody {
    bytes: Bytes,
    offset: usize,
    turn: Turn,
}

impl MessageBody for UploadBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.offset == self.bytes.len() {
            return Poll::Ready(None);
        }
        let end = self.bytes.len().min(self.offset + SLICE);
        let slice = self.bytes.slice(self.offset..end);
        self.offset = end;
        self.turn.progress();
        self.turn.whole = end == self.bytes.len();
        let agent = &self.turn.agent;
        let sent = agent.chunk_bytes_sent.get() + slice.len() as u64;
        agent.chunk_bytes_sent.set(sent);
        Poll::Ready(Some(Ok(slice)))
    }
}

/// Gets the manifest, then plans until every chunk is held.
async fn receive(agent: Rc<Agent>, burst: Weak<Burst>) {
    let Some(manifest) = obtain_manifest(&agent, &burst).await else {
        return;
    };
    let Some(strong) = burst.upgrade() else {
        return;
    };
    let version = strong.version;
    let chunks = manifest.chunks.len();
    loop {
        let admitted = agent.store.borrow_mut().admit(version, manifest.clone());
        match admitted {
            Ok(()) => break,
            Err(error) => {
                log::warn!("{error}");
                sleep(FOLLOW_PAUSE_MAX).await;
            }
        }
    }
    strong.begin(&agent, chunks);
    drop(strong);
    let mut reviewed = agent.node.clock.now();
    while let Some(strong) = burst.upgrade() {
        strong.plan(&agent);
        strong.wake_uploads(&agent);
        let now = agent.node.clock.now();
        if now.since(reviewed) >= REVIEW {
            reviewed = now;
            strong.review(&agent);
        }
        drop(strong);
        sleep(TICK).await;
    }
}

/// Asks sponsors' source, the origin, or else peers, until a manifest verifies.
async fn obtain_manifest(agent: &Rc<Agent>, burst: &Weak<Burst>) -> Option<Manifest> {
    let mut round = 0;
    loop {
        let (version, sources) = {
            let strong = burst.upgrade()?;
            (strong.version, strong.manifest_sources(agent, round))
        };
        for url in sources {
            let answer: Result<Manifest, Error> =
                http::get_pack(&agent.node.client.0, &url, MANIFEST_MAX, MANIFEST_TIMEOUT).await;
            match answer.map(|manifest| (manifest.verify(version), manifest)) {
                Ok((Ok(()), manifest)) => return Some(manifest),
                Ok((Err(error), _)) => log::warn!(source = url.as_str(); "{error}"),
                Err(error) => log::debug!(source = url.as_str(); "manifest: {error}"),
            }
        }
        round += 1;
        sleep(MANIFEST_PAUSE).await;
    }
}

impl Burst {
    fn manifest_sources(&self, agent: &Agent, round: u32) -> Vec<String> {
        let ring = self.ring();
        let spread = agent.setting.spread;
        let sponsors = crate::spread::ring::sponsors(self.version, &ring, spread.sponsors);
        let mut sources = Vec::new();
        if sponsors.contains(agent.name()) || round >= MANIFEST_ROUNDS {
            let origin = &agent.setting.origin_url;
            sources.push(format!("{origin}/weights/{}/manifest", self.version));
        }
        let others: Vec<&Member> = ring
            .iter()
            .filter(|member| member.name != *agent.name())
            .collect();
        if !others.is_empty() {
            let index = rand::rng().random_range(0..others.len());
            let address = self.members.borrow()[&others[index].name].address;
            sources.push(format!("{}/manifest", swarm_url(address, self.version)));
        }
        sources
    }
}

/// Follows one peer until dropped.
async fn follow(
    agent: Rc<Agent>,
    burst: Weak<Burst>,
    peer: Listed,
    key: Rc<Cell<Option<PeerKey>>>,
) {
    let mut pause = FOLLOW_PAUSE;
    loop {
        let heard = follow_once(&agent, &burst, &peer, &key).await;
        let Some(strong) = burst.upgrade() else {
            return;
        };
        if let (Some(key), Some(swarm)) = (key.take(), strong.swarm.borrow_mut().as_mut()) {
            swarm.leave(key);
        }
        drop(strong);
        pause = if heard {
            FOLLOW_PAUSE
        } else {
            (pause * 2).min(FOLLOW_PAUSE_MAX)
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Reads one peer's frames until they end. Returns whether any came.
async fn follow_once(
    agent: &Rc<Agent>,
    burst: &Weak<Burst>,
    peer: &Listed,
    key: &Cell<Option<PeerKey>>,
) -> bool {
    let Some(version) = burst.upgrade().map(|burst| burst.version) else {
        return false;
    };
    let url = format!("{}/have", swarm_url(peer.address, version));
    let request = agent.node.client.0.get(url).send();
    let Ok(Ok(mut response)) = actix_rt::time::timeout(FOLLOW_TIMEOUT, request).await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let mut decoder = wire::Decoder::default();
    let mut heard = false;
    while let Ok(Some(Ok(part))) = actix_rt::time::timeout(FOLLOW_TIMEOUT, response.next()).await {
        decoder.push(&part);
        loop {
            let have: Have = match decoder.take() {
                Ok(Some(have)) => have,
                Ok(None) => break,
                Err(error) => {
                    log::warn!(peer = &*peer.name; "{error}");
                    return heard;
                }
            };
            let Some(strong) = burst.upgrade() else {
                return heard;
            };
            heard = true;
            strong.hear(agent, peer, key, &have);
        }
    }
    heard
}

impl Burst {
    fn hear(
        self: &Rc<Self>,
        agent: &Rc<Agent>,
        peer: &Listed,
        key: &Cell<Option<PeerKey>>,
        have: &Have,
    ) {
        let now = agent.node.clock.now();
        if let Some(swarm) = self.swarm.borrow_mut().as_mut() {
            let known = match key.get() {
                Some(known) => known,
                None => swarm.join(peer.name.clone(), now),
            };
            key.set(Some(known));
            let notice = Notice {
                gained: &have.gained,
                load: have.load,
            };
            swarm.notice(known, notice, now);
        }
        if !have.gained.is_empty() {
            self.plan(agent);
        }
    }
}

/// Draws one chunk and reports how that ended.
async fn fetch(agent: Rc<Agent>, burst: Weak<Burst>, key: FetchKey, chunk: u32, url: String) {
    let outcome = draw(&agent, &burst, key, chunk, &url).await;
    if let Some(strong) = burst.upgrade() {
        strong.fetches.borrow_mut().remove(&key);
        strong.finish(&agent, key, chunk, outcome);
        strong.plan(&agent);
    }
}

async fn draw(
    agent: &Rc<Agent>,
    burst: &Weak<Burst>,
    key: FetchKey,
    chunk: u32,
    url: &str,
) -> Outcome {
    let Some(version) = burst.upgrade().map(|burst| burst.version) else {
        return Outcome::Failed;
    };
    let Ok(mut response) = agent.node.client.0.get(url).send().await else {
        return Outcome::Failed;
    };
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Outcome::Busy,
        _ => return Outcome::Failed,
    }
    let Ok(mut receipt) = agent.store.borrow().receive(version, chunk) else {
        return Outcome::Failed;
    };
    while let Some(part) = response.next().await {
        let Ok(part) = part else {
            return Outcome::Failed;
        };
        if receipt.push(&part).is_err() {
            return Outcome::Corrupt;
        }
        if let Some(strong) = burst.upgrade()
            && let Some(swarm) = strong.swarm.borrow_mut().as_mut()
        {
            swarm.progress(key, agent.node.clock.now());
        }
    }
    if !receipt.full() {
        return Outcome::Failed;
    }
    let Ok(chunk) = receipt.finish() else {
        log::warn!(source = url; "chunk failed verification");
        return Outcome::Corrupt;
    };
    if url.starts_with(&agent.setting.origin_url) {
        agent.instruments.drew(chunk.len() as u64);
    }
    match agent.store.borrow_mut().put(chunk) {
        Ok(true) => Outcome::Stored,
        _ => Outcome::Failed,
    }
}
