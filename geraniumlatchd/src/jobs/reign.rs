//! The time during which this daemon owns the cell.

use std::{cell, collections, rc};

use gl_jobs::{election, job, owner, record, task, worker};
use gl_model::time;
use gl_platform::cell as platform;
use tokio::sync::Notify;

use super::{agent, claim, commit, event, node, passes, rows};
use crate::clock;

/// How often the list of workers is read. A new worker is used, and a leaving one spared, well
/// within the time for a drain.
const LIST: std::time::Duration = std::time::Duration::from_millis(500);
/// How often rows are read whose announcement may have been lost.
const FEED: std::time::Duration = std::time::Duration::from_millis(400);
/// How often the systems that follow time run.
const TICK: std::time::Duration = std::time::Duration::from_millis(50);
/// The pause after a failed read.
const RETRY: std::time::Duration = std::time::Duration::from_millis(150);
/// A pause between two ticks from which on messages of other daemons may have been lost.
const STOOD_STILL: time::Span = time::Span::millis(800);
/// How recent a follower's heartbeat must be to speak for it now: two of them.
const HEARD: time::Span = time::Span::millis(1_200);
/// How long a follower that fell silent counts as one that may claim the cell.
const REMEMBERED: time::Span = time::Span::seconds(20);

/// What a follower said last.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Heard {
    at: time::Timestamp,
    store_up: bool,
}

/// What the owner of the cell runs.
pub struct Reign {
    pub(super) node: rc::Rc<node::Node>,
    pub(super) token: u64,
    pub(super) owner: cell::RefCell<owner::Owner>,
    pub(super) is_loaded: cell::Cell<bool>,
    is_over: cell::Cell<bool>,
    allowed: cell::Cell<bool>,
    lease_until: cell::Cell<time::Timestamp>,
    begun: time::Timestamp,
    followers: cell::RefCell<collections::BTreeMap<String, Heard>>,
    agents: cell::RefCell<collections::BTreeMap<worker::WorkerId, rc::Rc<agent::Agent>>>,
    pub(super) feed_version: cell::Cell<u64>,
    pub(super) fence_version: cell::Cell<u64>,
    /// Whether the process may have stood still since it last read what clients asked for.
    is_stale: cell::Cell<bool>,
    ticked: cell::Cell<time::Timestamp>,
    /// Wakes the search for places.
    place_wake: Notify,
    /// Wakes the commits.
    pub commit_wake: Notify,
    /// Wakes those that wait for a commit.
    pub committed: Notify,
}

/// Begins to own the cell after the claim that was sent at `sent` and that the store took as
/// version `token`. A claim renews the lease like any renewal.
pub fn begin(node: &rc::Rc<node::Node>, token: u64, sent: time::Timestamp, cause: &'static str) {
    let now = clock::steady();
    let reign = rc::Rc::new(Reign {
        node: rc::Rc::clone(node),
        token,
        owner: cell::RefCell::new(owner::Owner::new(node.settings.owner, token, now)),
        is_loaded: cell::Cell::new(false),
        is_over: cell::Cell::new(false),
        allowed: cell::Cell::new(false),
        lease_until: cell::Cell::new(sent + claim::LEASE),
        begun: now,
        followers: cell::RefCell::default(),
        agents: cell::RefCell::default(),
        feed_version: cell::Cell::new(0),
        fence_version: cell::Cell::new(0),
        is_stale: cell::Cell::new(false),
        ticked: cell::Cell::new(now),
        place_wake: Notify::new(),
        commit_wake: Notify::new(),
        committed: Notify::new(),
    });
    node.set_role(node::Role::Owner(rc::Rc::clone(&reign)));
    node.metrics.claim();
    ntex::rt::spawn(claim::renew(rc::Rc::clone(node), rc::Rc::clone(&reign)));
    ntex::rt::spawn(run(reign, cause));
}

async fn run(reign: rc::Rc<Reign>, cause: &'static str) {
    while !reign.is_over() {
        match reign.load(cause).await {
            Ok(()) => break,
            Err(_) => ntex::time::sleep(RETRY).await,
        }
        let now = clock::steady();
        if !reign.is_loaded.get() && election::is_load_overdue(reign.begun, now) {
            reign.node.unfit_until.set(now + election::CLAIM_BACKOFF);
            reign.step_down("the cell's rows could not be read in time");
        }
    }
    ntex::rt::spawn(list(rc::Rc::clone(&reign)));
    ntex::rt::spawn(feed(rc::Rc::clone(&reign)));
    ntex::rt::spawn(commit::run(rc::Rc::clone(&reign)));
    ntex::rt::spawn(place(rc::Rc::clone(&reign)));
    while !reign.is_over() {
        reign.tick();
        ntex::time::sleep(TICK).await;
    }
}

