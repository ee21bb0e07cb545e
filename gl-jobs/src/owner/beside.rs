//! Which tasks go well beside which: fill tasks beside lasting ones, and lasting ones beside each
//! other.

use super::place::Wanted;
use super::{Owner, Worker, interference, room};

/// Fill tasks go where processors are idle and the lasting tasks are well below their targets.
pub(super) fn can_fill(owner: &Owner, wanted: &Wanted<'_>, w: &Worker) -> bool {
    let settings = &owner.settings;
    if wanted.starved {
        return true;
    }
    w.tail_ratio < settings.ratio_high
        && idle(owner, w) >= wanted.spec.size.cores as f64 * settings.idle_share
        && expected_harm(owner, wanted, w) <= settings.interference_limit
}

/// The probability that the worker's lasting tasks are harmed with the task beside them.
pub(super) fn expected_harm(owner: &Owner, wanted: &Wanted<'_>, w: &Worker) -> f64 {
    let Some(image) = wanted.image else {
        return 0.0;
    };
    let all = (w.registration.size.cores as f64).max(1.0);
    let cpu_use = |image: interference::ImageId, cores: u64| interference::CpuUse {
        image,
        share: cores as f64 * owner.interference.cpu_use(image) / all,
    };
    let harm_to = |lasting: &room::ImageCores| {
        let present = w.best_effort_images.iter().map(|fill| {
            let added = if fill.image == image { wanted.spec.size.cores } else { 0 };
            cpu_use(fill.image, fill.cores + added)
        });
        let is_new = w.best_effort_images.iter().all(|fill| fill.image != image);
        let added = is_new.then(|| cpu_use(image, wanted.spec.size.cores));
        owner.interference.combined_probability(lasting.image, present.chain(added))
    };
    w.long_running_images.iter().map(harm_to).fold(0.0, f64::max)
}

/// The processors of a worker that are estimated to be idle, in thousandths of a core.
pub(super) fn idle(owner: &Owner, w: &Worker) -> f64 {
    let unused = |fill: &room::ImageCores| {
        fill.cores as f64 * (1.0 - owner.interference.cpu_use(fill.image))
    };
    w.idle_cores() + w.best_effort_images.iter().map(unused).sum::<f64>()
}

/// How much the probability of harm counts against the share of idle processors.
pub(super) const HARM_WEIGHT: f64 = 4.0;

/// Lasting tasks of one image are harmed by the same fill tasks. Kept together they leave other
/// workers to what would harm them.
pub(super) fn kinship(wanted: &Wanted<'_>, w: &Worker) -> f64 {
    if w.long_running_cores == 0 {
        return EMPTY_BONUS;
    }
    let same = w.long_running_images.iter().find(|load| Some(load.image) == wanted.image);
    same.map_or(0.0, |load| KIN_BONUS * load.cores as f64 / w.long_running_cores as f64)
}

/// How much a worker counts that runs lasting tasks of the same image only. More than any
/// difference in room.
const KIN_BONUS: f64 = 4.0;
/// How much a worker counts that runs no lasting task: less than one of the same image, more
/// than one of others.
const EMPTY_BONUS: f64 = 2.0;
