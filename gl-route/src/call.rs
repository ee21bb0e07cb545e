//! A call and what is decided about it.

use std::net;

use gl_model::{call, id, time};

/// A call that came in.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identity.
    pub id: id::CallId,
    /// The service that it is for.
    pub service: id::JobId,
    /// When its caller stops waiting.
    pub deadline: time::Timestamp,
    /// Whether it may run more than once.
    pub repeat: call::Repeat,
}

/// A slot that a call holds at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The service.
    pub service: id::JobId,
    /// The task.
    pub task: id::TaskId,
    /// The task's start.
    pub incarnation: id::Incarnation,
    /// Where the task takes calls.
    pub address: net::SocketAddr,
    /// When the slot was taken.
    pub since: time::Timestamp,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to this backend server.
    Send(Ticket),
    /// It waits for a slot; [`crate::router::Router::wake()`] tells when it got one.
    Wait,
    /// Give its final answer now.
    Refuse(Refusal),
}

/// Why a call is given up before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No service has that name.
    NoService,
    /// The service has no backend server that takes calls.
    NoBackend,
    /// The call would not get a slot before its deadline.
    Overload,
    /// The queue is full.
    QueueFull,
    /// The deadline has passed.
    Late,
    /// The retry budget is spent.
    Budget,
}

impl Reason {
    /// The reason as a metric's attribute.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoBackend => "no-backend-server",
            Self::Overload => "overload",
            Self::QueueFull => "queue-full",
            Self::Late => "late",
            Self::Budget => "retry-budget",
        }
    }
}

/// A refusal, with the time after which the caller should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When capacity is expected, with jitter.
    pub after: time::Span,
}
