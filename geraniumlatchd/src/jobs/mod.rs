//! A daemon that schedules jobs on the platform's workers.
//!
//! All daemons are equal. Each one serves clients (`api`) and stores the jobs that they submit
//! (`submission`). One daemon holds the lease on the cell (`lease`) and schedules the cell's jobs
//! (`ownership`); the others send it requests over the mesh (`mesh`). Decisions are made in
//! `gl_jobs`, which does no input or output; the modules here read the clock, call the platform
//! and carry the decisions out. Everything runs on one thread.

pub mod action_queue;
mod admission;
mod api;
mod cell_rows;
mod claimants;
mod commit;
mod daemon_clocks;
mod event;
mod execution;
mod followers;
mod lease;
pub mod log_writer;
pub mod mesh;
mod node;
pub mod ordering;
pub mod outage_rule;
mod outages;
mod ownership;
pub mod pass_meter;
pub mod placement_pause;
pub mod poll_gate;
pub mod poll_pause;
mod predecessors;
mod recovery;
mod routing;
mod rows;
pub mod server;
mod shutdown;
mod submission;
mod tombstones;
mod work_feed;
mod worker_client;
mod worker_list;

pub use event::note_fields;
