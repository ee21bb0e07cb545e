//! Stores the owner's decisions in a sequence of commits, each of which is one transaction.

use std::rc;

use gl_jobs::{election, owner, record};
use gl_platform::cell as platform;

use super::{event, ownership, rows};
use crate::clock;

/// Delay of a commit that no client waits for, so that more changes go into it (group commit).
const GROUP_DELAY: std::time::Duration = std::time::Duration::from_millis(20);
/// Pause after a failed attempt.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(60);

/// Commits until the ownership ends.
pub async fn run(ownership: rc::Rc<ownership::Ownership>) {
    let mut chain = Chain { number: 0, version: ownership.fence_version() };
    while !ownership.is_ended() {
        ownership.commit_wake.notified().await;
        if !ownership.owner().has_urgent_commit() {
            wait_for_more(&ownership).await;
        }
        let commit = ownership.owner().next_commit(clock::steady());
        if let Some(commit) = commit {
            chain.store(&ownership, &commit).await;
            ownership.process_decisions();
        }
        ownership.committed.notify_waiters();
    }
}

/// Waits until there is an urgent change or the delay has passed.
async fn wait_for_more(ownership: &ownership::Ownership) {
    let wait = ntex::time::timeout(GROUP_DELAY, async {
        while !ownership.owner().has_urgent_commit() && !ownership.is_ended() {
            ownership.commit_wake.notified().await;
        }
    });
    // The commit follows both an urgent change and the time-out.
    let _ = wait.await;
}

/// Chain of one owner's commits. Each commit checks the version of the row that the previous one
/// wrote, so that a call that the store carries out late cannot undo a later commit.
struct Chain {
    /// Number of the last commit that was attempted.
    number: u64,
    /// Version of the row that the next commit checks.
    version: u64,
}

/// Result of an attempt to commit.
enum Attempt {
    Stored(u64),
    Retry(String),
    Rejected(String),
    Fenced,
}

impl Chain {
    /// Removes the rows of jobs before their progress is removed: a later owner removes progress
    /// without a job, whereas a job without progress would run again.
    async fn remove_work(ownership: &ownership::Ownership, commit: &owner::Commit) -> bool {
        for id in &commit.removed_jobs {
            let removals = vec![rows::job(*id), rows::cancel(*id)];
            let txn = platform::Transaction { removals, ..platform::Transaction::default() };
            let result = ownership.node().platform.store.transact(&txn).await;
            ownership.node().record_store_result(&result, clock::steady());
            if result.is_err() {
                return false;
            }
        }
        true
    }

    /// Attempts the commit until it is stored or the ownership ends. The commit fails at once if
    /// the rows of its removed jobs cannot be removed, its content cannot be encoded, or the store will
    /// never take it.
    async fn store(&mut self, ownership: &ownership::Ownership, commit: &owner::Commit) {
        if !Self::remove_work(ownership, commit).await {
            ownership.owner().commit_failed(commit);
            return;
        }
        self.number += 1;
        let txn = match self.transaction(ownership.token(), commit) {
            Ok(txn) => txn,
            Err(error) => {
                let detail = error.to_string();
                event::emit(&event::Event::CommitRetried { number: self.number, detail });
                ownership.owner().commit_failed(commit);
                return;
            }
        };
        let mut attempts = 0;
        while !ownership.is_ended() {
            attempts += 1;
            match self.attempt(ownership, &txn).await {
                Attempt::Stored(version) => {
                    self.version = version;
                    ownership.owner().committed(commit);
                    return;
                }
                Attempt::Retry(detail) => {
                    if attempts == 1 {
                        event::emit(&event::Event::CommitRetried { number: self.number, detail });
                    }
                    ntex::time::sleep(RETRY_PAUSE).await;
                }
                Attempt::Rejected(detail) => {
                    event::emit(&event::Event::CommitRejected { number: self.number, detail });
                    ownership.owner().commit_rejected(commit);
                    return;
                }
                Attempt::Fenced => return ownership.step_down("another daemon claimed the cell"),
            }
        }
    }

