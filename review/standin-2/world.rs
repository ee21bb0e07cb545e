//! A small deployment on loopback: the store, workers, the advice service and daemons.

use std::{
    collections::BTreeSet,
    env,
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Fleet},
    http,
    json::{self, Json},
    record::Record,
    store::Store,
};

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/book/";
const QUEUE: &str = "bookings";

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
    safe fn prctl(option: i32, argument: usize) -> i32;
}

/// The option that has a process killed when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;

pub struct Daemon {
    pub name: String,
    pub client: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub daemons: Vec<Daemon>,
    dir: PathBuf,
    _servers: Vec<http::Server>,
}

/// Ports below the range from which the system takes those of outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Returns the first of two free ports side by side, and no port twice.
fn free_pair() -> io::Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let is_free = |port: u16| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
    let count = PORTS.end - PORTS.start;
    let first = (std::process::id().wrapping_mul(97) % u32::from(count)) as u16;
    for _ in 0..count / 2 {
        let offset = (u32::from(first) + u32::from(NEXT.fetch_add(2, Ordering::Relaxed))) as u16;
        let port = PORTS.start + offset % (count - 1);
        if is_free(port) && is_free(port + 1) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no two free ports side by side"))
}

fn route(attempts: u64, is_advised: bool) -> Json {
    let mut entries = vec![
        ("Name", json::text(QUEUE)),
        ("Host", json::text(HOST)),
        ("PathPrefix", json::text(PREFIX)),
        ("Kind", json::text("non_idempotent")),
        ("TimeoutMs", json::num(3_000)),
        ("TargetLatencyMs", json::num(250)),
        ("Priority", json::num(0)),
        ("Service", json::text(SERVICE)),
        ("MaxAttempts", json::num(attempts)),
        ("SlackFactor", Json::Num(1.5)),
    ];
    if is_advised {
        let advice = vec![
            ("DecideMs", json::num(fleet::DECIDE_MS)),
            ("EachMs", json::num(fleet::EACH_MS)),
            ("ValidMs", json::num(fleet::VALID_MS)),
        ];
        entries.push(("Advice", json::map(advice)));
    }
    json::map(entries)
}

pub const SERVICE: &str = "desk-a";

pub struct Options {
    pub workers: usize,
    pub daemons: usize,
    pub allowed: Option<BTreeSet<usize>>,
    pub cpu: u64,
}

impl World {
    pub fn start(options: Options, record: &Path) -> io::Result<Self> {
        let record = Arc::new(Record::create(record)?);
        let store = Arc::new(Store::new());
        let is_advised = options.allowed.is_some();
        let settings = fleet::Settings {
            service: SERVICE.to_owned(),
            workers: options.workers,
            cpu: options.cpu,
            allowed: options.allowed.clone().unwrap_or_default(),
            is_advised,
        };
        let services = json::map(vec![
            ("Name", json::text(SERVICE)),
            ("HealthPath", json::text("/healthz")),
            ("MaxConns", json::num(64)),
            ("EnforcesCapacity", Json::Bool(false)),
            ("Standby", Json::Bool(false)),
        ]);
        let limits = json::map(vec![("MaxBodyBytes", json::num(262_144))]);
        let config = json::map(vec![
            ("Version", json::num(7)),
            ("Routes", Json::List(vec![route(3, is_advised)])),
            ("Services", Json::List(vec![services])),
            ("Limits", limits),
        ]);
        store.put("op", "config", &config.write());
        let fleet = Fleet::start(settings, Arc::clone(&store), Arc::clone(&record))?;
        let shared = Arc::clone(&store);
        let store_server = http::Server::start(Arc::new(move |request| shared.handle(request)))?;
        let (shared, turn) = (Arc::clone(&fleet), Mutex::new(()));
        let advice = http::Server::start(Arc::new(move |request| {
            let _turn = turn.lock().unwrap();
            shared.advise(request)
        }))?;
        let dir = env::temp_dir().join(format!("gl-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut world = Self {
            record,
            store,
            fleet,
            daemons: Vec::new(),
            dir,
            _servers: vec![store_server, advice],
        };
        for n in 0..options.daemons {
            world.add_daemon(n, is_advised)?;
        }
        world.wait_until_ready()?;
        Ok(world)
    }

    fn add_daemon(&mut self, n: usize, is_advised: bool) -> io::Result<()> {
        let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let (own, ports) = (free_pair()?, free_pair()?);
        let (client, ready) = (address(own), address(own + 1));
        let name = format!("frontend-{n}");
        let zones = ["zone-a", "zone-b", "zone-c"];
        let listen = json::map(vec![
            ("FrontendAddr", json::text(client.to_string())),
            ("Ready", json::text(ready.to_string())),
        ]);
        let limits = json::map(vec![
            ("CpuShare", Json::Num(0.25)),
            ("Cores", json::num(1)),
            ("MemoryMb", json::num(260)),
            ("MaxFds", json::num(4_100)),
        ]);
        let bounds = json::map(vec![
            ("ContactMs", json::num(3_000)),
            ("AckTimeoutMs", json::num(4_000)),
            ("DrainMs", json::num(2_000)),
            ("GraceS", json::num(6)),
            ("ConfigApplyMs", json::num(2_000)),
            ("HoldMaxMs", json::num(fleet::HOLD_MAX_MS)),
            ("StopTimeoutMs", json::num(900)),
            ("GangTimeoutMs", json::num(3_000)),
            ("status_s", json::num(120)),
            ("RemoteFactor", Json::Num(1.5)),
        ]);
        let platform = json::map(vec![
            ("Address", json::text(self._servers[0].address.to_string())),
            ("form", json::text("table")),
            ("RowBytes", json::num(65_536)),
            ("Across", Json::Bool(true)),
        ]);
        let advice =
            if is_advised { json::text(self._servers[1].address.to_string()) } else { Json::Null };
        let settings = json::map(vec![
            ("NodeName", json::text(name.clone())),
            ("Role", json::text("scheduler")),
            ("MachineClass", json::text("frontend")),
            ("Ip", json::text("127.0.0.1")),
            ("Zone", json::text(zones[n % 3])),
            ("Region", json::text("region-1")),
            ("ListenAddrs", listen),
            (
                "PortRange",
                Json::List(vec![json::num(ports.into()), json::num(u64::from(ports) + 1)]),
            ),
            ("Bootstrap", Json::Bool(true)),
            ("Limits", limits),
            ("HeartbeatMs", json::num(1_100)),
            ("Bounds", bounds),
            ("ControlMode", json::text("push")),
            ("Advice", advice),
            ("platform", platform),
        ]);
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.write())?;
        self.daemons.push(Daemon { name, client, ready, settings: path, child: None });
        self.launch(n)
    }

