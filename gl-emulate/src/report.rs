//! The report of a simulation run.

use std::{collections, fmt};

use gl_jobs::{job, task};
use gl_model::time;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The time of the violation.
    pub at: time::Timestamp,
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// The task or job concerned.
    pub subject: String,
}

/// Guarantees that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A task that is not speculative has at most one run at a time.
    SingleRun,
    /// A task whose completion is recorded is never started again.
    NoRestart,
    /// The runs of a worker never exceed its capacity.
    Capacity,
    /// A phase starts only after the phases that it depends on.
    PhaseOrder,
    /// A job fails only after the permitted number of runs of a task have failed, and no run of
    /// that task starts afterwards.
    AttemptLimit,
    /// A task under which three workers have crashed is started at most twice more.
    CrashLimit,
    /// Only tasks of jobs that were submitted and not cancelled are started.
    Requested,
    /// The completion of a run is acknowledged to the worker only after it is stored.
    StoreBeforeAck,
    /// A final state that clients can see is correct and never changes.
    CorrectState,
    /// Every accepted job reaches a final state.
    Completion,
    /// A long-running task whose run has ended soon has another one while there is capacity for it
    /// and no disturbance that is not planned.
    Continuity,
}

/// Totals over the jobs of one kind. Long-running jobs are counted anew every two seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindTotals {
    /// The number of submitted jobs.
    pub jobs: u32,
    /// The number of jobs that ended within their latency objective.
    pub in_time: u32,
    /// The number of other jobs that ended within three times their latency objective.
    pub late: u32,
    /// The number of failed jobs.
    pub failed: u32,
    /// The payoff earned.
    pub earned: f64,
    /// The payoff attainable if all jobs ended in time.
    pub attainable: f64,
    /// The payoff earned if a window of a long-running task over its target with best-effort tasks
    /// beside it costs [`INTERFERENCE_FACTOR`] times what such a window earns.
    pub net: f64,
}

/// The factor by which the new deployments count windows that are lost to interference.
pub const INTERFERENCE_FACTOR: f64 = 4.0;

/// What interference and the protection from it have cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Colocation {
    /// The number of started runs of best-effort tasks.
    pub starts: u64,
    /// The number of windows of two seconds in which a long-running task was over its target with
    /// best-effort tasks beside it.
    pub windows: u64,
    /// The number of runs that owners have stopped because of interference.
    pub stopped: u64,
    /// The number of ordered CPU limits.
    pub limits: u64,
}

/// The final state of a job that clients can see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinalState {
    /// The state.
    pub state: job::State,
    /// The time at which clients could first see it.
    pub at: time::Timestamp,
}

/// The report of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The violations of guarantees.
    pub violations: Vec<Violation>,
    /// Totals by kind of job.
    pub kinds: collections::BTreeMap<String, KindTotals>,
    /// The final states of jobs.
    pub final_states: collections::BTreeMap<task::JobId, FinalState>,
    /// The number of started runs.
    pub starts: u64,
    /// The number of runs that ended without being done or failed.
    pub interrupted: u64,
    /// The number of polls of workers that were replied to or failed.
    pub polls: u64,
    /// The total time in seconds that long-running tasks spent above their tail latency target.
    pub over_target: f64,
    /// What interference and the protection from it have cost.
    pub colocation: Colocation,
    /// The number of commits of owners.
    pub commits: u64,
    /// The owners' notes that match the trace filter.
    pub trace: Vec<String>,
}

impl Report {
    /// Returns the share of the attainable payoff that was earned.
    pub fn payoff_share(&self) -> f64 {
        let attainable: f64 = self.kinds.values().map(|kind| kind.attainable).sum();
        let earned: f64 = self.kinds.values().map(|kind| kind.earned).sum();
        if attainable > 0.0 { earned / attainable } else { 1.0 }
    }
}

impl Colocation {
    /// Returns the lost windows, the stopped runs and the CPU limits for each thousand starts.
    pub fn per_thousand(&self) -> [f64; 3] {
        let starts = (self.starts as f64).max(1.0);
        [self.windows, self.stopped, self.limits].map(|n| n as f64 * 1_000.0 / starts)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "payoff {:.3}, starts {}, interrupted {}, polls {}, commits {}, over target {:.1} s, violations {}",
            self.payoff_share(),
            self.starts,
            self.interrupted,
            self.polls,
            self.commits,
            self.over_target,
            self.violations.len()
        )?;
        let [windows, stopped, limits] = self.colocation.per_thousand();
        writeln!(
            f,
            "  per 1,000 of {} best-effort starts: {windows:.0} windows lost, {stopped:.0} runs stopped, {limits:.0} CPU limits",
            self.colocation.starts
        )?;
        for (name, kind) in &self.kinds {
            writeln!(
                f,
                "  {name:<10} jobs {:>4} in time {:>4} late {:>4} failed {:>3} earned {:>6.1} of {:>6.1}",
                kind.jobs, kind.in_time, kind.late, kind.failed, kind.earned, kind.attainable
            )?;
        }
        for violation in self.violations.iter().take(5) {
            writeln!(
                f,
                "  violation at {}: {:?} {}",
                violation.at.0 / 1_000,
                violation.guarantee,
                violation.subject
            )?;
        }
        Ok(())
    }
}
