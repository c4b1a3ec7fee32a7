//! What a box draws from peers: which chunk next, and from which of its holders.

use rand::RngExt;

use super::{Action, PeerKey, Source, Swarm};
use crate::clock::Time;

impl Swarm {
    pub(super) fn fetch_from_peers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut room = self.setting.fetches_max.saturating_sub(self.fetches.len());
        if room == 0 {
            return;
        }
        let setting = self.setting;
        let order = self.rarest_first();
        // A holder with a free slot first, even of a commoner chunk: a link that idles now is time
        // lost, while a rare chunk whose holders are all busy is being copied anyway.
        let free = setting.upload_slots as u32;
        let queued = free + setting.upload_queue_max as u32;
        for load_max in [free, queued] {
            for &(_, _, chunk) in &order {
                if self.in_flight[chunk as usize] > 0 {
                    continue;
                }
                let Some(peer) = self.best_holder(chunk, load_max, now) else {
                    continue;
                };
                actions.push(self.begin(chunk, Source::Peer(peer), now));
                room -= 1;
                if room == 0 {
                    return;
                }
            }
        }
    }

    /// Chunks that can be drawn from a peer: rarest first, in random order among equals.
    fn rarest_first(&mut self) -> Vec<(u32, u32, u32)> {
        let mut order = Vec::new();
        for chunk in 0..self.have.len() {
            let missing = !self.have.get(chunk) && self.in_flight[chunk] == 0;
            if missing && self.rarity[chunk] > 0 {
                order.push((self.rarity[chunk], self.rng.random(), chunk as u32));
            }
        }
        order.sort_unstable();
        order
    }

    /// The holder of `chunk` with the least to do, if any has less than `load_max`.
    fn best_holder(&mut self, chunk: u32, load_max: u32, now: Time) -> Option<PeerKey> {
        let setting = self.setting;
        let import = self.may_import(chunk, now);
        let mut best: Option<(bool, bool, u32, u32, PeerKey)> = None;
        for (key, peer) in &self.peers {
            if !peer.near && !import {
                continue;
            }
            let load = peer.load.max(peer.fetches);
            let (fetches_max, load_max) = if peer.relay {
                (setting.fetches_max as u32, setting.relay_slots as u32)
            } else {
                (setting.peer_fetches_max as u32, load_max)
            };
            let eligible = peer.have.get(chunk as usize)
                && peer.fetches < fetches_max
                && peer.avoid_until <= now
                && now.since(peer.heard) < setting.peer_timeout
                && load < load_max;
            if !eligible {
                continue;
            }
            // Bytes between halls are dear where chunks are to enter a hall once.
            let far = setting.import_once && !peer.near;
            let candidate = (far, !peer.relay, load, self.rng.random(), key);
            if best.is_none_or(|known| candidate < known) {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, _, _, key)| key)
    }
}
