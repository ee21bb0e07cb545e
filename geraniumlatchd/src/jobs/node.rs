//! What all parts of a daemon share.

use std::{cell, rc, sync};

use gl_jobs::{owner, queue};
use gl_model::time;
use gl_peer::rpc;
use gl_platform::cell as platform;
use tokio::sync::Notify;

use super::{accept, event, lines, link, reign};
use crate::clock;

/// How a daemon is set up.
pub struct Settings {
    /// The daemon's name.
    pub daemon: String,
    /// Where other daemons reach it.
    pub mesh: std::net::SocketAddr,
    /// The time between a request to stop and the end by force.
    pub grace: time::Span,
    /// How long it waits before it claims a cell without owner.
    pub deference: time::Span,
    /// What the owner's decisions depend on.
    pub owner: owner::Settings,
}

/// The platform, as the daemon uses it.
pub struct Platform {
    /// The table service.
    pub store: rc::Rc<dyn platform::Store>,
    /// Lists of workers and queues.
    pub directory: rc::Rc<dyn platform::Directory>,
    /// Orders to workers.
    pub workers: rc::Rc<dyn platform::Workers>,
    /// Advice on workers.
    pub adviser: rc::Rc<dyn platform::Adviser>,
}

/// A daemon's part in the cell.
#[derive(Clone)]
pub enum Role {
    /// The owner isn't known.
    Alone,
    /// Another daemon owns the cell.
    Follower(rc::Rc<Following>),
    /// This daemon owns the cell.
    Owner(rc::Rc<reign::Reign>),
}

/// The owner that a daemon follows.
pub struct Following {
    /// Its fencing token.
    pub token: u64,
    /// The connection to it.
    pub link: rpc::Client<link::Talk>,
    /// When it last said that it owns the cell.
    pub confirmed: cell::Cell<time::Timestamp>,
    /// Whether the process that had that token is known to be gone, or to own the cell no more.
    pub is_gone: cell::Cell<bool>,
}

/// What the daemon has seen of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreView {
    /// Since when it has answered without a failure; none while it fails.
    pub up_since: Option<time::Timestamp>,
    /// When it last answered.
    pub answered: time::Timestamp,
    /// Failed calls since then.
    pub failures: u32,
}

/// A daemon.
pub struct Node {
    /// How it is set up.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// Metrics.
    pub metrics: sync::Arc<gl_meter::jobs::Metrics>,
    /// The log.
    pub log: Option<lines::Log>,
    /// The newest routing.
    pub routing: cell::RefCell<Option<rc::Rc<queue::Routing>>>,
    /// Jobs on their way to the store.
    pub accepting: accept::Queue,
    /// Whether the outcome of an own claim isn't known.
    pub has_open_claim: cell::Cell<bool>,
    /// Until when it leaves the cell to others, as it could not read the rows in time.
    pub unfit_until: cell::Cell<time::Timestamp>,
    /// Wakes the watch over the cell's owner.
    pub owner_wake: Notify,
    /// Whether the daemon was asked to stop.
    pub draining: cell::Cell<bool>,
    /// Requests of clients that have no answer yet.
    pub open_requests: cell::Cell<usize>,
    role: cell::RefCell<Role>,
    store_view: cell::Cell<StoreView>,
}

impl Node {
    /// A daemon that knows nothing yet.
    pub fn new(
        settings: Settings,
        platform: Platform,
        metrics: sync::Arc<gl_meter::jobs::Metrics>,
        log: Option<lines::Log>,
    ) -> Self {
        Self {
            settings,
            platform,
            metrics,
            log,
            routing: cell::RefCell::new(None),
            accepting: accept::Queue::default(),
            has_open_claim: cell::Cell::new(false),
            unfit_until: cell::Cell::default(),
            owner_wake: Notify::new(),
            draining: cell::Cell::new(false),
            open_requests: cell::Cell::new(0),
            role: cell::RefCell::new(Role::Alone),
            store_view: cell::Cell::new(StoreView::default()),
        }
    }

    /// The present moment.
    pub fn moment() -> owner::Moment {
        owner::Moment { now: clock::steady(), wall: clock::now() }
    }

    /// The daemon's part in the cell.
    pub fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// Takes another part in the cell.
    pub fn set_role(&self, role: Role) {
        let old = self.role.replace(role);
        // Dropped only after the table is free again, as the old role may look into it.
        drop(old);
    }

    /// What the owner runs, if this daemon owns the cell.
    pub fn reign(&self) -> Option<rc::Rc<reign::Reign>> {
        match &*self.role.borrow() {
            Role::Owner(reign) if !reign.is_over() => Some(rc::Rc::clone(reign)),
            _ => None,
        }
    }

    /// What the daemon has seen of the store.
    pub fn store_view(&self) -> StoreView {
        self.store_view.get()
    }

    /// Notes how a call to the store ended.
    pub fn note_store<T>(&self, result: &Result<T, platform::StoreError>, now: time::Timestamp) {
        let old = self.store_view.get();
        let outcome = match result {
            Ok(_) => "ok",
            Err(platform::StoreError::Refused { .. }) => "refused",
            Err(platform::StoreError::Lost { .. }) => "lost",
            Err(platform::StoreError::Forgotten { .. }) => "forgotten",
        };
        self.metrics.store_call(outcome);
        match result {
            Ok(_) | Err(platform::StoreError::Forgotten { .. }) => {
                if old.up_since.is_none() && old.answered > time::Timestamp::default() {
                    let after_ms = now.since(old.answered).as_millis();
                    event::emit(&event::Event::DependencyBack { dependency: "store", after_ms });
                }
                let up_since = Some(old.up_since.unwrap_or(now));
                self.store_view.set(StoreView { up_since, answered: now, failures: 0 });
            }
            Err(error) => {
                if old.up_since.is_some() {
                    let detail = error.to_string();
                    event::emit(&event::Event::DependencyLost { dependency: "store", detail });
                }
                let failures = old.failures.saturating_add(1);
                self.store_view.set(StoreView { up_since: None, failures, ..old });
            }
        }
    }
}
