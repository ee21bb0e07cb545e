//! Random orders of faults: competing owners, lost, late and duplicated messages, lost replies,
//! pauses, reboots and outages. Guards against double runs and overcommitted VMs: in every order
//! the committed reservations fit the VMs, no task has two runs at the same time, evicted tasks
//! resume, and all work finishes once the faults end.

use std::collections;

use gl_lease::shard_lease;
use gl_model::{config, id, key, time, txn, worker};
use gl_schedule::owner::{Action, Input, Owner};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _, rngs};

use super::harness::{self, Agent, Run, Store};

const VMS: usize = 3;
const STEP: time::Span = time::Span::millis(50);
/// The margin for clock differences. The clocks of the fake workers are behind by up to 400 ms.
const MARGIN_MS: u64 = 500;
const DAEMONS: [&str; 2] = ["d1", "d2"];

/// A fault that is injected in one step.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The table service accepts nothing for this many steps.
    Outage(u8),
    /// The next commit takes effect, and its reply is lost.
    LoseCommitReply,
    /// The next commit arrives after this many steps.
    DelayCommit(u8),
    /// The next message to the worker is lost.
    LoseSync(u8),
    /// The next message to the worker arrives after this many steps, and its reply is lost.
    DelaySync(u8, u8),
    /// The next message to the worker arrives twice, the second time much later.
    DuplicateSync(u8),
    /// The next message to the worker arrives, and its reply is lost.
    LoseReport(u8),
    /// The daemon is suspended for this many steps.
    Pause(u8, u8),
    /// The daemon crashes, loses its state and restarts.
    Restart(u8),
    /// The worker restarts.
    Reboot(u8),
    /// A service is submitted that needs capacity.
    Service,
}

fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..VMS as u8;
    prop_oneof![
        12 => Just(Fault::None),
        1 => (1_u8..40).prop_map(Fault::Outage),
        2 => Just(Fault::LoseCommitReply),
        2 => (1_u8..40).prop_map(Fault::DelayCommit),
        2 => vm.clone().prop_map(Fault::LoseSync),
        2 => (vm.clone(), 1_u8..60).prop_map(|(vm, steps)| Fault::DelaySync(vm, steps)),
        2 => vm.clone().prop_map(Fault::DuplicateSync),
        2 => vm.clone().prop_map(Fault::LoseReport),
        2 => (0_u8..2, 1_u8..80).prop_map(|(daemon, steps)| Fault::Pause(daemon, steps)),
        1 => (0_u8..2).prop_map(Fault::Restart),
        1 => vm.prop_map(Fault::Reboot),
        1 => Just(Fault::Service),
    ]
}

#[derive(Default)]
struct Daemon {
    owner: Option<Owner>,
    inputs: Vec<Input>,
    paused: u32,
    /// The commit in flight and the step at which it arrives next.
    commit: Option<(txn::Txn, u32)>,
}

struct DelayedMessage {
    step: u32,
    vm: usize,
    message: worker::Sync,
}

struct Simulation {
    store: Store,
    daemons: Vec<Daemon>,
    agents: Vec<Agent>,
    runs: Vec<Run>,
    delayed: Vec<DelayedMessage>,
    now: time::Timestamp,
    step: u32,
    outage: u32,
    services: u32,
    pending: collections::VecDeque<Fault>,
    /// Whether the version checks of commits are in force. Without them, competing owners overwrite
    /// each other's rows.
    is_fenced: bool,
}

impl Simulation {
    fn new(is_fenced: bool, margin_ms: u64) -> Self {
        let leases =
            config::Leases { shard_ms: 1_000, worker_ms: 1_500, horizon_ms: 3_000, margin_ms };
        let repair = config::Repair { attempts: 100, backoff_ms: 50, ..Default::default() };
        let config = config::Shared { leases, repair, ..config::Shared::default() };
        let mut store = Store { config, ..Store::default() };
        store.put_job(&harness::batch("night", 12, harness::size(16, 16)));
        let agent = |number| {
            let mut agent = Agent::new(number);
            agent.clock_lag = time::Span::millis(200 * number as u64);
            agent
        };
        Self {
            store,
            daemons: DAEMONS.iter().map(|_| Daemon::default()).collect(),
            agents: (0..VMS).map(agent).collect(),
            runs: Vec::new(),
            delayed: Vec::new(),
            now: harness::START,
            step: 0,
            outage: 0,
            services: 0,
            pending: collections::VecDeque::new(),
            is_fenced,
        }
    }

