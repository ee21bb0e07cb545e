//! Reports of runs that had counted as gone. Guards against a log that does not tell that a worker went on
//! with such a run, and against one that such runs fill.

use gl_jobs::{owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};
use crate::conclusions::{ends, expire, notes, running};

/// Returns the reports of runs that had counted as gone.
fn outlived(actions: &[owner::Action]) -> Vec<owner::Note> {
    let is_outlived = |note: &owner::Note| {
        matches!(note, owner::Note::Outlived { .. } | owner::Note::OutlivedOmitted { .. })
    };
    notes(actions).into_iter().filter(is_outlived).collect()
}

/// Returns how many conclusions were removed early.
fn count_forgotten(actions: &[owner::Action]) -> usize {
    let forgotten = |note: owner::Note| match note {
        owner::Note::OutlivedOmitted { runs: 0, forgotten } => Some(forgotten),
        _ => None,
    };
    let counts = outlived(actions).into_iter().map(forgotten);
    counts.sum::<Option<usize>>().expect("no report of a run")
}

/// Guards against second runs without any trace: the run goes on, and no other one is recorded when its
/// worker reports it.
#[test]
fn run_that_is_reported_after_its_leases_is_logged_once_without_another_run() {
    let (mut cell, started) = running(1, 1);
    expire(&mut cell);
    let gone_at = cell.now;
    let running = cell::running(&started[0], 50.0, 900.0);
    cell.poll(0, std::slice::from_ref(&running));
    let note = owner::Note::Outlived {
        task: started[0].task,
        attempt: started[0].attempt,
        worker: cell::worker(0),
        outcome: None,
        cause: owner::Cause::Lapsed,
        basis: owner::Basis::Lease,
        gone: time::Span::millis(cell.now - gone_at),
        other_attempt: None,
    };
    assert_eq!(outlived(&cell.owner.take_actions()), [note]);
    cell.poll(0, &[running]);
    assert_eq!(outlived(&cell.owner.take_actions()), []);
}

#[test]
fn run_that_is_reported_beside_another_one_names_that() {
    let mut cell = Cell::new(2);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    let n = cell::index(&start.worker);
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.poll(n, &[cell::running(&start, 5.0, 900.0)]);
    let again = loop {
        cell.poll(1 - n, &[]);
        if let Some(again) = cell::starts(&cell.tick()).pop() {
            break again;
        }
        assert!(cell.now < 30_000, "the task starts elsewhere");
    };
    assert_eq!((again.task, &again.worker), (start.task, &cell::worker(1 - n)));
    cell.poll(n, &[cell::running(&start, 50.0, 900.0)]);
    let other = |note: owner::Note| match note {
        owner::Note::Outlived { other_attempt, .. } => other_attempt,
        _ => None,
    };
    let notes = outlived(&cell.owner.take_actions());
    assert_eq!(notes.into_iter().map(other).collect::<Vec<_>>(), [Some(again.attempt)]);
}

#[test]
fn run_that_ended_with_its_lease_is_expected_and_one_that_was_done_is_not() {
    for (outcome, count) in [(worker::Outcome::Lapsed, 0), (worker::Outcome::Done, 1)] {
        let (mut cell, started) = running(1, 1);
        expire(&mut cell);
        cell.report_end(0, &started[0], outcome);
        cell.poll(0, &[]);
        let notes = outlived(&cell.owner.take_actions());
        assert_eq!(notes.len(), count, "{outcome:?}: {notes:?}");
        cell.poll(0, &[]);
        assert_eq!(outlived(&cell.owner.take_actions()), []);
    }
}

/// Guards against second runs without any trace: the worker was not replaced, and its run has ended with a
/// lease that was still valid.
#[test]
fn run_that_lapsed_later_is_logged_if_no_lease_was_taken_to_have_expired() {
    let (mut cell, started) = running(1, 1);
    cell.poll(0, &[]);
    assert_eq!(ends(&cell.owner.take_actions()).len(), 1);
    cell.report_end(0, &started[0], worker::Outcome::Lapsed);
    cell.poll(0, &[]);
    let notes = outlived(&cell.owner.take_actions());
    let is_lapsed = |note: &owner::Note| {
        matches!(
            note,
            owner::Note::Outlived {
                outcome: Some(worker::Outcome::Lapsed),
                basis: owner::Basis::Reply,
                ..
            }
        )
    };
    assert!(notes.len() == 1 && notes.iter().all(is_lapsed), "{notes:?}");
}

#[test]
fn conclusions_are_forgotten_after_a_minute() {
    for (wait, count) in [(50_000, 1), (61_000, 0)] {
        let (mut cell, started) = running(1, 1);
        expire(&mut cell);
        cell.now += wait;
        cell.tick();
        cell.poll(0, &[cell::running(&started[0], 50.0, 900.0)]);
        let notes = outlived(&cell.owner.take_actions());
        assert_eq!(notes.len(), count, "after {wait} ms: {notes:?}");
    }
}

#[test]
fn reports_beyond_the_limit_are_counted() {
    let (mut cell, started) = running(4, 50);
    expire(&mut cell);
    let mut found = Vec::new();
    for n in 0..4 {
        let here = started.iter().filter(|start| start.worker == cell::worker(n));
        let running: Vec<_> = here.map(|start| cell::running(start, 50.0, 900.0)).collect();
        cell.poll(n, &running);
        found.extend(outlived(&cell.owner.take_actions()));
    }
    assert_eq!(found.len(), 100);
    cell.now += 1_000;
    let omitted = owner::Note::OutlivedOmitted { runs: 100, forgotten: 0 };
    assert_eq!(outlived(&cell.tick()), [omitted]);
    assert_eq!(outlived(&cell.tick()), []);
}

/// Guards against an owner whose memory grows with the runs of a fleet that is cut off again and again.
#[test]
fn conclusions_beyond_the_limit_are_counted() {
    let mut cell = Cell::new(1);
    let (mut attempts, mut forgotten) = (0, 0);
    let mut next = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(64, 1_000)])));
    while attempts < 4_096 + 300 {
        assert!(!next.is_empty() && cell.now < 50_000, "{attempts} after {} ms", cell.now);
        for start in next {
            let now = cell::at(cell.now);
            cell.owner.start_unsent(&start.worker, start.task, start.attempt, now);
            attempts += 1;
        }
        if cell.now.is_multiple_of(500) {
            cell.poll(0, &[]);
        }
        let actions = cell.tick();
        forgotten += count_forgotten(&actions);
        next = cell::starts(&actions);
    }
    cell.now += 1_000;
    forgotten += count_forgotten(&cell.tick());
    assert_eq!(forgotten, attempts - 4_096);
}
