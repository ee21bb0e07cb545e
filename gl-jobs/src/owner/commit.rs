//! What has to be stored, and what follows once it is.

use gl_model::time;

use super::Owner;
use crate::{record, task, worker};

/// Rows that one commit holds at most, so that it stays within the store's limits.
const ROWS: usize = 60;

/// The rows that a job has in the store.
const ROWS_OF_JOB: usize = 3;

/// One transaction's worth of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The progress of jobs.
    pub rows: Vec<Row>,
    /// Jobs whose rows are no longer needed.
    pub removals: Vec<task::JobId>,
    /// Workers that tasks may be started on from now on.
    pub enrolled: Vec<worker::Registration>,
    /// Workers that are gone.
    pub dismissed: Vec<worker::WorkerId>,
    /// What was learnt from the workers' reports, if it is time to store that again.
    pub learnt: Option<record::Learnt>,
    ends: Vec<Ends>,
}

/// A job's progress, to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The job.
    pub job: task::JobId,
    /// Its progress.
    pub progress: record::Progress,
}

impl Commit {
    /// Whether there is nothing to store.
    fn is_empty(&self) -> bool {
        self.rows.is_empty()
            && self.removals.is_empty()
            && self.enrolled.is_empty()
            && self.dismissed.is_empty()
    }
}

/// The ends of an incarnation whose consequences are in a commit.
#[derive(Clone, Debug, PartialEq)]
struct Ends {
    worker: worker::WorkerId,
    incarnation: Option<worker::Incarnation>,
    number: u64,
}

impl Owner {
    /// Whether a commit would tell clients something new, so that it should not wait.
    pub fn has_urgent_commit(&self) -> bool {
        let is_new = |id| self.jobs.get(id).is_some_and(|e| e.end.is_some() && e.stored.is_none());
        self.dirty.iter().any(is_new) || self.to_enroll().next().is_some()
    }

    /// Whether there is anything to store or to acknowledge.
    pub fn has_commit(&self) -> bool {
        !self.dirty.is_empty()
            || !self.dismissed.is_empty()
            || !self.orphans.is_empty()
            || self.to_enroll().next().is_some()
            || self.workers.values().any(|w| w.seen > w.stored)
    }

    /// The next transaction. What only needs an acknowledgement is done at once.
    pub fn next_commit(&mut self, now: time::Timestamp) -> Option<Commit> {
        let jobs: Vec<_> = self.dirty.iter().take(ROWS).copied().collect();
        let mut rows = Vec::new();
        for job in jobs {
            self.dirty.remove(&job);
            if let Some(progress) = self.progress(job) {
                rows.push(Row { job, progress });
            }
        }
        let enrolled: Vec<_> =
            self.to_enroll().take(ROWS - rows.len()).map(|w| w.entry.clone()).collect();
        let left = ROWS - rows.len() - enrolled.len();
        let dismissed: Vec<_> = self.dismissed.iter().take(left).cloned().collect();
        let removals = self.expired((left - dismissed.len()) / ROWS_OF_JOB, now);
        let ends = if self.dirty.is_empty() { self.unstored_ends() } else { Vec::new() };
        let mut commit = Commit { rows, removals, enrolled, dismissed, learnt: None, ends };
        if commit.is_empty() {
            self.committed(&commit);
            return None;
        }
        commit.learnt = self.learnt(now);
        Some(commit)
    }

    /// What was learnt, now and then. It goes with commits that are made anyway: without any,
    /// no task ends and little is learnt.
    fn learnt(&mut self, now: time::Timestamp) -> Option<record::Learnt> {
        if now.since(self.learnt_at) < self.settings.learnt_interval {
            return None;
        }
        self.learnt_at = now;
        let learnt = self.harm.learnt();
        (!learnt.pairs.is_empty()).then_some(learnt)
    }

    /// Workers in the list whose names aren't stored yet.
    fn to_enroll(&self) -> impl Iterator<Item = &super::Worker> {
        self.workers.values().filter(|w| w.listed && !w.enrolled)
    }

    fn unstored_ends(&self) -> Vec<Ends> {
        let waiting = self.workers.values().filter(|w| w.seen > w.stored);
        let ends = waiting.map(|w| Ends {
            worker: w.entry.id.clone(),
            incarnation: w.incarnation,
            number: w.seen,
        });
        ends.collect()
    }

    fn expired(&self, limit: usize, now: time::Timestamp) -> Vec<task::JobId> {
        let retention = self.settings.retention;
        let is_over = |e: &super::Entry| e.stored.is_some() && now.since(e.ended) > retention;
        let orphans = self.orphans.iter().copied();
        let expired = self.jobs.iter().filter(|(_, e)| is_over(e)).map(|(id, _)| *id);
        orphans.chain(expired).take(limit).collect()
    }

    /// A commit is stored.
    pub fn committed(&mut self, commit: &Commit) {
        for row in &commit.rows {
            if let Some(entry) = self.jobs.get_mut(&row.job) {
                entry.stored = entry.stored.or(row.progress.end);
            }
        }
        for job in &commit.removals {
            self.jobs.remove(job);
            self.orphans.remove(job);
        }
        for entry in &commit.enrolled {
            if let Some(worker) = self.workers.get_mut(&entry.id) {
                worker.enrolled = worker.entry.address == entry.address;
            }
            self.dismissed.remove(&entry.id);
        }
        for id in &commit.dismissed {
            self.dismissed.remove(id);
        }
        for ends in &commit.ends {
            let worker = self.workers.get_mut(&ends.worker);
            if let Some(worker) = worker.filter(|w| w.incarnation == ends.incarnation) {
                worker.stored = worker.stored.max(ends.number);
            }
        }
    }

    /// A commit was not stored.
    pub fn commit_failed(&mut self, commit: &Commit) {
        self.dirty.extend(commit.rows.iter().map(|row| row.job));
    }
}