/// Looks for places whenever something may have made room or brought work.
async fn place(reign: rc::Rc<Reign>) {
    while !reign.is_over() {
        reign.place_wake.notified().await;
        let begun = clock::steady();
        reign.owner.borrow_mut().place(begun);
        reign.carry_out_all();
        let pause = passes::pause(clock::steady().since(begun));
        ntex::time::sleep(std::time::Duration::from(pause)).await;
    }
}

async fn list(reign: rc::Rc<Reign>) {
    while !reign.is_over() {
        ntex::time::sleep(LIST).await;
        let listed = reign.node.platform.directory.workers().await;
        reign.node.note_store(&listed, clock::steady());
        if let Ok(listed) = listed {
            reign.owner.borrow_mut().workers_listed(&listed, clock::steady());
            reign.settle();
        }
    }
}

async fn feed(reign: rc::Rc<Reign>) {
    while !reign.is_over() {
        ntex::time::sleep(FEED).await;
        let after = reign.feed_version.get();
        let store = &reign.node.platform.store;
        let changes = store.changes(rows::WORK, after, time::Span::ZERO).await;
        reign.node.note_store(&changes, clock::steady());
        let changes = match changes {
            Err(platform::StoreError::Compacted { .. }) => reign.read_work().await,
            other => other,
        };
        let Ok(changes) = changes else { continue };
        reign.take_work(&changes.rows);
        reign.feed_version.set(changes.version.max(after));
        reign.is_stale.set(false);
        reign.settle();
    }
}

impl Reign {
    /// The fencing token.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// The version that the first commit checks.
    pub fn fence_version(&self) -> u64 {
        self.fence_version.get()
    }

    /// The daemon.
    pub const fn node(&self) -> &rc::Rc<node::Node> {
        &self.node
    }

