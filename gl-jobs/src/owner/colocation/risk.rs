//! The interference that a best-effort task may risk, by what its caller loses if the task waits.
//!
//! In a crowded service, whose processors are mostly reserved, nearly every worker has long-running
//! tasks, so that each start risks some of their payoff. A job that can wait loses nothing until its
//! slack is used up; it takes only places with little risk. A job that is late has little left to
//! lose, and one that is overdue nothing.

use gl_model::time;

use crate::owner::{JobEntry, Owner, PhaseState, state};
use crate::{job, task};

/// The share of a service's processors that is reserved above which the service is crowded. Below
/// it there are enough workers without long-running tasks.
const CROWDED_SHARE: f64 = 0.5;
/// The share of the limit that a task may risk while all of its job's slack is left, and once its job
/// can no longer meet the objective. The payoff of a late job is about that share.
const MIN_SHARE: f64 = 0.2;
/// The share of the limit for a job that has no payoff left.
const OVERDUE_SHARE: f64 = 0.1;

/// The reservations of a service's workers, in thousandths of a core.
#[derive(Clone, Debug, Default)]
struct Reserved {
    service: String,
    total: u64,
    reserved: u64,
}

/// Returns the services of which most processors are reserved.
pub(in crate::owner) fn crowded_services(owner: &Owner) -> Vec<String> {
    let mut services: Vec<Reserved> = Vec::new();
    for worker in owner.workers.values().filter(|worker| !worker.is_domain_emptied) {
        let service = &worker.registration.service;
        let n = services.iter().position(|entry| entry.service == *service).unwrap_or_else(|| {
            services.push(Reserved { service: service.clone(), ..Reserved::default() });
            services.len() - 1
        });
        services[n].total += worker.registration.size.cores;
        services[n].reserved += worker.reserved.cores;
    }
    let is_crowded = |entry: &Reserved| entry.reserved as f64 > entry.total as f64 * CROWDED_SHARE;
    services.into_iter().filter(is_crowded).map(|entry| entry.service).collect()
}

/// Returns whether the risk of the phase's tasks is rationed.
pub(in crate::owner) fn is_rationed(owner: &Owner, entry: &JobEntry, spec: &job::Phase) -> bool {
    spec.best_effort && owner.crowded.contains(&entry.job.service)
}

/// Returns the share of [`Settings::interference_limit`](crate::owner::Settings) that a task of the
/// phase may risk.
pub(in crate::owner) fn share(owner: &Owner, phase: task::PhaseId, now: time::Timestamp) -> f64 {
    let entry = owner.jobs.get(&phase.job);
    let found = entry.and_then(|entry| Some((entry, entry.spec(phase.phase)?)));
    match found.zip(state::state_of(owner, phase)) {
        Some(((entry, spec), state)) if is_rationed(owner, entry, spec) => {
            rationed_share(entry, state, phase, now)
        }
        _ => 1.0,
    }
}

fn rationed_share(
    entry: &JobEntry,
    state: &PhaseState,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> f64 {
    let path = entry.critical_path(phase.phase);
    let finish = now + path;
    let objective = entry.objective;
    if finish > state.deadline + objective + objective {
        return OVERDUE_SHARE;
    }
    if finish > state.deadline {
        return MIN_SHARE;
    }
    let slack = state.deadline.since(finish).as_seconds();
    // At the start of a job with a slack factor of two, half of the objective is slack.
    let ample = (objective.as_seconds() / 2.0).max(f64::EPSILON);
    let used = 1.0 - (slack / ample).clamp(0.0, 1.0);
    MIN_SHARE + (1.0 - MIN_SHARE) * used
}
