//! The owner of one shard: runs the systems over its world each tick and commits what they
//! decide in one transaction.

use std::net;

use gl_lease::{shard_lease, worker_lease};
use gl_model::{config, id, job, key, route, task, time, txn, vm, worker};

use crate::{rows, system, world};

/// What the owner learns from outside.
#[gl_derive::domain]
pub enum Input {
    /// The platform's list of VMs.
    List(vm::List),
    /// The stored rows of the shard's parts of all jobs.
    Jobs(Vec<Job>),
    /// A worker's answer.
    Report(id::VmId, worker::Report),
    /// A worker gave no answer to the last message.
    Silent(id::VmId),
    /// The last commit took effect at this version.
    Committed(id::Version),
    /// The shared configuration changed.
    Config(Box<config::Shared>),
}

/// A stored job row with its version.
#[gl_derive::domain]
pub struct Job {
    /// The row.
    pub row: job::Row,
    /// Its version.
    pub version: id::Version,
}

/// What the owner wants done.
#[gl_derive::domain]
pub enum Action {
    /// Write this to the table service; nothing else is committed until it is settled.
    Commit(txn::Txn),
    /// Send this to a worker's agent.
    Sync {
        /// The worker.
        vm: id::VmId,
        /// Its agent.
        agent: net::SocketAddr,
        /// The message.
        message: worker::Sync,
    },
    /// The shard's routes have changed.
    Publish(route::Set),
    /// A change of state that is worth a line in the log.
    Note(system::Note),
}

/// How an owner begins: the rows that it read after it claimed the shard.
pub struct Settings {
    /// The daemon.
    pub daemon: id::DaemonId,
    /// The shard.
    pub shard: id::DomainId,
    /// The shard's row, as this daemon wrote it.
    pub row: gl_model::shard::Row,
    /// The version of that row.
    pub version: id::Version,
    /// The horizon that earlier owners recorded.
    pub inherited: time::Timestamp,
    /// The shared configuration.
    pub config: config::Shared,
}

/// The stored rows of a shard.
#[derive(Default)]
pub struct Rows {
    /// Its parts of all jobs.
    pub jobs: Vec<Job>,
    /// Its tasks with their versions.
    pub tasks: Vec<Versioned<task::Row>>,
    /// Its VMs' ledgers with their versions.
    pub ledgers: Vec<Versioned<vm::Ledger>>,
}

/// A row with its version.
pub struct Versioned<R> {
    /// The row.
    pub row: R,
    /// Its version.
    pub version: id::Version,
}

struct Flight {
    changes: world::Changes,
    row: gl_model::shard::Row,
}

/// The shortest time between two commits of a shard, which gathers decisions into one write.
const PAUSE: time::Span = time::Span::millis(150);
/// The share of the shard's lease after which it is renewed.
const RENEWAL_SHARE: u64 = 4;

/// The owner of one shard.
pub struct Owner {
    /// The shard's tables.
    pub world: world::World,
    daemon: id::DaemonId,
    row: gl_model::shard::Row,
    version: id::Version,
    renewed: time::Timestamp,
    flight: Option<Flight>,
    commits: u64,
    routes: system::routes::Routes,
}

impl Owner {
    /// An owner that has just claimed its shard at `now` and read its rows.
    pub fn new(settings: Settings, rows: Rows, now: time::Timestamp) -> Self {
        let grants = worker_lease::Leases::new(settings.inherited);
        let mut world = world::World::new(&settings.shard, &settings.config, grants);
        for job in rows.jobs {
            let name = job.row.spec.name.clone();
            world.fresh.insert(name.clone());
            world.jobs.put(name, world::Stored { row: job.row, version: job.version });
        }
        for ledger in rows.ledgers {
            let stored = world::Stored { row: ledger.row, version: ledger.version };
            world.ledgers.put(stored.row.vm.clone(), stored);
        }
        for task in rows.tasks {
            world.load_task(task.row, task.version);
        }
        let routes = system::routes::Routes::new(&settings.shard, settings.row.epoch);
        Self {
            world,
            daemon: settings.daemon,
            row: settings.row,
            version: settings.version,
            renewed: now,
            flight: None,
            commits: 0,
            routes,
        }
    }

    /// The epoch of this ownership.
    pub const fn epoch(&self) -> id::Epoch {
        self.row.epoch
    }

    /// The shard's row as last committed, and its version.
    pub const fn row(&self) -> (&gl_model::shard::Row, id::Version) {
        (&self.row, self.version)
    }

    /// Whether a commit is under way.
    pub const fn is_committing(&self) -> bool {
        self.flight.is_some()
    }

