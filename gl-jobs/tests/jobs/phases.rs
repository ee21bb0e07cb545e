//! Phases, their dependencies, and the states of jobs. A phase must not start before the phases
//! that it depends on are done, and clients must not see a final state that could still be lost.

use assert_matches::assert_matches;
use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

#[test]
fn phase_starts_once_all_tasks_it_depends_on_are_done() {
    let mut cell = Cell::new(3);
    let second = job::Phase { after: vec![0], ..cell::phase(1, 1_000) };
    let actions = cell.submit(1, cell::job(vec![cell::phase(2, 1_000), second]));
    let first = cell::starts(&actions);
    assert_eq!(first.len(), 2);
    for (n, start) in first.iter().enumerate() {
        cell.start_replied(start, worker::OrderReply::Done);
        cell.report_end(cell::index(&start.worker), start, worker::Outcome::Done);
        cell.poll(cell::index(&start.worker), &[]);
        let next = cell::starts(&cell.tick());
        assert_eq!(next.len(), n, "after {} of 2", n + 1);
    }
}

#[test]
fn final_state_is_visible_only_once_it_is_stored() {
    let mut cell = Cell::new(2);
    let actions = cell.submit(1, cell::job(vec![cell::phase(2, 1_000)]));
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Queued));
    cell.run_all(&actions);
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Running));
    assert!(cell.owner.has_urgent_commit());
    let rows = cell.commit();
    assert_eq!(rows[0].progress.final_state, Some(job::State::Complete));
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Complete));
    assert_eq!(cell.owner.state(cell::id(2)), None);
}

#[test]
fn task_that_fails_too_often_fails_its_job() {
    let mut cell = Cell::new(4);
    let mut actions = cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]));
    for run in 1..=3 {
        let start = cell::starts(&actions).remove(0);
        cell.start_replied(&start, worker::OrderReply::Done);
        cell.report_end(cell::index(&start.worker), &start, worker::Outcome::Failed);
        cell.poll(cell::index(&start.worker), &[]);
        actions = cell.tick();
        assert_eq!(cell::starts(&actions).len(), usize::from(run < 3));
    }
    cell.commit();
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Failed));
}

#[test]
fn long_running_task_restarts_after_any_number_of_failures() {
    let mut cell = Cell::new(2);
    let long_running = job::Phase { long_running: true, ..cell::phase(1, 1_000) };
    let mut actions = cell.submit(1, cell::job(vec![long_running]));
    for outcome in [worker::Outcome::Failed; 5] {
        let start = cell::starts(&actions).remove(0);
        cell.start_replied(&start, worker::OrderReply::Done);
        cell.report_end(cell::index(&start.worker), &start, outcome);
        cell.poll(cell::index(&start.worker), &[]);
        actions = cell.tick();
    }
    assert_eq!(cell::starts(&actions).len(), 1);
}

#[test]
fn cancelled_job_stops_its_runs_and_starts_no_more() {
    let mut cell = Cell::new(1);
    let waiting = cell::phase(200, 1_000);
    let started = cell::starts(&cell.submit(1, cell::job(vec![waiting])));
    assert_eq!(started.len(), 64);
    cell.owner.cancel_job(cell::id(1), cell::at(cell.now));
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions).len(), 64);
    assert!(cell::starts(&actions).is_empty());
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Cancelled));
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut cell = Cell::new(1);
    let schedule =
        job::Schedule { first: cell::at(2_000), interval: time::Span::millis(500), count: 2 };
    let timed = job::Job { schedule: Some(schedule), ..cell::job(vec![cell::phase(1, 1_000)]) };
    assert!(cell::starts(&cell.submit(1, timed)).is_empty());
    cell.now = 1_980;
    assert!(cell::starts(&cell.tick()).is_empty());
    cell.poll(0, &[]);
    let first = cell::starts(&cell.tick());
    assert_eq!(first[0].task.to_string(), "0000000000000001.0.0.0");
    cell.run_all(&[owner::Action::Start {
        worker: first[0].worker.clone(),
        order: first[0].order.clone(),
    }]);
    assert!(cell.commit()[0].progress.final_state.is_none());
    cell.now = 2_490;
    cell.poll(0, &[]);
    let second = cell::starts(&cell.tick());
    assert_eq!(second[0].task.to_string(), "0000000000000001.1.0.0");
}

#[test]
fn pending_jobs_are_counted_until_their_first_task_starts() {
    let mut cell = Cell::new(1);
    let large = cell::phase(1, 64_000);
    let first = cell.submit(1, cell::job(vec![large.clone()]));
    cell.submit(2, cell::job(vec![large]));
    assert_eq!(cell.owner.pending("bookings"), 2);
    cell.start_replied(&cell::starts(&first)[0], worker::OrderReply::Done);
    assert_eq!(cell.owner.pending("bookings"), 1);
    assert_eq!(cell.owner.pending("others"), 0);
}

#[test]
fn jobs_without_tasks_or_with_unordered_phases_are_invalid() {
    let late = job::Phase { after: vec![1], ..cell::phase(1, 1) };
    assert_eq!(cell::job(Vec::new()).validate(), Err(job::Invalid::Empty));
    assert_eq!(
        cell::job(vec![cell::phase(0, 1)]).validate(),
        Err(job::Invalid::NoTask { phase: 0 })
    );
    let error = cell::job(vec![late, cell::phase(1, 1)]).validate();
    assert_eq!(error, Err(job::Invalid::Order { phase: 0, after: 1 }));
}

/// Each phase depends on all earlier ones, so that the number of chains is exponential. One such
/// job must not occupy the processor of each daemon that evaluates it.
#[test]
fn critical_path_of_densely_connected_phases_is_found_in_time() {
    let phase = |n: u32| job::Phase { after: (0..n).collect(), ..cell::phase(1, 1) };
    let job = cell::job((0..200).map(phase).collect());
    assert_eq!(job.critical_path(0), time::Span::millis(200 * 500));
    assert_eq!(job.critical_path(199), time::Span::millis(500));
    assert_eq!(job.critical_path(200), time::Span::ZERO);
    assert_eq!(job.objective(), time::Span::millis(2 * 200 * 500 + 250));
}

/// A job of four billion tasks would exhaust the memory of each owner in turn.
#[test]
fn job_that_no_daemon_can_keep_is_rejected() {
    let huge = cell::job(vec![cell::phase(u32::MAX, 1)]);
    assert_matches!(huge.validate(), Err(job::Invalid::TooManyTasks { .. }));
    let schedule = job::Schedule {
        first: time::Timestamp::default(),
        interval: time::Span::ZERO,
        count: u32::MAX,
    };
    let repeated = job::Job { schedule: Some(schedule), ..cell::job(vec![cell::phase(1, 1)]) };
    assert_matches!(repeated.validate(), Err(job::Invalid::TooManyTasks { .. }));
    let phases = cell::job(vec![cell::phase(1, 1); 201]);
    assert_matches!(phases.validate(), Err(job::Invalid::TooManyPhases { phases: 201 }));
    assert_eq!(cell::job(vec![cell::phase(1_000, 1); 100]).validate(), Ok(()));
}
