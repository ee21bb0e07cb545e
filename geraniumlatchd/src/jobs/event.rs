//! The structured log: one JSON object a line, for each decision that touches a request and each
//! change of what the daemon believes.

use std::fmt;

use gl_jobs::{job, owner, task};

/// What is logged.
#[derive(serde::Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        version: &'static str,
        clients: std::net::SocketAddr,
        mesh: std::net::SocketAddr,
        first_start: bool,
    },
    /// The process was asked to stop.
    Stopping { signal: &'static str },
    /// The settings were read again.
    Reloaded { changed: bool },
    /// The process ends.
    Stopped { open_requests: usize },
    /// Another version of the routing is in force.
    Routing { version: u64, queues: usize, was: Option<u64> },
    /// A dependency stopped answering.
    DependencyLost { dependency: &'static str, detail: String },
    /// A dependency answers again.
    DependencyBack { dependency: &'static str, after_ms: u64 },
    /// Another daemon owns the cell.
    Following { owner: &'a str, token: u64 },
    /// This daemon claimed the cell.
    Claimed { token: u64, jobs: usize, workers: usize, cause: &'static str },
    /// A claim didn't succeed.
    ClaimFailed { cause: &'static str, detail: String },
    /// This daemon gave the cell up.
    SteppedDown { token: u64, cause: &'static str },
    /// Whether new runs may be ordered has changed.
    Starts { allowed: bool, lease_left_ms: u64, cause: &'static str },
    /// A job is stored.
    Accepted { job: Text<task::JobId>, queue: &'a str, tasks: u32, took_ms: u64 },
    /// A job was not taken in.
    Refused { job: Text<task::JobId>, queue: &'a str, cause: &'static str, took_ms: u64 },
    /// It isn't known whether a job is stored.
    Unsettled { job: Text<task::JobId>, queue: &'a str, cause: &'static str, took_ms: u64 },
    /// A cancellation was asked for.
    Cancel { job: Text<task::JobId>, outcome: &'static str, took_ms: u64 },
    /// A state could not be told.
    StateUnknown { job: Text<task::JobId>, cause: &'static str, took_ms: u64 },
    /// A run was ordered.
    Ordered {
        task: Text<task::TaskId>,
        attempt: u64,
        worker: &'a str,
        waited_ms: u64,
        estimate_ms: u64,
    },
    /// A run ended.
    Over { task: Text<task::TaskId>, attempt: u64, worker: &'a str, cause: owner::Cause },
    /// A run is told to stop.
    Halting { task: Text<task::TaskId>, attempt: u64, worker: &'a str, reason: owner::StopReason },
    /// A job's final state was decided.
    Decided { job: Text<task::JobId>, state: job::State, age_ms: u64, objective_ms: u64 },
    /// A worker's fill tasks were paced.
    Paced { worker: &'a str, percent: u32, heat: f64 },
    /// A worker gets nothing new for a while.
    Suspected { worker: &'a str, reason: &'static str },
    /// A worker's incarnation is over.
    Replaced { worker: &'a str, runs_lost: usize },
    /// All that may be running is known.
    Recovered { missing: usize },
    /// A commit was not stored at once.
    CommitRetried { number: u64, detail: String },
    /// A row can't be read.
    Unreadable { row: &'a str, detail: String },
}

impl<'a> From<&'a owner::Note> for Event<'a> {
    fn from(note: &'a owner::Note) -> Self {
        use owner::Note;
        match note {
            Note::Ordered { task, attempt, worker, waited, estimate } => Self::Ordered {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                waited_ms: waited.as_millis(),
                estimate_ms: estimate.as_millis(),
            },
            Note::Ended { task, attempt, worker, cause } => Self::Over {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                cause: *cause,
            },
            Note::Stopping { task, attempt, worker, reason } => Self::Halting {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                reason: *reason,
            },
            Note::Decided { job, state, age, objective } => Self::Decided {
                job: Text(*job),
                state: *state,
                age_ms: age.as_millis(),
                objective_ms: objective.as_millis(),
            },
            Note::Throttled { worker, percent, tail_ratio } => {
                Self::Paced { worker: worker.as_str(), percent: *percent, heat: *tail_ratio }
            }
            Note::Suspected { worker, reason, .. } => {
                Self::Suspected { worker: worker.as_str(), reason }
            }
            Note::Replaced { worker, runs } => {
                Self::Replaced { worker: worker.as_str(), runs_lost: *runs }
            }
            Note::Recovered { missing } => Self::Recovered { missing: *missing },
        }
    }
}

/// A value that is logged as its text.
pub struct Text<T>(pub T);

impl<T: fmt::Display> serde::Serialize for Text<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Logs an event.
pub fn emit(event: &Event<'_>) {
    match serde_json::to_string(event) {
        Ok(line) => log::info!(target: super::lines::TARGET, "{line}"),
        Err(error) => log::error!("an event can't be written as JSON: {error}"),
    }
}
