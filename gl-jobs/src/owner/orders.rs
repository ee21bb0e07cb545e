//! Orders to workers and what becomes of them.

use gl_model::time;

use super::{Action, Cause, Note, Owner, Stage, StopReason, runs};
use crate::{task, worker};

impl Owner {
    /// Tells a run to stop. Its room stays taken until it is known to be over.
    pub(super) fn stop(&mut self, task: task::TaskId, reason: StopReason, now: time::Timestamp) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        let was_starting = run.stage == Stage::Starting;
        let stop = runs::Stopping { reason, sent: now, confirmed: None, was_starting };
        run.stage = Stage::Stopping(stop);
        let (worker, attempt) = (run.worker.clone(), run.attempt);
        self.note(Note::Stopping { task, attempt, worker: worker.clone(), reason });
        self.actions.push(Action::Stop { worker, task, attempt });
    }

    /// The run of a task, if it is this attempt on this worker.
    fn run_on(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
    ) -> Option<&mut super::Run> {
        self.runs.get_mut(&task).filter(|run| run.worker == *worker && run.attempt == attempt)
    }

    /// A start order was answered, or its answer was lost.
    pub fn start_replied(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        answer: worker::OrderReply,
        now: time::Timestamp,
    ) {
        let Some(run) = self.run_on(worker, task, attempt) else {
            return;
        };
        match (run.stage, answer) {
            (Stage::Starting, worker::OrderReply::Done) => {
                run.stage = Stage::Running(now);
                run.progressed_at = now;
                self.mark_started(task.phase.job);
            }
            (Stage::Starting, worker::OrderReply::Lost) => {
                self.stop(task, StopReason::StartUnconfirmed, now);
            }
            (Stage::Starting, worker::OrderReply::Refused(refusal)) => {
                self.record_refusal(worker, refusal, now);
                self.end_run(task, Cause::NeverRan, now);
            }
            (Stage::Stopping(stop), worker::OrderReply::Refused(_)) if stop.was_starting => {
                self.end_run(task, Cause::NeverRan, now);
            }
            (Stage::Stopping(_), worker::OrderReply::Done) => self.mark_started(task.phase.job),
            _ => {}
        }
    }

    /// What a refusal says about the worker.
    fn record_refusal(
        &mut self,
        id: &worker::WorkerId,
        refusal: worker::Refusal,
        now: time::Timestamp,
    ) {
        let reason = match refusal {
            worker::Refusal::NoCapacity => "says that it has no room",
            worker::Refusal::Unspecified => "turns orders away",
            worker::Refusal::WrongIncarnation => "is another incarnation",
            worker::Refusal::DeadlinePassed => "got an order late",
            worker::Refusal::StaleAttempt => "saw a higher attempt",
            worker::Refusal::Fenced | worker::Refusal::InvalidTicket => return,
        };
        let until = now + self.settings.refusal_pause;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.suspect_until = worker.suspect_until.max(until);
        }
        self.note(Note::Suspected { worker: id.clone(), reason, until });
        self.actions.push(Action::Poll { worker: id.clone() });
    }

    /// A stop order was answered, or its answer was lost.
    pub fn stop_replied(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        answer: worker::OrderReply,
        now: time::Timestamp,
    ) {
        let Some(run) = self.run_on(worker, task, attempt) else {
            return;
        };
        let Stage::Stopping(stop) = &mut run.stage else {
            return;
        };
        if answer == worker::OrderReply::Done && stop.confirmed.is_none() {
            stop.confirmed = Some(now);
            self.actions.push(Action::Poll { worker: worker.clone() });
        }
    }

    /// The pace of a run was set.
    pub fn throttle_confirmed(&mut self, task: task::TaskId, attempt: u64, percent: u32) {
        let run = self.runs.get_mut(&task).filter(|run| run.attempt == attempt);
        if let Some(run) = run {
            run.cpu_limit = percent;
        }
    }

    /// A worker could not be reached or did not answer a look in time.
    pub fn poll_failed(&mut self, id: &worker::WorkerId, now: time::Timestamp) {
        let silence = self.settings.reply_timeout;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.is_unresponsive = true;
        let until = now + silence;
        if worker.suspect_until < now && worker.incarnation.is_some() {
            worker.suspect_until = until;
            self.note(Note::Suspected { worker: id.clone(), reason: "didn't answer", until });
        }
    }
}
