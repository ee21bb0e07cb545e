//! A stand-in of a worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request};
use crate::json::Json;
use crate::record::{End, Record, Start};

const HOLD_MAX_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 2_000;
const PAGE_ENDS: usize = 500;
const CHECKPOINT_MS: u64 = 2_000;
const STOP_MS: u64 = 100;

struct Run {
    started: u64,
    work: u64,
    stop_at: Option<u64>,
    is_checkpointing: bool,
}

struct Ended {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    saved: String,
}

struct State {
    is_up: bool,
    born: u64,
    begun: Instant,
    token: u64,
    lease: u64,
    runs: BTreeMap<(String, u64), Run>,
    ended: Vec<Ended>,
    last_end: u64,
    /// The highest attempt of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    seq: u64,
}

impl State {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        Self {
            is_up: true,
            born,
            begun: Instant::now(),
            token: 0,
            lease: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            barred: BTreeMap::new(),
            seq: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    number: usize,
    cores: u64,
    state: Mutex<State>,
    record: Arc<Record>,
}

/// The work of a task: its `Spec` is `LOW HIGH` or `LOW HIGH saving`, in milliseconds. The tasks of a
/// step are spread evenly over that range.
fn work_of(spec: &str, task: &str) -> (u64, bool) {
    let words: Vec<&str> = spec.split(' ').collect();
    let number = |n: usize| words.get(n).and_then(|word| word.parse::<u64>().ok()).unwrap_or(200);
    let (low, high) = (number(0), number(1));
    let index: u64 = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
    let spread = index.wrapping_mul(2_654_435_761) % 1_000;
    (low + (high - low) * spread / 1_000, words.contains(&"saving"))
}

fn saved(run: &Run, clock: u64) -> String {
    let steps = clock.saturating_sub(run.started) / CHECKPOINT_MS;
    if run.is_checkpointing && steps > 0 {
        format!("{:08x}{:08x}", steps * CHECKPOINT_MS, run.started)
    } else {
        String::new()
    }
}

impl Worker {
    pub fn new(
        number: usize,
        address: SocketAddr,
        service: &str,
        cores: u64,
        record: Arc<Record>,
    ) -> Self {
        Self {
            id: format!("i-{number:04}"),
            address,
            service: service.to_owned(),
            number,
            cores,
            state: Mutex::new(State::new()),
            record,
        }
    }

    /// Returns the entry that the worker writes into the store; `None` while it is down.
    pub fn entry(&self) -> Option<Json> {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return None;
        }
        state.seq += 1;
        let labels = vec![Json::str("a"), Json::str(format!("r1-{}", self.number / 8))];
        let capacity = Json::obj(vec![
            ("Cpu", Json::num(self.cores * 1_000)),
            ("MemMb", Json::num(250_000)),
            ("Gpu", Json::num(0)),
        ]);
        Some(Json::obj(vec![
            ("Service", Json::str(&self.service)),
            ("Address", Json::str(self.address.to_string())),
            ("Zone", Json::str(["zone-a", "zone-b", "zone-c"][self.number % 3])),
            ("Version", Json::str("v1")),
            ("Slots", Json::num(8)),
            ("State", Json::str("ready")),
            ("ColdLeftMs", Json::num(0)),
            ("Machine", Json::str(format!("m-{:04}", self.number))),
            ("Capacity", capacity),
            ("Labels", Json::Arr(labels)),
            ("ClockMs", Json::num(state.clock())),
            ("Seq", Json::num(state.seq)),
            ("born", Json::num(state.born)),
        ]))
    }

    /// Kills the worker: it runs and knows nothing any more.
    pub fn crash(&self) {
        self.state.lock().unwrap().is_up = false;
        self.record.tell(&format!("{} crashes", self.id));
    }

    /// Starts the worker again under the name that it had.
    pub fn restart(&self) {
        *self.state.lock().unwrap() = State::new();
        self.record.tell(&format!("{} is up again", self.id));
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    /// Returns the number of tasks of a job that run.
    pub fn running_of(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.runs.keys().filter(|(task, _)| task.starts_with(job)).count()
    }

    /// Ends the runs that are done, were stopped, or have lost their lease.
    pub fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_up {
            self.end_due(&mut state);
        }
    }

