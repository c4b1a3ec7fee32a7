//! What a box draws from the origin: its part as a sponsor, what other sponsors leave, and what nobody brings.

use std::time::Duration;

use rand::RngExt;

use super::{Action, Source, Swarm};
use crate::clock::Time;
use crate::spread::ring;

impl Swarm {
    pub(super) fn fetch_from_origin(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.origin_pause_until || self.settling(now) {
            return;
        }
        let drawing = self
            .fetches
            .values()
            .filter(|fetch| fetch.source == Source::Origin)
            .count();
        if drawing >= self.setting.origin_fetches_max {
            return;
        }
        if let Some(chunk) = self.origin_chunk(now) {
            actions.push(self.begin(chunk, Source::Origin, now));
        }
    }

    /// Whether peers may still tell of chunks that the box would draw from the origin otherwise.
    fn settling(&self, now: Time) -> bool {
        let settle = self.setting.settle;
        let heard = !self.setting.settle_fully && self.peers.len() >= self.regular_peers().len();
        now.since(self.began) < settle && !heard
    }

    /// Chunks that are being drawn from the origin.
    pub fn drawing(&self) -> Vec<u32> {
        let fetches = self.fetches.values();
        let drawn = fetches.filter(|fetch| fetch.source == Source::Origin);
        drawn.map(|fetch| fetch.chunk).collect()
    }

    /// Chunks that a peer in reach is drawing from the origin. One that takes too long is left out.
    fn claimed(&self, now: Time) -> Vec<u32> {
        if !self.setting.claims {
            return Vec::new();
        }
        let speaking = self.peers.values();
        let speaking = speaking.filter(|peer| now.since(peer.heard) < self.setting.peer_timeout);
        let claims = speaking.flat_map(|peer| &peer.drawing);
        let young = claims.filter(|claim| now.since(claim.since) < self.setting.origin_stall);
        young.map(|claim| claim.chunk).collect()
    }

    /// The chunk that this box should draw from the origin now.
    fn origin_chunk(&mut self, now: Time) -> Option<u32> {
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
        if let Some(chunk) = self.sponsored_chunk(&unseen, now) {
            return Some(chunk);
        }
        self.stands_in |= self.steps_in(now);
        let any = self.rng.random_range(0..unseen.len());
        self.stands_in.then(|| unseen[any])
    }

    /// Whether this box is to draw in place of sponsors from which nothing has come for long.
    fn steps_in(&self, now: Time) -> bool {
        let quiet = now.since(self.new_seen).as_millis();
        let ranks = ring::substitutes(quiet / self.sponsor_wait().as_millis().max(1));
        let rank = || ring::substitute_rank(self.version, &self.own, &self.members, &self.relays);
        ranks > 0 && rank() < ranks
    }

    /// The chunk that this box should draw as a sponsor: one of its own part in its own order, or
    /// else the one that its sponsor comes to last.
    fn sponsored_chunk(&mut self, unseen: &[u32], now: Time) -> Option<u32> {
        let active = self.active_sponsors(now);
        if !active.contains(&&*self.own.name) {
            return None;
        }
        let regular = &self.sponsors[..self.sponsors.len().min(self.setting.sponsors)];
        let place = |chunk: u32| {
            let order = ring::drawers(self.version, chunk, regular, &active);
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
            self.drawn_since = None;
            return Some(own);
        }
        let since = now.since(self.drawn_since.unwrap_or(now)).as_millis();
        let reach = since / self.setting.takeover_interval.as_millis().max(1);
        let within = |chunk: &u32| place(*chunk).is_some_and(|place| place as u128 <= reach);
        let last = |chunk: &u32| {
            let sponsor = ring::drawers(self.version, *chunk, regular, &active);
            sponsor
                .first()
                .map(|name| ring::turn(self.version, *chunk, name, count))
        };
        let taken = unseen.iter().copied().filter(within).max_by_key(last);
        self.drawn_since = self.drawn_since.or(Some(now));
        taken
    }

    /// How long unseen chunks are left to their sponsors after the last new one was seen.
    fn sponsor_wait(&self) -> Duration {
        let at_origin = self.usual_at_origin.unwrap_or(self.setting.origin_fetch);
        let usual = self.usual.unwrap_or_default().max(at_origin);
        let fetches = usual * self.setting.sponsor_wait_fetches;
        self.setting.sponsor_wait.max(fetches)
    }

    /// The sponsors on duty as far as this box, if a sponsor itself, can tell.
    fn active_sponsors(&self, now: Time) -> Vec<&str> {
        if !self.sponsors.contains(&self.own.name) {
            return Vec::new();
        }
        let grace = now.since(self.began) < self.setting.peer_timeout;
        self.sponsors
            .iter()
            .filter(|name| **name == self.own.name || grace || self.heard_from(name, now))
            .take(self.setting.sponsors)
            .map(|name| &**name)
            .collect()
    }
}
