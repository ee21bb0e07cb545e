//! Commits: the changes that have to be stored, and their effects once they are stored.

use std::collections;

use gl_model::time;

use super::{Note, Owner};
use crate::{job, record, task, worker};

/// The maximum number of rows in a commit, which keeps it within the store's limits.
const MAX_ROWS: usize = 60;
/// The maximum length of the rows in a commit, in bytes. The store takes calls of up to 1 MB, in which
/// rows are a third longer.
const MAX_BYTES: usize = 600_000;

/// The number of rows that a worker has in the store.
const ROWS_PER_WORKER: usize = 2;

/// The number of rows that a job whose other pages are removed has in the store.
const ROWS_PER_JOB: usize = 3;

/// The changes of one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The progress of jobs.
    pub rows: Vec<Row>,
    /// Pages of ended or removed jobs, which are removed.
    pub removed_pages: Vec<(task::JobId, u32)>,
    /// Jobs whose rows are no longer needed, and are removed.
    pub removed_jobs: Vec<task::JobId>,
    /// Workers to add to the roster. Tasks may be started on them once the commit is stored.
    pub enrolled: Vec<record::Enrolment>,
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

/// A page of the progress of a job that has to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The job.
    pub job: task::JobId,
    /// The number of the page.
    pub page: u32,
    /// The progress of the tasks in the page.
    pub progress: record::Progress,
    /// The same, encoded.
    pub value: Vec<u8>,
}

/// What is left of the limits of a commit.
pub(super) struct Room {
    rows: usize,
    bytes: usize,
}

impl Room {
    /// Takes the room for rows of this total length. Returns `false` if there is too little.
    pub(super) const fn take(&mut self, rows: usize, bytes: usize) -> bool {
        let has_room = self.rows >= rows && self.bytes >= bytes;
        if has_room {
            self.rows -= rows;
            self.bytes -= bytes;
        }
        has_room
    }
}

/// Returns the length of a row in the store. A row that cannot be encoded is left out when it is sent.
pub(super) fn length<T: serde::Serialize>(row: &T) -> usize {
    record::encode("row", row).map_or(0, |value| value.len())
}

impl Commit {
    /// Returns whether there is nothing to store.
    fn is_empty(&self) -> bool {
        self.rows.is_empty()
            && self.removed_pages.is_empty()
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
        let is_new = |id: &task::JobId| {
            self.jobs.get(id).is_some_and(|e| e.final_state.is_some() && e.stored_state.is_none())
        };
        self.dirty_pages.iter().any(|(id, _)| is_new(id)) || !self.unenrolled.is_empty()
    }

    /// Returns whether anything has to be stored or acknowledged.
    pub fn has_commit(&self) -> bool {
        !self.dirty_pages.is_empty()
            || !self.removed_pages.is_empty()
            || !self.removed_workers.is_empty()
            || !self.orphans.is_empty()
            || !self.unenrolled.is_empty()
            || !self.unstored_vacating.is_empty()
            || !self.unstored.is_empty()
    }

    /// Returns the next transaction, or `None` if there is nothing to store. Ends that only need an
    /// acknowledgement are marked as stored at once.
    pub fn next_commit(&mut self, now: time::Timestamp) -> Option<Commit> {
        let mut room = Room { rows: self.commit_rows.unwrap_or(MAX_ROWS), bytes: MAX_BYTES };
        let rows = self.dirty_rows(&mut room);
        let (enrolled, reopened) = self.enrollable(&mut room, now);
        let vacating = self.unstored_rows().take_while(|row| room.take(1, length(*row)));
        let vacating: Vec<_> = vacating.cloned().collect();
        // A worker that is listed again is enrolled by this commit or a later one instead.
        let is_removed = |id: &&worker::WorkerId| !self.unenrolled.contains(*id);
        let removed_workers = self.removed_workers.iter().filter(is_removed);
        let removed_workers = removed_workers.take_while(|_| room.take(ROWS_PER_WORKER, 0));
        let removed_workers: Vec<_> = removed_workers.cloned().collect();
        let removed_pages = self.removed_pages.iter().take_while(|_| room.take(1, 0));
        let removed_pages: Vec<_> = removed_pages.copied().collect();
        let removed_jobs = self.removable_jobs(room.rows / ROWS_PER_JOB, now);
        let ends = if self.dirty_pages.is_empty() { self.unstored_ends() } else { Vec::new() };
        let mut commit = Commit {
            rows,
            removed_pages,
            removed_jobs,
            enrolled,
            reopened,
            vacating,
            removed_workers,
            model: None,
            ends,
        };
        if commit.is_empty() {
            self.commit_rows = None;
            self.committed(&commit);
            return None;
        }
        commit.model = self.model_snapshot(now);
        Some(commit)
    }

