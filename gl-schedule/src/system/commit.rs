//! Builds the transaction with the changes of a tick.

use gl_model::{id, key, shard, txn};

use crate::{rows, state};

/// Returns the transaction that writes the changed rows and the shard's `row`. It checks the
/// shard's `version` and the versions of all changed ledgers and jobs.
pub fn txn(
    shard: &state::Shard,
    changes: &state::Changes,
    row: &shard::Row,
    version: id::Version,
    id: id::TxnId,
) -> txn::Txn {
    let domain = &shard.domain;
    let mut draft = rows::Draft::new();
    draft.replace(key::shard(domain), version, row);
    for vm in &changes.ledgers {
        if let Some(stored) = shard.ledgers.get(vm) {
            draft.replace(key::ledger(domain, vm), stored.version, &stored.row);
        }
    }
    for job in &changes.jobs {
        if let Some(stored) = shard.jobs.get(job) {
            draft.replace(key::job(domain, job), stored.version, &stored.row);
        }
    }
    for task in &changes.tasks {
        let key = key::task(domain, task);
        draft.write(match shard.tasks.get(task) {
            Some(stored) => rows::write(key, &stored.row),
            None => txn::Write { key, value: None },
        });
    }
    draft.finish(id)
}
