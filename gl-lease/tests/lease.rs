//! Ownership, leases and the spread of shards.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "lease/mod.rs"]
mod lease;
