//! Tasks that work only all together.

use std::collections;

use gl_model::time;

use super::{Owner, StopReason, placement};
use crate::{task, worker};

/// The number under which a gang's failures and checkpoints are kept.
pub const SHARED_INDEX: u32 = 0;

/// Places for all members of a gang at once; none if one of them finds no place.
pub(super) fn place_all(
    owner: &mut Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Option<collections::BTreeMap<u32, worker::WorkerId>> {
    let members: Vec<_> = {
        let entry = owner.jobs.get(&phase.job)?;
        let spec = entry.spec(phase.phase)?;
        let state = entry.phases.get(&(phase.occurrence, phase.phase))?;
        let is_complete = state.waiting.len() == spec.count as usize;
        if !is_complete {
            return None;
        }
        state.waiting.iter().copied().collect()
    };
    let mut placements = collections::BTreeMap::new();
    for index in members {
        let Some(worker) = placement::find_worker(owner, phase, now) else {
            break;
        };
        placement::reserve(owner, phase, index, &worker, now);
        placements.insert(index, worker);
    }
    let is_complete = {
        let entry = owner.jobs.get(&phase.job)?;
        entry.spec(phase.phase)?.count as usize == placements.len()
    };
    for index in placements.keys() {
        placement::release(owner, phase, *index);
    }
    is_complete.then_some(placements)
}

impl Owner {
    /// Stops the members that still run of a gang that has lost one.
    pub(super) fn stop_gang(&mut self, phase: task::PhaseId, now: time::Timestamp) {
        let first = task::TaskId { phase, index: 0 };
        let last = task::TaskId { phase, index: u32::MAX };
        let members: Vec<_> = self.runs.range(first..=last).map(|(task, _)| *task).collect();
        for task in members {
            self.stop(task, StopReason::GangBroken, now);
        }
    }
}
