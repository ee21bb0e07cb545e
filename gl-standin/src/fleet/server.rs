//! The HTTP servers of the stand-in: a port of the store for operators, one for each failure domain,
//! and one for each worker.

use std::{collections, io, net, sync, time};

use ntex::{http as protocol, server, web};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{LateCall, Store, Workers, admin, network::Network, store_api, worker_api};
use crate::http;

/// The interval at which each worker renews its row in the store.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// The time after which the store removes the row of a worker that does not renew it.
const ENTRY_VALIDITY: time::Duration = time::Duration::from_millis(900);
/// The interval at which the runs of the workers are advanced.
const ADVANCE_INTERVAL: time::Duration = time::Duration::from_millis(4);
/// The longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The state shared by all ports.
#[derive(Clone)]
pub struct Fleet {
    pub store: sync::Arc<Mutex<Store>>,
    pub workers: sync::Arc<Mutex<Workers>>,
    /// Notified when a run has ended, by worker.
    pub ends: sync::Arc<[Notify]>,
    pub network: sync::Arc<Network>,
    /// The failure domains whose requests the store refuses.
    pub refused: sync::Arc<Mutex<collections::BTreeSet<usize>>>,
    /// What befalls calls to workers.
    pub calls: sync::Arc<Mutex<Calls>>,
    /// The calls that were or are under way for longer than their callers wait.
    pub late_calls: sync::Arc<Mutex<Vec<LateCall>>>,
}

/// What is lost between the daemons and a worker.
#[gl_derive::tag]
pub enum Lost {
    /// Requests.
    Requests,
    /// Replies. The requests are carried out.
    Replies,
    /// Both.
    Both,
}

impl Lost {
    /// Returns whether the requests are lost.
    pub const fn has_requests(self) -> bool {
        matches!(self, Self::Requests | Self::Both)
    }

    /// Returns whether the replies are lost.
    pub const fn has_replies(self) -> bool {
        matches!(self, Self::Replies | Self::Both)
    }

    /// Returns what is lost if this and `other` are.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        if self == other { self } else { Self::Both }
    }
}

/// What befalls calls to workers, and these themselves.
#[gl_derive::domain]
#[derive(Default)]
pub struct Calls {
    /// One in so many start orders gets no answer, and is carried out seconds later; none if zero.
    pub late_one_in: u64,
    /// The time for which calls wait before the workers see them, in milliseconds, by worker.
    pub delays_ms: collections::BTreeMap<usize, u64>,
    /// The workers that the daemons do not reach, and what is lost. What is lost is not delivered later.
    pub cut: collections::BTreeMap<usize, Lost>,
    /// The time for which workers end runs late, in milliseconds, by worker.
    pub stalls_ms: collections::BTreeMap<usize, u64>,
    /// The workers that do not answer at all while they are down. Others reset the connection.
    pub dark: collections::BTreeSet<usize>,
    /// The workers to which all calls stay under way until they are delivered.
    #[serde(default)]
    pub held: collections::BTreeSet<usize>,
    /// The longest time from the start of a worker until calls arrive that were under way to its last
    /// incarnation, in milliseconds. None arrive if zero.
    #[serde(default)]
    pub late_ms: u64,
    /// The seed of these times.
    #[serde(default)]
    pub seed: u64,
    /// The number of start orders so far.
    #[serde(default)]
    pub starts: u64,
}

/// The failure domain whose callers use a port of the store; `None` for operators.
#[derive(Clone, Copy)]
pub struct Caller(pub Option<usize>);

/// The index of the worker that a port belongs to.
#[derive(Clone, Copy)]
pub struct WorkerIndex(pub usize);

pub fn encode(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

pub fn response((status, body): (u16, Value)) -> web::HttpResponse {
    let status = protocol::StatusCode::from_u16(status).unwrap_or_default();
    web::HttpResponse::build(status).json(&body)
}

impl Fleet {
    /// Returns whether the store serves a caller.
    pub fn is_available(&self, caller: Caller) -> bool {
        let is_refused = caller.0.is_some_and(|domain| self.refused.lock().contains(&domain));
        !is_refused && !self.store.lock().is_down
    }
}

/// The number of workers and failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The workers, which belong to the failure domains in turn.
    pub workers: usize,
    /// The failure domains.
    pub domains: usize,
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: usize) -> String {
    format!("z{domain}")
}

