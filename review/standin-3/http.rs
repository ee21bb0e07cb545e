//! A small HTTP/1.1 server and client on loopback addresses.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || connection(stream, &handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let (status, body) = handler(&request);
        // No answer: the connection ends.
        if status == 0 {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16384];
    match stream.read(&mut part) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&part[..count]);
            Some(())
        }
        _ => None,
    }
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        fill(stream, buffer)?;
    }
}

fn headers_of(head: &str) -> Vec<(String, String)> {
    let pairs = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect()
}

fn length_of(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let mut words = head.lines().next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = headers_of(&head);
    let length = length_of(&headers);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    let body = buffer.drain(..length).collect();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('=')).map(|(n, v)| (decode(n), decode(v)));
    Some(Request { method, path: path.to_owned(), query: query.collect(), headers, body })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        match bytes[i] {
            b'+' => out.push(b' '),
            b'%' if i + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("3f");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
                i += 2;
            }
            byte => out.push(byte),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own; `None` if there is no complete response in time.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let head = format!("Host: {host}\r\nX-Deadline-Ms: {}\r\n", timeout.as_millis());
    exchange(address, method, path, &head, body, timeout)
}

/// Sends a request on to another address.
pub fn forward(address: SocketAddr, request: &Request, timeout: Duration) -> Option<(u16, String)> {
    let instance = request.header("X-Expect-Instance").unwrap_or_default();
    let head = format!("Host: {address}\r\nX-Expect-Instance: {instance}\r\n");
    let body = String::from_utf8_lossy(&request.body);
    exchange(address, &request.method, &request.path, &head, &body, timeout)
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    head: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{head}Content-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = length_of(&headers_of(&head));
    while buffer.len() < length {
        fill(&mut stream, &mut buffer)?;
    }
    Some((status, String::from_utf8_lossy(&buffer[..length]).into_owned()))
}
