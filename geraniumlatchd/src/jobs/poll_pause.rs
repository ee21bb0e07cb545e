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
/// Delay of the process above which workers hold polls longer. Timers of a process with enough
/// processor time fire late by one or two milliseconds.
const SHORTAGE: time::Span = time::Span::millis(10);
/// Ratio of the longer wait to the delay in excess of [`SHORTAGE`], so that twice that delay extends
/// the wait by [`MAX_EXTRA_WAIT`].
const WAIT_RATIO: f64 = 100.0;
/// Longest extension; the owner limits the sum to what workers accept.
const MAX_EXTRA_WAIT: time::Span = time::Span::millis(1_000);
/// Weight of the newest measurement in the smoothed delay.
const DELAY_WEIGHT: f64 = 0.25;

/// Returns the shortest interval between two polls of a worker if timers of the process fire late
/// by `delay`.
pub fn interval(delay: time::Span) -> time::Span {
    delay.scaled(INTERVAL_RATIO).min(MAX_INTERVAL)
}

/// Returns the time by which workers without anything to report may hold polls longer if timers of
/// the process fire late by `delay`.
pub fn extra_wait(delay: time::Span) -> time::Span {
    time::Span(delay.0.saturating_sub(SHORTAGE.0)).scaled(WAIT_RATIO).min(MAX_EXTRA_WAIT)
}

/// Returns the smoothed delay of the process after a timer of length `timer` has fired after `took`.
pub fn smooth(delay: time::Span, timer: time::Span, took: time::Span) -> time::Span {
    let newest = time::Span(took.0.saturating_sub(timer.0));
    delay.scaled(1.0 - DELAY_WEIGHT) + newest.scaled(DELAY_WEIGHT)
}
