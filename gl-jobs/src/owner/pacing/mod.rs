//! Pacing: bounds the start orders in flight and the rate of polls to what the process and the workers
//! can handle in time.

pub(in crate::owner) mod in_flight;
pub(in crate::owner) mod poll_times;
pub mod window;
