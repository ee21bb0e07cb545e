//! Guards against placement passes that use up the processor time: while tasks wait, nearly every
//! reply of a worker triggers a pass, and the replies themselves would be handled too late.

use geraniumlatchd::jobs::placement_pause;
use gl_model::time;

/// Returns how many passes of the given duration fit into a second if they are requested
/// continuously.
fn passes_in_a_second(took: time::Span) -> u64 {
    time::Span::seconds(1).0 / (took + placement_pause::after(took)).0
}

/// Hundreds of workers reply a thousand times a second while tasks wait.
#[test]
fn continuous_passes_use_at_most_a_fifth_of_the_processor() {
    for micros in [10, 500, 3_000, 10_000] {
        let took = time::Span(micros);
        let busy = passes_in_a_second(took) * micros;
        assert!(busy <= 200_000, "{busy} us of a second at {micros} us a pass");
    }
}

#[test]
fn pause_is_at_least_5_ms_and_at_most_50_ms() {
    assert_eq!(placement_pause::after(time::Span(50)), time::Span::millis(5));
    assert_eq!(placement_pause::after(time::Span::seconds(2)), time::Span::millis(50));
}
