//! Rules for best-effort tasks next to long-running ones that limit trials, look ahead, or count the
//! cost of interference. Without the settings nothing changes.

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

const TARGET_MS: f64 = 50.0;

fn settings(colocation: owner::Colocation) -> owner::Settings {
    owner::Settings { colocation, ..owner::Settings::default() }
}

fn long_running_job() -> job::Job {
    let tail_target = Some(time::Span::millis(50));
    let image = Some("desk".to_owned());
    let phase = job::Phase { long_running: true, image, tail_target, ..cell::phase(1, 30_000) };
    cell::job(vec![phase])
}

fn best_effort_job(count: u32, checkpointing: bool) -> job::Job {
    let phase = job::Phase {
        best_effort: true,
        image: Some("report".to_owned()),
        checkpointing,
        estimate: time::Span::seconds(4),
        ..cell::phase(count, 8_000)
    };
    cell::job(vec![phase])
}

/// Returns a cell with a long-running task on each worker.
fn busy(workers: usize, colocation: owner::Colocation) -> (Cell, Vec<cell::Started>) {
    let mut cell = Cell::with_settings(workers, settings(colocation));
    let mut all = Vec::new();
    for n in 0..workers as u64 {
        let mut job = long_running_job();
        job.phases[0].count = 1;
        job.phases[0].per_worker = Some(1);
        job.phases[0].size.cores = 40_000;
        let started = cell::starts(&cell.submit(n + 1, job)).remove(0);
        cell.start_replied(&started, worker::OrderReply::Done);
        all.push(started);
    }
    (cell, all)
}

/// Polls the worker of a long-running task, next to which a best-effort task may run.
fn poll(
    cell: &mut Cell,
    long_running: &cell::Started,
    best_effort: Option<&cell::Started>,
    ratio: f64,
) -> Vec<owner::Action> {
    // Longer than the window over which tail ratios are measured.
    cell.now += 570;
    let mut runs = vec![cell::running(long_running, 100.0, ratio * TARGET_MS)];
    let progress = (cell.now / 500 % 90) as f64;
    runs.extend(best_effort.map(|start| cell::running(start, progress, 7_000.0)));
    cell.poll(cell::index(&long_running.worker), &runs);
    cell.tick()
}

fn impacts(actions: &[owner::Action]) -> Vec<owner::Impact> {
    let impact = |action: &owner::Action| match action {
        owner::Action::Note(owner::Note::Impact { impact, .. }) => Some(*impact),
        _ => None,
    };
    actions.iter().filter_map(impact).collect()
}

/// Guards against a cost of interference that nobody sees, and against windows that are counted once
/// for each poll.
#[test]
fn cost_of_interference_is_reported_at_the_interval() {
    let interval = Some(time::Span::seconds(10));
    let colocation = owner::Colocation { impact_interval: interval, ..Default::default() };
    let (mut cell, long_running) = busy(1, colocation);
    let best_effort = cell::starts(&cell.submit(9, best_effort_job(1, false))).remove(0);
    cell.start_replied(&best_effort, worker::OrderReply::Done);
    let mut reported = Vec::new();
    while cell.now < 11_500 {
        // Over the target for the first four seconds: two windows, or three if they are cut.
        let ratio = if cell.now < 5_000 { 2.0 } else { 0.3 };
        reported.extend(impacts(&poll(&mut cell, &long_running[0], Some(&best_effort), ratio)));
    }
    assert_eq!(reported.len(), 1, "{reported:?}");
    assert_eq!(reported[0].starts, 1);
    assert!((2..=3).contains(&reported[0].windows), "{reported:?}");
    assert!(reported[0].limits > 0, "{reported:?}");
}

fn untested(runs: usize) -> owner::Colocation {
    owner::Colocation { untested_runs: Some(runs), ..owner::Colocation::default() }
}

/// Guards against a burst of a new image that spoils many workers before its interference is known.
#[test]
fn burst_of_a_new_image_is_tried_in_few_places() {
    let (mut cell, _) = busy(12, untested(2));
    let started = cell::starts(&cell.submit(99, best_effort_job(40, false)));
    assert_eq!(started.len(), 2);
    let (mut cell, _) = busy(12, owner::Colocation::default());
    let started = cell::starts(&cell.submit(99, best_effort_job(40, false)));
    assert!(started.len() >= 12, "without the bound: {}", started.len());
}

/// Guards against a bound that delays tasks although few of them wait.
#[test]
fn few_tasks_of_a_new_image_start_at_once() {
    let (mut cell, _) = busy(12, untested(2));
    assert_eq!(cell::starts(&cell.submit(99, best_effort_job(6, false))).len(), 6);
}

/// Guards against an image that interferes and is taken for a harmless one, as its runs did not
/// interfere while their CPU limits were low.
#[test]
fn windows_under_a_cpu_limit_do_not_make_an_image_harmless() {
    let learned = |skips_throttled| {
        let colocation = owner::Colocation { skips_throttled, ..Default::default() };
        let (mut cell, long_running) = busy(1, colocation);
        let best_effort = cell::starts(&cell.submit(9, best_effort_job(1, false))).remove(0);
        cell.start_replied(&best_effort, worker::OrderReply::Done);
        for ratio in [1.5, 1.5, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7] {
            let actions = poll(&mut cell, &long_running[0], Some(&best_effort), ratio);
            for action in actions {
                if let owner::Action::Throttle { task, attempt, percent, .. } = action {
                    cell.owner.throttle_confirmed(task, attempt, percent);
                }
            }
        }
        cell.report_end(0, &best_effort, worker::Outcome::Done);
        poll(&mut cell, &long_running[0], None, 0.4);
        !cell::starts(&cell.submit(10, best_effort_job(1, false))).is_empty()
    };
    assert!(learned(false), "counted, the windows hide the interference");
    assert!(!learned(true));
}

/// Returns the number of starts of a best-effort job that is submitted at a position in the cycle of
/// a long-running task, whose tail ratio swings from 0.25 to 0.95 in 17 s.
fn starts_at(position: f64, colocation: owner::Colocation) -> usize {
    const PERIOD_MS: f64 = 17_000.0;
    let (mut cell, long_running) = busy(1, colocation);
    let peak = cell.now as f64;
    let ratio = |now: u64| {
        let turns = (now as f64 - peak) / PERIOD_MS;
        0.6 + 0.35 * (turns * std::f64::consts::TAU).cos()
    };
    while (cell.now as f64) < peak + (3.0 + position) * PERIOD_MS {
        let now = cell.now + 580;
        poll(&mut cell, &long_running[0], None, ratio(now));
    }
    cell::starts(&cell.submit(9, best_effort_job(1, false))).len()
}

/// Guards against starts that have to be stopped at the next peak, and against a forecast that holds
/// tasks back through the whole cycle.
#[test]
fn untested_task_does_not_start_shortly_before_a_peak() {
    let forecasts = owner::Colocation { forecasts_starts: true, ..Default::default() };
    assert_eq!(starts_at(0.8, forecasts), 0, "3.4 s before the peak");
    assert_eq!(starts_at(0.4, forecasts), 1, "before the trough");
    assert_eq!(starts_at(0.8, owner::Colocation::default()), 1, "without forecasts");
}
