//! The store's interface for daemons.

use std::time;

use ntex::web;
use serde_json::{Value, json};

use super::{
    server::{Caller, Fleet, response},
    view,
};

/// The time after which a lost reply would be sent, longer than callers wait.
const LOST_REPLY: time::Duration = time::Duration::from_secs(10);
/// The interval at which a pending long poll is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// Adds the routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/rows-tx").route(web::post().to(transact)))
        .service(web::resource("/rows-get").route(web::get().to(read_range)))
        .service(web::resource("/rows-feed").route(web::get().to(read_feed)));
}

fn unavailable() -> web::HttpResponse {
    response((503, json!({})))
}

/// Responds with rows as the caller sees them.
fn rows_response(
    fleet: &Fleet,
    caller: Caller,
    (status, mut body): (u16, Value),
) -> web::HttpResponse {
    if let Some(domain) = caller.0 {
        view::to_domain(&fleet.network, domain, &mut body);
    }
    response((status, body))
}

async fn transact(
    fleet: web::types::State<Fleet>,
    caller: web::types::State<Caller>,
    body: web::types::Json<Value>,
) -> web::HttpResponse {
    let mut body = body.into_inner();
    view::to_store(&fleet.network, &mut body);
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
    let write_time = fleet.store.lock().write_time;
    if !write_time.is_zero() {
        ntex::time::sleep(write_time).await;
    }
    if !fleet.is_available(*caller) {
        return unavailable();
    }
    let outcome = fleet.store.lock().transact(&body);
    rows_response(&fleet, *caller, outcome)
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
    caller: web::types::State<Caller>,
    query: web::types::Query<Query>,
) -> web::HttpResponse {
    let read_time = {
        let mut store = fleet.store.lock();
        store.begin_read(&query.table);
        store.read_time
    };
    ntex::time::sleep(read_time).await;
    fleet.store.lock().end_read(&query.table);
    if !fleet.is_available(*caller) {
        return unavailable();
    }
    let to = query.to.as_deref();
    let rows = fleet.store.lock().range(&query.table, &query.partition, &query.from, to);
    rows_response(&fleet, *caller, (200, rows))
}

async fn read_feed(
    fleet: web::types::State<Fleet>,
    caller: web::types::State<Caller>,
    query: web::types::Query<Query>,
) -> web::HttpResponse {
    let deadline = time::Instant::now() + time::Duration::from_millis(query.wait_ms);
    loop {
        if !fleet.is_available(*caller) {
            return unavailable();
        }
        let changes = fleet.store.lock().changes(&query.table, query.after);
        let is_empty = changes["rows"].as_array().is_none_or(Vec::is_empty);
        if !is_empty || time::Instant::now() >= deadline {
            return rows_response(&fleet, *caller, (200, changes));
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}
