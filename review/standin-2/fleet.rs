//! Workers and the advice service. All workers are in one process; each has its own address.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    json::{self, Json},
    record::Record,
    store::Store,
};

pub const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 60;
const STARTUP_MS: u64 = 300;
const MAX_ENDS: usize = 500;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What a task does, as its `Spec` says: `work=MS`, `first=MS` for those of the first occurrence, or
/// `lasts`.
#[derive(Clone, Default)]
struct Behaviour {
    work_ms: u64,
    lasts: bool,
}

fn behaviour(spec: &str, task: &str) -> Behaviour {
    let is_first = task.split('.').nth(1) == Some("0");
    let mut found = Behaviour { work_ms: 200, ..Behaviour::default() };
    for word in spec.split(' ') {
        match word.split_once('=') {
            Some(("work", ms)) => found.work_ms = ms.parse().unwrap_or(200),
            Some(("first", ms)) if is_first => found.work_ms = ms.parse().unwrap_or(200),
            _ if word == "lasts" => found.lasts = true,
            _ => {}
        }
    }
    found
}

struct Run {
    attempt: u64,
    since: Instant,
    behaviour: Behaviour,
    stopping: Option<Instant>,
    /// The position in the record.
    record: usize,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    id: String,
    born: u64,
    started: Instant,
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest attempt of each task that was stopped or has ended.
    barred: BTreeMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
}

impl Life {
    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: u64) {
        self.lease_ms = self.lease_ms.max(deadline.min(self.clock() + HOLD_MAX_MS));
    }
}

struct Worker {
    address: SocketAddr,
    machine: String,
    rack: String,
    zone: String,
    life: Option<Life>,
    lives: u64,
}

#[derive(Clone)]
pub struct Settings {
    pub service: String,
    pub workers: usize,
    /// The cores of each worker, in thousandths.
    pub cpu: u64,
    /// The workers that the policy of the advised queue allows.
    pub allowed: BTreeSet<usize>,
    pub is_advised: bool,
}

pub struct Fleet {
    workers: Mutex<Vec<Worker>>,
    servers: Mutex<Vec<http::Server>>,
    changed: Condvar,
    record: Arc<Record>,
    store: Arc<Store>,
    pub settings: Settings,
}

/// How long advice takes and is valid.
pub const DECIDE_MS: u64 = 10;
pub const EACH_MS: u64 = 1;
pub const VALID_MS: u64 = 3_000;

