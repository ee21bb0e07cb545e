//! Each pattern of load or trouble, and what clients get in it.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_model::time;

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

fn seconds(n: u64) -> time::Span {
    time::Span::seconds(n)
}

/// A load that keeps a fleet of 24 workers busy for 20 s.
fn usual() -> load::Settings {
    load::Settings {
        length: seconds(20),
        long_running: 18,
        batch: 2.0,
        best_effort: 1.5,
        ..Default::default()
    }
}

fn run(load: &load::Settings, faults: Vec<simulation::ScheduledFault>) -> report::Report {
    let settings = simulation::Settings {
        workers: fleet::mixed(24),
        arrivals: load::generate(load),
        faults,
        ..simulation::Settings::default()
    };
    let report = simulation::Simulation::new(settings).run();
    assert!(report.violations.is_empty(), "{report}");
    report
}

fn worker_fault(n: usize, fault: worker::Fault) -> simulation::ScheduledFault {
    simulation::ScheduledFault {
        at: at(8_000),
        fault: simulation::Fault::Worker(n, seconds(6), fault),
    }
}

fn share_in_time(report: &report::Report, kind: &str) -> f64 {
    let kind = report.kinds[kind];
    f64::from(kind.in_time) / f64::from(kind.jobs)
}

#[test]
fn calm() {
    let report = run(&usual(), Vec::new());
    assert!(report.payoff_share() > 0.92, "{report}");
}

#[test]
fn burst_of_fill_jobs() {
    let burst = load::Burst { from: at(10_000), length: seconds(6), factor: 2.5 };
    let report = run(&load::Settings { burst: Some(burst), ..usual() }, Vec::new());
    assert!(report.payoff_share() > 0.75, "{report}");
    assert!(share_in_time(&report, "batch") > 0.9, "batch jobs don't suffer from it: {report}");
}

#[test]
fn hopeless_jobs_are_ended_and_their_workers_not_blamed() {
    let report = run(&load::Settings { failing: 0.3, ..usual() }, Vec::new());
    assert!(report.kinds["batch"].failed > 5, "{report}");
    assert!(report.payoff_share() > 0.9, "{report}");
}

#[test]
fn wave_of_cancellations() {
    let report = run(&load::Settings { cancelled: 0.5, ..usual() }, Vec::new());
    assert!(report.payoff_share() > 0.9, "{report}");
}

#[test]
fn workers_that_hang() {
    let stalled = worker::Fault { is_stalled: true, ..Default::default() };
    let report = run(&usual(), vec![worker_fault(3, stalled), worker_fault(11, stalled)]);
    assert!(report.payoff_share() > 0.88, "{report}");
}

#[test]
fn workers_that_turn_slow() {
    let slow = worker::Fault { slowdown: Some(7.0), ..Default::default() };
    let report =
        run(&usual(), vec![worker_fault(3, slow), worker_fault(11, slow), worker_fault(17, slow)]);
    assert!(report.payoff_share() > 0.88, "{report}");
}

#[test]
fn workers_that_are_cut_off() {
    let cut = worker::Fault { is_partitioned: true, ..Default::default() };
    let report =
        run(&usual(), vec![worker_fault(3, cut), worker_fault(11, cut), worker_fault(17, cut)]);
    assert!(report.payoff_share() > 0.8, "{report}");
}

#[test]
fn a_rack_that_crashes() {
    let crash = |n| simulation::ScheduledFault {
        at: at(8_000),
        fault: simulation::Fault::CrashWorker(n, seconds(4)),
    };
    let report = run(&usual(), (0..8).map(crash).collect());
    assert!(report.payoff_share() > 0.75, "{report}");
}

#[test]
fn an_outage_of_the_store() {
    let outage = simulation::ScheduledFault {
        at: at(9_000),
        fault: simulation::Fault::StoreOutage(seconds(5)),
    };
    let report = run(&usual(), vec![outage]);
    assert!(report.payoff_share() > 0.75, "{report}");
}

#[test]
fn an_owner_that_dies() {
    let kill = simulation::ScheduledFault { at: at(9_000), fault: simulation::Fault::KillOwner };
    let report = run(&usual(), vec![kill]);
    assert!(report.payoff_share() > 0.85, "{report}");
}

#[test]
fn orders_that_are_carried_out_late() {
    let late = simulation::ScheduledFault {
        at: at(8_000),
        fault: simulation::Fault::DelayOrders(seconds(6), 0.1),
    };
    let report = run(&usual(), vec![late]);
    assert!(report.payoff_share() > 0.85, "{report}");
}
