use gl_model::{call, time};
use gl_route::ending::{Ending, Next, Record};

const WHOLE: Ending = Ending::Whole { latency: time::Span::millis(1), load: None, failed: false };

#[test]
fn a_call_that_reached_no_backend_server_did_not_run() {
    for repeat in [call::Repeat::Never, call::Repeat::Safe] {
        let mut record = Record::default();
        for ending in [Ending::Unsent, Ending::Refused { load: None }] {
            assert_eq!(record.next(ending, repeat), Next::Again(call::Outcome::NotRun));
        }
        assert_eq!(record.outcome(), call::Outcome::NotRun);
    }
}

#[test]
fn an_unrepeatable_call_that_may_have_run_stops_at_once() {
    for ending in [Ending::Broken, Ending::TimedOut, Ending::Abandoned] {
        let next = Record::default().next(ending, call::Repeat::Never);
        assert_eq!(next, Next::Stop(call::Outcome::Unknown), "{ending:?}");
    }
}

#[test]
fn a_refusal_after_a_lost_answer_does_not_make_the_call_unrun() {
    let mut record = Record::default();
    record.next(Ending::Broken, call::Repeat::Safe);
    let next = record.next(Ending::Refused { load: None }, call::Repeat::Safe);
    assert_eq!(next, Next::Again(call::Outcome::Unknown));
}

#[test]
fn a_whole_answer_is_passed_on_whatever_came_before() {
    let mut record = Record::default();
    record.next(Ending::Broken, call::Repeat::Safe);
    assert_eq!(record.next(WHOLE, call::Repeat::Safe), Next::Answer);
}
