//! Random generation of arriving jobs and of the actual behaviour of their tasks, which may differ
//! from what the jobs declare.

use gl_jobs::{job, task};
use gl_model::{size, time};
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::{usage, worker};

/// The service to which all jobs and workers belong.
pub const SERVICE: &str = "desk";
/// The kind and queue of best-effort jobs.
pub const BEST_EFFORT: &str = "fill";

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The time of submission.
    pub at: time::Timestamp,
    /// The identifier of the job.
    pub id: task::JobId,
    /// The job as it is submitted.
    pub job: job::Job,
    /// The actual behaviour of the tasks of each phase.
    pub behaviours: Vec<worker::Behaviour>,
    /// The kind under which the report counts the job.
    pub kind: &'static str,
    /// The payoff if the job ends in time.
    pub payoff: f64,
    /// The time at which the client cancels the job, if it does.
    pub cancelled: Option<time::Timestamp>,
}

/// Settings of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The time during which jobs arrive.
    pub length: time::Span,
    /// The number of long-running jobs, which are submitted at the start.
    pub long_running: u32,
    /// The arrival rate of batch jobs, per second.
    pub batch: f64,
    /// The arrival rate of best-effort jobs, per second.
    pub best_effort: f64,
    /// The number of images of long-running tasks.
    pub long_running_images: u32,
    /// The number of images of best-effort tasks.
    pub best_effort_images: u32,
    /// The share of batch jobs whose tasks always fail.
    pub failing: f64,
    /// The share of batch jobs of which a task crashes its workers.
    pub crashing: f64,
    /// The share of batch and best-effort jobs that clients cancel after a second.
    pub cancelled: f64,
    /// A temporary increase of the arrival rate of best-effort jobs.
    pub burst: Option<Burst>,
    /// Where short and best-effort tasks have their data.
    pub distance: Distance,
    /// The common swing of the load of long-running tasks.
    pub swing: Option<usage::Swing>,
}

/// The racks that jobs prefer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Distance {
    /// The share of short and best-effort jobs whose data is in one rack.
    pub bound: f64,
    /// The number of racks that hold data.
    pub racks: u32,
    /// The share of the other such jobs whose phases are slower when they are spread over racks.
    pub sensitive: f64,
}

/// A temporary increase of the arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// The start.
    pub from: time::Timestamp,
    /// The duration.
    pub length: time::Span,
    /// The factor on the arrival rate.
    pub factor: f64,
    /// The number of the image that the best-effort jobs of the burst have, if they share one.
    pub image: Option<u32>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            length: time::Span::seconds(30),
            long_running: 20,
            batch: 3.0,
            best_effort: 2.0,
            long_running_images: 4,
            best_effort_images: 6,
            failing: 0.03,
            crashing: 0.0,
            cancelled: 0.03,
            burst: None,
            distance: Distance::default(),
            swing: None,
        }
    }
}

/// Generates arrivals at random.
pub fn generate(settings: &Settings) -> Vec<Arrival> {
    let mut generator = Generator { rng: rngs::SmallRng::seed_from_u64(settings.seed), next: 1 };
    let mut all = Vec::new();
    for n in 0..settings.long_running {
        let at = time::Timestamp(time::Span::millis(u64::from(n) * 20).0);
        all.push(generator.long_running(settings, at));
    }
    let step = time::Span::millis(10);
    let mut at = time::Timestamp(time::Span::seconds(4).0);
    let end = at + settings.length;
    while at < end {
        let active_burst = settings.burst.filter(|b| at >= b.from && at < b.from + b.length);
        let factor = active_burst.map_or(1.0, |b| b.factor);
        if generator.rng.random_bool((settings.batch * step.as_seconds()).min(1.0)) {
            all.push(generator.batch(settings, at));
        }
        if generator.rng.random_bool((settings.best_effort * factor * step.as_seconds()).min(1.0)) {
            let image = active_burst.and_then(|b| b.image);
            all.push(generator.best_effort(settings, image, at));
        }
        at = at + step;
    }
    all
}

struct Generator {
    rng: rngs::SmallRng,
    next: u64,
}

