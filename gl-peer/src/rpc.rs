//! Remote procedure calls between two daemons, with many concurrent requests on one connection.
//!
//! The client opens the connection and keeps it open. It reconnects when requests remain
//! unanswered, because a connection can remain open although no messages arrive on it any
//! more. The server closes idle connections.

use std::{cell, collections, net, pin, rc, sync, time};

use futures_util::{SinkExt as _, StreamExt as _, stream};
use gl_intake::budget;
use serde::de;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_tungstenite::tungstenite;

use crate::{error, metered};

/// The wait before the next attempt to connect to a peer, or to accept a connection.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// The wait before the first attempt after an established connection has failed.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// The time-out for establishing a connection and for sending a message.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// The most requests that are queued for the connection.
const QUEUE_REQUESTS: usize = 256;
/// The most bytes of requests that are queued for the connection.
const QUEUE_BYTES: usize = 2 << 20;
/// Consecutive unanswered requests after which the client reconnects.
const MAX_UNANSWERED: u32 = 2;
/// The idle time after which the server closes a connection; several times the interval of the
/// client's heartbeats.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// The most requests of one connection that are handled concurrently; further ones wait in the
/// connection.
const MAX_CONCURRENT: usize = 64;
/// The largest message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The memory for messages that are arriving on all connections of a server, in bytes. If it is short, the
/// connection whose message began first is closed; a message that is alone may be larger.
const ARRIVING_BYTES: usize = 8 << 20;
/// The most connections that a server keeps. Further ones wait.
const MAX_CONNECTIONS: usize = 512;

/// A message with the number that matches a response to its request.
#[derive(serde::Serialize, serde::Deserialize)]
struct Envelope<M> {
    number: u64,
    message: M,
}

fn encode<M: serde::Serialize>(envelope: &Envelope<M>) -> Result<Vec<u8>, error::Error> {
    let mut bytes = Vec::new();
    let to_error =
        |e: ciborium::ser::Error<std::io::Error>| error::Error::Frame { detail: e.to_string() };
    ciborium::into_writer(envelope, &mut bytes).map_err(to_error)?;
    Ok(bytes)
}

fn decode<M: de::DeserializeOwned>(bytes: &[u8]) -> Result<Envelope<M>, error::Error> {
    let to_error =
        |e: ciborium::de::Error<std::io::Error>| error::Error::Frame { detail: e.to_string() };
    ciborium::from_reader(bytes).map_err(to_error)
}

/// The types of the requests and responses on a connection.
pub trait Protocol: 'static {
    /// A request.
    type Request: serde::Serialize + de::DeserializeOwned + 'static;
    /// The response to a request.
    type Response: serde::Serialize + de::DeserializeOwned + 'static;
}

type Pending<R> = rc::Rc<cell::RefCell<collections::HashMap<u64, oneshot::Sender<R>>>>;

/// The client side of a connection.
pub struct Client<T: Protocol> {
    queue: mpsc::Sender<Vec<u8>>,
    /// The bytes of the requests in the queue.
    queued: rc::Rc<cell::Cell<usize>>,
    pending: Pending<T::Response>,
    next: cell::Cell<u64>,
    unanswered: rc::Rc<cell::Cell<u32>>,
    refused: rc::Rc<cell::Cell<bool>>,
    disconnected: rc::Rc<Notify>,
    task: tokio::task::JoinHandle<()>,
}

impl<T: Protocol> Client<T> {
    /// Returns a client that keeps a connection to `address` until it is dropped. Must be called
    /// within a local executor.
    pub fn new(address: net::SocketAddr) -> Self {
        let (queue, requests) = mpsc::channel(QUEUE_REQUESTS);
        let pending: Pending<T::Response> = rc::Rc::default();
        let queued = rc::Rc::new(cell::Cell::new(0));
        let unanswered = rc::Rc::new(cell::Cell::new(0));
        let refused = rc::Rc::new(cell::Cell::new(false));
        let disconnected = rc::Rc::new(Notify::new());
        let connector = Connector {
            address,
            queued: rc::Rc::clone(&queued),
            pending: rc::Rc::clone(&pending),
            unanswered: rc::Rc::clone(&unanswered),
            refused: rc::Rc::clone(&refused),
            disconnected: rc::Rc::clone(&disconnected),
        };
        let task = tokio::task::spawn_local(connector.run(requests));
        let next = cell::Cell::new(0);
        Self { queue, queued, pending, next, unanswered, refused, disconnected, task }
    }

