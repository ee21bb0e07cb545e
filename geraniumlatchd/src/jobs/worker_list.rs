//! Keeps the owner's list of workers up to date.

use std::rc;

use gl_model::time;
use gl_platform::cell as platform;

use super::{event, ownership::Ownership};
use crate::clock;

/// Interval at which changes of the list of workers are read. It is short compared with the time for
/// a drain, so that a draining worker soon gets no new tasks and a new worker is soon used.
const WORKER_LIST_INTERVAL: std::time::Duration = std::time::Duration::from_millis(300);
/// Interval at which the whole list of workers is read, in case a change was missed. The list of
/// hundreds of workers takes many pages, and no changes are read meanwhile.
const WHOLE_LIST_INTERVAL: time::Span = time::Span::seconds(60);

/// Reads the changes of the list of workers at an interval, and at times the whole list.
pub async fn run(ownership: rc::Rc<Ownership>) {
    let mut whole_at = clock::steady();
    while !ownership.is_ended() {
        let sent = clock::steady();
        if sent.since(whole_at) >= WHOLE_LIST_INTERVAL {
            ownership.list_version.set(None);
        }
        let version = ownership.list_version.get();
        let read = match version {
            Some(version) => ownership.read_worker_changes(version, sent).await,
            None => ownership.read_worker_list(sent).await,
        };
        match read {
            Ok(()) if version.is_none() => whole_at = sent,
            Err(platform::StoreError::Compacted { .. }) => {
                ownership.list_version.set(None);
                continue;
            }
            _ => {}
        }
        ntex::time::sleep(WORKER_LIST_INTERVAL).await;
    }
}

/// Logs an entry that cannot be decoded. It is read again only once it has changed, or with the whole
/// list.
fn log_unreadable(unreadable: Option<&platform::Unreadable>) {
    if let Some(platform::Unreadable { version, detail }) = unreadable {
        let detail = format!("version {version}: {detail}");
        event::emit(&event::Event::Unreadable { row: "worker", detail });
    }
}

impl Ownership {
    /// Reads the whole list of workers by a request sent at `sent`.
    async fn read_worker_list(
        self: &rc::Rc<Self>,
        sent: time::Timestamp,
    ) -> Result<(), platform::StoreError> {
        let list = self.node().platform.directory.workers().await;
        let now = clock::steady();
        self.node().record_store_result(&list, now);
        let list = list?;
        log_unreadable(list.unreadable.as_ref());
        self.owner().workers_listed(&list.workers, sent, now);
        self.list_version.set(Some(list.version));
        self.process_decisions();
        Ok(())
    }

    /// Reads the changes of the list of workers after `version` by a request sent at `sent`.
    async fn read_worker_changes(
        self: &rc::Rc<Self>,
        version: u64,
        sent: time::Timestamp,
    ) -> Result<(), platform::StoreError> {
        let update = self.node().platform.directory.workers_changed(version).await;
        let now = clock::steady();
        self.node().record_store_result(&update, now);
        let update = update?;
        log_unreadable(update.unreadable.as_ref());
        self.owner().workers_changed(&update.changes, sent, now);
        self.list_version.set(Some(update.version));
        self.process_decisions();
        Ok(())
    }
}
