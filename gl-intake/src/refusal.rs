//! Responses to requests whose bodies were not read to their end.

use std::{error, pin::Pin, rc, task, time};

use ntex::{http, http::body, util, web};

/// The most bytes of a body that are read after its refusal.
const MAX_DISCARDED_BYTES: usize = 512 << 10;
/// The time for which they are read.
const LINGER_TIME: time::Duration = time::Duration::from_secs(2);

/// The body of a response to a client that may still be sending. It discards what the client sends, for
/// some time, as a connection that is closed with unread bytes is reset, and a reset would discard the
/// response before the client has read it.
pub struct LingeringBody {
    text: Option<util::Bytes>,
    length: u64,
    payload: http::Payload,
    discarded: usize,
    deadline: Pin<Box<tokio::time::Sleep>>,
}

impl LingeringBody {
    /// Creates a response body from its text and the rest of the request.
    pub fn new(text: util::Bytes, payload: http::Payload) -> Self {
        let deadline = Box::pin(tokio::time::sleep(LINGER_TIME));
        Self { length: text.len() as u64, text: Some(text), payload, discarded: 0, deadline }
    }
}

impl body::MessageBody for LingeringBody {
    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.length)
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<util::Bytes, rc::Rc<dyn error::Error>>>> {
        if let Some(text) = self.text.take() {
            return task::Poll::Ready(Some(Ok(text)));
        }
        while self.discarded < MAX_DISCARDED_BYTES {
            match self.payload.poll_recv(context) {
                task::Poll::Ready(Some(Ok(part))) => self.discarded += part.len(),
                task::Poll::Ready(_) => return task::Poll::Ready(None),
                task::Poll::Pending => {
                    return self.deadline.as_mut().poll(context).map(|()| None);
                }
            }
        }
        task::Poll::Ready(None)
    }
}

/// Returns a response with the rest of the request's body, which is discarded after the response has
/// been sent. The connection is then closed.
pub fn linger(response: web::HttpResponse, payload: http::Payload) -> web::HttpResponse {
    if matches!(payload, http::Payload::None) {
        return response;
    }
    let mut response = response.map_body(|_, body| match body {
        body::ResponseBody::Body(body::Body::Bytes(text)) => {
            let lingering = LingeringBody::new(text, payload);
            body::ResponseBody::Body(body::Body::from_message(lingering))
        }
        body => body,
    });
    response.head_mut().set_connection_type(http::ConnectionType::Close);
    response
}
