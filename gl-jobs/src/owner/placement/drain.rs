//! Moves tasks away from draining workers.

use gl_model::time;

use crate::owner::{Owner, StopReason, advice, runs};
use crate::task;

/// Stops the runs on draining workers that should move now.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let draining: Vec<_> = owner
        .workers
        .values()
        .filter(|w| w.draining_since.is_some() && !w.runs.is_empty())
        .flat_map(|w| w.runs.iter().map(|task| (*task, w.draining_since.unwrap_or(now))))
        .collect();
    for (task, since) in draining {
        if should_stop(owner, task, since, now) {
            owner.stop(task, StopReason::Drain, now);
        }
    }
}

/// Returns whether a run on a draining worker has to be stopped now. Long-running tasks move as
/// soon as another worker has capacity for them. Tasks with checkpoints are stopped while there is
/// still time to save one. Other tasks continue, as they may finish before the worker terminates.
fn should_stop(
    owner: &mut Owner,
    task: task::TaskId,
    since: time::Timestamp,
    now: time::Timestamp,
) -> bool {
    let settings = owner.settings;
    let Some(run) = owner.runs.get(&task).filter(|run| run.is_running()) else {
        return false;
    };
    let latest_stop = since + settings.drain_time - settings.stop_time - settings.clock_margin;
    match run.kind {
        runs::Kind::LongRunning => {
            owner.may_interrupt(task) && advice::can_place(owner, task.phase, now)
        }
        _ => run.checkpointing && now + settings.clock_margin >= latest_stop,
    }
}

impl Owner {
    /// Returns whether the phase's limit on interrupted tasks permits one more.
    pub(in crate::owner) fn may_interrupt(&self, task: task::TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.phase.job) else {
            return true;
        };
        let Some(spec) = entry.spec(task.phase.phase) else {
            return true;
        };
        let Some(limit) = spec.max_missing else {
            return true;
        };
        let is_ready = |index: &u32| {
            let other = task::TaskId { phase: task.phase, index: *index };
            let run = self.runs.get(&other);
            run.is_some_and(|run| run.is_running() && run.progress >= runs::FULL_PERCENT)
        };
        let missing = (0..spec.count).filter(|index| !is_ready(index)).count();
        missing < limit as usize
    }
}
