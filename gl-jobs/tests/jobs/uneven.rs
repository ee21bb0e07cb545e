//! Uneven workers and distance. Guards against tasks that go to slow, failing, flapping or cold workers
//! although others have capacity, against workers that are never tried again, and against tasks that
//! wait for a rack for longer than they could save.

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// The time by which a task of a queue is declared to run, in milliseconds; see [`cell::phase()`].
const DECLARED_MS: u64 = 500;

fn seconds(n: u64) -> time::Span {
    time::Span::seconds(n)
}

fn with_estimates() -> owner::Settings {
    owner::Settings { uses_estimates: true, ..owner::Settings::default() }
}

fn poll_all(cell: &mut Cell, workers: usize) {
    for n in 0..workers {
        cell.poll(n, &[]);
    }
}

/// Returns the worker of the next task.
fn next(cell: &mut Cell, job: u64, phase: job::Phase) -> Vec<usize> {
    let starts = cell::starts(&cell.submit(job, cell::job(vec![phase])));
    starts.iter().map(|start| cell::index(&start.worker)).collect()
}

/// Runs one task on each worker, of which worker 0 takes `slow` milliseconds.
fn run_round(cell: &mut Cell, job: u64, slow: u64) {
    let phase = job::Phase { per_worker: Some(1), ..cell::phase(4, 1_000) };
    let starts = cell::starts(&cell.submit(job, cell::job(vec![phase])));
    assert_eq!(starts.len(), 4);
    for start in &starts {
        cell.start_replied(start, worker::OrderReply::Done);
    }
    let begin = cell.now;
    let (first, others): (Vec<_>, Vec<_>) =
        starts.iter().partition(|start| cell::index(&start.worker) == 0);
    for (start, length) in
        others.iter().map(|s| (s, DECLARED_MS)).chain(first.iter().map(|s| (s, slow)))
    {
        cell.now = cell.now.max(begin + length);
        let n = cell::index(&start.worker);
        cell.report_end(n, start, worker::Outcome::Done);
        cell.poll(n, &[]);
    }
    cell.commit();
    poll_all(cell, 4);
    cell.tick();
}

/// The binary suspect rule does not know of slowness. A slow worker must come last, and must be
/// tried again once the observations are old.
#[test]
fn slow_worker_comes_last_until_its_record_is_old() {
    let mut cell = Cell::with_settings(4, with_estimates());
    for job in 0..8 {
        run_round(&mut cell, 100 + job, 2_000);
    }
    assert_ne!(next(&mut cell, 1, cell::phase(1, 1_000)), [0]);
    let phase = job::Phase { per_worker: Some(1), ..cell::phase(4, 1_000) };
    let order = next(&mut cell, 2, phase);
    assert_eq!(order.last(), Some(&0), "a slow worker with free capacity is still used: {order:?}");
    let mut cell = Cell::with_settings(4, with_estimates());
    for job in 0..8 {
        run_round(&mut cell, 100 + job, 2_000);
    }
    cell.now += 60_000;
    poll_all(&mut cell, 4);
    cell.tick();
    assert_eq!(next(&mut cell, 1, cell::phase(1, 1_000)), [0]);
}

/// Equal workers must be chosen as without estimates.
#[test]
fn usual_variation_of_durations_changes_no_choice() {
    let mut cell = Cell::with_settings(4, with_estimates());
    for job in 0..8 {
        run_round(&mut cell, 100 + job, DECLARED_MS + 100);
    }
    assert_eq!(next(&mut cell, 1, cell::phase(1, 1_000)), [0]);
}

/// Two failures do not make a worker suspect, and cost the next job an attempt as well.
#[test]
fn failing_worker_comes_last_before_it_is_suspect() {
    let mut cell = Cell::with_settings(4, with_estimates());
    for job in 1..3 {
        let starts = cell::starts(&cell.submit(job, cell::job(vec![cell::phase(1, 1_000)])));
        let (id, now) = (cell::id(job), cell::at(cell.now));
        let n = cell::index(&starts[0].worker);
        assert_eq!(n == 0, job == 1);
        let start = cell::Started { worker: cell::worker(0), ..starts[0].clone() };
        cell.report_end(0, &start, worker::Outcome::Failed);
        cell.poll(0, &[]);
        cell.owner.cancel_job(id, now);
        cell.tick();
    }
    assert_ne!(next(&mut cell, 3, cell::phase(1, 1_000)), [0]);
    assert!(cell::at(cell.now) >= cell.owner.worker(&cell::worker(0)).unwrap().suspect_until);
}

