//! Replays of the recorded traces. Each must meet the bounds that it states, and over all traces
//! the placement strategy must beat baselines that ignore interference. Guards against changes that
//! slow down services, finish less batch work or evict more tasks.

use gl_model::config;
use gl_schedule::placer::{FirstFit, LeastInterference, LeastLoaded, Placer};

use super::replay::{self, Measured};

const TRACES: [&str; 8] =
    ["festival", "noisy", "sizes", "never", "cancel", "failing", "season", "outage"];

/// The weights of the deployments Saranrom and Thottil.
const SARANROM: config::Weights = config::Weights { tail: 1.0, throughput: 0.3, evictions: 0.1 };
const THOTTIL: config::Weights = config::Weights { tail: 1.0, throughput: 0.2, evictions: 0.6 };

fn least_interference(weights: config::Weights) -> Box<dyn Placer> {
    Box::new(LeastInterference { weights })
}

fn check(name: &str) {
    let trace = replay::read(name);
    let measured = replay::run(&trace, least_interference(SARANROM));
    println!("{name}: {measured:?}");
    let bounds = &trace.outcome;
    assert!(measured.tail <= bounds.tail, "{name}: tail {}", measured.tail);
    assert!(measured.done >= bounds.done, "{name}: done {}", measured.done);
    assert!(measured.evictions <= bounds.evictions, "{name}: {} evictions", measured.evictions);
    assert!(measured.served >= bounds.served, "{name}: served {}", measured.served);
    assert_eq!(
        replay::run(&trace, least_interference(SARANROM)),
        measured,
        "{name}: a second replay differs"
    );
}

#[test]
fn festival_day_meets_its_bounds() {
    check("festival");
}

#[test]
fn wave_of_noisy_tasks_meets_its_bounds() {
    check("noisy");
}

#[test]
fn wrong_declared_sizes_meet_their_bounds() {
    check("sizes");
}

#[test]
fn jobs_that_never_fit_meet_their_bounds() {
    check("never");
}

#[test]
fn wave_of_cancellations_meets_its_bounds() {
    check("cancel");
}

#[test]
fn failing_worker_meets_its_bounds() {
    check("failing");
}

#[test]
fn season_meets_its_bounds() {
    check("season");
}

#[test]
fn outage_during_batch_work_meets_its_bounds() {
    check("outage");
}

#[derive(Debug, Default)]
struct Sum {
    tail: f64,
    work: f64,
    evictions: u64,
}

fn sum(make: impl Fn() -> Box<dyn Placer>) -> Sum {
    let mut sum = Sum::default();
    for name in TRACES {
        let measured: Measured = replay::run(&replay::read(name), make());
        println!("| {name} | {:.3} | {} | {} |", measured.tail, measured.work, measured.evictions);
        sum.tail += measured.tail / TRACES.len() as f64;
        sum.work += measured.work;
        sum.evictions += measured.evictions;
    }
    println!("{sum:?}");
    sum
}

/// The tail must be better than with both baselines, and finished work and evictions at most 5%
/// worse.
#[test]
fn least_interference_beats_both_baselines_over_all_traces() {
    let baselines = [sum(|| Box::new(FirstFit)), sum(|| Box::new(LeastLoaded))];
    for weights in [SARANROM, THOTTIL] {
        let ours = sum(|| least_interference(weights));
        for base in &baselines {
            assert!(ours.tail < base.tail, "tail {} against {}", ours.tail, base.tail);
            assert!(ours.work >= base.work * 0.95, "work {} against {}", ours.work, base.work);
            let most = base.evictions as f64 * 1.05;
            assert!(
                ours.evictions as f64 <= most,
                "{} evictions against at most {most}",
                ours.evictions
            );
        }
    }
}
