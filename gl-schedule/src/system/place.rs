//! Finds room for the tasks that wait.

use std::collections;

use gl_model::{id, size, task, time, vm};

use crate::{interference, placer, system, world};

/// Tasks that one tick places at most, which bounds the size of a commit.
const BATCH: usize = 256;

/// A waiting task and what its placement needs to know.
struct Request {
    task: task::Row,
    job: id::JobId,
    size: size::Size,
    kind: interference::Kind,
    serving: bool,
    planned: Option<id::VmId>,
}

/// Places waiting tasks: services first, then batch tasks in the order in which they came.
pub fn run(world: &mut world::World, now: time::Timestamp, notes: &mut Vec<system::Note>) {
    if !std::mem::take(&mut world.stirred) && !is_any_due(world, now) {
        return;
    }
    let mut tick = Tick::default();
    let mut placed = 0;
    for waiting in ready(world, now) {
        let Some(request) = request(world, &waiting.task) else {
            continue;
        };
        if tick.blocked.contains(&request.job) {
            continue;
        }
        if place(world, &request, &mut tick, now, notes) {
            placed += 1;
        }
        if placed == BATCH {
            world.stirred = true;
            break;
        }
    }
}

/// What one tick remembers between its tasks.
#[derive(Default)]
struct Tick {
    /// Jobs of which a task found no room.
    blocked: collections::BTreeSet<id::JobId>,
    /// Room that evictions are making for services that wait.
    reserved: collections::BTreeMap<id::VmId, size::Size>,
}

impl Tick {
    fn reserved(&self, vm: &id::VmId) -> size::Size {
        self.reserved.get(vm).copied().unwrap_or_default()
    }
}

fn is_any_due(world: &world::World, now: time::Timestamp) -> bool {
    let recent = |w: &world::Waiting| w.after <= now && now.since(w.after) < RECHECK;
    world.queue.iter().any(recent)
}

/// How long after its time a waiting task is tried at every tick; later, only when room or
/// tasks came up.
const RECHECK: time::Span = time::Span::seconds(1);

fn ready(world: &world::World, now: time::Timestamp) -> Vec<world::Waiting> {
    let services = world.queue.iter().take_while(|w| !w.batch && w.after <= now);
    let first = world::Waiting {
        batch: true,
        after: time::Timestamp::default(),
        task: id::TaskId::from(""),
    };
    let batch = world.queue.range(first..).take_while(|w| w.after <= now);
    services.chain(batch).cloned().collect()
}

fn request(world: &mut world::World, task: &id::TaskId) -> Option<Request> {
    let row = world.tasks.get(task)?.row.clone();
    let job = world.job_of(&row)?;
    let spec = job.spec.clone();
    let planned = job.slots.iter().find(|slot| slot.index == row.index)?.vm.clone();
    let serving = spec.is_service();
    // A service keeps what it declares; batch tasks are promised what their kind is seen to use.
    let estimate = world.estimates.size(&spec.kind, &spec.size);
    let size = if serving { spec.size.max(&estimate) } else { estimate };
    let kind = world.model.kind(&spec.kind);
    let first = row.incarnation == id::Incarnation::default();
    Some(Request {
        job: spec.name,
        size,
        kind,
        serving,
        planned: planned.filter(|_| first),
        task: row,
    })
}

fn place(
    world: &mut world::World,
    request: &Request,
    tick: &mut Tick,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) -> bool {
    let planned = request.planned.as_ref().filter(|vm| {
        world.workers.get(*vm).is_some_and(|worker| {
            let fits = request.size.fits_in(&room(request, tick, worker));
            fits && worker.is_open(now, world.silence())
        })
    });
    let vm = planned.cloned().or_else(|| choose(world, request, tick, now));
    if let Some(vm) = vm {
        return start(world, request, &vm, now);
    }
    let is_waiting_for_room = request.serving && make_room(world, request, tick, now, notes);
    if !is_waiting_for_room {
        tick.blocked.insert(request.job.clone());
    }
    false
}

/// The room on a worker; a batch task leaves alone what is reserved for a service.
fn room(request: &Request, tick: &Tick, worker: &world::Worker) -> size::Size {
    if request.serving || tick.reserved.is_empty() {
        return worker.room;
    }
    worker.room.minus(&tick.reserved(&worker.vm.id))
}

fn start(world: &mut world::World, request: &Request, vm: &id::VmId, now: time::Timestamp) -> bool {
    let promise = vm::Promise {
        task: request.task.id.clone(),
        incarnation: request.task.incarnation.next(),
        size: request.size,
    };
    if world.promise(vm, promise).is_err() {
        return false;
    }
    world.counters.starts += 1;
    world.step(&request.task.id, &task::Step::Start { vm: vm.clone() });
    system::report::note_crowd(world, vm, now);
    true
}

