//! Checks of the guarantees during and after a run.

use std::collections;

use gl_jobs::{job, owner, record, task, worker as model};
use gl_model::time;

use super::Simulation;
use super::settings::{Fault, ScheduledFault};
use crate::{load, report, worker};

/// The longest time for which a long-running task may have no run: the six seconds within which it
/// has to run again, and the three over which this is observed.
const MAX_GAP: time::Span = time::Span::seconds(9);
/// The time after a disturbance during which gaps are not checked.
const CALM_TIME: time::Span = time::Span::seconds(7);
/// The interval at which gaps are checked.
const GAP_INTERVAL: time::Span = time::Span::millis(500);
/// The time after a cancellation during which a task may still be started.
const CANCEL_GRACE: time::Span = time::Span::seconds(3);

/// A completed run that a worker lists and that is not acknowledged yet.
pub(super) struct PendingEnd {
    pub worker: usize,
    pub incarnation: model::Incarnation,
    pub number: u64,
    pub task: task::TaskId,
    pub lease_expiries: u64,
    pub is_restarted: bool,
}

/// The number of workers that may crash under a task before its starts are limited, and the number
/// of starts that it may have after that.
const CRASHES: u32 = 3;
const STARTS_AFTER_CRASHES: u32 = 2;
/// The number of workers that have to crash under a task before its job may fail.
const MIN_CRASHES: u32 = 2;

/// The workers that have crashed under a task, and its starts after the third one.
#[derive(Default)]
pub(super) struct CrashCount {
    crashes: u32,
    later_starts: u32,
}

impl Simulation {
    /// Counts the crash of a worker for the tasks that run on it.
    pub(super) fn count_crash(&mut self, n: usize) {
        for task in self.workers[n].runs.keys() {
            self.crash_counts.entry(*task).or_default().crashes += 1;
        }
    }

    /// Counts the failed runs whose ends are lost with a worker, so that no owner acknowledges them.
    pub(super) fn count_lost_failures(&mut self, n: usize) {
        let is_failed = |end: &&model::Ended| end.outcome == model::Outcome::Failed;
        for end in self.workers[n].unacknowledged().iter().filter(is_failed) {
            *self.lost_failures.entry(end.task).or_default() += 1;
        }
    }

    /// Counts a start of a task that crashes its workers.
    fn check_crash_limit(&mut self, task: task::TaskId) {
        let Some(count) = self.crash_counts.get_mut(&task).filter(|c| c.crashes >= CRASHES) else {
            return;
        };
        count.later_starts += 1;
        let is_exceeded = count.later_starts > STARTS_AFTER_CRASHES;
        let is_first = task.index == 0;
        if is_exceeded && is_first && self.behaviour(task.phase).is_some_and(|b| b.crashes_worker) {
            self.record_violation(report::Guarantee::CrashLimit, &task);
        }
    }

    fn may_have_crashed(&self, id: task::JobId) -> bool {
        let of_job = self.crash_counts.iter().filter(|(task, _)| task.phase.job == id);
        of_job.map(|(_, count)| count.crashes).max().unwrap_or_default() >= MIN_CRASHES
    }

