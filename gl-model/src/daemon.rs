//! The stored row of a daemon, by which daemons find each other.

use std::net;

use crate::{id, time};

/// The row `daemon/{id}`.
#[gl_derive::domain]
pub struct Row {
    /// The daemon.
    pub id: id::DaemonId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Where it takes calls and operators' requests.
    pub listen: net::SocketAddr,
    /// Where it takes other daemons' mesh connections.
    pub mesh: net::SocketAddr,
    /// The number of the shared configuration that it has in force.
    pub config: id::Version,
    /// Its last heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: time::Timestamp,
}