    /// Returns the changed pages that the commit has room for.
    fn dirty_rows(&mut self, room: &mut Room) -> Vec<Row> {
        let mut rows = Vec::new();
        for (job, page) in self.dirty_pages.clone() {
            let Some(entry) = self.jobs.get(&job) else {
                self.dirty_pages.remove(&(job, page));
                continue;
            };
            if page > 0 && entry.final_state.is_some() {
                self.dirty_pages.remove(&(job, page));
                continue;
            }
            // An earlier version has stored all pages in the first row.
            let others = self.dirty_pages.range((job, 1)..=(job, u32::MAX));
            let is_needed = entry.is_unsplit && entry.final_state.is_none();
            if page == 0 && is_needed && others.count() > 0 {
                continue;
            }
            let Some(row) = self.row(job, page) else {
                self.end_job_unstored(job, page);
                continue;
            };
            if !room.take(1, row.value.len()) {
                break;
            }
            self.dirty_pages.remove(&(job, page));
            rows.push(row);
        }
        rows
    }

    /// Returns a page as it is stored, or `None` if it is longer than the store's rows, also without
    /// checkpoints and orders.
    fn row(&self, job: task::JobId, page: u32) -> Option<Row> {
        let mut progress = self.jobs.get(&job)?.page_progress(page);
        self.add_unsettled(job, page, &mut progress);
        let mut value = record::encode("progress", &progress).ok()?;
        if value.len() > self.settings.max_row {
            progress.phases.iter_mut().for_each(|phase| phase.checkpoints.clear());
            value = record::encode("progress", &progress).ok()?;
        }
        if value.len() > self.settings.max_row {
            progress.phases.iter_mut().for_each(|phase| phase.unsettled.clear());
            value = record::encode("progress", &progress).ok()?;
        }
        (value.len() <= self.settings.max_row).then_some(Row { job, page, progress, value })
    }

    /// Ends a job of which a page cannot be stored, so that it does not hold up the commits of others.
    fn end_job_unstored(&mut self, job: task::JobId, page: u32) {
        self.dirty_pages.remove(&(job, page));
        self.note(Note::Unstorable { job, page });
        self.end_job(job, job::State::Failed, self.decided_at);
    }

    /// Returns the learned model if it is due to be stored. It is added only to commits that are
    /// made anyway: while there are none, no task ends and little is learned.
    fn model_snapshot(&mut self, now: time::Timestamp) -> Option<record::ModelSnapshot> {
        if now.since(self.model_stored_at) < self.settings.model_interval {
            return None;
        }
        self.model_stored_at = now;
        let model = self.interference.snapshot();
        let is_storable = !model.pairs.is_empty() && length(&model) <= self.settings.max_row;
        is_storable.then_some(model)
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
            let is_known = w.incarnation.is_none_or(|known| known == w.registration.incarnation);
            w.is_listed
                && !w.is_enrolled
                && w.draining_since.is_none()
                && !is_out_of_reach
                && w.unconfirmed_since.is_none()
                && is_known
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
        self.commit_rows = self.commit_rows.map(|rows| rows * 2).filter(|rows| *rows < MAX_ROWS);
        for row in &commit.rows {
            self.send_stored(row);
            if let Some(entry) = self.jobs.get_mut(&row.job) {
                entry.is_unsplit &= row.page > 0;
                entry.stored_pages.insert(row.page);
                entry.stored_state = entry.stored_state.or(row.progress.final_state);
            }
            if row.progress.final_state.is_some() {
                self.discard_texts(row.job);
            }
            self.remove_pages_of_ended(row.job);
        }
        for page in &commit.removed_pages {
            self.removed_pages.remove(page);
        }
        for job in &commit.removed_jobs {
            self.remove_job(*job);
            self.orphans.remove(job);
        }
        for row in &commit.enrolled {
            self.enrolment_stored(&row.worker);
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
        self.dirty_pages.extend(commit.rows.iter().map(|row| (row.job, row.page)));
    }

    /// Records that the store will never take a commit. Its rows are included in smaller ones, until the
    /// row is found that the store refuses. That one is left out, so that it does not hold up others.
    pub fn commit_rejected(&mut self, commit: &Commit) {
        self.commit_failed(commit);
        let count = commit.rows.len() + commit.enrolled.len() + commit.vacating.len();
        if count > 1 || commit.model.is_some() {
            self.commit_rows = Some((count / 2).max(1));
            return;
        }
        for row in &commit.rows {
            self.end_job_unstored(row.job, row.page);
        }
        for entry in commit.enrolled.iter().map(|row| &row.worker) {
            self.unenrolled.remove(&entry.id);
        }
        for row in &commit.vacating {
            self.unstored_vacating.remove(&row.worker);
        }
    }

    /// Marks the page of a task as changed.
    pub(super) fn mark_dirty(&mut self, task: task::TaskId) {
        if let Some(entry) = self.jobs.get(&task.phase.job) {
            self.dirty_pages.insert((task.phase.job, entry.page(task)));
        }
    }

    /// Has the pages of a job removed whose final state is stored, but for the first one, which has it.
    pub(super) fn remove_pages_of_ended(&mut self, job: task::JobId) {
        let entry = self.jobs.get_mut(&job).filter(|entry| entry.stored_state.is_some());
        if let Some(entry) = entry {
            let removed = entry.stored_pages.split_off(&1);
            self.removed_pages.extend(removed.into_iter().map(|page| (job, page)));
        }
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
