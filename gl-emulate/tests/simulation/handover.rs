//! Planned work: daemons are restarted and workers are replaced, one after the other.

use gl_emulate::{fleet, load, report, simulation};
use gl_model::time;

/// The number of workers that run at the same time.
const WORKERS: usize = 24;
/// The interval at which workers are replaced.
const REPLACEMENT_INTERVAL: u64 = 700;
/// The time after which a draining worker terminates, usually without any task.
const DRAIN_TIME: time::Span = time::Span::millis(2_300);
/// The same for a worker that terminates with its tasks.
const SHORT_DRAIN: time::Span = time::Span::millis(400);

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

fn fault(millis: u64, fault: simulation::Fault) -> simulation::ScheduledFault {
    simulation::ScheduledFault { at: at(millis), fault }
}

/// Returns the replacement of 20 workers, each by a new one, and the hand-overs of six owners.
fn roll(drain: time::Span) -> Vec<simulation::ScheduledFault> {
    let replace = |(n, from): (usize, u64)| {
        [
            fault(from, simulation::Fault::StartWorker(WORKERS + n)),
            fault(from + 300, simulation::Fault::DrainWorker(n, drain)),
        ]
    };
    let times = (0..).map(|n| 8_000 + n * REPLACEMENT_INTERVAL);
    let hand_over = |n: u64| fault(14_000 + n * 2_000, simulation::Fault::ReleaseOwner);
    (0..20).zip(times).flat_map(replace).chain((0..6).map(hand_over)).collect()
}

fn run(seed: u64, faults: Vec<simulation::ScheduledFault>) -> report::Report {
    let load = load::Settings {
        seed,
        length: time::Span::seconds(22),
        long_running: 14,
        batch: 2.0,
        best_effort: 0.5,
        failing: 0.0,
        ..load::Settings::default()
    };
    let settings = simulation::Settings {
        seed,
        workers: fleet::mixed(2 * WORKERS),
        arrivals: load::generate(&load),
        faults,
        ..simulation::Settings::default()
    };
    simulation::Simulation::new(settings).run()
}

fn assert_no_violation(drain: time::Span) {
    for seed in 0..12 {
        let report = run(seed, roll(drain));
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
    }
}

/// Guards against a new owner that waits for workers that have left, as their rows are still in the
/// roster: no task of an earlier job starts for ten seconds, and long-running ones are lost.
#[test]
fn handovers_beside_emptied_workers_keep_long_running_tasks_running() {
    assert_no_violation(DRAIN_TIME);
}

/// Guards against waits for the leases of terminated workers that begin anew with each owner.
#[test]
fn handovers_beside_workers_that_end_with_their_tasks_keep_long_running_tasks_running() {
    assert_no_violation(SHORT_DRAIN);
}
