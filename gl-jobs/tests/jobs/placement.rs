//! Placement of tasks on workers, and the order in which phases are served. Workers must not be
//! overloaded, and tasks that cannot be placed must not block others.

use std::collections;

use gl_jobs::{job, owner, worker};
use gl_model::{size, time};

use crate::cell::{self, Cell};

fn placements(actions: &[owner::Action]) -> collections::BTreeMap<worker::WorkerId, usize> {
    placements_of(&cell::starts(actions))
}

pub fn placements_of(starts: &[cell::Started]) -> collections::BTreeMap<worker::WorkerId, usize> {
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
