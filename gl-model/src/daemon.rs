//! The stored row of a daemon, through which daemons discover each other.

use std::net;

use crate::{id, time};

/// The row `daemon/{id}`.
#[gl_derive::domain]
pub struct Row {
    /// The daemon.
    pub id: id::DaemonId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// The address for calls and operators' requests.
    pub listen: net::SocketAddr,
    /// The address for mesh connections of other daemons.
    pub mesh: net::SocketAddr,
    /// The number of the shared configuration that it applies.
    pub config: id::Version,
    /// The time of its last heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: time::Timestamp,
}
