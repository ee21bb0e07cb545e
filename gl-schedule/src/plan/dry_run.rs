//! A dry run of placement in a copy of the stored state.

use std::collections;

use gl_lease::worker_lease;
use gl_model::{id, job, plan, size, task, time};

use super::{Error, make::Snapshot, requested::Requested};
use crate::{owner, state, system};

/// One shard state that contains the VMs of all shards. Tasks are placed in it without any effect
/// on the stored state.
pub struct DryRun {
    state: state::Shard,
    parts: Vec<plan::Part>,
    capacity: collections::BTreeMap<id::DomainId, size::Size>,
    usage: collections::BTreeMap<id::TeamId, size::Size>,
    /// The evictions that the placements so far need.
    pub evictions: Vec<plan::Eviction>,
}

impl DryRun {
    /// Returns a dry run on the state of a snapshot.
    pub fn new(snapshot: Snapshot, now: time::Timestamp) -> Self {
        let everywhere = id::DomainId::from("");
        let leases = worker_lease::Leases::new(time::Timestamp::default());
        let mut state = state::Shard::new(&everywhere, &snapshot.config, leases);
        let mut capacity: collections::BTreeMap<id::DomainId, size::Size> =
            collections::BTreeMap::new();
        for vm in &snapshot.list.vms {
            let worker = state::Worker { last_reply: Some(now), ..state::Worker::new(vm) };
            state.workers.put(vm.id.clone(), worker);
            let sum = capacity.entry(vm.domain.clone()).or_default();
            *sum = sum.plus(&vm.capacity);
        }
        let mut usage: collections::BTreeMap<id::TeamId, size::Size> = collections::BTreeMap::new();
        let mut parts = Vec::new();
        for shard in snapshot.shards {
            for job in shard.rows.jobs {
                parts.push(plan::Part {
                    shard: shard.id.clone(),
                    row: job.row.clone(),
                    version: job.version,
                });
                add_job(&mut state, &mut usage, job);
            }
            for ledger in shard.rows.ledgers {
                let stored = state::Stored { row: ledger.row, version: ledger.version };
                state.ledgers.put(stored.row.vm.clone(), stored);
            }
            for task in shard.rows.tasks {
                state.load_task(task.row, task.version);
            }
        }
        let vms: Vec<id::VmId> = state.workers.iter().map(|(vm, _)| vm.clone()).collect();
        for vm in vms {
            state.refresh_free(&vm);
            system::report::record_colocation(&mut state, &vm, now);
        }
        state.queue.clear();
        Self { state, parts, capacity, usage, evictions: Vec::new() }
    }

    /// Checks that the job's name does not belong to a job of another type.
    ///
    /// # Errors
    ///
    /// Returns an error if there is such a job.
    pub fn check_type(&self, spec: &job::Spec) -> Result<(), Error> {
        let is_taken = self
            .state
            .jobs
            .get(&spec.name)
            .is_some_and(|stored| stored.row.spec.is_service() != spec.is_service());
        if is_taken { Err(Error::NameTaken { name: spec.name.clone() }) } else { Ok(()) }
    }

    /// Places a job's tasks and adds the outcome of each to the plan.
    pub fn place(&mut self, requested: &Requested, plan: &mut plan::Plan, now: time::Timestamp) {
        let mut slots = self.kept_slots(requested);
        let mut indices: Vec<u32> =
            (0..requested.tasks).filter(|index| !slots.contains_key(index)).collect();
        self.refuse_oversized(&requested.spec, &mut indices, plan);
        self.refuse_over_quota(&requested.spec, &mut indices, plan);
        let evicted = self.evictions.len();
        self.run(&requested.spec, &indices, now);
        let grant = u32::try_from(self.evictions.len() - evicted).unwrap_or(u32::MAX);
        self.assign(requested, &indices, &mut slots, plan);
        self.add_parts(
            requested,
            slots,
            grant.saturating_add(requested.mitigation_evictions),
            plan,
        );
    }

