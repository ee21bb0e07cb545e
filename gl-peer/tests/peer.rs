//! Tests the mesh on the loopback interface: connections must begin with a complete snapshot and
//! survive replaced peers and undecodable frames.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "peer/mod.rs"]
mod peer;
