//! Who follows whom during a burst, worked out by every box alone from the same list.
//!
//! Boxes stand on a ring in the order of a hash of version and name. A box follows the boxes at
//! fixed offsets, so that everyone is followed as often as it follows: a random choice leaves some
//! links with few customers, and an idle link is lost time. Sponsors are the first boxes by
//! rendezvous hashing.

use std::sync::Arc;

use crate::hash;
use crate::weight::Digest;

/// A box that takes part in a burst.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The box's name.
    pub name: Arc<str>,
    /// The data hall it stands in.
    pub hall: Arc<str>,
}

/// A 64-bit weight of `parts`, the same on every box.
pub fn score(version: Digest, parts: &[&[u8]]) -> u64 {
    hash::under(version.as_bytes(), parts.iter().copied())
}

/// The boxes at `count` offsets from `own` on the ring of `members`; fewer if the ring is short.
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

/// `count` different offsets in `1..=others`, spread over the ring with a jitter from the hash.
fn offsets(version: Digest, others: usize, count: usize) -> Vec<usize> {
    if others <= count {
        return (1..=others).collect();
    }
    (0..count)
        .map(|slot| {
            // Each offset is drawn from its own stretch of the ring, so no two are the same.
            let start = slot * others / count;
            let end = (slot + 1) * others / count;
            let jitter = score(version, &[b"offset", &(slot as u64).to_le_bytes()]);
            1 + start + (jitter % (end - start) as u64) as usize
        })
        .collect()
}

/// The peers that `own` follows: some in its hall, some anywhere, without repetition.
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

/// The members who draw from the origin: the relays if there are any, or else everyone.
pub fn drawing(members: &[Member], relays: &[Arc<str>]) -> Vec<Member> {
    let draws = |member: &&Member| relays.is_empty() || relays.contains(&member.name);
    members.iter().filter(draws).cloned().collect()
}

/// The first `count` boxes for a version by rendezvous hashing, best first.
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

/// The order in which the `active` of `sponsors` are to draw `chunk`: the first is to, each next one
/// steps in for those before it.
///
/// Chunks are dealt in rounds, each in another order of the sponsors, so that all draw equally
/// many: by a hash of each chunk alone one of eight sponsors drew 18 of 96 chunks, and everyone
/// waited for it.
pub fn drawers<'a>(
    version: Digest,
    chunk: u32,
    sponsors: &[Arc<str>],
    active: &[&'a str],
) -> Vec<&'a str> {
    let count = sponsors.len().max(1) as u32;
    let (round, place) = (chunk / count, chunk % count);
    let mut order: Vec<(u64, &str)> = sponsors
        .iter()
        .map(|name| {
            let parts: [&[u8]; 3] = [b"owner", &round.to_le_bytes(), name.as_bytes()];
            (score(version, &parts), &**name)
        })
        .collect();
    order.sort_unstable();
    if !order.is_empty() {
        order.rotate_left(place as usize);
    }
    order
        .into_iter()
        .filter_map(|(_, name)| active.iter().copied().find(|known| *known == name))
        .collect()
}

/// The chunk of `count` with which the sponsor `name` begins; the others follow in their order. Each
/// begins elsewhere: sponsors that do not know of each other yet would all draw the same chunks.
pub fn first_chunk(version: Digest, name: &str, count: usize) -> u32 {
    let count = count.max(1) as u64;
    (score(version, &[b"turn", name.as_bytes()]) % count) as u32
}

/// The place of `chunk` of `count` in the order in which the sponsor `name` draws.
pub fn turn(version: Digest, chunk: u32, name: &str, count: usize) -> u32 {
    let first = first_chunk(version, name, count);
    let count = count.max(1) as u32;
    (chunk + count - first) % count
}

/// How many boxes come before `own` to draw in place of sponsors that bring nothing: its rank in its
/// hall, where relays are first, and its hall's rank among the halls, so that a cut-off hall has a
/// first box of its own. It is one rank for all chunks: with one for each chunk every box is first
/// for some, and all of them draw from an origin that is merely away.
pub fn substitute_rank(
    version: Digest,
    own: &Member,
    members: &[Member],
    relays: &[Arc<str>],
) -> usize {
    let priority =
        |kind: &[u8], name: &str| score(version, &[b"substitute", kind, name.as_bytes()]);
    let place = |name: &Arc<str>| (relays.contains(name), priority(b"box", name));
    let own_place = place(&own.name);
    let in_hall = members
        .iter()
        .filter(|member| member.hall == own.hall && place(&member.name) > own_place)
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

/// Stretches of patience up to which each further substitute waits twice as long as the one before.
const DOUBLED: u128 = 8;

/// How many ranks of substitutes draw after a quiet of so many stretches of patience: one more each
/// time that the quiet doubles, and later with each eight stretches. An origin that is away for twelve
/// stretches is then found again by a few boxes of each hall, and not by all.
pub fn substitutes(stretches: u128) -> usize {
    if stretches < DOUBLED {
        return stretches
            .checked_ilog2()
            .map_or(0, |doublings| doublings as usize + 1);
    }
    (DOUBLED.ilog2() as u128 + stretches / DOUBLED) as usize
}

/// How many of the own hall come before `own` to draw `chunk` from another hall: relays first.
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

/// The first `count` of `candidates` for `own` by rendezvous hashing, so that each has about as many
/// followers as any other.
pub fn nearest<'a>(
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
