//! Stores submitted jobs by group commit: jobs that wait for the same partition of the store are
//! written in one transaction, and a job is accepted only once it is stored.

use std::{cell, collections, rc};

use gl_jobs::{job, record, task};
use gl_model::time;
use gl_platform::cell as platform;
use tokio::sync::{Notify, oneshot};

use super::{node, rows};
use crate::clock;

/// Maximum number of jobs that one transaction stores. Each takes three entries of the store's limit of
/// 100.
const MAX_GROUP_JOBS: usize = 33;
/// Maximum total length of the rows that one transaction stores, in bytes. The store takes calls of
/// up to 1 MB, in which rows are a third longer.
const MAX_GROUP_BYTES: usize = 600_000;
/// Copies of the rows of a transaction while it is sent: the rows, their encoding and its buffers.
const COPIES: usize = 8;
/// Maximum number of jobs that wait for one partition of the store.
const MAX_WAITING_JOBS: usize = 200;
/// Time for which a job that the store keeps refusing is retried. Short, as the client can send it
/// again, and long enough to outlast a brief excess of calls.
const REFUSED_RETRY_LIMIT: time::Span = time::Span::millis(150);
/// Time for which a job is retried after the reply to an earlier attempt was lost. Its client then
/// gets the reply that the outcome is unknown, and may send the job again through another daemon.
const LOST_REPLY_RETRY_LIMIT: time::Span = time::Span::millis(1_000);
/// Pause before the next attempt.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(25);

/// Result of storing a job.
#[gl_derive::tag]
pub enum Outcome {
    /// The job is stored, by this call and no other one.
    Stored,
    /// The job is stored, by an earlier call or by another daemon.
    Duplicate,
    /// The job was cancelled before it was stored, and is not stored.
    Cancelled,
    /// The job is not stored and never will be.
    Refused(Cause),
    /// The job may be stored already or later; the outcome is unknown.
    Unsettled(Cause),
}

/// Reason why a job is not known to be stored.
#[gl_derive::tag]
pub enum Cause {
    /// The job cannot be encoded.
    Encoding,
    /// The job is longer than the rows that the store takes.
    TooLong,
    /// The job needs more memory than an owner has for all jobs.
    TooLarge,
    /// The owner has no memory for more jobs.
    OwnerFull,
    /// Too many jobs wait for the store.
    #[serde(rename = "crowded")]
    QueueFull,
    /// The store refuses the job.
    #[serde(rename = "turned-away")]
    StoreRefused,
    /// This daemon cannot reach the store, and no other daemon can store the job on its behalf.
    #[serde(rename = "store-silent")]
    StoreUnavailable,
    /// The reply of the store was lost.
    #[serde(rename = "lost-answer")]
    LostReply,
    /// The owner, which was requested to store the job, did not reply.
    #[serde(rename = "peer-silent")]
    OwnerUnresponsive,
    /// The daemon is shutting down.
    Stopping,
}

impl Cause {
    /// Returns a sentence for log events and for the reply to the client.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encoding => "the job cannot be encoded",
            Self::TooLong => "the job is longer than the store takes; make it smaller or split it",
            Self::TooLarge => "the job needs more memory than a daemon has; split it",
            Self::OwnerFull => "the cell's owner has no memory for more jobs of this size",
            Self::QueueFull => "too many jobs are waiting to be stored",
            Self::StoreRefused => "the store refused the job",
            Self::StoreUnavailable => "the store cannot be reached",
            Self::LostReply => "the store's reply was lost",
            Self::OwnerUnresponsive => "the cell's owner did not reply",
            Self::Stopping => "the daemon is shutting down",
        }
    }
}

impl Outcome {
    /// Returns the outcome as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stored | Self::Duplicate => "stored",
            Self::Cancelled => "cancelled",
            Self::Refused(_) => "refused",
            Self::Unsettled(_) => "unsettled",
        }
    }
}

/// A job that waits to be stored.
struct Submission {
    id: task::JobId,
    row: Vec<u8>,
    limit: time::Timestamp,
    since: time::Timestamp,
    /// Whether the reply to an earlier attempt was lost, so that the attempt may still take effect.
    is_unconfirmed: bool,
    reply: oneshot::Sender<Outcome>,
}

/// Jobs that wait to be stored, queued separately for each partition of the work table.
pub struct Queue {
    partitions: [Partition; rows::WORK_PARTITIONS.len()],
    /// The length of the longest row that the store takes, in bytes.
    max_row: usize,
    /// Maximum total length of the rows that one transaction stores, in bytes.
    group_bytes: usize,
}

/// Jobs that wait to be stored in one partition.
#[derive(Default)]
struct Partition {
    waiting: cell::RefCell<collections::VecDeque<Submission>>,
    wake: Notify,
}

impl Queue {
    /// Creates an empty queue for a store that takes rows of at most `max_row` bytes. All partitions
    /// together may take about `memory` bytes.
    pub fn new(max_row: usize, memory: usize) -> Self {
        let group_bytes = MAX_GROUP_BYTES.min(memory / (COPIES * rows::WORK_PARTITIONS.len()));
        Self { partitions: Default::default(), max_row, group_bytes }
    }

