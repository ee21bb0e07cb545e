//! Large responses, which are sent in parts as far as their callers read them.

use std::{error, rc, sync, task};

use gl_intake::budget;
use ntex::{http::body, io, util};

/// The largest part that is passed to the connection at once, in bytes.
const PART_BYTES: usize = 16 << 10;
/// The time after which a connection whose caller has not read the whole response is closed.
const SEND_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// The rest of a response. It counts in the budget until it is sent or its connection is closed.
pub struct Sending {
    rest: util::Bytes,
    length: u64,
    /// Dropped when the response is sent, which stops the timer.
    _unsent: rc::Rc<()>,
    _charge: sync::Arc<budget::Charge>,
}

impl Sending {
    /// Starts to send a response on a connection. Must be called within a local executor.
    pub fn start(
        body: util::Bytes,
        charge: sync::Arc<budget::Charge>,
        connection: Option<&io::IoRef>,
    ) -> Self {
        let unsent = rc::Rc::new(());
        if let Some(connection) = connection.cloned() {
            let unsent = rc::Rc::downgrade(&unsent);
            ntex::rt::spawn(async move {
                tokio::time::sleep(SEND_TIMEOUT).await;
                if unsent.strong_count() > 0 {
                    connection.terminate();
                }
            });
        }
        Self { length: body.len() as u64, rest: body, _unsent: unsent, _charge: charge }
    }
}

impl body::MessageBody for Sending {
    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.length)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<util::Bytes, rc::Rc<dyn error::Error>>>> {
        if self.rest.is_empty() {
            return task::Poll::Ready(None);
        }
        let part = self.rest.split_to(PART_BYTES.min(self.rest.len()));
        task::Poll::Ready(Some(Ok(part)))
    }
}
