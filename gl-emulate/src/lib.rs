//! A discrete-time simulation around the decisions of `gl_jobs`: workers with leases and fencing
//! tokens, lost and delayed orders, interference between images, and a store whose commits take
//! time. Runs are deterministic for a given seed and use neither the network nor a real clock.
//!
//! A [`simulation::Simulation`] runs a list of arriving jobs and faults against successive owners and
//! returns a [`report::Report`] with the service that clients got and every violated guarantee.
//!
//! ```
//! use gl_emulate::{fleet, simulation};
//!
//! let settings = simulation::Settings { workers: fleet::uniform(2, 64_000), ..Default::default() };
//! let report = simulation::Simulation::new(settings).run();
//! assert!(report.violations.is_empty());
//! ```

pub mod fleet;
pub mod load;
pub mod report;
pub mod simulation;
pub mod usage;
pub mod worker;
