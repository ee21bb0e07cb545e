//! Recovery after a change of owner: restores the stored jobs, and waits until all runs that
//! earlier owners may have started are known.

pub(in crate::owner) mod accounts;
pub(in crate::owner) mod adoption;
pub(in crate::owner) mod store_clock;
pub(in crate::owner) mod timeouts;

use std::collections;

use gl_model::time;

use crate::owner::{Action, Moment, Note, Owner};
use crate::{job, record, task, worker};

/// A job as it was read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredJob {
    /// Its identity.
    pub id: task::JobId,
    /// The job as it was submitted.
    pub job: job::Job,
    /// The stored progress, if there is any: that of all pages.
    pub progress: Option<record::Progress>,
    /// The numbers of the stored pages.
    pub pages: collections::BTreeSet<u32>,
    /// Whether its cancellation is stored.
    pub is_cancelled: bool,
    /// Whether the job was accepted before this owner's claim, so that some of its tasks may
    /// already run on workers that have not replied yet.
    pub is_inherited: bool,
}

/// What a new owner takes over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Takeover {
    /// The stored jobs.
    pub jobs: Vec<StoredJob>,
    /// All workers on which earlier owners may have started tasks. The platform's list is not
    /// sufficient for that, because the entry of a live worker may be missing from it for some time.
    pub roster: Vec<record::Enrolment>,
    /// What earlier owners have stored of workers that get no new tasks.
    pub vacating: Vec<record::Vacating>,
    /// The longest time for which leases of workers may last, if the last owner is known to extend
    /// none any more.
    pub outstanding: Option<time::Span>,
    /// The time from which on no earlier owner orders starts; `None` if none did any more at the claim. See
    /// [`crate::election::starts_left()`].
    pub superseded_at: Option<time::Timestamp>,
}

/// The state of a recovery that is not complete. Until then the owner starts no task of an earlier
/// owner's job that may be running on a worker that has not replied.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The workers that have not replied to a poll yet and may have valid leases.
    pending: collections::BTreeMap<worker::WorkerId, Pending>,
    /// The tasks that workers reported as running, with the attempt. As their earlier runs have ended, no other
    /// worker runs them.
    reported: collections::BTreeMap<task::TaskId, u64>,
    /// The number of workers whose leases have expired before they replied.
    missing: usize,
    /// The time at which the stored state was read.
    since: time::Timestamp,
    /// Whether the wait for workers has been reported.
    is_reported: bool,
}

/// What may be running on a worker that has not replied.
#[derive(Clone, Debug)]
struct Pending {
    /// The only tasks that may run there; `None` if any task may.
    tasks: Option<collections::BTreeSet<task::TaskId>>,
    /// The time at which all leases granted by earlier owners have expired, but for those below.
    until: time::Timestamp,
    /// The time at which those have expired that the worker may have got by calls to an earlier incarnation.
    carried: time::Timestamp,
}

impl Pending {
    /// Returns the time at which all leases have expired.
    fn ends(&self) -> time::Timestamp {
        self.until.max(self.carried)
    }
}

impl Recovery {
    /// Returns whether a worker that has not replied may be running the task, or may list a failure with which
    /// the task reaches its attempt limit.
    pub(in crate::owner) fn blocks(&self, task: task::TaskId) -> bool {
        let may_run = |p: &Pending| p.tasks.as_ref().is_none_or(|tasks| tasks.contains(&task));
        !self.reported.contains_key(&task) && self.pending.values().any(may_run)
    }

    /// Returns the workers that have not replied for some time, with the end of their leases.
    pub(in crate::owner) fn unreachable(
        &self,
        now: time::Timestamp,
    ) -> impl Iterator<Item = (&worker::WorkerId, time::Timestamp)> {
        let is_overdue = now.since(self.since) >= UNREACHABLE_AFTER;
        self.pending.iter().filter(move |_| is_overdue).map(|(id, pending)| (id, pending.ends()))
    }
}

/// The time after which the wait for workers is reported, and after which the end of the leases of those
/// that failed to reply is stored. Workers that can be reached reply sooner.
const UNREACHABLE_AFTER: time::Span = time::Span::millis(500);
/// The maximum number of workers that such a report names.
const REPORTED_WORKERS: usize = 8;

