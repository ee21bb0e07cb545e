//! Lists of workers that miss live ones, as entries lapse while the store is away, or have odd ones. A
//! worker that is not listed may be alive, and runs what it was ordered to run.

use gl_jobs::{job, owner, worker};
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

/// Guards against second runs of a worker that was not listed for a while: the leases that it had got before
/// it was forgotten last longer than those known of it once it is listed again.
#[test]
fn leases_of_a_worker_that_was_forgotten_are_waited_for_once_it_is_listed_again() {
    let mut cell = Cell::new(2);
    let others = [cell::registration(1)];
    cell.owner.workers_listed(&others, cell::at(cell.now), cell::at(cell.now));
    let mut ends_at = cell.now;
    while cell.owner.worker(&cell::worker(0)).is_some() {
        cell.now += 200;
        let request = cell.owner.poll_request(&cell::worker(0), cell::at(cell.now));
        let lease = request.and_then(|request| request.lease);
        ends_at = lease.map_or(ends_at, |lease| lease.since(cell::at(0)).as_millis());
        cell.poll(0, &[]);
        cell.poll(1, &[]);
        cell.tick();
    }
    let list = [cell::registration(0), cell::registration(1)];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    cell.commit();
    // Its reply to a first poll, which extends no lease.
    let call = cell::call(&cell.owner, &cell::worker(0), cell::at(cell.now));
    let reply = worker::PollReply {
        clock: cell::at(cell.now),
        incarnation: worker::Incarnation(1),
        ..worker::PollReply::default()
    };
    cell.owner.poll_replied(&cell::worker(0), call, &reply, cell::at(cell.now));
    let wide = job::Phase { per_worker: Some(1), ..cell::phase(2, 1_000) };
    let starts = cell::starts(&cell.submit(1, cell::job(vec![wide])));
    starts.iter().for_each(|start| cell.start_replied(start, worker::OrderReply::Done));
    let here = starts.iter().find(|start| start.worker == cell::worker(0)).expect("a start there");
    let other = starts.iter().find(|start| start.worker == cell::worker(1)).expect("another");
    cell.report_end(1, other, worker::Outcome::Done);
    cell.owner.poll_failed(&cell::worker(0), cell::at(cell.now));
    let left = ends_at - cell.now;
    assert!(left > 4_000, "the lease ends in {left} ms");
    while cell.now < ends_at {
        cell.poll(1, &[]);
        // Starts of tasks that may have crashed a worker wait for a commit.
        cell.commit();
        let again = cell::starts(&cell.tick());
        assert!(
            again.iter().all(|again| again.task != here.task),
            "{} ms early",
            ends_at - cell.now
        );
    }
}

/// Guards against the same under a new owner: the last one has extended the leases of a worker that had left
/// the roster, as it was not listed and ran nothing.
#[test]
fn leases_that_an_earlier_owner_has_extended_outside_the_roster_are_waited_for() {
    let claimed = 20_000;
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(claimed));
    let list = [cell::registration(0), cell::registration(1)];
    owner.workers_listed(&list, cell::at(claimed), cell::at(claimed));
    owner.store_clock_read(cell::store_clock(claimed));
    let outstanding = Some(time::Span::millis(6_000));
    let roster = cell::roster([cell::registration(0)]);
    let takeover = owner::Takeover { roster, outstanding, ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(claimed));
    let reply_of = |owner: &mut owner::Owner, n: usize, now: u64| {
        let call = cell::call(owner, &cell::worker(n), cell::at(now));
        let reply = worker::PollReply {
            clock: cell::at(now),
            incarnation: worker::Incarnation(1),
            ..worker::PollReply::default()
        };
        owner.poll_replied(&cell::worker(n), call, &reply, cell::at(now));
    };
    cell::decide(&mut owner, claimed);
    reply_of(&mut owner, 1, claimed);
    owner.add_job(cell::id(1), cell::job(vec![cell::phase(1, 1_000)]), &cell::moment(claimed));
    let starts = cell::decide(&mut owner, claimed);
    assert_eq!(starts.iter().map(|s| s.worker.clone()).collect::<Vec<_>>(), [cell::worker(1)]);
    let start = &starts[0];
    let done = worker::OrderReply::Done;
    owner.start_replied(&start.worker, start.task, start.attempt, done, cell::at(claimed));
    owner.poll_failed(&start.worker, cell::at(claimed));
    for now in (claimed..claimed + 6_000).step_by(50) {
        reply_of(&mut owner, 0, now);
        assert_eq!(cell::decide(&mut owner, now), [], "after {} ms", now - claimed);
    }
}
