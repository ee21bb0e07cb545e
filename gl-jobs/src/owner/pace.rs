//! Keeps tasks that fill in from harming the lasting tasks beside them: they are moved to where
//! they do no harm, or slowed down where they are.

use gl_model::time;

use super::{Action, Note, Owner, Run, StopReason, interference, place, room, run};
use crate::{task, worker};

/// The steps of a run's pace, in percent.
const STEPS: [u32; 4] = [0, 20, 50, run::FULL_PACE];
/// How much a new measurement of the lasting tasks' use counts.
const USE_WEIGHT: f64 = 0.3;
/// The share of the processors that fill tasks ask for below which the worker is saturated.
/// Tasks that aren't held back use two thirds of what they declare, or more.
const SATURATED: f64 = 0.55;
/// The share of the most harmful image's contribution from which on another image's tasks count
/// as harmful too.
const ACCOMPLICE: f64 = 0.3;
/// The probability of harm from which on a pair of images is suspected: twice that of a pair that
/// nothing is known of, so that the first window with harm makes it suspected.
const SUSPECTED: f64 = 0.1;
/// The multiple of its target over which a lasting task is harmed.
const OVER: f64 = 1.0;

/// Runs the system for a worker that has just answered a look.
pub fn run(owner: &mut Owner, id: &worker::WorkerId, now: time::Timestamp) {
    let Some(seen) = survey(owner, id, now) else {
        return;
    };
    learn_use(owner, id, &seen);
    learn_harm(owner, id, &seen, now);
    let settings = owner.settings;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    worker.tail_ratio = seen.tail_ratio;
    worker.exceeded_since =
        if seen.tail_ratio > OVER { worker.exceeded_since.or(Some(now)) } else { None };
    let over = worker.exceeded_since.map_or(time::Span::ZERO, |at| now.since(at));
    let urgency = if over >= settings.prolonged_after {
        Urgency::Long
    } else if over >= settings.persistent_after {
        Urgency::Persistent
    } else {
        Urgency::Brief
    };
    let since = now.since(worker.throttled_at);
    if seen.tail_ratio > settings.ratio_high && since >= settings.throttle_interval {
        relieve(owner, id, &seen, urgency, now);
    } else if seen.tail_ratio < settings.ratio_high && since >= settings.unthrottle_interval {
        speed_up(owner, id, &seen, now);
    }
    for fill in &seen.fills {
        confirm_pace(owner, *fill, now);
    }
}

/// What a look shows of a worker's lasting and fill tasks.
#[derive(Default)]
struct Survey {
    /// The highest tail, as a multiple of its target.
    tail_ratio: f64,
    lasting: Vec<Tail>,
    fills: Vec<task::TaskId>,
    uses: Vec<interference::CpuUse>,
    /// What runs that nothing holds back use of their declared processors.
    free_uses: Vec<interference::CpuUse>,
    wanted: f64,
    filled: f64,
    batch: f64,
}

/// The highest tail of a lasting image's tasks, as a multiple of its target.
struct Tail {
    image: interference::ImageId,
    tail_ratio: f64,
}

fn survey(owner: &Owner, id: &worker::WorkerId, now: time::Timestamp) -> Option<Survey> {
    let worker = owner.workers.get(id)?;
    let warm_up = owner.settings.warm_up;
    let all = (worker.registration.size.cores as f64).max(1.0);
    let mut seen = Survey::default();
    for task in &worker.runs {
        let Some(run) = owner.runs.get(task) else {
            continue;
        };
        match run.kind {
            run::Kind::LongRunning => {
                let tail_ratio = tail_ratio_of(run);
                seen.tail_ratio = seen.tail_ratio.max(tail_ratio);
                if let Some(image) = run.image.filter(|_| tail_ratio > 0.0) {
                    note_tail(&mut seen.lasting, image, tail_ratio);
                }
            }
            run::Kind::Batch => seen.batch += run.load,
            run::Kind::BestEffort => {
                if run.is_running() {
                    seen.fills.push(*task);
                }
                seen.filled += run.load;
                let is_warm = now.since(run.since) >= warm_up;
                let asked = if is_warm { run.cores as f64 } else { run.load };
                seen.wanted += asked * f64::from(run.cpu_limit) / run::WHOLE;
                if let Some(image) = run.image {
                    add_use(&mut seen.uses, image, run.load / all);
                    if is_warm && run.cpu_limit == run::FULL_PACE && run.progress < run::WHOLE {
                        let share = run.load / (run.cores as f64).max(1.0);
                        seen.free_uses.push(interference::CpuUse { image, share });
                    }
                }
            }
        }
    }
    Some(seen)
}

