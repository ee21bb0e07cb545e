//! How a mesh connection fails.

use std::net;

/// The error returned by the mesh's operations.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error(
        "the mesh can't listen on {address} ({detail}); set `mesh` to a free address of this VM"
    )]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        detail: String,
    },
    /// A frame can't be encoded or decoded.
    #[error(
        "a frame of the mesh can't be read ({detail}); check that all daemons' versions go together"
    )]
    Frame {
        /// What the codec said.
        detail: String,
    },
}
