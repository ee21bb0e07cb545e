//! The HTTP servers of the stand-in: one port for the store and one for each worker.

use std::{io, net, sync, time};

use base64::Engine as _;
use ntex::web;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{Store, Workers};
use crate::http;

/// The interval at which each worker renews its row in the store.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// The time after which a lost reply would be sent, longer than callers wait.
const LOST_REPLY: time::Duration = time::Duration::from_secs(10);
/// The interval at which a pending long poll is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// The state shared by all ports.
#[derive(Clone)]
struct Fleet {
    store: sync::Arc<Mutex<Store>>,
    workers: sync::Arc<Mutex<Workers>>,
}

/// The index of the worker that a port belongs to.
#[derive(Clone, Copy)]
struct WorkerIndex(usize);

fn encode(text: &str) -> String {
    base64::engine::general_purpose::STANDARD.encode(text)
}

fn response((status, body): (u16, Value)) -> web::HttpResponse {
    let status = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
    web::HttpResponse::build(status).json(&body)
}

/// Runs a store and `count` workers of `service`, and prints the address of the store.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound or served.
pub async fn run(service: &str, count: usize) -> io::Result<()> {
    let store_socket = http::bind_loopback()?;
    let sockets: Vec<_> = (0..count).map(|_| http::bind_loopback()).collect::<io::Result<_>>()?;
    let addresses: Vec<net::SocketAddr> =
        sockets.iter().map(net::TcpListener::local_addr).collect::<io::Result<_>>()?;
    println!("listen={}", store_socket.local_addr()?);
    let fleet = Fleet {
        store: sync::Arc::default(),
        workers: sync::Arc::new(Mutex::new(Workers::new(addresses))),
    };
    for (n, socket) in sockets.into_iter().enumerate() {
        let fleet = fleet.clone();
        let server = web::HttpServer::new(async move || {
            let app = web::App::new().state(fleet.clone()).state(WorkerIndex(n));
            app.service(web::resource("/hold").route(web::post().to(poll)))
                .service(web::resource("/{tail}*").route(web::post().to(handle_order)))
        });
        let server = server.workers(1).disable_signals().listen(socket)?.run();
        ntex::rt::spawn(server);
    }
    ntex::rt::spawn(send_heartbeats(fleet.clone(), service.to_owned()));
    let server = web::HttpServer::new(async move || {
        web::App::new()
            .state(fleet.clone())
            .service(web::resource("/rows-tx").route(web::post().to(transact)))
            .service(web::resource("/rows-get").route(web::get().to(read_range)))
            .service(web::resource("/rows-feed").route(web::get().to(read_feed)))
            .service(web::resource("/admin/config").route(web::post().to(set_config)))
            .service(web::resource("/admin/down").route(web::post().to(set_down)))
            .service(web::resource("/admin/late").route(web::post().to(set_late_write)))
            .service(web::resource("/admin/slow").route(web::post().to(set_read_time)))
            .service(web::resource("/admin/reads").route(web::get().to(get_read_together)))
            .service(web::resource("/admin/runs").route(web::get().to(get_runs)))
    });
    server.workers(1).disable_signals().listen(store_socket)?.run().await
}

async fn send_heartbeats(fleet: Fleet, service: String) {
    loop {
        for (id, entry) in fleet.workers.lock().entries(&service) {
            fleet.store.lock().put("servers", &id, &encode(&entry));
        }
        ntex::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn unavailable() -> web::HttpResponse {
    response((503, json!({})))
}

async fn transact(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    let delay = fleet.store.lock().take_delay(&body);
    if let Some(delay) = delay {
        let late = fleet.clone();
        ntex::rt::spawn(async move {
            ntex::time::sleep(delay).await;
            late.store.lock().transact(&body);
        });
        // Longer than any caller waits.
        ntex::time::sleep(LOST_REPLY).await;
        return unavailable();
    }
    let mut store = fleet.store.lock();
    if store.is_down {
        return unavailable();
    }
    response(store.transact(&body))
}

/// The query parameters of a read.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Query {
    table: String,
    #[serde(default, rename = "part")]
    partition: String,
    #[serde(default)]
    from: String,
    to: Option<String>,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn read_range(
    fleet: web::types::State<Fleet>,
    query: web::types::Query<Query>,
) -> web::HttpResponse {
    let read_time = {
        let mut store = fleet.store.lock();
        store.begin_read(&query.table);
        store.read_time
    };
    ntex::time::sleep(read_time).await;
    let mut store = fleet.store.lock();
    store.end_read(&query.table);
    if store.is_down {
        return unavailable();
    }
    response((200, store.range(&query.table, &query.partition, &query.from, query.to.as_deref())))
}

async fn read_feed(
    fleet: web::types::State<Fleet>,
    query: web::types::Query<Query>,
) -> web::HttpResponse {
    let deadline = time::Instant::now() + time::Duration::from_millis(query.wait_ms);
    loop {
        let changes = {
            let store = fleet.store.lock();
            if store.is_down {
                return unavailable();
            }
            store.changes(&query.table, query.after)
        };
        let is_empty = changes["rows"].as_array().is_none_or(Vec::is_empty);
        if !is_empty || time::Instant::now() >= deadline {
            return response((200, changes));
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}

async fn set_config(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    fleet.store.lock().put("op", "config", &encode(&body.to_string()));
    web::HttpResponse::Ok().finish()
}

async fn set_down(
    fleet: web::types::State<Fleet>,
    body: web::types::Json<bool>,
) -> web::HttpResponse {
    fleet.store.lock().is_down = *body;
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

async fn get_read_together(fleet: web::types::State<Fleet>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&fleet.store.lock().read_together)
}

async fn get_runs(fleet: web::types::State<Fleet>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&fleet.workers.lock().runs)
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
        let is_timed_out = time::Instant::now() >= deadline;
        if let Some(reply) = fleet.workers.lock().poll(index.0, &body, is_timed_out) {
            return response(reply);
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}
