//! Headers and outcomes of calls, and the stored claims on idempotency keys.

use std::{fmt, str};

/// The name of the header that carries a call's outcome.
pub const OUTCOME: &str = "geraniumlatch-outcome";
/// The name of the header that carries a call's time-out, in milliseconds.
pub const TIMEOUT: &str = "geraniumlatch-timeout-ms";
/// The name of the header that says whether a call may run more than once.
pub const REPEAT: &str = "geraniumlatch-repeat";
/// The name of the header that carries the caller's idempotency key for an unrepeatable call.
pub const KEY: &str = "idempotency-key";
/// The name of the header that carries the call's identity to the backend server and back.
pub const CALL: &str = "geraniumlatch-call";
/// The name of the header that carries the incarnation of the task that a call is meant for.
pub const TASK: &str = "geraniumlatch-task";
/// The name of the header by which a backend server reports that it refused a call without
/// running it.
pub const REFUSED: &str = "geraniumlatch-refused";
/// The name of the header in which a backend server reports its number of running requests.
pub const LOAD: &str = "geraniumlatch-load";

/// The outcome of a call, as reported to the caller.
#[gl_derive::tag]
pub enum Outcome {
    /// The complete response of a backend server is forwarded.
    Complete,
    /// The call did not run and will not run.
    NotRun,
    /// The call may have run; its response was lost.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Outcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "complete" => Ok(Self::Complete),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(()),
        }
    }
}

/// The caller's statement on whether a call may run more than once.
#[gl_derive::tag]
pub enum Repeat {
    /// The call may be sent to several backend servers.
    Safe,
    /// The call is sent to at most one backend server.
    Never,
}

/// A claim on an idempotency key, stored before the call is sent to a backend server.
#[gl_derive::domain]
pub struct Claim {
    /// The call that holds the key.
    pub call: crate::id::CallId,
    /// The stored response, once the call is complete.
    #[serde(rename = "answer")]
    pub response: Option<Response>,
}

/// A stored response, which is returned to repeated calls with the same key.
#[gl_derive::domain]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the backend server set one.
    #[serde(rename = "content")]
    pub content_type: Option<String>,
    /// The body, as text.
    pub body: String,
}