    /// The rows of the last settled commit are in force; what they changed goes to the workers.
    fn settle(&mut self, version: id::Version) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.row = flight.row;
        self.version = version;
        for task in &flight.changes.tasks {
            if let Some(stored) = self.world.tasks.get_mut(task) {
                stored.version = version;
            }
        }
        for vm in &flight.changes.ledgers {
            if let Some(stored) = self.world.ledgers.get_mut(vm) {
                stored.version = version;
            }
        }
        for job in &flight.changes.jobs {
            if let Some(stored) = self.world.jobs.get_mut(job) {
                stored.version = version;
            }
        }
    }

    fn take(&mut self, input: Input, now: time::Timestamp) {
        match input {
            Input::List(list) => system::inventory::run(&mut self.world, &list, now),
            Input::Jobs(rows) => system::jobs::take(&mut self.world, rows),
            Input::Report(vm, report) => system::report::run(&mut self.world, &vm, &report, now),
            Input::Silent(vm) => system::report::silence(&mut self.world, &vm, now),
            Input::Committed(version) => self.settle(version),
            Input::Config(config) => self.world.set_config(*config),
        }
    }

    /// Takes the inputs, runs all systems, and returns what is to be done.
    ///
    /// Decisions wait while a commit is under way, as they build on its rows; leases don't.
    pub fn run(&mut self, now: time::Timestamp, inputs: Vec<Input>) -> Vec<Action> {
        let mut actions = Vec::new();
        for input in inputs {
            self.take(input, now);
        }
        let committed = self.flight.is_none();
        let horizon = self.row.horizon;
        let epoch = self.row.epoch;
        system::sync::run(&mut self.world, epoch, horizon, committed, now, &mut actions);
        if committed && now.since(self.renewed) >= PAUSE {
            self.decide(now, &mut actions);
        }
        if let Some(set) = self.routes.run(&mut self.world) {
            actions.push(Action::Publish(set));
        }
        actions
    }

    fn decide(&mut self, now: time::Timestamp, actions: &mut Vec<Action>) {
        let mut notes = Vec::new();
        system::review::run(&mut self.world, now, &mut notes);
        system::lapse::run(&mut self.world, now, &mut notes);
        system::stuck::run(&mut self.world, now, &mut notes);
        system::retire::run(&mut self.world, now);
        system::jobs::run(&mut self.world, now);
        system::leave::run(&mut self.world);
        system::relief::run(&mut self.world, now, &mut notes);
        system::place::run(&mut self.world, now, &mut notes);
        actions.extend(notes.into_iter().map(Action::Note));
        let lease = time::Span::millis(self.world.config.leases.shard_ms);
        let is_due = now.since(self.renewed) >= time::Span(lease.0 / RENEWAL_SHARE);
        if (is_due || !self.world.changes.is_empty())
            && let Some(commit) = self.commit(now)
        {
            actions.push(Action::Commit(commit));
        }
    }

    /// One transaction with all changed rows and the renewed shard row, under a check of the
    /// shard row's version: an owner whose epoch has ended writes nothing.
    fn commit(&mut self, now: time::Timestamp) -> Option<txn::Txn> {
        self.commits += 1;
        let epoch = self.row.epoch;
        let txn =
            id::TxnId(format!("{}/{epoch}/{}/{}", self.world.shard, self.daemon, self.commits));
        let options = shard_lease::Options::from(&self.world.config.leases);
        let row = shard_lease::renew(&self.row, &self.daemon, &txn, now, &options).ok()?;
        let changes = std::mem::take(&mut self.world.changes);
        let commit = system::commit::txn(&self.world, &changes, &row, self.version, txn);
        self.world.counters.commits += 1;
        self.world.counters.rows += commit.writes.len() as u64;
        self.renewed = now;
        self.flight = Some(Flight { changes, row });
        Some(commit)
    }

    /// Takes the inputs without deciding anything, for an owner that gives its shard back.
    pub fn absorb(&mut self, now: time::Timestamp, inputs: Vec<Input>) {
        for input in inputs {
            self.take(input, now);
        }
    }

    /// The end of the last lease of any worker that runs tasks.
    fn reach(&self) -> time::Timestamp {
        let holds =
            |(_, ledger): &(&id::VmId, &world::Stored<vm::Ledger>)| !ledger.row.promises.is_empty();
        let leases = self.world.ledgers.iter().filter(holds);
        leases.map(|(vm, _)| self.world.grants.expiry(vm)).max().unwrap_or_default()
    }

    /// The transaction that gives the shard back, or none while a commit is under way.
    pub fn release(&self) -> Option<txn::Txn> {
        if self.flight.is_some() {
            return None;
        }
        let shard = &self.world.shard;
        let txn = id::TxnId(format!("{shard}/{}/{}/release", self.row.epoch, self.daemon));
        let row = shard_lease::release(&self.row, &txn, self.reach());
        let mut draft = rows::Draft::new();
        draft.replace(key::shard(shard), self.version, &row);
        Some(draft.finish(txn))
    }
}