impl Generator {
    fn id(&mut self) -> task::JobId {
        self.next += 1;
        task::JobId(self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn span(&mut self, mean: time::Span) -> time::Span {
        mean.scaled(self.rng.random_range(0.5..1.5))
    }

    fn long_running(&mut self, settings: &Settings, at: time::Timestamp) -> Arrival {
        let image = self.rng.random_range(0..settings.long_running_images.max(1));
        let cores = self.rng.random_range(8_000..18_000);
        let size = size::Size { cores, memory: 26_000, accelerators: 0 };
        let phase = job::Phase {
            count: self.rng.random_range(3..8),
            size,
            estimate: time::Span::millis(320),
            per_worker: Some(2),
            long_running: true,
            image: Some(format!("l{image}")),
            tail_target: Some(time::Span::millis(50)),
            ..job::Phase::default()
        };
        let mut arrival = self.arrival(at, vec![phase], "lasting", 0.4, None);
        for behaviour in &mut arrival.behaviours {
            behaviour.swing = settings.swing;
        }
        arrival
    }

    fn batch(&mut self, settings: &Settings, at: time::Timestamp) -> Arrival {
        let phases = self.rng.random_range(1..3);
        let size = size::Size {
            cores: self.rng.random_range(2_000..12_000),
            memory: 13_000,
            accelerators: 0,
        };
        let phases: Vec<_> = (0..phases)
            .map(|n| job::Phase {
                count: self.rng.random_range(2..12),
                size,
                estimate: self.span(time::Span::millis(640)),
                after: if n > 0 { vec![n - 1] } else { Vec::new() },
                speculative: self.rng.random_bool(0.2),
                ..job::Phase::default()
            })
            .collect();
        let phases = self.with_racks(settings, phases);
        let always_fails = self.rng.random_bool(settings.failing);
        let cancelled = self.rng.random_bool(settings.cancelled);
        let cancelled = cancelled.then(|| at + time::Span::seconds(1));
        let mut arrival = self.arrival(at, phases, "batch", 0.4, cancelled);
        // Without such jobs the sequence of random numbers stays the same.
        let crashes_worker = settings.crashing > 0.0 && self.rng.random_bool(settings.crashing);
        for behaviour in &mut arrival.behaviours {
            behaviour.always_fails = always_fails;
        }
        if let Some(behaviour) = arrival.behaviours.first_mut() {
            behaviour.crashes_worker = crashes_worker;
        }
        arrival
    }

    fn best_effort(
        &mut self,
        settings: &Settings,
        image: Option<u32>,
        at: time::Timestamp,
    ) -> Arrival {
        let usual = self.rng.random_range(0..settings.best_effort_images.max(1));
        let image = image.unwrap_or(usual);
        let cores = self.rng.random_range(5_000..10_000);
        let size = size::Size { cores, memory: 13_000, accelerators: 0 };
        let phases: Vec<_> = (0..2)
            .map(|n| job::Phase {
                count: self.rng.random_range(3..13),
                size,
                estimate: self.span(time::Span::millis(2_700)),
                after: if n > 0 { vec![n - 1] } else { Vec::new() },
                checkpointing: self.rng.random_bool(0.85),
                best_effort: true,
                image: Some(format!("f{image}")),
                ..job::Phase::default()
            })
            .collect();
        let phases = self.with_racks(settings, phases);
        let cancelled = self.rng.random_bool(settings.cancelled);
        let cancelled = cancelled.then(|| at + time::Span::seconds(1));
        self.arrival(at, phases, BEST_EFFORT, 2.0, cancelled)
    }

    /// Binds the phases of some jobs to a rack. Without such jobs the sequence of random numbers
    /// stays the same.
    fn with_racks(&mut self, settings: &Settings, mut phases: Vec<job::Phase>) -> Vec<job::Phase> {
        let Distance { bound, racks, sensitive } = settings.distance;
        let is_bound = bound > 0.0 && self.rng.random_bool(bound);
        let is_sensitive = !is_bound && sensitive > 0.0 && self.rng.random_bool(sensitive);
        let rack = is_bound.then(|| format!("r{}", self.rng.random_range(0..racks.max(1))));
        for phase in &mut phases {
            phase.data_rack.clone_from(&rack);
            phase.rack_sensitive = is_sensitive;
        }
        phases
    }

    fn arrival(
        &mut self,
        at: time::Timestamp,
        phases: Vec<job::Phase>,
        kind: &'static str,
        payoff: f64,
        cancelled: Option<time::Timestamp>,
    ) -> Arrival {
        // Actual run times deviate from the declared ones by up to a half, and by the same factor in
        // all phases of a job.
        let factor = self.rng.random_range(0.6..1.5);
        let behaviours = phases.iter().map(|phase| behaviour(phase, factor)).collect();
        let policy = job::Policy {
            priority: 0,
            max_attempts: 3,
            slack_factor: 2.0,
            target_latency: time::Span::millis(500),
        };
        let job = job::Job {
            queue: kind.to_owned(),
            service: SERVICE.to_owned(),
            spec: "run".to_owned(),
            phases,
            schedule: None,
            policy,
            advice: None,
            submitted: at,
        };
        Arrival { at, id: self.id(), job, behaviours, kind, payoff, cancelled }
    }
}

fn behaviour(phase: &job::Phase, factor: f64) -> worker::Behaviour {
    let image = phase.image.as_deref().and_then(|name| name[1..].parse().ok());
    worker::Behaviour {
        work: phase.estimate.scaled(factor),
        size: phase.size,
        best_effort: phase.best_effort,
        long_running: phase.long_running,
        tail_target: phase.tail_target.map_or(0.0, |tail| tail.as_seconds() * 1_000.0),
        image,
        always_fails: false,
        crashes_worker: false,
        checkpointing: phase.checkpointing,
        speculative: phase.speculative,
        data_rack: phase.data_rack.clone(),
        rack_sensitive: phase.rack_sensitive,
        swing: None,
    }
}

/// Returns the interference factor of a best-effort image on a long-running image: 9.0 for a pair
/// that interferes, 0.1 for any other pair. Every third best-effort image interferes with none, and
/// each other one interferes with every second long-running image.
pub fn interference(long_running: u32, best_effort: u32) -> f64 {
    if best_effort % 3 == 2 || (long_running + best_effort).is_multiple_of(2) { 0.1 } else { 9.0 }
}
