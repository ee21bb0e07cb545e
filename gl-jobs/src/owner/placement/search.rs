//! The search for the worker on which a task starts.

use gl_model::time;

use crate::owner::{
    JobEntry, Owner, PhaseState, Worker, colocation, copies, distance, headroom, interference,
    order, preference, spread, state, untested,
};
use crate::{job, task, worker};

/// Returns whether any worker has capacity for one more task of the phase.
pub(in crate::owner) fn can_place(
    owner: &Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> bool {
    Candidates::default().find(owner, phase, now).is_some()
}

/// The workers for the tasks of one phase. The next task of the phase finds the same scores but for
/// the worker that got the one before it, so only that worker is assessed again.
#[derive(Default)]
pub(in crate::owner) struct Candidates {
    /// The conditions to which the scores apply; `None` before the first search.
    conditions: Option<Conditions>,
    /// The score of each worker, in the order of the table; `None` if the worker is not suitable.
    scores: Vec<Option<f64>>,
    /// The position of the worker that was found last.
    found: Option<usize>,
    /// Whether the worker is for a task that may crash it.
    is_trial: bool,
    /// Whether the tasks have run before and were interrupted.
    is_interrupted: bool,
}

/// What the scores of a phase depend on, apart from the state of the assessed worker.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::owner) struct Conditions {
    /// The rack on which other tasks of the phase run, if they should share one.
    pub rack: Option<String>,
    pub image: Option<interference::ImageId>,
    /// Whether the task starts on any worker with free capacity, without regard to idle processors
    /// and interference.
    pub ignores_load: bool,
    /// For a long-running task, how many workers are left without any.
    pub room: headroom::Room,
    /// For a best-effort task, the long-running images beside which enough runs of its image are on
    /// trial.
    pub crowded: Vec<interference::ImageId>,
    /// Whether the task may crash the worker.
    pub is_trial: bool,
    /// Whether the task has run before and was interrupted, so that it has to run again soon.
    pub is_interrupted: bool,
}

impl Candidates {
    /// Returns the workers for the tasks of a part of a phase.
    pub fn new(part: order::Part) -> Self {
        Self { is_interrupted: part == order::Part::Interrupted, ..Self::default() }
    }

    /// Returns the workers for a task that may crash the one on which it starts.
    pub fn for_trial() -> Self {
        Self { is_trial: true, ..Self::default() }
    }

    /// Returns the best worker for the next task of the phase, or `None` if it cannot be placed.
    /// Since the last call, only the worker found by it may have changed.
    pub fn find(
        &mut self,
        owner: &Owner,
        phase: task::PhaseId,
        now: time::Timestamp,
    ) -> Option<worker::WorkerId> {
        let entry = owner.jobs.get(&phase.job)?;
        let spec = entry.spec(phase.phase)?;
        let state = state::state_of(owner, phase)?;
        let common = conditions(owner, entry, phase, now)?;
        let (is_trial, is_interrupted) = (self.is_trial, self.is_interrupted);
        let conditions = Conditions { is_trial, is_interrupted, ..common };
        let request = Request { phase, entry, spec, state, conditions: &conditions };
        if self.conditions.as_ref() == Some(&conditions) {
            let changed = self.found.and_then(|n| Some((n, owner.workers.values().nth(n)?)));
            if let Some((n, worker)) = changed {
                self.scores[n] = assess(owner, &request, worker, now);
            }
        } else {
            let workers = owner.workers.values();
            self.scores = workers.map(|w| assess(owner, &request, w, now)).collect();
        }
        self.conditions = Some(conditions);
        let shares = spread::Shares::new(owner, phase, spec);
        self.found = if shares.is_empty() {
            first_highest(self.scores.iter().copied())
        } else {
            let workers = self.scores.iter().zip(owner.workers.values());
            first_highest(workers.map(|(score, w)| Some((*score)? - shares.malus(w))))
        };
        let worker = owner.workers.values().nth(self.found?)?;
        Some(worker.registration.id.clone())
    }
}

