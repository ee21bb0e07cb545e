//! A client of daemons on the users' platform.

use std::{net, time};

use ntex::http;

/// The host name in the requests of the tests, by which they are routed to the tests' queue.
pub const HOST: &str = "desk.example";
/// The maximum wait for a response.
const RESPONSE_TIMEOUT: ntex::time::Millis = ntex::time::Millis(4_000);

/// A response to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body, or `null` if it is not JSON.
    pub body: serde_json::Value,
    /// The value of the `retry-after` header.
    pub retry_after: Option<String>,
}

/// A client that keeps its connections open.
pub struct Client {
    http: ntex::client::Client,
}

impl Client {
    /// Creates a client without connections.
    pub async fn new() -> Self {
        Self { http: ntex::client::Client::new().await }
    }

    /// Sends a request and returns the response, or `None` if there is no complete one.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Response> {
        let method = method.parse::<http::Method>().ok()?;
        let request = self.http.request(method, format!("http://{address}{path}"));
        let request = request.timeout(RESPONSE_TIMEOUT).set_header("Host", HOST);
        let response = request.send_body(body.to_owned()).await.ok()?;
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let bytes = response.body().await.ok()?;
        let body = serde_json::from_slice(&bytes).unwrap_or_default();
        Some(Response { status, body, retry_after })
    }
}

/// Sends a request on a connection of its own, as [`Client::send()`] does.
pub async fn send(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Response> {
    Client::new().await.send(address, method, path, body).await
}

/// Sends a request and returns the status of the response, or `None` if there is no complete one.
pub async fn request_status(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<u16> {
    send(address, method, path, body).await.map(|response| response.status)
}

/// Polls the state of a job until it is `expected`; returns false after `timeout`.
pub async fn wait_for_state(
    address: net::SocketAddr,
    path: &str,
    expected: &str,
    timeout: time::Duration,
) -> bool {
    let deadline = time::Instant::now() + timeout;
    while time::Instant::now() < deadline {
        let response = send(address, "GET", path, "").await;
        if response.is_some_and(|response| response.body["State"] == expected) {
            return true;
        }
        ntex::time::sleep(time::Duration::from_millis(30)).await;
    }
    false
}
