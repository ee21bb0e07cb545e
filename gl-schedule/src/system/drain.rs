//! Moves tasks away from VMs that are being drained.

use gl_model::{id, task, vm};

use crate::state;

/// Drains the service tasks and evicts the batch tasks of every VM that is being drained.
pub fn run(shard: &mut state::Shard) {
    let draining: Vec<id::VmId> = shard
        .workers
        .iter()
        .filter(|(_, worker)| worker.vm.liveness == vm::Liveness::Leaving)
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in draining {
        for task in shard.tasks_on(&vm) {
            move_task(shard, &task);
        }
    }
}

fn move_task(shard: &mut state::Shard, task: &id::TaskId) {
    let Some(stored) = shard.tasks.get(task) else {
        return;
    };
    let is_moving =
        matches!(stored.row.state, task::State::Evicting { .. } | task::State::Draining { .. });
    if is_moving {
        return;
    }
    let is_service = shard.job_of(&stored.row).is_some_and(|job| job.spec.is_service());
    let step = if is_service { task::Step::Drain(task::After::Restart) } else { task::Step::Evict };
    shard.step(task, &step);
}
