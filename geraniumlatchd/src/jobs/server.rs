//! Starts a daemon and its listening sockets.

use std::{cell, net, rc, sync};

use gl_fleet::{budget as descriptors, ingress, settings};
use gl_intake::{budget, connections, head, memory};
use gl_jobs::election;
use gl_model::time;
use gl_peer::rpc;
use ntex::{http, io, server, util, web};

use super::{api, event, lease, log_writer, mesh, node, ordering, routing, shutdown, submission};
use crate::error;

/// The number of runs that a new worker gets until one of them is done. It covers one phase of short
/// tasks.
const UNPROVEN_RUNS: usize = 8;
/// The time after which an owner knows how many processors short tasks need. Clients come some seconds
/// after the first daemon has started.
const WATCH_TIME: time::Span = time::Span::seconds(20);
/// The factor by which tasks are expected to take longer on a cold worker. The platform states only
/// for how long a worker is cold.
const COLD_FACTOR: f64 = 2.0;
/// Time for which an idle client connection is kept open.
const KEEP_ALIVE: ntex::time::Seconds = ntex::time::Seconds(30);
/// Time that a client may take to send the head of a request.
const HEAD_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(5);
/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// The size of the system's receive buffer of a connection, in bytes. Linux doubles it.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// The size of a connection's read buffer, in bytes. Ordinary requests fit into it.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// The space that a read needs, in bytes.
const MIN_READ_BYTES: usize = 1 << 10;
/// The number of unused buffers that are kept.
const CACHED_BUFFERS: usize = 16;
/// Interval at which the cost of interference is logged and added to the metrics.
const IMPACT_INTERVAL: gl_model::time::Span = gl_model::time::Span::seconds(10);

thread_local! {
    static INGRESS: cell::RefCell<Option<ingress::Ingress>> = const { cell::RefCell::new(None) };
}

/// Sockets that a daemon listens on.
struct Sockets {
    clients: net::TcpListener,
    ready: net::TcpListener,
    metrics: net::TcpListener,
    mesh: net::TcpListener,
}

fn bind(field: &'static str, address: net::SocketAddr) -> Result<net::TcpListener, error::Error> {
    let to_error =
        |e: std::io::Error| error::Error::Listen { field, address, detail: e.to_string() };
    let socket = net::TcpListener::bind(address).map_err(to_error)?;
    // Accepted connections inherit it. Without it, the system enlarges the buffers of clients that send
    // faster than they are served.
    let bounded = rustix::net::sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES);
    bounded.map_err(|e| to_error(e.into()))?;
    Ok(socket)
}

fn setup_error<E: std::fmt::Display>(part: &'static str) -> impl FnOnce(E) -> error::Error {
    move |e| error::Error::Setup { part, detail: e.to_string() }
}

/// Runs a daemon on the platform until it receives the signal to stop.
///
/// # Errors
///
/// If its sockets or its log cannot be set up.
pub fn run(settings: settings::Settings) -> Result<(), error::Error> {
    let log = log_writer::start(&settings.daemon).map_err(setup_error("the log"))?;
    let sockets = Sockets {
        clients: bind("the clients' address", settings.clients)?,
        ready: bind("the balancer's address", settings.readiness)?,
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
    log: log_writer::Log,
    sockets: Sockets,
) -> Result<(), error::Error> {
    let mesh = sync::Arc::new(sockets.mesh);
    let metrics = gl_meter::jobs::Metrics::new().map_err(setup_error("the metrics"))?;
    let metrics = sync::Arc::new(metrics);
    let accepted = connection_budget(&settings).accepted();
    let start = async move || start_once(&settings, &log, &metrics, &mesh).await;
    let (on_clients, on_ready, on_metrics) = (start.clone(), start.clone(), start);
    let server = server::build()
        .workers(1)
        .maxconn(accepted.total)
        .disable_signals()
        .listen("clients", sockets.clients, async move |config| {
            config.config(http_settings());
            let ingress = on_clients().await;
            let connections = rc::Rc::clone(&ingress.connections);
            let app = web::App::new().state(ingress).configure(ingress::clients);
            let service = http::HttpService::new(app).h1_control(head::control);
            connections::Limited::new(service, connections)
        })
        .and_then(|server| {
            server.listen("readiness", sockets.ready, async move |config| {
                config.config(http_settings());
                let app = web::App::new().state(on_ready().await).configure(ingress::readiness);
                let connections = connections::Connections::new(accepted.checks);
                let connections = rc::Rc::new(connections);
                let service = http::HttpService::new(app).h1_control(head::control);
                connections::Limited::new(service, connections)
            })
        })
        .and_then(|server| {
            server.listen("metrics", sockets.metrics, async move |config| {
                config.config(http_settings());
                let app = web::App::new().state(on_metrics().await).configure(ingress::metrics);
                let connections = connections::Connections::new(accepted.checks);
                let connections = rc::Rc::new(connections);
                let service = http::HttpService::new(app).h1_control(head::control);
                connections::Limited::new(service, connections)
            })
        })
        .map_err(setup_error("the server"))?;
    server.run().await.map_err(setup_error("the server"))
}

/// Returns the settings of the HTTP server.
fn http_settings() -> ntex::SharedCfg {
    let config = http::HttpServiceConfig::new()
        .set_keepalive(http::KeepAlive::Timeout(KEEP_ALIVE))
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, 64)
        .set_max_buf_size(MAX_HEAD_BYTES);
    let buffers = io::IoConfig::new()
        .set_read_buf(READ_BUFFER_BYTES, MIN_READ_BYTES, CACHED_BUFFERS)
        .set_write_page_size(util::BytePageSize::Size4);
    ntex::SharedCfg::new("geraniumlatchd").add(config).add(buffers).into()
}

