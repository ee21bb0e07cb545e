//! Placement of tasks on workers, and the order in which phases are served. Workers must not be
//! overloaded, and tasks that cannot be placed must not block others.

use std::collections;

use gl_jobs::{job, owner, worker};
use gl_model::{size, time};

use crate::cell::{self, Cell};

fn placements(actions: &[owner::Action]) -> collections::BTreeMap<worker::WorkerId, usize> {
    placements_of(&cell::starts(actions))
}

fn placements_of(starts: &[cell::Started]) -> collections::BTreeMap<worker::WorkerId, usize> {
    let mut placements = collections::BTreeMap::new();
    for start in starts {
        *placements.entry(start.worker.clone()).or_default() += 1;
    }
    placements
}

#[test]
fn no_worker_gets_more_than_its_capacity() {
    let mut cell = Cell::new(3);
    let actions = cell.submit(1, cell::job(vec![cell::phase(100, 10_000)]));
    let placements = placements(&actions);
    assert_eq!(placements.values().copied().collect::<Vec<_>>(), [6, 6, 6]);
}

#[test]
fn label_and_limit_per_worker_are_respected() {
    let mut cell = Cell::new(4);
    let phase =
        job::Phase { label: Some("r1".into()), per_worker: Some(2), ..cell::phase(9, 1_000) };
    let placements = placements(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(placements, [(cell::worker(2), 2), (cell::worker(3), 2)].into());
}

#[test]
fn tasks_prefer_the_rack_of_their_data_while_it_has_capacity() {
    let mut cell = Cell::new(4);
    let phase = job::Phase { data_rack: Some("r1".into()), ..cell::phase(3, 40_000) };
    let placements = placements(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(placements.len(), 3);
    assert!(placements.contains_key(&cell::worker(2)) && placements.contains_key(&cell::worker(3)));
}

#[test]
fn rack_sensitive_tasks_share_a_rack() {
    let mut cell = Cell::new(8);
    let phase = job::Phase { rack_sensitive: true, ..cell::phase(4, 30_000) };
    let placements = placements(&cell.submit(1, cell::job(vec![phase])));
    let racks: collections::BTreeSet<_> = placements.keys().map(|id| cell::index(id) / 2).collect();
    assert_eq!(racks.len(), 1);
}

#[test]
fn gang_starts_completely_with_one_attempt_or_not_at_all() {
    let mut cell = Cell::new(2);
    let gang = job::Phase { gang: true, ..cell::phase(3, 40_000) };
    assert!(cell::starts(&cell.submit(1, cell::job(vec![gang]))).is_empty());
    let gang = job::Phase { gang: true, ..cell::phase(2, 40_000) };
    let started = cell::starts(&cell.submit(2, cell::job(vec![gang])));
    assert_eq!(started.len(), 2);
    assert_eq!(started[0].attempt, started[1].attempt);
}

#[test]
fn gang_that_loses_a_member_restarts_completely() {
    let mut cell = Cell::new(2);
    let gang = job::Phase { gang: true, ..cell::phase(2, 40_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![gang])));
    cell.start_replied(&started[0], worker::OrderReply::Done);
    cell.start_replied(&started[1], worker::OrderReply::Refused(worker::Refusal::NoCapacity));
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions), [started[0].task]);
    assert!(cell::starts(&actions).is_empty());
    let n = cell::index(&started[0].worker);
    cell.report_end(n, &started[0], worker::Outcome::Stopped);
    cell.now += 600;
    cell.poll(n, &[]);
    cell.poll(1 - n, &[]);
    let again = cell::starts(&cell.tick());
    assert_eq!(again.len(), 2);
    assert_eq!(again[0].attempt, again[1].attempt);
}

#[test]
fn end_of_one_gang_member_completes_the_gang() {
    let mut cell = Cell::new(2);
    let gang = job::Phase { gang: true, ..cell::phase(2, 40_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![gang])));
    for start in &started {
        cell.start_replied(start, worker::OrderReply::Done);
    }
    cell.report_end(cell::index(&started[0].worker), &started[0], worker::Outcome::Done);
    cell.poll(cell::index(&started[0].worker), &[]);
    cell.commit();
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Complete));
}

#[test]
fn task_of_a_queue_with_advice_starts_only_on_an_allowed_worker() {
    let mut cell = Cell::new(3);
    let advice = Some(job::AdvicePolicy { validity: time::Span::seconds(3) });
    let advised = job::Job { advice, ..cell::job(vec![cell::phase(1, 1_000)]) };
    let actions = cell.submit(1, advised);
    assert!(cell::starts(&actions).is_empty());
    let phase = cell::task(1, 0, 0).phase;
    let is_request = |action: &&owner::Action| matches!(action, owner::Action::RequestAdvice { phase: requested, workers } if *requested == phase && workers.len() == 3);
    assert_eq!(actions.iter().filter(is_request).count(), 1);
    let grant = owner::Grant { worker: cell::worker(2), ticket: "t".to_owned() };
    let workers: Vec<_> = (0..3).map(cell::worker).collect();
    cell.owner.advice_received(phase, &workers, Some(vec![grant]), cell::at(cell.now));
    let start = cell::starts(&cell.tick()).remove(0);
    assert_eq!((start.worker, start.order.ticket), (cell::worker(2), Some("t".to_owned())));
}

