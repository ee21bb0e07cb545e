use gl_model::{call, time};
use gl_route::outcome::{AttemptOutcome, History, NextStep};

const WHOLE: AttemptOutcome = AttemptOutcome::Completed {
    latency: time::Span::millis(1),
    load: None,
    is_server_error: false,
};

#[test]
fn a_call_that_reached_no_backend_server_did_not_run() {
    for repeat in [call::Repeat::Never, call::Repeat::Safe] {
        let mut record = History::default();
        for ending in [AttemptOutcome::Unsent, AttemptOutcome::Refused { load: None }] {
            assert_eq!(record.next_step(ending, repeat), NextStep::Retry(call::Outcome::NotRun));
        }
        assert_eq!(record.outcome(), call::Outcome::NotRun);
    }
}

#[test]
fn an_unrepeatable_call_that_may_have_run_stops_at_once() {
    for ending in [AttemptOutcome::Interrupted, AttemptOutcome::TimedOut, AttemptOutcome::Cancelled]
    {
        let next = History::default().next_step(ending, call::Repeat::Never);
        assert_eq!(next, NextStep::Stop(call::Outcome::Unknown), "{ending:?}");
    }
}

#[test]
fn a_refusal_after_a_lost_answer_does_not_make_the_call_unrun() {
    let mut record = History::default();
    record.next_step(AttemptOutcome::Interrupted, call::Repeat::Safe);
    let next = record.next_step(AttemptOutcome::Refused { load: None }, call::Repeat::Safe);
    assert_eq!(next, NextStep::Retry(call::Outcome::Unknown));
}

#[test]
fn a_whole_answer_is_passed_on_whatever_came_before() {
    let mut record = History::default();
    record.next_step(AttemptOutcome::Interrupted, call::Repeat::Safe);
    assert_eq!(record.next_step(WHOLE, call::Repeat::Safe), NextStep::Forward);
}
