//! Bounds the memory and the connections that clients occupy, whatever they send.
//!
//! [`budget`] holds the bodies of requests that have not arrived whole, and gives up the oldest of
//! them when the memory is short. [`body`] reads a body into it. [`refusal`] answers a client that is
//! still sending, and [`head`] one whose head is too large. [`connections`] closes the connection that has waited longest for its client when
//! there are too many. [`ledger`] counts what requests in progress
//! take, and [`memory`] divides the memory of a process.
//!
//! ```
//! use std::sync;
//!
//! use gl_intake::budget;
//!
//! let settings = budget::Settings { limit: 64, ..budget::Settings::default() };
//! let budget = sync::Arc::new(budget::Budget::new(settings));
//! let (first, second) = (budget.open(), budget.open());
//! assert!(first.push(&[0; 60], 60).is_ok());
//! assert!(second.push(&[0; 10], 10).is_ok());
//! assert!(first.finish().is_err(), "the older body was given up");
//! ```

pub mod body;
pub mod budget;
pub mod connections;
pub mod head;
pub mod ledger;
pub mod memory;
pub mod refusal;
