//! The stand-in of the platform: its table service, object store and list of VMs, over HTTP.

use std::{collections, io, net, sync};

use gl_model::{id, time, txn, vm};
use ntex::{util, web};
use parking_lot::Mutex;

use crate::{http, store};

/// Injected faults.
#[gl_derive::domain]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// The table service and the object store respond with status 503.
    pub outage: bool,
    /// The delay of each response of the store, in milliseconds.
    #[serde(rename = "slow-ms")]
    pub delay_ms: u64,
    /// The response to every n-th transaction is lost after the transaction was executed; zero
    /// for none.
    #[serde(rename = "lose")]
    pub lose_every: u64,
    /// The age of the list of VMs that is served, in milliseconds.
    pub lag_ms: u64,
    /// A single pause of all processing, in milliseconds.
    pub pause_ms: u64,
    /// The process exits immediately.
    pub crash: bool,
}

/// A change of the liveness of one VM in the list.
#[gl_derive::domain]
pub struct LivenessUpdate {
    /// The VM.
    pub vm: id::VmId,
    /// Its new liveness; [`vm::Liveness::Gone`] removes it from the list.
    pub liveness: vm::Liveness,
}

/// The usage of the store.
#[gl_derive::domain]
pub struct Usage {
    /// The number of transactions and stored objects.
    pub writes: u64,
    /// The number of reads and scans.
    pub reads: u64,
}

/// The list of VMs as it was at a point in time, from which an outdated list is served.
struct ListSnapshot {
    taken_at: time::Timestamp,
    list: vm::List,
}

#[derive(Default)]
struct State {
    store: store::Store,
    faults: Faults,
    vms: collections::BTreeMap<id::VmId, vm::Vm>,
    snapshots: collections::VecDeque<ListSnapshot>,
    version: u64,
    txn_count: u64,
}

impl State {
    fn record_snapshot(&mut self) {
        self.version += 1;
        let list = vm::List { version: self.version, vms: self.vms.values().cloned().collect() };
        self.snapshots.push_back(ListSnapshot { taken_at: http::now(), list });
    }

    fn list(&self) -> vm::List {
        let visible_until = http::now() - time::Span::millis(self.faults.lag_ms);
        let snapshot =
            self.snapshots.iter().rev().find(|snapshot| snapshot.taken_at <= visible_until);
        snapshot.map(|snapshot| snapshot.list.clone()).unwrap_or_default()
    }
}

type Shared = sync::Arc<Mutex<State>>;

#[derive(serde::Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(serde::Deserialize)]
struct PrefixQuery {
    prefix: String,
    after: String,
    limit: usize,
}

/// Waits for the injected delay; returns an error response during an injected outage.
async fn apply_store_faults(state: &Shared) -> Option<web::HttpResponse> {
    let faults = state.lock().faults.clone();
    if faults.delay_ms > 0 {
        ntex::time::sleep(std::time::Duration::from_millis(faults.delay_ms)).await;
    }
    faults.outage.then(|| http::error_response(503, "the store is unavailable"))
}

fn json<T: serde::Serialize>(value: &T) -> web::HttpResponse {
    web::HttpResponse::Ok().json(value)
}

async fn transact(state: web::types::State<Shared>, body: util::Bytes) -> web::HttpResponse {
    if let Some(response) = apply_store_faults(&state).await {
        return response;
    }
    let Ok(txn) = serde_json::from_slice::<txn::Txn>(&body) else {
        return http::error_response(400, "no transaction");
    };
    let mut state = state.lock();
    let outcome = state.store.transact(&txn);
    state.txn_count += 1;
    let is_lost =
        state.faults.lose_every > 0 && state.txn_count.is_multiple_of(state.faults.lose_every);
    if is_lost {
        let body = http::TruncatedBody {
            sent: util::Bytes::from_static(b"{"),
            content_length: http::MISSING_BYTES,
        };
        return web::HttpResponse::Ok().message_body(ntex::http::body::Body::from_message(body));
    }
    json(&outcome)
}

