//! Commits: the changes that have to be stored, and their effects once they are stored.

use std::collections;

use gl_model::time;

use super::Owner;
use crate::{record, task, worker};

/// The maximum number of rows in a commit, which keeps it within the store's limits.
const MAX_ROWS: usize = 60;

/// The number of rows that a worker has in the store.
const ROWS_PER_WORKER: usize = 2;

/// The number of rows that a job has in the store.
const ROWS_PER_JOB: usize = 3;

/// The changes of one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The progress of jobs.
    pub rows: Vec<Row>,
    /// Jobs whose rows are no longer needed, and are removed.
    pub removed_jobs: Vec<task::JobId>,
    /// Workers to add to the roster. Tasks may be started on them once the commit is stored.
    pub enrolled: Vec<worker::Registration>,
    /// Those of them whose [`record::Vacating`] no longer holds, and is removed.
    pub reopened: Vec<worker::WorkerId>,
    /// What to store of workers that get no new tasks.
    pub vacating: Vec<record::Vacating>,
    /// Workers to remove from the roster, with their [`record::Vacating`].
    pub removed_workers: Vec<worker::WorkerId>,
    /// The learned interference model, if it is due to be stored again.
    pub model: Option<record::ModelSnapshot>,
    ends: Vec<StoredEnds>,
}

/// The progress of a job that has to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The job.
    pub job: task::JobId,
    /// Its progress.
    pub progress: record::Progress,
}

impl Commit {
    /// Returns whether there is nothing to store.
    fn is_empty(&self) -> bool {
        self.rows.is_empty()
            && self.removed_jobs.is_empty()
            && self.enrolled.is_empty()
            && self.vacating.is_empty()
            && self.removed_workers.is_empty()
    }
}

/// The ends of runs of one incarnation whose effects are covered by a commit. They can be
/// acknowledged once it is stored.
#[derive(Clone, Debug, PartialEq)]
struct StoredEnds {
    worker: worker::WorkerId,
    incarnation: Option<worker::Incarnation>,
    number: u64,
}

impl Owner {
    /// Returns whether the next commit makes a final state visible to clients or a worker usable,
    /// so that it should not be delayed.
    pub fn has_urgent_commit(&self) -> bool {
        let is_new = |id| {
            self.jobs.get(id).is_some_and(|e| e.final_state.is_some() && e.stored_state.is_none())
        };
        self.dirty_jobs.iter().any(is_new) || !self.unenrolled.is_empty()
    }

    /// Returns whether anything has to be stored or acknowledged.
    pub fn has_commit(&self) -> bool {
        !self.dirty_jobs.is_empty()
            || !self.removed_workers.is_empty()
            || !self.orphans.is_empty()
            || !self.unenrolled.is_empty()
            || !self.unstored_vacating.is_empty()
            || !self.unstored.is_empty()
    }

    /// Returns the next transaction, or `None` if there is nothing to store. Ends that only need an
    /// acknowledgement are marked as stored at once.
    pub fn next_commit(&mut self, now: time::Timestamp) -> Option<Commit> {
        let jobs: Vec<_> = self.dirty_jobs.iter().take(MAX_ROWS).copied().collect();
        let mut rows = Vec::new();
        for job in jobs {
            self.dirty_jobs.remove(&job);
            if let Some(progress) = self.progress(job) {
                rows.push(Row { job, progress });
            }
        }
        let mut left = MAX_ROWS - rows.len();
        let (enrolled, reopened) = self.enrollable(left);
        left -= enrolled.len() + reopened.len();
        let vacating: Vec<_> = self.unstored_rows().take(left).cloned().collect();
        left -= vacating.len();
        // A worker that is listed again is enrolled by this commit or a later one instead.
        let is_removed = |id: &&worker::WorkerId| !self.unenrolled.contains(*id);
        let removed_workers = self.removed_workers.iter().filter(is_removed);
        let removed_workers: Vec<_> =
            removed_workers.take(left / ROWS_PER_WORKER).cloned().collect();
        left -= removed_workers.len() * ROWS_PER_WORKER;
        let removed_jobs = self.removable_jobs(left / ROWS_PER_JOB, now);
        let ends = if self.dirty_jobs.is_empty() { self.unstored_ends() } else { Vec::new() };
        let mut commit = Commit {
            rows,
            removed_jobs,
            enrolled,
            reopened,
            vacating,
            removed_workers,
            model: None,
            ends,
        };
        if commit.is_empty() {
            self.committed(&commit);
            return None;
        }
        commit.model = self.model_snapshot(now);
        Some(commit)
    }

    /// Returns the learned model if it is due to be stored. It is added only to commits that are
    /// made anyway: while there are none, no task ends and little is learned.
    fn model_snapshot(&mut self, now: time::Timestamp) -> Option<record::ModelSnapshot> {
        if now.since(self.model_stored_at) < self.settings.model_interval {
            return None;
        }
        self.model_stored_at = now;
        let model = self.interference.snapshot();
        (!model.pairs.is_empty()).then_some(model)
    }

