//! Places waiting tasks on VMs.

use std::collections;

use gl_model::{id, size, task, time, vm};

use crate::{interference, placer, state, system};

/// The largest number of tasks that one tick places, which bounds the size of a commit.
const MAX_PLACED: usize = 256;

/// A waiting task with the data that its placement depends on.
struct Request {
    task: task::Row,
    job: id::JobId,
    size: size::Size,
    kind: interference::Kind,
    is_service: bool,
    planned: Option<id::VmId>,
}

/// Places waiting tasks: services first, then batch tasks by the time at which they became ready.
pub fn run(shard: &mut state::Shard, now: time::Timestamp, events: &mut Vec<system::Event>) {
    if !std::mem::take(&mut shard.needs_placement) && !is_any_due(shard, now) {
        return;
    }
    let mut tick = Tick::default();
    let mut placed = 0;
    for waiting in ready(shard, now) {
        let Some(request) = request(shard, &waiting.task) else {
            continue;
        };
        if tick.blocked.contains(&request.job) {
            continue;
        }
        if place(shard, &request, &mut tick, now, events) {
            placed += 1;
        }
        if placed == MAX_PLACED {
            shard.needs_placement = true;
            break;
        }
    }
}

/// State that the placements of one tick share.
#[derive(Default)]
struct Tick {
    /// Jobs with a task that could not be placed.
    blocked: collections::BTreeSet<id::JobId>,
    /// Capacity that evictions free for waiting services.
    reserved: collections::BTreeMap<id::VmId, size::Size>,
}

impl Tick {
    fn reserved(&self, vm: &id::VmId) -> size::Size {
        self.reserved.get(vm).copied().unwrap_or_default()
    }
}

fn is_any_due(shard: &state::Shard, now: time::Timestamp) -> bool {
    let recent = |w: &state::QueueEntry| w.after <= now && now.since(w.after) < RETRY_PERIOD;
    shard.queue.iter().any(recent)
}

/// The time for which a ready task is tried at every tick. After that it is tried only when
/// capacity was freed or tasks arrived.
const RETRY_PERIOD: time::Span = time::Span::seconds(1);

fn ready(shard: &state::Shard, now: time::Timestamp) -> Vec<state::QueueEntry> {
    let services = shard.queue.iter().take_while(|w| !w.is_batch && w.after <= now);
    let first = state::QueueEntry {
        is_batch: true,
        after: time::Timestamp::default(),
        task: id::TaskId::from(""),
    };
    let batch = shard.queue.range(first..).take_while(|w| w.after <= now);
    services.chain(batch).cloned().collect()
}

fn request(shard: &mut state::Shard, task: &id::TaskId) -> Option<Request> {
    let row = shard.tasks.get(task)?.row.clone();
    let job = shard.job_of(&row)?;
    let spec = job.spec.clone();
    let planned = job.slots.iter().find(|slot| slot.index == row.index)?.vm.clone();
    let is_service = spec.is_service();
    // A service gets at least its declared size; a batch task gets the usual usage of its kind.
    let estimate = shard.estimates.size(&spec.kind, &spec.size);
    let size = if is_service { spec.size.max(&estimate) } else { estimate };
    let kind = shard.model.kind(&spec.kind);
    let first = row.incarnation == id::Incarnation::default();
    Some(Request {
        job: spec.name,
        size,
        kind,
        is_service,
        planned: planned.filter(|_| first),
        task: row,
    })
}

fn place(
    shard: &mut state::Shard,
    request: &Request,
    tick: &mut Tick,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) -> bool {
    let planned = request.planned.as_ref().filter(|vm| {
        shard.workers.get(*vm).is_some_and(|worker| {
            let fits = request.size.fits_in(&free_capacity(request, tick, worker));
            fits && worker.accepts_tasks(now, shard.unresponsive_after())
        })
    });
    let vm = planned.cloned().or_else(|| choose(shard, request, tick, now));
    if let Some(vm) = vm {
        return start(shard, request, &vm, now);
    }
    let is_evicting = request.is_service && free_by_eviction(shard, request, tick, now, events);
    if !is_evicting {
        tick.blocked.insert(request.job.clone());
    }
    false
}

/// Returns the free capacity of a worker. A batch task cannot use what is reserved for a service.
fn free_capacity(request: &Request, tick: &Tick, worker: &state::Worker) -> size::Size {
    if request.is_service || tick.reserved.is_empty() {
        return worker.free;
    }
    worker.free.minus(&tick.reserved(&worker.vm.id))
}

fn start(shard: &mut state::Shard, request: &Request, vm: &id::VmId, now: time::Timestamp) -> bool {
    let reservation = vm::Reservation {
        task: request.task.id.clone(),
        incarnation: request.task.incarnation.next(),
        size: request.size,
    };
    if shard.reserve(vm, reservation).is_err() {
        return false;
    }
    shard.counters.starts += 1;
    shard.step(&request.task.id, &task::Step::Start { vm: vm.clone() });
    system::report::record_colocation(shard, vm, now);
    true
}

/// Tasks of the same service by VM, rack and failure domain, counted once per request.
#[derive(Default)]
struct Peers {
    by_vm: collections::BTreeMap<id::VmId, u32>,
    by_rack: collections::BTreeMap<id::RackId, u32>,
    by_domain: collections::BTreeMap<id::DomainId, u32>,
}

