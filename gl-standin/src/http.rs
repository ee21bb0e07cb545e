//! HTTP helpers shared by the stand-ins and the tests.

use std::{io, net, time};

use gl_model::time as model;
use ntex::util;

/// Returns the current time.
pub fn now() -> model::Timestamp {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    model::Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Bytes that a truncated response declares in its content length but does not send. They exceed
/// the error text that the HTTP library itself writes into a body that fails, so that this text
/// cannot complete the body.
pub const MISSING_BYTES: u64 = 65_536;

/// A response body that fails before its declared length, which closes the connection.
pub struct TruncatedBody {
    /// The bytes that are sent before the failure.
    pub sent: util::Bytes,
    /// The declared length.
    pub content_length: u64,
}

impl ntex::http::body::MessageBody for TruncatedBody {
    fn size(&self) -> ntex::http::body::BodySize {
        ntex::http::body::BodySize::Sized(self.content_length)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<util::Bytes, std::rc::Rc<dyn std::error::Error>>>> {
        let sent = std::mem::take(&mut self.sent);
        if sent.is_empty() {
            let error = io::Error::new(io::ErrorKind::BrokenPipe, "switched on");
            return std::task::Poll::Ready(Some(Err(std::rc::Rc::new(error))));
        }
        std::task::Poll::Ready(Some(Ok(sent)))
    }
}

/// Injects a crash or a pause: ends the process, or holds the lock on its state for `pause_ms` so
/// that all its work stops.
pub fn pause_or_crash<S>(pause_ms: u64, crash: bool, state: &parking_lot::Mutex<S>) {
    if crash {
        std::process::exit(1);
    }
    if pause_ms > 0 {
        let guard = state.lock();
        std::thread::sleep(time::Duration::from_millis(pause_ms));
        drop(guard);
    }
}

/// Returns an error response with `text` as its body.
pub fn error_response(status: u16, text: &str) -> ntex::web::HttpResponse {
    let status = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
    ntex::web::HttpResponse::build(status).body(text.to_owned())
}

/// Returns a listening socket on a free loopback port.
///
/// # Errors
///
/// Returns an error if no socket can be bound.
pub fn bind_loopback() -> io::Result<net::TcpListener> {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
}

/// Posts `body` as JSON and returns the text of the response.
///
/// # Errors
///
/// Returns an error if there is no complete response with a success status.
pub async fn post<B: serde::Serialize>(url: &str, body: &B) -> Result<String, String> {
    let client = ntex::client::Client::new().await;
    let response = client.post(url).send_json(body).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let bytes = response.body().limit(64 << 20).await.map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if status.is_success() { Ok(text) } else { Err(format!("{status}: {text}")) }
}

/// Returns the JSON response to a GET request.
///
/// # Errors
///
/// Returns an error if there is no complete response or it cannot be deserialised.
pub async fn get<T: serde::de::DeserializeOwned>(url: &str) -> Result<T, String> {
    let client = ntex::client::Client::new().await;
    let response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let bytes = response.body().limit(64 << 20).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}