    fn list(&self) -> gl_model::vm::List {
        let vms = (0..VMS).map(|n| harness::vm(n, harness::size(64, 250))).collect();
        gl_model::vm::List { version: 1, vms }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::None => {}
            Fault::Outage(steps) => self.outage = u32::from(steps),
            Fault::Pause(daemon, steps) => {
                self.daemons[usize::from(daemon)].paused = u32::from(steps);
            }
            Fault::Restart(daemon) => self.daemons[usize::from(daemon)] = Daemon::default(),
            Fault::Reboot(vm) => self.agents[usize::from(vm)].reboot(&mut self.runs, self.now),
            Fault::Service => {
                if self.services < 3 {
                    let name = format!("book{}", self.services);
                    self.store.put_job(&harness::service(&name, 2, harness::size(16, 64), 6));
                    self.services += 1;
                }
            }
            other => self.pending.push_back(other),
        }
    }

    /// Removes and returns the first pending fault of the given kind.
    fn take_pending(&mut self, is: impl Fn(&Fault) -> bool) -> Option<Fault> {
        let at = self.pending.iter().position(is)?;
        self.pending.remove(at)
    }

    fn run(&mut self, fault: Fault) {
        self.step += 1;
        self.now = self.now + STEP;
        self.apply(fault);
        self.outage = self.outage.saturating_sub(1);
        for agent in &mut self.agents {
            agent.tick(&mut self.runs, self.now);
        }
        self.deliver_delayed();
        for daemon in 0..self.daemons.len() {
            self.run_daemon(daemon);
        }
        harness::check_runs(&self.runs, self.now);
    }

    fn deliver_delayed(&mut self) {
        let step = self.step;
        let (due, delayed) =
            std::mem::take(&mut self.delayed).into_iter().partition(|m| m.step <= step);
        self.delayed = delayed;
        let due: Vec<DelayedMessage> = due;
        for DelayedMessage { vm, message, .. } in due {
            self.agents[vm].sync(&message, &mut self.runs, self.now);
        }
    }

    fn run_daemon(&mut self, daemon: usize) {
        self.send_commit(daemon);
        if self.daemons[daemon].paused > 0 {
            self.daemons[daemon].paused -= 1;
            return;
        }
        if self.daemons[daemon].owner.is_none() && self.outage == 0 {
            self.claim(daemon);
        }
        if self.step.is_multiple_of(20) && self.outage == 0 {
            let jobs = Input::Jobs(self.store.jobs());
            self.daemons[daemon].inputs.push(jobs);
        }
        let now = self.now;
        let state = &mut self.daemons[daemon];
        let Some(owner) = &mut state.owner else {
            return;
        };
        let actions = owner.run(now, std::mem::take(&mut state.inputs));
        for action in actions {
            self.execute(daemon, action);
        }
    }

    fn claim(&mut self, daemon: usize) {
        let shard = id::DomainId::from(harness::SHARD);
        let row = self.store.rows.get(&key::shard(&shard));
        let row: Option<gl_model::shard::Row> =
            row.map(|row| serde_json::from_str(&row.value).unwrap());
        let options = shard_lease::Options::from(&self.store.config.leases);
        let is_free = row
            .as_ref()
            .is_none_or(|row| shard_lease::remaining(row, self.now, &options).is_none());
        if !is_free {
            return;
        }
        let list = self.list();
        self.daemons[daemon].owner = self.store.claim(DAEMONS[daemon], self.now);
        self.daemons[daemon].inputs = vec![Input::List(list)];
    }

    /// Sends the commit in flight, as the daemon's I/O does: it is repeated until its outcome is
    /// known.
    fn send_commit(&mut self, daemon: usize) {
        let Some((txn, step)) = self.daemons[daemon].commit.take() else {
            return;
        };
        if step > self.step || self.outage > 0 {
            self.daemons[daemon].commit = Some((txn, step.max(self.step + 1)));
            return;
        }
        let mut sent = txn.clone();
        if !self.is_fenced {
            sent.checks.clear();
        }
        let outcome = self.store.transact(&sent);
        if self.take_pending(|f| matches!(f, Fault::LoseCommitReply)).is_some() {
            self.daemons[daemon].commit = Some((txn, self.step + 2));
            return;
        }
        match outcome {
            txn::Outcome::Committed(version) => {
                self.daemons[daemon].inputs.push(Input::Committed(version));
            }
            txn::Outcome::Conflict(_) => self.resolve_by_reading(daemon, &txn),
        }
    }

    /// Reads the shard's row to find out whether a transaction with a conflict took effect earlier.
    /// If it did not, the daemon loses its ownership.
    fn resolve_by_reading(&mut self, daemon: usize, txn: &txn::Txn) {
        let row = &self.store.rows[&key::shard(&id::DomainId::from(harness::SHARD))];
        let read: gl_model::shard::Row = serde_json::from_str(&row.value).unwrap();
        let before = txn.checks[0].version;
        match shard_lease::txn_state(Some((&read, row.version)), before, &txn.id) {
            shard_lease::TxnState::Committed => {
                let version = row.version;
                self.daemons[daemon].inputs.push(Input::Committed(version));
            }
            _ => self.daemons[daemon] = Daemon::default(),
        }
    }

    fn execute(&mut self, daemon: usize, action: Action) {
        match action {
            Action::Commit(txn) => {
                let delay = self.take_pending(|f| matches!(f, Fault::DelayCommit(_)));
                let steps =
                    if let Some(Fault::DelayCommit(steps)) = delay { steps.into() } else { 0 };
                self.daemons[daemon].commit = Some((txn, self.step + steps));
                self.send_commit(daemon);
            }
            Action::Sync { vm, message, .. } => {
                let at = self.list().vms.iter().position(|known| known.id == vm).unwrap();
                let input = match self.send(at, message) {
                    Some(report) => Input::Report(vm, report),
                    None => Input::NoReply(vm),
                };
                self.daemons[daemon].inputs.push(input);
            }
            _ => {}
        }
    }

    fn send(&mut self, at: usize, message: worker::Sync) -> Option<worker::Report> {
        let hits = |vm: &u8| usize::from(*vm) == at;
        if self.take_pending(|f| matches!(f, Fault::LoseSync(vm) if hits(vm))).is_some() {
            return None;
        }
        let delay = self.take_pending(|f| matches!(f, Fault::DelaySync(vm, _) if hits(vm)));
        if let Some(Fault::DelaySync(_, steps)) = delay {
            self.delayed.push(DelayedMessage {
                step: self.step + u32::from(steps),
                vm: at,
                message,
            });
            return None;
        }
        if self.take_pending(|f| matches!(f, Fault::DuplicateSync(vm) if hits(vm))).is_some() {
            let message = message.clone();
            self.delayed.push(DelayedMessage { step: self.step + 25, vm: at, message });
        }
        let report = self.agents[at].sync(&message, &mut self.runs, self.now);
        let lost = self.take_pending(|f| matches!(f, Fault::LoseReport(vm) if hits(vm)));
        lost.is_none().then_some(report)
    }

    /// Returns whether all batch work has ended and all services run.
    fn is_settled(&self) -> bool {
        let jobs = self.store.jobs();
        let night = jobs.iter().find(|job| job.row.spec.name.as_str() == "night").unwrap();
        let services = self.store.tasks().into_iter().filter(|row| row.job.as_str() != "night");
        let running = services
            .filter(|row| matches!(row.state, gl_model::task::State::Running { .. }))
            .count();
        night.row.ended.is_some() && running == 2 * self.services as usize
    }

    fn finish(&mut self) {
        self.pending.clear();
        for _ in 0..4_000 {
            if self.is_settled() {
                return;
            }
            self.run(Fault::None);
        }
        panic!("work not finished 200 s after the last fault: {:?}", self.store.tasks());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_order_of_faults_keeps_the_invariants(faults in prop::collection::vec(fault(), 50..400)) {
        let mut simulation = Simulation::new(true, MARGIN_MS);
        for fault in faults {
            simulation.run(fault);
        }
        simulation.finish();
    }
}

