//! The platform: its table service, object store and list of VMs, over HTTP.

use std::{collections, io, net, sync};

use gl_model::{id, time, txn, vm};
use ntex::{util, web};
use parking_lot::Mutex;

use crate::{http, store};

/// Faults that are switched on.
#[gl_derive::domain]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// The table service and the object store answer 503.
    pub outage: bool,
    /// Each answer of the store takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Every n-th transaction loses its answer after it took effect; zero for none.
    pub lose: u64,
    /// The list of VMs is this old, in milliseconds.
    pub lag_ms: u64,
    /// Everything stands still for this long, in milliseconds, once.
    pub pause_ms: u64,
    /// The process ends at once.
    pub crash: bool,
}

/// What the list says of one VM.
#[gl_derive::domain]
pub struct Listing {
    /// The VM.
    pub vm: id::VmId,
    /// What it says.
    pub liveness: vm::Liveness,
}

/// How much the store was used.
#[gl_derive::domain]
pub struct Usage {
    /// Transactions and stored objects.
    pub writes: u64,
    /// Reads and scans.
    pub reads: u64,
}

struct Past {
    at: time::Timestamp,
    list: vm::List,
}

#[derive(Default)]
struct State {
    store: store::Store,
    faults: Faults,
    vms: collections::BTreeMap<id::VmId, vm::Vm>,
    past: collections::VecDeque<Past>,
    version: u64,
    transactions: u64,
}

impl State {
    fn note_list(&mut self) {
        self.version += 1;
        let list = vm::List { version: self.version, vms: self.vms.values().cloned().collect() };
        self.past.push_back(Past { at: http::now(), list });
    }

    fn list(&self) -> vm::List {
        let seen = http::now() - time::Span::millis(self.faults.lag_ms);
        let past = self.past.iter().rev().find(|past| past.at <= seen);
        past.map(|past| past.list.clone()).unwrap_or_default()
    }
}

type Shared = sync::Arc<Mutex<State>>;

#[derive(serde::Deserialize)]
struct ByKey {
    key: String,
}

#[derive(serde::Deserialize)]
struct ByPrefix {
    prefix: String,
    after: String,
    limit: usize,
}

/// Waits as long as the store is slow; gives an answer if it is down.
async fn hindered(state: &Shared) -> Option<web::HttpResponse> {
    let faults = state.lock().faults.clone();
    if faults.slow_ms > 0 {
        ntex::time::sleep(std::time::Duration::from_millis(faults.slow_ms)).await;
    }
    faults.outage.then(|| http::refuse(503, "the store is down"))
}

fn json<T: serde::Serialize>(value: &T) -> web::HttpResponse {
    web::HttpResponse::Ok().json(value)
}

async fn transact(state: web::types::State<Shared>, body: util::Bytes) -> web::HttpResponse {
    if let Some(answer) = hindered(&state).await {
        return answer;
    }
    let Ok(txn) = serde_json::from_slice::<txn::Txn>(&body) else {
        return http::refuse(400, "no transaction");
    };
    let mut state = state.lock();
    let outcome = state.store.transact(&txn);
    state.transactions += 1;
    let is_lost = state.faults.lose > 0 && state.transactions.is_multiple_of(state.faults.lose);
    if is_lost {
        let body =
            http::Truncated { part: util::Bytes::from_static(b"{"), announced: http::NEVER_SENT };
        return web::HttpResponse::Ok().message_body(ntex::http::body::Body::from_message(body));
    }
    json(&outcome)
}

async fn row(state: web::types::State<Shared>, by: web::types::Query<ByKey>) -> web::HttpResponse {
    match hindered(&state).await {
        Some(answer) => answer,
        None => json(&state.lock().store.read(&by.key)),
    }
}

async fn scan(
    state: web::types::State<Shared>,
    by: web::types::Query<ByPrefix>,
) -> web::HttpResponse {
    match hindered(&state).await {
        Some(answer) => answer,
        None => json(&state.lock().store.scan(&by.prefix, &by.after, by.limit)),
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Object {
    body: String,
}

async fn put(
    state: web::types::State<Shared>,
    by: web::types::Query<ByKey>,
    object: web::types::Json<Object>,
) -> web::HttpResponse {
    if let Some(answer) = hindered(&state).await {
        return answer;
    }
    state.lock().store.put(&by.key, object.into_inner().body);
    json(&())
}

async fn get(state: web::types::State<Shared>, by: web::types::Query<ByKey>) -> web::HttpResponse {
    match hindered(&state).await {
        Some(answer) => answer,
        None => json(&state.lock().store.get(&by.key).map(|body| Object { body })),
    }
}

async fn vms(state: web::types::State<Shared>) -> web::HttpResponse {
    json(&state.lock().list())
}

async fn register(
    state: web::types::State<Shared>,
    vm: web::types::Json<vm::Vm>,
) -> web::HttpResponse {
    let mut state = state.lock();
    state.vms.insert(vm.id.clone(), vm.into_inner());
    state.note_list();
    json(&())
}

async fn listing(
    state: web::types::State<Shared>,
    listing: web::types::Json<Listing>,
) -> web::HttpResponse {
    let mut state = state.lock();
    match listing.liveness {
        vm::Liveness::Gone => {
            state.vms.remove(&listing.vm);
        }
        liveness => {
            if let Some(vm) = state.vms.get_mut(&listing.vm) {
                vm.liveness = liveness;
            }
        }
    }
    state.note_list();
    json(&())
}

async fn fault(
    state: web::types::State<Shared>,
    faults: web::types::Json<Faults>,
) -> web::HttpResponse {
    http::pause_or_crash(faults.pause_ms, faults.crash, &state);
    state.lock().faults = faults.into_inner();
    json(&())
}

async fn usage(state: web::types::State<Shared>) -> web::HttpResponse {
    let state = state.lock();
    json(&Usage { writes: state.store.writes, reads: state.store.reads })
}

/// Serves the platform on `socket` until the process ends.
///
/// # Errors
///
/// If the socket can't be used.
pub async fn run(socket: net::TcpListener) -> io::Result<()> {
    let state = Shared::default();
    web::HttpServer::new(async move || {
        web::App::new()
            .state(state.clone())
            .state(web::types::JsonConfig::default().limit(64 << 20))
            .state(web::types::PayloadConfig::new(64 << 20))
            .service((
                web::resource("/v1/table/transact").route(web::post().to(transact)),
                web::resource("/v1/table/row").route(web::get().to(row)),
                web::resource("/v1/table/scan").route(web::get().to(scan)),
                web::resource("/v1/object").route(web::put().to(put)).route(web::get().to(get)),
                web::resource("/v1/vms").route(web::get().to(vms)),
                web::resource("/admin/vm").route(web::post().to(register)),
                web::resource("/admin/listing").route(web::post().to(listing)),
                web::resource("/admin/fault").route(web::post().to(fault)),
                web::resource("/admin/usage").route(web::get().to(usage)),
            ))
    })
    .workers(1)
    .listen(socket)?
    .run()
    .await
}
