//! Follows the rows of jobs and cancellations that daemons store on behalf of clients.

use std::rc;

use gl_jobs::record;
use gl_model::time;
use gl_platform::cell as platform;

use super::{ownership, rows};
use crate::clock;

/// Interval at which changes of the work table are read, as a daemon's message about a stored row
/// may have been lost.
const CHANGE_FEED_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);

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
        ownership.store_clock_read(&changes, sent);
        ownership.apply_work(&changes.rows);
        ownership.feed_read.set(sent);
        ownership.feed_version.set(changes.version.max(after));
        ownership.is_stale.set(false);
        ownership.process_decisions();
    }
}

impl ownership::Ownership {
    /// Applies changed rows of the work table: jobs first, then cancellations. New jobs were stored
    /// after the last read of these rows was sent.
    fn apply_work(&self, work: &[platform::Row]) {
        let (after, moment) = (self.feed_read.get(), self.node.moment());
        let mut owner = self.owner.borrow_mut();
        let mut cancelled = Vec::new();
        for row in work.iter().filter_map(rows::read_work) {
            match row.work {
                record::Work::Job(job) => owner.add_job_after(row.id, *job, after, &moment),
                record::Work::Cancel => cancelled.push(row.id),
            }
        }
        for id in cancelled {
            owner.cancel_job(id, moment.now);
        }
    }
}
