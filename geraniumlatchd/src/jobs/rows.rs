//! Keys and ranges of the cell's rows in the store.

use gl_jobs::{record, task, worker};
use gl_platform::cell;

/// Table of jobs and cancellations; written by all daemons on behalf of clients.
pub const WORK: &str = "work";
/// Table of the jobs' progress; written by the owner.
pub const PROGRESS: &str = "progress";
/// Table of the workers that tasks may have been started on; written by the owner.
pub const ROSTER: &str = "roster";
/// Table of what is known of workers of the roster that get no new tasks; written by the owner.
pub const VACATING: &str = "vacating";
/// Table of the cell's owner, its lease and its commits.
pub const CELLS: &str = "cells";
/// Name of the owner's row, which only claims write.
pub const OWNER: &str = "owner";
/// Name of the lease row, which claims, renewals and releases write.
pub const LEASE: &str = "lease";
/// Name of the row of the daemons that may claim the cell in an outage, which claims and the owner write.
pub const CLAIMANTS: &str = "claimants";
/// Name of the row of the owner's last commit.
pub const COMMIT: &str = "commit";
/// Name of the row of the learned interference model.
const INTERFERENCE: &str = "learnt";

/// Partition of the store for claims and renewals. A partition processes transactions one after the
/// other. With separate partitions, renewals do not wait for commits while the store is slow, nor
/// do commits wait for clients' jobs.
const CLAIMS_PARTITION: &str = "claims";
/// Partition of the store for the rows that the owner's commits write.
const COMMITS_PARTITION: &str = "commits";
/// Partitions of the store over which jobs are distributed.
pub const WORK_PARTITIONS: [&str; 6] = ["work-0", "work-1", "work-2", "work-3", "work-4", "work-5"];

const JOB: &str = "job";
const CANCEL: &str = "cancel";

/// Returns the index of the partition that holds the rows of a job.
pub fn work_partition(id: task::JobId) -> usize {
    let count = u64::try_from(WORK_PARTITIONS.len()).unwrap_or(1);
    usize::try_from(id.0 % count).unwrap_or_default()
}

fn key_in(table: &'static str, partition: &str, name: impl Into<String>) -> cell::Key {
    cell::Key { table, partition: partition.to_owned(), name: name.into() }
}

/// Returns the key of a row that claims write.
pub fn cell_row(name: &'static str) -> cell::Key {
    key_in(CELLS, CLAIMS_PARTITION, name)
}

/// Returns the key of the row of the owner's last commit.
pub fn last_commit() -> cell::Key {
    key_in(CELLS, COMMITS_PARTITION, COMMIT)
}

/// Returns the key of the row of the interference model.
pub fn interference() -> cell::Key {
    key_in(CELLS, COMMITS_PARTITION, INTERFERENCE)
}

/// Returns the key of the row of a job.
pub fn job(id: task::JobId) -> cell::Key {
    key_in(WORK, WORK_PARTITIONS[work_partition(id)], format!("{id}/{JOB}"))
}

/// Returns the key of the row of a job's cancellation.
pub fn cancel(id: task::JobId) -> cell::Key {
    key_in(WORK, WORK_PARTITIONS[work_partition(id)], format!("{id}/{CANCEL}"))
}

/// Returns the key of a page of a job's progress. The first one is named as in earlier versions, which
/// store all progress in it.
pub fn progress(id: task::JobId, page: u32) -> cell::Key {
    let name = if page == 0 { id.to_string() } else { format!("{id}/{page:06}") };
    key_in(PROGRESS, COMMITS_PARTITION, name)
}

/// Returns the job and the number of the page whose row has this name.
pub fn parse_progress(name: &str) -> Option<(task::JobId, u32)> {
    match name.split_once('/') {
        None => Some((name.parse().ok()?, 0)),
        Some((id, page)) => Some((id.parse().ok()?, page.parse().ok()?)),
    }
}

/// Returns the range of all pages of a job's progress.
pub fn progress_of_job(id: task::JobId) -> cell::Range {
    let (from, to) = (id.to_string(), Some(format!("{id}0")));
    cell::Range { table: PROGRESS, partition: COMMITS_PARTITION.to_owned(), from, to }
}

/// Returns the key of the row of a worker in the roster.
pub fn enrolled(id: &worker::WorkerId) -> cell::Key {
    key_in(ROSTER, COMMITS_PARTITION, id.as_str())
}

/// Returns the key of the row of a worker that gets no new tasks.
pub fn vacating(id: &worker::WorkerId) -> cell::Key {
    key_in(VACATING, COMMITS_PARTITION, id.as_str())
}

fn whole_partition(table: &'static str, partition: &str) -> cell::Range {
    cell::Range { table, partition: partition.to_owned(), from: String::new(), to: None }
}

/// Returns the range of the rows that claims and renewals write.
pub fn all_claims() -> cell::Range {
    whole_partition(CELLS, CLAIMS_PARTITION)
}

/// Returns the range of all rows of a table that the owner's commits write.
pub fn all_committed(table: &'static str) -> cell::Range {
    whole_partition(table, COMMITS_PARTITION)
}

/// Returns the ranges of the work table, one for each partition.
pub fn all_work() -> impl Iterator<Item = cell::Range> {
    WORK_PARTITIONS.iter().map(|partition| whole_partition(WORK, partition))
}

/// Returns the range of one job's rows in the work table.
pub fn work_of_job(id: task::JobId) -> cell::Range {
    let (from, to) = (format!("{id}/"), Some(format!("{id}0")));
    cell::Range { table: WORK, partition: WORK_PARTITIONS[work_partition(id)].to_owned(), from, to }
}

/// Returns the range of a single row.
pub fn single(key: cell::Key) -> cell::Range {
    let to = Some(format!("{}\0", key.name));
    cell::Range { table: key.table, partition: key.partition, from: key.name, to }
}

/// A row of the work table.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The job.
    pub id: task::JobId,
    /// Content of the row.
    pub work: record::Work,
    /// Version of the transaction that wrote the row.
    pub version: u64,
}

/// Decodes a row of the work table. Returns `None` for a removed row, and for a row that this
/// version of the program cannot decode, which is also logged.
pub fn read_work(row: &cell::Row) -> Option<Work> {
    let value = row.value.as_deref()?;
    let (id, _) = row.name.split_once('/')?;
    let decoded = id.parse().map_err(|e: task::ParseError| e.to_string()).and_then(|id| {
        let work = record::decode("job", value).map_err(|e| e.to_string())?;
        if let record::Work::Job(job) = &work {
            job.validate().map_err(|e| e.to_string())?;
        }
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
