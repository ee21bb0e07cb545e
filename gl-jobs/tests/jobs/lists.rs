//! Lists of workers that miss live ones, as entries lapse while the store is away, or have odd ones. A
//! worker that is not listed may be alive, and runs what it was ordered to run.

use gl_jobs::{job, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// Returns a cell of `workers` with a run on each of them.
fn running(workers: usize) -> (Cell, Vec<cell::Started>) {
    let mut cell = Cell::new(workers);
    let count = u32::try_from(workers).unwrap();
    let phase = job::Phase { per_worker: Some(1), ..cell::phase(count, 1_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(started.len(), workers);
    for start in &started {
        cell.start_replied(start, worker::OrderReply::Done);
        cell.poll(cell::index(&start.worker), &[cell::running(start, 1.0, 900.0)]);
    }
    (cell, started)
}

/// Guards against second runs after an outage of the store: the entries of live workers lapse at once.
#[test]
fn entries_that_lapse_end_no_runs_and_no_leases() {
    let (mut cell, started) = running(3);
    let now = cell::at(cell.now);
    cell.owner.workers_listed(&[], now, now);
    for round in 0..40_u32 {
        cell.now += 500;
        for start in &started {
            let request = cell.owner.poll_request(&start.worker, cell::at(cell.now)).unwrap();
            let left = request.lease.map(|lease| lease.since(cell::at(cell.now)));
            assert!(left.is_some_and(|left| left > time::Span::seconds(5)), "{left:?}");
            let progress = f64::from(round + 2);
            cell.poll(cell::index(&start.worker), &[cell::running(start, progress, 900.0)]);
        }
        let actions = cell.tick();
        assert!(cell::starts(&actions).is_empty() && cell::stops(&actions).is_empty());
        cell.commit();
    }
}

/// Guards against second runs because of an entry that another writer has copied from a live worker's.
#[test]
fn copy_of_an_entry_under_another_name_ends_no_runs() {
    let (mut cell, started) = running(2);
    let copy = worker::Registration { id: cell::worker(9), ..cell::registration(0) };
    let list = [cell::registration(0), cell::registration(1), copy];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    let actions = cell.tick();
    assert!(cell::starts(&actions).is_empty() && cell::stops(&actions).is_empty());
    assert!(started.iter().all(|start| cell.owner.worker(&start.worker).is_some()));
}

/// Guards against second runs because of an entry that is read again in an older version: the worker has
/// started again since, and runs tasks.
#[test]
fn older_entry_of_a_worker_ends_no_runs() {
    let (mut cell, started) = running(2);
    let n = cell::index(&started[0].worker);
    let older =
        worker::Registration { incarnation: worker::Incarnation(0), ..cell::registration(n) };
    let list = [cell::registration(1 - n), older];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    cell.poll(n, &[cell::running(&started[0], 5.0, 900.0)]);
    let actions = cell.tick();
    assert!(cell::starts(&actions).is_empty() && cell::stops(&actions).is_empty());
}
