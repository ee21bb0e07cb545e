//! Workers behind the published protocol; how they run tasks is shared with the emulator.

use std::{net, time};

use gl_emulate::{fleet, worker as emulated};
use gl_jobs::{task, worker};
use gl_model::time as model;
use serde_json::{Value, json};

/// A run that has started.
#[gl_derive::domain]
pub struct Ran {
    /// The task.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
    /// The worker's number.
    pub worker: usize,
    /// When it started, in milliseconds since the stand-in's start.
    pub started: u64,
    /// When it ended, if it has.
    pub ended: Option<u64>,
    /// How it ended.
    pub how: Option<worker::Outcome>,
}

/// The workers of a stand-in.
pub struct Workers {
    began: time::Instant,
    advanced: model::Timestamp,
    workers: Vec<emulated::Worker>,
    addresses: Vec<net::SocketAddr>,
    /// All runs so far.
    pub ran: Vec<Ran>,
}

/// How long a task works whose description doesn't say so.
const WORK: model::Span = model::Span::millis(200);

/// What the stand-in reads from a job's description.
#[derive(Default, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Description {
    work_ms: Option<u64>,
    lasting: bool,
    hopeless: bool,
}

fn behaviour(spec: &str) -> emulated::Behaviour {
    let description: Description = serde_json::from_str(spec).unwrap_or_default();
    emulated::Behaviour {
        work: description.work_ms.map_or(WORK, model::Span::millis),
        size: gl_model::size::Size::default(),
        best_effort: false,
        long_running: description.lasting,
        tail_target: 50.0,
        image: None,
        always_fails: description.hopeless,
        checkpointing: false,
        speculative: false,
    }
}

impl Workers {
    /// Workers at these addresses.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        let specs = fleet::uniform(addresses.len(), 16_000).into_iter().enumerate();
        let workers = specs.map(|(n, spec)| emulated::Worker::new(n, spec, model::Timestamp(0)));
        Self {
            began: time::Instant::now(),
            advanced: model::Timestamp(0),
            workers: workers.collect(),
            addresses,
            ran: Vec::new(),
        }
    }

    fn now(&self) -> model::Timestamp {
        model::Timestamp(model::Span::from(self.began.elapsed()).0)
    }

    /// Lets the time since the last call pass.
    pub fn advance(&mut self) {
        let now = self.now();
        let step = now.since(self.advanced);
        self.advanced = now;
        for n in 0..self.workers.len() {
            for end in self.workers[n].advance(&|_, _| 0.0, now, step) {
                let name = end.task.to_string();
                let is_it = |ran: &&mut Ran| ran.task == name && ran.attempt == end.attempt;
                if let Some(ran) = self.ran.iter_mut().find(is_it) {
                    ran.ended = Some(now.since(model::Timestamp(0)).as_millis());
                    ran.how = Some(end.outcome);
                }
            }
        }
    }

    /// The entries that the workers write into the store, by name.
    pub fn entries(&self, service: &str) -> Vec<(String, String)> {
        let entry = |(worker, address): (&emulated::Worker, &net::SocketAddr)| {
            let registration = worker.registration();
            let size = registration.size;
            let value = json!({
                "Service": service, "Address": address.to_string(), "Zone": "a", "Version": "v1",
                "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Machine": registration.vm,
                "Capacity": {"Cpu": size.cores, "MemMb": size.memory, "Gpu": 0},
                "Labels": registration.labels, "ClockMs": 1, "Seq": 1,
                "born": registration.incarnation.0
            });
            (registration.id.0, value.to_string())
        };
        self.workers.iter().zip(&self.addresses).map(entry).collect()
    }

    /// Carries a worker's order out; the status and the answer.
    pub fn order(&mut self, n: usize, path: &str, body: &Value) -> (u16, Value) {
        self.advance();
        let now = self.now();
        let clock = millis(self.workers[n].clock(now));
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let task = body["Task"].as_str().and_then(|text| text.parse::<task::TaskId>().ok());
        let answer = match (path, task) {
            ("/run-start", Some(task)) => self.start(n, token, task, attempt, body),
            ("/run-stop", Some(task)) => self.workers[n].stop(token, task, attempt, now),
            ("/pace", Some(_)) => worker::OrderReply::Done,
            _ => return (400, json!({"Reason": "unknown"})),
        };
        match answer {
            worker::OrderReply::Done => (200, json!({"ClockMs": clock})),
            worker::OrderReply::Refused(refusal) => {
                let reason = match refusal {
                    worker::Refusal::Fenced => "fence",
                    worker::Refusal::StaleAttempt => "old",
                    worker::Refusal::DeadlinePassed => "late",
                    _ => "room",
                };
                (409, json!({"ClockMs": clock, "Reason": reason}))
            }
            worker::OrderReply::Lost => (500, json!({})),
        }
    }

    fn start(
        &mut self,
        n: usize,
        token: u64,
        task: task::TaskId,
        attempt: u64,
        body: &Value,
    ) -> worker::OrderReply {
        let now = self.now();
        let order = worker::StartOrder {
            task,
            attempt,
            spec: body["Spec"].as_str().unwrap_or_default().to_owned(),
            checkpoint: String::new(),
            deadline: timestamp(body["DeadlineMs"].as_u64().unwrap_or(0)),
            ticket: None,
        };
        let behaviour = behaviour(&order.spec);
        let was_there = self.workers[n].runs.contains_key(&task);
        let answer = self.workers[n].start(token, &order, behaviour, now);
        if answer == worker::OrderReply::Done && !was_there {
            let started = millis(now);
            let task = task.to_string();
            self.ran.push(Ran { task, attempt, worker: n, started, ended: None, how: None });
        }
        answer
    }

    /// Answers a look, or none while there is nothing to say yet.
    pub fn look(&mut self, n: usize, body: &Value, must_answer: bool) -> Option<(u16, Value)> {
        self.advance();
        let now = self.now();
        let acknowledged = body["AckCursor"].as_u64().unwrap_or(0);
        let order = worker::PollRequest {
            token: body["FencingToken"].as_u64().unwrap_or(0),
            acknowledged,
            lease: body["DeadlineMs"].as_u64().map(timestamp),
            wait: model::Span::ZERO,
        };
        let worker = &mut self.workers[n];
        let clock = millis(worker.clock(now));
        let Some(look) = worker.poll(&order, now) else {
            return Some((409, json!({"ClockMs": clock, "Reason": "fence"})));
        };
        if !must_answer && !worker.has_end_after(acknowledged) {
            return None;
        }
        let running: Vec<_> = look.running.iter().map(running).collect();
        let finished: Vec<_> = look.ended.iter().map(finished).collect();
        let born = look.incarnation.0;
        Some((
            200,
            json!({"ClockMs": clock, "born": born, "Running": running, "Finished": finished}),
        ))
    }
}

fn running(run: &worker::Running) -> Value {
    json!([run.task.to_string(), run.attempt, run.checkpoint, run.progress, run.load])
}

fn finished(end: &worker::Ended) -> Value {
    json!([end.number, end.task.to_string(), end.attempt, end.outcome, end.checkpoint])
}

fn millis(at: model::Timestamp) -> u64 {
    at.since(model::Timestamp(0)).as_millis()
}

fn timestamp(millis: u64) -> model::Timestamp {
    model::Timestamp(model::Span::millis(millis).0)
}
