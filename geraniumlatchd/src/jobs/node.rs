//! State that all parts of a daemon share.

use std::{cell, rc, sync};

use gl_cost::summary;
use gl_fleet::budget;
use gl_intake::{budget as intake, ledger, memory};
use gl_jobs::{domain, election, owner, queue, room, wall_clock};
use gl_model::time;
use gl_peer::rpc;
use gl_platform::cell as platform;
use tokio::sync::Notify;

use super::{admission, event, log_writer, mesh, outages, ownership, submission};
use crate::clock;

/// Settings of a daemon.
pub struct Settings {
    /// The daemon's name.
    pub daemon: String,
    /// Address at which other daemons reach it.
    pub mesh: std::net::SocketAddr,
    /// Time between the signal to stop and the forced end of the process.
    pub grace: time::Span,
    /// Time within which a change of the routing is in force everywhere.
    pub config_apply: time::Span,
    /// Resources that decide how soon it claims a cell that has no owner.
    pub resources: election::Resources,
    /// Largest numbers of connections.
    pub budget: budget::Budget,
    /// Largest amounts of memory that clients may occupy.
    pub memory: memory::Division,
    /// Settings of the owner's decision logic.
    pub owner: owner::Settings,
}

/// Clients of the platform's services.
pub struct Platform {
    /// The table store.
    pub store: rc::Rc<dyn platform::Store>,
    /// Directory of workers and routing.
    pub directory: rc::Rc<dyn platform::Directory>,
    /// Polls of and orders to workers.
    pub workers: rc::Rc<dyn platform::Workers>,
    /// Placement advice.
    pub adviser: rc::Rc<dyn platform::Adviser>,
}

/// Role of a daemon in the cell.
#[derive(Clone)]
pub enum Role {
    /// The owner is not known.
    OwnerUnknown,
    /// Another daemon owns the cell.
    Follower(rc::Rc<FollowedOwner>),
    /// This daemon owns the cell.
    Owner(rc::Rc<ownership::Ownership>),
}

/// The owner that a daemon follows.
pub struct FollowedOwner {
    /// Name of the owner.
    pub daemon: String,
    /// Fencing token of the owner.
    pub token: u64,
    /// Connection to the owner.
    pub connection: rpc::Client<mesh::Protocol>,
    /// Time at which it last confirmed that it owns the cell.
    pub confirmed_at: cell::Cell<time::Timestamp>,
    /// Its steady clock in its newest reply that had it.
    pub clock: cell::Cell<Option<time::Timestamp>>,
    /// Time since which its address has refused connections.
    pub refused_since: cell::Cell<Option<time::Timestamp>>,
    /// Time since which the process that held the token is known to have terminated or given the cell
    /// up.
    pub former_since: cell::Cell<Option<time::Timestamp>>,
    /// The load of the services in its newest reply that had one.
    pub load: cell::RefCell<Option<summary::Received>>,
}

impl FollowedOwner {
    /// Keeps the load of the services and the owner's clock in the reply to a heartbeat that was sent at
    /// `sent`.
    pub fn keep_state(&self, reply: Option<&mesh::Response>, sent: time::Timestamp) {
        if let Some(mesh::Response::Confirmed { load, clock, .. }) = reply {
            self.clock.set(clock.or(self.clock.get()));
            self.load.replace(Some(summary::Received { summary: load.clone(), sent }));
        }
    }
}

/// Health of the store, as observed by this daemon's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Time since which all calls have succeeded; `None` before the first call and after a failed
    /// one.
    pub up_since: Option<time::Timestamp>,
    /// Time of the last successful call.
    pub last_success: time::Timestamp,
    /// Number of failed calls since then.
    pub failures: u32,
}

/// A daemon.
pub struct Node {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Clients of the platform.
    pub platform: Platform,
    /// Metrics of the daemon.
    pub metrics: sync::Arc<gl_meter::jobs::Metrics>,
    /// Log of the daemon; `None` if it does not write one.
    pub log: Option<log_writer::Log>,
    /// The newest routing.
    pub routing: cell::RefCell<Option<rc::Rc<queue::Routing>>>,
    /// The failure domains that operators have emptied, read together with the routing.
    pub emptied: cell::RefCell<domain::Emptied>,
    /// Time at which the routing was the newest at the store; `None` before the first read.
    pub routing_at: cell::Cell<Option<time::Timestamp>>,
    /// Jobs that wait to be stored.
    pub submissions: submission::Queue,
    /// Memory of the jobs that are being stored.
    pub storing: rc::Rc<ledger::Ledger>,
    /// Jobs that this daemon may accept without asking the owner.
    pub job_share: admission::Share,
    /// Whether this daemon has sent a claim whose outcome is not known.
    pub has_open_claim: cell::Cell<bool>,
    /// Time before which this daemon does not claim the cell; set after it failed to load the
    /// cell's rows in time.
    pub claim_after: cell::Cell<time::Timestamp>,
    /// Time at which this daemon last reported to an owner that it could not reach the store.
    pub outage_reported: cell::Cell<time::Timestamp>,
    /// Time of day on which the daemons agree, once it is known.
    pub agreed: cell::Cell<Option<wall_clock::Agreed>>,
    /// Outages that this daemon has observed.
    pub outages: outages::Outages,
    /// Wakes the loop that watches the cell's owner.
    pub owner_wake: Notify,
    /// Whether the daemon is shutting down.
    pub is_draining: cell::Cell<bool>,
    /// Number of client requests in progress.
    pub open_requests: cell::Cell<usize>,
    role: cell::RefCell<Role>,
    store_health: cell::Cell<StoreHealth>,
}

