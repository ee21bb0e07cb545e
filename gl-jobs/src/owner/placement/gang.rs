//! Gangs: phases whose tasks make progress only while all of them run.

use std::collections;

use gl_model::time;

use crate::owner::{Owner, StopReason, order, search, state};
use crate::{task, worker};

/// The index under which the failures and checkpoints of a gang are kept.
pub const SHARED_INDEX: u32 = 0;

/// Returns workers for all members of a gang, or `None` if any member is not waiting or cannot be
/// placed.
pub(in crate::owner) fn place_all(
    owner: &mut Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Option<collections::BTreeMap<u32, worker::WorkerId>> {
    let members: Vec<_> = {
        let entry = owner.jobs.get(&phase.job)?;
        let spec = entry.spec(phase.phase)?;
        let state = entry.phases.get(&(phase.occurrence, phase.phase))?;
        let is_complete = state.waiting.len() == spec.count as usize;
        if !is_complete || owner.has_spent_member(phase) {
            return None;
        }
        state.waiting.iter().copied().collect()
    };
    let is_interrupted =
        state::state_of(owner, phase).is_some_and(|state| !state.interrupted.is_empty());
    let part = if is_interrupted { order::Part::Interrupted } else { order::Part::All };
    let mut placements = collections::BTreeMap::new();
    let is_unsettled = |index: &u32| owner.unsettled.holds(task::TaskId { phase, index: *index });
    let (unsettled, members): (Vec<_>, Vec<_>) = members.into_iter().partition(is_unsettled);
    for index in unsettled {
        let Some(worker) = owner.settling_worker(task::TaskId { phase, index }, now) else {
            break;
        };
        state::reserve(owner, phase, index, &worker, now);
        placements.insert(index, worker);
    }
    let mut candidates = search::Candidates::new(part);
    for index in members {
        let Some(worker) = candidates.find(owner, phase, now) else {
            break;
        };
        state::reserve(owner, phase, index, &worker, now);
        placements.insert(index, worker);
    }
    let is_complete = {
        let entry = owner.jobs.get(&phase.job)?;
        entry.spec(phase.phase)?.count as usize == placements.len()
    };
    for index in placements.keys() {
        state::release(owner, phase, *index);
    }
    is_complete.then_some(placements)
}

impl Owner {
    /// Stops the remaining members of a gang that has lost a member.
    pub(in crate::owner) fn stop_gang(&mut self, phase: task::PhaseId, now: time::Timestamp) {
        let first = task::TaskId { phase, index: 0 };
        let last = task::TaskId { phase, index: u32::MAX };
        let members: Vec<_> = self.runs.range(first..=last).map(|(task, _)| *task).collect();
        for task in members {
            self.stop(task, StopReason::GangBroken, now);
        }
    }
}
