//! Daemon processes on the stand-in of the users' platform.

use std::{io, net, path, time};

use serde_json::json;

use super::ports;
use crate::process::{self, Process};

/// A running daemon, its addresses and its log.
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// The address that serves clients.
    pub client_address: net::SocketAddr,
    /// The address of the readiness check, which the load balancer uses.
    pub ready_address: net::SocketAddr,
    /// The file with its log.
    pub log_path: path::PathBuf,
}

/// The maximum lease of a worker, in milliseconds. Short, so that a test can outlast it.
pub const MAX_LEASE_MS: u64 = 5_000;

fn settings(name: &str, store_address: net::SocketAddr) -> io::Result<serde_json::Value> {
    let address = |port: u16| format!("127.0.0.1:{port}");
    let pair = ports::reserve_port_pair()?;
    Ok(json!({
        "NodeName": name, "Role": "scheduler", "MachineClass": "frontend", "Ip": "127.0.0.1",
        "Zone": "a", "Bootstrap": true, "HeartbeatMs": 300, "ControlMode": "push",
        "ListenAddrs": {
            "FrontendAddr": address(ports::reserve_port()?), "Ready": address(ports::reserve_port()?)
        },
        "PortRange": [pair, pair + 1],
        "Bounds": {
            "GraceS": 6, "HoldMaxMs": MAX_LEASE_MS, "StopTimeoutMs": 900, "DrainMs": 2_000,
            "ConfigApplyMs": 2_000, "status_s": 120
        },
        "platform": {"Address": store_address.to_string()}
    }))
}

/// The maximum time from the start of a daemon until it is ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The log lines that the error of a failed start shows.
const SHOWN_LINES: usize = 20;

impl Daemon {
    /// Starts a daemon with its settings and its log in `dir`, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started or is not ready in time.
    pub async fn start(
        dir: &path::Path,
        name: &str,
        store_address: net::SocketAddr,
    ) -> io::Result<Self> {
        let settings = settings(name, store_address)?;
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let program = process::program_path("geraniumlatchd")?;
        let log_path = dir.join(format!("{name}.log"));
        let environment = [("GERANIUMLATCH_CONFIG".to_owned(), path.display().to_string())];
        let process = Process::spawn(&program, &["--hosted".to_owned()], &environment, &log_path)?;
        let address = |field: &str| {
            let text = settings["ListenAddrs"][field].as_str().unwrap_or_default();
            text.parse().map_err(io::Error::other)
        };
        let (client_address, ready_address) = (address("FrontendAddr")?, address("Ready")?);
        let mut daemon = Self { process, client_address, ready_address, log_path };
        daemon.wait_until_ready().await?;
        Ok(daemon)
    }

    async fn wait_until_ready(&mut self) -> io::Result<()> {
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
