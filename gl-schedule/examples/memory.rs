//! Memory of one shard's tables by the number of tasks, for the capacity page.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    dead_code,
    reason = "a measurement"
)]

#[path = "../tests/schedule/bench.rs"]
mod bench;

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let mut kept = Vec::new();
    for tasks in [590, 5_900] {
        let before = resident();
        let vms = (0..344).map(|n| bench::vm(n, bench::size(64, 250))).collect();
        let mut calm =
            bench::Calm::new(vms, &[bench::service("book", tasks, bench::size(2, 4), 0)]);
        calm.until(120, |calm| calm.running("book") == tasks as usize);
        // The fake store and workers hold about the same again, so this is an upper bound.
        println!("{tasks} tasks on 344 workers: {} KB with the fakes", resident() - before);
        kept.push(calm);
    }
}
