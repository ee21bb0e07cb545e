//! The error of a call to the platform.

/// The error returned by calls to the platform.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    #[error(
        "{operation}: no connection ({detail}); check that the platform's address is right and that it is up"
    )]
    Unreachable {
        /// The name of the operation.
        operation: &'static str,
        /// The cause.
        detail: String,
    },
    /// The request was sent and no complete reply was received. It may have taken effect.
    #[error(
        "{operation}: the reply was lost ({detail}); read the state back before deciding on it"
    )]
    Lost {
        /// The name of the operation.
        operation: &'static str,
        /// The cause.
        detail: String,
    },
    /// The platform replied that it did not carry out the request.
    #[error("{operation}: refused with status {status}; wait until the platform's outage is over")]
    Refused {
        /// The name of the operation.
        operation: &'static str,
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Returns `true` if the call certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }
}