    pub(super) fn check_start(&mut self, n: usize, task: task::TaskId, is_speculative: bool) {
        self.check_crash_limit(task);
        let owner = self.workers[n].runs.get(&task).map(|run| run.owner).unwrap_or_default();
        let elsewhere = self.workers.iter().enumerate().find_map(|(other, w)| {
            let run = w.runs.get(&task).filter(|_| other != n && !w.is_down)?;
            Some((other, run.owner))
        });
        if let Some(first) = elsewhere.filter(|_| !is_speculative) {
            self.record_second_run(task, (n, owner), first);
        }
        if !self.workers[n].reserved().fits_in(&self.workers[n].spec.size) {
            self.record_violation(report::Guarantee::Capacity, &task);
        }
        if !is_speculative {
            for end in self.pending_ends.iter_mut().filter(|end| end.task == task) {
                end.is_restarted = true;
            }
            if self.unseen_ends.contains(&task) && !self.is_stored_done(task) {
                let subject = format!("{task} on w-{n}, after an end that was acknowledged unseen");
                self.record_violation(report::Guarantee::NoRestart, &subject);
            }
        }
        let Some(job) = self.jobs.get(&task.phase.job) else {
            return;
        };
        let arrival = &self.settings.arrivals[job.arrival];
        let is_late = job.cancelled.is_some_and(|at| self.now.since(at) > CANCEL_GRACE);
        let spec = &arrival.job.phases[task.phase.phase as usize];
        let is_premature = spec.after.iter().any(|before| {
            let count = arrival.job.phases[*before as usize].count;
            (0..count).any(|index| {
                let phase = task::PhaseId { phase: *before, ..task.phase };
                !self.completed.contains(&task::TaskId { phase, index })
            })
        });
        let count = |failures: &collections::BTreeMap<_, u32>| {
            failures.get(&task).copied().unwrap_or_default()
        };
        let failures = count(&self.failures) - count(&self.lost_failures);
        // Further runs of a speculative task may start until the owner has learned of the failure.
        if failures >= arrival.job.policy.max_attempts && !spec.long_running && !is_speculative {
            self.record_violation(report::Guarantee::AttemptLimit, &task);
        }
        if is_late {
            self.record_violation(report::Guarantee::Requested, &task);
        }
        if is_premature {
            self.record_violation(report::Guarantee::PhaseOrder, &task);
        }
    }

    /// Checks the completed runs up to `number`, which the worker removes from its list: they must
    /// be stored, and their tasks must not have been started again.
    pub(super) fn check_acknowledged(&mut self, n: usize, number: u64) {
        let incarnation = self.workers[n].incarnation;
        let lease_expiries = self.workers[n].lease_expiries;
        let age = self.now.since(self.workers[n].started_at).as_millis();
        let is_acknowledged = |end: &mut PendingEnd| {
            end.worker == n && end.incarnation == incarnation && end.number <= number
        };
        let ends: Vec<_> = self.pending_ends.extract_if(.., is_acknowledged).collect();
        for end in ends {
            let is_stored = self.is_stored_done(end.task);
            if !is_stored {
                let subject = format!("{} of w-{n}, {age} ms after its start", end.task);
                self.record_violation(report::Guarantee::StoreBeforeAck, &subject);
            }
            let is_listed = end.lease_expiries == lease_expiries;
            if !is_stored && is_listed {
                self.unseen_ends.insert(end.task);
            }
            if end.is_restarted && is_listed {
                self.record_violation(report::Guarantee::NoRestart, &end.task);
            }
        }
    }

    /// Checks that long-running tasks have a run. A gap is reported once.
    pub(super) fn check_continuity(&mut self) {
        let now = self.now;
        if !self.is_due(GAP_INTERVAL) {
            return;
        }
        for worker in self.workers.iter().filter(|worker| !worker.is_down) {
            let is_long_running = |run: &worker::Run| run.behaviour.long_running;
            let running = worker.runs.iter().filter(|(_, run)| is_long_running(run));
            self.last_runs.extend(running.map(|(task, _)| (*task, now)));
        }
        if now.since(self.disturbed_until) < CALM_TIME {
            return;
        }
        let is_overdue = |at: &time::Timestamp| now.since(*at) > MAX_GAP;
        let overdue: Vec<_> =
            self.last_runs.iter().filter(|(_, at)| is_overdue(at)).map(|(task, _)| *task).collect();
        for task in overdue {
            self.last_runs.remove(&task);
            let is_cancelled =
                self.jobs.get(&task.phase.job).is_none_or(|job| job.cancelled.is_some());
            if !is_cancelled && self.has_room(task) {
                self.record_violation(report::Guarantee::Continuity, &task);
            }
        }
    }

    /// Returns whether a worker without a fault has capacity for the task.
    fn has_room(&self, task: task::TaskId) -> bool {
        let Some(behaviour) = self.behaviour(task.phase) else {
            return false;
        };
        self.workers.iter().any(|worker| {
            let needed = worker.reserved().plus(&behaviour.size);
            let is_usable = !worker.is_down && !worker.draining;
            is_usable && worker.fault == Default::default() && needed.fits_in(&worker.spec.size)
        })
    }

