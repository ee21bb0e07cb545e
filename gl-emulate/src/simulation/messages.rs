//! Delivery of messages between owners, workers and the store, with their delays.

use std::cmp;

use gl_jobs::{followers, owner, task, worker as model};
use gl_model::time;
use rand::Rng as _;

use super::settings::MAX_ORDER_DELAY;
use super::{ORDER_TIMEOUT, Simulation};

/// A message. Numbers after a task are its attempt and, in `SetCpuLimit`, the limit in percent. The
/// flag of a poll says that the worker replies immediately instead of holding the poll back.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Start(model::StartOrder),
    Started(task::TaskId, u64, model::OrderReply),
    Stop(task::TaskId, u64),
    Stopped(task::TaskId, u64, model::OrderReply),
    SetCpuLimit(task::TaskId, u64, u32),
    Poll(model::PollRequest, time::Timestamp, bool),
    /// A long poll that the worker holds back: request, time of sending, and latest time of the reply.
    HeldPoll(model::PollRequest, time::Timestamp, time::Timestamp),
    /// The time at which the poll was sent, and the reply unless the poll failed.
    PollReply(time::Timestamp, Option<model::PollReply>, bool),
    Commit(owner::Commit),
    /// The number of a daemon, and what it reports.
    Heartbeat(usize, followers::Report),
}

/// A message that is delivered at a given time, in the order of the numbers.
#[derive(Debug)]
pub(super) struct Delivery {
    pub at: time::Timestamp,
    pub number: u64,
    pub owner: usize,
    pub worker: usize,
    /// The incarnation of the worker that delays the message. If it ends, the message is lost.
    pub held_by: Option<model::Incarnation>,
    pub message: Message,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Delivery {}
impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl Simulation {
    pub(super) fn send(
        &mut self,
        owner: usize,
        worker: usize,
        after: time::Span,
        message: Message,
    ) {
        self.sequence += 1;
        let (at, number) = (self.now + after, self.sequence);
        self.deliveries.push(Delivery { at, number, owner, worker, held_by: None, message });
    }

    pub(super) fn deliver(&mut self) {
        while self.deliveries.peek().is_some_and(|delivery| delivery.at <= self.now) {
            let Some(delivery) = self.deliveries.pop() else { return };
            let is_for_owner = matches!(
                delivery.message,
                Message::Started(..)
                    | Message::Stopped(..)
                    | Message::PollReply(..)
                    | Message::Commit(_)
                    | Message::Heartbeat(..)
            );
            if is_for_owner {
                self.deliver_to_owner(delivery);
            } else {
                self.deliver_to_worker(delivery);
            }
        }
    }

    pub(super) fn should_delay(&mut self, message: &Message) -> bool {
        let now = self.now;
        let share = self.order_delay.filter(|(until, _)| now < *until).map(|(_, share)| share);
        let is_order = matches!(message, Message::Start(_) | Message::Stop(..));
        is_order && share.is_some_and(|share| self.rng.random_bool(share))
    }

    /// Delays an order: the owner gets no reply, and the worker carries the order out seconds later.
    pub(super) fn send_delayed(&mut self, n: usize, worker: usize, message: Message) {
        if let Message::Start(order) = &message {
            let lost = Message::Started(order.task, order.attempt, model::OrderReply::Lost);
            self.send(n, worker, ORDER_TIMEOUT, lost);
        }
        let after = time::Span::millis(self.rng.random_range(2_000..MAX_ORDER_DELAY.as_millis()));
        self.sequence += 1;
        self.deliveries.push(Delivery {
            at: self.now + after,
            number: self.sequence,
            owner: n,
            worker,
            held_by: Some(self.workers[worker].incarnation),
            message,
        });
    }

    /// Counts an owner's note, and keeps it if it matches the trace filter.
    pub(super) fn trace(&mut self, n: usize, note: &owner::Note) {
        let reason = owner::StopReason::Interference;
        if matches!(note, owner::Note::Stopping { reason: r, .. } if *r == reason) {
            self.report.colocation.stopped += 1;
        }
        let Some(filter) = &self.settings.trace else {
            return;
        };
        let text = format!("{note:?}");
        if text.contains(filter) {
            let at = self.now.0 / 1_000;
            self.report.trace.push(format!("{at} owner {} {text}", self.ownerships[n].token));
        }
    }
}
