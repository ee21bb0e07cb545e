//! What runs where, as a daemon tells operators.

use crate::{daemon, id, shard, size, vm};

/// A job's tasks by state.
#[gl_derive::domain]
pub struct Job {
    /// The job.
    pub name: id::JobId,
    /// Whether it answers calls.
    #[serde(rename = "serving")]
    pub is_service: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Tasks that it asks for.
    pub wanted: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run or are about to.
    pub running: u32,
    /// Tasks that make room.
    pub moving: u32,
    /// Tasks that finished.
    pub done: u32,
    /// Tasks that were given up.
    pub failed: u32,
    /// Evictions so far.
    pub evictions: u32,
    /// Why tasks were given up.
    pub reasons: Vec<String>,
}

/// A worker.
#[gl_derive::domain]
pub struct Worker {
    /// The VM.
    pub vm: id::VmId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// What the list says.
    pub liveness: vm::Liveness,
    /// What it has.
    pub capacity: size::Size,
    /// What is promised on it.
    #[serde(rename = "promised")]
    pub reserved: size::Size,
    /// How many tasks hold a promise.
    pub tasks: usize,
}

/// A shard.
#[gl_derive::domain]
pub struct Shard {
    /// The shard.
    pub shard: id::DomainId,
    /// Its row.
    pub row: Option<shard::Row>,
}

/// The state of everything.
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
