//! Messages between owners and workers, with their delays.

use std::cmp;

use gl_jobs::{owner, task, worker as model};
use gl_model::time;
use rand::Rng as _;

use super::{ORDER_LIMIT, World};

#[derive(Clone, Debug)]
pub(super) enum Message {
    Start(model::StartOrder),
    Started(task::TaskId, u64, model::OrderReply),
    Stop(task::TaskId, u64),
    Stopped(task::TaskId, u64, model::OrderReply),
    Pace(task::TaskId, u64, u32),
    Look(model::PollRequest, time::Timestamp, bool),
    Held(model::PollRequest, time::Timestamp, time::Timestamp),
    Looked(time::Timestamp, Option<model::PollReply>, bool),
    Committed(owner::Commit),
}

#[derive(Debug)]
pub(super) struct Due {
    pub at: time::Timestamp,
    pub number: u64,
    pub reign: usize,
    pub worker: usize,
    /// The incarnation that holds the message back; it is lost with it.
    pub held_by: Option<model::Incarnation>,
    pub message: Message,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl World {
    pub(super) fn send(
        &mut self,
        reign: usize,
        worker: usize,
        after: time::Span,
        message: Message,
    ) {
        self.numbers += 1;
        let (at, number) = (self.now + after, self.numbers);
        self.due.push(Due { at, number, reign, worker, held_by: None, message });
    }

    pub(super) fn deliver(&mut self) {
        while self.due.peek().is_some_and(|due| due.at <= self.now) {
            let Some(due) = self.due.pop() else { return };
            let is_for_owner = matches!(
                due.message,
                Message::Started(..)
                    | Message::Stopped(..)
                    | Message::Looked(..)
                    | Message::Committed(_)
            );
            if is_for_owner {
                self.at_owner(due);
            } else {
                self.at_worker(due);
            }
        }
    }

    pub(super) fn is_late(&mut self, message: &Message) -> bool {
        let now = self.now;
        let share = self.late.filter(|(until, _)| now < *until).map(|(_, share)| share);
        let is_order = matches!(message, Message::Start(_) | Message::Stop(..));
        is_order && share.is_some_and(|share| self.rng.random_bool(share))
    }

    /// The worker gives no answer to the order and carries it out seconds later, unheard.
    pub(super) fn send_late(&mut self, n: usize, worker: usize, message: Message) {
        if let Message::Start(order) = &message {
            let lost = Message::Started(order.task, order.attempt, model::OrderReply::Lost);
            self.send(n, worker, ORDER_LIMIT, lost);
        }
        let after = time::Span::millis(self.rng.random_range(2_000..12_000));
        self.numbers += 1;
        self.due.push(Due {
            at: self.now + after,
            number: self.numbers,
            reign: n,
            worker,
            held_by: Some(self.workers[worker].incarnation),
            message,
        });
    }
}
