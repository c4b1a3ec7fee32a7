//! 64-bit hashes that are the same in every process.

/// The hash of `parts`, in which the boundaries between the parts count.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    with_prefix(&[], parts)
}

/// The hash of `prefix` and `parts`. The prefix must always have the same length.
pub fn with_prefix<'a>(prefix: &[u8], parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    truncate(&hasher.finalize())
}

/// The first 64 bits of `hash`, in little-endian order.
pub fn truncate(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
