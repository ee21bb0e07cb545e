//! Guards against second runs where workers end their runs later than their leases: a worker that is cut off
//! notices late that its lease has expired, or needs time to kill what runs. The protocol gives it no time for
//! that but the one within which a run stops.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_jobs::owner;
use gl_model::time;
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::{faults, slow};

/// The number of seeds of a run.
const RUNS: u64 = 40;
const WORKERS: usize = 10;
/// The factor by which tasks are longer than in the other tests, so that they outlast leases.
const LENGTH_FACTOR: f64 = 6.0;
/// The times of the cuts.
const WAVES: [u64; 2] = [5_000, 16_000];

fn scheduled(millis: u64, fault: simulation::Fault) -> simulation::ScheduledFault {
    simulation::ScheduledFault { at: time::Timestamp(time::Span::millis(millis).0), fault }
}

/// Returns cuts of a third of the workers that last about as long as leases, beside a disturbance of the owner.
/// With `restarts`, some of the others start again meanwhile.
fn cuts(seed: u64, restarts: bool) -> Vec<simulation::ScheduledFault> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let partitioned = worker::Fault { is_partitioned: true, ..worker::Fault::default() };
    let mut faults = Vec::new();
    for at in WAVES {
        for n in 0..WORKERS {
            let from = at + rng.random_range(0..2_000);
            if rng.random_bool(0.35) {
                let length = time::Span::millis(rng.random_range(5_000..11_000));
                faults.push(scheduled(from, simulation::Fault::Worker(n, length, partitioned)));
            } else if restarts && rng.random_bool(0.3) {
                let downtime = time::Span::millis(rng.random_range(100..3_000));
                faults.push(scheduled(from, simulation::Fault::CrashWorker(n, downtime)));
            }
        }
        let span = time::Span::millis(rng.random_range(500..6_000));
        let disturbance = match rng.random_range(0..7) {
            0 => Some(simulation::Fault::KillOwner),
            1 => Some(simulation::Fault::ReleaseOwner),
            2 => Some(simulation::Fault::PauseOwner(span)),
            3 => Some(simulation::Fault::StoreOutage(span)),
            4 => Some(simulation::Fault::SplitOwner(time::Span::seconds(9))),
            _ => None,
        };
        let disturbed = at + rng.random_range(0..7_000);
        faults.extend(disturbance.map(|fault| scheduled(disturbed, fault)));
    }
    faults
}

fn arrivals(seed: u64) -> Vec<load::Arrival> {
    let mut arrivals = faults::arrivals(seed);
    for arrival in &mut arrivals {
        for phase in &mut arrival.job.phases {
            phase.estimate = phase.estimate.scaled(LENGTH_FACTOR);
        }
        for behaviour in &mut arrival.behaviours {
            behaviour.work = behaviour.work.scaled(LENGTH_FACTOR);
        }
    }
    arrivals
}

/// Returns settings with workers that may be late by the time within which a run stops.
pub fn settings(seed: u64, restarts: bool) -> simulation::Settings {
    simulation::Settings {
        seed,
        workers: fleet::mixed(WORKERS),
        arrivals: arrivals(seed),
        faults: cuts(seed, restarts),
        lapse_delay: owner::Settings::default().stop_time,
        ..simulation::Settings::default()
    }
}

fn second_runs(restarts: bool) -> Vec<(u64, report::Violation)> {
    let simulate = |seed| simulation::Simulation::new(settings(seed, restarts)).run();
    (0..RUNS).flat_map(|seed| slow::only_second_runs(seed, simulate(seed))).collect()
}

/// Guards against tasks that an owner starts elsewhere, or that a later one does, while a worker that is cut
/// off has not noticed yet that its lease has expired.
#[test]
fn workers_that_notice_late_that_their_lease_has_expired_run_no_task_twice() {
    slow::assert_none(&second_runs(false));
}

/// Guards against the same beside other workers that start again.
#[test]
fn late_workers_beside_restarts_run_no_task_twice() {
    slow::assert_none(&second_runs(true));
}
