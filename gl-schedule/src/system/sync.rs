//! Sends orders to the workers and renews their leases.

use gl_lease::worker_lease;
use gl_model::{id, job, task, time, worker};

use crate::{owner, state};

/// The number of renewals within the duration of a worker's lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// The interval of messages to a worker while one of its tasks starts or stops.
const FOLLOW_UP_INTERVAL: time::Span = time::Span::millis(250);
/// The time after which a message without a reply counts as lost.
pub const REPLY_TIMEOUT: time::Span = time::Span::seconds(3);
/// The interval of messages to an unresponsive worker.
pub const PROBE_INTERVAL: time::Span = time::Span::millis(500);

/// Sends a message to each worker whose orders changed or whose lease is due for renewal. Orders
/// are made from committed rows only, so unless `is_settled`, which says that no commit is in
/// flight, workers keep the orders that they have.
pub fn run(
    shard: &mut state::Shard,
    epoch: id::Epoch,
    horizon: time::Timestamp,
    is_settled: bool,
    now: time::Timestamp,
    actions: &mut Vec<owner::Action>,
) {
    let unresponsive_after = shard.unresponsive_after();
    let due: Vec<id::VmId> = shard
        .workers
        .iter_mut()
        .filter_map(|(vm, worker)| {
            is_due(worker, is_settled, unresponsive_after, now).then(|| vm.clone())
        })
        .collect();
    for vm in due {
        let orders = is_settled.then(|| orders(shard, &vm));
        actions.extend(message(shard, &vm, orders, epoch, horizon, now));
    }
}

fn is_due(
    worker: &mut state::Worker,
    is_settled: bool,
    unresponsive_after: time::Span,
    now: time::Timestamp,
) -> bool {
    if let Some(sent) = worker.sent_at {
        if now.since(sent) < REPLY_TIMEOUT {
            return false;
        }
        worker.sent_at = None;
    }
    let is_unresponsive = worker.last_reply.is_none_or(|at| now.since(at) > unresponsive_after);
    let has_changed = is_settled && worker.is_stale && !is_unresponsive;
    has_changed || worker.next_sync <= now
}

fn message(
    shard: &mut state::Shard,
    vm: &id::VmId,
    orders: Option<Vec<worker::Order>>,
    epoch: id::Epoch,
    horizon: time::Timestamp,
    now: time::Timestamp,
) -> Option<owner::Action> {
    let options = worker_lease::Options::from(&shard.config.leases);
    let until = shard.grants.extend(vm, now, horizon, &options);
    let is_changing = is_changing(shard, vm);
    let worker = shard.workers.get_mut(vm)?;
    let has_booted = worker.boot.is_some();
    let orders = match orders {
        Some(orders) => {
            worker.is_stale = !has_booted;
            (has_booted && worker.held_orders.as_ref() != Some(&orders)).then_some(orders)
        }
        // Without committed orders, only a worker that already has some can have its lease renewed.
        None if worker.held_orders.is_some() => None,
        None => return None,
    };
    worker.seq += 1;
    worker.sent_orders.clone_from(&orders);
    worker.sent_lease = until;
    worker.sent_at = Some(now);
    let renewal = time::Span(options.duration.0 / RENEWALS_PER_LEASE);
    worker.next_sync = now + if is_changing { FOLLOW_UP_INTERVAL.min(renewal) } else { renewal };
    let message = worker::Sync {
        epoch,
        seq: worker.seq,
        boot: worker.boot,
        until,
        orders,
        report_version: worker.report_version,
    };
    Some(owner::Action::Sync { vm: vm.clone(), agent: worker.vm.agent, message })
}

/// Returns whether a task on the worker starts or stops.
fn is_changing(shard: &state::Shard, vm: &id::VmId) -> bool {
    let Some(ledger) = shard.ledgers.get(vm) else {
        return false;
    };
    ledger.row.reservations.iter().any(|reservation| {
        let state = shard.tasks.get(&reservation.task).map(|stored| &stored.row.state);
        !matches!(state, Some(task::State::Running { .. }) | None)
    })
}

fn orders(shard: &state::Shard, vm: &id::VmId) -> Vec<worker::Order> {
    let Some(ledger) = shard.ledgers.get(vm) else {
        return Vec::new();
    };
    ledger.row.reservations.iter().filter_map(|reservation| order(shard, vm, reservation)).collect()
}

fn order(
    shard: &state::Shard,
    vm: &id::VmId,
    reservation: &gl_model::vm::Reservation,
) -> Option<worker::Order> {
    let row = &shard.tasks.get(&reservation.task)?.row;
    let spec = &shard.job_of(row)?.spec;
    let is_throttled = shard.workers.get(vm).is_some_and(|w| w.throttled.contains(&row.id));
    let desired = match row.state {
        task::State::Evicting { .. } => worker::DesiredState::Checkpoint,
        task::State::Draining { .. } if spec.is_service() => worker::DesiredState::Drain,
        task::State::Draining { .. } => worker::DesiredState::Stop,
        _ if is_throttled => worker::DesiredState::Throttle,
        _ => worker::DesiredState::Run,
    };
    let run = match &spec.work {
        job::Work::Service(_) => time::Span::ZERO,
        job::Work::Batch(batch) => batch.run,
    };
    Some(worker::Order {
        task: row.id.clone(),
        incarnation: row.incarnation,
        kind: spec.kind.clone(),
        is_service: spec.is_service(),
        desired,
        size: reservation.size,
        run,
        checkpoint: row.checkpoint.clone(),
    })
}
