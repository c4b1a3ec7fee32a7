//! Plan of the downloads of one version on one box: what to fetch next, from which source, and when
//! to cancel a fetch.

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
    /// A chunk that this box is fetching.
    pub struct FetchKey;
}

/// Smoothing of the mean fetch time: the newest fetch counts for one in this many.
const SMOOTHING: u32 = 8;

/// A fetch counts as stalled once it has received no bytes for this many times the mean fetch time.
const STALL_FACTOR: u32 = 6;

/// A fetch that takes this many times the mean fetch time is cancelled even if bytes still arrive.
const SLOW_FACTOR: u32 = 8;

/// How long a peer without a free upload slot is not asked again.
const BUSY_DELAY: Duration = Duration::from_millis(40);

/// Delay after the first failure of the origin, doubled up to [`Setting::origin_backoff_max`].
const ORIGIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of times that the penalty of a peer doubles.
const PENALTY_DOUBLINGS_MAX: u32 = 6;

/// Source of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another box.
    Peer(PeerKey),
    /// The origin of weights.
    Origin,
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk.
    Fetch {
        /// Key under which the result is reported.
        fetch: FetchKey,
        /// Index of the chunk in the manifest.
        chunk: u32,
        /// Source to fetch from.
        source: Source,
    },
    /// Cancel a fetch, because it has stalled, takes too long, or its peer is unresponsive.
    Cancel {
        /// The fetch to cancel.
        fetch: FetchKey,
    },
}

/// Result of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk was verified and stored.
    Stored,
    /// The bytes did not match the manifest.
    Corrupt,
    /// The source had no free slot.
    Busy,
    /// The source does not have the chunk, or the transfer failed.
    Failed,
}

/// Number of fetches of a version by result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Chunks verified and stored.
    pub stored: u64,
    /// Chunks that did not match the manifest.
    pub corrupt: u64,
    /// Requests that were rejected because no slot was free.
    pub busy: u64,
    /// Transfers that failed.
    pub failed: u64,
    /// Fetches that were cancelled.
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

/// Status that a peer announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement<'a> {
    /// Chunks that it holds and has not announced before.
    pub gained: &'a [u32],
    /// Number of its uploads, waiting or running.
    pub load: u32,
    /// Chunks that it is fetching from the origin.
    pub fetching: &'a [u32],
    /// Time since any box fetched a chunk from the origin, as far as the peer knows.
    pub origin_age: Option<Duration>,
}

#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    same_hall: bool,
    relay: bool,
    have: Bitmap,
    load: u32,
    fetches: u32,
    last_heard: Time,
    avoid_until: Time,
    failures: u32,
    claims: Vec<Claim>,
}

/// A chunk that a peer is fetching from the origin, and when its claim was first announced.
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
    last_progress: Time,
}

/// State and schedule of the downloads of one version.
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
    last_new_chunk: Time,
    started: Time,
    peers: SlotMap<PeerKey, Peer>,
    fetches: SlotMap<FetchKey, Fetch>,
    mean_fetch_time: Option<Duration>,
    mean_origin_fetch_time: Option<Duration>,
    substituting: bool,
    last_origin_chunk: Option<Time>,
    members: Vec<Member>,
    relays: Vec<Arc<str>>,
    sponsors: Vec<Arc<str>>,
    import_ranks: Vec<usize>,
    first_seen: Vec<Time>,
    share_fetched_at: Option<Time>,
    origin_backoff: Backoff,
    origin_retry_at: Time,
    tally: Tally,
}

