//! The first moments of an owner: reading what is stored, and finding out what runs.

use std::collections;

use gl_model::time;

use super::{Moment, Note, Owner};
use crate::{job, record, task, worker};

/// A job as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredJob {
    /// Its identity.
    pub id: task::JobId,
    /// What was submitted.
    pub job: job::Job,
    /// How far it has come.
    pub progress: Option<record::Progress>,
    /// Whether its client wants it to end.
    pub is_cancelled: bool,
    /// Whether it was accepted before this owner's claim, so that its tasks may run unseen.
    pub is_inherited: bool,
}

/// What a new owner has yet to find out. Until then it starts no task of an earlier owner's job,
/// as such a task may be running on a worker that hasn't answered.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Workers that haven't answered a look.
    pending: collections::BTreeSet<worker::WorkerId>,
    /// When all leases given by earlier owners have expired.
    until: time::Timestamp,
}

impl Owner {
    /// Takes over what an earlier owner left, after the claim at `moment`.
    ///
    /// `roster` has all workers that earlier owners may have started tasks on. The platform's list
    /// doesn't do for that, as the entry of a living worker may be missing for a while.
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

    /// A worker that earlier owners may have started tasks on.
    fn add_enrolled(&mut self, entry: worker::Registration, now: time::Timestamp) {
        let is_superseded = self.workers.values().any(|w| {
            w.registration.vm == entry.vm
                && w.registration.id != entry.id
                && w.registration.incarnation > entry.incarnation
        });
        if is_superseded {
            self.removed_workers.insert(entry.id);
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
        if is_open {
            self.open_due(row.id, moment);
            self.finish_if_done(row.id, moment.now);
        }
    }

    /// Whether tasks of earlier owners' jobs have to wait.
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

/// Ends the recovery once all workers have answered or their leases have expired.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let Some(recovery) = &owner.recovery else {
        return;
    };
    if recovery.pending.is_empty() || now >= recovery.until {
        let missing = recovery.pending.len();
        owner.recovery = None;
        owner.note(Note::Recovered { missing });
    }
}
