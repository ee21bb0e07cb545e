//! Acknowledgements of ends: a worker forgets the ends up to the number that a poll acknowledges.
//!
//! If the worker starts again meanwhile, its next incarnation may carry out the poll, which then forgets its own
//! ends up to that number, as it counts from 1 again. It has some only if it has carried out start orders
//! that were meant for the last one, too. So each start order has a higher fencing token than the
//! acknowledgements that were sent before it, and none is sent while a start order is in flight: an
//! incarnation that has carried out an order refuses the acknowledgements that may arrive there. Orders that got
//! no answer in time are not in flight: beside these, acknowledgements are in transit for as short as possible.

use crate::owner::{Owner, Worker, lifetimes};
use crate::worker;

impl Owner {
    /// Returns the number of the end up to which the next poll of a worker acknowledges its ends; zero if it
    /// acknowledges none.
    pub(in crate::owner) fn acknowledge(&mut self, id: &worker::WorkerId) -> u64 {
        let is_held = self.has_start_in_flight(id);
        let worker = self.workers.get_mut(id).filter(|worker| worker.has_ends_to_forget());
        let Some(worker) = worker.filter(|_| !is_held) else {
            return 0;
        };
        worker.has_acknowledged = true;
        worker.stored_end
    }

    /// Returns whether a worker lists ends that are not acknowledged, as a start order to it is in flight. It replies
    /// to polls at once meanwhile.
    pub fn are_ends_held(&self, id: &worker::WorkerId) -> bool {
        self.workers.get(id).is_some_and(Worker::has_ends_to_forget) && self.has_start_in_flight(id)
    }

    /// Returns whether a start order to a worker has neither been answered nor given up.
    fn has_start_in_flight(&self, id: &worker::WorkerId) -> bool {
        let runs = self.workers.get(id).into_iter().flat_map(|worker| &worker.runs);
        let mut runs = runs.filter_map(|task| Some((*task, self.runs.get(task)?.attempt)));
        runs.any(|(task, attempt)| self.in_flight.contains(task, attempt))
    }

    /// Returns the fencing token of a start order that was decided on with `token`: a higher one if ends have
    /// been acknowledged with that, unless the order was meant for an earlier incarnation.
    pub(in crate::owner) fn start_token(&mut self, id: &worker::WorkerId, token: u64) -> u64 {
        let is_valid = self.is_for_incarnation(id, token);
        let Some(worker) = self.workers.get_mut(id).filter(|_| is_valid) else {
            return token;
        };
        if std::mem::take(&mut worker.has_acknowledged) {
            worker.lifetime = lifetimes::after(worker.lifetime);
        }
        self.call_token(id).unwrap_or(token)
    }
}

impl Worker {
    /// Returns whether the worker lists ends that are stored, and is not known to have been replaced.
    fn has_ends_to_forget(&self) -> bool {
        !self.may_have_restarted() && self.stored_end > self.forgotten_end
    }

    /// Records which ends the worker has forgotten: of those that it had listed, the ones before the first that
    /// a reply lists.
    pub(in crate::owner) fn record_forgotten(&mut self, reply: &worker::PollReply) {
        let first = reply.ended.first().map(|end| end.number.saturating_sub(1));
        self.forgotten_end = first.unwrap_or(self.processed_end);
    }
}
