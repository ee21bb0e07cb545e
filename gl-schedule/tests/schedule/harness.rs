//! A test harness: a fake table service and fake workers around real owners, driven step by step.

use std::collections;

use gl_lease::shard_lease;
use gl_model::{config, id, job, key, size, task, time, txn, vm, worker};
use gl_schedule::owner::{self, Action, Input, Owner};

pub const START: time::Timestamp = time::Timestamp(1_000_000_000_000);
pub const SHARD: &str = "one";

pub fn vm(number: usize, size: size::Size) -> vm::Vm {
    vm::Vm {
        id: id::VmId(format!("vm-{number:03}")),
        domain: id::DomainId::from(SHARD),
        rack: id::RackId(format!("r{}", number / 8)),
        agent: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        capacity: size,
        slots: 8,
        connections: 64,
        liveness: vm::Liveness::Live,
    }
}

pub fn size(cores: u64, memory: u64) -> size::Size {
    size::Size { cores: cores * 1_000, memory: memory * 1_000, accelerators: 0 }
}

pub fn batch(name: &str, tasks: u32, size: size::Size) -> job::Row {
    let work =
        job::Work::Batch(job::Batch { run: time::Span::seconds(10), evictions: 3, due: None });
    row(name, "report", tasks, size, work)
}

pub fn service(name: &str, tasks: u32, size: size::Size, grant: u32) -> job::Row {
    let work = job::Work::Service(job::Service {
        serves: id::JobId::from(name),
        deadline: time::Span::millis(300),
        objective: 0.999,
        windows: Vec::new(),
    });
    job::Row { grant, ..row(name, "booking", tasks, size, work) }
}

fn row(name: &str, kind: &str, tasks: u32, size: size::Size, work: job::Work) -> job::Row {
    let spec = job::Spec {
        name: id::JobId::from(name),
        team: id::TeamId::from("team"),
        kind: id::KindId::from(kind),
        size,
        work,
    };
    let slots = (0..tasks).map(|index| job::Slot { index, vm: None }).collect();
    job::Row { spec, slots, grant: 0, cancelled: false, ended: None }
}

/// A table service in memory that checks the ledgers after each commit.
#[derive(Default)]
pub struct Store {
    pub rows: collections::BTreeMap<String, txn::Row>,
    pub version: u64,
    pub commits: u64,
    pub config: config::Shared,
}

impl Store {
    pub fn transact(&mut self, txn: &txn::Txn) -> txn::Outcome {
        let version = |key: &String| self.rows.get(key).map(|r| r.version).unwrap_or_default();
        let failed = txn.checks.iter().filter(|check| version(&check.key) != check.version);
        let failed: Vec<txn::Check> = failed.cloned().collect();
        if !failed.is_empty() {
            return txn::Outcome::Conflict(failed);
        }
        self.version += 1;
        self.commits += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    let version = id::Version(self.version);
                    let row = txn::Row { key: write.key.clone(), version, value: value.clone() };
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        self.check_ledgers();
        txn::Outcome::Committed(id::Version(self.version))
    }

    /// Checks that in the committed state no VM has more reservations than capacity.
    fn check_ledgers(&self) {
        for row in self.rows.values().filter(|row| row.key.starts_with("vm/")) {
            let ledger: vm::Ledger = serde_json::from_str(&row.value).unwrap();
            assert!(
                ledger.reserved().fits_in(&ledger.capacity),
                "reservations exceed the capacity: {ledger:?}"
            );
        }
    }

    pub fn put<R: serde::Serialize>(&mut self, key: &str, row: &R) {
        self.version += 1;
        let value = serde_json::to_string(row).unwrap();
        let row = txn::Row { key: key.to_owned(), version: id::Version(self.version), value };
        self.rows.insert(key.to_owned(), row);
    }

    pub fn scan<R: serde::de::DeserializeOwned>(&self, prefix: &str) -> Vec<owner::Versioned<R>> {
        let rows = self.rows.values().filter(|row| row.key.starts_with(prefix));
        let parse = |row: &txn::Row| owner::Versioned {
            row: serde_json::from_str(&row.value).unwrap(),
            version: row.version,
        };
        rows.map(parse).collect()
    }

    pub fn jobs(&self) -> Vec<owner::Job> {
        let jobs = self.scan::<job::Row>(&key::jobs(&id::DomainId::from(SHARD)));
        jobs.into_iter().map(|v| owner::Job { row: v.row, version: v.version }).collect()
    }

