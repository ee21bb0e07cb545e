//! What a job's tasks are and how many run.

use crate::{id, size, time};

/// What the tasks of a job do.
#[gl_derive::domain]
pub enum Work {
    /// They answer calls.
    Service(Service),
    /// They run to their end.
    Batch(Batch),
}

/// A latency-critical service.
#[gl_derive::domain]
pub struct Service {
    /// The name under which callers reach it; a season's extra tasks serve its base service.
    pub serves: id::JobId,
    /// The time within which a call should be answered.
    pub deadline: time::Span,
    /// The share of calls that must be whole within the deadline, from 0 to 1.
    pub objective: f64,
    /// When the tasks run; empty means always.
    pub windows: Vec<Window>,
}

/// A batch job.
#[gl_derive::domain]
pub struct Batch {
    /// The declared run time of one task.
    pub run: time::Span,
    /// How often one task may be evicted.
    pub evictions: u32,
    /// When all tasks should be done.
    pub due: Option<time::Timestamp>,
}

/// A stretch of time in which a season's tasks run.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Window {
    /// Room is freed from this point on.
    pub from: time::Timestamp,
    /// The tasks drain at this point.
    pub to: time::Timestamp,
}

impl Window {
    /// Whether `now` lies in the window.
    pub fn contains(&self, now: time::Timestamp) -> bool {
        self.from <= now && now < self.to
    }
}

/// A job as all shards see it.
#[gl_derive::domain]
pub struct Spec {
    /// Its name.
    pub name: id::JobId,
    /// The team that it counts against.
    pub team: id::TeamId,
    /// The kind that the interference model knows its tasks by.
    pub kind: id::KindId,
    /// What one task is promised.
    pub size: size::Size,
    /// What its tasks do.
    pub work: Work,
}

impl Spec {
    /// Whether its tasks answer calls.
    pub const fn is_service(&self) -> bool {
        matches!(self.work, Work::Service(_))
    }

    /// Whether its tasks should run at `now`.
    pub fn is_wanted(&self, now: time::Timestamp) -> bool {
        match &self.work {
            Work::Service(s) => s.windows.is_empty() || s.windows.iter().any(|w| w.contains(now)),
            Work::Batch(_) => true,
        }
    }
}

/// One task of a shard's part of a job, with the VM that the confirmed plan shows for it.
#[gl_derive::domain]
pub struct Slot {
    /// The task's index in the job.
    pub index: u32,
    /// The planned VM; none if the task waits for room.
    pub vm: Option<id::VmId>,
}

/// The stored row of a shard's part of a job.
#[gl_derive::domain]
pub struct Row {
    /// The job.
    pub spec: Spec,
    /// The tasks that the shard runs.
    pub slots: Vec<Slot>,
    /// How many evictions of other tasks the confirmed plan granted for this job.
    pub grant: u32,
    /// Whether an operator cancelled the job.
    pub cancelled: bool,
    /// How the shard's part ended; its tasks' rows are gone by then.
    pub ended: Option<Ended>,
}

/// How a shard's part of a job ended.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Ended {
    /// When.
    pub at: time::Timestamp,
    /// Tasks that finished.
    pub done: u32,
    /// Tasks that were given up.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
}
