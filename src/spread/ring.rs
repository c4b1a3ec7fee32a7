//! Selection of peers and sponsors for a burst. Every box computes it locally from the same member
//! list.
//!
//! Boxes are placed on a ring in the order of a hash of version and name. A box follows the boxes
//! at fixed offsets, so that each box has as many followers as peers that it follows. A random
//! choice would leave some boxes with few followers, and their links idle. Sponsors are the first
//! boxes by rendezvous hashing.

use std::sync::Arc;

use crate::hash;
use crate::weight::Digest;

/// A box that participates in a burst.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the box.
    pub name: Arc<str>,
    /// Data hall of the box.
    pub hall: Arc<str>,
}

/// Returns a 64-bit hash of `version` and `parts`, which is the same on every box.
pub fn score(version: Digest, parts: &[&[u8]]) -> u64 {
    hash::with_prefix(version.as_bytes(), parts.iter().copied())
}

/// Returns the boxes at `count` offsets from `own` on the ring of `members`, or all others if
/// there are fewer.
fn at_offsets(version: Digest, own: &str, members: &[&Member], count: usize) -> Vec<Arc<str>> {
    let mut ring: Vec<(u64, &Member)> = members
        .iter()
        .map(|member| (score(version, &[b"ring", member.name.as_bytes()]), *member))
        .collect();
    ring.sort_unstable();
    let Some(position) = ring.iter().position(|(_, member)| &*member.name == own) else {
        return Vec::new();
    };
    let others = ring.len() - 1;
    offsets(version, others, count)
        .into_iter()
        .map(|offset| ring[(position + offset) % ring.len()].1.name.clone())
        .collect()
}

/// Returns `count` distinct offsets in `1..=others`, spread over the ring with jitter from the
/// hash.
fn offsets(version: Digest, others: usize, count: usize) -> Vec<usize> {
    if others <= count {
        return (1..=others).collect();
    }
    (0..count)
        .map(|slot| {
            // Each offset is taken from its own section of the ring, so no two are equal.
            let start = slot * others / count;
            let end = (slot + 1) * others / count;
            let jitter = score(version, &[b"offset", &(slot as u64).to_le_bytes()]);
            1 + start + (jitter % (end - start) as u64) as usize
        })
        .collect()
}

/// Returns the peers that `own` follows: some in its hall and some in the whole fleet, without
/// duplicates.
pub fn neighbours(
    version: Digest,
    own: &Member,
    members: &[Member],
    in_hall: usize,
    anywhere: usize,
) -> Vec<Arc<str>> {
    let hall: Vec<&Member> = members
        .iter()
        .filter(|member| member.hall == own.hall)
        .collect();
    let fleet: Vec<&Member> = members.iter().collect();
    let mut chosen = at_offsets(version, &own.name, &hall, in_hall);
    for name in at_offsets(version, &own.name, &fleet, anywhere) {
        if !chosen.contains(&name) {
            chosen.push(name);
        }
    }
    chosen
}

/// Returns the members that may fetch from the origin: the relays, or all members if there are no
/// relays.
pub fn origin_fetchers(members: &[Member], relays: &[Arc<str>]) -> Vec<Member> {
    let fetches = |member: &&Member| relays.is_empty() || relays.contains(&member.name);
    members.iter().filter(fetches).cloned().collect()
}

/// Returns the first `count` boxes for a version by rendezvous hashing, highest score first.
pub fn sponsors(version: Digest, members: &[Member], count: usize) -> Vec<Arc<str>> {
    let mut ranked: Vec<(u64, &Member)> = members
        .iter()
        .map(|member| {
            (
                score(version, &[b"sponsor", member.name.as_bytes()]),
                member,
            )
        })
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, member)| member.name.clone())
        .collect()
}

/// Returns the `active` ones of `sponsors` in the order in which they are responsible for `chunk`:
/// the first fetches it from the origin, each further one replaces those before it.
///
/// Chunks are assigned in rounds, with a different order of the sponsors in each, so that every
/// sponsor gets the same number. With an independent hash per chunk, one of eight sponsors got 18
/// of 96 chunks, and all boxes had to wait for it.
pub fn fetch_order<'a>(
    version: Digest,
    chunk: u32,
    sponsors: &[Arc<str>],
    active: &[&'a str],
) -> Vec<&'a str> {
    let count = sponsors.len().max(1) as u32;
    let (round, position) = (chunk / count, chunk % count);
    let mut order: Vec<(u64, &str)> = sponsors
        .iter()
        .map(|name| {
            let parts: [&[u8]; 3] = [b"owner", &round.to_le_bytes(), name.as_bytes()];
            (score(version, &parts), &**name)
        })
        .collect();
    order.sort_unstable();
    if !order.is_empty() {
        order.rotate_left(position as usize);
    }
    order
        .into_iter()
        .filter_map(|(_, name)| active.iter().copied().find(|known| *known == name))
        .collect()
}

