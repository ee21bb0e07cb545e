//! The systems that run over a shard's tables, one module each.
//!
//! In each tick, [`inventory`] and [`report`] apply the input of the platform and of the workers,
//! and [`sync`] sends committed orders to the workers. Then [`review`], [`expiry`], [`stuck`],
//! [`retire`], [`jobs`], [`drain`], [`mitigation`] and [`place`] decide, [`commit`] builds the
//! transaction with the changes, and [`routes`] publishes the routes for all daemons.

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

/// A change of state that is written to the log.
#[gl_derive::domain]
pub enum Event {
    /// A task failed too often and is not retried any more.
    GivenUp {
        /// The task.
        task: id::TaskId,
        /// The cause, for operators.
        reason: String,
    },
    /// The lease of a worker expired, so its tasks count as stopped.
    #[serde(rename = "lapsed")]
    LeaseExpired {
        /// The worker.
        vm: id::VmId,
        /// The number of its tasks.
        tasks: usize,
    },
    /// Several tasks in a row failed on a worker, so it gets no new tasks for a while.
    Quarantined {
        /// The worker.
        vm: id::VmId,
    },
    /// A batch task was evicted.
    Evicted {
        /// The task.
        task: id::TaskId,
        /// The worker.
        vm: id::VmId,
        /// The job that needs the capacity.
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
