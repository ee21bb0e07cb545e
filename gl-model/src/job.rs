//! Jobs: their specification and their stored rows.

use crate::{id, size, time};

/// The kind of work that the tasks of a job do.
#[gl_derive::domain]
pub enum Work {
    /// The tasks serve calls.
    Service(Service),
    /// The tasks run to completion.
    Batch(Batch),
}

/// A latency-critical service.
#[gl_derive::domain]
pub struct Service {
    /// The name under which callers reach it. The additional tasks of a season serve its base
    /// service.
    pub serves: id::JobId,
    /// The deadline of a call.
    pub deadline: time::Span,
    /// The share of calls that must complete within the deadline, from 0 to 1.
    pub objective: f64,
    /// The periods in which the tasks run; empty means always.
    pub windows: Vec<Window>,
}

/// A batch job.
#[gl_derive::domain]
pub struct Batch {
    /// The declared run time of one task.
    pub run: time::Span,
    /// The number of times that one task may be evicted.
    pub evictions: u32,
    /// The time by which all tasks should be done.
    pub due: Option<time::Timestamp>,
}

/// A period in which the tasks of a season run.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Window {
    /// The time from which capacity is freed for the tasks.
    pub from: time::Timestamp,
    /// The time at which the tasks start to drain.
    pub to: time::Timestamp,
}

impl Window {
    /// Returns whether `now` lies in the window.
    pub fn contains(&self, now: time::Timestamp) -> bool {
        self.from <= now && now < self.to
    }
}

/// The specification of a job, which is the same in all shards.
#[gl_derive::domain]
pub struct Spec {
    /// Its name.
    pub name: id::JobId,
    /// The team whose quota it counts against.
    pub team: id::TeamId,
    /// The kind of its tasks in the interference model.
    pub kind: id::KindId,
    /// The capacity that is reserved for one task.
    pub size: size::Size,
    /// The work that its tasks do.
    pub work: Work,
}

impl Spec {
    /// Returns whether its tasks serve calls.
    pub const fn is_service(&self) -> bool {
        matches!(self.work, Work::Service(_))
    }

    /// Returns whether its tasks should run at `now`.
    pub fn is_wanted(&self, now: time::Timestamp) -> bool {
        match &self.work {
            Work::Service(s) => s.windows.is_empty() || s.windows.iter().any(|w| w.contains(now)),
            Work::Batch(_) => true,
        }
    }
}

/// One task of a shard's part of a job, with its VM in the confirmed plan.
#[gl_derive::domain]
pub struct Slot {
    /// The task's index in the job.
    pub index: u32,
    /// The planned VM; none if the task waits for free capacity.
    pub vm: Option<id::VmId>,
}

/// The stored row of a shard's part of a job.
#[gl_derive::domain]
pub struct Row {
    /// The job.
    pub spec: Spec,
    /// The tasks that the shard runs.
    pub slots: Vec<Slot>,
    /// The number of evictions of other tasks that the confirmed plan grants to this job.
    pub grant: u32,
    /// True if an operator cancelled the job.
    pub cancelled: bool,
    /// The result of the shard's part once it has ended; the rows of its tasks are deleted by then.
    pub ended: Option<Ended>,
}

/// The result of a shard's part of a job.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Ended {
    /// The time of the end.
    pub at: time::Timestamp,
    /// The number of tasks that finished.
    pub done: u32,
    /// The number of tasks that were given up.
    pub failed: u32,
    /// The number of tasks that were cancelled.
    pub cancelled: u32,
}
