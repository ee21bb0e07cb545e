//! Tombstones: cancellations of jobs that are not stored. A write of such a job whose reply was lost may
//! still be on its way, and a repeated submission may follow; both are refused while the tombstone is
//! stored. Tombstones are removed after some time, and their number is limited.

use std::collections;

use gl_model::time;

use crate::task;

/// The time for which a tombstone is kept. Late writes take some seconds, and clients repeat a submission
/// for less than a minute.
pub const RETENTION: time::Span = time::Span::seconds(60);
/// The largest number of tombstones. A new owner reads all of them before it starts anything.
pub const LIMIT: usize = 2_000;

/// A stored tombstone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Tombstone {
    /// The version of its row.
    version: u64,
    /// The time at which the owner stored or read it.
    since: time::Timestamp,
}

/// The stored tombstones of a cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tombstones {
    rows: collections::BTreeMap<task::JobId, Tombstone>,
}

impl Tombstones {
    /// Returns how many more tombstones may be stored.
    pub fn room(&self) -> usize {
        LIMIT.saturating_sub(self.rows.len())
    }

    /// Returns whether a job has a tombstone.
    pub fn contains(&self, id: task::JobId) -> bool {
        self.rows.contains_key(&id)
    }

    /// Adds a stored tombstone. One that is known keeps its time, as each tombstone has an end.
    pub fn add(&mut self, id: task::JobId, version: u64, now: time::Timestamp) {
        let row = self.rows.entry(id).or_insert(Tombstone { version, since: now });
        row.version = version;
    }

    /// Returns the tombstones to remove, at most `limit` of those that `is_together` accepts, with the
    /// versions of their rows.
    pub fn expired(
        &self,
        limit: usize,
        is_together: impl Fn(task::JobId) -> bool,
        now: time::Timestamp,
    ) -> Vec<(task::JobId, u64)> {
        let is_expired = |(id, row): &(&task::JobId, &Tombstone)| {
            now.since(row.since) >= RETENTION && is_together(**id)
        };
        let expired = self.rows.iter().filter(is_expired).take(limit);
        expired.map(|(id, row)| (*id, row.version)).collect()
    }

    /// Forgets a tombstone whose row was removed, or is not this version any more.
    pub fn remove(&mut self, id: task::JobId) {
        self.rows.remove(&id);
    }
}
