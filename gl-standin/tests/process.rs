//! Whole processes on loopback: the path of a request, and what must hold when they are hurt.

#![allow(clippy::unwrap_used, clippy::cast_possible_truncation, reason = "tests")]

#[path = "process/mod.rs"]
mod process;