    /// Returns the workers to enrol, and those of them of which a row has to be removed, at most
    /// `limit` together.
    fn enrollable(&self, limit: usize) -> (Vec<worker::Registration>, Vec<worker::WorkerId>) {
        let (mut enrolled, mut reopened) = (Vec::new(), Vec::new());
        for id in &self.unenrolled {
            let Some(worker) = self.workers.get(id) else { continue };
            let has_row = worker.vacating.is_some() || self.removed_workers.contains(id);
            if enrolled.len() + reopened.len() + 1 + usize::from(has_row) > limit {
                break;
            }
            enrolled.push(worker.registration.clone());
            reopened.extend(has_row.then(|| id.clone()));
        }
        (enrolled, reopened)
    }

    /// Returns what has to be stored of workers that get no new tasks.
    fn unstored_rows(&self) -> impl Iterator<Item = &record::Vacating> {
        let workers = self.unstored_vacating.iter().filter_map(|id| self.workers.get(id));
        workers.filter_map(|worker| worker.vacating.as_ref())
    }

    /// Updates whether a worker has to be stored in the roster, and whether its ends have to be
    /// stored. Called after each change of the worker on which that depends, so that these workers
    /// need not be sought among all.
    pub(super) fn update_unstored(&mut self, id: &worker::WorkerId) {
        let worker = self.workers.get(id);
        let is_unenrolled = worker.is_some_and(|w| {
            let is_out_of_reach =
                w.has_stored_end && (w.is_unresponsive || w.incarnation.is_none());
            w.is_listed && !w.is_enrolled && w.draining_since.is_none() && !is_out_of_reach
        });
        let has_ends = worker.is_some_and(|w| w.processed_end > w.stored_end);
        if is_unenrolled || worker.is_none() {
            self.unstored_vacating.remove(id);
        }
        set_member(&mut self.unenrolled, id, is_unenrolled);
        set_member(&mut self.unstored, id, has_ends);
    }

    fn unstored_ends(&self) -> Vec<StoredEnds> {
        let waiting = self.unstored.iter().filter_map(|id| self.workers.get(id));
        let ends = waiting.map(|w| StoredEnds {
            worker: w.registration.id.clone(),
            incarnation: w.incarnation,
            number: w.processed_end,
        });
        ends.collect()
    }

    /// Returns jobs whose rows can be removed, at most `limit`: orphans, and ended jobs whose
    /// retention time has passed.
    fn removable_jobs(&self, limit: usize, now: time::Timestamp) -> Vec<task::JobId> {
        let retention = self.settings.retention;
        let is_expired =
            |e: &super::JobEntry| e.stored_state.is_some() && now.since(e.ended_at) > retention;
        let orphans = self.orphans.iter().copied();
        let expired = self.jobs.iter().filter(|(_, e)| is_expired(e)).map(|(id, _)| *id);
        orphans.chain(expired).take(limit).collect()
    }

    /// Records that a commit was stored.
    pub fn committed(&mut self, commit: &Commit) {
        for row in &commit.rows {
            self.send_stored(row);
            if let Some(entry) = self.jobs.get_mut(&row.job) {
                entry.stored_state = entry.stored_state.or(row.progress.final_state);
            }
        }
        for job in &commit.removed_jobs {
            self.jobs.remove(job);
            self.orphans.remove(job);
        }
        for entry in &commit.enrolled {
            // A worker that has left the table meanwhile is removed again by a later commit.
            if let Some(worker) = self.workers.get_mut(&entry.id) {
                worker.is_enrolled = worker.registration.address == entry.address;
                worker.in_roster = true;
                worker.has_stored_end = false;
                worker.vacating = None;
                self.removed_workers.remove(&entry.id);
                self.unstored_vacating.remove(&entry.id);
            } else {
                self.removed_workers.insert(entry.id.clone());
            }
            self.update_unstored(&entry.id);
        }
        for row in &commit.vacating {
            self.vacating_stored(row);
        }
        for id in &commit.removed_workers {
            self.removed_workers.remove(id);
            if let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.in_roster) {
                worker.vacating = None;
            }
        }
        for ends in &commit.ends {
            let worker = self.workers.get_mut(&ends.worker);
            if let Some(worker) = worker.filter(|w| w.incarnation == ends.incarnation) {
                worker.stored_end = worker.stored_end.max(ends.number);
            }
            self.update_unstored(&ends.worker);
        }
    }

    /// Records that a row is stored, unless it has changed meanwhile.
    fn vacating_stored(&mut self, row: &record::Vacating) {
        let worker = self.workers.get_mut(&row.worker);
        if let Some(worker) = worker.filter(|worker| worker.vacating.as_ref() == Some(row)) {
            worker.has_stored_end = row.until.is_some();
            self.unstored_vacating.remove(&row.worker);
        }
    }

    /// Records that a commit was not stored, so that its rows are included in a later one.
    pub fn commit_failed(&mut self, commit: &Commit) {
        self.dirty_jobs.extend(commit.rows.iter().map(|row| row.job));
    }
}

fn set_member(
    set: &mut collections::BTreeSet<worker::WorkerId>,
    id: &worker::WorkerId,
    is_member: bool,
) {
    if !is_member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}
