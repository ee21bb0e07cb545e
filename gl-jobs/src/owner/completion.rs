//! The effects of the end of a run on its task, job and worker.

use gl_model::time;

use super::{Advice, Cause, Evidence, Note, Owner, StopReason, gang};
use crate::{job, task, worker};

impl Owner {
    /// Handles the end of a run that a worker reports for the first time.
    pub(super) fn record_end(
        &mut self,
        id: &worker::WorkerId,
        end: &worker::Ended,
        now: time::Timestamp,
    ) {
        let is_current = self
            .runs
            .get(&end.task)
            .is_some_and(|run| run.worker == *id && run.attempt == end.attempt);
        self.note(Note::Ended {
            task: end.task,
            attempt: end.attempt,
            worker: id.clone(),
            cause: cause_of(end.outcome),
            conclusion: None,
        });
        if !is_current {
            self.note_outlived(id, end.task, end.attempt, Some(end.outcome), now);
        }
        let mut run = if is_current { self.release_run(end.task) } else { None };
        if let Some(run) = &mut run {
            run.orders.confirm();
            self.unsettled_ended(end.task, run, now);
        }
        self.open_reported(end.task.phase, now);
        self.overtaken_ended(id, end);
        self.mark_started(end.task);
        let has_succeeded = match end.outcome {
            worker::Outcome::Done => Some(true),
            worker::Outcome::Failed => Some(false),
            _ => None,
        };
        if let (Some(has_succeeded), Some(worker)) = (has_succeeded, self.workers.get_mut(id)) {
            worker.health.record(has_succeeded);
            worker.record.add_outcome(!has_succeeded, now);
            worker.is_unproven &= !has_succeeded;
        }
        if let (Some(true), Some(run)) = (has_succeeded, &run) {
            self.record_duration(end.task.phase.job, run, now);
        }
        if has_succeeded == Some(false) {
            self.suspect_if_failing(id, now);
        }
        self.apply_outcome(end, now);
        if is_current || !self.runs.contains_key(&end.task) {
            self.requeue(end.task, now);
        }
    }

    /// Records how long a run took that is done. Long-running tasks have no duration, and the CPU
    /// limit or the checkpoint of a run would change it.
    fn record_duration(&mut self, job: task::JobId, run: &super::Run, now: time::Timestamp) {
        let is_comparable = run.kind != super::Kind::LongRunning
            && run.was_confirmed()
            && !run.is_partial
            && !run.was_throttled
            && run.estimate > time::Span::ZERO;
        let entry = self.jobs.get(&job).filter(|_| is_comparable);
        let Some(queue) = entry.map(|entry| entry.job.queue.as_str()) else {
            return;
        };
        let observed = now.since(run.started_at()).as_seconds() / run.estimate.as_seconds();
        let ratio = self.medians.add(queue, observed);
        if let (Some(ratio), Some(worker)) = (ratio, self.workers.get_mut(&run.worker)) {
            worker.record.add_duration(ratio, now);
        }
    }

    /// Updates the progress of the task according to the outcome of the run.
    fn apply_outcome(&mut self, end: &worker::Ended, now: time::Timestamp) {
        let phase = end.task.phase;
        let Some(entry) = self.jobs.get_mut(&phase.job) else {
            return;
        };
        let Some(spec) = entry.spec(phase.phase).cloned() else {
            return;
        };
        let attempts = entry.job.policy.max_attempts;
        let Some(state) = entry.phases.get_mut(&(phase.occurrence, phase.phase)) else {
            return;
        };
        let index = if spec.gang { gang::SHARED_INDEX } else { end.task.index };
        match end.outcome {
            worker::Outcome::Done if spec.long_running => {}
            worker::Outcome::Done if spec.gang => {
                for member in 0..spec.count {
                    state.done.insert(member);
                }
                state.waiting.clear();
                self.open_phases.remove(&phase);
                let members = (0..spec.count).map(|index| task::TaskId { phase, index });
                members.for_each(|task| self.mark_dirty(task));
                self.count_done(phase, spec.count, now);
                self.phase_progressed(phase, now);
            }
            worker::Outcome::Done => {
                let is_first = !state.done.contains(index);
                state.done.insert(index);
                state.waiting.remove(&index);
                state.checkpoints.remove(&index);
                self.mark_dirty(end.task);
                self.count_done(phase, u32::from(is_first), now);
                if self.runs.contains_key(&end.task) {
                    self.stop(end.task, StopReason::AlreadyDone, now);
                }
                self.phase_progressed(phase, now);
            }
            worker::Outcome::Failed if spec.long_running => {}
            worker::Outcome::Failed => {
                let failures = state.failures.entry(index).or_default();
                if !failures.contains(&end.attempt) {
                    failures.push(end.attempt);
                }
                let has_failed = failures.len() >= attempts as usize;
                self.mark_dirty(task::TaskId { phase, index });
                self.reported_failed(end.task, end.attempt);
                if has_failed {
                    self.end_job(phase.job, job::State::Failed, now);
                }
            }
            _ => {}
        }
        self.keep_checkpoint(end.task, &end.checkpoint);
    }

    /// Keeps the checkpoint of a task, unless the task is done.
    pub(super) fn keep_checkpoint(&mut self, task: task::TaskId, checkpoint: &str) {
        let phase = task.phase;
        let Some(entry) = self.jobs.get_mut(&phase.job) else {
            return;
        };
        let Some(spec) = entry.spec(phase.phase) else {
            return;
        };
        let index = if spec.gang { gang::SHARED_INDEX } else { task.index };
        if checkpoint.is_empty() || !spec.checkpointing || entry.final_state.is_some() {
            return;
        }
        let Some(state) = entry.phases.get_mut(&(phase.occurrence, phase.phase)) else {
            return;
        };
        if state.done.contains(task.index) {
            return;
        }
        state.checkpoints.insert(index, checkpoint.to_owned());
        self.mark_dirty(task::TaskId { phase, index });
    }

