//! What earlier owners of the cell may still do: how long the leases of workers may last that they have
//! extended, and how long they may order starts.

use gl_jobs::{election, owner};
use gl_model::time;
use gl_platform::cell as platform;

use super::{cell_rows, lease, node, ownership};
use crate::clock;

/// What a new owner assumes of earlier ones, and what that follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assumed {
    /// What they may still do.
    pub predecessors: election::Predecessors,
    /// What decided how long the leases of workers may last.
    pub bound: Option<election::Bound>,
    /// The time since the last owner's newest renewal was first read.
    pub renewal_age: Option<time::Span>,
    /// The time since this daemon last reported that it could not reach the store.
    pub outage_age: Option<time::Span>,
}

/// What a new owner assumes after a claim that took effect at an unknown time: the last owner may have
/// gone on until then.
pub(super) const UNKNOWN: Assumed = Assumed {
    predecessors: election::Predecessors { outstanding: None, starts: lease::DURATION },
    bound: None,
    renewal_age: None,
    outage_age: None,
};

/// Returns what a new owner assumes of earlier ones after a claim at `now`.
pub(super) fn at_claim(
    node: &node::Node,
    cell: &cell_rows::CellRows,
    watch: &election::LeaseWatch,
    now: time::Timestamp,
) -> Assumed {
    let outage_reported = node.outage_reported.get();
    let has_reported = outage_reported > time::Timestamp::default();
    let assumed = Assumed {
        predecessors: election::Predecessors::default(),
        bound: None,
        renewal_age: watch.renewal_read().map(|at| now.since(at)),
        outage_age: has_reported.then(|| now.since(outage_reported)),
    };
    let (Some(row), Some(owner)) = (&cell.lease, &cell.owner) else {
        return assumed;
    };
    let (row, token) = (&row.value, owner.version);
    let ended_at = former_since(node, token).or(row.released.then_some(now));
    let last = election::LastOwner {
        ended: ended_at.map(|at| election::Ended { at, outstanding: row.outstanding }),
        renewal_read: watch.renewal_read().unwrap_or(now),
        earlier_starts: row.earlier_starts.unwrap_or_default(),
        refused_since: refused_since(node, token),
        unrenewed_since: watch.unchanged_since().filter(|_| has_followed(node, token)),
        outage_reported,
        standing: cell.standing(&node.settings.daemon),
    };
    let drift = node.settings.owner.clock_drift;
    let outstanding = election::shortest_bound(&last, row.horizon, drift, now);
    let own = node.settings.owner.horizon;
    let longer = (row.horizon > own).then_some(row.horizon);
    let predecessors = election::Predecessors {
        outstanding: outstanding.map(|outstanding| outstanding.left).or(longer),
        starts: election::starts_left(&last, lease::DURATION, drift, now),
    };
    let bound = outstanding.map(|outstanding| outstanding.bound);
    Assumed { predecessors, bound, ..assumed }
}

/// Returns the time since which the process that claimed the cell with `token` is known not to own it
/// any more.
pub(super) fn former_since(node: &node::Node, token: u64) -> Option<time::Timestamp> {
    match node.role() {
        node::Role::Follower(followed) if followed.token == token => followed.former_since.get(),
        _ => None,
    }
}

/// Returns the time since which the owner with `token` has refused the connections of this daemon, if it
/// has confirmed a heartbeat before.
fn refused_since(node: &node::Node, token: u64) -> Option<time::Timestamp> {
    match node.role() {
        node::Role::Follower(followed) if has_followed(node, token) => followed.refused_since.get(),
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
        self.predecessors.outstanding.map(|left| (self.started_at + left).since(now))
    }

    /// Returns the time from which on no earlier owner orders starts; `None` if none did any more at the
    /// claim.
    pub(super) fn superseded_at(&self) -> Option<time::Timestamp> {
        let starts = self.predecessors.starts;
        (starts > time::Span::ZERO).then(|| self.started_at + starts)
    }

    /// Returns the longest time for which earlier owners may order starts at `now`.
    pub(super) fn earlier_starts(&self, now: time::Timestamp) -> time::Span {
        self.superseded_at().map_or(time::Span::ZERO, |at| at.since(now))
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
