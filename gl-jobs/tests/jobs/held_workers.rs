//! Workers that are held for short tasks: long-running tasks that have not run start there only if nothing
//! else is possible for them.

use std::collections;

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};
use crate::placement;

/// Fills a service with long-running tasks some time after a short job, and returns their starts.
fn starts_after_a_short_job(cell: &mut Cell, after: u64) -> Vec<cell::Started> {
    starts_of_size(cell, after, 32_000)
}

/// Does the same with tasks that need this many thousandths of a core.
fn starts_of_size(cell: &mut Cell, after: u64, cores: u64) -> Vec<cell::Started> {
    let short = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(2, 64_000)])));
    cell.now += 200;
    cell.tick();
    cell.complete(&short);
    cell.now += after;
    for n in 0..25 {
        cell.poll(n, &[]);
    }
    let count = u32::try_from(25 * 64_000 / cores).unwrap();
    let phase = job::Phase { long_running: true, ..cell::phase(count, cores) };
    cell::starts(&cell.submit(2, cell::job(vec![phase])))
}

/// A full service would leave no room for the large short jobs of the next minutes.
#[test]
fn new_long_running_tasks_wait_while_the_last_free_workers_are_needed_for_short_tasks() {
    let mut cell = Cell::new(25);
    assert_eq!(starts_after_a_short_job(&mut cell, 100).len(), 46);
    let next = cell::starts(&cell.submit(3, cell::job(vec![cell::phase(2, 64_000)])));
    assert_eq!(next.len(), 2, "the short job starts at once");
}

#[test]
fn long_running_tasks_get_all_workers_once_short_tasks_are_rare() {
    assert_eq!(starts_after_a_short_job(&mut Cell::new(25), 60_000).len(), 50);
}

/// Guards against a fleet that long-running tasks have filled before the first short task arrives, so
/// that there is no room for large ones for as long as they run.
#[test]
fn new_owner_holds_workers_before_it_has_seen_a_short_task() {
    let watch_time = time::Span::seconds(20);
    let settings = owner::Settings { watch_time, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(25, settings);
    let phase = job::Phase { long_running: true, ..cell::phase(50, 32_000) };
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![phase]))).len(), 46);
    let short = cell::starts(&cell.submit(2, cell::job(vec![cell::phase(2, 64_000)])));
    assert_eq!(short.len(), 2, "the first short job finds room");
}

/// Guards against lasting tasks that wait on an idle service, as the only workers that can run them are held.
#[test]
fn long_running_tasks_that_only_held_workers_can_run_start_there() {
    let watch_time = time::Span::seconds(20);
    let settings = owner::Settings { watch_time, ..owner::Settings::default() };
    let long_running = || job::Phase { long_running: true, ..cell::phase(2, 13_000) };
    let mut cell = Cell::with_settings(25, settings);
    // The first two workers are held, and the only ones on their rack.
    let labelled = job::Phase { label: Some("r0".to_owned()), ..long_running() };
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![labelled.clone()]))).len(), 2);

    // A short task on one of them, as in the case that was reported, changes nothing.
    let mut cell = Cell::with_settings(25, settings);
    let batch = job::Phase { label: Some("r0".to_owned()), ..cell::phase(1, 7_000) };
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![batch]))).len(), 1);
    assert_eq!(cell::starts(&cell.submit(2, cell::job(vec![labelled]))).len(), 2);

    // All others have a task of the phase.
    let mut cell = Cell::with_settings(25, settings);
    let wide = job::Phase { count: 25, per_worker: Some(1), ..long_running() };
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![wide]))).len(), 25);
}

/// Guards against the same while short tasks come.
#[test]
fn workers_held_for_present_short_tasks_run_what_no_others_can() {
    let mut cell = Cell::new(25);
    let short = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(4, 30_000)])));
    assert_eq!(short.len(), 4);
    cell.now += 200;
    cell.tick();
    cell.complete(&short);
    let held: Vec<_> =
        cell.owner.workers().filter(|w| w.is_held).map(|w| w.registration.clone()).collect();
    assert_eq!(held.len(), 2);
    let rack = held[0].rack.clone();
    let phase = job::Phase { long_running: true, label: rack, ..cell::phase(1, 13_000) };
    let starts = cell::starts(&cell.submit(2, cell::job(vec![phase])));
    assert_eq!(starts.len(), 1);
}

