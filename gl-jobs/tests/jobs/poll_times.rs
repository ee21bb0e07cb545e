//! The time for which workers hold polls while the owner is short of processor time. Guards against
//! an owner that uses its processor for polls, and against time-outs that its longer polls exceed.

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

const EXTRA: time::Span = time::Span::seconds(5);

fn wait(cell: &mut Cell, n: usize) -> u64 {
    let request = cell.owner.poll_request(&cell::worker(n), cell::at(cell.now));
    request.unwrap().wait.as_millis()
}

#[test]
fn workers_hold_polls_longer_only_while_the_process_is_short_of_time() {
    let mut cell = Cell::new(1);
    assert_eq!(wait(&mut cell, 0), 1_000);
    cell.owner.extend_polls(EXTRA, cell::at(cell.now));
    assert_eq!(wait(&mut cell, 0), 2_000);
    cell.owner.extend_polls(time::Span::ZERO, cell::at(cell.now));
    assert_eq!(wait(&mut cell, 0), 1_000);
}

#[test]
fn polls_are_never_held_for_more_than_a_third_of_the_lease() {
    let lease = time::Span::millis(4_500);
    let mut cell = Cell::with_settings(1, owner::Settings { lease, ..owner::Settings::default() });
    cell.owner.extend_polls(EXTRA, cell::at(cell.now));
    assert_eq!(wait(&mut cell, 0), 1_500);
}

/// Interference has to be noticed in time, whatever the owner's load is.
#[test]
fn worker_with_best_effort_tasks_next_to_long_running_ones_is_polled_as_before() {
    let mut cell = Cell::new(1);
    let long = job::Phase { long_running: true, ..cell::phase(1, 8_000) };
    let best_effort = job::Phase { best_effort: true, ..cell::phase(1, 1_000) };
    let mut started = cell::starts(&cell.submit(1, cell::job(vec![long])));
    started.extend(cell::starts(&cell.submit(2, cell::job(vec![best_effort]))));
    assert_eq!(started.len(), 2);
    for start in &started {
        cell.start_replied(start, worker::OrderReply::Done);
    }
    cell.owner.extend_polls(EXTRA, cell::at(cell.now));
    assert_eq!(wait(&mut cell, 0), 1_000);
}

/// A worker whose poll is held for two seconds has not failed, also if the wait was just reduced.
#[test]
fn worker_that_holds_a_long_poll_stays_eligible() {
    let mut cell = Cell::new(1);
    cell.owner.extend_polls(EXTRA, cell::at(cell.now));
    cell.owner.extend_polls(time::Span::ZERO, cell::at(cell.now));
    cell.now += 2_700;
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]));
    assert_eq!(cell::starts(&actions).len(), 1);
}

/// Guards against phases that wait a second for the end of the one before, where workers do not hold
/// polls because there are too few connections.
#[test]
fn worker_with_short_runs_is_polled_more_often_where_it_does_not_hold_polls() {
    let mut cell = Cell::new(2);
    let interval = |cell: &Cell, n| cell.owner.poll_interval(&cell::worker(n));
    let wait = owner::Settings::default().poll_wait;
    assert_eq!(interval(&cell, 0), wait);
    let desk = job::Phase { long_running: true, ..cell::phase(1, 1_000) };
    let desk = cell::starts(&cell.submit(1, cell::job(vec![desk]))).remove(0);
    assert_eq!(interval(&cell, cell::index(&desk.worker)), wait);
    let short = cell::starts(&cell.submit(2, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    let busy = interval(&cell, cell::index(&short.worker));
    assert!(busy + busy < wait, "{busy:?}");
}
