//! Promises hold under any order of faults.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_model::time;
use rand::{Rng as _, SeedableRng as _, rngs};

/// Plays of the random test; each takes some tens of milliseconds in a debug build.
const RUNS: u64 = 120;
/// Faults of one play.
const FAULTS: usize = 9;
const WORKERS: usize = 10;

fn seconds(n: u64) -> time::Span {
    time::Span::seconds(n)
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

/// A load that fits the small fleet.
pub fn arrivals(seed: u64) -> Vec<load::Arrival> {
    load::generate(&load::Settings {
        seed,
        length: seconds(14),
        long_running: 4,
        batch: 2.0,
        best_effort: 0.4,
        failing: 0.12,
        cancelled: 0.1,
        ..load::Settings::default()
    })
}

fn fault(rng: &mut rngs::SmallRng) -> simulation::Fault {
    let span = time::Span::millis(rng.random_range(300..9_000));
    let n = rng.random_range(0..WORKERS);
    let healthy = worker::Fault::default();
    match rng.random_range(0..11) {
        0 | 1 => simulation::Fault::KillOwner,
        2 | 3 => simulation::Fault::PauseOwner(span),
        4 => simulation::Fault::StoreOutage(span),
        5 => simulation::Fault::DelayOrders(span, 0.4),
        6 => simulation::Fault::Worker(n, span, worker::Fault { is_partitioned: true, ..healthy }),
        7 => simulation::Fault::Worker(n, span, worker::Fault { is_stalled: true, ..healthy }),
        8 => simulation::Fault::CrashWorker(n, span),
        9 => simulation::Fault::UnlistWorker(n, span),
        _ => simulation::Fault::Worker(n, span, worker::Fault { slowdown: Some(5.0), ..healthy }),
    }
}

/// A world with faults at random times.
pub fn settings(seed: u64) -> simulation::Settings {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut planned = || {
        let when = at(rng.random_range(2_000..18_000));
        simulation::ScheduledFault { at: when, fault: fault(&mut rng) }
    };
    let faults = (0..FAULTS).map(|_| planned()).collect();
    let workers = fleet::mixed(WORKERS);
    simulation::Settings { seed, workers, arrivals: arrivals(seed), faults, ..Default::default() }
}

fn violations(
    settings: impl Fn(u64) -> simulation::Settings,
    runs: u64,
) -> Vec<(u64, report::Violation)> {
    let run = |seed| {
        let report = simulation::Simulation::new(settings(seed)).run();
        report.violations.into_iter().map(move |violation| (seed, violation))
    };
    (0..runs).flat_map(run).collect()
}

#[test]
fn any_order_of_faults_keeps_the_promises() {
    let violations = violations(settings, RUNS);
    assert!(
        violations.is_empty(),
        "{} broken, the first: {:?}",
        violations.len(),
        &violations[..violations.len().min(8)]
    );
}

/// The load that the small fleet can't carry beside its lasting tasks without harm.
fn overloaded(seed: u64) -> simulation::Settings {
    let load = load::Settings {
        seed,
        length: seconds(14),
        long_running: 6,
        batch: 2.0,
        best_effort: 0.8,
        failing: 0.12,
        cancelled: 0.1,
        ..load::Settings::default()
    };
    simulation::Settings { arrivals: load::generate(&load), ..settings(seed) }
}

#[test]
fn any_order_of_faults_under_overload_keeps_the_promises() {
    let violations = violations(overloaded, RUNS);
    let first = &violations[..violations.len().min(8)];
    assert!(violations.is_empty(), "{} broken, the first: {first:?}", violations.len());
}

/// Plays with a mechanism switched off; each of these tests shows that the check would see it.
fn is_violated_without(disabled: simulation::Disabled) -> bool {
    let with_disabled = |seed| simulation::Settings { disabled, ..settings(seed) };
    !violations(with_disabled, RUNS).is_empty()
}

#[test]
fn without_fencing_promises_break() {
    assert!(is_violated_without(simulation::Disabled { fencing: true, ..Default::default() }));
}

#[test]
fn without_waiting_for_what_may_run_promises_break() {
    assert!(is_violated_without(simulation::Disabled { recovery: true, ..Default::default() }));
}

#[test]
fn without_storing_before_acknowledging_promises_break() {
    assert!(is_violated_without(simulation::Disabled {
        store_before_ack: true,
        ..Default::default()
    }));
}

#[test]
fn without_deadlines_and_settled_answers_promises_break() {
    let disabled =
        simulation::Disabled { lost_replies: true, deadlines: true, ..Default::default() };
    assert!(is_violated_without(disabled));
}
