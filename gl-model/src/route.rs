//! Where calls of a service can go.

use std::net;

use crate::{id, time};

/// A running task of a service, as the owner of its shard publishes it.
#[gl_derive::domain]
pub struct Entry {
    /// The service.
    pub service: id::JobId,
    /// The task.
    pub task: id::TaskId,
    /// Its start; the backend server refuses calls meant for another one.
    pub incarnation: id::Incarnation,
    /// The VM that it runs on.
    pub vm: id::VmId,
    /// Where it takes calls.
    pub address: net::SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// All routes of a shard.
#[gl_derive::domain]
pub struct Set {
    /// The shard.
    pub shard: id::DomainId,
    /// The owner's epoch; a set of a lower epoch is stale.
    pub epoch: id::Epoch,
    /// Grows with each set of one epoch.
    pub version: u64,
    /// The routes.
    pub entries: Vec<Entry>,
    /// What the shard's services promise.
    #[serde(rename = "promises")]
    pub objectives: Vec<Objective>,
}

/// What a service promises its callers.
#[gl_derive::domain]
pub struct Objective {
    /// The service.
    pub service: id::JobId,
    /// The time within which a call should be answered.
    pub deadline: time::Span,
    /// The share of calls that must be whole within the deadline, from 0 to 1.
    pub objective: f64,
}

impl Set {
    /// Whether `self` replaces `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.version) > (other.epoch, other.version)
    }
}
