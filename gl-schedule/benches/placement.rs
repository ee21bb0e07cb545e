//! Time of one placement in a failure domain of 344 workers with 5,900 tasks, and of an idle tick.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::panic,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    dead_code,
    reason = "a benchmark"
)]

#[path = "../tests/schedule/bench.rs"]
mod bench;

use criterion::{Criterion, criterion_group, criterion_main};
use gl_model::{id, time};
use gl_schedule::{interference, owner::Input, state};

const VMS: usize = 344;
const TASKS: u32 = 5_900;
const PLACED: u32 = 100;

fn full() -> bench::Calm {
    let vms = (0..VMS).map(|n| bench::vm(n, bench::size(64, 250))).collect();
    let jobs = [
        bench::service("book", 1_571, bench::size(4, 4), 0),
        bench::batch("night", TASKS - 1_571, bench::size(1, 1)),
    ];
    let mut calm = bench::Calm::new(vms, &jobs);
    teach(&mut calm.owner.state.model);
    calm.until(120, |calm| calm.running("book") + calm.running("night") == TASKS as usize);
    calm
}

/// Has the model know that the batch tasks do no harm, so that they may run beside services.
fn teach(model: &mut interference::Model) {
    let booking = model.kind(&id::KindId::from("booking"));
    let report = model.kind(&id::KindId::from("report"));
    for band in 0..interference::BANDS {
        for _ in 0..50 {
            let neighbours = [interference::Count { kind: report, tasks: 10 }];
            model.observe(booking, interference::Band(band), &neighbours, 1.0);
        }
    }
}

/// Places a hundred batch tasks at once; a hundredth of the time is one placement's.
fn placement(criterion: &mut Criterion) {
    let mut calm = full();
    let mut round = 0_u32;
    criterion.bench_function("100 placements", |bencher| {
        bencher.iter_custom(|rounds| {
            let mut spent = std::time::Duration::ZERO;
            for _ in 0..rounds {
                round += 1;
                let name = format!("more{round}");
                let row = bench::batch(&name, PLACED, bench::size(0, 0));
                let shard: &mut state::Shard = &mut calm.owner.state;
                let version = id::Version(0);
                shard.jobs.put(row.spec.name.clone(), state::Stored { row: row.clone(), version });
                for index in 0..PLACED {
                    shard.set_task(gl_model::task::Row::new(&row.spec.name, index, calm.now));
                }
                let starts = shard.counters.starts;
                let began = std::time::Instant::now();
                gl_schedule::system::place::run(shard, calm.now, &mut Vec::new());
                spent += began.elapsed();
                assert_eq!(shard.counters.starts, starts + u64::from(PLACED));
                for index in 0..PLACED {
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
    let mut calm = full();
    for _ in 0..200 {
        calm.step();
    }
    criterion.bench_function("idle tick", |bencher| {
        bencher.iter(|| {
            calm.now = calm.now + time::Span::micros(1);
            calm.owner.run(calm.now, Vec::<Input>::new())
        });
    });
}

criterion_group!(benches, placement, idle);
criterion_main!(benches);
