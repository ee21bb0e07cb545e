//! Relieves services that are slowed down by their neighbours: throttle first, then evict.

use gl_model::{id, task, time};

use crate::{interference, system, world};

/// The slowdown above which neighbours are throttled.
const HIGH: f64 = 1.35;
/// The slowdown below which a throttled neighbour runs freely again.
const LOW: f64 = 1.10;
/// How long the slowdown must stay beyond a limit before a step is taken, so that one late
/// measurement changes nothing.
const HOLD: time::Span = time::Span::seconds(5);

/// Takes one step on every worker whose services have been slowed down, or quick, for long
/// enough.
pub fn run(world: &mut world::World, now: time::Timestamp, notes: &mut Vec<system::Note>) {
    let mut due = Vec::new();
    for (vm, worker) in world.workers.iter_mut() {
        let is_high = worker.slowdown > HIGH && !worker.victims.is_empty();
        let is_low = worker.slowdown < LOW && !worker.throttled.is_empty();
        if !is_high && !is_low {
            worker.pressed = None;
            continue;
        }
        let since = *worker.pressed.get_or_insert(now);
        if now.since(since) >= HOLD {
            worker.pressed = None;
            due.push(Step { vm: vm.clone(), press: is_high });
        }
    }
    for step in due {
        if step.press {
            press(world, &step.vm, notes);
        } else {
            ease(world, &step.vm);
        }
    }
}

struct Step {
    vm: id::VmId,
    press: bool,
}

fn ease(world: &mut world::World, vm: &id::VmId) {
    let Some(worker) = world.workers.get_mut(vm) else {
        return;
    };
    worker.throttled.pop_first();
    worker.stale = true;
}

/// Throttles the most harmful batch task that runs freely; if none does, evicts the most
/// harmful one that may still be evicted.
fn press(world: &mut world::World, vm: &id::VmId, notes: &mut Vec<system::Note>) {
    let ranked = by_harm(world, vm);
    let Some(worker) = world.workers.get_mut(vm) else {
        return;
    };
    let free = ranked.iter().find(|task| !worker.throttled.contains(*task));
    if let Some(task) = free {
        worker.throttled.insert(task.clone());
        worker.stale = true;
        world.counters.throttles += 1;
        return;
    }
    let Some(by) = service_with_grant(world, vm) else {
        return;
    };
    let evictable = ranked.iter().find(|task| is_evictable(world, task)).cloned();
    if let Some(task) = evictable {
        evict(world, &task, vm, &by, notes);
    }
}

/// Evicts a batch task on behalf of the job `by`, whose grant pays for it.
pub fn evict(
    world: &mut world::World,
    task: &id::TaskId,
    vm: &id::VmId,
    by: &id::JobId,
    notes: &mut Vec<system::Note>,
) -> bool {
    let Some(stored) = world.jobs.get_mut(by) else {
        return false;
    };
    if stored.row.grant == 0 {
        return false;
    }
    stored.row.grant -= 1;
    world.changes.jobs.insert(by.clone());
    world.counters.evictions += 1;
    notes.push(system::Note::Evicted { task: task.clone(), vm: vm.clone(), by: by.clone() });
    world.step(task, &task::Step::Evict)
}

/// Whether a task is a batch task that runs and has evictions left.
pub fn is_evictable(world: &world::World, task: &id::TaskId) -> bool {
    let Some(stored) = world.tasks.get(task) else {
        return false;
    };
    let Some(job) = world.job_of(&stored.row) else {
        return false;
    };
    let gl_model::job::Work::Batch(batch) = &job.spec.work else {
        return false;
    };
    let runs =
        matches!(stored.row.state, task::State::Running { .. } | task::State::Starting { .. });
    runs && stored.row.evictions < batch.evictions
}

fn service_with_grant(world: &world::World, vm: &id::VmId) -> Option<id::JobId> {
    world.tasks_on(vm).iter().find_map(|task| {
        let job = world.job_of(&world.tasks.get(task)?.row)?;
        (job.spec.is_service() && job.grant > 0).then(|| job.spec.name.clone())
    })
}

fn by_harm(world: &mut world::World, vm: &id::VmId) -> Vec<id::TaskId> {
    let victims: Vec<world::Victim> =
        world.workers.get(vm).map(|w| w.victims.clone()).unwrap_or_default();
    let mut ranked: Vec<Ranked> = Vec::new();
    for task in world.tasks_on(vm) {
        let Some(kind) = batch_kind(world, &task) else {
            continue;
        };
        let kind = world.model.kind(&kind);
        let harm = victims.iter().map(|v| world.model.harm(v.kind, kind, v.band)).sum();
        ranked.push(Ranked { harm, task });
    }
    ranked.sort_by(|a, b| b.harm.total_cmp(&a.harm));
    ranked.into_iter().map(|r| r.task).collect()
}

struct Ranked {
    harm: f64,
    task: id::TaskId,
}

fn batch_kind(world: &world::World, task: &id::TaskId) -> Option<id::KindId> {
    let job = world.job_of(&world.tasks.get(task)?.row)?;
    (!job.spec.is_service()).then(|| job.spec.kind.clone())
}

/// The slowdown that the model expects on a worker for all its services.
pub fn expected(world: &world::World, worker: &world::Worker) -> f64 {
    let crowd: &[interference::Count] = worker.crowd();
    worker.victims.iter().map(|v| world.model.slowdown(v.kind, v.band, crowd)).fold(0.0, f64::max)
}