    pub fn put_job(&mut self, row: &job::Row) {
        self.put(&key::job(&id::DomainId::from(SHARD), &row.spec.name), row);
    }

    pub fn tasks(&self) -> Vec<task::Row> {
        let tasks = self.scan(&key::tasks(&id::DomainId::from(SHARD)));
        tasks.into_iter().map(|v| v.row).collect()
    }

    /// Claims the shard for a daemon and returns its owner; none while another daemon holds the
    /// shard.
    pub fn claim(&mut self, daemon: &str, now: time::Timestamp) -> Option<Owner> {
        let shard_id = id::DomainId::from(SHARD);
        let key = key::shard(&shard_id);
        let read = self.rows.get(&key).cloned();
        let row: Option<gl_model::shard::Row> =
            read.as_ref().map(|r| serde_json::from_str(&r.value).unwrap());
        let inherited = row.as_ref().map(|row| row.horizon).unwrap_or_default();
        let daemon_id = id::DaemonId::from(daemon);
        let txn = id::TxnId(format!("claim/{daemon}/{}", now.0));
        let options = shard_lease::Options::from(&self.config.leases);
        let claimed = shard_lease::claim(row.as_ref(), &daemon_id, &txn, now, &options).ok()?;
        self.put(&key, &claimed);
        let settings = owner::Settings {
            daemon: daemon_id,
            shard: shard_id.clone(),
            row: claimed,
            version: id::Version(self.version),
            inherited,
            config: self.config.clone(),
        };
        let rows = owner::Rows {
            jobs: self.jobs(),
            tasks: self.scan(&key::tasks(&shard_id)),
            ledgers: self.scan(&key::ledgers(&shard_id)),
        };
        Some(Owner::new(settings, rows, now))
    }
}

/// A run of a task on a fake worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: id::TaskId,
    pub vm: usize,
    pub started_at: time::Timestamp,
    pub ended_at: Option<time::Timestamp>,
    /// The progress in the checkpoint from which the run resumed; zero without a checkpoint.
    pub initial_progress: u64,
    pub is_done: bool,
}

/// A task that a fake worker has been ordered to run.
pub struct HeldTask {
    pub order: worker::Order,
    phase: worker::Phase,
    run: usize,
    progress: f64,
}

impl HeldTask {
    pub fn is_running(&self) -> bool {
        matches!(self.phase, worker::Phase::Running(_))
    }
}

/// The speed of a throttled task, as a share of its full speed.
pub const THROTTLED_SPEED: f64 = 0.5;

/// The fake agent of a worker, which obeys leases, epochs and boot numbers.
pub struct Agent {
    pub number: usize,
    pub boot: u64,
    epoch: id::Epoch,
    seq: u64,
    pub lease_end: time::Timestamp,
    version: u64,
    pub held: collections::BTreeMap<id::TaskId, HeldTask>,
    last_tick: time::Timestamp,
    /// The speed of its batch tasks, as a share of the declared speed.
    pub rate: f64,
    /// Measurements to be reported once they are older than the lag.
    pub usage: Vec<worker::Usage>,
    /// The age of measurements when they are reported.
    pub report_lag: time::Span,
    /// Whether every task that it starts fails.
    pub is_failing: bool,
    /// Whether the tasks that it starts never get to run.
    pub is_hanging: bool,
    /// Whether its services have requests in progress, so that draining does not end.
    pub is_busy: bool,
    /// The time by which its clock is behind, at most the margin.
    pub clock_lag: time::Span,
}

