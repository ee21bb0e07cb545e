//! How one attempt at a call ended, and what that lets the daemon say of the call.

use gl_model::{call, time};

use crate::service;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer came.
    Whole {
        /// How long it took.
        latency: time::Span,
        /// The requests that the backend server holds, if it said so.
        load: Option<u32>,
        /// Whether the answer's status says that the backend server failed.
        failed: bool,
    },
    /// The backend server refused the request and did not run it.
    Refused {
        /// The requests that the backend server holds, if it said so.
        load: Option<u32>,
    },
    /// No connection was made, so no byte of the request was sent.
    Unsent,
    /// The connection ended, or the answer was cut short, after the request may have arrived.
    Broken,
    /// The caller went away, so nobody waits for the answer.
    Abandoned,
    /// No answer came in time after the request may have arrived.
    TimedOut,
}

impl Ending {
    /// What another attempt costs the backend servers.
    pub const fn cost(&self) -> service::Cost {
        match self {
            Self::Unsent => service::Cost::Free,
            _ => service::Cost::Load,
        }
    }
}

/// What the daemon does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pass the answer on.
    Answer,
    /// Try another backend server, if the budget and the deadline allow it; if they don't, end
    /// the call with this outcome.
    Again(call::Outcome),
    /// End the call with this outcome.
    Stop(call::Outcome),
}

/// What all attempts so far let the daemon say of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    reached: bool,
}

impl Record {
    /// Takes an attempt's end in and says what comes next.
    ///
    /// `NotRun` is said only if no attempt reached a backend server that may have run it. An
    /// unrepeatable call stops as soon as one attempt may have run.
    pub const fn next(&mut self, ending: Ending, repeat: call::Repeat) -> Next {
        match ending {
            Ending::Whole { .. } => return Next::Answer,
            Ending::Refused { .. } | Ending::Unsent => {}
            Ending::Broken | Ending::TimedOut | Ending::Abandoned => self.reached = true,
        }
        let outcome = self.outcome();
        match (repeat, self.reached) {
            (call::Repeat::Never, true) => Next::Stop(outcome),
            _ => Next::Again(outcome),
        }
    }

    /// What may be said of the call if it ends now without an answer.
    pub const fn outcome(&self) -> call::Outcome {
        if self.reached { call::Outcome::Unknown } else { call::Outcome::NotRun }
    }
}
