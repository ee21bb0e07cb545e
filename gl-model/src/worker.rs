//! The messages between a shard's owner and the agent of a worker.

use std::net;

use crate::{id, size, time};

/// The state into which a worker must bring a task.
#[gl_derive::tag]
pub enum DesiredState {
    /// Run.
    Run,
    /// Run with less processor time.
    Throttle,
    /// Accept no new requests, finish those in progress, then stop.
    Drain,
    /// Write a checkpoint, then stop.
    Checkpoint,
    /// Stop at once.
    Stop,
}

/// One task in a [`Sync`].
#[gl_derive::domain]
pub struct Order {
    /// The task.
    pub task: id::TaskId,
    /// The number of its start.
    pub incarnation: id::Incarnation,
    /// The kind of its job.
    pub kind: id::KindId,
    /// True if the task serves calls.
    #[serde(rename = "serving")]
    pub is_service: bool,
    /// The desired state.
    #[serde(rename = "wish")]
    pub desired: DesiredState,
    /// The capacity that it may use.
    pub size: size::Size,
    /// Its declared run time; zero for a service.
    pub run: time::Span,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
}

/// Orders a worker to run exactly the listed tasks.
///
/// The message states the desired state, so receiving it twice has no further effect. A worker
/// refuses a message whose epoch is lower than the highest that it has seen, whose `seq` is not
/// higher than the last one of the same epoch, or whose `boot` is another boot of the agent.
#[gl_derive::domain]
pub struct Sync {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// Increases with each message of one epoch.
    pub seq: u64,
    /// The boot of the agent to which the message is addressed; none to query the current one.
    pub boot: Option<u64>,
    /// The expiry of the worker's lease; its tasks stop then unless the lease is renewed.
    pub until: time::Timestamp,
    /// All tasks; none if they are the same as in the last message that the agent accepted.
    pub orders: Option<Vec<Order>>,
    /// The version of the last report that the owner received; the agent omits older states.
    #[serde(rename = "known")]
    pub report_version: u64,
}

/// The phase of a task on a worker.
#[gl_derive::domain]
pub enum Phase {
    /// The task is being set up.
    Starting,
    /// The task runs; a service reports its address.
    Running(Option<net::SocketAddr>),
    /// The task finishes its requests before it stops.
    Draining,
    /// The task stopped as ordered, with its checkpoint if it wrote one.
    Stopped(Option<String>),
    /// The task finished its work.
    Done,
    /// The task failed for the given reason.
    Failed(String),
}

/// The state of one task on a worker.
#[gl_derive::domain]
pub struct Status {
    /// The task.
    pub task: id::TaskId,
    /// The number of its start.
    pub incarnation: id::Incarnation,
    /// Its phase.
    pub phase: Phase,
}

/// A measurement of one task, taken some time before it is reported.
#[gl_derive::domain]
pub struct Usage {
    /// The task.
    pub task: id::TaskId,
    /// The time of the measurement.
    pub at: time::Timestamp,
    /// The capacity that it used.
    pub used: size::Size,
    /// For a service: the ratio of its latency to its latency when running alone.
    pub slowdown: Option<f64>,
    /// For a service: the share of its slots in use, from 0 to 1.
    pub load: f64,
}

/// A worker's reply to a [`Sync`].
#[gl_derive::domain]
pub struct Report {
    /// The current boot of the agent.
    pub boot: u64,
    /// True if the message was accepted; if not, the owner sends a full one for this boot.
    #[serde(rename = "taken")]
    pub is_accepted: bool,
    /// The highest epoch that the agent has seen.
    pub epoch: id::Epoch,
    /// Increases with each change of a task's state.
    pub version: u64,
    /// The states of all tasks; none if nothing changed since the version that the owner has.
    pub tasks: Option<Vec<Status>>,
    /// The measurements since the last report.
    pub usage: Vec<Usage>,
}
