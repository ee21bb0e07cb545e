//! A cluster of stand-ins and daemons that run as processes on loopback, with fault injection.

use std::{io, io::Write as _, net, process, time};

use gl_model::{id, vm};

use crate::{caller, http, platform, process as processes, process::Process, runs, worker};

/// The operator key of all daemons.
pub const OPERATOR_KEY: &str = "an-operator-key-for-tests";

/// The size and the settings of a cluster.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The failure domains.
    pub domains: Vec<String>,
    /// The number of workers in each failure domain.
    pub workers: usize,
    /// The number of worker processes in each failure domain; the workers are distributed evenly
    /// over them, and each process is a rack.
    pub processes: usize,
    /// The number of daemons.
    pub daemons: usize,
    /// The factor by which batch tasks run faster than declared.
    pub speedup: u64,
    /// The time during which a stopping daemon still accepts calls, in milliseconds.
    pub notice_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            domains: vec!["north".to_owned(), "middle".to_owned(), "south".to_owned()],
            workers: 3,
            processes: 3,
            daemons: 3,
            speedup: 1,
            notice_ms: 500,
        }
    }
}

/// A running platform, workers and daemons.
pub struct Cluster {
    /// The platform.
    pub platform: Process,
    /// The worker processes.
    pub workers: Vec<Process>,
    /// The daemons.
    pub daemons: Vec<Process>,
    /// The daemons that callers send to.
    pub balancer: caller::Balancer,
    settings: Settings,
    dir: tempfile::TempDir,
    next_number: usize,
}

/// The maximum wait for the cluster to reach a state.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

