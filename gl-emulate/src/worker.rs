//! A worker that behaves as the platform's protocol specifies.

mod progress;

use std::collections;

use gl_jobs::{task, worker};
use gl_model::{size, time};

use progress::{checkpoint, progress_percent};

use crate::{fleet, usage};

/// A temporary fault of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// The worker is partitioned from the owner: no message is delivered.
    pub is_partitioned: bool,
    /// The factor by which tasks take longer, if they are slowed down.
    pub slowdown: Option<f64>,
    /// Tasks are stalled: they make no progress.
    pub is_stalled: bool,
    /// Every run fails at the point at which it would be done.
    pub fails_runs: bool,
    /// The time for which runs go on after they should have ended.
    pub late_ends: time::Span,
}

/// The actual behaviour of a task, which may differ from what its job declares.
#[derive(Clone, Debug, PartialEq)]
pub struct Behaviour {
    /// The run time on a healthy worker that provides all requested resources.
    pub work: time::Span,
    /// The resources that the task uses.
    pub size: size::Size,
    /// Whether the task is a best-effort task, which uses only CPU that others leave idle.
    pub best_effort: bool,
    /// Whether the task is long-running: it never ends by itself.
    pub long_running: bool,
    /// The target for the tail latency of a long-running task, in milliseconds.
    pub tail_target: f64,
    /// The number of the task's image.
    pub image: Option<u32>,
    /// Whether every run of the task fails.
    pub always_fails: bool,
    /// Whether every run of the phase's first task crashes its worker.
    pub crashes_worker: bool,
    /// Whether the task saves checkpoints.
    pub checkpointing: bool,
    /// Whether several runs of the task may overlap.
    pub speculative: bool,
    /// The rack that holds the task's data.
    pub data_rack: Option<String>,
    /// Whether the tasks of the phase are slower when they are spread over several racks.
    pub rack_sensitive: bool,
    /// The swing of a long-running task's load, if it follows a common one.
    pub swing: Option<usage::Swing>,
}

/// A run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt number.
    pub attempt: u64,
    /// The behaviour of the task.
    pub behaviour: Behaviour,
    /// The time of the start, in true time.
    pub started: time::Timestamp,
    /// The part of `behaviour.work` that is done.
    pub done: time::Span,
    /// The factor by which the run takes longer because it is away from its rack or data.
    pub slowdown: f64,
    /// The share of the requested CPU that the run may use.
    pub cpu_limit: f64,
    /// The CPU usage in thousandths of a core, or, for a long-running task, the tail latency in
    /// milliseconds.
    pub load: f64,
    /// The number of the owner that ordered the start.
    pub owner: usize,
    stop_at: Option<time::Timestamp>,
    /// The time at which the worker notices that the lease has expired under which it ran.
    lapses_at: Option<time::Timestamp>,
    end: Option<PendingEnd>,
}

/// The end of a run that is under way. Nothing revokes it.
#[derive(Clone, Copy, Debug)]
struct PendingEnd {
    outcome: worker::Outcome,
    at: time::Timestamp,
}

impl Run {
    /// Returns the time at which the run ends, if its end is under way.
    pub fn ends_at(&self) -> Option<time::Timestamp> {
        self.end.map(|end| end.at)
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The identifier of the worker.
    pub id: worker::WorkerId,
    /// The description of the worker.
    pub spec: fleet::Spec,
    /// The incarnation of the worker.
    pub incarnation: worker::Incarnation,
    /// The time at which this incarnation started.
    pub started_at: time::Timestamp,
    /// The highest fencing token that the worker has received.
    pub token: u64,
    /// The runs in progress.
    pub runs: collections::BTreeMap<task::TaskId, Run>,
    /// The current fault.
    pub fault: Fault,
    /// Whether the worker is down.
    pub is_down: bool,
    /// The time until which its runs are slower, if it has started cold.
    pub cold_until: Option<time::Timestamp>,
    /// The time after which the worker notices that its lease has expired. Until then what runs goes on,
    /// also if a call extends the lease meanwhile.
    pub lapse_delay: time::Span,
    /// Whether the worker is draining.
    pub draining: bool,
    /// The number of lease expiries that it has noticed, also while nothing ran: ends that were listed count as lost.
    pub lease_expiries: u64,
    was_expired: bool,
    /// The time at which the worker notices that its lease has expired.
    notices_at: Option<time::Timestamp>,
    ended: Vec<worker::Ended>,
    end_count: u64,
    /// The highest attempt of each task that was stopped or has ended. It is not started again.
    refused_attempts: collections::BTreeMap<task::TaskId, u64>,
    lease_expiry: time::Timestamp,
}

/// The number of ends that a worker lists at a time.
const LISTED_ENDS: usize = 500;
/// The time that a run takes to stop.
const STOP_TIME: time::Span = time::Span::millis(200);
/// The longest time by which a stop is late: with [`STOP_TIME`], the protocol's longest time for one.
const MAX_LATE_STOP: time::Span = time::Span::millis(700);
/// The longest lease that the worker accepts.
const MAX_LEASE: time::Span = time::Span::seconds(10);

impl Worker {
    /// Creates a worker that has just started.
    pub fn new(n: usize, spec: fleet::Spec, now: time::Timestamp) -> Self {
        Self {
            id: worker::WorkerId(format!("w-{n}")),
            spec,
            incarnation: worker::Incarnation(now.0 / 1_000 + 1),
            started_at: now,
            token: 0,
            runs: collections::BTreeMap::new(),
            fault: Fault::default(),
            is_down: false,
            cold_until: None,
            lapse_delay: time::Span::ZERO,
            draining: false,
            lease_expiries: 0,
            was_expired: true,
            notices_at: None,
            ended: Vec::new(),
            end_count: 0,
            refused_attempts: collections::BTreeMap::new(),
            lease_expiry: time::Timestamp::default(),
        }
    }

