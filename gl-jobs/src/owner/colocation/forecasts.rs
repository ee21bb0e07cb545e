//! Forecasts of the tail ratios of long-running tasks, and what follows from them for best-effort
//! tasks on the same worker.

use gl_model::time;

use crate::owner::{Owner, Worker, runs};
use crate::worker;

/// Updates the forecasts of a worker's long-running tasks from the reply to a poll.
pub(in crate::owner) fn update(owner: &mut Owner, id: &worker::WorkerId, now: time::Timestamp) {
    let colocation = owner.settings.colocation;
    if !colocation.forecasts_starts {
        return;
    }
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    worker.forecasts.clear();
    for task in &worker.runs {
        let long_running = owner.runs.get_mut(task).filter(|r| r.kind == runs::Kind::LongRunning);
        let Some(run) = long_running else { continue };
        let tail_ratio = run.tail_ratio();
        if tail_ratio <= 0.0 {
            continue;
        }
        let tracker = run.tracker.get_or_insert_default();
        tracker.observe(now, tail_ratio);
        let swings = |f: &gl_forecast::Forecast| f.swing() >= colocation.min_swing;
        worker.forecasts.extend(tracker.forecast().filter(swings));
    }
}

/// Returns the highest tail ratio that is expected on a worker from one time to another; zero
/// without a forecast.
pub(in crate::owner) fn highest(
    worker: &Worker,
    from: time::Timestamp,
    until: time::Timestamp,
) -> f64 {
    let ratios = worker.forecasts.iter().map(|forecast| forecast.highest(from, until).value);
    ratios.fold(0.0, f64::max)
}
