//! What would run where, what would move, and what can't be placed.

use crate::{id, intent, job, size, time};

/// Where a plan stands.
#[gl_derive::tag]
pub enum State {
    /// An operator may confirm it.
    Proposed,
    /// It is in force.
    Confirmed,
    /// An operator cancelled it.
    Cancelled,
}

/// One task and its planned VM.
#[gl_derive::domain]
pub struct Placement {
    /// The task.
    pub task: id::TaskId,
    /// The shard.
    pub shard: id::DomainId,
    /// The VM.
    pub vm: id::VmId,
}

/// One batch task that would make room.
#[gl_derive::domain]
pub struct Eviction {
    /// The task.
    pub task: id::TaskId,
    /// Its VM.
    pub vm: id::VmId,
    /// The job that needs the room.
    pub by: id::JobId,
}

/// Tasks that wait for room.
#[gl_derive::domain]
pub struct Queued {
    /// The job.
    pub job: id::JobId,
    /// How many of its tasks wait.
    pub tasks: u32,
}

/// Tasks that no VM can run, or that pass a limit.
#[gl_derive::domain]
pub struct Unplaced {
    /// The job.
    pub job: id::JobId,
    /// How many of its tasks can't be placed.
    pub tasks: u32,
    /// Why, and what to do about it.
    pub reason: String,
    /// The largest size that one VM could promise to a task.
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
    /// Where it stands.
    pub state: State,
    /// When it was made.
    pub made: time::Timestamp,
    /// The version of the plans' head row that it was made from.
    pub basis: id::Version,
    /// The intents that it answers.
    pub intents: Vec<intent::Intent>,
    /// The jobs that it would cancel.
    pub cancels: Vec<id::JobId>,
    /// What would run where.
    pub placements: Vec<Placement>,
    /// What would be evicted.
    pub evictions: Vec<Eviction>,
    /// What would wait.
    pub queued: Vec<Queued>,
    /// What can't be placed.
    pub unplaced: Vec<Unplaced>,
    /// What a confirm would write.
    pub parts: Vec<Part>,
}

/// The row that every confirmed plan advances, so that of two competing plans one wins.
#[gl_derive::domain]
pub struct Head {
    /// The plan that was confirmed last.
    pub plan: id::PlanId,
}