/// Runs a store and workers of `service`, and prints the addresses of the store: that for operators
/// first, then those at which the failure domains reach it.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound or served.
pub async fn run(service: &str, size: Size) -> io::Result<()> {
    let bind = |count: usize| (0..count).map(|_| http::bind_loopback()).collect();
    let (stores, workers): (io::Result<Vec<_>>, io::Result<Vec<_>>) =
        (bind(size.domains + 1), bind(size.workers));
    let (stores, workers) = (stores?, workers?);
    let addresses = |sockets: &[net::TcpListener]| {
        sockets.iter().map(net::TcpListener::local_addr).collect::<io::Result<Vec<_>>>()
    };
    let network = Network::start(size.domains)?;
    let mut listening = addresses(&stores)?;
    for (domain, address) in listening.iter_mut().skip(1).enumerate() {
        *address = network.connect_store(domain, *address)?;
    }
    let worker_addresses = addresses(&workers)?;
    for (n, address) in worker_addresses.iter().enumerate() {
        network.connect_domains(n % size.domains, *address)?;
    }
    let domains: Vec<_> = (0..size.workers).map(|n| domain_name(n % size.domains)).collect();
    let fleet = Fleet {
        store: sync::Arc::default(),
        workers: sync::Arc::new(Mutex::new(Workers::new(&domains))),
        ends: (0..size.workers).map(|_| Notify::new()).collect(),
        network: sync::Arc::new(network),
        refused: sync::Arc::default(),
        calls: sync::Arc::default(),
        late_calls: sync::Arc::default(),
    };
    ntex::rt::spawn(serve_workers(&fleet, workers)?);
    ntex::rt::spawn(advance_workers(fleet.clone()));
    let service = service.to_owned();
    ntex::rt::spawn(send_heartbeats(fleet.clone(), service, worker_addresses, size.domains));
    let server = serve_stores(&fleet, stores)?;
    let listening: Vec<_> = listening.iter().map(net::SocketAddr::to_string).collect();
    println!("listen={}", listening.join(","));
    server.await
}

fn serve_stores(fleet: &Fleet, sockets: Vec<net::TcpListener>) -> io::Result<server::Server> {
    let mut builder = server::build().workers(1).disable_signals();
    for (n, socket) in sockets.into_iter().enumerate() {
        let (fleet, caller) = (fleet.clone(), Caller(n.checked_sub(1)));
        builder = builder.listen(format!("store-{n}"), socket, async move |_| {
            let app = web::App::new().state(fleet.clone()).state(caller);
            let app = app.state(web::types::JsonConfig::default().limit(MAX_BODY_BYTES));
            let app = app.configure(store_api::configure);
            protocol::HttpService::new(if caller.0.is_none() {
                app.configure(admin::configure)
            } else {
                app
            })
        })?;
    }
    Ok(builder.run())
}

fn serve_workers(fleet: &Fleet, sockets: Vec<net::TcpListener>) -> io::Result<server::Server> {
    let mut builder = server::build().workers(1).disable_signals();
    for (n, socket) in sockets.into_iter().enumerate() {
        let fleet = fleet.clone();
        builder = builder.listen(format!("worker-{n}"), socket, async move |_| {
            let app = web::App::new().state(fleet.clone()).state(WorkerIndex(n));
            protocol::HttpService::new(app.configure(worker_api::configure))
        })?;
    }
    Ok(builder.run())
}

async fn advance_workers(fleet: Fleet) {
    loop {
        let ended = fleet.workers.lock().advance_all();
        for index in ended {
            fleet.ends[index].notify_waiters();
        }
        ntex::time::sleep(ADVANCE_INTERVAL).await;
    }
}

/// Has the workers renew their rows. Those of a failure domain that the store does not serve are
/// removed after some time, but not while it serves none.
async fn send_heartbeats(
    fleet: Fleet,
    service: String,
    addresses: Vec<net::SocketAddr>,
    domains: usize,
) {
    let mut renewed_at = vec![time::Instant::now(); domains];
    // The last entry of each worker, and when it was up.
    let mut last: Vec<Option<(String, time::Instant)>> = vec![None; addresses.len()];
    loop {
        let now = time::Instant::now();
        let is_down = fleet.store.lock().is_down;
        for (domain, renewed_at) in renewed_at.iter_mut().enumerate() {
            let is_refused = fleet.refused.lock().contains(&domain);
            if is_down || (fleet.network.reaches_store(domain) && !is_refused) {
                *renewed_at = now;
            }
        }
        let entries = fleet.workers.lock().entries(&service);
        for (n, (entry, address)) in entries.into_iter().zip(&addresses).enumerate() {
            let known = last[n].take();
            let is_renamed = |id: &String| entry.as_ref().is_some_and(|(new, _)| new != id);
            let is_gone = |at: time::Instant| now.duration_since(at) >= ENTRY_VALIDITY;
            match known {
                Some((id, at)) if is_gone(at) || is_renamed(&id) => {
                    fleet.store.lock().update("servers", &id, None);
                }
                known => last[n] = known,
            }
            let Some((id, mut entry)) = entry else { continue };
            entry["Address"] = json!(address.to_string());
            let is_listed = now.duration_since(renewed_at[n % domains]) < ENTRY_VALIDITY;
            let value = is_listed.then(|| encode(entry.to_string().as_bytes()));
            fleet.store.lock().update("servers", &id, value.as_deref());
            last[n] = Some((id, now));
        }
        ntex::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
