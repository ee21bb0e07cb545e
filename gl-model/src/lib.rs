//! Domain types of the scheduler: identities, time, sizes, VMs, tasks, jobs and stored rows.
//!
//! The types perform no I/O. Entities are kept in a [`table::Table`], and the systems of the
//! other packages operate on those tables.
//!
//! ```
//! use gl_model::size;
//!
//! let vm = size::Size { cores: 64_000, memory: 250_000, accelerators: 0 };
//! let task = size::Size { cores: 4_000, memory: 16_000, accelerators: 0 };
//! assert!(task.fits_in(&vm));
//! ```

pub mod call;
pub mod config;
pub mod daemon;
pub mod id;
pub mod intent;
pub mod job;
pub mod key;
pub mod plan;
pub mod route;
pub mod shard;
pub mod size;
pub mod status;
pub mod table;
pub mod task;
pub mod time;
pub mod txn;
pub mod vm;
pub mod worker;
