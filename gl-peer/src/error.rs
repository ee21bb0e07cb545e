//! Errors of the mesh.

use std::net;

/// The error returned by operations of the mesh.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The socket cannot be used for listening.
    #[error(
        "the mesh cannot listen on {address} ({detail}); set `mesh` to a free address of this VM"
    )]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The message of the operating system.
        detail: String,
    },
    /// A frame cannot be encoded or decoded.
    #[error(
        "cannot encode or decode a mesh frame ({detail}); check that all daemons run compatible \
         versions"
    )]
    Frame {
        /// The message of the codec.
        detail: String,
    },
}