    /// Returns the ends that were not acknowledged.
    pub fn unacknowledged(&self) -> &[worker::Ended] {
        &self.ended
    }

    /// Ends this incarnation with all its runs and starts the next.
    pub fn restart(&mut self, now: time::Timestamp) {
        self.incarnation = worker::Incarnation(now.0 / 1_000 + 1);
        self.started_at = now;
        self.token = 0;
        self.runs.clear();
        self.ended.clear();
        self.end_count = 0;
        self.refused_attempts.clear();
        self.lease_expiry = time::Timestamp::default();
        self.was_expired = true;
        self.notices_at = None;
        self.is_down = false;
        let is_cold = self.spec.cold_time > time::Span::ZERO;
        self.cold_until = is_cold.then(|| now + self.spec.cold_time);
    }

    /// Returns the worker's entry in the platform's directory.
    pub fn registration(&self) -> worker::Registration {
        worker::Registration {
            id: self.id.clone(),
            incarnation: self.incarnation,
            service: crate::load::SERVICE.to_owned(),
            address: std::net::SocketAddr::new(std::net::Ipv4Addr::LOCALHOST.into(), 1),
            vm: format!("vm-{}", self.id),
            domain: self.spec.domain.clone(),
            rack: Some(self.spec.rack.clone()),
            labels: vec!["a".to_owned(), self.spec.rack.clone()],
            size: self.spec.size,
            draining: self.draining,
            cold_left: self.cold_until.map(|_| self.spec.cold_time),
        }
    }

    /// Returns the time on the worker's clock.
    pub fn clock(&self, now: time::Timestamp) -> time::Timestamp {
        time::Timestamp(now.since(self.started_at).scaled(self.spec.clock_rate).0)
    }

    /// Returns the capacity that is reserved for the runs.
    pub fn reserved(&self) -> size::Size {
        let demand = |run: &Run| {
            let cores = if run.behaviour.best_effort { 0 } else { run.behaviour.size.cores };
            size::Size { cores, ..run.behaviour.size }
        };
        let sum = |all: size::Size, run: &Run| all.plus(&demand(run));
        self.runs.values().fold(size::Size::default(), sum)
    }

    /// Carries out a start order.
    pub fn start(
        &mut self,
        order: &worker::StartOrder,
        behaviour: Behaviour,
        now: time::Timestamp,
    ) -> worker::OrderReply {
        if order.token < self.token {
            return worker::OrderReply::Refused(worker::Refusal::Fenced);
        }
        self.token = order.token;
        if order.deadline < self.clock(now) {
            return worker::OrderReply::Refused(worker::Refusal::DeadlinePassed);
        }
        self.extend_lease(order.deadline, now);
        if self.refused_attempts.get(&order.task).is_some_and(|attempt| order.attempt <= *attempt) {
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
            slowdown: 1.0,
            cpu_limit: 1.0,
            load: 0.0,
            owner: 0,
            stop_at: None,
            lapses_at: None,
            end: None,
        };
        self.runs.insert(order.task, run);
        worker::OrderReply::Done
    }

    /// Carries out a stop order.
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
        let refused_attempt = self.refused_attempts.entry(task).or_default();
        *refused_attempt = (*refused_attempt).max(attempt);
        if let Some(run) = self.runs.get_mut(&task).filter(|run| run.attempt <= attempt) {
            run.stop_at = run.stop_at.or(Some(now + STOP_TIME));
        }
        worker::OrderReply::Done
    }

