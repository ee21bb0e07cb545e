//! What the platform's list and the workers' answers say.

use std::collections;

use gl_model::time;

use super::{Action, Cause, Note, Owner, Stage, StopReason, Worker, pace, room};
use crate::{task, worker};

impl Owner {
    /// Takes a list of workers into account.
    pub fn workers_listed(&mut self, list: &[worker::Registration], now: time::Timestamp) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        for entry in list {
            self.worker_listed(entry, now);
        }
    }

    fn worker_listed(&mut self, entry: &worker::Registration, now: time::Timestamp) {
        self.end_earlier_on_vm(entry, now);
        let settings = self.settings;
        let is_new = !self.workers.contains_key(&entry.id);
        if is_new {
            self.await_worker(&entry.id);
        }
        let worker = self
            .workers
            .entry(entry.id.clone())
            .or_insert_with(|| Worker::new(entry.clone(), &settings, now));
        if entry.incarnation < worker.entry.incarnation {
            return;
        }
        let is_reborn = entry.incarnation > worker.entry.incarnation;
        worker.enrolled &= worker.entry.address == entry.address;
        worker.entry = entry.clone();
        worker.listed = true;
        worker.listed_at = now;
        if entry.draining {
            worker.leaving = worker.leaving.or(Some(now));
        } else {
            worker.leaving = None;
        }
        if is_reborn {
            self.actions.push(Action::Look { worker: entry.id.clone() });
        }
    }

    /// A VM runs one worker at a time, so a newer entry for the VM ends the older worker.
    fn end_earlier_on_vm(&mut self, entry: &worker::Registration, now: time::Timestamp) {
        let is_earlier = |w: &&Worker| {
            w.entry.vm == entry.vm
                && w.entry.id != entry.id
                && w.entry.incarnation < entry.incarnation
        };
        let earlier: Vec<_> =
            self.workers.values().filter(is_earlier).map(|w| w.entry.id.clone()).collect();
        for id in earlier {
            self.end_incarnation(&id, &collections::BTreeSet::new(), now);
            self.drop_worker(&id);
        }
    }

    /// Forgets a worker that runs nothing.
    pub(super) fn drop_worker(&mut self, id: &worker::WorkerId) {
        self.workers.remove(id);
        self.dismissed.insert(id.clone());
        self.has_answered(id);
    }

    /// All runs on the worker but those in `kept` are over.
    fn end_incarnation(
        &mut self,
        id: &worker::WorkerId,
        kept: &collections::BTreeSet<task::TaskId>,
        now: time::Timestamp,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let lost: Vec<_> = worker.runs.iter().filter(|t| !kept.contains(t)).copied().collect();
        self.note(Note::Replaced { worker: id.clone(), runs: lost.len() });
        for task in lost {
            self.over(task, Cause::Lapsed, now);
        }
    }

    /// What to ask of a worker now; none if it isn't of this cell any more.
    pub fn look_order(
        &mut self,
        id: &worker::WorkerId,
        now: time::Timestamp,
    ) -> Option<worker::LookOrder> {
        let settings = self.settings;
        let token = self.token;
        let needs_care = self.needs_care(id);
        let horizon = self.horizon;
        let worker = self.workers.get_mut(id)?;
        let is_leaving = worker.leaving.is_some();
        let span = if is_leaving { settings.leaving_lease } else { settings.lease };
        let until = (now + span).min(horizon);
        let lease = worker.clock_at(now).map(|clock| clock + until.since(now));
        let is_due = until > now && !worker.silent;
        let lease = lease.filter(|lease| is_due && *lease > worker.granted);
        if let Some(lease) = lease {
            worker.granted = lease;
        }
        let wait = if worker.clock.is_none() {
            time::Span::ZERO
        } else if needs_care {
            settings.close_wait
        } else {
            settings.look_wait
        };
        let acknowledged = if worker.may_be_new() { 0 } else { worker.stored };
        Some(worker::LookOrder { token, acknowledged, lease, wait })
    }

    fn needs_care(&self, id: &worker::WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let is_close = |t: &task::TaskId| {
            let run = self.runs.get(t);
            run.is_some_and(|r| r.is_stopping() || r.wanted_pace < super::run::FULL_PACE)
        };
        let is_hot = worker.heat > self.settings.heat_high && worker.filled > 0;
        is_hot || worker.runs.iter().any(is_close)
    }

    /// A worker answered the look that was sent at `sent`.
    pub fn looked(
        &mut self,
        id: &worker::WorkerId,
        sent: time::Timestamp,
        look: &worker::Look,
        now: time::Timestamp,
    ) {
        if !self.accept_incarnation(id, look, now) {
            return;
        }
        let horizon = self.settings.horizon;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.clock.is_none() && worker.was_enrolled {
            worker.inherited = look.clock + horizon;
        }
        let is_newest = worker.clock.is_none_or(|known| known.clock <= look.clock);
        if is_newest {
            worker.looked = now;
            worker.silent = false;
            worker.clock = Some(room::Reading { clock: look.clock, at: now });
        }
        let seen = worker.seen;
        for end in look.ended.iter().filter(|end| end.number > seen) {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.seen = worker.seen.max(end.number);
            }
            self.ended(id, end, now);
        }
        if !is_newest {
            return;
        }
        self.note_running(id, look, now);
        self.drop_missing(id, sent, look, now);
        self.has_answered(id);
        pace::run(self, id, now);
    }

    /// Whether the look is by the incarnation that is known, or by a newer one, which begins
    /// with nothing.
    fn accept_incarnation(
        &mut self,
        id: &worker::WorkerId,
        look: &worker::Look,
        now: time::Timestamp,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let known = worker.incarnation;
        if known.is_some_and(|known| look.incarnation < known) {
            return false;
        }
        if known.is_some_and(|known| look.incarnation > known) {
            let is_kept = |t: &&task::TaskId| {
                let run = self.runs.get(t);
                run.is_some_and(|run| {
                    run.stage == Stage::Starting
                        || look.running.iter().any(|r| r.task == **t && r.attempt == run.attempt)
                })
            };
            let kept = worker.runs.iter().filter(is_kept).copied().collect();
            self.end_incarnation(id, &kept, now);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.seen = 0;
                worker.stored = 0;
                worker.granted = time::Timestamp::default();
                worker.clock = None;
                worker.health = room::Health::default();
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.incarnation = Some(look.incarnation);
        }
        true
    }

    fn note_running(&mut self, id: &worker::WorkerId, look: &worker::Look, now: time::Timestamp) {
        let mut strangers = 0;
        for running in &look.running {
            if self.note_run(id, running, now) {
                continue;
            }
            if !self.adopt(id, running, now) {
                strangers += 1;
                self.stop_stranger(id, running);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.strangers = strangers;
        }
    }

    /// Updates a known run; false if the run isn't known.
    fn note_run(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) -> bool {
        let Some(run) = self.runs.get_mut(&running.task) else {
            return false;
        };
        if run.worker != *id || run.attempt != running.attempt {
            return false;
        }
        if (run.percent - running.percent).abs() > f64::EPSILON {
            run.percent = running.percent;
            run.moved = now;
        }
        run.load = running.load;
        if run.checkpoint != running.checkpoint {
            run.checkpoint.clone_from(&running.checkpoint);
        }
        if run.stage == Stage::Starting {
            run.stage = Stage::Running(now);
            self.begun(running.task.phase.job);
        }
        true
    }

    fn stop_stranger(&mut self, id: &worker::WorkerId, running: &worker::Running) {
        let (worker, task, attempt) = (id.clone(), running.task, running.attempt);
        let reason = StopReason::Unknown;
        self.note(Note::Stopping { task, attempt, worker: worker.clone(), reason });
        self.actions.push(Action::Stop { worker, task, attempt });
    }

    /// Ends the runs that the worker doesn't have and can't get any more.
    fn drop_missing(
        &mut self,
        id: &worker::WorkerId,
        sent: time::Timestamp,
        look: &worker::Look,
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
            let is_there = look.running.iter().any(|r| r.task == *task && r.attempt == run.attempt);
            let cause = match run.stage {
                Stage::Running(at) if at < sent => Cause::Missing,
                Stage::Stopping(stop) if stop.confirmed.is_some_and(|at| at < sent) => {
                    Cause::NeverRan
                }
                Stage::Stopping(stop) if stop.was_starting && look.clock > run.deadline => {
                    Cause::NeverRan
                }
                _ => continue,
            };
            if !is_there {
                missing.push((*task, cause));
            }
        }
        for (task, cause) in missing {
            self.over(task, cause, now);
        }
    }
}
