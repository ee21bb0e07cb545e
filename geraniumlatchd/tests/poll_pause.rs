//! Guards against an owner that is short of processor time and polls its workers the more often the
//! more runs end, until its list of workers is too old to start anything.

use geraniumlatchd::jobs::poll_pause;
use gl_model::time;

/// The processor time of one poll, its reply included.
const POLL_COST: time::Span = time::Span(90);
const WORKERS: f64 = 610.0;
/// The runs that end per second on one worker.
const ENDS: f64 = 8.0;
const TIMER: time::Span = time::Span::millis(50);

/// Returns the share of the processor that polls use if timers fire late by `delay`: each run that
/// ends answers the poll in flight, and the next one is sent after the interval.
fn load(delay: time::Span) -> f64 {
    let interval = poll_pause::interval(delay).as_seconds();
    WORKERS / (interval + 1.0 / ENDS) * POLL_COST.as_seconds()
}

#[test]
fn late_timers_halve_the_load_of_polls() {
    assert!(load(time::Span::millis(30)) < load(time::Span::ZERO) / 2.0);
}

#[test]
fn polls_follow_at_once_while_timers_are_on_time() {
    assert_eq!(poll_pause::interval(time::Span::ZERO), time::Span::ZERO);
    assert!(poll_pause::interval(time::Span::millis(1)) < time::Span::millis(10));
}

#[test]
fn interval_is_at_most_that_of_polls_which_need_attention() {
    assert_eq!(poll_pause::interval(time::Span::seconds(9)), time::Span::millis(250));
}

#[test]
fn delay_is_smoothed_and_returns_to_zero() {
    let once = poll_pause::smooth(time::Span::ZERO, TIMER, time::Span::millis(90));
    assert_eq!(once, time::Span::millis(10));
    let later = (0..20).fold(once, |delay, _| poll_pause::smooth(delay, TIMER, TIMER));
    assert!(later < time::Span::millis(1), "{later:?}");
}
