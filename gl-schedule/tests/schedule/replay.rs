//! Replays a recorded trace with fake workers, and measures its outcome.

use std::{collections, hash::Hasher as _};

use gl_model::{id, job, size, time, worker};
use gl_schedule::{
    owner::{Action, Input},
    placer,
};
use rand::{Rng as _, SeedableRng as _, rngs};

use super::harness::{self, Cluster};

/// A trace with the bounds that its outcome must meet.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The subject of the trace.
    pub about: String,
    /// The bounds that its outcome must meet.
    pub outcome: Outcome,
    /// The number of VMs, each of 64 cores and 250 GB.
    pub vms: usize,
    /// Its duration in seconds.
    pub seconds: u64,
    /// Its events in the order of time.
    pub events: Vec<Timed>,
}

/// The bounds of a trace's outcome.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The largest allowed 99th percentile of the services' slowdown.
    pub tail: f64,
    /// The smallest allowed share of finished tasks among the batch tasks that can finish.
    pub done: f64,
    /// The largest allowed number of evictions.
    pub evictions: u64,
    /// The smallest allowed share of time for which the requested service tasks ran.
    pub served: f64,
}

/// An event at a time in seconds.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Timed {
    pub at: u64,
    pub event: Event,
}

/// An event of a trace.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub enum Event {
    /// Submits a service.
    Service { name: String, replicas: u32, cores: u64, grant: u32 },
    /// Submits a season: more service tasks that run in a time window.
    Season { name: String, replicas: u32, cores: u64, grant: u32, from: u64, to: u64 },
    /// Submits a batch job, which uses `usage_factor` times its declared cores.
    Batch {
        name: String,
        kind: String,
        tasks: u32,
        cores: u64,
        run: u64,
        #[serde(rename = "truth")]
        usage_factor: f64,
    },
    /// Sets the slowdown that one task of a kind causes to a co-located service at full load.
    #[serde(rename = "harm")]
    Interference {
        kind: String,
        #[serde(rename = "harm")]
        slowdown: f64,
    },
    /// Sets the services' load, from 0 to 1.
    Load(f64),
    /// Cancels a job.
    Cancel(String),
    /// Makes every task fail that a worker starts.
    Fails(usize),
    /// Starts or ends an outage of the table service.
    Outage(bool),
}

/// The measured outcome of a replay.
#[derive(Debug, Clone, PartialEq)]
pub struct Measured {
    pub tail: f64,
    pub done: f64,
    pub work: f64,
    pub evictions: u64,
    pub served: f64,
    pub digest: u64,
}

const INTERVAL: time::Span = time::Span::millis(100);
const REPORT_LAG: time::Span = time::Span::seconds(5);
const NOISE: f64 = 0.03;
const MEMORY_GB: u64 = 4;

struct Replay {
    cluster: Cluster,
    interference: collections::BTreeMap<id::KindId, f64>,
    usage_factors: collections::BTreeMap<id::KindId, f64>,
    load: f64,
    random: rngs::SmallRng,
    slowdowns: Vec<f64>,
    wanted: u64,
    running: u64,
    digest: siphasher::sip::SipHasher13,
}

