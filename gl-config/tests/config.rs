//! Guards against invalid settings and intents that are accepted, and against errors that do not
//! name the place and the remedy.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "config/mod.rs"]
mod config;
