//! A bound on the trials of untested pairs of images while many best-effort tasks wait.
//!
//! Nothing is known of the interference of a new image, so its tasks are placed like those of images
//! that interfere little. In a burst of them, that would cost the long-running tasks of many workers
//! their targets before the first measurement.

use crate::job;
use crate::owner::{Owner, interference, state, workers};

/// The waiting best-effort tasks of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::owner) struct Backlog {
    service: String,
    tasks: usize,
}

/// Counts the waiting best-effort tasks of each service, once per placement pass.
pub(in crate::owner) fn update(owner: &mut Owner) {
    if owner.settings.colocation.untested_runs.is_none() {
        return;
    }
    let mut backlogs: Vec<Backlog> = Vec::new();
    for phase in &owner.open_phases {
        let entry = owner.jobs.get(&phase.job);
        let best_effort = entry.filter(|e| e.spec(phase.phase).is_some_and(|s| s.best_effort));
        let Some((entry, state)) = best_effort.zip(state::state_of(owner, *phase)) else {
            continue;
        };
        let tasks = state.waiting.len();
        match backlogs.iter_mut().find(|backlog| backlog.service == entry.job.service) {
            Some(backlog) => backlog.tasks += tasks,
            None => backlogs.push(Backlog { service: entry.job.service.clone(), tasks }),
        }
    }
    owner.backlogs = backlogs;
}

/// Returns the long-running images beside which no further task of the phase may start: its pair
/// with them is untested, and as many of its runs as permitted are on trial in the service.
pub(in crate::owner) fn crowded(
    owner: &Owner,
    service: &str,
    spec: &job::Phase,
) -> Vec<interference::ImageId> {
    let settings = &owner.settings.colocation;
    let name = spec.image.as_deref().filter(|_| spec.best_effort);
    let Some((limit, name)) = settings.untested_runs.zip(name) else {
        return Vec::new();
    };
    let backlog = owner.backlogs.iter().find(|backlog| backlog.service == service);
    let Some(image) = owner.interference.find(name) else {
        return Vec::new();
    };
    if backlog.is_none_or(|backlog| backlog.tasks < settings.untested_backlog) {
        return Vec::new();
    }
    let is_untested = |long_running: interference::ImageId| {
        owner.interference.windows(long_running, image) < settings.tested_windows
    };
    let mut crowded = trials(owner, service, image);
    crowded.retain(|trial| trial.runs >= limit && is_untested(trial.image));
    crowded.into_iter().map(|trial| trial.image).collect()
}

/// The runs of a best-effort image beside a long-running image.
struct Trial {
    image: interference::ImageId,
    runs: usize,
}

fn trials(owner: &Owner, service: &str, image: interference::ImageId) -> Vec<Trial> {
    let mut trials: Vec<Trial> = Vec::new();
    for worker in owner.workers.values().filter(|w| w.registration.service == service) {
        let is_same = |entry: &&workers::ImageCores| entry.image == image;
        let Some(present) = worker.best_effort_images.iter().find(is_same) else {
            continue;
        };
        for beside in &worker.long_running_images {
            match trials.iter_mut().find(|trial| trial.image == beside.image) {
                Some(trial) => trial.runs += present.runs,
                None => trials.push(Trial { image: beside.image, runs: present.runs }),
            }
        }
    }
    trials
}
