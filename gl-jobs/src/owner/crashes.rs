//! Tasks that crash the workers that start them.
//!
//! A crash implicates the tasks that were started on the worker shortly before it. Such a task is
//! started again only in a trial: on a worker that gets no other task at that time, and after the
//! start is stored. So the next crash implicates this task alone, and a later owner knows of it. A
//! task that runs for longer than [`Settings::crash_window`](super::Settings) is cleared. One that
//! was the only one implicated in [`Settings::sole_limit`](super::Settings) crashes, or one of
//! several in [`Settings::crash_limit`](super::Settings), is given up.

use gl_model::time;

use super::{Note, Owner, Run, runs, state};
use crate::{job, record, task};

/// The time after which the tasks that may have crashed a worker are reviewed again, if no other
/// run was lost.
const REVIEW_INTERVAL: time::Span = time::Span::millis(50);

/// What is known of a run that may have crashed its worker.
enum Verdict {
    Open,
    Crashed,
    Survived,
}

/// Counts the crashes that have become known.
pub(super) fn run(owner: &mut Owner, now: time::Timestamp) {
    if owner.has_lost_runs || now.since(owner.reviewed_at) >= REVIEW_INTERVAL {
        owner.has_lost_runs = false;
        owner.reviewed_at = now;
        for task in owner.suspects.clone() {
            owner.review(task, now);
        }
    }
}

impl Owner {
    /// Records that the run of a task has ended with its worker or with the worker's lease.
    pub(super) fn run_lost(&mut self, task: task::TaskId, run: &Run) {
        let Some(worker) = self.workers.get(&run.worker) else {
            return;
        };
        self.has_lost_runs = true;
        if run.has_survived(self.settings.crash_window) {
            return self.clear_suspect(task);
        }
        let is_sole = run.was_confirmed() && self.is_only_young(worker);
        let vm = worker.registration.vm.clone();
        let is_draining = worker.draining_since.is_some() || worker.registration.draining;
        let Some(incarnation) = worker.incarnation.filter(|_| !is_draining) else {
            return self.drop_trial(task, run.attempt);
        };
        self.last_lost = Some((run.worker.clone(), incarnation));
        let is_limited = run.kind != runs::Kind::LongRunning && self.is_open(task);
        let is_counted = |suspect: &record::Suspect| suspect.crashes.contains(&run.attempt);
        if !is_limited || self.suspect(task).is_some_and(is_counted) {
            return;
        }
        let (attempt, worker) = (run.attempt, run.worker.clone());
        let trial = record::Trial { attempt, worker, vm, incarnation, is_sole };
        self.change_suspect(task, |suspect| {
            suspect.trials.retain(|known| known.attempt != attempt);
            suspect.trials.push(trial);
        });
    }

    /// Returns whether a run that the worker has just lost was the only one that may have crashed
    /// it.
    fn is_only_young(&self, worker: &super::Worker) -> bool {
        let window = self.settings.crash_window;
        let mut others = worker.runs.iter().filter_map(|task| self.runs.get(task));
        let has_lost_other = self.last_lost.as_ref().is_some_and(|(id, incarnation)| {
            *id == worker.registration.id && Some(*incarnation) == worker.incarnation
        });
        !has_lost_other && others.all(|run| run.has_survived(window))
    }

