//! Short jobs of very different sizes on a fleet that long-running tasks fill. Few workers are left
//! with room for a large task, and small ones arrive all the time.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_jobs::{job, owner, task};
use gl_model::{size, time};
use rand::{Rng as _, SeedableRng as _, rngs};

const WORKERS: usize = 244;
/// The time during which short jobs arrive.
const LENGTH: time::Span = time::Span::seconds(15);
/// The time from the start of the long-running jobs to the first short one.
const LEAD: time::Span = time::Span::seconds(7);
/// The short jobs that arrive per second.
const RATE: f64 = 13.0;
/// The share of the fleet's processors, in percent, that long-running tasks need before that.
const LONG_RUNNING_SHARE: u64 = 78;
const SEEDS: u64 = 4;
const SLACK_FACTOR: f64 = 1.5;
const TARGET_LATENCY: time::Span = time::Span::millis(250);

/// Draws from a distribution with this mean whose logarithm is about normal.
fn skewed(rng: &mut rngs::SmallRng, mean: f64, spread: f64, max: f64) -> f64 {
    let normal = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (mean * (normal * spread - spread * spread / 2.0).exp()).min(max)
}

/// Draws a number of at least one likewise.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and small")]
fn skewed_number(rng: &mut rngs::SmallRng, mean: f64, spread: f64, max: f64) -> u32 {
    skewed(rng, mean, spread, max).max(1.0) as u32
}

fn policy() -> job::Policy {
    job::Policy {
        priority: 0,
        max_attempts: 3,
        slack_factor: SLACK_FACTOR,
        target_latency: TARGET_LATENCY,
    }
}

fn behaviour(phase: &job::Phase, work: time::Span) -> worker::Behaviour {
    worker::Behaviour {
        work,
        size: phase.size,
        best_effort: phase.best_effort,
        long_running: phase.long_running,
        tail_target: phase.tail_target.map_or(0.0, |tail| tail.as_seconds() * 1_000.0),
        image: phase.image.as_deref().and_then(|name| name[1..].parse().ok()),
        always_fails: false,
        crashes_worker: false,
        checkpointing: false,
        speculative: false,
        data_rack: None,
        rack_sensitive: false,
        swing: None,
    }
}

fn arrival(n: u64, at: time::Timestamp, phase: job::Phase, work: time::Span) -> load::Arrival {
    let kind = if phase.long_running { "lasting" } else { "short" };
    load::Arrival {
        at,
        id: task::JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        behaviours: vec![behaviour(&phase, work)],
        job: job::Job {
            queue: kind.to_owned(),
            service: load::SERVICE.to_owned(),
            spec: "run".to_owned(),
            phases: vec![phase],
            schedule: None,
            policy: policy(),
            advice: None,
            submitted: at,
        },
        kind,
        payoff: 0.4,
        cancelled: None,
    }
}

fn long_running(rng: &mut rngs::SmallRng, n: u64, at: time::Timestamp) -> load::Arrival {
    let phase = job::Phase {
        count: skewed_number(rng, 24.0, 0.4, 48.0),
        size: size::Size {
            cores: u64::from(skewed_number(rng, 13_000.0, 0.25, 20_000.0)),
            memory: 26_000,
            accelerators: 0,
        },
        estimate: time::Span::millis(400),
        long_running: true,
        image: Some(format!("l{}", n % 4)),
        tail_target: Some(time::Span::millis(50)),
        ..job::Phase::default()
    };
    arrival(n, at, phase, time::Span::millis(400))
}

fn short(rng: &mut rngs::SmallRng, n: u64, at: time::Timestamp) -> load::Arrival {
    let work = time::Span::seconds(1).scaled(skewed(rng, 0.64, 0.5, 1.6));
    let phase = job::Phase {
        count: skewed_number(rng, 7.7, 0.8, 46.0),
        size: size::Size {
            cores: u64::from(skewed_number(rng, 21_000.0, 0.45, 63_000.0)),
            memory: 42_000,
            accelerators: 0,
        },
        estimate: work.scaled(rng.random_range(0.1..1.9)),
        ..job::Phase::default()
    };
    arrival(n, at, phase, work)
}

