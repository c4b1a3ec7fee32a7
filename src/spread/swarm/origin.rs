//! Fetches from the origin: the box's share as a sponsor, the remaining chunks of other sponsors,
//! and chunks that no sponsor delivers.

use std::time::Duration;

use rand::RngExt;

use super::{Action, Source, Swarm};
use crate::clock::Time;
use crate::spread::ring;

impl Swarm {
    pub(super) fn fetch_from_origin(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.origin_retry_at || self.is_settling(now) {
            return;
        }
        let fetching = self
            .fetches
            .values()
            .filter(|fetch| fetch.source == Source::Origin)
            .count();
        if fetching >= self.setting.origin_fetches_max {
            return;
        }
        if let Some(chunk) = self.next_origin_chunk(now) {
            actions.push(self.start_fetch(chunk, Source::Origin, now));
        }
    }

    /// Whether to wait for peers to announce chunks before fetching them from the origin.
    fn is_settling(&self, now: Time) -> bool {
        let settle = self.setting.settle;
        let complete = !self.setting.settle_fully && self.peers.len() >= self.regular_peers().len();
        now.since(self.started) < settle && !complete
    }

    /// Returns the chunks that this box is fetching from the origin.
    pub fn origin_fetches(&self) -> Vec<u32> {
        let fetches = self.fetches.values();
        let from_origin = fetches.filter(|fetch| fetch.source == Source::Origin);
        from_origin.map(|fetch| fetch.chunk).collect()
    }

    /// Returns the chunks that responsive peers are fetching from the origin, except those that
    /// take too long.
    fn claimed(&self, now: Time) -> Vec<u32> {
        if !self.setting.claims {
            return Vec::new();
        }
        let peers = self.peers.values();
        let responsive =
            peers.filter(|peer| now.since(peer.last_heard) < self.setting.peer_timeout);
        let claims = responsive.flat_map(|peer| &peer.claims);
        let recent =
            claims.filter(|claim| now.since(claim.since) < self.setting.origin_stall_timeout);
        recent.map(|claim| claim.chunk).collect()
    }

    /// Returns the chunk that this box should fetch from the origin now.
    fn next_origin_chunk(&mut self, now: Time) -> Option<u32> {
        let claimed = self.claimed(now);
        let unseen: Vec<u32> = (0..self.have.len())
            .filter(|&chunk| {
                !self.have.get(chunk) && self.in_flight[chunk] == 0 && self.rarity[chunk] == 0
            })
            .map(|chunk| chunk as u32)
            .filter(|chunk| !claimed.contains(chunk))
            .collect();
        if unseen.is_empty() {
            return None;
        }
        if let Some(chunk) = self.next_sponsored_chunk(&unseen, now) {
            return Some(chunk);
        }
        self.substituting |= self.should_substitute(now);
        let any = self.rng.random_range(0..unseen.len());
        self.substituting.then(|| unseen[any])
    }

    /// Whether this box should fetch in place of sponsors, because no new chunk was seen for long.
    fn should_substitute(&self, now: Time) -> bool {
        let idle = now.since(self.last_new_chunk).as_millis();
        let ranks = ring::substitute_count(idle / self.sponsor_wait().as_millis().max(1));
        let rank = || ring::substitute_rank(self.version, &self.own, &self.members, &self.relays);
        ranks > 0 && rank() < ranks
    }

    /// Returns the chunk that this box should fetch as a sponsor: the next one of its own share, or
    /// else, of the chunks that it may take over, the one that its sponsor would fetch last.
    fn next_sponsored_chunk(&mut self, unseen: &[u32], now: Time) -> Option<u32> {
        let active = self.active_sponsors(now);
        if !active.contains(&&*self.own.name) {
            return None;
        }
        let regular = &self.sponsors[..self.sponsors.len().min(self.setting.sponsors)];
        let place = |chunk: u32| {
            let order = ring::fetch_order(self.version, chunk, regular, &active);
            order.iter().position(|name| *name == &*self.own.name)
        };
        let count = self.have.len();
        let first = if self.setting.staggered_order {
            ring::first_chunk(self.version, &self.own.name, count)
        } else {
            0
        };
        let (before, after) = unseen.split_at(unseen.partition_point(|&chunk| chunk < first));
        let mut order = after.iter().chain(before).copied();
        if let Some(own) = order.find(|&chunk| place(chunk) == Some(0)) {
            self.share_fetched_at = None;
            return Some(own);
        }
        let since = now.since(self.share_fetched_at.unwrap_or(now)).as_millis();
        let reach = since / self.setting.takeover_interval.as_millis().max(1);
        let within = |chunk: &u32| place(*chunk).is_some_and(|place| place as u128 <= reach);
        let last = |chunk: &u32| {
            let sponsor = ring::fetch_order(self.version, *chunk, regular, &active);
            sponsor
                .first()
                .map(|name| ring::fetch_index(self.version, *chunk, name, count))
        };
        let taken = unseen.iter().copied().filter(within).max_by_key(last);
        self.share_fetched_at = self.share_fetched_at.or(Some(now));
        taken
    }

    /// Returns how long unseen chunks are left to their sponsors after the last new one was seen.
    fn sponsor_wait(&self) -> Duration {
        let at_origin = self
            .mean_origin_fetch_time
            .unwrap_or(self.setting.origin_fetch_time);
        let mean = self.mean_fetch_time.unwrap_or_default().max(at_origin);
        let fetches = mean * self.setting.sponsor_wait_fetches;
        self.setting.sponsor_wait.max(fetches)
    }

    /// Returns the active sponsors as far as this box knows. Empty if it is no sponsor itself.
    fn active_sponsors(&self, now: Time) -> Vec<&str> {
        if !self.sponsors.contains(&self.own.name) {
            return Vec::new();
        }
        let grace = now.since(self.started) < self.setting.peer_timeout;
        self.sponsors
            .iter()
            .filter(|name| **name == self.own.name || grace || self.is_responsive(name, now))
            .take(self.setting.sponsors)
            .map(|name| &**name)
            .collect()
    }
}
