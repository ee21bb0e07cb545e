//! Jobs as clients submit them, and the states that clients can query.

use gl_model::{size, time};

/// A job: a set of phases of tasks, with the policy that applies to it.
#[gl_derive::domain]
pub struct Job {
    /// The queue that it was submitted to.
    pub queue: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// The description of the work, passed to the workers unchanged.
    pub spec: String,
    /// Its phases.
    pub phases: Vec<Phase>,
    /// The times at which its occurrences are due, for a job that runs repeatedly.
    #[serde(default)]
    pub schedule: Option<Schedule>,
    /// The policy of the queue at the time of acceptance.
    pub policy: Policy,
    /// Set if an advice service decides which workers may run the job's phases.
    #[serde(default)]
    pub advice: Option<AdvicePolicy>,
    /// The time of acceptance, by the time of day of the daemon that accepted it.
    pub submitted: time::Timestamp,
}

/// The service level of a queue's jobs.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Policy {
    /// The priority; zero is the highest.
    pub priority: u32,
    /// The number of failed runs of one task after which its job fails.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The factor by which the critical path is multiplied to obtain the latency objective.
    #[serde(rename = "slack")]
    pub slack_factor: f64,
    /// A constant part of the latency objective, added to the scaled critical path.
    #[serde(rename = "latency")]
    pub target_latency: time::Span,
}

/// The policy of a queue for which an advice service decides which workers may run a phase.
#[gl_derive::domain]
#[derive(Copy)]
pub struct AdvicePolicy {
    /// The time for which an answer of the advice service is valid.
    #[serde(rename = "valid")]
    pub validity: time::Span,
}

/// A group of equal tasks that may run in parallel.
#[gl_derive::domain]
#[derive(Default)]
#[serde(default)]
pub struct Phase {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub size: size::Size,
    /// The declared duration of a task.
    pub estimate: time::Span,
    /// The phases whose tasks must all be done before this phase starts.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints from which a later run can resume.
    #[serde(rename = "checkpoints")]
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which makes progress only while all its members run.
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    #[serde(rename = "one-rack")]
    pub rack_sensitive: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the tasks' data.
    pub data_rack: Option<String>,
    /// The maximum number of tasks of the phase on one worker.
    pub per_worker: Option<u32>,
    /// Whether several runs of one task may overlap.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The image that the tasks run. Tasks of the same image have a similar load profile.
    pub image: Option<String>,
    /// The upper limit on the tail latency of a long-running task.
    #[serde(rename = "tail")]
    pub tail_target: Option<time::Span>,
    /// Whether the tasks are best-effort: they use idle processors and reserve none.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// The maximum number of tasks that the scheduler may interrupt at the same time.
    #[serde(rename = "may-miss")]
    pub max_missing: Option<u32>,
}

impl Phase {
    /// Returns the capacity that a task reserves on its worker.
    pub const fn reserved(&self) -> size::Size {
        let cores = if self.best_effort { 0 } else { self.size.cores };
        size::Size { cores, ..self.size }
    }

    /// Returns the declared work of one of its tasks, in core-seconds.
    pub fn task_work(&self) -> f64 {
        self.size.cores as f64 / MILLICORES_PER_CORE * self.estimate.as_seconds()
    }

    /// Returns whether its tasks are short: they reserve processors, and release them soon.
    pub const fn is_short(&self) -> bool {
        !self.best_effort && !self.long_running
    }
}

const MILLICORES_PER_CORE: f64 = 1_000.0;

/// The schedule of a job that runs repeatedly.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Schedule {
    /// The time of day at which the first occurrence is due.
    pub first: time::Timestamp,
    /// The time between two occurrences.
    pub interval: time::Span,
    /// The number of occurrences.
    pub count: u32,
}

impl Job {
    /// Returns how many times the phases run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns the time of day at which an occurrence is due.
    pub fn due(&self, occurrence: u32) -> time::Timestamp {
        let after = |s: &Schedule| time::Span(s.interval.0.saturating_mul(u64::from(occurrence)));
        self.schedule.as_ref().map_or(self.submitted, |s| s.first + after(s))
    }