/// Keeps the highest tail of each image.
fn note_tail(tails: &mut Vec<Tail>, image: interference::ImageId, tail_ratio: f64) {
    match tails.iter_mut().find(|known| known.image == image) {
        Some(known) => known.tail_ratio = known.tail_ratio.max(tail_ratio),
        None => tails.push(Tail { image, tail_ratio }),
    }
}

fn add_use(uses: &mut Vec<interference::CpuUse>, image: interference::ImageId, share: f64) {
    match uses.iter_mut().find(|known| known.image == image) {
        Some(known) => known.share += share,
        None => uses.push(interference::CpuUse { image, share }),
    }
}

fn tail_ratio_of(run: &Run) -> f64 {
    let is_at_work = run.is_running() && run.progress >= run::WHOLE;
    match run.tail_target {
        Some(tail) if is_at_work && tail > 0.0 => run.load / tail,
        _ => 0.0,
    }
}

/// Corrects the estimate of the processors that the worker's lasting tasks use: exact when the
/// fill tasks get less than they ask for, else an upper bound.
fn learn_use(owner: &mut Owner, id: &worker::WorkerId, seen: &Survey) {
    let prior = owner.settings.assumed_use;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    if worker.long_running_cores == 0 {
        return;
    }
    let rest = worker.registration.size.cores as f64 - seen.batch - seen.filled;
    let bound = (rest / worker.long_running_cores as f64).clamp(0.0, 1.0);
    let is_saturated = seen.wanted > 0.0 && seen.filled < seen.wanted * SATURATED;
    if is_saturated {
        worker.cpu_use += (bound - worker.cpu_use) * USE_WEIGHT;
    } else {
        worker.cpu_use = worker.cpu_use.min(bound);
        worker.cpu_use += (prior.min(bound) - worker.cpu_use) * USE_WEIGHT / 2.0;
    }
}

/// Learns from the tails, once in the time that a tail is measured over.
fn learn_harm(owner: &mut Owner, id: &worker::WorkerId, seen: &Survey, now: time::Timestamp) {
    let interval = owner.settings.load_window;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    if seen.uses.is_empty() || now.since(worker.observed_at) < interval {
        return;
    }
    worker.observed_at = now;
    for tail in &seen.lasting {
        owner.interference.observe(tail.image, tail.tail_ratio, &seen.uses);
    }
    for used in &seen.free_uses {
        owner.interference.observe_cpu_use(used.image, used.share);
    }
}

/// How long a lasting task has been over its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Not yet, or for a moment: only suspected images are slowed.
    Brief,
    /// For some time: those that may add most are slowed, suspected or not.
    Persistent,
    /// For too long: all stand still.
    Long,
}

/// Takes what is suspected to harm the hottest lasting task away from the worker, or slows it
/// down. Where the task stays over its target, so is what may add to that.
fn relieve(
    owner: &mut Owner,
    id: &worker::WorkerId,
    seen: &Survey,
    urgency: Urgency,
    now: time::Timestamp,
) {
    let Some(hottest) = seen.lasting.iter().max_by(|a, b| a.tail_ratio.total_cmp(&b.tail_ratio))
    else {
        return;
    };
    let share_of = |image: interference::ImageId| {
        seen.uses.iter().find(|used| used.image == image).map_or(0.0, |used| used.share)
    };
    let blame =
        |run: &Run| run.image.map_or(0.0, |i| owner.interference.probability(hottest.image, i));
    let culprit = |task: &task::TaskId| {
        let run = owner.runs.get(task)?;
        let is_suspected = blame(run) >= SUSPECTED;
        let part = blame(run) * run.image.map_or(0.0, share_of);
        (is_suspected || urgency > Urgency::Brief).then_some(Culprit {
            task: *task,
            is_suspected,
            part,
        })
    };
    let culprits: Vec<_> = seen.fills.iter().filter_map(culprit).collect();
    let worst = culprits.iter().map(|culprit| culprit.part).fold(0.0, f64::max);
    let least = if urgency == Urgency::Long { 0.0 } else { worst * ACCOMPLICE };
    let mut percent = None;
    for culprit in culprits.iter().filter(|culprit| culprit.part >= least) {
        let pace = slow_or_move(owner, culprit, urgency, now);
        percent = Some(percent.unwrap_or(pace).min(pace));
    }
    let Some(percent) = percent else { return };
    if let Some(worker) = owner.workers.get_mut(id) {
        worker.throttled_at = now;
    }
    let tail_ratio = seen.tail_ratio;
    owner.note(Note::Throttled { worker: id.clone(), percent, tail_ratio });
}

