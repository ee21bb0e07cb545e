//! The tables of one shard.

use std::collections;

use gl_lease::worker_lease;
use gl_model::{config, id, job, size, table, task, time, vm, worker};

use crate::{estimate, interference, placer};

/// A stored row and the version at which it stands.
#[derive(Clone, Debug)]
pub struct Stored<R> {
    /// The row, with changes that may not be committed yet.
    pub row: R,
    /// The version in the table service; zero while it isn't there.
    pub version: id::Version,
}

/// What the tasks on a VM are, by kind, at one point in time.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Since when.
    pub since: time::Timestamp,
    /// Batch tasks by kind.
    pub batch: Vec<interference::Count>,
}

/// A worker as its shard's owner sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The VM.
    pub vm: vm::Vm,
    /// What it has not promised yet, kept beside its ledger as every placement reads it.
    pub room: size::Size,
    /// The agent's boot, once it has answered.
    pub boot: Option<u64>,
    /// The number of the last message sent.
    pub seq: u64,
    /// The version of the last report.
    pub known: u64,
    /// The state of the tasks as last reported; none until a full report came.
    pub statuses: Option<table::Table<id::TaskId, worker::Status>>,
    /// The orders that the agent holds; none if it needs all of them.
    pub held: Option<Vec<worker::Order>>,
    /// The orders in the message that is under way.
    pub sent: Option<Vec<worker::Order>>,
    /// The lease in the message that is under way.
    pub lease: time::Timestamp,
    /// When the message under way was sent; none if none is.
    pub waiting: Option<time::Timestamp>,
    /// When the next message is due.
    pub due: time::Timestamp,
    /// Whether its tasks or their wishes have changed since the last message.
    pub stale: bool,
    /// Whether its last report has yet to be compared with the rows.
    pub review: bool,
    /// When it last answered.
    pub heard: Option<time::Timestamp>,
    /// Failures of tasks that it started, with none that ran in between.
    pub failures: u32,
    /// No task starts here before this point.
    pub quarantine: time::Timestamp,
    /// Batch tasks that are slowed down.
    pub throttled: collections::BTreeSet<id::TaskId>,
    /// Recent crowds, newest last, by which lagging reports find their neighbours.
    pub crowds: collections::VecDeque<Crowd>,
    /// The services on it: their kind and load band.
    pub victims: Vec<Victim>,
    /// The slowdown that its services report, averaged over the last reports.
    pub slowdown: f64,
    /// Since when the slowdown is above or below the limits of relief.
    pub pressed: Option<time::Timestamp>,
}

/// A service's task on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// Its kind.
    pub kind: interference::Kind,
    /// Its load.
    pub band: interference::Band,
}

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(vm: &vm::Vm) -> Self {
        Self {
            vm: vm.clone(),
            room: vm.capacity,
            boot: None,
            seq: 0,
            known: 0,
            statuses: None,
            held: None,
            sent: None,
            lease: time::Timestamp::default(),
            waiting: None,
            due: time::Timestamp::default(),
            stale: true,
            review: false,
            heard: None,
            failures: 0,
            quarantine: time::Timestamp::default(),
            throttled: collections::BTreeSet::new(),
            crowds: collections::VecDeque::new(),
            victims: Vec::new(),
            slowdown: 1.0,
            pressed: None,
        }
    }

    /// Whether new tasks may start here at `now`, which a worker that was silent for longer than
    /// `silence` isn't trusted with.
    pub fn is_open(&self, now: time::Timestamp, silence: time::Span) -> bool {
        self.vm.liveness == vm::Liveness::Live
            && self.quarantine <= now
            && self.heard.is_some_and(|heard| now.since(heard) <= silence)
    }

    /// The batch tasks that ran here at `at`.
    pub fn crowd_at(&self, at: time::Timestamp) -> &[interference::Count] {
        let then = self.crowds.iter().rev().find(|crowd| crowd.since <= at);
        then.map_or(&[], |crowd| &crowd.batch)
    }

    /// The batch tasks that run here now.
    pub fn crowd(&self) -> &[interference::Count] {
        self.crowds.back().map_or(&[], |crowd| &crowd.batch)
    }
}

/// The share of a worker's lease for which it may be silent and still get new tasks.
const SILENCE_SHARE: f64 = 0.75;

