//! Finds out that a manifest was spoilt in transit: one of its chunks never matches, wherever it comes
//! from.
//!
//! A manifest that is not identified by its own digest can only be verified by the chunks that it
//! lists. Another copy of it then corrects the digests that no chunk has matched.

use std::collections::BTreeMap;

/// Mismatches of a chunk from which on its digest is doubted. A chunk that was spoilt itself usually
/// matches the next time.
const MISMATCHES_MIN: u32 = 2;

/// The mismatches of the chunks that a box lacks.
#[derive(Debug, Default)]
pub struct Doubts {
    mismatches: BTreeMap<u32, u32>,
}

impl Doubts {
    /// Records that a received copy of `chunk` did not match. Returns whether its digest is doubted.
    pub fn record(&mut self, chunk: u32) -> bool {
        let count = self.mismatches.entry(chunk).or_default();
        *count += 1;
        *count >= MISMATCHES_MIN
    }

    /// Records that `chunk` was stored, or that its digest was replaced.
    pub fn clear(&mut self, chunk: u32) {
        self.mismatches.remove(&chunk);
    }

    /// The chunks whose digests are doubted.
    pub fn doubted(&self) -> Vec<u32> {
        let doubted = self
            .mismatches
            .iter()
            .filter(|(_, count)| **count >= MISMATCHES_MIN);
        doubted.map(|(chunk, _)| *chunk).collect()
    }
}
