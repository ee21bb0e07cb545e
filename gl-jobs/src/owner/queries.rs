//! What callers may ask of an owner.

use super::{JobEntry, Owner, Run, Worker};
use crate::{job, task, worker};

impl Owner {
    /// Returns the state of a job as clients may see it, or `None` if the job is unknown.
    pub fn state(&self, id: task::JobId) -> Option<job::State> {
        let entry = self.jobs.get(&id)?;
        let unfinished = if entry.has_started { job::State::Running } else { job::State::Queued };
        Some(entry.stored_state.unwrap_or(unfinished))
    }

    /// Returns the number of jobs of a queue that were accepted and have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending =
            |e: &&JobEntry| !e.has_started && e.final_state.is_none() && e.job.queue == queue;
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns the workers of the cell.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns a worker.
    pub fn worker(&self, id: &worker::WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (task::JobId, &JobEntry)> {
        self.jobs.iter().map(|(id, entry)| (*id, entry))
    }

    /// Returns the runs.
    pub fn runs(&self) -> impl Iterator<Item = (task::TaskId, &Run)> {
        self.runs.iter().map(|(id, run)| (*id, run))
    }
}
