//! The start orders in flight.

use std::collections;

use gl_model::time;

use crate::owner::{OrderOutcome, OrderWindow, Owner};
use crate::{job, task};

/// The share of the window that best-effort tasks leave to others, as a divisor.
const RESERVED_SHARE: usize = 4;

/// The start orders that were decided on and not answered, with the window that limits them.
#[derive(Clone, Debug)]
pub(in crate::owner) struct StartsInFlight {
    orders: collections::BTreeMap<(task::TaskId, u64), time::Timestamp>,
    window: OrderWindow,
    /// The number of placement passes that the window held back.
    held_passes: u64,
    /// Whether it has held back the present one.
    is_pass_held: bool,
}

impl StartsInFlight {
    pub const fn new(window: OrderWindow) -> Self {
        Self { orders: collections::BTreeMap::new(), window, held_passes: 0, is_pass_held: false }
    }

    /// Records that an order was decided on, or became ready to be sent, at `now`.
    pub fn add(&mut self, task: task::TaskId, attempt: u64, now: time::Timestamp) {
        self.orders.insert((task, attempt), now);
    }

    /// Returns whether an order has no result.
    pub fn contains(&self, task: task::TaskId, attempt: u64) -> bool {
        self.orders.contains_key(&(task, attempt))
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

    /// Returns the orders that have had no result for `span`.
    pub fn late(
        &self,
        span: time::Span,
        now: time::Timestamp,
    ) -> impl Iterator<Item = (task::TaskId, u64)> {
        let is_late = move |decided: &time::Timestamp| now.since(*decided) >= span;
        self.orders.iter().filter(move |(_, decided)| is_late(decided)).map(|(order, _)| *order)
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

    /// Returns the number of placement passes that could not order all starts because of the window.
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

    /// Returns whether a start of a task may be ordered. Best-effort tasks leave a part of the window to
    /// those that reserve capacity, which wait for other capacity: while many best-effort tasks wait,
    /// they would take every place that becomes free.
    pub(in crate::owner) fn admits_start(&mut self, spec: &job::Phase) -> bool {
        let reserve = if spec.best_effort { self.start_limit() / RESERVED_SHARE } else { 0 };
        let count = self.starts_in_flight() + reserve;
        let is_admitted = self.in_flight.window.admits(count);
        self.in_flight.is_pass_held |= !is_admitted;
        is_admitted
    }

    /// Records the end of a placement pass.
    pub(in crate::owner) const fn pass_ended(&mut self) {
        self.in_flight.held_passes += self.in_flight.is_pass_held as u64;
        self.in_flight.is_pass_held = false;
    }
}