    /// Stores a job. Attempts end at `limit` at the latest, and the outcome may then be unknown.
    pub async fn store(&self, id: task::JobId, job: &job::Job, limit: time::Timestamp) -> Outcome {
        let row = record::encode("job", &record::Work::Job(Box::new(job.clone())));
        let Ok(row) = row else {
            return Outcome::Refused(Cause::Encoding);
        };
        if row.len() > self.max_row {
            return Outcome::Refused(Cause::TooLong);
        }
        let partition = &self.partitions[rows::work_partition(id)];
        if partition.waiting.borrow().len() >= MAX_WAITING_JOBS {
            return Outcome::Refused(Cause::QueueFull);
        }
        let (reply, outcome) = oneshot::channel();
        let since = clock::steady();
        let submission = Submission { id, row, limit, since, is_unconfirmed: false, reply };
        partition.waiting.borrow_mut().push_back(submission);
        partition.wake.notify_one();
        outcome.await.unwrap_or(Outcome::Unsettled(Cause::Stopping))
    }
}

impl Partition {
    /// Removes the jobs of the next transaction from the queue.
    fn take(&self, group_bytes: usize) -> Vec<Submission> {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let fits = |submission: &&Submission| {
            let is_first = bytes == 0;
            bytes += submission.row.len();
            is_first || bytes <= group_bytes
        };
        let n = waiting.iter().take(MAX_GROUP_JOBS).take_while(fits).count();
        waiting.drain(..n).collect()
    }
}

/// Starts storing the queued jobs, with one task for each partition, for the life of the process.
pub fn start(node: &rc::Rc<node::Node>) {
    for n in 0..rows::WORK_PARTITIONS.len() {
        ntex::rt::spawn(run(rc::Rc::clone(node), n));
    }
}

async fn run(node: rc::Rc<node::Node>, n: usize) {
    loop {
        let partition = &node.submissions.partitions[n];
        let mut group = partition.take(node.submissions.group_bytes);
        if group.is_empty() {
            partition.wake.notified().await;
            continue;
        }
        while !group.is_empty() {
            group = store(&node, group).await;
            if !group.is_empty() {
                ntex::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Attempts to store a group once and returns the jobs that have to be tried again.
async fn store(node: &node::Node, mut group: Vec<Submission>) -> Vec<Submission> {
    let txn = transaction(&group);
    let result = node.platform.store.transact(&txn).await;
    let now = clock::steady();
    node.record_store_result(&result, now);
    match result {
        Ok(platform::Outcome::Committed(_)) => {
            let mut stored = collections::BTreeSet::new();
            for submission in group {
                let is_new = stored.insert(submission.id);
                finish(submission, if is_new { Outcome::Stored } else { Outcome::Duplicate });
            }
            Vec::new()
        }
        Ok(platform::Outcome::Conflict(found)) => {
            let has = |name: &str| found.iter().any(|f| f.row.name == name && f.row.version > 0);
            let mut left = Vec::new();
            for submission in group {
                if has(&rows::job(submission.id).name) {
                    finish(submission, Outcome::Duplicate);
                } else if has(&rows::cancel(submission.id).name) {
                    finish(submission, Outcome::Cancelled);
                } else {
                    left.push(submission);
                }
            }
            left
        }
        Err(platform::StoreError::Lost { .. }) => {
            group.iter_mut().for_each(|s| s.is_unconfirmed = true);
            finish_expired(group, now)
        }
        Err(platform::StoreError::Rejected { .. }) => store_apart(node, group).await,
        Err(_) => finish_expired(group, now),
    }
}

/// Stores the jobs of a group that the store will never take one by one, so that the one at fault does
/// not hold up the others. Returns the jobs that have to be tried again.
async fn store_apart(node: &node::Node, group: Vec<Submission>) -> Vec<Submission> {
    if let [submission] = &group[..] {
        let is_unconfirmed = submission.is_unconfirmed;
        let refused = Outcome::Refused(Cause::TooLong);
        let outcome = if is_unconfirmed { Outcome::Unsettled(Cause::LostReply) } else { refused };
        group.into_iter().for_each(|s| finish(s, outcome));
        return Vec::new();
    }
    let mut left = Vec::new();
    for submission in group {
        left.extend(Box::pin(store(node, vec![submission])).await);
    }
    left
}

/// Reports a failure for the jobs whose time limit has passed and returns the other jobs.
fn finish_expired(group: Vec<Submission>, now: time::Timestamp) -> Vec<Submission> {
    let is_expired = |s: &Submission| {
        let limit = s.limit.min(
            s.since + if s.is_unconfirmed { LOST_REPLY_RETRY_LIMIT } else { REFUSED_RETRY_LIMIT },
        );
        now >= limit
    };
    let (expired, left): (Vec<_>, Vec<_>) = group.into_iter().partition(is_expired);
    for submission in expired {
        let outcome = if submission.is_unconfirmed {
            Outcome::Unsettled(Cause::LostReply)
        } else {
            Outcome::Refused(Cause::StoreRefused)
        };
        finish(submission, outcome);
    }
    left
}

fn finish(submission: Submission, outcome: Outcome) {
    // The send fails if the client's request was dropped, and then nobody needs the outcome.
    let _ = submission.reply.send(outcome);
}

/// Returns the transaction that stores a group. It checks that no row of a job exists yet, so that
/// a repeated attempt does not overwrite a job, nor one of its cancellation.
fn transaction(group: &[Submission]) -> platform::Transaction {
    let mut txn = platform::Transaction::default();
    for submission in group {
        let key = rows::job(submission.id);
        let is_duplicate = txn.writes.iter().any(|w| w.key == key);
        if is_duplicate {
            continue;
        }
        txn.checks.push(platform::Check { key: key.clone(), version: 0 });
        txn.checks.push(platform::Check { key: rows::cancel(submission.id), version: 0 });
        txn.writes.push(platform::Write { key, value: submission.row.clone() });
    }
    txn
}
