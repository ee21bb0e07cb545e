//! Placement: decides which waiting tasks start, and on which workers.

use gl_model::time;

use super::adoption::{RunOrder, make_run};
use super::{
    Action, JobEntry, Note, Owner, PhaseState, Stage, Worker, advice, colocation, gang,
    interference, jobs, settings, unplaced,
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
    if skip.covers(job, spec) || !may_start(owner, phase, spec) {
        return;
    }
    let spec = spec.clone();
    if !advice::has_advice(owner, phase, now) {
        return;
    }
    if spec.gang {
        start_gang(owner, phase, now);
        return;
    }
    while let Some(index) = next_waiting(owner, phase) {
        let Some(worker) = find_worker(owner, phase, now) else {
            if let Some(entry) = owner.jobs.get(&phase.job) {
                skip.add(&entry.job, &spec);
            }
            return;
        };
        owner.last_attempt += 1;
        start(owner, phase, index, &worker, owner.last_attempt, now);
    }
    owner.open_phases.remove(&phase);
}

fn next_waiting(owner: &Owner, phase: task::PhaseId) -> Option<u32> {
    state_of(owner, phase)?.waiting.first().copied()
}

pub(super) fn state_of(owner: &Owner, phase: task::PhaseId) -> Option<&PhaseState> {
    owner.jobs.get(&phase.job)?.phases.get(&(phase.occurrence, phase.phase))
}

