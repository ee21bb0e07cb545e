//! Rules for tasks on the same worker: best-effort tasks next to long-running ones, and
//! long-running tasks next to each other.

mod forecasts;
pub(in crate::owner) mod impact;
pub(in crate::owner) mod interference;
pub(in crate::owner) mod pressure;
pub(in crate::owner) mod throttle;
pub(in crate::owner) mod untested;

use gl_model::time;

use crate::owner::search::Request;
use crate::owner::{Owner, Worker, workers};

/// Returns the score of a worker for a best-effort task, or `None` if the task may not start there:
/// enough processors must be idle, the tail latencies of the long-running tasks must be below their
/// targets by a margin, and the task must be unlikely to interfere with them. None of this is
/// required of a task that has waited for long.
pub(in crate::owner) fn best_effort_score(
    owner: &Owner,
    request: &Request<'_>,
    w: &Worker,
) -> Option<f64> {
    let settings = &owner.settings;
    let ignores_load = request.conditions.ignores_load;
    let idle = idle_cores(owner, w);
    let needed = request.spec.size.cores as f64 * settings.idle_share;
    if !ignores_load && (w.tail_ratio >= settings.ratio_high || idle < needed) {
        return None;
    }
    let interference = expected_interference(owner, request, w);
    if !ignores_load && interference > settings.interference_limit {
        return None;
    }
    let predicted = match request.conditions.image {
        Some(image) if settings.predicts_tail => {
            pressure::predicted_ratio(owner, w, image, request.spec.size.cores)
        }
        _ => 0.0,
    };
    if !ignores_load && settings.predicted_limit.is_some_and(|limit| predicted > limit) {
        return None;
    }
    let total = (w.registration.size.cores as f64).max(1.0);
    Some(idle / total - interference * INTERFERENCE_WEIGHT - predicted * PREDICTED_WEIGHT)
}

/// Returns whether a best-effort task may start beside the worker's long-running tasks: it adds no
/// further trial of an untested pair of images while there are enough, and the probability that it
/// interferes is low for the room that the forecast peak of the tail ratios leaves. Neither is
/// required of a task that has waited for long.
pub(in crate::owner) fn may_join(
    owner: &Owner,
    request: &Request<'_>,
    w: &Worker,
    now: time::Timestamp,
) -> bool {
    if !request.spec.best_effort || request.conditions.ignores_load {
        return true;
    }
    let is_crowded =
        |entry: &workers::ImageCores| request.conditions.crowded.contains(&entry.image);
    if w.long_running_images.iter().any(is_crowded) {
        return false;
    }
    let settings = &owner.settings;
    if !settings.colocation.forecasts_starts {
        return true;
    }
    let peak = forecasts::highest(w, now, now + request.spec.estimate);
    let room = (settings.ratio_high - peak) / (settings.ratio_high - settings.ratio_low);
    let limit = settings.interference_limit * room;
    room >= 1.0 || (room > 0.0 && expected_interference(owner, request, w) <= limit)
}

/// Returns the highest probability that the best-effort tasks, with the requested one added,
/// interfere with one of the worker's long-running images.
fn expected_interference(owner: &Owner, request: &Request<'_>, w: &Worker) -> f64 {
    let Some(image) = request.conditions.image else {
        return 0.0;
    };
    let total = (w.registration.size.cores as f64).max(1.0);
    let cpu_use = |image: interference::ImageId, cores: u64| interference::CpuUse {
        image,
        share: cores as f64 * owner.interference.cpu_use(image) / total,
    };
    let interference_with = |long_running: &workers::ImageCores| {
        let present = w.best_effort_images.iter().map(|entry| {
            let added = if entry.image == image { request.spec.size.cores } else { 0 };
            cpu_use(entry.image, entry.cores + added)
        });
        let is_new = w.best_effort_images.iter().all(|entry| entry.image != image);
        let added = is_new.then(|| cpu_use(image, request.spec.size.cores));
        owner.interference.combined_probability(long_running.image, present.chain(added))
    };
    w.long_running_images.iter().map(interference_with).fold(0.0, f64::max)
}

/// Returns the number of processors that are estimated to be idle, in thousandths of a core. In
/// contrast to [`Worker::idle_cores()`], this includes the processors that best-effort images
/// declare and do not use.
fn idle_cores(owner: &Owner, w: &Worker) -> f64 {
    let unused = |entry: &workers::ImageCores| {
        entry.cores as f64 * (1.0 - owner.interference.cpu_use(entry.image))
    };
    w.idle_cores() + w.best_effort_images.iter().map(unused).sum::<f64>()
}

/// The weight of the probability of interference, relative to the share of idle processors.
const INTERFERENCE_WEIGHT: f64 = 4.0;

/// The weight of the predicted tail ratio, relative to the share of idle processors.
const PREDICTED_WEIGHT: f64 = 1.0;

/// Returns the bonus for placing a long-running task near others of its image. Tasks of one image
/// are sensitive to the same best-effort images, so keeping them together leaves other workers free
/// for the best-effort tasks that would interfere with them.
pub(in crate::owner) fn image_affinity(request: &Request<'_>, w: &Worker) -> f64 {
    if w.long_running_cores == 0 {
        return EMPTY_BONUS;
    }
    let same =
        w.long_running_images.iter().find(|entry| Some(entry.image) == request.conditions.image);
    same.map_or(0.0, |entry| SAME_IMAGE_BONUS * entry.cores as f64 / w.long_running_cores as f64)
}

/// The bonus of a worker whose long-running tasks all have the same image. It outweighs any
/// difference in free capacity.
const SAME_IMAGE_BONUS: f64 = 4.0;
/// The bonus of a worker without long-running tasks: lower than that of a worker with only the same
/// image, higher than that of a worker with other images.
const EMPTY_BONUS: f64 = 2.0;
