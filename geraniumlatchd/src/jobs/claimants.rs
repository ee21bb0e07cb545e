//! Stores the names of the daemons that may claim the cell while its owner cannot reach the store.

use std::rc;

use gl_jobs::{claimants, record};
use gl_platform::cell as platform;

use super::{lease, ownership, rows};
use crate::clock;

/// Interval at which it is checked whether claimants were silent for too long, or a write has failed.
const CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(300);

/// Stores the names of the claimants whenever they change, until the ownership ends.
pub async fn run(ownership: rc::Rc<ownership::Ownership>) {
    let mut version = ownership.token();
    while !ownership.is_ended() {
        let now = clock::steady();
        let names = ownership.claimants.borrow().to_store(&ownership.followers.borrow(), now);
        let is_store_up = lease::is_store_up(ownership.node(), now);
        if let Some(names) = names.filter(|_| is_store_up) {
            version = store(&ownership, names, version).await;
        }
        // The next check follows both a new follower and the time-out.
        let _ = ntex::time::timeout(CHECK_INTERVAL, ownership.follower_wake.notified()).await;
    }
}

/// Stores names on the condition that the row still has `version`, so that a write that the store carries
/// out late cannot undo a later one. Returns the version that the row has then, as far as is known.
async fn store(ownership: &ownership::Ownership, names: claimants::Names, version: u64) -> u64 {
    let row = record::encode("claimants", &record::Claimants { daemons: names.clone() });
    let Ok(value) = row else { return version };
    let check = |name, version| platform::Check { key: rows::cell_row(name), version };
    let txn = platform::Transaction {
        checks: vec![check(rows::OWNER, ownership.token()), check(rows::CLAIMANTS, version)],
        writes: vec![platform::Write { key: rows::cell_row(rows::CLAIMANTS), value }],
        removals: Vec::new(),
    };
    ownership.claimants.borrow_mut().write_sent(&names);
    let result = ownership.node().platform.store.transact(&txn).await;
    ownership.node().record_store_result(&result, clock::steady());
    match result {
        Ok(platform::Outcome::Committed(version)) => {
            ownership.claimants.borrow_mut().settled(names);
            version
        }
        Ok(platform::Outcome::Conflict(found)) => resolve_conflict(ownership, &found, version),
        Err(_) => version,
    }
}

/// Reads from a conflict the names that an earlier write has stored whose reply was lost.
fn resolve_conflict(
    ownership: &ownership::Ownership,
    found: &[platform::TableRow],
    version: u64,
) -> u64 {
    let found: Vec<_> = found.iter().map(|found| found.row.clone()).collect();
    let cell = super::cell_rows::decode(&found);
    if cell.owner.is_none_or(|owner| owner.version != ownership.token()) {
        ownership.step_down("another daemon claimed the cell");
        return version;
    }
    let Some(stored) = cell.claimants else { return version };
    ownership.claimants.borrow_mut().settled(stored.value.daemons);
    stored.version
}
