//! Compares what the workers report with the tasks' rows and takes the steps that follow.

use gl_model::{id, task, time, worker};

use crate::{system, world};

/// Failures in a row after which a worker is put into quarantine.
const QUARANTINE_FAILURES: u32 = 3;

/// Reviews every worker whose report is new.
pub fn run(world: &mut world::World, now: time::Timestamp, notes: &mut Vec<system::Note>) {
    let due: Vec<id::VmId> = world
        .workers
        .iter_mut()
        .filter(|(_, worker)| worker.review)
        .map(|(vm, worker)| {
            worker.review = false;
            vm.clone()
        })
        .collect();
    for vm in due {
        review(world, &vm, now, notes);
        system::report::note_crowd(world, &vm, now);
    }
}

fn review(
    world: &mut world::World,
    vm: &id::VmId,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) {
    for task in world.tasks_on(vm) {
        let Some(stored) = world.tasks.get(&task) else {
            continue;
        };
        let row = stored.row.clone();
        let Some(worker) = world.workers.get(vm) else {
            return;
        };
        let Some(statuses) = &worker.statuses else {
            return;
        };
        let status = statuses.get(&task).filter(|s| s.incarnation == row.incarnation);
        match status.map(|s| s.phase.clone()) {
            Some(phase) => take_phase(world, vm, &row, &phase, now, notes),
            None => take_absence(world, &row, now),
        }
    }
}

/// A task that ran and is no longer known to its worker died with an earlier boot of the agent.
fn take_absence(world: &mut world::World, row: &task::Row, now: time::Timestamp) {
    if !matches!(row.state, task::State::Starting { .. }) {
        world.step(&row.id, &task::Step::Stop { checkpoint: None, after: now });
    }
}

fn take_phase(
    world: &mut world::World,
    vm: &id::VmId,
    row: &task::Row,
    phase: &worker::Phase,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) {
    match phase {
        worker::Phase::Starting | worker::Phase::Draining => {}
        worker::Phase::Running(_) => {
            if world.step(&row.id, &task::Step::Run)
                && let Some(worker) = world.workers.get_mut(vm)
            {
                worker.failures = 0;
            }
        }
        worker::Phase::Stopped(checkpoint) => {
            let checkpoint = checkpoint.clone();
            world.step(&row.id, &task::Step::Stop { checkpoint, after: now });
        }
        worker::Phase::Done => {
            world.counters.done += 1;
            world.step(&row.id, &task::Step::Finish);
        }
        worker::Phase::Failed(reason) => fail(world, vm, row, reason, now, notes),
    }
}

fn fail(
    world: &mut world::World,
    vm: &id::VmId,
    row: &task::Row,
    reason: &str,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) {
    quarantine(world, vm, now, notes);
    if matches!(row.state, task::State::Draining { .. }) {
        world.step(&row.id, &task::Step::Stop { checkpoint: None, after: now });
        return;
    }
    let repair = world.config.repair;
    if row.failures + 1 >= repair.attempts {
        let reason = format!("failed {} times in a row, last with: {reason}", row.failures + 1);
        world.counters.failures += 1;
        world.step(&row.id, &task::Step::Fail { reason: reason.clone() });
        notes.push(system::Note::GivenUp { task: row.id.clone(), reason });
        return;
    }
    world.counters.retries += 1;
    let wait = backoff(row, repair.backoff_ms, repair.backoff_max_ms);
    world.step(&row.id, &task::Step::Retry { after: now + wait });
}

/// The wait after a failure: it doubles each time, and the tasks of a job are spread over half
/// of it, so that they don't all come back at once.
fn backoff(row: &task::Row, first_ms: u64, most_ms: u64) -> time::Span {
    const SPREAD: u64 = 16;
    let wait = first_ms.saturating_mul(1 << row.failures.min(20)).min(most_ms);
    let jitter = wait / 2 * (u64::from(row.index) % SPREAD) / SPREAD;
    time::Span::millis(wait / 2 + jitter)
}

/// Counts a failure against a worker, and puts it into quarantine after some in a row.
pub fn quarantine(
    world: &mut world::World,
    vm: &id::VmId,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) {
    let hold = time::Span::millis(world.config.repair.quarantine_ms);
    let Some(worker) = world.workers.get_mut(vm) else {
        return;
    };
    worker.failures += 1;
    if worker.failures >= QUARANTINE_FAILURES && worker.quarantine <= now {
        worker.quarantine = now + hold;
        world.counters.quarantines += 1;
        notes.push(system::Note::Quarantined { vm: vm.clone() });
    }
}
