//! Orders that are refused, lost, or carried out late. The owner must neither run a task twice nor
//! leave it waiting.

use gl_jobs::{owner, worker};

use crate::cell::{self, Cell};
use crate::unsettled;

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
    let actions = unsettled::lose(&mut cell, &start);
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

/// Guards against second runs: a busy worker checks the deadline of an order, replies to a poll, and lists the run
/// only then.
#[test]
fn order_may_be_carried_out_shortly_after_its_deadline() {
    let (mut cell, start) = one_task(1);
    unsettled::lose(&mut cell, &start);
    let deadline = cell.owner.runs().next().map(|(_, run)| run.deadline).expect("it is recorded");
    cell.now = deadline.since(cell::at(0)).as_millis() + 20;
    cell.poll(0, &[]);
    assert!(cell::starts(&cell.tick()).is_empty());
    cell.now += 200;
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn capacity_of_a_lost_start_stays_reserved() {
    let (mut cell, start) = one_task(1);
    cell.start_replied(&start, worker::OrderReply::Lost);
    let actions = cell.submit(2, cell::job(vec![cell::phase(1, 40_000)]));
    assert!(cell::starts(&actions).iter().all(|again| again.task == start.task));
    unsettled::lose(&mut cell, &start);
    assert!(cell::starts(&cell.tick()).is_empty());
}

#[test]
fn start_order_expires_after_one_to_two_seconds() {
    let (cell, start) = one_task(1);
    let window = start.order.deadline.since(cell::at(cell.now)).as_millis();
    assert!((1_000..=2_000).contains(&window), "{window} ms");
}

/// The worker would refuse the order, and get no others for a while.
#[test]
fn start_order_that_has_waited_until_its_deadline_is_not_sent() {
    let (mut cell, start) = one_task(1);
    assert!(cell.owner.may_send(&start.worker, &start.order, cell::at(cell.now)));
    cell.now += 1_480;
    cell.tick();
    let now = cell::at(cell.now);
    assert!(cell.owner.may_start(now));
    assert!(!cell.owner.may_send(&start.worker, &start.order, now));
    cell.owner.start_unsent(&start.worker, start.task, start.order.attempt, now);
    let again = cell::starts(&cell.tick()).remove(0);
    assert_eq!(again.worker, start.worker, "the worker has refused nothing");
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
    cell.is_lease_valid = false;
    cell.owner.allow_starts(cell::at(cell.now));
    assert!(cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1)]))).is_empty());
    cell.is_lease_valid = true;
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
    cell.owner.work_read(cell::at(cell.now - 1));
    cell.poll(0, std::slice::from_ref(&unknown));
    assert!(cell::stops(&cell.tick()).is_empty(), "the job may have been stored since");
    cell.owner.work_read(cell::at(cell.now + 1));
    cell.poll(0, &[unknown]);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1)]));
    assert_eq!(cell::stops(&actions), [cell::task(99, 0, 0)]);
    assert!(cell::starts(&actions).is_empty());
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// Guards against tasks that start again after they were done: while the store is down, more ends than a
/// worker lists at a time wait to be stored and acknowledged.
#[test]
fn run_whose_end_may_not_be_listed_yet_does_not_count_as_gone() {
    let mut cell = Cell::new(1);
    let starts = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(3, 1)])));
    for start in &starts {
        cell.start_replied(start, worker::OrderReply::Done);
    }
    let running: Vec<_> = starts.iter().map(|start| cell::running(start, 10.0, 900.0)).collect();
    cell.poll(0, &running);
    cell.report_end(0, &starts[0], worker::Outcome::Done);
    cell.is_partial = true;
    cell.poll(0, &running[1..2]);
    assert!(cell::starts(&cell.tick()).is_empty(), "the third one may have ended");
    cell.is_partial = false;
    cell.report_end(0, &starts[2], worker::Outcome::Done);
    cell.poll(0, &running[1..2]);
    assert!(cell::starts(&cell.tick()).is_empty());
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