    /// Sets the CPU limit of a run, in percent.
    pub fn set_cpu_limit(&mut self, token: u64, task: task::TaskId, attempt: u64, percent: u32) {
        if token < self.token {
            return;
        }
        if let Some(run) = self.runs.get_mut(&task).filter(|run| run.attempt == attempt) {
            run.cpu_limit = f64::from(percent) / 100.0;
        }
    }

    /// Replies to a poll. Returns `None` if the fencing token is stale.
    pub fn poll(
        &mut self,
        request: &worker::PollRequest,
        now: time::Timestamp,
    ) -> Option<worker::PollReply> {
        if request.token < self.token {
            return None;
        }
        self.token = request.token;
        if let Some(lease) = request.lease {
            self.extend_lease(lease, now);
        }
        self.ended.retain(|end| end.number > request.acknowledged);
        let running = self.runs.iter().map(|(task, run)| worker::Running {
            task: *task,
            attempt: run.attempt,
            checkpoint: checkpoint(run),
            progress: progress_percent(run, now),
            load: run.load,
        });
        Some(worker::PollReply {
            clock: self.clock(now),
            incarnation: self.incarnation,
            running: running.collect(),
            ended: self.ended.iter().take(LISTED_ENDS).cloned().collect(),
            is_partial: self.ended.len() >= LISTED_ENDS,
        })
    }

    /// Returns `true` if the worker lists an ended run with a higher number.
    pub fn has_end_after(&self, number: u64) -> bool {
        self.ended.iter().any(|end| end.number > number)
    }

    /// Returns the time at which the worker's lease expires, in true time.
    pub fn lease_end(&self) -> time::Timestamp {
        let left = self.lease_expiry.since(time::Timestamp::default());
        self.started_at + left.scaled(1.0 / self.spec.clock_rate)
    }

    fn extend_lease(&mut self, lease: time::Timestamp, now: time::Timestamp) {
        let limit = self.clock(now) + MAX_LEASE;
        self.lease_expiry = self.lease_expiry.max(lease.min(limit));
    }

    /// Advances the worker by `step` and returns the runs that ended. `interference` gives the factor
    /// of a best-effort image on a long-running image.
    pub fn advance(
        &mut self,
        interference: &dyn Fn(u32, u32) -> f64,
        now: time::Timestamp,
        step: time::Span,
    ) -> Vec<worker::Ended> {
        self.advance_runs(interference, now, step);
        let clock = self.clock(now);
        let is_expired = clock > self.lease_expiry;
        if is_expired && !self.was_expired {
            self.notices_at.get_or_insert(now + self.lapse_delay);
        }
        self.was_expired = is_expired;
        self.lease_expiries += u64::from(self.notices_at.take_if(|at| now >= *at).is_some());
        if is_expired {
            let noticed_at = self.lease_end().min(now) + self.lapse_delay;
            for run in self.runs.values_mut() {
                run.lapses_at.get_or_insert(noticed_at);
            }
        }
        let late = self.fault.late_ends;
        let mut finished = Vec::new();
        for (task, run) in &mut self.runs {
            let due = if let Some(at) = run.lapses_at.filter(|at| now >= *at) {
                Some((worker::Outcome::Lapsed, at + late))
            } else if run.stop_at.is_some_and(|at| now >= at) {
                Some((worker::Outcome::Stopped, now + late.min(MAX_LATE_STOP)))
            } else if !run.behaviour.long_running && run.done >= run.behaviour.work {
                let has_failed = run.behaviour.always_fails || self.fault.fails_runs;
                let outcome =
                    if has_failed { worker::Outcome::Failed } else { worker::Outcome::Done };
                Some((outcome, now + late))
            } else {
                None
            };
            run.end = run.end.or(due.map(|(outcome, at)| PendingEnd { outcome, at }));
            if let Some(end) = run.end.filter(|end| end.at <= now) {
                finished.push((*task, end.outcome));
            }
        }
        finished.into_iter().filter_map(|(task, outcome)| self.end(task, outcome)).collect()
    }

    fn end(&mut self, task: task::TaskId, outcome: worker::Outcome) -> Option<worker::Ended> {
        let run = self.runs.remove(&task)?;
        let refused_attempt = self.refused_attempts.entry(task).or_default();
        *refused_attempt = (*refused_attempt).max(run.attempt);
        self.end_count += 1;
        let is_saved = outcome == worker::Outcome::Stopped && run.behaviour.checkpointing;
        let checkpoint = if is_saved { run.done.0.to_string() } else { checkpoint(&run) };
        let attempt = run.attempt;
        let end = worker::Ended { number: self.end_count, task, attempt, outcome, checkpoint };
        self.ended.push(end.clone());
        Some(end)
    }
}
