//! Workers that speak the published protocol; the execution of tasks is that of the emulator's
//! workers.

use std::{net, time};

use gl_emulate::{fleet, worker as emulated};
use gl_jobs::{task, worker};
use gl_model::time as model;
use serde_json::{Value, json};

/// A run of a task.
#[gl_derive::domain]
pub struct Run {
    /// The task.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
    /// The index of the worker.
    pub worker: usize,
    /// The start of the run, in milliseconds since the start of the stand-in.
    pub started: u64,
    /// The end of the run, if it has ended.
    pub ended: Option<u64>,
    /// The outcome of the run, if it has ended.
    #[serde(rename = "how")]
    pub outcome: Option<worker::Outcome>,
}

/// The workers of the stand-in.
pub struct Workers {
    started_at: time::Instant,
    advanced_to: model::Timestamp,
    workers: Vec<emulated::Worker>,
    addresses: Vec<net::SocketAddr>,
    /// All runs so far, in the order of their starts.
    pub runs: Vec<Run>,
}

/// The run time of a task whose description does not give one.
const DEFAULT_WORK: model::Span = model::Span::millis(200);

/// The part of the description of a job that the stand-in evaluates.
#[derive(Default, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Description {
    work_ms: Option<u64>,
    #[serde(rename = "lasting")]
    is_long_running: bool,
    #[serde(rename = "hopeless")]
    always_fails: bool,
}

fn behaviour(spec: &str) -> emulated::Behaviour {
    let description: Description = serde_json::from_str(spec).unwrap_or_default();
    emulated::Behaviour {
        work: description.work_ms.map_or(DEFAULT_WORK, model::Span::millis),
        size: gl_model::size::Size::default(),
        best_effort: false,
        long_running: description.is_long_running,
        tail_target: 50.0,
        image: None,
        always_fails: description.always_fails,
        crashes_worker: false,
        checkpointing: false,
        speculative: false,
        data_rack: None,
        rack_sensitive: false,
        swing: None,
    }
}

impl Workers {
    /// Creates one worker for each address.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        let specs = fleet::uniform(addresses.len(), 16_000).into_iter().enumerate();
        let workers = specs.map(|(n, spec)| emulated::Worker::new(n, spec, model::Timestamp(0)));
        Self {
            started_at: time::Instant::now(),
            advanced_to: model::Timestamp(0),
            workers: workers.collect(),
            addresses,
            runs: Vec::new(),
        }
    }

    fn now(&self) -> model::Timestamp {
        model::Timestamp(model::Span::from(self.started_at.elapsed()).0)
    }

    /// Advances all workers to the current time and records the runs that have ended.
    pub fn advance(&mut self) {
        let now = self.now();
        let step = now.since(self.advanced_to);
        self.advanced_to = now;
        for index in 0..self.workers.len() {
            for end in self.workers[index].advance(&|_, _| 0.0, now, step) {
                let name = end.task.to_string();
                let is_same = |run: &&mut Run| run.task == name && run.attempt == end.attempt;
                if let Some(run) = self.runs.iter_mut().find(is_same) {
                    run.ended = Some(now.since(model::Timestamp(0)).as_millis());
                    run.outcome = Some(end.outcome);
                }
            }
        }
    }

    /// Returns the rows that the workers write into the store: names and values.
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

    /// Executes an order to a worker; returns the status and the body of the response.
    pub fn order(&mut self, index: usize, path: &str, body: &Value) -> (u16, Value) {
        self.advance();
        let now = self.now();
        let clock = millis(self.workers[index].clock(now));
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let task = body["Task"].as_str().and_then(|text| text.parse::<task::TaskId>().ok());
        let reply = match (path, task) {
            ("/run-start", Some(task)) => self.start(index, token, task, attempt, body),
            ("/run-stop", Some(task)) => self.workers[index].stop(token, task, attempt, now),
            ("/pace", Some(_)) => worker::OrderReply::Done,
            _ => return (400, json!({"Reason": "unknown"})),
        };
        match reply {
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
        index: usize,
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
        let was_running = self.workers[index].runs.contains_key(&task);
        let reply = self.workers[index].start(token, &order, behaviour, now);
        if reply == worker::OrderReply::Done && !was_running {
            let started = millis(now);
            let task = task.to_string();
            self.runs.push(Run {
                task,
                attempt,
                worker: index,
                started,
                ended: None,
                outcome: None,
            });
        }
        reply
    }

    /// Replies to a poll. Returns `None` while it is not timed out and no run has ended since the
    /// acknowledged one.
    pub fn poll(&mut self, index: usize, body: &Value, is_timed_out: bool) -> Option<(u16, Value)> {
        self.advance();
        let now = self.now();
        let acknowledged = body["AckCursor"].as_u64().unwrap_or(0);
        let request = worker::PollRequest {
            token: body["FencingToken"].as_u64().unwrap_or(0),
            acknowledged,
            lease: body["DeadlineMs"].as_u64().map(timestamp),
            wait: model::Span::ZERO,
        };
        let worker = &mut self.workers[index];
        let clock = millis(worker.clock(now));
        let Some(reply) = worker.poll(&request, now) else {
            return Some((409, json!({"ClockMs": clock, "Reason": "fence"})));
        };
        if !is_timed_out && !worker.has_end_after(acknowledged) {
            return None;
        }
        let running: Vec<_> = reply.running.iter().map(running_json).collect();
        let finished: Vec<_> = reply.ended.iter().map(finished_json).collect();
        let incarnation = reply.incarnation.0;
        Some((
            200,
            json!({"ClockMs": clock, "born": incarnation, "Running": running, "Finished": finished}),
        ))
    }
}

fn running_json(run: &worker::Running) -> Value {
    json!([run.task.to_string(), run.attempt, run.checkpoint, run.progress, run.load])
}

fn finished_json(end: &worker::Ended) -> Value {
    json!([end.number, end.task.to_string(), end.attempt, end.outcome, end.checkpoint])
}

fn millis(at: model::Timestamp) -> u64 {
    at.since(model::Timestamp(0)).as_millis()
}

fn timestamp(millis: u64) -> model::Timestamp {
    model::Timestamp(model::Span::millis(millis).0)
}
