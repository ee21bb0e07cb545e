//! The mesh between daemons: WebSocket messages that carry CBOR frames.
//!
//! Each daemon connects to every other one and sends only on the connections that it opened, so
//! each connection carries frames in one direction. The mesh only speeds up propagation. Every
//! frame carries versioned state, receivers keep only the newest version, and a new connection
//! begins with a snapshot of the whole state.
//!
//! ```
//! use gl_peer::frame;
//!
//! let bytes = frame::encode(&frame::Frame::Bye).unwrap_or_default();
//! assert_eq!(frame::decode(&bytes), Ok(frame::Frame::Bye));
//! ```

mod error;
pub mod frame;
pub mod mesh;
mod metered;
mod receiver;
pub mod rpc;
mod sender;

pub use error::Error;
