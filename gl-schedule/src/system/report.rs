//! Takes the workers' answers in.

use gl_model::{id, table, time, worker};

use crate::{interference, world};

/// How long the crowds of the past are kept, which is the longest lag of a measurement.
const LAG_LIMIT: time::Span = time::Span::seconds(120);
/// The weight of a new report in a worker's average slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;

/// Notes that a worker gave no answer.
pub fn silence(world: &mut world::World, vm: &id::VmId, now: time::Timestamp) {
    if let Some(worker) = world.workers.get_mut(vm) {
        worker.waiting = None;
        worker.sent = None;
        worker.due = now + super::sync::PROBE;
    }
}

/// Takes one answer in. The rows are compared with it by [`super::review`].
pub fn run(world: &mut world::World, vm: &id::VmId, report: &worker::Report, now: time::Timestamp) {
    let Some(worker) = world.workers.get_mut(vm) else {
        return;
    };
    worker.waiting = None;
    world.grants.record_reply(vm, now);
    if report.taken {
        world.grants.confirm(vm, worker.lease, now);
    }
    if worker.heard.is_none() {
        world.stirred = true;
    }
    worker.heard = Some(now);
    take_tasks(worker, report);
    world.rerouted |= report.tasks.is_some();
    take_usage(world, vm, &report.usage, now);
}

fn take_tasks(worker: &mut world::Worker, report: &worker::Report) {
    let same = worker.boot == Some(report.boot);
    let sent = worker.sent.take();
    if !same {
        worker.boot = Some(report.boot);
        worker.known = 0;
        worker.statuses = None;
        worker.held = None;
        worker.stale = true;
    }
    if report.taken && sent.is_some() {
        worker.held = sent;
    } else if !report.taken {
        worker.held = None;
        worker.stale = true;
    }
    if let Some(tasks) = &report.tasks {
        let rows = tasks.iter().map(|status| (status.task.clone(), status.clone()));
        worker.statuses = Some(rows.collect::<table::Table<_, _>>());
        worker.known = report.version;
        worker.review = true;
    }
}

fn take_usage(
    world: &mut world::World,
    vm: &id::VmId,
    usage: &[worker::Usage],
    now: time::Timestamp,
) {
    for sample in usage {
        let Some(task) = world.tasks.get(&sample.task) else {
            continue;
        };
        let Some(job) = world.jobs.get(&task.row.job) else {
            continue;
        };
        let spec = &job.row.spec;
        world.estimates.observe(&spec.kind, &spec.size, &sample.used);
        let kind = world.model.kind(&spec.kind);
        let Some(worker) = world.workers.get_mut(vm) else {
            continue;
        };
        if let Some(ratio) = sample.slowdown {
            let band = interference::Band::of(sample.load);
            world.model.observe(kind, band, worker.crowd_at(sample.at), ratio);
            worker.slowdown += SLOWDOWN_WEIGHT * (ratio - worker.slowdown);
            worker.victims.retain(|victim| victim.kind != kind);
            worker.victims.push(world::Victim { kind, band });
        }
    }
    // What was learned may open a VM to tasks that wait.
    world.stirred |= !usage.is_empty() && !world.queue.is_empty();
    if let Some(worker) = world.workers.get_mut(vm) {
        while worker.crowds.len() > 1 && now.since(worker.crowds[1].since) > LAG_LIMIT {
            worker.crowds.pop_front();
        }
    }
}

/// Notes which tasks run on a worker from `now` on: the batch tasks by kind, and the services,
/// which are expected to be half loaded until they were measured.
pub fn note_crowd(world: &mut world::World, vm: &id::VmId, now: time::Timestamp) {
    let mut batch: Vec<interference::Count> = Vec::new();
    let mut serving: Vec<interference::Kind> = Vec::new();
    for task in world.tasks_on(vm) {
        let Some(stored) = world.tasks.get(&task) else {
            continue;
        };
        let Some(job) = world.jobs.get(&stored.row.job) else {
            continue;
        };
        let kind = world.model.kind(&job.row.spec.kind);
        if job.row.spec.is_service() {
            serving.push(kind);
            continue;
        }
        match batch.iter_mut().find(|count| count.kind == kind) {
            Some(count) => count.tasks += 1,
            None => batch.push(interference::Count { kind, tasks: 1 }),
        }
    }
    let Some(worker) = world.workers.get_mut(vm) else {
        return;
    };
    note_victims(worker, &serving);
    if worker.crowd() != batch.as_slice() {
        worker.crowds.push_back(world::Crowd { since: now, batch });
    }
}

fn note_victims(worker: &mut world::Worker, serving: &[interference::Kind]) {
    worker.victims.retain(|victim| serving.contains(&victim.kind));
    for kind in serving {
        if !worker.victims.iter().any(|victim| victim.kind == *kind) {
            worker.victims.push(world::Victim { kind: *kind, band: interference::EXPECTED });
        }
    }
}