    pub(super) fn is_stored_done(&self, task: task::TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.phase.job) else {
            return true;
        };
        if job.cancelled.is_some() {
            return true;
        }
        let is_done = |phase: &record::Phase| {
            phase.occurrence == task.phase.occurrence
                && phase.phase == task.phase.phase
                && phase.done.contains(task.index)
        };
        job.final_state().is_some() || job.pages.values().flat_map(|page| &page.phases).any(is_done)
    }

    /// Records that a task starts while it runs. Both runs are named by their workers and their owners.
    pub(super) fn record_second_run(
        &mut self,
        task: task::TaskId,
        (worker, owner): (usize, usize),
        (first, first_owner): (usize, usize),
    ) {
        let owners = if owner == first_owner { "one owner" } else { "two owners" };
        let mut subject = format!("{task} by {owners}, on w-{worker} while on w-{first}");
        for source in [first, worker].into_iter().filter_map(|n| self.late_lease(n)) {
            subject = format!("{subject}; {source}");
        }
        self.record_violation(report::Guarantee::SingleRun, &subject);
    }

    pub(super) fn record_violation(
        &mut self,
        guarantee: report::Guarantee,
        subject: &impl ToString,
    ) {
        let subject = subject.to_string();
        self.report.violations.push(report::Violation { at: self.now, guarantee, subject });
    }

    /// Returns `true` if some task of the job has used up its attempts.
    pub(super) fn has_failed(&self, id: task::JobId, job: &job::Job) -> bool {
        let belongs_to_job = |task: &&task::TaskId| task.phase.job == id;
        let worst =
            self.failures.iter().filter(|(task, _)| belongs_to_job(task)).map(|(_, n)| *n).max();
        worst.unwrap_or_default() >= job.policy.max_attempts
    }

    /// Returns `true` if a worker fault makes runs fail, so that any job may fail.
    pub(super) fn has_failing_workers(&self) -> bool {
        let makes_runs_fail =
            |f: &ScheduledFault| matches!(&f.fault, Fault::Worker(_, _, t) if t.fails_runs);
        self.settings.faults.iter().any(makes_runs_fail)
    }

    pub(super) fn store_progress(&mut self, row: &owner::CommitRow) {
        let Some(job) = self.jobs.get_mut(&row.job) else {
            return;
        };
        let previous = job.final_state();
        job.pages.insert(row.page, row.progress.clone());
        let Some(state) = row.progress.final_state else {
            if previous.is_some() && row.page == 0 {
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
        let crashes_workers = arrival.behaviours.iter().any(|b| b.crashes_worker);
        let is_correct = match state {
            job::State::Complete => is_done,
            job::State::Failed => {
                (always_fails || self.has_failing_workers())
                    && self.has_failed(row.job, &arrival.job)
                    || crashes_workers && self.may_have_crashed(row.job)
            }
            _ => true,
        };
        let at = self.now;
        self.report.final_states.entry(row.job).or_insert(report::FinalState { state, at });
        if !is_correct || previous.is_some_and(|previous| previous != state) {
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
                kind.net += arrival.payoff;
            } else if took <= objective + objective + objective {
                kind.late += 1;
                kind.earned += arrival.payoff * LATE_PAYOFF_SHARE;
                kind.net += arrival.payoff * LATE_PAYOFF_SHARE;
            }
        }
        for id in unfinished {
            self.record_violation(report::Guarantee::Completion, &id);
        }
    }
}

/// The share of its payoff that a late job earns.
const LATE_PAYOFF_SHARE: f64 = 0.15;

/// Returns the latency objective for the actual run times, because the declared ones are inexact.
fn objective(arrival: &load::Arrival) -> time::Span {
    let mut job = arrival.job.clone();
    for (phase, behaviour) in job.phases.iter_mut().zip(&arrival.behaviours) {
        phase.estimate = behaviour.work;
    }
    job.objective()
}
