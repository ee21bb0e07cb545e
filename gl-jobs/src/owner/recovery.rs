//! Recovery after a change of owner: restores the stored jobs, and waits until all runs that
//! earlier owners may have started are known.

use std::collections;

use gl_model::time;

use super::{Moment, Note, Owner};
use crate::{job, record, task, worker};

/// A job as it was read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredJob {
    /// Its identity.
    pub id: task::JobId,
    /// The job as it was submitted.
    pub job: job::Job,
    /// The stored progress, if there is any.
    pub progress: Option<record::Progress>,
    /// Whether its cancellation is stored.
    pub is_cancelled: bool,
    /// Whether the job was accepted before this owner's claim, so that some of its tasks may
    /// already run on workers that have not replied yet.
    pub is_inherited: bool,
}

/// The state of a recovery that is not complete. Until then the owner starts no task of an earlier
/// owner's job, because such a task may be running on a worker that has not replied.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The workers that have not replied to a poll yet.
    pending: collections::BTreeSet<worker::WorkerId>,
    /// The time at which all leases granted by earlier owners have expired.
    until: time::Timestamp,
}

impl Owner {
    /// Restores what an earlier owner has stored, after the claim at `moment`.
    ///
    /// `roster` has all workers on which earlier owners may have started tasks. The platform's list
    /// is not sufficient for that, because the entry of a live worker may be missing from it for
    /// some time.
    pub fn recover(
        &mut self,
        stored: Vec<StoredJob>,
        roster: Vec<worker::Registration>,
        moment: &Moment,
    ) {
        let settings = self.settings;
        for entry in roster {
            self.add_enrolled(entry, moment.now);
        }
        let leases = settings.horizon
            + settings.horizon.scaled(settings.clock_drift)
            + settings.clock_margin;
        self.recovery = Some(Recovery {
            pending: self.workers.keys().cloned().collect(),
            until: moment.now + leases,
        });
        for row in stored {
            self.restore(row, moment);
        }
    }

    /// Adds a worker of the roster, on which earlier owners may have started tasks.
    fn add_enrolled(&mut self, entry: worker::Registration, now: time::Timestamp) {
        let is_superseded = self.workers.values().any(|w| {
            w.registration.vm == entry.vm
                && w.registration.id != entry.id
                && w.registration.incarnation > entry.incarnation
        });
        if is_superseded {
            self.removed_workers.insert(entry.id);
            self.has_hidden_crashes = true;
            return;
        }
        let settings = self.settings;
        let worker = self.workers.entry(entry.id.clone()).or_insert_with(|| {
            let mut worker = super::Worker::new(entry.clone(), &settings, now);
            worker.is_listed = false;
            worker
        });
        worker.is_enrolled = worker.registration.address == entry.address;
        worker.was_enrolled = true;
        worker.enrolled_as = Some(entry.incarnation);
        self.update_unstored(&entry.id);
    }

    fn restore(&mut self, row: StoredJob, moment: &Moment) {
        let mut entry = super::JobEntry::new(row.job, moment);
        entry.is_inherited = row.is_inherited;
        entry.restore(row.progress.unwrap_or_default());
        if entry.final_state.is_none() && row.is_cancelled {
            entry.final_state = Some(job::State::Cancelled);
            entry.stored_state = entry.final_state;
        }
        entry.ended_at = moment.now;
        let is_open = entry.final_state.is_none();
        if is_open && entry.job.schedule.is_some() {
            self.scheduled_jobs.insert(row.id);
        }
        self.jobs.insert(row.id, entry);
        self.index_suspects(row.id);
        if is_open {
            self.open_due(row.id, moment);
            self.finish_if_done(row.id, moment.now);
        }
    }

    /// Returns whether the tasks of earlier owners' jobs have to wait.
    pub const fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    pub(super) fn expect_reply(&mut self, id: &worker::WorkerId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.pending.insert(id.clone());
        }
    }

    pub(super) fn mark_replied(&mut self, id: &worker::WorkerId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.pending.remove(id);
        }
    }
}

/// Completes the recovery once all workers have replied or their leases have expired.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let Some(recovery) = &owner.recovery else {
        return;
    };
    if recovery.pending.is_empty() || now >= recovery.until {
        let missing = recovery.pending.len();
        owner.recovery = None;
        owner.has_hidden_crashes |= owner.workers.values().any(super::Worker::was_replaced);
        owner.note(Note::Recovered { missing });
    }
}
