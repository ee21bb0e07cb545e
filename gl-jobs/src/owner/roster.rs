//! The roster: the stored list of the workers that may run tasks. A new owner waits for all of them,
//! so a worker leaves it as soon as it runs nothing and gets no new tasks.

use super::{Owner, Worker};
use crate::worker;

/// Removes the workers that are draining or no longer listed and run no task. Those that are still
/// polled stay in the table, and have to be enrolled again before they get tasks.
pub fn run(owner: &mut Owner) {
    let is_recovering = owner.is_recovering();
    let vacated: Vec<_> = owner
        .workers
        .values()
        .filter(|worker| is_vacated(worker, is_recovering))
        .map(|worker| worker.registration.id.clone())
        .collect();
    for id in vacated {
        owner.leave_roster(&id);
    }
}

/// Returns whether nothing runs on an enrolled worker and nothing will. A worker that has not
/// replied to this owner may run tasks of earlier owners until the recovery is complete.
fn is_vacated(worker: &Worker, is_recovering: bool) -> bool {
    let is_leaving = worker.draining_since.is_some() || !worker.is_listed;
    let is_known = worker.incarnation.is_some() || !is_recovering;
    let is_idle = worker.runs.is_empty() && worker.unknown_runs == 0;
    worker.is_enrolled && is_leaving && is_known && is_idle
}

impl Owner {
    fn leave_roster(&mut self, id: &worker::WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_enrolled = false;
        }
        self.update_unstored(id);
        self.removed_workers.insert(id.clone());
    }
}
