//! Second copies: a task of a phase whose runs may overlap starts again elsewhere when its worker has
//! become slow or silent. The first end that is done counts, and the other run is stopped.
//!
//! The older run is the overtaken one. It leaves the table of runs, and keeps its capacity until it
//! has ended.

use gl_model::time;

use crate::owner::{
    Action, Basis, Cause, Evidence, Note, Owner, Run, Stage, StopReason, Worker, advice, distance,
    runs, state,
};
use crate::{task, worker};

/// How much longer a run has to be expected to take than a new one before it is overtaken, as a
/// factor. It covers the errors of both expectations.
const MARGIN: f64 = 1.5;
/// The number of runs that may be overtaken in one pass, as each needs a search.
const MAX_PER_PASS: usize = 4;
/// The shortest time for which a run is left alone.
const MIN_ELAPSED: time::Span = time::Span::millis(500);

/// Releases overtaken runs that have ended, and overtakes others.
pub(in crate::owner) fn run(owner: &mut Owner, now: time::Timestamp) {
    if owner.settings.copy_share <= 0.0 {
        return;
    }
    owner.review_overtaken(now);
    let is_late = |(task, run): &(&task::TaskId, &Run)| is_late(owner, **task, run, now);
    let late = owner.runs.iter().filter(is_late).map(|(task, _)| *task);
    let late: Vec<_> = late.take(MAX_PER_PASS).collect();
    for task in late {
        if has_budget(owner, task) && advice::can_place(owner, task.phase, now) {
            owner.overtake(task, now);
        }
    }
}

fn is_late(owner: &Owner, task: task::TaskId, run: &Run, now: time::Timestamp) -> bool {
    let is_candidate = run.speculative
        && run.is_running()
        && run.kind != runs::Kind::LongRunning
        && run.wanted_limit == runs::NO_LIMIT
        && now.since(run.started_at()) >= MIN_ELAPSED
        && run.has_survived(owner.settings.crash_window)
        && !owner.overtaken.contains_key(&task);
    if !is_candidate {
        return false;
    }
    let Some(w) = owner.workers.get(&run.worker) else {
        return false;
    };
    let is_silent = now.since(w.polled_at) > owner.settings.reply_timeout;
    let entry = owner.jobs.get(&task.phase.job);
    let factor = entry.map_or(1.0, |entry| owner.medians.factor(&entry.job.queue));
    let elsewhere = now + run.estimate.scaled(factor * MARGIN);
    is_silent || distance::expected_end(owner, task, run, w, now) > elsewhere
}

/// Returns whether one more overtaken run keeps all of them within their share of the service's
/// processors, and the task may run twice.
fn has_budget(owner: &Owner, task: task::TaskId) -> bool {
    let Some(entry) = owner.jobs.get(&task.phase.job) else {
        return false;
    };
    let is_plain = entry.spec(task.phase.phase).is_some_and(|spec| !spec.gang);
    let service = &entry.job.service;
    let is_same = |id: &worker::WorkerId| {
        owner.workers.get(id).is_some_and(|w| w.registration.service == *service)
    };
    let added = owner.runs.get(&task).map_or(0, |run| run.cores);
    let overtaken = owner.overtaken.values().filter(|run| is_same(&run.worker));
    let in_use: u64 = overtaken.map(|run| run.cores).sum();
    let of_service = owner.workers.values().filter(|w| w.registration.service == *service);
    let total: u64 = of_service.map(|w| w.registration.size.cores).sum();
    is_plain && (in_use + added) as f64 <= total as f64 * owner.settings.copy_share
}

/// Returns whether a worker has an overtaken run of the phase. It gets no other tasks of the phase, as
/// it can have one run of a task only.
pub(in crate::owner) fn has_overtaken(owner: &Owner, phase: task::PhaseId, w: &Worker) -> bool {
    let first = task::TaskId { phase, index: 0 };
    let last = task::TaskId { phase, index: u32::MAX };
    !owner.overtaken.is_empty()
        && owner.overtaken.range(first..=last).any(|(_, run)| run.worker == w.registration.id)
}