impl Agent {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            boot: 1,
            epoch: id::Epoch::default(),
            seq: 0,
            lease_end: time::Timestamp::default(),
            version: 1,
            held: collections::BTreeMap::new(),
            last_tick: START,
            rate: 1.0,
            usage: Vec::new(),
            report_lag: time::Span::ZERO,
            is_failing: false,
            is_hanging: false,
            is_busy: false,
            clock_lag: time::Span::ZERO,
        }
    }

    /// Stops all tasks and restarts the agent, which loses its state.
    pub fn reboot(&mut self, runs: &mut [Run], now: time::Timestamp) {
        for held in self.held.values() {
            runs[held.run].ended_at.get_or_insert(now);
        }
        *self = Self {
            boot: self.boot + 1,
            is_failing: self.is_failing,
            is_busy: self.is_busy,
            last_tick: self.last_tick,
            clock_lag: self.clock_lag,
            ..Self::new(self.number)
        };
    }

    fn end(
        &mut self,
        task: &id::TaskId,
        phase: worker::Phase,
        runs: &mut [Run],
        at: time::Timestamp,
    ) {
        let Some(held) = self.held.get_mut(task) else {
            return;
        };
        let run = &mut runs[held.run];
        if run.ended_at.is_none() {
            run.ended_at = Some(at);
            run.is_done = phase == worker::Phase::Done;
            held.phase = phase;
            self.version += 1;
        }
    }

    fn begin(&mut self, order: &worker::Order, runs: &mut Vec<Run>, now: time::Timestamp) {
        let initial_progress = order.checkpoint.as_deref().map_or(0, |c| c.parse().unwrap());
        runs.push(Run {
            task: order.task.clone(),
            vm: self.number,
            started_at: now,
            ended_at: None,
            initial_progress,
            is_done: false,
        });
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 2_000 + self.number as u16));
        let phase = worker::Phase::Running(order.is_service.then_some(address));
        let phase = if self.is_hanging { worker::Phase::Starting } else { phase };
        let progress = initial_progress as f64;
        let held = HeldTask { order: order.clone(), phase, run: runs.len() - 1, progress };
        self.held.insert(order.task.clone(), held);
        self.version += 1;
        if self.is_failing {
            self.end(&order.task, worker::Phase::Failed("always".to_owned()), runs, now);
        }
    }

    /// Advances time: leases expire, work finishes, and orders take effect.
    pub fn tick(&mut self, runs: &mut [Run], now: time::Timestamp) {
        let passed = now.since(self.last_tick).0 as f64 * self.rate;
        self.last_tick = now;
        let tasks: Vec<id::TaskId> = self.held.keys().cloned().collect();
        for task in tasks {
            let Some(held) = self.held.get_mut(&task) else {
                continue;
            };
            let is_throttled = held.order.desired == worker::DesiredState::Throttle;
            held.progress += if is_throttled { passed * THROTTLED_SPEED } else { passed };
            let progress = held.progress as u64;
            let (order, checkpoint) = (held.order.clone(), Some(progress.to_string()));
            if now >= self.lease_end + self.clock_lag {
                let end = self.lease_end + self.clock_lag;
                self.end(&task, worker::Phase::Stopped(checkpoint), runs, end);
            } else if !order.is_service && progress >= order.run.0 {
                self.end(&task, worker::Phase::Done, runs, now);
            } else if order.desired == worker::DesiredState::Checkpoint {
                self.end(&task, worker::Phase::Stopped(checkpoint), runs, now);
            } else if order.desired == worker::DesiredState::Stop
                || order.desired == worker::DesiredState::Drain && !self.is_busy
            {
                self.end(&task, worker::Phase::Stopped(None), runs, now);
            }
        }
    }

    pub fn sync(
        &mut self,
        message: &worker::Sync,
        runs: &mut Vec<Run>,
        now: time::Timestamp,
    ) -> worker::Report {
        self.tick(runs, now);
        let is_newer = (message.epoch, message.seq) > (self.epoch, self.seq);
        let has_orders = message.orders.is_some() || message.epoch == self.epoch;
        let is_accepted = is_newer && message.boot == Some(self.boot) && has_orders;
        if message.epoch > self.epoch {
            (self.epoch, self.seq) = (message.epoch, 0);
        }
        if is_accepted {
            self.seq = message.seq;
            self.lease_end = message.until;
            if let Some(orders) = &message.orders {
                self.apply_orders(orders, runs, now);
            }
        }
        self.tick(runs, now);
        let statuses = self.held.iter().map(|(task, held)| worker::Status {
            task: task.clone(),
            incarnation: held.order.incarnation,
            phase: held.phase.clone(),
        });
        worker::Report {
            boot: self.boot,
            is_accepted,
            epoch: self.epoch,
            version: self.version,
            tasks: (!is_accepted || message.report_version != self.version)
                .then(|| statuses.collect()),
            usage: self.due_usage(now),
        }
    }

    fn due_usage(&mut self, now: time::Timestamp) -> Vec<worker::Usage> {
        let lag = self.report_lag;
        let all = std::mem::take(&mut self.usage).into_iter();
        let (old, young) = all.partition(|usage| now.since(usage.at) >= lag);
        self.usage = young;
        old
    }

    fn apply_orders(
        &mut self,
        orders: &[worker::Order],
        runs: &mut Vec<Run>,
        now: time::Timestamp,
    ) {
        for order in orders {
            match self.held.get_mut(&order.task) {
                Some(held) if held.order.incarnation >= order.incarnation => {
                    held.order = order.clone();
                }
                _ => {
                    self.end(&order.task, worker::Phase::Stopped(None), runs, now);
                    self.begin(order, runs, now);
                }
            }
        }
        let listed: collections::BTreeSet<_> = orders.iter().map(|o| o.task.clone()).collect();
        let unlisted: Vec<id::TaskId> =
            self.held.keys().filter(|task| !listed.contains(task)).cloned().collect();
        for task in unlisted {
            self.end(&task, worker::Phase::Stopped(None), runs, now);
            self.held.remove(&task);
            self.version += 1;
        }
    }
}

