//! A sweep must delete only expired rows, and each only at the version that was read.

#![allow(clippy::unwrap_used, reason = "tests")]

use geraniumlatchd::control::sweep;
use gl_model::{id, key, plan, time, txn};

const HOUR: u64 = 3_600;
const NOW: time::Timestamp = time::Timestamp(1_000_000 * 1_000_000 * HOUR);

fn row(key: String, value: String) -> txn::Row {
    txn::Row { key, version: id::Version(3), value }
}

fn stored_plan(state: plan::State, hours: u64) -> txn::Row {
    let plan = plan::Plan {
        id: id::PlanId(format!("p{hours}")),
        state,
        made: NOW - time::Span::seconds(hours * HOUR),
        basis: id::Version(1),
        intents: Vec::new(),
        cancels: Vec::new(),
        placements: Vec::new(),
        evictions: Vec::new(),
        queued: Vec::new(),
        unplaced: Vec::new(),
        parts: Vec::new(),
    };
    row(key::plan(&plan.id), serde_json::to_string(&plan).unwrap())
}

#[test]
fn only_expired_rows_are_deleted_at_the_version_read() {
    let bucket = geraniumlatchd::proxy::claims::bucket(NOW);
    let service = id::JobId::from("booking");
    let claim = |bucket| row(key::claim(bucket, &service, "k"), "{}".to_owned());
    let rows = [
        claim(bucket),
        claim(bucket - 1),
        claim(bucket - 2),
        stored_plan(plan::State::Proposed, 23),
        stored_plan(plan::State::Proposed, 25),
        stored_plan(plan::State::Confirmed, 26),
        stored_plan(plan::State::Confirmed, 31 * 24),
        row("shard/one".to_owned(), "{}".to_owned()),
    ];
    let checks = sweep::deletions(&rows, NOW);
    let keys: Vec<&str> = checks.iter().map(|check| check.key.as_str()).collect();
    let expired = [2, 4, 6].map(|at: usize| rows[at].key.as_str());
    assert_eq!(keys, expired);
    assert!(checks.iter().all(|check| check.version == id::Version(3)));
}
