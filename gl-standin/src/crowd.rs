//! Clients that do not behave: many connections at once, each of which sends its bytes, most often
//! short of a complete request, and stays open.

use std::{cell, net, rc, sync, time};

use tokio::{io, io::AsyncReadExt as _, io::AsyncWriteExt as _, task};

use crate::fleet::client;

/// The maximum wait until the bytes of all connections have been sent.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The time for which a crowd stays before it is observed, after its bytes have been sent.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);
/// The size of the chunks of a chunked body.
const CHUNK_BYTES: usize = 8 << 10;
/// The number of bytes that are kept of the responses on a connection.
const KEPT_BYTES: usize = 64 << 10;

/// The bytes that one connection sends. Connections may share them.
pub type Message = sync::Arc<[u8]>;

/// The head of a POST request with a body of `length` bytes, or a chunked one.
fn head(host: &str, path: &str, length: Option<usize>) -> String {
    let framing = match length {
        Some(length) => format!("content-length: {length}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    format!("POST {path} HTTP/1.1\r\nhost: {host}\r\n{framing}\r\n\r\n")
}

/// Returns a request with a complete body.
pub fn whole_request(path: &str, body: &str) -> Message {
    let head = head(client::HOST, path, Some(body.len()));
    [head.as_bytes(), body.as_bytes()].concat().into()
}

/// Returns a request that lacks the last byte of its body.
pub fn unfinished_request(path: &str, length: usize) -> Message {
    let head = head(client::HOST, path, Some(length));
    [head.as_bytes(), &vec![b' '; length.saturating_sub(1)]].concat().into()
}

/// Returns a request with a chunked body of `length` bytes that lacks its end.
pub fn unfinished_chunks(path: &str, length: usize) -> Message {
    let mut message = head(client::HOST, path, None).into_bytes();
    for _ in 0..length / CHUNK_BYTES {
        message.extend_from_slice(format!("{CHUNK_BYTES:x}\r\n").as_bytes());
        message.resize(message.len() + CHUNK_BYTES, b' ');
        message.extend_from_slice(b"\r\n");
    }
    message.into()
}

/// Returns a request whose head has `length` bytes and lacks its end.
pub fn unfinished_head(path: &str, length: usize) -> Message {
    let mut message =
        format!("GET {path} HTTP/1.1\r\nhost: {}\r\nx-filler: ", client::HOST).into_bytes();
    message.resize(length.max(message.len()), b'x');
    message.into()
}

/// Returns the same complete GET request `count` times.
pub fn pipelined_requests(path: &str, count: usize) -> Message {
    let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", client::HOST);
    request.repeat(count).into_bytes().into()
}

/// Returns a body of `length` bytes that is `job` with spaces after it.
pub fn padded(job: &str, length: usize) -> String {
    let padding = length.saturating_sub(job.len());
    [job, &" ".repeat(padding)].concat()
}

/// Returns the handshake that opens a WebSocket.
pub fn web_socket_handshake() -> Message {
    let head = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    head.as_bytes().into()
}

/// Returns a binary message of a WebSocket that lacks the last byte of its `length` bytes.
pub fn unfinished_frame(length: usize) -> Message {
    // A final binary frame with a mask and a length of eight bytes.
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(length as u64).to_be_bytes());
    frame.extend_from_slice(&[0; 4]);
    frame.resize(frame.len() + length.saturating_sub(1), 0);
    frame.into()
}

/// What the connections of a crowd have in common.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Sent first on each connection, which then waits for a response before it goes on.
    pub handshake: Option<Message>,
    /// Whether the responses are left unread.
    pub is_deaf: bool,
}

/// Connections that have sent their bytes. They are closed when the crowd is dropped.
pub struct Crowd {
    tasks: Vec<task::JoinHandle<()>>,
    received: rc::Rc<cell::RefCell<Vec<Vec<u8>>>>,
}

impl Crowd {
    /// Opens a connection to `address` for each message, sends it, and reads the responses. Returns
    /// when each connection has sent its message or was closed, or cannot go on. Must be called
    /// within a local executor.
    pub async fn start(address: net::SocketAddr, messages: Vec<Message>) -> Self {
        Self::start_with(address, messages, Settings::default()).await
    }

    /// Does as [`Crowd::start()`] does, with other settings.
    pub async fn start_with(
        address: net::SocketAddr,
        messages: Vec<Message>,
        settings: Settings,
    ) -> Self {
        let received = rc::Rc::new(cell::RefCell::new(vec![Vec::new(); messages.len()]));
        let sent = rc::Rc::new(cell::Cell::new(0));
        let count = messages.len();
        let connect = |(number, message): (usize, Message)| {
            let connection = Connection { number, message, settings: settings.clone() };
            let (received, sent) = (rc::Rc::clone(&received), rc::Rc::clone(&sent));
            task::spawn_local(async move { connection.run(address, &received, &sent).await })
        };
        let tasks = messages.into_iter().enumerate().map(connect).collect();
        let deadline = time::Instant::now() + SEND_TIMEOUT;
        while sent.get() < count && time::Instant::now() < deadline {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Self { tasks, received }
    }

    /// Returns the number of responses with a status, on all connections.
    pub fn count(&self, status: u16) -> usize {
        let line = format!("HTTP/1.1 {status}");
        let responses = |bytes: &Vec<u8>| String::from_utf8_lossy(bytes).matches(&line).count();
        self.received.borrow().iter().map(responses).sum()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// One connection of a crowd.
struct Connection {
    number: usize,
    message: Message,
    settings: Settings,
}

impl Connection {
    /// Sends the message, counts it as sent, and stays open.
    async fn run(
        self,
        address: net::SocketAddr,
        received: &cell::RefCell<Vec<Vec<u8>>>,
        sent: &cell::Cell<usize>,
    ) {
        let opened = self.open(address).await;
        let Ok(stream) = opened else {
            sent.set(sent.get() + 1);
            return;
        };
        let (reader, mut writer) = stream.into_split();
        let read = async {
            if !self.settings.is_deaf {
                read(reader, self.number, received).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let write = async {
            // A daemon may close the connection before it has read the message.
            let _ = writer.write_all(&self.message).await;
            sent.set(sent.get() + 1);
            std::future::pending::<()>().await;
        };
        let ((), ()) = tokio::join!(read, write);
    }

    /// Connects, and waits for the response to the handshake if there is one.
    async fn open(&self, address: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        let Some(handshake) = &self.settings.handshake else {
            return Ok(stream);
        };
        stream.write_all(handshake).await?;
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\n") {
            response.push(stream.read_u8().await?);
        }
        Ok(stream)
    }
}

/// Reads until the connection is closed, and keeps the first bytes.
async fn read(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    number: usize,
    received: &cell::RefCell<Vec<Vec<u8>>>,
) {
    let mut buffer = vec![0; 4 << 10];
    loop {
        let count: io::Result<usize> = reader.read(&mut buffer).await;
        let Ok(count @ 1..) = count else { return };
        let mut received = received.borrow_mut();
        let kept = &mut received[number];
        if kept.len() < KEPT_BYTES {
            kept.extend_from_slice(&buffer[..count]);
        }
    }
}