#[test]
fn long_running_tasks_of_one_image_share_workers() {
    let mut cell = Cell::new(4);
    let long_running = |image: &str| job::Phase {
        long_running: true,
        image: Some(image.to_owned()),
        ..cell::phase(2, 10_000)
    };
    let mut used = collections::BTreeMap::<String, collections::BTreeSet<_>>::new();
    for (n, image) in (1..).zip(["a", "b", "a", "b", "a", "b"]) {
        for start in cell::starts(&cell.submit(n, cell::job(vec![long_running(image)]))) {
            used.entry(image.to_owned()).or_default().insert(start.worker);
        }
    }
    assert!(used["a"].is_disjoint(&used["b"]), "{used:?}");
}

#[test]
fn jobs_that_can_meet_their_objective_are_served_first() {
    let mut cell = Cell::new(1);
    let blocker = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 64_000)])));
    cell.start_replied(&blocker[0], worker::OrderReply::Done);
    cell.submit(2, cell::job(vec![cell::phase(1, 64_000)]));
    cell.now += 4_000;
    cell.poll(0, &[cell::running(&blocker[0], 50.0, 64_000.0)]);
    let now = cell::at(cell.now);
    let recent = job::Job { submitted: now, ..cell::job(vec![cell::phase(1, 64_000)]) };
    cell.submit(3, recent);
    cell.report_end(0, &blocker[0], worker::Outcome::Done);
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick())[0].task, cell::task(3, 0, 0));
}

#[test]
fn service_without_capacity_does_not_block_another() {
    let mut cell = Cell::new(2);
    let other = worker::Registration { service: "other".to_owned(), ..cell::registration(1) };
    cell.owner.workers_listed(
        &[cell::registration(0), other],
        cell::at(cell.now),
        cell::at(cell.now),
    );
    let whole = || cell::job(vec![cell::phase(1, 64_000)]);
    assert_eq!(cell::starts(&cell.submit(1, whole())).len(), 1);
    assert!(cell::starts(&cell.submit(2, whole())).is_empty());
    let elsewhere = job::Job { service: "other".to_owned(), ..whole() };
    let starts = cell::starts(&cell.submit(3, elsewhere));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, cell::worker(1));
}

/// Guards against long-running tasks that take all capacity released by short tasks, until no short
/// task can be placed any more.
#[test]
fn short_tasks_in_time_precede_waiting_long_running_tasks() {
    let mut cell = Cell::new(1);
    let blocker = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 64_000)]))).remove(0);
    cell.start_replied(&blocker, worker::OrderReply::Done);
    let long_running = job::Phase { long_running: true, ..cell::phase(1, 64_000) };
    assert!(cell::starts(&cell.submit(2, cell::job(vec![long_running]))).is_empty());
    let now = cell::at(cell.now);
    let short = job::Job { submitted: now, ..cell::job(vec![cell::phase(1, 64_000)]) };
    assert!(cell::starts(&cell.submit(3, short)).is_empty());
    cell.report_end(0, &blocker, worker::Outcome::Done);
    cell.poll(0, &[]);
    let next = cell::starts(&cell.tick()).remove(0);
    assert_eq!(next.task, cell::task(3, 0, 0));
    cell.start_replied(&next, worker::OrderReply::Done);
    cell.report_end(0, &next, worker::Outcome::Done);
    cell.poll(0, &[]);
    assert_eq!(
        cell::starts(&cell.tick())[0].task,
        cell::task(2, 0, 0),
        "then the long-running task"
    );
}

