//! Ownership of the cell. While this daemon owns the cell, it passes events to the owner's decision
//! logic (`gl_jobs::owner`) and carries out the actions that the logic returns.

use std::{cell, collections, rc};

use gl_jobs::{claimants, election, followers, job, owner, task, wall_clock, worker};
use gl_model::time;
use tokio::sync::Notify;

use super::{
    action_queue, claimants as stored_claimants, commit, event, lease, node, ordering, outage_rule,
    pass_meter, placement_pause, poll_gate, poll_pause, predecessors, tombstones, work_feed,
    worker_client, worker_list,
};
use crate::clock;

/// Interval of [`Ownership::tick()`], which runs the time-driven decisions.
const TICK_INTERVAL: time::Span = time::Span::millis(50);
/// Pause after a failed attempt to load the stored state.
const LOAD_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);
/// Time between two ticks above which the process counts as suspended, so that messages of other
/// daemons may have been lost.
const SUSPENSION_THRESHOLD: time::Span = time::Span::millis(800);

/// State of the cell's owner, shared by the tasks that run while this daemon owns the cell.
pub struct Ownership {
    pub(super) node: rc::Rc<node::Node>,
    pub(super) token: u64,
    pub(super) owner: cell::RefCell<owner::Owner>,
    pub(super) is_loaded: cell::Cell<bool>,
    is_ended: cell::Cell<bool>,
    starts_allowed: cell::Cell<bool>,
    lease_until: cell::Cell<time::Timestamp>,
    pub(super) started_at: time::Timestamp,
    /// What earlier owners may still do, from `started_at` on.
    pub(super) predecessors: election::Predecessors,
    /// Times of day of all daemons.
    pub(super) wall_clock: cell::RefCell<wall_clock::WallClock>,
    pub(super) followers: cell::RefCell<followers::Followers>,
    /// The memory that the followers would have for jobs as the owner, in bytes.
    pub(super) job_limits: cell::RefCell<collections::BTreeMap<String, usize>>,
    /// The daemons that may claim the cell in an outage.
    pub(super) claimants: cell::RefCell<claimants::Claimants>,
    /// Reports when this owner goes on without the store.
    pub(super) outage_rule: cell::RefCell<outage_rule::OutageRule>,
    pub(super) worker_clients:
        cell::RefCell<collections::BTreeMap<worker::WorkerId, rc::Rc<worker_client::WorkerClient>>>,
    /// Version of the store up to which changes of the work table have been read.
    pub(super) feed_version: cell::Cell<u64>,
    /// Time at which that read was sent.
    pub(super) feed_read: cell::Cell<time::Timestamp>,
    /// Version of the store up to which changes of the list of workers have been read; `None` if
    /// the whole list has to be read.
    pub(super) list_version: cell::Cell<Option<u64>>,
    /// Row version that the first commit checks.
    pub(super) fence_version: cell::Cell<u64>,
    /// Whether the process may have been suspended since it last read the work table.
    pub(super) is_stale: cell::Cell<bool>,
    last_tick: cell::Cell<time::Timestamp>,
    /// Smoothed time by which timers fire late; a measure of the shortage of processor time.
    timer_delay: cell::Cell<time::Span>,
    /// Measures how late start orders are.
    pub(super) pass_meter: cell::RefCell<pass_meter::PassMeter>,
    /// Wakes the placement of waiting tasks.
    placement_wake: Notify,
    /// Wakes the loop that stores the claimants.
    pub(super) follower_wake: Notify,
    /// Actions that are not carried out yet.
    pub(super) pending_actions: cell::RefCell<action_queue::ActionQueue>,
    /// Limits the polls that may be many at a time.
    pub(super) poll_gate: rc::Rc<poll_gate::PollGate>,
    /// Use of the connections to workers.
    pub(super) connections: ordering::Connections,
    /// Cancellations of jobs that are not stored.
    pub(super) tombstones: tombstones::Queue,
    /// Wakes the commit loop.
    pub commit_wake: Notify,
    /// Wakes the tasks that wait for a commit.
    pub committed: Notify,
}

