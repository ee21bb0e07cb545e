//! Tests of the HTTP client against raw sockets.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "platform/mod.rs"]
mod platform;
