//! Guards against false statements that a queue does not exist, from a routing that is out of date.

use gl_jobs::queue;
use gl_model::time;

const APPLY_TIME: time::Span = time::Span::seconds(2);

fn can_deny(age: time::Span) -> bool {
    let read_at = time::Timestamp::default() + time::Span::seconds(100);
    queue::can_deny(Some(read_at), APPLY_TIME, read_at + age)
}

#[test]
fn queue_is_denied_while_a_change_need_not_be_in_force_yet() {
    assert!(can_deny(time::Span::ZERO));
    assert!(can_deny(time::Span::millis(1_999)));
}

#[test]
fn queue_is_not_denied_once_a_missed_change_would_be_in_force() {
    assert!(!can_deny(time::Span::seconds(2)));
    assert!(!can_deny(time::Span::seconds(14)));
}

#[test]
fn queue_is_not_denied_before_the_routing_was_read() {
    let now = time::Timestamp::default() + time::Span::seconds(100);
    assert!(!queue::can_deny(None, APPLY_TIME, now));
}
