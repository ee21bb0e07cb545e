//! The targets of the load-balancing policy, each checked in one simulation in virtual time.
//!
//! The tests guard against calls that are lost below capacity or by a single fault, against a slow
//! backend server that raises the tail latency, and against retries that add to an overload.

use gl_route::balancer;

use super::simulation::{self, Fault, Results, Settings};

fn run(load: f64, fault: Fault) -> Results {
    simulation::run(Settings { load, fault, ..Settings::default() })
}

/// Returns the number of calls that were refused, late or of unknown outcome.
fn lost(results: &Results) -> u64 {
    results.shed + results.unknown + results.late
}

#[test]
fn no_call_is_lost_below_capacity() {
    for load in [0.6, 0.8, 0.95] {
        let results = run(load, Fault::None);
        assert_eq!(lost(&results), 0, "at {load}: {} calls", results.calls);
    }
}

#[test]
fn slow_backend_server_adds_at_most_half_to_the_tail_latency() {
    let without = run(0.8, Fault::None).percentile(0.99);
    let with = run(0.8, Fault::Slow).percentile(0.99);
    assert!(with <= without * 1.5, "{with} ms against {without} ms");
}

/// Shows that the check above can fail: a balancer that ignores the latency of backend servers
/// sends so many calls to the slow one that the 99.9th percentile rises.
#[test]
fn balancer_that_ignores_latency_has_a_higher_tail_latency() {
    let settings = Settings {
        balancer: |_| Box::new(balancer::TwoChoices),
        fault: Fault::Slow,
        ..Settings::default()
    };
    let unaware = simulation::run(settings).percentile(0.999);
    let aware = run(0.8, Fault::Slow).percentile(0.999);
    assert!(unaware > aware * 1.5, "{unaware} ms against {aware} ms");
}

#[test]
fn overload_keeps_goodput_and_deadlines_of_admitted_calls() {
    let results = run(1.2, Fault::None);
    let goodput = results.on_time as f64 / results.calls as f64 * 1.2;
    assert!(goodput >= 0.95, "goodput {goodput} of capacity");
    assert_eq!(results.late, 0, "admitted calls that were late");
}

#[test]
fn retries_add_at_most_a_tenth_of_the_load_in_any_second() {
    for (load, fault) in [
        (1.2, Fault::None),
        (0.8, Fault::FailsFast),
        (0.8, Fault::RackGone),
        (0.8, Fault::DaemonDead),
        (1.2, Fault::Slow),
    ] {
        let results = run(load, fault);
        let share = results.worst_retry_share;
        assert!(share <= 0.1, "{fault:?} at {load}: {share}");
    }
}

#[test]
fn faults_below_capacity_lose_no_call() {
    for fault in [Fault::FailsFast, Fault::DaemonDead, Fault::Skew, Fault::Step] {
        let results = run(0.8, fault);
        assert_eq!(lost(&results), 0, "{fault:?}: of {}", results.calls);
    }
}

/// Only the calls that ran on the rack may be late or refused, once the retry budget is
/// exhausted; their number is at most that of the rack's slots.
#[test]
fn lost_rack_loses_at_most_the_calls_in_its_slots() {
    let results = run(0.8, Fault::RackGone);
    assert!(lost(&results) <= 64, "{} of {}", lost(&results), results.calls);
}

#[test]
fn same_seed_gives_the_same_run() {
    let latency = || run(0.8, Fault::Step).percentile(0.99);
    assert_eq!(latency().to_bits(), latency().to_bits());
}
