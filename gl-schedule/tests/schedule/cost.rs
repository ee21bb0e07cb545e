//! What decisions cost, in counts and in ratios within one run.

use std::time::Instant;

use gl_model::{task, time, vm};
use gl_schedule::owner::{Action, Input};

use super::bench::{self, Calm};

/// A failure domain of the size designed for.
const VMS: usize = 344;
/// The HTTP head of a request and of an answer, in bytes, as the client and the agents send them.
const HEADS: usize = 350;

fn vms(count: usize) -> Vec<vm::Vm> {
    (0..count).map(|n| bench::vm(n, bench::size(64, 250))).collect()
}

fn settled(tasks: u32) -> Calm {
    let mut calm = Calm::new(vms(VMS), &[bench::service("book", tasks, bench::size(2, 4), 0)]);
    calm.until(120, |calm| calm.running("book") == tasks as usize);
    for _ in 0..100 {
        calm.step();
    }
    calm
}

fn commits_for(starts: u32) -> u64 {
    let mut calm = Calm::new(vms(VMS), &[]);
    for _ in 0..20 {
        calm.step();
    }
    let before = calm.store.commits;
    calm.store.put_job(&bench::batch("night", starts, bench::size(1, 1)));
    calm.input(Input::Jobs(calm.store.jobs()));
    let begun = |calm: &Calm| calm.runs.len() == starts as usize;
    calm.until(60, begun);
    calm.store.commits - before
}

#[test]
fn writes_grow_with_commits_and_not_with_starts() {
    let (few, many) = (commits_for(100), commits_for(1_000));
    println!("commits for 100 starts {few}, for 1000 starts {many}");
    assert!(many < few * 10, "{many} against {few}");
}

/// Fourteen shards at their peak together stay below 100 writes a second.
#[test]
fn a_busy_shard_writes_at_most_seven_times_a_second() {
    let jobs: Vec<_> =
        (0..40).map(|n| bench::batch(&format!("job{n}"), 40, bench::size(1, 1))).collect();
    let mut calm = Calm::new(vms(VMS), &[]);
    let seconds = 20_u64;
    let (mut put, before) = (0, calm.store.commits);
    for step in 0..seconds * 20 {
        if step % 10 == 0 && put < jobs.len() {
            calm.store.put_job(&jobs[put]);
            calm.input(Input::Jobs(calm.store.jobs()));
            put += 1;
        }
        calm.step();
    }
    let writes = (calm.store.commits - before) as f64 / seconds as f64;
    println!("{writes} writes a second for {} starts in {seconds} s", calm.runs.len());
    assert!(writes <= 100.0 / 14.0, "{writes} writes a second");
}

/// Leases of 24 s, as the capacity page sets them for domains of this size.
#[test]
fn an_idle_domain_costs_at_most_thirty_kilobytes_a_second() {
    let mut calm = settled(1_571);
    calm.owner.state.config.leases.worker_ms = 24_000;
    for _ in 0..600 {
        calm.step();
    }
    let seconds = 24;
    let mut bytes = 0;
    for _ in 0..seconds * 20 {
        for action in calm.step() {
            bytes += match &action {
                Action::Sync { message, .. } => {
                    // The report of an unchanged worker is about as long as the message.
                    2 * serde_json::to_string(message).unwrap().len() + HEADS
                }
                Action::Commit(txn) => serde_json::to_string(txn).unwrap().len() + HEADS,
                _ => 0,
            };
        }
    }
    let rate = bytes / seconds;
    println!("{rate} bytes a second for {VMS} workers");
    assert!(rate <= 30_000, "{rate} bytes a second");
}

fn idle_tick(calm: &mut Calm) -> u128 {
    let mut best = u128::MAX;
    for _ in 0..50 {
        calm.now = calm.now + time::Span::micros(1);
        let now = calm.now;
        let began = Instant::now();
        let actions = calm.owner.run(now, Vec::new());
        best = best.min(began.elapsed().as_nanos());
        drop(actions);
    }
    best
}

/// With nothing changed a tick costs the same whatever the number of tasks.
#[test]
fn an_idle_tick_does_not_grow_with_the_tasks() {
    let (few, many) = (idle_tick(&mut settled(590)), idle_tick(&mut settled(5_900)));
    println!("idle tick: {few} ns with 590 tasks, {many} ns with 5900");
    assert!(many < few * 4, "{many} ns against {few} ns at ten times the tasks");
}

/// Urgent work in a full domain starts within 6.6 s, evictions included.
#[test]
fn urgent_work_starts_in_a_full_domain_in_time() {
    let full = bench::batch("night", 344, bench::size(60, 100));
    let mut calm = Calm::new(vms(VMS), &[full]);
    calm.until(60, |calm| calm.running("night") == 344);
    calm.store.put_job(&bench::service("urgent", 50, bench::size(16, 64), 50));
    calm.input(Input::Jobs(calm.store.jobs()));
    let began = calm.now;
    calm.until(30, |calm| calm.running("urgent") == 50);
    let took = calm.now.since(began);
    println!("50 urgent tasks run after {took}");
    assert!(took <= time::Span::millis(6_600), "{took}");
    let parked = calm.store.tasks();
    let parked = parked.iter().filter(|row| matches!(row.state, task::State::Parked { .. }));
    assert!(parked.count() <= 50);
}
