//! The way of one call through the daemon.

use std::{sync, sync::atomic};

use gl_meter::counts;
use gl_model::{call, id, time};
use gl_route::{call as route, outcome, service};
use ntex::{http, util, web};

use crate::{clock, node, proxy};
use proxy::{answer, attempt, claims, queue, request};

/// The largest answer that is stored for an unrepeatable call's retry, in bytes.
const STORED_BYTES: usize = 64 << 10;
/// The share of a call's time that storing its claim may take.
const CLAIM_SHARE: f64 = 0.5;
/// The time after which a caller is told to come back when no claim could be stored.
const CLAIM_RETRY: time::Span = time::Span::seconds(2);

/// The time after which a caller is told to come back when this daemon stops.
const CLOSED_RETRY: time::Span = time::Span::seconds(1);

/// What one server thread has to carry calls with.
#[derive(Clone)]
pub struct Carrier {
    /// The daemon.
    pub node: sync::Arc<node::Node>,
    /// The clients to backend servers.
    pub clients: attempt::Clients,
    /// The claims on keys.
    pub claims: claims::Claims,
}

/// Counts a call as in progress.
struct Progress(sync::Arc<node::Node>);

impl Progress {
    fn new(node: &sync::Arc<node::Node>) -> Self {
        node.flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(node))
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// The final answer of a call and how it counts.
struct End {
    response: web::HttpResponse,
    outcome: call::Outcome,
    server: time::Span,
    vm: Option<id::VmId>,
}

impl End {
    const fn own(response: web::HttpResponse, outcome: call::Outcome) -> Self {
        Self { response, outcome, server: time::Span::ZERO, vm: None }
    }
}

/// Carries one call.
pub async fn call(
    original: web::HttpRequest,
    payload: web::types::Payload,
    carrier: web::types::State<Carrier>,
) -> web::HttpResponse {
    let node = &carrier.node;
    let progress = Progress::new(node);
    if node.closed.load(atomic::Ordering::Relaxed) {
        return closing(answer::not_run("this daemon stops; call another one", CLOSED_RETRY));
    }
    let now = clock::now();
    let number = node.calls.fetch_add(1, atomic::Ordering::Relaxed);
    let request = match request::parse(node, &original, number, now) {
        Ok(request) => request,
        Err(error) => return answer::bad(&error.to_string()),
    };
    let limits = node.config.lock().content.limits;
    let body = match read(payload, limits.body_bytes).await {
        Ok(body) => body,
        Err(Unread::TooLarge) => return answer::too_large(limits.body_bytes),
        Err(Unread::CutShort) => {
            return closing(answer::bad("the body was cut short; send it anew"));
        }
    };
    let end = match (&request.key, request.call.repeat) {
        (Some(key), call::Repeat::Never) => {
            let sent = Sent { original, body, limit: limits.answer_bytes, progress };
            to_its_end(carrier.get_ref().clone(), request.clone(), key.clone(), sent).await
        }
        _ => carry(&carrier, &request, &original, body, limits.answer_bytes).await.end,
    };
    note(node, &request, &end);
    if node.is_draining() { closing(end.response) } else { end.response }
}

/// The answer, after which the connection closes.
fn closing(mut response: web::HttpResponse) -> web::HttpResponse {
    response.head_mut().set_connection_type(http::ConnectionType::Close);
    response
}

/// Why a request's body can't be used.
enum Unread {
    TooLarge,
    CutShort,
}

/// Reads a request's whole body; one that ends early is never passed on as if it were whole.
async fn read(mut payload: web::types::Payload, limit: usize) -> Result<util::Bytes, Unread> {
    let mut body = util::BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| Unread::CutShort)?;
        if body.len() + chunk.len() > limit {
            return Err(Unread::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn note(node: &node::Node, request: &request::Request, end: &End) {
    let now = clock::now();
    let took = now.since(request.began);
    let kind = match end.outcome {
        call::Outcome::Complete if took <= request.goal => counts::Class::Good,
        call::Outcome::Complete => counts::Class::Late,
        call::Outcome::NotRun => counts::Class::NotRun,
        call::Outcome::Unknown => counts::Class::Unknown,
    };
    node.metrics.call(&request.call.service, end.outcome, took, end.server);
    let is_known = node.router.lock().objective(&request.call.service).is_some();
    if is_known {
        let service = &request.call.service;
        node.board.lock().add(&node.me.id, service, kind, end.vm.as_ref(), now);
    }
}

/// What a caller sent.
struct Sent {
    original: web::HttpRequest,
    body: util::Bytes,
    limit: usize,
    progress: Progress,
}

/// Carries a keyed unrepeatable call on to its end also when its caller hangs up, so that the
/// answer is there when the caller asks again with its key.
async fn to_its_end(carrier: Carrier, request: request::Request, key: String, sent: Sent) -> End {
    let task = ntex::rt::spawn(async move {
        let Sent { original, body, limit, progress } = sent;
        let end = claimed(&carrier, &request, &key, &original, body, limit).await;
        drop(progress);
        end
    });
    let lost = || End::own(answer::unknown("the call was lost"), call::Outcome::Unknown);
    task.await.unwrap_or_else(|_| lost())
}

/// Carries a keyed unrepeatable call: nothing is sent before its claim is stored.
async fn claimed(
    carrier: &Carrier,
    request: &request::Request,
    key: &str,
    original: &web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> End {
    let (service, id) = (&request.call.service, &request.call.id);
    let share = request.call.deadline.since(request.began).scaled(CLAIM_SHARE);
    let claim = carrier.claims.claim(service, key, id, request.began + share).await;
    match claim {
        claims::Claimed::Own { .. } => {}
        claims::Claimed::Other(Some(stored)) => {
            return End::own(answer::stored(&stored), call::Outcome::Complete);
        }
        claims::Claimed::Other(None) => {
            return End::own(answer::claimed(), call::Outcome::Unknown);
        }
        claims::Claimed::Unproved => {
            carrier.claims.release(service, key, id);
            carrier.node.metrics.shed("no-claim");
            let response = answer::not_run("its key can't be claimed now", CLAIM_RETRY);
            return End::own(response, call::Outcome::NotRun);
        }
    }
    let carried = carry(carrier, request, original, body, limit).await;
    match (carried.end.outcome, &carried.answer) {
        (call::Outcome::NotRun, _) => carrier.claims.release(service, key, id),
        (call::Outcome::Complete, Some(answer)) => store(carrier, request, key, answer),
        _ => {}
    }
    carried.end
}

fn store(carrier: &Carrier, request: &request::Request, key: &str, answer: &attempt::Answer) {
    let Ok(body) = std::str::from_utf8(&answer.body) else {
        return;
    };
    if body.len() > STORED_BYTES {
        return;
    }
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| *name == http::header::CONTENT_TYPE)
        .and_then(|(_, value)| value.to_str().ok().map(str::to_owned));
    let stored =
        call::Response { status: answer.status.as_u16(), content_type, body: body.to_owned() };
    carrier.claims.answer(&request.call.service, key, &request.call.id, stored);
}

struct Carried {
    end: End,
    answer: Option<attempt::Answer>,
}

impl Carried {
    const fn own(response: web::HttpResponse, outcome: call::Outcome) -> Self {
        Self { end: End::own(response, outcome), answer: None }
    }
}

/// Sends a call to backend servers until one answers it or it is given up.
async fn carry(
    carrier: &Carrier,
    request: &request::Request,
    original: &web::HttpRequest,
    body: util::Bytes,
    limit: usize,
) -> Carried {
    let node = &carrier.node;
    let mut record = outcome::History::default();
    let mut tried: Vec<id::TaskId> = Vec::new();
    let mut last: Option<id::VmId> = None;
    let mut cost = service::RetryCost::Budgeted;
    loop {
        let verdict = queue::decide(node, request, &tried, cost).await;
        let ticket = match verdict {
            route::Decision::Send(ticket) => ticket,
            route::Decision::Refuse(refusal) => {
                return give_up(node, &record, refusal, last);
            }
            route::Decision::Wait => continue,
        };
        let slot = attempt::Slot::new(sync::Arc::clone(node), ticket.clone());
        last = vm_of(node, &ticket);
        let tried_now =
            attempt::run(&carrier.clients, &ticket, request, original, body.clone(), limit).await;
        slot.finish(tried_now.ending);
        let is_retried = matches!(
            tried_now.ending,
            outcome::AttemptOutcome::Completed { is_server_error: true, .. }
        ) && request.call.repeat == call::Repeat::Safe
            && tried.is_empty();
        match record.next_step(tried_now.ending, request.call.repeat) {
            outcome::NextStep::Forward if is_retried && may_retry(node, request, &ticket) => {}
            outcome::NextStep::Forward => return complete(tried_now, last),
            outcome::NextStep::Stop(outcome) => {
                let mut carried = Carried::own(answer::unknown(cause(tried_now.ending)), outcome);
                carried.end.vm = last;
                return carried;
            }
            outcome::NextStep::Retry(_) => {}
        }
        cost = tried_now.ending.retry_cost();
        node.metrics.retry(cause(tried_now.ending));
        tried.push(ticket.task);
    }
}

/// Whether a repeatable call whose backend server failed may go to another one.
fn may_retry(node: &node::Node, request: &request::Request, ticket: &route::Assignment) -> bool {
    let router = node.router.lock();
    let is_other = |b: &gl_route::backend::Backend| b.task != ticket.task && !b.is_draining;
    let service = router.service(&request.call.service);
    service.is_some_and(|service| service.backends().iter().any(is_other))
}

fn vm_of(node: &node::Node, ticket: &route::Assignment) -> Option<id::VmId> {
    let router = node.router.lock();
    let backend = router.service(&ticket.service)?.backend(&ticket.task)?;
    Some(backend.vm.clone())
}

const fn cause(ending: outcome::AttemptOutcome) -> &'static str {
    match ending {
        outcome::AttemptOutcome::Completed { .. } => "backend-server-failed",
        outcome::AttemptOutcome::Refused { .. } => "refused",
        outcome::AttemptOutcome::Unsent => "no-connection",
        outcome::AttemptOutcome::Interrupted => "answer-cut-short",
        outcome::AttemptOutcome::Cancelled => "caller-gone",
        outcome::AttemptOutcome::TimedOut => "no-answer-in-time",
    }
}

/// The final answer of a call that no backend server answered.
fn give_up(
    node: &node::Node,
    record: &outcome::History,
    refusal: route::Refusal,
    vm: Option<id::VmId>,
) -> Carried {
    let reason = refusal.reason.as_str();
    let outcome = record.outcome();
    let response = match outcome {
        call::Outcome::NotRun => {
            node.metrics.shed(reason);
            answer::not_run(reason, refusal.retry_after)
        }
        _ => answer::unknown(reason),
    };
    let mut carried = Carried::own(response, outcome);
    carried.end.vm = vm;
    carried
}

fn complete(outcome: attempt::Outcome, vm: Option<id::VmId>) -> Carried {
    let server = attempt::latency(&outcome.ending);
    let Some(answer) = outcome.answer else {
        return Carried::own(answer::unknown("no answer"), call::Outcome::Unknown);
    };
    let mut response = web::HttpResponse::build(answer.status);
    for (name, value) in &answer.headers {
        response.header(name.clone(), value.clone());
    }
    response.header(call::OUTCOME, call::Outcome::Complete.as_str());
    let response = response.body(answer.body.clone());
    let end = End { response, outcome: call::Outcome::Complete, server, vm };
    Carried { end, answer: Some(answer) }
}