    fn end_due(&self, state: &mut State) {
        let clock = state.clock();
        let has_lapsed = clock > state.lease;
        let due: Vec<_> = state
            .runs
            .iter()
            .filter_map(|(key, run)| {
                let how = if clock >= run.started + run.work {
                    "done"
                } else if run.stop_at.is_some_and(|at| clock >= at) {
                    "stopped"
                } else if has_lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((key.clone(), how, saved(run, clock)))
            })
            .collect();
        for ((task, attempt), how, saved) in due {
            state.runs.remove(&(task.clone(), attempt));
            state.last_end += 1;
            let number = state.last_end;
            let saved = if how == "done" { String::new() } else { saved };
            let barred = state.barred.entry(task.clone()).or_default();
            *barred = attempt.max(*barred);
            self.record.end(End {
                at: self.record.now(),
                worker: self.id.clone(),
                life: state.born,
                number,
                task: task.clone(),
                attempt,
                how,
            });
            state.ended.push(Ended { number, task, attempt, how, saved });
        }
    }

    fn extend(state: &mut State, deadline: Option<u64>) {
        let longest = state.clock() + HOLD_MAX_MS;
        if let Some(deadline) = deadline {
            state.lease = state.lease.max(deadline.min(longest));
        }
    }

    pub fn handle(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, Json::obj(vec![]));
        };
        let wait = body.int("WaitMs").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return Reply::Close;
        }
        let life = state.born;
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Reply::Answer(421, Json::obj(vec![]));
        }
        self.end_due(&mut state);
        let token = body.int("FencingToken").unwrap_or(0);
        let refuse = |state: &State, reason: &str| {
            let fields = vec![("ClockMs", Json::num(state.clock())), ("Reason", Json::str(reason))];
            Reply::Answer(409, Json::obj(fields))
        };
        if token < state.token {
            return refuse(&state, "fence");
        }
        state.token = token;
        let done = |state: &State| {
            Reply::Answer(200, Json::obj(vec![("ClockMs", Json::num(state.clock()))]))
        };
        let (task, attempt) = (body.text("Task"), body.int("Attempt").unwrap_or(0));
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.int("DeadlineMs");
                if deadline.is_some_and(|deadline| deadline < state.clock()) {
                    return refuse(&state, "late");
                }
                Self::extend(&mut state, deadline);
                if state.runs.contains_key(&(task.clone(), attempt)) {
                    return done(&state);
                }
                if state.barred.get(&task).is_some_and(|barred| attempt <= *barred) {
                    return refuse(&state, "old");
                }
                let (work, is_checkpointing) = work_of(&body.text("Spec"), &task);
                let run = Run { started: state.clock(), work, stop_at: None, is_checkpointing };
                state.runs.insert((task.clone(), attempt), run);
                let at = self.record.now();
                let worker = self.id.clone();
                self.record.start(Start { at, worker, task, attempt });
                done(&state)
            }
            "/run-stop" => {
                let barred = state.barred.entry(task.clone()).or_default();
                *barred = attempt.max(*barred);
                let stop_at = state.clock() + STOP_MS;
                if let Some(run) = state.runs.get_mut(&(task, attempt)) {
                    run.stop_at = run.stop_at.or(Some(stop_at));
                }
                done(&state)
            }
            "/pace" => done(&state),
            "/hold" => {
                Self::extend(&mut state, body.int("DeadlineMs"));
                let cursor = body.int("AckCursor").unwrap_or(0);
                state.ended.retain(|end| end.number > cursor);
                self.record.ack(&self.id, life, cursor.min(state.last_end));
                while state.ended.is_empty() && Instant::now() < until {
                    drop(state);
                    std::thread::sleep(Duration::from_millis(4));
                    state = self.state.lock().unwrap();
                    if !state.is_up || state.born != life {
                        return Reply::Close;
                    }
                    self.end_due(&mut state);
                }
                Reply::Answer(200, Self::lists(&state))
            }
            _ => Reply::Answer(404, Json::obj(vec![])),
        }
    }

    fn lists(state: &State) -> Json {
        let clock = state.clock();
        let running = state.runs.iter().map(|((task, attempt), run)| {
            let worked = clock.saturating_sub(run.started) as f64;
            let percent = (worked * 10_000.0 / run.work.max(1) as f64).floor() / 100.0;
            Json::Arr(vec![
                Json::str(task),
                Json::num(*attempt),
                Json::str(saved(run, clock)),
                Json::Num(percent.min(99.0)),
                Json::num(0),
            ])
        });
        let finished = state.ended.iter().take(PAGE_ENDS).map(|end| {
            Json::Arr(vec![
                Json::num(end.number),
                Json::str(&end.task),
                Json::num(end.attempt),
                Json::str(end.how),
                Json::str(&end.saved),
            ])
        });
        Json::obj(vec![
            ("ClockMs", Json::num(clock)),
            ("born", Json::num(state.born)),
            ("Running", Json::Arr(running.collect())),
            ("Finished", Json::Arr(finished.collect())),
        ])
    }
}