fn conditions(
    owner: &Owner,
    entry: &JobEntry,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Option<Conditions> {
    let spec = entry.spec(phase.phase)?;
    Some(Conditions {
        rack: shared_rack(owner, phase, spec, now),
        image: spec.image.as_deref().and_then(|name| owner.interference.find(name)),
        ignores_load: spec.best_effort && urgency(owner, phase, now) == Urgency::Starved,
        room: room_for(owner, entry, spec),
        crowded: untested::crowded(owner, &entry.job.service, spec),
        is_trial: false,
        is_interrupted: false,
    })
}

/// Returns whether a task of the phase may start on a worker that is held for it.
pub(in crate::owner) fn is_possible_on(
    owner: &Owner,
    phase: task::PhaseId,
    id: &worker::WorkerId,
    now: time::Timestamp,
) -> bool {
    let is_possible = || {
        let entry = owner.jobs.get(&phase.job)?;
        let spec = entry.spec(phase.phase)?;
        let state = state::state_of(owner, phase)?;
        let conditions = conditions(owner, entry, phase, now)?;
        let request = Request { phase, entry, spec, state, conditions: &conditions };
        Some(is_possible(owner, &request, owner.workers.get(id)?, now))
    };
    is_possible().unwrap_or_default()
}

/// Returns whether a task of the phase that can start on this worker only may start there. Interference is
/// reduced by CPU limits there.
pub(in crate::owner) fn may_start_on(
    owner: &Owner,
    phase: task::PhaseId,
    id: &worker::WorkerId,
    now: time::Timestamp,
) -> bool {
    let score = || {
        let entry = owner.jobs.get(&phase.job)?;
        let spec = entry.spec(phase.phase)?;
        let state = state::state_of(owner, phase)?;
        let common = conditions(owner, entry, phase, now)?;
        let conditions = Conditions { is_interrupted: true, ignores_load: true, ..common };
        let request = Request { phase, entry, spec, state, conditions: &conditions };
        assess(owner, &request, owner.workers.get(id)?, now)
    };
    score().is_some()
}

fn room_for(owner: &Owner, entry: &JobEntry, spec: &job::Phase) -> headroom::Room {
    if spec.long_running {
        headroom::room(owner, &entry.job.service)
    } else {
        headroom::Room::Ample
    }
}

/// Returns the position of the highest score, and of the first one among equals.
fn first_highest(scores: impl Iterator<Item = Option<f64>>) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (n, score) in scores.enumerate() {
        if let Some(score) = score.filter(|s| best.is_none_or(|(_, highest)| *s > highest)) {
            best = Some((n, score));
        }
    }
    best.map(|(n, _)| n)
}

/// A task for which a worker is sought.
pub(in crate::owner) struct Request<'a> {
    pub phase: task::PhaseId,
    pub entry: &'a JobEntry,
    pub spec: &'a job::Phase,
    pub state: &'a PhaseState,
    pub conditions: &'a Conditions,
}

/// How long the tasks of a phase have waited. The longer, the fewer limits hold for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::owner) enum Urgency {
    Recent,
    /// For longer than [`Settings::starvation_time`](crate::owner::Settings).
    Waiting,
    /// The same, and no task of the job is running.
    Starved,
}

/// Returns how long the tasks of a phase have waited.
pub(in crate::owner) fn urgency(
    owner: &Owner,
    phase: task::PhaseId,
    now: time::Timestamp,
) -> Urgency {
    match state::state_of(owner, phase) {
        Some(state) if has_waited(owner, state, now) => {
            if has_runs(owner, phase.job) {
                Urgency::Waiting
            } else {
                Urgency::Starved
            }
        }
        _ => Urgency::Recent,
    }
}

fn has_waited(owner: &Owner, state: &PhaseState, now: time::Timestamp) -> bool {
    now.since(state.since) > owner.settings.starvation_time
}

fn has_runs(owner: &Owner, job: task::JobId) -> bool {
    let first = task::PhaseId { job, occurrence: 0, phase: 0 };
    let last = task::PhaseId { job, occurrence: u32::MAX, phase: u32::MAX };
    let from = task::TaskId { phase: first, index: 0 };
    let to = task::TaskId { phase: last, index: u32::MAX };
    owner.runs.range(from..=to).next().is_some()
}

/// Returns the rack for the tasks of the phase, if they should share one.
fn shared_rack(
    owner: &Owner,
    phase: task::PhaseId,
    spec: &job::Phase,
    now: time::Timestamp,
) -> Option<String> {
    let chosen = || distance::roomiest_rack(owner, phase, spec, now);
    sibling_rack(owner, phase, spec).or_else(chosen)
}

/// Returns the rack on which other tasks of the phase run, if the tasks should share a rack.
pub(in crate::owner) fn sibling_rack(
    owner: &Owner,
    phase: task::PhaseId,
    spec: &job::Phase,
) -> Option<String> {
    if !spec.rack_sensitive {
        return None;
    }
    let first = task::TaskId { phase, index: 0 };
    let last = task::TaskId { phase, index: u32::MAX };
    let has_sibling = |w: &&Worker| w.runs.range(first..=last).next().is_some();
    owner.workers.values().find(has_sibling).and_then(|w| w.registration.rack.clone())
}

/// Returns the score of a worker for the requested task, or `None` if the task must not start there.
fn assess(owner: &Owner, request: &Request<'_>, w: &Worker, now: time::Timestamp) -> Option<f64> {
    let is_free = w.held_for.is_none() && is_possible(owner, request, w, now);
    let may_start = is_free && colocation::may_join(owner, request, w, now);
    may_start.then(|| score(owner, request, w, now))?
}

fn is_possible(owner: &Owner, request: &Request<'_>, w: &Worker, now: time::Timestamp) -> bool {
    is_suitable(owner, request.phase, request.entry, request.spec, w, now)
        && is_allowed(request, w, now)
}

/// Returns whether a worker can take one more task of the phase, if the queue's policy allows it.
pub(in crate::owner) fn is_suitable(
    owner: &Owner,
    phase: task::PhaseId,
    entry: &JobEntry,
    spec: &job::Phase,
    w: &Worker,
    now: time::Timestamp,
) -> bool {
    w.has_room(&spec.reserved())
        && w.registration.service == entry.job.service
        && w.is_eligible(&owner.settings, now)
        && may_take_more(owner, phase, w, now)
        && !copies::has_overtaken(owner, phase, w)
        && accepts(w, phase, spec)
}

