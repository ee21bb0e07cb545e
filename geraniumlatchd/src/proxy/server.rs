//! The HTTP server for callers and operators.

use std::{net, rc, sync};

use gl_intake::{connections, head};
use gl_model::time;
use ntex::{http, io, server, util, web};

use crate::{error, node, operators, proxy};
use proxy::{attempt, claims, handler};

/// The number of server threads; the daemon runs on small VMs.
const THREADS: usize = 2;
/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The space that a read needs, in bytes.
const MIN_READ_BYTES: usize = 1 << 10;
/// The number of unused buffers that are kept.
const CACHED_BUFFERS: usize = 16;
/// The number of connections of a thread that may be accepted before others are closed for them.
const CLOSING: usize = 4;
/// The time for which an idle connection of a caller stays open.
const KEEP_ALIVE: ntex::time::Seconds = ntex::time::Seconds(30);

/// Creates a client of the platform for one thread.
///
/// # Errors
///
/// If the HTTP client cannot be set up.
pub async fn platform_client(node: &node::Node) -> Result<gl_platform::Http, error::Error> {
    let settings = gl_platform::Settings {
        addresses: node.settings.platform.clone(),
        timeout: time::Span::millis(node.settings.limits.platform_ms),
    };
    let client = gl_platform::Http::new(settings).await;
    client.map_err(|e| error::Error::Setup {
        part: "a client of the platform",
        detail: e.to_string(),
    })
}

/// Starts the server on `socket`.
///
/// # Errors
///
/// Returns an error if the socket cannot be used.
pub fn start(
    node: &sync::Arc<node::Node>,
    socket: net::TcpListener,
) -> std::io::Result<server::Server> {
    let limits = node.settings.limits;
    let shutdown_s = u16::try_from(limits.drain_ms / 1_000 + 1).unwrap_or(u16::MAX);
    let config = http::HttpServiceConfig::new()
        .set_max_headers(limits.headers)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_keepalive(http::KeepAlive::Timeout(KEEP_ALIVE));
    let buffers = io::IoConfig::new()
        .set_read_buf(READ_BUFFER_BYTES, MIN_READ_BYTES, CACHED_BUFFERS)
        .set_write_page_size(util::BytePageSize::Size4);
    let shared_config: ntex::SharedCfg =
        ntex::SharedCfg::new("geraniumlatchd").add(config).add(buffers).into();
    let per_thread = limits.connections / THREADS;
    let shared = sync::Arc::clone(node);
    let builder = server::build()
        .workers(THREADS)
        .maxconn(per_thread)
        .disable_signals()
        .shutdown_timeout(ntex::time::Seconds(shutdown_s));
    let server = builder.listen("callers", socket, async move |config| {
        config.config(shared_config.clone());
        let platform = rc::Rc::new(platform_client(&shared).await.unwrap_or_else(error::exit));
        let clients = attempt::Clients::new(sync::Arc::clone(&shared.answers)).await;
        let connections = connections::Connections::new(per_thread.saturating_sub(CLOSING).max(1));
        let connections = rc::Rc::new(connections);
        let call_context = clients.ok().map(|clients| handler::Context {
            node: sync::Arc::clone(&shared),
            clients,
            claims: claims::Claims::start(rc::Rc::clone(&platform) as rc::Rc<_>),
            connections: rc::Rc::clone(&connections),
        });
        let operator_context = operators::Context { node: sync::Arc::clone(&shared), platform };
        let mut app = web::App::new().state(operator_context).state(sync::Arc::clone(&shared));
        if let Some(call_context) = call_context {
            app = app.state(call_context);
        }
        let app = app
            .service(web::resource("/v1/call/{tail}*").to(handler::call))
            .configure(operators::routes);
        let service = http::HttpService::new(app).h1_control(head::control_in_turn);
        connections::Limited::new(service, connections)
    })?;
    Ok(server.run())
}