    /// Returns whether the last attempt to connect was refused, rather than lost or unanswered. See
    /// [`is_refused()`] for what that shows.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }

    /// Returns what is notified when the connection ends.
    pub fn disconnected(&self) -> rc::Rc<Notify> {
        rc::Rc::clone(&self.disconnected)
    }

    /// Sends a request and waits at most `limit` for the response.
    pub async fn request(&self, message: T::Request, limit: time::Duration) -> Option<T::Response> {
        let number = self.next_number();
        let (sender, response) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        let sent = self.send(number, message);
        let response = if sent { tokio::time::timeout(limit, response).await.ok() } else { None };
        self.pending.borrow_mut().remove(&number);
        let response = response.and_then(Result::ok);
        let unanswered = if response.is_some() { 0 } else { self.unanswered.get() + 1 };
        self.unanswered.set(unanswered);
        response
    }

    /// Sends a request without waiting for the response; returns false if it cannot be sent.
    pub fn notify(&self, message: T::Request) -> bool {
        self.send(self.next_number(), message)
    }

    fn next_number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn send(&self, number: u64, message: T::Request) -> bool {
        let Ok(bytes) = encode(&Envelope { number, message }) else { return false };
        let queued = self.queued.get() + bytes.len();
        let is_sent = queued <= QUEUE_BYTES && self.queue.try_send(bytes).is_ok();
        if is_sent {
            self.queued.set(queued);
        }
        is_sent
    }
}

impl<T: Protocol> Drop for Client<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The reason for which a connection ended. After `Failed` and `TimedOut`, the client reconnects.
enum Disconnect {
    Failed,
    TimedOut,
    Closed,
}

type Socket =
    tokio_tungstenite::WebSocketStream<tokio_tungstenite::MaybeTlsStream<tokio::net::TcpStream>>;

struct Connector<R> {
    address: net::SocketAddr,
    queued: rc::Rc<cell::Cell<usize>>,
    pending: Pending<R>,
    unanswered: rc::Rc<cell::Cell<u32>>,
    refused: rc::Rc<cell::Cell<bool>>,
    disconnected: rc::Rc<Notify>,
}

impl<R: de::DeserializeOwned> Connector<R> {
    async fn run(self, mut requests: mpsc::Receiver<Vec<u8>>) {
        let mut was_connected = false;
        loop {
            if let Ok(mut socket) = self.connect().await {
                self.unanswered.set(0);
                was_connected = true;
                let end = self.exchange(&mut socket, &mut requests).await;
                if matches!(end, Disconnect::Closed) {
                    return;
                }
            }
            self.pending.borrow_mut().clear();
            while requests.try_recv().is_ok() {}
            self.queued.set(0);
            let is_first = std::mem::take(&mut was_connected);
            if is_first {
                self.disconnected.notify_one();
            }
            tokio::time::sleep(if is_first { FIRST_RETRY_DELAY } else { RETRY_DELAY }).await;
        }
    }

    async fn connect(&self) -> Result<Socket, Disconnect> {
        let url = format!("ws://{}/", self.address);
        let limits = limits();
        let connected = tokio_tungstenite::connect_async_with_config(url, Some(limits), true);
        let connected = tokio::time::timeout(SEND_TIMEOUT, connected).await;
        let connected = connected.map_err(|_| Disconnect::TimedOut)?;
        self.refused.set(connected.as_ref().is_err_and(is_refusal));
        let (socket, _) = connected.map_err(|_| Disconnect::Failed)?;
        Ok(socket)
    }

    async fn exchange(
        &self,
        socket: &mut Socket,
        requests: &mut mpsc::Receiver<Vec<u8>>,
    ) -> Disconnect {
        loop {
            if self.unanswered.get() >= MAX_UNANSWERED {
                return Disconnect::TimedOut;
            }
            tokio::select! {
                request = requests.recv() => {
                    let Some(bytes) = request else { return Disconnect::Closed };
                    self.queued.set(self.queued.get().saturating_sub(bytes.len()));
                    let message = tungstenite::Message::Binary(bytes.into());
                    let sent = tokio::time::timeout(SEND_TIMEOUT, socket.send(message)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return Disconnect::Failed;
                    }
                }
                message = socket.next() => {
                    let Some(Ok(message)) = message else { return Disconnect::Failed };
                    self.deliver(&message);
                }
            }
        }
    }

