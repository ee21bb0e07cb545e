//! The daemon: it proxies calls, serves operators, and owns shards of the scheduling state.
//!
//! [`program`] reads the command line and the settings and starts the rest. [`proxy`] carries
//! calls, [`operators`] answers operators, and [`control`] runs the shards, the mesh and all that
//! is polled. They share a [`node::Node`]. Decisions are made in the `gl-*` packages; here they
//! meet clocks and sockets.
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