/// A claim that has taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The version of the claim, which becomes the fencing token.
    pub token: u64,
    /// The time at which it was sent.
    pub sent: time::Timestamp,
    /// What this daemon assumes of earlier owners.
    pub assumed: predecessors::Assumed,
    /// The claimants that it has stored.
    pub claimants: claimants::Names,
    /// The reason for the claim.
    pub cause: &'static str,
}

/// Starts the ownership after a claim, which renews the lease as any renewal does.
pub fn start(node: &rc::Rc<node::Node>, claim: Claim) {
    let Claim { token, sent, assumed, .. } = claim;
    let inherited = claim.claimants.clone();
    let now = clock::steady();
    let ownership = rc::Rc::new(Ownership {
        node: rc::Rc::clone(node),
        token,
        owner: cell::RefCell::new(owner::Owner::new(node.settings.owner, token, now)),
        is_loaded: cell::Cell::new(false),
        is_ended: cell::Cell::new(false),
        starts_allowed: cell::Cell::new(false),
        lease_until: cell::Cell::new(sent + lease::DURATION),
        started_at: now,
        predecessors: assumed.predecessors,
        wall_clock: cell::RefCell::new(wall_clock::WallClock::new(node.agreed.get(), now)),
        followers: cell::RefCell::default(),
        job_limits: cell::RefCell::default(),
        claimants: cell::RefCell::new(claimants::Claimants::inherit(inherited, now)),
        outage_rule: cell::RefCell::default(),
        worker_clients: cell::RefCell::default(),
        feed_version: cell::Cell::new(0),
        feed_read: cell::Cell::default(),
        list_version: cell::Cell::new(None),
        fence_version: cell::Cell::new(0),
        is_stale: cell::Cell::new(false),
        last_tick: cell::Cell::new(now),
        timer_delay: cell::Cell::new(time::Span::ZERO),
        pass_meter: cell::RefCell::default(),
        placement_wake: Notify::new(),
        follower_wake: Notify::new(),
        pending_actions: cell::RefCell::default(),
        poll_gate: poll_gate::PollGate::new(node.settings.owner.order_window),
        connections: ordering::Connections::new(node.settings.budget),
        tombstones: tombstones::Queue::default(),
        commit_wake: Notify::new(),
        committed: Notify::new(),
    });
    node.set_role(node::Role::Owner(rc::Rc::clone(&ownership)));
    node.metrics.claim();
    ntex::rt::spawn(lease::renew(rc::Rc::clone(node), rc::Rc::clone(&ownership)));
    ntex::rt::spawn(stored_claimants::run(rc::Rc::clone(&ownership)));
    ntex::rt::spawn(run(ownership, claim));
}

/// Loads the stored state, starts the other tasks, and ticks until the ownership ends.
async fn run(ownership: rc::Rc<Ownership>, claim: Claim) {
    while !ownership.is_ended() {
        match ownership.load_state(&claim).await {
            Ok(()) => break,
            Err(_) => ntex::time::sleep(LOAD_RETRY_PAUSE).await,
        }
        let now = clock::steady();
        if !ownership.is_loaded.get() && election::is_load_overdue(ownership.started_at, now) {
            ownership.node.claim_after.set(now + election::CLAIM_BACKOFF);
            ownership.step_down("the cell's rows could not be read in time");
        }
    }
    ntex::rt::spawn(worker_list::run(rc::Rc::clone(&ownership)));
    ntex::rt::spawn(work_feed::run(rc::Rc::clone(&ownership)));
    ntex::rt::spawn(commit::run(rc::Rc::clone(&ownership)));
    ntex::rt::spawn(tombstones::run(rc::Rc::clone(&ownership)));
    ntex::rt::spawn(run_placement(rc::Rc::clone(&ownership)));
    while !ownership.is_ended() {
        ownership.tick();
        let started = clock::steady();
        ntex::time::sleep(std::time::Duration::from(TICK_INTERVAL)).await;
        ownership.timer_fired(clock::steady().since(started));
    }
}

