//! The load of long-running tasks over time.

use gl_jobs::task;
use gl_model::time;

/// The mean CPU usage of a long-running task, as a share of its requested CPU.
const MEAN_USAGE: f64 = 0.45;
/// The amplitude of the oscillation of that usage, where tasks follow no common swing.
const USAGE_AMPLITUDE: f64 = 0.22;
/// The period of that oscillation, in seconds.
const USAGE_PERIOD_S: f64 = 14.0;
/// The tail latency of a long-running task at its mean load without interference, as a share of its
/// target.
const UNDISTURBED_TAIL: f64 = 0.4;
/// The number of different offsets that tasks have from the common swing.
const OFFSETS: u64 = 97;

/// A common swing of the load of long-running tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Swing {
    /// The amplitude, as a share of the mean load.
    pub share: f64,
    /// The period.
    pub period: time::Span,
    /// The largest offset of a task from the common position, as a share of the period.
    pub spread: f64,
}

/// Returns the share of its requested CPU that a long-running task uses. Without a common swing each
/// task oscillates with an offset of its own.
pub fn share(swing: Option<Swing>, task: &task::TaskId, now: time::Timestamp) -> f64 {
    let seconds = now.since(time::Timestamp(0)).as_seconds();
    let Some(swing) = swing else {
        let angle = seconds / USAGE_PERIOD_S * std::f64::consts::TAU;
        let offset = (task.phase.job.0 % OFFSETS) as f64 + f64::from(task.index) * 0.7;
        return MEAN_USAGE + USAGE_AMPLITUDE * (angle + offset).sin();
    };
    let number = task.phase.job.0.wrapping_add(u64::from(task.index) * 31) % OFFSETS;
    let offset = swing.spread * (2.0 * number as f64 / OFFSETS as f64 - 1.0);
    let turns = seconds / swing.period.as_seconds() + offset;
    MEAN_USAGE * (1.0 + swing.share * (turns * std::f64::consts::TAU).sin())
}

/// Returns the load of a long-running task relative to its mean.
pub fn activity(swing: Option<Swing>, task: &task::TaskId, now: time::Timestamp) -> f64 {
    share(swing, task, now) / MEAN_USAGE
}

/// Returns the tail latency without interference, as a share of the target. It follows a common
/// swing, and is constant otherwise.
pub fn undisturbed_tail(swing: Option<Swing>, activity: f64) -> f64 {
    UNDISTURBED_TAIL * swing.map_or(1.0, |_| activity)
}
