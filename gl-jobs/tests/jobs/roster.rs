//! A new owner waits for all workers of the roster. One that is still in it after it has left holds
//! up all tasks of earlier jobs until its leases must have expired.

use gl_jobs::{job, owner, record, worker};

use crate::cell::{self, Cell};

fn long_running() -> job::Phase {
    job::Phase { long_running: true, ..cell::phase(1, 30_000) }
}

/// Lists `n` workers, of which the given one is draining.
fn list(cell: &mut Cell, n: usize, draining: Option<usize>) {
    let entry = |w| worker::Registration { draining: draining == Some(w), ..cell::registration(w) };
    let list: Vec<_> = (0..n).map(entry).collect();
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
}

/// Returns the workers that the pending commits remove from the roster.
fn removed(cell: &mut Cell) -> Vec<worker::WorkerId> {
    let mut removed = Vec::new();
    while let Some(commit) = cell.owner.next_commit(cell::at(cell.now)) {
        cell.owner.committed(&commit);
        removed.extend(commit.removed_workers);
    }
    removed
}

#[test]
fn draining_worker_leaves_the_roster_once_its_last_run_has_ended() {
    let mut cell = Cell::new(2);
    let start = cell::starts(&cell.submit(1, cell::job(vec![long_running()]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 100.0, 20.0)]);
    list(&mut cell, 2, Some(n));
    assert_eq!(cell::stops(&cell.tick()), [start.task]);
    assert_eq!(removed(&mut cell), [], "the run has not ended");
    cell.report_end(n, &start, worker::Outcome::Stopped);
    cell.poll(n, &[]);
    cell.tick();
    assert_eq!(removed(&mut cell), std::slice::from_ref(&start.worker));
    cell.tick();
    assert_eq!(removed(&mut cell), [], "it is removed once");
    assert!(cell.owner.worker(&start.worker).is_some(), "its ends are still acknowledged");
}

#[test]
fn worker_that_does_not_drain_any_more_gets_tasks_once_it_is_enrolled_again() {
    let mut cell = Cell::new(1);
    list(&mut cell, 1, Some(0));
    cell.tick();
    assert_eq!(removed(&mut cell), [cell::worker(0)]);
    list(&mut cell, 1, None);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]));
    assert_eq!(cell::starts(&actions), [], "a later owner would not wait for it");
    let commit = cell.owner.next_commit(cell::at(cell.now)).expect("it has to be enrolled");
    assert_eq!(commit.enrolled, cell::roster([cell::registration(0)]));
    cell.owner.committed(&commit);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// Removal and enrolment of one worker in the same transaction would contradict each other.
#[test]
fn worker_that_is_listed_again_before_its_removal_is_stored_stays_in_the_roster() {
    let mut cell = Cell::new(1);
    list(&mut cell, 1, Some(0));
    cell.tick();
    list(&mut cell, 1, None);
    cell.tick();
    let commit = cell.owner.next_commit(cell::at(cell.now)).expect("it has to be enrolled");
    assert_eq!((commit.enrolled.len(), commit.removed_workers.len()), (1, 0));
    cell.owner.committed(&commit);
    assert_eq!(removed(&mut cell), []);
}

/// Tasks of an earlier owner may run on a worker that has not replied to this one.
#[test]
fn unlisted_worker_without_reply_stays_in_the_roster_during_the_recovery() {
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    let jobs = vec![cell::stored(1, cell::job(vec![long_running()]), record::Progress::default())];
    let roster = vec![cell::registration(1)];
    let takeover =
        owner::Takeover { jobs, roster: cell::roster(roster), ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(5_000));
    owner.tick(&cell::moment(14_000));
    assert_eq!(owner.next_commit(cell::at(14_000)), None);
    owner.tick(&cell::moment(16_150));
    let commit = owner.next_commit(cell::at(16_000)).expect("all leases have expired");
    assert_eq!(commit.removed_workers, [cell::worker(1)]);
}

/// A new owner knows then which tasks a worker may run that it cannot reach.
#[test]
fn last_tasks_of_a_draining_worker_are_stored() {
    let (mut cell, start) = draining_with_a_task();
    let commit = cell.owner.next_commit(cell::at(cell.now)).expect("the worker is draining");
    let [row] = &commit.vacating[..] else { panic!("one row: {commit:?}") };
    assert_eq!((&row.tasks, row.until), (&Some(vec![start.task]), None));
    cell.owner.committed(&commit);
    cell.tick();
    assert_eq!(cell.owner.next_commit(cell::at(cell.now)), None, "it is stored once");
}

/// Guards against waits that begin anew with each owner, of an owner that is replaced before the
/// leases of a terminated worker have expired.
#[test]
fn end_of_the_leases_of_an_unresponsive_draining_worker_is_stored() {
    let (mut cell, start) = draining_with_a_task();
    removed(&mut cell);
    let now = cell::at(cell.now);
    cell.owner.store_clock_read(owner::StoreClock { clock: now, sent: now, at: now });
    cell.owner.poll_request(&start.worker, now);
    cell.owner.poll_failed(&start.worker, now);
    cell.tick();
    let commit = cell.owner.next_commit(cell::at(cell.now)).expect("it does not reply");
    let [row] = &commit.vacating[..] else { panic!("one row: {commit:?}") };
    let until = row.until.expect("no lease is extended").since(now);
    assert!((7_000..7_250).contains(&until.as_millis()), "{until:?}");
    assert_eq!(row.tasks, Some(vec![start.task]));
}

/// Returns a cell of one worker that drains and runs a task.
fn draining_with_a_task() -> (Cell, cell::Started) {
    let mut cell = Cell::new(1);
    let start = cell::starts(&cell.submit(1, cell::job(vec![long_running()]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.poll(0, &[cell::running(&start, 100.0, 20.0)]);
    list(&mut cell, 1, Some(0));
    cell.tick();
    (cell, start)
}

/// Guards against rows of the roster that cannot be read: those of earlier versions, and those that earlier
/// versions read.
#[test]
fn rows_of_the_roster_are_read_by_earlier_and_later_versions() {
    let worker = cell::registration(0);
    let earlier = record::encode("worker", &worker).unwrap();
    let read = record::Enrolment::decode("worker", &earlier).unwrap();
    assert_eq!(read, record::Enrolment::from(worker.clone()));
    let row = record::Enrolment { worker: worker.clone(), carried_until: Some(cell::at(5)) };
    let later = record::encode("worker", &row).unwrap();
    assert_eq!(record::Enrolment::decode("worker", &later), Ok(row));
    assert_eq!(record::decode::<worker::Registration>("worker", &later), Ok(worker));
}
