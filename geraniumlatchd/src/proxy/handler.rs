//! The handling of a call from its request to its response.

use std::{rc, sync, sync::atomic};

use gl_intake::{body, budget, connections, refusal};
use gl_meter::counts;
use gl_model::{call, id, time};
use gl_route::{call as route, outcome, service};
use ntex::{http, io, util, web};

use crate::{clock, node, proxy};
use proxy::{answer, attempt, claims, queue, request, response};

/// The size in bytes up to which the response to an unrepeatable call is stored for the caller's
/// retries.
const MAX_STORED_BYTES: usize = 64 << 10;
/// The size in bytes up to which a response is passed to its connection at once.
const MAX_SENT_AT_ONCE: usize = 8 << 10;
/// The share of a call's time that storing its claim may take.
const CLAIM_SHARE: f64 = 0.5;
/// The time after which a caller may retry when no claim could be stored.
const CLAIM_RETRY_AFTER: time::Span = time::Span::seconds(2);
/// The time after which a caller may retry when its body was not read to its end.
const BODY_RETRY_AFTER: time::Span = time::Span::seconds(1);
/// The time after which a caller may retry when this daemon is shutting down.
const CLOSED_RETRY_AFTER: time::Span = time::Span::seconds(1);

/// The state with which one server thread handles calls.
#[derive(Clone)]
pub struct Context {
    /// The daemon.
    pub node: sync::Arc<node::Node>,
    /// The HTTP clients for backend servers.
    pub clients: attempt::Clients,
    /// The claims on idempotency keys.
    pub claims: claims::Claims,
    /// The connections of the thread.
    pub connections: rc::Rc<connections::Connections>,
}

/// Counts a call as in progress until it is dropped.
struct InFlight(sync::Arc<node::Node>);

