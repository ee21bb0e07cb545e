//! The lease on the cell. A daemon watches the owner's lease, claims the cell once that lease has
//! expired or was released, the owner's process has terminated or its address refuses connections, and
//! renews the lease while it owns the cell. The version of the owner's row is the owner's fencing token.

use std::rc;

use gl_jobs::{claimants, election, followers, record};
use gl_model::time;
use gl_peer::rpc;
use gl_platform::cell as platform;

use super::{cell_rows, event, node, ownership, predecessors, rows};
use crate::clock;

/// Time for which a renewal is valid. Long enough for the replies of a slow store, and short enough
/// that jobs do not wait long for a new owner.
pub const DURATION: time::Span = time::Span::millis(2_000);
/// Time for which the lease row must stay unchanged before another daemon claims the cell: the
/// duration of the lease and a margin for clock drift and late timers.
const TAKEOVER_TIMEOUT: time::Span = time::Span::millis(2_300);
/// Interval at which a daemon reads the cell's rows while the owner does not confirm its
/// heartbeats.
const WATCH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(300);
/// Interval of these reads while the owner confirms the heartbeats. The reads continue, as the cell
/// may have passed to another daemon.
const CONFIRMED_WATCH_INTERVAL: time::Span = time::Span::millis(2_000);
/// Time for which an owner is treated as alive after it confirmed its ownership; covers two
/// heartbeats.
pub const CONFIRMATION_VALIDITY: time::Span = time::Span::millis(700);
/// Interval at which the owner renews its lease: a quarter of the lease's duration.
const RENEWAL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);
/// Pause after a failed renewal.
const RENEWAL_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);
/// Interval at which a follower sends heartbeats to the owner.
const HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(300);
/// Time that a follower waits for the reply to a heartbeat; covers several round trips.
const HEARTBEAT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// Number of consecutive failed calls at which the store counts as down; a single one may be a lost
/// reply.
const STORE_DOWN_FAILURES: u32 = 2;

/// State that a daemon keeps between two reads of the cell's rows.
#[derive(Debug, Default)]
struct OwnerWatch {
    lease_watch: election::LeaseWatch,
    /// Time of the last successful read.
    read_at: time::Timestamp,
    /// Time since which the cell can be claimed.
    claimable_since: Option<time::Timestamp>,
    /// Claim by this daemon whose reply was lost.
    open_claim: Option<OpenClaim>,
}

/// Watches the owner and claims the cell when possible, for the life of the process.
pub async fn run(node: rc::Rc<node::Node>) {
    let mut watch = OwnerWatch::default();
    loop {
        if node.ownership().is_some() {
            watch = OwnerWatch::default();
        } else if watch.is_due(&node, clock::steady()) {
            watch.check_owner(&node).await;
        }
        // The next check follows both a wake-up and the time-out.
        let _ = ntex::time::timeout(WATCH_INTERVAL, node.owner_wake.notified()).await;
    }
}

/// Returns whether this daemon follows an owner that has confirmed its ownership recently.
pub fn has_live_owner(node: &node::Node, now: time::Timestamp) -> bool {
    match node.role() {
        node::Role::Follower(followed) => {
            followed.former_since.get().is_none()
                && !followed.connection.is_refused()
                && now.since(followed.confirmed_at.get()) < CONFIRMATION_VALIDITY
        }
        _ => false,
    }
}

/// A claim whose outcome is unknown: it may have been committed, or may still be while the owner's
/// row is unchanged.
#[derive(Clone, Debug, PartialEq)]
struct OpenClaim {
    claim: u64,
    /// Version of the owner's row that the claim checks.
    checked_version: u64,
    /// The claimants that it stores.
    claimants: claimants::Names,
    sent: time::Timestamp,
}

impl OwnerWatch {
    fn is_due(&self, node: &node::Node, now: time::Timestamp) -> bool {
        !has_live_owner(node, now) || now.since(self.read_at) >= CONFIRMED_WATCH_INTERVAL
    }

