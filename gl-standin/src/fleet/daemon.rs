//! Daemon processes on the stand-in of the users' platform.

use std::{io, net, path, time};

use serde_json::json;

use super::ports;
use crate::process::{self, Process};

/// The settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name.
    pub name: String,
    /// The name of the failure domain.
    pub domain: String,
    /// The address of the store.
    pub store: net::SocketAddr,
    /// The maximum lease of a worker, in milliseconds.
    pub max_lease_ms: u64,
    /// The limits of the process, if the settings state any.
    pub limits: Option<Limits>,
}

/// The limits of a process, as its settings state them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: usize,
}

/// A running daemon, its addresses and its log.
pub struct Daemon {
    /// The settings.
    pub settings: Settings,
    /// The process.
    pub process: Process,
    /// The address that serves clients.
    pub client_address: net::SocketAddr,
    /// The address of the readiness check, which the load balancer uses.
    pub ready_address: net::SocketAddr,
    /// The address that serves other daemons.
    pub mesh_address: net::SocketAddr,
    /// The file with its log.
    pub log_path: path::PathBuf,
    settings_path: path::PathBuf,
}

/// The default of the maximum lease of a worker, in milliseconds. Short, so that a test can outlast it.
pub const MAX_LEASE_MS: u64 = 5_000;

/// The maximum time from the start of a daemon until it is ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The log lines that the error of a failed start shows.
const SHOWN_LINES: usize = 20;

fn address(port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, port).into()
}

fn spawn(settings_path: &path::Path, log_path: &path::Path) -> io::Result<Process> {
    let program = process::program_path("geraniumlatchd")?;
    let environment = [("GERANIUMLATCH_CONFIG".to_owned(), settings_path.display().to_string())];
    Process::spawn(&program, &["--hosted".to_owned()], &environment, log_path)
}

impl Daemon {
    /// Starts a daemon with its settings and its log in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started.
    pub fn start(dir: &path::Path, settings: Settings) -> io::Result<Self> {
        let (client_address, ready_address) =
            (address(ports::reserve_port()?), address(ports::reserve_port()?));
        let mesh_port = ports::reserve_port_pair()?;
        let limits = settings
            .limits
            .map(|limits| json!({"MemoryMb": limits.memory_mb, "MaxFds": limits.descriptors}));
        let file = json!({
            "NodeName": settings.name, "Role": "scheduler", "MachineClass": "frontend",
            "Ip": "127.0.0.1", "Zone": settings.domain, "Bootstrap": true, "HeartbeatMs": 300,
            "ControlMode": "push",
            "ListenAddrs": {"FrontendAddr": client_address, "Ready": ready_address},
            "PortRange": [mesh_port, mesh_port + 1],
            "Bounds": {
                "GraceS": 6, "HoldMaxMs": settings.max_lease_ms, "StopTimeoutMs": 900,
                "DrainMs": 2_000, "ConfigApplyMs": 2_000, "status_s": 120
            },
            "platform": {"Address": settings.store},
            "Limits": limits
        });
        let settings_path = dir.join(format!("{}.json", settings.name));
        std::fs::write(&settings_path, file.to_string())?;
        let log_path = dir.join(format!("{}.log", settings.name));
        let process = spawn(&settings_path, &log_path)?;
        let mesh_address = address(mesh_port);
        Ok(Self {
            settings,
            process,
            client_address,
            ready_address,
            mesh_address,
            log_path,
            settings_path,
        })
    }

    /// Starts the process again, which has ended, with the same settings and log.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = spawn(&self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Waits until the daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not ready in time.
    pub async fn wait_until_ready(&mut self) -> io::Result<()> {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline && self.process.exit_code().is_none() {
            if super::client::request_status(self.ready_address, "GET", "/readyz", "").await
                == Some(200)
            {
                return Ok(());
            }
            ntex::time::sleep(time::Duration::from_millis(20)).await;
        }
        let state = match self.process.exit_code() {
            Some(code) => format!("ended with code {code}"),
            None => format!("is not ready after {READY_TIMEOUT:?}"),
        };
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        let first = log.lines().count().saturating_sub(SHOWN_LINES);
        let lines: Vec<&str> = log.lines().skip(first).collect();
        Err(io::Error::other(format!(
            "the daemon {state}; its log ends with:\n{}",
            lines.join("\n")
        )))
    }

    /// Returns the log lines that are JSON.
    pub fn log_lines(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
