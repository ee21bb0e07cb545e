//! Builds the one transaction that carries a tick's changes.

use gl_model::{id, key, shard, txn};

use crate::world;

fn json<R: serde::Serialize>(row: &R) -> Option<String> {
    serde_json::to_string(row).ok()
}

/// The transaction that writes the changed rows and the shard's `row`, under checks of the
/// shard's `version` and of the versions of all changed ledgers and jobs.
pub fn txn(
    world: &world::World,
    changes: &world::Changes,
    row: &shard::Row,
    version: id::Version,
    id: id::TxnId,
) -> txn::Txn {
    let own = key::shard(&world.shard);
    let mut checks = vec![txn::Check { key: own.clone(), version }];
    let mut writes = vec![txn::Write { key: own, value: json(row) }];
    for vm in &changes.ledgers {
        let Some(stored) = world.ledgers.get(vm) else {
            continue;
        };
        let key = key::ledger(&world.shard, vm);
        checks.push(txn::Check { key: key.clone(), version: stored.version });
        writes.push(txn::Write { key, value: json(&stored.row) });
    }
    for job in &changes.jobs {
        let Some(stored) = world.jobs.get(job) else {
            continue;
        };
        let key = key::job(&world.shard, job);
        checks.push(txn::Check { key: key.clone(), version: stored.version });
        writes.push(txn::Write { key, value: json(&stored.row) });
    }
    for task in &changes.tasks {
        let key = key::task(&world.shard, task);
        let value = world.tasks.get(task).and_then(|stored| json(&stored.row));
        writes.push(txn::Write { key, value });
    }
    txn::Txn { id, checks, writes }
}