/// Returns whether the phase's tasks may start: no run of an earlier owner can exist, or the runs
/// of a task may overlap.
fn may_start(owner: &Owner, phase: task::PhaseId, spec: &job::Phase) -> bool {
    let is_inherited = owner.jobs.get(&phase.job).is_some_and(|entry| entry.is_inherited);
    !is_inherited || spec.speculative || !owner.is_recovering()
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
fn start(
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
        RunOrder { worker: worker.clone(), attempt, deadline, stage: Stage::Starting, image };
    let mut run = make_run(&description, order, now);
    run.checkpoint.clone_from(&checkpoint);
    owner.add_run(task, run);
    let estimate = description.estimate;
    owner.note(Note::Ordered { task, attempt, worker: worker.clone(), waited, estimate });
    let order = worker::StartOrder { task, attempt, spec, checkpoint, deadline, ticket };
    owner.actions.push(Action::Start { worker: worker.clone(), order });
}

/// Reserves capacity for a run that may be ordered later in the same pass.
pub(super) fn reserve(
    owner: &mut Owner,
    phase: task::PhaseId,
    index: u32,
    worker: &worker::WorkerId,
    now: time::Timestamp,
) {
    let spec = owner.jobs.get(&phase.job).and_then(|e| e.spec(phase.phase)).cloned();
    let Some(spec) = spec else { return };
    let order = RunOrder {
        worker: worker.clone(),
        attempt: 0,
        deadline: time::Timestamp::default(),
        stage: Stage::Starting,
        image: spec.image.as_deref().map(|name| owner.interference.intern(name)),
    };
    let run = make_run(&spec, order, now);
    owner.add_run(task::TaskId { phase, index }, run);
}

/// Releases the capacity that [`reserve()`] took.
pub(super) fn release(owner: &mut Owner, phase: task::PhaseId, index: u32) {
    let task = task::TaskId { phase, index };
    let Some(run) = owner.runs.remove(&task) else {
        return;
    };
    if let Some(worker) = owner.workers.get_mut(&run.worker) {
        worker.remove(task, &run);
    }
}

/// Returns whether any worker has capacity for one more task of the phase.
pub(super) fn can_place(owner: &Owner, phase: task::PhaseId, now: time::Timestamp) -> bool {
    find_worker(owner, phase, now).is_some()
}

/// Returns the best worker for a task of the phase, or `None` if it cannot be placed.
pub(super) fn find_worker(
    owner: &Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Option<worker::WorkerId> {
    let entry = owner.jobs.get(&phase.job)?;
    let spec = entry.spec(phase.phase)?;
    let state = state_of(owner, phase)?;
    let rack = sibling_rack(owner, phase, spec);
    let image = spec.image.as_deref().and_then(|name| owner.interference.find(name));
    let ignores_load = spec.best_effort && is_starved(owner, phase, state, now);
    let keeps_free = spec.long_running && is_free_share_reached(owner, &entry.job.service);
    let request = Request { phase, entry, spec, state, rack, image, ignores_load, keeps_free };
    let mut best: Option<(f64, &Worker)> = None;
    for worker in owner.workers.values() {
        if !is_possible(owner, &request, worker, now) {
            continue;
        }
        let score = score(owner, &request, worker);
        if best.is_none_or(|(highest, _)| score > highest) {
            best = Some((score, worker));
        }
    }
    best.map(|(_, worker)| worker.registration.id.clone())
}

/// A task for which a worker is sought.
pub(super) struct Request<'a> {
    pub phase: task::PhaseId,
    pub entry: &'a JobEntry,
    pub spec: &'a job::Phase,
    pub state: &'a PhaseState,
    pub rack: Option<String>,
    pub image: Option<interference::ImageId>,
    /// Whether the task starts on any worker with free capacity, without regard to idle processors
    /// and interference.
    pub ignores_load: bool,
    /// Whether the workers without long-running tasks are used only if no other worker has
    /// capacity.
    pub keeps_free: bool,
}

/// Returns whether the phase has waited for long and no task of its job is running.
fn is_starved(
    owner: &Owner,
    phase: task::PhaseId,
    state: &PhaseState,
    now: time::Timestamp,
) -> bool {
    let first = task::PhaseId { job: phase.job, occurrence: 0, phase: 0 };
    let last = task::PhaseId { job: phase.job, occurrence: u32::MAX, phase: u32::MAX };
    let from = task::TaskId { phase: first, index: 0 };
    let to = task::TaskId { phase: last, index: u32::MAX };
    now.since(state.since) > owner.settings.starvation_time
        && owner.runs.range(from..=to).next().is_none()
}

/// Returns the rack on which other tasks of the phase run, if the tasks should share a rack.
fn sibling_rack(owner: &Owner, phase: task::PhaseId, spec: &job::Phase) -> Option<String> {
    if !spec.rack_sensitive {
        return None;
    }
    let first = task::TaskId { phase, index: 0 };
    let last = task::TaskId { phase, index: u32::MAX };
    let has_sibling = |w: &&Worker| w.runs.range(first..=last).next().is_some();
    owner.workers.values().find(has_sibling).and_then(|w| w.registration.rack.clone())
}

fn is_possible(owner: &Owner, request: &Request<'_>, w: &Worker, now: time::Timestamp) -> bool {
    let settings = &owner.settings;
    let spec = request.spec;
    spec.reserved().fits_in(&w.free())
        && w.registration.service == request.entry.job.service
        && w.is_eligible(settings, now)
        && spec.label.as_ref().is_none_or(|label| w.registration.labels.contains(label))
        && spec.per_worker.is_none_or(|limit| siblings(w, request.phase) < limit as usize)
        && is_allowed(request, w, now)
        && (!spec.best_effort || colocation::can_add_best_effort(owner, request, w))
}

fn siblings(w: &Worker, phase: task::PhaseId) -> usize {
    let first = task::TaskId { phase, index: 0 };
    let last = task::TaskId { phase, index: u32::MAX };
    w.runs.range(first..=last).count()
}

fn is_allowed(request: &Request<'_>, w: &Worker, now: time::Timestamp) -> bool {
    if request.entry.job.advice.is_none() {
        return true;
    }
    let is_valid = matches!(request.state.advice, Some(jobs::Advice::ValidUntil(at)) if now < at);
    is_valid && request.state.tickets.contains_key(w.registration.id.0.as_str())
}

/// The share of workers that stay free of long-running tasks while others have capacity for them.
const FREE_SHARE: f64 = 0.08;
/// The malus of a worker without long-running tasks once no more than that share are left. It
/// outweighs all bonuses but that of a rack.
const LAST_FREE_MALUS: f64 = 8.0;

/// Returns whether no more than [`FREE_SHARE`] of a service's workers are free of long-running
/// tasks. These tasks hold their capacity for long. Spread over all workers, they would leave no
/// worker with enough free processors in one piece for a large short task.
fn is_free_share_reached(owner: &Owner, service: &str) -> bool {
    let of_service = owner.workers.values().filter(|w| w.registration.service == service);
    let (mut total, mut free) = (0_usize, 0_usize);
    for worker in of_service {
        total += 1;
        free += usize::from(worker.long_running_cores == 0);
    }
    free as f64 <= total as f64 * FREE_SHARE
}

/// The bonus of a worker on the preferred rack. It outweighs any difference in free capacity.
const RACK_BONUS: f64 = 10.0;

fn score(owner: &Owner, request: &Request<'_>, w: &Worker) -> f64 {
    let spec = request.spec;
    let total = (w.registration.size.cores as f64).max(1.0);
    let left = w.free().cores.saturating_sub(spec.size.cores) as f64;
    let capacity = if spec.best_effort {
        colocation::idle_cores(owner, w) / total
            - colocation::expected_interference(owner, request, w) * colocation::INTERFERENCE_WEIGHT
    } else if spec.long_running {
        let is_last_free = request.keeps_free && w.long_running_cores == 0;
        let malus = if is_last_free { LAST_FREE_MALUS } else { 0.0 };
        left / total + colocation::image_affinity(request, w) - malus
    } else {
        -left / total
    };
    let is_near = |rack: &Option<String>| rack.is_some() && *rack == w.registration.rack;
    let data_bonus = if is_near(&spec.data_rack) { RACK_BONUS } else { 0.0 };
    let rack_bonus = if is_near(&request.rack) { RACK_BONUS } else { 0.0 };
    capacity + data_bonus + rack_bonus
}
