//! What arrives at workers, and how time passes there.

use gl_jobs::{task, worker as model};
use gl_model::time;

use super::checks::OpenEnd;
use super::messages::{Due, Message};
use super::{HOP, ORDER_LIMIT, STEP, World};
use crate::{load, report, worker};

impl World {
    pub(super) fn at_worker(&mut self, due: Due) {
        let n = due.worker;
        if due.held_by.is_some_and(|by| by != self.workers[n].incarnation) {
            return;
        }
        let is_reached = !self.workers[n].trouble.is_cut && !self.workers[n].is_down;
        let now = self.now;
        let token = if self.settings.off.fencing { u64::MAX } else { self.reigns[due.reign].token };
        match due.message {
            Message::Start(mut order) if is_reached => {
                if self.settings.off.deadlines {
                    order.deadline = self.workers[n].clock(now);
                }
                let (task, attempt) = (order.task, order.attempt);
                let answer = self.start(n, token, &order);
                self.send(due.reign, n, HOP, Message::Started(task, attempt, answer));
            }
            Message::Start(order) => {
                let lost = Message::Started(order.task, order.attempt, model::OrderReply::Lost);
                self.send(due.reign, n, ORDER_LIMIT, lost);
            }
            Message::Stop(task, attempt) if is_reached => {
                let answer = self.workers[n].stop(token, task, attempt, now);
                self.send(due.reign, n, HOP, Message::Stopped(task, attempt, answer));
            }
            Message::Pace(task, attempt, percent) if is_reached => {
                self.workers[n].pace(token, task, attempt, percent);
            }
            Message::Look(order, sent, is_extra) if is_reached => {
                self.look(due.reign, n, token, order, sent, is_extra);
            }
            Message::Look(_, sent, is_extra) => {
                self.send(due.reign, n, ORDER_LIMIT, Message::Looked(sent, None, is_extra));
            }
            Message::Held(order, sent, until) => self.held(due.reign, n, order, sent, until),
            _ => {}
        }
    }

    pub(super) fn look(
        &mut self,
        reign: usize,
        n: usize,
        token: u64,
        mut order: model::PollRequest,
        sent: time::Timestamp,
        is_extra: bool,
    ) {
        order.token = token;
        let Some(look) = self.workers[n].look(&order, self.now) else {
            self.reigns[reign].is_over = true;
            return;
        };
        self.check_acknowledged(n, order.acknowledged);
        let is_held = !is_extra
            && order.wait > time::Span::ZERO
            && !self.workers[n].has_end_after(order.acknowledged);
        if is_held {
            let until = self.now + order.wait;
            self.send(reign, n, STEP, Message::Held(order, sent, until));
            return;
        }
        self.send(reign, n, HOP, Message::Looked(sent, Some(look), is_extra));
    }

    pub(super) fn held(
        &mut self,
        reign: usize,
        n: usize,
        mut order: model::PollRequest,
        sent: time::Timestamp,
        until: time::Timestamp,
    ) {
        if self.workers[n].trouble.is_cut || self.workers[n].is_down {
            let left = until.since(self.now) + ORDER_LIMIT;
            self.send(reign, n, left, Message::Looked(sent, None, false));
            return;
        }
        if self.now < until && !self.workers[n].has_end_after(order.acknowledged) {
            self.send(reign, n, STEP, Message::Held(order, sent, until));
            return;
        }
        order.lease = None;
        let look = self.workers[n].look(&order, self.now);
        if look.is_none() {
            self.reigns[reign].is_over = true;
            return;
        }
        self.send(reign, n, HOP, Message::Looked(sent, look, false));
    }

    pub(super) fn start(
        &mut self,
        n: usize,
        token: u64,
        order: &model::StartOrder,
    ) -> model::OrderReply {
        let Some(behaviour) = self.behaviour(order.task.phase) else {
            self.broken(report::Promise::Asked, &order.task);
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
            let ends = self.workers[n].advance(&load::harm, now, STEP);
            let (incarnation, lapses) = (self.workers[n].incarnation, self.workers[n].lapses);
            for end in ends {
                match end.outcome {
                    model::Outcome::Done => {
                        self.done.insert(end.task);
                        self.open_ends.push(OpenEnd {
                            worker: n,
                            incarnation,
                            number: end.number,
                            task: end.task,
                            lapses,
                            is_restarted: false,
                        });
                    }
                    model::Outcome::Failed => *self.failed.entry(end.task).or_default() += 1,
                    _ => self.report.evicted += 1,
                }
            }
            let over = |run: &&worker::Run| run.behaviour.lasting && run.load > run.behaviour.tail;
            let harmed = self.workers[n].runs.values().filter(over).count();
            self.report.harmed += harmed as f64 * STEP.as_seconds();
        }
        if self.is_at(time::Span::seconds(2)) {
            self.pay_lasting();
        }
    }

    /// Lasting jobs earn by the share of their tasks that are at work and below their target.
    pub(super) fn pay_lasting(&mut self) {
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
                    && r.load <= r.behaviour.tail
            });
            let kind = self.report.kinds.entry(arrival.kind.to_owned()).or_default();
            kind.jobs += 1;
            kind.owed += arrival.worth;
            kind.earned += arrival.worth * good.count() as f64 / f64::from(count);
        }
    }
}