impl InFlight {
    fn new(node: &sync::Arc<node::Node>) -> Self {
        node.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// The response to a call and the data for its metrics.
struct Completion {
    response: web::HttpResponse,
    outcome: call::Outcome,
    server_time: time::Span,
    vm: Option<id::VmId>,
}

impl Completion {
    const fn local(response: web::HttpResponse, outcome: call::Outcome) -> Self {
        Self { response, outcome, server_time: time::Span::ZERO, vm: None }
    }
}

/// Handles a call.
pub async fn call(
    original: web::HttpRequest,
    payload: web::types::Payload,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let node = &context.node;
    let in_flight = InFlight::new(node);
    if node.refuses_calls.load(atomic::Ordering::Relaxed) {
        return close_connection(response::not_run(
            "this daemon is shutting down; call another one",
            CLOSED_RETRY_AFTER,
        ));
    }
    let now = clock::now();
    let number = node.next_call.fetch_add(1, atomic::Ordering::Relaxed);
    let request = match request::parse(node, &original, number, now) {
        Ok(request) => request,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let limits = node.config.lock().content.limits;
    let mut payload = payload.into_inner();
    body::limit_read_ahead(&payload);
    let unknown = node.router.lock().refuse_unknown(&request.call);
    if let Some(refusal) = unknown {
        let completion = refuse(node, &outcome::History::default(), refusal, None).completion;
        record_completion(node, &request, &completion);
        return refusal::linger(completion.response, payload);
    }
    let time_left = std::time::Duration::from(request.call.deadline.since(now));
    let options = body::Options {
        limit: limits.body_bytes,
        length: body::stated_length(original.headers()),
        timeout: time_left.max(body::Options::default().timeout),
    };
    let body = match body::read(&node.bodies, &mut payload, options).await {
        Ok(body) => body,
        Err(error) => return refusal::linger(body_unread(node, error), payload),
    };
    let _in_progress = context.connections.carry_out(original.io());
    let (body, charge) = body.into_parts();
    let completion = match (&request.key, request.call.repeat) {
        (Some(key), call::Repeat::Never) => {
            let received_call =
                ReceivedCall { original, body, charge, limit: limits.answer_bytes, in_flight };
            forward_detached(context.get_ref().clone(), request.clone(), key.clone(), received_call)
                .await
        }
        _ => {
            let _charge = charge;
            forward(&context, &request, &original, body, limits.answer_bytes).await.completion
        }
    };
    record_completion(node, &request, &completion);
    if node.is_draining() { close_connection(completion.response) } else { completion.response }
}

/// Marks the connection to be closed after the response.
fn close_connection(mut response: web::HttpResponse) -> web::HttpResponse {
    response.head_mut().set_connection_type(http::ConnectionType::Close);
    response
}

/// Returns the response to a call whose body was not read to its end.
fn body_unread(node: &node::Node, error: body::Error) -> web::HttpResponse {
    match error {
        body::Error::TooLarge { limit } => response::too_large(limit),
        body::Error::Truncated => response::bad_request(&error.to_string()),
        body::Error::TooSlow { .. } | body::Error::Evicted(_) => {
            node.metrics.shed(error.as_str());
            response::not_run(&error.to_string(), BODY_RETRY_AFTER)
        }
    }
}

fn record_completion(node: &node::Node, request: &request::Request, completion: &Completion) {
    let now = clock::now();
    let took = now.since(request.received);
    let class = match completion.outcome {
        call::Outcome::Complete if took <= request.service_deadline => counts::Class::Good,
        call::Outcome::Complete => counts::Class::Late,
        call::Outcome::NotRun => counts::Class::NotRun,
        call::Outcome::Unknown => counts::Class::Unknown,
    };
    node.metrics.call(&request.call.service, completion.outcome, took, completion.server_time);
    let is_known = node.router.lock().objective(&request.call.service).is_some();
    if is_known {
        let service = &request.call.service;
        node.totals.lock().add(&node.me.id, service, class, completion.vm.as_ref(), now);
    }
}

/// A call as received from its caller.
struct ReceivedCall {
    original: web::HttpRequest,
    body: util::Bytes,
    charge: budget::Charge,
    limit: usize,
    in_flight: InFlight,
}

/// Handles an unrepeatable call with a key in a task of its own, which continues if the caller
/// disconnects. The caller then gets the stored response when it retries with the key.
async fn forward_detached(
    context: Context,
    request: request::Request,
    key: String,
    received_call: ReceivedCall,
) -> Completion {
    let task = ntex::rt::spawn(async move {
        let ReceivedCall { original, body, charge, limit, in_flight } = received_call;
        let completion = forward_keyed(&context, &request, &key, &original, body, limit).await;
        drop((charge, in_flight));
        completion
    });
    let failed = || {
        Completion::local(
            response::unknown("the handler of the call failed"),
            call::Outcome::Unknown,
        )
    };
    task.await.unwrap_or_else(|_| failed())
}

/// Handles an unrepeatable call with a key; it is sent only after its claim is stored.
async fn forward_keyed(
    context: &Context,
    request: &request::Request,
    key: &str,
    original: &web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Completion {
    let (service, id) = (&request.call.service, &request.call.id);
    let share = request.call.deadline.since(request.received).scaled(CLAIM_SHARE);
    let claim = context.claims.claim(service, key, id, request.received + share).await;
    match claim {
        claims::Acquisition::Acquired { .. } => {}
        claims::Acquisition::Taken(Some(stored)) => {
            return Completion::local(response::stored(&stored), call::Outcome::Complete);
        }
        claims::Acquisition::Taken(None) => {
            return Completion::local(response::in_progress(), call::Outcome::Unknown);
        }
        claims::Acquisition::Unconfirmed => {
            context.claims.release(service, key, id);
            context.node.metrics.shed("no-claim");
            let response =
                response::not_run("the idempotency key cannot be claimed now", CLAIM_RETRY_AFTER);
            return Completion::local(response, call::Outcome::NotRun);
        }
    }
    let forwarded = forward(context, request, original, body, limit).await;
    match (forwarded.completion.outcome, &forwarded.backend_response) {
        (call::Outcome::NotRun, _) => context.claims.release(service, key, id),
        (call::Outcome::Complete, Some(response)) => {
            store_response(context, request, key, response)
        }
        _ => {}
    }
    forwarded.completion
}

fn store_response(
    context: &Context,
    request: &request::Request,
    key: &str,
    response: &attempt::Response,
) {
    let Ok(body) = std::str::from_utf8(&response.body) else {
        return;
    };
    if body.len() > MAX_STORED_BYTES {
        return;
    }
    let content_type = response
        .headers
        .iter()
        .find(|(name, _)| *name == http::header::CONTENT_TYPE)
        .and_then(|(_, value)| value.to_str().ok().map(str::to_owned));
    let stored =
        call::Response { status: response.status.as_u16(), content_type, body: body.to_owned() };
    context.claims.store_response(&request.call.service, key, &request.call.id, stored);
}

struct Forwarded {
    completion: Completion,
    backend_response: Option<attempt::Response>,
}

impl Forwarded {
    const fn local(response: web::HttpResponse, outcome: call::Outcome) -> Self {
        Self { completion: Completion::local(response, outcome), backend_response: None }
    }
}

/// Sends a call to backend servers until one responds or the router refuses another attempt.
async fn forward(
    context: &Context,
    request: &request::Request,
    original: &web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Forwarded {
    let node = &context.node;
    let mut history = outcome::History::default();
    let mut tried: Vec<id::TaskId> = Vec::new();
    let mut last_vm: Option<id::VmId> = None;
    let mut cost = service::RetryCost::Budgeted;
    loop {
        let decision = queue::decide(node, request, &tried, cost).await;
        let assignment = match decision {
            route::Decision::Send(assignment) => assignment,
            route::Decision::Refuse(refusal) => {
                return refuse(node, &history, refusal, last_vm);
            }
            route::Decision::Wait => continue,
        };
        let slot = attempt::Slot::new(sync::Arc::clone(node), assignment.clone());
        last_vm = vm_of(node, &assignment);
        let finished =
            attempt::run(&context.clients, &assignment, request, original, body.clone(), limit)
                .await;
        slot.finish(finished.outcome);
        let is_retryable = matches!(
            finished.outcome,
            outcome::AttemptOutcome::Completed { is_server_error: true, .. }
        ) && request.call.repeat == call::Repeat::Safe
            && tried.is_empty();
        match history.next_step(finished.outcome, request.call.repeat) {
            outcome::NextStep::Forward
                if is_retryable && has_other_backend(node, request, &assignment) => {}
            outcome::NextStep::Forward => return complete(finished, last_vm, original.io()),
            outcome::NextStep::Stop(outcome) => {
                let mut forwarded =
                    Forwarded::local(response::unknown(cause(finished.outcome)), outcome);
                forwarded.completion.vm = last_vm;
                return forwarded;
            }
            outcome::NextStep::Retry(_) => {}
        }
        cost = finished.outcome.retry_cost();
        node.metrics.retry(cause(finished.outcome));
        tried.push(assignment.task);
    }
}

/// Returns whether a service has another backend server to which a failed call can be sent.
fn has_other_backend(
    node: &node::Node,
    request: &request::Request,
    assignment: &route::Assignment,
) -> bool {
    let router = node.router.lock();
    let is_other = |b: &gl_route::backend::Backend| b.task != assignment.task && !b.is_draining;
    let service = router.service(&request.call.service);
    service.is_some_and(|service| service.backends().iter().any(is_other))
}

fn vm_of(node: &node::Node, assignment: &route::Assignment) -> Option<id::VmId> {
    let router = node.router.lock();
    let backend = router.service(&assignment.service)?.backend(&assignment.task)?;
    Some(backend.vm.clone())
}

const fn cause(outcome: outcome::AttemptOutcome) -> &'static str {
    match outcome {
        outcome::AttemptOutcome::Completed { .. } => "backend-server-failed",
        outcome::AttemptOutcome::Refused { .. } => "refused",
        outcome::AttemptOutcome::Unsent => "no-connection",
        outcome::AttemptOutcome::Interrupted => "answer-cut-short",
        outcome::AttemptOutcome::Cancelled => "caller-gone",
        outcome::AttemptOutcome::TimedOut => "no-answer-in-time",
    }
}

/// Returns the response to a call that no backend server completed.
fn refuse(
    node: &node::Node,
    history: &outcome::History,
    refusal: route::Refusal,
    vm: Option<id::VmId>,
) -> Forwarded {
    let reason = refusal.reason.as_str();
    let outcome = history.outcome();
    let response = match outcome {
        call::Outcome::NotRun => {
            node.metrics.shed(reason);
            response::not_run(reason, refusal.retry_after)
        }
        _ => response::unknown(reason),
    };
    let mut forwarded = Forwarded::local(response, outcome);
    forwarded.completion.vm = vm;
    forwarded
}

fn complete(
    finished: attempt::Finished,
    vm: Option<id::VmId>,
    connection: Option<&io::IoRef>,
) -> Forwarded {
    let server_time = attempt::latency(&finished.outcome);
    let Some(backend_response) = finished.response else {
        return Forwarded::local(response::unknown("no answer"), call::Outcome::Unknown);
    };
    let mut response = web::HttpResponse::build(backend_response.status);
    for (name, value) in &backend_response.headers {
        response.header(name.clone(), value.clone());
    }
    response.header(call::OUTCOME, call::Outcome::Complete.as_str());
    let body = backend_response.body.clone();
    let response = if body.len() > MAX_SENT_AT_ONCE {
        let charge = sync::Arc::clone(&backend_response.charge);
        let sending = answer::Sending::start(body, charge, connection);
        response.message_body(http::body::Body::from_message(sending))
    } else {
        response.body(body)
    };
    let completion = Completion { response, outcome: call::Outcome::Complete, server_time, vm };
    Forwarded { completion, backend_response: Some(backend_response) }
}
