//! Adoption of runs that a worker reports and that this owner did not start.

use gl_model::time;

use crate::owner::{Owner, Stage, StopReason, runs};
use crate::{task, worker};

impl Owner {
    /// Opens the occurrence of a phase of which a worker reports a run. An earlier owner, by another
    /// time of day, found it due; left unopened, its tasks would start a second time later.
    pub(in crate::owner) fn open_reported(&mut self, phase: task::PhaseId, now: time::Timestamp) {
        let entry = self.jobs.get_mut(&phase.job).filter(|entry| entry.final_state.is_none());
        if let Some(entry) = entry {
            let opened = entry.open_through(phase.job, phase.occurrence, now);
            self.open_phases.extend(opened);
        }
    }

    /// Adopts a run that an earlier owner started. Returns `false` if no stored job has the task,
    /// or if another run of it is recorded.
    pub(in crate::owner) fn adopt(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) -> bool {
        let task = running.task;
        if self.runs.contains_key(&task) {
            return false;
        }
        self.open_reported(task.phase, now);
        let Some(entry) = self.jobs.get_mut(&task.phase.job) else {
            return false;
        };
        let Some(spec) = entry.spec(task.phase.phase).cloned() else {
            return false;
        };
        let has_ended = entry.final_state.is_some();
        let Some(state) = entry.phases.get_mut(&(task.phase.occurrence, task.phase.phase)) else {
            return false;
        };
        let is_done = state.done.contains(task.index);
        state.waiting.remove(&task.index);
        state.interrupted = state.waiting.iter().map(|index| (*index, state.since)).collect();
        if state.waiting.is_empty() {
            self.open_phases.remove(&task.phase);
        }
        let order = runs::RunOrder {
            worker: id.clone(),
            attempt: running.attempt,
            deadline: time::Timestamp::default(),
            stage: Stage::Running(now),
            image: spec.image.as_deref().map(|name| self.interference.intern(name)),
        };
        let mut run = runs::make_run(&spec, order, now);
        run.checkpoint.clone_from(&running.checkpoint);
        run.is_partial = true;
        run.progress = running.progress;
        run.load = running.load;
        self.add_run(task, run);
        self.mark_reported(task, running.attempt);
        self.mark_started(task);
        if has_ended {
            self.stop(task, StopReason::JobEnded, now);
        } else if is_done {
            self.stop(task, StopReason::AlreadyDone, now);
        }
        true
    }
}