    /// Reads the cell's rows, follows the owner that they name, and claims the cell if it can be
    /// claimed.
    async fn check_owner(&mut self, node: &rc::Rc<node::Node>) {
        let sent = clock::steady();
        let read = node.platform.store.range(&rows::all_claims()).await;
        node.record_store_result(&read, clock::steady());
        let Ok(read) = read else {
            self.lease_watch.reset();
            return;
        };
        self.read_at = clock::steady();
        let cell = cell_rows::decode(&read.rows);
        if let Some(owner) = &cell.owner {
            self.resolve_claim(node, owner);
            follow(node, owner);
        }
        let refused = refusal(node, &cell).await;
        let now = clock::steady();
        let cause = self.claim_reason(node, &cell, refused, sent, now);
        self.claimable_since = cause.and(self.claimable_since.or(Some(now)));
        let is_backoff_over = now >= node.claim_after.get();
        let may_claim = is_backoff_over && !node.is_draining.get() && node.ownership().is_none();
        let workers = cell.workers().unwrap_or_default();
        let cause = cause.filter(|_| self.is_claim_delay_over(node, workers, now));
        if let Some(cause) = cause.filter(|_| may_claim) {
            self.claim(node, &cell, cause).await;
        }
    }

    /// Returns whether the claim delay has passed, which lets daemons on larger machines claim
    /// first.
    fn is_claim_delay_over(&self, node: &node::Node, workers: usize, now: time::Timestamp) -> bool {
        let delay = election::claim_delay(node.settings.resources, workers);
        self.claimable_since.is_some_and(|since| now.since(since) >= delay)
    }

    /// Returns the reason why the cell can be claimed, if it can.
    fn claim_reason(
        &mut self,
        node: &node::Node,
        cell: &cell_rows::CellRows,
        refused: Option<time::Timestamp>,
        sent: time::Timestamp,
        now: time::Timestamp,
    ) -> Option<&'static str> {
        let observation = cell.lease.as_ref().map(|lease| election::Observation {
            version: lease.version,
            released: lease.value.released,
            terminated: cell
                .owner
                .as_ref()
                .is_some_and(|owner| predecessors::former_since(node, owner.version).is_some()),
            refused,
            standing: cell.standing(&node.settings.daemon),
            outage_reported: node.outage_reported.get(),
        });
        self.lease_watch.claim_reason(observation, TAKEOVER_TIMEOUT, sent, now)
    }

    async fn claim(
        &mut self,
        node: &rc::Rc<node::Node>,
        cell: &cell_rows::CellRows,
        cause: &'static str,
    ) {
        let claim = clock::now().0;
        let settings = &node.settings;
        let owner = record::Owner { daemon: settings.daemon.clone(), mesh: settings.mesh, claim };
        let sent = clock::steady();
        let assumed = predecessors::at_claim(node, cell, &self.lease_watch, sent);
        let claimants = cell.claimants_after_claim(&settings.daemon);
        let txn = match cell_rows::claim(cell, &owner, &settings.owner, assumed.predecessors) {
            Ok(txn) => txn,
            Err(error) => return log_claim_failure(cause, error.to_string()),
        };
        node.has_open_claim.set(true);
        let result = node.platform.store.transact(&txn).await;
        node.record_store_result(&result, clock::steady());
        let is_lost = matches!(result, Err(platform::StoreError::Lost { .. }));
        match result {
            Ok(platform::Outcome::Committed(token)) => {
                let claimants = claimants.clone();
                let claim = ownership::Claim { token, sent, assumed, claimants, cause };
                ownership::start(node, claim);
            }
            Ok(platform::Outcome::Conflict(_)) => {
                log_claim_failure(cause, "another daemon claimed the cell first".to_owned());
            }
            Err(error) => log_claim_failure(cause, error.to_string()),
        }
        let checked_version = cell.owner.as_ref().map_or(0, |owner| owner.version);
        let open = OpenClaim { claim, checked_version, claimants, sent };
        self.open_claim = is_lost.then_some(open);
        node.has_open_claim.set(is_lost);
    }

    /// Resolves a claim whose reply was lost, once the owner's row has changed: the row shows
    /// whether the claim was committed.
    fn resolve_claim(
        &mut self,
        node: &rc::Rc<node::Node>,
        owner: &cell_rows::Versioned<record::Owner>,
    ) {
        let is_resolved = |open: &mut OpenClaim| open.checked_version != owner.version;
        let Some(open) = self.open_claim.take_if(is_resolved) else {
            return;
        };
        let is_own = owner.value.claim == open.claim && owner.value.daemon == node.settings.daemon;
        if is_own {
            let claim = ownership::Claim {
                token: owner.version,
                sent: open.sent,
                assumed: predecessors::UNKNOWN,
                claimants: open.claimants,
                cause: "the reply to its claim was lost, and the claim took effect",
            };
            ownership::start(node, claim);
        }
        node.has_open_claim.set(false);
    }
}

