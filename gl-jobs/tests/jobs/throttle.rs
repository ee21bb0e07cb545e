//! Throttling of best-effort tasks that share a worker with long-running tasks. Interference must
//! end soon, and tasks that do not interfere must not be throttled without need.

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// Returns a cell in which a long-running task with a tail target of 50 ms shares a worker with a
/// best-effort task.
fn colocated(checkpointing: bool, workers: usize) -> (Cell, cell::Started, cell::Started) {
    colocated_with(checkpointing, workers, false)
}

/// Returns the same. The first start order of the best-effort task may have got no answer.
fn colocated_with(
    checkpointing: bool,
    workers: usize,
    is_repeated: bool,
) -> (Cell, cell::Started, cell::Started) {
    let mut cell = Cell::new(workers);
    let tail_target = Some(time::Span::millis(50));
    let desk = Some("desk".to_owned());
    let long_running =
        job::Phase { long_running: true, image: desk, tail_target, ..cell::phase(1, 30_000) };
    let long_running = cell::starts(&cell.submit(1, cell::job(vec![long_running]))).remove(0);
    cell.start_replied(&long_running, worker::OrderReply::Done);
    let best_effort = job::Phase {
        best_effort: true,
        image: Some("report".to_owned()),
        checkpointing,
        label: long_running.worker.0.ends_with('0').then(|| "r0".to_owned()),
        ..cell::phase(1, 8_000)
    };
    let best_effort = cell::starts(&cell.submit(2, cell::job(vec![best_effort]))).remove(0);
    if is_repeated {
        cell.start_replied(&best_effort, worker::OrderReply::Lost);
        cell.tick();
    }
    cell.start_replied(&best_effort, worker::OrderReply::Done);
    (cell, long_running, best_effort)
}

fn limits(actions: &[owner::Action]) -> Vec<u32> {
    let limit = |action: &owner::Action| match action {
        owner::Action::Throttle { percent, .. } => Some(*percent),
        _ => None,
    };
    actions.iter().filter_map(limit).collect()
}

fn poll(
    cell: &mut Cell,
    long_running: &cell::Started,
    best_effort: &cell::Started,
    tail: f64,
) -> Vec<u32> {
    cell.now += 700;
    let n = cell::index(&best_effort.worker);
    let progress = (cell.now / 700 % 90) as f64;
    cell.poll(
        n,
        &[cell::running(long_running, 100.0, tail), cell::running(best_effort, progress, 7_000.0)],
    );
    let limits = limits(&cell.tick());
    for percent in &limits {
        cell.owner.throttle_confirmed(best_effort.task, best_effort.attempt, *percent);
    }
    limits
}

#[test]
fn interfering_best_effort_task_is_throttled_and_unthrottled_in_steps() {
    let (mut cell, long_running, best_effort) = colocated(false, 1);
    assert!(poll(&mut cell, &long_running, &best_effort, 20.0).is_empty());
    assert_eq!(poll(&mut cell, &long_running, &best_effort, 120.0), [50]);
    assert_eq!(poll(&mut cell, &long_running, &best_effort, 120.0), [20]);
    assert!(
        poll(&mut cell, &long_running, &best_effort, 40.0).is_empty(),
        "between the two thresholds"
    );
    assert_eq!(poll(&mut cell, &long_running, &best_effort, 20.0), [50]);
}

#[test]
fn interference_is_ended_within_three_polls() {
    let (mut cell, long_running, best_effort) = colocated(false, 1);
    let limits: Vec<_> =
        (0..3).flat_map(|_| poll(&mut cell, &long_running, &best_effort, 200.0)).collect();
    assert_eq!(limits, [50, 20, 0]);
}

/// Returns what is decided as a best-effort task with checkpoints interferes, with room for it elsewhere.
fn interfere(
    (mut cell, long_running, best_effort): (Cell, cell::Started, cell::Started),
) -> (Vec<u32>, usize) {
    cell.now += 1_000;
    cell.poll(1 - cell::index(&best_effort.worker), &[]);
    cell.now += 100;
    let n = cell::index(&best_effort.worker);
    cell.poll(
        n,
        &[cell::running(&long_running, 100.0, 300.0), cell::running(&best_effort, 30.0, 7_000.0)],
    );
    let actions = cell.tick();
    (limits(&actions), cell::stops(&actions).len())
}

#[test]
fn interfering_task_with_checkpoints_moves_to_another_worker() {
    assert_eq!(interfere(colocated_with(true, 2, false)).1, 1);
}

