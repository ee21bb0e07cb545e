//! Tasks that crash the workers that start them must not take down one worker after the other, and
//! tasks that only shared a worker with them must not be given up.

use std::collections;

use gl_jobs::{bitset, job, record};

use crate::{cell, fleet::Fleet};

/// The number of starts that a task may have after three workers have crashed under it, and these.
const MAX_STARTS: usize = 5;

fn single(cores: u64) -> job::Job {
    cell::job(vec![cell::phase(1, cores)])
}

/// Guards against a task that is started again after each crash that it causes.
#[test]
fn task_that_crashes_its_workers_is_given_up() {
    let mut fleet = Fleet::new(6);
    let deadly = cell::task(1, 0, 0);
    fleet.deadly.insert(deadly);
    fleet.submit(1, single(1_000));
    fleet.run(40_000);
    assert!(fleet.started(deadly) <= MAX_STARTS, "{} starts", fleet.started(deadly));
    assert!(fleet.started(deadly) >= 2, "given up after the first crash");
    assert_eq!(fleet.state(1), Some(job::State::Failed));
}

/// Guards against a task whose worker is dark for longer than its lease: the runs lapse, and the
/// crash becomes known only when the next worker of the VM is listed.
#[test]
fn crash_that_becomes_known_after_the_lease_counts() {
    let mut fleet = Fleet::new(9);
    fleet.downtime = 9_000;
    let deadly = cell::task(1, 0, 0);
    fleet.deadly.insert(deadly);
    fleet.submit(1, single(1_000));
    fleet.run(80_000);
    assert!(fleet.started(deadly) <= MAX_STARTS, "{} starts", fleet.started(deadly));
    assert_eq!(fleet.state(1), Some(job::State::Failed));
}

/// Guards against blame for the tasks that run next to one that crashes its workers.
#[test]
fn neighbours_of_a_task_that_crashes_its_workers_complete() {
    let mut fleet = Fleet::new(6);
    fleet.deadly.insert(cell::task(1, 0, 0));
    fleet.submit(2, cell::job(vec![cell::phase(20, 1_000)]));
    fleet.submit(1, single(1_000));
    fleet.submit(3, cell::job(vec![cell::phase(20, 1_000)]));
    fleet.run(40_000);
    assert_eq!(fleet.state(1), Some(job::State::Failed));
    assert_eq!(fleet.state(2), Some(job::State::Complete));
    assert_eq!(fleet.state(3), Some(job::State::Complete));
}

/// Guards against blame for tasks whose workers crash again and again for other reasons, such as a
/// rack that loses power.
#[test]
fn tasks_of_workers_that_lose_power_complete() {
    let mut fleet = Fleet::new(8);
    fleet.work = 2_500;
    fleet.submit(1, cell::job(vec![cell::phase(60, 4_000)]));
    for round in 0..4 {
        // The first crash comes right after the starts, the others while the tasks run again.
        fleet.run(if round == 0 { 20 } else { 4_700 });
        for n in 0..8 {
            fleet.crash(n);
        }
    }
    fleet.run(30_000);
    assert_eq!(fleet.state(1), Some(job::State::Complete));
}

/// Guards against a long-running job that is shown as failed because its workers crash.
#[test]
fn long_running_tasks_are_never_given_up() {
    let mut fleet = Fleet::new(6);
    fleet.work = 1_000_000;
    let phase = job::Phase { long_running: true, ..cell::phase(2, 1_000) };
    fleet.submit(1, cell::job(vec![phase]));
    for _ in 0..6 {
        fleet.run(100);
        for n in 0..6 {
            fleet.crash(n);
        }
        fleet.run(3_050);
    }
    assert_eq!(fleet.state(1), Some(job::State::Running));
}

/// Guards against starts of a task that a later owner does not know of: it counts the crashes that
/// earlier owners have seen, and those that nobody has seen. Owners change right after the first
/// start as well, and speculative tasks start before a new owner knows all workers.
#[test]
fn crashes_are_counted_over_changes_of_owner() {
    let pauses = (200..4_200).step_by(250);
    for (pause, speculative) in pauses.flat_map(|pause| [(pause, false), (pause, true)]) {
        let mut fleet = Fleet::new(6);
        let deadly = cell::task(1, 0, 0);
        fleet.deadly.insert(deadly);
        let phase = job::Phase { speculative, ..cell::phase(1, 1_000) };
        fleet.submit(1, cell::job(vec![phase]));
        for _ in 0..8 {
            fleet.run(pause);
            fleet.change_owner();
        }
        fleet.run(40_000);
        let starts = fleet.started(deadly);
        assert!(starts <= MAX_STARTS, "{starts} starts with owners that last {pause} ms");
        assert_eq!(fleet.state(1), Some(job::State::Failed));
    }
}