/// Returns the chunk, out of `count`, with which the sponsor `name` starts; the others follow in
/// ascending order, wrapping around. Sponsors start at different chunks, because those that do not
/// know of each other yet would all fetch the same ones otherwise.
pub fn first_chunk(version: Digest, name: &str, count: usize) -> u32 {
    let count = count.max(1) as u64;
    (score(version, &[b"turn", name.as_bytes()]) % count) as u32
}

/// Returns the index of `chunk`, out of `count`, in the order in which the sponsor `name` fetches.
pub fn fetch_index(version: Digest, chunk: u32, name: &str, count: usize) -> u32 {
    let first = first_chunk(version, name, count);
    let count = count.max(1) as u32;
    (chunk + count - first) % count
}

/// Returns the rank of `own` among the boxes that fetch from the origin in place of sponsors that
/// deliver nothing. It is the sum of its rank in its hall, where relays come first, and the rank of
/// its hall, so that a partitioned hall has a first substitute of its own.
///
/// The rank is the same for all chunks. With one rank per chunk, every box would be first for some
/// chunk, and all of them would send requests to an origin that is only temporarily unavailable.
pub fn substitute_rank(
    version: Digest,
    own: &Member,
    members: &[Member],
    relays: &[Arc<str>],
) -> usize {
    let priority =
        |kind: &[u8], name: &str| score(version, &[b"substitute", kind, name.as_bytes()]);
    let rank_key = |name: &Arc<str>| (relays.contains(name), priority(b"box", name));
    let own_key = rank_key(&own.name);
    let in_hall = members
        .iter()
        .filter(|member| member.hall == own.hall && rank_key(&member.name) > own_key)
        .count();
    let hall_priority = priority(b"hall", &own.hall);
    let mut halls: Vec<&str> = members.iter().map(|member| &*member.hall).collect();
    halls.sort_unstable();
    halls.dedup();
    let among_halls = halls
        .into_iter()
        .filter(|hall| priority(b"hall", hall) > hall_priority)
        .count();
    in_hall + among_halls
}

/// Number of wait intervals up to which each further substitute waits twice as long as the one
/// before it.
const DOUBLING_INTERVALS: u128 = 8;

/// Returns how many ranks of substitutes fetch from the origin after no new chunk was seen for
/// `intervals` times as long as chunks are left to their sponsors: one more each time that this
/// number doubles, and from eight on one more per eight intervals. An origin that was unavailable
/// for twelve intervals is then retried by a few boxes of each hall instead of all.
pub fn substitute_count(intervals: u128) -> usize {
    if intervals < DOUBLING_INTERVALS {
        return intervals
            .checked_ilog2()
            .map_or(0, |doublings| doublings as usize + 1);
    }
    (DOUBLING_INTERVALS.ilog2() as u128 + intervals / DOUBLING_INTERVALS) as usize
}

/// Returns the rank of `own` among the boxes of its hall for fetching `chunk` from another hall.
/// Relays come first.
pub fn import_rank(
    version: Digest,
    chunk: u32,
    own: &Member,
    members: &[Member],
    relays: &[Arc<str>],
) -> usize {
    let chunk = chunk.to_le_bytes();
    let priority = |name: &Arc<str>| {
        let parts: [&[u8]; 3] = [b"import", &chunk, name.as_bytes()];
        (relays.contains(name), score(version, &parts))
    };
    let own_priority = priority(&own.name);
    members
        .iter()
        .filter(|member| member.hall == own.hall && member.name != own.name)
        .filter(|member| priority(&member.name) > own_priority)
        .count()
}

/// Returns the first `count` of `candidates` for `own` by rendezvous hashing, so that all
/// candidates have about the same number of followers.
pub fn select_peers<'a>(
    version: Digest,
    own: &str,
    candidates: impl Iterator<Item = &'a Member>,
    count: usize,
) -> Vec<Arc<str>> {
    let mut ranked: Vec<(u64, &Member)> = candidates
        .filter(|member| &*member.name != own)
        .map(|member| {
            let parts: [&[u8]; 3] = [b"nearest", own.as_bytes(), member.name.as_bytes()];
            (score(version, &parts), member)
        })
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, member)| member.name.clone()).collect()
}
