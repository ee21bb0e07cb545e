//! Delivery of messages between owners, workers and the store, with their delays.

use std::cmp;

use gl_jobs::{followers, owner, task, worker as model};
use gl_model::time;
use rand::Rng as _;

use super::settings::MAX_ORDER_DELAY;
use super::{MESSAGE_DELAY, ORDER_TIMEOUT, Simulation};

/// A message. The first number of an order is its fencing token. Numbers after a task are its attempt and, in
/// `SetCpuLimit`, the limit in percent. The flag of a poll says that the worker replies immediately instead of
/// holding the poll back.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// A start order, and the time of sending.
    Start(model::StartOrder, time::Timestamp),
    /// The start order, and the answer to it.
    Started(model::Call, task::TaskId, u64, model::Answer),
    Stop(u64, task::TaskId, u64),
    Stopped(task::TaskId, u64, model::OrderReply),
    SetCpuLimit(u64, task::TaskId, u64, u32),
    Poll(model::PollRequest, time::Timestamp, bool),
    /// A long poll that the worker holds back: request, time of sending, and latest time of the reply.
    HeldPoll(model::PollRequest, time::Timestamp, time::Timestamp),
    /// The poll, and the reply unless the poll failed.
    PollReply(model::Call, Option<model::PollReply>, bool),
    /// A poll that was refused, as the worker has received a higher fencing token.
    PollRefused(bool),
    Commit(owner::Commit),
    /// The number of a daemon, and what it reports.
    Heartbeat(usize, followers::Report),
}

/// How the reply to a call reaches the owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Call {
    /// The time that the reply takes.
    pub reply_after: time::Span,
    /// The time at which the owner gives the call up, if its reply may be slow.
    pub expires: Option<time::Timestamp>,
    /// Whether the owner has given it up before the worker gets it.
    pub is_given_up: bool,
    /// Whether it was meant for the last incarnation of the worker. It passes partitions.
    pub is_late: bool,
}

