//! Prints the memory that the state of one shard takes, by the number of tasks.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    dead_code,
    reason = "a measurement"
)]

#[path = "../tests/schedule/harness.rs"]
mod harness;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let mut kept = Vec::new();
    for tasks in [590, 5_900] {
        let before = resident_kb();
        let vms = (0..344).map(|n| harness::vm(n, harness::size(64, 250))).collect();
        let mut cluster =
            harness::Cluster::new(vms, &[harness::service("book", tasks, harness::size(2, 4), 0)]);
        cluster.run_until(120, |cluster| cluster.running("book") == tasks as usize);
        // The fake store and workers take about as much again, so this is an upper bound.
        println!("{tasks} tasks on 344 workers: {} KB with the fakes", resident_kb() - before);
        kept.push(cluster);
    }
}
