//! How a call to the platform fails.

/// The error returned by the platform's calls.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection was made, so nothing was sent.
    #[error(
        "{operation}: no connection ({detail}); check that the platform's address is right and that it is up"
    )]
    Unreachable {
        /// The call.
        operation: &'static str,
        /// What the connection ended with.
        detail: String,
    },
    /// The call was sent and no whole answer came; it may have taken effect.
    #[error(
        "{operation}: the answer was lost ({detail}); read the state back before deciding on it"
    )]
    Lost {
        /// The call.
        operation: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The platform answered that it did not do it.
    #[error("{operation}: refused with status {status}; wait until the platform's outage is over")]
    Refused {
        /// The call.
        operation: &'static str,
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Whether the call certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }
}
