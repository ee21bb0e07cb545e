//! Reports of runs of a task of which another run is recorded. Guards against a log that does not tell
//! where the other run is and which owner ordered it, and against one that such runs fill.

use gl_jobs::{owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// The fencing token of [`Cell`]'s owner.
const TOKEN: u64 = 7;
const ATTEMPTS_PER_TOKEN: u64 = 1 << 22;

/// Returns the run of a task that an earlier owner ordered elsewhere.
fn earlier(start: &cell::Started, number: u64) -> worker::Running {
    let attempt = (TOKEN - 1) * ATTEMPTS_PER_TOKEN + number;
    worker::Running { attempt, ..cell::running(start, 5.0, 0.0) }
}

/// Returns a cell of two workers in which the second one runs `count` tasks.
fn running(count: u32) -> (Cell, Vec<cell::Started>) {
    let mut cell = Cell::new(2);
    let mut started = Vec::new();
    for n in 0..u64::from(count) {
        let idle = worker::Registration { draining: true, ..cell::registration(0) };
        let list = [idle, cell::registration(1)];
        cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
        let next = cell::starts(&cell.submit(n + 1, cell::job(vec![cell::phase(1, 1_000)])));
        next.iter().for_each(|start| cell.start_replied(start, worker::OrderReply::Done));
        started.extend(next);
    }
    assert!(started.iter().all(|start| start.worker == cell::worker(1)));
    assert_eq!(started.len(), count as usize);
    (cell, started)
}

fn second_runs(actions: &[owner::Action]) -> Vec<owner::Note> {
    let second = |action: &owner::Action| match action {
        owner::Action::Note(
            note @ (owner::Note::SecondRun { .. } | owner::Note::SecondRunsOmitted { .. }),
        ) => Some(note.clone()),
        _ => None,
    };
    actions.iter().filter_map(second).collect()
}

#[test]
fn second_run_is_logged_once_with_the_recorded_one() {
    let (mut cell, started) = running(1);
    let start = &started[0];
    let ordered_at = cell.now;
    cell.poll(0, &[earlier(start, 3)]);
    let note = owner::Note::SecondRun {
        task: start.task,
        attempt: (TOKEN - 1) * ATTEMPTS_PER_TOKEN + 3,
        token: TOKEN - 1,
        worker: cell::worker(0),
        other_attempt: start.attempt,
        other_token: TOKEN,
        other_worker: start.worker.clone(),
        other_age: time::Span::millis(cell.now - ordered_at),
    };
    let actions = cell.tick();
    assert_eq!(second_runs(&actions), [note]);
    assert_eq!(cell::stops(&actions), [start.task]);
    cell.poll(0, &[earlier(start, 3)]);
    let actions = cell.tick();
    assert_eq!(second_runs(&actions), [], "it was logged already");
    assert_eq!(cell::stops(&actions), [start.task], "it is stopped again");
}

#[test]
fn run_without_a_recorded_one_is_no_second_run() {
    let (mut cell, started) = running(1);
    let unknown = worker::Running { task: cell::task(99, 0, 0), ..earlier(&started[0], 3) };
    cell.owner.work_read(cell::at(cell.now + 1_000));
    cell.poll(0, &[unknown]);
    let actions = cell.tick();
    assert_eq!(second_runs(&actions), []);
    assert_eq!(cell::stops(&actions), [cell::task(99, 0, 0)]);
}

#[test]
fn second_runs_beyond_the_limit_are_counted() {
    let (mut cell, started) = running(50);
    let reported: Vec<_> = (1..).zip(&started).map(|(n, start)| earlier(start, n)).collect();
    let mut notes = Vec::new();
    for _ in 0..200 {
        cell.poll(0, &reported);
        notes.extend(second_runs(&cell.tick()));
    }
    let is_run = |note: &owner::Note| matches!(note, owner::Note::SecondRun { .. });
    let (logged, omitted): (Vec<_>, Vec<_>) = notes.into_iter().partition(is_run);
    assert_eq!(logged.len(), 20);
    assert_eq!(omitted, [owner::Note::SecondRunsOmitted { runs: 30 }]);
}