impl Cluster {
    /// Starts all processes and waits until every daemon accepts calls.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let dir = tempfile::tempdir()?;
        let standin = processes::program_path("standin")?;
        let log = dir.path().join("standins.log");
        let platform = Process::start(&standin, &["platform".to_owned()], &log)?;
        let mut cluster = Self {
            platform,
            workers: Vec::new(),
            daemons: Vec::new(),
            balancer: caller::Balancer::default(),
            settings,
            dir,
            next_number: 0,
        };
        for domain in cluster.settings.domains.clone() {
            let processes = cluster.settings.processes;
            for rack in 0..processes {
                let count = cluster.settings.workers / processes
                    + usize::from(rack < cluster.settings.workers % processes);
                let process = cluster.start_worker_process(&domain, rack, count)?;
                cluster.workers.push(process);
            }
        }
        for _ in 0..cluster.settings.daemons {
            cluster.add_daemon().await?;
        }
        Ok(cluster)
    }

    /// Starts one process with `count` workers, which form a rack.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn start_worker_process(
        &self,
        domain: &str,
        rack: usize,
        count: usize,
    ) -> io::Result<Process> {
        let arguments = [
            "workers".to_owned(),
            self.platform.address().to_string(),
            domain.to_owned(),
            format!("{domain}-r{rack}"),
            count.to_string(),
            self.settings.speedup.to_string(),
        ];
        Process::start(
            &processes::program_path("standin")?,
            &arguments,
            &self.dir.path().join("standins.log"),
        )
    }

    /// Returns the settings file of a daemon as text.
    pub fn daemon_settings(&self, name: &str, domain: &str) -> String {
        let peers: Vec<String> = self.daemons.iter().map(|d| d.addresses[1].to_string()).collect();
        format!(
            "daemon: {name}\ndomain: {domain}\nlisten: 127.0.0.1:0\nmesh: 127.0.0.1:0\n\
             platform: [\"{}\"]\npeers: {peers:?}\noperator-key: {OPERATOR_KEY}\n\
             limits:\n  notice-ms: {}\n  drain-ms: 20000\n  platform-ms: 1000\n",
            self.platform.address(),
            self.settings.notice_ms,
        )
    }

    /// Starts one more daemon, waits until it accepts calls, and adds it to the balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start or is not ready in time.
    pub async fn add_daemon(&mut self) -> io::Result<()> {
        let number = self.next_number;
        self.next_number += 1;
        let domain = self.settings.domains[number % self.settings.domains.len()].clone();
        let name = format!("entry-{number}");
        let file = self.dir.path().join(format!("{name}.yaml"));
        let text = self.daemon_settings(&name, &domain);
        std::fs::File::create(&file)?.write_all(text.as_bytes())?;
        let arguments = ["--config".to_owned(), file.display().to_string()];
        let log = self.dir.path().join(format!("{name}.log"));
        let daemon = Process::start(&processes::program_path("geraniumlatchd")?, &arguments, &log)?;
        let address = daemon.address();
        self.daemons.push(daemon);
        self.wait_until(|| async { is_available(&format!("http://{address}/readyz")).await })
            .await?;
        self.balancer.lock().push(address);
        Ok(())
    }

    /// Waits until `condition` holds.
    ///
    /// # Errors
    ///
    /// Returns an error after [`WAIT_TIMEOUT`].
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        condition: impl Fn() -> F,
    ) -> io::Result<()> {
        let deadline = time::Instant::now() + WAIT_TIMEOUT;
        while time::Instant::now() < deadline {
            if condition().await {
                return Ok(());
            }
            ntex::time::sleep(time::Duration::from_millis(50)).await;
        }
        Err(io::Error::other(format!(
            "the condition did not hold within {WAIT_TIMEOUT:?}\n{}",
            self.process_logs()
        )))
    }

    /// Returns the logs of all processes, for the message of a failed test.
    pub fn process_logs(&self) -> String {
        let mut text = String::new();
        for entry in std::fs::read_dir(self.dir.path()).into_iter().flatten().flatten() {
            if entry.path().extension().is_some_and(|e| e == "log") {
                text.push_str(&format!("== {}\n", entry.path().display()));
                text.push_str(&std::fs::read_to_string(entry.path()).unwrap_or_default());
            }
        }
        text
    }

    /// Removes a daemon from the balancer.
    pub fn remove_from_balancer(&self, daemon: usize) {
        let address = self.daemons[daemon].address();
        self.balancer.lock().retain(|target| *target != address);
    }

    /// Runs the command-line client `geraniumlatch` against a daemon and returns its output.
    ///
    /// # Errors
    ///
    /// Returns the exit code and the output if the exit code is not zero.
    pub fn run_client(&self, daemon: usize, arguments: &[&str]) -> Result<String, String> {
        let program = processes::program_path("geraniumlatch").map_err(|e| e.to_string())?;
        let output = process::Command::new(program)
            .args(["--server", &self.daemons[daemon].address().to_string()])
            .args(arguments)
            .env("GERANIUMLATCH_KEY", OPERATOR_KEY)
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

    /// Writes a file into the folder of the cluster and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_file(&self, name: &str, text: &str) -> io::Result<String> {
        let file = self.dir.path().join(name);
        std::fs::write(&file, text)?;
        Ok(file.display().to_string())
    }

    /// Submits intents, confirms the plan for them, and returns the printed plan.
    ///
    /// # Errors
    ///
    /// Returns the output of the client if the intents or the confirmation are refused.
    pub fn submit_and_confirm(&self, daemon: usize, intents: &str) -> Result<String, String> {
        let file = self.write_file("intents.yaml", intents).map_err(|e| e.to_string())?;
        let plan = self.run_client(daemon, &["submit", &file])?;
        let id = plan.split_whitespace().nth(1).ok_or("no plan")?;
        self.run_client(daemon, &["--yes", "confirm", id])?;
        Ok(plan)
    }

    /// Applies a shared configuration and waits until it is in force on all daemons.
    ///
    /// # Errors
    ///
    /// Returns the output of the client if the configuration is refused.
    pub fn apply_config(&self, daemon: usize, config: &str) -> Result<String, String> {
        let file =
            self.write_file(&format!("config-{daemon}.yaml"), config).map_err(|e| e.to_string())?;
        self.run_client(daemon, &["config", "apply", &file])
    }

    /// Replaces the injected faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn inject_platform_faults(
        &self,
        faults: &platform::Faults,
    ) -> Result<String, String> {
        http::post(&format!("http://{}/admin/fault", self.platform.address()), faults).await
    }

    /// Sets the liveness of a VM in the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn set_liveness(
        &self,
        vm: &id::VmId,
        liveness: vm::Liveness,
    ) -> Result<String, String> {
        let update = platform::LivenessUpdate { vm: vm.clone(), liveness };
        http::post(&format!("http://{}/admin/listing", self.platform.address()), &update).await
    }

    /// Replaces the injected faults of a worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker does not respond.
    pub async fn inject_worker_faults(
        &self,
        worker: net::SocketAddr,
        faults: &worker::Faults,
    ) -> Result<String, String> {
        http::post(&format!("http://{worker}/admin/fault"), faults).await
    }

    /// Returns the logs of all workers that respond.
    pub async fn worker_logs(&self) -> Vec<runs::Log> {
        let mut logs = Vec::new();
        for address in self.workers.iter().flat_map(|process| &process.addresses) {
            logs.extend(http::get::<runs::Log>(&format!("http://{address}/admin/log")).await);
        }
        logs
    }

    /// Returns the number of service tasks that are running.
    pub async fn running_service_tasks(&self) -> usize {
        let logs = self.worker_logs().await;
        let runs = logs.iter().flat_map(|log| &log.runs);
        runs.filter(|run| run.is_service && run.ended_at.is_none()).count()
    }

    /// Waits until at least `tasks` service tasks run and every daemon in the balancer can call
    /// `service`.
    ///
    /// # Errors
    ///
    /// Returns an error after [`WAIT_TIMEOUT`].
    pub async fn wait_until_serving(&self, tasks: usize, service: &str) -> io::Result<()> {
        self.wait_until(|| async { self.running_service_tasks().await >= tasks }).await?;
        let daemons = self.balancer.lock().clone();
        for daemon in daemons {
            let url = format!("http://{daemon}/v1/call/{service}/echo");
            self.wait_until(|| async { is_available(&url).await }).await?;
        }
        Ok(())
    }
}

/// Returns true if a GET request to `url` succeeds.
pub async fn is_available(url: &str) -> bool {
    let client = ntex::client::Client::new().await;
    client.get(url).send().await.is_ok_and(|response| response.status().is_success())
}