impl Owner {
    /// Lets a task start again while its run continues.
    fn overtake(&mut self, task: task::TaskId, now: time::Timestamp) {
        let Some(run) = self.release_run(task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.reserve(&run);
        }
        let (attempt, worker) = (run.attempt, run.worker.clone());
        self.note(Note::Overtaken { task, attempt, worker });
        self.overtaken.insert(task, run);
        self.requeue(task, now);
    }

    /// Returns whether a worker reports the overtaken run of a task. If that is still needed, it
    /// continues.
    pub(in crate::owner) fn reports_overtaken(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) -> bool {
        let run = self.overtaken.get_mut(&running.task);
        let run = run.filter(|run| run.worker == *id && run.attempt == running.attempt);
        run.map(|run| run.reported_at = now).is_some()
    }

    /// Releases the overtaken run whose end a worker reports.
    pub(in crate::owner) fn overtaken_ended(&mut self, id: &worker::WorkerId, end: &worker::Ended) {
        let run = self.overtaken.get(&end.task);
        if run.is_some_and(|run| run.worker == *id && run.attempt == end.attempt) {
            self.release_overtaken(end.task);
        }
    }

    fn release_overtaken(&mut self, task: task::TaskId) {
        let Some(run) = self.overtaken.remove(&task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.unreserve(&run);
        }
    }

    /// Stops the overtaken runs of tasks that are done, or whose job has ended, and releases those
    /// that cannot exist any longer.
    fn review_overtaken(&mut self, now: time::Timestamp) {
        let tasks: Vec<_> = self.overtaken.keys().copied().collect();
        for task in tasks {
            if let Some((cause, evidence)) = self.vanished(task, now) {
                if let Some(run) = self.overtaken.get(&task).cloned() {
                    self.note_gone(task, &run, cause, evidence, now);
                }
                self.release_overtaken(task);
            } else if !self.needs(task) {
                self.stop_overtaken(task, now);
            }
        }
    }

    fn needs(&self, task: task::TaskId) -> bool {
        let entry = self.jobs.get(&task.phase.job).filter(|entry| entry.final_state.is_none());
        let is_done =
            state::state_of(self, task.phase).is_none_or(|state| state.done.contains(task.index));
        entry.is_some() && !is_done
    }

    /// Returns what shows that the overtaken run of a task has ended without a report: its worker has
    /// restarted, its lease has expired, or a later reply does not contain it.
    fn vanished(&self, task: task::TaskId, now: time::Timestamp) -> Option<(Cause, Evidence)> {
        let run = self.overtaken.get(&task)?;
        let Some(w) = self.workers.get(&run.worker) else {
            let age = now.since(self.list_read_at);
            return Some((Cause::Lapsed, Evidence::of(Basis::Entry, age)));
        };
        let expiry = w.expiry(&self.settings);
        if expiry.is_none_or(|at| now >= at) {
            let age = w.clock.map(|reading| now.since(reading.at)).unwrap_or_default();
            return Some((Cause::Lapsed, Evidence::of(Basis::Lease, age)));
        }
        let is_missing = w.polled_at > run.reported_at;
        let reply = Evidence::of(Basis::Reply, now.since(w.polled_at));
        is_missing.then_some((Cause::Missing, reply))
    }

    fn stop_overtaken(&mut self, task: task::TaskId, now: time::Timestamp) {
        let retry = self.settings.stop_time + self.settings.stop_retry;
        let Some(run) = self.overtaken.get_mut(&task) else {
            return;
        };
        let is_sent = matches!(run.stage, Stage::Stopping(stop) if now.since(stop.sent) < retry);
        if is_sent {
            return;
        }
        let reason = StopReason::AlreadyDone;
        let stop = runs::Stopping { reason, sent: now, confirmed: None, was_starting: false };
        run.stage = Stage::Stopping(stop);
        let (worker, attempt) = (run.worker.clone(), run.attempt);
        self.note(Note::Stopping { task, attempt, worker: worker.clone(), reason });
        self.actions.push(Action::Stop { worker, task, attempt });
    }
}
