//! The transaction that confirms a plan, and plans that cancel jobs.

use gl_model::{id, intent, key, plan, txn};

use crate::rows;

/// Returns the transaction that confirms `plan`, whose stored row has the version `version`.
///
/// It checks that the head row still has the version that the plan was made from (optimistic
/// concurrency). So of two plans made from the same state, only the first one confirmed takes
/// effect.
pub fn confirm(plan: &plan::Plan, version: id::Version) -> txn::Txn {
    let confirmed = plan::Plan { state: plan::State::Confirmed, ..plan.clone() };
    let mut draft = rows::Draft::new();
    draft.replace(key::HEAD.to_owned(), plan.basis, &plan::Head { plan: plan.id.clone() });
    draft.replace(key::plan(&plan.id), version, &confirmed);
    for part in &plan.parts {
        let key = key::job(&part.shard, &part.row.spec.name);
        draft.replace(key, part.version, &part.row);
    }
    for intent in &plan.intents {
        draft.write(rows::write(key::intent(intent.name()), intent));
    }
    for name in &plan.cancels {
        draft.write(txn::Write { key: key::intent(name), value: None });
    }
    draft.finish(id::TxnId(format!("confirm/{}", plan.id)))
}

/// Returns the plan that cancels the jobs `names`, given their stored `parts`.
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
