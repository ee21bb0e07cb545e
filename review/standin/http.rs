//! A blocking HTTP/1.1 server and client on loopback addresses.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::json::Json;

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> String {
        let found = self.query.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// The connection is closed without an answer.
    Close,
    /// There is no answer, and nothing more on this connection.
    Silent,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves a socket, with a thread for each connection.
pub fn serve(listener: TcpListener, handler: Handler) {
    let accept = move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let thread = std::thread::Builder::new().stack_size(256 << 10);
            let _ = thread.spawn(move || serve_connection(stream, &handler));
        }
    };
    std::thread::spawn(accept);
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = body.render();
                let text = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            Reply::Silent => {
                let mut rest = [0; 512];
                while reader.read(&mut rest).is_ok_and(|n| n > 0) {}
                return;
            }
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (decode(name), decode(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a connection of its own. Returns `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: Option<&Json>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.map(Json::render).unwrap_or_default();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
