//! A world in virtual time around the decisions of `gl_jobs`: workers with leases, fencing, lost
//! and late orders, harm between images, and a store whose commits take time. Fixed seeds, no
//! network, no clock.
//!
//! A [`simulation::Simulation`] plays a list of arrivals and faults against one owner after the other and
//! returns a [`report::Report`]: what clients got, and every promise that was broken.
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
pub mod worker;
