//! Starts a daemon and its listening sockets.

use std::{cell, net, rc, sync};

use gl_fleet::{ingress, settings};
use gl_peer::rpc;
use ntex::{http, web};

use super::{accept, claim, desk, event, lines, link, node, routing, stop};
use crate::error;

/// How long an idle connection of a client stays open.
const KEEP_ALIVE: ntex::time::Seconds = ntex::time::Seconds(30);
/// How long a client may take for the head of a request.
const HEAD_LIMIT: ntex::time::Seconds = ntex::time::Seconds(5);
/// Connections of clients at once; half of the descriptors that a small VM gives.
const CONNECTIONS: usize = 1_800;

thread_local! {
    static INGRESS: cell::RefCell<Option<ingress::Ingress>> = const { cell::RefCell::new(None) };
}

/// The sockets that a daemon listens on.
struct Sockets {
    clients: net::TcpListener,
    ready: net::TcpListener,
    metrics: net::TcpListener,
    mesh: net::TcpListener,
}

fn bind(field: &'static str, address: net::SocketAddr) -> Result<net::TcpListener, error::Error> {
    let refuse = |e: std::io::Error| error::Error::Listen { field, address, detail: e.to_string() };
    net::TcpListener::bind(address).map_err(refuse)
}

fn setup<E: std::fmt::Display>(what: &'static str) -> impl FnOnce(E) -> error::Error {
    move |e| error::Error::Setup { what, detail: e.to_string() }
}

/// Runs a daemon on the platform until it is asked to stop.
///
/// # Errors
///
/// If its sockets or its log can't be set up.
pub fn run(settings: settings::Settings) -> Result<(), error::Error> {
    let log = lines::start(&settings.daemon).map_err(setup("the log"))?;
    let sockets = Sockets {
        clients: bind("the clients' address", settings.clients)?,
        ready: bind("the balancer's address", settings.ready)?,
        metrics: bind("the metrics' address", settings.metrics)?,
        mesh: bind("the mesh's address", settings.mesh)?,
    };
    event::emit(&event::Event::Started {
        version: env!("CARGO_PKG_VERSION"),
        clients: settings.clients,
        mesh: settings.mesh,
        first_start: settings.first_start,
    });
    let system = ntex::rt::System::new("geraniumlatchd", ntex::rt::DefaultRuntime);
    system.block_on(serve(settings, log, sockets))
}

async fn serve(
    settings: settings::Settings,
    log: lines::Log,
    sockets: Sockets,
) -> Result<(), error::Error> {
    let mesh = sync::Arc::new(sockets.mesh);
    let metrics = gl_meter::jobs::Metrics::new().map_err(setup("the metrics"))?;
    let metrics = sync::Arc::new(metrics);
    let config = http::HttpServiceConfig::new()
        .set_keepalive(http::KeepAlive::Timeout(KEEP_ALIVE))
        .set_headers_read_rate(HEAD_LIMIT, HEAD_LIMIT, 64);
    let server = web::HttpServer::new(async move || {
        let ingress = start_once(&settings, &log, &metrics, &mesh).await;
        web::App::new().state(ingress).configure(ingress::configure)
    })
    .workers(1)
    .maxconn(CONNECTIONS)
    .disable_signals()
    .config(ntex::SharedCfg::new("geraniumlatchd").add(config))
    .listen(sockets.clients)
    .and_then(|server| server.listen(sockets.ready))
    .and_then(|server| server.listen(sockets.metrics))
    .map_err(setup("the server"))?;
    server.run().await.map_err(setup("the server"))
}

/// Starts the daemon on the server's only thread, with the first of its sockets.
async fn start_once(
    settings: &settings::Settings,
    log: &lines::Log,
    metrics: &sync::Arc<gl_meter::jobs::Metrics>,
    mesh: &net::TcpListener,
) -> ingress::Ingress {
    if let Some(ingress) = INGRESS.with_borrow(Clone::clone) {
        return ingress;
    }
    let node = rc::Rc::new(make_node(settings, log, metrics).await);
    let ingress = ingress::Ingress { desk: rc::Rc::new(desk::Desk::new(rc::Rc::clone(&node))) };
    INGRESS.set(Some(ingress.clone()));
    start_parts(&node, mesh);
    ingress
}

fn start_parts(node: &rc::Rc<node::Node>, mesh: &net::TcpListener) {
    let answering = rc::Rc::clone(node);
    let answerer: rpc::Handler<link::Talk> =
        rc::Rc::new(move |question| link::answer(&answering, question));
    let listening = mesh.try_clone().map_err(|e| e.to_string()).and_then(|mesh| {
        rpc::serve::<link::Talk>(node.settings.mesh, mesh, answerer).map_err(|e| e.to_string())
    });
    if let Err(detail) = listening {
        event::emit(&event::Event::DependencyLost { dependency: "mesh", detail });
    }
    ntex::rt::spawn(routing::run(rc::Rc::clone(node)));
    accept::start(node);
    ntex::rt::spawn(claim::run(rc::Rc::clone(node)));
    ntex::rt::spawn(stop::run(rc::Rc::clone(node)));
}

async fn make_node(
    settings: &settings::Settings,
    log: &lines::Log,
    metrics: &sync::Arc<gl_meter::jobs::Metrics>,
) -> node::Node {
    let setup = gl_fleet::Setup {
        store: settings.store,
        adviser: settings.adviser,
        daemon: settings.daemon.clone(),
        ..gl_fleet::Setup::default()
    };
    let fleet = rc::Rc::new(gl_fleet::Platform::new(setup).await);
    let platform = node::Platform {
        store: rc::Rc::clone(&fleet) as rc::Rc<_>,
        directory: rc::Rc::clone(&fleet) as rc::Rc<_>,
        workers: rc::Rc::clone(&fleet) as rc::Rc<_>,
        adviser: fleet,
    };
    let node_settings = node::Settings {
        daemon: settings.daemon.clone(),
        mesh: settings.mesh,
        grace: settings.grace,
        deference: gl_jobs::election::claim_delay(settings.cores),
        owner: owner_settings(settings),
    };
    node::Node::new(node_settings, platform, sync::Arc::clone(metrics), Some(log.clone()))
}

fn owner_settings(settings: &settings::Settings) -> gl_jobs::owner::Settings {
    let defaults = gl_jobs::owner::Settings::default();
    gl_jobs::owner::Settings {
        lease: defaults.lease.min(settings.lease_limit),
        horizon: settings.lease_limit,
        stop_time: settings.stop_time,
        drain_time: settings.drain,
        retention: settings.retention + settings.retention,
        ..defaults
    }
}
