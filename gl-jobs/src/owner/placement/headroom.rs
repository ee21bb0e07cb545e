//! Workers that are held for the short tasks that arrive.
//!
//! Long-running tasks hold their capacity for long. Where they fill a service, no worker has enough
//! free processors in one piece for a large short task, which is worth far more per processor and
//! second. So some workers are held, and long-running tasks that have not run yet do not start there.

use std::cmp;

use gl_model::time;

use crate::owner::{Owner, Worker, state};
use crate::task;

/// The share of a service's workers that stay free of long-running tasks while others have capacity
/// for them, and the largest share that is held for short tasks.
const FREE_SHARE: f64 = 0.08;
/// The processors held, relative to the recent peak of those that short tasks use or wait for.
const PEAK_RATIO: f64 = 2.0;
/// The time in which the recorded peak falls by half if short tasks need less.
const PEAK_HALF_LIFE: time::Span = time::Span::seconds(5);
/// The interval at which the demand is recorded: shorter than nearly all short tasks, and long
/// compared with the pauses between placement passes.
const INTERVAL: time::Span = time::Span::millis(100);
/// The number of processors below which a peak is forgotten, in thousandths of a core.
const MIN_PEAK: f64 = 500.0;

/// The recent demand of the short tasks of a service.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::owner) struct Demand {
    service: String,
    /// The peak of the processors in use or waited for, in thousandths of a core.
    peak: f64,
    at: time::Timestamp,
    /// Whether workers are held for it.
    has_held: bool,
}

impl Demand {
    fn new(service: &str, peak: f64, at: time::Timestamp) -> Self {
        Self { service: service.to_owned(), peak, at, has_held: false }
    }
}

/// The workers of a service that are free of long-running tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::owner) enum Room {
    /// There are enough free workers.
    Ample,
    /// Free workers are taken only if no others have capacity.
    Scarce,
}

/// Updates the recorded demand of all services, once per interval.
pub(in crate::owner) fn update(owner: &mut Owner, now: time::Timestamp) {
    if now.since(owner.demand_at) < INTERVAL {
        return;
    }
    owner.demand_at = now;
    for demand in &mut owner.demands {
        let halvings = now.since(demand.at).as_seconds() / PEAK_HALF_LIFE.as_seconds();
        demand.peak *= 0.5_f64.powf(halvings);
        demand.at = now;
    }
    owner.demands.retain(|demand| demand.peak >= MIN_PEAK);
    let mut needed = current(owner, now);
    if now.since(owner.started_at) < owner.settings.watch_time {
        needed.extend(assumed(owner, now));
    }
    for needed in needed {
        match owner.demands.iter_mut().find(|demand| demand.service == needed.service) {
            Some(demand) => demand.peak = demand.peak.max(needed.peak),
            None => owner.demands.push(needed),
        }
    }
    hold(owner);
}

/// Returns the demand that needs all workers that may be held, for each service. An owner that has not
/// watched a service for long does not know it, and long-running tasks would keep what they get.
fn assumed(owner: &Owner, now: time::Timestamp) -> Vec<Demand> {
    let mut assumed: Vec<Demand> = Vec::new();
    for worker in owner.workers.values() {
        let service = &worker.registration.service;
        let peak = worker.registration.size.cores as f64 * FREE_SHARE / PEAK_RATIO;
        match assumed.iter_mut().find(|demand| demand.service == *service) {
            Some(demand) => demand.peak += peak,
            None => assumed.push(Demand::new(service, peak, now)),
        }
    }
    assumed
}

/// Returns the processors that short tasks use or wait for now.
fn current(owner: &Owner, now: time::Timestamp) -> Vec<Demand> {
    let mut needed: Vec<Demand> = Vec::new();
    let mut add = |service: &str, cores: u64| {
        if cores == 0 {
            return;
        }
        match needed.iter_mut().find(|demand| demand.service == service) {
            Some(demand) => demand.peak += cores as f64,
            None => needed.push(Demand::new(service, cores as f64, now)),
        }
    };
    for worker in owner.workers.values() {
        let in_use = worker.reserved.cores.saturating_sub(worker.long_running_cores);
        add(&worker.registration.service, in_use);
    }
    for phase in &owner.open_phases {
        let Some((service, cores)) = waiting(owner, *phase, now) else {
            continue;
        };
        add(service, cores);
    }
    needed
}

/// Returns the service of a short phase and the processors that its tasks wait for. A phase past its
/// deadline is left out: its tasks come last, and one that fits on no worker would hold them for
/// ever.
fn waiting(owner: &Owner, phase: task::PhaseId, now: time::Timestamp) -> Option<(&str, u64)> {
    let entry = owner.jobs.get(&phase.job)?;
    let state = state::state_of(owner, phase)?;
    let spec = entry.spec(phase.phase)?;
    let is_counted = !spec.long_running && !spec.best_effort && now <= state.deadline;
    is_counted.then(|| (entry.job.service.as_str(), spec.size.cores * state.waiting.len() as u64))
}

/// Holds the workers with the most room beside long-running tasks, as many as short tasks need. One
/// that an interrupted long-running task has to take stays held, so that the others of its kind do not
/// fill it up and its room comes back as they end.
fn hold(owner: &mut Owner) {
    for worker in owner.workers.values_mut() {
        worker.is_held = false;
    }
    for demand in &mut owner.demands {
        let mut workers: Vec<_> =
            owner.workers.values_mut().filter(|w| is_usable(w, &demand.service)).collect();
        let total = workers.len() as f64;
        let cores: u64 = workers.iter().map(|w| w.registration.size.cores).sum();
        let needed = demand.peak * PEAK_RATIO * total / (cores as f64).max(1.0);
        let limit = needed.min(total * FREE_SHARE);
        demand.has_held = limit >= 1.0;
        workers.sort_by_key(|w| cmp::Reverse(room_beside(w)));
        for (n, worker) in (1..).zip(workers) {
            worker.is_held = f64::from(n) <= limit;
        }
    }
}

/// Returns whether workers of a service are held for short tasks.
pub(in crate::owner) fn holds_any(owner: &Owner, service: &str) -> bool {
    owner.demands.iter().any(|demand| demand.service == service && demand.has_held)
}

/// Returns the processors of a worker that long-running tasks have not reserved.
fn room_beside(worker: &Worker) -> u64 {
    worker.registration.size.cores.saturating_sub(worker.long_running_cores)
}

fn is_usable(worker: &Worker, service: &str) -> bool {
    worker.registration.service == service && worker.is_in_use()
}

/// Returns whether a service has many workers that are free of long-running tasks.
pub(in crate::owner) fn room(owner: &Owner, service: &str) -> Room {
    let of_service = owner.workers.values().filter(|worker| is_usable(worker, service));
    let (mut total, mut free) = (0_usize, 0_usize);
    for worker in of_service {
        total += 1;
        free += usize::from(worker.long_running_cores == 0);
    }
    if free as f64 <= total as f64 * FREE_SHARE { Room::Scarce } else { Room::Ample }
}
