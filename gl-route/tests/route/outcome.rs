//! Tests of a call's outcome and of its next step after each attempt.
//!
//! They guard against a second run of an unrepeatable call, and against the outcome `NotRun` for
//! a call that may have run.

use gl_model::{call, time};
use gl_route::outcome::{AttemptOutcome, History, NextStep};

const COMPLETED: AttemptOutcome = AttemptOutcome::Completed {
    latency: time::Span::millis(1),
    load: None,
    is_server_error: false,
};

#[test]
fn call_that_reached_no_backend_server_did_not_run() {
    for repeat in [call::Repeat::Never, call::Repeat::Safe] {
        let mut history = History::default();
        for attempt in [AttemptOutcome::Unsent, AttemptOutcome::Refused { load: None }] {
            assert_eq!(history.next_step(attempt, repeat), NextStep::Retry(call::Outcome::NotRun));
        }
        assert_eq!(history.outcome(), call::Outcome::NotRun);
    }
}

#[test]
fn unrepeatable_call_that_may_have_run_is_not_retried() {
    for attempt in
        [AttemptOutcome::Interrupted, AttemptOutcome::TimedOut, AttemptOutcome::Cancelled]
    {
        let next = History::default().next_step(attempt, call::Repeat::Never);
        assert_eq!(next, NextStep::Stop(call::Outcome::Unknown), "{attempt:?}");
    }
}

#[test]
fn refusal_after_a_lost_response_leaves_the_outcome_unknown() {
    let mut history = History::default();
    history.next_step(AttemptOutcome::Interrupted, call::Repeat::Safe);
    let next = history.next_step(AttemptOutcome::Refused { load: None }, call::Repeat::Safe);
    assert_eq!(next, NextStep::Retry(call::Outcome::Unknown));
}

#[test]
fn complete_response_is_forwarded_after_a_failed_attempt() {
    let mut history = History::default();
    history.next_step(AttemptOutcome::Interrupted, call::Repeat::Safe);
    assert_eq!(history.next_step(COMPLETED, call::Repeat::Safe), NextStep::Forward);
}
