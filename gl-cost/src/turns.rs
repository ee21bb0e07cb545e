//! Turns: jobs that are served by right, at a fixed rate beside those that are served by cost.

use std::collections;

/// The number of the newest jobs of a queue whose work is kept, to find its largest tenth. With 100,
/// the share of jobs that count as large varied between 7% and 13%.
const KEPT_SIZES: usize = 200;
/// The number of kept jobs below which none counts as large.
const MIN_SIZES: usize = 10;
/// The share of a queue's jobs that count as large.
const LARGE_SHARE: usize = 10;

/// A counter that grants one turn for each `period` jobs that were served, the first one at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    period: u64,
    served: u64,
    granted: u64,
}

impl Turns {
    /// Creates a counter that has counted nothing.
    pub const fn new(period: u64) -> Self {
        Self { period, served: 0, granted: 0 }
    }

    /// Counts a served job.
    pub const fn served(&mut self) {
        self.served += 1;
    }

    /// Returns whether a turn is due.
    pub const fn is_due(&self) -> bool {
        self.granted * self.period <= self.served
    }

    /// Counts a turn, or a job that was served without one and needs none any more. At most one turn
    /// is counted in advance, so that jobs that were served well are not neglected for long later.
    pub const fn grant(&mut self) {
        if self.granted <= self.served / self.period {
            self.granted += 1;
        }
    }

    /// Drops the turns that are due but for one, as no job waits for them.
    pub const fn forfeit(&mut self) {
        let due = self.served / self.period;
        if self.granted < due {
            self.granted = due;
        }
    }
}

/// The work of the newest jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sizes {
    newest: collections::VecDeque<f64>,
    /// The smallest work of a large job.
    threshold: Option<f64>,
}

impl Sizes {
    /// Records a job.
    pub fn add(&mut self, work: f64) {
        if self.newest.len() >= KEPT_SIZES {
            self.newest.pop_front();
        }
        self.newest.push_back(work);
        self.threshold = self.find_threshold();
    }

    /// Returns whether a job is in the largest tenth.
    pub fn is_large(&self, work: f64) -> bool {
        self.threshold.is_some_and(|threshold| work >= threshold)
    }

    /// Returns the share of the kept jobs that have less work than this; `None` if too few are kept.
    pub fn rank(&self, work: f64) -> Option<f64> {
        let smaller = self.newest.iter().filter(|other| **other < work).count();
        (self.newest.len() >= MIN_SIZES).then(|| smaller as f64 / self.newest.len() as f64)
    }

    fn find_threshold(&self) -> Option<f64> {
        if self.newest.len() < MIN_SIZES {
            return None;
        }
        let mut sorted: Vec<_> = self.newest.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() - sorted.len() / LARGE_SHARE).copied()
    }
}
