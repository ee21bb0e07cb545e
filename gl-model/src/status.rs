//! The state of jobs, workers, daemons and shards, as a daemon reports it to operators.

use crate::{daemon, id, shard, size, vm};

/// A job's tasks by state.
#[gl_derive::domain]
pub struct Job {
    /// The job.
    pub name: id::JobId,
    /// True if its tasks serve calls.
    #[serde(rename = "serving")]
    pub is_service: bool,
    /// True if it was cancelled.
    pub cancelled: bool,
    /// The number of tasks that its intent requests.
    pub wanted: u32,
    /// The number of tasks that wait to start.
    pub waiting: u32,
    /// The number of tasks that run or are starting.
    pub running: u32,
    /// The number of tasks that are being evicted or drained.
    pub moving: u32,
    /// The number of tasks that finished.
    pub done: u32,
    /// The number of tasks that were given up.
    pub failed: u32,
    /// The number of evictions so far.
    pub evictions: u32,
    /// The reasons for which tasks were given up.
    pub reasons: Vec<String>,
}

/// A worker.
#[gl_derive::domain]
pub struct Worker {
    /// The VM.
    pub vm: id::VmId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Its state in the platform's list.
    pub liveness: vm::Liveness,
    /// Its total capacity.
    pub capacity: size::Size,
    /// The capacity that is reserved on it.
    #[serde(rename = "promised")]
    pub reserved: size::Size,
    /// The number of tasks that hold a reservation.
    pub tasks: usize,
}

/// A shard.
#[gl_derive::domain]
pub struct Shard {
    /// The shard.
    pub shard: id::DomainId,
    /// Its stored row, if there is one.
    pub row: Option<shard::Row>,
}

/// The state of the whole system.
#[gl_derive::domain]
pub struct Status {
    /// The jobs.
    pub jobs: Vec<Job>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The daemons that are alive.
    pub daemons: Vec<daemon::Row>,
    /// The shards.
    pub shards: Vec<Shard>,
}
