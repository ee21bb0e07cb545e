//! Tests of routing: single rules, and load-balancing policies under load in virtual time.

#![allow(clippy::unwrap_used, clippy::cast_possible_truncation, reason = "tests")]

#[path = "route/mod.rs"]
mod route;
