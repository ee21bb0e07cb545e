//! Replays a recorded trace against a fake of the workers, and measures its outcome.

use std::{collections, hash::Hasher as _};

use gl_model::{id, job, size, time, worker};
use gl_schedule::{
    owner::{Action, Input},
    placer,
};
use rand::{Rng as _, SeedableRng as _, rngs};

use super::bench::{self, Calm};

/// A trace with the outcome that it must have.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// What the trace is about.
    pub about: String,
    /// The outcome that it must have.
    pub outcome: Outcome,
    /// VMs of 64 cores and 250 GB.
    pub vms: usize,
    /// How long it lasts, in seconds.
    pub seconds: u64,
    /// What happens, in the order of time.
    pub events: Vec<Timed>,
}

/// The bounds of a trace's outcome.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The services' slowdown in the worst hundredth, at most.
    pub tail: f64,
    /// The share of the batch tasks that can finish and did, at least.
    pub done: f64,
    /// Evictions at most.
    pub evictions: u64,
    /// The share of the time for which the wanted booking tasks ran, at least.
    pub served: f64,
}

/// An event at a time in seconds.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Timed {
    pub at: u64,
    pub event: Event,
}

/// What happens.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub enum Event {
    /// A booking service comes.
    Service { name: String, replicas: u32, cores: u64, grant: u32 },
    /// More booking tasks run in a stretch of time.
    Season { name: String, replicas: u32, cores: u64, grant: u32, from: u64, to: u64 },
    /// A batch job comes. It uses `truth` times the cores that it declares.
    Batch { name: String, kind: String, tasks: u32, cores: u64, run: u64, truth: f64 },
    /// How much one task of a kind slows a booking task beside it down at full load.
    Harm { kind: String, harm: f64 },
    /// The services' load from 0 to 1.
    Load(f64),
    /// A job is cancelled.
    Cancel(String),
    /// A worker fails all that it starts.
    Fails(usize),
    /// The table takes nothing, or takes writes again.
    Outage(bool),
}

/// What came of a replay.
#[derive(Debug, Clone, PartialEq)]
pub struct Measured {
    pub tail: f64,
    pub done: f64,
    pub work: f64,
    pub evictions: u64,
    pub served: f64,
    pub digest: u64,
}

const PACE: time::Span = time::Span::millis(100);
const LAG: time::Span = time::Span::seconds(5);
const NOISE: f64 = 0.03;
const MEMORY_GB: u64 = 4;

struct Replay {
    calm: Calm,
    harm: collections::BTreeMap<id::KindId, f64>,
    truth: collections::BTreeMap<id::KindId, f64>,
    load: f64,
    random: rngs::SmallRng,
    slowdowns: Vec<f64>,
    wanted: u64,
    running: u64,
    digest: siphasher::sip::SipHasher13,
}

/// Replays a trace with the given way to choose VMs.
pub fn run(trace: &Trace, placer: Box<dyn placer::Placer>) -> Measured {
    let vms = (0..trace.vms).map(|n| bench::vm(n, bench::size(64, 250))).collect();
    let mut calm = Calm::new(vms, &[]);
    calm.pace = PACE;
    calm.owner.state.placer = placer;
    for agent in &mut calm.agents {
        agent.lag = LAG;
    }
    let mut replay = Replay {
        calm,
        harm: collections::BTreeMap::new(),
        truth: collections::BTreeMap::new(),
        load: 0.5,
        random: rngs::SmallRng::seed_from_u64(11),
        slowdowns: Vec::new(),
        wanted: 0,
        running: 0,
        digest: siphasher::sip::SipHasher13::new(),
    };
    let mut events = trace.events.iter().peekable();
    let steps = trace.seconds * 1_000 / PACE.as_millis();
    for step in 0..steps {
        let second = step * PACE.as_millis() / 1_000;
        while events.peek().is_some_and(|timed| timed.at <= second) {
            if let Some(timed) = events.next() {
                replay.apply(&timed.event);
            }
        }
        replay.step(step.is_multiple_of(10));
    }
    replay.measure(trace)
}