fn log_claim_failure(cause: &'static str, detail: String) {
    event::emit(&event::Event::ClaimFailed { cause, detail });
}

/// Connects to the owner and starts to follow it, unless this daemon does so already.
fn follow(node: &rc::Rc<node::Node>, owner: &cell_rows::Versioned<record::Owner>) {
    let is_known = match node.role() {
        node::Role::Follower(followed) => followed.token == owner.version,
        node::Role::Owner(ownership) => !ownership.is_ended(),
        node::Role::OwnerUnknown => false,
    };
    if is_known {
        return;
    }
    let token = owner.version;
    event::emit(&event::Event::Following { owner: &owner.value.daemon, token });
    let connection = rpc::Client::new(owner.value.mesh);
    let confirmed_at = std::cell::Cell::new(time::Timestamp::default());
    let (refused_since, former_since) = (std::cell::Cell::new(None), std::cell::Cell::new(None));
    let followed = node::FollowedOwner {
        daemon: owner.value.daemon.clone(),
        token,
        connection,
        confirmed_at,
        clock: std::cell::Cell::default(),
        refused_since,
        former_since,
        load: std::cell::RefCell::default(),
    };
    let followed = rc::Rc::new(followed);
    node.set_role(node::Role::Follower(rc::Rc::clone(&followed)));
    ntex::rt::spawn(send_heartbeats(rc::Rc::clone(node), rc::Rc::downgrade(&followed)));
}

/// Returns the time at which the owner last confirmed a heartbeat, if its address refuses connections
/// after the cell's rows were read. A daemon that was cut off finds the refusals of before outdated.
async fn refusal(node: &node::Node, cell: &cell_rows::CellRows) -> Option<time::Timestamp> {
    let node::Role::Follower(followed) = node.role() else {
        return None;
    };
    let owner = cell.owner.as_ref().filter(|owner| owner.version == followed.token)?;
    let is_refused = followed.connection.is_refused() && rpc::is_refused(owner.value.mesh).await;
    is_refused.then(|| followed.confirmed_at.get())
}

/// Sends heartbeats to an owner for as long as this daemon follows it, at an interval and when the
/// connection has ended.
async fn send_heartbeats(node: rc::Rc<node::Node>, followed: rc::Weak<node::FollowedOwner>) {
    loop {
        let Some(followed) = followed.upgrade() else {
            return;
        };
        let store_up = is_store_up(&node, clock::steady());
        if !store_up {
            node.outage_reported.set(clock::steady());
        }
        let daemon = node.settings.daemon.clone();
        let (token, owner) = (followed.token, followed.daemon.clone());
        let (sent, wall) = (clock::steady(), clock::now());
        let clock = followed.clock.get();
        let report = followers::Report::new(store_up, clock, node.has_open_claim.get());
        let after = report.after;
        let untold = node.untold_jobs();
        let job_limit = u64::try_from(node.settings.memory.jobs).ok();
        let request = super::mesh::Request::Heartbeat {
            daemon,
            store_up,
            token,
            owner,
            wall,
            after,
            job_limit,
        };
        let reply = followed.connection.request(request, HEARTBEAT_TIMEOUT).await;
        if clock::steady().since(sent) < time::Span::from(HEARTBEAT_TIMEOUT) {
            node.adopt_agreement(reply.as_ref(), sent);
        }
        followed.keep_state(reply.as_ref(), sent);
        node.job_share_received(reply.as_ref(), untold);
        let reply = reply.filter(|reply| !matches!(reply, super::mesh::Response::OtherDaemon));
        handle_heartbeat_reply(&node, &followed, reply.as_ref());
        let disconnected = followed.connection.disconnected();
        drop(followed);
        // A heartbeat follows both the end of the connection and the time-out.
        let _ = ntex::time::timeout(HEARTBEAT_INTERVAL, disconnected.notified()).await;
    }
}

