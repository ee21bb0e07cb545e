//! Which tasks go well beside which: fill tasks beside lasting ones, and lasting ones beside each
//! other.

use super::placement::Request;
use super::{Owner, Worker, interference, workers};

/// Fill tasks go where processors are idle and the lasting tasks are well below their targets.
pub(super) fn can_add_best_effort(owner: &Owner, request: &Request<'_>, w: &Worker) -> bool {
    let settings = &owner.settings;
    if request.ignores_load {
        return true;
    }
    w.tail_ratio < settings.ratio_high
        && idle_cores(owner, w) >= request.spec.size.cores as f64 * settings.idle_share
        && expected_interference(owner, request, w) <= settings.interference_limit
}

/// The probability that the worker's lasting tasks are harmed with the task beside them.
pub(super) fn expected_interference(owner: &Owner, request: &Request<'_>, w: &Worker) -> f64 {
    let Some(image) = request.image else {
        return 0.0;
    };
    let all = (w.registration.size.cores as f64).max(1.0);
    let cpu_use = |image: interference::ImageId, cores: u64| interference::CpuUse {
        image,
        share: cores as f64 * owner.interference.cpu_use(image) / all,
    };
    let interference_with = |long_running: &workers::ImageCores| {
        let present = w.best_effort_images.iter().map(|load| {
            let added = if load.image == image { request.spec.size.cores } else { 0 };
            cpu_use(load.image, load.cores + added)
        });
        let is_new = w.best_effort_images.iter().all(|load| load.image != image);
        let added = is_new.then(|| cpu_use(image, request.spec.size.cores));
        owner.interference.combined_probability(long_running.image, present.chain(added))
    };
    w.long_running_images.iter().map(interference_with).fold(0.0, f64::max)
}

/// The processors of a worker that are estimated to be idle, in thousandths of a core.
pub(super) fn idle_cores(owner: &Owner, w: &Worker) -> f64 {
    let unused = |load: &workers::ImageCores| {
        load.cores as f64 * (1.0 - owner.interference.cpu_use(load.image))
    };
    w.idle_cores() + w.best_effort_images.iter().map(unused).sum::<f64>()
}

/// How much the probability of harm counts against the share of idle processors.
pub(super) const INTERFERENCE_WEIGHT: f64 = 4.0;

/// Lasting tasks of one image are harmed by the same fill tasks. Kept together they leave other
/// workers to what would harm them.
pub(super) fn image_affinity(request: &Request<'_>, w: &Worker) -> f64 {
    if w.long_running_cores == 0 {
        return EMPTY_BONUS;
    }
    let same = w.long_running_images.iter().find(|load| Some(load.image) == request.image);
    same.map_or(0.0, |load| SAME_IMAGE_BONUS * load.cores as f64 / w.long_running_cores as f64)
}

/// How much a worker counts that runs lasting tasks of the same image only. More than any
/// difference in room.
const SAME_IMAGE_BONUS: f64 = 4.0;
/// How much a worker counts that runs no lasting task: less than one of the same image, more
/// than one of others.
const EMPTY_BONUS: f64 = 2.0;
