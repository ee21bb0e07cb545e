//! Tells the workers what to run, and renews their leases.

use gl_lease::worker_lease;
use gl_model::{id, job, task, time, worker};

use crate::{owner, world};

/// The share of a worker's lease after which it is renewed.
const RENEWAL_SHARE: u64 = 3;
/// The wait before a worker is asked again how far a task's start or stop has come.
const FOLLOW_UP: time::Span = time::Span::millis(250);
/// How long an answer may take before the message counts as lost.
pub const ANSWER_LIMIT: time::Span = time::Span::seconds(3);
/// The wait before a silent worker is asked again.
pub const PROBE: time::Span = time::Span::millis(500);

/// Sends a message to each worker whose orders changed or whose lease is due. Orders follow
/// committed rows only, so while a commit is under way the workers keep those that they hold.
pub fn run(
    world: &mut world::World,
    epoch: id::Epoch,
    horizon: time::Timestamp,
    committed: bool,
    now: time::Timestamp,
    actions: &mut Vec<owner::Action>,
) {
    let silence = world.silence();
    let due: Vec<id::VmId> = world
        .workers
        .iter_mut()
        .filter_map(|(vm, worker)| is_due(worker, committed, silence, now).then(|| vm.clone()))
        .collect();
    for vm in due {
        let orders = committed.then(|| orders(world, &vm));
        actions.extend(message(world, &vm, orders, epoch, horizon, now));
    }
}

fn is_due(
    worker: &mut world::Worker,
    committed: bool,
    silence: time::Span,
    now: time::Timestamp,
) -> bool {
    if let Some(sent) = worker.waiting {
        if now.since(sent) < ANSWER_LIMIT {
            return false;
        }
        worker.waiting = None;
    }
    let is_probed = worker.heard.is_none_or(|heard| now.since(heard) > silence);
    let changed = committed && worker.stale && !is_probed;
    changed || worker.due <= now
}

fn message(
    world: &mut world::World,
    vm: &id::VmId,
    orders: Option<Vec<worker::Order>>,
    epoch: id::Epoch,
    horizon: time::Timestamp,
    now: time::Timestamp,
) -> Option<owner::Action> {
    let options = worker_lease::Options::from(&world.config.leases);
    let until = world.grants.extend(vm, now, horizon, &options);
    let is_changing = is_changing(world, vm);
    let worker = world.workers.get_mut(vm)?;
    let known = worker.boot.is_some();
    let orders = match orders {
        Some(orders) => {
            worker.stale = !known;
            (known && worker.held.as_ref() != Some(&orders)).then_some(orders)
        }
        // Without committed orders only a worker that holds some can have its lease renewed.
        None if worker.held.is_some() => None,
        None => return None,
    };
    worker.seq += 1;
    worker.sent.clone_from(&orders);
    worker.lease = until;
    worker.waiting = Some(now);
    let renewal = time::Span(options.duration.0 / RENEWAL_SHARE);
    worker.due = now + if is_changing { FOLLOW_UP.min(renewal) } else { renewal };
    let message = worker::Sync {
        epoch,
        seq: worker.seq,
        boot: worker.boot,
        until,
        orders,
        known: worker.known,
    };
    Some(owner::Action::Sync { vm: vm.clone(), agent: worker.vm.agent, message })
}

/// Whether a task on the worker is on its way into or out of running.
fn is_changing(world: &world::World, vm: &id::VmId) -> bool {
    let Some(ledger) = world.ledgers.get(vm) else {
        return false;
    };
    ledger.row.promises.iter().any(|promise| {
        let state = world.tasks.get(&promise.task).map(|stored| &stored.row.state);
        !matches!(state, Some(task::State::Running { .. }) | None)
    })
}

fn orders(world: &world::World, vm: &id::VmId) -> Vec<worker::Order> {
    let Some(ledger) = world.ledgers.get(vm) else {
        return Vec::new();
    };
    ledger.row.promises.iter().filter_map(|promise| order(world, vm, promise)).collect()
}

fn order(
    world: &world::World,
    vm: &id::VmId,
    promise: &gl_model::vm::Promise,
) -> Option<worker::Order> {
    let row = &world.tasks.get(&promise.task)?.row;
    let spec = &world.job_of(row)?.spec;
    let throttled = world.workers.get(vm).is_some_and(|w| w.throttled.contains(&row.id));
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
