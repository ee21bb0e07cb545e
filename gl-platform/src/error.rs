//! How a call to the platform fails.

/// The error returned by the platform's calls.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection was made, so nothing was sent.
    #[error(
        "{what}: no connection ({detail}); check that the platform's address is right and that it is up"
    )]
    Unreachable {
        /// The call.
        what: &'static str,
        /// What the connection ended with.
        detail: String,
    },
    /// The call was sent and no whole answer came; it may have taken effect.
    #[error("{what}: the answer was lost ({detail}); read the state back before deciding on it")]
    Lost {
        /// The call.
        what: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The platform answered that it did not do it.
    #[error("{what}: refused with status {status}; wait until the platform's outage is over")]
    Refused {
        /// The call.
        what: &'static str,
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Whether the call certainly had no effect.
    pub const fn is_settled(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }
}