impl Default for Call {
    fn default() -> Self {
        Self { reply_after: MESSAGE_DELAY, expires: None, is_given_up: false, is_late: false }
    }
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
    /// How the reply reaches the owner, if this is a call.
    pub call: Call,
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
        let (held_by, call) = (None, Call::default());
        self.deliveries.push(Delivery { at, number, owner, worker, held_by, call, message });
    }

    /// Sends a call to a worker. While calls are slow, the worker may carry it out after the owner has
    /// given it up, and the replies to later calls may arrive first.
    pub(super) fn call(&mut self, owner: usize, worker: usize, message: Message) {
        let now = self.now;
        if self.keep_late(owner, worker, &message) {
            return;
        }
        let Some((_, slowest)) = self.slow_calls.filter(|(until, _)| now < *until) else {
            return self.send(owner, worker, MESSAGE_DELAY, message);
        };
        let [after, reply_after] = [(); 2].map(|()| self.transit(slowest));
        let wait = match &message {
            Message::Poll(request, ..) => request.wait,
            _ => time::Span::ZERO,
        };
        let expires = now + wait + ORDER_TIMEOUT;
        let is_given_up = now + after > expires;
        let call = Call { reply_after, expires: Some(expires), is_given_up, is_late: false };
        if let Some(lost) = lost_reply(&message).filter(|_| is_given_up) {
            self.send(owner, worker, expires.since(now), lost);
        }
        self.sequence += 1;
        self.deliveries.push(Delivery {
            at: now + after,
            number: self.sequence,
            owner,
            worker,
            held_by: self.holder(worker),
            call,
            message,
        });
    }

    /// Returns the incarnation of a worker with which the calls that it delays are lost, if they are.
    fn holder(&self, worker: usize) -> Option<model::Incarnation> {
        (!self.settings.keeps_calls).then(|| self.workers[worker].incarnation)
    }

    /// Returns the time that a message takes while calls are slow. Half of the messages are quick.
    fn transit(&mut self, slowest: time::Span) -> time::Span {
        if self.rng.random_bool(0.5) {
            return MESSAGE_DELAY;
        }
        time::Span::millis(self.rng.random_range(2..=slowest.as_millis().max(2)))
    }

    /// Sends the reply to a call, unless it would be too late for the owner.
    pub(super) fn reply(&mut self, call: Call, owner: usize, worker: usize, message: Message) {
        if call.is_given_up {
            return;
        }
        let expires = call.expires.filter(|at| self.now + call.reply_after > *at);
        match (expires, lost_reply(&message)) {
            (Some(at), Some(lost)) => self.send(owner, worker, at.since(self.now), lost),
            _ => self.send(owner, worker, call.reply_after, message),
        }
    }

    pub(super) fn deliver(&mut self) {
        while self.deliveries.peek().is_some_and(|delivery| delivery.at <= self.now) {
            let Some(delivery) = self.deliveries.pop() else { return };
            let is_for_owner = matches!(
                delivery.message,
                Message::Started(..)
                    | Message::Stopped(..)
                    | Message::PollReply(..)
                    | Message::PollRefused(_)
                    | Message::Commit(_)
                    | Message::Heartbeat(..)
            );
            if is_for_owner {
                self.deliver_to_owner(delivery);
            } else {
                self.deliver_to_worker(&delivery);
            }
        }
    }

    pub(super) fn should_delay(&mut self, message: &Message) -> bool {
        let now = self.now;
        let share = self.order_delay.filter(|(until, _)| now < *until).map(|(_, share)| share);
        let is_order = matches!(message, Message::Start(..) | Message::Stop(..));
        is_order && share.is_some_and(|share| self.rng.random_bool(share))
    }

    /// Delays an order: the owner gets no reply, and the worker carries the order out seconds later.
    pub(super) fn send_delayed(&mut self, n: usize, worker: usize, message: Message) {
        let lost = lost_reply(&message).filter(|_| matches!(message, Message::Start(..)));
        if let Some(lost) = lost {
            self.send(n, worker, ORDER_TIMEOUT, lost);
        }
        let after = time::Span::millis(self.rng.random_range(2_000..MAX_ORDER_DELAY.as_millis()));
        self.sequence += 1;
        self.deliveries.push(Delivery {
            at: self.now + after,
            number: self.sequence,
            owner: n,
            worker,
            held_by: self.holder(worker),
            call: Call { is_given_up: true, ..Call::default() },
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

/// Returns by which call the reply to a poll is judged.
pub(super) const fn call_of(request: &model::PollRequest, sent: time::Timestamp) -> model::Call {
    model::Call { token: request.token, sent }
}

/// Returns what the owner gets in place of the reply to a call, or of this reply.
pub(super) fn lost_reply(message: &Message) -> Option<Message> {
    Some(match message {
        Message::Start(order, sent) => {
            let call = model::Call { token: order.token, sent: *sent };
            Message::Started(call, order.task, order.attempt, model::OrderReply::Lost.into())
        }
        Message::Started(call, task, attempt, _) => {
            Message::Started(*call, *task, *attempt, model::OrderReply::Lost.into())
        }
        Message::Stop(_, task, attempt) | Message::Stopped(task, attempt, _) => {
            Message::Stopped(*task, *attempt, model::OrderReply::Lost)
        }
        Message::Poll(request, sent, is_immediate) => {
            Message::PollReply(call_of(request, *sent), None, *is_immediate)
        }
        Message::HeldPoll(request, sent, _) => {
            Message::PollReply(call_of(request, *sent), None, false)
        }
        Message::PollReply(call, _, is_immediate) => Message::PollReply(*call, None, *is_immediate),
        Message::PollRefused(_)
        | Message::SetCpuLimit(..)
        | Message::Commit(_)
        | Message::Heartbeat(..) => return None,
    })
}
