//! The stand-in and daemons as processes, in one or several failure domains.

use std::{io, net, path};

use base64::Engine as _;
use gl_jobs::record;
use serde_json::{Value, json};

use super::{
    Calls, Delivery, LateCall, Peer, Restart, Run, Size, Start, client, daemon, network, server,
};
use crate::{
    http,
    process::{self, Process},
};

/// The size and the settings of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The number of workers and failure domains.
    pub size: Size,
    /// The number of daemons in each failure domain.
    pub daemons: usize,
    /// The maximum lease of a worker, in milliseconds.
    pub max_lease_ms: u64,
    /// The limits of each daemon, if the settings state any.
    pub limits: Option<daemon::Limits>,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            size: Size { workers: 3, domains: 1 },
            daemons: 3,
            max_lease_ms: daemon::MAX_LEASE_MS,
            limits: None,
            max_body_bytes: 65_536,
        }
    }
}

/// The name of the service whose workers run the tasks.
const SERVICE: &str = "desk-a";
/// The version of the routing.
const ROUTING_VERSION: u64 = 3;

/// A running stand-in and daemons.
pub struct Deployment {
    /// The address of the store for operators.
    pub store: net::SocketAddr,
    /// The daemons. Daemon `n` belongs to the failure domain `n % domains`, unless it was added.
    pub daemons: Vec<daemon::Daemon>,
    settings: Settings,
    dir: tempfile::TempDir,
    fleet: Process,
}

impl Deployment {
    /// Starts the stand-in, publishes the routing, and starts the daemons one after the other.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let dir = tempfile::tempdir()?;
        let Size { workers, domains } = settings.size;
        let arguments =
            ["fleet".to_owned(), SERVICE.to_owned(), workers.to_string(), domains.to_string()];
        let program = process::program_path("standin")?;
        let fleet = Process::start(&program, &arguments, &dir.path().join("fleet.log"))?;
        let store = fleet.address();
        let config = json!({
            "Version": ROUTING_VERSION,
            "Routes": [{
                "Name": "bookings", "Host": client::HOST, "PathPrefix": "/book/",
                "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 250,
                "Priority": 0, "Service": SERVICE, "MaxAttempts": 3, "SlackFactor": 1.5
            }],
            "Services": [{"Name": SERVICE, "EnforcesCapacity": false}],
            "Limits": {"MaxBodyBytes": settings.max_body_bytes}
        });
        let mut deployment = Self { store, daemons: Vec::new(), settings, dir, fleet };
        deployment.post("config", &config).await?;
        for n in 0..settings.daemons * domains {
            deployment.start_daemon(&format!("d{n}"), n % domains).await?;
        }
        Ok(deployment)
    }

    /// Starts another daemon in a failure domain, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub async fn start_daemon(&mut self, name: &str, domain: usize) -> io::Result<()> {
        let store = self.fleet.addresses.get(domain + 1).copied().unwrap_or(self.store);
        let settings = daemon::Settings {
            name: name.to_owned(),
            domain: server::domain_name(domain),
            store,
            max_lease_ms: self.settings.max_lease_ms,
            limits: self.settings.limits,
        };
        let mut daemon = daemon::Daemon::start(self.dir.path(), settings)?;
        self.post("peers", &Peer { domain, mesh: daemon.mesh_address }).await?;
        daemon.wait_until_ready().await?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Returns the folder with the settings and the logs.
    pub fn dir(&self) -> &path::Path {
        self.dir.path()
    }

    /// Returns the address at which a daemon serves clients.
    pub fn address(&self, daemon: usize) -> net::SocketAddr {
        self.daemons[daemon].client_address
    }

    async fn post<B: serde::Serialize>(&self, path: &str, body: &B) -> io::Result<()> {
        let url = format!("http://{}/admin/{path}", self.store);
        http::post(&url, body).await.map(|_| ()).map_err(io::Error::other)
    }

    /// Sets whether the store refuses all requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn set_store_down(&self, is_down: bool) -> io::Result<()> {
        self.post("down", &is_down).await
    }

    /// Sets the failure domains whose requests the store refuses.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn set_refused(&self, domains: &[usize]) -> io::Result<()> {
        self.post("refused", &domains).await
    }

    /// Replaces the cuts of the network.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn set_cuts(&self, cuts: &[network::Cut]) -> io::Result<()> {
        self.post("cuts", &cuts).await
    }

    /// Sets what befalls calls to workers.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn set_calls(&self, calls: &Calls) -> io::Result<()> {
        self.post("calls", calls).await
    }

    /// Has the calls of a path arrive that are under way to a worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn deliver(&self, worker: usize, path: &str) -> io::Result<()> {
        self.post("deliver", &Delivery { worker, path: path.to_owned() }).await
    }

    /// Returns the calls that were or are under way for longer than their callers wait.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn late_calls(&self) -> io::Result<Vec<LateCall>> {
        let url = format!("http://{}/admin/late-calls", self.store);
        http::get(&url).await.map_err(io::Error::other)
    }

    /// Has workers crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn crash(&self, workers: &[usize]) -> io::Result<()> {
        self.post("crash", &workers).await
    }

    /// Starts workers again that have crashed.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn start_again(&self, workers: Vec<usize>, start: Start) -> io::Result<()> {
        self.post("start", &Restart { workers, start }).await
    }

    /// Returns all runs so far, in the order of their starts.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub async fn runs(&self) -> io::Result<Vec<Run>> {
        let url = format!("http://{}/admin/runs", self.store);
        http::get(&url).await.map_err(io::Error::other)
    }

    /// Returns the daemon that the store names as the owner of the cell.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond, or there is no owner.
    pub async fn owner(&self) -> io::Result<usize> {
        let url = format!("http://{}/rows-feed?Table=cells&After=0", self.store);
        let changes: Value = http::get(&url).await.map_err(io::Error::other)?;
        let owner = |row: &Value| {
            let value = row["Value"].as_str()?;
            let bytes = base64::engine::general_purpose::STANDARD.decode(value).ok()?;
            record::decode::<record::Owner>("owner", &bytes).ok()
        };
        let owner = changes["rows"].as_array().into_iter().flatten().find_map(owner);
        let index = owner.and_then(|owner| {
            self.daemons.iter().position(|daemon| daemon.settings.name == owner.daemon)
        });
        index.ok_or_else(|| io::Error::other("the cell has no owner"))
    }
}
