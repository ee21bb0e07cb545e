//! The decision state of one shard: entity tables, the queue of waiting tasks and learned models.

use std::collections;

use gl_lease::worker_lease;
use gl_model::{config, id, job, size, table, task, time, vm, worker};

use crate::{estimate, interference, placer};

/// A stored row and its version.
#[derive(Clone, Debug)]
pub struct Stored<R> {
    /// The row, including changes that may not be committed yet.
    pub row: R,
    /// The version in the table service; zero if the row is not stored yet.
    pub version: id::Version,
}

/// The batch tasks that run together on a VM from one point in time until the next change.
#[derive(Clone, Debug)]
pub struct Colocation {
    /// The start of this period.
    pub since: time::Timestamp,
    /// The number of batch tasks of each kind.
    pub batch: Vec<interference::Count>,
}

/// The owner's state of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The VM.
    pub vm: vm::Vm,
    /// The unreserved capacity: a copy of the ledger's value, as every placement reads it.
    pub free: size::Size,
    /// The boot number of the agent, known after its first reply.
    pub boot: Option<u64>,
    /// The sequence number of the last message sent.
    pub seq: u64,
    /// The version of the last report received.
    pub report_version: u64,
    /// The last reported status of each task; none before the first full report.
    pub statuses: Option<table::Table<id::TaskId, worker::Status>>,
    /// The orders that the agent has accepted; none if the next message must carry all orders.
    pub held_orders: Option<Vec<worker::Order>>,
    /// The orders in the message in flight.
    pub sent_orders: Option<Vec<worker::Order>>,
    /// The expiry of the lease in the message in flight.
    pub sent_lease: time::Timestamp,
    /// The time at which the message in flight was sent; none if no message is in flight.
    pub sent_at: Option<time::Timestamp>,
    /// The time at which the next message is due, even if nothing changes.
    pub next_sync: time::Timestamp,
    /// Whether its tasks or their desired states have changed since the last message.
    pub is_stale: bool,
    /// Whether its last report has not been compared with the rows yet.
    pub needs_review: bool,
    /// The time of the last reply.
    pub last_reply: Option<time::Timestamp>,
    /// Consecutive failures of tasks on it. A task that gets to run resets the count.
    pub failures: u32,
    /// The end of its quarantine: no task starts here before.
    pub quarantined_until: time::Timestamp,
    /// Batch tasks that are throttled.
    pub throttled: collections::BTreeSet<id::TaskId>,
    /// Recently co-located batch tasks, newest last, to which lagging measurements are attributed.
    pub history: collections::VecDeque<Colocation>,
    /// The services on it, with their kinds and load bands.
    pub services: Vec<Service>,
    /// The slowdown that its services report, as an exponential moving average.
    pub slowdown: f64,
    /// The time since which the slowdown is beyond a threshold of [`crate::system::mitigation`].
    pub crossed_at: Option<time::Timestamp>,
}

/// A service with a task on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Its kind.
    pub kind: interference::Kind,
    /// Its load band.
    pub band: interference::Band,
}

impl Worker {
    /// Returns a worker that has not replied yet.
    pub fn new(vm: &vm::Vm) -> Self {
        Self {
            vm: vm.clone(),
            free: vm.capacity,
            boot: None,
            seq: 0,
            report_version: 0,
            statuses: None,
            held_orders: None,
            sent_orders: None,
            sent_lease: time::Timestamp::default(),
            sent_at: None,
            next_sync: time::Timestamp::default(),
            is_stale: true,
            needs_review: false,
            last_reply: None,
            failures: 0,
            quarantined_until: time::Timestamp::default(),
            throttled: collections::BTreeSet::new(),
            history: collections::VecDeque::new(),
            services: Vec::new(),
            slowdown: 1.0,
            crossed_at: None,
        }
    }

    /// Returns whether new tasks may start here at `now`. A worker whose last reply is older than
    /// `unresponsive_after` gets none.
    pub fn accepts_tasks(&self, now: time::Timestamp, unresponsive_after: time::Span) -> bool {
        self.vm.liveness == vm::Liveness::Live
            && self.quarantined_until <= now
            && self.last_reply.is_some_and(|at| now.since(at) <= unresponsive_after)
    }

    /// Returns the batch tasks that ran here at `at`.
    pub fn colocated_at(&self, at: time::Timestamp) -> &[interference::Count] {
        let entry = self.history.iter().rev().find(|entry| entry.since <= at);
        entry.map_or(&[], |entry| &entry.batch)
    }

    /// Returns the batch tasks that run here now.
    pub fn colocated(&self) -> &[interference::Count] {
        self.history.back().map_or(&[], |entry| &entry.batch)
    }
}

