//! The owner's table of runs.

use gl_model::{size, time};

use crate::owner::{Orders, Owner, StopReason, interference};
use crate::{job, task, worker};

/// The CPU limit of a run that is not throttled, in percent.
pub const NO_LIMIT: u32 = 100;
/// One hundred percent: the progress of a task that is done, or of a long-running task that is
/// ready to serve.
pub const FULL_PERCENT: f64 = 100.0;
pub const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The stage of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The start order was sent, and the run has not been confirmed.
    Starting,
    /// The worker has the run, since this time at the latest: it has reported the run or confirmed
    /// its start.
    Running(time::Timestamp),
    /// The run was ordered to stop, or never to start.
    Stopping(Stopping),
}

/// The state of a stop order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stopping {
    /// The reason for the stop.
    pub reason: StopReason,
    /// The time at which the order was last sent.
    pub sent: time::Timestamp,
    /// The time at which the worker confirmed it. From then on the attempt cannot start there any
    /// more.
    pub confirmed: Option<time::Timestamp>,
    /// Whether the start order may still be in transit.
    pub was_starting: bool,
}

/// A run of a task. Its capacity is reserved for as long as it is in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The worker that it was ordered on.
    pub worker: worker::WorkerId,
    /// The attempt number.
    pub attempt: u64,
    /// The deadline of the start order, by the worker's clock. After that time the worker refuses
    /// the order.
    pub deadline: time::Timestamp,
    /// The start orders that were sent.
    pub orders: Orders,
    /// The capacity that it reserves.
    pub reserved: size::Size,
    /// The maximum number of processors that it uses, in thousandths of a core.
    pub cores: u64,
    /// The kind of the task.
    pub kind: Kind,
    /// The image, by which its interference with other tasks is predicted.
    pub image: Option<interference::ImageId>,
    /// The stage.
    pub stage: Stage,
    /// The time at which it was ordered or first reported.
    pub since: time::Timestamp,
    /// The progress, in percent.
    pub progress: f64,
    /// The time at which the progress last changed.
    pub progressed_at: time::Timestamp,
    /// The time of the last poll's reply that reported it.
    pub reported_at: time::Timestamp,
    /// The processors in use or the tail latency; see [`worker::Running::load`].
    pub load: f64,
    /// The CPU limit that the worker last confirmed, in percent.
    pub cpu_limit: u32,
    /// The CPU limit that the owner has decided on, in percent.
    pub wanted_limit: u32,
    /// Whether a CPU limit was ever ordered.
    pub was_throttled: bool,
    /// The upper limit on its tail latency, in milliseconds.
    pub tail_target: Option<f64>,
    /// The newest checkpoint.
    pub checkpoint: String,
    /// Whether the task saves checkpoints, so that a stop loses little work.
    pub checkpointing: bool,
    /// The declared duration.
    pub estimate: time::Span,
    /// Whether its running time does not tell its duration: it was started from a checkpoint, or by
    /// an earlier owner.
    pub is_partial: bool,
    /// Whether it may overlap with another run of its task.
    pub speculative: bool,
    /// The number of the last window in which it was over its target beside best-effort tasks.
    pub lost_window: Option<u64>,
    /// The tracker of its tail ratio, if it is a long-running task and forecasts are used.
    pub tracker: Option<Box<gl_forecast::Tracker>>,
}

/// The kinds of tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Runs to completion on reserved processors.
    Batch,
    /// Runs to completion on processors that other tasks leave idle.
    BestEffort,
    /// Runs until its job is cancelled.
    LongRunning,
}

impl Run {
    /// Returns whether the worker has the run and no stop was ordered.
    pub const fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }

    /// Returns the time at which the run had started at the latest, or at which it was ordered if
    /// its start is not confirmed.
    pub const fn started_at(&self) -> time::Timestamp {
        match self.stage {
            Stage::Running(at) => at,
            Stage::Starting | Stage::Stopping(_) => self.since,
        }
    }

    /// Returns whether the worker has confirmed the start.
    pub const fn was_confirmed(&self) -> bool {
        match self.stage {
            Stage::Running(_) => true,
            Stage::Starting => false,
            Stage::Stopping(stop) => !stop.was_starting,
        }
    }

    /// Returns whether the worker has reported the run at least `window` after its start.
    pub fn has_survived(&self, window: time::Span) -> bool {
        self.reported_at.since(self.started_at()) >= window
    }

    /// Returns the tail latency divided by its target; zero if the run is not a long-running one that
    /// is ready to serve.
    pub fn tail_ratio(&self) -> f64 {
        let is_ready = self.is_running() && self.progress >= FULL_PERCENT;
        match self.tail_target {
            Some(tail) if is_ready && tail > 0.0 => self.load / tail,
            _ => 0.0,
        }
    }

    /// Returns whether the run was ordered to stop.
    pub const fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping(_))
    }
}

impl Owner {
    /// Adds a run, which reserves its capacity.
    pub(in crate::owner) fn add_run(&mut self, task: task::TaskId, run: Run) {
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.add(task, &run);
        }
        self.runs.insert(task, run);
    }
}

/// The properties of a run that do not follow from its phase.
pub(in crate::owner) struct RunOrder {
    pub worker: worker::WorkerId,
    pub attempt: u64,
    pub deadline: time::Timestamp,
    pub stage: Stage,
    pub image: Option<interference::ImageId>,
}

/// Creates a run from its phase and the properties that do not follow from it.
pub(in crate::owner) fn make_run(spec: &job::Phase, order: RunOrder, now: time::Timestamp) -> Run {
    let kind = if spec.long_running {
        Kind::LongRunning
    } else if spec.best_effort {
        Kind::BestEffort
    } else {
        Kind::Batch
    };
    Run {
        worker: order.worker,
        attempt: order.attempt,
        deadline: order.deadline,
        orders: Orders::default(),
        reserved: spec.reserved(),
        cores: spec.size.cores,
        kind,
        image: order.image,
        stage: order.stage,
        since: now,
        progress: 0.0,
        progressed_at: now,
        reported_at: time::Timestamp::default(),
        load: 0.0,
        cpu_limit: NO_LIMIT,
        wanted_limit: NO_LIMIT,
        was_throttled: false,
        tail_target: spec.tail_target.map(|tail| tail.as_seconds() * MILLIS_PER_SECOND),
        checkpoint: String::new(),
        checkpointing: spec.checkpointing,
        estimate: spec.estimate,
        is_partial: false,
        speculative: spec.speculative,
        lost_window: None,
        tracker: None,
    }
}
