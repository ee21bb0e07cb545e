//! Guards against calls that are counted twice or lost when daemons exchange counts, against wrong
//! alerts, and against metrics without their labels.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "meter/mod.rs"]
mod meter;
