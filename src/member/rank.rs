//! Ranks processes by rendezvous hashing, so that each determines without communication which of them
//! does a job for all.

use std::net::SocketAddr;

use crate::hash;

/// Number of `others` that rank before `own` for the job named `subject`: 0 for the process that does
/// it. If that one leaves, the next one takes over, and the relative order of the others is unchanged.
pub fn rank(own: SocketAddr, others: impl Iterator<Item = SocketAddr>, subject: &str) -> u32 {
    let own_weight = weight(own, subject);
    let higher = others.filter(|other| weight(*other, subject) > own_weight);
    higher.count() as u32
}

/// The weight of the process at `address` for `subject`: the same in every process, and distinct for each
/// address.
pub fn weight(address: SocketAddr, subject: &str) -> (u64, SocketAddr) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(address.to_string().as_bytes());
    hasher.update(subject.as_bytes());
    (hash::truncate(&hasher.finalize()), address)
}
