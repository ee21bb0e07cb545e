//! Jobs of phases on leased workers, and the decisions of the one daemon that owns a cell.
//!
//! A cell is a set of workers and jobs with one owner. The owner learns what runs from the
//! workers, stores what must outlive it, and decides what starts, stops and is paced. Nothing
//! here opens a socket or reads a clock: inputs come with the present time, and decisions leave
//! as [`owner::Action`]s.
//!
//! ```
//! use gl_jobs::task;
//!
//! let id: Option<task::TaskId> = "5c0e7a21d94b36f8.0.1.17".parse().ok();
//! assert_eq!(id.map(|id| id.index), Some(17));
//! ```

pub mod api;
pub mod bitset;
pub mod election;
pub mod job;
pub mod owner;
pub mod queue;
pub mod record;
pub mod task;
pub mod worker;
