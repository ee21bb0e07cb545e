//! Starts the stand-ins and the daemons as processes on loopback, and hurts them.

use std::{io, io::Write as _, net, process, time};

use gl_model::{id, vm};

use crate::{caller, http, platform, process as processes, process::Process, runs, worker};

/// The operators' key of all started daemons.
pub const KEY: &str = "an-operator-key-for-tests";

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The failure domains.
    pub domains: Vec<String>,
    /// Workers in each failure domain.
    pub workers: usize,
    /// Worker processes in each failure domain; each holds an even part of the workers.
    pub processes: usize,
    /// Daemons.
    pub daemons: usize,
    /// How much faster than declared batch tasks run.
    pub speed: u64,
    /// How long a stopping daemon takes new calls, in milliseconds.
    pub notice_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            domains: vec!["north".to_owned(), "middle".to_owned(), "south".to_owned()],
            workers: 3,
            processes: 3,
            daemons: 3,
            speed: 1,
            notice_ms: 500,
        }
    }
}

/// A platform, workers and daemons.
pub struct Cluster {
    /// The platform.
    pub platform: Process,
    /// The workers' processes.
    pub workers: Vec<Process>,
    /// The daemons.
    pub daemons: Vec<Process>,
    /// The daemons that calls are sent to.
    pub balancer: caller::Balancer,
    settings: Settings,
    dir: tempfile::TempDir,
    started: usize,
}

/// The longest wait for the cluster to reach a state.
pub const LIMIT: time::Duration = time::Duration::from_secs(60);

