//! Passes over the waiting tasks leave the processor to the workers' answers.

use geraniumlatchd::jobs::passes;
use gl_model::time;

/// Passes within a second that each take so long, if they are asked for all the time.
fn passes_in_a_second(took: time::Span) -> u64 {
    time::Span::seconds(1).0 / (took + passes::pause(took)).0
}

/// The pattern: hundreds of workers that answer a thousand times a second while tasks wait.
#[test]
fn passes_take_a_fifth_of_the_processor_at_most() {
    for micros in [10, 500, 3_000, 10_000] {
        let took = time::Span(micros);
        let busy = passes_in_a_second(took) * micros;
        assert!(busy <= 200_000, "{busy} us of a second at {micros} us a pass");
    }
}

#[test]
fn a_task_waits_for_the_next_pass_for_milliseconds_only() {
    assert_eq!(passes::pause(time::Span(50)), time::Span::millis(5));
    assert_eq!(passes::pause(time::Span::seconds(2)), time::Span::millis(50));
}
