//! Where the cell's rows are.

use gl_jobs::{record, task, worker};
use gl_platform::cell;

/// What daemons write on behalf of clients: jobs and cancellations.
pub const WORK: &str = "work";
/// How far jobs have come; written by the owner.
pub const PROGRESS: &str = "progress";
/// The workers that tasks may have been started on; written by the owner.
pub const ROSTER: &str = "roster";
/// Who owns the cell, and the owner's commits.
pub const CELLS: &str = "cells";
/// The owner's row: written by claims only.
pub const OWNER: &str = "owner";
/// The owner's sign of life.
pub const LEASE: &str = "lease";
/// The owner's last commit.
pub const COMMIT: &str = "commit";
/// What owners have learnt of images.
const LEARNT: &str = "learnt";

/// The part of claims and renewals. A part carries transactions out one after the other, so on a
/// slow store renewals must not wait behind commits, nor commits behind clients' jobs.
const CLAIMS_PART: &str = "claims";
/// The part of all that the owner's commits write.
const COMMITS_PART: &str = "commits";
/// The parts that jobs are spread over.
pub const WORK_PARTS: [&str; 6] = ["work-0", "work-1", "work-2", "work-3", "work-4", "work-5"];

const JOB: &str = "job";
const CANCEL: &str = "cancel";

/// Which of the parts has the rows of a job.
pub fn work_part(id: task::JobId) -> usize {
    let count = u64::try_from(WORK_PARTS.len()).unwrap_or(1);
    usize::try_from(id.0 % count).unwrap_or_default()
}

fn key_in(table: &'static str, part: &str, name: impl Into<String>) -> cell::Key {
    cell::Key { table, partition: part.to_owned(), name: name.into() }
}

/// The owner's row, or its sign of life.
pub fn claims(name: &'static str) -> cell::Key {
    key_in(CELLS, CLAIMS_PART, name)
}

/// The row of the owner's last commit.
pub fn last_commit() -> cell::Key {
    key_in(CELLS, COMMITS_PART, COMMIT)
}

/// The row of what owners have learnt.
pub fn learnt() -> cell::Key {
    key_in(CELLS, COMMITS_PART, LEARNT)
}

/// The row of a job.
pub fn job(id: task::JobId) -> cell::Key {
    key_in(WORK, WORK_PARTS[work_part(id)], format!("{id}/{JOB}"))
}

/// The row of a job's cancellation.
pub fn cancel(id: task::JobId) -> cell::Key {
    key_in(WORK, WORK_PARTS[work_part(id)], format!("{id}/{CANCEL}"))
}

/// The row of a job's progress.
pub fn progress(id: task::JobId) -> cell::Key {
    key_in(PROGRESS, COMMITS_PART, id.to_string())
}

/// The row of an enrolled worker.
pub fn enrolled(id: &worker::WorkerId) -> cell::Key {
    key_in(ROSTER, COMMITS_PART, id.as_str())
}

fn whole(table: &'static str, part: &str) -> cell::Range {
    cell::Range { table, partition: part.to_owned(), from: String::new(), to: None }
}

/// The rows of claims and renewals.
pub fn all_claims() -> cell::Range {
    whole(CELLS, CLAIMS_PART)
}

/// All rows of a table that the owner's commits write.
pub fn all_committed(table: &'static str) -> cell::Range {
    whole(table, COMMITS_PART)
}

/// All rows of the work table, part by part.
pub fn all_work() -> impl Iterator<Item = cell::Range> {
    WORK_PARTS.iter().map(|part| whole(WORK, part))
}

/// The rows of one job's work.
pub fn work_of(id: task::JobId) -> cell::Range {
    let (from, to) = (format!("{id}/"), Some(format!("{id}0")));
    cell::Range { table: WORK, partition: WORK_PARTS[work_part(id)].to_owned(), from, to }
}

/// One row.
pub fn only(key: cell::Key) -> cell::Range {
    let to = Some(format!("{}\0", key.name));
    cell::Range { table: key.table, partition: key.partition, from: key.name, to }
}

/// A row of the work table.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The job.
    pub id: task::JobId,
    /// What was written.
    pub work: record::Work,
    /// The version of the store at which it was written.
    pub version: u64,
}

/// Reads a row of the work table. Removed rows and rows that this version can't read are none;
/// the latter are logged.
pub fn read_work(row: &cell::Row) -> Option<Work> {
    let value = row.value.as_deref()?;
    let (id, _) = row.name.split_once('/')?;
    let decoded = id.parse().map_err(|e: task::ParseError| e.to_string()).and_then(|id| {
        let work = record::decode("job", value).map_err(|e| e.to_string())?;
        Ok(Work { id, work, version: row.version })
    });
    match decoded {
        Ok(work) => Some(work),
        Err(detail) => {
            super::event::emit(&super::event::Event::Unreadable { row: &row.name, detail });
            None
        }
    }
}
