//! One attempt at a call: the request goes to a backend server, and its answer is taken only
//! if it is whole and belongs to this call.

use std::sync;

use gl_model::{call, time};
use gl_route::{call as route, outcome};
use ntex::{client, http, util};

use crate::{clock, node, proxy::request};

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1), and
/// those that the client sets itself.
const OWN_HEADERS: [&str; 11] = [
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
const IDLE_SECONDS: u16 = 2;
/// Connections to backend servers that are open at once.
const CONNECTIONS: usize = 8_192;

/// The clients of one thread.
#[derive(Clone)]
pub struct Clients {
    pooled: client::Client,
    fresh: client::Client,
}

impl Clients {
    /// Sets the clients up.
    ///
    /// # Errors
    ///
    /// If the library refuses its settings.
    pub async fn new() -> Result<Self, client::error::ClientBuilderError> {
        Ok(Self { pooled: client().await?, fresh: client().await? })
    }
}

async fn client() -> Result<client::Client, client::error::ClientBuilderError> {
    let connector = client::Connector::default()
        .limit(CONNECTIONS)
        .keep_alive(ntex::time::Seconds(IDLE_SECONDS));
    let builder = client::Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .no_default_headers()
        .disable_timeout();
    builder.build(ntex::SharedCfg::default()).await
}

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: http::StatusCode,
    /// Its headers, without those of the connection.
    pub headers: Vec<(http::header::HeaderName, http::header::HeaderValue)>,
    /// Its body.
    pub body: util::Bytes,
}

/// How an attempt went.
pub struct Outcome {
    /// How it ended.
    pub ending: outcome::AttemptOutcome,
    /// The answer, if a whole one came.
    pub answer: Option<Answer>,
}

impl Outcome {
    const fn without(ending: outcome::AttemptOutcome) -> Self {
        Self { ending, answer: None }
    }
}

/// A slot that is given back when the attempt ends, also when its caller goes away.
pub struct Slot {
    node: sync::Arc<node::Node>,
    ticket: Option<route::Assignment>,
}

impl Slot {
    /// Holds the slot of `ticket`.
    pub const fn new(node: sync::Arc<node::Node>, ticket: route::Assignment) -> Self {
        Self { node, ticket: Some(ticket) }
    }

    /// Gives the slot back.
    pub fn finish(mut self, ending: outcome::AttemptOutcome) {
        self.give_back(ending);
    }

    fn give_back(&mut self, ending: outcome::AttemptOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = clock::now();
        self.node.router.lock().finish(&ticket, ending, now);
        self.node.wake(now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.give_back(outcome::AttemptOutcome::Cancelled);
    }
}

/// Sends a request to the backend server of `ticket` and reads its answer.
///
/// An unrepeatable request goes out on a connection of its own, as a pooled one may be closing.
pub async fn run(
    clients: &Clients,
    ticket: &route::Assignment,
    request: &request::Request,
    original: &ntex::web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Outcome {
    let began = clock::now();
    let left = request.call.deadline.since(began);
    let sending = send(clients, ticket, request, original, body, limit);
    match ntex::time::timeout(std::time::Duration::from(left), sending).await {
        Ok(outcome) => outcome,
        Err(()) => Outcome::without(outcome::AttemptOutcome::TimedOut),
    }
}

async fn send(
    clients: &Clients,
    ticket: &route::Assignment,
    request: &request::Request,
    original: &ntex::web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Outcome {
    let began = clock::now();
    let prepared = prepare(clients, ticket, request, original);
    let response = match prepared.send_body(body).await {
        Ok(response) => response,
        Err(error) if gl_platform::is_unsent(&error) => {
            return Outcome::without(outcome::AttemptOutcome::Unsent);
        }
        Err(_) => return Outcome::without(outcome::AttemptOutcome::Interrupted),
    };
    let load = header(&response, call::LOAD).and_then(|text| text.parse().ok());
    let is_refused = header(&response, call::REFUSED) == Some("not-run");
    let is_own = header(&response, call::CALL) == Some(request.call.id.as_str());
    let status = response.status();
    let headers = passed_on(&response);
    let Ok(body) = response.body().limit(limit).await else {
        return Outcome::without(outcome::AttemptOutcome::Interrupted);
    };
    if is_refused {
        return Outcome::without(outcome::AttemptOutcome::Refused { load });
    }
    if !is_own {
        return Outcome::without(outcome::AttemptOutcome::Interrupted);
    }
    let latency = clock::now().since(began);
    let ending = outcome::AttemptOutcome::Completed {
        latency,
        load,
        is_server_error: status.is_server_error(),
    };
    Outcome { ending, answer: Some(Answer { status, headers, body }) }
}

fn header<'a>(response: &'a client::ClientResponse, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

fn prepare(
    clients: &Clients,
    ticket: &route::Assignment,
    request: &request::Request,
    original: &ntex::web::HttpRequest,
) -> client::ClientRequest {
    let url = format!("http://{}{}", ticket.address, request.target);
    let method = original.method().clone();
    let mut out = match request.call.repeat {
        call::Repeat::Safe => clients.pooled.request(method, url),
        call::Repeat::Never => clients.fresh.request(method, url).force_close(),
    };
    for (name, value) in original.headers() {
        if !OWN_HEADERS.contains(&name.as_str()) {
            out.headers_mut().append(name.clone(), value.clone());
        }
    }
    let task = format!("{}#{}", ticket.task, ticket.incarnation);
    out.set_header(call::TASK, task)
        .set_header(call::CALL, request.call.id.as_str())
        .no_decompress()
}

fn passed_on(
    response: &client::ClientResponse,
) -> Vec<(http::header::HeaderName, http::header::HeaderValue)> {
    let own = [call::CALL, call::LOAD, call::OUTCOME];
    let is_passed = |name: &str| !OWN_HEADERS.contains(&name) && !own.contains(&name);
    let headers = response.headers().iter();
    headers
        .filter(|(name, _)| is_passed(name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The latency of a whole answer, or zero.
pub const fn latency(ending: &outcome::AttemptOutcome) -> time::Span {
    match ending {
        outcome::AttemptOutcome::Completed { latency, .. } => *latency,
        _ => time::Span::ZERO,
    }
}
