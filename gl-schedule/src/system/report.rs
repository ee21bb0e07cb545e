//! Applies the workers' replies.

use gl_model::{id, table, time, worker};

use crate::{interference, state};

/// The longest supported lag of a measurement: the history of co-located tasks is kept as long.
const MAX_LAG: time::Span = time::Span::seconds(120);
/// The weight of a new report in the moving average of a worker's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;

/// Records that a worker did not reply in time.
pub fn timed_out(shard: &mut state::Shard, vm: &id::VmId, now: time::Timestamp) {
    if let Some(worker) = shard.workers.get_mut(vm) {
        worker.sent_at = None;
        worker.sent_orders = None;
        worker.next_sync = now + super::sync::PROBE_INTERVAL;
    }
}

/// Applies one reply. [`super::review`] compares it with the tasks' rows.
pub fn run(shard: &mut state::Shard, vm: &id::VmId, report: &worker::Report, now: time::Timestamp) {
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    worker.sent_at = None;
    shard.grants.record_reply(vm, now);
    if report.is_accepted {
        shard.grants.confirm(vm, worker.sent_lease, now);
    }
    if worker.last_reply.is_none() {
        shard.needs_placement = true;
    }
    worker.last_reply = Some(now);
    apply_statuses(worker, report);
    shard.routes_changed |= report.tasks.is_some();
    apply_usage(shard, vm, &report.usage, now);
}

fn apply_statuses(worker: &mut state::Worker, report: &worker::Report) {
    let is_same_boot = worker.boot == Some(report.boot);
    let sent = worker.sent_orders.take();
    if !is_same_boot {
        worker.boot = Some(report.boot);
        worker.report_version = 0;
        worker.statuses = None;
        worker.held_orders = None;
        worker.is_stale = true;
    }
    if report.is_accepted && sent.is_some() {
        worker.held_orders = sent;
    } else if !report.is_accepted {
        worker.held_orders = None;
        worker.is_stale = true;
    }
    if let Some(tasks) = &report.tasks {
        let rows = tasks.iter().map(|status| (status.task.clone(), status.clone()));
        worker.statuses = Some(rows.collect::<table::Table<_, _>>());
        worker.report_version = report.version;
        worker.needs_review = true;
    }
}

fn apply_usage(
    shard: &mut state::Shard,
    vm: &id::VmId,
    usage: &[worker::Usage],
    now: time::Timestamp,
) {
    for sample in usage {
        let Some(task) = shard.tasks.get(&sample.task) else {
            continue;
        };
        let Some(job) = shard.jobs.get(&task.row.job) else {
            continue;
        };
        let spec = &job.row.spec;
        shard.estimates.observe(&spec.kind, &spec.size, &sample.used);
        let kind = shard.model.kind(&spec.kind);
        let Some(worker) = shard.workers.get_mut(vm) else {
            continue;
        };
        if let Some(ratio) = sample.slowdown {
            let band = interference::Band::of(sample.load);
            shard.model.observe(kind, band, worker.colocated_at(sample.at), ratio);
            worker.slowdown += SLOWDOWN_WEIGHT * (ratio - worker.slowdown);
            worker.services.retain(|service| service.kind != kind);
            worker.services.push(state::Service { kind, band });
        }
    }
    // The updated models may allow waiting tasks on a VM.
    shard.needs_placement |= !usage.is_empty() && !shard.queue.is_empty();
    if let Some(worker) = shard.workers.get_mut(vm) {
        while worker.history.len() > 1 && now.since(worker.history[1].since) > MAX_LAG {
            worker.history.pop_front();
        }
    }
}

/// Records which tasks run on a worker from `now` on: the batch tasks by kind, and the services,
/// which are assumed to be half loaded until there are measurements.
pub fn record_colocation(shard: &mut state::Shard, vm: &id::VmId, now: time::Timestamp) {
    let mut batch: Vec<interference::Count> = Vec::new();
    let mut services: Vec<interference::Kind> = Vec::new();
    for task in shard.tasks_on(vm) {
        let Some(stored) = shard.tasks.get(&task) else {
            continue;
        };
        let Some(job) = shard.jobs.get(&stored.row.job) else {
            continue;
        };
        let kind = shard.model.kind(&job.row.spec.kind);
        if job.row.spec.is_service() {
            services.push(kind);
            continue;
        }
        match batch.iter_mut().find(|count| count.kind == kind) {
            Some(count) => count.tasks += 1,
            None => batch.push(interference::Count { kind, tasks: 1 }),
        }
    }
    let Some(worker) = shard.workers.get_mut(vm) else {
        return;
    };
    update_services(worker, &services);
    if worker.colocated() != batch.as_slice() {
        worker.history.push_back(state::Colocation { since: now, batch });
    }
}

fn update_services(worker: &mut state::Worker, kinds: &[interference::Kind]) {
    worker.services.retain(|service| kinds.contains(&service.kind));
    for kind in kinds {
        if !worker.services.iter().any(|service| service.kind == *kind) {
            worker.services.push(state::Service { kind: *kind, band: interference::DEFAULT_BAND });
        }
    }
}
