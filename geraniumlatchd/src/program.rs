//! The command line and the start of the daemon's parts.

use std::{net, process, sync};

use gl_config::daemon as settings;
use gl_fleet::settings as hosted;

use crate::{clock, control, error, jobs, node, proxy, shutdown};

const USAGE: &str = "Usage: geraniumlatchd --config FILE [--check]\n\
           geraniumlatchd --hosted [--check]\n\n\
    Proxies calls, serves operators, and owns shards of the scheduling state.\n\
    SIGTERM stops it gracefully. SIGHUP is ignored.\n\
    Exit codes: 0 stopped on request, 1 error while running, 2 invalid settings or arguments.";
const EXIT_SETTINGS: u8 = 2;

/// The action that the command line requests.
enum Request {
    Help(String),
    Version,
    Check(Box<settings::Settings>),
    Run(Box<settings::Settings>),
    /// Checks the settings written by the users' platform.
    CheckHosted(Box<hosted::Settings>),
    /// Runs the daemon on the users' platform.
    RunHosted(Box<hosted::Settings>),
}

/// Runs the program and returns its exit code.
pub fn main(arguments: &[String]) -> process::ExitCode {
    match request(arguments).and_then(execute) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            let code = match error {
                error::Error::Usage { .. }
                | error::Error::Settings(_)
                | error::Error::Hosted(_) => EXIT_SETTINGS,
                _ => error::EXIT_FAULT,
            };
            eprintln!("{:?}", miette::Report::new(error));
            process::ExitCode::from(code)
        }
    }
}

fn request(arguments: &[String]) -> Result<Request, error::Error> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options.optopt("c", "config", "the settings file", "FILE");
    options.optflag("", "check", "check the settings file and exit");
    options.optflag("", "hosted", "run on the users' platform with the settings that it wrote");
    let usage = |detail: String| error::Error::Usage { detail };
    let matches = options.parse(arguments).map_err(|e| usage(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Help(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Request::Version);
    }
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("unexpected argument `{extra}`")));
    }
    if matches.opt_present("hosted") {
        let settings = Box::new(hosted::load()?);
        let is_check = matches.opt_present("check");
        return Ok(if is_check {
            Request::CheckHosted(settings)
        } else {
            Request::RunHosted(settings)
        });
    }
    let file = matches.opt_str("config");
    let file = file.ok_or_else(|| usage("the option `--config FILE` is missing".to_owned()))?;
    let settings = settings::load(&file)?;
    if matches.opt_present("check") {
        return Ok(Request::Check(Box::new(settings)));
    }
    Ok(Request::Run(Box::new(settings)))
}

fn execute(request: Request) -> Result<(), error::Error> {
    match request {
        Request::Help(text) => println!("{text}"),
        Request::Version => println!("geraniumlatchd {}", env!("CARGO_PKG_VERSION")),
        Request::Check(settings) => println!("the settings of `{}` are valid", settings.daemon),
        Request::CheckHosted(settings) => {
            println!("the settings of `{}` are valid", settings.daemon);
        }
        Request::Run(settings) => return run(*settings),
        Request::RunHosted(settings) => return jobs::server::run(*settings),
    }
    Ok(())
}

fn setup_error<E: std::fmt::Display>(part: &'static str) -> impl FnOnce(E) -> error::Error {
    move |e| error::Error::Setup { part, detail: e.to_string() }
}

fn bind(field: &'static str, address: net::SocketAddr) -> Result<net::TcpListener, error::Error> {
    let listen_error =
        |e: std::io::Error| error::Error::Listen { field, address, detail: e.to_string() };
    net::TcpListener::bind(address).map_err(listen_error)
}

fn run(settings: settings::Settings) -> Result<(), error::Error> {
    let level = match settings.log.level {
        settings::Level::Error => "error",
        settings::Level::Warn => "warn",
        settings::Level::Info => "info",
        settings::Level::Debug => "debug",
    };
    let logger = flexi_logger::Logger::try_with_str(level).map_err(setup_error("the log"))?;
    let _logger = logger.start().map_err(setup_error("the log"))?;
    let listen = bind("listen", settings.listen)?;
    let mesh = bind("mesh", settings.mesh)?;
    let listen_address = listen.local_addr().map_err(setup_error("the listening socket"))?;
    let mesh_address = mesh.local_addr().map_err(setup_error("the mesh's socket"))?;
    let node = node::Node::new(settings, listen_address, mesh_address, clock::now());
    let node = sync::Arc::new(node.map_err(setup_error("the metrics"))?);
    let system = ntex::rt::System::new("geraniumlatchd", ntex::rt::DefaultRuntime);
    system.block_on(serve(node, listen, mesh))
}

async fn serve(
    node: sync::Arc<node::Node>,
    listen: net::TcpListener,
    mesh: net::TcpListener,
) -> Result<(), error::Error> {
    shutdown::handle_signals(&node)?;
    let control = control::start(&node, mesh).await?;
    let server = proxy::server::start(&node, listen).map_err(setup_error("the server"))?;
    println!("daemon={} listen={} mesh={}", node.me.id, node.me.listen, node.me.mesh);
    log::info!("daemon={} state=started listen={}", node.me.id, node.me.listen);
    shutdown::run(&node, control, server).await;
    Ok(())
}
