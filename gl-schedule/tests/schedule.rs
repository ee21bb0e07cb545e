//! Tests of a shard's owner: its rules one by one, random orders of faults, plans, learned models,
//! costs, and replays of recorded traces.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tests"
)]

#[path = "schedule/mod.rs"]
mod schedule;
