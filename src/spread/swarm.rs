//! The downloads of one version at one box: what to draw next, from whom, and when to give up.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use super::Setting;
use super::bitmap::Bitmap;
use super::ring::{self, Member};
use crate::backoff::Backoff;
use crate::clock::Time;
use crate::version::fallback::Availability;
use crate::weight::Digest;

mod holder;
mod origin;

slotmap::new_key_type! {
    /// A peer that this box follows for one version.
    pub struct PeerKey;
    /// A chunk on its way to this box.
    pub struct FetchKey;
}

/// Fetches whose length shapes the estimate: the weight of the newest is one in this many.
const SMOOTHING: u32 = 8;

/// A fetch may take this many times the usual before it counts as stalled.
const STALL_FACTOR: u32 = 6;

/// A fetch that takes this many times the usual is dropped even if bytes still come.
const SLOW_FACTOR: u32 = 8;

/// How long a peer that had no slot is left alone.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

/// First pause after the origin failed, doubled up to the setting's longest.
const ORIGIN_PAUSE: Duration = Duration::from_millis(200);

/// Doublings of a penalty after which it grows no more.
const DOUBLINGS_MAX: u32 = 6;

/// Where a chunk comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another box.
    Peer(PeerKey),
    /// The origin of weights.
    Origin,
}

/// What the edge is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Draw a chunk.
    Fetch {
        /// The fetch that reports back.
        fetch: FetchKey,
        /// The chunk's place in the manifest.
        chunk: u32,
        /// Whom to ask.
        source: Source,
    },
    /// Drop a fetch: it is stalled, or its peer is.
    Cancel {
        /// The fetch to drop.
        fetch: FetchKey,
    },
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk was verified and is held.
    Stored,
    /// The bytes did not match the manifest.
    Corrupt,
    /// The peer had no slot.
    Busy,
    /// The peer does not have the chunk, or the exchange broke.
    Failed,
}

/// How a version's fetches ended so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Chunks that were verified.
    pub stored: u64,
    /// Chunks that did not match the manifest.
    pub corrupt: u64,
    /// Requests that found no slot.
    pub busy: u64,
    /// Exchanges that broke.
    pub failed: u64,
    /// Fetches that stalled and were dropped.
    pub cancelled: u64,
}

impl std::ops::AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.stored += other.stored;
        self.corrupt += other.corrupt;
        self.busy += other.busy;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
    }
}

/// What a peer tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice<'a> {
    /// Chunks that it holds and had not told of.
    pub gained: &'a [u32],
    /// Uploads waiting or running there.
    pub load: u32,
    /// Chunks that it is drawing from the origin.
    pub drawing: &'a [u32],
    /// Time since the origin brought a chunk to anyone, as far as it knows.
    pub origin_age: Option<Duration>,
}

#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    near: bool,
    relay: bool,
    have: Bitmap,
    load: u32,
    fetches: u32,
    heard: Time,
    avoid_until: Time,
    offences: u32,
    drawing: Vec<Claim>,
}

/// A chunk that a peer draws from the origin, and since when it is known.
#[derive(Debug, Clone, Copy)]
struct Claim {
    chunk: u32,
    since: Time,
}

#[derive(Debug)]
struct Fetch {
    chunk: u32,
    source: Source,
    started: Time,
    progressed: Time,
}

/// The plan of one version's downloads.
#[derive(Debug)]
pub struct Swarm {
    version: Digest,
    own: Member,
    setting: Setting,
    rng: SmallRng,
    have: Bitmap,
    in_flight: Vec<u8>,
    rarity: Vec<u32>,
    seen: Bitmap,
    new_seen: Time,
    began: Time,
    peers: SlotMap<PeerKey, Peer>,
    fetches: SlotMap<FetchKey, Fetch>,
    usual: Option<Duration>,
    usual_at_origin: Option<Duration>,
    stands_in: bool,
    origin_brought: Option<Time>,
    members: Vec<Member>,
    relays: Vec<Arc<str>>,
    sponsors: Vec<Arc<str>>,
    import_ranks: Vec<usize>,
    seen_at: Vec<Time>,
    drawn_since: Option<Time>,
    origin_backoff: Backoff,
    origin_pause_until: Time,
    tally: Tally,
}

