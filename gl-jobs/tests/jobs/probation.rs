//! Workers that registered or restarted while others were in use, and have done nothing since. They get few
//! runs, as they may fail all of them, but capacity must not stay idle for that.

use gl_jobs::{job, owner, worker};

use crate::cell::{self, Cell};

/// The number of runs that such a worker gets.
const LIMIT: usize = 2;
/// The time within which a waiting task has to start if there is capacity, in milliseconds.
const MAX_WAIT: u64 = 3_000;

/// A label that only the last worker has.
const LABEL: &str = "only";

fn settings() -> owner::Settings {
    owner::Settings { unproven_runs: Some(LIMIT), ..owner::Settings::default() }
}

/// Returns a worker that has the label.
fn labelled(n: usize) -> worker::Registration {
    worker::Registration { labels: vec![LABEL.to_owned()], ..cell::registration(n) }
}

/// Returns a cell of two workers, one of which is busy, and a third one that has registered since.
fn cell_of_three() -> Cell {
    let mut cell = Cell::with_settings(2, settings());
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 60_000)]))).len(), 1);
    cell.register(labelled(2));
    cell
}

/// Returns a small task of which each has to run on the labelled worker.
fn bound(count: u32) -> job::Phase {
    job::Phase { label: Some(LABEL.to_owned()), ..cell::phase(count, 500) }
}

/// Advances the time by `millis` while all workers reply to polls, and returns the number of starts on the
/// labelled one. None of its runs ends.
fn starts_within(cell: &mut Cell, millis: u64) -> usize {
    let until = cell.now + millis;
    let mut starts = Vec::new();
    while cell.now < until {
        cell.now += 100;
        poll_all(cell);
        starts.extend(cell::starts(&cell.tick()));
    }
    starts.iter().filter(|start| start.worker == cell::worker(2)).count()
}

/// Lets all workers report the runs that were ordered on them.
fn poll_all(cell: &mut Cell) {
    for n in 0..3 {
        let runs = cell.owner.runs().filter(|(_, run)| run.worker == cell::worker(n));
        let running = runs.map(|(task, run)| worker::Running {
            task,
            attempt: run.attempt,
            checkpoint: String::new(),
            progress: cell.now as f64 / 10_000.0,
            load: 0.0,
        });
        let running: Vec<_> = running.collect();
        cell.poll(n, &running);
    }
}

/// Guards against jobs that wait for as long as the first runs of their only worker take, on an idle one.
#[test]
fn tasks_that_only_a_new_worker_can_run_start_before_one_of_its_runs_is_done() {
    let mut cell = cell_of_three();
    let first: usize =
        (10..20).map(|job| cell::starts(&cell.submit(job, cell::job(vec![bound(1)]))).len()).sum();
    assert_eq!(first, LIMIT);
    assert_eq!(starts_within(&mut cell, MAX_WAIT), 10 - LIMIT);
}

/// Guards against the same for the other tasks of a job of which one is running.
#[test]
fn other_tasks_of_a_running_job_start_too() {
    let mut cell = cell_of_three();
    let first = cell::starts(&cell.submit(10, cell::job(vec![bound(10)]))).len();
    assert_eq!(first, LIMIT);
    assert_eq!(starts_within(&mut cell, MAX_WAIT), 10 - LIMIT);
}

/// Guards against the same for tasks that last.
#[test]
fn lasting_tasks_that_only_a_new_worker_can_run_start_too() {
    let mut cell = cell_of_three();
    let phase = job::Phase { long_running: true, ..bound(5) };
    let first = cell::starts(&cell.submit(10, cell::job(vec![phase]))).len();
    assert_eq!(first, LIMIT);
    assert_eq!(starts_within(&mut cell, MAX_WAIT), 5 - LIMIT);
}

/// Guards against tasks that others of their kind hold up, which come before them and must not start yet.
#[test]
fn tasks_that_have_waited_start_although_new_ones_of_their_kind_cannot() {
    let mut cell = Cell::with_settings(2, settings());
    // The other workers are full.
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![cell::phase(2, 64_000)]))).len(), 2);
    cell.register(labelled(2));
    let plain = |cell: &mut Cell, job| {
        let phase =
            job::Phase { estimate: gl_model::time::Span::seconds(5), ..cell::phase(1, 500) };
        cell::starts(&cell.submit(job, cell::job(vec![phase]))).len()
    };
    let mut started: usize = (10..14).map(|job| plain(&mut cell, job)).sum();
    assert_eq!(started, LIMIT);
    // A task comes each half second.
    for job in 20..40 {
        started += starts_within(&mut cell, 500);
        started += plain(&mut cell, job);
    }
    assert!(started >= 4 + 20 - 6, "{started} of 24 have started");
}

/// Guards against a new worker that fails all that it starts and takes the tasks that others can run soon.
#[test]
fn tasks_that_have_just_come_leave_the_limit_as_it_is() {
    let mut cell = cell_of_three();
    cell.submit(10, cell::job(vec![bound(10)]));
    assert_eq!(starts_within(&mut cell, 1_500), 0);
}
