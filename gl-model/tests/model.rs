//! Rules of the domain types.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "model/mod.rs"]
mod model;
