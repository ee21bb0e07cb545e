//! The outcome of one attempt at a call, and the outcome of the call that follows from all of
//! its attempts.

use gl_model::{call, time};

use crate::service;

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Completed {
        /// The time until the response was complete.
        latency: time::Span,
        /// The number of requests that the backend server holds, if it reported it.
        load: Option<u32>,
        /// Whether the status of the response is a server error.
        is_server_error: bool,
    },
    /// The backend server refused the request and did not run it.
    Refused {
        /// The number of requests that the backend server holds, if it reported it.
        load: Option<u32>,
    },
    /// No connection was established, so no byte of the request was sent.
    Unsent,
    /// The connection was lost or the response was incomplete, after the request may have been
    /// received.
    Interrupted,
    /// The caller disconnected, so the response is of no use.
    Cancelled,
    /// No response was received in time, after the request may have been received.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns the cost of another attempt for the backend servers.
    pub const fn retry_cost(&self) -> service::RetryCost {
        match self {
            Self::Unsent => service::RetryCost::Free,
            _ => service::RetryCost::Budgeted,
        }
    }
}

/// The next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the response to the caller.
    Forward,
    /// Retry on another backend server, if the retry budget and the deadline allow it; otherwise
    /// end the call with this outcome.
    Retry(call::Outcome),
    /// End the call with this outcome.
    Stop(call::Outcome),
}

/// The history of all attempts at a call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    may_have_run: bool,
}

impl History {
    /// Records the outcome of an attempt and returns the next step.
    ///
    /// The outcome is `NotRun` only if no attempt reached a backend server that may have run the
    /// call. An unrepeatable call stops as soon as one attempt may have run.
    pub const fn next_step(&mut self, attempt: AttemptOutcome, repeat: call::Repeat) -> NextStep {
        match attempt {
            AttemptOutcome::Completed { .. } => return NextStep::Forward,
            AttemptOutcome::Refused { .. } | AttemptOutcome::Unsent => {}
            AttemptOutcome::Interrupted | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                self.may_have_run = true
            }
        }
        let outcome = self.outcome();
        match (repeat, self.may_have_run) {
            (call::Repeat::Never, true) => NextStep::Stop(outcome),
            _ => NextStep::Retry(outcome),
        }
    }

    /// Returns the outcome of the call if it ends now without a response.
    pub const fn outcome(&self) -> call::Outcome {
        if self.may_have_run { call::Outcome::Unknown } else { call::Outcome::NotRun }
    }
}
