//! Tasks that work only all together.

use std::collections;

use gl_model::time;

use super::{Owner, StopReason, place};
use crate::{task, worker};

/// The number under which a gang's failures and checkpoints are kept.
pub const SHARED: u32 = 0;

/// Places for all members of a gang at once; none if one of them finds no place.
pub(super) fn places(
    owner: &mut Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Option<collections::BTreeMap<u32, worker::WorkerId>> {
    let members: Vec<_> = {
        let entry = owner.jobs.get(&phase.job)?;
        let spec = entry.spec(phase.phase)?;
        let state = entry.phases.get(&(phase.occurrence, phase.phase))?;
        let is_whole = state.waiting.len() == spec.count as usize;
        if !is_whole {
            return None;
        }
        state.waiting.iter().copied().collect()
    };
    let mut places = collections::BTreeMap::new();
    for index in members {
        let Some(worker) = place::find(owner, phase, now) else {
            break;
        };
        place::hold(owner, phase, index, &worker, now);
        places.insert(index, worker);
    }
    let is_whole = {
        let entry = owner.jobs.get(&phase.job)?;
        entry.spec(phase.phase)?.count as usize == places.len()
    };
    for index in places.keys() {
        place::unhold(owner, phase, *index);
    }
    is_whole.then_some(places)
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
