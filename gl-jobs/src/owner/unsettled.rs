//! Start orders without an answer. A worker may carry such an order out seconds later, and so may the next
//! incarnation under its name, which knows neither the stop nor the deadline that rule it out for the last
//! one. So the order is sent again to the same worker, which starts the task once, and a task whose run has
//! ended meanwhile starts on that worker only, until no such order can arrive any more. Orders that are
//! not answered soon are stored with the progress of their jobs, as the next owner starts tasks too.

use std::collections;

use gl_model::time;

use crate::owner::{
    Action, Note, Owner, Run, Settings, StopReason, Worker, placement, search, state,
};
use crate::{record, task, worker};

/// The number of times that a start is ordered on a worker before it is given up. Each order is given up
/// after a time-out of nearly a second.
const MAX_ORDERS: u32 = 3;

/// The orders of an attempt without an answer.
#[derive(Clone, Debug, PartialEq)]
struct Order {
    worker: worker::WorkerId,
    /// The attempt; zero if an earlier owner has sent the orders.
    attempt: u64,
    /// The time until which they may be carried out.
    until: time::Timestamp,
}

/// The tasks with start orders that got no answer in time, or before their run ended.
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

    /// Returns whether the task may start on a worker.
    pub fn allows(&self, task: task::TaskId, id: &worker::WorkerId) -> bool {
        !self.holds(task) || self.worker(task) == Some(id)
    }

    /// Adds the orders of an attempt. Returns whether they were not known.
    fn add(&mut self, task: task::TaskId, order: Order) -> bool {
        let orders = self.orders.entry(task).or_default();
        let is_same = |o: &&mut Order| o.worker == order.worker && o.attempt == order.attempt;
        match orders.iter_mut().find(is_same) {
            Some(known) if known.until >= order.until => return false,
            Some(known) => known.until = order.until,
            None => orders.push(order),
        }
        true
    }

    /// Removes the orders of an attempt, as all of them are answered.
    fn settle(&mut self, task: task::TaskId, attempt: u64) {
        if let Some(orders) = self.orders.get_mut(&task) {
            orders.retain(|order| order.attempt != attempt);
            if orders.is_empty() {
                self.orders.remove(&task);
            }
        }
    }

    /// Returns whether a worker may carry out any of the orders after `now`.
    fn concerns(&self, id: &worker::WorkerId, now: time::Timestamp) -> bool {
        self.orders.values().flatten().any(|order| order.worker == *id && now < order.until)
    }

    /// Returns the orders to a worker that may be carried out after `now`, as attempts and tasks.
    pub fn sent_to(
        &self,
        id: &worker::WorkerId,
        now: time::Timestamp,
    ) -> impl Iterator<Item = (u64, task::TaskId)> {
        let orders = self.orders.iter();
        let orders = orders.flat_map(|(task, orders)| orders.iter().map(|order| (*task, order)));
        let to_worker = orders.filter(move |(_, order)| order.worker == *id && now < order.until);
        to_worker.map(|(task, order)| (order.attempt, task))
    }

    fn retain(&mut self, is_kept: impl Fn(&Order) -> bool) {
        self.orders.retain(|_, orders| {
            orders.retain(&is_kept);
            !orders.is_empty()
        });
    }
}

impl Order {
    /// Returns the time at which no run of the order is left, if its worker does not reply. One that is not
    /// listed is taken to have terminated. Of orders of an earlier owner it is not known which calls came later.
    fn ends_at(&self, worker: Option<&Worker>, settings: &Settings) -> time::Timestamp {
        match worker.filter(|worker| worker.is_listed) {
            None => self.until,
            Some(_) if self.attempt == 0 => settings.lease_end(self.until, settings.max_lease),
            Some(worker) => worker.carried_end(self.until, settings),
        }
    }

    /// Returns whether the order may be carried out after `now`, or a run may go on that it has started. Once the
    /// worker has replied to a call that is later than that, its reply shows whether there is one.
    fn may_run(&self, worker: Option<&Worker>, settings: &Settings, now: time::Timestamp) -> bool {
        let has_replied = worker.is_some_and(|worker| worker.answered >= self.until);
        now < self.until || !has_replied && now < self.ends_at(worker, settings)
    }
}

/// Records the orders that were not answered in time, and forgets those of which no run can be left.
pub(in crate::owner) fn run(owner: &mut Owner, now: time::Timestamp) {
    note_expired(owner, now);
    let (workers, settings) = (&owner.workers, &owner.settings);
    owner.unsettled.retain(|order| order.may_run(workers.get(&order.worker), settings, now));
    let late: Vec<_> = owner.in_flight.late(owner.settings.answer_time, now).collect();
    for (task, attempt) in late {
        if let Some(run) = owner.runs.get(&task).filter(|run| run.attempt == attempt).cloned() {
            owner.keep_unsettled(task, &run, now);
        }
    }
}