/// Returns whether a worker has not reached the limit of its probation, or the tasks of the phase have waited
/// in vain for others: the limit protects from workers that fail what they start, and must not leave
/// capacity idle for long.
fn may_take_more(owner: &Owner, phase: task::PhaseId, w: &Worker, now: time::Timestamp) -> bool {
    let may_exceed =
        || state::state_of(owner, phase).is_some_and(|state| has_waited(owner, state, now));
    !preference::is_on_probation(owner, w) || may_exceed()
}

/// Returns whether a worker that `is_usable` could take a task of the phase in place of `w` if it had room.
fn has_alternative(
    owner: &Owner,
    request: &Request<'_>,
    w: &Worker,
    is_usable: impl Fn(&Worker) -> bool,
) -> bool {
    let (spec, entry) = (request.spec, request.entry);
    let could_take = |other: &Worker| {
        other.registration.id != w.registration.id
            && other.registration.service == entry.job.service
            && other.is_in_use()
            && spec.reserved().fits_in(&other.registration.size)
            && accepts(other, request.phase, spec)
            && is_usable(other)
    };
    owner.workers.values().any(could_take)
}

/// Returns whether a worker has what a task of the phase requires besides room.
fn accepts(w: &Worker, phase: task::PhaseId, spec: &job::Phase) -> bool {
    spec.label.as_ref().is_none_or(|label| w.registration.labels.contains(label))
        && spec.per_worker.is_none_or(|limit| siblings(w, phase) < limit as usize)
}

fn siblings(w: &Worker, phase: task::PhaseId) -> usize {
    let first = task::TaskId { phase, index: 0 };
    let last = task::TaskId { phase, index: u32::MAX };
    w.runs.range(first..=last).count()
}

fn is_allowed(request: &Request<'_>, w: &Worker, now: time::Timestamp) -> bool {
    request.entry.job.advice.is_none()
        || request.state.advice.ticket(&w.registration, now).is_some()
}

/// The malus of a worker without long-running tasks once few of them are left. It outweighs all
/// bonuses but that of a rack.
const LAST_FREE_MALUS: f64 = 8.0;

/// The malus of a held worker that has long-running tasks. It outweighs any difference in free capacity,
/// and is less than that of a worker without any.
const HELD_MALUS: f64 = 4.0;

/// The malus of a held worker for a short task, so that small ones leave its room to those that fit
/// nowhere else. It outweighs any difference in free capacity.
const SHORT_HELD_MALUS: f64 = 1.0;

/// The malus of a worker with long-running tasks for a task that may crash it.
const TRIAL_MALUS: f64 = 8.0;

/// The bonus of a worker on the preferred rack. It outweighs any difference in free capacity.
const RACK_BONUS: f64 = 10.0;

/// Returns the malus of a worker for a long-running task, as short tasks need its room; `None` if it is
/// held for them. They can use other workers in its place if the long-running task cannot.
fn room_malus(owner: &Owner, request: &Request<'_>, w: &Worker) -> Option<f64> {
    let conditions = request.conditions;
    let is_kept = w.is_held && !conditions.is_interrupted;
    if is_kept && has_alternative(owner, request, w, |other| !other.is_held) {
        return None;
    }
    let is_free = w.long_running_cores == 0;
    Some(if is_free && (w.is_held || conditions.room == headroom::Room::Scarce) {
        LAST_FREE_MALUS
    } else if w.is_held {
        HELD_MALUS
    } else {
        0.0
    })
}

fn score(owner: &Owner, request: &Request<'_>, w: &Worker, now: time::Timestamp) -> Option<f64> {
    let spec = request.spec;
    let total = (w.registration.size.cores as f64).max(1.0);
    let left = w.free().cores.saturating_sub(spec.size.cores) as f64;
    let capacity = if spec.best_effort {
        colocation::best_effort_score(owner, request, w)?
    } else if spec.long_running {
        left / total + colocation::image_affinity(request, w) - room_malus(owner, request, w)?
    } else if request.conditions.is_trial {
        left / total
    } else {
        let malus = if w.is_held { SHORT_HELD_MALUS } else { 0.0 };
        -left / total - malus
    };
    let has_users = request.conditions.is_trial && w.long_running_cores > 0;
    let trial_malus = if has_users { TRIAL_MALUS } else { 0.0 };
    let knows_distance = owner.settings.remote_factor > 1.0 && !spec.long_running;
    let is_near =
        |rack: &Option<String>| !knows_distance && rack.is_some() && *rack == w.registration.rack;
    let data_bonus = if is_near(&spec.data_rack) { RACK_BONUS } else { 0.0 };
    let rack_bonus = if is_near(&request.conditions.rack) { RACK_BONUS } else { 0.0 };
    let malus = preference::malus(owner, request, w, now) + trial_malus;
    Some(capacity + data_bonus + rack_bonus - malus)
}
