//! One attempt at a call: the request goes to a backend server, and its response is taken only
//! if it is whole and belongs to this call.

use std::sync;

use gl_model::{call, time};
use gl_route::{call as route, outcome};
use ntex::{client, http, util};

use crate::{clock, node, proxy::request};

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1), and
/// those that the client sets itself.
const UNFORWARDED_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Idle connections are closed here before backend servers do it.
const IDLE_TIMEOUT_S: u16 = 2;
/// Connections to backend servers that are open at once.
const MAX_CONNECTIONS: usize = 8_192;

/// The clients of one thread.
#[derive(Clone)]
pub struct Clients {
    pooled: client::Client,
    unpooled: client::Client,
}

impl Clients {
    /// Sets the clients up.
    ///
    /// # Errors
    ///
    /// If the library refuses its settings.
    pub async fn new() -> Result<Self, client::error::ClientBuilderError> {
        Ok(Self { pooled: build_client().await?, unpooled: build_client().await? })
    }
}

async fn build_client() -> Result<client::Client, client::error::ClientBuilderError> {
    let connector = client::Connector::default()
        .limit(MAX_CONNECTIONS)
        .keep_alive(ntex::time::Seconds(IDLE_TIMEOUT_S));
    let builder = client::Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .no_default_headers()
        .disable_timeout();
    builder.build(ntex::SharedCfg::default()).await
}

/// A whole response of a backend server.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: http::StatusCode,
    /// Its headers, without_response those of the connection.
    pub headers: Vec<(http::header::HeaderName, http::header::HeaderValue)>,
    /// Its body.
    pub body: util::Bytes,
}

/// How an attempt went.
pub struct Finished {
    /// How it ended.
    pub outcome: outcome::AttemptOutcome,
    /// The response, if a whole one came.
    pub response: Option<Response>,
}

impl Finished {
    const fn without_response(outcome: outcome::AttemptOutcome) -> Self {
        Self { outcome, response: None }
    }
}

/// A slot that is given back when the attempt ends, also when its caller goes away.
pub struct Slot {
    node: sync::Arc<node::Node>,
    assignment: Option<route::Assignment>,
}

impl Slot {
    /// Holds the slot of `assignment`.
    pub const fn new(node: sync::Arc<node::Node>, assignment: route::Assignment) -> Self {
        Self { node, assignment: Some(assignment) }
    }

    /// Gives the slot back.
    pub fn finish(mut self, outcome: outcome::AttemptOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: outcome::AttemptOutcome) {
        let Some(assignment) = self.assignment.take() else {
            return;
        };
        let now = clock::now();
        self.node.router.lock().finish(&assignment, outcome, now);
        self.node.dispatch_queue(now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(outcome::AttemptOutcome::Cancelled);
    }
}

/// Sends a request to the backend server of `assignment` and reads its response.
///
/// An unrepeatable request goes outgoing on a connection of its own, as a pooled one may be closing.
pub async fn run(
    clients: &Clients,
    assignment: &route::Assignment,
    request: &request::Request,
    original: &ntex::web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Finished {
    let started = clock::now();
    let left = request.call.deadline.since(started);
    let sending = send(clients, assignment, request, original, body, limit);
    match ntex::time::timeout(std::time::Duration::from(left), sending).await {
        Ok(outcome) => outcome,
        Err(()) => Finished::without_response(outcome::AttemptOutcome::TimedOut),
    }
}

async fn send(
    clients: &Clients,
    assignment: &route::Assignment,
    request: &request::Request,
    original: &ntex::web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Finished {
    let started = clock::now();
    let prepared = prepare(clients, assignment, request, original);
    let response = match prepared.send_body(body).await {
        Ok(response) => response,
        Err(error) if gl_platform::is_unsent(&error) => {
            return Finished::without_response(outcome::AttemptOutcome::Unsent);
        }
        Err(_) => return Finished::without_response(outcome::AttemptOutcome::Interrupted),
    };
    let load = header(&response, call::LOAD).and_then(|text| text.parse().ok());
    let is_refused = header(&response, call::REFUSED) == Some("not-run");
    let is_for_call = header(&response, call::CALL) == Some(request.call.id.as_str());
    let status = response.status();
    let headers = forwarded_headers(&response);
    let Ok(body) = response.body().limit(limit).await else {
        return Finished::without_response(outcome::AttemptOutcome::Interrupted);
    };
    if is_refused {
        return Finished::without_response(outcome::AttemptOutcome::Refused { load });
    }
    if !is_for_call {
        return Finished::without_response(outcome::AttemptOutcome::Interrupted);
    }
    let latency = clock::now().since(started);
    let outcome = outcome::AttemptOutcome::Completed {
        latency,
        load,
        is_server_error: status.is_server_error(),
    };
    Finished { outcome, response: Some(Response { status, headers, body }) }
}

fn header<'a>(response: &'a client::ClientResponse, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

fn prepare(
    clients: &Clients,
    assignment: &route::Assignment,
    request: &request::Request,
    original: &ntex::web::HttpRequest,
) -> client::ClientRequest {
    let url = format!("http://{}{}", assignment.address, request.target);
    let method = original.method().clone();
    let mut outgoing = match request.call.repeat {
        call::Repeat::Safe => clients.pooled.request(method, url),
        call::Repeat::Never => clients.unpooled.request(method, url).force_close(),
    };
    for (name, value) in original.headers() {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            outgoing.headers_mut().append(name.clone(), value.clone());
        }
    }
    let task = format!("{}#{}", assignment.task, assignment.incarnation);
    outgoing
        .set_header(call::TASK, task)
        .set_header(call::CALL, request.call.id.as_str())
        .no_decompress()
}

fn forwarded_headers(
    response: &client::ClientResponse,
) -> Vec<(http::header::HeaderName, http::header::HeaderValue)> {
    let internal = [call::CALL, call::LOAD, call::OUTCOME];
    let is_forwarded =
        |name: &str| !UNFORWARDED_HEADERS.contains(&name) && !internal.contains(&name);
    let headers = response.headers().iter();
    headers
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The latency of a whole response, or zero.
pub const fn latency(outcome: &outcome::AttemptOutcome) -> time::Span {
    match outcome {
        outcome::AttemptOutcome::Completed { latency, .. } => *latency,
        _ => time::Span::ZERO,
    }
}
