//! A small set of task numbers.

/// The numbers that one word of the set holds.
const WORD_BITS: u32 = u64::BITS;

/// A set of numbers that is stored as words of bits.
#[gl_derive::domain]
#[derive(Default, Eq)]
pub struct BitSet {
    words: Vec<u64>,
}

impl BitSet {
    /// Whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.words
            .get((n / WORD_BITS) as usize)
            .is_some_and(|word| word & (1 << (n % WORD_BITS)) != 0)
    }

    /// Adds `n` and returns whether it is new.
    pub fn insert(&mut self, n: u32) -> bool {
        let word = (n / WORD_BITS) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let is_new = !self.contains(n);
        self.words[word] |= 1 << (n % WORD_BITS);
        is_new
    }

    /// How many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }
}
