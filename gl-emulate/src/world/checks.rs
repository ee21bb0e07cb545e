//! The promises, checked while the world goes on.

use gl_jobs::{job, owner, record, task, worker as model};
use gl_model::time;

use super::World;
use super::settings::{Fault, Planned};
use crate::{load, report};

/// How long after a cancellation a task may still be started.
const CANCEL: time::Span = time::Span::seconds(3);

/// An end that a worker lists, until it is acknowledged.
pub(super) struct OpenEnd {
    pub worker: usize,
    pub incarnation: model::Incarnation,
    pub number: u64,
    pub task: task::TaskId,
    pub lapses: u64,
    pub is_restarted: bool,
}

impl World {
    pub(super) fn check_start(&mut self, n: usize, task: task::TaskId, is_speculative: bool) {
        let elsewhere = self
            .workers
            .iter()
            .enumerate()
            .any(|(other, w)| other != n && !w.is_down && w.runs.contains_key(&task));
        if elsewhere && !is_speculative {
            self.broken(report::Promise::OneRun, &task);
        }
        if !self.workers[n].taken().fits_in(&self.workers[n].spec.size) {
            self.broken(report::Promise::Room, &task);
        }
        if !is_speculative {
            for end in self.open_ends.iter_mut().filter(|end| end.task == task) {
                end.is_restarted = true;
            }
        }
        let Some(job) = self.jobs.get(&task.phase.job) else {
            return;
        };
        let arrival = &self.settings.arrivals[job.arrival];
        let late = job.cancelled.is_some_and(|at| self.now.since(at) > CANCEL);
        let spec = &arrival.job.phases[task.phase.phase as usize];
        let is_early = spec.after.iter().any(|before| {
            let count = arrival.job.phases[*before as usize].count;
            (0..count).any(|index| {
                let phase = task::PhaseId { phase: *before, ..task.phase };
                !self.done.contains(&task::TaskId { phase, index })
            })
        });
        let failures = self.failed.get(&task).copied().unwrap_or_default();
        // Copies of a speculative task may start until a failure has been known for a while.
        if failures >= arrival.job.policy.max_attempts && !spec.long_running && !is_speculative {
            self.broken(report::Promise::Attempts, &task);
        }
        if late {
            self.broken(report::Promise::Asked, &task);
        }
        if is_early {
            self.broken(report::Promise::Order, &task);
        }
    }

    /// Ends up to `number` are forgotten by the worker: they must be stored, and their tasks
    /// must not have started again.
    pub(super) fn check_acknowledged(&mut self, n: usize, number: u64) {
        let incarnation = self.workers[n].incarnation;
        let lapses = self.workers[n].lapses;
        let is_over = |end: &mut OpenEnd| {
            end.worker == n && end.incarnation == incarnation && end.number <= number
        };
        let ends: Vec<_> = self.open_ends.extract_if(.., is_over).collect();
        for end in ends {
            let is_stored = self.is_stored_done(end.task);
            if !is_stored {
                self.broken(report::Promise::StoredFirst, &end.task);
            }
            if end.is_restarted && end.lapses == lapses {
                self.broken(report::Promise::NoRestart, &end.task);
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

    pub(super) fn broken(&mut self, promise: report::Promise, subject: &impl ToString) {
        let subject = subject.to_string();
        self.report.broken.push(report::Broken { at: self.now, promise, subject });
    }

    /// Whether some task of the job has failed as often as it may.
    pub(super) fn has_failed(&self, id: task::JobId, job: &job::Job) -> bool {
        let is_it = |task: &&task::TaskId| task.phase.job == id;
        let worst = self.failed.iter().filter(|(task, _)| is_it(task)).map(|(_, n)| *n).max();
        worst.unwrap_or_default() >= job.policy.max_attempts
    }

    /// Whether workers that fail what they run may have failed a job that could be done.
    pub(super) fn settings_fail(&self) -> bool {
        let fails = |f: &Planned| matches!(&f.fault, Fault::Trouble(_, _, t) if t.fails);
        self.settings.faults.iter().any(fails)
    }

    pub(super) fn store(&mut self, row: &owner::CommitRow) {
        let Some(job) = self.jobs.get_mut(&row.job) else {
            return;
        };
        let had = job.progress.as_ref().and_then(|p| p.final_state);
        job.progress = Some(row.progress.clone());
        let Some(state) = row.progress.final_state else {
            if had.is_some() {
                self.broken(report::Promise::TrueState, &row.job);
            }
            return;
        };
        let arrival = &self.settings.arrivals[job.arrival];
        let is_done = (0..).zip(&arrival.job.phases).all(|(phase, spec)| {
            let phase = task::PhaseId { job: row.job, occurrence: 0, phase };
            (0..spec.count).all(|index| self.done.contains(&task::TaskId { phase, index }))
        });
        let is_hopeless = arrival.behaviours.iter().any(|b| b.hopeless);
        let is_true = match state {
            job::State::Complete => is_done,
            job::State::Failed => {
                (is_hopeless || self.settings_fail()) && self.has_failed(row.job, &arrival.job)
            }
            _ => true,
        };
        let at = self.now;
        self.report.ends.entry(row.job).or_insert(report::JobEnd { state, at });
        if !is_true || had.is_some_and(|had| had != state) {
            self.broken(report::Promise::TrueState, &row.job);
        }
    }

    pub(super) fn conclude(&mut self) {
        let mut unfinished = Vec::new();
        for (id, job) in &self.jobs {
            let arrival = &self.settings.arrivals[job.arrival];
            if arrival.job.is_long_running() || job.cancelled.is_some() {
                continue;
            }
            let kind = self.report.kinds.entry(arrival.kind.to_owned()).or_default();
            kind.jobs += 1;
            kind.owed += arrival.worth;
            let Some(end) = self.report.ends.get(id) else {
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
                kind.earned += arrival.worth;
            } else if took <= objective + objective + objective {
                kind.late += 1;
                kind.earned += arrival.worth * LATE_SHARE;
            }
        }
        for id in unfinished {
            self.broken(report::Promise::Finished, &id);
        }
    }
}

/// What a late job earns of its worth.
const LATE_SHARE: f64 = 0.15;

/// The objective by the true run times, as declared ones are off.
fn objective(arrival: &load::Arrival) -> time::Span {
    let mut job = arrival.job.clone();
    for (phase, behaviour) in job.phases.iter_mut().zip(&arrival.behaviours) {
        phase.estimate = behaviour.work;
    }
    job.objective()
}
