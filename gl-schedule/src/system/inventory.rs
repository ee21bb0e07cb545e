//! Takes the platform's list of VMs in.

use std::collections;

use gl_model::{id, time, vm};

use crate::world;

/// Updates the workers of the shard. A VM that the list no longer names stays until its lease
/// has lapsed and its tasks are gone, as the list lags.
pub fn run(world: &mut world::World, list: &vm::List, now: time::Timestamp) {
    let mut named = collections::BTreeSet::new();
    for vm in &list.vms {
        if vm.domain != world.shard {
            continue;
        }
        named.insert(vm.id.clone());
        take(world, vm, now);
    }
    let unnamed: Vec<id::VmId> =
        world.workers.iter().map(|(vm, _)| vm).filter(|vm| !named.contains(*vm)).cloned().collect();
    for vm in unnamed {
        let is_empty = world.tasks_on(&vm).is_empty();
        if is_empty {
            world.workers.remove(&vm);
        } else if let Some(worker) = world.workers.get_mut(&vm) {
            worker.vm.liveness = vm::Liveness::Gone;
        }
    }
}

fn take(world: &mut world::World, vm: &vm::Vm, now: time::Timestamp) {
    match world.workers.get_mut(&vm.id) {
        Some(worker) if worker.vm == *vm => {}
        Some(worker) => {
            worker.vm = vm.clone();
            worker.due = now;
            world.rerouted = true;
            world.stirred = true;
        }
        None => {
            world.workers.put(vm.id.clone(), world::Worker::new(vm));
            world.note_room(&vm.id);
            world.stirred = true;
        }
    }
}
