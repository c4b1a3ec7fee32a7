//! Who of several processes does a job for all of them, worked out by each alone.

use std::net::SocketAddr;

use crate::hash;

/// How many of `others` come before `own` for the job that `subject` names, by rendezvous hashing:
/// 0 for the one that does it. When it goes, the next one is first; nobody else's place changes.
pub fn rank(own: SocketAddr, others: impl Iterator<Item = SocketAddr>, subject: &str) -> u32 {
    let own_weight = weight(own, subject);
    let before = others.filter(|other| weight(*other, subject) > own_weight);
    before.count() as u32
}

/// The weight of the process at `address` for `subject`, the same everywhere; no two are equal.
pub fn weight(address: SocketAddr, subject: &str) -> (u64, SocketAddr) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(address.to_string().as_bytes());
    hasher.update(subject.as_bytes());
    (hash::word(&hasher.finalize()), address)
}
