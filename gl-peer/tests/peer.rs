//! Guards against mesh connections that begin without the snapshot, are not opened to replaced peers,
//! or break at frames that cannot be decoded. The tests use the loopback interface.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "peer/mod.rs"]
mod peer;
