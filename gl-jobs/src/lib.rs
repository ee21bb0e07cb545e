//! Jobs of phases that run on leased workers, and the decisions of the daemon that owns a cell.
//!
//! A job consists of phases, and a phase of equal tasks. A run is one attempt to carry out a task on
//! a worker. A cell is a set of workers and jobs with one owner. The owner polls the workers for the
//! runs that they have, stores the progress that must survive it, and decides which runs are
//! started, stopped and throttled. This crate opens no sockets and reads no clocks: inputs carry the
//! current time, and decisions are returned as [`owner::Action`]s.
//!
//! ```
//! use gl_jobs::task;
//!
//! let id: Option<task::TaskId> = "5c0e7a21d94b36f8.0.1.17".parse().ok();
//! assert_eq!(id.map(|id| id.index), Some(17));
//! ```

pub mod api;
pub mod bitset;
pub mod claimants;
pub mod domain;
pub mod election;
pub mod followers;
pub mod freshness;
pub mod job;
pub mod owner;
pub mod queue;
pub mod record;
pub mod retry_after;
pub mod room;
pub mod task;
pub mod tombstones;
pub mod wall_clock;
pub mod worker;
