//! Placing tasks on trial, in a copy of the stored state.

use std::collections;

use gl_lease::worker_lease;
use gl_model::{id, job, plan, size, task, time};

use super::{Error, make::Snapshot, wanted::Wanted};
use crate::{owner, system, world};

/// One world with the VMs of all shards, in which tasks are placed on trial.
pub struct Trial {
    world: world::World,
    parts: Vec<plan::Part>,
    capacity: collections::BTreeMap<id::DomainId, size::Size>,
    held: collections::BTreeMap<id::TeamId, size::Size>,
    /// The evictions that made room so far.
    pub evictions: Vec<plan::Eviction>,
}

impl Trial {
    /// A trial on the state of a snapshot.
    pub fn new(snapshot: Snapshot, now: time::Timestamp) -> Self {
        let everywhere = id::DomainId::from("");
        let grants = worker_lease::Leases::new(time::Timestamp::default());
        let mut world = world::World::new(&everywhere, &snapshot.config, grants);
        let mut capacity: collections::BTreeMap<id::DomainId, size::Size> =
            collections::BTreeMap::new();
        for vm in &snapshot.list.vms {
            let worker = world::Worker { heard: Some(now), ..world::Worker::new(vm) };
            world.workers.put(vm.id.clone(), worker);
            let sum = capacity.entry(vm.domain.clone()).or_default();
            *sum = sum.plus(&vm.capacity);
        }
        let mut held: collections::BTreeMap<id::TeamId, size::Size> = collections::BTreeMap::new();
        let mut parts = Vec::new();
        for shard in snapshot.shards {
            for job in shard.rows.jobs {
                parts.push(plan::Part {
                    shard: shard.id.clone(),
                    row: job.row.clone(),
                    version: job.version,
                });
                take_job(&mut world, &mut held, job);
            }
            for ledger in shard.rows.ledgers {
                let stored = world::Stored { row: ledger.row, version: ledger.version };
                world.ledgers.put(stored.row.vm.clone(), stored);
            }
            for task in shard.rows.tasks {
                world.load_task(task.row, task.version);
            }
        }
        let vms: Vec<id::VmId> = world.workers.iter().map(|(vm, _)| vm.clone()).collect();
        for vm in vms {
            world.note_room(&vm);
            system::report::note_crowd(&mut world, &vm, now);
        }
        world.queue.clear();
        Self { world, parts, capacity, held, evictions: Vec::new() }
    }

    /// Checks that the job's name doesn't belong to one of another sort.
    ///
    /// # Errors
    ///
    /// If it does.
    pub fn check_sort(&self, spec: &job::Spec) -> Result<(), Error> {
        let taken = self
            .world
            .jobs
            .get(&spec.name)
            .is_some_and(|stored| stored.row.spec.is_service() != spec.is_service());
        if taken { Err(Error::Taken { name: spec.name.clone() }) } else { Ok(()) }
    }

    /// Places a job's tasks and notes in the plan what came of each.
    pub fn place(&mut self, wanted: &Wanted, plan: &mut plan::Plan, now: time::Timestamp) {
        let mut slots = self.kept_slots(wanted);
        let mut indices: Vec<u32> =
            (0..wanted.tasks).filter(|index| !slots.contains_key(index)).collect();
        self.refuse_too_large(&wanted.spec, &mut indices, plan);
        self.refuse_beyond_quota(&wanted.spec, &mut indices, plan);
        let evicted = self.evictions.len();
        self.run(&wanted.spec, &indices, now);
        let grant = u32::try_from(self.evictions.len() - evicted).unwrap_or(u32::MAX);
        self.split(wanted, &indices, &mut slots, plan);
        self.finish(wanted, slots, grant.saturating_add(wanted.relief), plan);
    }

    /// The job's slots that stay where they are, by index.
    fn kept_slots(&self, wanted: &Wanted) -> collections::BTreeMap<u32, Kept> {
        let mut kept = collections::BTreeMap::new();
        for part in &self.parts {
            let stays = part.row.spec.name == wanted.spec.name
                && part.row.ended.is_none()
                && !part.row.cancelled;
            if !stays {
                continue;
            }
            for slot in part.row.slots.iter().filter(|slot| slot.index < wanted.tasks) {
                kept.insert(slot.index, Kept { shard: part.shard.clone(), vm: slot.vm.clone() });
            }
        }
        kept
    }

    fn largest(&self) -> size::Size {
        let workers = self.world.workers.iter();
        workers.fold(size::Size::default(), |most, (_, w)| most.max(&w.vm.capacity))
    }

    fn refuse_too_large(&self, spec: &job::Spec, indices: &mut Vec<u32>, plan: &mut plan::Plan) {
        let fits = |(_, w): (&id::VmId, &world::Worker)| spec.size.fits_in(&w.vm.capacity);
        if indices.is_empty() || self.world.workers.iter().any(fits) {
            return;
        }
        let largest = self.largest();
        plan.unplaced.push(plan::Unplaced {
            job: spec.name.clone(),
            tasks: count(indices.len()),
            reason: format!(
                "a task needs {}, which no VM has; ask for at most {largest} a task",
                spec.size
            ),
            largest,
        });
        indices.clear();
    }

    fn refuse_beyond_quota(
        &mut self,
        spec: &job::Spec,
        indices: &mut Vec<u32>,
        plan: &mut plan::Plan,
    ) {
        let Some(quota) = self.world.config.quotas.get(&spec.team).copied() else {
            return;
        };
        let held = self.held.entry(spec.team.clone()).or_default();
        let mut allowed = 0;
        while allowed < indices.len() && held.plus(&spec.size).fits_in(&quota) {
            *held = held.plus(&spec.size);
            allowed += 1;
        }
        let refused = indices.split_off(allowed);
        if refused.is_empty() {
            return;
        }
        plan.unplaced.push(plan::Unplaced {
            job: spec.name.clone(),
            tasks: count(refused.len()),
            reason: format!(
                "team `{}` may hold {quota}; ask for fewer tasks or raise its quota",
                spec.team
            ),
            largest: self.largest(),
        });
    }