    async fn attempt(
        &self,
        ownership: &ownership::Ownership,
        txn: &platform::Transaction,
    ) -> Attempt {
        let result = ownership.node().platform.store.transact(txn).await;
        ownership.node().record_store_result(&result, clock::steady());
        match result {
            Ok(platform::Outcome::Committed(version)) => Attempt::Stored(version),
            Ok(platform::Outcome::Conflict(found)) => {
                self.resolve_conflict(ownership.token(), &found)
            }
            Err(error @ platform::StoreError::Rejected { .. }) => {
                Attempt::Rejected(error.to_string())
            }
            Err(error) => Attempt::Retry(error.to_string()),
        }
    }

    /// Determines whether the conflicting row was written by an earlier attempt whose reply was
    /// lost or by another owner.
    fn resolve_conflict(&self, token: u64, found: &[platform::TableRow]) -> Attempt {
        let own = found.iter().find(|f| f.row.name == rows::COMMIT).and_then(|f| {
            let value = f.row.value.as_deref()?;
            let last: record::Commit = record::decode("commit", value).ok()?;
            let is_own = last == record::Commit { token, number: self.number };
            is_own.then_some(f.row.version)
        });
        own.map_or(Attempt::Fenced, Attempt::Stored)
    }

    fn transaction(
        &self,
        token: u64,
        commit: &owner::Commit,
    ) -> Result<platform::Transaction, record::Error> {
        let mut writes = Vec::new();
        for row in &commit.rows {
            let key = rows::progress(row.job, row.page);
            writes.push(platform::Write { key, value: row.value.clone() });
        }
        for entry in &commit.enrolled {
            let value = record::encode("worker", entry)?;
            writes.push(platform::Write { key: rows::enrolled(&entry.worker.id), value });
        }
        for row in &commit.vacating {
            let value = record::encode("vacating worker", row)?;
            writes.push(platform::Write { key: rows::vacating(&row.worker), value });
        }
        if let Some(model) = &commit.model {
            let value = record::encode("learnt", model)?;
            writes.push(platform::Write { key: rows::interference(), value });
        }
        let last = record::Commit { token, number: self.number };
        let value = record::encode("commit", &last)?;
        writes.push(platform::Write { key: rows::last_commit(), value });
        let first = commit.removed_jobs.iter().map(|id| rows::progress(*id, 0));
        let pages = commit.removed_pages.iter().map(|(id, page)| rows::progress(*id, *page));
        let removed = commit.removed_workers.iter();
        let removed = removed.flat_map(|id| [rows::enrolled(id), rows::vacating(id)]);
        let reopened = commit.reopened.iter().map(rows::vacating);
        Ok(platform::Transaction {
            checks: vec![platform::Check { key: rows::last_commit(), version: self.version }],
            writes,
            removals: first.chain(pages).chain(removed).chain(reopened).collect(),
        })
    }
}

/// Fences off the commits of earlier owners, which cannot store anything afterwards. Returns the
/// row version that the first commit checks.
///
/// # Errors
///
/// If the store refuses a call or does not reply, or another owner has changed the row. If a later
/// owner has committed, the ownership ends.
pub async fn fence(ownership: &ownership::Ownership) -> Result<u64, platform::StoreError> {
    let token = ownership.token();
    let store = &ownership.node().platform.store;
    let read = store.range(&rows::single(rows::last_commit())).await;
    ownership.node().record_store_result(&read, clock::steady());
    let read = read?;
    let row = read.rows.first();
    let last: Option<record::Commit> = row
        .and_then(|row| row.value.as_deref())
        .and_then(|value| record::decode("commit", value).ok());
    let version = row.map_or(0, |row| row.version);
    let refused = |detail: String| platform::StoreError::Refused { operation: "fence", detail };
    match election::fence(last.map(|last| last.token), token) {
        election::Fence::Held => return Ok(version),
        election::Fence::Superseded => {
            ownership.step_down("another daemon claimed the cell");
            return Err(refused("a later owner has committed".to_owned()));
        }
        election::Fence::Write => {}
    }
    let value = record::encode("commit", &record::Commit { token, number: 0 });
    let value = value.map_err(|e| refused(e.to_string()))?;
    let txn = platform::Transaction {
        checks: vec![platform::Check { key: rows::last_commit(), version }],
        writes: vec![platform::Write { key: rows::last_commit(), value }],
        removals: Vec::new(),
    };
    let result = store.transact(&txn).await;
    ownership.node().record_store_result(&result, clock::steady());
    match result? {
        platform::Outcome::Committed(version) => Ok(version),
        platform::Outcome::Conflict(_) => {
            Err(refused("the row was changed in the meantime".to_owned()))
        }
    }
}