/// Places waiting tasks whenever an event may have freed capacity or added work.
async fn run_placement(ownership: rc::Rc<Ownership>) {
    while !ownership.is_ended() {
        ownership.placement_wake.notified().await;
        let started = clock::steady();
        ownership.owner.borrow_mut().place(started);
        ownership.pass_meter.borrow_mut().pass(clock::steady().since(started));
        ownership.execute_actions();
        let pause = placement_pause::after(clock::steady().since(started));
        ntex::time::sleep(std::time::Duration::from(pause)).await;
    }
}

impl Ownership {
    /// Returns the fencing token.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns the row version that the first commit checks.
    pub fn fence_version(&self) -> u64 {
        self.fence_version.get()
    }

    /// Returns the daemon.
    pub const fn node(&self) -> &rc::Rc<node::Node> {
        &self.node
    }

    /// Returns whether this daemon has given the cell up.
    pub fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Borrows the decision logic. The borrow must not be held across an `await`.
    pub fn owner(&self) -> cell::RefMut<'_, owner::Owner> {
        self.owner.borrow_mut()
    }

    /// Gives the cell up: from now on this daemon sends no orders and stores no commits.
    pub fn step_down(&self, cause: &'static str) {
        if self.is_ended.replace(true) {
            return;
        }
        self.node.metrics.step_down();
        event::emit(&event::Event::SteppedDown { token: self.token, cause });
        self.worker_clients.borrow_mut().clear();
        self.pending_actions.take();
        self.poll_gate.close();
        self.commit_wake.notify_one();
        self.placement_wake.notify_one();
        self.node.set_role(node::Role::OwnerUnknown);
    }

    /// Returns the time at which the last renewal was sent.
    pub(super) fn renewed_at(&self) -> time::Timestamp {
        self.lease_until.get() - lease::DURATION
    }

    /// Extends the lease after a renewal that was sent at `sent`.
    pub fn lease_renewed(&self, sent: time::Timestamp) {
        self.lease_until.set(sent + lease::DURATION);
        self.owner.borrow_mut().lease_renewed(sent);
    }

    /// Adds a job that a daemon has just stored.
    pub fn add_job(self: &rc::Rc<Self>, id: task::JobId, job: job::Job) {
        if self.is_loaded.get() {
            let moment = self.node.moment();
            self.owner.borrow_mut().add_job_after(id, job, moment.now, &moment);
            self.process_decisions();
        }
    }

    /// Cancels a job whose cancellation a daemon has stored.
    pub fn cancel_job(self: &rc::Rc<Self>, id: task::JobId) {
        if self.is_loaded.get() {
            self.owner.borrow_mut().cancel_job(id, clock::steady());
            self.process_decisions();
        }
    }

    /// Has a job that is not stored refused from now on, as it was cancelled.
    pub async fn store_tombstone(&self, id: task::JobId) -> tombstones::Verdict {
        let may_store = self.is_loaded.get() && !self.is_ended();
        if !may_store || self.owner.borrow().has_job(id) {
            return tombstones::Verdict::Unsettled;
        }
        self.tombstones.store(id).await
    }

    /// Returns a job's state; `None` if the owner has no such job.
    pub fn state(&self, id: task::JobId) -> Option<job::State> {
        self.owner.borrow().state(id)
    }

    /// Returns the number of jobs of a queue that have not started; `None` while the stored state
    /// is being loaded.
    pub fn pending(&self, queue: &str) -> Option<usize> {
        self.is_loaded.get().then(|| self.owner.borrow().pending(queue))
    }

    /// Runs the time-driven decisions.
    fn tick(self: &rc::Rc<Self>) {
        self.update_wall_clock();
        let moment = self.node.moment();
        if let Some(at) = self.node.routing_at.get() {
            self.owner.borrow_mut().emptied_read(&self.node.emptied.borrow(), at);
        }
        self.update_starts(moment.now);
        self.owner.borrow_mut().tick(&moment);
        self.pass_meter.borrow_mut().pass(clock::steady().since(moment.now));
        self.update_worker_clients();
        self.execute_actions();
        self.report_late_starts(moment.now);
    }

    /// Records that the timer between two ticks has fired after `took`.
    fn timer_fired(&self, took: time::Span) {
        let delay = poll_pause::smooth(self.timer_delay.get(), TICK_INTERVAL, took);
        self.timer_delay.set(delay);
        let mut owner = self.owner.borrow_mut();
        owner.extend_polls(poll_pause::extra_wait(delay), clock::steady());
        drop(owner);
        self.report_connections();
        if self.owner.borrow().is_short_of_tokens() {
            self.step_down("the fencing tokens for a worker are used up");
        }
    }

    /// Returns the shortest interval between two polls of a worker.
    pub fn poll_interval(&self, id: &worker::WorkerId) -> time::Span {
        if self.are_polls_short() {
            return self.owner.borrow().poll_interval(id);
        }
        poll_pause::interval(self.timer_delay.get())
    }

    /// Returns whether workers have to share the connections for polls.
    pub fn are_polls_short(&self) -> bool {
        self.connections.are_polls_short(self.worker_clients.borrow().len())
    }

    /// Permits or forbids new runs. They are permitted while the lease is valid, and also while no
    /// claimant can reach the store either, as then no daemon can claim the cell.
    ///
    /// An owner that cannot reach the store gives the cell up after its lease has expired, as soon
    /// as a follower can reach the store. An owner whose renewals are late because the store is
    /// slow keeps the cell, as another owner would be no faster.
    fn update_starts(&self, now: time::Timestamp) {
        if now.since(self.last_tick.replace(now)) > SUSPENSION_THRESHOLD {
            self.is_stale.set(true);
        }
        let is_valid = now < self.lease_until.get();
        let cut_off_after = self.cut_off_after(now);
        let is_store_down = cut_off_after.is_some();
        let allowed = !self.is_stale.get() && (is_valid || is_store_down);
        let is_new = now.since(self.started_at) < lease::DURATION;
        let is_cut_off = !lease::is_store_up(&self.node, now);
        if !is_valid && !is_new && is_cut_off && self.is_store_up_for_follower(now) {
            return self.step_down("another daemon can reach the store and this daemon cannot");
        }
        let outage_end = self.renewed_at() + claimants::OUTAGE_LIMIT;
        let reported_until = cut_off_after.map(|after| after + followers::REPORT_VALIDITY);
        let outage_until = reported_until.map_or(now, |until| until.min(outage_end));
        let may_start = allowed && !self.node.is_draining.get();
        let until = if may_start { self.lease_until.get().max(outage_until) } else { now };
        let mut owner = self.owner.borrow_mut();
        owner.allow_starts(until);
        owner.set_store_down(is_store_down && is_cut_off);
        let outage = election::Outage {
            owner_cut_off: is_cut_off,
            cut_off_after,
            is_stale: self.is_stale.get(),
        };
        if let Some(at) = election::no_claim_before(outage) {
            owner.claims_excluded(at);
        }
        drop(owner);
        let state = outage_rule::State {
            lease_left: self.lease_until.get().since(now),
            is_cut_off,
            are_followers_cut_off: is_store_down,
            is_stale: self.is_stale.get(),
        };
        self.report_outage_rule(state, now);
        if self.starts_allowed.replace(allowed) != allowed {
            let lease_left_ms = self.lease_until.get().since(now).as_millis();
            let cause = if is_valid { "lease" } else { "store" };
            event::emit(&event::Event::Starts { allowed, lease_left_ms, cause });
        }
    }

    /// Carries out the actions that follow from the newest inputs, and wakes the placement.
    pub fn process_decisions(self: &rc::Rc<Self>) {
        self.execute_actions();
        self.placement_wake.notify_one();
    }
}
