//! Protection of long-running tasks from best-effort tasks on the same worker: best-effort tasks
//! that interfere are moved to another worker, or their CPU limit is reduced.

use gl_model::time;

use crate::owner::colocation::{forecasts, impact};
use crate::owner::{
    Action, Note, Owner, Run, StopReason, advice, interference, pressure, runs, workers,
};
use crate::{task, worker};

/// The CPU limits that are used, in percent.
const LIMIT_STEPS: [u32; 4] = [0, 20, 50, runs::NO_LIMIT];
/// The weight of a new measurement in the estimate of the long-running tasks' processor use.
const CPU_USE_WEIGHT: f64 = 0.3;
/// The share of the processors requested by best-effort tasks below which the worker counts as
/// saturated. Without a shortage of processors, tasks use at least two thirds of what they declare.
const SATURATED_SHARE: f64 = 0.55;
/// The share of the largest contribution at or above which the tasks of other images are throttled
/// too.
const CONTRIBUTING_SHARE: f64 = 0.3;
/// The probability of interference at or above which an image counts as contributing. It is twice
/// the probability of an unknown pair, so that the first window with interference reaches it.
const CONTRIBUTING_PROBABILITY: f64 = 0.1;
/// The tail ratio above which a long-running task exceeds its target.
const EXCEEDED_RATIO: f64 = 1.0;

/// Protects the long-running tasks of a worker that has just replied to a poll.
pub fn run(owner: &mut Owner, id: &worker::WorkerId, now: time::Timestamp) {
    let Some(measured) = measure(owner, id, now) else {
        return;
    };
    impact::count_windows(owner, id, now);
    forecasts::update(owner, id, now);
    update_cpu_use(owner, id, &measured);
    update_model(owner, id, &measured, now);
    if owner.settings.predicts_tail {
        let level =
            |tail: &ImageTail| pressure::Level { image: tail.image, ratio: tail.tail_ratio };
        let levels = measured.long_running.iter().map(level).collect();
        pressure::observe(owner, id, levels, &measured.cpu_uses, now);
    }
    let settings = owner.settings;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    worker.tail_ratio = measured.tail_ratio;
    worker.exceeded_since = if measured.tail_ratio > EXCEEDED_RATIO {
        worker.exceeded_since.or(Some(now))
    } else {
        None
    };
    let exceeded_for = worker.exceeded_since.map_or(time::Span::ZERO, |at| now.since(at));
    let severity = if exceeded_for >= settings.prolonged_after {
        Severity::Prolonged
    } else if exceeded_for >= settings.persistent_after {
        Severity::Persistent
    } else {
        Severity::Transient
    };
    let since = now.since(worker.throttled_at);
    if measured.tail_ratio > settings.ratio_high && since >= settings.throttle_interval {
        mitigate(owner, id, &measured, severity, now);
    } else if measured.tail_ratio < settings.ratio_high && since >= settings.unthrottle_interval {
        unthrottle(owner, id, &measured, now);
    }
    for task in &measured.best_effort {
        enforce_limit(owner, *task, now);
    }
}

/// The state of a worker's long-running and best-effort tasks, as reported by a poll.
#[derive(Default)]
struct Measurement {
    /// The highest tail ratio of the long-running tasks.
    tail_ratio: f64,
    long_running: Vec<ImageTail>,
    /// The best-effort tasks that run and were not ordered to stop.
    best_effort: Vec<task::TaskId>,
    /// The processor use of each best-effort image.
    cpu_uses: Vec<interference::CpuUse>,
    /// The images of runs with reduced CPU limits.
    throttled: Vec<interference::ImageId>,
    /// The share of its declared processors that each unthrottled run uses.
    unthrottled_uses: Vec<interference::CpuUse>,
    /// The processors that best-effort tasks request within their CPU limits, in thousandths of a
    /// core.
    requested_load: f64,
    best_effort_load: f64,
    batch_load: f64,
}

