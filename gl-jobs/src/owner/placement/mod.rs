//! Placement: decides which waiting tasks start, and on which workers.

pub(in crate::owner) mod advice;
pub(in crate::owner) mod copies;
pub(in crate::owner) mod distance;
pub(in crate::owner) mod drain;
pub(in crate::owner) mod gang;
pub(in crate::owner) mod headroom;
pub(in crate::owner) mod order;
pub(in crate::owner) mod preference;
pub(in crate::owner) mod search;
pub(in crate::owner) mod spread;
pub(in crate::owner) mod trials;
pub(in crate::owner) mod unplaced;
pub(in crate::owner) mod waits;

use gl_model::time;

use crate::owner::{
    Note, Owner, Stage, crashes, impact, runs, scarcity, state, unsettled, untested,
};
use crate::{task, worker};

/// Starts the waiting tasks that can be placed, in the order of their ranks, as far as the window for
/// start orders admits them. A gang is ordered as a whole, and may exceed the window.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    if !owner.may_start(now) || owner.start_validity(now) < owner.settings.order_time {
        return;
    }
    owner.decided_at = now;
    headroom::update(owner, now);
    untested::update(owner);
    crashes::run(owner, now);
    trials::run(owner, now);
    scarcity::update(owner, now);
    waits::start_pass(owner, now);
    unsettled::place(owner, now);
    let mut skip = unplaced::Unplaced::new(owner, now);
    let mut racks = distance::Racks::default();
    for entry in order::sorted(owner, now) {
        let cause = start_phase(owner, entry, &mut skip, &mut racks, now);
        waits::record(owner, entry.phase, cause, now);
    }
    owner.pass_ended();
}

/// Starts the waiting tasks of a part of a phase, and returns why some of them were not started.
fn start_phase(
    owner: &mut Owner,
    order::Entry { phase, part }: order::Entry,
    skip: &mut unplaced::Unplaced,
    racks: &mut distance::Racks,
    now: time::Timestamp,
) -> Option<waits::Cause> {
    let entry = owner.jobs.get(&phase.job);
    let Some((job, spec)) = entry.and_then(|e| Some((&e.job, e.spec(phase.phase)?))) else {
        owner.open_phases.remove(&phase);
        return None;
    };
    let urgency = unplaced::urgency(owner, phase, spec, now);
    if skip.covers(job, spec, urgency) {
        return Some(waits::Cause::Room);
    }
    let spec = spec.clone();
    if !owner.admits_start(&spec) {
        return Some(waits::Cause::Orders);
    }
    let has_suspects =
        state::state_of(owner, phase).is_some_and(|state| !state.suspects.is_empty());
    if next_waiting(owner, phase, part).is_none() && !has_suspects {
        close_if_started(owner, phase);
        return owner.open_phases.contains(&phase).then_some(waits::Cause::Other);
    }
    if !advice::is_available(owner, phase, now) {
        return Some(waits::Cause::Other);
    }
    if spec.gang {
        if !has_unseen(owner, phase) {
            start_gang(owner, phase, now);
        }
        return owner.open_phases.contains(&phase).then_some(waits::Cause::Room);
    }
    let mut candidates = search::Candidates::new(part);
    if distance::should_wait(owner, racks, phase, None, now) {
        return Some(waits::Cause::Rack);
    }
    while let Some(index) = next_waiting(owner, phase, part) {
        if !owner.admits_start(&spec) {
            return Some(waits::Cause::Orders);
        }
        let Some(worker) = candidates.find(owner, phase, now) else {
            if let Some(entry) = owner.jobs.get(&phase.job) {
                skip.add(&entry.job, &spec, urgency);
            }
            advice::extend(owner, phase, now);
            return Some(waits::Cause::Room);
        };
        if distance::should_wait(owner, racks, phase, Some(&worker), now) {
            return Some(waits::Cause::Rack);
        }
        owner.last_attempt += 1;
        start(owner, phase, index, &worker, owner.last_attempt, now);
    }
    trials::plan(owner, phase, now);
    close_if_started(owner, phase);
    owner.open_phases.contains(&phase).then_some(waits::Cause::Other)
}

/// Removes a phase from the open ones if none of its tasks waits.
pub(in crate::owner) fn close_if_started(owner: &mut Owner, phase: task::PhaseId) {
    if state::state_of(owner, phase).is_none_or(|state| state.waiting.is_empty()) {
        owner.open_phases.remove(&phase);
    }
}