    /// Places the tasks on trial; evicted tasks give their room at once.
    fn run(&mut self, spec: &job::Spec, indices: &[u32], now: time::Timestamp) {
        let slots = indices.iter().map(|index| job::Slot { index: *index, vm: None }).collect();
        let row = job::Row {
            spec: job::Spec { work: unlimited(&spec.work), ..spec.clone() },
            slots,
            grant: u32::MAX,
            cancelled: false,
            ended: None,
        };
        let version = id::Version::default();
        self.world.jobs.put(spec.name.clone(), world::Stored { row, version });
        for index in indices {
            self.world.set_task(task::Row::new(&spec.name, *index, now));
        }
        loop {
            let before = self.world.counters;
            let mut notes = Vec::new();
            self.world.stirred = true;
            system::place::run(&mut self.world, now, &mut notes);
            self.take_evictions(notes);
            if self.world.counters == before {
                break;
            }
        }
    }

    fn take_evictions(&mut self, notes: Vec<system::Note>) {
        for note in notes {
            let system::Note::Evicted { task, vm, by } = note else {
                continue;
            };
            let far = time::Timestamp(u64::MAX);
            self.world.step(&task, &task::Step::Stop { checkpoint: None, after: far });
            self.evictions.push(plan::Eviction { task, vm, by });
        }
    }

    /// Gives each placed task to the shard of its VM, and spreads the waiting ones over the
    /// shards by their capacity.
    fn split(
        &mut self,
        wanted: &Wanted,
        indices: &[u32],
        slots: &mut collections::BTreeMap<u32, Kept>,
        plan: &mut plan::Plan,
    ) {
        let mut waiting: collections::BTreeMap<id::DomainId, u64> =
            self.capacity.keys().map(|shard| (shard.clone(), 0)).collect();
        let mut queued = 0;
        for index in indices {
            let task = id::TaskId::of(&wanted.spec.name, *index);
            let vm = self.world.tasks.get(&task).and_then(|stored| stored.row.vm()).cloned();
            let shard = vm.as_ref().and_then(|vm| self.world.workers.get(vm));
            if let (Some(vm), Some(worker)) = (vm, shard) {
                let shard = worker.vm.domain.clone();
                let placement = plan::Placement { task, shard: shard.clone(), vm: vm.clone() };
                plan.placements.push(placement);
                slots.insert(*index, Kept { shard, vm: Some(vm) });
                continue;
            }
            queued += 1;
            if let Some(shard) = self.emptiest(&waiting) {
                *waiting.entry(shard.clone()).or_default() += 1;
                slots.insert(*index, Kept { shard, vm: None });
            }
        }
        if queued > 0 {
            plan.queued.push(plan::Queued { job: wanted.spec.name.clone(), tasks: queued });
        }
    }

    fn emptiest(&self, waiting: &collections::BTreeMap<id::DomainId, u64>) -> Option<id::DomainId> {
        let load = |shard: &id::DomainId| {
            let cores = self.capacity.get(shard).map_or(1, |size| size.cores.max(1));
            waiting.get(shard).copied().unwrap_or(0) as f64 / cores as f64
        };
        waiting.keys().min_by(|a, b| load(a).total_cmp(&load(b))).cloned()
    }

    /// Writes the parts that a confirm would store, the emptied ones included.
    fn finish(
        &mut self,
        wanted: &Wanted,
        slots: collections::BTreeMap<u32, Kept>,
        grant: u32,
        plan: &mut plan::Plan,
    ) {
        let mut by_shard: collections::BTreeMap<id::DomainId, Vec<job::Slot>> =
            collections::BTreeMap::new();
        for (index, kept) in slots {
            let slot = job::Slot { index, vm: kept.vm };
            by_shard.entry(kept.shard).or_default().push(slot);
        }
        for part in &self.parts {
            if part.row.spec.name == wanted.spec.name {
                by_shard.entry(part.shard.clone()).or_default();
            }
        }
        let shares = count(by_shard.len()).max(1);
        for (shard, slots) in by_shard {
            let old = self
                .parts
                .iter()
                .find(|part| part.shard == shard && part.row.spec.name == wanted.spec.name);
            let version = old.map(|part| part.version).unwrap_or_default();
            let row = job::Row {
                spec: wanted.spec.clone(),
                slots,
                grant: grant.div_ceil(shares),
                cancelled: false,
                ended: None,
            };
            plan.parts.push(plan::Part { shard, row, version });
        }
    }
}

/// Where a task of the job is or will be.
struct Kept {
    shard: id::DomainId,
    vm: Option<id::VmId>,
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// A season's tasks are placed on trial as if it were on now.
fn unlimited(work: &job::Work) -> job::Work {
    match work {
        job::Work::Service(service) => {
            job::Work::Service(job::Service { windows: Vec::new(), ..service.clone() })
        }
        job::Work::Batch(batch) => job::Work::Batch(batch.clone()),
    }
}

fn take_job(
    world: &mut world::World,
    held: &mut collections::BTreeMap<id::TeamId, size::Size>,
    job: owner::Job,
) {
    let spec = &job.row.spec;
    if job.row.ended.is_none() && !job.row.cancelled {
        let sum = held.entry(spec.team.clone()).or_default();
        for _ in &job.row.slots {
            *sum = sum.plus(&spec.size);
        }
    }
    world.jobs.put(spec.name.clone(), world::Stored { row: job.row, version: job.version });
}
