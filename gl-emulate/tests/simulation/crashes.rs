//! Guards against tasks that crash one worker after the other, and against other jobs that fail
//! because they shared workers with them, also when owners change.

use gl_emulate::{load, report, simulation};
use gl_jobs::owner;

use crate::faults;

/// The number of runs of a test.
const RUNS: u64 = 120;

/// Returns a load within the capacity of the fleet, with tasks that crash their workers.
fn crashing(seed: u64) -> simulation::Settings {
    let settings = faults::settings(seed);
    let load = load::Settings { seed, crashing: 0.08, ..faults::load() };
    simulation::Settings { arrivals: load::generate(&load), ..settings }
}

fn violations(
    settings: impl Fn(u64) -> simulation::Settings,
    guarantee: Option<report::Guarantee>,
) -> Vec<(u64, report::Violation)> {
    let simulate = |seed| {
        let report = simulation::Simulation::new(settings(seed)).run();
        let is_sought = move |v: &report::Violation| guarantee.is_none_or(|g| v.guarantee == g);
        report.violations.into_iter().filter(is_sought).map(move |violation| (seed, violation))
    };
    (0..RUNS).flat_map(simulate).collect()
}

#[test]
fn tasks_that_crash_workers_under_random_faults_violate_no_guarantee() {
    let violations = violations(crashing, None);
    let first = &violations[..violations.len().min(8)];
    assert!(violations.is_empty(), "{} violations, the first: {first:?}", violations.len());
}

/// Shows that the check detects the absence of the limit.
#[test]
fn without_the_limit_tasks_crash_one_worker_after_the_other() {
    let unlimited = |seed| {
        let settings = crashing(seed);
        let (crash_limit, sole_limit) = (usize::MAX, usize::MAX);
        let owner = owner::Settings { crash_limit, sole_limit, ..settings.owner };
        simulation::Settings { owner, ..settings }
    };
    assert!(!violations(unlimited, Some(report::Guarantee::CrashLimit)).is_empty());
}
