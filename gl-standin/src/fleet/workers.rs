//! Workers that speak the published protocol; the execution of tasks is that of the emulator's
//! workers.

use std::{collections, time};

use gl_emulate::{fleet, worker as emulated};
use gl_jobs::{task, worker};
use gl_model::time as model;
use serde_json::{Value, json};

use super::recorder::{Recorder, Run};

/// The workers of the stand-in.
pub struct Workers {
    started_at: time::Instant,
    /// The Unix time of the start.
    started_unix: model::Timestamp,
    workers: Vec<Worker>,
    /// What has run.
    pub recorder: Recorder,
}

/// A worker and the time to which it was advanced.
struct Worker {
    emulated: emulated::Worker,
    advanced_to: model::Timestamp,
    domain: String,
    /// The name of its machine, which stays the same.
    machine: String,
    /// The number of names that it has had.
    names: usize,
}

/// A call to a worker: which one it is meant for, and which one has received it.
#[gl_derive::domain]
pub struct Recipient {
    /// The index of the worker.
    pub index: usize,
    /// The name of the worker that the call is meant for, if it says so.
    pub name: Option<String>,
}

/// How a crashed worker starts again.
#[gl_derive::tag]
pub enum Start {
    /// Under its name.
    SameName,
    /// Under another name, which only it accepts calls for.
    OtherName,
}

