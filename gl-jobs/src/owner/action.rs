//! The decisions of an owner, and the events that it reports for the log.

use gl_model::time;

use crate::owner::{
    Basis, Conclusion, Impact, LifetimeStart, MissedEnds, Shortage, Successor, Waits,
};
use crate::{job, task, worker};

/// A decision that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start order.
    Start {
        /// The recipient.
        worker: worker::WorkerId,
        /// The order.
        order: worker::StartOrder,
    },
    /// Send a stop order.
    Stop {
        /// The recipient.
        worker: worker::WorkerId,
        /// The task.
        task: task::TaskId,
        /// The attempt to stop. If it has not started on the worker yet, it never starts there.
        attempt: u64,
    },
    /// Set the CPU limit of a run.
    Throttle {
        /// The recipient.
        worker: worker::WorkerId,
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The CPU limit, in percent of the run's processors.
        percent: u32,
    },
    /// Poll a worker at once, in addition to the long poll that may be pending there.
    Poll {
        /// The worker to poll.
        worker: worker::WorkerId,
    },
    /// Ask the advice service which workers the queue's policy allows to run a phase.
    RequestAdvice {
        /// The phase.
        phase: task::PhaseId,
        /// The candidate workers.
        workers: Vec<worker::WorkerId>,
    },
    /// An event to be logged.
    Note(Note),
}

/// A change of the owner's state, or a decision, that is worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run was ordered.
    Ordered {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The worker that received the order.
        worker: worker::WorkerId,
        /// The time for which the phase had waited for capacity.
        waited: time::Span,
        /// The declared duration of the run.
        estimate: time::Span,
        /// The processors that the task declares, in thousandths of a core.
        cores: u64,
    },
    /// The start of a run was ordered again on the same worker, as the reply to the last order was lost.
    OrderedAgain {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The worker that received the order.
        worker: worker::WorkerId,
    },
    /// A task is started again elsewhere while this run continues, as its worker is slow or silent.
    Overtaken {
        /// The task.
        task: task::TaskId,
        /// The attempt of the run that continues.
        attempt: u64,
        /// The worker that it runs on.
        worker: worker::WorkerId,
    },
    /// A run ended, or is known never to have started.
    Ended {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The worker that it ran on.
        worker: worker::WorkerId,
        /// The cause of the end.
        cause: Cause,
        /// Why it counts as gone; `None` if the worker has reported the end.
        conclusion: Option<Conclusion>,
    },
    /// An order that got no answer counts as one that cannot be carried out any more.
    OrderExpired {
        /// The task.
        task: task::TaskId,
        /// The attempt; zero if an earlier owner has sent the order.
        attempt: u64,
        /// The worker that it was sent to.
        worker: worker::WorkerId,
        /// The time that it was awaited for.
        bound: time::Span,
    },
    /// A worker reports a run that this owner had taken for gone.
    Outlived {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The worker.
        worker: worker::WorkerId,
        /// The outcome of the run; `None` if it is running.
        outcome: Option<worker::Outcome>,
        /// The cause that was assumed for its end.
        cause: Cause,
        /// What that followed from.
        basis: Basis,
        /// The time since it was taken for gone.
        gone: time::Span,
        /// If that was the end of its leases: by how much the worker's clock is past it.
        lease_over: Option<time::Span>,
        /// The attempt that is recorded of its task, if there is one.
        other_attempt: Option<u64>,
    },
    /// More such runs were reported in the last second than are logged, or more were taken for gone in the
    /// last minute than are remembered.
    OutlivedOmitted {
        /// The number of those that were reported and not logged.
        runs: usize,
        /// The number of those that were taken for gone and are not remembered.
        forgotten: usize,
    },
    /// A job has failed because a row of its progress is longer than the store takes.
    Unstorable {
        /// The job.
        job: task::JobId,
        /// The page of its progress.
        page: u32,
    },
    /// A run was ordered to stop.
    Stopping {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The worker that it runs on.
        worker: worker::WorkerId,
        /// The reason for the stop.
        reason: StopReason,
    },
    /// A worker reports a run of a task of which another run is recorded. The reported one is stopped.
    SecondRun {
        /// The task.
        task: task::TaskId,
        /// The attempt of the reported run.
        attempt: u64,
        /// The fencing token of the owner that ordered it.
        token: u64,
        /// The worker that reports it.
        worker: worker::WorkerId,
        /// The attempt of the recorded run.
        other_attempt: u64,
        /// The fencing token of the owner that ordered that one.
        other_token: u64,
        /// The worker that it was ordered on.
        other_worker: worker::WorkerId,
        /// The time since it was ordered or first reported.
        other_age: time::Span,
    },
    /// More such runs were reported in the last second than are logged.
    SecondRunsOmitted {
        /// The number of those that were not logged.
        runs: usize,
    },
    /// The final state of a job was decided. It is not stored yet, unless the job was cancelled.
    Decided {
        /// The job.
        job: task::JobId,
        /// The state.
        state: job::State,
        /// The time since the job was accepted.
        age: time::Span,
        /// The latency objective.
        objective: time::Span,
        /// The declared work of an occurrence, in core-seconds.
        work: f64,
        /// The share of the queue's recent jobs that declared less work; `None` if too few are known.
        rank: Option<f64>,
        /// The time that its short tasks have waited for placement, summed over its phases.
        waits: Waits,
    },
    /// Short tasks of a service find no room.
    ShortTasksWait(Shortage),
    /// The CPU limits of a worker's best-effort tasks were changed, or such tasks were stopped in
    /// order to move them.
    Throttled {
        /// The worker.
        worker: worker::WorkerId,
        /// The lowest new limit, in percent; zero if a task was stopped.
        percent: u32,
        /// The highest tail ratio of its long-running tasks: tail latency divided by its target.
        tail_ratio: f64,
    },
    /// A worker is suspect, and receives no new tasks for some time.
    Suspected {
        /// The worker.
        worker: worker::WorkerId,
        /// The reason, as text for the log.
        reason: &'static str,
        /// The time until which it receives no new tasks; `None` if that is until it replies.
        until: Option<time::Timestamp>,
    },
    /// A worker has crashed soon after it started a task. The task is started apart from others
    /// until it has run for longer.
    Implicated {
        /// The task.
        task: task::TaskId,
        /// The attempt.
        attempt: u64,
        /// The worker that has crashed.
        worker: worker::WorkerId,
        /// The number of workers that have crashed soon after they started the task.
        crashes: usize,
    },
    /// A task has crashed too many workers, so its job has failed.
    GivenUp {
        /// The task.
        task: task::TaskId,
        /// The number of workers that have crashed.
        crashes: usize,
    },
    /// An incarnation of a worker has ended.
    Replaced {
        /// The worker.
        worker: worker::WorkerId,
        /// The number of runs that were lost; `None` if it has not told this owner what it runs.
        runs: Option<usize>,
        /// The incarnation that has ended.
        incarnation: worker::Incarnation,
        /// The time since its last reply; `None` if it has not replied to this owner.
        silent: Option<time::Span>,
        /// What shows that it has ended.
        successor: Successor,
    },
    /// An incarnation of a worker has first replied to a call of its own.
    LifetimeBegan(LifetimeStart),
    /// A worker lists an end, and has not listed those before it.
    EndsMissed(MissedEnds),
    /// More of both came in the last second than are logged.
    LifetimesOmitted {
        /// The number of those that were not logged.
        reports: usize,
    },
    /// All leases of a worker are taken to have expired, so that what ran there can start elsewhere.
    LeasesExpired {
        /// The worker.
        worker: worker::WorkerId,
        /// Its failure domain.
        domain: String,
        /// The number of its runs, which have ended; `None` in a recovery, if it has not told which
        /// tasks it runs.
        runs: Option<usize>,
        /// The time since its last reply; `None` if it has not replied to this owner.
        silent: Option<time::Span>,
        /// What the end of the leases follows from.
        bound: LeaseBound,
        /// The time since the reading of the worker's clock from which on the lease counts; since the
        /// takeover in a recovery.
        reading: time::Span,
        /// The length of the lease from that reading; in a recovery the whole wait.
        lease: time::Span,
        /// What was added to it for the drift and granularity of clocks.
        margin: time::Span,
    },
    /// Operators have emptied a failure domain: no task is started there.
    Emptied {
        /// The failure domain.
        domain: String,
        /// The number of its workers.
        workers: usize,
        /// The number of runs that continue there.
        runs: usize,
    },
    /// Tasks may be started in a failure domain again.
    Restored {
        /// The failure domain.
        domain: String,
        /// The number of its workers.
        workers: usize,
        /// The number of runs that are left there.
        runs: usize,
    },
    /// The cost of interference between best-effort and long-running tasks since the last such note.
    Impact {
        /// The service.
        service: String,
        /// The counts.
        impact: Impact,
        /// The time since the last such note.
        span: time::Span,
    },
    /// The recovery takes long, because workers that may run tasks of earlier owners' jobs have not
    /// replied.
    Recovering {
        /// The number of workers that have not replied.
        missing: usize,
        /// The first of them.
        workers: Vec<worker::WorkerId>,
        /// The time until all leases of earlier owners have expired.
        left: time::Span,
    },
    /// The recovery is complete: all runs that may exist are known, so the tasks of earlier owners'
    /// jobs can be started.
    Recovered {
        /// The number of workers that did not reply; their leases have expired, so their runs have
        /// ended.
        missing: usize,
        /// The time since the stored state was read.
        took: time::Span,
    },
}