/// Long-running tasks would be interrupted again and again on a worker that flaps.
#[test]
fn long_running_tasks_avoid_a_flapping_worker() {
    let mut cell = Cell::with_settings(4, with_estimates());
    for _ in 0..6 {
        cell.owner.poll_failed(&cell::worker(0), cell::at(cell.now));
        cell.poll(0, &[]);
    }
    cell.now += 3_000;
    poll_all(&mut cell, 4);
    let phase = job::Phase { long_running: true, ..cell::phase(1, 1_000) };
    assert_ne!(next(&mut cell, 1, phase), [0]);
}

/// Decisions against a worker need certainty, and a record must not count for ever.
#[test]
fn uncertainty_of_a_record_grows_with_its_age() {
    let mut record = owner::WorkerRecord::default();
    for n in 0..4 {
        record.add_duration(5.0, cell::at(n * 100));
        record.add_outcome(true, cell::at(n * 100));
    }
    let lower = |age| record.slowness(cell::at(age)).lower();
    let rates = |age| record.failure_rate(cell::at(age)).lower();
    assert!(lower(1_000) > lower(15_000) && lower(15_000) > lower(25_000), "{}", lower(15_000));
    assert_eq!((lower(60_000), rates(120_000)), (0.0, 0.0));
    assert!(rates(1_000) > rates(20_000));
}

/// A new worker that fails all that it starts must not take the work of the whole service.
#[test]
fn new_worker_gets_few_runs_until_one_is_done() {
    let settings = owner::Settings { unproven_runs: Some(2), ..owner::Settings::default() };
    let mut cell = Cell::with_settings(2, settings);
    assert_eq!(next(&mut cell, 1, cell::phase(4, 30_000)).len(), 4);
    let late = worker::ListChanges { changed: vec![cell::registration(2)], removed: Vec::new() };
    let poll = |cell: &mut Cell, ended: Vec<worker::Ended>| {
        cell.commit();
        cell.now += 10;
        let clock = cell::at(cell.now);
        let incarnation = worker::Incarnation(1);
        let reply = worker::PollReply { clock, incarnation, ended, ..worker::PollReply::default() };
        cell.owner.poll_replied(
            &cell::worker(2),
            cell::call(&cell.owner, &cell::worker(2), clock),
            &reply,
            clock,
        );
    };
    cell.owner.workers_changed(&late, cell::at(cell.now), cell::at(cell.now));
    poll(&mut cell, Vec::new());
    let starts = cell::starts(&cell.submit(2, cell::job(vec![cell::phase(10, 5_000)])));
    assert_eq!(starts.len(), 2);
    let end = |number: usize, outcome| {
        let start = &starts[number - 1];
        let (task, attempt, number) = (start.task, start.attempt, number as u64);
        worker::Ended { number, task, attempt, outcome, checkpoint: String::new() }
    };
    poll(&mut cell, vec![end(1, worker::Outcome::Failed)]);
    assert_eq!(cell::starts(&cell.tick()).len(), 1, "a failure proves nothing");
    poll(&mut cell, vec![end(2, worker::Outcome::Done)]);
    assert!(cell::starts(&cell.tick()).len() >= 8);
}

