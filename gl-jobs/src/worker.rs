//! Workers: their registrations, the replies to polls, and orders to them.

use std::net;

use gl_model::{size, time};

use crate::task;

/// The name of a worker in the platform's list.
#[gl_derive::id]
pub struct WorkerId(pub String);

impl WorkerId {
    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// An incarnation of a worker: its start time in milliseconds since the Unix epoch.
#[gl_derive::unit]
pub struct Incarnation(pub u64);

/// The entry of a worker in the platform's list.
#[gl_derive::domain]
pub struct Registration {
    /// The name.
    pub id: WorkerId,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: String,
    /// The address that accepts orders.
    pub address: net::SocketAddr,
    /// The VM that it runs on.
    pub vm: String,
    /// The failure domain.
    pub domain: String,
    /// The rack, if the entry names one.
    pub rack: Option<String>,
    /// The labels.
    pub labels: Vec<String>,
    /// The capacity.
    pub size: size::Size,
    /// Whether the worker is draining and will terminate soon.
    pub draining: bool,
    /// The time for which runs are slower, if the worker was cold when the entry was written.
    pub cold_left: Option<time::Span>,
}

/// The changes of the platform's list of workers between two versions of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListChanges {
    /// The new and changed entries.
    pub changed: Vec<Registration>,
    /// The workers whose entries were removed or can no longer be read.
    pub removed: Vec<WorkerId>,
}

/// A run that is in progress on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task.
    pub task: task::TaskId,
    /// The attempt number.
    pub attempt: u64,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The progress, in percent.
    pub progress: f64,
    /// The load over the last half second: the tail latency in milliseconds for a long-running
    /// task, otherwise the processors in use in thousandths of a core.
    pub load: f64,
}

/// The outcome of a run.
#[gl_derive::tag]
pub enum Outcome {
    /// The task is done.
    Done,
    /// The run failed, through a fault of the task or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The sequence number of this end within the worker's incarnation, counted from 1.
    pub number: u64,
    /// The task.
    pub task: task::TaskId,
    /// The attempt number.
    pub attempt: u64,
    /// The outcome.
    pub outcome: Outcome,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// The reply of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReply {
    /// The reading of the worker's steady clock.
    pub clock: time::Timestamp,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The runs in progress.
    pub running: Vec<Running>,
    /// The ended runs that were not acknowledged yet, in the order of their numbers.
    pub ended: Vec<Ended>,
    /// Whether there may be further ones, which are listed once these are acknowledged.
    pub is_partial: bool,
}

/// A call to a worker, by which its reply is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The fencing token of the call.
    pub token: u64,
    /// The time at which it was sent.
    pub sent: time::Timestamp,
}

/// The parameters of a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// The fencing token.
    pub token: u64,
    /// Ends up to this sequence number are stored, so the worker need not report them again.
    pub acknowledged: u64,
    /// The time, by the worker's clock, until which the worker may run tasks. `None` leaves the
    /// lease unchanged.
    pub lease: Option<time::Timestamp>,
    /// The longest time that the worker may hold the poll until a run ends.
    pub wait: time::Span,
}

/// An order to start a run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The fencing token. It is chosen with the worker, so that the order is refused by later incarnations.
    pub token: u64,
    /// The task.
    pub task: task::TaskId,
    /// The attempt number.
    pub attempt: u64,
    /// The description of the work.
    pub spec: String,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// The time, by the worker's clock, after which the order is void.
    pub deadline: time::Timestamp,
    /// The proof that the queue's policy allows this worker, where an advice service decides that.
    pub ticket: Option<String>,
}

/// The reason why a worker did not carry an order out.
#[gl_derive::tag]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// A run with this or a higher attempt number has already been stopped or has ended there.
    #[serde(rename = "old")]
    StaleAttempt,
    /// The order's deadline has passed.
    #[serde(rename = "late")]
    DeadlinePassed,
    /// The worker has too little free capacity.
    #[serde(rename = "room")]
    NoCapacity,
    /// The ticket is not valid.
    #[serde(rename = "ticket")]
    InvalidTicket,
    /// The order was addressed to another incarnation.
    #[serde(rename = "replaced")]
    WrongIncarnation,
    /// The worker refused the order for a reason other than the above.
    #[serde(rename = "unhealthy")]
    Unspecified,
}

/// The answer of a worker to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What it says of the order.
    pub reply: OrderReply,
    /// The reading of the worker's steady clock, if it has one.
    pub clock: Option<time::Timestamp>,
}

impl From<OrderReply> for Answer {
    fn from(reply: OrderReply) -> Self {
        Self { reply, clock: None }
    }
}

/// The reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The order was carried out.
    Done,
    /// The order was certainly not carried out.
    Refused(Refusal),
    /// No reply was received; the order may have been carried out, or may still be.
    Lost,
}
