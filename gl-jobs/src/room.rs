//! How many more jobs the daemons of a cell may accept, by the memory of the owner that keeps them.

/// The part of the memory for jobs that is kept for small ones, as a divisor.
const RESERVE_SHARE: usize = 8;
/// The largest job that counts as small, in bytes.
const SMALL_JOB_BYTES: usize = 8 << 10;
/// The part of the memory for jobs that a daemon may fill before it first hears of an owner's, as a
/// divisor: as many daemons may accept jobs for an owner that is not known yet.
const UNKNOWN_SHARE: usize = 64;

/// The memory that the owner of a cell has for jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// The memory for all jobs, in bytes.
    pub limit: usize,
    /// The memory of its present jobs, in bytes.
    pub used: usize,
}

impl Room {
    /// Returns whether a job of `bytes` bytes may be accepted. An owner without jobs accepts any that its
    /// memory holds.
    pub const fn admits(&self, bytes: usize) -> bool {
        let reserve = if bytes <= SMALL_JOB_BYTES { 0 } else { self.limit / RESERVE_SHARE };
        self.used.saturating_add(bytes) <= self.limit - reserve
    }

    /// Returns whether a job of `bytes` bytes may ever be accepted.
    pub const fn holds(&self, bytes: usize) -> bool {
        Self { used: 0, ..*self }.admits(bytes)
    }

    /// Returns what each of `daemons` daemons may accept without asking the owner, in bytes. The part for
    /// small jobs is not included.
    pub const fn share(&self, daemons: usize) -> usize {
        let left = (self.limit - self.limit / RESERVE_SHARE).saturating_sub(self.used);
        left / if daemons > 0 { daemons } else { 1 }
    }

    /// Returns what a daemon with `limit` bytes for jobs may accept before it hears of an owner.
    pub const fn initial_share(limit: usize) -> usize {
        limit / UNKNOWN_SHARE
    }
}
