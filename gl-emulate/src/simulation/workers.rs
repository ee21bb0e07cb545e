//! Delivery of messages to workers, and the progress of their runs.

use gl_jobs::{task, worker as model};
use gl_model::time;
use rand::Rng as _;

use super::checks::PendingEnd;
use super::messages::{Call, Delivery, Message, call_of, lost_reply};
use super::{ORDER_TIMEOUT, Simulation, TIME_STEP};
use crate::{load, report, worker};

/// The time from the start of a task to the crash of its worker, if the task causes one.
const CRASH_DELAY: time::Span = time::Span::millis(10);

impl Simulation {
    pub(super) fn deliver_to_worker(&mut self, delivery: &Delivery) {
        let lease_end = self.workers[delivery.worker].lease_end();
        self.carry_out(delivery);
        if delivery.call.is_late && !self.workers[delivery.worker].is_down {
            self.late_call_done(delivery, lease_end);
        }
    }

    fn carry_out(&mut self, delivery: &Delivery) {
        let (n, call) = (delivery.worker, delivery.call);
        if delivery.held_by.is_some_and(|by| by != self.workers[n].incarnation) {
            return self.lose(delivery.owner, n, call, &delivery.message);
        }
        let is_connected = self.is_connected(delivery.owner, n);
        let is_cut = !is_connected || self.workers[n].fault.is_partitioned;
        let is_reachable = (!is_cut || call.is_late) && !self.workers[n].is_down;
        let now = self.now;
        let is_fencing = !self.settings.disabled.fencing;
        let sent_token = |token: u64| if is_fencing { token } else { u64::MAX };
        match delivery.message.clone() {
            Message::Start(mut order, sent) if is_reachable => {
                let token = order.token;
                order.token = sent_token(order.token);
                if self.settings.disabled.deadlines {
                    order.deadline = self.workers[n].clock(now);
                }
                let (task, attempt) = (order.task, order.attempt);
                let reply = self.start(n, delivery.owner, &order);
                let is_fenced = reply == model::OrderReply::Refused(model::Refusal::Fenced);
                if is_fenced && !call.is_late {
                    self.refused(delivery.owner, n, order.token);
                }
                let answer = model::Answer { reply, clock: Some(self.workers[n].clock(now)) };
                let started = Message::Started(model::Call { token, sent }, task, attempt, answer);
                self.reply(call, delivery.owner, n, started);
            }
            message @ Message::Start(..) => self.lose(delivery.owner, n, call, &message),
            Message::Stop(token, task, attempt) if is_reachable => {
                let reply = self.workers[n].stop(sent_token(token), task, attempt, now);
                self.reply(call, delivery.owner, n, Message::Stopped(task, attempt, reply));
            }
            Message::SetCpuLimit(token, task, attempt, percent) if is_reachable => {
                self.workers[n].set_cpu_limit(sent_token(token), task, attempt, percent);
            }
            Message::Poll(mut request, sent, is_immediate) if is_reachable => {
                request.token = sent_token(request.token);
                self.poll(delivery, request, sent, is_immediate);
            }
            message @ Message::Poll(..) => self.lose(delivery.owner, n, call, &message),
            Message::HeldPoll(request, sent, until) => {
                self.continue_poll(delivery, request, sent, until);
            }
            _ => {}
        }
    }

    /// Lets a call that did not reach its worker time out.
    fn lose(&mut self, owner: usize, worker: usize, call: Call, message: &Message) {
        let Some(lost) = lost_reply(message).filter(|_| !call.is_given_up) else {
            return;
        };
        let after = call.expires.map_or(ORDER_TIMEOUT, |at| at.since(self.now));
        self.send(owner, worker, after, lost);
    }

