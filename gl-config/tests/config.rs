//! Settings and intents: what is refused, where, and with which remedy.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "config/mod.rs"]
mod config;
