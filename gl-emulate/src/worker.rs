//! A worker as the platform's page describes it.

use std::collections;

use gl_jobs::{task, worker};
use gl_model::{size, time};

use crate::fleet;

/// What is wrong with a worker for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trouble {
    /// No message gets through.
    pub is_cut: bool,
    /// Work takes so many times as long.
    pub slow: Option<f64>,
    /// Tasks make no progress.
    pub hangs: bool,
    /// All that starts fails at its end.
    pub fails: bool,
}

/// How a task behaves, whatever its job declares.
#[derive(Clone, Debug, PartialEq)]
pub struct Behaviour {
    /// How long it works on a sound worker that gives it all it asks for.
    pub work: time::Span,
    /// What it needs.
    pub size: size::Size,
    /// Whether it takes only processors that others leave.
    pub fills: bool,
    /// Whether it never ends by itself.
    pub lasting: bool,
    /// The tail that a lasting task has to stay below, in milliseconds.
    pub tail: f64,
    /// Its image.
    pub image: Option<u32>,
    /// Whether it can never be done.
    pub hopeless: bool,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// Whether copies may overlap.
    pub speculative: bool,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt.
    pub attempt: u64,
    /// How it behaves.
    pub behaviour: Behaviour,
    /// When it started, in true time.
    pub started: time::Timestamp,
    /// Work done, of the behaviour's work.
    pub done: time::Span,
    /// The share of its processors that it may use.
    pub pace: f64,
    /// The processors that it uses, or its tail latency.
    pub load: f64,
    stop_at: Option<time::Timestamp>,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub id: worker::WorkerId,
    /// What it is.
    pub spec: fleet::Spec,
    /// Its incarnation.
    pub incarnation: worker::Incarnation,
    /// When this incarnation started.
    pub born: time::Timestamp,
    /// The highest fencing token seen.
    pub token: u64,
    /// What runs.
    pub runs: collections::BTreeMap<task::TaskId, Run>,
    /// What is wrong with it.
    pub trouble: Trouble,
    /// Whether it is gone.
    pub is_down: bool,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How often its lease has expired with something running.
    pub lapses: u64,
    ended: Vec<worker::Ended>,
    ends: u64,
    refused: collections::BTreeMap<task::TaskId, u64>,
    lease: time::Timestamp,
}

/// How long a stop takes.
const STOP: time::Span = time::Span::millis(200);
/// How long a lasting task takes until it is at work.
const START_UP: time::Span = time::Span::millis(1_000);
/// The longest lease.
const LEASE_LIMIT: time::Span = time::Span::seconds(10);
/// Work between two checkpoints.
const CHECKPOINT: time::Span = time::Span::seconds(2);
/// The tail of a lasting task that nothing disturbs, as a share of its target.
const CALM_TAIL: f64 = 0.4;
/// The share of its processors that a lasting task uses on average, and how far it swings.
const USE: f64 = 0.45;
const SWING: f64 = 0.22;
/// The period of that swing, in seconds.
const PERIOD: f64 = 14.0;

impl Worker {
    /// A worker that has just started.
    pub fn new(n: usize, spec: fleet::Spec, now: time::Timestamp) -> Self {
        Self {
            id: worker::WorkerId(format!("w-{n}")),
            spec,
            incarnation: worker::Incarnation(now.0 / 1_000 + 1),
            born: now,
            token: 0,
            runs: collections::BTreeMap::new(),
            trouble: Trouble::default(),
            is_down: false,
            draining: false,
            lapses: 0,
            ended: Vec::new(),
            ends: 0,
            refused: collections::BTreeMap::new(),
            lease: time::Timestamp::default(),
        }
    }

    /// Ends this incarnation, with all that runs, and begins the next.
    pub fn restart(&mut self, now: time::Timestamp) {
        self.incarnation = worker::Incarnation(now.0 / 1_000 + 1);
        self.born = now;
        self.token = 0;
        self.runs.clear();
        self.ended.clear();
        self.ends = 0;
        self.refused.clear();
        self.lease = time::Timestamp::default();
        self.is_down = false;
    }