    /// Opens the phases that depend on `phase`, and ends the job, once all tasks of `phase` are
    /// done.
    fn phase_progressed(&mut self, phase: task::PhaseId, now: time::Timestamp) {
        let Some(entry) = self.jobs.get_mut(&phase.job) else {
            return;
        };
        if entry.final_state.is_some() || !entry.is_phase_done(phase.occurrence, phase.phase) {
            return;
        }
        if let Some(state) = entry.phases.get_mut(&(phase.occurrence, phase.phase)) {
            state.advice = Advice::default();
        }
        let opened = entry.open_ready(phase.job, phase.occurrence, now);
        let is_recurring = entry.job.schedule.is_some();
        if is_recurring && entry.is_occurrence_done(phase.occurrence) {
            self.end_turn(phase.job);
        }
        self.open_phases.extend(opened);
        self.finish_if_done(phase.job, now);
    }

    pub(super) fn finish_if_done(&mut self, id: task::JobId, now: time::Timestamp) {
        if self.jobs.get(&id).is_some_and(|entry| entry.final_state.is_none() && entry.is_done()) {
            self.end_job(id, job::State::Complete, now);
        }
    }

    /// Decides the final state of a job. Clients see it once it is stored.
    pub(super) fn end_job(&mut self, id: task::JobId, state: job::State, now: time::Timestamp) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.final_state.is_some() {
            return;
        }
        entry.final_state = Some(state);
        entry.ended_at = now;
        self.dirty_pages.insert((id, 0));
        self.count_end(id, state);
        self.note_decided(id, now);
        self.close_job(id, now);
    }

    /// Ends a run whose end the worker has not reported.
    pub(super) fn end_run(
        &mut self,
        task: task::TaskId,
        cause: Cause,
        evidence: Evidence,
        now: time::Timestamp,
    ) {
        let Some(run) = self.release_run(task) else {
            return;
        };
        self.keep_checkpoint(task, &run.checkpoint);
        self.unsettled_ended(task, &run, now);
        if cause == Cause::Lapsed {
            self.run_lost(task, &run);
        }
        self.note_gone(task, &run, cause, evidence, now);
        self.requeue(task, now);
    }

    pub(super) fn note_decided(&mut self, id: task::JobId, now: time::Timestamp) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let Some(state) = entry.final_state else { return };
        let note = Note::Decided {
            job: id,
            state,
            age: now.since(entry.accepted_at),
            objective: entry.objective,
            work: entry.job.work(),
            rank: self.size_rank(&entry.job),
            waits: entry.waits,
        };
        self.note(note);
    }

    /// Removes a run and releases the capacity that it reserved.
    pub(super) fn release_run(&mut self, task: task::TaskId) -> Option<super::Run> {
        let run = self.runs.remove(&task)?;
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.remove(task, &run);
        }
        Some(run)
    }

    /// Queues a task for placement again, if its job still needs it.
    pub(super) fn requeue(&mut self, task: task::TaskId, now: time::Timestamp) {
        let Some(entry) = self.jobs.get_mut(&task.phase.job) else {
            return;
        };
        if entry.final_state.is_some() {
            return;
        }
        let Some(state) = entry.phases.get_mut(&(task.phase.occurrence, task.phase.phase)) else {
            return;
        };
        if state.done.contains(task.index) {
            return;
        }
        if state.waiting.is_empty() {
            state.since = now;
        }
        state.waiting.insert(task.index);
        state.interrupted.entry(task.index).or_insert(now);
        // Its phase is opened once the ends of the phases before it are known.
        if !state.is_open {
            return;
        }
        let is_gang = entry.spec(task.phase.phase).is_some_and(|spec| spec.gang);
        self.open_phases.insert(task.phase);
        if is_gang {
            self.stop_gang(task.phase, now);
        }
    }

    /// Records that a task has run. Of a long-running one this is stored, as a later owner may find nothing
    /// else that tells it.
    pub(super) fn mark_started(&mut self, task: task::TaskId) {
        let phase = task.phase;
        let Some(entry) = self.jobs.get_mut(&phase.job) else {
            return;
        };
        entry.has_started = true;
        let is_stored = entry.final_state.is_none()
            && entry.spec(phase.phase).is_some_and(|spec| spec.long_running);
        let state = entry.phases.get_mut(&(phase.occurrence, phase.phase));
        let is_first = state.is_some_and(|state| is_stored && state.started.insert(task.index));
        if is_first {
            self.mark_dirty(task);
        }
    }

    /// Marks a worker as suspect if most of its recent runs have failed.
    fn suspect_if_failing(&mut self, id: &worker::WorkerId, now: time::Timestamp) {
        let until = now + self.settings.suspect_time;
        let limit = self.settings.failure_limit;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.health.failures >= limit && worker.health.failures > worker.health.successes {
            worker.suspect_until = until;
            self.note(Note::Suspected {
                worker: id.clone(),
                reason: "most of its recent runs failed",
                until: Some(until),
            });
        }
    }
}

const fn cause_of(outcome: worker::Outcome) -> Cause {
    match outcome {
        worker::Outcome::Done => Cause::Done,
        worker::Outcome::Failed => Cause::Failed,
        worker::Outcome::Stopped => Cause::Stopped,
        worker::Outcome::Lapsed => Cause::Lapsed,
        worker::Outcome::Broken => Cause::Broken,
        worker::Outcome::Alone => Cause::Alone,
    }
}
