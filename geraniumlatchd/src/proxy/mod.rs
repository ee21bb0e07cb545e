//! Forwards calls from callers to backend servers.

mod answer;
pub mod attempt;
pub mod claims;
pub mod handler;
pub mod queue;
pub mod request;
pub mod response;
pub mod server;