    /// Its entry in the platform's list.
    pub fn registration(&self) -> worker::Registration {
        worker::Registration {
            id: self.id.clone(),
            incarnation: self.incarnation,
            service: crate::load::SERVICE.to_owned(),
            address: std::net::SocketAddr::new(std::net::Ipv4Addr::LOCALHOST.into(), 1),
            vm: format!("vm-{}", self.id),
            domain: "a".to_owned(),
            rack: Some(self.spec.rack.clone()),
            labels: vec!["a".to_owned(), self.spec.rack.clone()],
            size: self.spec.size,
            draining: self.draining,
        }
    }

    /// What its clock shows.
    pub fn clock(&self, now: time::Timestamp) -> time::Timestamp {
        time::Timestamp(now.since(self.born).scaled(self.spec.clock_rate).0)
    }

    /// The room that its runs take.
    pub fn taken(&self) -> size::Size {
        let reserved = |run: &Run| {
            let cores = if run.behaviour.fills { 0 } else { run.behaviour.size.cores };
            size::Size { cores, ..run.behaviour.size }
        };
        let sum = |all: size::Size, run: &Run| all.plus(&reserved(run));
        self.runs.values().fold(size::Size::default(), sum)
    }

    /// Carries a start order out.
    pub fn start(
        &mut self,
        token: u64,
        order: &worker::StartOrder,
        behaviour: Behaviour,
        now: time::Timestamp,
    ) -> worker::OrderReply {
        if token < self.token {
            return worker::OrderReply::Refused(worker::Refusal::Fenced);
        }
        self.token = token;
        if order.deadline < self.clock(now) {
            return worker::OrderReply::Refused(worker::Refusal::DeadlinePassed);
        }
        self.extend(order.deadline, now);
        if self.refused.get(&order.task).is_some_and(|attempt| order.attempt <= *attempt) {
            return worker::OrderReply::Refused(worker::Refusal::StaleAttempt);
        }
        if self.runs.get(&order.task).is_some_and(|run| run.attempt == order.attempt) {
            return worker::OrderReply::Done;
        }
        let saved = order.checkpoint.parse().map(time::Span).unwrap_or_default();
        let run = Run {
            attempt: order.attempt,
            behaviour,
            started: now,
            done: saved,
            pace: 1.0,
            load: 0.0,
            stop_at: None,
        };
        self.runs.insert(order.task, run);
        worker::OrderReply::Done
    }

    /// Carries a stop order out.
    pub fn stop(
        &mut self,
        token: u64,
        task: task::TaskId,
        attempt: u64,
        now: time::Timestamp,
    ) -> worker::OrderReply {
        if token < self.token {
            return worker::OrderReply::Refused(worker::Refusal::Fenced);
        }
        self.token = token;
        let refused = self.refused.entry(task).or_default();
        *refused = (*refused).max(attempt);
        if let Some(run) = self.runs.get_mut(&task).filter(|run| run.attempt <= attempt) {
            run.stop_at = run.stop_at.or(Some(now + STOP));
        }
        worker::OrderReply::Done
    }

    /// Sets a run's pace.
    pub fn pace(&mut self, token: u64, task: task::TaskId, attempt: u64, percent: u32) {
        if token < self.token {
            return;
        }
        if let Some(run) = self.runs.get_mut(&task).filter(|run| run.attempt == attempt) {
            run.pace = f64::from(percent) / 100.0;
        }
    }

