//! The transactions that put a plan in force or end jobs.

use gl_model::{id, intent, key, plan, txn};

fn json<R: serde::Serialize>(row: &R) -> Option<String> {
    serde_json::to_string(row).ok()
}

/// The transaction that confirms `plan`, whose row stands at `version`.
///
/// It checks the head row at the version that the plan was made from, so that of two plans made
/// from one state only the first confirm takes effect.
pub fn confirm(plan: &plan::Plan, version: id::Version) -> txn::Txn {
    let confirmed = plan::Plan { state: plan::State::Confirmed, ..plan.clone() };
    let head = plan::Head { plan: plan.id.clone() };
    let mut checks = vec![
        txn::Check { key: key::HEAD.to_owned(), version: plan.basis },
        txn::Check { key: key::plan(&plan.id), version },
    ];
    let mut writes = vec![
        txn::Write { key: key::HEAD.to_owned(), value: json(&head) },
        txn::Write { key: key::plan(&plan.id), value: json(&confirmed) },
    ];
    for intent in &plan.intents {
        writes.push(txn::Write { key: key::intent(intent.name()), value: json(intent) });
    }
    for name in &plan.cancels {
        writes.push(txn::Write { key: key::intent(name), value: None });
    }
    for part in &plan.parts {
        let key = key::job(&part.shard, &part.row.spec.name);
        checks.push(txn::Check { key: key.clone(), version: part.version });
        writes.push(txn::Write { key, value: json(&part.row) });
    }
    txn::Txn { id: id::TxnId(format!("confirm/{}", plan.id)), checks, writes }
}

/// The plan that cancels the jobs `names`, of which `parts` are the stored parts.
pub fn cancel(
    id: id::PlanId,
    made: gl_model::time::Timestamp,
    basis: id::Version,
    names: &[id::JobId],
    parts: &[plan::Part],
) -> plan::Plan {
    let cancelled = |part: &plan::Part| {
        let row = gl_model::job::Row { cancelled: true, ..part.row.clone() };
        plan::Part { row, ..part.clone() }
    };
    let is_named = |part: &&plan::Part| names.contains(&part.row.spec.name);
    plan::Plan {
        id,
        state: plan::State::Proposed,
        made,
        basis,
        intents: Vec::<intent::Intent>::new(),
        cancels: names.to_vec(),
        placements: Vec::new(),
        evictions: Vec::new(),
        queued: Vec::new(),
        unplaced: Vec::new(),
        parts: parts.iter().filter(is_named).map(cancelled).collect(),
    }
}
