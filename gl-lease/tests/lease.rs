//! Tests of shard ownership, worker leases, membership and failover.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "lease/mod.rs"]
mod lease;