/// A run that may harm a lasting task.
struct Culprit {
    task: task::TaskId,
    /// Whether its image is suspected, or only present.
    is_suspected: bool,
    /// How much it is taken to add to the harm.
    part: f64,
}

/// Moves a run that saves checkpoints and finds another place; else slows it down by a step.
/// Returns its new pace.
fn slow_or_move(
    owner: &mut Owner,
    culprit: &Culprit,
    urgency: Urgency,
    now: time::Timestamp,
) -> u32 {
    let task = culprit.task;
    let limit = owner.settings.pause_limit;
    let Some(run) = owner.runs.get(&task) else {
        return run::FULL_PACE;
    };
    let can_move = run.checkpointing && now.since(run.since) >= owner.settings.warm_up;
    let is_held = run.wanted_limit == 0 && now.since(run.progressed_at) > limit;
    if is_held || (can_move && place::has_place(owner, task.phase, now)) {
        owner.stop(task, StopReason::Interference, now);
        return 0;
    }
    let Some(run) = owner.runs.get_mut(&task) else {
        return run::FULL_PACE;
    };
    run.wanted_limit = step_down(run.wanted_limit);
    if urgency == Urgency::Long {
        run.wanted_limit = 0;
    } else if !culprit.is_suspected {
        // The time that the other steps take has passed already.
        run.wanted_limit = run.wanted_limit.min(STEPS[1]);
    }
    run.wanted_limit
}

/// Lets the runs go on that were slowed down, by a step: those that are suspected to harm only
/// while all lasting tasks are far below their targets.
fn speed_up(owner: &mut Owner, id: &worker::WorkerId, seen: &Survey, now: time::Timestamp) {
    let is_calm = seen.tail_ratio < owner.settings.ratio_low;
    let mut percent = run::FULL_PACE;
    let mut is_changed = false;
    for task in &seen.fills {
        if !is_calm && is_suspected(owner, id, *task) {
            continue;
        }
        let Some(run) = owner.runs.get_mut(task) else {
            continue;
        };
        if run.wanted_limit < run::FULL_PACE {
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
    let tail_ratio = seen.tail_ratio;
    owner.note(Note::Throttled { worker: id.clone(), percent, tail_ratio });
}

/// Whether a run's image is suspected to harm any of the worker's lasting tasks.
fn is_suspected(owner: &Owner, id: &worker::WorkerId, task: task::TaskId) -> bool {
    let image = owner.runs.get(&task).and_then(|run| run.image);
    let Some((image, worker)) = image.zip(owner.workers.get(id)) else {
        return false;
    };
    let harms =
        |load: &room::ImageCores| owner.interference.probability(load.image, image) >= SUSPECTED;
    worker.long_running_images.iter().any(harms)
}

fn step_down(pace: u32) -> u32 {
    STEPS.iter().rev().copied().find(|step| *step < pace).unwrap_or(0)
}

fn step_up(pace: u32) -> u32 {
    STEPS.iter().copied().find(|step| *step > pace).unwrap_or(run::FULL_PACE)
}

/// Orders the pace unless the worker confirmed it. A run that should work and uses nothing may
/// have got an earlier order late, so it is told again.
fn confirm_pace(owner: &mut Owner, task: task::TaskId, now: time::Timestamp) {
    let warm_up = owner.settings.warm_up;
    let Some(run) = owner.runs.get_mut(&task).filter(|run| run.is_running()) else {
        return;
    };
    let is_full = run.wanted_limit == run::FULL_PACE;
    let is_idle = is_full && run.load <= 0.0 && run.was_throttled && now.since(run.since) > warm_up;
    if run.cpu_limit == run.wanted_limit && !is_idle {
        return;
    }
    run.was_throttled = true;
    let (worker, attempt, percent) = (run.worker.clone(), run.attempt, run.wanted_limit);
    owner.actions.push(Action::Throttle { worker, task, attempt, percent });
}
