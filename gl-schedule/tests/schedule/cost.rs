//! The cost of decisions in commits, bytes and time. Guards against writes that grow with the
//! number of tasks, and against idle ticks and idle workers that become expensive. Times are
//! compared only with each other within one run.

use std::time::Instant;

use gl_model::{task, time, vm};
use gl_schedule::owner::{Action, Input};

use super::harness::{self, Cluster};

/// The number of workers in a failure domain of the size that the system is designed for.
const VMS: usize = 344;
/// The HTTP headers of a request and its response, in bytes, as the client and the agents send
/// them.
const HEADER_BYTES: usize = 350;

fn vms(count: usize) -> Vec<vm::Vm> {
    (0..count).map(|n| harness::vm(n, harness::size(64, 250))).collect()
}

fn settled_cluster(tasks: u32) -> Cluster {
    let mut cluster =
        Cluster::new(vms(VMS), &[harness::service("book", tasks, harness::size(2, 4), 0)]);
    cluster.run_until(120, |cluster| cluster.running("book") == tasks as usize);
    for _ in 0..100 {
        cluster.step();
    }
    cluster
}

fn commits_for(starts: u32) -> u64 {
    let mut cluster = Cluster::new(vms(VMS), &[]);
    for _ in 0..20 {
        cluster.step();
    }
    let before = cluster.store.commits;
    cluster.store.put_job(&harness::batch("night", starts, harness::size(1, 1)));
    cluster.input(Input::Jobs(cluster.store.jobs()));
    let all_started = |cluster: &Cluster| cluster.runs.len() == starts as usize;
    cluster.run_until(60, all_started);
    cluster.store.commits - before
}

#[test]
fn ten_times_the_starts_need_less_than_ten_times_the_commits() {
    let (few, many) = (commits_for(100), commits_for(1_000));
    println!("commits for 100 starts {few}, for 1000 starts {many}");
    assert!(many < few * 10, "{many} commits against {few}");
}

/// Fourteen shards at their peak together stay below 100 writes per second.
#[test]
fn busy_shard_commits_at_most_seven_times_per_second() {
    let jobs: Vec<_> =
        (0..40).map(|n| harness::batch(&format!("job{n}"), 40, harness::size(1, 1))).collect();
    let mut cluster = Cluster::new(vms(VMS), &[]);
    let seconds = 20_u64;
    let (mut put, before) = (0, cluster.store.commits);
    for step in 0..seconds * 20 {
        if step % 10 == 0 && put < jobs.len() {
            cluster.store.put_job(&jobs[put]);
            cluster.input(Input::Jobs(cluster.store.jobs()));
            put += 1;
        }
        cluster.step();
    }
    let writes = (cluster.store.commits - before) as f64 / seconds as f64;
    println!("{writes} writes per second for {} starts in {seconds} s", cluster.runs.len());
    assert!(writes <= 100.0 / 14.0, "{writes} writes per second");
}

/// The leases last 24 s, as recommended for failure domains of this size.
#[test]
fn idle_domain_sends_at_most_thirty_kilobytes_per_second() {
    let mut cluster = settled_cluster(1_571);
    cluster.owner.state.config.leases.worker_ms = 24_000;
    for _ in 0..600 {
        cluster.step();
    }
    let seconds = 24;
    let mut bytes = 0;
    for _ in 0..seconds * 20 {
        for action in cluster.step() {
            bytes += match &action {
                Action::Sync { message, .. } => {
                    // The report of an unchanged worker is about as large as the message.
                    2 * serde_json::to_string(message).unwrap().len() + HEADER_BYTES
                }
                Action::Commit(txn) => serde_json::to_string(txn).unwrap().len() + HEADER_BYTES,
                _ => 0,
            };
        }
    }
    let rate = bytes / seconds;
    println!("{rate} bytes per second for {VMS} workers");
    assert!(rate <= 30_000, "{rate} bytes per second");
}

fn idle_tick_ns(cluster: &mut Cluster) -> u128 {
    let mut best = u128::MAX;
    for _ in 0..50 {
        cluster.now = cluster.now + time::Span::micros(1);
        let now = cluster.now;
        let began = Instant::now();
        let actions = cluster.owner.run(now, Vec::new());
        best = best.min(began.elapsed().as_nanos());
        drop(actions);
    }
    best
}

/// Without changes, the time of a tick does not depend on the number of tasks.
#[test]
fn idle_tick_time_does_not_grow_with_the_task_count() {
    let (few, many) =
        (idle_tick_ns(&mut settled_cluster(590)), idle_tick_ns(&mut settled_cluster(5_900)));
    println!("idle tick: {few} ns with 590 tasks, {many} ns with 5900");
    assert!(many < few * 4, "{many} ns with ten times the tasks, {few} ns before");
}

/// An urgent service starts in a full failure domain within 6.6 s, evictions included.
#[test]
fn urgent_service_starts_in_a_full_domain_within_its_limit() {
    let full = harness::batch("night", 344, harness::size(60, 100));
    let mut cluster = Cluster::new(vms(VMS), &[full]);
    cluster.run_until(60, |cluster| cluster.running("night") == 344);
    cluster.store.put_job(&harness::service("urgent", 50, harness::size(16, 64), 50));
    cluster.input(Input::Jobs(cluster.store.jobs()));
    let began = cluster.now;
    cluster.run_until(30, |cluster| cluster.running("urgent") == 50);
    let took = cluster.now.since(began);
    println!("50 urgent tasks running after {took}");
    assert!(took <= time::Span::millis(6_600), "50 urgent tasks took {took}");
    let parked = cluster.store.tasks();
    let parked = parked.iter().filter(|row| matches!(row.state, task::State::Parked { .. }));
    assert!(parked.count() <= 50);
}
