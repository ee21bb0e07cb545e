//! Takes the platform's list of VMs in.

use std::collections;

use gl_model::{id, time, vm};

use crate::state;

/// Updates the workers of the shard. A VM that the list no longer names stays until its lease
/// has lapsed and its tasks are gone, as the list lags.
pub fn run(shard: &mut state::Shard, list: &vm::List, now: time::Timestamp) {
    let mut named = collections::BTreeSet::new();
    for vm in &list.vms {
        if vm.domain != shard.domain {
            continue;
        }
        named.insert(vm.id.clone());
        take(shard, vm, now);
    }
    let unnamed: Vec<id::VmId> =
        shard.workers.iter().map(|(vm, _)| vm).filter(|vm| !named.contains(*vm)).cloned().collect();
    for vm in unnamed {
        let is_empty = shard.tasks_on(&vm).is_empty();
        if is_empty {
            shard.workers.remove(&vm);
        } else if let Some(worker) = shard.workers.get_mut(&vm) {
            worker.vm.liveness = vm::Liveness::Gone;
        }
    }
}

fn take(shard: &mut state::Shard, vm: &vm::Vm, now: time::Timestamp) {
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
