//! Counts of calls, burn and metrics.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "meter/mod.rs"]
mod meter;
