//! A worker: runs tasks on orders, lists their ends until they are acknowledged, and registers itself.
//! What it runs is printed, one line each, for the process that started it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{self, n, obj, s, Json},
    unix_ms,
};

/// The longest lease.
const HOLD_MAX: u64 = 10_000;
/// The time that a run takes to stop.
const STOP: Duration = Duration::from_millis(200);
const HEARTBEAT: Duration = Duration::from_millis(1_100);
const LISTED: usize = 500;

struct Run {
    attempt: u64,
    started: Instant,
    work: Option<u64>,
    stop_at: Option<Instant>,
}

impl Run {
    /// Returns the work that is done, in milliseconds.
    fn progress(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

#[derive(Default)]
struct State {
    token: u64,
    deadline: u64,
    runs: BTreeMap<String, Run>,
    refused: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    acked: u64,
}

struct Worker {
    id: String,
    born: u64,
    since: Instant,
    state: Mutex<State>,
    ends: Condvar,
}

pub fn run(args: &[String]) {
    let [store, id, machine, rack, zone, service, cpu, address, label] = args else { std::process::exit(2) };
    let store: SocketAddr = store.parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("{} listen {}", unix_ms(), listener.local_addr().unwrap());
    let worker = Arc::new(Worker {
        id: id.clone(),
        born: unix_ms(),
        since: Instant::now(),
        state: Mutex::default(),
        ends: Condvar::new(),
    });
    let handler = Arc::clone(&worker);
    http::serve(listener, Arc::new(move |request| handler.handle(request)));
    let advancing = Arc::clone(&worker);
    thread::spawn(move || loop {
        advancing.advance(&mut advancing.state.lock().unwrap());
        thread::sleep(Duration::from_millis(5));
    });
    let parent = std::os::unix::process::parent_id();
    for seq in 1.. {
        // The process that started it has ended.
        if std::os::unix::process::parent_id() != parent {
            return;
        }
        let capacity = obj(vec![
            ("Cpu", n(cpu.parse().unwrap())),
            ("MemMb", n(256_000)),
            ("Gpu", n(0)),
        ]);
        let entry = obj(vec![
            ("Service", s(service)),
            ("Address", s(address)),
            ("Zone", s(zone)),
            ("Version", s("v1")),
            ("Slots", n(8)),
            ("State", s("ready")),
            ("ColdLeftMs", n(0)),
            ("Seq", n(seq)),
            ("Capacity", capacity),
            ("Labels", Json::Arr(vec![s(label), s(rack)])),
            ("Machine", s(machine)),
            ("born", n(worker.born)),
        ]);
        let path = format!("/register?Key={id}");
        http::send(store, "POST", &path, "store", &entry.to_string(), Duration::from_secs(2));
        thread::sleep(HEARTBEAT);
    }
}

impl Worker {
    fn clock(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        state.count += 1;
        let refused = state.refused.entry(task.to_owned()).or_default();
        *refused = (*refused).max(run.attempt);
        println!("{} end {task} {} {how} {}", unix_ms(), run.attempt, state.count);
        state.ended.push((state.count, task.to_owned(), run.attempt, how));
    }

    fn advance(&self, state: &mut State) {
        let has_lapsed = self.clock() > state.deadline;
        let now = Instant::now();
        let how = |run: &Run| {
            if has_lapsed {
                Some("lapsed")
            } else if run.stop_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if run.work.is_some_and(|work| run.progress() >= work) {
                Some("done")
            } else {
                None
            }
        };
        let over: Vec<_> =
            state.runs.iter().filter_map(|(task, run)| Some((task.clone(), how(run)?))).collect();
        for (task, how) in &over {
            self.end(state, task, how);
        }
        if !over.is_empty() {
            self.ends.notify_all();
        }
    }

    fn extend(&self, state: &mut State, deadline: Option<u64>) {
        let deadline = deadline.unwrap_or(0).min(self.clock() + HOLD_MAX);
        state.deadline = state.deadline.max(deadline);
    }

    fn reply(&self, status: u16, mut fields: Vec<(&str, Json)>) -> (u16, String) {
        fields.extend([("ClockMs", n(self.clock())), ("born", n(self.born))]);
        (status, obj(fields).to_string())
    }

    fn handle(&self, request: &http::Request) -> (u16, String) {
        if request.header("X-Expect-Instance").is_some_and(|id| id != self.id) {
            return self.reply(421, Vec::new());
        }
        let Some(body) = json::parse(&request.body) else { return self.reply(400, Vec::new()) };
        let refuse = |reason| self.reply(409, vec![("Reason", s(reason))]);
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let token = body.get("FencingToken").num().unwrap_or(0);
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        let (task, attempt) = (body.get("Task").text(), body.get("Attempt").num().unwrap_or(0));
        let deadline = body.get("DeadlineMs").num();
        match request.path.as_str() {
            "/run-start" => {
                if deadline.is_none_or(|deadline| deadline < self.clock()) {
                    return refuse("late");
                }
                self.extend(&mut state, deadline);
                if let Some(run) = state.runs.get(task) {
                    let is_same = run.attempt == attempt;
                    return if is_same { self.reply(200, Vec::new()) } else { refuse("old") };
                }
                if state.refused.get(task).is_some_and(|refused| attempt <= *refused) {
                    return refuse("old");
                }
                let spec = json::parse(body.get("Spec").text().as_bytes()).unwrap_or(Json::Null);
                let run = Run {
                    attempt,
                    started: Instant::now(),
                    work: spec.get("work_ms").num(),
                    stop_at: None,
                };
                println!("{} start {task} {attempt} {token}", unix_ms());
                state.runs.insert(task.to_owned(), run);
                self.reply(200, Vec::new())
            }
            "/run-stop" => {
                let refused = state.refused.entry(task.to_owned()).or_default();
                *refused = (*refused).max(attempt);
                println!("{} stop {task} {attempt}", unix_ms());
                if let Some(run) = state.runs.get_mut(task).filter(|run| run.attempt <= attempt) {
                    run.stop_at = run.stop_at.or(Some(Instant::now() + STOP));
                }
                self.reply(200, Vec::new())
            }
            "/pace" => self.reply(200, Vec::new()),
            "/hold" => {
                self.extend(&mut state, deadline);
                let cursor = body.get("AckCursor").num().unwrap_or(0);
                if cursor > state.acked {
                    state.acked = cursor;
                    println!("{} ack {cursor}", unix_ms());
                }
                state.ended.retain(|end| end.0 > cursor);
                let wait = body.get("WaitMs").num().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ends.wait_timeout(state, left).unwrap().0;
                }
                let running = state.runs.iter().map(|(task, run)| self.running(task, run)).collect();
                let listed = state.ended.iter().take(LISTED);
                let finished = listed
                    .map(|(number, task, attempt, how)| {
                        Json::Arr(vec![n(*number), s(task), n(*attempt), s(how), s("")])
                    })
                    .collect();
                self.reply(
                    200,
                    vec![("Running", Json::Arr(running)), ("Finished", Json::Arr(finished))],
                )
            }
            _ => self.reply(400, Vec::new()),
        }
    }

    /// A row of the runs in progress, with whole percents.
    fn running(&self, task: &str, run: &Run) -> Json {
        let percent = run.work.map_or(100, |work| (run.progress() * 100 / work.max(1)).min(99));
        Json::Arr(vec![s(task), n(run.attempt), s(""), n(percent), n(500)])
    }
}
