//! Which errors of the HTTP client prove that no byte of a request was sent.

use ntex::client::error;

/// Whether the error proves that nothing was sent.
///
/// A connection that couldn't be made proves it. `Disconnected(None)` doesn't, though it counts
/// among the connection errors: the client ends with it too when the peer closes the connection
/// after the request and before the answer.
pub const fn is_unsent(error: &error::ClientError) -> bool {
    match error {
        error::ClientError::Url(_) => true,
        error::ClientError::Connect(error) => {
            !matches!(error, error::ConnectError::Disconnected(None))
        }
        _ => false,
    }
}
