//! Requests to the service that decides which workers a queue's jobs may use, and its answers.
//!
//! An answer about a worker does not change, so each worker is asked about once, and those that are
//! allowed once more when their tickets have expired. A request names a few workers only. Others are
//! asked about while those that are known to be allowed cannot take all tasks of the phase.

use gl_model::time;

use crate::owner::{Action, Grant, Owner, Worker, search, state};
use crate::{task, worker};

/// Returns whether the phase may be placed: its queue needs no advice, or a worker is allowed. Requests
/// advice otherwise.
pub(in crate::owner) fn is_available(
    owner: &mut Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> bool {
    let Some(entry) = owner.jobs.get(&phase.job) else {
        return false;
    };
    if entry.job.advice.is_none() {
        return true;
    }
    let Some(state) = state::state_of(owner, phase) else {
        return false;
    };
    let has_ticket = |id: &worker::WorkerId| {
        let worker = owner.workers.get(id);
        worker.is_some_and(|worker| state.advice.ticket(&worker.registration, now).is_some())
    };
    let is_available = state.advice.allowed().any(has_ticket);
    if !is_available {
        extend(owner, phase, now);
    }
    is_available
}

/// Returns whether any worker has capacity for one more task of the phase. Requests advice on further
/// workers otherwise.
pub(in crate::owner) fn can_place(
    owner: &mut Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> bool {
    let can_place = search::can_place(owner, phase, now);
    if !can_place {
        extend(owner, phase, now);
    }
    can_place
}

/// Requests advice on workers that have room for a task of the phase and no valid ticket, if its queue
/// needs advice and no request is pending.
pub(in crate::owner) fn extend(owner: &mut Owner, phase: task::PhaseId, now: time::Timestamp) {
    let settings = owner.settings;
    let workers = candidates(owner, phase, settings.advice_workers, now);
    let registered = workers.iter().filter_map(|id| Some(&owner.workers.get(id)?.registration));
    let state = owner.jobs.get_mut(&phase.job);
    let state = state.and_then(|e| e.phases.get_mut(&(phase.occurrence, phase.phase)));
    let Some(state) = state.filter(|_| !workers.is_empty()) else {
        return;
    };
    state.advice.requested(registered, now);
    owner.actions.push(Action::RequestAdvice { phase, workers });
}

/// What is known of a worker, in the order in which workers are asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Allowed, without a valid ticket.
    Expired,
    Unknown,
    /// Allowed, with a valid ticket.
    Valid,
}

/// Returns the workers to ask about, by their standing, those with the most free capacity first among
/// equals.
fn candidates(
    owner: &Owner,
    phase: task::PhaseId,
    limit: usize,
    now: time::Timestamp,
) -> Vec<worker::WorkerId> {
    let Some(entry) = owner.jobs.get(&phase.job).filter(|entry| entry.job.advice.is_some()) else {
        return Vec::new();
    };
    let (Some(spec), Some(state)) = (entry.spec(phase.phase), state::state_of(owner, phase)) else {
        return Vec::new();
    };
    let advice = &state.advice;
    if advice.is_pending(owner.settings.advice_retry, now) {
        return Vec::new();
    }
    let standing = |w: &Worker| match advice.is_allowed(&w.registration) {
        Some(false) => None,
        // The members of a gang need tickets at the same time, so valid ones are renewed with the others.
        Some(true) if advice.ticket(&w.registration, now).is_some() => {
            spec.gang.then_some(Standing::Valid)
        }
        Some(true) => Some(Standing::Expired),
        None => Some(Standing::Unknown),
    };
    let suitable =
        owner.workers.values().filter(|w| search::is_suitable(owner, phase, entry, spec, w, now));
    let mut workers: Vec<_> = suitable.filter_map(|w| Some((standing(w)?, w))).collect();
    if workers.iter().all(|(standing, _)| *standing == Standing::Valid) {
        return Vec::new();
    }
    workers.sort_by_key(|(standing, w)| (*standing, std::cmp::Reverse(w.free().cores)));
    workers.into_iter().take(limit).map(|(_, w)| w.registration.id.clone()).collect()
}

impl Owner {
    /// Records the advice on a phase, in answer to a request that named `workers`. `grants` is `None` if
    /// the advice service did not reply; the request is then repeated after
    /// [`crate::owner::Settings::advice_retry`].
    pub fn advice_received(
        &mut self,
        phase: task::PhaseId,
        workers: &[worker::WorkerId],
        grants: Option<Vec<Grant>>,
        now: time::Timestamp,
    ) {
        let margin = self.settings.start_window;
        let Some(entry) = self.jobs.get_mut(&phase.job) else {
            return;
        };
        let Some(policy) = entry.job.advice else {
            return;
        };
        let state = entry.phases.get_mut(&(phase.occurrence, phase.phase));
        let (Some(state), Some(grants)) = (state, grants) else {
            return;
        };
        // Orders may take that time, but a short validity has to leave some to send them.
        let margin = margin.min(policy.validity.scaled(0.5));
        state.advice.received(workers, grants, now + policy.validity - margin);
    }

    /// Records that a worker has refused the ticket of a start order.
    pub(in crate::owner) fn ticket_refused(&mut self, id: &worker::WorkerId, task: task::TaskId) {
        let phase = task.phase;
        let state = self.jobs.get_mut(&phase.job);
        let state = state.and_then(|e| e.phases.get_mut(&(phase.occurrence, phase.phase)));
        if let Some(state) = state {
            state.advice.refused(id);
        }
    }
}
