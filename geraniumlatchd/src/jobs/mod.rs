//! The daemon as scheduler of jobs on the platform's workers.
//!
//! All daemons are equal. Each takes clients' requests (`desk`) and stores jobs (`accept`);
//! one of them owns the cell (`claim`) and runs it (`reign`), the others ask it (`link`).
//! Decisions are made in `gl_jobs`; here they meet clocks and sockets. Everything runs on one
//! thread.

mod accept;
mod agent;
mod claim;
mod commit;
mod desk;
mod event;
pub mod lines;
mod link;
mod load;
mod node;
pub mod passes;
mod reign;
mod routing;
mod rows;
pub mod server;
mod stop;
