//! Detection of HTTP client errors that prove that no byte of a request was sent.

use ntex::client::error;

/// Returns `true` if the error proves that nothing was sent.
///
/// A failure to connect proves it. `Disconnected(None)` does not, although it is a connection
/// error: the client also returns it if the peer closes the connection after the request and
/// before the response.
pub const fn is_unsent(error: &error::ClientError) -> bool {
    match error {
        error::ClientError::Url(_) => true,
        error::ClientError::Connect(error) => {
            !matches!(error, error::ConnectError::Disconnected(None))
        }
        _ => false,
    }
}