/// The highest tail ratio among the tasks of a long-running image.
struct ImageTail {
    image: interference::ImageId,
    tail_ratio: f64,
}

fn measure(owner: &Owner, id: &worker::WorkerId, now: time::Timestamp) -> Option<Measurement> {
    let worker = owner.workers.get(id)?;
    let warm_up = owner.settings.warm_up;
    let total = (worker.registration.size.cores as f64).max(1.0);
    let mut measured = Measurement::default();
    for task in &worker.runs {
        let Some(run) = owner.runs.get(task) else {
            continue;
        };
        match run.kind {
            runs::Kind::LongRunning => {
                let tail_ratio = run.tail_ratio();
                measured.tail_ratio = measured.tail_ratio.max(tail_ratio);
                if let Some(image) = run.image.filter(|_| tail_ratio > 0.0) {
                    record_tail(&mut measured.long_running, image, tail_ratio);
                }
            }
            runs::Kind::Batch => measured.batch_load += run.load,
            runs::Kind::BestEffort => {
                if run.is_running() {
                    measured.best_effort.push(*task);
                }
                measured.best_effort_load += run.load;
                let is_warm = now.since(run.since) >= warm_up;
                let requested = if is_warm { run.cores as f64 } else { run.load };
                measured.requested_load +=
                    requested * f64::from(run.cpu_limit) / runs::FULL_PERCENT;
                if let Some(image) = run.image {
                    add_use(&mut measured.cpu_uses, image, run.load / total);
                    if run.cpu_limit < runs::NO_LIMIT {
                        measured.throttled.push(image);
                    }
                    if is_warm
                        && run.cpu_limit == runs::NO_LIMIT
                        && run.progress < runs::FULL_PERCENT
                    {
                        let share = run.load / (run.cores as f64).max(1.0);
                        measured.unthrottled_uses.push(interference::CpuUse { image, share });
                    }
                }
            }
        }
    }
    Some(measured)
}

/// Keeps the highest tail ratio of each image.
fn record_tail(tails: &mut Vec<ImageTail>, image: interference::ImageId, tail_ratio: f64) {
    match tails.iter_mut().find(|existing| existing.image == image) {
        Some(existing) => existing.tail_ratio = existing.tail_ratio.max(tail_ratio),
        None => tails.push(ImageTail { image, tail_ratio }),
    }
}

fn add_use(cpu_uses: &mut Vec<interference::CpuUse>, image: interference::ImageId, share: f64) {
    match cpu_uses.iter_mut().find(|existing| existing.image == image) {
        Some(existing) => existing.share += share,
        None => cpu_uses.push(interference::CpuUse { image, share }),
    }
}

/// Updates the estimate of the processors that the worker's long-running tasks use. The measurement
/// is exact if the best-effort tasks get less than they request, and an upper bound otherwise.
fn update_cpu_use(owner: &mut Owner, id: &worker::WorkerId, measured: &Measurement) {
    let prior = owner.settings.assumed_use;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    if worker.long_running_cores == 0 {
        return;
    }
    let remaining =
        worker.registration.size.cores as f64 - measured.batch_load - measured.best_effort_load;
    let bound = (remaining / worker.long_running_cores as f64).clamp(0.0, 1.0);
    let is_saturated = measured.requested_load > 0.0
        && measured.best_effort_load < measured.requested_load * SATURATED_SHARE;
    if is_saturated {
        worker.cpu_use += (bound - worker.cpu_use) * CPU_USE_WEIGHT;
    } else {
        worker.cpu_use = worker.cpu_use.min(bound);
        worker.cpu_use += (prior.min(bound) - worker.cpu_use) * CPU_USE_WEIGHT / 2.0;
    }
}

