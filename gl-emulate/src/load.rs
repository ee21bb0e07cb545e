//! Jobs that arrive, and how their tasks behave, whatever the jobs declare.

use gl_jobs::{job, task};
use gl_model::{size, time};
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::worker;

/// The service that all jobs use.
pub const SERVICE: &str = "desk";

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is submitted.
    pub at: time::Timestamp,
    /// Its identity.
    pub id: task::JobId,
    /// What is declared.
    pub job: job::Job,
    /// How the tasks of each phase behave.
    pub behaviours: Vec<worker::Behaviour>,
    /// The kind that it is counted under.
    pub kind: &'static str,
    /// What it is worth in time.
    pub worth: f64,
    /// When its client cancels it.
    pub cancelled: Option<time::Timestamp>,
}

/// How many jobs arrive, of which kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The seed.
    pub seed: u64,
    /// How long jobs arrive.
    pub length: time::Span,
    /// Lasting jobs there from the start.
    pub lasting: u32,
    /// Batch jobs a second.
    pub batch: f64,
    /// Fill jobs a second.
    pub fills: f64,
    /// Images of lasting tasks.
    pub lasting_images: u32,
    /// Images of fill tasks.
    pub fill_images: u32,
    /// The share of batch jobs that can never be done.
    pub hopeless: f64,
    /// The share of jobs that their clients cancel after a second.
    pub cancelled: f64,
    /// A time in which fill jobs come so many times as often.
    pub burst: Option<Burst>,
}

/// More load for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// From when.
    pub from: time::Timestamp,
    /// For how long.
    pub length: time::Span,
    /// How many times as much.
    pub factor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            length: time::Span::seconds(30),
            lasting: 20,
            batch: 3.0,
            fills: 2.0,
            lasting_images: 4,
            fill_images: 6,
            hopeless: 0.03,
            cancelled: 0.03,
            burst: None,
        }
    }
}

/// Draws arrivals.
pub fn draw(settings: &Settings) -> Vec<Arrival> {
    let mut draw = Draw { rng: rngs::SmallRng::seed_from_u64(settings.seed), next: 1 };
    let mut all = Vec::new();
    for n in 0..settings.lasting {
        let at = time::Timestamp(time::Span::millis(u64::from(n) * 20).0);
        all.push(draw.lasting(settings, at));
    }
    let step = time::Span::millis(10);
    let mut at = time::Timestamp(time::Span::seconds(4).0);
    let end = at + settings.length;
    while at < end {
        let is_burst = settings.burst.filter(|b| at >= b.from && at < b.from + b.length);
        let factor = is_burst.map_or(1.0, |b| b.factor);
        if draw.rng.random_bool((settings.batch * step.as_seconds()).min(1.0)) {
            all.push(draw.batch(settings, at));
        }
        if draw.rng.random_bool((settings.fills * factor * step.as_seconds()).min(1.0)) {
            all.push(draw.fill(settings, at));
        }
        at = at + step;
    }
    all
}

struct Draw {
    rng: rngs::SmallRng,
    next: u64,
}

impl Draw {
    fn id(&mut self) -> task::JobId {
        self.next += 1;
        task::JobId(self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn span(&mut self, mean: time::Span) -> time::Span {
        mean.scaled(self.rng.random_range(0.5..1.5))
    }

    fn lasting(&mut self, settings: &Settings, at: time::Timestamp) -> Arrival {
        let image = self.rng.random_range(0..settings.lasting_images.max(1));
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
        self.arrival(at, vec![phase], "lasting", 0.4, None)
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
        let is_hopeless = self.rng.random_bool(settings.hopeless);
        let cancelled = self.rng.random_bool(settings.cancelled);
        let cancelled = cancelled.then(|| at + time::Span::seconds(1));
        let mut arrival = self.arrival(at, phases, "batch", 0.4, cancelled);
        for behaviour in &mut arrival.behaviours {
            behaviour.hopeless = is_hopeless;
        }
        arrival
    }

    fn fill(&mut self, settings: &Settings, at: time::Timestamp) -> Arrival {
        let image = self.rng.random_range(0..settings.fill_images.max(1));
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
        let cancelled = self.rng.random_bool(settings.cancelled);
        let cancelled = cancelled.then(|| at + time::Span::seconds(1));
        self.arrival(at, phases, "fill", 2.0, cancelled)
    }

    fn arrival(
        &mut self,
        at: time::Timestamp,
        phases: Vec<job::Phase>,
        kind: &'static str,
        worth: f64,
        cancelled: Option<time::Timestamp>,
    ) -> Arrival {
        // Declared times are off by up to a half, all in one direction for a job.
        let off = self.rng.random_range(0.6..1.5);
        let behaviours = phases.iter().map(|phase| behaviour(phase, off)).collect();
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
        Arrival { at, id: self.id(), job, behaviours, kind, worth, cancelled }
    }
}

fn behaviour(phase: &job::Phase, off: f64) -> worker::Behaviour {
    let image = phase.image.as_deref().and_then(|name| name[1..].parse().ok());
    worker::Behaviour {
        work: phase.estimate.scaled(off),
        size: phase.size,
        fills: phase.best_effort,
        lasting: phase.long_running,
        tail: phase.tail_target.map_or(0.0, |tail| tail.as_seconds() * 1_000.0),
        image,
        hopeless: false,
        checkpoints: phase.checkpointing,
        speculative: phase.speculative,
    }
}

/// The harm of a fill image to a lasting one: two groups of each, of which one harms the other.
pub fn harm(lasting: u32, fill: u32) -> f64 {
    if fill % 3 == 2 || (lasting + fill).is_multiple_of(2) { 0.1 } else { 9.0 }
}
