//! Validation of a caller's request.

use gl_model::{call, id, time};
use gl_route::call as route;
use ntex::{http, web};

use crate::node;

/// The longest time-out that a caller may request.
const MAX_TIMEOUT: time::Span = time::Span::seconds(600);
/// The shortest time-out of a call without an explicit one.
const MIN_DEFAULT_TIMEOUT: time::Span = time::Span::seconds(1);
/// The default time-out as a multiple of the service's deadline.
const DEFAULT_TIMEOUT_FACTOR: u64 = 2;
/// The maximum length of an idempotency key.
const MAX_KEY_LENGTH: usize = 128;
/// The prefix of the path, which the name of the service follows.
const PREFIX: &str = "/v1/call/";

/// A validated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The call on which the router decides.
    pub call: route::Call,
    /// The time at which the request was received.
    pub received: time::Timestamp,
    /// The time within which the service should respond.
    pub service_deadline: time::Span,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// The path and query for the backend server.
    pub target: String,
}

/// The reason why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The path names no service.
    #[error("the path names no service; call /v1/call/SERVICE/PATH")]
    Path,
    /// The time-out is not a number within its range.
    #[error("the header geraniumlatch-timeout-ms must be a number from 1 to 600000")]
    Timeout,
    /// The repeat header has an unknown value.
    #[error("the header geraniumlatch-repeat must be `safe` or `never`")]
    Repeat,
    /// The key is empty, too long or contains characters that are not allowed.
    #[error("the header idempotency-key must be 1 to 128 printable ASCII characters without `/`")]
    Key,
}

fn header<'a>(request: &'a web::HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).map(|value| value.to_str().unwrap_or(""))
}

fn is_idempotent(method: &http::Method) -> bool {
    let idempotent = [
        http::Method::GET,
        http::Method::HEAD,
        http::Method::OPTIONS,
        http::Method::TRACE,
        http::Method::PUT,
        http::Method::DELETE,
    ];
    idempotent.contains(method)
}

fn repeat(request: &web::HttpRequest) -> Result<call::Repeat, Error> {
    match header(request, call::REPEAT) {
        Some("safe") => Ok(call::Repeat::Safe),
        Some("never") => Ok(call::Repeat::Never),
        Some(_) => Err(Error::Repeat),
        None if is_idempotent(request.method()) => Ok(call::Repeat::Safe),
        None => Ok(call::Repeat::Never),
    }
}

fn timeout(request: &web::HttpRequest) -> Result<Option<time::Span>, Error> {
    let Some(text) = header(request, call::TIMEOUT) else {
        return Ok(None);
    };
    let millis: u64 = text.parse().map_err(|_| Error::Timeout)?;
    let span = time::Span::millis(millis);
    if millis == 0 || span > MAX_TIMEOUT { Err(Error::Timeout) } else { Ok(Some(span)) }
}

fn key(request: &web::HttpRequest) -> Result<Option<String>, Error> {
    let Some(key) = header(request, call::KEY) else {
        return Ok(None);
    };
    let is_valid = key.chars().all(|c| c.is_ascii_graphic() && c != '/');
    if key.is_empty() || key.len() > MAX_KEY_LENGTH || !is_valid {
        return Err(Error::Key);
    }
    Ok(Some(key.to_owned()))
}

/// Validates a request that was received at `now` as this daemon's call number `number`.
///
/// # Errors
///
/// Returns an error if the path or a header is invalid.
pub fn parse(
    node: &node::Node,
    request: &web::HttpRequest,
    number: u64,
    now: time::Timestamp,
) -> Result<Request, Error> {
    let rest = request.path().strip_prefix(PREFIX).ok_or(Error::Path)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Error::Path);
    }
    let service = id::JobId::from(service);
    let objective_deadline =
        node.router.lock().objective(&service).map(|objective| objective.deadline);
    let service_deadline = objective_deadline.unwrap_or(MIN_DEFAULT_TIMEOUT);
    let default = time::Span(service_deadline.0.saturating_mul(DEFAULT_TIMEOUT_FACTOR))
        .max(MIN_DEFAULT_TIMEOUT);
    let span = timeout(request)?.unwrap_or(default);
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    Ok(Request {
        call: route::Call {
            id: id::CallId(format!("{}/{number}", node.me.id)),
            service,
            deadline: now + span,
            repeat: repeat(request)?,
        },
        received: now,
        service_deadline,
        key: key(request)?,
        target: format!("/{path}{separator}{query}"),
    })
}
