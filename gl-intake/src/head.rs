//! The response to a request whose head cannot be read.

use std::io;

use ntex::{
    http::{self, error, h1},
    io as connection,
};

/// Answers a request whose head is too large with the remedy. All else is handled as by default.
///
/// # Errors
///
/// None; the type is that of the services that answer control messages.
pub async fn control<F, E>(message: h1::Control<F, E>) -> Result<h1::ControlAck<F>, io::Error>
where
    F: connection::Filter,
    E: http::ResponseError,
{
    let is_too_large = |error: &h1::ProtocolError| {
        use error::DecodeError::{MaxHeaders, TooLarge};
        matches!(error, h1::ProtocolError::Decode(MaxHeaders | TooLarge(_)))
    };
    match message {
        h1::Control::Disconnect(h1::control::Reason::ProtocolError(error))
            if is_too_large(error.err()) =>
        {
            let text = "the head of the request is too large; send fewer or shorter headers\n";
            let response = http::Response::RequestHeaderFieldsTooLarge().body(text);
            Ok(error.fail_with(response))
        }
        message => Ok(message.ack()),
    }
}
