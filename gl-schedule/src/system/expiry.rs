//! Stops the tasks of workers whose last lease has expired.

use gl_lease::worker_lease;
use gl_model::{id, task, time};

use crate::{state, system};

/// Stops every task on a worker that did not reply before all its leases expired, plus the greatest
/// difference between two clocks. Until then the tasks may still run there.
pub fn run(shard: &mut state::Shard, now: time::Timestamp, events: &mut Vec<system::Event>) {
    let options = worker_lease::Options::from(&shard.config.leases);
    let expired: Vec<id::VmId> = shard
        .ledgers
        .iter()
        .filter(|(vm, ledger)| {
            !ledger.row.reservations.is_empty() && shard.grants.is_expired(vm, now, &options)
        })
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in expired {
        let tasks = shard.tasks_on(&vm);
        shard.counters.expiries += tasks.len() as u64;
        events.push(system::Event::LeaseExpired { vm: vm.clone(), tasks: tasks.len() });
        for task in tasks {
            shard.step(&task, &task::Step::Stop { checkpoint: None, after: now });
        }
        if let Some(worker) = shard.workers.get_mut(&vm) {
            worker.services.clear();
        }
    }
}
