//! A stand-in of the users' platform: a store and workers that speak its published protocol, so
//! that `geraniumlatchd --hosted` can be tested as a process without the users' own test bench.

pub mod client;
pub mod daemon;
pub mod ports;
mod server;
mod store;
mod workers;

pub use server::run;
pub use store::Store;
pub use workers::{Run, Workers};
