//! The workers' interface for the owner.

use std::time;

use gl_jobs::worker;
use ntex::web;
use serde_json::Value;

use super::{
    late_calls::{LateCall, POLL_PATH},
    server::{Fleet, Lost, WorkerIndex, response},
    workers::Recipient,
};

/// The header that names the intended worker.
const INSTANCE_HEADER: &str = "X-Expect-Instance";
/// The time for which a worker that does not answer keeps a connection open.
const SILENCE: time::Duration = time::Duration::from_secs(20);
/// The range of the times after which a late order is carried out, in seconds.
const LATENESS_S: std::ops::Range<u64> = 2..12;
/// The status that stands for a connection that is reset.
const RESET: u16 = 500;

/// Adds the routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource(POLL_PATH).route(web::post().to(poll)))
        .service(web::resource("/{tail}*").route(web::post().to(handle_order)));
}

/// Returns for which worker a call is meant.
fn recipient(request: &web::HttpRequest, index: usize) -> Recipient {
    let name = request.headers().get(INSTANCE_HEADER).and_then(|value| value.to_str().ok());
    Recipient { index, name: name.map(str::to_owned) }
}

/// Returns what is lost between the daemons and a worker.
fn lost(fleet: &Fleet, index: usize) -> Option<Lost> {
    fleet.calls.lock().cut.get(&index).copied()
}

/// Returns the response to a call to a worker, unless that is lost.
async fn reply(fleet: &Fleet, index: usize, reply: (u16, Value)) -> web::HttpResponse {
    if lost(fleet, index).is_some_and(Lost::has_replies) {
        ntex::time::sleep(SILENCE).await;
        return response((RESET, Value::Null));
    }
    response(reply)
}

/// Has a call stay under way for longer than its caller waits.
async fn stay_under_way(fleet: &Fleet, call: LateCall) {
    fleet.late_calls.lock().push(call);
    ntex::time::sleep(SILENCE).await;
}

/// Returns whether calls that a worker has not replied to arrive at its next incarnation.
fn outlive_worker(fleet: &Fleet) -> bool {
    fleet.calls.lock().late_ms > 0
}

/// Has a call wait on its way to the worker, and returns the incarnation that receives it. Calls to a worker
/// that is down get no answer.
async fn arrive(fleet: &Fleet, call: &LateCall) -> Option<worker::Incarnation> {
    let index = call.recipient.index;
    let is_held = fleet.calls.lock().held.contains(&index);
    if is_held {
        stay_under_way(fleet, call.clone()).await;
        return None;
    }
    if lost(fleet, index).is_some_and(Lost::has_requests) {
        ntex::time::sleep(SILENCE).await;
        return None;
    }
    let delay = fleet.calls.lock().delays_ms.get(&index).copied();
    if let Some(delay) = delay {
        ntex::time::sleep(time::Duration::from_millis(delay)).await;
    }
    let incarnation = fleet.workers.lock().incarnation(index);
    if incarnation.is_none() && outlive_worker(fleet) {
        stay_under_way(fleet, call.clone()).await;
    } else if incarnation.is_none() && fleet.calls.lock().dark.contains(&index) {
        ntex::time::sleep(SILENCE).await;
    }
    incarnation
}

/// Returns the time after which an order is carried out, if it is one that gets no answer.
fn lateness(fleet: &Fleet, path: &str) -> Option<time::Duration> {
    let mut calls = fleet.calls.lock();
    if path != "/run-start" || calls.late_one_in == 0 {
        return None;
    }
    calls.starts += 1;
    let range = LATENESS_S.end - LATENESS_S.start;
    let seconds = LATENESS_S.start + calls.starts / calls.late_one_in % range;
    let is_late = calls.starts.is_multiple_of(calls.late_one_in);
    is_late.then(|| time::Duration::from_secs(seconds))
}

async fn handle_order(
    request: web::HttpRequest,
    index: web::types::State<WorkerIndex>,
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    let (recipient, path) = (recipient(&request, index.0), request.path().to_owned());
    if let Some(after) = lateness(&fleet, &path) {
        let (fleet, body) = (fleet.get_ref().clone(), body.into_inner());
        ntex::rt::spawn(async move {
            ntex::time::sleep(after).await;
            if fleet.workers.lock().incarnation(recipient.index).is_some() {
                fleet.workers.lock().order(&recipient, &path, &body);
            }
        });
        ntex::time::sleep(SILENCE).await;
        return response((RESET, Value::Null));
    }
    // A call whose caller has given it up is carried out all the same.
    let (own, body) = (fleet.get_ref().clone(), body.into_inner());
    let carried_out = ntex::rt::spawn(async move {
        let call = LateCall::new(recipient, path, body);
        arrive(&own, &call).await?;
        Some(own.workers.lock().order(&call.recipient, &call.path, &call.body))
    });
    let outcome = carried_out.await.ok().flatten().unwrap_or((RESET, Value::Null));
    reply(&fleet, index.0, outcome).await
}

async fn poll(
    request: web::HttpRequest,
    index: web::types::State<WorkerIndex>,
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    let recipient = recipient(&request, index.0);
    let call = LateCall::new(recipient, request.path().to_owned(), body.into_inner());
    let Some(incarnation) = arrive(&fleet, &call).await else {
        return response((RESET, Value::Null));
    };
    let wait = call.body["WaitMs"].as_u64().unwrap_or(0);
    let deadline = time::Instant::now() + time::Duration::from_millis(wait);
    loop {
        let ended = fleet.ends[index.0].notified();
        let left = deadline.saturating_duration_since(time::Instant::now());
        if fleet.workers.lock().incarnation(index.0) != Some(incarnation) {
            if outlive_worker(&fleet) {
                stay_under_way(&fleet, call).await;
            }
            return response((RESET, Value::Null));
        }
        let outcome = fleet.workers.lock().poll(&call.recipient, &call.body, left.is_zero());
        if let Some(outcome) = outcome {
            return reply(&fleet, index.0, outcome).await;
        }
        // The next reply follows both an end and the time-out.
        let _ = ntex::time::timeout(left, ended).await;
    }
}