/// Notes the orders of unfinished tasks of which no run can be left, so that these may start elsewhere.
fn note_expired(owner: &mut Owner, now: time::Timestamp) {
    let orders = owner.unsettled.orders.iter();
    let orders = orders.flat_map(|(task, orders)| orders.iter().map(|order| (*task, order)));
    let may_run =
        |order: &Order| order.may_run(owner.workers.get(&order.worker), &owner.settings, now);
    let expired = orders.filter(|(task, order)| !may_run(order) && owner.is_open(*task));
    let notes = expired.map(|(task, order)| Note::OrderExpired {
        task,
        attempt: order.attempt,
        worker: order.worker.clone(),
        bound: owner.settings.start_window + owner.settings.order_lateness,
    });
    let notes: Vec<_> = notes.collect();
    notes.into_iter().for_each(|note| owner.note(note));
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
    /// Returns whether a worker that is down may carry out an order once it has started again, so that it should
    /// get a call that rules this out as soon as it can.
    pub fn may_get_orders(&self, id: &worker::WorkerId, now: time::Timestamp) -> bool {
        self.unsettled.concerns(id, now)
    }

    /// Sends a start order.
    pub(in crate::owner) fn push_start(
        &mut self,
        worker: worker::WorkerId,
        mut order: worker::StartOrder,
    ) {
        let now = self.decided_at;
        order.token = self.start_token(&worker, order.token);
        self.in_flight.add(order.task, order.attempt, now);
        let until = now + self.settings.start_window + self.settings.order_lateness;
        if let Some(run) = self.runs.get_mut(&order.task) {
            run.orders.send(until);
        }
        if let Some(target) = self.workers.get_mut(&worker) {
            // It may wait for others before it is sent.
            target.lease_sent = target.lease_sent.max(now + self.settings.start_window);
        }
        self.actions.push(Action::Start { worker, order });
    }

    /// Sends the start order of a run again that got no answer, with a later deadline, or stops the run if
    /// it must not start any more.
    pub(in crate::owner) fn order_again(&mut self, task: task::TaskId, now: time::Timestamp) {
        let Some((worker, order)) = self.repeated_order(task, now) else {
            return self.stop(task, StopReason::StartUnconfirmed, now);
        };
        if let Some(run) = self.runs.get(&task).cloned() {
            self.keep_unsettled(task, &run, now);
        }
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
        let run = self.runs.get(&task).filter(|run| run.orders.sent() < MAX_ORDERS)?;
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

    /// Records which orders of a run have no answer as it ends.
    pub(in crate::owner) fn unsettled_ended(
        &mut self,
        task: task::TaskId,
        run: &Run,
        now: time::Timestamp,
    ) {
        if run.orders.has_open() {
            self.keep_unsettled(task, run, now);
        } else {
            self.unsettled.settle(task, run.attempt);
        }
    }

    /// Records that all orders of a run are answered, if that is so.
    pub(in crate::owner) fn settle_orders(&mut self, task: task::TaskId) {
        if let Some(run) = self.runs.get(&task).filter(|run| !run.orders.has_open()) {
            self.unsettled.settle(task, run.attempt);
        }
    }

    /// Forgets the orders to a worker whose machine runs another one, as that refuses them.
    pub(in crate::owner) fn forget_orders(&mut self, id: &worker::WorkerId) {
        let is_of = |orders: &Vec<Order>| orders.iter().any(|order| order.worker == *id);
        let tasks = self.unsettled.orders.iter().filter(|(_, orders)| is_of(orders));
        let tasks: Vec<_> = tasks.map(|(task, _)| *task).collect();
        self.unsettled.retain(|order| order.worker != *id);
        tasks.into_iter().for_each(|task| self.mark_dirty(task));
    }

    /// Records the orders without an answer of a run, so that they are known once it has ended.
    pub(in crate::owner) fn keep_unsettled(
        &mut self,
        task: task::TaskId,
        run: &Run,
        now: time::Timestamp,
    ) {
        if run.speculative || !run.orders.may_arrive(now) {
            return;
        }
        let (worker, attempt, until) = (run.worker.clone(), run.attempt, run.orders.until());
        if self.unsettled.add(task, Order { worker, attempt, until }) {
            self.mark_dirty(task);
        }
    }

    /// Adds the orders of a job's tasks to a page of its progress.
    pub(in crate::owner) fn add_unsettled(
        &self,
        job: task::JobId,
        page: u32,
        progress: &mut record::Progress,
    ) {
        let (Some(entry), Some(clock)) = (self.jobs.get(&job), self.store_clock) else {
            return;
        };
        let first = task::PhaseId { job, occurrence: 0, phase: 0 };
        let last = task::PhaseId { job, occurrence: u32::MAX, phase: u32::MAX };
        let from = task::TaskId { phase: first, index: 0 };
        let to = task::TaskId { phase: last, index: u32::MAX };
        let drift = self.settings.clock_drift;
        let stored = |order: &Order| record::UnsettledOrder {
            worker: order.worker.clone(),
            until: clock.stored(order.until, drift),
        };
        let of_job = self.unsettled.orders.range(from..=to);
        let is_stored = |task: task::TaskId| entry.page(task) == page && self.is_open(task);
        for (task, orders) in of_job.filter(|(task, _)| is_stored(**task)) {
            let phase = progress.phase_mut(task.phase.occurrence, task.phase.phase);
            phase.unsettled.insert(task.index, orders.iter().map(stored).collect());
        }
    }

    /// Restores the orders that an earlier owner has stored with the progress of a job.
    pub(in crate::owner) fn restore_unsettled(
        &mut self,
        job: task::JobId,
        progress: &record::Progress,
        now: time::Timestamp,
    ) {
        let longest = now + self.settings.start_window + self.settings.order_lateness;
        let (clock, drift) = (self.store_clock, self.settings.clock_drift);
        for phase in &progress.phases {
            let id = task::PhaseId { job, occurrence: phase.occurrence, phase: phase.phase };
            for (index, orders) in &phase.unsettled {
                for stored in orders {
                    let until = clock.map_or(longest, |clock| clock.local(stored.until, drift));
                    let (worker, until) = (stored.worker.clone(), until.min(longest));
                    let task = task::TaskId { phase: id, index: *index };
                    self.unsettled.add(task, Order { worker, attempt: 0, until });
                }
            }
        }
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
