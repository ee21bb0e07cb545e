//! The progress and the load of runs.

use gl_model::time;

use super::{Run, Worker};
use crate::usage;

/// The time that a long-running task takes to become ready.
const STARTUP_TIME: time::Span = time::Span::millis(1_000);
/// The factor by which runs take longer on a cold worker.
const COLD_SLOWDOWN: f64 = 3.0;
/// The work between two checkpoints.
const CHECKPOINT_INTERVAL: time::Span = time::Span::seconds(2);

impl Worker {
    /// Advances all runs by `step`.
    pub(super) fn advance_runs(
        &mut self,
        interference: &dyn Fn(u32, u32) -> f64,
        now: time::Timestamp,
        step: time::Span,
    ) {
        let capacity = self.spec.size.cores as f64;
        let mut used = 0.0;
        let mut demanded = 0.0;
        let mut best_effort_runs = Vec::new();
        for (task, run) in &self.runs {
            let cores = run.behaviour.size.cores as f64;
            if run.behaviour.long_running {
                used += cores * usage::share(run.behaviour.swing, task, now);
            } else if run.behaviour.best_effort {
                demanded += cores * run.cpu_limit;
                if let Some(image) = run.behaviour.image {
                    best_effort_runs.push((image, cores * run.cpu_limit / capacity));
                }
            } else {
                used += cores;
            }
        }
        let idle = (capacity - used).max(0.0);
        let share = if demanded > idle { idle / demanded } else { 1.0 };
        let is_cold = self.cold_until.is_some_and(|until| now < until);
        let slowdown =
            self.fault.slowdown.unwrap_or(1.0) * if is_cold { COLD_SLOWDOWN } else { 1.0 };
        for (task, run) in &mut self.runs {
            let cores = run.behaviour.size.cores as f64;
            if run.behaviour.long_running {
                let swing = run.behaviour.swing;
                let activity = usage::activity(swing, task, now);
                let image = run.behaviour.image.unwrap_or_default();
                let increase: f64 = best_effort_runs
                    .iter()
                    .map(|(source, part)| interference(image, *source) * part)
                    .sum();
                let undisturbed = usage::undisturbed_tail(swing, activity);
                run.load =
                    run.behaviour.tail_target * (undisturbed + increase * activity * activity);
                continue;
            }
            let speed = if run.behaviour.best_effort { run.cpu_limit * share } else { 1.0 };
            run.load = cores * speed;
            if !self.fault.is_stalled {
                run.done = run.done + step.scaled(speed / slowdown / run.slowdown);
            }
        }
    }
}

pub(super) fn checkpoint(run: &Run) -> String {
    let saved = run.done.0 / CHECKPOINT_INTERVAL.0 * CHECKPOINT_INTERVAL.0;
    if run.behaviour.checkpointing && saved > 0 { saved.to_string() } else { String::new() }
}

pub(super) fn progress_percent(run: &Run, now: time::Timestamp) -> f64 {
    let done = if run.behaviour.long_running {
        now.since(run.started).as_seconds() / STARTUP_TIME.as_seconds()
    } else {
        run.done.as_seconds() / run.behaviour.work.as_seconds().max(f64::EPSILON)
    };
    (done * 100.0).clamp(0.0, 100.0).floor()
}
