//! Tests that run the real programs as processes on loopback and inject faults.

#![allow(clippy::unwrap_used, clippy::cast_possible_truncation, reason = "tests")]

#[path = "process/mod.rs"]
mod process;