/// Rows that changed since the last commit.
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
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.ledgers.is_empty() && self.jobs.is_empty()
    }
}

/// The place of a waiting task: services go first, then the earliest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    /// Whether it is a batch task.
    pub batch: bool,
    /// Not before this point.
    pub after: time::Timestamp,
    /// The task.
    pub task: id::TaskId,
}

/// Counters of what the systems did, for metrics.
#[gl_derive::domain]
#[derive(Copy, Default, Eq)]
pub struct Counters {
    /// Tasks that were promised room.
    pub starts: u64,
    /// Batch tasks that were told to write a checkpoint and stop.
    pub evictions: u64,
    /// Tasks that failed and try again.
    pub retries: u64,
    /// Tasks that were given up.
    pub failures: u64,
    /// Tasks whose worker's lease lapsed.
    pub lapses: u64,
    /// Tasks that were slowed down.
    pub throttles: u64,
    /// Workers put into quarantine.
    pub quarantines: u64,
    /// Tasks that finished.
    pub done: u64,
    /// Commits to the table service.
    pub commits: u64,
    /// Rows written by those commits.
    pub rows: u64,
}

/// All state of one shard.
pub struct World {
    /// The shard.
    pub shard: id::DomainId,
    /// The shared configuration.
    pub config: config::Shared,
    /// The shard's parts of all jobs.
    pub jobs: table::Table<id::JobId, Stored<job::Row>>,
    /// All tasks.
    pub tasks: table::Table<id::TaskId, Stored<task::Row>>,
    /// What the VMs have promised.
    pub ledgers: table::Table<id::VmId, Stored<vm::Ledger>>,
    /// The workers.
    pub workers: table::Table<id::VmId, Worker>,
    /// The tasks that wait for room.
    pub queue: collections::BTreeSet<Waiting>,
    /// What changed since the last commit.
    pub changes: Changes,
    /// Tasks that began to start since the last tick.
    pub begun: collections::BTreeSet<id::TaskId>,
    /// Since when tasks are starting.
    pub starting: collections::BTreeMap<id::TaskId, time::Timestamp>,
    /// Jobs whose tasks have to be compared with their rows.
    pub fresh: collections::BTreeSet<id::JobId>,
    /// The leases granted to workers.
    pub grants: worker_lease::Leases,
    /// What was learned about pairs of kinds.
    pub model: interference::Model,
    /// What was learned about sizes.
    pub estimates: estimate::Estimates,
    /// How VMs are chosen.
    pub placer: Box<dyn placer::Placer>,
    /// Whether a service's task, its address or its VM may have changed since the routes were
    /// last published.
    pub rerouted: bool,
    /// Whether room came up or tasks came in since the last placement.
    pub stirred: bool,
    /// What the systems did.
    pub counters: Counters,
}

impl World {
    /// A world without rows.
    pub fn new(
        shard: &id::DomainId,
        config: &config::Shared,
        grants: worker_lease::Leases,
    ) -> Self {
        Self {
            shard: shard.clone(),
            config: config.clone(),
            jobs: table::Table::default(),
            tasks: table::Table::default(),
            ledgers: table::Table::default(),
            workers: table::Table::default(),
            queue: collections::BTreeSet::new(),
            changes: Changes::default(),
            begun: collections::BTreeSet::new(),
            starting: collections::BTreeMap::new(),
            fresh: collections::BTreeSet::new(),
            grants,
            model: interference::Model::default(),
            estimates: estimate::Estimates::default(),
            placer: Box::new(placer::LeastHarm { weights: config.weights }),
            rerouted: true,
            stirred: true,
            counters: Counters::default(),
        }
    }

    /// How long a worker may be silent and still get new tasks.
    pub fn silence(&self) -> time::Span {
        time::Span::millis(self.config.leases.worker_ms).scaled(SILENCE_SHARE)
    }

    /// Puts a changed configuration in force.
    pub fn set_config(&mut self, config: config::Shared) {
        self.placer = Box::new(placer::LeastHarm { weights: config.weights });
        self.config = config;
    }

    /// The job of a task.
    pub fn job_of(&self, task: &task::Row) -> Option<&job::Row> {
        self.jobs.get(&task.job).map(|stored| &stored.row)
    }

