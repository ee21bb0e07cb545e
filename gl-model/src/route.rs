//! Routes: the addresses of the tasks that serve calls.

use std::net;

use crate::{id, time};

/// A running task of a service, as the owner of its shard publishes it.
#[gl_derive::domain]
pub struct Entry {
    /// The service.
    pub service: id::JobId,
    /// The task.
    pub task: id::TaskId,
    /// Its incarnation; the backend server refuses calls addressed to another one.
    pub incarnation: id::Incarnation,
    /// The VM that it runs on.
    pub vm: id::VmId,
    /// The address that accepts calls.
    pub address: net::SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
}

/// All routes of a shard.
#[gl_derive::domain]
pub struct Set {
    /// The shard.
    pub shard: id::DomainId,
    /// The epoch of the shard's owner; a set of a lower epoch is stale.
    pub epoch: id::Epoch,
    /// Increases with each set of one epoch.
    pub version: u64,
    /// The routes.
    pub entries: Vec<Entry>,
    /// The objectives of the shard's services.
    #[serde(rename = "promises")]
    pub objectives: Vec<Objective>,
}

/// The service-level objective of a service.
#[gl_derive::domain]
pub struct Objective {
    /// The service.
    pub service: id::JobId,
    /// The deadline of a call.
    pub deadline: time::Span,
    /// The share of calls that must complete within the deadline, from 0 to 1.
    pub objective: f64,
}

impl Set {
    /// Returns whether `self` is newer than `other` and replaces it.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.version) > (other.epoch, other.version)
    }
}