/// Checks that no task had two runs at the same time, on one worker or on two.
pub fn check_runs(runs: &[Run], now: time::Timestamp) {
    let mut sorted: Vec<&Run> = runs.iter().collect();
    sorted.sort_by(|a, b| (&a.task, a.started_at).cmp(&(&b.task, b.started_at)));
    for pair in sorted.windows(2) {
        let overlaps =
            pair[0].task == pair[1].task && pair[1].started_at < pair[0].ended_at.unwrap_or(now);
        assert!(!overlaps, "overlapping runs of one task: {pair:?}");
    }
}

/// An owner with its store and workers, driven without faults.
pub struct Cluster {
    pub store: Store,
    pub owner: Owner,
    pub agents: Vec<Agent>,
    pub runs: Vec<Run>,
    pub list: vm::List,
    pub now: time::Timestamp,
    /// The length of a step.
    pub interval: time::Span,
    /// Whether the table service accepts no commits.
    pub is_store_unavailable: bool,
    inputs: Vec<Input>,
    in_flight: Option<txn::Txn>,
}

impl Cluster {
    pub fn new(vms: Vec<vm::Vm>, jobs: &[job::Row]) -> Self {
        let mut store = Store::default();
        for job in jobs {
            store.put_job(job);
        }
        let owner = store.claim("d1", START).unwrap();
        let agents = (0..vms.len()).map(Agent::new).collect();
        let list = vm::List { version: 1, vms };
        let inputs = vec![Input::List(list.clone())];
        Self {
            store,
            owner,
            agents,
            runs: Vec::new(),
            list,
            now: START,
            interval: time::Span::millis(50),
            is_store_unavailable: false,
            inputs,
            in_flight: None,
        }
    }

    pub fn input(&mut self, input: Input) {
        self.inputs.push(input);
    }

    pub fn step(&mut self) -> Vec<Action> {
        self.now = self.now + self.interval;
        self.commit();
        for agent in &mut self.agents {
            agent.tick(&mut self.runs, self.now);
        }
        let actions = self.owner.run(self.now, std::mem::take(&mut self.inputs));
        for action in &actions {
            match action {
                Action::Commit(txn) => {
                    self.in_flight = Some(txn.clone());
                    self.commit();
                }
                Action::Sync { vm, message, .. } => {
                    let at = self.list.vms.iter().position(|known| known.id == *vm).unwrap();
                    let report = self.agents[at].sync(message, &mut self.runs, self.now);
                    self.inputs.push(Input::Report(vm.clone(), report));
                }
                _ => {}
            }
        }
        actions
    }

    fn commit(&mut self) {
        if self.is_store_unavailable {
            return;
        }
        let Some(txn) = self.in_flight.take() else { return };
        match self.store.transact(&txn) {
            txn::Outcome::Committed(version) => self.inputs.push(Input::Committed(version)),
            txn::Outcome::Conflict(_) => panic!("conflict with only one owner"),
        }
    }

    /// Steps until `done`; panics if that takes more than `seconds`.
    pub fn run_until(&mut self, seconds: u64, done: impl Fn(&Self) -> bool) {
        let limit = self.now + time::Span::seconds(seconds);
        while !done(self) {
            assert!(self.now < limit, "condition not reached in time: {:?}", self.store.tasks());
            self.step();
        }
    }

    pub fn running(&self, job: &str) -> usize {
        let job = id::JobId::from(job);
        let runs =
            |row: &&task::Row| row.job == job && matches!(row.state, task::State::Running { .. });
        self.store.tasks().iter().filter(runs).count()
    }
}
