//! The start orders in flight.

use std::collections;

use gl_model::time;

use crate::owner::{OrderOutcome, OrderWindow, Owner};
use crate::task;

/// The start orders that were decided on and not answered, with the window that limits them.
#[derive(Clone, Debug)]
pub(in crate::owner) struct StartsInFlight {
    orders: collections::BTreeMap<(task::TaskId, u64), time::Timestamp>,
    window: OrderWindow,
    /// The number of placement passes that ended because the window was full.
    held_passes: u64,
}

impl StartsInFlight {
    pub const fn new(window: OrderWindow) -> Self {
        Self { orders: collections::BTreeMap::new(), window, held_passes: 0 }
    }

    /// Records that an order was decided on, or became ready to be sent, at `now`.
    pub fn add(&mut self, task: task::TaskId, attempt: u64, now: time::Timestamp) {
        self.orders.insert((task, attempt), now);
    }

    /// Records the result of an order.
    pub fn remove(
        &mut self,
        task: task::TaskId,
        attempt: u64,
        outcome: OrderOutcome,
        now: time::Timestamp,
    ) {
        if let Some(decided) = self.orders.remove(&(task, attempt)) {
            self.window.record(now.since(decided), outcome, now);
        }
    }

    /// Removes the orders without any result after `limit`: their worker has left the cell.
    fn expire(&mut self, limit: time::Span, now: time::Timestamp) {
        self.orders.retain(|_, decided| now.since(*decided) < limit);
    }
}

/// Removes the orders that can have no result any more.
pub(in crate::owner) fn run(owner: &mut Owner, now: time::Timestamp) {
    let window = owner.settings.start_window;
    owner.in_flight.expire(window + window, now);
}

impl Owner {
    /// Returns the number of start orders that were decided on and not answered. While no daemon
    /// reaches the store, those that wait for it are not counted, as others need not wait for them.
    pub fn starts_in_flight(&self) -> usize {
        let unsent = if self.is_store_down { 0 } else { self.unsent.len() };
        self.in_flight.orders.len() + unsent
    }

    /// Returns the largest number of start orders in flight.
    pub const fn start_limit(&self) -> usize {
        self.in_flight.window.limit()
    }

    /// Returns the number of placement passes that ended because the window for start orders was full.
    pub const fn held_passes(&self) -> u64 {
        self.in_flight.held_passes
    }

    /// Returns the time since it was decided to send a start order that was not answered.
    pub fn order_age(
        &self,
        task: task::TaskId,
        attempt: u64,
        now: time::Timestamp,
    ) -> Option<time::Span> {
        self.in_flight.orders.get(&(task, attempt)).map(|decided| now.since(*decided))
    }

    /// Records that a placement pass ended because the window was full.
    pub(in crate::owner) const fn pass_held(&mut self) {
        self.in_flight.held_passes += 1;
    }

    /// Returns whether another start may be ordered.
    pub(in crate::owner) fn admits_start(&mut self) -> bool {
        let count = self.starts_in_flight();
        self.in_flight.window.admits(count)
    }
}