impl Fleet {
    pub fn start(
        settings: Settings,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let fleet = Arc::new(Self {
            workers: Mutex::default(),
            servers: Mutex::default(),
            changed: Condvar::new(),
            record,
            store,
            settings: settings.clone(),
        });
        for index in 0..settings.workers {
            let shared = Arc::clone(&fleet);
            let handler: http::Handler = Arc::new(move |request| shared.handle(index, request));
            let server = http::Server::start(handler)?;
            let worker = Worker {
                address: server.address,
                machine: format!("m-{index:03}"),
                rack: format!("r1-{}", index / 8),
                zone: format!("zone-{}", ["a", "b", "c"][index % 3]),
                life: None,
                lives: 0,
            };
            fleet.workers.lock().unwrap().push(worker);
            fleet.servers.lock().unwrap().push(server);
            fleet.begin(index, false);
        }
        let shared = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                shared.advance();
            }
        });
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Worker>> {
        self.workers.lock().unwrap()
    }

    /// Returns the entry of a worker in the store.
    pub fn entry(&self, index: usize) -> Vec<(&'static str, Json)> {
        let workers = self.lock();
        let worker = &workers[index];
        let life = worker.life.as_ref();
        vec![
            ("Service", json::text(self.settings.service.clone())),
            ("Address", json::text(worker.address.to_string())),
            ("Zone", json::text(worker.zone.clone())),
            ("Version", json::text("v1")),
            ("Slots", json::num(8)),
            ("State", json::text("ready")),
            ("ColdLeftMs", json::num(0)),
            ("Machine", json::text(worker.machine.clone())),
            (
                "Capacity",
                json::map(vec![
                    ("Cpu", json::num(self.settings.cpu)),
                    ("MemMb", json::num(256_000)),
                    ("Gpu", json::num(0)),
                ]),
            ),
            ("Labels", Json::List(vec![json::text("a"), json::text(worker.rack.clone())])),
            ("ClockMs", json::num(life.map_or(0, Life::clock))),
            ("Seq", json::num(1)),
            ("born", json::num(life.map_or(0, |life| life.born))),
        ]
    }

    /// Writes the entry of a worker. Later heartbeats would change `Seq` only, which does not change the
    /// entry, so the stand-in leaves them out and removes entries itself.
    fn register(&self, index: usize) {
        let id = self.lock()[index].life.as_ref().map(|life| life.id.clone());
        if let Some(id) = id {
            let entry = json::map(self.entry(index));
            self.store.put("servers", &id, &entry.write());
        }
    }

    /// Starts a life of a worker, under the id of the last one if `keeps_id`.
    pub fn begin(&self, index: usize, keeps_id: bool) {
        {
            let mut workers = self.lock();
            let worker = &mut workers[index];
            if !keeps_id || worker.lives == 0 {
                worker.lives += 1;
            }
            let id = format!("i-{index:03}-{}", worker.lives);
            let born = unix_ms();
            self.record.note(&format!("worker {index} begins as {id}, born {born}"));
            worker.life = Some(Life {
                id,
                born,
                started: Instant::now(),
                token: 0,
                lease_ms: 0,
                runs: BTreeMap::new(),
                barred: BTreeMap::new(),
                ends: Vec::new(),
                next_end: 1,
            });
        }
        self.register(index);
    }

    /// Ends the life of a worker at once; its connections are reset, and its entry stays for three
    /// heartbeats.
    pub fn crash(&self, index: usize) -> Option<String> {
        let life = self.lock()[index].life.take()?;
        self.record.note(&format!("worker {index} ({}) crashes", life.id));
        for run in life.runs.values() {
            self.record.ended(run.record, "crash");
        }
        self.servers.lock().unwrap()[index].close_all();
        self.changed.notify_all();
        Some(life.id)
    }

    /// Removes the entry of a life that has ended.
    pub fn expire(&self, id: &str) {
        self.store.drop_row("servers", id);
    }

    /// Returns the most processors that are free on one worker. All tasks have 8 cores.
    pub fn most_room(&self) -> u64 {
        let workers = self.lock();
        let lives = workers.iter().filter_map(|worker| worker.life.as_ref());
        let free =
            lives.map(|life| self.settings.cpu.saturating_sub(8_000 * life.runs.len() as u64));
        free.max().unwrap_or(0)
    }

    /// Returns the worker with the most runs.
    pub fn busiest(&self) -> usize {
        let workers = self.lock();
        let runs = |worker: &Worker| worker.life.as_ref().map_or(0, |life| life.runs.len());
        (0..workers.len()).max_by_key(|index| runs(&workers[*index])).unwrap_or(0)
    }

    /// Returns the number of runs.
    pub fn runs(&self) -> usize {
        let workers = self.lock();
        workers.iter().filter_map(|worker| worker.life.as_ref()).map(|life| life.runs.len()).sum()
    }

    /// Returns the workers on which a task of the job runs.
    pub fn running(&self, job: &str) -> Vec<(usize, String)> {
        let workers = self.lock();
        let of = |(index, worker): (usize, &Worker)| {
            let runs = worker.life.iter().flat_map(|life| life.runs.keys());
            let tasks = runs.filter(|task| task.starts_with(job)).cloned();
            tasks.map(|task| (index, task)).collect::<Vec<_>>()
        };
        workers.iter().enumerate().flat_map(of).collect()
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else { return };
        self.record.ended(run.record, how);
        let number = life.next_end;
        life.next_end += 1;
        let barred = life.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.attempt);
        life.ends.push(End { number, task: task.to_owned(), attempt: run.attempt, how });
    }

    fn advance(&self) {
        let mut workers = self.lock();
        for life in workers.iter_mut().filter_map(|worker| worker.life.as_mut()) {
            let has_lapsed = life.clock() > life.lease_ms;
            let tasks: Vec<String> = life.runs.keys().cloned().collect();
            for task in tasks {
                let run = &life.runs[&task];
                let stop_time = Duration::from_millis(STOP_MS);
                let is_stopped = run.stopping.is_some_and(|at| at.elapsed() >= stop_time);
                let work = Duration::from_millis(run.behaviour.work_ms);
                if has_lapsed {
                    self.end(life, &task, "lapsed");
                } else if is_stopped {
                    self.end(life, &task, "stopped");
                } else if !run.behaviour.lasts && run.since.elapsed() >= work {
                    self.end(life, &task, "done");
                }
            }
        }
        self.changed.notify_all();
    }

    fn handle(&self, index: usize, request: &http::Request) -> Option<(u16, String)> {
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let mut workers = self.lock();
        let life = workers[index].life.as_mut()?;
        if request.header("X-Expect-Instance").is_some_and(|id| id != life.id) {
            return Some((421, String::new()));
        }
        if request.path == "/healthz" {
            return Some((200, String::new()));
        }
        let token = body.get("FencingToken").whole();
        let refuse = |life: &Life, reason: &str| {
            let clock = ("ClockMs", json::num(life.clock()));
            Some((409, json::map(vec![clock, ("Reason", json::text(reason))]).write()))
        };
        if token < life.token {
            return refuse(life, "fence");
        }
        life.token = token;
        let task = body.get("Task").text().to_owned();
        let attempt = body.get("Attempt").whole();
        let done = |life: &Life| {
            Some((200, json::map(vec![("ClockMs", json::num(life.clock()))]).write()))
        };
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.get("DeadlineMs").whole();
                if deadline < life.clock() {
                    return refuse(life, "late");
                }
                if life.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
                    life.extend(deadline);
                    return done(life);
                }
                let is_old = life.barred.get(&task).is_some_and(|barred| attempt <= *barred);
                if is_old || life.runs.get(&task).is_some_and(|run| attempt < run.attempt) {
                    life.extend(deadline);
                    return refuse(life, "old");
                }
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                if self.settings.is_advised
                    && !self.is_ticket_valid(body.get("Ticket").text(), step, &life.id)
                {
                    return refuse(life, "ticket");
                }
                life.extend(deadline);
                let behaviour = behaviour(body.get("Spec").text(), &task);
                let since = Instant::now();
                let record = self.record.started(&task, attempt, index, &life.id, token);
                let run = Run { attempt, since, behaviour, stopping: None, record };
                life.runs.insert(task, run);
                done(life)
            }
            "/run-stop" => {
                let is_there = life.runs.get(&task).is_some_and(|run| run.attempt == attempt);
                if is_there {
                    let run = life.runs.get_mut(&task)?;
                    run.stopping = run.stopping.or(Some(Instant::now()));
                } else {
                    let barred = life.barred.entry(task).or_default();
                    *barred = (*barred).max(attempt);
                }
                done(life)
            }
            "/pace" => done(life),
            "/hold" => {
                let cursor = body.get("AckCursor").whole();
                life.ends.retain(|end| end.number > cursor);
                if let Some(deadline) = body.get("DeadlineMs").number() {
                    life.extend(deadline as u64);
                }
                let born = life.born;
                let wait = body.get("WaitMs").whole().min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let worker = &workers[index];
                    let life = worker.life.as_ref().filter(|life| life.born == born)?;
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ends.is_empty() || left.is_zero() {
                        return Some((200, report(life)));
                    } else {
                        workers = self.changed.wait_timeout(workers, left).unwrap().0;
                    }
                }
            }
            _ => Some((404, String::new())),
        }
    }

    fn is_ticket_valid(&self, ticket: &str, step: &str, id: &str) -> bool {
        let mut parts = ticket.split('|');
        let is_for = parts.next() == Some(step) && parts.next() == Some(id);
        let issued: u64 = parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        is_for && unix_ms() < issued + VALID_MS
    }

    /// Answers a call for advice.
    pub fn advise(&self, request: &http::Request) -> Option<(u16, String)> {
        let body = json::parse(&request.body)?;
        let step = body.get("Step").text();
        let asked = body.get("Workers").list();
        thread::sleep(Duration::from_millis(DECIDE_MS + EACH_MS * asked.len() as u64));
        let mut granted = Vec::new();
        for id in asked.iter().map(Json::text) {
            let workers = self.lock();
            let is_this = |(index, worker): &(usize, &Worker)| {
                worker.life.as_ref().is_some_and(|life| life.id == id)
                    && self.settings.allowed.contains(index)
            };
            if workers.iter().enumerate().any(|entry| is_this(&entry)) {
                let ticket = format!("{step}|{id}|{}", unix_ms());
                granted.push(Json::List(vec![json::text(id), json::text(ticket)]));
            }
        }
        let ids: Vec<&str> = asked.iter().map(Json::text).collect();
        self.record.note(&format!(
            "advice on {step}: {} workers asked ({} .. {}), {} granted",
            ids.len(),
            ids.iter().min().unwrap_or(&""),
            ids.iter().max().unwrap_or(&""),
            granted.len()
        ));
        let valid = json::num(VALID_MS);
        Some((200, json::map(vec![("Granted", Json::List(granted)), ("ValidMs", valid)]).write()))
    }
}

fn report(life: &Life) -> String {
    let running = life.runs.iter().map(|(task, run)| {
        let elapsed = run.since.elapsed().as_secs_f64() * 1_000.0;
        let full = if run.behaviour.lasts { STARTUP_MS } else { run.behaviour.work_ms };
        let percent = (elapsed / full.max(1) as f64 * 100.0).min(100.0).floor();
        let load = if run.behaviour.lasts { 2 } else { 100 };
        Json::List(vec![
            json::text(task.clone()),
            json::num(run.attempt),
            json::text(""),
            Json::Num(percent),
            json::num(load),
        ])
    });
    let finished = life.ends.iter().take(MAX_ENDS).map(|end| {
        Json::List(vec![
            json::num(end.number),
            json::text(end.task.clone()),
            json::num(end.attempt),
            json::text(end.how),
            json::text(""),
        ])
    });
    json::map(vec![
        ("ClockMs", json::num(life.clock())),
        ("born", json::num(life.born)),
        ("Running", Json::List(running.collect())),
        ("Finished", Json::List(finished.collect())),
    ])
    .write()
}
