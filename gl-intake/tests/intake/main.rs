//! Tests of the bounds on what clients occupy.

#![allow(clippy::unwrap_used, reason = "tests")]

mod body;
mod budget;
