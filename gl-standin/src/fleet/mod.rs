//! A stand-in of the users' platform: a store and workers that speak its published protocol, so
//! that `geraniumlatchd --hosted` can be tested as a process without the users' own test bench.
//!
//! The failure domains reach each other and the store through a [`network`] that can be cut, and
//! [`judge`] checks what the workers have run. [`deployment`] starts the stand-in and the daemons.

mod admin;
pub mod client;
pub mod daemon;
pub mod deployment;
pub mod judge;
mod late_calls;
pub mod network;
pub mod ports;
mod recorder;
mod server;
mod store;
mod store_api;
mod view;
mod worker_api;
mod workers;

pub use admin::{Peer, Restart};
pub use late_calls::{Arrival, Delivery, LateCall};
pub use recorder::Run;
pub use server::{Calls, Lost, Size, run};
pub use store::Store;
pub use workers::{Recipient, Start, Workers};
