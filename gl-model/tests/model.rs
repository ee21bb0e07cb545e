//! Guards the invariants of the domain types: the task lifecycle and the arithmetic of sizes.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "model/mod.rs"]
mod model;
