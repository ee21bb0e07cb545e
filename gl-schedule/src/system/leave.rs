//! Moves tasks away from VMs that are leaving.

use gl_model::{id, task, vm};

use crate::world;

/// Drains the services' tasks and checkpoints the batch tasks of every leaving VM.
pub fn run(world: &mut world::World) {
    let leaving: Vec<id::VmId> = world
        .workers
        .iter()
        .filter(|(_, worker)| worker.vm.liveness == vm::Liveness::Leaving)
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in leaving {
        for task in world.tasks_on(&vm) {
            move_away(world, &task);
        }
    }
}

fn move_away(world: &mut world::World, task: &id::TaskId) {
    let Some(stored) = world.tasks.get(task) else {
        return;
    };
    let is_moving =
        matches!(stored.row.state, task::State::Evicting { .. } | task::State::Draining { .. });
    if is_moving {
        return;
    }
    let serving = world.job_of(&stored.row).is_some_and(|job| job.spec.is_service());
    let step = if serving { task::Step::Drain(task::After::Restart) } else { task::Step::Evict };
    world.step(task, &step);
}
