//! The order of waiting phases while the capacity of a service is scarce.

use gl_cost::{level, summary};
use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell, Started};

/// Returns a cell of one worker, which a task occupies.
fn occupied(follows_loss: bool) -> (Cell, Started) {
    let loss_order = if follows_loss { owner::LossOrder::All } else { owner::LossOrder::Off };
    let settings = owner::Settings { loss_order, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(1, settings);
    let blocker = cell::starts(&cell.submit(1, relaxed(1, 0, 40))).remove(0);
    cell.start_replied(&blocker, worker::OrderReply::Done);
    (cell, blocker)
}

/// Returns a job of `count` phases that each need the whole worker, with this many seconds until its
/// objective ends.
fn relaxed(count: usize, priority: u32, seconds: u64) -> job::Job {
    let job = cell::job(vec![cell::phase(1, 64_000); count]);
    let target_latency = time::Span::seconds(seconds);
    job::Job { policy: job::Policy { priority, target_latency, ..job.policy }, ..job }
}

/// Lets the blocker run for 1.5 s, after which capacity counts as scarce.
fn wait(cell: &mut Cell, blocker: &Started) {
    for n in 0..15 {
        for _ in 0..9 {
            cell.tick();
        }
        cell.poll(0, &[cell::running(blocker, f64::from(n), 64_000.0)]);
    }
}

/// Ends the blocker, and returns what starts in its place.
fn next(cell: &mut Cell, blocker: &Started) -> Started {
    cell.report_end(0, blocker, worker::Outcome::Done);
    cell.poll(0, &[]);
    let start = cell::starts(&cell.tick()).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    start
}

/// Carries out what starts until nothing is left, and returns the jobs in the order of their first
/// starts.
fn order(cell: &mut Cell, blocker: &Started, jobs: usize) -> Vec<u64> {
    let mut order = Vec::new();
    let mut running = blocker.clone();
    while order.len() < jobs {
        running = next(cell, &running);
        let id = running.task.phase.job.0;
        if !order.contains(&id) {
            order.push(id);
        }
    }
    order
}

/// Guards against decisions that differ from those of an owner without the setting while a backlog is
/// too young to be a shortage.
#[test]
fn order_without_shortage_is_that_of_deadlines() {
    let order_of = |follows_loss| {
        let (mut cell, blocker) = occupied(follows_loss);
        for (n, (phases, priority, seconds)) in (2..).zip([(3, 2, 20), (1, 0, 40), (2, 1, 30)]) {
            cell.submit(n, relaxed(phases, priority, seconds));
        }
        order(&mut cell, &blocker, 3)
    };
    assert_eq!(order_of(true), order_of(false));
    assert_eq!(order_of(true), [2, 4, 3]);
}

/// Guards against a shortage in which large jobs are served first because their deadline is earlier,
/// while several small ones of the same worth wait. The first turn goes to the oldest job, 2.
#[test]
fn scarce_capacity_goes_to_the_most_urgent_payoff_for_the_least_work() {
    let (mut cell, blocker) = occupied(true);
    for (n, phases) in [(2, 1), (3, 5), (4, 1), (5, 2)] {
        cell.submit(n, relaxed(phases, 0, 20 + n));
    }
    wait(&mut cell, &blocker);
    assert_eq!(order(&mut cell, &blocker, 4), [2, 4, 5, 3]);
}

/// Guards against a priority that is stored and not read.
#[test]
fn scarce_capacity_goes_to_the_higher_priority_of_equal_jobs() {
    let (mut cell, blocker) = occupied(true);
    for (n, priority) in [(2, 0), (3, 2), (4, 0), (5, 1)] {
        cell.submit(n, relaxed(1, priority, 20));
    }
    wait(&mut cell, &blocker);
    assert_eq!(order(&mut cell, &blocker, 4), [2, 4, 5, 3]);
}

/// Guards against an order by loss that leaves a job for ever that can earn nothing any more.
#[test]
fn job_without_value_gets_a_turn_while_capacity_is_scarce() {
    let (mut cell, blocker) = occupied(true);
    cell.submit(2, relaxed(1, 2, 0));
    wait(&mut cell, &blocker);
    for n in 3..8 {
        let submitted = cell::at(cell.now);
        cell.submit(n, job::Job { submitted, ..relaxed(1, 0, 20) });
    }
    wait(&mut cell, &blocker);
    wait(&mut cell, &blocker);
    assert_eq!(next(&mut cell, &blocker).task, cell::task(2, 0, 0));
}

/// Guards against a recurring job whose later occurrences all use the turn of the first one.
#[test]
fn turn_of_a_recurring_job_ends_with_its_occurrence() {
    let (mut cell, blocker) = occupied(true);
    let first = cell::at(cell.now);
    let schedule = Some(job::Schedule { first, interval: time::Span::seconds(2), count: 2 });
    cell.submit(2, job::Job { schedule, ..relaxed(1, 2, 40) });
    for n in 3..7 {
        let submitted = cell::at(cell.now);
        cell.submit(n, job::Job { submitted, ..relaxed(1, 0, 40) });
    }
    wait(&mut cell, &blocker);
    let recurring = next(&mut cell, &blocker);
    assert_eq!(recurring.task, cell::task(2, 0, 0), "the oldest job has a turn");
    cell.report_end(0, &recurring, worker::Outcome::Done);
    cell.poll(0, &[]);
    let other = cell::starts(&cell.tick()).remove(0);
    cell.start_replied(&other, worker::OrderReply::Done);
    wait(&mut cell, &other);
    let occurrences = |cell: &Cell| cell.owner.jobs().map(|(_, entry)| entry.phases.len()).max();
    assert_eq!(occurrences(&cell), Some(2), "the second occurrence is due");
    assert_ne!(next(&mut cell, &other).task.phase.job, cell::id(2));
}

/// Guards against a shortage of short tasks that keeps interrupted long-running tasks waiting.
#[test]
fn interrupted_long_running_task_precedes_all_while_capacity_is_scarce() {
    let settings =
        owner::Settings { loss_order: owner::LossOrder::All, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(1, settings);
    let phase = job::Phase { long_running: true, ..cell::phase(1, 64_000) };
    let lost = cell::starts(&cell.submit(1, cell::job(vec![phase]))).remove(0);
    cell.start_replied(&lost, worker::OrderReply::Done);
    cell.report_end(0, &lost, worker::Outcome::Failed);
    cell.owner.add_job(cell::id(2), relaxed(1, 0, 20), &cell::moment(cell.now));
    cell.poll(0, &[]);
    let blocker = cell::starts(&cell.tick()).remove(0);
    assert_eq!(blocker.task, cell::task(2, 0, 0), "short tasks come first at the beginning");
    cell.start_replied(&blocker, worker::OrderReply::Done);
    for n in 3..7 {
        cell.submit(n, relaxed(1, 0, 20));
    }
    wait(&mut cell, &blocker);
    wait(&mut cell, &blocker);
    assert_eq!(next(&mut cell, &blocker).task, cell::task(1, 0, 0));
}

/// Guards against a summary that other daemons cannot act on: a shortage that does not show, a kind of
/// tasks without shortage that counts as scarce, or a backlog in another unit than core-seconds.
#[test]
fn summary_shows_the_shortage_with_its_backlog_and_age() {
    let (mut cell, blocker) = occupied(true);
    let before = cell.owner.load_summary(cell::at(cell.now));
    assert_eq!(before.level(cell::SERVICE), level::Level::Ample);
    for n in 2..6 {
        cell.submit(n, relaxed(1, 0, 20));
    }
    wait(&mut cell, &blocker);
    let summary = cell.owner.load_summary(cell::at(cell.now + 5_000));
    assert_eq!(summary.level(cell::SERVICE), level::Level::Scarce);
    assert!((5_000..5_200).contains(&summary.age.as_millis()), "{:?}", summary.age);
    let of_kind = |kind| summary.loads.iter().find(|load| load.kind == kind).unwrap();
    let short = of_kind(summary::Kind::Short).sample;
    assert!((short.backlog - 4.0 * 64.0 * 0.5).abs() < 1e-6, "{short:?}");
    assert!(short.arrivals > 0.0, "{short:?}");
    assert_eq!(of_kind(summary::Kind::BestEffort).level, level::Level::Ample);
}
