//! A bitmap of chunk indices.

/// A bitmap of fixed length.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bitmap {
    words: Vec<u64>,
    length: usize,
    ones: usize,
}

/// Bits per word.
const WORD_BITS: usize = u64::BITS as usize;

impl Bitmap {
    /// Creates a bitmap of `length` clear bits.
    pub fn new(length: usize) -> Self {
        Self {
            words: vec![0; length.div_ceil(WORD_BITS)],
            length,
            ones: 0,
        }
    }

    /// Whether bit `index` is set. Bits beyond the length read as clear.
    pub fn get(&self, index: usize) -> bool {
        index < self.length && self.words[index / WORD_BITS] >> (index % WORD_BITS) & 1 == 1
    }

    /// Sets bit `index`. Returns whether it was clear. Bits beyond the length are ignored.
    pub fn set(&mut self, index: usize) -> bool {
        if index >= self.length || self.get(index) {
            return false;
        }
        self.words[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        self.ones += 1;
        true
    }

    /// Returns the number of set bits.
    pub fn count(&self) -> usize {
        self.ones
    }

    /// Returns the length in bits.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the length is 0.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether every bit is set.
    pub fn is_full(&self) -> bool {
        self.ones == self.length
    }

    /// Returns the indices of the set bits in ascending order.
    pub fn ones(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.length).filter(|&index| self.get(index))
    }
}
