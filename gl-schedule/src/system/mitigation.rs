//! Relieves services that are slowed down by their neighbours: throttle first, then evict.

use gl_model::{id, task, time};

use crate::{interference, state, system};

/// The slowdown above which neighbours are throttled.
const HIGH: f64 = 1.35;
/// The slowdown below which a throttled neighbour runs freely again.
const LOW: f64 = 1.10;
/// How long the slowdown must stay beyond a limit before a step is taken, so that one late
/// measurement changes nothing.
const HOLD: time::Span = time::Span::seconds(5);

/// Takes one step on every worker whose services have been slowed down, or quick, for long
/// enough.
pub fn run(shard: &mut state::Shard, now: time::Timestamp, events: &mut Vec<system::Event>) {
    let mut due = Vec::new();
    for (vm, worker) in shard.workers.iter_mut() {
        let is_high = worker.slowdown > HIGH && !worker.services.is_empty();
        let is_low = worker.slowdown < LOW && !worker.throttled.is_empty();
        if !is_high && !is_low {
            worker.crossed_at = None;
            continue;
        }
        let since = *worker.crossed_at.get_or_insert(now);
        if now.since(since) >= HOLD {
            worker.crossed_at = None;
            due.push(Step { vm: vm.clone(), press: is_high });
        }
    }
    for step in due {
        if step.press {
            press(shard, &step.vm, events);
        } else {
            ease(shard, &step.vm);
        }
    }
}

struct Step {
    vm: id::VmId,
    press: bool,
}

fn ease(shard: &mut state::Shard, vm: &id::VmId) {
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    worker.throttled.pop_first();
    worker.is_stale = true;
}

/// Throttles the most harmful batch task that runs freely; if none does, evicts the most
/// harmful one that may still be evicted.
fn press(shard: &mut state::Shard, vm: &id::VmId, events: &mut Vec<system::Event>) {
    let ranked = by_harm(shard, vm);
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    let free = ranked.iter().find(|task| !worker.throttled.contains(*task));
    if let Some(task) = free {
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

/// Evicts a batch task on behalf of the job `by`, whose grant pays for it.
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

/// Whether a task is a batch task that runs and has evictions left.
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
    let runs =
        matches!(stored.row.state, task::State::Running { .. } | task::State::Starting { .. });
    runs && stored.row.evictions < batch.evictions
}

fn service_with_grant(shard: &state::Shard, vm: &id::VmId) -> Option<id::JobId> {
    shard.tasks_on(vm).iter().find_map(|task| {
        let job = shard.job_of(&shard.tasks.get(task)?.row)?;
        (job.spec.is_service() && job.grant > 0).then(|| job.spec.name.clone())
    })
}

fn by_harm(shard: &mut state::Shard, vm: &id::VmId) -> Vec<id::TaskId> {
    let services: Vec<state::Service> =
        shard.workers.get(vm).map(|w| w.services.clone()).unwrap_or_default();
    let mut ranked: Vec<Ranked> = Vec::new();
    for task in shard.tasks_on(vm) {
        let Some(kind) = batch_kind(shard, &task) else {
            continue;
        };
        let kind = shard.model.kind(&kind);
        let harm = services.iter().map(|v| shard.model.pair_slowdown(v.kind, kind, v.band)).sum();
        ranked.push(Ranked { harm, task });
    }
    ranked.sort_by(|a, b| b.harm.total_cmp(&a.harm));
    ranked.into_iter().map(|r| r.task).collect()
}

struct Ranked {
    harm: f64,
    task: id::TaskId,
}

fn batch_kind(shard: &state::Shard, task: &id::TaskId) -> Option<id::KindId> {
    let job = shard.job_of(&shard.tasks.get(task)?.row)?;
    (!job.spec.is_service()).then(|| job.spec.kind.clone())
}

/// The slowdown that the model expects on a worker for all its services.
pub fn expected_slowdown(shard: &state::Shard, worker: &state::Worker) -> f64 {
    let crowd: &[interference::Count] = worker.colocated();
    worker.services.iter().map(|v| shard.model.slowdown(v.kind, v.band, crowd)).fold(0.0, f64::max)
}