    /// Adds the stored suspects of a job to the index.
    pub(super) fn index_suspects(&mut self, job: task::JobId) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        for (&(occurrence, phase), state) in &entry.phases {
            let phase = task::PhaseId { job, occurrence, phase };
            let tasks = state.suspects.keys().map(|index| task::TaskId { phase, index: *index });
            self.suspects.extend(tasks);
        }
    }

    /// Returns whether a task is not started as usual, as it may have crashed a worker.
    pub(super) fn is_withheld(&self, task: task::TaskId) -> bool {
        // Nearly always there are none.
        !self.suspects.is_empty()
            && self
                .suspect(task)
                .is_some_and(|suspect| !suspect.crashes.is_empty() || !self.is_startable(suspect))
    }

    /// Returns whether a gang has a member that must not be started again.
    pub(super) fn has_spent_member(&self, phase: task::PhaseId) -> bool {
        let state = state::state_of(self, phase);
        state.is_some_and(|state| state.suspects.values().any(|s| !self.is_startable(s)))
    }

    /// Returns whether a task may be started in view of the runs whose end is not known.
    pub(super) fn is_startable(&self, suspect: &record::Suspect) -> bool {
        let may_run_elsewhere = self.is_recovering() && !suspect.trials.is_empty();
        let count = suspect.crashes.len() + suspect.trials.len();
        count < self.settings.crash_limit && !may_run_elsewhere
    }

    pub(super) fn is_waiting(&self, task: task::TaskId) -> bool {
        let state = state::state_of(self, task.phase);
        self.is_open(task) && state.is_some_and(|state| state.waiting.contains(&task.index))
    }

    pub(super) fn is_open(&self, task: task::TaskId) -> bool {
        let is_unfinished = |e: &super::JobEntry| e.final_state.is_none();
        let state = state::state_of(self, task.phase);
        self.jobs.get(&task.phase.job).is_some_and(is_unfinished)
            && state.is_some_and(|state| !state.done.contains(task.index))
    }

    pub(super) fn is_suspect(&self, task: task::TaskId) -> bool {
        self.suspects.contains(&task)
    }

    pub(super) fn suspect(&self, task: task::TaskId) -> Option<&record::Suspect> {
        state::state_of(self, task.phase)?.suspects.get(&task.index)
    }

    /// Changes the record of a task, and removes it if nothing is left of it.
    pub(super) fn change_suspect(
        &mut self,
        task: task::TaskId,
        change: impl FnOnce(&mut record::Suspect),
    ) {
        let key = (task.phase.occurrence, task.phase.phase);
        let entry = self.jobs.get_mut(&task.phase.job);
        let Some(state) = entry.and_then(|entry| entry.phases.get_mut(&key)) else {
            self.suspects.remove(&task);
            return;
        };
        let suspect = state.suspects.entry(task.index).or_default();
        change(suspect);
        if suspect.crashes.is_empty() && suspect.trials.is_empty() {
            state.suspects.remove(&task.index);
            self.suspects.remove(&task);
        } else {
            self.suspects.insert(task);
        }
        self.mark_dirty(task);
    }

    fn clear_suspect(&mut self, task: task::TaskId) {
        if self.is_suspect(task) {
            self.change_suspect(task, |suspect| *suspect = record::Suspect::default());
        }
    }

    /// Removes the record of a task that has ended. The rows need not be written for that.
    fn forget_suspect(&mut self, task: task::TaskId) {
        let key = (task.phase.occurrence, task.phase.phase);
        let entry = self.jobs.get_mut(&task.phase.job);
        if let Some(state) = entry.and_then(|entry| entry.phases.get_mut(&key)) {
            state.suspects.remove(&task.index);
        }
        self.suspects.remove(&task);
    }

    fn drop_trial(&mut self, task: task::TaskId, attempt: u64) {
        if self.is_suspect(task) {
            self.change_suspect(task, |s| s.trials.retain(|trial| trial.attempt != attempt));
        }
    }

    /// Decides on the runs of a task whose end has become known.
    fn review(&mut self, task: task::TaskId, now: time::Timestamp) {
        let window = self.settings.crash_window;
        let has_survived = self.runs.get(&task).is_some_and(|run| run.has_survived(window));
        if !self.is_open(task) {
            self.forget_suspect(task);
            return;
        }
        if has_survived {
            return self.clear_suspect(task);
        }
        let trials = self.suspect(task).map(|suspect| suspect.trials.clone());
        for trial in trials.unwrap_or_default() {
            match self.verdict(task, &trial) {
                Verdict::Open => {}
                Verdict::Survived => self.drop_trial(task, trial.attempt),
                Verdict::Crashed => self.record_crash(task, trial, now),
            }
        }
    }

    fn verdict(&self, task: task::TaskId, trial: &record::Trial) -> Verdict {
        let is_running = self.runs.get(&task).is_some_and(|run| run.attempt == trial.attempt);
        if is_running {
            return Verdict::Open;
        }
        let Some(worker) = self.workers.get(&trial.worker) else {
            let is_newer = |w: &&super::Worker| {
                let entry = &w.registration;
                entry.vm == trial.vm && entry.incarnation > trial.incarnation
            };
            let mut newer = self.workers.values().filter(is_newer).peekable();
            // A new owner has had no replies yet.
            let may_reply = self.is_recovering() && newer.peek().is_some();
            return if newer.any(super::Worker::is_confirmed) {
                Verdict::Crashed
            } else if may_reply {
                Verdict::Open
            } else {
                Verdict::Survived
            };
        };
        let newest = worker.incarnation.max(Some(worker.registration.incarnation));
        if newest > Some(trial.incarnation) {
            Verdict::Crashed
        } else if worker.incarnation.is_some() && !worker.is_unresponsive {
            Verdict::Survived
        } else {
            Verdict::Open
        }
    }

    fn record_crash(&mut self, task: task::TaskId, trial: record::Trial, now: time::Timestamp) {
        let attempt = trial.attempt;
        self.change_suspect(task, |suspect| {
            suspect.trials.retain(|known| known.attempt != attempt);
            if !suspect.crashes.contains(&attempt) {
                suspect.crashes.push(attempt);
                suspect.sole.extend(trial.is_sole.then_some(attempt));
            }
        });
        let (limit, sole_limit) = (self.settings.crash_limit, self.settings.sole_limit);
        let suspect = self.suspect(task);
        let crashes = suspect.map_or(0, |suspect| suspect.crashes.len());
        let is_certain = suspect.is_some_and(|suspect| suspect.sole.len() >= sole_limit);
        self.note(Note::Implicated { task, attempt, worker: trial.worker, crashes });
        if crashes >= limit || is_certain {
            self.note(Note::GivenUp { task, crashes });
            self.end_job(task.phase.job, job::State::Failed, now);
        }
    }
}
