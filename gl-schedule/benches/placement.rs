//! Measures the time of one placement, and of an idle tick, in a failure domain of 344 workers with
//! 5,900 tasks.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::panic,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    dead_code,
    reason = "a benchmark"
)]

#[path = "../tests/schedule/harness.rs"]
mod harness;

use criterion::{Criterion, criterion_group, criterion_main};
use gl_model::{id, time};
use gl_schedule::{interference, owner::Input, state};

const VMS: usize = 344;
const TASKS: u32 = 5_900;
const PLACEMENTS: u32 = 100;

fn full_cluster() -> harness::Cluster {
    let vms = (0..VMS).map(|n| harness::vm(n, harness::size(64, 250))).collect();
    let jobs = [
        harness::service("book", 1_571, harness::size(4, 4), 0),
        harness::batch("night", TASKS - 1_571, harness::size(1, 1)),
    ];
    let mut cluster = harness::Cluster::new(vms, &jobs);
    train(&mut cluster.owner.state.model);
    cluster.run_until(120, |cluster| {
        cluster.running("book") + cluster.running("night") == TASKS as usize
    });
    cluster
}

/// Trains the model with batch tasks that do not interfere, so that they may be co-located with
/// services.
fn train(model: &mut interference::Model) {
    let booking = model.kind(&id::KindId::from("booking"));
    let report = model.kind(&id::KindId::from("report"));
    for band in 0..interference::BANDS {
        for _ in 0..50 {
            let neighbours = [interference::Count { kind: report, tasks: 10 }];
            model.observe(booking, interference::Band(band), &neighbours, 1.0);
        }
    }
}

/// Places a hundred batch tasks at once, so one placement takes a hundredth of the time.
fn placement(criterion: &mut Criterion) {
    let mut cluster = full_cluster();
    let mut round = 0_u32;
    criterion.bench_function("100 placements", |bencher| {
        bencher.iter_custom(|rounds| {
            let mut spent = std::time::Duration::ZERO;
            for _ in 0..rounds {
                round += 1;
                let name = format!("more{round}");
                let row = harness::batch(&name, PLACEMENTS, harness::size(0, 0));
                let shard: &mut state::Shard = &mut cluster.owner.state;
                let version = id::Version(0);
                shard.jobs.put(row.spec.name.clone(), state::Stored { row: row.clone(), version });
                for index in 0..PLACEMENTS {
                    shard.set_task(gl_model::task::Row::new(&row.spec.name, index, cluster.now));
                }
                let starts = shard.counters.starts;
                let began = std::time::Instant::now();
                gl_schedule::system::place::run(shard, cluster.now, &mut Vec::new());
                spent += began.elapsed();
                assert_eq!(shard.counters.starts, starts + u64::from(PLACEMENTS));
                for index in 0..PLACEMENTS {
                    let task = id::TaskId::of(&row.spec.name, index);
                    let after = time::Timestamp(u64::MAX);
                    let stop = gl_model::task::Step::Stop { checkpoint: None, after };
                    shard.step(&task, &stop);
                }
                shard.queue.clear();
            }
            spent
        });
    });
}

fn idle(criterion: &mut Criterion) {
    let mut cluster = full_cluster();
    for _ in 0..200 {
        cluster.step();
    }
    criterion.bench_function("idle tick", |bencher| {
        bencher.iter(|| {
            cluster.now = cluster.now + time::Span::micros(1);
            cluster.owner.run(cluster.now, Vec::<Input>::new())
        });
    });
}

criterion_group!(benches, placement, idle);
criterion_main!(benches);
