//! Pacing: bounds the start orders in flight to what the process and the workers can answer in time.

pub(in crate::owner) mod in_flight;
pub mod window;
