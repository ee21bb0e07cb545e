//! Worker lists of the platform, and polls of workers.

use std::collections;

use gl_model::time;

use crate::owner::{
    Action, Cause, Evidence, Note, Owner, Run, Stage, StopReason, Successor, Worker, runs,
    throttle, workers,
};
use crate::{task, worker};

impl Owner {
    /// Updates the table of workers from a list of the platform that was requested at `sent`.
    pub fn workers_listed(
        &mut self,
        list: &[worker::Registration],
        sent: time::Timestamp,
        now: time::Timestamp,
    ) {
        let previous = self.workers.values().filter(|w| w.is_listed);
        let mut missing: collections::BTreeSet<_> =
            previous.map(|w| w.registration.id.clone()).collect();
        for entry in list {
            missing.remove(&entry.id);
        }
        let removed = missing.into_iter().collect();
        let changes = worker::ListChanges { changed: list.to_vec(), removed };
        self.workers_changed(&changes, sent, now);
    }

    /// Updates the table of workers from the changes of the platform's list since it was last read.
    /// The changes were requested at `sent`.
    pub fn workers_changed(
        &mut self,
        changes: &worker::ListChanges,
        sent: time::Timestamp,
        now: time::Timestamp,
    ) {
        self.list_read_at = sent;
        for id in &changes.removed {
            self.worker_unlisted(id, now);
        }
        for entry in &changes.changed {
            self.worker_listed(entry, now);
        }
    }

