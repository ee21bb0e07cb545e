//! Fill tasks beside lasting ones.

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// One worker with a lasting task, whose tail has to stay below 50 ms, and a fill task.
fn beside(checkpointing: bool, workers: usize) -> (Cell, cell::Started, cell::Started) {
    let mut cell = Cell::new(workers);
    let tail_target = Some(time::Span::millis(50));
    let desk = Some("desk".to_owned());
    let lasting =
        job::Phase { long_running: true, image: desk, tail_target, ..cell::phase(1, 30_000) };
    let lasting = cell::starts(&cell.submit(1, cell::job(vec![lasting]))).remove(0);
    cell.answer(&lasting, worker::OrderReply::Done);
    let fill = job::Phase {
        best_effort: true,
        image: Some("report".to_owned()),
        checkpointing,
        label: lasting.worker.0.ends_with('0').then(|| "r0".to_owned()),
        ..cell::phase(1, 8_000)
    };
    let fill = cell::starts(&cell.submit(2, cell::job(vec![fill]))).remove(0);
    cell.answer(&fill, worker::OrderReply::Done);
    (cell, lasting, fill)
}

fn paces(actions: &[owner::Action]) -> Vec<u32> {
    let pace = |action: &owner::Action| match action {
        owner::Action::Throttle { percent, .. } => Some(*percent),
        _ => None,
    };
    actions.iter().filter_map(pace).collect()
}

fn poll(cell: &mut Cell, lasting: &cell::Started, fill: &cell::Started, tail: f64) -> Vec<u32> {
    cell.now += 700;
    let n = cell::index(&fill.worker);
    let percent = (cell.now / 700 % 90) as f64;
    cell.poll(n, &[cell::running(lasting, 100.0, tail), cell::running(fill, percent, 7_000.0)]);
    let paces = paces(&cell.tick());
    for percent in &paces {
        cell.owner.throttle_confirmed(fill.task, fill.attempt, *percent);
    }
    paces
}

#[test]
fn a_fill_task_that_harms_is_slowed_down_step_by_step_and_let_go_again() {
    let (mut cell, lasting, fill) = beside(false, 1);
    assert!(poll(&mut cell, &lasting, &fill, 20.0).is_empty());
    assert_eq!(poll(&mut cell, &lasting, &fill, 120.0), [50]);
    assert_eq!(poll(&mut cell, &lasting, &fill, 120.0), [20]);
    assert!(poll(&mut cell, &lasting, &fill, 40.0).is_empty(), "between the two thresholds");
    assert_eq!(poll(&mut cell, &lasting, &fill, 20.0), [50]);
}

#[test]
fn harm_is_ended_within_three_looks() {
    let (mut cell, lasting, fill) = beside(false, 1);
    let paces: Vec<_> = (0..3).flat_map(|_| poll(&mut cell, &lasting, &fill, 200.0)).collect();
    assert_eq!(paces, [50, 20, 0]);
}

#[test]
fn a_fill_task_with_checkpoints_moves_to_where_it_does_no_harm() {
    let (mut cell, lasting, fill) = beside(true, 2);
    cell.now += 1_000;
    cell.poll(1 - cell::index(&fill.worker), &[]);
    cell.now += 100;
    let n = cell::index(&fill.worker);
    cell.poll(n, &[cell::running(&lasting, 100.0, 300.0), cell::running(&fill, 30.0, 7_000.0)]);
    assert_eq!(cell::stops(&cell.tick()), [fill.task]);
}

#[test]
fn a_pace_that_was_not_confirmed_is_ordered_again() {
    let (mut cell, lasting, fill) = beside(false, 1);
    cell.now += 700;
    let runs = [cell::running(&lasting, 100.0, 120.0), cell::running(&fill, 30.0, 7_000.0)];
    cell.poll(0, &runs);
    assert_eq!(paces(&cell.tick()), [50]);
    let calmer = [cell::running(&lasting, 100.0, 40.0), cell::running(&fill, 30.0, 7_000.0)];
    cell.poll(0, &calmer);
    assert_eq!(paces(&cell.tick()), [50]);
}

/// Looks in which the lasting task is well below its target beside the fill task.
fn learn_that_it_is_harmless(cell: &mut Cell, lasting: &cell::Started, fill: &cell::Started) {
    for _ in 0..40 {
        assert!(poll(cell, lasting, fill, 20.0).is_empty());
    }
}

/// The pattern: lasting tasks near their target by their own load, beside fill tasks of images
/// that harm nothing. On heavy days most of what was slowed down was such.
#[test]
fn a_harmless_image_is_not_slowed_while_the_lasting_task_is_busy() {
    let (mut cell, lasting, fill) = beside(false, 1);
    learn_that_it_is_harmless(&mut cell, &lasting, &fill);
    for tail in [46.0, 49.0, 47.0, 55.0, 46.0] {
        assert!(poll(&mut cell, &lasting, &fill, tail).is_empty(), "at a tail of {tail} ms");
    }
}

#[test]
fn any_image_is_slowed_where_a_lasting_task_stays_over_its_target() {
    let (mut cell, lasting, fill) = beside(false, 1);
    learn_that_it_is_harmless(&mut cell, &lasting, &fill);
    let paces: Vec<_> = (0..4).map(|_| poll(&mut cell, &lasting, &fill, 60.0)).collect();
    assert_eq!(paces, [vec![], vec![], vec![20], vec![0]], "within 3 s of the first look");
}

#[test]
fn a_harmless_image_goes_on_before_the_lasting_task_is_idle() {
    let (mut cell, lasting, fill) = beside(false, 1);
    learn_that_it_is_harmless(&mut cell, &lasting, &fill);
    for _ in 0..4 {
        poll(&mut cell, &lasting, &fill, 60.0);
    }
    poll(&mut cell, &lasting, &fill, 42.0);
    assert_eq!(poll(&mut cell, &lasting, &fill, 42.0), [20]);
}

/// The pattern: several images beside a lasting task that stays over its target. They were slowed
/// one after the other, the largest first, which took longer than such harm may last.
#[test]
fn all_images_are_slowed_where_a_lasting_task_stays_over_its_target() {
    let (mut cell, lasting, first) = beside(false, 1);
    let mut fills = vec![(first, 30_000.0)];
    for (n, load) in [(3, 6_000.0), (4, 1_000.0)] {
        let image = Some(format!("image-{n}"));
        let phase = job::Phase { best_effort: true, image, ..cell::phase(1, 2_000) };
        let fill = cell::starts(&cell.submit(n, cell::job(vec![phase]))).remove(0);
        cell.answer(&fill, worker::OrderReply::Done);
        fills.push((fill, load));
    }
    let mut paces = [100; 3];
    let mut poll = |tail: f64| {
        cell.now += 700;
        let percent = (cell.now / 700 % 90) as f64;
        let mut runs = vec![cell::running(&lasting, 100.0, tail)];
        for ((fill, load), pace) in fills.iter().zip(paces) {
            runs.push(cell::running(fill, percent, load * f64::from(pace) / 100.0));
        }
        cell.poll(0, &runs);
        for action in cell.tick() {
            if let owner::Action::Throttle { task, attempt, percent, .. } = action {
                cell.owner.throttle_confirmed(task, attempt, percent);
                let n = fills.iter().position(|(fill, _)| fill.task == task).unwrap();
                paces[n] = percent;
            }
        }
    };
    for _ in 0..40 {
        poll(20.0);
    }
    for _ in 0..4 {
        poll(60.0);
    }
    assert_eq!(paces, [0; 3], "2.1 s after the first look with harm");
}
