//! Small helpers for the stand-ins' HTTP.

use std::{io, net, time};

use gl_model::time as model;
use ntex::util;

/// The present time.
pub fn now() -> model::Timestamp {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    model::Timestamp(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// Bytes that a truncated answer announces and never sends; more than the library's own error
/// text, which it writes into a body that breaks off.
pub const NEVER_SENT: u64 = 65_536;

/// A body that breaks off before its announced end, which closes the connection.
pub struct Truncated {
    /// What is sent before the break.
    pub part: util::Bytes,
    /// The length that is announced.
    pub announced: u64,
}

impl ntex::http::body::MessageBody for Truncated {
    fn size(&self) -> ntex::http::body::BodySize {
        ntex::http::body::BodySize::Sized(self.announced)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<util::Bytes, std::rc::Rc<dyn std::error::Error>>>> {
        let part = std::mem::take(&mut self.part);
        if part.is_empty() {
            let broken = io::Error::new(io::ErrorKind::BrokenPipe, "switched on");
            return std::task::Poll::Ready(Some(Err(std::rc::Rc::new(broken))));
        }
        std::task::Poll::Ready(Some(Ok(part)))
    }
}

/// Ends the process, or holds its state for a while so that nothing in it goes on.
pub fn pause_or_crash<S>(pause_ms: u64, crash: bool, state: &parking_lot::Mutex<S>) {
    if crash {
        std::process::exit(1);
    }
    if pause_ms > 0 {
        let held = state.lock();
        std::thread::sleep(time::Duration::from_millis(pause_ms));
        drop(held);
    }
}

/// An error answer whose body names the fault.
pub fn refuse(status: u16, text: &str) -> ntex::web::HttpResponse {
    let status = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
    ntex::web::HttpResponse::build(status).body(text.to_owned())
}

/// A socket on a loopback port that the system picks.
///
/// # Errors
///
/// If the system has none.
pub fn socket() -> io::Result<net::TcpListener> {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
}

/// Posts `body` as JSON and reads the answer's text.
///
/// # Errors
///
/// If no whole answer with a good status came.
pub async fn post<B: serde::Serialize>(url: &str, body: &B) -> Result<String, String> {
    let client = ntex::client::Client::new().await;
    let response = client.post(url).send_json(body).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let bytes = response.body().limit(64 << 20).await.map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if status.is_success() { Ok(text) } else { Err(format!("{status}: {text}")) }
}

/// Reads a JSON answer.
///
/// # Errors
///
/// If no whole answer with a good status came.
pub async fn get<T: serde::de::DeserializeOwned>(url: &str) -> Result<T, String> {
    let client = ntex::client::Client::new().await;
    let response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let bytes = response.body().limit(64 << 20).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}
