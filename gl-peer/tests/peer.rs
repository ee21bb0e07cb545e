//! The mesh on loopback.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "peer/mod.rs"]
mod peer;
