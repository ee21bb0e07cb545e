//! The order in which waiting phases are served.
//!
//! With enough capacity it is by class, then by deadline. While a service's capacity for a kind of
//! tasks is scarce, the phases of that kind are served by what their callers lose per second of delay
//! and unit of work, late ones together with the best-effort ones in time, as far as
//! [`settings::LossOrder`] covers them. Two rules bound the wait of those that the order passes over:
//! see [`gl_cost::ledger`].

use gl_cost::loss;
use gl_model::time;

use crate::owner::{JobEntry, Owner, PhaseState, headroom, scarcity, settings};
use crate::{job, task};

/// A waiting phase with its sort key; phases are served in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    class: Class,
    /// The key within the class; lower is served first. For long-running phases it is the start of
    /// their wait. For others it depends on [`settings::PhaseOrder`], or on what their callers lose
    /// while capacity is scarce.
    key: u64,
    phase: task::PhaseId,
    part: Part,
}

/// A waiting phase, or a part of one, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::owner) struct Entry {
    pub phase: task::PhaseId,
    pub part: Part,
}

/// The waiting tasks of a phase that are served together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::owner) enum Part {
    /// The long-running tasks that were interrupted, on workers that are not held for short tasks.
    Returning,
    /// The long-running tasks that were interrupted and have to run again soon. The others of their
    /// phase, which may not have run yet, have no claim to be served with them.
    Interrupted,
    All,
}

/// The classes of phases, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Long-running tasks that were interrupted for longer than [`settings::Settings::patience`], as
    /// short tasks take all capacity that becomes free.
    Starved,
    /// Belongs to a job that is served by right while capacity is scarce; see [`gl_cost::ledger`].
    Turn,
    /// Long-running tasks that were interrupted, while workers are held for short tasks. If short tasks
    /// took the room that they have left, they would have to take a held worker in its place.
    Returning,
    /// Can still meet its objective, reserves capacity, and releases it soon.
    Short,
    /// Long-running tasks that were interrupted, on any worker. They come before those that have not run
    /// yet, which would take the capacity that they have left.
    Interrupted,
    /// Runs until it is cancelled, and keeps its capacity; its payoff grows with its running time.
    LongRunning,
    /// A best-effort phase that can still meet its objective.
    InTime,
    /// Will miss its objective by no more than twice the objective, and is still of value.
    Late,
    /// Will miss its objective by more than that, and still has to be completed.
    Overdue,
}

/// Returns the waiting phases in the order in which they are served.
pub(in crate::owner) fn sorted(owner: &Owner, now: time::Timestamp) -> Vec<Entry> {
    let phases = owner.open_phases.iter();
    let mut ranks: Vec<_> = phases
        .flat_map(|phase| {
            let interrupted = rank_interrupted(owner, *phase, now);
            let returning = interrupted.and_then(|rank| rank_returning(owner, rank));
            [returning, interrupted, rank(owner, *phase, now)]
        })
        .flatten()
        .collect();
    ranks.sort_unstable();
    ranks.into_iter().map(|rank| Entry { phase: rank.phase, part: rank.part }).collect()
}

/// Returns the rank of the interrupted tasks of a long-running phase, if there are any.
fn rank_interrupted(owner: &Owner, phase: task::PhaseId, now: time::Timestamp) -> Option<Rank> {
    let entry = owner.jobs.get(&phase.job)?;
    let state = entry.phases.get(&(phase.occurrence, phase.phase))?;
    let since = *state.interrupted.values().min()?;
    entry.spec(phase.phase).filter(|spec| spec.long_running)?;
    let is_starved = now.since(since) >= owner.settings.patience;
    let class = if is_starved { Class::Starved } else { Class::Interrupted };
    Some(Rank { class, key: since.0, phase, part: Part::Interrupted })
}

/// Returns the rank of interrupted tasks on workers that are not held, if others are.
fn rank_returning(owner: &Owner, interrupted: Rank) -> Option<Rank> {
    let service = &owner.jobs.get(&interrupted.phase.job)?.job.service;
    headroom::holds_any(owner, service).then_some(Rank {
        class: Class::Returning,
        part: Part::Returning,
        ..interrupted
    })
}

fn rank(owner: &Owner, phase: task::PhaseId, now: time::Timestamp) -> Option<Rank> {
    let entry = owner.jobs.get(&phase.job)?;
    let state = entry.phases.get(&(phase.occurrence, phase.phase))?;
    let spec = entry.spec(phase.phase)?;
    let rank = Rank { class: class(entry, state, phase, now)?, key: 0, phase, part: Part::All };
    let flow = owner.scarcity.get(&entry.job.service).map(|service| service.flow(spec));
    let is_covered = match owner.settings.loss_order {
        settings::LossOrder::Off => false,
        settings::LossOrder::BestEffort => spec.best_effort,
        settings::LossOrder::All => !spec.long_running,
    };
    if let Some(flow) = flow.filter(|flow| is_covered && flow.is_scarce()) {
        return Some(scarce_rank(flow, entry, state, rank, now));
    }
    let key = if spec.long_running { state.since.0 } else { key(owner, entry, state, phase, now) };
    Some(Rank { key, ..rank })
}

fn class(
    entry: &JobEntry,
    state: &PhaseState,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Option<Class> {
    let spec = entry.spec(phase.phase)?;
    let objective = entry.objective;
    let finish = now + entry.critical_path(phase.phase);
    Some(if spec.long_running {
        Class::LongRunning
    } else if finish <= state.deadline && !spec.best_effort {
        Class::Short
    } else if finish <= state.deadline {
        Class::InTime
    } else if finish <= state.deadline + objective + objective {
        Class::Late
    } else {
        Class::Overdue
    })
}

/// Returns the rank of a phase that is not long-running, while its kind of capacity is scarce.
fn scarce_rank(
    flow: &scarcity::Flow,
    entry: &JobEntry,
    state: &PhaseState,
    rank: Rank,
    now: time::Timestamp,
) -> Rank {
    if flow.has_turn(rank.phase.job) {
        return Rank { class: Class::Turn, key: due(entry, state).0, ..rank };
    }
    let key = match rank.class {
        Class::Overdue => due(entry, state).0,
        _ => {
            let outlook = outlook(entry, state, rank.phase);
            descending(outlook.density(now, flow.drain_time()))
        }
    };
    let class = if rank.class == Class::Late { Class::InTime } else { rank.class };
    Rank { class, key, ..rank }
}

/// Returns a key by which the highest of several numbers that are not negative comes first.
const fn descending(number: f64) -> u64 {
    u64::MAX - number.to_bits()
}

/// Returns the time at which the occurrence was due.
pub(in crate::owner) fn due(entry: &JobEntry, state: &PhaseState) -> time::Timestamp {
    state.deadline - entry.objective
}

/// Returns what is known of the rest of an occurrence.
pub(in crate::owner) fn outlook(
    entry: &JobEntry,
    state: &PhaseState,
    phase: task::PhaseId,
) -> loss::Outlook {
    loss::Outlook {
        priority: entry.job.policy.priority,
        work: work_left(entry, phase),
        path: entry.critical_path(phase.phase),
        objective: entry.objective,
        deadline: state.deadline,
        error: ESTIMATE_ERROR,
    }
}

/// The relative error of declared durations, as the scale of a logistic distribution. The tasks of
/// `gl-emulate` take 0.6 to 1.5 times what they declare, a standard deviation of a quarter.
const ESTIMATE_ERROR: f64 = 0.14;

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
        f64::from(spec.count.saturating_sub(done)) * spec.task_work()
    };
    (0..).zip(&entry.job.phases).map(left).sum()
}