impl Node {
    /// Creates a daemon that has no routing yet and whose owner is not known.
    pub fn new(
        settings: Settings,
        platform: Platform,
        metrics: sync::Arc<gl_meter::jobs::Metrics>,
        log: Option<log_writer::Log>,
    ) -> Self {
        let memory = settings.memory;
        let submissions = submission::Queue::new(settings.owner.max_row, memory.storing);
        let storing = ledger::Ledger::new(intake::Settings::with_limit(memory.storing));
        Self {
            settings,
            platform,
            metrics,
            log,
            routing: cell::RefCell::new(None),
            emptied: cell::RefCell::default(),
            routing_at: cell::Cell::new(None),
            submissions,
            storing: rc::Rc::new(storing),
            job_share: admission::Share::new(room::Room::initial_share(memory.jobs)),
            has_open_claim: cell::Cell::new(false),
            claim_after: cell::Cell::default(),
            outage_reported: cell::Cell::default(),
            agreed: cell::Cell::default(),
            outages: outages::Outages::default(),
            owner_wake: Notify::new(),
            is_draining: cell::Cell::new(false),
            open_requests: cell::Cell::new(0),
            role: cell::RefCell::new(Role::OwnerUnknown),
            store_health: cell::Cell::new(StoreHealth::default()),
        }
    }

    /// Returns the daemon's role in the cell.
    pub fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// Changes the daemon's role in the cell.
    pub fn set_role(&self, role: Role) {
        let now = clock::steady();
        match role {
            Role::Owner(_) => self.outages.owner_observed(true, now, now),
            Role::OwnerUnknown => self.outages.owner_observed(false, now, now),
            Role::Follower(_) => {}
        }
        let old = self.role.replace(role);
        // The old role is dropped after the borrow has ended, as its destructor may read the role.
        drop(old);
    }

    /// Returns the ownership, if this daemon owns the cell.
    pub fn ownership(&self) -> Option<rc::Rc<ownership::Ownership>> {
        match &*self.role.borrow() {
            Role::Owner(ownership) if !ownership.is_ended() => Some(rc::Rc::clone(ownership)),
            _ => None,
        }
    }

    /// Returns the newest known load of the services; `None` if the owner is not known or has sent none.
    pub fn load(&self, now: time::Timestamp) -> Option<summary::Received> {
        match &*self.role.borrow() {
            Role::Owner(ownership) => {
                let summary = ownership.owner().load_summary(now);
                Some(summary::Received { summary, sent: now })
            }
            Role::Follower(followed) => followed.load.borrow().clone(),
            Role::OwnerUnknown => None,
        }
    }

    /// Returns the time since which the routing may be out of date, or `None` if it was never read.
    pub fn routing_age(&self, now: time::Timestamp) -> Option<time::Span> {
        self.routing_at.get().map(|at| now.since(at))
    }

    /// Returns the health of the store.
    pub fn store_health(&self) -> StoreHealth {
        self.store_health.get()
    }

    /// Records the result of a call to the store: in the metrics, in the store's health, and as an
    /// event when the store becomes unreachable or reachable again.
    pub fn record_store_result<T>(
        &self,
        result: &Result<T, platform::StoreError>,
        now: time::Timestamp,
    ) {
        let old = self.store_health.get();
        let outcome = match result {
            Ok(_) => "ok",
            Err(platform::StoreError::Refused { .. }) => "refused",
            Err(platform::StoreError::Rejected { .. }) => "rejected",
            Err(platform::StoreError::Lost { .. }) => "lost",
            Err(platform::StoreError::Compacted { .. }) => "forgotten",
        };
        self.metrics.store_call(outcome);
        // These replies show that the store serves this daemon.
        let is_ok = match result {
            Ok(_) => true,
            Err(error) => matches!(
                error,
                platform::StoreError::Compacted { .. } | platform::StoreError::Rejected { .. }
            ),
        };
        // Before the first success, the time of the last one is not known.
        let is_known = old.last_success > time::Timestamp::default();
        let worked_at = if is_known { old.last_success } else { now };
        self.outages.store_called(is_ok, worked_at, now);
        match result {
            Err(error) if !is_ok => {
                if old.up_since.is_some() {
                    let detail = error.to_string();
                    event::emit(&event::Event::DependencyLost { dependency: "store", detail });
                }
                let failures = old.failures.saturating_add(1);
                self.store_health.set(StoreHealth { up_since: None, failures, ..old });
            }
            _ => {
                if old.up_since.is_none() && old.last_success > time::Timestamp::default() {
                    let after_ms = now.since(old.last_success).as_millis();
                    event::emit(&event::Event::DependencyRecovered {
                        dependency: "store",
                        after_ms,
                    });
                }
                let up_since = Some(old.up_since.unwrap_or(now));
                self.store_health.set(StoreHealth { up_since, last_success: now, failures: 0 });
            }
        }
    }
}