    fn poll(
        &mut self,
        delivery: &Delivery,
        request: model::PollRequest,
        sent: time::Timestamp,
        is_immediate: bool,
    ) {
        let (owner, n, call) = (delivery.owner, delivery.worker, delivery.call);
        let Some(reply) = self.workers[n].poll(&request, self.now) else {
            if !call.is_late {
                self.refuse_poll(delivery, &request, is_immediate);
            }
            return;
        };
        self.check_acknowledged(n, request.acknowledged);
        let is_held = !is_immediate
            && !call.is_late
            && request.wait > time::Span::ZERO
            && !self.workers[n].has_end_after(request.acknowledged);
        if is_held {
            let until = self.now + request.wait;
            return self.hold(delivery, Message::HeldPoll(request, sent, until));
        }
        self.reply(
            call,
            owner,
            n,
            Message::PollReply(call_of(&request, sent), Some(reply), is_immediate),
        );
    }

    /// Handles a poll whose fencing token is too low: its owner has ended, or has sent calls with a higher one.
    fn refuse_poll(
        &mut self,
        delivery: &Delivery,
        request: &model::PollRequest,
        is_immediate: bool,
    ) {
        let (owner, n) = (delivery.owner, delivery.worker);
        self.refused(owner, n, request.token);
        self.reply(delivery.call, owner, n, Message::PollRefused(is_immediate));
    }

    /// Ends an ownership if a worker that refuses a fencing token has received that of a later owner.
    pub(super) fn refused(&mut self, owner: usize, worker: usize, token: u64) {
        let id = &self.workers[worker].id;
        let ownership = &mut self.ownerships[owner];
        ownership.is_ended |= ownership.owner.is_call_current(id, token);
    }

    /// Looks at a poll again that the worker holds back.
    fn hold(&mut self, delivery: &Delivery, message: Message) {
        self.sequence += 1;
        let Delivery { owner, worker, held_by, call, .. } = *delivery;
        let (at, number) = (self.now + TIME_STEP, self.sequence);
        self.deliveries.push(Delivery { at, number, owner, worker, held_by, call, message });
    }

    fn continue_poll(
        &mut self,
        delivery: &Delivery,
        mut request: model::PollRequest,
        sent: time::Timestamp,
        until: time::Timestamp,
    ) {
        let (owner, n) = (delivery.owner, delivery.worker);
        let is_reachable = self.is_connected(owner, n) && !self.workers[n].fault.is_partitioned;
        if !is_reachable || self.workers[n].is_down {
            let left = until.since(self.now) + ORDER_TIMEOUT;
            let expires = delivery.call.expires.unwrap_or(self.now + left);
            let call = Call { expires: Some(expires), ..delivery.call };
            return self.lose(owner, n, call, &Message::HeldPoll(request, sent, until));
        }
        if self.now < until && !self.workers[n].has_end_after(request.acknowledged) {
            return self.hold(delivery, Message::HeldPoll(request, sent, until));
        }
        request.lease = None;
        let Some(reply) = self.workers[n].poll(&request, self.now) else {
            return self.refuse_poll(delivery, &request, false);
        };
        let call = call_of(&request, sent);
        self.reply(delivery.call, owner, n, Message::PollReply(call, Some(reply), false));
    }

    pub(super) fn start(
        &mut self,
        n: usize,
        owner: usize,
        order: &model::StartOrder,
    ) -> model::OrderReply {
        let Some(behaviour) = self.behaviour(order.task.phase) else {
            self.record_violation(report::Guarantee::Requested, &order.task);
            return model::OrderReply::Refused(model::Refusal::Unspecified);
        };
        let before = self.workers[n].runs.get(&order.task).map(|run| (run.attempt, run.owner));
        let is_speculative = behaviour.speculative;
        let is_best_effort = behaviour.best_effort;
        let crashes_worker = behaviour.crashes_worker && order.task.index == 0;
        let slowdown = if self.is_remote(n, order.task, &behaviour) {
            self.settings.remote_factor
        } else {
            1.0
        };
        let reply = self.workers[n].start(order, behaviour, self.now);
        let is_new = before.is_none_or(|(attempt, _)| attempt != order.attempt);
        if reply == model::OrderReply::Done && is_new {
            self.report.starts += 1;
            if let Some(run) = self.workers[n].runs.get_mut(&order.task) {
                run.slowdown = slowdown;
                run.owner = owner;
            }
            self.report.colocation.starts += u64::from(is_best_effort);
            if crashes_worker {
                self.crashes.push((self.now + CRASH_DELAY, n, order.task));
            }
            if let Some(before) = before.filter(|_| !is_speculative) {
                self.record_second_run(order.task, (n, owner), (n, before.1));
            }
            self.check_start(n, order.task, is_speculative);
        }
        reply
    }

