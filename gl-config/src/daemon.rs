//! The settings file of a daemon.

use std::net;

use gl_model::id;

use crate::{error::Error, parse};

/// The minimum length of the operator key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The settings of a daemon.
#[gl_derive::settings]
pub struct Settings {
    /// The name of the daemon, to which each process adds its start time.
    pub daemon: id::DaemonId,
    /// The failure domain of its VM.
    pub domain: id::DomainId,
    /// The address for calls and operators' requests.
    pub listen: net::SocketAddr,
    /// The address for mesh connections of other daemons.
    pub mesh: net::SocketAddr,
    /// The addresses of the platform.
    pub platform: Vec<net::SocketAddr>,
    /// Mesh addresses of some other daemons, for starting while the platform is unavailable.
    pub peers: Vec<net::SocketAddr>,
    /// The key that operators' requests must contain.
    pub operator_key: String,
    /// Settings of the log.
    pub log: Log,
    /// Limits and time-outs of the process.
    pub limits: Limits,
}

/// Settings of the log.
#[gl_derive::settings]
pub struct Log {
    /// The least severe level that is written.
    pub level: Level,
}

/// A log level.
#[gl_derive::tag]
pub enum Level {
    /// Only errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also changes of state.
    Info,
    /// Also details for developers.
    Debug,
}

/// Limits and time-outs of the process.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Limits {
    /// The most concurrent connections, from 16 to 65536.
    pub connections: usize,
    /// The memory that the process may use, in megabytes, from 64 to 1048576.
    pub memory_mb: usize,
    /// The most headers of a request, from 16 to 256.
    pub headers: usize,
    /// The time for which new calls are still accepted after a stop request, so that the load
    /// balancer can react, in milliseconds, up to 60000.
    pub notice_ms: u64,
    /// The time for which calls in progress may finish after that, in milliseconds, up to 600000.
    pub drain_ms: u64,
    /// The time-out of requests to the platform, in milliseconds, from 100 to 60000.
    pub platform_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8_192,
            memory_mb: 160,
            headers: 64,
            notice_ms: 3_000,
            drain_ms: 30_000,
            platform_ms: 2_000,
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self { level: Level::Info }
    }
}

impl Default for Settings {
    fn default() -> Self {
        let unset = net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0));
        Self {
            daemon: id::DaemonId::from(""),
            domain: id::DomainId::from(""),
            listen: unset,
            mesh: unset,
            platform: Vec::new(),
            peers: Vec::new(),
            operator_key: String::new(),
            log: Log::default(),
            limits: Limits::default(),
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns the first error found, with its place and remedy.
pub fn load(file: &str) -> Result<Settings, Error> {
    parse(file, &parse::read(file)?)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns the first error found, with its place and remedy.
pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
    let settings: Settings = parse::yaml(file, text)?;
    match first_fault(&settings) {
        None => Ok(settings),
        Some(fault) => {
            let place = parse::place_of(text, fault.field);
            let detail = format!("`{}` {}", fault.field, fault.problem);
            Err(parse::text_error(file, text, detail, place, fault.remedy.to_owned()))
        }
    }
}

struct Fault {
    field: &'static str,
    problem: &'static str,
    remedy: &'static str,
}

fn first_fault(settings: &Settings) -> Option<Fault> {
    let fault = |field, problem, remedy| Some(Fault { field, problem, remedy });
    let limits = settings.limits;
    if settings.daemon.as_str().is_empty() {
        return fault("daemon", "is missing", "add `daemon:` with a name for this daemon");
    }
    if settings.domain.as_str().is_empty() {
        return fault("domain", "is missing", "add `domain:` with the VM's failure domain");
    }
    if settings.listen.ip().is_unspecified() {
        return fault(
            "listen",
            "is not an address of this VM",
            "give the VM's own IP address and port",
        );
    }
    if settings.mesh.ip().is_unspecified() {
        return fault(
            "mesh",
            "is not an address of this VM",
            "give the VM's own IP address and port",
        );
    }
    if settings.platform.is_empty() {
        return fault(
            "platform",
            "contains no address",
            "list the platform's IP addresses and ports",
        );
    }
    if settings.operator_key.len() < MIN_KEY_BYTES {
        return fault("operator-key", "is too short", "give a random key of 16 characters or more");
    }
    if !(64..=1_048_576).contains(&limits.memory_mb) {
        return fault("limits.memory-mb", "is out of range", "give a number from 64 to 1048576");
    }
    if !(16..=65_536).contains(&limits.connections) {
        return fault("limits.connections", "is out of range", "give a number from 16 to 65536");
    }
    if !(16..=256).contains(&limits.headers) {
        return fault("limits.headers", "is out of range", "give a number from 16 to 256");
    }
    if limits.notice_ms > 60_000 {
        return fault("limits.notice-ms", "is out of range", "give a number up to 60000");
    }
    if limits.drain_ms > 600_000 {
        return fault("limits.drain-ms", "is out of range", "give a number up to 600000");
    }
    if !(100..=60_000).contains(&limits.platform_ms) {
        return fault("limits.platform-ms", "is out of range", "give a number from 100 to 60000");
    }
    None
}