/// Guards against a start that waits to be stored and is ordered after its job was cancelled.
#[test]
fn cancelled_task_whose_start_waits_to_be_stored_does_not_start() {
    let mut fleet = Fleet::new(6);
    let deadly = cell::task(1, 0, 0);
    fleet.deadly.insert(deadly);
    fleet.submit(1, single(1_000));
    fleet.run(100);
    fleet.is_storing = false;
    fleet.run(4_000);
    fleet.owner.cancel_job(cell::id(1), cell::at(fleet.now));
    fleet.is_storing = true;
    fleet.run(6_000);
    assert_eq!(fleet.started(deadly), 1);
}

/// Guards against blame for tasks whose workers have announced their end.
#[test]
fn tasks_of_draining_workers_are_not_given_up() {
    let mut fleet = Fleet::new(4);
    fleet.work = 2_500;
    fleet.submit(1, single(1_000));
    for _ in 0..4 {
        fleet.run(50);
        let place = fleet.place(cell::task(1, 0, 0)).unwrap();
        fleet.draining.insert(place);
        fleet.run(20);
        fleet.crash(place);
        fleet.run(3_000);
        fleet.draining.remove(&place);
    }
    fleet.run(10_000);
    assert_eq!(fleet.state(1), Some(job::State::Complete));
}

/// Guards against a new start of a task of which a crash is not stored: a later owner would not
/// know of the crash.
#[test]
fn task_under_which_a_worker_crashed_starts_only_after_this_is_stored() {
    let mut fleet = Fleet::new(6);
    let deadly = cell::task(1, 0, 0);
    fleet.deadly.insert(deadly);
    fleet.submit(1, single(1_000));
    fleet.run(100);
    fleet.is_storing = false;
    fleet.run(6_000);
    assert_eq!(fleet.started(deadly), 1);
    fleet.is_storing = true;
    fleet.run(1_000);
    assert_eq!(fleet.started(deadly), 2);
}

/// Guards against a task that waits for ever for a worker of its own while the service is busy.
#[test]
fn task_under_which_a_worker_crashed_runs_in_a_busy_service() {
    let mut fleet = Fleet::new(3);
    fleet.work = 200;
    fleet.submit(1, single(1_000));
    fleet.run(30);
    let place = fleet.place(cell::task(1, 0, 0)).unwrap();
    fleet.crash(place);
    for n in 0..60 {
        fleet.submit(2 + n, cell::job(vec![cell::phase(20, 10_000)]));
        fleet.run(100);
    }
    assert_eq!(fleet.state(1), Some(job::State::Complete));
}

/// Guards against a wait of all other tasks while one that may crash its worker runs for long.
#[test]
fn worker_of_a_task_that_has_survived_gets_other_tasks() {
    let mut fleet = Fleet::new(2);
    fleet.work = 60_000;
    fleet.submit(1, single(1_000));
    fleet.run(30);
    let place = fleet.place(cell::task(1, 0, 0)).unwrap();
    fleet.crash(place);
    fleet.run(6_000);
    let place = fleet.place(cell::task(1, 0, 0)).unwrap();
    fleet.submit(2, cell::job(vec![cell::phase(12, 10_000)]));
    fleet.run(2_000);
    let tasks = (0..12).map(|index| cell::task(2, 0, index));
    assert!(tasks.clone().all(|task| fleet.place(task).is_some()));
    assert!(tasks.clone().any(|task| fleet.place(task) == Some(place)));
    let suspects = fleet.progress.values().flat_map(|p| &p.phases).map(|p| p.suspects.len());
    assert_eq!(suspects.sum::<usize>(), 0, "the task is cleared");
}

/// Guards against rows of earlier versions that cannot be read.
#[test]
fn rows_without_crashes_are_read() {
    #[derive(serde::Serialize)]
    struct Phase {
        occurrence: u32,
        phase: u32,
        done: bitset::BitSet,
        failures: collections::BTreeMap<u32, Vec<u64>>,
        checkpoints: collections::BTreeMap<u32, String>,
    }
    #[derive(serde::Serialize)]
    struct Progress {
        end: Option<job::State>,
        phases: Vec<Phase>,
    }
    let phase = Phase {
        occurrence: 0,
        phase: 1,
        done: bitset::BitSet::default(),
        failures: [(0, vec![3])].into(),
        checkpoints: collections::BTreeMap::new(),
    };
    let bytes = record::encode("progress", &Progress { end: None, phases: vec![phase] }).unwrap();
    let progress: record::Progress = record::decode("progress", &bytes).unwrap();
    assert_eq!(progress.phases[0].failures, [(0, vec![3])].into());
    assert!(progress.phases[0].suspects.is_empty());
}