    fn waiting(&self, row: &task::Row) -> Option<Waiting> {
        let after = row.waits_until()?;
        let batch = !self.job_of(row).is_some_and(|job| job.spec.is_service());
        Some(Waiting { batch, after, task: row.id.clone() })
    }

    /// Takes a stored task into the tables.
    pub fn load_task(&mut self, row: task::Row, version: id::Version) {
        if let Some(waiting) = self.waiting(&row) {
            self.queue.insert(waiting);
        }
        if matches!(row.state, task::State::Starting { .. }) {
            self.begun.insert(row.id.clone());
        }
        self.tasks.put(row.id.clone(), Stored { row, version });
    }

    /// Replaces a task's row and notes it for the next commit.
    pub fn set_task(&mut self, row: task::Row) {
        if let Some(waiting) = self.tasks.get(&row.id).and_then(|old| self.waiting(&old.row)) {
            self.queue.remove(&waiting);
        }
        if let Some(waiting) = self.waiting(&row) {
            self.queue.insert(waiting);
            self.stirred = true;
        }
        if row.state == task::State::Cancelled {
            // Its job may have been submitted again meanwhile.
            self.fresh.insert(row.job.clone());
        }
        if matches!(row.state, task::State::Starting { .. }) {
            self.begun.insert(row.id.clone());
        }
        self.rerouted = true;
        self.changes.tasks.insert(row.id.clone());
        let version = self.tasks.get(&row.id).map(|old| old.version).unwrap_or_default();
        self.tasks.put(row.id.clone(), Stored { row, version });
    }

    /// Takes a step in a task's lifecycle; returns whether its state admits it.
    pub fn step(&mut self, task: &id::TaskId, step: &task::Step) -> bool {
        let Some(stored) = self.tasks.get(task) else {
            return false;
        };
        let Ok(next) = stored.row.step(step) else {
            return false;
        };
        let held = stored.row.vm().cloned();
        let holds = next.vm().cloned();
        self.set_task(next);
        if let Some(vm) = &held {
            self.mark_stale(vm);
        }
        if held != holds
            && let Some(vm) = &held
        {
            self.release(vm, task);
        }
        true
    }

    /// Notes that a worker needs new orders.
    pub fn mark_stale(&mut self, vm: &id::VmId) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.stale = true;
        }
    }

    /// The ledger of a VM, made empty from its worker if it has none yet.
    pub fn ledger_mut(&mut self, vm: &id::VmId) -> Option<&mut vm::Ledger> {
        if !self.ledgers.contains(vm) {
            let row = vm::Ledger::new(&self.workers.get(vm)?.vm);
            self.ledgers.put(vm.clone(), Stored { row, version: id::Version::default() });
        }
        self.ledgers.get_mut(vm).map(|stored| &mut stored.row)
    }

    /// Brings a worker's room in line with its ledger.
    pub fn note_room(&mut self, vm: &id::VmId) {
        let Some(ledger) = self.ledgers.get(vm) else {
            return;
        };
        let room = ledger.row.room();
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.room = room;
        }
    }

    /// Promises room on a VM to a start of a task.
    ///
    /// # Errors
    ///
    /// If the room isn't there, or the VM isn't known.
    pub fn promise(&mut self, vm: &id::VmId, promise: vm::Promise) -> Result<(), vm::Error> {
        let unknown = vm::Error::Full { room: size::Size::default() };
        self.ledger_mut(vm).ok_or(unknown)?.promise(promise)?;
        self.changes.ledgers.insert(vm.clone());
        self.note_room(vm);
        self.mark_stale(vm);
        Ok(())
    }

    fn release(&mut self, vm: &id::VmId, task: &id::TaskId) {
        let Some(ledger) = self.ledger_mut(vm) else {
            return;
        };
        if ledger.release(task) {
            self.changes.ledgers.insert(vm.clone());
            self.note_room(vm);
            self.stirred = true;
        }
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.throttled.remove(task);
        }
    }

    /// The tasks that hold a promise on a VM.
    pub fn tasks_on(&self, vm: &id::VmId) -> Vec<id::TaskId> {
        let ledger = self.ledgers.get(vm);
        ledger.map_or_else(Vec::new, |l| l.row.promises.iter().map(|p| p.task.clone()).collect())
    }
}