impl Owner {
    /// Restores what an earlier owner has stored, after the claim at `moment`.
    pub fn recover(&mut self, takeover: Takeover, moment: &Moment) {
        let settings = self.settings;
        let outstanding = takeover.outstanding.unwrap_or(settings.horizon);
        // An owner of another version may have a longer horizon.
        self.inherited_lease = outstanding.min(settings.max_lease);
        self.superseded_at = takeover.superseded_at;
        for entry in takeover.roster {
            self.add_enrolled(entry, moment.now);
        }
        for row in takeover.vacating {
            self.add_vacating(row);
        }
        let enrolled = self.workers.values().filter(|worker| worker.in_roster);
        let pending = enrolled.map(|w| (w.registration.id.clone(), self.pending_at(w, moment.now)));
        self.recovery = Some(Recovery {
            pending: pending.collect(),
            reported: collections::BTreeMap::new(),
            missing: 0,
            since: moment.now,
            is_reported: false,
        });
        for row in takeover.jobs {
            self.restore(row, moment);
        }
    }

    /// Returns what may be running on an enrolled worker at the time of the takeover.
    fn pending_at(&self, worker: &crate::owner::Worker, now: time::Timestamp) -> Pending {
        let drift = self.settings.clock_drift;
        let longest = self.settings.lease_end(now, self.inherited_lease);
        let vacating = worker.vacating.as_ref();
        let stored = vacating.and_then(|row| Some(self.store_clock?.local(row.until?, drift)));
        Pending {
            tasks: vacating.and_then(|row| Some(row.tasks.as_ref()?.iter().copied().collect())),
            until: stored.map_or(longest, |until| until.min(longest)),
            carried: if worker.stored_as == Some(worker.registration.incarnation) {
                worker.carried_until.unwrap_or(now)
            } else {
                worker.carried_end(now, &self.settings)
            },
        }
    }

    /// Adds a worker of the roster, on which earlier owners may have started tasks.
    fn add_enrolled(&mut self, row: record::Enrolment, now: time::Timestamp) {
        let entry = row.worker;
        let settings = self.settings;
        let worker = self.workers.entry(entry.id.clone()).or_insert_with(|| {
            let mut worker = crate::owner::Worker::new(entry.clone(), &settings, now);
            worker.is_listed = false;
            worker
        });
        worker.is_domain_emptied = self.emptied.is_emptied(&worker.registration.domain);
        worker.is_enrolled = worker.registration.address == entry.address;
        worker.in_roster = true;
        worker.was_enrolled = true;
        worker.enrolled_as = Some(entry.incarnation);
        worker.stored_as = worker.enrolled_as;
        worker.carried_until = row.carried_until.map(|until| {
            let longest = settings.lease_end(now, settings.max_lease);
            let local = self.store_clock.map(|clock| clock.local(until, settings.clock_drift));
            local.map_or(longest, |until| until.min(longest))
        });
        self.update_unstored(&entry.id);
    }

    fn add_vacating(&mut self, row: record::Vacating) {
        let id = row.worker.clone();
        if let Some(worker) = self.workers.get_mut(&id).filter(|worker| worker.in_roster) {
            worker.is_enrolled = false;
            worker.has_stored_end = row.until.is_some();
            worker.vacating = Some(row);
        }
        self.update_unstored(&id);
    }

    fn restore(&mut self, row: StoredJob, moment: &Moment) {
        let mut entry = crate::owner::JobEntry::new(row.job, time::Timestamp::default(), moment);
        // It may have been accepted before the last owner noticed the claim, however late it is read.
        entry.is_inherited = row.is_inherited || self.superseded_at.is_some();
        let progress = row.progress.unwrap_or_default();
        self.restore_unsettled(row.id, &progress, moment.now);
        entry.restore(progress, row.pages);
        if entry.final_state.is_none() && row.is_cancelled {
            entry.final_state = Some(job::State::Cancelled);
            entry.stored_state = entry.final_state;
        }
        entry.ended_at = moment.now;
        let is_open = entry.final_state.is_none();
        if is_open && entry.job.schedule.is_some() {
            self.scheduled_jobs.insert(row.id);
        }
        if entry.is_unsplit {
            let pages = entry.pages_in_use().into_iter().chain([0]);
            self.dirty_pages.extend(pages.map(|page| (row.id, page)));
        }
        self.insert_job(row.id, entry);
        self.remove_pages_of_ended(row.id);
        self.index_suspects(row.id);
        if is_open {
            self.record_size(row.id);
            self.open_due(row.id, moment);
            self.finish_if_done(row.id, moment.now);
        }
    }