    fn worker_unlisted(&mut self, id: &worker::WorkerId, now: time::Timestamp) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.is_listed) {
            worker.is_listed = false;
            worker.unlisted_at = now;
            self.update_unstored(id);
        }
    }

    fn worker_listed(&mut self, entry: &worker::Registration, now: time::Timestamp) {
        let known = self.workers.get(&entry.id);
        if known.is_some_and(|worker| worker.is_listed && worker.registration == *entry) {
            return;
        }
        let is_late = known.is_none() && !self.runs.is_empty();
        let (settings, lifetime) = (self.settings, self.added_lifetime);
        let worker = self.workers.entry(entry.id.clone()).or_insert_with(|| Worker {
            lifetime,
            first_lifetime: lifetime,
            ..Worker::new(entry.clone(), &settings, now)
        });
        worker.is_unproven |= is_late;
        if let Some(left) = entry.cold_left {
            worker.cold_until = now + left;
        }
        // The time of day of a VM may have been set back before its worker started again.
        let is_newest = entry.incarnation >= worker.registration.incarnation
            || worker.unconfirmed_since.is_none() && worker.incarnation == Some(entry.incarnation);
        if !is_newest {
            return self.worker_unlisted(&entry.id, now);
        }
        let has_restarted = entry.incarnation > worker.registration.incarnation;
        worker.is_enrolled &= worker.registration.address == entry.address;
        worker.registration = entry.clone();
        worker.is_domain_emptied = self.emptied.is_emptied(&entry.domain);
        worker.is_listed = true;
        if entry.draining {
            worker.draining_since = worker.draining_since.or(Some(now));
        } else {
            worker.draining_since = None;
        }
        self.update_unstored(&entry.id);
        if has_restarted {
            self.lifetime_listed(&entry.id, now);
        }
        let replied = self.workers.get(&entry.id).map_or(now, |worker| worker.polled_at);
        self.end_older_on_vm(&entry.id, replied, now);
    }

    /// Removes the older workers of a VM, which runs one worker at a time, once the worker has replied as the
    /// incarnation in its entry, last at `replied`. The entry alone proves nothing: others may have written it,
    /// or it may be that of an earlier worker, if the time of day of the VM was set back. Nor does a reply that
    /// is followed by one of the other worker.
    pub(in crate::owner) fn end_older_on_vm(
        &mut self,
        id: &worker::WorkerId,
        replied: time::Timestamp,
        now: time::Timestamp,
    ) {
        let Some(newer) = self.workers.get(id).filter(|worker| worker.is_confirmed()) else {
            return;
        };
        let entry = &newer.registration;
        let is_older = |w: &&Worker| {
            w.registration.vm == entry.vm
                && w.registration.id != entry.id
                && w.newest_incarnation() < entry.incarnation
                && w.polled_at <= replied
        };
        let older: Vec<_> =
            self.workers.values().filter(is_older).map(|w| w.registration.id.clone()).collect();
        let successor = self.successor_on_vm(entry, now);
        for older_id in older {
            let record = self.workers.get(&older_id).map(|worker| worker.record);
            if let (Some(record), Some(worker)) = (record, self.workers.get_mut(id)) {
                worker.record = record;
                worker.record.add_flap(now);
            }
            self.end_incarnation(&older_id, &collections::BTreeSet::new(), successor.clone(), now);
            self.forget_orders(&older_id);
            self.remove_worker(&older_id);
        }
    }

    /// Removes a worker without runs from the table.
    pub(in crate::owner) fn remove_worker(&mut self, id: &worker::WorkerId) {
        let worker = self.workers.remove(id);
        if let Some(worker) = &worker {
            self.calls_forgotten(worker);
        }
        self.update_unstored(id);
        if worker.is_some_and(|worker| worker.in_roster) {
            self.removed_workers.insert(id.clone());
        }
        self.mark_replied(id);
        self.unread.release(id);
    }

    /// Ends all runs on the worker except those in `kept`.
    pub(in crate::owner) fn end_incarnation(
        &mut self,
        id: &worker::WorkerId,
        kept: &collections::BTreeSet<task::TaskId>,
        successor: Successor,
        now: time::Timestamp,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let lost: Vec<_> = worker.runs.iter().filter(|t| !kept.contains(t)).copied().collect();
        self.has_hidden_crashes |= self.is_recovering();
        let evidence = Evidence::of(successor.basis(), successor.age);
        let note = Note::Replaced {
            worker: id.clone(),
            runs: worker.incarnation.map(|_| lost.len()),
            incarnation: worker.incarnation.unwrap_or(worker.registration.incarnation),
            silent: worker.silent(now),
            successor,
        };
        self.note(note);
        self.unread.release(id);
        for task in lost {
            // An order that was not confirmed may have reached no incarnation.
            let is_pending = |run: &Run| run.stage == Stage::Starting && !run.orders.is_repeated();
            let cause = if self.runs.get(&task).is_some_and(is_pending) {
                Cause::NeverRan
            } else {
                Cause::Lapsed
            };
            self.end_run(task, cause, evidence, now);
        }
    }

    /// Returns the next poll of a worker, or `None` if the worker is not in the table. If the poll
    /// extends the lease, the new lease is recorded as granted.
    pub fn poll_request(
        &mut self,
        id: &worker::WorkerId,
        now: time::Timestamp,
    ) -> Option<worker::PollRequest> {
        let settings = self.settings;
        let token = self.call_token(id)?;
        let needs_attention = self.needs_attention(id);
        let calm_wait = self.calm_wait(self.workers.get(id)?);
        let horizon = self.horizon;
        let worker = self.workers.get_mut(id)?;
        let is_draining = worker.draining_since.is_some();
        let span = if is_draining { settings.draining_lease } else { settings.lease };
        let until = (now + span).min(horizon);
        let lease = worker.clock_at(now).map(|clock| clock + until.since(now));
        let is_due = until > now
            && !worker.is_unresponsive
            && !worker.has_stored_end
            && worker.unconfirmed_since.is_none();
        let lease = lease.filter(|lease| is_due && *lease > worker.granted_until);
        if let Some(lease) = lease {
            worker.granted_until = lease;
            worker.lease_sent = worker.lease_sent.max(now);
        }
        let is_unknown = worker.clock.is_none() || worker.unconfirmed_since.is_some();
        let wait = if is_unknown || worker.is_unresponsive {
            time::Span::ZERO
        } else if needs_attention {
            settings.short_wait
        } else {
            calm_wait
        };
        if lease.is_some() {
            self.keep_pending(id, now);
        }
        let acknowledged = self.acknowledge(id);
        // A poll that is held for long is the more likely to be in transit when the worker starts again.
        let is_short = acknowledged > 0 && self.may_get_orders(id, now);
        let wait = if is_short { time::Span::ZERO } else { wait };
        let request = worker::PollRequest { token, acknowledged, lease, wait };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.sent_polls.add(&request, settings.order_lateness, now);
        }
        Some(request)
    }

    fn needs_attention(&self, id: &worker::WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let is_unsettled = |t: &task::TaskId| {
            let run = self.runs.get(t);
            run.is_some_and(|r| r.is_stopping() || r.wanted_limit < crate::owner::runs::NO_LIMIT)
        };
        let has_interference =
            worker.tail_ratio > self.settings.ratio_high && worker.best_effort_cores > 0;
        has_interference || worker.runs.iter().any(is_unsettled)
    }

    /// Handles the reply to a poll.
    pub fn poll_replied(
        &mut self,
        id: &worker::WorkerId,
        call: worker::Call,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        self.poll_answered(id, call, reply.incarnation);
        if !self.accept_reply(id, call, reply, now) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !reply.is_partial {
            worker.answered = worker.answered.max(call.sent);
        }
        let is_newest = worker.clock.is_none_or(|reading| reading.clock <= reply.clock);
        if is_newest {
            worker.polled_at = now;
            worker.is_unresponsive = false;
            worker.clock = Some(workers::ClockReading { clock: reply.clock, at: now });
            worker.record_forgotten(reply);
        }
        let unsettled = self.record_ends(id, reply, now);
        self.update_unstored(id);
        if !is_newest {
            return;
        }
        self.unread.hold(id, unsettled);
        let reported = self.record_running(id, reply, now);
        let recorded = self.workers.get(id).map_or(0, |worker| worker.runs.len());
        // A run that a partial reply does not report may have ended, and its end may not be listed yet.
        if !reply.is_partial {
            if reported < recorded {
                self.end_missing(id, call.sent, reply, now);
            }
            self.account_replied(id, reply, now);
        }
        self.update_unstored(id);
        throttle::run(self, id, now);
    }

    /// Records the reported runs, and returns how many of the worker's recorded runs are among them.
    fn record_running(
        &mut self,
        id: &worker::WorkerId,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) -> usize {
        let (mut known, mut unknown) = (0, 0);
        for running in &reply.running {
            let update = self.update_run(id, running, now);
            if update.is_none() {
                self.note_outlived(id, running.task, running.attempt, None, now);
            }
            match update {
                Some(is_first) => known += usize::from(is_first),
                None if self.reports_overtaken(id, running, now) => {}
                None if self.adopt(id, running, now) => {}
                None if self.is_unread(running.task.phase.job, now) => {
                    unknown += 1;
                    self.unread.hold_also(id, running.task);
                }
                None => {
                    unknown += 1;
                    self.stop_unknown(id, running, now);
                }
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unknown_runs = unknown;
        }
        known
    }

    /// Updates a known run from the worker's report, and returns whether this is the first report of
    /// it at `now`, or `None` if the run is unknown.
    fn update_run(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) -> Option<bool> {
        let run = self.runs.get_mut(&running.task)?;
        if run.attempt != running.attempt || run.worker != *id {
            return None;
        }
        let is_first = run.reported_at != now;
        run.reported_at = now;
        if (run.progress - running.progress).abs() > f64::EPSILON {
            run.progress = running.progress;
            run.progressed_at = now;
        }
        run.load = running.load;
        if run.checkpoint != running.checkpoint {
            run.checkpoint.clone_from(&running.checkpoint);
        }
        let is_ready = run.kind == runs::Kind::LongRunning && run.progress >= runs::FULL_PERCENT;
        if let Some(worker) = self.workers.get_mut(id).filter(|w| is_ready && w.is_unproven) {
            worker.is_unproven = false;
        }
        let is_settled = run.orders.confirm();
        if run.stage == Stage::Starting {
            run.stage = Stage::Running(now);
            self.mark_started(running.task);
        }
        if is_settled {
            self.settle_orders(running.task);
        }
        Some(is_first)
    }

    fn stop_unknown(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) {
        self.note_second_run(id, running, now);
        let (worker, task, attempt) = (id.clone(), running.task, running.attempt);
        let reason = StopReason::Unknown;
        self.note(Note::Stopping { task, attempt, worker: worker.clone(), reason });
        self.actions.push(Action::Stop { worker, task, attempt });
    }

    /// Ends the runs that the worker does not report and can no longer start.
    fn end_missing(
        &mut self,
        id: &worker::WorkerId,
        sent: time::Timestamp,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut missing = Vec::new();
        for task in &worker.runs {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            let is_reported =
                reply.running.iter().any(|r| r.task == *task && r.attempt == run.attempt)
                    || self.unread.holds(*task);
            let evidence = Evidence::from_reply(run, reply.clock, sent, &self.settings, now);
            if let Some(evidence) = evidence.filter(|_| !is_reported) {
                missing.push((*task, evidence));
            }
        }
        for (task, evidence) in missing {
            self.end_run(task, evidence.missing_cause(), evidence, now);
        }
    }
}
