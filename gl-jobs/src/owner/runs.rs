//! A run of a task on a worker.

use gl_model::{size, time};

use super::{StopReason, interference};
use crate::worker;

/// The pace of a run that isn't held back, in percent.
pub const NO_LIMIT: u32 = 100;
/// The progress of a task that is done, or of a lasting task that is at work, in percent.
pub const FULL_PERCENT: f64 = 100.0;
/// Milliseconds in a second, for tail latencies.
pub const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Its start order is on the way.
    Starting,
    /// The worker has it, since the given time at the latest.
    Running(time::Timestamp),
    /// It has been told to stop, or never to start.
    Stopping(Stopping),
}

/// How a stop goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stopping {
    /// Why.
    pub reason: StopReason,
    /// When the order was last sent.
    pub sent: time::Timestamp,
    /// When the worker confirmed it; from then on the attempt can't start there any more.
    pub confirmed: Option<time::Timestamp>,
    /// Whether the start order may still be on its way.
    pub was_starting: bool,
}

/// A run of a task. As long as it is in the table its room is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Where.
    pub worker: worker::WorkerId,
    /// Its attempt number.
    pub attempt: u64,
    /// The worker refuses the start order after this time of its clock.
    pub deadline: time::Timestamp,
    /// The room that it takes.
    pub reserved: size::Size,
    /// The processors that it uses at most, in thousandths of a core.
    pub cores: u64,
    /// What kind of task it is.
    pub kind: Kind,
    /// What it runs, if that says how it behaves beside others.
    pub image: Option<interference::ImageId>,
    /// Where it stands.
    pub stage: Stage,
    /// When it was ordered or first seen.
    pub since: time::Timestamp,
    /// How far it has come, in percent.
    pub progress: f64,
    /// When that last changed.
    pub progressed_at: time::Timestamp,
    /// The processors that it uses, or its tail latency; see [`worker::Running::load`].
    pub load: f64,
    /// Its pace as the worker last confirmed it, in percent.
    pub cpu_limit: u32,
    /// The pace that it should have, in percent.
    pub wanted_limit: u32,
    /// Whether it was ever ordered another pace.
    pub was_throttled: bool,
    /// The tail latency that it has to stay below, in milliseconds.
    pub tail_target: Option<f64>,
    /// Its newest checkpoint.
    pub checkpoint: String,
    /// A stop may end it without losing much.
    pub checkpointing: bool,
}

/// What kind of task a run is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It runs to its end.
    Batch,
    /// It runs to its end on processors that others leave idle.
    BestEffort,
    /// It runs until its job is cancelled.
    LongRunning,
}

impl Run {
    /// Whether the worker has it and it wasn't told to stop.
    pub const fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }

    /// Whether it was told to stop.
    pub const fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping(_))
    }
}
