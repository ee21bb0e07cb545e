//! Start orders without an answer. A worker may carry such an order out seconds later, and so may the next
//! incarnation under its name, which knows neither the stop nor the deadline that rule it out for the last
//! one. So the order is sent again to the same worker, which starts the task once, and a task whose run has
//! ended meanwhile starts on that worker only, until no such order can arrive any more.

use std::collections;

use gl_model::time;

use crate::owner::{Action, Note, Owner, Run, StopReason, Worker, placement, search, state};
use crate::{task, worker};

/// The number of times that a start is ordered on a worker before it is given up. Each order is given up
/// after a time-out of nearly a second.
const MAX_ORDERS: u32 = 3;

/// The start orders of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    sent: u32,
    settled: u32,
    until: time::Timestamp,
}

impl Orders {
    /// Records that an order is sent that may be carried out before `until`.
    fn send(&mut self, until: time::Timestamp) {
        self.sent += 1;
        self.until = until;
    }

    /// Records that the worker has answered an order, or that it was not sent after all.
    pub(in crate::owner) fn settle(&mut self) {
        self.settled = (self.settled + 1).min(self.sent);
    }

    /// Records that the worker has the run, so that it has carried out one order at least.
    pub(in crate::owner) fn confirm(&mut self) {
        self.settled = self.settled.max(1).min(self.sent);
    }

    /// Returns whether the start was ordered more than once.
    pub(in crate::owner) const fn is_repeated(&self) -> bool {
        self.sent > 1
    }

    /// Returns whether an order has no answer.
    pub(in crate::owner) const fn has_open(&self) -> bool {
        self.settled < self.sent
    }
}

/// An order without an answer whose run has ended.
#[derive(Clone, Debug)]
struct Order {
    worker: worker::WorkerId,
    until: time::Timestamp,
}

/// The tasks whose runs have ended, and that have start orders without an answer.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Unsettled {
    orders: collections::BTreeMap<task::TaskId, Vec<Order>>,
}

impl Unsettled {
    /// Returns whether the task may start on certain workers only.
    pub fn holds(&self, task: task::TaskId) -> bool {
        self.orders.contains_key(&task)
    }

    /// Returns the only worker on which the task may start; `None` if there are orders to several.
    fn worker(&self, task: task::TaskId) -> Option<&worker::WorkerId> {
        let orders = self.orders.get(&task)?;
        let id = &orders.first()?.worker;
        orders.iter().all(|order| order.worker == *id).then_some(id)
    }

    /// Forgets the orders to a worker whose machine runs another one, as that refuses them.
    pub fn forget(&mut self, id: &worker::WorkerId) {
        self.retain(|order| order.worker != *id);
    }

    fn retain(&mut self, is_kept: impl Fn(&Order) -> bool) {
        self.orders.retain(|_, orders| {
            orders.retain(&is_kept);
            !orders.is_empty()
        });
    }
}

/// Forgets the orders that cannot be carried out any more.
pub(in crate::owner) fn expire(owner: &mut Owner, now: time::Timestamp) {
    owner.unsettled.retain(|order| now < order.until);
}

/// Starts the waiting tasks that have such orders where these may be carried out.
pub(in crate::owner) fn place(owner: &mut Owner, now: time::Timestamp) {
    let tasks = owner.unsettled.orders.keys().copied();
    let tasks: Vec<_> = tasks.filter(|task| may_start(owner, *task)).collect();
    for task in tasks {
        if let Some(id) = owner.settling_worker(task, now) {
            owner.last_attempt += 1;
            let attempt = owner.last_attempt;
            placement::start(owner, task.phase, task.index, &id, attempt, now);
            placement::close_if_started(owner, task.phase);
        }
    }
}