    /// Whether the cell was given up.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// The decisions, for a moment; never kept while something else is waited for.
    pub fn owner(&self) -> cell::RefMut<'_, owner::Owner> {
        self.owner.borrow_mut()
    }

    /// Gives the cell up: nothing is ordered or stored any more.
    pub fn step_down(&self, cause: &'static str) {
        if self.is_over.replace(true) {
            return;
        }
        self.node.metrics.step_down();
        event::emit(&event::Event::SteppedDown { token: self.token, cause });
        self.agents.borrow_mut().clear();
        self.commit_wake.notify_one();
        self.place_wake.notify_one();
        self.node.set_role(node::Role::Alone);
    }

    /// The lease was renewed by a call sent at `sent`.
    pub fn renewed(&self, sent: time::Timestamp) {
        self.lease_until.set(sent + claim::LEASE);
        self.owner.borrow_mut().lease_renewed(sent);
    }

    fn take_work(&self, work: &[platform::Row]) {
        let moment = node::Node::moment();
        let mut owner = self.owner.borrow_mut();
        let mut cancelled = Vec::new();
        for row in work.iter().filter_map(rows::read_work) {
            match row.work {
                record::Work::Job(job) => owner.add_job(row.id, *job, &moment),
                record::Work::Cancel => cancelled.push(row.id),
            }
        }
        for id in cancelled {
            owner.cancel_job(id, moment.now);
        }
    }

    /// A daemon has stored a job.
    pub fn add_job(self: &rc::Rc<Self>, id: task::JobId, job: job::Job) {
        if self.is_loaded.get() {
            self.owner.borrow_mut().add_job(id, job, &node::Node::moment());
            self.settle();
        }
    }

    /// A daemon has stored a cancellation.
    pub fn cancel_job(self: &rc::Rc<Self>, id: task::JobId) {
        if self.is_loaded.get() {
            self.owner.borrow_mut().cancel_job(id, clock::steady());
            self.settle();
        }
    }

    /// A job's state, if the owner knows the job.
    pub fn state(&self, id: task::JobId) -> Option<job::State> {
        self.owner.borrow().state(id)
    }

    /// How many jobs of a queue wait.
    pub fn pending(&self, queue: &str) -> Option<usize> {
        self.is_loaded.get().then(|| self.owner.borrow().pending(queue))
    }

    /// A follower's heartbeat.
    pub fn heard(&self, daemon: String, store_up: bool) {
        let heard = Heard { at: clock::steady(), store_up };
        self.followers.borrow_mut().insert(daemon, heard);
    }

    fn tick(self: &rc::Rc<Self>) {
        let moment = node::Node::moment();
        self.allow_starts(moment.now);
        self.owner.borrow_mut().tick(&moment);
        self.keep_agents();
        self.carry_out_all();
    }

    /// New runs are ordered while the lease is valid, or while no follower can reach the store
    /// either and so none can claim the cell.
    /// An owner that the store doesn't answer gives the cell up as soon as another can have it. On
    /// a slow store renewals come late and it goes on: another would be no faster.
    fn allow_starts(&self, now: time::Timestamp) {
        if now.since(self.ticked.replace(now)) > STOOD_STILL {
            self.is_stale.set(true);
        }
        let is_valid = now < self.lease_until.get();
        let allowed = !self.is_stale.get() && (is_valid || self.is_store_down_for_all(now));
        let is_new = now.since(self.begun) < claim::LEASE;
        let is_cut_off = !claim::is_store_up(&self.node, now);
        if !is_valid && !is_new && is_cut_off && self.is_store_up_for_another(now) {
            return self.step_down("the store answers others and not this daemon");
        }
        self.owner.borrow_mut().allow_starts(allowed && !self.node.draining.get());
        if self.allowed.replace(allowed) != allowed {
            let lease_left_ms = self.lease_until.get().since(now).as_millis();
            let cause = if is_valid { "lease" } else { "store" };
            event::emit(&event::Event::Starts { allowed, lease_left_ms, cause });
        }
    }

    /// A follower that reaches the store can own the cell in this daemon's place.
    fn is_store_up_for_another(&self, now: time::Timestamp) -> bool {
        let followers = self.followers.borrow();
        followers.values().any(|heard| heard.store_up && now.since(heard.at) < HEARD)
    }

    fn is_store_down_for_all(&self, now: time::Timestamp) -> bool {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, heard| now.since(heard.at) < REMEMBERED);
        let is_down = |heard: &Heard| now.since(heard.at) < HEARD && !heard.store_up;
        !followers.is_empty() && followers.values().all(is_down)
    }

    /// Carries out what follows from the newest inputs, and has places looked for soon.
    pub fn settle(self: &rc::Rc<Self>) {
        self.carry_out_all();
        self.place_wake.notify_one();
    }

    fn carry_out_all(self: &rc::Rc<Self>) {
        if self.is_over() {
            return;
        }
        let actions = self.owner.borrow_mut().take_actions();
        for action in actions {
            self.carry_out(action);
        }
        if self.owner.borrow().has_commit() {
            self.commit_wake.notify_one();
        }
    }

    /// Keeps one agent for each worker.
    fn keep_agents(self: &rc::Rc<Self>) {
        let owner = self.owner.borrow();
        let mut agents = self.agents.borrow_mut();
        agents.retain(|id, agent| {
            let is_kept = owner.worker(id).is_some();
            agent.is_needed.set(is_kept);
            is_kept
        });
        for worker in owner.workers() {
            let id = &worker.registration.id;
            if !agents.contains_key(id) {
                let agent = rc::Rc::new(agent::Agent::new(id.clone()));
                agents.insert(id.clone(), rc::Rc::clone(&agent));
                ntex::rt::spawn(agent::watch(rc::Rc::clone(self), agent));
            }
        }
    }

    fn carry_out(self: &rc::Rc<Self>, action: owner::Action) {
        let agent_of = |id: &worker::WorkerId| self.agents.borrow().get(id).map(rc::Rc::clone);
        match action {
            owner::Action::Note(note) => {
                self.node.metrics.note(&note);
                event::emit(&event::Event::from(&note));
            }
            owner::Action::RequestAdvice { phase, workers } => {
                ntex::rt::spawn(agent::advise(rc::Rc::clone(self), phase, workers));
            }
            owner::Action::Start { worker, order } => {
                if let Some(agent) = agent_of(&worker) {
                    ntex::rt::spawn(agent::start(rc::Rc::clone(self), agent, order));
                }
            }
            owner::Action::Stop { worker, task, attempt } => {
                if let Some(agent) = agent_of(&worker) {
                    ntex::rt::spawn(agent::stop(rc::Rc::clone(self), agent, task, attempt));
                }
            }
            owner::Action::Throttle { worker, task, attempt, percent } => {
                if let Some(agent) = agent_of(&worker) {
                    let pace = platform::CpuLimit { task, attempt, percent };
                    ntex::rt::spawn(agent::pace(rc::Rc::clone(self), agent, pace));
                }
            }
            owner::Action::Poll { worker } => {
                if let Some(agent) = agent_of(&worker) {
                    ntex::rt::spawn(agent::look_now(rc::Rc::clone(self), agent));
                }
            }
        }
    }
}