    /// Answers a look; none if the token is too low.
    pub fn look(
        &mut self,
        order: &worker::PollRequest,
        now: time::Timestamp,
    ) -> Option<worker::PollReply> {
        if order.token < self.token {
            return None;
        }
        self.token = order.token;
        if let Some(lease) = order.lease {
            self.extend(lease, now);
        }
        self.ended.retain(|end| end.number > order.acknowledged);
        let running = self.runs.iter().map(|(task, run)| worker::Running {
            task: *task,
            attempt: run.attempt,
            checkpoint: checkpoint(run),
            progress: percent(run, now),
            load: run.load,
        });
        Some(worker::PollReply {
            clock: self.clock(now),
            incarnation: self.incarnation,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Whether it lists an end after the number.
    pub fn has_end_after(&self, number: u64) -> bool {
        self.ended.iter().any(|end| end.number > number)
    }

    fn extend(&mut self, lease: time::Timestamp, now: time::Timestamp) {
        let limit = self.clock(now) + LEASE_LIMIT;
        self.lease = self.lease.max(lease.min(limit));
    }

    /// Lets `step` pass; returns the runs that ended.
    pub fn advance(
        &mut self,
        harm: &dyn Fn(u32, u32) -> f64,
        now: time::Timestamp,
        step: time::Span,
    ) -> Vec<worker::Ended> {
        self.work(harm, now, step);
        let clock = self.clock(now);
        let has_lapsed = clock > self.lease;
        if has_lapsed && !self.runs.is_empty() {
            self.lapses += 1;
        }
        let mut over = Vec::new();
        for (task, run) in &self.runs {
            let outcome = if has_lapsed {
                Some(worker::Outcome::Lapsed)
            } else if run.stop_at.is_some_and(|at| now >= at) {
                Some(worker::Outcome::Stopped)
            } else if !run.behaviour.lasting && run.done >= run.behaviour.work {
                let has_failed = run.behaviour.hopeless || self.trouble.fails;
                Some(if has_failed { worker::Outcome::Failed } else { worker::Outcome::Done })
            } else {
                None
            };
            if let Some(outcome) = outcome {
                over.push((*task, outcome));
            }
        }
        over.into_iter().filter_map(|(task, outcome)| self.end(task, outcome)).collect()
    }

    fn end(&mut self, task: task::TaskId, outcome: worker::Outcome) -> Option<worker::Ended> {
        let run = self.runs.remove(&task)?;
        let refused = self.refused.entry(task).or_default();
        *refused = (*refused).max(run.attempt);
        self.ends += 1;
        let is_saved = outcome == worker::Outcome::Stopped && run.behaviour.checkpoints;
        let checkpoint = if is_saved { run.done.0.to_string() } else { checkpoint(&run) };
        let attempt = run.attempt;
        let end = worker::Ended { number: self.ends, task, attempt, outcome, checkpoint };
        self.ended.push(end.clone());
        Some(end)
    }

    fn work(&mut self, harm: &dyn Fn(u32, u32) -> f64, now: time::Timestamp, step: time::Span) {
        let phase = now.since(time::Timestamp(0)).as_seconds() / PERIOD * std::f64::consts::TAU;
        let all = self.spec.size.cores as f64;
        let mut used = 0.0;
        let mut wanted = 0.0;
        let mut fills = Vec::new();
        for (task, run) in &self.runs {
            let cores = run.behaviour.size.cores as f64;
            if run.behaviour.lasting {
                used += cores * use_at(task, phase);
            } else if run.behaviour.fills {
                wanted += cores * run.pace;
                if let Some(image) = run.behaviour.image {
                    fills.push((image, cores * run.pace / all));
                }
            } else {
                used += cores;
            }
        }
        let idle = (all - used).max(0.0);
        let share = if wanted > idle { idle / wanted } else { 1.0 };
        let slow = self.trouble.slow.unwrap_or(1.0);
        for (task, run) in &mut self.runs {
            let cores = run.behaviour.size.cores as f64;
            if run.behaviour.lasting {
                let busy = use_at(task, phase) / USE;
                let image = run.behaviour.image.unwrap_or_default();
                let rise: f64 = fills.iter().map(|(f, part)| harm(image, *f) * part).sum();
                run.load = run.behaviour.tail * (CALM_TAIL + rise * busy * busy);
                continue;
            }
            let speed = if run.behaviour.fills { run.pace * share } else { 1.0 };
            run.load = cores * speed;
            if !self.trouble.hangs {
                run.done = run.done + step.scaled(speed / slow);
            }
        }
    }
}

/// The share of its processors that a lasting task uses; each task swings at its own time.
fn use_at(task: &task::TaskId, phase: f64) -> f64 {
    let offset = (task.phase.job.0 % 97) as f64 + f64::from(task.index) * 0.7;
    USE + SWING * (phase + offset).sin()
}

fn checkpoint(run: &Run) -> String {
    let saved = run.done.0 / CHECKPOINT.0 * CHECKPOINT.0;
    if run.behaviour.checkpoints && saved > 0 { saved.to_string() } else { String::new() }
}

fn percent(run: &Run, now: time::Timestamp) -> f64 {
    let done = if run.behaviour.lasting {
        now.since(run.started).as_seconds() / START_UP.as_seconds()
    } else {
        run.done.as_seconds() / run.behaviour.work.as_seconds().max(f64::EPSILON)
    };
    (done * 100.0).clamp(0.0, 100.0).floor()
}
