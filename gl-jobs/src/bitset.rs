//! A compact set of task numbers.

use std::ops;

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

    /// Adds the members of another set.
    pub fn insert_all(&mut self, other: &Self) {
        self.words.resize(self.words.len().max(other.words.len()), 0);
        for (word, added) in self.words.iter_mut().zip(&other.words) {
            *word |= added;
        }
    }

    /// Returns the members in a range.
    pub fn members(&self, range: ops::Range<u32>) -> impl Iterator<Item = u32> {
        let words = u32::try_from(self.words.len()).unwrap_or(u32::MAX);
        let end = range.end.min(words.saturating_mul(WORD_BITS));
        (range.start..end).filter(|n| self.contains(*n))
    }

    /// Returns whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Returns the number of members.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }
}
