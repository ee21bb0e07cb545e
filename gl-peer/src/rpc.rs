//! Questions and answers between two daemons: one connection, many questions at once.
//!
//! The asking side dials and keeps the connection; it dials anew when questions go unanswered,
//! as an open connection may have gone silent. The answering side closes connections on which
//! nothing comes.

use std::{cell, collections, net, pin, rc, time};

use futures_util::{SinkExt as _, StreamExt as _, stream};
use serde::de;
use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::tungstenite;

use crate::error;

/// The wait before a peer is dialled again.
const REDIAL: time::Duration = time::Duration::from_millis(300);
/// The wait after a connection has broken that was fine before.
const FIRST_REDIAL: time::Duration = time::Duration::from_millis(20);
/// How long a connection or a message may take.
const SEND_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Questions that wait for the connection at most.
const QUEUE: usize = 256;
/// Unanswered questions in a row after which the connection is dialled anew.
const UNANSWERED: u32 = 2;
/// How long a connection may be silent on the answering side; several times the asking side's
/// heartbeat.
const SILENCE: time::Duration = time::Duration::from_secs(8);
/// Questions of one connection that are being answered at once at most; further ones wait in the
/// connection.
const OPEN: usize = 64;
/// The largest message that is read, in bytes.
const MESSAGE_LIMIT: usize = 1 << 20;

/// A message with the number that joins question and answer.
#[derive(serde::Serialize, serde::Deserialize)]
struct Numbered<M> {
    number: u64,
    message: M,
}

fn encode<M: serde::Serialize>(numbered: &Numbered<M>) -> Result<Vec<u8>, error::Error> {
    let mut bytes = Vec::new();
    let refuse =
        |e: ciborium::ser::Error<std::io::Error>| error::Error::Frame { detail: e.to_string() };
    ciborium::into_writer(numbered, &mut bytes).map_err(refuse)?;
    Ok(bytes)
}

fn decode<M: de::DeserializeOwned>(bytes: &[u8]) -> Result<Numbered<M>, error::Error> {
    let refuse =
        |e: ciborium::de::Error<std::io::Error>| error::Error::Frame { detail: e.to_string() };
    ciborium::from_reader(bytes).map_err(refuse)
}

/// What is asked and answered.
pub trait Protocol: 'static {
    /// A question.
    type Request: serde::Serialize + de::DeserializeOwned + 'static;
    /// An answer.
    type Response: serde::Serialize + de::DeserializeOwned + 'static;
}

type Waiting<A> = rc::Rc<cell::RefCell<collections::HashMap<u64, oneshot::Sender<A>>>>;

/// The asking side.
pub struct Client<T: Protocol> {
    queue: mpsc::Sender<Vec<u8>>,
    waiting: Waiting<T::Response>,
    next: cell::Cell<u64>,
    unanswered: rc::Rc<cell::Cell<u32>>,
    refused: rc::Rc<cell::Cell<bool>>,
    task: tokio::task::JoinHandle<()>,
}

impl<T: Protocol> Client<T> {
    /// Keeps a connection to `address` until it is dropped. Must be called within a local
    /// executor.
    pub fn new(address: net::SocketAddr) -> Self {
        let (queue, questions) = mpsc::channel(QUEUE);
        let waiting: Waiting<T::Response> = rc::Rc::default();
        let unanswered = rc::Rc::new(cell::Cell::new(0));
        let refused = rc::Rc::new(cell::Cell::new(false));
        let dialler = Dialler {
            address,
            waiting: rc::Rc::clone(&waiting),
            unanswered: rc::Rc::clone(&unanswered),
            refused: rc::Rc::clone(&refused),
        };
        let task = tokio::task::spawn_local(dialler.run(questions));
        Self { queue, waiting, next: cell::Cell::new(0), unanswered, refused, task }
    }

    /// Whether nobody listens at the address: the last connection was refused, not just lost or
    /// unanswered.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }

    /// Asks, and waits for the answer at most `limit`.
    pub async fn request(&self, message: T::Request, limit: time::Duration) -> Option<T::Response> {
        let number = self.number();
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let sent = self.send(number, message);
        let answer = if sent { tokio::time::timeout(limit, answer).await.ok() } else { None };
        self.waiting.borrow_mut().remove(&number);
        let answer = answer.and_then(Result::ok);
        let unanswered = if answer.is_some() { 0 } else { self.unanswered.get() + 1 };
        self.unanswered.set(unanswered);
        answer
    }

