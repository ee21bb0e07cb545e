//! Jobs that the owner is told of or reads in the store, and their cancellations.

use gl_model::time;

use super::{JobEntry, Moment, Owner, footprint};
use crate::{job, task};

impl Owner {
    /// Adds a stored job. A job that is already present is left unchanged.
    pub fn add_job(&mut self, id: task::JobId, job: job::Job, moment: &Moment) {
        self.add_job_after(id, job, time::Timestamp::default(), moment);
    }

    /// Adds a job that was stored after `after`, by the owner's steady clock; a job that is announced
    /// by the daemon that stored it, just now. Its age does not depend on clocks that jump then.
    ///
    /// No earlier owner knows the job: it was announced to this owner only, and an owner that reads it
    /// in the store confirms its ownership before it uses the job.
    pub fn add_job_after(
        &mut self,
        id: task::JobId,
        job: job::Job,
        after: time::Timestamp,
        moment: &Moment,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let entry = JobEntry::new(job, after, moment);
        if entry.job.schedule.is_some() {
            self.scheduled_jobs.insert(id);
        }
        self.insert_job(id, entry);
        self.count_arrival(id, moment.now);
        self.open_due(id, moment);
    }

    /// Adds a job that was read in the store, and stored after `after`. It may have been announced to an
    /// earlier owner. A job that was removed during the read has ended.
    pub fn add_read_job(
        &mut self,
        id: task::JobId,
        job: job::Job,
        after: time::Timestamp,
        moment: &Moment,
    ) {
        if self.jobs.contains_key(&id) || self.unread.was_removed(id) {
            return;
        }
        self.add_job_after(id, job, after, moment);
        let is_inherited = self.may_precede(after);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.is_inherited = is_inherited;
        }
    }

    /// Adds the entry of a job, and counts its memory.
    pub(super) fn insert_job(&mut self, id: task::JobId, mut entry: JobEntry) {
        entry.discard_texts();
        entry.footprint = footprint::of(&entry.job);
        self.job_bytes += entry.footprint;
        if let Some(old) = self.jobs.insert(id, entry) {
            self.job_bytes -= old.footprint;
        }
    }

    /// Removes the entry of a job.
    pub(super) fn remove_job(&mut self, id: task::JobId) {
        if let Some(entry) = self.jobs.remove(&id) {
            self.job_bytes -= entry.footprint;
            self.unread.job_removed(id);
        }
    }

    /// Discards the texts of a job if its final state is stored.
    pub(super) fn discard_texts(&mut self, id: task::JobId) {
        let Some(entry) = self.jobs.get_mut(&id).filter(|entry| entry.stored_state.is_some())
        else {
            return;
        };
        self.job_bytes -= entry.footprint;
        entry.discard_texts();
        entry.footprint = footprint::of(&entry.job);
        self.job_bytes += entry.footprint;
    }

    /// Returns the estimated memory of all jobs, in bytes.
    pub const fn job_bytes(&self) -> usize {
        self.job_bytes
    }

    /// Returns whether the owner has a job.
    pub fn has_job(&self, id: task::JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Ends a job whose cancellation is stored.
    pub fn cancel_job(&mut self, id: task::JobId, now: time::Timestamp) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.final_state.is_some() {
            return;
        }
        entry.final_state = Some(job::State::Cancelled);
        entry.stored_state = Some(job::State::Cancelled);
        entry.ended_at = now;
        self.discard_texts(id);
        self.count_end(id, job::State::Cancelled);
        self.note_decided(id, now);
        self.close_job(id, now);
        self.remove_pages_of_ended(id);
    }

    /// Adds stored pages of jobs of which only the progress is stored; they are removed by later commits.
    pub fn add_orphans(&mut self, orphans: impl Iterator<Item = (task::JobId, u32)>) {
        for (job, page) in orphans {
            if page == 0 {
                self.orphans.insert(job);
            } else {
                self.removed_pages.insert((job, page));
            }
        }
    }
}
