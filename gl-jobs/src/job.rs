//! What clients submit, and what they are shown of it.

use gl_model::{size, time};

/// A job: what its tasks run, in which order, and what is promised for it.
#[gl_derive::domain]
pub struct Job {
    /// The queue that it was submitted to.
    pub queue: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// What its tasks run, passed on as it came.
    pub spec: String,
    /// Its phases.
    pub phases: Vec<Phase>,
    /// When its occurrences are due, if it runs at set times.
    #[serde(default)]
    pub schedule: Option<Schedule>,
    /// The queue's policy when it was accepted.
    pub policy: Policy,
    /// Set if another service decides which workers may run the job's phases.
    #[serde(default)]
    pub advice: Option<AdvicePolicy>,
    /// When it was accepted, by the time of day of the daemon that accepted it.
    pub submitted: time::Timestamp,
}

/// What a queue's jobs are promised.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Policy {
    /// Zero goes first.
    pub priority: u32,
    /// How many runs of a task may fail before its job fails.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The latency objective, as a multiple of the longest chain of phases.
    #[serde(rename = "slack")]
    pub slack_factor: f64,
    /// What is added to that.
    #[serde(rename = "latency")]
    pub target_latency: time::Span,
}

/// That another service decides which workers may run a phase.
#[gl_derive::domain]
#[derive(Copy)]
pub struct AdvicePolicy {
    /// How long its answers are valid.
    #[serde(rename = "valid")]
    pub validity: time::Span,
}

/// Tasks of one kind that may run at the same time.
#[gl_derive::domain]
#[derive(Default)]
#[serde(default)]
pub struct Phase {
    /// How many tasks.
    pub count: u32,
    /// What each task needs.
    pub size: size::Size,
    /// About how long a task takes, as declared.
    pub estimate: time::Span,
    /// Phases whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints that a later run can resume from.
    #[serde(rename = "checkpoints")]
    pub checkpointing: bool,
    /// Whether the tasks only work all together.
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    #[serde(rename = "one-rack")]
    pub rack_sensitive: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack where the tasks' data is.
    pub data_rack: Option<String>,
    /// How many tasks of the phase may share a worker.
    pub per_worker: Option<u32>,
    /// Whether several runs of a task may overlap.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// The tail latency that a lasting task has to stay below.
    #[serde(rename = "tail")]
    pub tail_target: Option<time::Span>,
    /// Whether the tasks use processors that other tasks leave idle, and reserve none.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many of the tasks the scheduler may take away at the same time.
    #[serde(rename = "may-miss")]
    pub max_missing: Option<u32>,
}

impl Phase {
    /// The room that a task takes from its worker.
    pub const fn reserved(&self) -> size::Size {
        let cores = if self.best_effort { 0 } else { self.size.cores };
        size::Size { cores, ..self.size }
    }
}

/// Set times at which a job's phases run.
#[gl_derive::domain]
#[derive(Copy)]
pub struct Schedule {
    /// When the first occurrence is due, by the time of day.
    pub first: time::Timestamp,
    /// The time between occurrences.
    pub interval: time::Span,
    /// How many occurrences there are.
    pub count: u32,
}

impl Job {
    /// How many times the phases run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// When an occurrence is due by the time of day.
    pub fn due(&self, occurrence: u32) -> time::Timestamp {
        let after = |s: &Schedule| time::Span(s.interval.0.saturating_mul(u64::from(occurrence)));
        self.schedule.as_ref().map_or(self.submitted, |s| s.first + after(s))
    }

    /// The longest chain of estimates through the phases from `phase` on.
    pub fn critical_path(&self, phase: u32) -> time::Span {
        let own = self.phases.get(phase as usize).map_or(time::Span::ZERO, |p| p.estimate);
        let later = (phase + 1..).zip(self.phases.iter().skip(phase as usize + 1));
        let next = later.filter(|(_, p)| p.after.contains(&phase));
        own + next.map(|(n, _)| self.critical_path(n)).max().unwrap_or_default()
    }

    /// The latency objective: how long after its due time an occurrence should be complete.
    pub fn objective(&self) -> time::Span {
        let first = (0..).zip(&self.phases).filter(|(_, p)| p.after.is_empty());
        let chain = first.map(|(n, _)| self.critical_path(n)).max().unwrap_or_default();
        chain.scaled(self.policy.slack_factor) + self.policy.target_latency
    }

    /// Whether any of its tasks run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.phases.iter().any(|phase| phase.long_running)
    }

    /// Why the job can't be taken in, if it can't.
    ///
    /// # Errors
    ///
    /// If it has no task, or a phase waits for itself or for a later one.
    pub fn validate(&self) -> Result<(), Invalid> {
        if self.phases.is_empty() {
            return Err(Invalid::Empty);
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

/// Why a job can't be taken in.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Invalid {
    /// It has no phase.
    #[error("the job has no phase; give at least one")]
    Empty,
    /// A phase has no task.
    #[error("phase {phase} has no task; give it a count of 1 or more")]
    NoTask {
        /// The phase's number.
        phase: u32,
    },
    /// A phase waits for one that isn't before it.
    #[error("phase {phase} waits for phase {after}; let it wait for earlier phases only")]
    Order {
        /// The phase's number.
        phase: u32,
        /// What it waits for.
        after: u32,
    },
}

/// What a client is shown of a job.
#[gl_derive::tag]
pub enum State {
    /// Accepted, no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Complete,
    /// A task failed too often.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

impl State {
    /// Whether the state never changes again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}