impl Swarm {
    /// Creates the plan to fetch `chunks` chunks to the box `own`, starting at `now`.
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
            last_new_chunk: now,
            started: now,
            peers: SlotMap::with_key(),
            fetches: SlotMap::with_key(),
            mean_fetch_time: None,
            mean_origin_fetch_time: None,
            substituting: false,
            last_origin_chunk: None,
            members: Vec::new(),
            relays: Vec::new(),
            sponsors: Vec::new(),
            import_ranks: Vec::new(),
            first_seen: vec![now; chunks],
            share_fetched_at: None,
            origin_backoff: Backoff::new(ORIGIN_BACKOFF, setting.origin_backoff_max),
            origin_retry_at: now,
            tally: Tally::default(),
        }
    }

    /// Sets the participating boxes, including this one.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.set_members_and_relays(members, Vec::new());
    }

    /// Sets the participating boxes, and which of them are relays. Relays are the first to fetch
    /// chunks from the origin and to bring them into their halls.
    pub fn set_members_and_relays(&mut self, members: Vec<Member>, relays: Vec<Arc<str>>) {
        if self.members == members && self.relays == relays {
            return;
        }
        let count = self.setting.sponsors + self.setting.standbys;
        let fetchers = ring::origin_fetchers(&members, &relays);
        self.sponsors = ring::sponsors(self.version, &fetchers, count);
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

    fn is_relay(&self, name: &Arc<str>) -> bool {
        self.relays.contains(name)
    }

    /// Whether this box may fetch a chunk from another hall. One box per hall may do so as soon as
    /// the chunk is seen anywhere, and one more after each further [`Setting::sponsor_wait`].
    fn may_import(&self, chunk: u32, now: Time) -> bool {
        let Some(&rank) = self.import_ranks.get(chunk as usize) else {
            return true;
        };
        let since = now.since(self.first_seen[chunk as usize]).as_millis();
        let intervals = since / self.setting.sponsor_wait.as_millis().max(1);
        rank as u128 <= intervals
    }

    /// Records that a chunk was seen, on this box or on a peer.
    fn mark_seen(&mut self, chunk: usize, now: Time) {
        if self.seen.set(chunk) {
            self.first_seen[chunk] = now;
            self.last_new_chunk = now;
        }
    }

    /// Returns the peers that this box should follow, the most important first. Unresponsive peers
    /// are compensated by random other boxes of the same hall.
    pub fn wanted_peers(&mut self, now: Time) -> Vec<Arc<str>> {
        let mut wanted = self.regular_peers();
        let missing = wanted.len().saturating_sub(self.responsive_peers(now));
        if now.since(self.started) < self.setting.peer_timeout {
            return wanted;
        }
        let mut spare: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|member| member.hall == self.own.hall && member.name != self.own.name)
            .map(|member| member.name.clone())
            .filter(|name| !wanted.contains(name) && !self.follows(name))
            .collect();
        for _ in 0..missing.min(spare.len()) {
            let index = self.rng.random_range(0..spare.len());
            wanted.push(spare.swap_remove(index));
        }
        wanted
    }

    /// Returns the peers assigned to this box by the ring, by its role as a sponsor, and by the
    /// choice of relays.
    pub fn regular_peers(&self) -> Vec<Arc<str>> {
        let mut wanted = Vec::new();
        if self.sponsors.contains(&self.own.name) {
            wanted.extend(self.sponsors.iter().cloned());
        }
        let setting = &self.setting;
        let (in_hall, anywhere) = if self.relays.is_empty() {
            (setting.hall_neighbours, setting.fleet_neighbours)
        } else {
            let local_relay =
                |member: &&Member| member.hall == self.own.hall && self.is_relay(&member.name);
            let relays = self.members.iter().filter(local_relay);
            let count = setting.relay_neighbours;
            wanted.extend(ring::select_peers(
                self.version,
                &self.own.name,
                relays,
                count,
            ));
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

    /// Adds a peer that is followed from now on.
    pub fn add_peer(&mut self, name: Arc<str>, now: Time) -> PeerKey {
        let same_hall = self
            .members
            .iter()
            .any(|member| member.name == name && member.hall == self.own.hall);
        self.peers.insert(Peer {
            relay: self.relays.contains(&name),
            name,
            same_hall,
            have: Bitmap::new(self.have.len()),
            load: 0,
            fetches: 0,
            last_heard: now,
            avoid_until: now,
            failures: 0,
            claims: Vec::new(),
        })
    }

    /// Removes a peer that is no longer followed. The results of fetches from it are still
    /// reported.
    pub fn remove_peer(&mut self, key: PeerKey) {
        if let Some(peer) = self.peers.remove(key) {
            for chunk in peer.have.ones() {
                self.rarity[chunk] -= 1;
            }
        }
    }

    /// Applies the announcement of a peer.
    pub fn update_peer(&mut self, key: PeerKey, announcement: Announcement<'_>, now: Time) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.last_heard = now;
        peer.load = announcement.load;
        let fetched = announcement.origin_age.map(|age| now - age);
        self.last_origin_chunk = self.last_origin_chunk.max(fetched);
        let claims = announcement.fetching.iter().map(|&chunk| {
            let mut known = peer.claims.iter();
            let known = known.find(|claim| claim.chunk == chunk).copied();
            known.unwrap_or(Claim { chunk, since: now })
        });
        peer.claims = claims.collect();
        for &chunk in announcement.gained {
            let chunk = chunk as usize;
            let Some(peer) = self.peers.get_mut(key) else {
                return;
            };
            if !peer.have.set(chunk) {
                continue;
            }
            self.rarity[chunk] += 1;
            self.mark_seen(chunk, now);
        }
    }

    /// Records that bytes of a fetch have arrived.
    pub fn record_progress(&mut self, key: FetchKey, now: Time) {
        let Some(fetch) = self.fetches.get_mut(key) else {
            return;
        };
        fetch.last_progress = now;
        if let Source::Peer(peer) = fetch.source
            && let Some(peer) = self.peers.get_mut(peer)
        {
            peer.last_heard = now;
        }
    }

    /// Records the result of a fetch. For a fetch that was cancelled before, only a stored chunk
    /// counts.
    pub fn finish(&mut self, key: FetchKey, chunk: u32, outcome: Outcome, now: Time) {
        if outcome == Outcome::Stored {
            self.mark_held(chunk, now);
        }
        let Some(fetch) = self.remove_fetch(key) else {
            return;
        };
        match outcome {
            Outcome::Stored => {
                self.tally.stored += 1;
                self.record_fetch_time(fetch.source, now.since(fetch.started));
            }
            Outcome::Corrupt => {
                self.tally.corrupt += 1;
                self.penalize(fetch.source, now);
            }
            Outcome::Busy => {
                self.tally.busy += 1;
                self.defer(fetch.source, now);
            }
            Outcome::Failed => {
                self.tally.failed += 1;
                self.penalize(fetch.source, now);
            }
        }
        if fetch.source == Source::Origin && outcome == Outcome::Stored {
            self.origin_backoff.reset();
            self.last_origin_chunk = Some(now);
        }
    }

    /// Returns when any box last fetched a chunk from the origin, as far as this box knows.
    pub fn last_origin_chunk(&self) -> Option<Time> {
        self.last_origin_chunk
    }

    /// Marks a chunk as held, regardless of its source.
    pub fn mark_held(&mut self, chunk: u32, now: Time) {
        self.have.set(chunk as usize);
        self.mark_seen(chunk as usize, now);
    }

    /// Whether every chunk is held.
    pub fn complete(&self) -> bool {
        self.have.is_full()
    }

    /// Returns the number of chunks held, and the total.
    pub fn progress(&self) -> (usize, usize) {
        (self.have.count(), self.have.len())
    }

    /// Returns how much of the version is available on this box and its peers.
    pub fn availability(&self, now: Time) -> Availability {
        let missing = |chunk: &usize| !self.have.get(*chunk);
        let unavailable = |chunk: &usize| missing(chunk) && self.rarity[*chunk] == 0;
        let chunks = 0..self.have.len();
        Availability {
            missing: chunks.clone().filter(missing).count() as u32,
            unavailable: chunks.clone().filter(unavailable).count() as u32,
            chunks: chunks.len() as u32,
            // A joining box sees chunks as new that others have held for long, so the time of the
            // last fetch from the origin takes precedence.
            since_progress: now.since(self.last_origin_chunk.unwrap_or(self.last_new_chunk)),
        }
    }

    /// Removes all fetches after the caller has cancelled them.
    pub fn clear_fetches(&mut self) {
        let keys: Vec<FetchKey> = self.fetches.keys().collect();
        for key in keys {
            self.remove_fetch(key);
        }
    }

    /// Disables fetches from the origin.
    pub fn disable_origin(&mut self) {
        self.setting.origin_fetches_max = 0;
    }

    /// Returns the number of fetches by result.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Returns the number of peers that were heard from within [`Setting::peer_timeout`].
    pub fn responsive_peers(&self, now: Time) -> usize {
        self.peers
            .values()
            .filter(|peer| now.since(peer.last_heard) < self.setting.peer_timeout)
            .count()
    }

    /// Returns the actions that are due: fetches to cancel and fetches to start.
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
        let slow = limit.max(self.mean_fetch_time.unwrap_or(limit) * SLOW_FACTOR);
        let stalled: Vec<FetchKey> = self
            .fetches
            .iter()
            .filter(|(_, fetch)| {
                let idle = now.since(fetch.last_progress);
                match fetch.source {
                    // The origin's link is shared by many, so a fetch that still receives bytes is
                    // not restarted however slow it is.
                    Source::Origin => idle >= self.setting.origin_stall_timeout,
                    Source::Peer(peer) => {
                        let slow = now.since(fetch.started) >= slow;
                        idle >= limit || slow || self.is_unresponsive(peer, now)
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
            self.penalize(fetch.source, now);
            actions.push(Action::Cancel { fetch: key });
        }
    }

    fn is_unresponsive(&self, peer: PeerKey, now: Time) -> bool {
        let peer = self.peers.get(peer);
        peer.is_none_or(|peer| now.since(peer.last_heard) >= self.setting.peer_timeout)
    }

    /// Returns how long a fetch from a peer may receive no bytes. The limit grows with the mean
    /// fetch time, because a fetch that is queued at its peer makes no progress either.
    fn stall_limit(&self) -> Duration {
        let mean = self.mean_fetch_time.unwrap_or_default();
        self.setting.stall_timeout.max(mean * STALL_FACTOR)
    }

    /// Whether the followed peer `name` was heard from within [`Setting::peer_timeout`].
    pub fn is_responsive(&self, name: &str, now: Time) -> bool {
        self.peers.values().any(|peer| {
            &*peer.name == name && now.since(peer.last_heard) < self.setting.peer_timeout
        })
    }

    fn start_fetch(&mut self, chunk: u32, source: Source, now: Time) -> Action {
        if let Source::Peer(key) = source {
            self.peers[key].fetches += 1;
        }
        self.in_flight[chunk as usize] += 1;
        let fetch = self.fetches.insert(Fetch {
            chunk,
            source,
            started: now,
            last_progress: now,
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

    fn record_fetch_time(&mut self, source: Source, took: Duration) {
        let mean = match source {
            Source::Origin => &mut self.mean_origin_fetch_time,
            Source::Peer(_) => &mut self.mean_fetch_time,
        };
        *mean = Some(match *mean {
            None => took,
            Some(mean) => (mean * (SMOOTHING - 1) + took) / SMOOTHING,
        });
    }

    /// Excludes a source after a failure, for longer each time.
    fn penalize(&mut self, source: Source, now: Time) {
        match source {
            Source::Origin => self.back_off_origin(now),
            Source::Peer(key) => {
                let penalty = self.setting.penalty;
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.avoid_until =
                        now + penalty * 2u32.pow(peer.failures.min(PENALTY_DOUBLINGS_MAX));
                    peer.failures += 1;
                }
            }
        }
    }

    fn defer(&mut self, source: Source, now: Time) {
        match source {
            Source::Origin => self.back_off_origin(now),
            Source::Peer(key) => {
                if let Some(peer) = self.peers.get_mut(key) {
                    peer.avoid_until = now + BUSY_DELAY;
                }
            }
        }
    }

    fn back_off_origin(&mut self, now: Time) {
        let pause = self.origin_backoff.next_delay();
        let jitter = self.rng.random_range(0.5..1.0);
        self.origin_retry_at = now + pause.mul_f64(jitter);
    }
}
