//! The owner of one shard: runs the systems over the shard's state each tick and commits their
//! decisions in one transaction.

use std::net;

use gl_lease::{shard_lease, worker_lease};
use gl_model::{config, id, job, key, route, task, time, txn, vm, worker};

use crate::{rows, state, system};

/// An input of the owner.
#[gl_derive::domain]
pub enum Input {
    /// The platform's list of VMs.
    List(vm::List),
    /// The stored rows of the shard's parts of all jobs.
    Jobs(Vec<Job>),
    /// A worker's reply to the last message.
    Report(id::VmId, worker::Report),
    /// A worker did not reply to the last message.
    #[serde(rename = "silent")]
    NoReply(id::VmId),
    /// The last commit took effect and gave its rows this version.
    Committed(id::Version),
    /// The shared configuration changed.
    Config(Box<config::Shared>),
}

/// A stored job row and its version.
#[gl_derive::domain]
pub struct Job {
    /// The row.
    pub row: job::Row,
    /// Its version.
    pub version: id::Version,
}

/// An output of the owner, to be carried out by its caller.
#[gl_derive::domain]
pub enum Action {
    /// Commit this transaction to the table service. The owner returns no other commit until the
    /// outcome of this one is known.
    Commit(txn::Txn),
    /// Send a message to a worker's agent.
    Sync {
        /// The worker.
        vm: id::VmId,
        /// The address of its agent.
        agent: net::SocketAddr,
        /// The message.
        message: worker::Sync,
    },
    /// Publish the shard's routes, which have changed.
    Publish(route::Set),
    /// Write a change of state to the log.
    #[serde(rename = "note")]
    Log(system::Event),
}

/// The parameters of an owner that has just claimed its shard.
pub struct Settings {
    /// The daemon that owns the shard.
    pub daemon: id::DaemonId,
    /// The shard that it claimed.
    pub shard: id::DomainId,
    /// The shard's row as written by the claim.
    pub row: gl_model::shard::Row,
    /// The version of that row.
    pub version: id::Version,
    /// The horizon of worker leases that earlier owners recorded.
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

/// A row and its version.
pub struct Versioned<R> {
    /// The row.
    pub row: R,
    /// Its version.
    pub version: id::Version,
}

struct PendingCommit {
    changes: state::Changes,
    row: gl_model::shard::Row,
}

/// The shortest time between two commits of a shard: decisions made within it share one write
/// (group commit).
const COMMIT_INTERVAL: time::Span = time::Span::millis(150);
/// The number of renewals within the duration of the shard's lease.
const RENEWALS_PER_LEASE: u64 = 4;

/// The owner of one shard.
pub struct Owner {
    /// The state of the shard.
    pub state: state::Shard,
    daemon: id::DaemonId,
    row: gl_model::shard::Row,
    version: id::Version,
    renewed: time::Timestamp,
    pending: Option<PendingCommit>,
    commits: u64,
    routes: system::routes::Routes,
}

impl Owner {
    /// Creates the owner of a shard that was claimed at `now`, from the stored rows of the shard.
    pub fn new(settings: Settings, rows: Rows, now: time::Timestamp) -> Self {
        let leases = worker_lease::Leases::new(settings.inherited);
        let mut state = state::Shard::new(&settings.shard, &settings.config, leases);
        for job in rows.jobs {
            let name = job.row.spec.name.clone();
            state.unreconciled.insert(name.clone());
            state.jobs.put(name, state::Stored { row: job.row, version: job.version });
        }
        for ledger in rows.ledgers {
            let stored = state::Stored { row: ledger.row, version: ledger.version };
            state.ledgers.put(stored.row.vm.clone(), stored);
        }
        for task in rows.tasks {
            state.load_task(task.row, task.version);
        }
        let routes = system::routes::Routes::new(&settings.shard, settings.row.epoch);
        Self {
            state,
            daemon: settings.daemon,
            row: settings.row,
            version: settings.version,
            renewed: now,
            pending: None,
            commits: 0,
            routes,
        }
    }

    /// Returns the epoch of this ownership.
    pub const fn epoch(&self) -> id::Epoch {
        self.row.epoch
    }

    /// Returns the shard's row as last committed, and its version.
    pub const fn row(&self) -> (&gl_model::shard::Row, id::Version) {
        (&self.row, self.version)
    }

    /// Returns whether a commit is in flight.
    pub const fn is_committing(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that the commit in flight took effect and gave its rows the version `version`.
    fn apply_committed(&mut self, version: id::Version) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.row = pending.row;
        self.version = version;
        for task in &pending.changes.tasks {
            if let Some(stored) = self.state.tasks.get_mut(task) {
                stored.version = version;
            }
        }
        for vm in &pending.changes.ledgers {
            if let Some(stored) = self.state.ledgers.get_mut(vm) {
                stored.version = version;
            }
        }
        for job in &pending.changes.jobs {
            if let Some(stored) = self.state.jobs.get_mut(job) {
                stored.version = version;
            }
        }
    }

