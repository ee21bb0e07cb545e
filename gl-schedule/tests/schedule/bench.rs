//! A fake store and fake workers around real owners, driven step by step.

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

/// The table service in memory, with the check of every committed ledger.
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
        let broken = txn.checks.iter().filter(|check| version(&check.key) != check.version);
        let broken: Vec<txn::Check> = broken.cloned().collect();
        if !broken.is_empty() {
            return txn::Outcome::Conflict(broken);
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

    /// No VM is promised beyond what it has, in any committed state.
    fn check_ledgers(&self) {
        for row in self.rows.values().filter(|row| row.key.starts_with("vm/")) {
            let ledger: vm::Ledger = serde_json::from_str(&row.value).unwrap();
            assert!(ledger.promised().fits_in(&ledger.capacity), "over-promised: {ledger:?}");
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

    /// Claims the shard for a daemon and makes its owner; none while another one holds it.
    pub fn claim(&mut self, daemon: &str, now: time::Timestamp) -> Option<Owner> {
        let shard_id = id::DomainId::from(SHARD);
        let key = key::shard(&shard_id);
        let read = self.rows.get(&key).cloned();
        let row: Option<gl_model::shard::Row> =
            read.as_ref().map(|r| serde_json::from_str(&r.value).unwrap());
        let inherited = row.as_ref().map(|row| row.horizon).unwrap_or_default();
        let me = id::DaemonId::from(daemon);
        let txn = id::TxnId(format!("claim/{daemon}/{}", now.0));
        let options = shard_lease::Options::from(&self.config.leases);
        let claimed = shard_lease::claim(row.as_ref(), &me, &txn, now, &options).ok()?;
        self.put(&key, &claimed);
        let settings = owner::Settings {
            daemon: me,
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
    pub from: time::Timestamp,
    pub to: Option<time::Timestamp>,
    pub resumed: u64,
    pub done: bool,
}

pub struct Held {
    pub order: worker::Order,
    phase: worker::Phase,
    run: usize,
    progress: f64,
}

impl Held {
    pub fn is_running(&self) -> bool {
        matches!(self.phase, worker::Phase::Running(_))
    }
}

/// The share of its speed at which a throttled task runs.
pub const THROTTLED: f64 = 0.5;

/// A worker's agent, which obeys leases, epochs and boots.
pub struct Agent {
    pub number: usize,
    pub boot: u64,
    epoch: id::Epoch,
    seq: u64,
    pub until: time::Timestamp,
    version: u64,
    pub held: collections::BTreeMap<id::TaskId, Held>,
    last: time::Timestamp,
    /// How fast its batch tasks run, as a share of what they declare.
    pub rate: f64,
    /// Measurements that the next reports carry once they are old enough.
    pub usage: Vec<worker::Usage>,
    /// How old measurements are when they are reported.
    pub lag: time::Span,
    pub fails: bool,
    /// Whether what it starts never gets to run.
    pub hangs: bool,
    /// Whether its services have requests in progress, which a drain waits for.
    pub busy: bool,
    /// How far its clock is behind, at most the margin.
    pub behind: time::Span,
}

impl Agent {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            boot: 1,
            epoch: id::Epoch::default(),
            seq: 0,
            until: time::Timestamp::default(),
            version: 1,
            held: collections::BTreeMap::new(),
            last: START,
            rate: 1.0,
            usage: Vec::new(),
            lag: time::Span::ZERO,
            fails: false,
            hangs: false,
            busy: false,
            behind: time::Span::ZERO,
        }
    }

    /// All tasks stop and the agent begins anew.
    pub fn reboot(&mut self, runs: &mut [Run], now: time::Timestamp) {
        for held in self.held.values() {
            runs[held.run].to.get_or_insert(now);
        }
        *self = Self {
            boot: self.boot + 1,
            fails: self.fails,
            busy: self.busy,
            last: self.last,
            behind: self.behind,
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
        if run.to.is_none() {
            run.to = Some(at);
            run.done = phase == worker::Phase::Done;
            held.phase = phase;
            self.version += 1;
        }
    }

    fn begin(&mut self, order: &worker::Order, runs: &mut Vec<Run>, now: time::Timestamp) {
        let resumed = order.checkpoint.as_deref().map_or(0, |c| c.parse().unwrap());
        runs.push(Run {
            task: order.task.clone(),
            vm: self.number,
            from: now,
            to: None,
            resumed,
            done: false,
        });
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 2_000 + self.number as u16));
        let phase = worker::Phase::Running(order.serving.then_some(address));
        let phase = if self.hangs { worker::Phase::Starting } else { phase };
        let progress = resumed as f64;
        let held = Held { order: order.clone(), phase, run: runs.len() - 1, progress };
        self.held.insert(order.task.clone(), held);
        self.version += 1;
        if self.fails {
            self.end(&order.task, worker::Phase::Failed("always".to_owned()), runs, now);
        }
    }

    /// Time passes: leases lapse, work finishes, wishes are carried out.
    pub fn tick(&mut self, runs: &mut [Run], now: time::Timestamp) {
        let passed = now.since(self.last).0 as f64 * self.rate;
        self.last = now;
        let tasks: Vec<id::TaskId> = self.held.keys().cloned().collect();
        for task in tasks {
            let Some(held) = self.held.get_mut(&task) else {
                continue;
            };
            let throttled = held.order.wish == worker::Wish::Throttle;
            held.progress += if throttled { passed * THROTTLED } else { passed };
            let progress = held.progress as u64;
            let (order, checkpoint) = (held.order.clone(), Some(progress.to_string()));
            if now >= self.until + self.behind {
                let until = self.until + self.behind;
                self.end(&task, worker::Phase::Stopped(checkpoint), runs, until);
            } else if !order.serving && progress >= order.run.0 {
                self.end(&task, worker::Phase::Done, runs, now);
            } else if order.wish == worker::Wish::Checkpoint {
                self.end(&task, worker::Phase::Stopped(checkpoint), runs, now);
            } else if order.wish == worker::Wish::Stop
                || order.wish == worker::Wish::Drain && !self.busy
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
        let holds = message.orders.is_some() || message.epoch == self.epoch;
        let taken = is_newer && message.boot == Some(self.boot) && holds;
        if message.epoch > self.epoch {
            (self.epoch, self.seq) = (message.epoch, 0);
        }
        if taken {
            self.seq = message.seq;
            self.until = message.until;
            if let Some(orders) = &message.orders {
                self.take(orders, runs, now);
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
            taken,
            epoch: self.epoch,
            version: self.version,
            tasks: (!taken || message.known != self.version).then(|| statuses.collect()),
            usage: self.take_usage(now),
        }
    }

    fn take_usage(&mut self, now: time::Timestamp) -> Vec<worker::Usage> {
        let lag = self.lag;
        let all = std::mem::take(&mut self.usage).into_iter();
        let (old, young) = all.partition(|usage| now.since(usage.at) >= lag);
        self.usage = young;
        old
    }

    fn take(&mut self, orders: &[worker::Order], runs: &mut Vec<Run>, now: time::Timestamp) {
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

/// No task ran in two places, or twice in one, at the same time.
pub fn check_runs(runs: &[Run], now: time::Timestamp) {
    let mut sorted: Vec<&Run> = runs.iter().collect();
    sorted.sort_by(|a, b| (&a.task, a.from).cmp(&(&b.task, b.from)));
    for pair in sorted.windows(2) {
        let overlaps = pair[0].task == pair[1].task && pair[1].from < pair[0].to.unwrap_or(now);
        assert!(!overlaps, "two at once: {pair:?}");
    }
}

/// Feeds an owner without faults until `done`, or panics after `limit`.
pub struct Calm {
    pub store: Store,
    pub owner: Owner,
    pub agents: Vec<Agent>,
    pub runs: Vec<Run>,
    pub list: vm::List,
    pub now: time::Timestamp,
    /// The length of a step.
    pub pace: time::Span,
    /// Whether the table takes nothing.
    pub outage: bool,
    inputs: Vec<Input>,
    open: Option<txn::Txn>,
}

impl Calm {
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
            pace: time::Span::millis(50),
            outage: false,
            inputs,
            open: None,
        }
    }

    pub fn input(&mut self, input: Input) {
        self.inputs.push(input);
    }

    pub fn step(&mut self) -> Vec<Action> {
        self.now = self.now + self.pace;
        self.commit();
        for agent in &mut self.agents {
            agent.tick(&mut self.runs, self.now);
        }
        let actions = self.owner.run(self.now, std::mem::take(&mut self.inputs));
        for action in &actions {
            match action {
                Action::Commit(txn) => {
                    self.open = Some(txn.clone());
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
        if self.outage {
            return;
        }
        let Some(txn) = self.open.take() else { return };
        match self.store.transact(&txn) {
            txn::Outcome::Committed(version) => self.inputs.push(Input::Committed(version)),
            txn::Outcome::Conflict(_) => panic!("conflict without a rival"),
        }
    }

    pub fn until(&mut self, seconds: u64, done: impl Fn(&Self) -> bool) {
        let limit = self.now + time::Span::seconds(seconds);
        while !done(self) {
            assert!(self.now < limit, "not reached: {:?}", self.store.tasks());
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
