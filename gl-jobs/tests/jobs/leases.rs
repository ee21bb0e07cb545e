//! Leases of workers, and workers that fall silent, leave or come back.

use gl_jobs::{job, worker};
use gl_model::time;

use crate::cell::{self, Cell};

fn lasting(workers: usize) -> (Cell, cell::Started) {
    let mut cell = Cell::new(workers);
    let phase = job::Phase { long_running: true, ..cell::phase(1, 30_000) };
    let start = cell::starts(&cell.submit(1, cell::job(vec![phase]))).remove(0);
    cell.answer(&start, worker::OrderReply::Done);
    (cell, start)
}

#[test]
fn a_look_extends_the_lease_up_to_the_horizon() {
    let mut cell = Cell::new(1);
    cell.now += 5_000;
    let order = cell.owner.poll_request(&cell::worker(0), cell::at(cell.now)).unwrap();
    let horizon = cell::at(cell.now) + time::Span::millis(5_000);
    assert!(order.lease.unwrap() <= horizon, "{:?}", order.lease);
    cell.now += 6_000;
    let order = cell.owner.poll_request(&cell::worker(0), cell::at(cell.now)).unwrap();
    assert_eq!(order.lease, None, "the horizon has passed");
}

#[test]
fn a_task_on_a_silent_worker_starts_elsewhere_only_after_its_lease() {
    let (mut cell, start) = lasting(2);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 100.0, 20.0)]);
    cell.owner.poll_request(&start.worker, cell::at(cell.now));
    let begun = cell.now;
    let mut moved = None;
    while moved.is_none() && cell.now < begun + 12_000 {
        cell.now += 100;
        cell.poll(1 - n, &[]);
        cell.owner.poll_request(&start.worker, cell::at(cell.now));
        cell.owner.poll_failed(&start.worker, cell::at(cell.now));
        moved = cell::starts(&cell.tick()).pop().map(|_| cell.now - begun);
    }
    let moved = moved.expect("the task starts elsewhere");
    assert!((6_000..7_500).contains(&moved), "after {moved} ms");
}

#[test]
fn a_new_incarnation_ends_what_ran_before() {
    let (mut cell, start) = lasting(2);
    let n = cell::index(&start.worker);
    let reply = worker::PollReply {
        clock: cell::at(50),
        incarnation: worker::Incarnation(2),
        running: Vec::new(),
        ended: Vec::new(),
    };
    cell.now += 10;
    let now = cell::at(cell.now);
    cell.owner.poll_replied(&cell::worker(n), cell::at(cell.now - 1), &reply, now);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn a_newer_worker_on_the_same_vm_ends_the_older_one() {
    let (mut cell, start) = lasting(2);
    let n = cell::index(&start.worker);
    let newer = worker::Registration {
        id: cell::worker(9),
        incarnation: worker::Incarnation(2),
        ..cell::registration(n)
    };
    cell.owner.workers_listed(&[cell::registration(1 - n), newer], cell::at(cell.now));
    let again = cell::starts(&cell.tick()).remove(0);
    assert_eq!(again.worker, cell::worker(1 - n));
    assert!(cell.owner.worker(&start.worker).is_none());
}

#[test]
fn a_leaving_worker_gets_nothing_and_its_lasting_tasks_move() {
    let (mut cell, start) = lasting(2);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 100.0, 20.0)]);
    let leaving = worker::Registration { draining: true, ..cell::registration(n) };
    let list = [cell::registration(1 - n), leaving];
    cell.owner.workers_listed(&list, cell::at(cell.now));
    assert_eq!(cell::stops(&cell.tick()), [start.task]);
    let next = cell.submit(2, cell::job(vec![cell::phase(1, 1_000)]));
    assert_eq!(cell::starts(&next)[0].worker, cell::worker(1 - n));
}

#[test]
fn lasting_tasks_stay_on_a_leaving_worker_while_there_is_no_other_place() {
    let (mut cell, start) = lasting(1);
    cell.poll(0, &[cell::running(&start, 100.0, 20.0)]);
    let leaving = worker::Registration { draining: true, ..cell::registration(0) };
    cell.owner.workers_listed(&[leaving], cell::at(cell.now));
    assert!(cell::stops(&cell.tick()).is_empty());
}

#[test]
fn no_more_tasks_are_taken_away_at_once_than_may_be_missed() {
    let mut cell = Cell::new(3);
    let phase = job::Phase {
        long_running: true,
        max_missing: Some(1),
        per_worker: Some(1),
        ..cell::phase(2, 30_000)
    };
    let started = cell::starts(&cell.submit(1, cell::job(vec![phase])));
    for start in &started {
        cell.answer(start, worker::OrderReply::Done);
        cell.poll(cell::index(&start.worker), &[cell::running(start, 100.0, 20.0)]);
    }
    let list: Vec<_> = (0..3)
        .map(|n| worker::Registration {
            draining: started.iter().any(|s| cell::index(&s.worker) == n),
            ..cell::registration(n)
        })
        .collect();
    cell.owner.workers_listed(&list, cell::at(cell.now));
    assert_eq!(cell::stops(&cell.tick()).len(), 1);
    assert!(cell::stops(&cell.tick()).is_empty());
}

#[test]
fn a_worker_gets_tasks_only_once_its_name_is_stored() {
    let mut cell = Cell::new(1);
    let list = [cell::registration(0), cell::registration(1)];
    cell.owner.workers_listed(&list, cell::at(cell.now));
    let reply = worker::PollReply {
        clock: cell::at(cell.now),
        incarnation: worker::Incarnation(1),
        ..worker::PollReply::default()
    };
    let now = cell::at(cell.now);
    cell.owner.poll_replied(&cell::worker(1), now, &reply, now);
    let filling = cell.submit(1, cell::job(vec![cell::phase(2, 64_000)]));
    assert_eq!(cell::starts(&filling).len(), 1);
    let commit = cell.owner.next_commit(now).unwrap();
    assert_eq!(commit.enrolled[0].id, cell::worker(1));
    cell.owner.committed(&commit);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// Ends are numbered anew by each incarnation, so an old number would delete ends not yet told.
#[test]
fn a_worker_that_may_have_restarted_is_acknowledged_nothing() {
    let mut cell = Cell::new(1);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    cell.answer(&start, worker::OrderReply::Done);
    cell.end(0, &start, worker::Outcome::Done);
    cell.poll(0, &[]);
    cell.commit();
    let id = cell::worker(0);
    let acknowledged = |cell: &mut Cell| {
        cell.owner.poll_request(&id, cell::at(cell.now)).expect("a known worker").acknowledged
    };
    assert_eq!(acknowledged(&mut cell), 1);

    cell.owner.poll_failed(&id, cell::at(cell.now));
    assert_eq!(acknowledged(&mut cell), 0, "it was silent");
    cell.poll(0, &[]);
    assert_eq!(acknowledged(&mut cell), 1, "it has answered under the same incarnation");

    let listed =
        worker::Registration { incarnation: worker::Incarnation(2), ..cell::registration(0) };
    cell.owner.workers_listed(&[listed], cell::at(cell.now));
    assert_eq!(acknowledged(&mut cell), 0, "the list has a newer incarnation");
}
