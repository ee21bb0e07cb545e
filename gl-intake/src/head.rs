//! What happens to a request once its head is read, or cannot be.

use std::{io, rc};

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

thread_local! {
    /// The turn of a request without a body that more bytes follow.
    static TURNS: rc::Rc<tokio::sync::Semaphore> = rc::Rc::new(tokio::sync::Semaphore::new(1));
}

/// Does as [`control()`] does, and lets a request without a body wait for its turn if more bytes have
/// arrived on its connection. The HTTP library carries out all requests that have arrived on a connection
/// in a row, as long as none of them waits. Those with a body wait for it.
///
/// # Errors
///
/// None, as for [`control()`].
pub async fn control_in_turn<F, E>(
    message: h1::Control<F, E>,
) -> Result<h1::ControlAck<F>, io::Error>
where
    F: connection::Filter,
    E: http::ResponseError,
{
    if let h1::Control::Request(request) = &message
        && is_followed(request.get_ref())
    {
        let turns = TURNS.with(rc::Rc::clone);
        let _turn = turns.acquire().await;
        tokio::task::yield_now().await;
    }
    control(message).await
}

/// Returns whether more bytes have arrived after a request without a body.
fn is_followed(request: &http::Request) -> bool {
    let has_body = request.headers().contains_key(http::header::CONTENT_LENGTH)
        || request.headers().contains_key(http::header::TRANSFER_ENCODING);
    let has_more = |io: &connection::IoRef| io.with_read_buf(|buffer| !buffer.is_empty());
    !has_body && request.io().is_some_and(has_more)
}
