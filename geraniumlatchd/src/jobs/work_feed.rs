//! Follows the rows of jobs and cancellations that daemons store on behalf of clients.

use std::rc;

use gl_jobs::record;
use gl_model::time;
use gl_platform::cell as platform;

use super::{cell_rows, ownership, rows};
use crate::clock;

/// Interval at which changes of the work table are read, as a daemon's message about a stored row
/// may have been lost.
const CHANGE_FEED_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);

/// The number of rows from which on a response may be cut off: a part of the store's limit of 500.
const COMPLETE_ROWS: usize = 250;
/// The length of the rows, in bytes, from which on it may be: a part of the limit of 1 MB.
const COMPLETE_BYTES: usize = 400_000;

/// Reads changes of the work table at an interval until the ownership ends.
pub async fn run(ownership: rc::Rc<ownership::Ownership>) {
    while !ownership.is_ended() {
        ntex::time::sleep(CHANGE_FEED_INTERVAL).await;
        let after = ownership.feed_version.get();
        let store = &ownership.node.platform.store;
        let sent = clock::steady();
        let changes = store.changes(rows::WORK, after, time::Span::ZERO).await;
        ownership.node.record_store_result(&changes, clock::steady());
        let changes = match changes {
            Err(platform::StoreError::Compacted { .. }) => ownership.read_work().await,
            other => other,
        };
        let Ok(changes) = changes else { continue };
        if ownership.has_new_jobs(&changes.rows) && !ownership.is_confirmed().await {
            continue;
        }
        ownership.store_clock_read(&changes, sent);
        ownership.apply_work(&changes.rows);
        if is_complete(&changes.rows) {
            ownership.owner().work_read(sent);
        }
        ownership.feed_read.set(sent);
        ownership.feed_version.set(changes.version.max(after));
        ownership.is_stale.set(false);
        ownership.process_decisions();
    }
}

/// Returns whether a response has all changes. The store cuts off long ones, and the rest follows with the
/// next read.
fn is_complete(rows: &[platform::Row]) -> bool {
    let bytes: usize = rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum();
    rows.len() < COMPLETE_ROWS && bytes < COMPLETE_BYTES
}

impl ownership::Ownership {
    fn has_new_jobs(&self, work: &[platform::Row]) -> bool {
        let owner = self.owner.borrow();
        let stored = work.iter().filter(|row| row.value.is_some());
        let mut ids = stored.filter_map(|row| row.name.split_once('/')?.0.parse().ok());
        ids.any(|id| !owner.has_job(id))
    }

    /// Returns whether no other daemon has claimed the cell until now. Jobs that were stored after a
    /// claim are the new owner's, which does not wait for an earlier one to notice the claim.
    pub(super) async fn is_confirmed(&self) -> bool {
        let read = self.node.platform.store.range(&rows::all_claims()).await;
        self.node.record_store_result(&read, clock::steady());
        let Ok(read) = read else {
            return false;
        };
        let owner = cell_rows::decode(&read.rows).owner;
        let is_own = owner.is_some_and(|owner| owner.version == self.token);
        if !is_own {
            self.step_down("another daemon claimed the cell");
        }
        is_own
    }

    /// Applies changed rows of the work table: jobs first, then cancellations. New jobs were stored
    /// after the last read of these rows was sent.
    fn apply_work(&self, work: &[platform::Row]) {
        let (after, moment) = (self.feed_read.get(), self.node.moment());
        let mut owner = self.owner.borrow_mut();
        let mut cancelled = Vec::new();
        for row in work.iter().filter_map(rows::read_work) {
            match row.work {
                record::Work::Job(job) => owner.add_read_job(row.id, *job, after, &moment),
                record::Work::Cancel => cancelled.push((row.id, row.version)),
            }
        }
        for (id, version) in cancelled {
            if owner.has_job(id) {
                owner.cancel_job(id, moment.now);
            } else {
                self.tombstones.add(id, version, moment.now);
            }
        }
    }
}
