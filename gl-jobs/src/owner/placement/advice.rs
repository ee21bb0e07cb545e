//! Advice: requests to the service that decides which workers a queue's jobs may use, and its
//! answers.

use gl_model::time;

use crate::owner::{Action, Owner, Worker, jobs, state};
use crate::{task, worker};

/// Returns whether the phase may be placed: its queue needs no advice, or valid advice is
/// available. Requests advice otherwise.
pub(in crate::owner) fn has_advice(
    owner: &mut Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> bool {
    let settings = owner.settings;
    let Some(entry) = owner.jobs.get(&phase.job) else {
        return false;
    };
    if entry.job.advice.is_none() {
        return true;
    }
    let Some(state) = state::state_of(owner, phase) else {
        return false;
    };
    match state.advice {
        Some(jobs::Advice::ValidUntil(at)) if now + settings.start_window < at => return true,
        Some(jobs::Advice::Pending(at)) if now.since(at) < settings.advice_retry => return false,
        _ => {}
    }
    let workers = candidates(owner, phase, settings.advice_workers, now);
    let is_requested = !workers.is_empty();
    if is_requested {
        owner.actions.push(Action::RequestAdvice { phase, workers });
    }
    let state = owner.jobs.get_mut(&phase.job);
    let state = state.and_then(|e| e.phases.get_mut(&(phase.occurrence, phase.phase)));
    if let Some(state) = state.filter(|_| is_requested) {
        state.advice = Some(jobs::Advice::Pending(now));
    }
    false
}

/// Returns the workers that could run the phase, those with the most free capacity first.
fn candidates(
    owner: &Owner,
    phase: task::PhaseId,
    limit: usize,
    now: time::Timestamp,
) -> Vec<worker::WorkerId> {
    let Some(entry) = owner.jobs.get(&phase.job) else {
        return Vec::new();
    };
    let Some(spec) = entry.spec(phase.phase) else {
        return Vec::new();
    };
    let fits = |w: &&Worker| {
        spec.reserved().fits_in(&w.free())
            && w.registration.service == entry.job.service
            && w.is_eligible(&owner.settings, now)
            && spec.label.as_ref().is_none_or(|label| w.registration.labels.contains(label))
    };
    let mut workers: Vec<_> = owner.workers.values().filter(fits).collect();
    workers.sort_by_key(|w| std::cmp::Reverse(w.free().cores));
    workers.into_iter().take(limit).map(|w| w.registration.id.clone()).collect()
}

/// A worker that the queue's policy allows, with the ticket that start orders to it carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The worker.
    pub worker: worker::WorkerId,
    /// The proof that the policy allows the worker.
    pub ticket: String,
}

impl Owner {
    /// Records the advice on a phase. `grants` is `None` if the advice service did not reply; the
    /// request is then repeated after [`crate::owner::Settings::advice_retry`].
    pub fn advice_received(
        &mut self,
        phase: task::PhaseId,
        grants: Option<Vec<Grant>>,
        now: time::Timestamp,
    ) {
        let Some(entry) = self.jobs.get_mut(&phase.job) else {
            return;
        };
        let Some(advice) = entry.job.advice else {
            return;
        };
        let state = entry.phases.get_mut(&(phase.occurrence, phase.phase));
        let (Some(state), Some(grants)) = (state, grants) else {
            return;
        };
        state.tickets = grants.into_iter().map(|g| (g.worker.0, g.ticket)).collect();
        state.advice = Some(jobs::Advice::ValidUntil(now + advice.validity));
    }
}
