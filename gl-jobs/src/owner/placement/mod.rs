//! Placement: decides which waiting tasks start, and on which workers.

pub(in crate::owner) mod advice;
pub(in crate::owner) mod drain;
pub(in crate::owner) mod gang;
pub(in crate::owner) mod headroom;
pub(in crate::owner) mod search;
pub(in crate::owner) mod trials;
pub(in crate::owner) mod unplaced;

use gl_model::time;

use crate::owner::{
    JobEntry, Note, Owner, PhaseState, Stage, crashes, impact, runs, settings, state, untested,
};
use crate::{job, task, worker};

/// A waiting phase with its sort key; phases are served in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    class: Class,
    /// The key within the class; lower is served first. For long-running phases it is the start of
    /// their wait, for others it depends on [`settings::PhaseOrder`].
    key: u64,
    phase: task::PhaseId,
}

/// The classes of phases, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// A long-running phase of which a task has ended and waits for longer than
    /// [`settings::Settings::patience`], as short tasks take all capacity that becomes free.
    Starved,
    /// Can still meet its objective, reserves capacity, and releases it soon.
    Short,
    /// Runs until it is cancelled, and keeps its capacity; its payoff grows with its running time.
    LongRunning,
    /// A best-effort phase that can still meet its objective.
    InTime,
    /// Will miss its objective by no more than twice the objective, and is still of value.
    Late,
    /// Will miss its objective by more than that, and still has to be completed.
    Overdue,
}

/// Starts the waiting tasks that can be placed, in the order of their ranks.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    if !owner.may_start(now) || owner.start_validity(now) < owner.settings.order_time {
        return;
    }
    headroom::update(owner, now);
    untested::update(owner);
    crashes::run(owner, now);
    trials::run(owner, now);
    let mut ranks: Vec<_> = owner.open_phases.iter().filter_map(|p| rank(owner, *p, now)).collect();
    ranks.sort_unstable();
    let mut skip = unplaced::Unplaced::new(owner, now);
    for rank in ranks {
        start_phase(owner, rank.phase, &mut skip, now);
    }
}

fn rank(owner: &Owner, phase: task::PhaseId, now: time::Timestamp) -> Option<Rank> {
    let entry = owner.jobs.get(&phase.job)?;
    let state = entry.phases.get(&(phase.occurrence, phase.phase))?;
    let spec = entry.spec(phase.phase)?;
    let objective = entry.objective;
    let finish = now + entry.critical_path(phase.phase);
    let is_starved = state.is_interrupted && now.since(state.since) >= owner.settings.patience;
    let class = if spec.long_running && is_starved {
        Class::Starved
    } else if spec.long_running {
        Class::LongRunning
    } else if finish <= state.deadline && !spec.best_effort {
        Class::Short
    } else if finish <= state.deadline {
        Class::InTime
    } else if finish <= state.deadline + objective + objective {
        Class::Late
    } else {
        Class::Overdue
    };
    let key = if spec.long_running { state.since.0 } else { key(owner, entry, state, phase, now) };
    Some(Rank { class, key, phase })
}

fn key(
    owner: &Owner,
    entry: &JobEntry,
    state: &PhaseState,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> u64 {
    match owner.settings.order {
        settings::PhaseOrder::Deadline => state.deadline.0,
        settings::PhaseOrder::Slack => (state.deadline - entry.critical_path(phase.phase)).0,
        settings::PhaseOrder::Work => {
            let waited = now.since(entry.accepted_at).as_seconds();
            time::Span::seconds(1).scaled(work_left(entry, phase) / (1.0 + waited)).0
        }
    }
}

/// Returns the declared work that an occurrence of a job has left, in core-seconds.
fn work_left(entry: &JobEntry, phase: task::PhaseId) -> f64 {
    let left = |(number, spec): (u32, &job::Phase)| {
        let state = entry.phases.get(&(phase.occurrence, number));
        let done = state.map_or(0, |state| state.done.count());
        f64::from(spec.count.saturating_sub(done)) * spec.size.cores as f64 / MILLICORES_PER_CORE
            * spec.estimate.as_seconds()
    };
    (0..).zip(&entry.job.phases).map(left).sum()
}

const MILLICORES_PER_CORE: f64 = 1_000.0;

fn start_phase(
    owner: &mut Owner,
    phase: task::PhaseId,
    skip: &mut unplaced::Unplaced,
    now: time::Timestamp,
) {
    let entry = owner.jobs.get(&phase.job);
    let Some((job, spec)) = entry.and_then(|e| Some((&e.job, e.spec(phase.phase)?))) else {
        owner.open_phases.remove(&phase);
        return;
    };
    if skip.covers(job, spec) {
        return;
    }
    let spec = spec.clone();
    let has_suspects =
        state::state_of(owner, phase).is_some_and(|state| !state.suspects.is_empty());
    if next_waiting(owner, phase).is_none() && !has_suspects {
        return close_if_started(owner, phase);
    }
    if !advice::has_advice(owner, phase, now) {
        return;
    }
    if spec.gang {
        if !has_unseen(owner, phase) {
            start_gang(owner, phase, now);
        }
        return;
    }
    let mut candidates = search::Candidates::default();
    while let Some(index) = next_waiting(owner, phase) {
        let Some(worker) = candidates.find(owner, phase, now) else {
            if let Some(entry) = owner.jobs.get(&phase.job) {
                skip.add(&entry.job, &spec);
            }
            return;
        };
        owner.last_attempt += 1;
        start(owner, phase, index, &worker, owner.last_attempt, now);
    }
    trials::plan(owner, phase, now);
    close_if_started(owner, phase);
}

/// Removes a phase from the open ones if none of its tasks waits.
pub(in crate::owner) fn close_if_started(owner: &mut Owner, phase: task::PhaseId) {
    if state::state_of(owner, phase).is_none_or(|state| state.waiting.is_empty()) {
        owner.open_phases.remove(&phase);
    }
}

/// Returns the next waiting task that is not held back.
fn next_waiting(owner: &Owner, phase: task::PhaseId) -> Option<u32> {
    let may_start = |index: &&u32| {
        let task = task::TaskId { phase, index: **index };
        !owner.is_withheld(task) && !is_unseen(owner, task)
    };
    state::state_of(owner, phase)?.waiting.iter().find(may_start).copied()
}

/// Returns whether the task may be running on a worker that has not replied, and has one run at a
/// time.
pub(in crate::owner) fn is_unseen(owner: &Owner, task: task::TaskId) -> bool {
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
    state.is_interrupted &= !state.waiting.is_empty();
    let shared = if description.gang { gang::SHARED_INDEX } else { index };
    let checkpoint = state.checkpoints.get(&shared).cloned().unwrap_or_default();
    let ticket = state.tickets.get(worker.0.as_str()).cloned();
    let waited = now.since(state.since);
    let image = description.image.as_deref().map(|name| owner.interference.intern(name));
    let order =
        runs::RunOrder { worker: worker.clone(), attempt, deadline, stage: Stage::Starting, image };
    let mut run = runs::make_run(&description, order, now);
    run.checkpoint.clone_from(&checkpoint);
    impact::count_start(owner, &run);
    owner.add_run(task, run);
    let estimate = description.estimate;
    owner.note(Note::Ordered { task, attempt, worker: worker.clone(), waited, estimate });
    let order = worker::StartOrder { task, attempt, spec, checkpoint, deadline, ticket };
    owner.send_start(worker.clone(), order);
}
