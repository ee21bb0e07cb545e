//! The burn report of all daemons.

use gl_meter::burn;
use gl_model::{id, time};
use ntex::web;

use super::{Desk, access};
use crate::{clock, node};

/// How long a daemon may be silent before it is named as missing.
const MISSING: time::Span = time::Span::seconds(10);

/// The report, merged from the counts of all daemons.
pub async fn burn(request: web::HttpRequest, desk: web::types::State<Desk>) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&desk, &request) {
        return refusal;
    }
    web::HttpResponse::Ok().json(&report(&desk.node, clock::now()))
}

fn report(node: &node::Node, now: time::Timestamp) -> burn::Report {
    let promises: Vec<burn::Objective> = node
        .router
        .lock()
        .objectives()
        .into_iter()
        .map(|p| burn::Objective { service: p.service.clone(), share: p.objective })
        .collect();
    let alive: Vec<id::DaemonId> =
        node.members.lock().alive(now).iter().map(|row| row.id.clone()).collect();
    let board = node.board.lock();
    let is_missing = |daemon: &id::DaemonId| {
        *daemon != node.me.id
            && board.last_update(daemon).is_none_or(|heard| now.since(heard) > MISSING)
    };
    burn::Report {
        at: now,
        services: promises.iter().map(|o| burn::service(&board, o, now)).collect(),
        missing: alive.into_iter().filter(is_missing).collect(),
    }
}