/// Guards against short tasks that find no room while workers are replaced: those that leave run no
/// long-running task any more, and were held in place of workers that accept tasks.
#[test]
fn workers_that_drain_are_not_held() {
    let watch_time = time::Span::seconds(20);
    let settings = owner::Settings { watch_time, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(27, settings);
    let entry = |n| worker::Registration { draining: n < 2, ..cell::registration(n) };
    let entries: Vec<_> = (0..27).map(entry).collect();
    let now = cell::at(cell.now);
    cell.owner.workers_listed(&entries, now, now);
    cell.now += 100;
    cell.tick();
    let phase = job::Phase { long_running: true, ..cell::phase(50, 32_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(started.len(), 46, "two of 25 are held");
}

#[test]
fn new_owner_holds_no_workers_for_long_without_short_tasks() {
    let watch_time = time::Span::seconds(20);
    let settings = owner::Settings { watch_time, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(25, settings);
    let phase = job::Phase { long_running: true, ..cell::phase(50, 32_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(started.len(), 46);
    for start in &started {
        cell.start_replied(start, worker::OrderReply::Done);
    }
    let mut later = Vec::new();
    for _ in 0..50 {
        cell.now += 1_000;
        for n in 0..25 {
            let here = started.iter().filter(|start| cell::index(&start.worker) == n);
            let running: Vec<_> = here.map(|start| cell::running(start, 100.0, 30.0)).collect();
            cell.poll(n, &running);
        }
        later.extend(cell::starts(&cell.tick()));
    }
    assert_eq!(later.len(), 4);
}

/// A short task that fits on no worker waits for ever, and must not hold workers all that time.
#[test]
fn short_task_that_fits_on_no_worker_holds_none_after_its_deadline() {
    let mut cell = Cell::new(25);
    assert!(cell::starts(&cell.submit(9, cell::job(vec![cell::phase(9, 900_000)]))).is_empty());
    assert_eq!(starts_after_a_short_job(&mut cell, 60_000).len(), 50);
}

/// Starts a run and lets it fail.
fn lose(cell: &mut Cell, start: &cell::Started) {
    cell.start_replied(start, worker::OrderReply::Done);
    let n = cell::index(&start.worker);
    cell.report_end(n, start, worker::Outcome::Failed);
    cell.poll(n, &[]);
}

/// Returns the change of the list that removes a worker.
fn removal(n: usize) -> worker::ListChanges {
    worker::ListChanges { removed: vec![cell::worker(n)], ..worker::ListChanges::default() }
}

/// A task that has run before must run again soon, wherever there is capacity.
#[test]
fn interrupted_long_running_task_takes_a_worker_that_is_held_free() {
    let mut cell = Cell::new(25);
    let starts = starts_after_a_short_job(&mut cell, 100);
    lose(&mut cell, &starts[0]);
    let changes = removal(cell::index(&starts[0].worker));
    cell.owner.workers_changed(&changes, cell::at(cell.now), cell::at(cell.now));
    let again = cell::starts(&cell.tick());
    assert!(again.iter().any(|start| start.task == starts[0].task), "{}", again.len());
}

/// Guards against workers held for short tasks that are filled by the tasks of a wide phase as soon as
/// one of them fails.
#[test]
fn tasks_that_have_not_run_take_no_held_worker_with_an_interrupted_one_of_their_phase() {
    let mut cell = Cell::new(25);
    let starts = starts_after_a_short_job(&mut cell, 100);
    assert_eq!(starts.len(), 46, "four tasks wait");
    lose(&mut cell, &starts[0]);
    let changes = removal(cell::index(&starts[0].worker));
    cell.owner.workers_changed(&changes, cell::at(cell.now), cell::at(cell.now));
    let again = cell::starts(&cell.tick());
    assert_eq!(again[0].task, starts[0].task);
    assert!(again.iter().all(|start| start.worker == again[0].worker), "one of two held workers");
}

/// Guards against held workers that are used up one after the other: each that an interrupted
/// long-running task had to take was filled by those that wait, and the largest tasks of short jobs
/// found no room for the rest of the day.
#[test]
fn held_worker_with_an_interrupted_long_running_task_keeps_its_other_room_for_short_tasks() {
    let mut cell = Cell::new(25);
    let starts = starts_of_size(&mut cell, 100, 16_000);
    assert_eq!(starts.len(), 92, "two workers are held, and eight tasks wait");
    let lost: Vec<_> = starts.iter().filter(|s| s.worker == starts[0].worker).take(2).collect();
    for start in &lost {
        lose(&mut cell, start);
    }
    let changes = removal(cell::index(&starts[0].worker));
    cell.owner.workers_changed(&changes, cell::at(cell.now), cell::at(cell.now));
    let again = cell::starts(&cell.tick());
    let tasks: Vec<_> = again.iter().map(|start| start.task).collect();
    assert_eq!(tasks, [lost[0].task, lost[1].task], "no task starts for the first time");
    assert_eq!(placement::placements_of(&again).len(), 1, "they share one of the held workers");
    let next = cell::starts(&cell.submit(3, cell::job(vec![cell::phase(1, 64_000)])));
    assert_eq!(next.len(), 1, "the other one has room for the largest task");
}

/// Guards against held workers that are used up although there is as much room as before: short tasks,
/// which came first, took what an interrupted long-running task had left, and it took a held worker.
#[test]
fn interrupted_long_running_task_gets_its_room_back_while_workers_are_held() {
    let mut cell = Cell::new(25);
    let starts = starts_after_a_short_job(&mut cell, 100);
    assert_eq!(starts.len(), 46, "two workers are held");
    let next = cell::job(vec![cell::phase(5, 32_000)]);
    let next = job::Job { submitted: cell::at(cell.now), ..next };
    assert_eq!(cell::starts(&cell.submit(3, next)).len(), 4, "one task waits");
    lose(&mut cell, &starts[7]);
    let again = cell::starts(&cell.tick());
    let [start] = &again[..] else { panic!("there is room for one task: {again:?}") };
    assert_eq!((start.task, &start.worker), (starts[7].task, &starts[7].worker));
}

/// Guards against large short tasks that wait while small ones, which have room elsewhere, fill the
/// workers that are held.
#[test]
fn small_short_tasks_leave_held_workers_to_those_that_fit_nowhere_else() {
    let mut cell = Cell::new(25);
    let starts = starts_of_size(&mut cell, 100, 24_000);
    let taken: collections::BTreeSet<_> = starts.iter().map(|start| &start.worker).collect();
    assert_eq!(
        (starts.len(), taken.len()),
        (46, 23),
        "two workers are held, 23 have 16 cores left"
    );
    let large = cell::starts(&cell.submit(3, cell::job(vec![cell::phase(1, 52_000)])));
    assert!(!taken.contains(&large[0].worker));
    let small = cell::starts(&cell.submit(4, cell::job(vec![cell::phase(23, 10_000)])));
    let elsewhere = small.iter().filter(|start| taken.contains(&start.worker)).count();
    assert_eq!((small.len(), elsewhere), (23, 23));
    let medium = cell::starts(&cell.submit(5, cell::job(vec![cell::phase(2, 32_000)])));
    assert_eq!(medium.len(), 2, "they fit on held workers only");
}

/// Guards against interrupted tasks that have to take a held worker, as tasks that wait for longer have
/// taken the capacity that they left.
#[test]
fn interrupted_task_gets_its_capacity_back_before_tasks_that_have_not_run() {
    let mut cell = Cell::new(25);
    let long_running = |count| job::Phase { long_running: true, ..cell::phase(count, 32_000) };
    let running = cell::starts(&cell.submit(1, cell::job(vec![long_running(50)])));
    assert_eq!(running.len(), 50);
    assert!(cell::starts(&cell.submit(2, cell::job(vec![long_running(3)]))).is_empty());
    cell.now += 100;
    lose(&mut cell, &running[7]);
    let next: Vec<_> = cell::starts(&cell.tick()).into_iter().map(|start| start.task).collect();
    assert_eq!(next, [running[7].task]);
}
