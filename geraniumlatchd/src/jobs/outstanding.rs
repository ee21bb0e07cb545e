//! How long leases of workers may last that earlier owners of the cell have extended.

use gl_jobs::{election, owner};
use gl_model::time;
use gl_platform::cell as platform;

use super::{cell_rows, node, ownership};
use crate::clock;

/// Returns the longest time for which leases of workers that earlier owners have extended may last
/// at `now`, if it is known.
pub(super) fn at_claim(
    node: &node::Node,
    cell: &cell_rows::CellRows,
    watch: &election::LeaseWatch,
    now: time::Timestamp,
) -> Option<time::Span> {
    let lease = &cell.lease.as_ref()?.value;
    let token = cell.owner.as_ref()?.version;
    let ended_at = former_since(node, token).or(lease.released.then_some(now));
    let last = election::LastOwner {
        ended: ended_at
            .zip(lease.outstanding)
            .map(|(at, outstanding)| election::Ended { at, outstanding }),
        unrenewed_since: watch.unchanged_since().filter(|_| has_followed(node, token)),
        outage_reported: node.outage_reported.get(),
    };
    election::outstanding(&last, lease.horizon, node.settings.owner.clock_drift, now)
}

/// Returns the time since which the process that claimed the cell with `token` is known not to own it
/// any more.
pub(super) fn former_since(node: &node::Node, token: u64) -> Option<time::Timestamp> {
    match node.role() {
        node::Role::Follower(followed) if followed.token == token => followed.former_since.get(),
        _ => None,
    }
}

/// Returns whether the owner with `token` has confirmed a heartbeat of this daemon.
fn has_followed(node: &node::Node, token: u64) -> bool {
    match node.role() {
        node::Role::Follower(followed) => {
            followed.token == token && followed.confirmed_at.get() > time::Timestamp::default()
        }
        _ => false,
    }
}

impl ownership::Ownership {
    /// Records the store's clock in the reply to a read that was sent at `sent`.
    pub(super) fn store_clock_read(&self, read: &platform::Rows, sent: time::Timestamp) {
        if let Some(store_clock) = read.clock {
            let reading = owner::StoreClock { clock: store_clock, sent, at: clock::steady() };
            self.owner.borrow_mut().store_clock_read(reading);
        }
    }

    /// Returns the longest time for which the leases that earlier owners have extended may last at
    /// `now`, if that was known at the claim.
    pub(super) fn inherited_lease(&self, now: time::Timestamp) -> Option<time::Span> {
        self.outstanding.map(|left| (self.started_at + left).since(now))
    }

    /// Returns the longest time for which leases of workers may last at `now` if this owner extends
    /// none any more.
    pub(super) fn outstanding_lease(&self, now: time::Timestamp) -> time::Span {
        if self.is_loaded.get() {
            return self.owner.borrow().outstanding(now);
        }
        let settings = &self.node.settings.owner;
        self.inherited_lease(now).unwrap_or(settings.horizon).max(settings.lease)
    }
}
