//! The roster: the stored list of the workers that may run tasks. A new owner waits for all of them,
//! so a worker leaves it as soon as it runs nothing and gets no new tasks. Of a worker that gets no new
//! tasks its last tasks are stored, and of one that cannot be reached the end of its leases, so that
//! a new owner waits no longer than necessary, and with no other tasks.

use gl_model::time;

use crate::owner::commit::{self, Room};
use crate::owner::{Owner, Worker};
use crate::{record, worker};

/// The largest number of tasks that are stored of a worker; a row has to fit into the store. With more,
/// any task may run there.
const MAX_STORED_TASKS: usize = 200;

/// A change of what the roster says of a worker.
enum Change {
    /// The worker leaves the roster.
    Leave,
    /// The worker gets no new tasks, and may run these only.
    Vacate(record::Vacating),
    /// No lease of the worker is extended any more.
    Bound(record::Vacating),
}

/// Updates the roster.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let mut changes = Vec::new();
    for (id, worker) in owner.workers.iter().filter(|(_, worker)| worker.in_roster) {
        changes.extend(change(owner, worker, now).map(|change| (id.clone(), change)));
    }
    changes.extend(unreachable(owner, now));
    for (id, change) in changes {
        owner.apply_change(&id, change);
    }
}

/// Returns the change for a worker that is draining or no longer listed. A worker that has not
/// replied to this owner may run tasks of earlier owners until the recovery is complete.
fn change(owner: &Owner, worker: &Worker, now: time::Timestamp) -> Option<Change> {
    let is_draining = worker.draining_since.is_some();
    let has_replied = worker.incarnation.is_some();
    if worker.is_listed && !is_draining || worker.unknown_runs > 0 {
        return None;
    }
    if worker.runs.is_empty() && (has_replied || !owner.is_recovering()) {
        return Some(Change::Leave);
    }
    if !has_replied {
        return None;
    }
    let is_short = worker.runs.len() <= MAX_STORED_TASKS;
    let row = record::Vacating {
        worker: worker.registration.id.clone(),
        tasks: is_short.then(|| worker.runs.iter().copied().collect()),
        until: None,
    };
    if worker.is_unresponsive {
        let until = worker.expiry(&owner.settings).filter(|_| !worker.has_stored_end)?;
        return bound(owner, row, until.max(now));
    }
    if !is_short {
        return None;
    }
    let is_stored = worker.vacating.as_ref().is_some_and(|row| row.tasks.is_some());
    (worker.has_stored_end || !is_stored).then_some(Change::Vacate(row))
}

/// Returns the changes for workers that have not replied since the takeover.
fn unreachable(owner: &Owner, now: time::Timestamp) -> Vec<(worker::WorkerId, Change)> {
    let Some(recovery) = &owner.recovery else {
        return Vec::new();
    };
    let unbounded = recovery.unreachable(now).filter_map(|(id, until)| {
        let is_due = |worker: &&Worker| worker.is_unresponsive && !worker.has_stored_end;
        let worker = owner.workers.get(id).filter(is_due)?;
        let tasks = worker.vacating.as_ref().and_then(|row| row.tasks.clone());
        let row = record::Vacating { worker: id.clone(), tasks, until: None };
        Some((id.clone(), bound(owner, row, until)?))
    });
    unbounded.collect()
}

/// Returns the change that stores the end of a worker's leases. Without it, the wait for the worker
/// would begin anew with each change of owner.
fn bound(owner: &Owner, row: record::Vacating, until: time::Timestamp) -> Option<Change> {
    let until = owner.store_clock?.stored(until, owner.settings.clock_drift);
    Some(Change::Bound(record::Vacating { until: Some(until), ..row }))
}

impl Owner {
    /// Returns the workers to enrol, and those of them of which a row has to be removed, as far as there
    /// is room for both.
    pub(in crate::owner) fn enrollable(
        &self,
        room: &mut Room,
        now: time::Timestamp,
    ) -> (Vec<record::Enrolment>, Vec<worker::WorkerId>) {
        let (mut enrolled, mut reopened) = (Vec::new(), Vec::new());
        for id in &self.unenrolled {
            let Some(worker) = self.workers.get(id) else { continue };
            let carried = worker.carried_until.filter(|until| now < *until);
            let drift = self.settings.clock_drift;
            let stored = self.store_clock.and_then(|clock| Some(clock.stored(carried?, drift)));
            // Without the store's clock the leases have to expire first.
            if carried.is_some() && stored.is_none() {
                continue;
            }
            let worker_row =
                record::Enrolment { worker: worker.registration.clone(), carried_until: stored };
            let has_row = worker.vacating.is_some() || self.removed_workers.contains(id);
            let bytes = commit::length(&worker_row);
            if bytes <= self.settings.max_row && !room.take(1 + usize::from(has_row), bytes) {
                break;
            }
            if bytes > self.settings.max_row {
                continue;
            }
            enrolled.push(worker_row);
            reopened.extend(has_row.then(|| id.clone()));
        }
        (enrolled, reopened)
    }

    /// Records that a worker is stored. One that has left the table meanwhile is removed again by a later
    /// commit.
    pub(in crate::owner) fn enrolment_stored(&mut self, entry: &worker::Registration) {
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            let is_same = worker.incarnation.is_none_or(|known| known == entry.incarnation);
            worker.is_enrolled = is_same && worker.registration.address == entry.address;
            worker.stored_as = Some(entry.incarnation);
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

    fn apply_change(&mut self, id: &worker::WorkerId, change: Change) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.is_enrolled = false;
        match change {
            Change::Leave => {
                worker.in_roster = false;
                self.unstored_vacating.remove(id);
                self.removed_workers.insert(id.clone());
            }
            Change::Vacate(row) => {
                worker.vacating = Some(row);
                self.unstored_vacating.insert(id.clone());
            }
            Change::Bound(row) => {
                worker.has_stored_end = true;
                worker.vacating = Some(row);
                self.unstored_vacating.insert(id.clone());
            }
        }
        self.update_unstored(id);
    }
}
