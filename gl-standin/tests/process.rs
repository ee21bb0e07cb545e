//! Whole processes on loopback: the path of a request, and what must hold when they are hurt.

#[path = "process/mod.rs"]
mod process;
