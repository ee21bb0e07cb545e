//! Limits how often the owner places waiting tasks.
//!
//! A placement pass covers all waiting phases and all workers, and nearly every reply of a worker
//! may free capacity and so be a reason for a pass. Passes without pauses would starve the handling
//! of these replies of processor time, so the pause after each pass is proportional to the pass's
//! duration, within bounds.

use gl_model::time;

/// Shortest pause. It is short compared with the time that a task takes to start.
const MIN_PAUSE: time::Span = time::Span::millis(5);
/// Longest pause: the interval of the owner's ticks, which place tasks too.
const MAX_PAUSE: time::Span = time::Span::millis(50);
/// Ratio of a pause to the duration of the pass before it, so that passes take a fifth of the
/// processor time at most, unless [`MAX_PAUSE`] shortens the pause.
const PAUSE_RATIO: f64 = 4.0;

/// Returns the pause after a pass of the given duration.
pub fn after(took: time::Span) -> time::Span {
    took.scaled(PAUSE_RATIO).clamp(MIN_PAUSE, MAX_PAUSE)
}
