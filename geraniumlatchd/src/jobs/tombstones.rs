//! Stores and removes the tombstones of cancelled jobs that are not stored. Only the owner does, so that
//! their number and the calls for them are limited, however many such cancellations clients send.

use std::{cell, collections, rc};

use gl_jobs::{record, task, tombstones};
use gl_model::time;
use gl_platform::cell as platform;
use tokio::sync::{Notify, oneshot};

use super::{ownership, rows};
use crate::clock;

/// The shortest time between two calls for tombstones.
const CALL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
/// The interval at which expired tombstones are removed.
const REMOVAL_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
/// The largest number of tombstones in a call, each with two entries of the store's limit of 100.
const MAX_GROUP: usize = 45;
/// The largest number of cancellations that wait.
const MAX_WAITING: usize = 200;

/// The answer to a cancellation of a job that was not found.
#[gl_derive::tag]
pub enum Verdict {
    /// The job is not stored, and will not be for some time.
    Absent,
    /// The job may be stored, or has been meanwhile.
    Unsettled,
    /// Too many cancellations of such jobs are waiting or stored.
    Refused,
}

/// A cancellation that waits for its tombstone.
struct Waiting {
    id: task::JobId,
    reply: oneshot::Sender<Verdict>,
}

/// The tombstones of a cell, and the cancellations that wait for theirs.
#[derive(Default)]
pub struct Queue {
    stored: cell::RefCell<tombstones::Tombstones>,
    waiting: cell::RefCell<Vec<Waiting>>,
    wake: Notify,
}

impl Queue {
    /// Adds a stored tombstone.
    pub fn add(&self, id: task::JobId, version: u64, now: time::Timestamp) {
        self.stored.borrow_mut().add(id, version, now);
    }

    /// Stores a tombstone, unless the job is stored.
    pub async fn store(&self, id: task::JobId) -> Verdict {
        if self.stored.borrow().contains(id) {
            return Verdict::Absent;
        }
        let receiver = {
            let mut waiting = self.waiting.borrow_mut();
            if waiting.len() >= MAX_WAITING.min(self.stored.borrow().room()) {
                return Verdict::Refused;
            }
            let (reply, receiver) = oneshot::channel();
            waiting.push(Waiting { id, reply });
            receiver
        };
        self.wake.notify_one();
        receiver.await.unwrap_or(Verdict::Unsettled)
    }

    /// Removes the cancellations of the next call from the queue: those of one partition.
    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let Some(partition) = waiting.first().map(|first| rows::work_partition(first.id)) else {
            return Vec::new();
        };
        let mut ids = collections::BTreeSet::new();
        let is_together = |entry: &mut Waiting| {
            let has_room = ids.len() < MAX_GROUP || ids.contains(&entry.id);
            let is_taken = has_room && rows::work_partition(entry.id) == partition;
            if is_taken {
                ids.insert(entry.id);
            }
            is_taken
        };
        waiting.extract_if(.., is_together).collect()
    }
}

/// Stores and removes tombstones until the ownership ends.
pub async fn run(ownership: rc::Rc<ownership::Ownership>) {
    while !ownership.is_ended() {
        // The next round follows both a cancellation and the time-out.
        let _ = ntex::time::timeout(REMOVAL_INTERVAL, ownership.tombstones.wake.notified()).await;
        loop {
            let group = ownership.tombstones.take();
            if group.is_empty() || ownership.is_ended() {
                break;
            }
            store(&ownership, group).await;
            ntex::time::sleep(CALL_INTERVAL).await;
        }
        remove_expired(&ownership).await;
    }
    // Their callers get to know that the outcome is open.
    ownership.tombstones.waiting.take();
}

/// Stores tombstones, provided that none of their jobs is stored.
async fn store(ownership: &ownership::Ownership, group: Vec<Waiting>) {
    let Ok(value) = record::encode("cancellation", &record::Work::Cancel) else {
        return;
    };
    let ids: collections::BTreeSet<_> = group.iter().map(|entry| entry.id).collect();
    let absent = |id: &task::JobId| platform::Check { key: rows::job(*id), version: 0 };
    let row = |id: &task::JobId| platform::Write { key: rows::cancel(*id), value: value.clone() };
    let txn = platform::Transaction {
        checks: ids.iter().map(absent).collect(),
        writes: ids.iter().map(row).collect(),
        removals: Vec::new(),
    };
    let result = ownership.node().platform.store.transact(&txn).await;
    let now = clock::steady();
    ownership.node().record_store_result(&result, now);
    let verdict = match result {
        Ok(platform::Outcome::Committed(version)) => {
            ids.iter().for_each(|id| ownership.tombstones.add(*id, version, now));
            Verdict::Absent
        }
        Ok(platform::Outcome::Conflict(_)) | Err(_) => Verdict::Unsettled,
    };
    for entry in group {
        // The send fails if the client's request was dropped, and then nobody needs the verdict.
        let _ = entry.reply.send(verdict);
    }
}

/// Removes expired tombstones, one call for each partition that has any. Each removal checks the version
/// of its row: a call that the store carries out late must not remove a later cancellation.
async fn remove_expired(ownership: &ownership::Ownership) {
    for partition in 0..rows::WORK_PARTITIONS.len() {
        let is_together = |id| rows::work_partition(id) == partition;
        let now = clock::steady();
        let expired = ownership.tombstones.stored.borrow().expired(MAX_GROUP, is_together, now);
        if expired.is_empty() || ownership.is_ended() {
            continue;
        }
        let check = |(id, version): &(task::JobId, u64)| platform::Check {
            key: rows::cancel(*id),
            version: *version,
        };
        let txn = platform::Transaction {
            checks: expired.iter().map(check).collect(),
            writes: Vec::new(),
            removals: expired.iter().map(|(id, _)| rows::cancel(*id)).collect(),
        };
        let result = ownership.node().platform.store.transact(&txn).await;
        ownership.node().record_store_result(&result, clock::steady());
        let mut stored = ownership.tombstones.stored.borrow_mut();
        match result {
            Ok(platform::Outcome::Committed(_)) => {
                expired.iter().for_each(|(id, _)| stored.remove(*id));
            }
            Ok(platform::Outcome::Conflict(found)) => {
                let is_unchanged = |(id, version): &&(task::JobId, u64)| {
                    let name = rows::cancel(*id).name;
                    found.iter().any(|f| f.row.name == name && f.row.version == *version)
                };
                let changed = expired.iter().filter(|entry| !is_unchanged(entry));
                changed.for_each(|(id, _)| stored.remove(*id));
            }
            Err(_) => {}
        }
    }
}