fn peers(shard: &state::Shard, request: &Request) -> Peers {
    let mut peers = Peers::default();
    if !request.is_service {
        return peers;
    }
    let Some(stored) = shard.jobs.get(&request.job) else {
        return peers;
    };
    for slot in &stored.row.slots {
        let task = id::TaskId::of(&request.job, slot.index);
        let Some(vm) = shard.tasks.get(&task).and_then(|stored| stored.row.vm()) else {
            continue;
        };
        *peers.by_vm.entry(vm.clone()).or_default() += 1;
        if let Some(worker) = shard.workers.get(vm) {
            *peers.by_rack.entry(worker.vm.rack.clone()).or_default() += 1;
            *peers.by_domain.entry(worker.vm.domain.clone()).or_default() += 1;
        }
    }
    peers
}

/// A VM and its score.
struct Choice<'a> {
    score: f64,
    vm: &'a id::VmId,
}

/// Returns the best VM except the one where the task failed last, or that one if it is the only
/// candidate.
fn choose(
    shard: &state::Shard,
    request: &Request,
    tick: &Tick,
    now: time::Timestamp,
) -> Option<id::VmId> {
    let peers = peers(shard, request);
    let mut best: Option<Choice<'_>> = None;
    let mut last: Option<&id::VmId> = None;
    for (vm, worker) in shard.workers.iter() {
        if !worker.accepts_tasks(now, shard.unresponsive_after()) {
            continue;
        }
        let free = free_capacity(request, tick, worker);
        if !request.size.fits_in(&free) {
            continue;
        }
        let candidate = candidate(shard, request, worker, &free, &peers);
        let Some(score) = shard.placer.score(&candidate) else {
            continue;
        };
        if request.task.avoid.as_ref() == Some(vm) {
            last = Some(vm);
        } else if best.as_ref().is_none_or(|least| score < least.score) {
            best = Some(Choice { score, vm });
        }
    }
    best.map(|choice| choice.vm).or(last).cloned()
}

fn candidate<'a>(
    shard: &state::Shard,
    request: &'a Request,
    worker: &'a state::Worker,
    free: &'a size::Size,
    peers: &Peers,
) -> placer::Candidate<'a> {
    let slowdown = system::mitigation::expected_slowdown(shard, worker);
    let added = if request.is_service {
        shard.model.slowdown(request.kind, interference::DEFAULT_BAND, worker.colocated())
    } else {
        let slowdowns =
            worker.services.iter().map(|s| shard.model.pair_slowdown(s.kind, request.kind, s.band));
        slowdowns.fold(0.0, f64::max)
    };
    placer::Candidate {
        size: &request.size,
        free,
        capacity: &worker.vm.capacity,
        slowdown,
        added,
        peers: peers.by_vm.get(&worker.vm.id).copied().unwrap_or(0),
        rack_peers: peers.by_rack.get(&worker.vm.rack).copied().unwrap_or(0),
        domain_peers: peers.by_domain.get(&worker.vm.domain).copied().unwrap_or(0),
        is_service: request.is_service,
    }
}

/// A VM and the tasks to evict from it.
struct EvictionChoice {
    vm: id::VmId,
    evictions: Vec<id::TaskId>,
}

/// Evicts the fewest batch tasks on one VM that free enough capacity for a task of a service,
/// within the grant of the confirmed plan, and reserves that capacity for the rest of the tick.
/// Capacity that earlier evictions are about to free counts as free. Returns whether there will be
/// enough.
fn free_by_eviction(
    shard: &mut state::Shard,
    request: &Request,
    tick: &mut Tick,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) -> bool {
    let mut best: Option<EvictionChoice> = None;
    for (vm, worker) in shard.workers.iter() {
        if !worker.accepts_tasks(now, shard.unresponsive_after()) {
            continue;
        }
        let Some(evictions) = evictions_for(shard, vm, &tick.reserved(vm), &request.size) else {
            continue;
        };
        if best.as_ref().is_none_or(|least| evictions.len() < least.evictions.len()) {
            best = Some(EvictionChoice { vm: vm.clone(), evictions });
        }
    }
    let Some(chosen) = best else { return false };
    for task in &chosen.evictions {
        if !system::mitigation::evict(shard, task, &chosen.vm, &request.job, events) {
            return false;
        }
    }
    let reserved = tick.reserved.entry(chosen.vm).or_default();
    *reserved = reserved.plus(&request.size);
    true
}

/// Returns the tasks to evict from `vm` so that `size` fits in addition to `reserved`; none if
/// evictions cannot free enough.
fn evictions_for(
    shard: &state::Shard,
    vm: &id::VmId,
    reserved: &size::Size,
    size: &size::Size,
) -> Option<Vec<id::TaskId>> {
    let ledger = &shard.ledgers.get(vm)?.row;
    let mut free = ledger.free();
    for reservation in &ledger.reservations {
        let state = shard.tasks.get(&reservation.task).map(|stored| &stored.row.state);
        if matches!(state, Some(task::State::Evicting { .. })) {
            free = free.plus(&reservation.size);
        }
    }
    let mut batch: Vec<&vm::Reservation> = ledger
        .reservations
        .iter()
        .filter(|reservation| system::mitigation::is_evictable(shard, &reservation.task))
        .collect();
    batch.sort_by_key(|reservation| std::cmp::Reverse(reservation.size.cores));
    let needed = size.plus(reserved);
    let mut tasks = Vec::new();
    for reservation in batch {
        if needed.fits_in(&free) {
            break;
        }
        free = free.plus(&reservation.size);
        tasks.push(reservation.task.clone());
    }
    needed.fits_in(&free).then_some(tasks)
}
