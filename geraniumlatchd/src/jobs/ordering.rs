//! The connections that polls of and orders to workers use.

use std::cell;

use gl_fleet::budget;
use tokio::sync;

/// The share of the connections for orders that start orders leave to stop and CPU-limit orders, as a
/// divisor.
pub const URGENT_SHARE: usize = 4;
/// The largest number of start orders to one worker in flight; each needs a connection of its own.
const MAX_START_ORDERS: usize = 3;
/// The share of the limit, as a divisor, by which the use has to fall before it is reported again
/// that it has reached the limit.
const HYSTERESIS: usize = 10;

/// The use of the connections to workers.
pub struct Connections {
    budget: budget::Budget,
    /// Permits for stop and CPU-limit orders. They wait here and not in the pool of connections, where
    /// they would hold their bodies. There are as many as connections, as silent workers may hold
    /// hundreds of stop orders.
    urgent: sync::Semaphore,
    is_reported: cell::Cell<bool>,
}

impl Connections {
    /// Creates the state of an owner without connections.
    pub fn new(budget: budget::Budget) -> Self {
        Self {
            budget,
            urgent: sync::Semaphore::new(budget.orders),
            is_reported: cell::Cell::new(false),
        }
    }

    /// Waits until a stop or CPU-limit order may be sent.
    pub async fn acquire_urgent(&self) -> Option<sync::SemaphorePermit<'_>> {
        self.urgent.acquire().await.ok()
    }

    /// Returns the number of stop and CPU-limit orders in flight.
    pub fn urgent_in_flight(&self) -> usize {
        self.budget.orders.saturating_sub(self.urgent.available_permits())
    }

    /// Returns whether there are fewer connections for polls than workers. Workers then reply to
    /// polls at once, so that they share the connections.
    pub const fn are_polls_short(&self, workers: usize) -> bool {
        self.budget.is_exceeded(workers)
    }

    /// Returns the largest number of start orders to one worker in flight.
    pub const fn starts_per_worker(&self, workers: usize) -> usize {
        if self.budget.is_roomy(workers) { MAX_START_ORDERS } else { 1 }
    }

    /// Returns whether the use has just reached a limit and has to be reported.
    pub fn has_reached_limit(&self, polls: usize, orders: usize) -> bool {
        let is_full = polls >= self.budget.polls || orders >= self.budget.orders;
        let is_below = |count: usize, limit: usize| count < limit - limit / HYSTERESIS;
        if is_full {
            return !self.is_reported.replace(true);
        }
        if is_below(polls, self.budget.polls) && is_below(orders, self.budget.orders) {
            self.is_reported.set(false);
        }
        false
    }

    /// Returns the limits.
    pub const fn budget(&self) -> budget::Budget {
        self.budget
    }
}
