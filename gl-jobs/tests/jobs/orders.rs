//! Orders that are refused, lost, or carried out late. The owner must neither run a task twice nor
//! leave it waiting.

use gl_jobs::{owner, worker};

use crate::cell::{self, Cell};

fn one_task(workers: usize) -> (Cell, cell::Started) {
    let mut cell = Cell::new(workers);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 40_000)]));
    let start = cell::starts(&actions).remove(0);
    (cell, start)
}

#[test]
fn refused_start_goes_to_another_worker_at_once() {
    let (mut cell, start) = one_task(2);
    cell.start_replied(&start, worker::OrderReply::Refused(worker::Refusal::NoCapacity));
    let again = cell::starts(&cell.tick()).remove(0);
    assert_ne!(again.worker, start.worker);
    assert!(again.attempt > start.attempt);
}

#[test]
fn task_with_a_lost_start_waits_until_it_cannot_have_started() {
    let (mut cell, start) = one_task(2);
    let n = cell::index(&start.worker);
    cell.start_replied(&start, worker::OrderReply::Lost);
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions), [start.task]);
    assert!(cell::starts(&actions).is_empty());
    cell.poll(n, &[]);
    assert!(cell::starts(&cell.tick()).is_empty(), "the stop is not confirmed yet");
    let (task, attempt) = (start.task, start.attempt);
    let now = cell::at(cell.now);
    cell.owner.stop_replied(&start.worker, task, attempt, worker::OrderReply::Done, now);
    assert!(cell::starts(&cell.tick()).is_empty(), "no poll was sent after the confirmation");
    cell.poll(n, &[]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn capacity_of_a_lost_start_stays_reserved() {
    let (mut cell, start) = one_task(1);
    cell.start_replied(&start, worker::OrderReply::Lost);
    let actions = cell.submit(2, cell::job(vec![cell::phase(1, 40_000)]));
    assert!(cell::starts(&actions).is_empty());
}

#[test]
fn start_order_expires_after_one_to_two_seconds() {
    let (cell, start) = one_task(1);
    let window = start.order.deadline.since(cell::at(cell.now)).as_millis();
    assert!((1_000..=2_000).contains(&window), "{window} ms");
}

#[test]
fn unanswered_stop_is_repeated() {
    let (mut cell, start) = one_task(1);
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.owner.cancel_job(cell::id(1), cell::at(cell.now));
    assert_eq!(cell::stops(&cell.tick()).len(), 1);
    assert!(cell::stops(&cell.tick()).is_empty());
    cell.now += 600;
    assert_eq!(cell::stops(&cell.tick()).len(), 1);
}

#[test]
fn no_task_starts_while_another_owner_may_exist() {
    let mut cell = Cell::new(1);
    cell.owner.allow_starts(false);
    assert!(cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1)]))).is_empty());
    cell.owner.allow_starts(true);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn run_without_a_stored_job_is_stopped_and_blocks_its_worker() {
    let mut cell = Cell::new(1);
    let unknown = worker::Running {
        task: cell::task(99, 0, 0),
        attempt: 3,
        checkpoint: String::new(),
        progress: 10.0,
        load: 0.0,
    };
    cell.poll(0, &[unknown]);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1)]));
    assert_eq!(cell::stops(&actions), [cell::task(99, 0, 0)]);
    assert!(cell::starts(&actions).is_empty());
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn stalled_task_is_stopped_and_its_worker_becomes_suspect() {
    let (mut cell, start) = one_task(2);
    let n = cell::index(&start.worker);
    cell.start_replied(&start, worker::OrderReply::Done);
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