    /// Starts the process of a daemon.
    pub fn launch(&mut self, n: usize) -> io::Result<()> {
        let program = env::var("GERANIUMLATCHD")
            .unwrap_or_else(|_| "target/release/geraniumlatchd".to_owned());
        let daemon = &mut self.daemons[n];
        let log = self.dir.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        // SAFETY: the closure makes one system call, and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command
            .arg("--hosted")
            .env("GERANIUMLATCH_CONFIG", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(&format!("{} starts", daemon.name));
        daemon.child = Some(child);
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |daemon: &Daemon| {
            let limit = Duration::from_millis(500);
            let reply = http::send(daemon.ready, "GET", "/readyz", &[("Host", "x")], "", limit);
            reply.is_some_and(|(status, _)| status == 200)
        };
        while !self.daemons.iter().all(is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the daemons are not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Sends a signal to a daemon; SIGKILL also waits for its end.
    pub fn signal(&mut self, n: usize, signal: i32) {
        let daemon = &mut self.daemons[n];
        let Some(child) = &mut daemon.child else { return };
        self.record.note(&format!("signal {signal} to {}", daemon.name));
        kill(child.id() as i32, signal);
        if signal == SIGKILL {
            let _ = child.wait();
            daemon.child = None;
        }
    }

    /// Returns the index of the daemon that the store names as the owner.
    pub fn owner(&self) -> Option<usize> {
        let path = "/rows-get?Table=cells&part=claims&From=owner&Limit=1";
        let limit = Duration::from_secs(1);
        let reply = http::send(self._servers[0].address, "GET", path, &[("Host", "x")], "", limit);
        let reply = json::parse(&reply?.1)?;
        let bytes = unbase64(reply.get("rows").list().first()?.get("Value").text());
        let text = String::from_utf8_lossy(&bytes).into_owned();
        self.daemons.iter().position(|daemon| text.contains(&daemon.name))
    }

    /// Sends a request to a daemon, as the balancer passes it on.
    pub fn call(&self, n: usize, method: &str, job: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{job}");
        let limit = Duration::from_secs(3);
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let reply = http::send(self.daemons[n].client, method, &path, &headers, body, limit);
        let answer = match &reply {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.note(&format!("{method} {path} {body} at {}: {answer}", self.daemons[n].name));
        reply
    }

    /// Hands in a job, at one daemon after the other, as a client with four retries does.
    pub fn submit(&self, job: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let reply = self.call(attempt % self.daemons.len(), "POST", job, body);
            if reply.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Returns the state of a job.
    pub fn state(&self, job: &str) -> Option<String> {
        for n in 0..self.daemons.len() {
            if let Some((200, body)) = self.call(n, "GET", job, "") {
                return json::parse(&body).map(|body| body.get("State").text().to_owned());
            }
        }
        None
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for n in 0..self.daemons.len() {
            self.signal(n, SIGCONT);
            self.signal(n, SIGKILL);
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs in {}", self.dir.display());
        }
    }
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes() {
        let digit = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => break,
        };
        bits = bits << 6 | u32::from(digit);
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 0xff) as u8);
        }
    }
    out
}

/// Returns the body of a job of one phase, with `fields` added to it.
pub fn job(spec: &str, count: u64, cpu: u64, estimate_ms: u64, fields: &str) -> String {
    format!(
        r#"{{"Spec":"{spec}","Phases":[{{"Count":{count},"Cpu":{cpu},"MemMb":256,"EstimateMs":{estimate_ms}{fields}}}]}}"#
    )
}

/// Waits until `is_met` or the time has passed; returns whether it was met.
pub fn wait_for(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if is_met() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
}