/// Returns the next waiting task of a part of a phase that is not held back.
fn next_waiting(owner: &Owner, phase: task::PhaseId, part: order::Part) -> Option<u32> {
    let state = state::state_of(owner, phase)?;
    let spec = owner.jobs.get(&phase.job)?.spec(phase.phase)?;
    let may_start = |index: &&u32| {
        let task = task::TaskId { phase, index: **index };
        let is_in_part = part == order::Part::All || state.interrupted.contains_key(index);
        let is_held = owner.is_withheld(task) || !spec.gang && owner.unsettled.holds(task);
        is_in_part && !is_held && !is_unseen(owner, task)
    };
    state.waiting.iter().find(may_start).copied()
}

/// Returns whether the task may be running on a worker that has not replied, or has a run or an end
/// that a worker has reported and that is not taken into account yet, and has one run at a time.
pub(in crate::owner) fn is_unseen(owner: &Owner, task: task::TaskId) -> bool {
    if owner.unread.holds(task) {
        return true;
    }
    if !owner.is_recovering() {
        return false;
    }
    let entry = owner.jobs.get(&task.phase.job).filter(|entry| entry.is_inherited);
    let spec = entry.and_then(|entry| entry.spec(task.phase.phase));
    spec.is_some_and(|spec| !spec.speculative) && owner.may_run_unseen(task)
}

/// Returns whether any waiting task of the phase may be running on a worker that has not replied.
fn has_unseen(owner: &Owner, phase: task::PhaseId) -> bool {
    let is_unseen = |index: &u32| is_unseen(owner, task::TaskId { phase, index: *index });
    state::state_of(owner, phase).is_some_and(|state| state.waiting.iter().any(is_unseen))
}

fn start_gang(owner: &mut Owner, phase: task::PhaseId, now: time::Timestamp) {
    let Some(placements) = gang::place_all(owner, phase, now) else {
        advice::extend(owner, phase, now);
        return;
    };
    owner.last_attempt += 1;
    let attempt = owner.last_attempt;
    for (index, worker) in placements {
        start(owner, phase, index, &worker, attempt, now);
    }
    owner.open_phases.remove(&phase);
}

/// Orders a run on a worker.
pub(in crate::owner) fn start(
    owner: &mut Owner,
    phase: task::PhaseId,
    index: u32,
    worker: &worker::WorkerId,
    attempt: u64,
    now: time::Timestamp,
) {
    let task = task::TaskId { phase, index };
    let window = owner.start_validity(now);
    let Some(token) = owner.call_token(worker) else {
        return;
    };
    let Some(target) = owner.workers.get_mut(worker) else {
        return;
    };
    let Some(clock) = target.clock_at(now) else {
        return;
    };
    let deadline = clock + window;
    target.granted_until = target.granted_until.max(deadline);
    let Some(entry) = owner.jobs.get_mut(&phase.job) else {
        return;
    };
    let spec = entry.job.spec.clone();
    let Some(description) = entry.spec(phase.phase).cloned() else {
        return;
    };
    let Some(state) = entry.phases.get_mut(&(phase.occurrence, phase.phase)) else {
        return;
    };
    state.waiting.remove(&index);
    state.interrupted.remove(&index);
    let shared = if description.gang { gang::SHARED_INDEX } else { index };
    let checkpoint = state.checkpoints.get(&shared).cloned().unwrap_or_default();
    let ticket = state.advice.ticket(&target.registration, now).map(str::to_owned);
    let waited = now.since(state.since);
    let cores = description.size.cores;
    let image = description.image.as_deref().map(|name| owner.interference.intern(name));
    let order =
        runs::RunOrder { worker: worker.clone(), attempt, deadline, stage: Stage::Starting, image };
    waits::count_start(owner, phase, &description);
    let mut run = runs::make_run(&description, order, now);
    run.checkpoint.clone_from(&checkpoint);
    run.is_partial = !checkpoint.is_empty();
    impact::count_start(owner, &run);
    owner.add_run(task, run);
    let estimate = description.estimate;
    owner.note(Note::Ordered { task, attempt, worker: worker.clone(), waited, estimate, cores });
    let order = worker::StartOrder { token, task, attempt, spec, checkpoint, deadline, ticket };
    owner.send_start(worker.clone(), order);
}