/// Guards against a task that is stopped in order to be moved, and can start nowhere else for 12 s.
#[test]
fn interfering_task_with_an_open_order_is_throttled_in_place() {
    assert_eq!(interfere(colocated_with(true, 2, true)), (vec![50], 0));
}

#[test]
fn unconfirmed_cpu_limit_is_ordered_again() {
    let (mut cell, long_running, best_effort) = colocated(false, 1);
    cell.now += 700;
    let runs =
        [cell::running(&long_running, 100.0, 120.0), cell::running(&best_effort, 30.0, 7_000.0)];
    cell.poll(0, &runs);
    assert_eq!(limits(&cell.tick()), [50]);
    let calmer =
        [cell::running(&long_running, 100.0, 40.0), cell::running(&best_effort, 30.0, 7_000.0)];
    cell.poll(0, &calmer);
    assert_eq!(limits(&cell.tick()), [50]);
}

/// Polls that show the long-running task well below its target next to the best-effort task.
fn learn_unrelated_image(
    cell: &mut Cell,
    long_running: &cell::Started,
    best_effort: &cell::Started,
) {
    for _ in 0..40 {
        assert!(poll(cell, long_running, best_effort, 20.0).is_empty());
    }
}

/// Guards against throttling of unrelated images next to long-running tasks that are near their
/// target because of their own load. Under heavy load most throttled tasks were of this kind.
#[test]
fn unrelated_image_is_not_throttled_while_the_long_running_task_is_busy() {
    let (mut cell, long_running, best_effort) = colocated(false, 1);
    learn_unrelated_image(&mut cell, &long_running, &best_effort);
    for tail in [46.0, 49.0, 47.0, 55.0, 46.0] {
        assert!(
            poll(&mut cell, &long_running, &best_effort, tail).is_empty(),
            "at a tail of {tail} ms"
        );
    }
}

#[test]
fn unrelated_image_is_throttled_if_the_target_stays_exceeded() {
    let (mut cell, long_running, best_effort) = colocated(false, 1);
    learn_unrelated_image(&mut cell, &long_running, &best_effort);
    let limits: Vec<_> =
        (0..4).map(|_| poll(&mut cell, &long_running, &best_effort, 60.0)).collect();
    assert_eq!(limits, [vec![], vec![], vec![20], vec![0]], "within 3 s of the first poll");
}

#[test]
fn unrelated_image_is_unthrottled_below_the_high_ratio() {
    let (mut cell, long_running, best_effort) = colocated(false, 1);
    learn_unrelated_image(&mut cell, &long_running, &best_effort);
    for _ in 0..4 {
        poll(&mut cell, &long_running, &best_effort, 60.0);
    }
    poll(&mut cell, &long_running, &best_effort, 42.0);
    assert_eq!(poll(&mut cell, &long_running, &best_effort, 42.0), [20]);
}

/// Guards against throttling several images one after the other, starting with the largest, which
/// took longer than such interference may last.
#[test]
fn all_images_are_paused_if_the_target_stays_exceeded() {
    let (mut cell, long_running, first) = colocated(false, 1);
    let mut tasks = vec![(first, 30_000.0)];
    for (n, load) in [(3, 6_000.0), (4, 1_000.0)] {
        let image = Some(format!("image-{n}"));
        let phase = job::Phase { best_effort: true, image, ..cell::phase(1, 2_000) };
        let best_effort = cell::starts(&cell.submit(n, cell::job(vec![phase]))).remove(0);
        cell.start_replied(&best_effort, worker::OrderReply::Done);
        tasks.push((best_effort, load));
    }
    let mut limits = [100; 3];
    let mut poll = |tail: f64| {
        cell.now += 700;
        let progress = (cell.now / 700 % 90) as f64;
        let mut runs = vec![cell::running(&long_running, 100.0, tail)];
        for ((best_effort, load), limit) in tasks.iter().zip(limits) {
            runs.push(cell::running(best_effort, progress, load * f64::from(limit) / 100.0));
        }
        cell.poll(0, &runs);
        for action in cell.tick() {
            if let owner::Action::Throttle { task, attempt, percent, .. } = action {
                cell.owner.throttle_confirmed(task, attempt, percent);
                let n = tasks.iter().position(|(best_effort, _)| best_effort.task == task).unwrap();
                limits[n] = percent;
            }
        }
    };
    for _ in 0..40 {
        poll(20.0);
    }
    for _ in 0..4 {
        poll(60.0);
    }
    assert_eq!(limits, [0; 3], "2.1 s after the first poll with interference");
}
