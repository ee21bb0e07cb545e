//! Limits how often the owner polls a worker while the owner is short of processor time.
//!
//! A worker replies to a poll as soon as a run ends, so that in a busy cell there is nearly one poll
//! for each run. If the next poll is sent a little later, one reply reports all runs that have ended
//! meanwhile. This delays the reports, so it is done only while the process is behind with its
//! work: otherwise the lease, the list of workers and orders would be late by more.

use gl_model::time;

/// Ratio of the interval between two polls of a worker to the delay of the process.
const INTERVAL_RATIO: f64 = 6.0;
/// Longest interval: that of polls of a worker which needs attention.
const MAX_INTERVAL: time::Span = time::Span::millis(250);
/// Weight of the newest measurement in the smoothed delay.
const DELAY_WEIGHT: f64 = 0.25;

/// Returns the shortest interval between two polls of a worker if timers of the process fire late
/// by `delay`.
pub fn interval(delay: time::Span) -> time::Span {
    delay.scaled(INTERVAL_RATIO).min(MAX_INTERVAL)
}

/// Returns the smoothed delay of the process after a timer of length `timer` has fired after `took`.
pub fn smooth(delay: time::Span, timer: time::Span, took: time::Span) -> time::Span {
    let newest = time::Span(took.0.saturating_sub(timer.0));
    delay.scaled(1.0 - DELAY_WEIGHT) + newest.scaled(DELAY_WEIGHT)
}
