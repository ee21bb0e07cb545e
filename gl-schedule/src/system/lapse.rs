//! Takes tasks from workers whose last lease has lapsed.

use gl_lease::worker_lease;
use gl_model::{id, task, time};

use crate::{system, world};

/// Stops every task on a worker that was silent until all its leases were over, the greatest
/// clock difference included. Until then such tasks may still run there.
pub fn run(world: &mut world::World, now: time::Timestamp, notes: &mut Vec<system::Note>) {
    let options = worker_lease::Options::from(&world.config.leases);
    let lapsed: Vec<id::VmId> = world
        .ledgers
        .iter()
        .filter(|(vm, ledger)| {
            !ledger.row.promises.is_empty() && world.grants.is_expired(vm, now, &options)
        })
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in lapsed {
        let tasks = world.tasks_on(&vm);
        world.counters.lapses += tasks.len() as u64;
        notes.push(system::Note::Lapsed { vm: vm.clone(), tasks: tasks.len() });
        for task in tasks {
            world.step(&task, &task::Step::Stop { checkpoint: None, after: now });
        }
        if let Some(worker) = world.workers.get_mut(&vm) {
            worker.victims.clear();
        }
    }
}
