//! Counts the bytes of messages that are arriving, over all connections.

use std::{io, pin::Pin, sync, task};

use gl_intake::budget;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The message that is arriving on one connection.
#[derive(Debug)]
pub struct Arriving {
    message: Mutex<budget::Body>,
}

impl Arriving {
    /// Creates the counter of a connection without a message.
    pub fn new(budget: &sync::Arc<budget::Budget>) -> sync::Arc<Self> {
        sync::Arc::new(Self { message: Mutex::new(budget.open()) })
    }

    /// Records that the message is complete.
    pub fn complete(&self) {
        self.message.lock().release();
    }

    /// Waits until the message is given up for those of other connections.
    pub async fn evicted(&self) {
        let eviction = self.message.lock().eviction();
        eviction.notified().await;
    }
}

/// A connection whose received bytes count until its message is complete.
pub struct Metered<S> {
    stream: S,
    arriving: sync::Arc<Arriving>,
}

impl<S> Metered<S> {
    /// Wraps a connection.
    pub const fn new(stream: S, arriving: sync::Arc<Arriving>) -> Self {
        Self { stream, arriving }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        let held = self.arriving.message.lock().hold(count);
        task::Poll::Ready(held.map_err(io::Error::other))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
