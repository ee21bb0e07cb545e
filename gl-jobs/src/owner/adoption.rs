//! Adoption of runs that a worker reports and that this owner did not start.

use gl_model::time;

use super::{Owner, Run, Stage, StopReason, interference, runs};
use crate::{job, task, worker};

impl Owner {
    /// Adopts a run that an earlier owner started. Returns `false` if no stored job has the task,
    /// or if another run of it is recorded.
    pub(super) fn adopt(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) -> bool {
        let task = running.task;
        if self.runs.contains_key(&task) {
            return false;
        }
        let Some(entry) = self.jobs.get_mut(&task.phase.job) else {
            return false;
        };
        let Some(spec) = entry.spec(task.phase.phase).cloned() else {
            return false;
        };
        entry.has_started = true;
        let has_ended = entry.final_state.is_some();
        let Some(state) = entry.phases.get_mut(&(task.phase.occurrence, task.phase.phase)) else {
            return false;
        };
        let is_done = state.done.contains(task.index);
        state.waiting.remove(&task.index);
        state.is_interrupted = !state.waiting.is_empty();
        if state.waiting.is_empty() {
            self.open_phases.remove(&task.phase);
        }
        let order = RunOrder {
            worker: id.clone(),
            attempt: running.attempt,
            deadline: time::Timestamp::default(),
            stage: Stage::Running(now),
            image: spec.image.as_deref().map(|name| self.interference.intern(name)),
        };
        let mut run = make_run(&spec, order, now);
        run.checkpoint.clone_from(&running.checkpoint);
        run.progress = running.progress;
        run.load = running.load;
        self.add_run(task, run);
        self.mark_reported(task);
        if has_ended {
            self.stop(task, StopReason::JobEnded, now);
        } else if is_done {
            self.stop(task, StopReason::AlreadyDone, now);
        }
        true
    }

    pub(super) fn add_run(&mut self, task: task::TaskId, run: Run) {
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.add(task, &run);
        }
        self.runs.insert(task, run);
    }
}

/// The properties of a run that do not follow from its phase.
pub(super) struct RunOrder {
    pub worker: worker::WorkerId,
    pub attempt: u64,
    pub deadline: time::Timestamp,
    pub stage: Stage,
    pub image: Option<interference::ImageId>,
}

pub(super) fn make_run(spec: &job::Phase, order: RunOrder, now: time::Timestamp) -> Run {
    let kind = if spec.long_running {
        runs::Kind::LongRunning
    } else if spec.best_effort {
        runs::Kind::BestEffort
    } else {
        runs::Kind::Batch
    };
    Run {
        worker: order.worker,
        attempt: order.attempt,
        deadline: order.deadline,
        reserved: spec.reserved(),
        cores: spec.size.cores,
        kind,
        image: order.image,
        stage: order.stage,
        since: now,
        progress: 0.0,
        progressed_at: now,
        reported_at: time::Timestamp::default(),
        load: 0.0,
        cpu_limit: runs::NO_LIMIT,
        wanted_limit: runs::NO_LIMIT,
        was_throttled: false,
        tail_target: spec.tail_target.map(|tail| tail.as_seconds() * runs::MILLIS_PER_SECOND),
        checkpoint: String::new(),
        checkpointing: spec.checkpointing,
    }
}
