//! Trials: starts of tasks that may crash their worker, each on a worker that gets no other task
//! meanwhile. See [`crashes`](crate::owner::crashes).

use gl_model::time;

use crate::owner::{Action, Owner, Run, placement, runs, search, state};
use crate::{record, task, worker};

/// The number of trials that may run at the same time in a service with few workers.
const MIN_TRIALS: usize = 2;

/// The trial of a task on a worker that gets no other task meanwhile.
#[derive(Clone, Debug)]
pub(in crate::owner) struct Trial {
    attempt: u64,
    worker: worker::WorkerId,
    has_started: bool,
}

/// A start order that is sent once the start is stored.
#[derive(Clone, Debug)]
pub(in crate::owner) struct Unsent {
    worker: worker::WorkerId,
    order: worker::StartOrder,
}

/// Continues the trials.
pub(in crate::owner) fn run(owner: &mut Owner, now: time::Timestamp) {
    for (task, trial) in owner.trials.clone() {
        if trial.has_started {
            owner.observe(task, &trial, now);
        } else if is_possible(owner, task, &trial, now) {
            launch(owner, task, &trial, now);
        } else {
            owner.release(task, &trial);
        }
    }
}

fn is_possible(owner: &Owner, task: task::TaskId, trial: &Trial, now: time::Timestamp) -> bool {
    let is_free = owner.is_waiting(task)
        && owner.unsettled.allows(task, &trial.worker)
        && !placement::is_unseen(owner, task);
    is_free && search::is_possible_on(owner, task.phase, &trial.worker, now)
}

/// Orders the run of a trial, unless another run on the worker is so young that it may still crash
/// it.
fn launch(owner: &mut Owner, task: task::TaskId, trial: &Trial, now: time::Timestamp) {
    let Some(worker) = owner.workers.get(&trial.worker) else {
        return;
    };
    let runs = worker.runs.iter().filter_map(|task| owner.runs.get(task));
    let youngest = runs.map(Run::started_at).max();
    if youngest.is_some_and(|since| !owner.has_passed(&trial.worker, since, now)) {
        return;
    }
    if let Some(trial) = owner.trials.get_mut(&task) {
        trial.has_started = true;
    }
    placement::start(owner, task.phase, task.index, &trial.worker, trial.attempt, now);
    placement::close_if_started(owner, task.phase);
}

/// Seeks workers for the trials of a phase's tasks.
pub(in crate::owner) fn plan(owner: &mut Owner, phase: task::PhaseId, now: time::Timestamp) {
    let Some(state) = state::state_of(owner, phase) else {
        return;
    };
    let tasks = state.suspects.keys().map(|index| task::TaskId { phase, index: *index });
    let tasks: Vec<_> = tasks.filter(|task| owner.may_try(*task)).collect();
    for task in tasks {
        if !has_room(owner, phase.job) {
            return;
        }
        let is_bound = owner.unsettled.holds(task);
        let found = if is_bound {
            owner.settling_worker(task, now)
        } else {
            search::Candidates::for_trial().find(owner, phase, now)
        };
        let Some(id) = found else {
            if is_bound {
                continue;
            }
            return;
        };
        let Some(worker) = owner.workers.get_mut(&id) else {
            return;
        };
        worker.held_for = Some(task);
        owner.last_attempt += 1;
        let attempt = owner.last_attempt;
        owner.trials.insert(task, Trial { attempt, worker: id, has_started: false });
    }
}

/// Returns whether another trial may begin in the service of the job.
fn has_room(owner: &Owner, job: task::JobId) -> bool {
    let Some(entry) = owner.jobs.get(&job) else {
        return false;
    };
    let of_service = owner.workers.values().filter(|w| w.registration.service == entry.job.service);
    let (mut total, mut held) = (0_usize, 0_usize);
    for worker in of_service {
        total += 1;
        held += usize::from(worker.held_for.is_some());
    }
    let limit = total as f64 * owner.settings.trial_share;
    held < MIN_TRIALS || held as f64 + 1.0 <= limit
}

