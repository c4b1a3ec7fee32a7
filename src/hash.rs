//! 64-bit hashes that come out the same at every process.

/// The hash of `parts`, which tells where each of them ends.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    with_prefix(&[], parts)
}

/// The hash of `parts` under `subject`, which always has the same length.
pub fn with_prefix<'a>(subject: &[u8], parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    truncate(&hasher.finalize())
}

/// The first word of `hash`.
pub fn truncate(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
