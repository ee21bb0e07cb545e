//! The HTTP server for callers and operators.

use std::{io, net, rc, sync};

use gl_model::time;
use ntex::{http, web};

use crate::{error, node, operators, proxy};
use proxy::{attempt, claims, handler};

/// The number of server threads; the daemon runs on small VMs.
const THREADS: usize = 2;
/// The maximum size in bytes of a request body from an operator.
const MAX_OPERATOR_BODY: usize = 4 << 20;
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
) -> io::Result<ntex::server::Server> {
    let limits = node.settings.limits;
    let shutdown_s = u16::try_from(limits.drain_ms / 1_000 + 1).unwrap_or(u16::MAX);
    let config = http::HttpServiceConfig::new()
        .set_max_headers(limits.headers)
        .set_keepalive(http::KeepAlive::Timeout(KEEP_ALIVE));
    let shared = sync::Arc::clone(node);
    let server = web::HttpServer::new(async move || {
        let platform = rc::Rc::new(platform_client(&shared).await.unwrap_or_else(error::exit));
        let clients = attempt::Clients::new().await;
        let call_context = clients.ok().map(|clients| handler::Context {
            node: sync::Arc::clone(&shared),
            clients,
            claims: claims::Claims::start(rc::Rc::clone(&platform) as rc::Rc<_>),
        });
        let operator_context = operators::Context { node: sync::Arc::clone(&shared), platform };
        let mut app = web::App::new()
            .state(operator_context)
            .state(sync::Arc::clone(&shared))
            .state(web::types::JsonConfig::default().limit(MAX_OPERATOR_BODY));
        if let Some(call_context) = call_context {
            app = app.state(call_context);
        }
        app.service(web::resource("/v1/call/{tail}*").to(handler::call))
            .configure(operators::routes)
    })
    .workers(THREADS)
    .maxconn(limits.connections / THREADS)
    .disable_signals()
    .shutdown_timeout(ntex::time::Seconds(shutdown_s))
    .config(ntex::SharedCfg::new("geraniumlatchd").add(config))
    .listen(socket)?
    .run();
    Ok(server)
}
