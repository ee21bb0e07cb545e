//! What a play has shown.

use std::{collections, fmt};

use gl_jobs::{job, task};
use gl_model::time;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When.
    pub at: time::Timestamp,
    /// Which.
    pub guarantee: Guarantee,
    /// The task or the job.
    pub subject: String,
}

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A task that isn't speculative runs once at a time.
    SingleRun,
    /// A task whose end is recorded never starts again.
    NoRestart,
    /// Nothing runs over a worker's room.
    Capacity,
    /// A phase starts after the phases before it.
    PhaseOrder,
    /// A job fails only after enough runs of a task have failed, and no run starts after that.
    AttemptLimit,
    /// Only what was submitted and not cancelled is started.
    Requested,
    /// An end is acknowledged only once it is stored.
    StoreBeforeAck,
    /// A final state that was shown never changes, and is true.
    CorrectState,
    /// Every accepted job ends.
    Completion,
}

/// How the jobs of one kind went.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindTotals {
    /// Jobs submitted.
    pub jobs: u32,
    /// Ended within the objective.
    pub in_time: u32,
    /// Ended within three times the objective.
    pub late: u32,
    /// Failed.
    pub failed: u32,
    /// Payoff earned.
    pub earned: f64,
    /// Payoff owed.
    pub attainable: f64,
}

/// The end of a job, as clients were shown it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinalState {
    /// The state.
    pub state: job::State,
    /// When it was first shown.
    pub at: time::Timestamp,
}

/// What a play has shown.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Jobs by kind.
    pub kinds: collections::BTreeMap<String, KindTotals>,
    /// The ends of jobs.
    pub final_states: collections::BTreeMap<task::JobId, FinalState>,
    /// Runs started.
    pub starts: u64,
    /// Runs that ended without being done or failed.
    pub interrupted: u64,
    /// Looks at workers.
    pub polls: u64,
    /// Seconds that lasting tasks spent over their target.
    pub over_target: f64,
    /// Commits of the owner.
    pub commits: u64,
    /// What owners decided about the traced subject.
    pub trace: Vec<String>,
}

impl Report {
    /// The share of the owed payoff that was earned.
    pub fn payoff_share(&self) -> f64 {
        let attainable: f64 = self.kinds.values().map(|kind| kind.attainable).sum();
        let earned: f64 = self.kinds.values().map(|kind| kind.earned).sum();
        if attainable > 0.0 { earned / attainable } else { 1.0 }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "worth {:.3}, starts {}, evicted {}, looks {}, commits {}, harmed {:.1} s, broken {}",
            self.payoff_share(),
            self.starts,
            self.interrupted,
            self.polls,
            self.commits,
            self.over_target,
            self.violations.len()
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
                "  broken at {}: {:?} {}",
                violation.at.0 / 1_000,
                violation.guarantee,
                violation.subject
            )?;
        }
        Ok(())
    }
}
