//! Scenarios of load and faults. Each guards against a loss of service that the guarantees alone
//! allow: the share of the attainable payoff must stay above a bound.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_model::time;

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

fn seconds(n: u64) -> time::Span {
    time::Span::seconds(n)
}

/// Returns a load that keeps a fleet of 24 workers busy for 20 s.
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
fn usual_load_earns_nearly_all_payoff() {
    let report = run(&usual(), Vec::new());
    assert!(report.payoff_share() > 0.92, "{report}");
}

#[test]
fn burst_of_best_effort_jobs_does_not_delay_batch_jobs() {
    let burst = load::Burst { from: at(10_000), length: seconds(6), factor: 2.5, image: None };
    let report = run(&load::Settings { burst: Some(burst), ..usual() }, Vec::new());
    assert!(report.payoff_share() > 0.75, "{report}");
    assert!(share_in_time(&report, "batch") > 0.9, "the burst delays batch jobs: {report}");
}

#[test]
fn failing_jobs_end_and_do_not_discredit_their_workers() {
    let report = run(&load::Settings { failing: 0.3, ..usual() }, Vec::new());
    assert!(report.kinds["batch"].failed > 5, "{report}");
    assert!(report.payoff_share() > 0.9, "{report}");
}

#[test]
fn mass_cancellation_costs_little_payoff() {
    let report = run(&load::Settings { cancelled: 0.5, ..usual() }, Vec::new());
    assert!(report.payoff_share() > 0.9, "{report}");
}

#[test]
fn stalled_workers_cost_little_payoff() {
    let stalled = worker::Fault { is_stalled: true, ..Default::default() };
    let report = run(&usual(), vec![worker_fault(3, stalled), worker_fault(11, stalled)]);
    assert!(report.payoff_share() > 0.88, "{report}");
}

#[test]
fn slow_workers_cost_little_payoff() {
    let slow = worker::Fault { slowdown: Some(7.0), ..Default::default() };
    let report =
        run(&usual(), vec![worker_fault(3, slow), worker_fault(11, slow), worker_fault(17, slow)]);
    assert!(report.payoff_share() > 0.88, "{report}");
}

#[test]
fn partitioned_workers_cost_little_payoff() {
    let partitioned = worker::Fault { is_partitioned: true, ..Default::default() };
    let report = run(
        &usual(),
        vec![
            worker_fault(3, partitioned),
            worker_fault(11, partitioned),
            worker_fault(17, partitioned),
        ],
    );
    assert!(report.payoff_share() > 0.8, "{report}");
}

#[test]
fn rack_crash_costs_limited_payoff() {
    let crash = |n| simulation::ScheduledFault {
        at: at(8_000),
        fault: simulation::Fault::CrashWorker(n, seconds(4)),
    };
    let report = run(&usual(), (0..8).map(crash).collect());
    assert!(report.payoff_share() > 0.75, "{report}");
}

#[test]
fn store_outage_costs_limited_payoff() {
    let outage = simulation::ScheduledFault {
        at: at(9_000),
        fault: simulation::Fault::StoreOutage(seconds(5)),
    };
    let report = run(&usual(), vec![outage]);
    assert!(report.payoff_share() > 0.75, "{report}");
}

#[test]
fn owner_crash_costs_little_payoff() {
    let kill = simulation::ScheduledFault { at: at(9_000), fault: simulation::Fault::KillOwner };
    let report = run(&usual(), vec![kill]);
    assert!(report.payoff_share() > 0.85, "{report}");
}

#[test]
fn delayed_orders_cost_little_payoff() {
    let delay = simulation::ScheduledFault {
        at: at(8_000),
        fault: simulation::Fault::DelayOrders(seconds(6), 0.1),
    };
    let report = run(&usual(), vec![delay]);
    assert!(report.payoff_share() > 0.85, "{report}");
}