/// The process was suspended between the check of the lease and the decision.
#[test]
fn permission_that_expired_during_a_suspension_starts_nothing() {
    let mut cell = Cell::new(1);
    cell.is_lease_valid = false;
    cell.owner.allow_starts(cell::at(cell.now + 100));
    let job = cell::job(vec![cell::phase(1, 1)]);
    cell.owner.add_job(cell::id(1), job, &cell::moment(cell.now));
    cell.owner.place(cell::at(cell.now + 100));
    assert!(cell::starts(&cell.owner.take_actions()).is_empty());
    cell.owner.place(cell::at(cell.now + 90));
    assert_eq!(cell::starts(&cell.owner.take_actions()).len(), 1);
}

/// A new owner of hundreds of workers needs seconds to load the stored state, and the list that it
/// read at the beginning does not show which workers have started to drain since.
#[test]
fn no_task_starts_on_a_list_that_may_hide_a_draining_worker() {
    let mut cell = Cell::new(1);
    cell.is_list_read = false;
    cell.now += 2_000;
    cell.poll(0, &[]);
    let drain_time = 2_000;
    let list = [cell::registration(0)];
    let read_at = cell.now - 1_600;
    cell.owner.workers_listed(&list, cell::at(read_at), cell::at(cell.now));
    let started = cell.submit(1, cell::job(vec![cell::phase(1, 1)]));
    let deadline = started.iter().find_map(|action| match action {
        owner::Action::Start { order, .. } => Some(order.deadline),
        _ => None,
    });
    let latest = cell::at(read_at + drain_time);
    assert!(deadline.is_some_and(|at| at <= latest), "{deadline:?} is later than {latest:?}");

    let read_at = cell.now - 1_900;
    cell.owner.workers_listed(&list, cell::at(read_at), cell::at(cell.now));
    let actions = cell.submit(2, cell::job(vec![cell::phase(1, 1)]));
    assert!(cell::starts(&actions).is_empty());
    cell.is_list_read = true;
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// While the store is down, no worker can announce that it drains.
#[test]
fn list_stays_valid_while_the_store_is_down() {
    let mut cell = Cell::new(1);
    cell.is_list_read = false;
    cell.owner.set_store_down(true);
    cell.now += 5_000;
    cell.poll(0, &[]);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1)]));
    assert_eq!(cell::starts(&actions).len(), 1);
    cell.owner.set_store_down(false);
    assert!(cell::starts(&cell.submit(2, cell::job(vec![cell::phase(1, 1)]))).is_empty());
}

/// Replies to orders of an earlier attempt may arrive after the next attempt has been ordered on the
/// same worker.
#[test]
fn replies_for_an_earlier_attempt_do_not_change_the_current_run() {
    let (mut cell, first) = one_task(1);
    let refused = worker::OrderReply::Refused(worker::Refusal::Unspecified);
    cell.start_replied(&first, refused);
    cell.now += 1_000;
    cell.poll(0, &[]);
    let second = cell::starts(&cell.tick()).remove(0);
    assert_eq!((second.task, &second.worker), (first.task, &first.worker));
    assert!(second.attempt > first.attempt);
    let stage = |cell: &Cell| cell.owner.runs().next().map(|(_, run)| run.stage);

    cell.start_replied(&first, worker::OrderReply::Done);
    assert_eq!(stage(&cell), Some(owner::Stage::Starting), "a late confirmation");
    cell.start_replied(&first, refused);
    assert_eq!(stage(&cell), Some(owner::Stage::Starting), "a late refusal");
    cell.start_replied(&first, worker::OrderReply::Lost);
    assert_eq!(stage(&cell), Some(owner::Stage::Starting), "a late loss");
    cell.poll(0, &[cell::running(&first, 10.0, 1.0)]);
    let actions = cell.tick();
    assert_eq!(
        cell::stops(&actions),
        [first.task],
        "the report of another attempt is not this run"
    );
    assert_eq!(stage(&cell), Some(owner::Stage::Starting));

    cell.start_replied(&second, worker::OrderReply::Done);
    cell.owner.cancel_job(cell::id(1), cell::at(cell.now));
    let id = cell::worker(0);
    let now = cell::at(cell.now);
    cell.owner.stop_replied(&id, first.task, first.attempt, worker::OrderReply::Done, now);
    cell.poll(0, &[]);
    assert!(stage(&cell).is_some(), "the stop of another attempt confirms nothing");
}
