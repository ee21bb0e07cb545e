//! What arrives at workers, and how time passes there.

use gl_jobs::{task, worker as model};
use gl_model::time;

use super::checks::PendingEnd;
use super::messages::{Delivery, Message};
use super::{MESSAGE_DELAY, ORDER_TIMEOUT, Simulation, TIME_STEP};
use crate::{load, report, worker};

impl Simulation {
    pub(super) fn deliver_to_worker(&mut self, delivery: Delivery) {
        let n = delivery.worker;
        if delivery.held_by.is_some_and(|by| by != self.workers[n].incarnation) {
            return;
        }
        let is_reached = !self.workers[n].fault.is_partitioned && !self.workers[n].is_down;
        let now = self.now;
        let token = if self.settings.disabled.fencing {
            u64::MAX
        } else {
            self.ownerships[delivery.ownership].token
        };
        match delivery.message {
            Message::Start(mut order) if is_reached => {
                if self.settings.disabled.deadlines {
                    order.deadline = self.workers[n].clock(now);
                }
                let (task, attempt) = (order.task, order.attempt);
                let answer = self.start(n, token, &order);
                self.send(
                    delivery.ownership,
                    n,
                    MESSAGE_DELAY,
                    Message::Started(task, attempt, answer),
                );
            }
            Message::Start(order) => {
                let lost = Message::Started(order.task, order.attempt, model::OrderReply::Lost);
                self.send(delivery.ownership, n, ORDER_TIMEOUT, lost);
            }
            Message::Stop(task, attempt) if is_reached => {
                let answer = self.workers[n].stop(token, task, attempt, now);
                self.send(
                    delivery.ownership,
                    n,
                    MESSAGE_DELAY,
                    Message::Stopped(task, attempt, answer),
                );
            }
            Message::SetCpuLimit(task, attempt, percent) if is_reached => {
                self.workers[n].set_cpu_limit(token, task, attempt, percent);
            }
            Message::Poll(order, sent, is_extra) if is_reached => {
                self.look(delivery.ownership, n, token, order, sent, is_extra);
            }
            Message::Poll(_, sent, is_extra) => {
                self.send(
                    delivery.ownership,
                    n,
                    ORDER_TIMEOUT,
                    Message::PollReply(sent, None, is_extra),
                );
            }
            Message::HeldPoll(order, sent, until) => {
                self.held(delivery.ownership, n, order, sent, until)
            }
            _ => {}
        }
    }

    pub(super) fn look(
        &mut self,
        ownership: usize,
        n: usize,
        token: u64,
        mut order: model::PollRequest,
        sent: time::Timestamp,
        is_extra: bool,
    ) {
        order.token = token;
        let Some(look) = self.workers[n].poll(&order, self.now) else {
            self.ownerships[ownership].is_ended = true;
            return;
        };
        self.check_acknowledged(n, order.acknowledged);
        let is_held = !is_extra
            && order.wait > time::Span::ZERO
            && !self.workers[n].has_end_after(order.acknowledged);
        if is_held {
            let until = self.now + order.wait;
            self.send(ownership, n, TIME_STEP, Message::HeldPoll(order, sent, until));
            return;
        }
        self.send(ownership, n, MESSAGE_DELAY, Message::PollReply(sent, Some(look), is_extra));
    }

    pub(super) fn held(
        &mut self,
        ownership: usize,
        n: usize,
        mut order: model::PollRequest,
        sent: time::Timestamp,
        until: time::Timestamp,
    ) {
        if self.workers[n].fault.is_partitioned || self.workers[n].is_down {
            let left = until.since(self.now) + ORDER_TIMEOUT;
            self.send(ownership, n, left, Message::PollReply(sent, None, false));
            return;
        }
        if self.now < until && !self.workers[n].has_end_after(order.acknowledged) {
            self.send(ownership, n, TIME_STEP, Message::HeldPoll(order, sent, until));
            return;
        }
        order.lease = None;
        let look = self.workers[n].poll(&order, self.now);
        if look.is_none() {
            self.ownerships[ownership].is_ended = true;
            return;
        }
        self.send(ownership, n, MESSAGE_DELAY, Message::PollReply(sent, look, false));
    }

    pub(super) fn start(
        &mut self,
        n: usize,
        token: u64,
        order: &model::StartOrder,
    ) -> model::OrderReply {
        let Some(behaviour) = self.behaviour(order.task.phase) else {
            self.record_violation(report::Guarantee::Requested, &order.task);
            return model::OrderReply::Refused(model::Refusal::Unspecified);
        };
        let was_there = self.workers[n].runs.contains_key(&order.task);
        let is_speculative = behaviour.speculative;
        let answer = self.workers[n].start(token, order, behaviour, self.now);
        if answer == model::OrderReply::Done && !was_there {
            self.report.starts += 1;
            self.check_start(n, order.task, is_speculative);
        }
        answer
    }

    pub(super) fn behaviour(&self, phase: task::PhaseId) -> Option<worker::Behaviour> {
        let job = self.jobs.get(&phase.job)?;
        let arrival = &self.settings.arrivals[job.arrival];
        arrival.behaviours.get(phase.phase as usize).cloned()
    }

    pub(super) fn advance_workers(&mut self) {
        let now = self.now;
        for n in 0..self.workers.len() {
            if self.workers[n].is_down {
                continue;
            }
            let ends = self.workers[n].advance(&load::interference, now, TIME_STEP);
            let (incarnation, lease_expiries) =
                (self.workers[n].incarnation, self.workers[n].lease_expiries);
            for end in ends {
                match end.outcome {
                    model::Outcome::Done => {
                        self.completed.insert(end.task);
                        self.pending_ends.push(PendingEnd {
                            worker: n,
                            incarnation,
                            number: end.number,
                            task: end.task,
                            lease_expiries,
                            is_restarted: false,
                        });
                    }
                    model::Outcome::Failed => *self.failures.entry(end.task).or_default() += 1,
                    _ => self.report.interrupted += 1,
                }
            }
            let is_over_target = |run: &&worker::Run| {
                run.behaviour.long_running && run.load > run.behaviour.tail_target
            };
            let over_target = self.workers[n].runs.values().filter(is_over_target).count();
            self.report.over_target += over_target as f64 * TIME_STEP.as_seconds();
        }
        if self.is_due(time::Span::seconds(2)) {
            self.score_long_running();
        }
    }

    /// Lasting jobs earn by the share of their tasks that are at work and below their target.
    pub(super) fn score_long_running(&mut self) {
        for (id, job) in &self.jobs {
            let arrival = &self.settings.arrivals[job.arrival];
            if !arrival.job.is_long_running() || job.cancelled.is_some() {
                continue;
            }
            let count = arrival.job.phases[0].count;
            let runs = self.workers.iter().flat_map(|w| &w.runs);
            let good = runs.filter(|(t, r)| {
                t.phase.job == *id
                    && self.now.since(r.started) > time::Span::seconds(1)
                    && r.load <= r.behaviour.tail_target
            });
            let kind = self.report.kinds.entry(arrival.kind.to_owned()).or_default();
            kind.jobs += 1;
            kind.attainable += arrival.payoff;
            kind.earned += arrival.payoff * good.count() as f64 / f64::from(count);
        }
    }
}
