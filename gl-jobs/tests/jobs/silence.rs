//! Workers whose replies are late or lost for a moment.

use gl_jobs::{owner, worker};

use crate::cell::{self, Cell};

/// Returns a cell with a task that has run for a while.
fn running() -> (Cell, cell::Started) {
    let mut cell = Cell::new(1);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 8_000)]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.poll(0, &[cell::running(&start, 50.0, 8_000.0)]);
    (cell, start)
}

fn is_suspected(action: &owner::Action) -> bool {
    matches!(action, owner::Action::Note(owner::Note::Suspected { .. }))
}

/// Guards against tasks that are stopped as stalled, and workers that get no tasks for seconds, because
/// a reply to a poll was late.
#[test]
fn task_of_a_silent_worker_is_not_stalled() {
    let (mut cell, _) = running();
    for _ in 0..190 {
        let actions = cell.tick();
        assert_eq!(cell::stops(&actions), [], "after {} ms", cell.now);
        assert!(!actions.iter().any(is_suspected), "after {} ms", cell.now);
    }
}

#[test]
fn task_without_progress_between_two_replies_is_stalled() {
    let (mut cell, start) = running();
    cell.now += 1_900;
    cell.poll(0, &[cell::running(&start, 50.0, 8_000.0)]);
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions), [start.task]);
    assert!(actions.iter().any(is_suspected));
}

/// Guards against a worker with room that gets no tasks for seconds, although it has replied again.
#[test]
fn worker_that_replies_after_a_lost_poll_gets_tasks_at_once() {
    let (mut cell, start) = running();
    cell.owner.poll_failed(&cell::worker(0), cell::at(cell.now));
    let next = cell.submit(2, cell::job(vec![cell::phase(1, 8_000)]));
    assert!(cell::starts(&next).is_empty(), "it does not reply");
    cell.poll(0, &[cell::running(&start, 60.0, 8_000.0)]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}
