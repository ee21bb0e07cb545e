//! Guards against second runs where replies wait in sockets: they arrive late, in another order than they
//! were sent, or after the owner has given the call up, and a new owner takes seconds to load the stored
//! state.

use std::collections;

use gl_emulate::{fleet, report, simulation, worker};
use gl_model::time;
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::faults;

/// The number of runs of a random test.
const RUNS: u64 = 40;
const WORKERS: usize = 10;
/// The number of faults in one run.
const FAULTS: usize = 14;
/// The time that a new owner takes to load the state over a slow link: longer than an earlier one orders
/// starts after the claim.
const LOAD_TIME: time::Span = time::Span::millis(2_500);

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

/// Returns faults at random times, with slow calls beside them. With `restarts`, workers also start again.
fn random_faults(seed: u64, restarts: bool) -> Vec<simulation::ScheduledFault> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let partitioned = worker::Fault { is_partitioned: true, ..worker::Fault::default() };
    let mut random = || {
        let span = time::Span::millis(rng.random_range(300..9_000));
        let n = rng.random_range(0..WORKERS);
        let slowest = time::Span::millis(rng.random_range(50..2_500));
        let fault = match rng.random_range(0..14) {
            0 => simulation::Fault::KillOwner,
            1 => simulation::Fault::ReleaseOwner,
            2 => simulation::Fault::RefuseOwner,
            3 => simulation::Fault::PauseOwner(span),
            4 => simulation::Fault::StoreOutage(span),
            5 => simulation::Fault::DelayOrders(span, 0.4),
            6 | 7 => simulation::Fault::Worker(n, span, partitioned),
            8 => simulation::Fault::UnlistWorker(n, span),
            9 if restarts => simulation::Fault::CrashWorker(n, span),
            9 | 10 => simulation::Fault::SplitOwner(span),
            _ => simulation::Fault::SlowCalls(span, slowest),
        };
        simulation::ScheduledFault { at: at(rng.random_range(2_000..20_000)), fault }
    };
    (0..FAULTS).map(|_| random()).collect()
}

/// Returns claims of other daemons from live owners that refuse their connections.
fn refusals(seed: u64) -> Vec<simulation::ScheduledFault> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut refusal = || simulation::ScheduledFault {
        at: at(rng.random_range(6_000..18_000)),
        fault: simulation::Fault::RefuseOwner,
    };
    (0..2).map(|_| refusal()).collect()
}

/// Returns the violations by which a task ran twice, with their seeds.
pub fn second_runs(
    seeds: impl Iterator<Item = u64>,
    settings: &simulation::Settings,
    faults: impl Fn(u64) -> Vec<simulation::ScheduledFault>,
) -> Vec<(u64, report::Violation)> {
    let simulate = |seed| {
        let settings = simulation::Settings {
            seed,
            workers: fleet::mixed(WORKERS),
            arrivals: faults::arrivals(seed),
            faults: faults(seed),
            ..settings.clone()
        };
        only_second_runs(seed, simulation::Simulation::new(settings).run())
    };
    seeds.flat_map(simulate).collect()
}

/// Returns those of a report, with its seed.
pub fn only_second_runs(seed: u64, report: report::Report) -> Vec<(u64, report::Violation)> {
    let is_second = |violation: &report::Violation| {
        use report::Guarantee;
        let guarantee = violation.guarantee;
        matches!(guarantee, Guarantee::SingleRun | Guarantee::NoRestart | Guarantee::StoreBeforeAck)
    };
    report.violations.into_iter().filter(is_second).map(|violation| (seed, violation)).collect()
}

/// Prints the number of violations and the seeds, so that they can be played again.
pub fn assert_none(found: &[(u64, report::Violation)]) {
    let seeds: collections::BTreeSet<_> = found.iter().map(|(seed, _)| seed).collect();
    assert!(found.is_empty(), "{} of seeds {seeds:?}, the first: {:?}", found.len(), found[0]);
}

#[test]
fn slow_calls_beside_random_faults_start_no_second_run() {
    let settings = simulation::Settings::default();
    assert_none(&second_runs(0..RUNS, &settings, |seed| random_faults(seed, false)));
}

/// Guards against second runs of a job that was accepted after a claim: the last owner, which is alive, has
/// started it, and orders no starts any more by the time at which the new owner has loaded the job.
#[test]
fn owner_that_loads_slowly_waits_for_jobs_that_an_earlier_one_may_have_started() {
    let settings = simulation::Settings { load_time: LOAD_TIME, ..simulation::Settings::default() };
    assert_none(&second_runs(0..RUNS, &settings, refusals));
}

/// The seed of a worker that starts again at once, and of a poll that is carried out late.
const RESTART: u64 = 563;

/// Guards against tasks that start again after they were done: a poll that acknowledges ends of a worker's
/// earlier lifetime reaches the next one late, which counts its ends from 1 again.
#[test]
fn poll_for_an_earlier_lifetime_acknowledges_no_ends_of_the_next() {
    let seeds = std::iter::once(RESTART);
    let settings = simulation::Settings::default();
    assert_none(&second_runs(seeds, &settings, |seed| random_faults(seed, true)));
}
