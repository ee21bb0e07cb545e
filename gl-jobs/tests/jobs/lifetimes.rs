//! Workers that start again under their name. Calls that were meant for the earlier lifetime may be
//! carried out by the new one, as they name the worker only.

use gl_jobs::{job, worker};

use crate::cell::{self, Cell};

/// The clock of a new lifetime at its first reply.
const NEW_CLOCK: u64 = 50;

/// Returns a cell of two workers, with the start of one task, and the number of its worker.
fn ordered() -> (Cell, cell::Started, usize) {
    let mut cell = Cell::new(2);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    let n = cell::index(&start.worker);
    (cell, start, n)
}

/// Delivers the reply of a new lifetime to a poll that was sent at `sent`.
fn reply_of_new_lifetime(cell: &mut Cell, n: usize, sent: u64, running: &[worker::Running]) {
    let reply = worker::PollReply {
        clock: cell::at(NEW_CLOCK),
        incarnation: worker::Incarnation(2),
        running: running.to_vec(),
        ..worker::PollReply::default()
    };
    cell.owner.poll_replied(&cell::worker(n), cell::at(sent), &reply, cell::at(cell.now));
}

/// Advances the time by `millis`, and returns the starts. Only the other worker replies to polls.
fn starts_within(cell: &mut Cell, n: usize, millis: u64) -> Vec<cell::Started> {
    let mut starts = Vec::new();
    let until = cell.now + millis;
    while cell.now < until {
        cell.poll(1 - n, &[]);
        // Starts of tasks that may have crashed a worker wait for a commit.
        cell.commit();
        starts.extend(cell::starts(&cell.tick()));
    }
    starts
}

/// Guards against second runs: a new lifetime of a worker carries an order out, and its reply to an
/// earlier poll, which arrives later, does not show the run.
#[test]
fn run_that_a_new_lifetime_has_confirmed_is_not_missing_in_its_reply_to_an_earlier_poll() {
    let (mut cell, start, n) = ordered();
    let sent = cell.now - 5;
    cell.start_replied(&start, worker::OrderReply::Done);
    reply_of_new_lifetime(&mut cell, n, sent, &[]);
    cell.poll(1 - n, &[]);
    assert_eq!(starts_within(&mut cell, n, 100), []);
}

/// Guards against second runs: the owner is slow to poll the new lifetime of a worker, and counts an
/// order that it may carry out as lapsed.
#[test]
fn order_in_transit_to_a_new_lifetime_does_not_lapse_before_its_deadline() {
    let (mut cell, _, n) = ordered();
    let sent = cell.now - 5;
    reply_of_new_lifetime(&mut cell, n, sent, &[]);
    // Polls of a busy process follow each other after up to 250 ms.
    assert_eq!(starts_within(&mut cell, n, 250), []);
}

/// Guards against second runs: a new lifetime of a worker has got a lease by the clock of the earlier
/// one, which lasts longer than those that it is given later.
#[test]
fn lease_that_a_new_lifetime_may_have_got_by_the_earlier_clock_is_waited_for() {
    let (mut cell, _, n) = ordered();
    cell.now = 4_000;
    cell.poll(1 - n, &[]);
    cell.poll(n, &[]);
    let sent = cell.now;
    let request = cell.owner.poll_request(&cell::worker(n), cell::at(sent));
    let lease = request.and_then(|request| request.lease).expect("a lease by the earlier clock");
    let ends_at = sent - NEW_CLOCK + lease.since(cell::at(0)).as_millis();
    reply_of_new_lifetime(&mut cell, n, sent, &[]);
    let listed =
        worker::Registration { incarnation: worker::Incarnation(2), ..cell::registration(n) };
    let list = [cell::registration(1 - n), listed];
    cell.owner.workers_listed(&list, cell::at(sent), cell::at(sent));
    cell.owner.poll_request(&cell::worker(n), cell::at(sent));
    let phase = job::Phase { per_worker: Some(1), ..cell::phase(2, 1_000) };
    let starts = cell::starts(&cell.submit(2, cell::job(vec![phase])));
    let (here, other): (Vec<_>, Vec<_>) =
        starts.into_iter().partition(|start| start.worker == cell::worker(n));
    cell.start_replied(&here[0], worker::OrderReply::Done);
    cell.start_replied(&other[0], worker::OrderReply::Done);
    cell.report_end(1 - n, &other[0], worker::Outcome::Done);
    cell.owner.poll_failed(&cell::worker(n), cell::at(cell.now));
    let left = ends_at - cell.now;
    assert!(left > 8_000, "the lease ends in {left} ms");
    let again = starts_within(&mut cell, n, left);
    assert!(again.iter().all(|again| again.task != here[0].task), "{again:?}");
}

/// Guards against tasks that are never started again: the clock of a worker's machine was set back, so that
/// its next lifetime seems to be an earlier one, whose replies say nothing.
#[test]
fn runs_end_with_their_lease_if_all_replies_are_from_a_seemingly_earlier_lifetime() {
    let (mut cell, start, n) = ordered();
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.poll(n, &[cell::running(&start, 10.0, 900.0)]);
    let mut again = Vec::new();
    for _ in 0..30 {
        cell.owner.poll_request(&cell::worker(n), cell::at(cell.now));
        let reply = worker::PollReply {
            clock: cell::at(NEW_CLOCK),
            incarnation: worker::Incarnation(0),
            ..worker::PollReply::default()
        };
        let now = cell::at(cell.now);
        cell.owner.poll_replied(&cell::worker(n), now, &reply, now);
        again.extend(starts_within(&mut cell, n, 500));
    }
    assert_eq!(again.first().map(|again| again.task), Some(start.task), "at {} ms", cell.now);
}
