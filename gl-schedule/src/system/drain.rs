//! Moves tasks away from VMs that are leaving.

use gl_model::{id, task, vm};

use crate::state;

/// Drains the services' tasks and checkpoints the batch tasks of every leaving VM.
pub fn run(shard: &mut state::Shard) {
    let leaving: Vec<id::VmId> = shard
        .workers
        .iter()
        .filter(|(_, worker)| worker.vm.liveness == vm::Liveness::Leaving)
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in leaving {
        for task in shard.tasks_on(&vm) {
            move_away(shard, &task);
        }
    }
}

fn move_away(shard: &mut state::Shard, task: &id::TaskId) {
    let Some(stored) = shard.tasks.get(task) else {
        return;
    };
    let is_moving =
        matches!(stored.row.state, task::State::Evicting { .. } | task::State::Draining { .. });
    if is_moving {
        return;
    }
    let serving = shard.job_of(&stored.row).is_some_and(|job| job.spec.is_service());
    let step = if serving { task::Step::Drain(task::After::Restart) } else { task::Step::Evict };
    shard.step(task, &step);
}
