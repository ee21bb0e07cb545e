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
    fails: bool,
    stop_at: Option<Instant>,
    /// The number of members, if it belongs to a gang.
    gang: Option<u64>,
    /// When all members were present, by the Unix time; at once if it belongs to no gang.
    complete: Option<u64>,
    is_broken: bool,
    saves: bool,
    restored: u64,
}

/// The time for which a member of a gang waits for the others.
const GANG_WAIT: u64 = 3_000;
/// The work between two checkpoints.
const SAVE: u64 = 2_000;

impl Run {
    /// Returns the work that is done, in milliseconds.
    fn progress(&self) -> u64 {
        self.complete.map_or(0, |at| unix_ms().saturating_sub(at)) + self.restored
    }
}

/// Returns what a checkpoint of a task begins with: one of a gang is valid for all members.
fn checkpoint_owner(task: &str, is_gang: bool) -> &str {
    if is_gang { task.rsplit_once('.').map_or(task, |(phase, _)| phase) } else { task }
}

#[derive(Default)]
struct State {
    token: u64,
    deadline: u64,
    runs: BTreeMap<String, Run>,
    refused: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
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
    let [store, id, machine, rack, zone, service, cpu] = args else { std::process::exit(2) };
    let store: SocketAddr = store.parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
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
    let following = Arc::clone(&worker);
    thread::spawn(move || following.follow_gangs(store));
    for seq in 1.. {
        let capacity = obj(vec![
            ("Cpu", n(cpu.parse().unwrap())),
            ("MemMb", n(256_000)),
            ("Gpu", n(0)),
        ]);
        let entry = obj(vec![
            ("Service", s(service)),
            ("Address", s(&address)),
            ("Zone", s(zone)),
            ("Version", s("v1")),
            ("Slots", n(8)),
            ("State", s("ready")),
            ("ColdLeftMs", n(0)),
            ("Seq", n(seq)),
            ("Capacity", capacity),
            ("Labels", Json::Arr(vec![s(if machine.ends_with("1") { "b" } else { "a" }), s(rack)])),
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
        let saved = self.saved(task, &run, how != "lapsed");
        state.ended.push((state.count, task.to_owned(), run.attempt, how, saved));
    }

    fn advance(&self, state: &mut State) {
        let has_lapsed = self.clock() > state.deadline;
        let now = Instant::now();
        let how = |run: &Run| {
            if has_lapsed {
                Some("lapsed")
            } else if run.stop_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if run.is_broken {
                Some("broken")
            } else if run.gang.is_some()
                && run.complete.is_none()
                && run.started.elapsed().as_millis() as u64 > GANG_WAIT
            {
                Some("alone")
            } else if run.work.is_some_and(|work| run.progress() >= work) {
                Some(if run.fails { "failed" } else { "done" })
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
                let step = task.split('.').nth(2).unwrap_or("");
                let gang = spec.get("gangs").get(step).num();
                let occurrence = task.split('.').nth(1).unwrap_or("");
                let occurrence_work = spec.get("work_of").get(occurrence).num();
                let checkpoint = body.get("Checkpoint").text();
                // The attempt decides whether it fails, as the members of a gang share it.
                let share = spec.get("fails_of_10").num().unwrap_or(0);
                let run = Run {
                    attempt,
                    started: Instant::now(),
                    work: occurrence_work.or(spec.get("work_ms").num()),
                    fails: *spec.get("fails") == Json::Bool(true) || attempt % 10 < share,
                    stop_at: None,
                    gang,
                    complete: gang.is_none().then(unix_ms),
                    is_broken: false,
                    saves: spec.get("saves").get(step).num().is_some(),
                    restored: checkpoint.rsplit_once(':').and_then(|(_, ms)| ms.parse().ok()).unwrap_or(0),
                };
                println!("{} start {task} {attempt} {token} {checkpoint} {}", unix_ms(), body.get("Spec").text().len());
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
                    .map(|(number, task, attempt, how, saved)| {
                        Json::Arr(vec![n(*number), s(task), n(*attempt), s(how), s(saved)])
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

    fn saved(&self, task: &str, run: &Run, is_now: bool) -> String {
        let done = if is_now { run.progress() } else { run.progress() / SAVE * SAVE };
        let is_new = run.saves && run.complete.is_some() && (is_now || done > 0);
        if is_new { format!("{}:{done}", checkpoint_owner(task, run.gang.is_some())) } else { String::new() }
    }

    /// A row of the runs in progress, with whole percents.
    fn running(&self, task: &str, run: &Run) -> Json {
        let percent = run.work.map_or(100, |work| (run.progress() * 100 / work.max(1)).min(99));
        Json::Arr(vec![s(task), n(run.attempt), s(&self.saved(task, run, false)), n(percent), n(500)])
    }

    /// Follows the other members of gangs, of which the store's process keeps account.
    fn follow_gangs(&self, store: SocketAddr) {
        let mut known: BTreeMap<(String, u64), u64> = BTreeMap::new();
        loop {
            thread::sleep(Duration::from_millis(30));
            let members: BTreeMap<(String, u64), u64> = {
                let state = self.state.lock().unwrap();
                let runs = state.runs.iter();
                runs.filter_map(|(task, run)| Some(((task.clone(), run.attempt), run.gang?))).collect()
            };
            for ((task, attempt), count) in &known {
                if !members.contains_key(&(task.clone(), *attempt)) {
                    ask(store, task, *attempt, *count, 0);
                }
            }
            for ((task, attempt), count) in &members {
                let Some(reply) = ask(store, task, *attempt, *count, 1) else { continue };
                let mut state = self.state.lock().unwrap();
                let run = state.runs.get_mut(task).filter(|run| run.attempt == *attempt);
                if let Some(run) = run {
                    run.complete = reply.get("complete").num();
                    run.is_broken = *reply.get("broken") == Json::Bool(true);
                }
            }
            known = members;
        }
    }
}

fn ask(store: SocketAddr, task: &str, attempt: u64, count: u64, present: u8) -> Option<Json> {
    let (phase, member) = task.rsplit_once('.')?;
    let path = format!("/gang?Key={phase}-{attempt}&Member={member}&Count={count}&Present={present}");
    let (_, body) = http::send(store, "POST", &path, "store", "", Duration::from_millis(500))?;
    json::parse(body.as_bytes())
}
