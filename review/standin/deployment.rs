//! A small deployment: a store, workers, and daemons as separate processes.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub const HOST: &str = "bookings.example";
pub const PREFIX: &str = "/book/";
const SERVICE: &str = "desk";
const HEARTBEAT: Duration = Duration::from_millis(1_100);

/// The time budget of a client's call.
const BUDGET: Duration = Duration::from_millis(3_000);
/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u64> = 12_000..32_000;

pub type Failure = Box<dyn std::error::Error>;

/// The processes that run, so that they can be ended from any thread.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for mut child in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Daemon {
    name: String,
    settings: PathBuf,
    clients: SocketAddr,
    ready: SocketAddr,
    pid: Option<u32>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub daemons: Vec<Daemon>,
    dir: PathBuf,
    is_over: Arc<AtomicBool>,
}

fn next_port() -> std::io::Result<TcpListener> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let width = PORTS.end - PORTS.start;
    for _ in 0..width {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (u64::from(std::process::id()) * 211 + n) % width;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return Ok(listener);
        }
    }
    Err(std::io::Error::other("there is no free port"))
}

/// Returns two free ports in a row.
fn next_pair() -> std::io::Result<u16> {
    loop {
        let first = next_port()?.local_addr()?.port();
        if TcpListener::bind(("127.0.0.1", first + 1)).is_ok() {
            let _ = next_port()?;
            return Ok(first);
        }
    }
}

/// Returns the command that the deploy file names for the daemon.
fn command() -> Result<Vec<String>, Failure> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = "));
    let line = line.ok_or("the deploy file names no command")?;
    Ok(line.trim_matches('"').split(' ').map(str::to_owned).collect())
}