    fn deliver(&self, message: &tungstenite::Message) {
        let tungstenite::Message::Binary(bytes) = message else {
            return;
        };
        // A response that this version cannot decode counts as missing.
        let Ok(envelope) = decode::<R>(bytes) else {
            return;
        };
        let pending = self.pending.borrow_mut().remove(&envelope.number);
        if let Some(pending) = pending {
            // The requester may have stopped waiting.
            let _ = pending.send(envelope.message);
        }
    }
}

fn is_refusal(error: &tungstenite::Error) -> bool {
    let refused = std::io::ErrorKind::ConnectionRefused;
    matches!(error, tungstenite::Error::Io(error) if error.kind() == refused)
}

/// Returns whether a connection to `address` is refused now, rather than accepted, lost or unanswered.
/// That does not show that no process listens there: a network that rejects connections refuses them
/// too.
pub async fn is_refused(address: net::SocketAddr) -> bool {
    let connected = tokio::net::TcpStream::connect(address);
    let connected = tokio::time::timeout(SEND_TIMEOUT, connected).await;
    let refused = std::io::ErrorKind::ConnectionRefused;
    matches!(connected, Ok(Err(error)) if error.kind() == refused)
}

fn limits() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

/// The size of the read buffer. It is small because messages are small and connections many.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The future of a response.
pub type ResponseFuture<R> = pin::Pin<Box<dyn Future<Output = R>>>;

/// A function that handles the requests of a protocol.
pub type Handler<T> =
    rc::Rc<dyn Fn(<T as Protocol>::Request) -> ResponseFuture<<T as Protocol>::Response>>;

/// Handles requests that arrive on `socket` until the process ends. Must be called within a local
/// executor.
///
/// # Errors
///
/// Returns an error if the socket cannot be used.
pub fn serve<T: Protocol>(
    address: net::SocketAddr,
    socket: net::TcpListener,
    handler: Handler<T>,
) -> Result<(), error::Error> {
    let to_error = |e: std::io::Error| error::Error::Listen { address, detail: e.to_string() };
    socket.set_nonblocking(true).map_err(to_error)?;
    let socket = tokio::net::TcpListener::from_std(socket).map_err(to_error)?;
    let arriving = budget::Settings::with_limit(ARRIVING_BYTES);
    let budget = sync::Arc::new(budget::Budget::new(arriving));
    let places = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    tokio::task::spawn_local(async move {
        loop {
            let place = sync::Arc::clone(&places).acquire_owned().await;
            match socket.accept().await {
                Ok((stream, _)) => {
                    let arriving = metered::Arriving::new(&budget);
                    let handler = rc::Rc::clone(&handler);
                    tokio::task::spawn_local(async move {
                        let _place = place;
                        tokio::select! {
                            () = handle_connection::<T>(stream, &arriving, handler) => {}
                            () = arriving.evicted() => {}
                        }
                    });
                }
                // Out of file descriptors: other files have to be closed first.
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    });
    Ok(())
}

async fn handle_connection<T: Protocol>(
    stream: tokio::net::TcpStream,
    arriving: &sync::Arc<metered::Arriving>,
    handler: Handler<T>,
) {
    let stream = metered::Metered::new(stream, sync::Arc::clone(arriving));
    let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(limits()));
    let Ok(Ok(mut socket)) = tokio::time::timeout(SEND_TIMEOUT, accepted).await else {
        return;
    };
    let mut in_progress = stream::FuturesUnordered::new();
    loop {
        tokio::select! {
            message = tokio::time::timeout(IDLE_TIMEOUT, socket.next()),
                if in_progress.len() < MAX_CONCURRENT =>
            {
                let Ok(Some(Ok(message))) = message else { return };
                arriving.complete();
                let tungstenite::Message::Binary(bytes) = message else { continue };
                // A request of a newer version that this one cannot decode gets no response.
                let Ok(request) = decode::<T::Request>(&bytes) else { continue };
                let number = request.number;
                let response = handler(request.message);
                in_progress.push(async move { Envelope { number, message: response.await } });
            }
            Some(response) = in_progress.next(), if !in_progress.is_empty() => {
                let Ok(bytes) = encode(&response) else { continue };
                let message = tungstenite::Message::Binary(bytes.into());
                let sent = tokio::time::timeout(SEND_TIMEOUT, socket.send(message)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}
