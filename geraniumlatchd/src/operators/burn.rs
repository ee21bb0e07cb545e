//! The burn report of all daemons.

use gl_meter::burn;
use gl_model::{id, time};
use ntex::web;

use super::{Context, access};
use crate::{clock, node};

/// The time without call counts after which a daemon is listed as missing.
const MISSING_AFTER: time::Span = time::Span::seconds(10);

/// Returns the report, merged from the call counts of all daemons.
pub async fn burn(
    request: web::HttpRequest,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&context, &request) {
        return refusal;
    }
    web::HttpResponse::Ok().json(&report(&context.node, clock::now()))
}

fn report(node: &node::Node, now: time::Timestamp) -> burn::Report {
    let objectives: Vec<burn::Objective> = node
        .router
        .lock()
        .objectives()
        .into_iter()
        .map(|o| burn::Objective { service: o.service.clone(), share: o.objective })
        .collect();
    let alive: Vec<id::DaemonId> =
        node.members.lock().alive(now).iter().map(|row| row.id.clone()).collect();
    let totals = node.totals.lock();
    let is_missing = |daemon: &id::DaemonId| {
        *daemon != node.me.id
            && totals
                .last_update(daemon)
                .is_none_or(|last_received| now.since(last_received) > MISSING_AFTER)
    };
    burn::Report {
        at: now,
        services: objectives.iter().map(|o| burn::service(&totals, o, now)).collect(),
        missing: alive.into_iter().filter(is_missing).collect(),
    }
}
