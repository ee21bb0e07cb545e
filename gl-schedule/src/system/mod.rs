//! The systems that run over a shard's tables, one module each, in the order of a tick.
//!
//! [`inventory`] and [`report`] take in what the platform and the workers say. Then
//! [`review`], [`expiry`], [`stuck`], [`retire`], [`jobs`], [`drain`], [`mitigation`] and [`place`] decide, [`commit`]
//! writes, and [`sync`] and [`routes`] tell the workers and the other daemons.

use std::fmt;

use gl_model::id;

pub mod commit;
pub mod drain;
pub mod expiry;
pub mod inventory;
pub mod jobs;
pub mod mitigation;
pub mod place;
pub mod report;
pub mod retire;
pub mod review;
pub mod routes;
pub mod stuck;
pub mod sync;

/// A change of state that is worth a line in the log.
#[gl_derive::domain]
pub enum Event {
    /// A task was given up.
    GivenUp {
        /// The task.
        task: id::TaskId,
        /// Why.
        reason: String,
    },
    /// A worker's lease lapsed, and its tasks were taken from it.
    #[serde(rename = "lapsed")]
    LeaseExpired {
        /// The worker.
        vm: id::VmId,
        /// How many tasks.
        tasks: usize,
    },
    /// A worker failed what it started and gets no new tasks for a while.
    Quarantined {
        /// The worker.
        vm: id::VmId,
    },
    /// A batch task makes room.
    Evicted {
        /// The task.
        task: id::TaskId,
        /// The worker.
        vm: id::VmId,
        /// The job that needs the room.
        by: id::JobId,
    },
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GivenUp { task, reason } => {
                write!(f, "task={task} state=failed reason={reason:?}")
            }
            Self::LeaseExpired { vm, tasks } => write!(f, "vm={vm} state=lapsed tasks={tasks}"),
            Self::Quarantined { vm } => write!(f, "vm={vm} state=quarantined"),
            Self::Evicted { task, vm, by } => {
                write!(f, "task={task} state=evicting vm={vm} by={by}")
            }
        }
    }
}