/// Replays a trace with the given strategy for choosing VMs.
pub fn run(trace: &Trace, placer: Box<dyn placer::Placer>) -> Measured {
    let vms = (0..trace.vms).map(|n| harness::vm(n, harness::size(64, 250))).collect();
    let mut cluster = Cluster::new(vms, &[]);
    cluster.interval = INTERVAL;
    cluster.owner.state.placer = placer;
    for agent in &mut cluster.agents {
        agent.report_lag = REPORT_LAG;
    }
    let mut replay = Replay {
        cluster,
        interference: collections::BTreeMap::new(),
        usage_factors: collections::BTreeMap::new(),
        load: 0.5,
        random: rngs::SmallRng::seed_from_u64(11),
        slowdowns: Vec::new(),
        wanted: 0,
        running: 0,
        digest: siphasher::sip::SipHasher13::new(),
    };
    let mut events = trace.events.iter().peekable();
    let steps = trace.seconds * 1_000 / INTERVAL.as_millis();
    for step in 0..steps {
        let second = step * INTERVAL.as_millis() / 1_000;
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
        self.cluster.store.put_job(row);
        self.cluster.input(Input::Jobs(self.cluster.store.jobs()));
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Service { name, replicas, cores, grant } => {
                let size = harness::size(*cores, MEMORY_GB);
                self.put(&harness::service(name, *replicas, size, *grant));
            }
            Event::Season { name, replicas, cores, grant, from, to } => {
                let at = |second: &u64| harness::START + time::Span::seconds(*second);
                let size = harness::size(*cores, MEMORY_GB);
                let mut row = harness::service(name, *replicas, size, *grant);
                if let job::Work::Service(service) = &mut row.spec.work {
                    service.windows = vec![job::Window { from: at(from), to: at(to) }];
                }
                self.put(&row);
            }
            Event::Batch { name, kind, tasks, cores, run, usage_factor } => {
                let mut row = harness::batch(name, *tasks, harness::size(*cores, MEMORY_GB));
                row.spec.kind = id::KindId::from(kind.as_str());
                if let job::Work::Batch(batch) = &mut row.spec.work {
                    batch.run = time::Span::seconds(*run);
                }
                self.usage_factors.insert(row.spec.kind.clone(), *usage_factor);
                self.put(&row);
            }
            Event::Interference { kind, slowdown } => {
                self.interference.insert(id::KindId::from(kind.as_str()), *slowdown);
            }
            Event::Load(load) => self.load = *load,
            Event::Cancel(name) => self.cancel(name),
            Event::Fails(vm) => self.cluster.agents[*vm].is_failing = true,
            Event::Outage(on) => self.cluster.outage = *on,
        }
    }

    fn cancel(&mut self, name: &str) {
        let jobs = self.cluster.store.jobs();
        if let Some(job) = jobs.into_iter().find(|job| job.row.spec.name.as_str() == name) {
            self.put(&job::Row { cancelled: true, ..job.row });
        }
    }

    fn step(&mut self, is_measured: bool) {
        if is_measured {
            for vm in 0..self.cluster.agents.len() {
                self.sample(vm);
            }
            self.count_running();
        }
        for action in self.cluster.step() {
            if let Action::Commit(txn) = action {
                self.digest.write(serde_json::to_string(&txn).unwrap().as_bytes());
            }
        }
        harness::check_runs(&self.cluster.runs, self.cluster.now);
    }

    /// Measures the simulated usage and slowdown of a worker's tasks, with some noise.
    fn sample(&mut self, vm: usize) {
        let now = self.cluster.now;
        let agent = &self.cluster.agents[vm];
        let running: Vec<&harness::HeldTask> =
            agent.held.values().filter(|h| h.is_running()).collect();
        let share = |held: &harness::HeldTask| {
            if held.order.desired == worker::DesiredState::Throttle {
                harness::THROTTLED_SPEED
            } else {
                1.0
            }
        };
        let used = |held: &harness::HeldTask| {
            let declared = self.declared(&held.order);
            let factor = self.usage_factors.get(&held.order.kind).copied().unwrap_or(1.0);
            declared as f64 * factor * share(held)
        };
        let cores: f64 = running.iter().map(|held| used(held)).sum();
        let contention = (cores / 64_000.0).max(1.0);
        let batch = running.iter().filter(|held| !held.order.is_service);
        let interference: f64 = batch
            .map(|held| {
                self.interference.get(&held.order.kind).copied().unwrap_or(0.0) * share(held)
            })
            .sum();
        let slowdown = (1.0 + interference * self.load) * contention;
        let mut usage = Vec::new();
        let mut slowdowns = Vec::new();
        for held in &running {
            let size = size::Size { cores: used(held) as u64, ..held.order.size };
            if held.order.is_service {
                slowdowns.push(slowdown);
            }
            usage.push(worker::Usage {
                task: held.order.task.clone(),
                at: now,
                used: size,
                slowdown: held.order.is_service.then_some(slowdown),
                load: self.load,
            });
        }
        for sample in &mut usage {
            let noise = 1.0 + NOISE * (self.random.random::<f64>() * 2.0 - 1.0);
            sample.slowdown = sample.slowdown.map(|ratio| ratio * noise);
        }
        self.slowdowns.extend(slowdowns);
        self.cluster.agents[vm].rate = 1.0 / contention;
        self.cluster.agents[vm].usage.extend(usage);
    }

    fn declared(&self, order: &worker::Order) -> u64 {
        let job = order.task.as_str().rsplit_once('.').map_or("", |(job, _)| job);
        let job = self.cluster.owner.state.jobs.get(&id::JobId::from(job));
        job.map_or(order.size.cores, |stored| stored.row.spec.size.cores)
    }

    fn count_running(&mut self) {
        let now = self.cluster.now;
        for job in self.cluster.store.jobs() {
            let row = &job.row;
            if row.spec.is_service() && !row.cancelled && row.spec.is_wanted(now) {
                self.wanted += row.slots.len() as u64;
                self.running += self.cluster.running(row.spec.name.as_str()) as u64;
            }
        }
    }

    fn measure(mut self, trace: &Trace) -> Measured {
        self.slowdowns.sort_unstable_by(f64::total_cmp);
        let at = (self.slowdowns.len().max(1) - 1) * 99 / 100;
        let done = self.cluster.runs.iter().filter(|run| run.done).count();
        let tasks: u32 = trace.events.iter().map(|timed| batch_tasks(&timed.event)).sum();
        let cancelled = |name: &str| {
            trace.events.iter().any(|t| matches!(&t.event, Event::Cancel(n) if n == name))
        };
        let excluded: u32 = trace
            .events
            .iter()
            .filter(|t| matches!(&t.event, Event::Batch { name, cores, .. } if cancelled(name) || *cores > 64))
            .map(|timed| batch_tasks(&timed.event))
            .sum();
        let finishable = (tasks - excluded).max(1);
        let is_counted = |run: &&harness::Run| {
            let job = run.task.as_str().rsplit_once('.').map_or("", |(job, _)| job);
            run.done && !cancelled(job)
        };
        let finished = self.cluster.runs.iter().filter(is_counted).count();
        Measured {
            tail: self.slowdowns.get(at).copied().unwrap_or(1.0),
            done: finished as f64 / f64::from(finishable),
            work: done as f64,
            evictions: self.cluster.owner.state.counters.evictions,
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

/// Reads a trace from the folder `tests/traces`.
pub fn read(name: &str) -> Trace {
    let path = format!("{}/tests/traces/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    serde_saphyr::from_str(&text).unwrap_or_else(|e| panic!("{name}: {e}"))
}
