//! Builds the one transaction that carries a tick's changes.

use gl_model::{id, key, shard, txn};

use crate::{rows, world};

/// The transaction that writes the changed rows and the shard's `row`, under checks of the
/// shard's `version` and of the versions of all changed ledgers and jobs.
pub fn txn(
    world: &world::World,
    changes: &world::Changes,
    row: &shard::Row,
    version: id::Version,
    id: id::TxnId,
) -> txn::Txn {
    let shard = &world.shard;
    let mut draft = rows::Draft::new();
    draft.replace(key::shard(shard), version, row);
    for vm in &changes.ledgers {
        if let Some(stored) = world.ledgers.get(vm) {
            draft.replace(key::ledger(shard, vm), stored.version, &stored.row);
        }
    }
    for job in &changes.jobs {
        if let Some(stored) = world.jobs.get(job) {
            draft.replace(key::job(shard, job), stored.version, &stored.row);
        }
    }
    for task in &changes.tasks {
        let key = key::task(shard, task);
        draft.write(match world.tasks.get(task) {
            Some(stored) => rows::write(key, &stored.row),
            None => txn::Write { key, value: None },
        });
    }
    draft.finish(id)
}