    fn apply_input(&mut self, input: Input, now: time::Timestamp) {
        match input {
            Input::List(list) => system::inventory::run(&mut self.state, &list, now),
            Input::Jobs(rows) => system::jobs::update(&mut self.state, rows),
            Input::Report(vm, report) => system::report::run(&mut self.state, &vm, &report, now),
            Input::NoReply(vm) => system::report::timed_out(&mut self.state, &vm, now),
            Input::Committed(version) => self.apply_committed(version),
            Input::Config(config) => self.state.set_config(*config),
        }
    }

    /// Applies the inputs, runs all systems, and returns the resulting actions.
    ///
    /// No decisions are made while a commit is in flight, as they depend on its rows. The leases
    /// of workers are renewed even then.
    pub fn run(&mut self, now: time::Timestamp, inputs: Vec<Input>) -> Vec<Action> {
        let mut actions = Vec::new();
        for input in inputs {
            self.apply_input(input, now);
        }
        let is_settled = self.pending.is_none();
        let horizon = self.row.horizon;
        let epoch = self.row.epoch;
        system::sync::run(&mut self.state, epoch, horizon, is_settled, now, &mut actions);
        if is_settled && now.since(self.renewed) >= COMMIT_INTERVAL {
            self.decide(now, &mut actions);
        }
        if let Some(set) = self.routes.run(&mut self.state) {
            actions.push(Action::Publish(set));
        }
        actions
    }

    fn decide(&mut self, now: time::Timestamp, actions: &mut Vec<Action>) {
        let mut events = Vec::new();
        system::review::run(&mut self.state, now, &mut events);
        system::expiry::run(&mut self.state, now, &mut events);
        system::stuck::run(&mut self.state, now, &mut events);
        system::retire::run(&mut self.state, now);
        system::jobs::run(&mut self.state, now);
        system::drain::run(&mut self.state);
        system::mitigation::run(&mut self.state, now, &mut events);
        system::place::run(&mut self.state, now, &mut events);
        actions.extend(events.into_iter().map(Action::Log));
        let lease = time::Span::millis(self.state.config.leases.shard_ms);
        let is_due = now.since(self.renewed) >= time::Span(lease.0 / RENEWALS_PER_LEASE);
        if (is_due || !self.state.changes.is_empty())
            && let Some(commit) = self.commit(now)
        {
            actions.push(Action::Commit(commit));
        }
    }

    /// Returns one transaction with all changed rows and the renewed shard row. It checks the
    /// version of the shard row, so an owner whose epoch has ended cannot write anything.
    fn commit(&mut self, now: time::Timestamp) -> Option<txn::Txn> {
        self.commits += 1;
        let epoch = self.row.epoch;
        let txn =
            id::TxnId(format!("{}/{epoch}/{}/{}", self.state.domain, self.daemon, self.commits));
        let options = shard_lease::Options::from(&self.state.config.leases);
        let row = shard_lease::renew(&self.row, &self.daemon, &txn, now, &options).ok()?;
        let changes = std::mem::take(&mut self.state.changes);
        let commit = system::commit::txn(&self.state, &changes, &row, self.version, txn);
        self.state.counters.commits += 1;
        self.state.counters.rows += commit.writes.len() as u64;
        self.renewed = now;
        self.pending = Some(PendingCommit { changes, row });
        Some(commit)
    }

    /// Applies the inputs without making decisions, for an owner that is about to release its
    /// shard.
    pub fn apply_inputs(&mut self, now: time::Timestamp, inputs: Vec<Input>) {
        for input in inputs {
            self.apply_input(input, now);
        }
    }

    /// Returns the latest expiry among the leases of workers that run tasks.
    fn last_lease_expiry(&self) -> time::Timestamp {
        let has_tasks = |(_, ledger): &(&id::VmId, &state::Stored<vm::Ledger>)| {
            !ledger.row.reservations.is_empty()
        };
        let leases = self.state.ledgers.iter().filter(has_tasks);
        leases.map(|(vm, _)| self.state.leases.expiry(vm)).max().unwrap_or_default()
    }

    /// Returns the transaction that releases the shard; none while a commit is in flight.
    pub fn release(&self) -> Option<txn::Txn> {
        if self.pending.is_some() {
            return None;
        }
        let shard = &self.state.domain;
        let txn = id::TxnId(format!("{shard}/{}/{}/release", self.row.epoch, self.daemon));
        let row = shard_lease::release(&self.row, &txn, self.last_lease_expiry());
        let mut draft = rows::Draft::new();
        draft.replace(key::shard(shard), self.version, &row);
        Some(draft.finish(txn))
    }
}