impl Cluster {
    /// Starts all processes and waits until every daemon takes calls.
    ///
    /// # Errors
    ///
    /// If one doesn't start.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let dir = tempfile::tempdir()?;
        let standin = processes::program("standin")?;
        let log = dir.path().join("standins.log");
        let platform = Process::start(&standin, &["platform".to_owned()], &log)?;
        let mut cluster = Self {
            platform,
            workers: Vec::new(),
            daemons: Vec::new(),
            balancer: caller::Balancer::default(),
            settings,
            dir,
            started: 0,
        };
        for domain in cluster.settings.domains.clone() {
            let processes = cluster.settings.processes;
            for part in 0..processes {
                let count = cluster.settings.workers / processes
                    + usize::from(part < cluster.settings.workers % processes);
                let started = cluster.start_workers(&domain, part, count)?;
                cluster.workers.push(started);
            }
        }
        for _ in 0..cluster.settings.daemons {
            cluster.add_daemon().await?;
        }
        Ok(cluster)
    }

    /// Starts one process with `count` workers, which make up a rack.
    ///
    /// # Errors
    ///
    /// If it doesn't start.
    pub fn start_workers(&self, domain: &str, rack: usize, count: usize) -> io::Result<Process> {
        let arguments = [
            "workers".to_owned(),
            self.platform.address().to_string(),
            domain.to_owned(),
            format!("{domain}-r{rack}"),
            count.to_string(),
            self.settings.speed.to_string(),
        ];
        Process::start(
            &processes::program("standin")?,
            &arguments,
            &self.dir.path().join("standins.log"),
        )
    }

    /// The text of a daemon's settings.
    pub fn daemon_settings(&self, name: &str, domain: &str) -> String {
        let peers: Vec<String> = self.daemons.iter().map(|d| d.addresses[1].to_string()).collect();
        format!(
            "daemon: {name}\ndomain: {domain}\nlisten: 127.0.0.1:0\nmesh: 127.0.0.1:0\n\
             platform: [\"{}\"]\npeers: {peers:?}\noperator-key: {KEY}\n\
             limits:\n  notice-ms: {}\n  drain-ms: 20000\n  platform-ms: 1000\n",
            self.platform.address(),
            self.settings.notice_ms,
        )
    }

    /// Starts one more daemon and waits until it takes calls.
    ///
    /// # Errors
    ///
    /// If it doesn't.
    pub async fn add_daemon(&mut self) -> io::Result<()> {
        let number = self.started;
        self.started += 1;
        let domain = self.settings.domains[number % self.settings.domains.len()].clone();
        let name = format!("entry-{number}");
        let file = self.dir.path().join(format!("{name}.yaml"));
        let text = self.daemon_settings(&name, &domain);
        std::fs::File::create(&file)?.write_all(text.as_bytes())?;
        let arguments = ["--config".to_owned(), file.display().to_string()];
        let log = self.dir.path().join(format!("{name}.log"));
        let daemon = Process::start(&processes::program("geraniumlatchd")?, &arguments, &log)?;
        let address = daemon.address();
        self.daemons.push(daemon);
        self.until(|| async { is_ok(&format!("http://{address}/readyz")).await }).await?;
        self.balancer.lock().push(address);
        Ok(())
    }

    /// Waits until `reached` is true.
    ///
    /// # Errors
    ///
    /// If [`LIMIT`] passes.
    pub async fn until<F: Future<Output = bool>>(&self, reached: impl Fn() -> F) -> io::Result<()> {
        let until = time::Instant::now() + LIMIT;
        while time::Instant::now() < until {
            if reached().await {
                return Ok(());
            }
            ntex::time::sleep(time::Duration::from_millis(50)).await;
        }
        Err(io::Error::other(format!("not reached within {LIMIT:?}\n{}", self.logs())))
    }

    /// What all processes logged, for a failed test.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for entry in std::fs::read_dir(self.dir.path()).into_iter().flatten().flatten() {
            if entry.path().extension().is_some_and(|e| e == "log") {
                all.push_str(&format!("== {}\n", entry.path().display()));
                all.push_str(&std::fs::read_to_string(entry.path()).unwrap_or_default());
            }
        }
        all
    }

    /// Takes a daemon out of the balancer.
    pub fn unbalance(&self, daemon: usize) {
        let address = self.daemons[daemon].address();
        self.balancer.lock().retain(|known| *known != address);
    }

    /// Runs the operators' client against the given daemon and returns its output.
    ///
    /// # Errors
    ///
    /// With what it printed if its exit code isn't zero.
    pub fn client(&self, daemon: usize, arguments: &[&str]) -> Result<String, String> {
        let program = processes::program("geraniumlatch").map_err(|e| e.to_string())?;
        let output = process::Command::new(program)
            .args(["--server", &self.daemons[daemon].address().to_string()])
            .args(arguments)
            .env("GERANIUMLATCH_KEY", KEY)
            .stdin(process::Stdio::null())
            .output()
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let error = String::from_utf8_lossy(&output.stderr);
        Err(format!("{} {text}{error}", output.status.code().unwrap_or(-1)))
    }

    /// Writes a text to a file of the cluster's folder and returns its path.
    ///
    /// # Errors
    ///
    /// If the system refuses.
    pub fn file(&self, name: &str, text: &str) -> io::Result<String> {
        let file = self.dir.path().join(name);
        std::fs::write(&file, text)?;
        Ok(file.display().to_string())
    }

    /// Submits a file's text and confirms the plan; returns the printed plan.
    ///
    /// # Errors
    ///
    /// If either is refused.
    pub fn confirm(&self, daemon: usize, intents: &str) -> Result<String, String> {
        let file = self.file("intents.yaml", intents).map_err(|e| e.to_string())?;
        let plan = self.client(daemon, &["submit", &file])?;
        let id = plan.split_whitespace().nth(1).ok_or("no plan")?;
        self.client(daemon, &["--yes", "confirm", id])?;
        Ok(plan)
    }

    /// Accepts a text as the shared configuration, and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// If it is refused.
    pub fn apply(&self, daemon: usize, config: &str) -> Result<String, String> {
        let file =
            self.file(&format!("config-{daemon}.yaml"), config).map_err(|e| e.to_string())?;
        self.client(daemon, &["config", "apply", &file])
    }

    /// Switches faults of the platform on.
    ///
    /// # Errors
    ///
    /// If it doesn't answer.
    pub async fn hurt_platform(&self, faults: &platform::Faults) -> Result<String, String> {
        http::post(&format!("http://{}/admin/fault", self.platform.address()), faults).await
    }

    /// Has the list of VMs say something of a VM.
    ///
    /// # Errors
    ///
    /// If the platform doesn't answer.
    pub async fn list(&self, vm: &id::VmId, liveness: vm::Liveness) -> Result<String, String> {
        let listing = platform::Listing { vm: vm.clone(), liveness };
        http::post(&format!("http://{}/admin/listing", self.platform.address()), &listing).await
    }

    /// Switches faults of a worker on.
    ///
    /// # Errors
    ///
    /// If it doesn't answer.
    pub async fn hurt_worker(
        &self,
        worker: net::SocketAddr,
        faults: &worker::Faults,
    ) -> Result<String, String> {
        http::post(&format!("http://{worker}/admin/fault"), faults).await
    }

    /// What ran on all workers that still answer.
    pub async fn runs(&self) -> Vec<runs::Log> {
        let mut logs = Vec::new();
        for address in self.workers.iter().flat_map(|process| &process.addresses) {
            logs.extend(http::get::<runs::Log>(&format!("http://{address}/admin/log")).await);
        }
        logs
    }

    /// The tasks of services that run now.
    pub async fn serving(&self) -> usize {
        let logs = self.runs().await;
        let runs = logs.iter().flat_map(|log| &log.runs);
        runs.filter(|run| run.serving && run.to.is_none()).count()
    }

    /// Waits until so many tasks of services run and every daemon can reach them.
    ///
    /// # Errors
    ///
    /// If [`LIMIT`] passes.
    pub async fn until_serving(&self, tasks: usize, service: &str) -> io::Result<()> {
        self.until(|| async { self.serving().await >= tasks }).await?;
        let daemons = self.balancer.lock().clone();
        for daemon in daemons {
            let url = format!("http://{daemon}/v1/call/{service}/echo");
            self.until(|| async { is_ok(&url).await }).await?;
        }
        Ok(())
    }
}

/// Whether a GET of `url` is answered well.
pub async fn is_ok(url: &str) -> bool {
    let client = ntex::client::Client::new().await;
    client.get(url).send().await.is_ok_and(|response| response.status().is_success())
}
