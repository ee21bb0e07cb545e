//! The owner's tables of jobs, phases, runs and workers, and the small queries on them. The tables
//! know nothing of the decisions that are based on them.

pub(in crate::owner) mod estimate;
pub(in crate::owner) mod expiry;
pub(in crate::owner) mod footprint;
pub(in crate::owner) mod grants;
pub(in crate::owner) mod jobs;
pub(in crate::owner) mod pages;
pub(in crate::owner) mod run_orders;
pub(in crate::owner) mod runs;
pub(in crate::owner) mod workers;

use gl_model::time;

use crate::owner::{Owner, PhaseState, Stage};
use crate::{task, worker};

/// Returns the progress of a phase.
pub(in crate::owner) fn state_of(owner: &Owner, phase: task::PhaseId) -> Option<&PhaseState> {
    owner.jobs.get(&phase.job)?.phases.get(&(phase.occurrence, phase.phase))
}

/// Reserves capacity for a run that may be ordered later in the same pass.
pub(in crate::owner) fn reserve(
    owner: &mut Owner,
    phase: task::PhaseId,
    index: u32,
    worker: &worker::WorkerId,
    now: time::Timestamp,
) {
    let spec = owner.jobs.get(&phase.job).and_then(|e| e.spec(phase.phase)).cloned();
    let Some(spec) = spec else { return };
    let order = runs::RunOrder {
        worker: worker.clone(),
        attempt: 0,
        deadline: time::Timestamp::default(),
        stage: Stage::Starting,
        image: spec.image.as_deref().map(|name| owner.interference.intern(name)),
    };
    let run = runs::make_run(&spec, order, now);
    owner.add_run(task::TaskId { phase, index }, run);
}

/// Releases the capacity that [`reserve()`] took.
pub(in crate::owner) fn release(owner: &mut Owner, phase: task::PhaseId, index: u32) {
    let task = task::TaskId { phase, index };
    let Some(run) = owner.runs.remove(&task) else {
        return;
    };
    if let Some(worker) = owner.workers.get_mut(&run.worker) {
        worker.remove(task, &run);
    }
}