/// Updates the interference model, once per measurement window.
fn update_model(
    owner: &mut Owner,
    id: &worker::WorkerId,
    measured: &Measurement,
    now: time::Timestamp,
) {
    let interval = owner.settings.load_window;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    if measured.cpu_uses.is_empty() || now.since(worker.observed_at) < interval {
        return;
    }
    worker.observed_at = now;
    let mut undisturbed = measured.cpu_uses.clone();
    if owner.settings.colocation.skips_throttled {
        undisturbed.retain(|used| !measured.throttled.contains(&used.image));
    }
    for tail in &measured.long_running {
        let is_exceeded = tail.tail_ratio >= EXCEEDED_RATIO;
        let present = if is_exceeded { &measured.cpu_uses } else { &undisturbed };
        owner.interference.observe(tail.image, tail.tail_ratio, present);
    }
    for used in &measured.unthrottled_uses {
        owner.interference.observe_cpu_use(used.image, used.share);
    }
}

/// The severity of interference, by the time for which a long-running task has exceeded its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Severity {
    /// The target is not exceeded, or was exceeded only recently: only contributing images are
    /// throttled.
    Transient,
    /// The target has been exceeded for some time: the images with the largest estimated
    /// contribution are throttled, whether or not they are known to interfere.
    Persistent,
    /// The target has been exceeded for too long: all best-effort tasks are paused.
    Prolonged,
}

/// Moves or throttles the runs that are likely to interfere with the long-running image whose tail
/// ratio is highest. If that image stays over its target, runs of other images are included.
fn mitigate(
    owner: &mut Owner,
    id: &worker::WorkerId,
    measured: &Measurement,
    severity: Severity,
    now: time::Timestamp,
) {
    let Some(worst_tail) =
        measured.long_running.iter().max_by(|a, b| a.tail_ratio.total_cmp(&b.tail_ratio))
    else {
        return;
    };
    let share_of = |image: interference::ImageId| {
        measured.cpu_uses.iter().find(|used| used.image == image).map_or(0.0, |used| used.share)
    };
    let probability_of =
        |run: &Run| run.image.map_or(0.0, |i| owner.interference.probability(worst_tail.image, i));
    let candidate = |task: &task::TaskId| {
        let run = owner.runs.get(task)?;
        let is_contributing = probability_of(run) >= CONTRIBUTING_PROBABILITY;
        let contribution = probability_of(run) * run.image.map_or(0.0, share_of);
        (is_contributing || severity > Severity::Transient).then_some(Candidate {
            task: *task,
            is_contributing,
            contribution,
        })
    };
    let candidates: Vec<_> = measured.best_effort.iter().filter_map(candidate).collect();
    let largest = candidates.iter().map(|candidate| candidate.contribution).fold(0.0, f64::max);
    let threshold =
        if severity == Severity::Prolonged { 0.0 } else { largest * CONTRIBUTING_SHARE };
    let mut percent = None;
    for candidate in candidates.iter().filter(|candidate| candidate.contribution >= threshold) {
        let limit = throttle_or_move(owner, candidate, severity, now);
        percent = Some(percent.unwrap_or(limit).min(limit));
    }
    let Some(percent) = percent else { return };
    if let Some(worker) = owner.workers.get_mut(id) {
        worker.throttled_at = now;
    }
    let tail_ratio = measured.tail_ratio;
    owner.note(Note::Throttled { worker: id.clone(), percent, tail_ratio });
}

/// A run that may interfere with a long-running task.
struct Candidate {
    task: task::TaskId,
    /// Whether its image is likely to interfere, as opposed to being merely present.
    is_contributing: bool,
    /// The estimated contribution to the interference.
    contribution: f64,
}

