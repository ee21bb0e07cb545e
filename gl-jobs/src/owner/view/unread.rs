//! Jobs that workers report and the owner does not know. They may be stored, as an owner that was
//! replaced has started them, and only their announcement went to that owner.

use std::collections;

use gl_model::time;

use crate::owner::Owner;
use crate::{task, worker};

/// The time after which an unknown job that is still reported is looked up again.
const VALIDITY: time::Span = time::Span::seconds(60);

/// The unknown jobs that workers have reported, and the tasks that wait until these are settled.
#[derive(Clone, Debug, Default)]
pub struct Unread {
    /// The time at which each job was first reported.
    jobs: collections::BTreeMap<task::JobId, time::Timestamp>,
    /// The time at which the newest read of the stored jobs was sent.
    read_at: time::Timestamp,
    /// The jobs that were removed since then. A read that was in progress may still have them.
    removed: collections::BTreeSet<task::JobId>,
    /// The tasks with a reported run or end that is not taken into account yet, by worker.
    held: collections::BTreeMap<worker::WorkerId, collections::BTreeSet<task::TaskId>>,
}

impl Unread {
    /// Returns whether an unknown job that is reported at `now` may be stored: the stored jobs have not
    /// been read since it was first reported.
    pub fn is_unread(&mut self, job: task::JobId, now: time::Timestamp) -> bool {
        *self.jobs.entry(job).or_insert(now) >= self.read_at
    }

    /// Records that an ended job was removed from the store.
    pub fn job_removed(&mut self, job: task::JobId) {
        self.removed.insert(job);
    }

    /// Returns whether a job that a read has was removed during the read.
    pub fn was_removed(&self, job: task::JobId) -> bool {
        self.removed.contains(&job)
    }

    /// Holds these tasks, and no others, because of the newest reply of a worker.
    pub fn hold(&mut self, id: &worker::WorkerId, tasks: collections::BTreeSet<task::TaskId>) {
        if tasks.is_empty() {
            self.held.remove(id);
        } else {
            self.held.insert(id.clone(), tasks);
        }
    }

    /// Holds one more task because of that reply.
    pub fn hold_also(&mut self, id: &worker::WorkerId, task: task::TaskId) {
        self.held.entry(id.clone()).or_default().insert(task);
    }

    /// Releases the tasks of a worker that has terminated.
    pub fn release(&mut self, id: &worker::WorkerId) {
        self.held.remove(id);
    }

    /// Returns whether a task must not start before the next reply of a worker.
    pub fn holds(&self, task: task::TaskId) -> bool {
        self.held.values().any(|tasks| tasks.contains(&task))
    }
}

impl Owner {
    /// Records the ends that are new, in their order, up to the first one of a job that the owner may not
    /// have read yet. Returns the tasks of the others, which are reported again.
    pub(in crate::owner) fn record_ends(
        &mut self,
        id: &worker::WorkerId,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) -> collections::BTreeSet<task::TaskId> {
        let processed = self.workers.get(id).map_or(0, |worker| worker.processed_end);
        let mut new = reply.ended.iter().filter(|end| end.number > processed).peekable();
        while let Some(end) = new.next_if(|end| !self.is_unread(end.task.phase.job, now)) {
            self.note_missed_ends(id, end.number);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.processed_end = worker.processed_end.max(end.number);
            }
            self.record_end(id, end, now);
        }
        new.map(|end| end.task).collect()
    }

    /// Returns whether a job that a worker reports may be stored without the owner having read it.
    pub(in crate::owner) fn is_unread(&mut self, job: task::JobId, now: time::Timestamp) -> bool {
        !self.jobs.contains_key(&job) && self.unread.is_unread(job, now)
    }

    /// Records that all jobs are known that were stored when a read was sent at `sent`. The next one is sent
    /// later than this.
    pub fn work_read(&mut self, sent: time::Timestamp) {
        let unread = &mut self.unread;
        unread.removed.clear();
        unread.read_at = unread.read_at.max(sent);
        unread.jobs.retain(|id, at| !self.jobs.contains_key(id) && sent.since(*at) < VALIDITY);
    }
}
