//! Plans: the placements, evictions and unplaced tasks that would result from intents.

use crate::{id, intent, job, size, time};

/// The state of a plan.
#[gl_derive::tag]
pub enum State {
    /// An operator may confirm it.
    Proposed,
    /// The plan is in force.
    Confirmed,
    /// An operator cancelled the plan.
    Cancelled,
}

/// A task and its planned VM.
#[gl_derive::domain]
pub struct Placement {
    /// The task.
    pub task: id::TaskId,
    /// The shard.
    pub shard: id::DomainId,
    /// The VM.
    pub vm: id::VmId,
}

/// A batch task that would be evicted to free capacity.
#[gl_derive::domain]
pub struct Eviction {
    /// The task.
    pub task: id::TaskId,
    /// Its VM.
    pub vm: id::VmId,
    /// The job that needs the capacity.
    pub by: id::JobId,
}

/// Tasks of a job that wait for free capacity.
#[gl_derive::domain]
pub struct Queued {
    /// The job.
    pub job: id::JobId,
    /// The number of its tasks that wait.
    pub tasks: u32,
}

/// Tasks of a job that are too large for every VM, or that exceed a limit.
#[gl_derive::domain]
pub struct Unplaced {
    /// The job.
    pub job: id::JobId,
    /// The number of its tasks that cannot be placed.
    pub tasks: u32,
    /// The reason and the remedy.
    pub reason: String,
    /// The largest size that could be reserved for a task on one VM.
    pub largest: size::Size,
}

/// A shard's part of a job, written when the plan is confirmed.
#[gl_derive::domain]
pub struct Part {
    /// The shard.
    pub shard: id::DomainId,
    /// The row.
    pub row: job::Row,
    /// The version of the row that it replaces; zero if there is none.
    pub version: id::Version,
}

/// A stored plan.
#[gl_derive::domain]
pub struct Plan {
    /// Its identity.
    pub id: id::PlanId,
    /// Its state.
    pub state: State,
    /// The time at which it was made.
    pub made: time::Timestamp,
    /// The version of the head row from which it was made.
    pub basis: id::Version,
    /// The intents for which it was made.
    pub intents: Vec<intent::Intent>,
    /// The jobs that it would cancel.
    pub cancels: Vec<id::JobId>,
    /// The tasks that would run, with their VMs.
    pub placements: Vec<Placement>,
    /// The tasks that would be evicted.
    pub evictions: Vec<Eviction>,
    /// The tasks that would wait for free capacity.
    pub queued: Vec<Queued>,
    /// The tasks that cannot be placed.
    pub unplaced: Vec<Unplaced>,
    /// The rows that a confirmation would write.
    pub parts: Vec<Part>,
}

/// The row that every confirmed plan advances, so that only one of two competing plans can be
/// confirmed (optimistic concurrency).
#[gl_derive::domain]
pub struct Head {
    /// The plan that was confirmed last.
    pub plan: id::PlanId,
}
