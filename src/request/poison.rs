//! Poison requests: those under which replica after replica ends.

use std::fmt;

/// What stays the same of a request whenever it comes, under whatever id and at whichever entry: its path, its caller and
/// its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(u64);

impl Name {
    /// The name of what `caller` asks for at `path` of `host` with `body`.
    pub fn of(host: &str, path: &str, caller: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [host.as_bytes(), path.as_bytes(), caller.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut word = [0; 8];
        word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(word))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
