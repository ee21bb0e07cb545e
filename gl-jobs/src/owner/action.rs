//! What an owner decides, and what it says about its decisions.

use gl_model::time;

use crate::{job, task, worker};

/// What the owner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start order.
    Start {
        /// To whom.
        worker: worker::WorkerId,
        /// The order.
        order: worker::StartOrder,
    },
    /// Send a stop order.
    Stop {
        /// To whom.
        worker: worker::WorkerId,
        /// The task.
        task: task::TaskId,
        /// The attempt that is to stop; it never starts there if it isn't there yet.
        attempt: u64,
    },
    /// Set how much of its processors a run may use.
    Throttle {
        /// To whom.
        worker: worker::WorkerId,
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The share, in percent.
        percent: u32,
    },
    /// Look at a worker now, beside the look that may be waiting there.
    Poll {
        /// At whom.
        worker: worker::WorkerId,
    },
    /// Ask which workers the queue's policy allows to run a phase.
    RequestAdvice {
        /// The phase.
        phase: task::PhaseId,
        /// The workers to ask about.
        workers: Vec<worker::WorkerId>,
    },
    /// A change worth a line in the log.
    Note(Note),
}

/// A change of what the owner believes or has decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run was ordered.
    Ordered {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// Where.
        worker: worker::WorkerId,
        /// How long the phase had waited for a place.
        waited: time::Span,
        /// How long the run is declared to take.
        estimate: time::Span,
    },
    /// A run ended, or is known not to run.
    Ended {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// Where it ran.
        worker: worker::WorkerId,
        /// How it ended.
        cause: Cause,
    },
    /// A run is told to stop.
    Stopping {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// Where it runs.
        worker: worker::WorkerId,
        /// Why.
        reason: StopReason,
    },
    /// A job reached its final state, which is not stored yet.
    Decided {
        /// The job.
        job: task::JobId,
        /// The state.
        state: job::State,
        /// The time since it was accepted.
        age: time::Span,
        /// The latency objective.
        objective: time::Span,
    },
    /// The fill tasks of a worker were paced.
    Throttled {
        /// The worker.
        worker: worker::WorkerId,
        /// The new share, in percent.
        percent: u32,
        /// The highest tail latency of its lasting tasks, as a multiple of the target.
        tail_ratio: f64,
    },
    /// A worker gets no new tasks for a while.
    Suspected {
        /// The worker.
        worker: worker::WorkerId,
        /// Why.
        reason: &'static str,
        /// Until when.
        until: time::Timestamp,
    },
    /// A worker's incarnation is over.
    Replaced {
        /// The worker.
        worker: worker::WorkerId,
        /// How many runs were lost.
        runs: usize,
    },
    /// All that may run is known, so accepted jobs are worked on.
    Recovered {
        /// Workers that did not answer; what they may have run is over.
        missing: usize,
    },
}

/// How a run ended, as far as the owner knows.
#[gl_derive::tag]
pub enum Cause {
    /// It is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its worker's lease expired.
    Lapsed,
    /// Its gang ended.
    Broken,
    /// Its gang didn't gather.
    Alone,
    /// It never started.
    NeverRan,
    /// Its worker doesn't have it.
    Missing,
}

/// Why a run is stopped.
#[gl_derive::tag]
pub enum StopReason {
    /// The job ended.
    JobEnded,
    /// The start's answer was lost.
    #[serde(rename = "lost-answer")]
    StartUnconfirmed,
    /// The worker leaves.
    #[serde(rename = "vacate")]
    Drain,
    /// The run stands still.
    #[serde(rename = "stuck")]
    Stalled,
    /// It is paced down and can go on elsewhere.
    #[serde(rename = "harm")]
    Interference,
    /// It is done elsewhere.
    #[serde(rename = "superfluous")]
    AlreadyDone,
    /// No stored job asks for it.
    Unknown,
    /// A member of its gang can't run.
    #[serde(rename = "gang")]
    GangBroken,
    /// More urgent tasks need the room.
    Preempted,
}