/// Returns long-running jobs that reserve most of the fleet before the first short job, some more that
/// arrive later, and short jobs. Their tasks need a third of a worker on average and up to all of it,
/// and what they declare of their durations says little.
fn arrivals(seed: u64) -> Vec<load::Arrival> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let capacity: u64 = fleet::mixed(WORKERS).iter().map(|worker| worker.size.cores).sum();
    let mut all = Vec::new();
    let mut reserved = 0;
    while reserved < capacity * LONG_RUNNING_SHARE / 100 {
        let n = all.len() as u64 + 1;
        let at = time::Timestamp(time::Span::millis(n * 20).0);
        let next = long_running(&mut rng, n, at);
        reserved += u64::from(next.job.phases[0].count) * next.job.phases[0].size.cores;
        all.push(next);
    }
    let start = time::Timestamp(0) + LEAD;
    for n in 0..LENGTH.as_millis() / 1_000 {
        let at = start + time::Span::seconds(n);
        all.push(long_running(&mut rng, 100 + n, at));
    }
    let mut at = start;
    while at < start + LENGTH {
        all.push(short(&mut rng, 1_000 + all.len() as u64, at));
        let gap = -rng.random_range(1e-6_f64..1.0).ln() / RATE;
        at = at + time::Span::seconds(1).scaled(gap);
    }
    all
}

/// Workers crash one after the other, and with them long-running tasks.
fn crashes() -> Vec<simulation::ScheduledFault> {
    let crash = |n: usize| simulation::ScheduledFault {
        at: time::Timestamp(0) + LEAD + time::Span::seconds(n as u64),
        fault: simulation::Fault::CrashWorker(n * 7, time::Span::seconds(4)),
    };
    (1..15).map(crash).collect()
}

fn simulate(arrivals: &[load::Arrival]) -> report::Report {
    let settings = simulation::Settings {
        workers: fleet::mixed(WORKERS),
        arrivals: arrivals.to_vec(),
        faults: crashes(),
        owner: owner::Settings {
            uses_estimates: true,
            watch_time: time::Span::seconds(20),
            ..owner::Settings::default()
        },
        ..simulation::Settings::default()
    };
    simulation::Simulation::new(settings).run()
}

/// A short job with its actual work, and whether it was complete within three times its objective.
struct Job {
    work: f64,
    is_served: bool,
}

fn jobs(arrivals: &[load::Arrival], report: &report::Report) -> Vec<Job> {
    let short = arrivals.iter().filter(|arrival| arrival.kind == "short");
    let jobs = short.map(|arrival| {
        let (phase, work) = (&arrival.job.phases[0], arrival.behaviours[0].work);
        let objective = work.scaled(SLACK_FACTOR) + TARGET_LATENCY;
        let end = report.final_states.get(&arrival.id).map(|state| state.at);
        Job {
            work: f64::from(phase.count) * phase.size.cores as f64 * work.as_seconds(),
            is_served: end.is_some_and(|end| end.since(arrival.at) <= objective.scaled(3.0)),
        }
    });
    jobs.collect()
}

fn served(jobs: &[Job]) -> f64 {
    jobs.iter().filter(|job| job.is_served).count() as f64 / jobs.len() as f64
}

/// Guards against the largest tenth of a queue's jobs being served less than half as often as all of it,
/// in a fleet that long-running tasks fill while some of them are interrupted.
#[test]
fn largest_tenth_of_short_jobs_is_served_at_least_half_as_often_as_all() {
    let mut all: Vec<_> = (0..SEEDS)
        .flat_map(|seed| {
            let arrivals = arrivals(seed);
            let report = simulate(&arrivals);
            assert!(report.violations.is_empty(), "seed {seed}: {report}");
            jobs(&arrivals, &report)
        })
        .collect();
    all.sort_by(|a, b| a.work.total_cmp(&b.work));
    let (whole, large) = (served(&all), served(&all[all.len() * 9 / 10..]));
    assert!(large >= whole / 2.0, "of the largest tenth {large:.3} were served, of all {whole:.3}");
}
