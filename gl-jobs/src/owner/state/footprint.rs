//! An estimate of the memory that a job takes at the owner.

use std::mem;

use super::jobs::{JobEntry, PhaseState};
use crate::job;

/// The memory of a task that waits, in bytes.
const TASK_BYTES: usize = 16;
/// The memory of a node of a tree that holds one entry, beside it, in bytes.
const NODE_BYTES: usize = 512;

/// Returns the memory that a job takes at the owner once all of its occurrences are due, in bytes.
pub fn of(job: &job::Job) -> usize {
    let occurrences = job.occurrences() as usize;
    let tasks: usize = job.phases.iter().map(|phase| phase.count as usize).sum();
    let states = job.phases.len().saturating_mul(occurrences);
    let phase_state = mem::size_of::<PhaseState>() + NODE_BYTES;
    description(job)
        .saturating_add(states.saturating_mul(phase_state))
        .saturating_add(tasks.saturating_mul(occurrences).saturating_mul(TASK_BYTES))
}

/// Returns the memory of a job's entry without the state of its phases, in bytes.
fn description(job: &job::Job) -> usize {
    let text = |text: &Option<String>| text.as_ref().map_or(0, String::capacity);
    let phase = |phase: &job::Phase| {
        mem::size_of::<job::Phase>()
            + text(&phase.label)
            + text(&phase.data_rack)
            + text(&phase.image)
            + phase.after.capacity() * mem::size_of::<u32>()
    };
    let phases: usize = job.phases.iter().map(phase).sum();
    mem::size_of::<JobEntry>() + NODE_BYTES + job.spec.capacity() + phases
}
