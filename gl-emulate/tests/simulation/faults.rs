//! Guards against violations of the guarantees under random sequences of faults, such as a task that
//! runs twice, a job that is lost, or a final state that changes.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_model::time;
use rand::{Rng as _, SeedableRng as _, rngs};

/// The number of runs of a random test. Each takes some tens of milliseconds in a debug build.
const RUNS: u64 = 120;
/// The number of faults in one run.
const FAULTS: usize = 9;
const WORKERS: usize = 10;

fn seconds(n: u64) -> time::Span {
    time::Span::seconds(n)
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

/// Returns a load within the capacity of the small fleet.
pub fn load() -> load::Settings {
    load::Settings {
        length: seconds(14),
        long_running: 4,
        batch: 2.0,
        best_effort: 0.4,
        failing: 0.12,
        cancelled: 0.1,
        ..load::Settings::default()
    }
}

/// Returns the jobs of that load.
pub fn arrivals(seed: u64) -> Vec<load::Arrival> {
    load::generate(&load::Settings { seed, ..load() })
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

/// Returns settings with faults at random times.
pub fn settings(seed: u64) -> simulation::Settings {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut scheduled = || {
        let when = at(rng.random_range(2_000..18_000));
        simulation::ScheduledFault { at: when, fault: fault(&mut rng) }
    };
    let faults = (0..FAULTS).map(|_| scheduled()).collect();
    let workers = fleet::mixed(WORKERS);
    simulation::Settings { seed, workers, arrivals: arrivals(seed), faults, ..Default::default() }
}

fn violations(
    settings: impl Fn(u64) -> simulation::Settings,
    runs: u64,
) -> Vec<(u64, report::Violation)> {
    let simulate = |seed| {
        let report = simulation::Simulation::new(settings(seed)).run();
        report.violations.into_iter().map(move |violation| (seed, violation))
    };
    (0..runs).flat_map(simulate).collect()
}

#[test]
fn random_faults_violate_no_guarantee() {
    let violations = violations(settings, RUNS);
    assert!(
        violations.is_empty(),
        "{} violations, the first: {:?}",
        violations.len(),
        &violations[..violations.len().min(8)]
    );
}

/// Returns a load that the small fleet cannot run next to its long-running tasks without
/// interference.
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
fn random_faults_under_overload_violate_no_guarantee() {
    let violations = violations(overloaded, RUNS);
    let first = &violations[..violations.len().min(8)];
    assert!(violations.is_empty(), "{} violations, the first: {first:?}", violations.len());
}

/// Returns `true` if runs without a mechanism violate a guarantee. The tests below show that the
/// checks detect the absence of each mechanism.
fn fails_without(disabled: simulation::Disabled) -> bool {
    let with_disabled = |seed| simulation::Settings { disabled, ..settings(seed) };
    !violations(with_disabled, RUNS).is_empty()
}

/// Returns those settings, with other daemons that claim the cell from owners that are alive.
fn replaced(seed: u64) -> simulation::Settings {
    let replacement = |n: u64| simulation::ScheduledFault {
        at: at(4_000 + n * 1_700),
        fault: simulation::Fault::RefuseOwner,
    };
    let mut settings = settings(seed);
    settings.faults.extend((0..8).map(replacement));
    settings
}

#[test]
fn without_fencing_guarantees_are_violated() {
    let unfenced = simulation::Disabled { fencing: true, ..Default::default() };
    let unfenced = |seed| simulation::Settings { disabled: unfenced, ..replaced(seed) };
    assert_eq!(violations(replaced, RUNS), []);
    assert!(!violations(unfenced, RUNS).is_empty());
}

#[test]
fn without_recovery_wait_guarantees_are_violated() {
    assert!(fails_without(simulation::Disabled { recovery: true, ..Default::default() }));
}

#[test]
fn without_storing_before_acknowledging_guarantees_are_violated() {
    assert!(fails_without(simulation::Disabled { store_before_ack: true, ..Default::default() }));
}

#[test]
fn without_deadlines_and_lost_reply_handling_guarantees_are_violated() {
    let disabled =
        simulation::Disabled { lost_replies: true, deadlines: true, ..Default::default() };
    assert!(fails_without(disabled));
}
