//! The geraniumlatch daemon: proxies calls, serves operators and owns shards of the scheduling
//! state.
//!
//! [`program`] reads the command line and the settings and starts the other parts. [`proxy`]
//! forwards calls, [`operators`] handles operators' requests, and [`control`] runs the shards, the
//! mesh and the polling of the platform. They share a [`node::Node`]. [`jobs`] is the daemon on the
//! users' platform. The `gl-*` packages make the decisions; this package connects them to clocks
//! and sockets.
//!
//! ```no_run
//! let arguments = ["--config".to_owned(), "daemon.yaml".to_owned()];
//! geraniumlatchd::program::main(&arguments);
//! ```

pub mod clock;
pub mod control;
pub mod error;
pub mod jobs;
pub mod node;
pub mod operators;
pub mod program;
pub mod proxy;
pub mod shutdown;
pub mod transaction;
