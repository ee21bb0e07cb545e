//! The systems of a shard's owner: rules one by one, random orders of faults, and replays.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tests"
)]

#[path = "schedule/mod.rs"]
mod schedule;
