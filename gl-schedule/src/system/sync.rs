//! Tells the workers what to run, and renews their leases.

use gl_lease::grant;
use gl_model::{id, job, task, time, worker};

use crate::{owner, state};

/// The share of a worker's lease after which it is renewed.
const RENEWAL_SHARE: u64 = 3;
/// The wait before a worker is asked again how far a task's start or stop has come.
const FOLLOW_UP: time::Span = time::Span::millis(250);
/// How long an answer may take before the message counts as lost.
pub const REPLY_TIMEOUT: time::Span = time::Span::seconds(3);
/// The wait before a silent worker is asked again.
pub const PROBE_INTERVAL: time::Span = time::Span::millis(500);

/// Sends a message to each worker whose orders changed or whose lease is due. Orders follow
/// committed rows only, so while a commit is under way the workers keep those that they hold.
pub fn run(
    shard: &mut state::Shard,
    epoch: id::Epoch,
    horizon: time::Timestamp,
    committed: bool,
    now: time::Timestamp,
    actions: &mut Vec<owner::Action>,
) {
    let unresponsive_after = shard.unresponsive_after();
    let due: Vec<id::VmId> = shard
        .workers
        .iter_mut()
        .filter_map(|(vm, worker)| {
            is_due(worker, committed, unresponsive_after, now).then(|| vm.clone())
        })
        .collect();
    for vm in due {
        let orders = committed.then(|| orders(shard, &vm));
        actions.extend(message(shard, &vm, orders, epoch, horizon, now));
    }
}

fn is_due(
    worker: &mut state::Worker,
    committed: bool,
    unresponsive_after: time::Span,
    now: time::Timestamp,
) -> bool {
    if let Some(sent) = worker.sent_at {
        if now.since(sent) < REPLY_TIMEOUT {
            return false;
        }
        worker.sent_at = None;
    }
    let is_probed =
        worker.last_reply.is_none_or(|last_reply| now.since(last_reply) > unresponsive_after);
    let changed = committed && worker.is_stale && !is_probed;
    changed || worker.next_sync <= now
}

fn message(
    shard: &mut state::Shard,
    vm: &id::VmId,
    orders: Option<Vec<worker::Order>>,
    epoch: id::Epoch,
    horizon: time::Timestamp,
    now: time::Timestamp,
) -> Option<owner::Action> {
    let options = grant::Options::from(&shard.config.leases);
    let until = shard.grants.extend(vm, now, horizon, &options);
    let is_changing = is_changing(shard, vm);
    let worker = shard.workers.get_mut(vm)?;
    let known = worker.boot.is_some();
    let orders = match orders {
        Some(orders) => {
            worker.is_stale = !known;
            (known && worker.held_orders.as_ref() != Some(&orders)).then_some(orders)
        }
        // Without committed orders only a worker that holds some can have its lease renewed.
        None if worker.held_orders.is_some() => None,
        None => return None,
    };
    worker.seq += 1;
    worker.sent_orders.clone_from(&orders);
    worker.sent_lease = until;
    worker.sent_at = Some(now);
    let renewal = time::Span(options.lease.0 / RENEWAL_SHARE);
    worker.next_sync = now + if is_changing { FOLLOW_UP.min(renewal) } else { renewal };
    let message = worker::Sync {
        epoch,
        seq: worker.seq,
        boot: worker.boot,
        until,
        orders,
        known: worker.report_version,
    };
    Some(owner::Action::Sync { vm: vm.clone(), agent: worker.vm.agent, message })
}

/// Whether a task on the worker is on its way into or out of running.
fn is_changing(shard: &state::Shard, vm: &id::VmId) -> bool {
    let Some(ledger) = shard.ledgers.get(vm) else {
        return false;
    };
    ledger.row.promises.iter().any(|promise| {
        let state = shard.tasks.get(&promise.task).map(|stored| &stored.row.state);
        !matches!(state, Some(task::State::Running { .. }) | None)
    })
}

fn orders(shard: &state::Shard, vm: &id::VmId) -> Vec<worker::Order> {
    let Some(ledger) = shard.ledgers.get(vm) else {
        return Vec::new();
    };
    ledger.row.promises.iter().filter_map(|promise| order(shard, vm, promise)).collect()
}

fn order(
    shard: &state::Shard,
    vm: &id::VmId,
    promise: &gl_model::vm::Promise,
) -> Option<worker::Order> {
    let row = &shard.tasks.get(&promise.task)?.row;
    let spec = &shard.job_of(row)?.spec;
    let throttled = shard.workers.get(vm).is_some_and(|w| w.throttled.contains(&row.id));
    let wish = match row.state {
        task::State::Evicting { .. } => worker::Wish::Checkpoint,
        task::State::Draining { .. } if spec.is_service() => worker::Wish::Drain,
        task::State::Draining { .. } => worker::Wish::Stop,
        _ if throttled => worker::Wish::Throttle,
        _ => worker::Wish::Run,
    };
    let run = match &spec.work {
        job::Work::Service(_) => time::Span::ZERO,
        job::Work::Batch(batch) => batch.run,
    };
    Some(worker::Order {
        task: row.id.clone(),
        incarnation: row.incarnation,
        kind: spec.kind.clone(),
        serving: spec.is_service(),
        wish,
        size: promise.size,
        run,
        checkpoint: row.checkpoint.clone(),
    })
}