    /// Returns the slots that the job already has and keeps, by index.
    fn kept_slots(&self, requested: &Requested) -> collections::BTreeMap<u32, Assignment> {
        let mut kept = collections::BTreeMap::new();
        for part in &self.parts {
            let is_kept = part.row.spec.name == requested.spec.name
                && part.row.ended.is_none()
                && !part.row.cancelled;
            if !is_kept {
                continue;
            }
            for slot in part.row.slots.iter().filter(|slot| slot.index < requested.tasks) {
                kept.insert(
                    slot.index,
                    Assignment { shard: part.shard.clone(), vm: slot.vm.clone() },
                );
            }
        }
        kept
    }

    fn largest_vm(&self) -> size::Size {
        let workers = self.state.workers.iter();
        workers.fold(size::Size::default(), |most, (_, w)| most.max(&w.vm.capacity))
    }

    fn refuse_oversized(&self, spec: &job::Spec, indices: &mut Vec<u32>, plan: &mut plan::Plan) {
        let fits = |(_, w): (&id::VmId, &state::Worker)| spec.size.fits_in(&w.vm.capacity);
        if indices.is_empty() || self.state.workers.iter().any(fits) {
            return;
        }
        let largest = self.largest_vm();
        plan.unplaced.push(plan::Unplaced {
            job: spec.name.clone(),
            tasks: count(indices.len()),
            reason: format!(
                "a task needs {}, more than any VM has; ask for at most {largest} per task",
                spec.size
            ),
            largest,
        });
        indices.clear();
    }

