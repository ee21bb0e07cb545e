//! Orders to workers, and the handling of their replies.

use gl_model::time;

use super::{Action, Basis, Cause, Evidence, Note, OrderOutcome, Owner, Stage, StopReason, runs};
use crate::{task, worker};

impl Owner {
    /// Orders a run to stop. Its capacity stays reserved until the run is known to have ended.
    pub(super) fn stop(&mut self, task: task::TaskId, reason: StopReason, now: time::Timestamp) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        let was_starting = run.stage == Stage::Starting;
        let stop = runs::Stopping { reason, sent: now, confirmed: None, was_starting };
        run.stage = Stage::Stopping(stop);
        let (worker, attempt) = (run.worker.clone(), run.attempt);
        self.note(Note::Stopping { task, attempt, worker: worker.clone(), reason });
        self.actions.push(Action::Stop { worker, task, attempt });
    }

    /// Returns the run of a task, if it is this attempt on this worker.
    fn run_on(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
    ) -> Option<&mut super::Run> {
        self.runs.get_mut(&task).filter(|run| run.worker == *worker && run.attempt == attempt)
    }

    /// Handles the reply to a start order, or the loss of the reply.
    pub fn start_replied(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        reply: worker::OrderReply,
        now: time::Timestamp,
    ) {
        let outcome = match reply {
            worker::OrderReply::Lost => OrderOutcome::Failed,
            worker::OrderReply::Done | worker::OrderReply::Refused(_) => OrderOutcome::Answered,
        };
        let age = self.order_age(task, attempt, now).unwrap_or_default();
        let refused = Evidence::of(Basis::Refusal, age);
        self.in_flight.remove(task, attempt, outcome, now);
        let Some(run) = self.run_on(worker, task, attempt) else {
            return;
        };
        if reply != worker::OrderReply::Lost {
            run.orders.settle();
        }
        let (stage, has_open) = (run.stage, run.orders.has_open());
        self.settle_orders(task);
        match (stage, reply) {
            (Stage::Starting, worker::OrderReply::Done) => {
                if let Some(run) = self.runs.get_mut(&task) {
                    run.stage = Stage::Running(now);
                    run.progressed_at = now;
                }
                self.mark_started(task);
            }
            (Stage::Starting, worker::OrderReply::Lost) => self.order_again(task, now),
            (Stage::Starting, worker::OrderReply::Refused(refusal)) => {
                self.record_refusal(worker, refusal, now);
                if refusal == worker::Refusal::InvalidTicket {
                    self.ticket_refused(worker, task);
                }
                if has_open {
                    // An earlier order may have been carried out.
                    return self.stop(task, StopReason::StartUnconfirmed, now);
                }
                self.end_run(task, Cause::NeverRan, refused, now);
            }
            (Stage::Stopping(stop), worker::OrderReply::Refused(_))
                if stop.was_starting && !has_open =>
            {
                self.end_run(task, Cause::NeverRan, refused, now);
            }
            (Stage::Stopping(_), worker::OrderReply::Done) => self.mark_started(task),
            _ => {}
        }
    }

    /// Returns whether a start order may still be sent: the owner may start runs, the worker's failure
    /// domain was not emptied, the worker has not restarted, and the order can reach it before its deadline. A
    /// late order would only be refused, and the worker would get no others for a while.
    pub fn may_send(
        &self,
        worker: &worker::WorkerId,
        order: &worker::StartOrder,
        now: time::Timestamp,
    ) -> bool {
        let target = self.workers.get(worker).filter(|worker| !worker.is_domain_emptied);
        let clock = target.and_then(|worker| worker.clock_at(now));
        let is_in_time = |clock| clock + self.settings.transit_time < order.deadline;
        let is_current = self.call_token(worker) == Some(order.token);
        is_current && self.may_start(now) && clock.is_some_and(is_in_time)
    }

    /// Handles a start order that was not sent, because the permission to start runs or the order
    /// has expired, its failure domain was emptied, or the worker is gone.
    pub fn start_unsent(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        now: time::Timestamp,
    ) {
        let age = self.order_age(task, attempt, now).unwrap_or_default();
        let unsent = Evidence::of(Basis::Unsent, age);
        self.in_flight.remove(task, attempt, OrderOutcome::Failed, now);
        let Some(run) = self.run_on(worker, task, attempt) else {
            return;
        };
        let was_starting = match run.stage {
            Stage::Starting => true,
            Stage::Stopping(stop) => stop.was_starting,
            Stage::Running(_) => false,
        };
        run.orders.settle();
        let has_open = run.orders.has_open();
        self.settle_orders(task);
        match (was_starting, has_open) {
            (true, false) => self.end_run(task, Cause::NeverRan, unsent, now),
            // An earlier order may have been carried out.
            (true, true) => self.stop(task, StopReason::StartUnconfirmed, now),
            (false, _) => {}
        }
    }

    /// Marks a worker as suspect for a short time after a refusal, and polls it at once. Refusals
    /// because of the fencing token or the ticket do not concern the state of the worker.
    fn record_refusal(
        &mut self,
        id: &worker::WorkerId,
        refusal: worker::Refusal,
        now: time::Timestamp,
    ) {
        let reason = match refusal {
            worker::Refusal::NoCapacity => "reported too little free capacity",
            worker::Refusal::Unspecified => "refused an order for an unspecified reason",
            worker::Refusal::WrongIncarnation => "is a different incarnation",
            worker::Refusal::DeadlinePassed => "received an order after its deadline",
            worker::Refusal::StaleAttempt => "has seen a higher attempt number",
            worker::Refusal::Fenced | worker::Refusal::InvalidTicket => return,
        };
        let until = now + self.settings.refusal_pause;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.suspect_until = worker.suspect_until.max(until);
        }
        self.note(Note::Suspected { worker: id.clone(), reason, until: Some(until) });
        self.actions.push(Action::Poll { worker: id.clone() });
    }

    /// Handles the reply to a stop order, or the loss of the reply.
    pub fn stop_replied(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        reply: worker::OrderReply,
        now: time::Timestamp,
    ) {
        let Some(run) = self.run_on(worker, task, attempt) else {
            return;
        };
        let Stage::Stopping(stop) = &mut run.stage else {
            return;
        };
        if reply == worker::OrderReply::Done && stop.confirmed.is_none() {
            stop.confirmed = Some(now);
            self.actions.push(Action::Poll { worker: worker.clone() });
        }
    }

    /// Records that a worker has applied the CPU limit of a run.
    pub fn throttle_confirmed(&mut self, task: task::TaskId, attempt: u64, percent: u32) {
        let run = self.runs.get_mut(&task).filter(|run| run.attempt == attempt);
        if let Some(run) = run {
            run.cpu_limit = percent;
        }
    }

    /// Records that a worker could not be reached or did not reply to a poll in time.
    pub fn poll_failed(&mut self, id: &worker::WorkerId, now: time::Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_first = !worker.is_unresponsive && worker.incarnation.is_some();
        worker.is_unresponsive = true;
        if is_first {
            worker.record.add_flap(now);
            self.note(Note::Suspected {
                worker: id.clone(),
                reason: "did not reply to a poll",
                until: None,
            });
        }
    }
}
