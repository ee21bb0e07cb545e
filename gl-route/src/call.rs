//! A call and the routing decisions about it.

use std::net;

use gl_model::{call, id, time};

/// An incoming call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identity.
    pub id: id::CallId,
    /// The service that it is for.
    pub service: id::JobId,
    /// The time at which its caller stops waiting.
    pub deadline: time::Timestamp,
    /// Whether it may run more than once.
    pub repeat: call::Repeat,
}

/// The assignment of a call to a backend server, where it occupies a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The service.
    pub service: id::JobId,
    /// The task that runs the backend server.
    pub task: id::TaskId,
    /// The incarnation of the task.
    pub incarnation: id::Incarnation,
    /// The address at which the backend server accepts calls.
    pub address: net::SocketAddr,
    /// The time at which the slot was taken.
    pub assigned_at: time::Timestamp,
}

/// A routing decision about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this backend server.
    Send(Assignment),
    /// It waits in the queue for a slot; [`crate::router::Router::dispatch_queue()`] returns the
    /// decision that follows.
    Wait,
    /// Refuse it now.
    Refuse(Refusal),
}

/// The reason why a call is refused instead of being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No service has that name.
    NoService,
    /// The service has no available backend server.
    NoBackend,
    /// The call is not expected to get a slot in time for its deadline.
    Overload,
    /// The queue is full.
    QueueFull,
    /// The deadline has passed, or is too close for a response.
    DeadlinePassed,
    /// The retry budget is exhausted.
    RetryBudget,
}

impl RefusalReason {
    /// Returns the reason as the value of a metric's attribute.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoBackend => "no-backend-server",
            Self::Overload => "overload",
            Self::QueueFull => "queue-full",
            Self::DeadlinePassed => "late",
            Self::RetryBudget => "retry-budget",
        }
    }
}

/// A refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time, with jitter, after which capacity is expected and the caller may retry.
    pub retry_after: time::Span,
}