async fn read_row(
    state: web::types::State<Shared>,
    query: web::types::Query<KeyQuery>,
) -> web::HttpResponse {
    match apply_store_faults(&state).await {
        Some(response) => response,
        None => json(&state.lock().store.read(&query.key)),
    }
}

async fn scan_rows(
    state: web::types::State<Shared>,
    query: web::types::Query<PrefixQuery>,
) -> web::HttpResponse {
    match apply_store_faults(&state).await {
        Some(response) => response,
        None => json(&state.lock().store.scan(&query.prefix, &query.after, query.limit)),
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
struct ObjectBody {
    body: String,
}

async fn put_object(
    state: web::types::State<Shared>,
    query: web::types::Query<KeyQuery>,
    object: web::types::Json<ObjectBody>,
) -> web::HttpResponse {
    if let Some(response) = apply_store_faults(&state).await {
        return response;
    }
    state.lock().store.put(&query.key, object.into_inner().body);
    json(&())
}

async fn get_object(
    state: web::types::State<Shared>,
    query: web::types::Query<KeyQuery>,
) -> web::HttpResponse {
    match apply_store_faults(&state).await {
        Some(response) => response,
        None => json(&state.lock().store.get(&query.key).map(|body| ObjectBody { body })),
    }
}

async fn list_vms(state: web::types::State<Shared>) -> web::HttpResponse {
    json(&state.lock().list())
}

async fn register_vm(
    state: web::types::State<Shared>,
    vm: web::types::Json<vm::Vm>,
) -> web::HttpResponse {
    let mut state = state.lock();
    state.vms.insert(vm.id.clone(), vm.into_inner());
    state.record_snapshot();
    json(&())
}

async fn set_liveness(
    state: web::types::State<Shared>,
    update: web::types::Json<LivenessUpdate>,
) -> web::HttpResponse {
    let mut state = state.lock();
    match update.liveness {
        vm::Liveness::Gone => {
            state.vms.remove(&update.vm);
        }
        liveness => {
            if let Some(vm) = state.vms.get_mut(&update.vm) {
                vm.liveness = liveness;
            }
        }
    }
    state.record_snapshot();
    json(&())
}

async fn set_faults(
    state: web::types::State<Shared>,
    faults: web::types::Json<Faults>,
) -> web::HttpResponse {
    http::pause_or_crash(faults.pause_ms, faults.crash, &state);
    state.lock().faults = faults.into_inner();
    json(&())
}

async fn get_usage(state: web::types::State<Shared>) -> web::HttpResponse {
    let state = state.lock();
    json(&Usage { writes: state.store.writes, reads: state.store.reads })
}

/// Serves the platform on `socket` until the process ends.
///
/// # Errors
///
/// Returns an error if the socket cannot be served.
pub async fn run(socket: net::TcpListener) -> io::Result<()> {
    let state = Shared::default();
    web::HttpServer::new(async move || {
        web::App::new()
            .state(state.clone())
            .state(web::types::JsonConfig::default().limit(64 << 20))
            .state(web::types::PayloadConfig::new(64 << 20))
            .service((
                web::resource("/v1/table/transact").route(web::post().to(transact)),
                web::resource("/v1/table/row").route(web::get().to(read_row)),
                web::resource("/v1/table/scan").route(web::get().to(scan_rows)),
                web::resource("/v1/object")
                    .route(web::put().to(put_object))
                    .route(web::get().to(get_object)),
                web::resource("/v1/vms").route(web::get().to(list_vms)),
                web::resource("/admin/vm").route(web::post().to(register_vm)),
                web::resource("/admin/listing").route(web::post().to(set_liveness)),
                web::resource("/admin/fault").route(web::post().to(set_faults)),
                web::resource("/admin/usage").route(web::get().to(get_usage)),
            ))
    })
    .workers(1)
    .listen(socket)?
    .run()
    .await
}