/// Services of the same job by VM and by rack, counted once per request.
#[derive(Default)]
struct Peers {
    by_vm: collections::BTreeMap<id::VmId, u32>,
    by_rack: collections::BTreeMap<id::RackId, u32>,
    by_domain: collections::BTreeMap<id::DomainId, u32>,
}

fn peers(world: &world::World, request: &Request) -> Peers {
    let mut peers = Peers::default();
    if !request.serving {
        return peers;
    }
    let Some(stored) = world.jobs.get(&request.job) else {
        return peers;
    };
    for slot in &stored.row.slots {
        let task = id::TaskId::of(&request.job, slot.index);
        let Some(vm) = world.tasks.get(&task).and_then(|stored| stored.row.vm()) else {
            continue;
        };
        *peers.by_vm.entry(vm.clone()).or_default() += 1;
        if let Some(worker) = world.workers.get(vm) {
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

/// The best VM other than the one where the task failed last, or that one if no other has room.
fn choose(
    world: &world::World,
    request: &Request,
    tick: &Tick,
    now: time::Timestamp,
) -> Option<id::VmId> {
    let peers = peers(world, request);
    let mut best: Option<Choice<'_>> = None;
    let mut last: Option<&id::VmId> = None;
    for (vm, worker) in world.workers.iter() {
        if !worker.is_open(now, world.silence()) {
            continue;
        }
        let room = room(request, tick, worker);
        if !request.size.fits_in(&room) {
            continue;
        }
        let candidate = candidate(world, request, worker, &room, &peers);
        let Some(score) = world.placer.score(&candidate) else {
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
    world: &world::World,
    request: &'a Request,
    worker: &'a world::Worker,
    room: &'a size::Size,
    peers: &Peers,
) -> placer::Candidate<'a> {
    let slowdown = system::relief::expected(world, worker);
    let added = if request.serving {
        world.model.slowdown(request.kind, interference::EXPECTED, worker.crowd())
    } else {
        let harms = worker.victims.iter().map(|v| world.model.harm(v.kind, request.kind, v.band));
        harms.fold(0.0, f64::max)
    };
    placer::Candidate {
        size: &request.size,
        room,
        capacity: &worker.vm.capacity,
        slowdown,
        added,
        peers: peers.by_vm.get(&worker.vm.id).copied().unwrap_or(0),
        rack_peers: peers.by_rack.get(&worker.vm.rack).copied().unwrap_or(0),
        domain_peers: peers.by_domain.get(&worker.vm.domain).copied().unwrap_or(0),
        serving: request.serving,
    }
}

/// Room that evictions on one VM would make.
struct Making {
    vm: id::VmId,
    evictions: Vec<id::TaskId>,
}

/// Evicts the fewest batch tasks on one VM that make room for a service's task, within the
/// grant of the confirmed plan, and reserves that room for the rest of the tick. Room that
/// earlier evictions are still making counts. Returns whether there will be room.
fn make_room(
    world: &mut world::World,
    request: &Request,
    tick: &mut Tick,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) -> bool {
    let mut best: Option<Making> = None;
    for (vm, worker) in world.workers.iter() {
        if !worker.is_open(now, world.silence()) {
            continue;
        }
        let Some(evictions) = evictions_for(world, vm, &tick.reserved(vm), &request.size) else {
            continue;
        };
        if best.as_ref().is_none_or(|least| evictions.len() < least.evictions.len()) {
            best = Some(Making { vm: vm.clone(), evictions });
        }
    }
    let Some(making) = best else { return false };
    for task in &making.evictions {
        if !system::relief::evict(world, task, &making.vm, &request.job, notes) {
            return false;
        }
    }
    let reserved = tick.reserved.entry(making.vm).or_default();
    *reserved = reserved.plus(&request.size);
    true
}

/// The tasks to evict from `vm` so that `size` fits beside what is `reserved`; none if that
/// isn't enough.
fn evictions_for(
    world: &world::World,
    vm: &id::VmId,
    reserved: &size::Size,
    size: &size::Size,
) -> Option<Vec<id::TaskId>> {
    let ledger = &world.ledgers.get(vm)?.row;
    let mut room = ledger.room();
    for promise in &ledger.promises {
        let state = world.tasks.get(&promise.task).map(|stored| &stored.row.state);
        if matches!(state, Some(task::State::Evicting { .. })) {
            room = room.plus(&promise.size);
        }
    }
    let mut batch: Vec<&vm::Promise> = ledger
        .promises
        .iter()
        .filter(|promise| system::relief::is_evictable(world, &promise.task))
        .collect();
    batch.sort_by_key(|promise| std::cmp::Reverse(promise.size.cores));
    let needed = size.plus(reserved);
    let mut tasks = Vec::new();
    for promise in batch {
        if needed.fits_in(&room) {
            break;
        }
        room = room.plus(&promise.size);
        tasks.push(promise.task.clone());
    }
    needed.fits_in(&room).then_some(tasks)
}
