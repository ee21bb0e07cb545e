//! Compares the workers' reports with the tasks' rows and applies the resulting steps.

use gl_model::{id, task, time, worker};

use crate::{state, system};

/// Consecutive failures after which a worker is put into quarantine.
const QUARANTINE_FAILURES: u32 = 3;

/// Reviews every worker whose report is new.
pub fn run(shard: &mut state::Shard, now: time::Timestamp, events: &mut Vec<system::Event>) {
    let due: Vec<id::VmId> = shard
        .workers
        .iter_mut()
        .filter(|(_, worker)| worker.needs_review)
        .map(|(vm, worker)| {
            worker.needs_review = false;
            vm.clone()
        })
        .collect();
    for vm in due {
        review(shard, &vm, now, events);
        system::report::record_colocation(shard, &vm, now);
    }
}

fn review(
    shard: &mut state::Shard,
    vm: &id::VmId,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) {
    for task in shard.tasks_on(vm) {
        let Some(stored) = shard.tasks.get(&task) else {
            continue;
        };
        let row = stored.row.clone();
        let Some(worker) = shard.workers.get(vm) else {
            return;
        };
        let Some(statuses) = &worker.statuses else {
            return;
        };
        let status = statuses.get(&task).filter(|s| s.incarnation == row.incarnation);
        match status.map(|s| s.phase.clone()) {
            Some(phase) => apply_phase(shard, vm, &row, &phase, now, events),
            None => apply_absence(shard, &row, now),
        }
    }
}

/// Stops a task that its worker does not report any more, as it ended with an earlier boot of the
/// agent. A starting task is left as it is, as its order may not have reached the worker yet.
fn apply_absence(shard: &mut state::Shard, row: &task::Row, now: time::Timestamp) {
    if !matches!(row.state, task::State::Starting { .. }) {
        shard.step(&row.id, &task::Step::Stop { checkpoint: None, after: now });
    }
}

fn apply_phase(
    shard: &mut state::Shard,
    vm: &id::VmId,
    row: &task::Row,
    phase: &worker::Phase,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) {
    match phase {
        worker::Phase::Starting | worker::Phase::Draining => {}
        worker::Phase::Running(_) => {
            if shard.step(&row.id, &task::Step::Run)
                && let Some(worker) = shard.workers.get_mut(vm)
            {
                worker.failures = 0;
            }
        }
        worker::Phase::Stopped(checkpoint) => {
            let checkpoint = checkpoint.clone();
            shard.step(&row.id, &task::Step::Stop { checkpoint, after: now });
        }
        worker::Phase::Done => {
            shard.counters.done += 1;
            shard.step(&row.id, &task::Step::Finish);
        }
        worker::Phase::Failed(reason) => handle_failure(shard, vm, row, reason, now, events),
    }
}

fn handle_failure(
    shard: &mut state::Shard,
    vm: &id::VmId,
    row: &task::Row,
    reason: &str,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) {
    record_failure(shard, vm, now, events);
    if matches!(row.state, task::State::Draining { .. }) {
        shard.step(&row.id, &task::Step::Stop { checkpoint: None, after: now });
        return;
    }
    let repair = shard.config.repair;
    if row.failures + 1 >= repair.attempts {
        let reason = format!("failed {} times in a row, last with: {reason}", row.failures + 1);
        shard.counters.failures += 1;
        shard.step(&row.id, &task::Step::Fail { reason: reason.clone() });
        events.push(system::Event::GivenUp { task: row.id.clone(), reason });
        return;
    }
    shard.counters.retries += 1;
    let wait = backoff(row, repair.backoff_ms, repair.backoff_max_ms);
    shard.step(&row.id, &task::Step::Retry { after: now + wait });
}

/// Returns the exponential back-off after a failure. It doubles each time, and the tasks of a job
/// are spread over half of it, so that they are not all retried at once.
fn backoff(row: &task::Row, first_ms: u64, max_ms: u64) -> time::Span {
    const SPREAD: u64 = 16;
    let wait = first_ms.saturating_mul(1 << row.failures.min(20)).min(max_ms);
    let jitter = wait / 2 * (u64::from(row.index) % SPREAD) / SPREAD;
    time::Span::millis(wait / 2 + jitter)
}

/// Counts a failure of a worker, and puts the worker into quarantine after several in a row.
pub fn record_failure(
    shard: &mut state::Shard,
    vm: &id::VmId,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) {
    let hold = time::Span::millis(shard.config.repair.quarantine_ms);
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    worker.failures += 1;
    if worker.failures >= QUARANTINE_FAILURES && worker.quarantined_until <= now {
        worker.quarantined_until = now + hold;
        shard.counters.quarantines += 1;
        events.push(system::Event::Quarantined { vm: vm.clone() });
    }
}
