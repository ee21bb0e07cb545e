//! The cost of interference, counted by service and reported at an interval.

use gl_model::time;

use crate::owner::{Note, Owner, Run, runs};
use crate::{task, worker};

/// The window in which a long-running task counts as lost if it exceeds its target: the one by which
/// long-running jobs are paid.
const WINDOW: time::Span = time::Span::seconds(2);
/// The tail ratio above which a long-running task exceeds its target.
const EXCEEDED_RATIO: f64 = 1.0;
/// The number of starts to which the counts are related.
const PER_STARTS: f64 = 1_000.0;

/// What interference between best-effort and long-running tasks, and the protection from it, cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Impact {
    /// The number of started runs of best-effort tasks.
    pub starts: u64,
    /// The number of windows of two seconds in which a long-running task was over its target with
    /// best-effort tasks beside it.
    pub windows: u64,
    /// The number of runs that were stopped because of interference.
    pub stopped: u64,
    /// The number of ordered CPU limits.
    pub limits: u64,
}

impl Impact {
    /// Returns a count in relation to 1,000 starts.
    pub fn per_thousand(&self, count: u64) -> f64 {
        count as f64 * PER_STARTS / (self.starts as f64).max(1.0)
    }
}

/// Reports the counts of all services, once per interval.
pub(in crate::owner) fn run(owner: &mut Owner, now: time::Timestamp) {
    let span = now.since(owner.impact_at);
    if owner.settings.colocation.impact_interval.is_none_or(|interval| span < interval) {
        return;
    }
    owner.impact_at = now;
    for (service, impact) in std::mem::take(&mut owner.impacts) {
        owner.note(Note::Impact { service, impact, span });
    }
}

/// Counts a start, if it is one of a best-effort task.
pub(in crate::owner) fn count_start(owner: &mut Owner, run: &Run) {
    if run.kind == runs::Kind::BestEffort {
        count(owner, &run.worker, |impact| impact.starts += 1);
    }
}

/// Counts a run that is stopped because of interference.
pub(in crate::owner) fn count_stop(owner: &mut Owner, task: task::TaskId) {
    if let Some(worker) = owner.runs.get(&task).map(|run| run.worker.clone()) {
        count(owner, &worker, |impact| impact.stopped += 1);
    }
}

/// Counts an ordered CPU limit.
pub(in crate::owner) fn count_limit(owner: &mut Owner, worker: &worker::WorkerId) {
    count(owner, worker, |impact| impact.limits += 1);
}

/// Counts the long-running tasks of a worker that are over their targets beside best-effort tasks,
/// each at most once a window.
pub(in crate::owner) fn count_windows(
    owner: &mut Owner,
    id: &worker::WorkerId,
    now: time::Timestamp,
) {
    let Some(worker) = owner.workers.get(id).filter(|worker| worker.best_effort_cores > 0) else {
        return;
    };
    let window = now.0 / WINDOW.0;
    let mut lost = 0;
    for task in &worker.runs {
        let Some(run) = owner.runs.get_mut(task) else { continue };
        if run.lost_window != Some(window) && is_over_target(run) {
            run.lost_window = Some(window);
            lost += 1;
        }
    }
    if lost > 0 {
        count(owner, id, |impact| impact.windows += lost);
    }
}

fn is_over_target(run: &Run) -> bool {
    run.kind == runs::Kind::LongRunning && run.tail_ratio() > EXCEEDED_RATIO
}

fn count(owner: &mut Owner, id: &worker::WorkerId, add: impl FnOnce(&mut Impact)) {
    if owner.settings.colocation.impact_interval.is_none() {
        return;
    }
    let Some(worker) = owner.workers.get(id) else {
        return;
    };
    let service = &worker.registration.service;
    match owner.impacts.get_mut(service) {
        Some(impact) => add(impact),
        None => add(owner.impacts.entry(service.clone()).or_default()),
    }
}