    /// Returns the length of the critical path from `phase` on: the longest chain of dependent
    /// phases, by their estimates.
    pub fn critical_path(&self, phase: u32) -> time::Span {
        self.critical_paths().get(phase as usize).copied().unwrap_or_default()
    }

    /// Returns the lengths of the critical paths from each phase on. Each phase is visited once for
    /// each phase that it depends on, as the number of chains can be exponential.
    pub fn critical_paths(&self) -> Vec<time::Span> {
        let mut paths: Vec<_> = self.phases.iter().map(|phase| phase.estimate).collect();
        let mut rest = vec![time::Span::ZERO; paths.len()];
        for (number, phase) in self.phases.iter().enumerate().rev() {
            paths[number] = phase.estimate + rest[number];
            for before in &phase.after {
                if let Some(longest) = rest.get_mut(*before as usize) {
                    *longest = paths[number].max(*longest);
                }
            }
        }
        paths
    }

    /// Returns the latency objective: the time after an occurrence is due within which it should be
    /// complete.
    pub fn objective(&self) -> time::Span {
        let chain = self.critical_paths().into_iter().max().unwrap_or_default();
        chain.scaled(self.policy.slack_factor) + self.policy.target_latency
    }

    /// Returns the declared work of an occurrence, in core-seconds.
    pub fn work(&self) -> f64 {
        self.phases.iter().map(|phase| f64::from(phase.count) * phase.task_work()).sum()
    }

    /// Returns the largest number of processors that a task needs, in thousandths of a core.
    pub fn widest(&self) -> u64 {
        self.phases.iter().map(|phase| phase.size.cores).max().unwrap_or_default()
    }

    /// Returns whether any of the tasks runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.phases.iter().any(|phase| phase.long_running)
    }

    /// Checks whether the job can be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the job has no task, if a phase depends on itself or on a later one, or
    /// if the job is larger than a daemon can keep.
    pub fn validate(&self) -> Result<(), Invalid> {
        if self.phases.is_empty() {
            return Err(Invalid::Empty);
        }
        if self.phases.len() > MAX_PHASES {
            return Err(Invalid::TooManyPhases { phases: self.phases.len() });
        }
        let width: u64 = self.phases.iter().map(|phase| u64::from(phase.count)).sum();
        let tasks = width.saturating_mul(u64::from(self.occurrences()));
        if tasks > MAX_TASKS {
            return Err(Invalid::TooManyTasks { tasks });
        }
        for (number, phase) in (0..).zip(&self.phases) {
            if phase.count == 0 {
                return Err(Invalid::NoTask { phase: number });
            }
            if let Some(&after) = phase.after.iter().find(|&&after| after >= number) {
                return Err(Invalid::Order { phase: number, after });
            }
        }
        Ok(())
    }
}

/// The largest number of phases of a job.
pub const MAX_PHASES: usize = 200;
/// The largest number of tasks of a job, over all phases and occurrences. The owner keeps some
/// hundred bytes for each, and has 160 MB on the smallest VMs.
pub const MAX_TASKS: u64 = 100_000;

/// The reason why a job cannot be accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Invalid {
    /// The job has no phase.
    #[error("the job has no phase; give at least one")]
    Empty,
    /// A phase has no task.
    #[error("phase {phase} has no task; give it a count of 1 or more")]
    NoTask {
        /// The number of the phase.
        phase: u32,
    },
    /// The job has too many phases.
    #[error("the job has {phases} phases; split it into jobs of at most {MAX_PHASES}")]
    TooManyPhases {
        /// The number of phases.
        phases: usize,
    },
    /// The job has too many tasks.
    #[error(
        "the job has {tasks} tasks in all occurrences; split it into jobs of at most {MAX_TASKS}"
    )]
    TooManyTasks {
        /// The number of tasks, saturating.
        tasks: u64,
    },
    /// A phase depends on one that does not precede it.
    #[error("phase {phase} depends on phase {after}; a phase may depend only on earlier phases")]
    Order {
        /// The number of the phase.
        phase: u32,
        /// The number of the phase that it depends on.
        after: u32,
    },
}

/// The state of a job as clients see it.
#[gl_derive::tag]
pub enum State {
    /// The job was accepted, and no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Complete,
    /// A task has failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the state is final.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}
