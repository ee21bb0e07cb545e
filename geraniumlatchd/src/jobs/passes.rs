//! How often the owner looks for places for waiting tasks.
//!
//! A pass goes over all waiting phases and all workers, and nearly every answer of a worker may
//! make room for one. Passes that follow each other at once would take the processor from the
//! answers themselves, so the pause after each one grows with the time that it took.

use gl_model::time;

/// The least pause. Short against the time that a task takes to start.
const LEAST: time::Span = time::Span::millis(5);
/// The longest pause: the interval of the systems that follow time, which look for places too.
const LONGEST: time::Span = time::Span::millis(50);
/// How many times as long as a pass the pause after it is, so that passes take a fifth of the
/// processor at most.
const REST: f64 = 4.0;

/// The pause after a pass that took so long.
pub fn pause(took: time::Span) -> time::Span {
    took.scaled(REST).clamp(LEAST, LONGEST)
}
