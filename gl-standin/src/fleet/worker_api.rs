//! The workers' interface for the owner.

use std::time;

use ntex::web;
use serde_json::Value;

use super::server::{Fleet, WorkerIndex, response};

/// Adds the routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/hold").route(web::post().to(poll)))
        .service(web::resource("/{tail}*").route(web::post().to(handle_order)));
}

async fn handle_order(
    request: web::HttpRequest,
    index: web::types::State<WorkerIndex>,
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    response(fleet.workers.lock().order(index.0, request.path(), &body))
}

async fn poll(
    index: web::types::State<WorkerIndex>,
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    let wait = body["WaitMs"].as_u64().unwrap_or(0);
    let deadline = time::Instant::now() + time::Duration::from_millis(wait);
    loop {
        let ended = fleet.ends[index.0].notified();
        let left = deadline.saturating_duration_since(time::Instant::now());
        let reply = fleet.workers.lock().poll(index.0, &body, left.is_zero());
        if let Some(reply) = reply {
            return response(reply);
        }
        // The next reply follows both an end and the time-out.
        let _ = ntex::time::timeout(left, ended).await;
    }
}
