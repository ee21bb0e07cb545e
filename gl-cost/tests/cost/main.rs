//! Tests of losses, levels and turns.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests")]

mod level;
mod loss;
mod turns;
