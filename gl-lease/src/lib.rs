//! Shard ownership with fencing epochs, the leases granted to workers, and the membership view
//! of live daemons.
//!
//! The results of all functions follow from their arguments; none reads a clock or does I/O.
//!
//! ```
//! use gl_lease::shard_lease;
//! use gl_model::{id, time};
//!
//! let now = time::Timestamp(1_000_000);
//! let options = shard_lease::Options::default();
//! let daemon = id::DaemonId::from("d1");
//! let row = shard_lease::claim(None, &daemon, &id::TxnId::from("t1"), now, &options);
//! assert_eq!(row.map(|row| row.epoch), Ok(id::Epoch(1)));
//! ```

pub mod membership;
pub mod rendezvous;
pub mod shard_lease;
pub mod worker_lease;