/// What the end of a worker's leases follows from.
#[gl_derive::tag]
pub enum LeaseBound {
    /// The last lease or deadline that this owner has sent.
    Own,
    /// The longest time for which leases of earlier owners may last.
    Inherited,
    /// The longest lease that the next incarnation may have got by a call to this one.
    Carried,
}

/// The cause of the end of a run, as far as the owner can tell.
#[gl_derive::tag]
pub enum Cause {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The run never started.
    NeverRan,
    /// The worker no longer reports the run.
    Missing,
}

/// The reason for stopping a run.
#[gl_derive::tag]
pub enum StopReason {
    /// The job has ended.
    JobEnded,
    /// The reply to the start order was lost, so it is unknown whether the run started.
    #[serde(rename = "lost-answer")]
    StartUnconfirmed,
    /// The worker is draining.
    #[serde(rename = "vacate")]
    Drain,
    /// The run makes no progress.
    #[serde(rename = "stuck")]
    Stalled,
    /// The run interferes with a long-running task, and can continue on another worker or was
    /// paused for too long.
    #[serde(rename = "harm")]
    Interference,
    /// The task was completed by another run.
    #[serde(rename = "superfluous")]
    AlreadyDone,
    /// No stored job has this task, or the owner has recorded another run of it.
    Unknown,
    /// Another member of the gang cannot run.
    #[serde(rename = "gang")]
    GangBroken,
    /// Tasks of higher priority need the capacity.
    Preempted,
}
