//! A single attempt at a call: sends the request to a backend server and accepts the response only
//! if it is complete and belongs to this call.

use std::sync;

use gl_intake::{body, budget};
use gl_model::{call, time};
use gl_route::{call as route, outcome};
use ntex::{client, http, util};

use crate::{clock, node, proxy::request};

/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1) and those that the
/// client sets itself.
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

/// The time after which an idle connection is closed, so that this side closes it before the
/// backend server does.
const IDLE_TIMEOUT_S: u16 = 2;
/// The maximum number of open connections of one client to backend servers.
const MAX_CONNECTIONS: usize = 8_192;

/// The HTTP clients of one server thread.
#[derive(Clone)]
pub struct Clients {
    pooled: client::Client,
    unpooled: client::Client,
    /// The memory for the bodies of responses.
    answers: sync::Arc<budget::Budget>,
}

impl Clients {
    /// Creates the clients.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library refuses its settings.
    pub async fn new(
        answers: sync::Arc<budget::Budget>,
    ) -> Result<Self, client::error::ClientBuilderError> {
        Ok(Self { pooled: build_client().await?, unpooled: build_client().await?, answers })
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

/// A complete response of a backend server.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: http::StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: Vec<(http::header::HeaderName, http::header::HeaderValue)>,
    /// The body.
    pub body: util::Bytes,
    /// Counts the body in the budget.
    pub charge: sync::Arc<budget::Charge>,
}

/// The result of an attempt.
pub struct Finished {
    /// The outcome, as the router needs it.
    pub outcome: outcome::AttemptOutcome,
    /// The response, if a complete one was received.
    pub response: Option<Response>,
}

impl Finished {
    const fn without_response(outcome: outcome::AttemptOutcome) -> Self {
        Self { outcome, response: None }
    }
}

/// A slot that is released when the attempt ends or its caller disconnects.
pub struct Slot {
    node: sync::Arc<node::Node>,
    assignment: Option<route::Assignment>,
}

impl Slot {
    /// Creates the guard of the slot of `assignment`.
    pub const fn new(node: sync::Arc<node::Node>, assignment: route::Assignment) -> Self {
        Self { node, assignment: Some(assignment) }
    }

    /// Releases the slot.
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
/// An unrepeatable request is sent on a new connection because the backend server may be closing a
/// pooled one.
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
        Ok(finished) => finished,
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
    let length = body::stated_length(response.headers());
    let timeout = std::time::Duration::from(request.call.deadline.since(started));
    let mut payload = http::Payload::from_stream(response);
    let options = body::Options { limit, length, timeout };
    let Ok(body) = body::read(&clients.answers, &mut payload, options).await else {
        return Finished::without_response(outcome::AttemptOutcome::Interrupted);
    };
    let (body, charge) = body.into_parts();
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
    Finished {
        outcome,
        response: Some(Response { status, headers, body, charge: sync::Arc::new(charge) }),
    }
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

/// Returns the latency of a completed attempt, or zero.
pub const fn latency(outcome: &outcome::AttemptOutcome) -> time::Span {
    match outcome {
        outcome::AttemptOutcome::Completed { latency, .. } => *latency,
        _ => time::Span::ZERO,
    }
}