    fn refuse_over_quota(
        &mut self,
        spec: &job::Spec,
        indices: &mut Vec<u32>,
        plan: &mut plan::Plan,
    ) {
        let Some(quota) = self.state.config.quotas.get(&spec.team).copied() else {
            return;
        };
        let usage = self.usage.entry(spec.team.clone()).or_default();
        let mut allowed = 0;
        while allowed < indices.len() && usage.plus(&spec.size).fits_in(&quota) {
            *usage = usage.plus(&spec.size);
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
                "the quota of team `{}` is {quota}; ask for fewer tasks or raise its quota",
                spec.team
            ),
            largest: self.largest_vm(),
        });
    }

    /// Places the tasks. Evicted tasks free their capacity at once.
    fn run(&mut self, spec: &job::Spec, indices: &[u32], now: time::Timestamp) {
        let slots = indices.iter().map(|index| job::Slot { index: *index, vm: None }).collect();
        let row = job::Row {
            spec: job::Spec { work: without_windows(&spec.work), ..spec.clone() },
            slots,
            grant: u32::MAX,
            cancelled: false,
            ended: None,
        };
        let version = id::Version::default();
        self.state.jobs.put(spec.name.clone(), state::Stored { row, version });
        for index in indices {
            self.state.set_task(task::Row::new(&spec.name, *index, now));
        }
        loop {
            let before = self.state.counters;
            let mut events = Vec::new();
            self.state.needs_placement = true;
            system::place::run(&mut self.state, now, &mut events);
            self.apply_evictions(events);
            if self.state.counters == before {
                break;
            }
        }
    }

    fn apply_evictions(&mut self, events: Vec<system::Event>) {
        for event in events {
            let system::Event::Evicted { task, vm, by } = event else {
                continue;
            };
            let never = time::Timestamp(u64::MAX);
            self.state.step(&task, &task::Step::Stop { checkpoint: None, after: never });
            self.evictions.push(plan::Eviction { task, vm, by });
        }
    }

    /// Assigns each placed task to the shard of its VM, and spreads the waiting tasks over the
    /// shards in proportion to their capacity.
    fn assign(
        &mut self,
        requested: &Requested,
        indices: &[u32],
        slots: &mut collections::BTreeMap<u32, Assignment>,
        plan: &mut plan::Plan,
    ) {
        let mut waiting: collections::BTreeMap<id::DomainId, u64> =
            self.capacity.keys().map(|shard| (shard.clone(), 0)).collect();
        let mut queued = 0;
        for index in indices {
            let task = id::TaskId::of(&requested.spec.name, *index);
            let vm = self.state.tasks.get(&task).and_then(|stored| stored.row.vm()).cloned();
            let host = vm.as_ref().and_then(|vm| self.state.workers.get(vm));
            if let (Some(vm), Some(worker)) = (vm, host) {
                let shard = worker.vm.domain.clone();
                let placement = plan::Placement { task, shard: shard.clone(), vm: vm.clone() };
                plan.placements.push(placement);
                slots.insert(*index, Assignment { shard, vm: Some(vm) });
                continue;
            }
            queued += 1;
            if let Some(shard) = self.least_loaded(&waiting) {
                *waiting.entry(shard.clone()).or_default() += 1;
                slots.insert(*index, Assignment { shard, vm: None });
            }
        }
        if queued > 0 {
            plan.queued.push(plan::Queued { job: requested.spec.name.clone(), tasks: queued });
        }
    }

    fn least_loaded(
        &self,
        waiting: &collections::BTreeMap<id::DomainId, u64>,
    ) -> Option<id::DomainId> {
        let load = |shard: &id::DomainId| {
            let cores = self.capacity.get(shard).map_or(1, |size| size.cores.max(1));
            waiting.get(shard).copied().unwrap_or(0) as f64 / cores as f64
        };
        waiting.keys().min_by(|a, b| load(a).total_cmp(&load(b))).cloned()
    }

    /// Adds the job's parts that a confirmation stores, including the ones without slots.
    fn add_parts(
        &mut self,
        requested: &Requested,
        slots: collections::BTreeMap<u32, Assignment>,
        grant: u32,
        plan: &mut plan::Plan,
    ) {
        let mut by_shard: collections::BTreeMap<id::DomainId, Vec<job::Slot>> =
            collections::BTreeMap::new();
        for (index, assignment) in slots {
            let slot = job::Slot { index, vm: assignment.vm };
            by_shard.entry(assignment.shard).or_default().push(slot);
        }
        for part in &self.parts {
            if part.row.spec.name == requested.spec.name {
                by_shard.entry(part.shard.clone()).or_default();
            }
        }
        let shard_count = count(by_shard.len()).max(1);
        for (shard, slots) in by_shard {
            let old = self
                .parts
                .iter()
                .find(|part| part.shard == shard && part.row.spec.name == requested.spec.name);
            let version = old.map(|part| part.version).unwrap_or_default();
            let row = job::Row {
                spec: requested.spec.clone(),
                slots,
                grant: grant.div_ceil(shard_count),
                cancelled: false,
                ended: None,
            };
            plan.parts.push(plan::Part { shard, row, version });
        }
    }
}

/// The shard and the VM, if any, to which a task is assigned.
struct Assignment {
    shard: id::DomainId,
    vm: Option<id::VmId>,
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Returns the work without time windows: the dry run places a season's tasks as if the season were
/// active now.
fn without_windows(work: &job::Work) -> job::Work {
    match work {
        job::Work::Service(service) => {
            job::Work::Service(job::Service { windows: Vec::new(), ..service.clone() })
        }
        job::Work::Batch(batch) => job::Work::Batch(batch.clone()),
    }
}

fn add_job(
    state: &mut state::Shard,
    usage: &mut collections::BTreeMap<id::TeamId, size::Size>,
    job: owner::Job,
) {
    let spec = &job.row.spec;
    if job.row.ended.is_none() && !job.row.cancelled {
        let sum = usage.entry(spec.team.clone()).or_default();
        for _ in &job.row.slots {
            *sum = sum.plus(&spec.size);
        }
    }
    state.jobs.put(spec.name.clone(), state::Stored { row: job.row, version: job.version });
}
