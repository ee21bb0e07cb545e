//! What workers say of themselves.

use std::net;

use gl_model::{size, time};

use crate::task;

/// A worker's name in the platform's list.
#[gl_derive::id]
pub struct WorkerId(pub String);

impl WorkerId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// One incarnation of a worker: the time of its start, in milliseconds since the Unix epoch.
#[gl_derive::unit]
pub struct Incarnation(pub u64);

/// A worker's entry in the platform's list.
#[gl_derive::domain]
pub struct Registration {
    /// Its name.
    pub id: WorkerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub address: net::SocketAddr,
    /// The VM that it runs on.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Its rack, if it says so.
    pub rack: Option<String>,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it has.
    pub size: size::Size,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task.
    pub task: task::TaskId,
    /// The run's attempt number.
    pub attempt: u64,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// How far it has come, in percent.
    pub progress: f64,
    /// For a lasting task its tail latency in milliseconds, else the processors that it uses in
    /// thousandths of a core, over the last half second.
    pub load: f64,
}

/// How a run ended.
#[gl_derive::tag]
pub enum Outcome {
    /// It did what it should.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come.
    Alone,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The number of this end within the worker's incarnation, from 1 upwards.
    pub number: u64,
    /// The task.
    pub task: task::TaskId,
    /// The run's attempt number.
    pub attempt: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A worker's answer to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReply {
    /// The worker's steady clock.
    pub clock: time::Timestamp,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<Ended>,
}

/// What a look asks for and says.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// The owner's fencing token.
    pub token: u64,
    /// Ends up to this number are stored and need not be told again.
    pub acknowledged: u64,
    /// Until when everything on the worker may run, by the worker's clock; none extends nothing.
    pub lease: Option<time::Timestamp>,
    /// How long the worker may wait for an end before it answers.
    pub wait: time::Span,
}

/// An order to start a run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: task::TaskId,
    /// The run's attempt number.
    pub attempt: u64,
    /// What to run.
    pub spec: String,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// The order is void after this time of the worker's clock.
    pub deadline: time::Timestamp,
    /// Proof that the queue's policy allows the worker, where it asks for one.
    pub ticket: Option<String>,
}

/// Why a worker did not carry an order out.
#[gl_derive::tag]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run with this or a higher attempt number was stopped or has ended there.
    #[serde(rename = "old")]
    StaleAttempt,
    /// The order's deadline has passed.
    #[serde(rename = "late")]
    DeadlinePassed,
    /// It has no room.
    #[serde(rename = "room")]
    NoCapacity,
    /// The ticket isn't valid.
    #[serde(rename = "ticket")]
    InvalidTicket,
    /// It is another incarnation than the one that was meant.
    #[serde(rename = "replaced")]
    WrongIncarnation,
    /// It turned the order away without a reason of the above.
    #[serde(rename = "unhealthy")]
    Unspecified,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It was carried out.
    Done,
    /// It certainly was not.
    Refused(Refusal),
    /// No answer came; it may have been carried out, or will be.
    Lost,
}