/// Evaluates the reply to a heartbeat.
///
/// A reply that denies ownership under the token proves that the owner's process has terminated or
/// given the cell up. A missing reply proves nothing, nor does a refused connection.
fn handle_heartbeat_reply(
    node: &node::Node,
    followed: &node::FollowedOwner,
    reply: Option<&super::mesh::Response>,
) {
    let refused_since = followed.refused_since.get().unwrap_or_else(clock::steady);
    let is_refused = reply.is_none() && followed.connection.is_refused();
    followed.refused_since.set(is_refused.then_some(refused_since));
    let is_former = matches!(reply, Some(super::mesh::Response::NotOwner));
    if reply.is_some() && !is_former {
        let now = clock::steady();
        followed.confirmed_at.set(now);
        node.outages.owner_observed(true, now, now);
        return;
    }
    node.observe_absence(followed, clock::steady());
    if is_former && followed.former_since.get().is_none() {
        followed.former_since.set(Some(clock::steady()));
    }
    node.owner_wake.notify_one();
}

/// Returns whether the store counts as reachable from this daemon: a recent call has succeeded, and
/// fewer than `STORE_DOWN_FAILURES` calls have failed since.
pub fn is_store_up(node: &node::Node, now: time::Timestamp) -> bool {
    let health = node.store_health();
    health.failures < STORE_DOWN_FAILURES
        && now.since(health.last_success) < election::STORE_DOWN_TIMEOUT
}

/// Renews the lease on the cell until the ownership ends.
pub async fn renew(node: rc::Rc<node::Node>, ownership: rc::Rc<ownership::Ownership>) {
    let mut renewals = 0;
    while !ownership.is_ended() {
        renewals += 1;
        let sent = clock::steady();
        let result = write_lease(&node, &ownership, renewals, false).await;
        node.record_store_result(&result, clock::steady());
        let pause = match result {
            Ok(platform::Outcome::Committed(_)) => {
                ownership.lease_renewed(sent);
                RENEWAL_INTERVAL
            }
            Ok(platform::Outcome::Conflict(_)) => {
                ownership.step_down("another daemon claimed the cell");
                return;
            }
            Err(_) => RENEWAL_RETRY_PAUSE,
        };
        ntex::time::sleep(pause).await;
    }
}

/// Writes the lease row, provided that this daemon still owns the cell.
pub async fn write_lease(
    node: &node::Node,
    ownership: &ownership::Ownership,
    renewals: u64,
    released: bool,
) -> Result<platform::Outcome, platform::StoreError> {
    let horizon = node.settings.owner.horizon;
    let outstanding = Some(ownership.outstanding_lease(clock::steady()));
    let earlier_starts = Some(ownership.earlier_starts(clock::steady()));
    let workers = ownership.is_loaded.get().then(|| ownership.owner().workers().count());
    let lease = record::Lease { renewals, released, horizon, outstanding, earlier_starts, workers };
    let row = record::encode("lease", &lease);
    let value = row.map_err(|e| platform::StoreError::Refused {
        operation: "renew the lease",
        detail: e.to_string(),
    })?;
    let txn = platform::Transaction {
        checks: vec![platform::Check {
            key: rows::cell_row(rows::OWNER),
            version: ownership.token(),
        }],
        writes: vec![platform::Write { key: rows::cell_row(rows::LEASE), value }],
        removals: Vec::new(),
    };
    node.platform.store.transact(&txn).await
}
