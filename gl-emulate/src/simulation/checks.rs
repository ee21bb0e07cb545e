//! The promises, checked while the world goes on.

use gl_jobs::{job, owner, record, task, worker as model};
use gl_model::time;

use super::Simulation;
use super::settings::{Fault, ScheduledFault};
use crate::{load, report};

/// How long after a cancellation a task may still be started.
const CANCEL_GRACE: time::Span = time::Span::seconds(3);

/// An end that a worker lists, until it is acknowledged.
pub(super) struct PendingEnd {
    pub worker: usize,
    pub incarnation: model::Incarnation,
    pub number: u64,
    pub task: task::TaskId,
    pub lease_expiries: u64,
    pub is_restarted: bool,
}

impl Simulation {
    pub(super) fn check_start(&mut self, n: usize, task: task::TaskId, is_speculative: bool) {
        let elsewhere = self
            .workers
            .iter()
            .enumerate()
            .any(|(other, w)| other != n && !w.is_down && w.runs.contains_key(&task));
        if elsewhere && !is_speculative {
            self.record_violation(report::Guarantee::SingleRun, &task);
        }
        if !self.workers[n].taken().fits_in(&self.workers[n].spec.size) {
            self.record_violation(report::Guarantee::Capacity, &task);
        }
        if !is_speculative {
            for end in self.pending_ends.iter_mut().filter(|end| end.task == task) {
                end.is_restarted = true;
            }
        }
        let Some(job) = self.jobs.get(&task.phase.job) else {
            return;
        };
        let arrival = &self.settings.arrivals[job.arrival];
        let late = job.cancelled.is_some_and(|at| self.now.since(at) > CANCEL_GRACE);
        let spec = &arrival.job.phases[task.phase.phase as usize];
        let is_early = spec.after.iter().any(|before| {
            let count = arrival.job.phases[*before as usize].count;
            (0..count).any(|index| {
                let phase = task::PhaseId { phase: *before, ..task.phase };
                !self.completed.contains(&task::TaskId { phase, index })
            })
        });
        let failures = self.failures.get(&task).copied().unwrap_or_default();
        // Copies of a speculative task may start until a failure has been known for a while.
        if failures >= arrival.job.policy.max_attempts && !spec.long_running && !is_speculative {
            self.record_violation(report::Guarantee::AttemptLimit, &task);
        }
        if late {
            self.record_violation(report::Guarantee::Requested, &task);
        }
        if is_early {
            self.record_violation(report::Guarantee::PhaseOrder, &task);
        }
    }

    /// Ends up to `number` are forgotten by the worker: they must be stored, and their tasks
    /// must not have started again.
    pub(super) fn check_acknowledged(&mut self, n: usize, number: u64) {
        let incarnation = self.workers[n].incarnation;
        let lease_expiries = self.workers[n].lease_expiries;
        let is_ended = |end: &mut PendingEnd| {
            end.worker == n && end.incarnation == incarnation && end.number <= number
        };
        let ends: Vec<_> = self.pending_ends.extract_if(.., is_ended).collect();
        for end in ends {
            let is_stored = self.is_stored_done(end.task);
            if !is_stored {
                self.record_violation(report::Guarantee::StoreBeforeAck, &end.task);
            }
            if end.is_restarted && end.lease_expiries == lease_expiries {
                self.record_violation(report::Guarantee::NoRestart, &end.task);
            }
        }
    }

    pub(super) fn is_stored_done(&self, task: task::TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.phase.job) else {
            return true;
        };
        if job.cancelled.is_some() {
            return true;
        }
        let Some(progress) = &job.progress else {
            return false;
        };
        let is_phase = |phase: &&record::Phase| {
            phase.occurrence == task.phase.occurrence && phase.phase == task.phase.phase
        };
        progress.final_state.is_some()
            || progress.phases.iter().find(is_phase).is_some_and(|p| p.done.contains(task.index))
    }

    pub(super) fn record_violation(
        &mut self,
        guarantee: report::Guarantee,
        subject: &impl ToString,
    ) {
        let subject = subject.to_string();
        self.report.violations.push(report::Violation { at: self.now, guarantee, subject });
    }

    /// Whether some task of the job has failed as often as it may.
    pub(super) fn has_failed(&self, id: task::JobId, job: &job::Job) -> bool {
        let is_it = |task: &&task::TaskId| task.phase.job == id;
        let worst = self.failures.iter().filter(|(task, _)| is_it(task)).map(|(_, n)| *n).max();
        worst.unwrap_or_default() >= job.policy.max_attempts
    }

    /// Whether workers that fail what they run may have failed a job that could be done.
    pub(super) fn has_failing_workers(&self) -> bool {
        let fails = |f: &ScheduledFault| matches!(&f.fault, Fault::Worker(_, _, t) if t.fails_runs);
        self.settings.faults.iter().any(fails)
    }

    pub(super) fn store_progress(&mut self, row: &owner::CommitRow) {
        let Some(job) = self.jobs.get_mut(&row.job) else {
            return;
        };
        let had = job.progress.as_ref().and_then(|p| p.final_state);
        job.progress = Some(row.progress.clone());
        let Some(state) = row.progress.final_state else {
            if had.is_some() {
                self.record_violation(report::Guarantee::CorrectState, &row.job);
            }
            return;
        };
        let arrival = &self.settings.arrivals[job.arrival];
        let is_done = (0..).zip(&arrival.job.phases).all(|(phase, spec)| {
            let phase = task::PhaseId { job: row.job, occurrence: 0, phase };
            (0..spec.count).all(|index| self.completed.contains(&task::TaskId { phase, index }))
        });
        let always_fails = arrival.behaviours.iter().any(|b| b.always_fails);
        let is_true = match state {
            job::State::Complete => is_done,
            job::State::Failed => {
                (always_fails || self.has_failing_workers())
                    && self.has_failed(row.job, &arrival.job)
            }
            _ => true,
        };
        let at = self.now;
        self.report.final_states.entry(row.job).or_insert(report::FinalState { state, at });
        if !is_true || had.is_some_and(|had| had != state) {
            self.record_violation(report::Guarantee::CorrectState, &row.job);
        }
    }

    pub(super) fn score_jobs(&mut self) {
        let mut unfinished = Vec::new();
        for (id, job) in &self.jobs {
            let arrival = &self.settings.arrivals[job.arrival];
            if arrival.job.is_long_running() || job.cancelled.is_some() {
                continue;
            }
            let kind = self.report.kinds.entry(arrival.kind.to_owned()).or_default();
            kind.jobs += 1;
            kind.attainable += arrival.payoff;
            let Some(end) = self.report.final_states.get(id) else {
                unfinished.push(*id);
                continue;
            };
            let took = end.at.since(arrival.at);
            let objective = objective(arrival);
            if end.state == job::State::Failed {
                kind.failed += 1;
            }
            if took <= objective {
                kind.in_time += 1;
                kind.earned += arrival.payoff;
            } else if took <= objective + objective + objective {
                kind.late += 1;
                kind.earned += arrival.payoff * LATE_PAYOFF_SHARE;
            }
        }
        for id in unfinished {
            self.record_violation(report::Guarantee::Completion, &id);
        }
    }
}

/// What a late job earns of its worth.
const LATE_PAYOFF_SHARE: f64 = 0.15;

/// The objective by the true run times, as declared ones are off.
fn objective(arrival: &load::Arrival) -> time::Span {
    let mut job = arrival.job.clone();
    for (phase, behaviour) in job.phases.iter_mut().zip(&arrival.behaviours) {
        phase.estimate = behaviour.work;
    }
    job.objective()
}
