//! Makes a plan from a snapshot of the stored state.

use gl_model::{config, id, intent, plan, time, vm};

use super::{Error, check, dry_run, requested};
use crate::owner;

/// The stored state that a plan is made from.
pub struct Snapshot {
    /// The platform's list of VMs.
    pub list: vm::List,
    /// The rows of each shard.
    pub shards: Vec<Shard>,
    /// The version of the plans' head row.
    pub head: id::Version,
    /// The confirmed intents.
    pub intents: Vec<intent::Intent>,
    /// The shared configuration.
    pub config: config::Shared,
}

/// The rows of one shard.
pub struct Shard {
    /// The shard.
    pub id: id::DomainId,
    /// Its rows.
    pub rows: owner::Rows,
}

/// Makes the plan `id` for the intents of a file.
///
/// Tasks that cannot be placed now are listed as queued. Tasks that are larger than every VM, or
/// that exceed a quota, are listed as unplaced with the reason.
///
/// # Errors
///
/// Returns an error if an intent is invalid or contradicts the existing jobs.
pub fn make(
    snapshot: Snapshot,
    file: &intent::File,
    id: id::PlanId,
    now: time::Timestamp,
) -> Result<plan::Plan, Error> {
    check(file)?;
    let (basis, intents) = (snapshot.head, snapshot.intents.clone());
    let mut dry_run = dry_run::DryRun::new(snapshot, now);
    let mut plan = plan::Plan {
        id,
        state: plan::State::Proposed,
        made: now,
        basis,
        intents: file.intents.clone(),
        cancels: Vec::new(),
        placements: Vec::new(),
        evictions: Vec::new(),
        queued: Vec::new(),
        unplaced: Vec::new(),
        parts: Vec::new(),
    };
    let known: Vec<&intent::Intent> = file.intents.iter().chain(&intents).collect();
    for intent in &file.intents {
        let requested = requested::requested(intent, &known)?;
        dry_run.check_type(&requested.spec)?;
        dry_run.place(&requested, &mut plan, now);
    }
    plan.evictions = dry_run.evictions;
    Ok(plan)
}