impl Swarm {
    /// A plan for `chunks` chunks at box `own`, beginning `now`.
    pub fn new(
        version: Digest,
        own: Member,
        chunks: usize,
        setting: Setting,
        seed: u64,
        now: Time,
    ) -> Self {
        Self {
            version,
            own,
            setting,
            rng: SmallRng::seed_from_u64(seed),
            have: Bitmap::new(chunks),
            in_flight: vec![0; chunks],
            rarity: vec![0; chunks],
            seen: Bitmap::new(chunks),
            new_seen: now,
            began: now,
            peers: SlotMap::with_key(),
            fetches: SlotMap::with_key(),
            usual: None,
            usual_at_origin: None,
            stands_in: false,
            origin_brought: None,
            members: Vec::new(),
            relays: Vec::new(),
            sponsors: Vec::new(),
            import_ranks: Vec::new(),
            seen_at: vec![now; chunks],
            drawn_since: None,
            origin_backoff: Backoff::new(ORIGIN_PAUSE, setting.origin_pause_max),
            origin_pause_until: now,
            tally: Tally::default(),
        }
    }

    /// Sets who takes part, this box included.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.set_members_and_relays(members, Vec::new());
    }

    /// Sets who takes part, and who of them is a relay. Relays draw from the origin and bring chunks
    /// into their halls before anyone else does.
    pub fn set_members_and_relays(&mut self, members: Vec<Member>, relays: Vec<Arc<str>>) {
        if self.members == members && self.relays == relays {
            return;
        }
        let count = self.setting.sponsors + self.setting.standbys;
        let drawing = ring::drawing(&members, &relays);
        self.sponsors = ring::sponsors(self.version, &drawing, count);
        if self.setting.import_once {
            let rank = |chunk| ring::import_rank(self.version, chunk, &self.own, &members, &relays);
            self.import_ranks = (0..self.have.len() as u32).map(rank).collect();
        }
        for peer in self.peers.values_mut() {
            peer.relay = relays.contains(&peer.name);
        }
        self.members = members;
        self.relays = relays;
    }

    fn relay(&self, name: &Arc<str>) -> bool {
        self.relays.contains(name)
    }

    /// Whether a chunk may be drawn from another hall: by one box of the hall as soon as it is seen
    /// anywhere, and by one more with each further stretch of patience.
    fn may_import(&self, chunk: u32, now: Time) -> bool {
        let Some(&rank) = self.import_ranks.get(chunk as usize) else {
            return true;
        };
        let since = now.since(self.seen_at[chunk as usize]).as_millis();
        let turns = since / self.setting.sponsor_wait.as_millis().max(1);
        rank as u128 <= turns
    }

    /// A chunk was seen, here or at a peer.
    fn see(&mut self, chunk: usize, now: Time) {
        if self.seen.set(chunk) {
            self.seen_at[chunk] = now;
            self.new_seen = now;
        }
    }

    /// The names of the peers that this box ought to follow, the ones it needs most first. Peers
    /// that do not speak are made up for by others of the box's hall.
    pub fn wanted_peers(&mut self, now: Time) -> Vec<Arc<str>> {
        let mut wanted = self.regular_peers();
        let lacking = wanted.len().saturating_sub(self.responsive_peers(now));
        if now.since(self.began) < self.setting.peer_timeout {
            return wanted;
        }
        let mut spare: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|member| member.hall == self.own.hall && member.name != self.own.name)
            .map(|member| member.name.clone())
            .filter(|name| !wanted.contains(name) && !self.follows(name))
            .collect();
        for _ in 0..lacking.min(spare.len()) {
            let index = self.rng.random_range(0..spare.len());
            wanted.push(spare.swap_remove(index));
        }
        wanted
    }

    /// The peers that ring and sponsorship give this box.
    pub fn regular_peers(&self) -> Vec<Arc<str>> {
        let mut wanted = Vec::new();
        if self.sponsors.contains(&self.own.name) {
            wanted.extend(self.sponsors.iter().cloned());
        }
        let setting = &self.setting;
        let (in_hall, anywhere) = if self.relays.is_empty() {
            (setting.hall_neighbours, setting.fleet_neighbours)
        } else {
            let near = |member: &&Member| member.hall == self.own.hall && self.relay(&member.name);
            let relays = self.members.iter().filter(near);
            let count = setting.relay_neighbours;
            wanted.extend(ring::nearest(self.version, &self.own.name, relays, count));
            (count, count / 2)
        };
        wanted.extend(ring::neighbours(
            self.version,
            &self.own,
            &self.members,
            in_hall,
            anywhere,
        ));
        let mut unique: Vec<Arc<str>> = Vec::new();
        for name in wanted {
            if name != self.own.name && !unique.contains(&name) {
                unique.push(name);
            }
        }
        unique
    }

    fn follows(&self, name: &str) -> bool {
        self.peers.values().any(|peer| &*peer.name == name)
    }

    /// A peer is being followed from now on.
    pub fn join(&mut self, name: Arc<str>, now: Time) -> PeerKey {
        let near = self
            .members
            .iter()
            .any(|member| member.name == name && member.hall == self.own.hall);
        self.peers.insert(Peer {
            relay: self.relays.contains(&name),
            name,
            near,
            have: Bitmap::new(self.have.len()),
            load: 0,
            fetches: 0,
            heard: now,
            avoid_until: now,
            offences: 0,
            drawing: Vec::new(),
        })
    }

    /// A peer is no longer followed. Fetches from it report on their own.
    pub fn leave(&mut self, key: PeerKey) {
        if let Some(peer) = self.peers.remove(key) {
            for chunk in peer.have.ones() {
                self.rarity[chunk] -= 1;
            }
        }
    }

    /// A peer told of itself.
    pub fn notice(&mut self, key: PeerKey, notice: Notice<'_>, now: Time) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.heard = now;
        peer.load = notice.load;
        let brought = notice.origin_age.map(|age| now - age);
        self.origin_brought = self.origin_brought.max(brought);
        let claims = notice.drawing.iter().map(|&chunk| {
            let mut known = peer.drawing.iter();
            let known = known.find(|claim| claim.chunk == chunk).copied();
            known.unwrap_or(Claim { chunk, since: now })
        });
        peer.drawing = claims.collect();
        for &chunk in notice.gained {
            let chunk = chunk as usize;
            let Some(peer) = self.peers.get_mut(key) else {
                return;
            };
            if !peer.have.set(chunk) {
                continue;
            }
            self.rarity[chunk] += 1;
            self.see(chunk, now);
        }
    }

    /// Bytes of a fetch arrived.
    pub fn progress(&mut self, key: FetchKey, now: Time) {
        let Some(fetch) = self.fetches.get_mut(key) else {
            return;
        };
        fetch.progressed = now;
        if let Source::Peer(peer) = fetch.source
            && let Some(peer) = self.peers.get_mut(peer)
        {
            peer.heard = now;
        }
    }

    /// A fetch ended. A fetch that was cancelled before is ignored, unless it brought its chunk.
    pub fn finish(&mut self, key: FetchKey, chunk: u32, outcome: Outcome, now: Time) {
        if outcome == Outcome::Stored {
            self.hold(chunk, now);
        }
        let Some(fetch) = self.remove_fetch(key) else {
            return;
        };
        match outcome {
            Outcome::Stored => {
                self.tally.stored += 1;
                self.learn(fetch.source, now.since(fetch.started));
            }
            Outcome::Corrupt => {
                self.tally.corrupt += 1;
                self.punish(fetch.source, now);
            }
            Outcome::Busy => {
                self.tally.busy += 1;
                self.pause(fetch.source, now);
            }
            Outcome::Failed => {
                self.tally.failed += 1;
                self.punish(fetch.source, now);
            }
        }
        if fetch.source == Source::Origin && outcome == Outcome::Stored {
            self.origin_backoff.succeeded();
            self.origin_brought = Some(now);
        }
    }

    /// When the origin brought a chunk to anyone last, as far as is known here.
    pub fn origin_brought(&self) -> Option<Time> {
        self.origin_brought
    }

    /// Marks a chunk as held, from wherever it came.
    pub fn hold(&mut self, chunk: u32, now: Time) {
        self.have.set(chunk as usize);
        self.see(chunk as usize, now);
    }

    /// Whether every chunk is held.
    pub fn complete(&self) -> bool {
        self.have.full()
    }

    /// Chunks held, and chunks in all.
    pub fn held(&self) -> (usize, usize) {
        (self.have.count(), self.have.len())
    }

    /// What is known of the version's weights, here and at peers.
    pub fn availability(&self, now: Time) -> Availability {
        let lacked = |chunk: &usize| !self.have.get(*chunk);
        let unseen = |chunk: &usize| lacked(chunk) && self.rarity[*chunk] == 0;
        let chunks = 0..self.have.len();
        Availability {
            missing: chunks.clone().filter(lacked).count() as u32,
            unavailable: chunks.clone().filter(unseen).count() as u32,
            chunks: chunks.len() as u32,
            // To a box that joins, chunks are new that others have had for long.
            since_progress: now.since(self.origin_brought.unwrap_or(self.new_seen)),
        }
    }

    /// All fetches were dropped.
    pub fn drop_all(&mut self) {
        let keys: Vec<FetchKey> = self.fetches.keys().collect();
        for key in keys {
            self.remove_fetch(key);
        }
    }

    /// Draws nothing from the origin from now on.
    pub fn leave_origin(&mut self) {
        self.setting.origin_fetches_max = 0;
    }

    /// How fetches ended so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Peers that spoke within the silence bound.
    pub fn responsive_peers(&self, now: Time) -> usize {
        self.peers
            .values()
            .filter(|peer| now.since(peer.heard) < self.setting.peer_timeout)
            .count()
    }

    /// Plans the next step.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.complete() {
            return actions;
        }
        self.cancel_stalled(now, &mut actions);
        self.fetch_from_peers(now, &mut actions);
        self.fetch_from_origin(now, &mut actions);
        actions
    }

    fn cancel_stalled(&mut self, now: Time, actions: &mut Vec<Action>) {
        let limit = self.stall_limit();
        let slow = limit.max(self.usual.unwrap_or(limit) * SLOW_FACTOR);
        let stalled: Vec<FetchKey> = self
            .fetches
            .iter()
            .filter(|(_, fetch)| {
                let quiet = now.since(fetch.progressed);
                match fetch.source {
                    // What still comes over a link that many share is never begun anew.
                    Source::Origin => quiet >= self.setting.origin_stall,
                    Source::Peer(peer) => {
                        let slow = now.since(fetch.started) >= slow;
                        quiet >= limit || slow || self.silent(peer, now)
                    }
                }
            })
            .map(|(key, _)| key)
            .collect();
        for key in stalled {
            let Some(fetch) = self.remove_fetch(key) else {
                continue;
            };
            self.tally.cancelled += 1;
            self.punish(fetch.source, now);
            actions.push(Action::Cancel { fetch: key });
        }
    }

    fn silent(&self, peer: PeerKey, now: Time) -> bool {
        let peer = self.peers.get(peer);
        peer.is_none_or(|peer| now.since(peer.heard) >= self.setting.peer_timeout)
    }

    /// A fetch that waits behind others at its peer makes no progress either, so the bound follows
    /// the length of usual fetches.
    fn stall_limit(&self) -> Duration {
        let usual = self.usual.unwrap_or_default();
        self.setting.stall.max(usual * STALL_FACTOR)
    }

    /// Whether a followed peer of this name spoke within the silence bound.
    pub fn heard_from(&self, name: &str, now: Time) -> bool {
        self.peers
            .values()
            .any(|peer| &*peer.name == name && now.since(peer.heard) < self.setting.peer_timeout)
    }

    fn begin(&mut self, chunk: u32, source: Source, now: Time) -> Action {
        if let Source::Peer(key) = source {
            self.peers[key].fetches += 1;
        }
        self.in_flight[chunk as usize] += 1;
        let fetch = self.fetches.insert(Fetch {
            chunk,
            source,
            started: now,
            progressed: now,
        });
        Action::Fetch {
            fetch,
            chunk,
            source,
        }
    }

    fn remove_fetch(&mut self, key: FetchKey) -> Option<Fetch> {
        let fetch = self.fetches.remove(key)?;
        self.in_flight[fetch.chunk as usize] -= 1;
        if let Source::Peer(peer) = fetch.source
            && let Some(peer) = self.peers.get_mut(peer)
        {
            peer.fetches -= 1;
        }
        Some(fetch)
    }

    fn learn(&mut self, source: Source, took: Duration) {
        let known = match source {
            Source::Origin => &mut self.usual_at_origin,
            Source::Peer(_) => &mut self.usual,
        };
        *known = Some(match *known {
            None => took,
            Some(usual) => (usual * (SMOOTHING - 1) + took) / SMOOTHING,
        });
    }

    /// Passes over a source that failed badly, for longer each time.
    fn punish(&mut self, source: Source, now: Time) {
        match source {
            Source::Origin => self.pause_origin(now),
            Source::Peer(key) => {
                let penalty = self.setting.penalty;
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.avoid_until = now + penalty * 2u32.pow(peer.offences.min(DOUBLINGS_MAX));
                    peer.offences += 1;
                }
            }
        }
    }

    fn pause(&mut self, source: Source, now: Time) {
        match source {
            Source::Origin => self.pause_origin(now),
            Source::Peer(key) => {
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.avoid_until = now + BUSY_PAUSE;
                }
            }
        }
    }

    fn pause_origin(&mut self, now: Time) {
        let pause = self.origin_backoff.failed();
        let jitter = self.rng.random_range(0.5..1.0);
        self.origin_pause_until = now + pause.mul_f64(jitter);
    }
}
