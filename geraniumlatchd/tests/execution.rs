//! Guards against stop orders that wait behind thousands of start orders and polls, and against a log
//! that repeats that connections are short.

use geraniumlatchd::jobs::{action_queue, ordering, poll_pause};
use gl_fleet::budget;
use gl_jobs::{owner, task, worker};
use gl_model::time;

fn phase() -> task::PhaseId {
    task::PhaseId { job: task::JobId(1), occurrence: 0, phase: 0 }
}

fn worker() -> worker::WorkerId {
    worker::WorkerId("w-1".to_owned())
}

#[test]
fn stop_orders_come_before_starts_and_polls() {
    let order = worker::StartOrder {
        task: task::TaskId { phase: phase(), index: 0 },
        attempt: 1,
        spec: String::new(),
        checkpoint: String::new(),
        deadline: time::Timestamp(1),
        ticket: None,
    };
    let task = order.task;
    let poll = owner::Action::Poll { worker: worker() };
    let start = owner::Action::Start { worker: worker(), order };
    let stop = owner::Action::Stop { worker: worker(), task, attempt: 2 };
    let mut queue = action_queue::ActionQueue::default();
    for action in [&poll, &start, &stop] {
        queue.push(action.clone());
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [stop, start, poll]);
}

#[test]
fn limit_is_reported_once_until_the_use_has_fallen() {
    let connections = ordering::Connections::new(budget::Budget::new(4_100));
    let limit = connections.budget().polls;
    assert!(!connections.has_reached_limit(limit - 1, 0));
    assert!(connections.has_reached_limit(limit, 0));
    assert!(
        !connections.has_reached_limit(limit - 1, 0) && !connections.has_reached_limit(limit, 0)
    );
    assert!(!connections.has_reached_limit(limit / 2, 0));
    assert!(connections.has_reached_limit(limit, 0));
}

#[test]
fn workers_hold_polls_longer_only_if_timers_are_late() {
    assert_eq!(poll_pause::extra_wait(time::Span::millis(10)), time::Span::ZERO);
    assert_eq!(poll_pause::extra_wait(time::Span::millis(20)), time::Span::seconds(1));
    assert_eq!(poll_pause::extra_wait(time::Span::seconds(9)), time::Span::seconds(1));
}