    /// Returns whether a task on a worker is away from its data or from the other tasks of its phase.
    fn is_remote(&self, n: usize, task: task::TaskId, behaviour: &worker::Behaviour) -> bool {
        let rack = &self.workers[n].spec.rack;
        let is_elsewhere = |w: &worker::Worker| {
            w.spec.rack != *rack && w.runs.keys().any(|other| other.phase == task.phase)
        };
        behaviour.data_rack.as_ref().is_some_and(|data| data != rack)
            || behaviour.rack_sensitive && self.workers.iter().any(is_elsewhere)
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
            let expiries = self.workers[n].lease_expiries;
            let ends = self.workers[n].advance(&load::interference, now, TIME_STEP);
            if self.workers[n].lease_expiries > expiries {
                self.draw_lapse_delay(n);
            }
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
            let runs = &self.workers[n].runs;
            let over_target = runs.values().filter(is_over_target).count();
            self.report.over_target += over_target as f64 * TIME_STEP.as_seconds();
            if runs.values().any(|run| run.behaviour.best_effort) {
                let spoiled = runs.iter().filter(|(_, run)| is_over_target(run));
                self.spoiled.extend(spoiled.map(|(task, _)| *task));
            }
        }
        if self.is_due(time::Span::seconds(2)) {
            self.score_long_running();
        }
    }

    /// Draws the time after which a worker notices that its next lease has expired.
    pub(super) fn draw_lapse_delay(&mut self, n: usize) {
        let longest = self.settings.lapse_delay.as_millis();
        if longest > 0 {
            let drawn = self.lapse_rng.random_range(0..=longest);
            self.workers[n].lapse_delay = time::Span::millis(drawn);
        }
    }

    /// Adds the payoff of long-running jobs, by the share of their tasks that are ready and within
    /// their tail latency target.
    pub(super) fn score_long_running(&mut self) {
        for (id, job) in &self.jobs {
            let arrival = &self.settings.arrivals[job.arrival];
            if !arrival.job.is_long_running() || job.cancelled.is_some() {
                continue;
            }
            let count = arrival.job.phases[0].count;
            let runs = self.workers.iter().flat_map(|w| &w.runs);
            let is_ready = |t: &task::TaskId, r: &worker::Run| {
                t.phase.job == *id && self.now.since(r.started) > time::Span::seconds(1)
            };
            let ready: Vec<_> = runs.filter(|(t, r)| is_ready(t, r)).collect();
            let is_good = |r: &worker::Run| r.load <= r.behaviour.tail_target;
            let good = ready.iter().filter(|(_, r)| is_good(r)).count() as f64;
            let is_spoiled = |t: &task::TaskId| self.spoiled.contains(t);
            let kept = ready.iter().filter(|(t, r)| is_good(r) || is_spoiled(t)).count() as f64;
            let spoiled = self.spoiled.iter().filter(|task| task.phase.job == *id).count() as f64;
            let lost = spoiled * report::INTERFERENCE_FACTOR;
            let kind = self.report.kinds.entry(arrival.kind.to_owned()).or_default();
            kind.jobs += 1;
            kind.attainable += arrival.payoff;
            kind.earned += arrival.payoff * good / f64::from(count);
            kind.net += arrival.payoff * (kept - lost) / f64::from(count);
        }
        self.report.colocation.windows += self.spoiled.len() as u64;
        self.spoiled.clear();
    }
}