    /// Returns whether the tasks of earlier owners' jobs have to wait.
    pub const fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns whether an earlier owner may have started tasks of a job that was accepted at `accepted`
    /// or later, on workers that have not replied to this owner.
    pub(in crate::owner) fn may_precede(&self, accepted: time::Timestamp) -> bool {
        self.is_recovering() && self.superseded_at.is_some_and(|at| accepted < at)
    }

    /// Returns the longest time for which leases may last that this owner and earlier ones have
    /// granted, if this owner extends none after `now`.
    pub fn outstanding(&self, now: time::Timestamp) -> time::Span {
        let own = self.settings.lease.max(self.settings.start_window);
        let pending = self.recovery.iter().flat_map(|recovery| recovery.pending.values());
        // The next owner adds the time that the workers may take to end the runs itself.
        let left = |pending: &Pending| (pending.until - self.settings.lapse_time()).since(now);
        pending.map(left).max().map_or(own, |left| left.max(own))
    }

    /// Returns whether the task may be running on a worker that has not replied to this owner.
    pub(in crate::owner) fn may_run_unseen(&self, task: task::TaskId) -> bool {
        self.recovery.as_ref().is_some_and(|recovery| recovery.blocks(task))
    }

    pub(in crate::owner) fn mark_replied(&mut self, id: &worker::WorkerId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.pending.remove(id);
        }
    }

    /// Keeps waiting for a worker whose lease is extended at `now`, as it has listed a part of its ends only.
    /// The others may be runs that were done.
    pub(in crate::owner) fn keep_pending(&mut self, id: &worker::WorkerId, now: time::Timestamp) {
        let until = self.settings.lease_end(now, self.settings.lease);
        let pending = self.recovery.as_mut().and_then(|recovery| recovery.pending.get_mut(id));
        if let Some(pending) = pending {
            pending.until = pending.until.max(until);
        }
    }

    /// Keeps waiting for a worker until `until`, as it has started again and may have got calls to its last
    /// incarnation.
    pub(in crate::owner) fn extend_pending(
        &mut self,
        id: &worker::WorkerId,
        until: time::Timestamp,
    ) {
        let pending = self.recovery.as_mut().and_then(|recovery| recovery.pending.get_mut(id));
        if let Some(pending) = pending {
            pending.carried = pending.carried.max(until);
        }
    }

    pub(in crate::owner) fn mark_reported(&mut self, task: task::TaskId, attempt: u64) {
        if let Some(recovery) = &mut self.recovery {
            recovery.reported.insert(task, attempt);
        }
    }

    /// Has a reported task wait for all workers again, as its reported run or a later one has failed. An owner
    /// starts no task at its attempt limit, but the workers of earlier runs may list failures that only that
    /// owner knew, with which this one reaches the limit.
    pub(in crate::owner) fn reported_failed(&mut self, task: task::TaskId, failed: u64) {
        if let Some(recovery) = &mut self.recovery
            && recovery.reported.get(&task).is_some_and(|attempt| failed >= *attempt)
        {
            recovery.reported.remove(&task);
        }
    }
}

/// Completes the recovery once each worker has replied or its leases have expired.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let Some(recovery) = &mut owner.recovery else {
        return;
    };
    let count = recovery.pending.len();
    let expired = recovery.pending.extract_if(.., |_, pending| now >= pending.ends());
    let since = recovery.since;
    for (id, pending) in expired {
        if let Some(worker) = owner.workers.get(&id) {
            let note = worker.unseen_leases_expired(since, pending.ends(), now);
            owner.actions.push(Action::Note(note));
        }
        owner.accounts.add_expired(id, now);
    }
    let left = recovery.pending.len();
    recovery.missing += count - left;
    let took = now.since(recovery.since);
    if left == 0 {
        let missing = recovery.missing;
        owner.recovery = None;
        owner.has_hidden_crashes |= owner.workers.values().any(crate::owner::Worker::was_replaced);
        owner.note(Note::Recovered { missing, took });
    } else if took >= UNREACHABLE_AFTER && !recovery.is_reported {
        recovery.is_reported = true;
        let workers = recovery.pending.keys().take(REPORTED_WORKERS).cloned().collect();
        let last = recovery.pending.values().map(Pending::ends).max();
        let left = last.map_or(time::Span::ZERO, |last| last.since(now));
        owner.note(Note::Recovering { missing: count, workers, left });
    }
}