/// After a restoration, load must return in steps, and free capacity must still be used.
#[test]
fn cold_worker_comes_last_while_it_is_cold() {
    let settings = owner::Settings { cold_factor: 2.0, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(2, settings);
    let cold = worker::Registration { cold_left: Some(seconds(8)), ..cell::registration(0) };
    let list = worker::ListChanges { changed: vec![cold], removed: Vec::new() };
    cell.owner.workers_changed(&list, cell::at(cell.now), cell::at(cell.now));
    assert_eq!(next(&mut cell, 1, cell::phase(2, 50_000)), [1, 0]);
    let mut cell = Cell::with_settings(2, settings);
    cell.owner.workers_changed(&list, cell::at(cell.now), cell::at(cell.now));
    cell.now += 8_000;
    poll_all(&mut cell, 2);
    assert_eq!(next(&mut cell, 1, cell::phase(1, 50_000)), [0]);
}

/// Returns a cell whose rack 0 is full: workers 0 and 1 run tasks that are declared to take `busy`.
fn full_rack(remote_factor: f64, busy: time::Span) -> Cell {
    let settings = owner::Settings { remote_factor, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(4, settings);
    let phase =
        job::Phase { data_rack: Some("r0".to_owned()), estimate: busy, ..cell::phase(2, 60_000) };
    assert_eq!(next(&mut cell, 1, phase), [0, 1]);
    cell
}

fn bound(count: u32) -> job::Phase {
    job::Phase { data_rack: Some("r0".to_owned()), ..cell::phase(count, 20_000) }
}

/// With a factor of 3, a task of 0.5 s loses 1 s elsewhere. It must wait for a rack that is free
/// sooner, and only for that.
#[test]
fn task_waits_for_its_rack_if_that_ends_sooner() {
    let mut soon = full_rack(3.0, time::Span::millis(700));
    assert!(next(&mut soon, 2, bound(1)).is_empty());
    let mut late = full_rack(3.0, time::Span::millis(1_500));
    assert!(next(&mut late, 2, bound(1))[0] >= 2);
    let mut cheap = full_rack(1.5, time::Span::millis(700));
    assert!(next(&mut cheap, 2, bound(1))[0] >= 2);
    let mut unknown = full_rack(1.0, time::Span::millis(700));
    assert!(next(&mut unknown, 2, bound(1))[0] >= 2);
}

/// The runs in the rack may take longer than expected. The wait must not cost more than it saves.
#[test]
fn wait_for_a_rack_is_bounded() {
    let mut cell = full_rack(3.0, time::Span::millis(700));
    assert!(next(&mut cell, 2, bound(1)).is_empty());
    cell.now += 990;
    poll_all(&mut cell, 4);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// The rack has room for some of the tasks soon. The others must not wait behind them.
#[test]
fn only_as_many_tasks_wait_as_the_rack_can_take() {
    let mut cell = full_rack(3.0, time::Span::millis(700));
    let elsewhere = next(&mut cell, 2, bound(9));
    assert_eq!(elsewhere.len(), 3, "120 cores become free for six tasks of 20");
    assert!(elsewhere.iter().all(|n| *n >= 2));
}

/// The first task decides on the rack of all others.
#[test]
fn rack_sensitive_tasks_go_to_a_rack_with_room_for_all() {
    let settings = owner::Settings { remote_factor: 1.5, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(4, settings);
    assert_eq!(next(&mut cell, 1, cell::phase(1, 40_000)), [0]);
    let phase = job::Phase { rack_sensitive: true, ..cell::phase(6, 20_000) };
    assert!(next(&mut cell, 2, phase).iter().all(|n| *n >= 2));
}

/// The loss of a failure domain must not take all tasks of a job if another one has the capacity.
#[test]
fn long_running_tasks_are_spread_over_domains() {
    let domains_of = |spreads_domains| {
        let settings = owner::Settings { spreads_domains, ..owner::Settings::default() };
        let mut cell = Cell::with_settings(6, settings);
        let domain = |n: usize| ["a", "b", "c"][n / 2].to_owned();
        let entry = |n| worker::Registration { domain: domain(n), ..cell::registration(n) };
        let list: Vec<_> = (0..6).map(entry).collect();
        cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
        let image = Some("image".to_owned());
        let phase =
            job::Phase { long_running: true, image, per_worker: Some(2), ..cell::phase(6, 10_000) };
        let mut domains = [0; 3];
        for n in next(&mut cell, 1, phase) {
            domains[n / 2] += 1;
        }
        domains
    };
    assert_eq!(domains_of(true), [2, 2, 2]);
    assert_ne!(domains_of(false), [2, 2, 2]);
}

/// Returns a cell with copies whose worker 0 has a run of a speculative task that made 5% progress in
/// 2 s, and the start of that run.
pub fn with_slow_run(copy_share: f64, speculative: bool) -> (Cell, cell::Started) {
    let settings = owner::Settings { copy_share, ..owner::Settings::default() };
    let mut cell = Cell::with_settings(3, settings);
    let phase = job::Phase { speculative, ..cell::phase(1, 10_000) };
    let start = cell::starts(&cell.submit(1, cell::job(vec![phase]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    for step in 1..=4 {
        cell.now += 490;
        cell.poll(0, &[cell::running(&start, f64::from(step) * 3.0, 0.0)]);
        cell.poll(1, &[]);
        cell.poll(2, &[]);
    }
    (cell, start)
}

/// A task that hangs behind must start again elsewhere, once, and only if its runs may overlap.
#[test]
fn speculative_task_on_a_slow_worker_gets_one_copy() {
    let (mut cell, first) = with_slow_run(0.1, true);
    let copies = cell::starts(&cell.tick());
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0].worker, first.worker);
    assert!(copies[0].attempt > first.attempt);
    cell.start_replied(&copies[0], worker::OrderReply::Done);
    assert!(cell::starts(&cell.tick()).is_empty());
    for (copy_share, speculative) in [(0.1, false), (0.0, true), (0.01, true)] {
        let (mut cell, _) = with_slow_run(copy_share, speculative);
        assert!(cell::starts(&cell.tick()).is_empty(), "{copy_share} {speculative}");
    }
}

/// The first end counts. The other run must be stopped, and its capacity be free only after its end.
#[test]
fn end_of_either_run_completes_the_task_and_stops_the_other() {
    for is_first in [true, false] {
        let (mut cell, first) = with_slow_run(0.1, true);
        let copy = cell::starts(&cell.tick()).remove(0);
        cell.start_replied(&copy, worker::OrderReply::Done);
        let (done, other) = if is_first { (&first, &copy) } else { (&copy, &first) };
        let report = |start| vec![cell::running(start, 10.0, 0.0)];
        let (n, m) = (cell::index(&done.worker), cell::index(&other.worker));
        cell.poll(m, &report(other));
        cell.report_end(n, done, worker::Outcome::Done);
        cell.poll(n, &[]);
        cell.commit();
        assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Complete));
        let stops = cell.tick().into_iter().any(|action| {
            matches!(action, owner::Action::Stop { attempt, .. } if attempt == other.attempt)
        });
        let stopped = |run: &owner::Run| run.attempt == other.attempt && run.is_stopping();
        assert!(stops || cell.owner.runs().any(|(_, run)| stopped(run)));
        assert_eq!(cell.owner.worker(&other.worker).unwrap().reserved.cores, 10_000);
        cell.report_end(m, other, worker::Outcome::Stopped);
        cell.poll(m, &[]);
        assert!(cell::starts(&cell.tick()).is_empty());
        assert_eq!(cell.owner.worker(&other.worker).unwrap().reserved.cores, 0);
    }
}

/// The run of a worker that restarts has ended, and must not keep its capacity for ever.
#[test]
fn overtaken_run_that_vanishes_releases_its_capacity() {
    let (mut cell, first) = with_slow_run(0.1, true);
    let copy = cell::starts(&cell.tick()).remove(0);
    cell.start_replied(&copy, worker::OrderReply::Done);
    cell.poll(cell::index(&first.worker), &[]);
    cell.tick();
    assert_eq!(cell.owner.worker(&first.worker).unwrap().reserved.cores, 0);
    assert_eq!(cell.owner.worker(&copy.worker).unwrap().reserved.cores, 10_000);
}

/// What a best-effort task waits for in a rack is uncertain, so it must wait only if its job would be
/// late otherwise.
#[test]
fn best_effort_task_waits_for_its_rack_only_if_it_would_be_late() {
    let best_effort = |phase: job::Phase| job::Phase { best_effort: true, ..phase };
    let starts = |remote_factor| {
        let settings = owner::Settings { remote_factor, ..owner::Settings::default() };
        let mut cell = Cell::with_settings(4, settings);
        let busy = time::Span::millis(400);
        let phase = job::Phase { estimate: busy, ..bound(2) };
        let size = cell::phase(2, 60_000).size;
        assert_eq!(next(&mut cell, 1, best_effort(job::Phase { size, ..phase })), [0, 1]);
        let submitted = cell::at(cell.now);
        let job = job::Job { submitted, ..cell::job(vec![best_effort(bound(1))]) };
        cell::starts(&cell.submit(2, job)).len()
    };
    assert_eq!(starts(2.0), 1, "1 s elsewhere is within the objective of 1.25 s");
    assert_eq!(starts(3.0), 0);
}