    /// Sends a message whose answer doesn't matter; false if it can't be sent.
    pub fn notify(&self, message: T::Request) -> bool {
        self.send(self.number(), message)
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn send(&self, number: u64, message: T::Request) -> bool {
        let bytes = encode(&Numbered { number, message });
        bytes.is_ok_and(|bytes| self.queue.try_send(bytes).is_ok())
    }
}

impl<T: Protocol> Drop for Client<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a connection ended; all that follows is that it is dialled anew.
enum End {
    Broken,
    Slow,
    Closed,
}

type Socket =
    tokio_tungstenite::WebSocketStream<tokio_tungstenite::MaybeTlsStream<tokio::net::TcpStream>>;

struct Dialler<A> {
    address: net::SocketAddr,
    waiting: Waiting<A>,
    unanswered: rc::Rc<cell::Cell<u32>>,
    refused: rc::Rc<cell::Cell<bool>>,
}

impl<A: de::DeserializeOwned> Dialler<A> {
    async fn run(self, mut questions: mpsc::Receiver<Vec<u8>>) {
        let mut was_connected = false;
        loop {
            if let Ok(mut socket) = self.dial().await {
                self.unanswered.set(0);
                was_connected = true;
                let end = self.carry(&mut socket, &mut questions).await;
                if matches!(end, End::Closed) {
                    return;
                }
            }
            self.waiting.borrow_mut().clear();
            while questions.try_recv().is_ok() {}
            let is_first = std::mem::take(&mut was_connected);
            tokio::time::sleep(if is_first { FIRST_REDIAL } else { REDIAL }).await;
        }
    }

    async fn dial(&self) -> Result<Socket, End> {
        let url = format!("ws://{}/", self.address);
        let limits = limits();
        let dialled = tokio_tungstenite::connect_async_with_config(url, Some(limits), true);
        let dialled = tokio::time::timeout(SEND_LIMIT, dialled).await;
        let dialled = dialled.map_err(|_| End::Slow)?;
        self.refused.set(dialled.as_ref().is_err_and(is_refused));
        let (socket, _) = dialled.map_err(|_| End::Broken)?;
        Ok(socket)
    }

    async fn carry(&self, socket: &mut Socket, questions: &mut mpsc::Receiver<Vec<u8>>) -> End {
        loop {
            if self.unanswered.get() >= UNANSWERED {
                return End::Slow;
            }
            tokio::select! {
                question = questions.recv() => {
                    let Some(bytes) = question else { return End::Closed };
                    let message = tungstenite::Message::Binary(bytes.into());
                    let sent = tokio::time::timeout(SEND_LIMIT, socket.send(message)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return End::Broken;
                    }
                }
                message = socket.next() => {
                    let Some(Ok(message)) = message else { return End::Broken };
                    self.deliver(&message);
                }
            }
        }
    }

    fn deliver(&self, message: &tungstenite::Message) {
        let tungstenite::Message::Binary(bytes) = message else {
            return;
        };
        // An answer that this version can't read counts as none.
        let Ok(numbered) = decode::<A>(bytes) else {
            return;
        };
        let waiting = self.waiting.borrow_mut().remove(&numbered.number);
        if let Some(waiting) = waiting {
            // Whoever asked may have stopped waiting.
            let _ = waiting.send(numbered.message);
        }
    }
}

fn is_refused(error: &tungstenite::Error) -> bool {
    let refused = std::io::ErrorKind::ConnectionRefused;
    matches!(error, tungstenite::Error::Io(error) if error.kind() == refused)
}

fn limits() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
        .read_buffer_size(READ_BUFFER)
        .write_buffer_size(0)
}

/// Bytes read at once; a connection carries small messages, and there are many connections.
const READ_BUFFER: usize = 4 << 10;

/// An answer that may take some time.
pub type ResponseFuture<A> = pin::Pin<Box<dyn Future<Output = A>>>;

/// Answers the questions of one kind of talk.
pub type Handler<T> =
    rc::Rc<dyn Fn(<T as Protocol>::Request) -> ResponseFuture<<T as Protocol>::Response>>;

/// Answers questions on `socket` for as long as the process runs. Must be called within a local
/// executor.
///
/// # Errors
///
/// If the socket can't be used.
pub fn serve<T: Protocol>(
    address: net::SocketAddr,
    socket: net::TcpListener,
    answerer: Handler<T>,
) -> Result<(), error::Error> {
    let refuse = |e: std::io::Error| error::Error::Listen { address, detail: e.to_string() };
    socket.set_nonblocking(true).map_err(refuse)?;
    let socket = tokio::net::TcpListener::from_std(socket).map_err(refuse)?;
    tokio::task::spawn_local(async move {
        loop {
            match socket.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(answer::<T>(stream, rc::Rc::clone(&answerer)));
                }
                // Out of descriptors: others have to be closed first.
                Err(_) => tokio::time::sleep(REDIAL).await,
            }
        }
    });
    Ok(())
}

async fn answer<T: Protocol>(stream: tokio::net::TcpStream, answerer: Handler<T>) {
    let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(limits()));
    let Ok(Ok(mut socket)) = tokio::time::timeout(SEND_LIMIT, accepted).await else {
        return;
    };
    let mut open = stream::FuturesUnordered::new();
    loop {
        tokio::select! {
            message = tokio::time::timeout(SILENCE, socket.next()), if open.len() < OPEN => {
                let Ok(Some(Ok(message))) = message else { return };
                let tungstenite::Message::Binary(bytes) = message else { continue };
                // A question of a newer version that this one doesn't know stays unanswered.
                let Ok(question) = decode::<T::Request>(&bytes) else { continue };
                let number = question.number;
                let pending = answerer(question.message);
                open.push(async move { Numbered { number, message: pending.await } });
            }
            Some(answer) = open.next(), if !open.is_empty() => {
                let Ok(bytes) = encode(&answer) else { continue };
                let message = tungstenite::Message::Binary(bytes.into());
                let sent = tokio::time::timeout(SEND_LIMIT, socket.send(message)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}