/// Runs random orders of faults until a check fails.
fn inject_until_failure(
    make: impl Fn() -> Simulation,
    fault: impl Fn(u32, &mut rngs::SmallRng) -> Fault,
) {
    let mut random = rngs::SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let mut simulation = make();
        for step in 0..400 {
            let fault = fault(step, &mut random);
            simulation.run(fault);
        }
    }
}

/// Proves that the checks detect double runs: without the version check of the shard's row, an
/// owner that was suspended beyond its lease overwrites the rows of its successor.
#[test]
#[should_panic(expected = "overlapping runs of one task")]
fn without_version_checks_a_paused_owner_violates_the_invariants() {
    inject_until_failure(
        || Simulation::new(false, MARGIN_MS),
        |_, random| match random.random_range(0..40) {
            0 => Fault::Pause(random.random_range(0..2), random.random_range(30..80)),
            1 | 2 => Fault::DelayCommit(random.random_range(25..60)),
            3 => Fault::Restart(random.random_range(0..2)),
            4 => Fault::Service,
            5 => Fault::Reboot(random.random_range(0..VMS as u8)),
            _ => Fault::None,
        },
    );
}

/// Proves that the checks detect double runs: without the clock margin, a task starts elsewhere
/// while a worker whose clock is behind still runs it.
#[test]
#[should_panic(expected = "overlapping runs of one task")]
fn without_the_clock_margin_a_slow_clock_violates_the_invariants() {
    inject_until_failure(
        || Simulation::new(true, 0),
        // Two services leave enough capacity to start the lost tasks elsewhere.
        |step, random| match step {
            5 | 10 => Fault::Service,
            300..345 => Fault::LoseReport(2),
            345.. if random.random_bool(0.5) => Fault::LoseSync(2),
            _ => Fault::None,
        },
    );
}
