//! Stores what has been decided, one transaction after the other.

use std::rc;

use gl_jobs::{owner, record};
use gl_platform::cell as platform;

use super::{event, reign, rows};
use crate::clock;

/// How long a commit waits for more to store with it, if no client waits for it.
const GATHER: std::time::Duration = std::time::Duration::from_millis(20);
/// The pause after a failure.
const RETRY: std::time::Duration = std::time::Duration::from_millis(60);

/// Commits until the reign is over.
pub async fn run(reign: rc::Rc<reign::Reign>) {
    let mut log = Log { number: 0, version: reign.fence_version() };
    while !reign.is_over() {
        reign.commit_wake.notified().await;
        if !reign.owner().has_urgent_commit() {
            gather(&reign).await;
        }
        let commit = reign.owner().next_commit(clock::steady());
        if let Some(commit) = commit {
            log.store(&reign, &commit).await;
            reign.settle();
        }
        reign.committed.notify_waiters();
    }
}

/// Waits until something urgent comes or enough time has passed.
async fn gather(reign: &reign::Reign) {
    let waited = ntex::time::timeout(GATHER, async {
        while !reign.owner().has_urgent_commit() && !reign.is_over() {
            reign.commit_wake.notified().await;
        }
    });
    // Both ends lead to the commit.
    let _ = waited.await;
}

/// The commits of one owner: each one checks the row that the one before wrote, so that a call
/// that the store carries out late can't undo a later one.
struct Log {
    number: u64,
    version: u64,
}

/// How a try to commit ended.
enum Tried {
    Stored(u64),
    Again(String),
    Deposed,
}

impl Log {
    /// Removes the jobs' own rows before their progress: progress without a job is swept later,
    /// a job without progress would run again.
    async fn remove_work(reign: &reign::Reign, commit: &owner::Commit) -> bool {
        for id in &commit.removed_jobs {
            let removals = vec![rows::job(*id), rows::cancel(*id)];
            let txn = platform::Transaction { removals, ..platform::Transaction::default() };
            let result = reign.node().platform.store.transact(&txn).await;
            reign.node().note_store(&result, clock::steady());
            if result.is_err() {
                return false;
            }
        }
        true
    }

    /// Tries until the commit is stored or the reign is over.
    async fn store(&mut self, reign: &reign::Reign, commit: &owner::Commit) {
        if !Self::remove_work(reign, commit).await {
            reign.owner().commit_failed(commit);
            return;
        }
        self.number += 1;
        let txn = match self.transaction(reign.token(), commit) {
            Ok(txn) => txn,
            Err(error) => {
                let detail = error.to_string();
                event::emit(&event::Event::CommitRetried { number: self.number, detail });
                reign.owner().commit_failed(commit);
                return;
            }
        };
        let mut tries = 0;
        while !reign.is_over() {
            tries += 1;
            match self.attempt(reign, &txn).await {
                Tried::Stored(version) => {
                    self.version = version;
                    reign.owner().committed(commit);
                    return;
                }
                Tried::Again(detail) => {
                    if tries == 1 {
                        event::emit(&event::Event::CommitRetried { number: self.number, detail });
                    }
                    ntex::time::sleep(RETRY).await;
                }
                Tried::Deposed => return reign.step_down("another daemon claimed the cell"),
            }
        }
    }

    async fn attempt(&self, reign: &reign::Reign, txn: &platform::Transaction) -> Tried {
        let result = reign.node().platform.store.transact(txn).await;
        reign.node().note_store(&result, clock::steady());
        match result {
            Ok(platform::Outcome::Committed(version)) => Tried::Stored(version),
            Ok(platform::Outcome::Conflict(found)) => self.judge(reign.token(), &found),
            Err(error) => Tried::Again(error.to_string()),
        }
    }

    /// An earlier try whose answer was lost may have been carried out.
    fn judge(&self, token: u64, found: &[platform::TableRow]) -> Tried {
        let own = found.iter().find(|f| f.row.name == rows::COMMIT).and_then(|f| {
            let value = f.row.value.as_deref()?;
            let last: record::Commit = record::decode("commit", value).ok()?;
            let is_own = last == record::Commit { token, number: self.number };
            is_own.then_some(f.row.version)
        });
        own.map_or(Tried::Deposed, Tried::Stored)
    }

    fn transaction(
        &self,
        token: u64,
        commit: &owner::Commit,
    ) -> Result<platform::Transaction, record::Error> {
        let mut writes = Vec::new();
        for row in &commit.rows {
            let value = record::encode("progress", &row.progress)?;
            writes.push(platform::Write { key: rows::progress(row.job), value });
        }
        for entry in &commit.enrolled {
            let value = record::encode("worker", entry)?;
            writes.push(platform::Write { key: rows::enrolled(&entry.id), value });
        }
        if let Some(learnt) = &commit.model {
            let value = record::encode("learnt", learnt)?;
            writes.push(platform::Write { key: rows::learnt(), value });
        }
        let last = record::Commit { token, number: self.number };
        let value = record::encode("commit", &last)?;
        writes.push(platform::Write { key: rows::last_commit(), value });
        let removals = commit.removed_jobs.iter().map(|id| rows::progress(*id));
        Ok(platform::Transaction {
            checks: vec![platform::Check { key: rows::last_commit(), version: self.version }],
            writes,
            removals: removals.chain(commit.removed_workers.iter().map(rows::enrolled)).collect(),
        })
    }
}

/// Fences earlier owners' commits off: whoever owned the cell before can't store anything after
/// this. Returns the version that the first commit checks.
///
/// # Errors
///
/// If the store doesn't answer, or a later owner has been here; the reign is over then.
pub async fn fence(reign: &reign::Reign) -> Result<u64, platform::StoreError> {
    let token = reign.token();
    let store = &reign.node().platform.store;
    let read = store.range(&rows::only(rows::last_commit())).await;
    reign.node().note_store(&read, clock::steady());
    let read = read?;
    let row = read.rows.first();
    let last: Option<record::Commit> = row
        .and_then(|row| row.value.as_deref())
        .and_then(|value| record::decode("commit", value).ok());
    let version = row.map_or(0, |row| row.version);
    match last {
        Some(last) if last.token == token => return Ok(version),
        Some(last) if last.token > token => reign.step_down("another daemon claimed the cell"),
        _ => {}
    }
    let refused = |detail: String| platform::StoreError::Refused { operation: "fence", detail };
    let value = record::encode("commit", &record::Commit { token, number: 0 });
    let value = value.map_err(|e| refused(e.to_string()))?;
    let txn = platform::Transaction {
        checks: vec![platform::Check { key: rows::last_commit(), version }],
        writes: vec![platform::Write { key: rows::last_commit(), value }],
        removals: Vec::new(),
    };
    let result = store.transact(&txn).await;
    reign.node().note_store(&result, clock::steady());
    match result? {
        platform::Outcome::Committed(version) => Ok(version),
        platform::Outcome::Conflict(_) => Err(refused("the row has changed meanwhile".to_owned())),
    }
}