impl Deployment {
    /// Starts a store, `workers` workers of 64 cores and `daemons` daemons, and waits until all are
    /// ready.
    pub fn start(dir: &Path, workers: usize, daemons: usize) -> Result<Self, Failure> {
        let record = Arc::new(Record::new(&dir.join("record.txt"))?);
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary)?;
        let store = Arc::new(Store::new(Arc::clone(&record)));
        let listener = next_port()?;
        let address = listener.local_addr()?;
        let served = Arc::clone(&store);
        http::serve(listener, Arc::new(move |request| served.handle(request)));
        let mut deployment = Self {
            record,
            store,
            workers: Vec::new(),
            daemons: Vec::new(),
            dir: temporary,
            is_over: Arc::default(),
        };
        for number in 0..workers {
            let listener = next_port()?;
            let record = Arc::clone(&deployment.record);
            let worker = Worker::new(number, listener.local_addr()?, SERVICE, 64, record);
            let worker = Arc::new(worker);
            let served = Arc::clone(&worker);
            http::serve(listener, Arc::new(move |request| served.handle(request)));
            deployment.workers.push(worker);
        }
        deployment.store.put("op", "config", &config());
        deployment.run_workers();
        for number in 0..daemons {
            let daemon = deployment.new_daemon(number, address)?;
            deployment.daemons.push(daemon);
        }
        for number in 0..daemons {
            deployment.start_daemon(number)?;
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Advances the workers, and has them write their entries.
    fn run_workers(&self) {
        let workers = self.workers.clone();
        let is_over = Arc::clone(&self.is_over);
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                workers.iter().for_each(|worker| worker.advance());
                std::thread::sleep(Duration::from_millis(3));
            }
        });
        let (workers, store) = (self.workers.clone(), Arc::clone(&self.store));
        let is_over = Arc::clone(&self.is_over);
        std::thread::spawn(move || {
            let mut silent = vec![0; workers.len()];
            while !is_over.load(Ordering::Relaxed) {
                for (worker, silent) in workers.iter().zip(&mut silent) {
                    match worker.entry() {
                        Some(entry) => {
                            *silent = 0;
                            store.put("servers", &worker.id, &entry);
                        }
                        None => {
                            *silent += 1;
                            if *silent == 3 {
                                store.remove("servers", &worker.id);
                            }
                        }
                    }
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    fn new_daemon(&self, number: usize, store: SocketAddr) -> Result<Daemon, Failure> {
        let name = format!("frontend-{number}");
        let clients = next_port()?.local_addr()?;
        let ready = next_port()?.local_addr()?;
        let pair = next_pair()?;
        let text = settings(&name, number, clients, ready, pair, store);
        let settings = self.dir.join(format!("{name}.json"));
        std::fs::write(&settings, text)?;
        Ok(Daemon { name, settings, clients, ready, pid: None })
    }

    pub fn start_daemon(&mut self, number: usize) -> Result<(), Failure> {
        let words = command()?;
        let daemon = &mut self.daemons[number];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", daemon.name)))?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("GERANIUMLATCH_CONFIG", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.tell(&format!("{} is started", daemon.name));
        daemon.pid = Some(child.id());
        CHILDREN.lock().unwrap().push(child);
        Ok(())
    }

    pub fn kill_daemon(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let Some(pid) = daemon.pid.take() else { return };
        let child = {
            let mut children = CHILDREN.lock().unwrap();
            let found = children.iter().position(|child| child.id() == pid);
            found.map(|n| children.swap_remove(n))
        };
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.record.tell(&format!("{} is killed", daemon.name));
        }
    }

    pub fn wait_until_ready(&self) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(15);
        let timeout = Duration::from_millis(500);
        for daemon in &self.daemons {
            loop {
                let reply = http::call(daemon.ready, "GET", "/readyz", HOST, None, timeout);
                if reply.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not ready", daemon.name).into());
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Sends a client's request to a daemon. Returns `None` if there is no answer.
    pub fn call(
        &self,
        number: usize,
        method: &str,
        id: &str,
        body: Option<&Json>,
    ) -> Option<(u16, Json)> {
        let path = format!("{PREFIX}{id}");
        let address = self.daemons[number].clients;
        let name = &self.daemons[number].name;
        self.record.line(&format!("client: {method} {id} to {name}"));
        let reply = http::call(address, method, &path, HOST, body, BUDGET);
        let text = match &reply {
            Some((status, body)) => format!("{status} {}", body.render()),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("client: {method} {id}: {text}"));
        reply
    }

    /// Hands a job in, as a client that repeats it until it is accepted.
    pub fn submit(&self, id: &str, job: &Json) -> Result<(), Failure> {
        for attempt in 0..10 {
            let reply = self.call(attempt % self.daemons.len(), "POST", id, Some(job));
            if reply.is_some_and(|(status, _)| status == 200) {
                self.record.tell(&format!("the job {id} is accepted"));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        Err(format!("the job {id} is not accepted").into())
    }

    /// Returns the state of a job, if a daemon gives one.
    pub fn state(&self, number: usize, id: &str) -> Option<String> {
        let (status, body) = self.call(number, "GET", id, None)?;
        (status == 200).then(|| body.text("State"))
    }

    /// Waits until a job is shown in a state; returns whether it was in time.
    pub fn wait_for_state(&self, id: &str, state: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for number in 0..self.daemons.len() {
                if self.state(number, id).as_deref() == Some(state) {
                    self.record.tell(&format!("the job {id} is shown as {state}"));
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        self.record.tell(&format!("the job {id} is not shown as {state}"));
        false
    }

    /// Waits until the workers run `count` tasks.
    pub fn wait_for_running(&self, count: usize, limit: Duration) -> Result<(), Failure> {
        let until = Instant::now() + limit;
        loop {
            let running: usize = self.workers.iter().map(|worker| worker.running()).sum();
            if running >= count {
                self.record.tell(&format!("{running} tasks run"));
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("{running} of {count} tasks run").into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for number in 0..self.daemons.len() {
            self.kill_daemon(number);
        }
        self.is_over.store(true, Ordering::Relaxed);
        self.record.flush();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn config() -> Json {
    let route = Json::obj(vec![
        ("Name", Json::str("bookings")),
        ("Host", Json::str(HOST)),
        ("PathPrefix", Json::str(PREFIX)),
        ("Kind", Json::str("non_idempotent")),
        ("TimeoutMs", Json::num(3_000)),
        ("TargetLatencyMs", Json::num(1_000)),
        ("Priority", Json::num(2)),
        ("Service", Json::str(SERVICE)),
        ("MaxAttempts", Json::num(4)),
        ("SlackFactor", Json::Num(2.0)),
    ]);
    let service = Json::obj(vec![
        ("Name", Json::str(SERVICE)),
        ("HealthPath", Json::str("/healthz")),
        ("MaxConns", Json::num(64)),
        ("Protocol", Json::str("h1")),
        ("Tls", Json::Bool(false)),
        ("EnforcesCapacity", Json::Bool(false)),
        ("Standby", Json::Bool(false)),
    ]);
    let limits = Json::obj(vec![
        ("MaxHeaderBytes", Json::num(16_384)),
        ("MaxBodyBytes", Json::num(262_144)),
        ("HeaderTimeoutMs", Json::num(3_000)),
        ("IdleTimeoutMs", Json::num(15_000)),
    ]);
    Json::obj(vec![
        ("Version", Json::num(3)),
        ("Routes", Json::Arr(vec![route])),
        ("Services", Json::Arr(vec![service])),
        ("Limits", limits),
    ])
}

fn settings(
    name: &str,
    number: usize,
    clients: SocketAddr,
    ready: SocketAddr,
    pair: u16,
    store: SocketAddr,
) -> String {
    let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
    let last = pair + 1;
    format!(
        r#"{{
  "NodeName": "{name}", "Role": "scheduler", "MachineClass": "frontend", "Serves": ["frontend"],
  "Ip": "127.0.0.1", "Zone": "{zone}", "Region": "region",
  "Zones": {{"zone-a": "region", "zone-b": "region", "zone-c": "region"}},
  "ListenAddrs": {{"FrontendAddr": "{clients}", "Ready": "{ready}"}},
  "PortRange": [{pair}, {last}], "Seeds": [], "Bootstrap": true, "FaultCounted": false,
  "Limits": {{"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}},
  "DataDir": null, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1100,
  "Contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"],
  "FaultTolerance": {{"Machines": 1, "Zones": 0, "RegionLosses": 0}},
  "Bounds": {{"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
    "MaxSkewMs": 5000, "RecoveryS": 12, "HoldMaxMs": 10000, "StopTimeoutMs": 900,
    "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "RemoteFactor": 1.5, "CheckpointS": 2, "RestoreMs": 250, "NoticeMs": 4500,
    "MoveS": 1.5, "MaintenanceS": 2, "FencingEnforced": true, "LeaseMs": 3000, "ThawMs": 300,
    "PaceMs": 100, "HarmMs": 4000}},
  "ControlMode": "push",
  "platform": {{"Address": "{store}", "form": "table", "WritesPerS": 600, "ReadsPerS": 2000, "TxMs": 4.0,
    "PartWritesS": 250, "RowBytes": 65536, "Across": true, "HistoryS": 20, "BlobBytes": 8388608,
    "BlobMs": 25.0, "BlobMbS": 80.0}}
}}
"#
    )
}