/// Returns whether a task waits that is neither withheld nor in a gang, which starts as a whole.
fn may_start(owner: &Owner, task: task::TaskId) -> bool {
    let entry = owner.jobs.get(&task.phase.job);
    let is_single = entry.and_then(|e| e.spec(task.phase.phase)).is_some_and(|spec| !spec.gang);
    let is_open = owner.open_phases.contains(&task.phase);
    is_single
        && is_open
        && owner.is_waiting(task)
        && !owner.is_withheld(task)
        && !placement::is_unseen(owner, task)
}

impl Owner {
    /// Sends a start order.
    pub(in crate::owner) fn push_start(
        &mut self,
        worker: worker::WorkerId,
        order: worker::StartOrder,
    ) {
        let now = self.decided_at;
        self.in_flight.add(order.task, order.attempt, now);
        let until = now + self.settings.start_window + self.settings.order_lateness;
        if let Some(run) = self.runs.get_mut(&order.task) {
            run.orders.send(until);
        }
        self.actions.push(Action::Start { worker, order });
    }

    /// Sends the start order of a run again that got no answer, with a later deadline, or stops the run if
    /// it must not start any more.
    pub(in crate::owner) fn order_again(&mut self, task: task::TaskId, now: time::Timestamp) {
        let Some((worker, order)) = self.repeated_order(task, now) else {
            return self.stop(task, StopReason::StartUnconfirmed, now);
        };
        let (attempt, deadline) = (order.attempt, order.deadline);
        if let Some(run) = self.runs.get_mut(&task) {
            run.deadline = deadline;
        }
        if let Some(target) = self.workers.get_mut(&worker) {
            target.granted_until = target.granted_until.max(deadline);
        }
        self.decided_at = now;
        self.note(Note::OrderedAgain { task, attempt, worker: worker.clone() });
        self.push_start(worker, order);
    }

    fn repeated_order(
        &self,
        task: task::TaskId,
        now: time::Timestamp,
    ) -> Option<(worker::WorkerId, worker::StartOrder)> {
        let run = self.runs.get(&task).filter(|run| run.orders.sent < MAX_ORDERS)?;
        let target = self.workers.get(&run.worker).filter(|worker| worker.gets_orders())?;
        let entry = self.jobs.get(&task.phase.job).filter(|entry| entry.final_state.is_none())?;
        let state = state::state_of(self, task.phase)?;
        let ticket = state.advice.ticket(&target.registration, now).map(str::to_owned);
        let window = self.start_validity(now);
        let is_permitted = self.may_start(now) && window >= self.settings.order_time;
        if !is_permitted || entry.job.advice.is_some() && ticket.is_none() {
            return None;
        }
        let order = worker::StartOrder {
            token: self.call_token(&run.worker)?,
            task,
            attempt: run.attempt,
            spec: entry.job.spec.clone(),
            checkpoint: run.checkpoint.clone(),
            deadline: target.clock_at(now)? + window,
            ticket,
        };
        Some((run.worker.clone(), order))
    }

    /// Returns the worker on which a task with such orders may start, if it can start there now.
    pub(in crate::owner) fn settling_worker(
        &self,
        task: task::TaskId,
        now: time::Timestamp,
    ) -> Option<worker::WorkerId> {
        let id = self.unsettled.worker(task)?;
        search::may_start_on(self, task.phase, id, now).then(|| id.clone())
    }

    /// Records the orders without an answer of a run that has ended.
    pub(in crate::owner) fn keep_unsettled(
        &mut self,
        task: task::TaskId,
        run: &Run,
        now: time::Timestamp,
    ) {
        if run.speculative || !run.orders.has_open() || now >= run.orders.until {
            return;
        }
        let order = Order { worker: run.worker.clone(), until: run.orders.until };
        self.unsettled.orders.entry(task).or_default().push(order);
    }
}

impl Worker {
    /// Returns whether an order may be sent again to the incarnation that got it first.
    fn gets_orders(&self) -> bool {
        self.is_in_use()
            && self.incarnation == Some(self.registration.incarnation)
            && self.unconfirmed_since.is_none()
            && !self.is_unresponsive
    }
}
