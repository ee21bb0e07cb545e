//! The interface for operators and tests: settings, faults and records.

use std::{net, time};

use ntex::web;
use serde_json::Value;

use super::{
    late_calls, network,
    server::{Calls, Fleet, encode},
    workers,
};

/// A daemon that the other failure domains reach through the network.
#[gl_derive::domain]
pub struct Peer {
    /// The index of the daemon's failure domain.
    pub domain: usize,
    /// The address at which it serves other daemons.
    pub mesh: net::SocketAddr,
}

/// Workers that start again.
#[gl_derive::domain]
pub struct Restart {
    /// Their indices.
    pub workers: Vec<usize>,
    /// How they start.
    pub start: workers::Start,
}

/// Adds the routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/admin/config").route(web::post().to(set_config)))
        .service(web::resource("/admin/down").route(web::post().to(set_down)))
        .service(web::resource("/admin/refused").route(web::post().to(set_refused)))
        .service(web::resource("/admin/late").route(web::post().to(set_late_write)))
        .service(web::resource("/admin/slow").route(web::post().to(set_read_time)))
        .service(web::resource("/admin/slow-writes").route(web::post().to(set_write_time)))
        .service(web::resource("/admin/peers").route(web::post().to(add_peer)))
        .service(web::resource("/admin/cuts").route(web::post().to(set_cuts)))
        .service(web::resource("/admin/calls").route(web::post().to(set_calls)))
        .service(web::resource("/admin/deliver").route(web::post().to(deliver)))
        .service(web::resource("/admin/late-calls").route(web::get().to(get_late_calls)))
        .service(web::resource("/admin/crash").route(web::post().to(crash)))
        .service(web::resource("/admin/start").route(web::post().to(start_again)))
        .service(web::resource("/admin/reads").route(web::get().to(get_read_together)))
        .service(web::resource("/admin/runs").route(web::get().to(get_runs)));
}

async fn set_config(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    fleet.store.lock().put("op", "config", &encode(body.to_string().as_bytes()));
    web::HttpResponse::Ok().finish()
}

async fn set_down(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<bool>,
) -> web::HttpResponse {
    fleet.store.lock().is_down = *body;
    web::HttpResponse::Ok().finish()
}

/// Sets the failure domains whose requests the store refuses.
async fn set_refused(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Vec<usize>>,
) -> web::HttpResponse {
    *fleet.refused.lock() = body.iter().copied().collect();
    web::HttpResponse::Ok().finish()
}

/// Sets the time after which the next write of a job is carried out, in milliseconds.
async fn set_late_write(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<u64>,
) -> web::HttpResponse {
    fleet.store.lock().late_write = Some(time::Duration::from_millis(*body));
    web::HttpResponse::Ok().finish()
}

/// Sets the time that a read of a range takes, in milliseconds.
async fn set_read_time(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<u64>,
) -> web::HttpResponse {
    fleet.store.lock().read_time = time::Duration::from_millis(*body);
    web::HttpResponse::Ok().finish()
}

/// Sets the time that a transaction takes, in milliseconds.
async fn set_write_time(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<u64>,
) -> web::HttpResponse {
    fleet.store.lock().write_time = time::Duration::from_millis(*body);
    web::HttpResponse::Ok().finish()
}

/// Has the other failure domains reach a daemon through the network.
async fn add_peer(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Peer>,
) -> web::HttpResponse {
    match fleet.network.connect_domains(body.domain, body.mesh) {
        Ok(()) => web::HttpResponse::Ok().finish(),
        Err(error) => web::HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// Replaces the cuts of the network.
async fn set_cuts(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Vec<network::Cut>>,
) -> web::HttpResponse {
    fleet.network.cut(&body);
    web::HttpResponse::Ok().finish()
}

/// Sets what befalls calls to workers, and these themselves.
async fn set_calls(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Calls>,
) -> web::HttpResponse {
    fleet.workers.lock().stall(&body.stalls_ms);
    let mut calls = fleet.calls.lock();
    *calls = Calls { starts: calls.starts, ..body.into_inner() };
    web::HttpResponse::Ok().finish()
}

/// Has calls to a worker arrive that are under way.
async fn deliver(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<late_calls::Delivery>,
) -> web::HttpResponse {
    late_calls::deliver(&fleet, &body);
    fleet.ends[body.worker].notify_waiters();
    web::HttpResponse::Ok().finish()
}

/// Has workers crash.
async fn crash(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Vec<usize>>,
) -> web::HttpResponse {
    for index in body.iter() {
        fleet.workers.lock().crash(*index);
        fleet.ends[*index].notify_waiters();
    }
    web::HttpResponse::Ok().finish()
}

/// Starts workers again that have crashed.
async fn start_again(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Restart>,
) -> web::HttpResponse {
    for index in &body.workers {
        fleet.workers.lock().start_again(*index, body.start);
        late_calls::deliver_after_start(&fleet, *index);
    }
    web::HttpResponse::Ok().finish()
}

async fn get_read_together(fleet: web::types::State<Fleet>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&fleet.store.lock().read_together)
}

async fn get_late_calls(fleet: web::types::State<Fleet>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&*fleet.late_calls.lock())
}

async fn get_runs(fleet: web::types::State<Fleet>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&fleet.workers.lock().recorder.runs)
}
