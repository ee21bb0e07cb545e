//! The settings of one daemon.

use std::net;

use gl_model::id;

use crate::{error::Error, parse};

/// The shortest operator key.
const KEY_LENGTH: usize = 16;

/// The settings file of a daemon.
#[gl_derive::settings]
pub struct Settings {
    /// The daemon's name; each process adds its start time to it.
    pub daemon: id::DaemonId,
    /// The failure domain of its VM.
    pub domain: id::DomainId,
    /// Where it takes calls and operators' requests.
    pub listen: net::SocketAddr,
    /// Where it takes other daemons' connections.
    pub mesh: net::SocketAddr,
    /// The platform's addresses.
    pub platform: Vec<net::SocketAddr>,
    /// Mesh addresses of some other daemons, for a start while the platform is down.
    pub peers: Vec<net::SocketAddr>,
    /// The key that operators' requests carry.
    pub operator_key: String,
    /// The log.
    pub log: Log,
    /// Limits of the process.
    pub limits: Limits,
}

/// The log.
#[gl_derive::settings]
pub struct Log {
    /// The lowest level that is written.
    pub level: Level,
}

/// A level of the log.
#[gl_derive::tag]
pub enum Level {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// Changes of state too.
    Info,
    /// Details for developers too.
    Debug,
}

/// Limits of the process.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Limits {
    /// Connections that are open at once, from 16 to 65536.
    pub connections: usize,
    /// Headers of a request at most, from 16 to 256.
    pub headers: usize,
    /// How long new calls are taken after a stop was asked for, so that the balancer notices,
    /// in milliseconds, up to 60000.
    pub notice_ms: u64,
    /// How long calls may take to finish after that, in milliseconds, up to 600000.
    pub drain_ms: u64,
    /// The longest answer time of the platform, in milliseconds, from 100 to 60000.
    pub platform_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8_192,
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
        let nowhere = net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0));
        Self {
            daemon: id::DaemonId::from(""),
            domain: id::DomainId::from(""),
            listen: nowhere,
            mesh: nowhere,
            platform: Vec::new(),
            peers: Vec::new(),
            operator_key: String::new(),
            log: Log::default(),
            limits: Limits::default(),
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The first fault, with its place and remedy.
pub fn load(file: &str) -> Result<Settings, Error> {
    parse(file, &parse::read(file)?)
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// The first fault, with its place and remedy.
pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
    let settings: Settings = parse::yaml(file, text)?;
    match fault(&settings) {
        None => Ok(settings),
        Some(fault) => {
            let place = parse::place_of(text, fault.field);
            let detail = format!("`{}` {}", fault.field, fault.wrong);
            Err(parse::fault(file, text, detail, place, fault.remedy.to_owned()))
        }
    }
}

struct Fault {
    field: &'static str,
    wrong: &'static str,
    remedy: &'static str,
}

fn fault(settings: &Settings) -> Option<Fault> {
    let fault = |field, wrong, remedy| Some(Fault { field, wrong, remedy });
    let limits = settings.limits;
    if settings.daemon.as_str().is_empty() {
        return fault("daemon", "is missing", "add `daemon:` with a name for this daemon");
    }
    if settings.domain.as_str().is_empty() {
        return fault("domain", "is missing", "add `domain:` with the VM's failure domain");
    }
    if settings.listen.ip().is_unspecified() {
        return fault("listen", "is no address of this VM", "give the VM's own IP number and port");
    }
    if settings.mesh.ip().is_unspecified() {
        return fault("mesh", "is no address of this VM", "give the VM's own IP number and port");
    }
    if settings.platform.is_empty() {
        return fault("platform", "names no address", "list the platform's IP numbers and ports");
    }
    if settings.operator_key.len() < KEY_LENGTH {
        return fault("operator-key", "is too short", "give a random key of 16 characters or more");
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
