//! How long a task is expected to take on a worker, relative to the median worker: the worker's
//! speed, the risk that the task has to run again, the time for which the worker is cold, and the
//! distance to the task's data.

use gl_model::time;

use crate::job;
use crate::owner::search::Request;
use crate::owner::{Owner, Worker};

/// The expected extra time, as a share of the duration, that makes no difference. It covers the
/// errors of the estimates, so that healthy workers are chosen by their free capacity alone.
const TOLERANCE: f64 = 0.25;
/// The malus of a worker on which a task is expected to take twice its duration. It outweighs any
/// difference in free capacity.
const WEIGHT: f64 = 4.0;
/// The durations that a failed run costs: its own, and the risk for the job of losing one of its
/// few attempts.
const FAILURE_COST: f64 = 3.0;
/// The time until a run that ended with its worker starts again: a lease.
const RESTART_TIME: time::Span = time::Span::seconds(6);
/// The running time for which the risk of a long-running task is assessed.
const LONG_RUNNING_TIME: time::Span = time::Span::seconds(10);
/// The shortest duration to which a restart is compared.
const MIN_DURATION: time::Span = time::Span::millis(200);

/// Returns the malus of a worker for the requested task.
pub(in crate::owner) fn malus(
    owner: &Owner,
    request: &Request<'_>,
    w: &Worker,
    now: time::Timestamp,
) -> f64 {
    let spec = request.spec;
    let length = slowness(owner, spec, w, now);
    let extra = (length - 1.0) + risk_cost(owner, spec, w, now);
    let certain = if extra > TOLERANCE { extra } else { 0.0 };
    let remote = owner.settings.remote_factor - 1.0;
    let distance = if remote > 0.0 && !spec.long_running && is_remote(request, w) {
        remote * length
    } else {
        0.0
    };
    (certain + distance) * WEIGHT
}

fn is_remote(request: &Request<'_>, w: &Worker) -> bool {
    let is_away = |rack: &Option<String>| rack.is_some() && *rack != w.registration.rack;
    is_away(&request.spec.data_rack) || is_away(&request.conditions.rack)
}

/// Returns the factor by which a task takes longer than on the median worker. Long-running tasks have
/// no duration.
pub(in crate::owner) fn slowness(
    owner: &Owner,
    spec: &job::Phase,
    w: &Worker,
    now: time::Timestamp,
) -> f64 {
    if spec.long_running {
        return 1.0;
    }
    let settings = &owner.settings;
    let by_speed = if settings.uses_estimates { w.record.slowness(now).lower().exp() } else { 1.0 };
    by_speed * cold_factor(settings.cold_factor, spec.estimate, w.cold_until.since(now))
}

/// Returns the factor by which a task of the given duration takes longer on a worker that is cold
/// for the time `left`, and slower by `factor` during it.
fn cold_factor(factor: f64, duration: time::Span, left: time::Span) -> f64 {
    if left == time::Span::ZERO || factor <= 1.0 {
        return 1.0;
    }
    let (duration, left) = (duration.max(MIN_DURATION).as_seconds(), left.as_seconds());
    let done_cold = (left / factor).min(duration);
    (done_cold * factor + duration - done_cold) / duration
}

/// Returns the expected cost of runs that fail or end with the worker, in durations of the task.
fn risk_cost(owner: &Owner, spec: &job::Phase, w: &Worker, now: time::Timestamp) -> f64 {
    if !owner.settings.uses_estimates {
        return 0.0;
    }
    let duration = if spec.long_running { LONG_RUNNING_TIME } else { spec.estimate };
    let seconds = duration.max(MIN_DURATION).as_seconds();
    let lost = 1.0 - (-w.record.flap_rate(now).lower() * seconds).exp();
    // Half of the duration is lost on average, unless checkpoints keep it.
    let kept = if spec.checkpointing || spec.long_running { 0.0 } else { 0.5 };
    let failed = w.record.failure_rate(now).lower();
    failed * FAILURE_COST + lost * (kept + RESTART_TIME.as_seconds() / seconds)
}

/// Returns whether the worker has as many runs as it may have before any of them has shown that it
/// completes what it starts.
pub(in crate::owner) fn is_on_probation(owner: &Owner, w: &Worker) -> bool {
    let limit = owner.settings.unproven_runs;
    w.is_unproven && limit.is_some_and(|limit| w.runs.len() >= limit)
}
