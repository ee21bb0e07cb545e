//! Mitigates the interference of batch tasks with co-located services: throttles batch tasks first,
//! then evicts them.

use gl_model::{id, task, time};

use crate::{interference, state, system};

/// The slowdown of services above which a batch task is throttled or evicted.
const HIGH_THRESHOLD: f64 = 1.35;
/// The slowdown of services below which a batch task is unthrottled. The distance to the upper
/// threshold is the hysteresis.
const LOW_THRESHOLD: f64 = 1.10;
/// The time for which the slowdown must stay beyond a threshold before anything is changed, so that
/// a single late measurement has no effect.
const HOLD_TIME: time::Span = time::Span::seconds(5);

/// Throttles, evicts or unthrottles one batch task on every worker whose slowdown has been beyond a
/// threshold for long enough.
pub fn run(shard: &mut state::Shard, now: time::Timestamp, events: &mut Vec<system::Event>) {
    let mut due = Vec::new();
    for (vm, worker) in shard.workers.iter_mut() {
        let is_high = worker.slowdown > HIGH_THRESHOLD && !worker.services.is_empty();
        let is_low = worker.slowdown < LOW_THRESHOLD && !worker.throttled.is_empty();
        if !is_high && !is_low {
            worker.crossed_at = None;
            continue;
        }
        let since = *worker.crossed_at.get_or_insert(now);
        if now.since(since) >= HOLD_TIME {
            worker.crossed_at = None;
            due.push(Adjustment { vm: vm.clone(), is_throttling: is_high });
        }
    }
    for adjustment in due {
        if adjustment.is_throttling {
            throttle_or_evict(shard, &adjustment.vm, events);
        } else {
            unthrottle(shard, &adjustment.vm);
        }
    }
}

struct Adjustment {
    vm: id::VmId,
    is_throttling: bool,
}

fn unthrottle(shard: &mut state::Shard, vm: &id::VmId) {
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    worker.throttled.pop_first();
    worker.is_stale = true;
}

/// Throttles the most interfering batch task that is not throttled yet. If all are, evicts the most
/// interfering one that may still be evicted.
fn throttle_or_evict(shard: &mut state::Shard, vm: &id::VmId, events: &mut Vec<system::Event>) {
    let ranked = rank_by_interference(shard, vm);
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    let unthrottled = ranked.iter().find(|task| !worker.throttled.contains(*task));
    if let Some(task) = unthrottled {
        worker.throttled.insert(task.clone());
        worker.is_stale = true;
        shard.counters.throttles += 1;
        return;
    }
    let Some(by) = service_with_grant(shard, vm) else {
        return;
    };
    let evictable = ranked.iter().find(|task| is_evictable(shard, task)).cloned();
    if let Some(task) = evictable {
        evict(shard, &task, vm, &by, events);
    }
}

/// Evicts a batch task for the job `by` and reduces that job's grant of evictions. Returns false if
/// the grant is used up or the task's state does not allow an eviction.
pub fn evict(
    shard: &mut state::Shard,
    task: &id::TaskId,
    vm: &id::VmId,
    by: &id::JobId,
    events: &mut Vec<system::Event>,
) -> bool {
    let Some(stored) = shard.jobs.get_mut(by) else {
        return false;
    };
    if stored.row.grant == 0 {
        return false;
    }
    stored.row.grant -= 1;
    shard.changes.jobs.insert(by.clone());
    shard.counters.evictions += 1;
    events.push(system::Event::Evicted { task: task.clone(), vm: vm.clone(), by: by.clone() });
    shard.step(task, &task::Step::Evict)
}

/// Returns whether a task is a starting or running batch task that may still be evicted.
pub fn is_evictable(shard: &state::Shard, task: &id::TaskId) -> bool {
    let Some(stored) = shard.tasks.get(task) else {
        return false;
    };
    let Some(job) = shard.job_of(&stored.row) else {
        return false;
    };
    let gl_model::job::Work::Batch(batch) = &job.spec.work else {
        return false;
    };
    let is_active =
        matches!(stored.row.state, task::State::Running { .. } | task::State::Starting { .. });
    is_active && stored.row.evictions < batch.evictions
}

fn service_with_grant(shard: &state::Shard, vm: &id::VmId) -> Option<id::JobId> {
    shard.tasks_on(vm).iter().find_map(|task| {
        let job = shard.job_of(&shard.tasks.get(task)?.row)?;
        (job.spec.is_service() && job.grant > 0).then(|| job.spec.name.clone())
    })
}

fn rank_by_interference(shard: &mut state::Shard, vm: &id::VmId) -> Vec<id::TaskId> {
    let services: Vec<state::Service> =
        shard.workers.get(vm).map(|w| w.services.clone()).unwrap_or_default();
    let mut ranked: Vec<Ranked> = Vec::new();
    for task in shard.tasks_on(vm) {
        let Some(kind) = batch_kind(shard, &task) else {
            continue;
        };
        let kind = shard.model.kind(&kind);
        let slowdown =
            services.iter().map(|s| shard.model.pair_slowdown(s.kind, kind, s.band)).sum();
        ranked.push(Ranked { slowdown, task });
    }
    ranked.sort_by(|a, b| b.slowdown.total_cmp(&a.slowdown));
    ranked.into_iter().map(|r| r.task).collect()
}

struct Ranked {
    slowdown: f64,
    task: id::TaskId,
}

fn batch_kind(shard: &state::Shard, task: &id::TaskId) -> Option<id::KindId> {
    let job = shard.job_of(&shard.tasks.get(task)?.row)?;
    (!job.spec.is_service()).then(|| job.spec.kind.clone())
}

/// Returns the highest expected slowdown among the services on a worker.
pub fn expected_slowdown(shard: &state::Shard, worker: &state::Worker) -> f64 {
    let colocated: &[interference::Count] = worker.colocated();
    worker
        .services
        .iter()
        .map(|s| shard.model.slowdown(s.kind, s.band, colocated))
        .fold(0.0, f64::max)
}
