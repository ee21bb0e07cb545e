//! Updates the workers from the platform's list of VMs.

use std::collections;

use gl_model::{id, time, vm};

use crate::state;

/// Updates the workers of the shard. As the list lags, a VM that it no longer contains stays until
/// no task has a reservation on it, which is after its lease has expired.
pub fn run(shard: &mut state::Shard, list: &vm::List, now: time::Timestamp) {
    let mut listed = collections::BTreeSet::new();
    for vm in &list.vms {
        if vm.domain != shard.domain {
            continue;
        }
        listed.insert(vm.id.clone());
        update_worker(shard, vm, now);
    }
    let unlisted: Vec<id::VmId> = shard
        .workers
        .iter()
        .map(|(vm, _)| vm)
        .filter(|vm| !listed.contains(*vm))
        .cloned()
        .collect();
    for vm in unlisted {
        let is_empty = shard.tasks_on(&vm).is_empty();
        if is_empty {
            shard.workers.remove(&vm);
        } else if let Some(worker) = shard.workers.get_mut(&vm) {
            worker.vm.liveness = vm::Liveness::Gone;
        }
    }
}

fn update_worker(shard: &mut state::Shard, vm: &vm::Vm, now: time::Timestamp) {
    match shard.workers.get_mut(&vm.id) {
        Some(worker) if worker.vm == *vm => {}
        Some(worker) => {
            worker.vm = vm.clone();
            worker.next_sync = now;
            shard.routes_changed = true;
            shard.needs_placement = true;
        }
        None => {
            shard.workers.put(vm.id.clone(), state::Worker::new(vm));
            shard.refresh_free(&vm.id);
            shard.needs_placement = true;
        }
    }
}
