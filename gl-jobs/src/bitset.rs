//! A compact set of task numbers.

/// The number of members that one word of the set can hold.
const WORD_BITS: u32 = u64::BITS;

/// A set of small numbers, stored as a bitmap.
#[gl_derive::domain]
#[derive(Default, Eq)]
pub struct BitSet {
    words: Vec<u64>,
}

impl BitSet {
    /// Returns whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.words
            .get((n / WORD_BITS) as usize)
            .is_some_and(|word| word & (1 << (n % WORD_BITS)) != 0)
    }

    /// Adds `n`, and returns whether it was absent before.
    pub fn insert(&mut self, n: u32) -> bool {
        let word = (n / WORD_BITS) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let is_new = !self.contains(n);
        self.words[word] |= 1 << (n % WORD_BITS);
        is_new
    }

    /// Returns the number of members.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }
}