/// The share of its lease after which a worker without a reply gets no new tasks.
const UNRESPONSIVE_SHARE: f64 = 0.75;

/// Identities of the rows that changed since the last commit.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Tasks.
    pub tasks: collections::BTreeSet<id::TaskId>,
    /// Ledgers.
    pub ledgers: collections::BTreeSet<id::VmId>,
    /// Jobs.
    pub jobs: collections::BTreeSet<id::JobId>,
}

impl Changes {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.ledgers.is_empty() && self.jobs.is_empty()
    }
}

/// The position of a waiting task in the queue: services first, then by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Whether the task belongs to a batch job.
    pub is_batch: bool,
    /// The earliest time at which the task may start.
    pub after: time::Timestamp,
    /// The task.
    pub task: id::TaskId,
}

/// Counts of decisions, for metrics.
#[gl_derive::domain]
#[derive(Copy, Default, Eq)]
pub struct Counters {
    /// Task starts for which capacity was reserved.
    pub starts: u64,
    /// Evicted batch tasks: each was ordered to write a checkpoint and stop.
    pub evictions: u64,
    /// Tasks that failed or did not get to run, and are retried.
    pub retries: u64,
    /// Tasks that failed for good.
    pub failures: u64,
    /// Tasks whose worker's lease expired.
    #[serde(rename = "lapses")]
    pub expiries: u64,
    /// Tasks that were throttled.
    pub throttles: u64,
    /// Workers put into quarantine.
    pub quarantines: u64,
    /// Tasks that completed their work.
    pub done: u64,
    /// Commits to the table service.
    pub commits: u64,
    /// Rows written by those commits.
    pub rows: u64,
}

/// The state of one shard.
pub struct Shard {
    /// The failure domain that the shard covers.
    pub domain: id::DomainId,
    /// The shared configuration.
    pub config: config::Shared,
    /// The shard's parts of all jobs.
    pub jobs: table::Table<id::JobId, Stored<job::Row>>,
    /// All tasks.
    pub tasks: table::Table<id::TaskId, Stored<task::Row>>,
    /// The ledgers of reserved capacity, one per VM.
    pub ledgers: table::Table<id::VmId, Stored<vm::Ledger>>,
    /// The workers.
    pub workers: table::Table<id::VmId, Worker>,
    /// The tasks that wait for capacity, in the order in which they are placed.
    pub queue: collections::BTreeSet<QueueEntry>,
    /// The rows that changed since the last commit.
    pub changes: Changes,
    /// Tasks that entered the starting state since the last tick.
    pub new_starts: collections::BTreeSet<id::TaskId>,
    /// The time at which each starting task entered that state.
    pub starting_since: collections::BTreeMap<id::TaskId, time::Timestamp>,
    /// Jobs whose tasks have to be compared with the job's row.
    pub unreconciled: collections::BTreeSet<id::JobId>,
    /// The leases granted to workers.
    pub leases: worker_lease::Leases,
    /// The learned interference between pairs of kinds.
    pub model: interference::Model,
    /// The learned sizes of tasks.
    pub estimates: estimate::Estimates,
    /// The strategy that chooses VMs.
    pub placer: Box<dyn placer::Placer>,
    /// Whether the routes may have changed since they were last published.
    pub routes_changed: bool,
    /// Whether tasks arrived, capacity was freed or the models changed since the last placement.
    pub needs_placement: bool,
    /// The counts of decisions.
    pub counters: Counters,
}

impl Shard {
    /// Returns the state of a shard without rows.
    pub fn new(id: &id::DomainId, config: &config::Shared, leases: worker_lease::Leases) -> Self {
        Self {
            domain: id.clone(),
            config: config.clone(),
            jobs: table::Table::default(),
            tasks: table::Table::default(),
            ledgers: table::Table::default(),
            workers: table::Table::default(),
            queue: collections::BTreeSet::new(),
            changes: Changes::default(),
            new_starts: collections::BTreeSet::new(),
            starting_since: collections::BTreeMap::new(),
            unreconciled: collections::BTreeSet::new(),
            leases,
            model: interference::Model::default(),
            estimates: estimate::Estimates::default(),
            placer: Box::new(placer::LeastInterference { weights: config.weights }),
            routes_changed: true,
            needs_placement: true,
            counters: Counters::default(),
        }
    }

    /// Returns the time without a reply after which a worker gets no new tasks.
    pub fn unresponsive_after(&self) -> time::Span {
        time::Span::millis(self.config.leases.worker_ms).scaled(UNRESPONSIVE_SHARE)
    }

    /// Applies a changed configuration.
    pub fn set_config(&mut self, config: config::Shared) {
        self.placer = Box::new(placer::LeastInterference { weights: config.weights });
        self.config = config;
    }

