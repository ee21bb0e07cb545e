//! The messages between a shard's owner and the agent of a worker.

use std::net;

use crate::{id, size, time};

/// What a worker is told to do with a task.
#[gl_derive::tag]
pub enum DesiredState {
    /// Run it.
    Run,
    /// Run it with less processor time.
    Throttle,
    /// Take no new requests, finish those in progress, then stop.
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
    /// Its start.
    pub incarnation: id::Incarnation,
    /// Its job's kind.
    pub kind: id::KindId,
    /// Whether it answers calls.
    #[serde(rename = "serving")]
    pub is_service: bool,
    /// What to do with it.
    #[serde(rename = "wish")]
    pub desired: DesiredState,
    /// What it may use.
    pub size: size::Size,
    /// Its declared run time; zero for a service.
    pub run: time::Span,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
}

/// Tells a worker all that it should run.
///
/// It states the wanted end, so a doubled one changes nothing. A worker refuses one whose epoch
/// is lower than the highest that it has seen, one whose `seq` is not higher within the same
/// epoch, and one that is meant for another boot of the agent.
#[gl_derive::domain]
pub struct Sync {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// Grows with each message of one epoch.
    pub seq: u64,
    /// The agent's boot that this is meant for; none asks which one it is.
    pub boot: Option<u64>,
    /// Tasks stop at this point unless the lease is renewed.
    pub until: time::Timestamp,
    /// All tasks; none if they are the same as in the last message that the agent took.
    pub orders: Option<Vec<Order>>,
    /// The version of the last report that the owner has; the agent leaves out what is older.
    #[serde(rename = "known")]
    pub report_version: u64,
}

/// What became of a task.
#[gl_derive::domain]
pub enum Phase {
    /// It is being set up.
    Starting,
    /// It runs; services give their address.
    Running(Option<net::SocketAddr>),
    /// It finishes its requests before it stops.
    Draining,
    /// It stopped when told to, with its checkpoint if it wrote one.
    Stopped(Option<String>),
    /// It finished its work.
    Done,
    /// It failed.
    Failed(String),
}

/// The state of one task on a worker.
#[gl_derive::domain]
pub struct Status {
    /// The task.
    pub task: id::TaskId,
    /// Its start.
    pub incarnation: id::Incarnation,
    /// What became of it.
    pub phase: Phase,
}

/// A lagging measurement of one task.
#[gl_derive::domain]
pub struct Usage {
    /// The task.
    pub task: id::TaskId,
    /// When it was measured.
    pub at: time::Timestamp,
    /// What it used.
    pub used: size::Size,
    /// For a service: its latency as a ratio to its latency when it runs alone.
    pub slowdown: Option<f64>,
    /// For a service: the share of its slots in use, from 0 to 1.
    pub load: f64,
}

/// A worker's answer to a [`Sync`].
#[gl_derive::domain]
pub struct Report {
    /// The agent's boot.
    pub boot: u64,
    /// Whether the message was taken; if not, the owner sends a full one for this boot.
    #[serde(rename = "taken")]
    pub is_accepted: bool,
    /// The highest epoch that the agent has seen.
    pub epoch: id::Epoch,
    /// Grows with each change of a task's state.
    pub version: u64,
    /// All tasks, or none if nothing changed since the version that the owner has.
    pub tasks: Option<Vec<Status>>,
    /// Lagging measurements since the last report.
    pub usage: Vec<Usage>,
}
