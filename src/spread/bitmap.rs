//! A set of chunk indices, one bit each.

/// A fixed-length set of bits.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bitmap {
    words: Vec<u64>,
    length: usize,
    ones: usize,
}

/// Bits in a word.
const WORD: usize = u64::BITS as usize;

impl Bitmap {
    /// `length` bits, all clear.
    pub fn new(length: usize) -> Self {
        Self {
            words: vec![0; length.div_ceil(WORD)],
            length,
            ones: 0,
        }
    }

    /// Whether bit `index` is set. Bits beyond the length are clear.
    pub fn get(&self, index: usize) -> bool {
        index < self.length && self.words[index / WORD] >> (index % WORD) & 1 == 1
    }

    /// Sets bit `index`. Returns whether it was clear; bits beyond the length are ignored.
    pub fn set(&mut self, index: usize) -> bool {
        if index >= self.length || self.get(index) {
            return false;
        }
        self.words[index / WORD] |= 1 << (index % WORD);
        self.ones += 1;
        true
    }

    /// Bits that are set.
    pub fn count(&self) -> usize {
        self.ones
    }

    /// Bits in all.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bits at all.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether every bit is set.
    pub fn full(&self) -> bool {
        self.ones == self.length
    }

    /// The bits that are set, ascending.
    pub fn ones(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.length).filter(|&index| self.get(index))
    }
}