/// Stops a run so that it moves, if it saves checkpoints and another worker has capacity for it, or
/// if it was paused for too long. Otherwise reduces its CPU limit by a step. Returns the new limit.
fn throttle_or_move(
    owner: &mut Owner,
    candidate: &Candidate,
    severity: Severity,
    now: time::Timestamp,
) -> u32 {
    let task = candidate.task;
    let pause_limit = owner.settings.pause_limit;
    let Some(run) = owner.runs.get(&task) else {
        return runs::NO_LIMIT;
    };
    let can_move = run.checkpointing && now.since(run.since) >= owner.settings.warm_up;
    let is_paused = run.wanted_limit == 0 && now.since(run.progressed_at) > pause_limit;
    // Its task could start nowhere else.
    let is_bound = run.orders.may_arrive(now);
    let should_move = is_paused || (can_move && advice::can_place(owner, task.phase, now));
    if should_move && !is_bound {
        impact::count_stop(owner, task);
        owner.stop(task, StopReason::Interference, now);
        return 0;
    }
    let Some(run) = owner.runs.get_mut(&task) else {
        return runs::NO_LIMIT;
    };
    run.wanted_limit = step_down(run.wanted_limit);
    if severity == Severity::Prolonged {
        run.wanted_limit = 0;
    } else if !candidate.is_contributing {
        // The time that the other steps would take has already passed.
        run.wanted_limit = run.wanted_limit.min(LIMIT_STEPS[1]);
    }
    run.wanted_limit
}

/// Raises the CPU limits of throttled runs by a step. Runs of images that are likely to interfere
/// are included only while all long-running tasks are far below their targets.
fn unthrottle(
    owner: &mut Owner,
    id: &worker::WorkerId,
    measured: &Measurement,
    now: time::Timestamp,
) {
    let is_below_low = measured.tail_ratio < owner.settings.ratio_low;
    let mut percent = runs::NO_LIMIT;
    let mut is_changed = false;
    for task in &measured.best_effort {
        if !is_below_low && may_interfere(owner, id, *task) {
            continue;
        }
        let Some(run) = owner.runs.get_mut(task) else {
            continue;
        };
        if run.wanted_limit < runs::NO_LIMIT {
            run.wanted_limit = step_up(run.wanted_limit);
            percent = percent.min(run.wanted_limit);
            is_changed = true;
        }
    }
    if !is_changed {
        return;
    }
    if let Some(worker) = owner.workers.get_mut(id) {
        worker.throttled_at = now;
    }
    let tail_ratio = measured.tail_ratio;
    owner.note(Note::Throttled { worker: id.clone(), percent, tail_ratio });
}

/// Returns whether a run's image is likely to interfere with any of the worker's long-running
/// tasks.
fn may_interfere(owner: &Owner, id: &worker::WorkerId, task: task::TaskId) -> bool {
    let image = owner.runs.get(&task).and_then(|run| run.image);
    let Some((image, worker)) = image.zip(owner.workers.get(id)) else {
        return false;
    };
    let interferes = |entry: &workers::ImageCores| {
        owner.interference.probability(entry.image, image) >= CONTRIBUTING_PROBABILITY
    };
    worker.long_running_images.iter().any(interferes)
}

fn step_down(limit: u32) -> u32 {
    LIMIT_STEPS.iter().rev().copied().find(|step| *step < limit).unwrap_or(0)
}

fn step_up(limit: u32) -> u32 {
    LIMIT_STEPS.iter().copied().find(|step| *step > limit).unwrap_or(runs::NO_LIMIT)
}

/// Orders the CPU limit of a run unless the worker has confirmed it. The order is repeated for a
/// run that should be unthrottled and uses no processor time, because an earlier order may have
/// been carried out late.
fn enforce_limit(owner: &mut Owner, task: task::TaskId, now: time::Timestamp) {
    let warm_up = owner.settings.warm_up;
    let Some(run) = owner.runs.get_mut(&task).filter(|run| run.is_running()) else {
        return;
    };
    let is_unlimited = run.wanted_limit == runs::NO_LIMIT;
    let is_idle =
        is_unlimited && run.load <= 0.0 && run.was_throttled && now.since(run.since) > warm_up;
    if run.cpu_limit == run.wanted_limit && !is_idle {
        return;
    }
    run.was_throttled = true;
    let (worker, attempt, percent) = (run.worker.clone(), run.attempt, run.wanted_limit);
    impact::count_limit(owner, &worker);
    owner.actions.push(Action::Throttle { worker, task, attempt, percent });
}