/// Starts the daemon on the server's only thread when the server sets up the first of its sockets,
/// and returns the same ingress for the other sockets.
async fn start_once(
    settings: &settings::Settings,
    log: &log_writer::Log,
    metrics: &sync::Arc<gl_meter::jobs::Metrics>,
    mesh: &net::TcpListener,
) -> ingress::Ingress {
    if let Some(ingress) = INGRESS.with_borrow(Clone::clone) {
        return ingress;
    }
    let node = create_node(settings, log, metrics).await.unwrap_or_else(error::exit);
    let node = rc::Rc::new(node);
    let memory = node.settings.memory;
    let bodies = budget::Budget::new(budget::Settings::with_limit(memory.bodies));
    let api = rc::Rc::new(api::Handler::new(rc::Rc::clone(&node)));
    let limit = connection_budget(settings).accepted().clients;
    let connections = rc::Rc::new(connections::Connections::new(limit));
    let ingress = ingress::Ingress::new(api, bodies, connections);
    INGRESS.set(Some(ingress.clone()));
    start_tasks(&node, mesh);
    ingress
}

fn start_tasks(node: &rc::Rc<node::Node>, mesh: &net::TcpListener) {
    let handler_node = rc::Rc::clone(node);
    let handler: rpc::Handler<mesh::Protocol> =
        rc::Rc::new(move |request| mesh::handle(&handler_node, request));
    let listener = mesh.try_clone().map_err(|e| e.to_string()).and_then(|mesh| {
        rpc::serve::<mesh::Protocol>(node.settings.mesh, mesh, handler).map_err(|e| e.to_string())
    });
    if let Err(detail) = listener {
        event::emit(&event::Event::DependencyLost { dependency: "mesh", detail });
    }
    ntex::rt::spawn(routing::run(rc::Rc::clone(node)));
    submission::start(node);
    ntex::rt::spawn(lease::run(rc::Rc::clone(node)));
    ntex::rt::spawn(shutdown::run(rc::Rc::clone(node)));
}

async fn create_node(
    settings: &settings::Settings,
    log: &log_writer::Log,
    metrics: &sync::Arc<gl_meter::jobs::Metrics>,
) -> Result<node::Node, error::Error> {
    let budget = connection_budget(settings);
    let options = gl_fleet::Options {
        budget,
        store: settings.store,
        adviser: settings.adviser,
        daemon: settings.daemon.clone(),
        ..gl_fleet::Options::default()
    };
    let fleet = gl_fleet::Platform::new(options).await;
    let fleet = rc::Rc::new(fleet.map_err(setup_error("the client of the platform"))?);
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
        config_apply: settings.config_apply,
        resources: election::Resources { cores: settings.cores, polls: Some(budget.polls) },
        budget,
        memory: memory_division(settings),
        owner: owner_settings(settings, budget),
    };
    Ok(node::Node::new(node_settings, platform, sync::Arc::clone(metrics), Some(log.clone())))
}

/// Divides the file descriptors that the platform permits, or else those that the operating system
/// permits.
fn connection_budget(settings: &settings::Settings) -> descriptors::Budget {
    let limit = || rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = || limit().and_then(|limit| usize::try_from(limit).ok());
    settings
        .descriptors
        .or_else(limit)
        .map_or_else(descriptors::Budget::default, descriptors::Budget::new)
}

/// Divides the memory that the platform permits.
fn memory_division(settings: &settings::Settings) -> memory::Division {
    settings.memory.map_or_else(memory::Division::default, memory::Division::new)
}

fn owner_settings(
    settings: &settings::Settings,
    budget: descriptors::Budget,
) -> gl_jobs::owner::Settings {
    let defaults = gl_jobs::owner::Settings::default();
    // The other connections for orders are left to stop and CPU-limit orders.
    let starts = budget.orders - budget.orders / ordering::URGENT_SHARE;
    let window = defaults.order_window;
    let order_window = gl_jobs::owner::WindowSettings {
        floor: window.floor.min(starts),
        initial: window.initial.min(starts),
        ceiling: window.ceiling.min(starts),
        ..window
    };
    let worker_lease = defaults.lease.min(settings.max_lease);
    gl_jobs::owner::Settings {
        order_window,
        lease: worker_lease,
        max_lease: settings.max_lease,
        // A new owner waits for the leases of workers that it cannot reach, and long-running tasks for
        // the new owner. Renewals, and reports that stand for them in an outage, are not older than this
        // while leases are extended in full.
        horizon: settings.max_lease.min(worker_lease + election::HEARTBEAT_VALIDITY),
        stop_time: settings.stop_timeout,
        drain_time: settings.drain,
        empty_time: settings.empty_time,
        retention: settings.retention + settings.retention,
        watch_time: WATCH_TIME,
        predicts_tail: true,
        uses_estimates: true,
        unproven_runs: Some(UNPROVEN_RUNS),
        cold_factor: COLD_FACTOR,
        max_row: settings.max_row.unwrap_or(defaults.max_row),
        remote_factor: settings.remote_factor.unwrap_or(defaults.remote_factor),
        spreads_domains: true,
        // Short jobs are few and wide. By unit of work the widest, which are worth most, came last.
        loss_order: gl_jobs::owner::LossOrder::BestEffort,
        colocation: gl_jobs::owner::Colocation {
            impact_interval: Some(IMPACT_INTERVAL),
            ..defaults.colocation
        },
        ..defaults
    }
}