/// Short jobs arrive all the time and take all capacity that becomes free, so a long-running task
/// that lost its worker would never run again.
#[test]
fn interrupted_long_running_task_that_waited_for_long_precedes_short_tasks() {
    let mut cell = Cell::new(1);
    let long_running = job::Phase { long_running: true, ..cell::phase(1, 64_000) };
    let start = cell::starts(&cell.submit(1, cell::job(vec![long_running]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    let short = |cell: &Cell| {
        let submitted = cell::at(cell.now);
        job::Job { submitted, ..cell::job(vec![cell::phase(1, 64_000)]) }
    };
    cell.report_end(0, &start, worker::Outcome::Failed);
    cell.owner.add_job(cell::id(2), short(&cell), &cell::moment(cell.now));
    cell.poll(0, &[]);
    let blocker = cell::starts(&cell.tick()).remove(0);
    assert_eq!(blocker.task, cell::task(2, 0, 0), "short tasks come first at the beginning");
    cell.start_replied(&blocker, worker::OrderReply::Done);
    cell.now += 3_000;
    cell.poll(0, &[cell::running(&blocker, 50.0, 64_000.0)]);
    let next = short(&cell);
    cell.submit(3, next);
    cell.report_end(0, &blocker, worker::Outcome::Done);
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick())[0].task, cell::task(1, 0, 0));
}

/// Long-running tasks hold their capacity for the whole day. Spread over all workers, they leave no
/// worker with enough free processors for a large short task.
#[test]
fn long_running_tasks_leave_some_workers_free_for_large_short_tasks() {
    let mut cell = Cell::new(25);
    let long_running = |image: &str, count| job::Phase {
        long_running: true,
        image: Some(image.to_owned()),
        per_worker: Some(1),
        ..cell::phase(count, 12_000)
    };
    for (n, image) in (1..).zip(["a", "b", "c", "d"]) {
        let job = cell::job(vec![long_running(image, 15)]);
        assert_eq!(cell::starts(&cell.submit(n, job)).len(), 15);
    }
    let large = cell::job(vec![cell::phase(2, 60_000)]);
    assert_eq!(cell::starts(&cell.submit(5, large)).len(), 2);
    let wide = cell::job(vec![long_running("e", 25)]);
    assert_eq!(cell::starts(&cell.submit(6, wide)).len(), 23, "two workers are full");
}

/// The workers that are kept free are used if no other worker has capacity.
#[test]
fn long_running_tasks_take_the_last_free_workers_if_there_are_no_others() {
    let mut cell = Cell::new(25);
    let phase = job::Phase { long_running: true, ..cell::phase(25, 64_000) };
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![phase]))).len(), 25);
}

/// Fills a service with long-running tasks some time after a short job, and returns their starts.
fn starts_after_a_short_job(cell: &mut Cell, after: u64) -> Vec<cell::Started> {
    starts_of_size(cell, after, 32_000)
}

/// Does the same with tasks that need this many thousandths of a core.
fn starts_of_size(cell: &mut Cell, after: u64, cores: u64) -> Vec<cell::Started> {
    let short = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(2, 64_000)])));
    cell.now += 200;
    cell.tick();
    for start in &short {
        cell.start_replied(start, worker::OrderReply::Done);
        cell.report_end(cell::index(&start.worker), start, worker::Outcome::Done);
        cell.poll(cell::index(&start.worker), &[]);
    }
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
    for start in &short {
        cell.start_replied(start, worker::OrderReply::Done);
        cell.report_end(cell::index(&start.worker), start, worker::Outcome::Done);
        cell.poll(cell::index(&start.worker), &[]);
    }
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
    assert_eq!(placements_of(&again).len(), 1, "they share one of the held workers");
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

/// Returns the cell's first worker with another capacity, in thousandths of a core and megabytes.
fn resized(cores: u64, memory: u64) -> worker::Registration {
    let size = size::Size { cores, memory, accelerators: 0 };
    worker::Registration { size, ..cell::registration(0) }
}

fn list(cell: &mut Cell, entry: worker::Registration) {
    let now = cell::at(cell.now);
    cell.owner.workers_listed(&[entry], now, now);
}

/// Guards against starts that exceed the capacity of a worker that has shrunk.
#[test]
fn worker_that_has_shrunk_gets_no_more_than_its_new_capacity() {
    let mut cell = Cell::new(1);
    list(&mut cell, resized(20_000, 250_000));
    let started = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(9, 8_000)])));
    assert_eq!(started.len(), 2);
    list(&mut cell, resized(64_000, 250_000));
    assert_eq!(cell::starts(&cell.tick()).len(), 6, "its capacity is back");
}

/// Guards against starts on a worker whose runs exceed what is left of it, also of tasks that need
/// nothing of the resource that has shrunk.
#[test]
fn worker_that_has_shrunk_below_its_reservations_gets_no_tasks() {
    let mut cell = Cell::new(1);
    let started = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(4, 10_000)])));
    for start in &started {
        cell.start_replied(start, worker::OrderReply::Done);
    }
    list(&mut cell, resized(25_000, 250_000));
    let best_effort = job::Phase { best_effort: true, ..cell::phase(1, 1_000) };
    assert!(cell::starts(&cell.submit(2, cell::job(vec![best_effort]))).is_empty());
    assert!(cell::starts(&cell.submit(3, cell::job(vec![cell::phase(1, 0)]))).is_empty());
    let waited = cell.now + 2_500;
    while cell.now < waited {
        let running: Vec<_> =
            started.iter().map(|s| cell::running(s, cell.now as f64 / 100.0, 0.0)).collect();
        cell.poll(0, &running);
        assert!(
            cell::starts(&cell.tick()).is_empty(),
            "started on a worker that is over its capacity"
        );
    }
    list(&mut cell, resized(64_000, 250_000));
    assert_eq!(cell::starts(&cell.tick()).len(), 2);
}
