//! The mesh between daemons: WebSocket messages that carry CBOR frames.
//!
//! Each daemon dials every other one and sends on the connections that it dialled, so a frame
//! has one way to go. The mesh only speeds things up: every frame states facts with versions,
//! receivers keep the newest, and a new connection begins with all that is known.
//!
//! ```
//! use gl_peer::frame;
//!
//! let bytes = frame::encode(&frame::Frame::Bye).unwrap_or_default();
//! assert_eq!(frame::decode(&bytes), Ok(frame::Frame::Bye));
//! ```

mod dial;
mod error;
pub mod frame;
mod listen;
pub mod mesh;
pub mod rpc;

pub use error::Error;