impl Replay {
    fn put(&mut self, row: &job::Row) {
        self.calm.store.put_job(row);
        self.calm.input(Input::Jobs(self.calm.store.jobs()));
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Service { name, replicas, cores, grant } => {
                let size = bench::size(*cores, MEMORY_GB);
                self.put(&bench::service(name, *replicas, size, *grant));
            }
            Event::Season { name, replicas, cores, grant, from, to } => {
                let at = |second: &u64| bench::START + time::Span::seconds(*second);
                let size = bench::size(*cores, MEMORY_GB);
                let mut row = bench::service(name, *replicas, size, *grant);
                if let job::Work::Service(service) = &mut row.spec.work {
                    service.windows = vec![job::Window { from: at(from), to: at(to) }];
                }
                self.put(&row);
            }
            Event::Batch { name, kind, tasks, cores, run, truth } => {
                let mut row = bench::batch(name, *tasks, bench::size(*cores, MEMORY_GB));
                row.spec.kind = id::KindId::from(kind.as_str());
                if let job::Work::Batch(batch) = &mut row.spec.work {
                    batch.run = time::Span::seconds(*run);
                }
                self.truth.insert(row.spec.kind.clone(), *truth);
                self.put(&row);
            }
            Event::Harm { kind, harm } => {
                self.harm.insert(id::KindId::from(kind.as_str()), *harm);
            }
            Event::Load(load) => self.load = *load,
            Event::Cancel(name) => self.cancel(name),
            Event::Fails(vm) => self.calm.agents[*vm].fails = true,
            Event::Outage(on) => self.calm.outage = *on,
        }
    }

    fn cancel(&mut self, name: &str) {
        let jobs = self.calm.store.jobs();
        if let Some(job) = jobs.into_iter().find(|job| job.row.spec.name.as_str() == name) {
            self.put(&job::Row { cancelled: true, ..job.row });
        }
    }

    fn step(&mut self, measured: bool) {
        if measured {
            for vm in 0..self.calm.agents.len() {
                self.sample(vm);
            }
            self.count_served();
        }
        for action in self.calm.step() {
            if let Action::Commit(txn) = action {
                self.digest.write(serde_json::to_string(&txn).unwrap().as_bytes());
            }
        }
        bench::check_runs(&self.calm.runs, self.calm.now);
    }

    /// Measures a worker's tasks as they truly are, with some noise.
    fn sample(&mut self, vm: usize) {
        let now = self.calm.now;
        let agent = &self.calm.agents[vm];
        let running: Vec<&bench::Held> = agent.held.values().filter(|h| h.is_running()).collect();
        let share = |held: &bench::Held| {
            if held.order.wish == worker::Wish::Throttle { bench::THROTTLED } else { 1.0 }
        };
        let used = |held: &bench::Held| {
            let declared = self.declared(&held.order);
            let truth = self.truth.get(&held.order.kind).copied().unwrap_or(1.0);
            declared as f64 * truth * share(held)
        };
        let cores: f64 = running.iter().map(|held| used(held)).sum();
        let contention = (cores / 64_000.0).max(1.0);
        let batch = running.iter().filter(|held| !held.order.serving);
        let harm: f64 = batch
            .map(|held| self.harm.get(&held.order.kind).copied().unwrap_or(0.0) * share(held))
            .sum();
        let slowdown = (1.0 + harm * self.load) * contention;
        let mut usage = Vec::new();
        let mut slowdowns = Vec::new();
        for held in &running {
            let size = size::Size { cores: used(held) as u64, ..held.order.size };
            if held.order.serving {
                slowdowns.push(slowdown);
            }
            usage.push(worker::Usage {
                task: held.order.task.clone(),
                at: now,
                used: size,
                slowdown: held.order.serving.then_some(slowdown),
                load: self.load,
            });
        }
        for sample in &mut usage {
            let noise = 1.0 + NOISE * (self.random.random::<f64>() * 2.0 - 1.0);
            sample.slowdown = sample.slowdown.map(|ratio| ratio * noise);
        }
        self.slowdowns.extend(slowdowns);
        self.calm.agents[vm].rate = 1.0 / contention;
        self.calm.agents[vm].usage.extend(usage);
    }

    fn declared(&self, order: &worker::Order) -> u64 {
        let job = order.task.as_str().rsplit_once('.').map_or("", |(job, _)| job);
        let job = self.calm.owner.state.jobs.get(&id::JobId::from(job));
        job.map_or(order.size.cores, |stored| stored.row.spec.size.cores)
    }

    fn count_served(&mut self) {
        let now = self.calm.now;
        for job in self.calm.store.jobs() {
            let row = &job.row;
            if row.spec.is_service() && !row.cancelled && row.spec.is_wanted(now) {
                self.wanted += row.slots.len() as u64;
                self.running += self.calm.running(row.spec.name.as_str()) as u64;
            }
        }
    }

    fn measure(mut self, trace: &Trace) -> Measured {
        self.slowdowns.sort_unstable_by(f64::total_cmp);
        let at = (self.slowdowns.len().max(1) - 1) * 99 / 100;
        let done = self.calm.runs.iter().filter(|run| run.done).count();
        let tasks: u32 = trace.events.iter().map(|timed| batch_tasks(&timed.event)).sum();
        let cancelled = |name: &str| {
            trace.events.iter().any(|t| matches!(&t.event, Event::Cancel(n) if n == name))
        };
        let gone: u32 = trace
            .events
            .iter()
            .filter(|t| matches!(&t.event, Event::Batch { name, cores, .. } if cancelled(name) || *cores > 64))
            .map(|timed| batch_tasks(&timed.event))
            .sum();
        let able = (tasks - gone).max(1);
        let names = |run: &&bench::Run| {
            let job = run.task.as_str().rsplit_once('.').map_or("", |(job, _)| job);
            run.done && !cancelled(job)
        };
        let finished = self.calm.runs.iter().filter(names).count();
        Measured {
            tail: self.slowdowns.get(at).copied().unwrap_or(1.0),
            done: finished as f64 / f64::from(able),
            work: done as f64,
            evictions: self.calm.owner.state.counters.evictions,
            served: self.running as f64 / self.wanted.max(1) as f64,
            digest: self.digest.finish(),
        }
    }
}

fn batch_tasks(event: &Event) -> u32 {
    match event {
        Event::Batch { tasks, .. } => *tasks,
        _ => 0,
    }
}

/// Reads a trace of the repository.
pub fn read(name: &str) -> Trace {
    let path = format!("{}/tests/traces/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    serde_saphyr::from_str(&text).unwrap_or_else(|e| panic!("{name}: {e}"))
}