impl Owner {
    /// Sends the start orders that waited for the row.
    pub(in crate::owner) fn send_stored(&mut self, row: &crate::owner::CommitRow) {
        let runs = &self.runs;
        let is_current = |task: &task::TaskId, unsent: &Unsent| {
            runs.get(task).is_some_and(|run| {
                run.attempt == unsent.order.attempt && run.stage == runs::Stage::Starting
            })
        };
        self.unsent.retain(|task, unsent| is_current(task, unsent));
        let is_stored = |task: &task::TaskId, unsent: &mut Unsent| {
            let is_phase = |phase: &&record::Phase| {
                phase.occurrence == task.phase.occurrence && phase.phase == task.phase.phase
            };
            let is_trial = |trial: &record::Trial| trial.attempt == unsent.order.attempt;
            let phase = row.progress.phases.iter().find(is_phase);
            let suspect = phase.and_then(|phase| phase.suspects.get(&task.index));
            task.phase.job == row.job && suspect.is_some_and(|s| s.trials.iter().any(is_trial))
        };
        let stored: Vec<_> = self.unsent.extract_if(.., is_stored).map(|(_, u)| u).collect();
        for Unsent { worker, order } in stored {
            self.push_start(worker, order);
        }
    }

    /// Sends a start order, or keeps it until the start is stored.
    pub(in crate::owner) fn send_start(
        &mut self,
        worker: worker::WorkerId,
        order: worker::StartOrder,
    ) {
        let task = order.task;
        let target = self.workers.get(&worker).map(|w| &w.registration);
        let Some(target) = target.filter(|_| self.has_to_be_stored(task)) else {
            return self.push_start(worker, order);
        };
        let trial = record::Trial {
            attempt: order.attempt,
            worker: worker.clone(),
            vm: target.vm.clone(),
            incarnation: target.incarnation,
            is_sole: false,
        };
        self.change_suspect(task, |suspect| suspect.trials.push(trial));
        self.unsent.insert(task, Unsent { worker, order });
    }

    /// Returns whether the start of a task is stored before it is ordered, so that a later owner
    /// learns whether it crashed the worker: if a worker may have crashed under it, or if an earlier
    /// owner may have started it on a worker that has crashed since.
    fn has_to_be_stored(&self, task: task::TaskId) -> bool {
        if self.is_suspect(task) {
            return true;
        }
        let entry = self.jobs.get(&task.phase.job).filter(|entry| entry.is_inherited);
        let spec = entry.and_then(|entry| entry.spec(task.phase.phase));
        let has_hidden = self.has_hidden_crashes || self.is_recovering();
        has_hidden && spec.is_some_and(|spec| !spec.long_running)
    }

    fn may_try(&self, task: task::TaskId) -> bool {
        let is_suspect = |s: &record::Suspect| !s.crashes.is_empty() && self.is_startable(s);
        !self.trials.contains_key(&task)
            && self.is_waiting(task)
            && !placement::is_unseen(self, task)
            && self.suspect(task).is_some_and(is_suspect)
    }

    /// Returns whether the worker has replied long enough after a start at `since` to show that
    /// this did not crash it. It is polled as soon as a reply can show that.
    fn has_passed(
        &mut self,
        id: &worker::WorkerId,
        since: time::Timestamp,
        now: time::Timestamp,
    ) -> bool {
        let due = since + self.settings.crash_window;
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if now >= due && worker.polled_at < due && worker.probed_at < due {
            worker.probed_at = now;
            self.actions.push(Action::Poll { worker: id.clone() });
        }
        worker.polled_at >= due
    }

    /// Ends the trial once its run has ended or has survived.
    fn observe(&mut self, task: task::TaskId, trial: &Trial, now: time::Timestamp) {
        let run = self.runs.get(&task).filter(|run| run.attempt == trial.attempt);
        let is_over = match run.map(Run::started_at) {
            Some(since) => self.has_passed(&trial.worker, since, now) && !self.is_suspect(task),
            None => true,
        };
        if is_over {
            self.release(task, trial);
        }
    }

    /// Ends a trial, so that its worker gets other tasks again.
    fn release(&mut self, task: task::TaskId, trial: &Trial) {
        self.trials.remove(&task);
        if let Some(worker) = self.workers.get_mut(&trial.worker) {
            worker.held_for = None;
        }
    }
}
