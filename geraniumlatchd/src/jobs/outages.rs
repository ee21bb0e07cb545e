//! Outages that this daemon observes, and the times after which refused clients should return.

use std::cell;

use gl_jobs::retry_after;
use gl_model::time;

use super::{lease, node, submission};

/// Longest usual outage of the store.
const STORE_OUTAGE: time::Span = time::Span::seconds(9);
/// Longest usual time without an owner: the time-out of a lease, and the time to load the cell's rows.
const OWNER_OUTAGE: time::Span = time::Span::seconds(6);
/// Longest usual time for which too many jobs wait to be stored.
const FULL_QUEUE: time::Span = time::Span::seconds(4);

/// Histories of outages, by cause.
pub struct Outages {
    store: cell::RefCell<retry_after::Outages>,
    owner: cell::RefCell<retry_after::Outages>,
    queue: cell::RefCell<retry_after::Outages>,
}

impl Default for Outages {
    fn default() -> Self {
        let history = |usual| cell::RefCell::new(retry_after::Outages::new(usual));
        Self {
            store: history(STORE_OUTAGE),
            owner: history(OWNER_OUTAGE),
            queue: history(FULL_QUEUE),
        }
    }
}

impl Outages {
    /// Records the result of a call to the store, whose last success was at `worked_at`.
    pub fn store_called(&self, is_ok: bool, worked_at: time::Timestamp, now: time::Timestamp) {
        record(&self.store, is_ok, worked_at, now);
    }

    /// Records whether there is an owner that has confirmed its ownership, the last time at
    /// `confirmed_at`.
    pub fn owner_observed(
        &self,
        is_live: bool,
        confirmed_at: time::Timestamp,
        now: time::Timestamp,
    ) {
        record(&self.owner, is_live, confirmed_at, now);
    }

    /// Records the outcome of storing a job.
    pub fn submitted(&self, outcome: submission::Outcome, now: time::Timestamp) {
        use submission::{Cause, Outcome};
        match outcome {
            Outcome::Refused(Cause::QueueFull | Cause::OwnerFull) => {
                record(&self.queue, false, now, now)
            }
            Outcome::Stored | Outcome::Duplicate => record(&self.queue, true, now, now),
            _ => {}
        }
    }

    /// Returns the time after which a request should be repeated that needs the store.
    pub fn store_retry_after(&self, key: u64, now: time::Timestamp) -> time::Span {
        self.store.borrow().retry_after(key, now)
    }

    /// Returns the time after which a request should be repeated that needs the owner.
    pub fn owner_retry_after(&self, key: u64, now: time::Timestamp) -> time::Span {
        self.owner.borrow().retry_after(key, now)
    }

    /// Returns the time after which a request should be repeated that found too many others.
    pub fn crowd_retry_after(&self, key: u64, now: time::Timestamp) -> time::Span {
        self.queue.borrow().retry_after(key, now)
    }

    /// Returns the time after which a job should be submitted again that was refused for `cause`.
    pub fn submit_retry_after(
        &self,
        cause: submission::Cause,
        key: u64,
        now: time::Timestamp,
    ) -> time::Span {
        match cause {
            submission::Cause::QueueFull | submission::Cause::OwnerFull => {
                self.crowd_retry_after(key, now)
            }
            _ => self.store_retry_after(key, now),
        }
    }
}

fn record(
    history: &cell::RefCell<retry_after::Outages>,
    is_ok: bool,
    worked_at: time::Timestamp,
    now: time::Timestamp,
) {
    let mut history = history.borrow_mut();
    if is_ok {
        history.recovered(now);
    } else {
        history.failed(worked_at, now);
    }
}

impl node::Node {
    /// Records that there is no owner, unless `followed` has confirmed its ownership recently.
    pub(super) fn observe_absence(&self, followed: &node::FollowedOwner, now: time::Timestamp) {
        let confirmed_at = followed.confirmed_at.get();
        let is_known = confirmed_at > time::Timestamp::default();
        if now.since(confirmed_at) >= lease::CONFIRMATION_VALIDITY {
            self.outages.owner_observed(false, if is_known { confirmed_at } else { now }, now);
        }
    }
}
