//! Shard ownership with fencing epochs, the leases granted to workers, and the view of which
//! daemons are alive.
//!
//! All functions decide from their arguments; none reads a clock or does I/O.
//!
//! ```
//! use gl_lease::shard;
//! use gl_model::{id, time};
//!
//! let now = time::Timestamp(1_000_000);
//! let options = shard::Options::default();
//! let row = shard::claim(None, &id::DaemonId::from("d1"), &id::TxnId::from("t1"), now, &options);
//! assert_eq!(row.map(|row| row.epoch), Ok(id::Epoch(1)));
//! ```

pub mod grant;
pub mod membership;
pub mod rendezvous;
pub mod shard;