/// The status of a worker other than the intended one.
const OTHER_INSTANCE: u16 = 421;

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
    /// Creates one worker for each entry of `domains`, the names of the workers' failure domains.
    pub fn new(domains: &[String]) -> Self {
        let specs = fleet::uniform(domains.len(), 16_000).into_iter().zip(domains).enumerate();
        let workers = specs.map(|(n, (spec, domain))| Worker {
            emulated: emulated::Worker::new(n, spec, model::Timestamp(0)),
            advanced_to: model::Timestamp(0),
            domain: domain.clone(),
            machine: format!("vm-{n}"),
            names: 1,
        });
        Self {
            started_at: time::Instant::now(),
            started_unix: crate::http::now(),
            workers: workers.collect(),
            recorder: Recorder::default(),
        }
    }

    fn now(&self) -> model::Timestamp {
        model::Timestamp(model::Span::from(self.started_at.elapsed()).0)
    }

    /// Returns the Unix time in milliseconds.
    fn unix_millis(&self, at: model::Timestamp) -> u64 {
        millis(self.started_unix + at.since(model::Timestamp(0)))
    }

    /// Advances all workers to the current time. Returns the indices of those on which a run has
    /// ended.
    pub fn advance_all(&mut self) -> Vec<usize> {
        (0..self.workers.len()).filter(|index| self.advance(*index)).collect()
    }

    /// Ends a worker with all that it runs and knows.
    pub fn crash(&mut self, index: usize) {
        self.advance(index);
        self.recorder.crashed(index, self.unix_millis(self.now()));
        let worker = &mut self.workers[index].emulated;
        worker.runs.clear();
        worker.is_down = true;
    }

    /// Starts a worker again that has crashed.
    pub fn start_again(&mut self, index: usize, start: Start) {
        let now = self.now();
        let worker = &mut self.workers[index];
        worker.advanced_to = now;
        worker.emulated.restart(now);
        if start == Start::OtherName {
            worker.emulated.id = model_id(index, worker.names);
            worker.names += 1;
        }
    }

    /// Returns the incarnation of a worker, or `None` while it is down.
    pub fn incarnation(&self, index: usize) -> Option<worker::Incarnation> {
        let worker = &self.workers[index].emulated;
        (!worker.is_down).then_some(worker.incarnation)
    }

    /// Returns the response to a call that is meant for another worker.
    fn mistaken(&self, recipient: &Recipient) -> Option<(u16, Value)> {
        let id = &self.workers[recipient.index].emulated.id;
        let is_other = recipient.name.as_ref().is_some_and(|name| *name != id.0);
        is_other.then(|| (OTHER_INSTANCE, json!({})))
    }

    /// Sets the time for which workers end runs late, by index; the others end them on time.
    pub fn stall(&mut self, stalls_ms: &collections::BTreeMap<usize, u64>) {
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let millis = stalls_ms.get(&index).copied().unwrap_or_default();
            worker.emulated.fault.late_ends = model::Span::millis(millis);
        }
    }

    /// Advances a worker to the current time; returns whether a run has ended.
    fn advance(&mut self, index: usize) -> bool {
        let now = self.now();
        let worker = &mut self.workers[index];
        if worker.emulated.is_down {
            return false;
        }
        let step = now.since(worker.advanced_to);
        worker.advanced_to = now;
        let late =
            worker.emulated.runs.iter().filter_map(|(task, run)| Some((*task, run.ends_at()?)));
        let late: collections::BTreeMap<_, _> = late.collect();
        let expiries = worker.emulated.lease_expiries;
        let ends = worker.emulated.advance(&|_, _| 0.0, now, step);
        if worker.emulated.lease_expiries > expiries {
            self.recorder.lapsed(index);
        }
        let lease_end = worker.emulated.lease_end();
        for end in &ends {
            let has_lapsed = end.outcome == worker::Outcome::Lapsed;
            let at = match late.get(&end.task) {
                Some(at) => *at,
                None if has_lapsed => lease_end.min(now),
                None => now,
            };
            self.recorder.ended(index, end, self.unix_millis(at));
        }
        !ends.is_empty()
    }

    /// Returns the rows that the workers write into the store, in the order of the workers: names
    /// and values without addresses; `None` for those that are down.
    pub fn entries(&self, service: &str) -> Vec<Option<(String, Value)>> {
        let entry = |worker: &Worker| {
            let registration = worker.emulated.registration();
            let size = registration.size;
            let value = json!({
                "Service": service, "Zone": worker.domain, "Version": "v1",
                "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Machine": worker.machine,
                "Capacity": {"Cpu": size.cores, "MemMb": size.memory, "Gpu": 0},
                "Labels": registration.labels, "ClockMs": 1, "Seq": 1,
                "born": registration.incarnation.0
            });
            (registration.id.0, value)
        };
        let entries = self.workers.iter().map(|w| (!w.emulated.is_down).then(|| entry(w)));
        entries.collect()
    }

    /// Executes an order to a worker; returns the status and the body of the response.
    pub fn order(&mut self, recipient: &Recipient, path: &str, body: &Value) -> (u16, Value) {
        if let Some(response) = self.mistaken(recipient) {
            return response;
        }
        let index = recipient.index;
        self.advance(index);
        let now = self.now();
        let clock = millis(self.workers[index].emulated.clock(now));
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let task = body["Task"].as_str().and_then(|text| text.parse::<task::TaskId>().ok());
        let reply = match (path, task) {
            ("/run-start", Some(task)) => self.start(index, token, task, attempt, body),
            ("/run-stop", Some(task)) => {
                self.workers[index].emulated.stop(token, task, attempt, now)
            }
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
            token,
            task,
            attempt,
            spec: body["Spec"].as_str().unwrap_or_default().to_owned(),
            checkpoint: String::new(),
            deadline: timestamp(body["DeadlineMs"].as_u64().unwrap_or(0)),
            ticket: None,
        };
        let behaviour = behaviour(&order.spec);
        let worker = &mut self.workers[index];
        let running = worker.emulated.runs.get(&task).map(|run| run.attempt);
        let reply = worker.emulated.start(&order, behaviour, now);
        if reply == worker::OrderReply::Done && running != Some(attempt) {
            let domain = worker.domain.clone();
            let run = Run {
                task: task.to_string(),
                attempt,
                worker: index,
                domain,
                token,
                started: self.unix_millis(now),
                ended: None,
                outcome: None,
                acknowledged: None,
            };
            self.recorder.started(task, run);
        }
        reply
    }

    /// Replies to a poll. Returns `None` while it is not timed out and no run has ended since the
    /// acknowledged one.
    pub fn poll(
        &mut self,
        recipient: &Recipient,
        body: &Value,
        is_timed_out: bool,
    ) -> Option<(u16, Value)> {
        if let Some(response) = self.mistaken(recipient) {
            return Some(response);
        }
        let index = recipient.index;
        self.advance(index);
        let now = self.now();
        let acknowledged = body["AckCursor"].as_u64().unwrap_or(0);
        let request = worker::PollRequest {
            token: body["FencingToken"].as_u64().unwrap_or(0),
            acknowledged,
            lease: body["DeadlineMs"].as_u64().map(timestamp),
            wait: model::Span::ZERO,
        };
        let worker = &mut self.workers[index].emulated;
        let clock = millis(worker.clock(now));
        let Some(reply) = worker.poll(&request, now) else {
            return Some((409, json!({"ClockMs": clock, "Reason": "fence"})));
        };
        let has_new_end = worker.has_end_after(acknowledged);
        self.recorder.acknowledged(index, acknowledged, self.unix_millis(now));
        if !is_timed_out && !has_new_end {
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

/// Returns the name of a worker that has had `names` others before.
fn model_id(index: usize, names: usize) -> worker::WorkerId {
    worker::WorkerId(format!("w-{index}-{names}"))
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
