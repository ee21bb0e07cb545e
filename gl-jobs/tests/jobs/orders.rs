//! Orders that are refused, lost, or carried out late.

use gl_jobs::{owner, worker};

use crate::cell::{self, Cell};

fn one_task(workers: usize) -> (Cell, cell::Started) {
    let mut cell = Cell::new(workers);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 40_000)]));
    let start = cell::starts(&actions).remove(0);
    (cell, start)
}

#[test]
fn a_refused_start_goes_to_another_worker_at_once() {
    let (mut cell, start) = one_task(2);
    cell.answer(&start, worker::OrderReply::Refused(worker::Refusal::NoCapacity));
    let again = cell::starts(&cell.tick()).remove(0);
    assert_ne!(again.worker, start.worker);
    assert!(again.attempt > start.attempt);
}

#[test]
fn a_task_whose_start_was_lost_waits_until_the_worker_cannot_have_it() {
    let (mut cell, start) = one_task(2);
    let n = cell::index(&start.worker);
    cell.answer(&start, worker::OrderReply::Lost);
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions), [start.task]);
    assert!(cell::starts(&actions).is_empty());
    cell.poll(n, &[]);
    assert!(cell::starts(&cell.tick()).is_empty(), "the stop isn't confirmed yet");
    let (task, attempt) = (start.task, start.attempt);
    let now = cell::at(cell.now);
    cell.owner.stop_replied(&start.worker, task, attempt, worker::OrderReply::Done, now);
    assert!(cell::starts(&cell.tick()).is_empty(), "no look was sent after the stop");
    cell.poll(n, &[]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn the_room_of_a_lost_start_stays_taken() {
    let (mut cell, start) = one_task(1);
    cell.answer(&start, worker::OrderReply::Lost);
    let actions = cell.submit(2, cell::job(vec![cell::phase(1, 40_000)]));
    assert!(cell::starts(&actions).is_empty());
}

#[test]
fn a_start_order_is_void_after_a_short_time_of_the_workers_clock() {
    let (cell, start) = one_task(1);
    let window = start.order.deadline.since(cell::at(cell.now)).as_millis();
    assert!((1_000..=2_000).contains(&window), "{window} ms");
}

#[test]
fn an_unanswered_stop_is_sent_again() {
    let (mut cell, start) = one_task(1);
    cell.answer(&start, worker::OrderReply::Done);
    cell.owner.cancel_job(cell::id(1), cell::at(cell.now));
    assert_eq!(cell::stops(&cell.tick()).len(), 1);
    assert!(cell::stops(&cell.tick()).is_empty());
    cell.now += 600;
    assert_eq!(cell::stops(&cell.tick()).len(), 1);
}

#[test]
fn nothing_starts_while_the_owner_may_have_been_replaced() {
    let mut cell = Cell::new(1);
    cell.owner.allow_starts(false);
    assert!(cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1)]))).is_empty());
    cell.owner.allow_starts(true);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn a_run_that_no_job_explains_is_stopped_and_its_worker_gets_nothing() {
    let mut cell = Cell::new(1);
    let stranger = worker::Running {
        task: cell::task(99, 0, 0),
        attempt: 3,
        checkpoint: String::new(),
        progress: 10.0,
        load: 0.0,
    };
    cell.poll(0, &[stranger]);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1)]));
    assert_eq!(cell::stops(&actions), [cell::task(99, 0, 0)]);
    assert!(cell::starts(&actions).is_empty());
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn a_task_that_stands_still_moves_to_another_worker() {
    let (mut cell, start) = one_task(2);
    let n = cell::index(&start.worker);
    cell.answer(&start, worker::OrderReply::Done);
    for _ in 0..4 {
        cell.now += 700;
        cell.poll(n, &[cell::running(&start, 10.0, 40_000.0)]);
        cell.poll(1 - n, &[]);
    }
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions), [start.task]);
    let is_suspect = |action: &owner::Action| matches!(action, owner::Action::Note(owner::Note::Suspected { worker, .. }) if *worker == start.worker);
    assert!(actions.iter().any(is_suspect));
}