    /// Returns the job of a task.
    pub fn job_of(&self, task: &task::Row) -> Option<&job::Row> {
        self.jobs.get(&task.job).map(|stored| &stored.row)
    }

    fn queue_entry(&self, row: &task::Row) -> Option<QueueEntry> {
        let after = row.waits_until()?;
        let is_batch = !self.job_of(row).is_some_and(|job| job.spec.is_service());
        Some(QueueEntry { is_batch, after, task: row.id.clone() })
    }

    /// Adds a stored task to the tables.
    pub fn load_task(&mut self, row: task::Row, version: id::Version) {
        if let Some(entry) = self.queue_entry(&row) {
            self.queue.insert(entry);
        }
        if matches!(row.state, task::State::Starting { .. }) {
            self.new_starts.insert(row.id.clone());
        }
        self.tasks.put(row.id.clone(), Stored { row, version });
    }

    /// Replaces a task's row and records it for the next commit.
    pub fn set_task(&mut self, row: task::Row) {
        if let Some(entry) = self.tasks.get(&row.id).and_then(|old| self.queue_entry(&old.row)) {
            self.queue.remove(&entry);
        }
        if let Some(entry) = self.queue_entry(&row) {
            self.queue.insert(entry);
            self.needs_placement = true;
        }
        if row.state == task::State::Cancelled {
            // Its job may have been submitted again in the meantime.
            self.unreconciled.insert(row.job.clone());
        }
        if matches!(row.state, task::State::Starting { .. }) {
            self.new_starts.insert(row.id.clone());
        }
        self.routes_changed = true;
        self.changes.tasks.insert(row.id.clone());
        let version = self.tasks.get(&row.id).map(|old| old.version).unwrap_or_default();
        self.tasks.put(row.id.clone(), Stored { row, version });
    }

    /// Applies a step of a task's lifecycle. Returns false if the task's state does not allow it.
    pub fn step(&mut self, task: &id::TaskId, step: &task::Step) -> bool {
        let Some(stored) = self.tasks.get(task) else {
            return false;
        };
        let Ok(next) = stored.row.step(step) else {
            return false;
        };
        let old_vm = stored.row.vm().cloned();
        let new_vm = next.vm().cloned();
        self.set_task(next);
        if let Some(vm) = &old_vm {
            self.mark_stale(vm);
        }
        if old_vm != new_vm
            && let Some(vm) = &old_vm
        {
            self.release(vm, task);
        }
        true
    }

    /// Marks that a worker needs new orders.
    pub fn mark_stale(&mut self, vm: &id::VmId) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.is_stale = true;
        }
    }

    /// Returns the ledger of a VM; creates an empty one if the VM is known and has none.
    pub fn ledger_mut(&mut self, vm: &id::VmId) -> Option<&mut vm::Ledger> {
        if !self.ledgers.contains(vm) {
            let row = vm::Ledger::new(&self.workers.get(vm)?.vm);
            self.ledgers.put(vm.clone(), Stored { row, version: id::Version::default() });
        }
        self.ledgers.get_mut(vm).map(|stored| &mut stored.row)
    }

    /// Copies the free capacity of a VM's ledger to its worker.
    pub fn refresh_free(&mut self, vm: &id::VmId) {
        let Some(ledger) = self.ledgers.get(vm) else {
            return;
        };
        let free = ledger.row.free();
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.free = free;
        }
    }

    /// Reserves capacity on a VM for one start of a task.
    ///
    /// # Errors
    ///
    /// Returns an error if the capacity is not available, or the VM is not known.
    pub fn reserve(
        &mut self,
        vm: &id::VmId,
        reservation: vm::Reservation,
    ) -> Result<(), vm::Error> {
        let unknown = vm::Error::Full { free: size::Size::default() };
        self.ledger_mut(vm).ok_or(unknown)?.reserve(reservation)?;
        self.changes.ledgers.insert(vm.clone());
        self.refresh_free(vm);
        self.mark_stale(vm);
        Ok(())
    }

    fn release(&mut self, vm: &id::VmId, task: &id::TaskId) {
        let Some(ledger) = self.ledger_mut(vm) else {
            return;
        };
        if ledger.release(task) {
            self.changes.ledgers.insert(vm.clone());
            self.refresh_free(vm);
            self.needs_placement = true;
        }
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.throttled.remove(task);
        }
    }

    /// Returns the tasks that have a reservation on a VM.
    pub fn tasks_on(&self, vm: &id::VmId) -> Vec<id::TaskId> {
        let ledger = self.ledgers.get(vm);
        ledger
            .map_or_else(Vec::new, |l| l.row.reservations.iter().map(|p| p.task.clone()).collect())
    }
}
