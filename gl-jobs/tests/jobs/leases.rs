//! Leases of workers that are unresponsive, draining or restarted. A task that starts elsewhere
//! before the lease of its worker has expired would run twice.

use gl_jobs::{election, followers, job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

fn long_running(workers: usize) -> (Cell, cell::Started) {
    let mut cell = Cell::new(workers);
    let phase = job::Phase { long_running: true, ..cell::phase(1, 30_000) };
    let start = cell::starts(&cell.submit(1, cell::job(vec![phase]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    (cell, start)
}

#[test]
fn poll_extends_the_lease_up_to_the_horizon() {
    let mut cell = Cell::new(1);
    cell.now += 5_000;
    let request = cell.owner.poll_request(&cell::worker(0), cell::at(cell.now)).unwrap();
    let horizon = cell::at(cell.now) + time::Span::millis(5_000);
    assert!(request.lease.unwrap() <= horizon, "{:?}", request.lease);
    cell.now += 6_000;
    let request = cell.owner.poll_request(&cell::worker(0), cell::at(cell.now)).unwrap();
    assert_eq!(request.lease, None, "the horizon has passed");
}

/// An outage that all claimants report.
const OUTAGE: election::Outage = election::Outage {
    owner_cut_off: true,
    cut_off_after: Some(time::Timestamp(8_000_000)),
    is_stale: false,
};

/// No daemon reaches the store for longer than the owner may extend leases after its last renewal.
/// The long-running tasks would all end, though nobody else can start them.
#[test]
fn leases_are_extended_through_an_outage_in_which_no_daemon_can_claim_the_cell() {
    let mut cell = Cell::new(1);
    let mut granted = cell::at(cell.now);
    for _ in 0..40 {
        cell.now += 500;
        let now = cell::at(cell.now);
        // The claimants' reports are as old as they may be.
        let after = now - followers::REPORT_VALIDITY;
        let outage = election::Outage { cut_off_after: Some(after), ..OUTAGE };
        cell.owner.claims_excluded(election::no_claim_before(outage).unwrap());
        let request = cell.owner.poll_request(&cell::worker(0), now).unwrap();
        granted = granted.max(request.lease.unwrap_or(granted));
        assert!(granted > now, "the lease has expired at {now:?}");
    }
    // A daemon that reaches the store again has made its last report no earlier than this, and waits for
    // the horizon from then on before it starts tasks of workers that it cannot reach.
    let reported = cell::at(cell.now) - followers::REPORT_VALIDITY;
    assert!(granted <= reported + owner::Settings::default().horizon);
}

#[test]
fn outage_proves_nothing_to_a_suspended_owner_or_while_a_daemon_reaches_the_store() {
    let others = [
        election::Outage { owner_cut_off: false, ..OUTAGE },
        election::Outage { cut_off_after: None, ..OUTAGE },
        election::Outage { is_stale: true, ..OUTAGE },
    ];
    assert!(others.iter().all(|outage| election::no_claim_before(*outage).is_none()));
}

#[test]
fn task_on_an_unresponsive_worker_restarts_only_after_its_lease() {
    let (mut cell, start) = long_running(2);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 100.0, 20.0)]);
    cell.owner.poll_request(&start.worker, cell::at(cell.now));
    let unresponsive_from = cell.now;
    let mut moved = None;
    while moved.is_none() && cell.now < unresponsive_from + 12_000 {
        cell.now += 100;
        cell.poll(1 - n, &[]);
        cell.owner.poll_request(&start.worker, cell::at(cell.now));
        cell.owner.poll_failed(&start.worker, cell::at(cell.now));
        moved = cell::starts(&cell.tick()).pop().map(|_| cell.now - unresponsive_from);
    }
    let moved = moved.expect("the task starts elsewhere");
    assert!((6_000..7_500).contains(&moved), "after {moved} ms");
}

/// The first reply may be to a call that was meant for the earlier incarnation, as may be an order that it
/// carries out later, so the reply to a call of its own decides.
#[test]
fn new_incarnation_ends_the_runs_of_the_earlier_one() {
    let (mut cell, start) = long_running(2);
    let n = cell::index(&start.worker);
    let reply = worker::PollReply {
        clock: cell::at(50),
        incarnation: worker::Incarnation(2),
        running: Vec::new(),
        ended: Vec::new(),
        ..worker::PollReply::default()
    };
    cell.now += 10;
    let now = cell::at(cell.now);
    cell.owner.poll_replied(
        &cell::worker(n),
        cell::call(&cell.owner, &cell::worker(n), cell::at(cell.now - 1)),
        &reply,
        now,
    );
    let actions = cell.tick();
    assert_eq!(cell::starts(&actions), []);
    assert!(actions.contains(&owner::Action::Poll { worker: cell::worker(n) }), "{actions:?}");
    let (call, now) = (cell::call(&cell.owner, &cell::worker(n), now), cell::at(cell.now));
    cell.owner.poll_replied(&cell::worker(n), call, &reply, now);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

#[test]
fn newer_worker_on_the_same_vm_ends_the_older_one() {
    let (mut cell, start) = long_running(2);
    let n = cell::index(&start.worker);
    let newer = worker::Registration {
        id: cell::worker(9),
        incarnation: worker::Incarnation(2),
        ..cell::registration(n)
    };
    cell.owner.workers_listed(
        &[cell::registration(1 - n), newer],
        cell::at(cell.now),
        cell::at(cell.now),
    );
    assert_eq!(cell::starts(&cell.tick()), [], "anybody may have written the entry");
    cell.reply_as(9, 2);
    let again = cell::starts(&cell.tick()).remove(0);
    assert_eq!(again.worker, cell::worker(1 - n));
    assert!(cell.owner.worker(&start.worker).is_none());
}

#[test]
fn draining_worker_gets_no_tasks_and_its_long_running_tasks_move() {
    let (mut cell, start) = long_running(2);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 100.0, 20.0)]);
    let draining = worker::Registration { draining: true, ..cell::registration(n) };
    let list = [cell::registration(1 - n), draining];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    assert_eq!(cell::stops(&cell.tick()), [start.task]);
    let next = cell.submit(2, cell::job(vec![cell::phase(1, 1_000)]));
    assert_eq!(cell::starts(&next)[0].worker, cell::worker(1 - n));
}

#[test]
fn long_running_tasks_stay_on_a_draining_worker_without_alternative() {
    let (mut cell, start) = long_running(1);
    cell.poll(0, &[cell::running(&start, 100.0, 20.0)]);
    let draining = worker::Registration { draining: true, ..cell::registration(0) };
    cell.owner.workers_listed(&[draining], cell::at(cell.now), cell::at(cell.now));
    assert!(cell::stops(&cell.tick()).is_empty());
}

#[test]
fn draining_interrupts_no_more_tasks_than_the_limit() {
    let mut cell = Cell::new(3);
    let phase = job::Phase {
        long_running: true,
        max_missing: Some(1),
        per_worker: Some(1),
        ..cell::phase(2, 30_000)
    };
    let started = cell::starts(&cell.submit(1, cell::job(vec![phase])));
    for start in &started {
        cell.start_replied(start, worker::OrderReply::Done);
        cell.poll(cell::index(&start.worker), &[cell::running(start, 100.0, 20.0)]);
    }
    let list: Vec<_> = (0..3)
        .map(|n| worker::Registration {
            draining: started.iter().any(|s| cell::index(&s.worker) == n),
            ..cell::registration(n)
        })
        .collect();
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    assert_eq!(cell::stops(&cell.tick()).len(), 1);
    assert!(cell::stops(&cell.tick()).is_empty());
}

#[test]
fn worker_gets_tasks_only_once_it_is_stored_in_the_roster() {
    let mut cell = Cell::new(1);
    let list = [cell::registration(0), cell::registration(1)];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    let reply = worker::PollReply {
        clock: cell::at(cell.now),
        incarnation: worker::Incarnation(1),
        ..worker::PollReply::default()
    };
    let now = cell::at(cell.now);
    cell.owner.poll_replied(
        &cell::worker(1),
        cell::call(&cell.owner, &cell::worker(1), now),
        &reply,
        now,
    );
    let actions = cell.submit(1, cell::job(vec![cell::phase(2, 64_000)]));
    assert_eq!(cell::starts(&actions).len(), 1);
    let commit = cell.owner.next_commit(now).unwrap();
    assert_eq!(commit.enrolled[0].worker.id, cell::worker(1));
    cell.owner.committed(&commit);
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// Each incarnation numbers its ends from 1, so an acknowledgement meant for the earlier
/// incarnation would discard ends that were not reported yet.
#[test]
fn possibly_restarted_worker_gets_no_acknowledgement() {
    let mut cell = Cell::new(1);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.report_end(0, &start, worker::Outcome::Done);
    cell.poll(0, &[]);
    cell.commit();
    let id = cell::worker(0);
    let acknowledged = |cell: &mut Cell| {
        cell.owner.poll_request(&id, cell::at(cell.now)).expect("a known worker").acknowledged
    };
    assert_eq!(acknowledged(&mut cell), 1);

    cell.owner.poll_failed(&id, cell::at(cell.now));
    assert_eq!(acknowledged(&mut cell), 0, "it did not reply to the last poll");
    cell.poll(0, &[]);
    assert_eq!(acknowledged(&mut cell), 1, "it has replied as the same incarnation");

    let listed =
        worker::Registration { incarnation: worker::Incarnation(2), ..cell::registration(0) };
    cell.owner.workers_listed(&[listed], cell::at(cell.now), cell::at(cell.now));
    assert_eq!(acknowledged(&mut cell), 0, "the list has a newer incarnation");
}

fn expired(actions: &[owner::Action]) -> Vec<owner::Note> {
    let expired = |action: &owner::Action| match action {
        owner::Action::Note(note @ owner::Note::LeasesExpired { .. }) => Some(note.clone()),
        _ => None,
    };
    actions.iter().filter_map(expired).collect()
}

/// Guards against a log that does not tell why the runs of a silent worker count as ended.
#[test]
fn expired_leases_of_a_worker_are_reported_once_before_the_ends_of_its_runs() {
    let mut cell = Cell::new(1);
    let started = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(3, 1_000)])));
    started.iter().for_each(|start| cell.start_replied(start, worker::OrderReply::Done));
    let running: Vec<_> = started.iter().map(|start| cell::running(start, 5.0, 1_000.0)).collect();
    cell.poll(0, &running);
    let polled = cell.now;
    cell.is_lease_valid = false;
    let actions = loop {
        let actions = cell.tick();
        if !expired(&actions).is_empty() {
            break actions;
        }
        assert!(cell.now < 30_000, "the leases expire");
    };
    let note = owner::Note::LeasesExpired {
        worker: cell::worker(0),
        domain: "a".to_owned(),
        runs: Some(3),
        silent: Some(time::Span::millis(cell.now - polled)),
        bound: owner::LeaseBound::Own,
        reading: time::Span::millis(cell.now - polled),
        // The poll that has extended it was sent 1 ms before the reading.
        lease: time::Span::millis(5_999),
        margin: time::Span(last_end(time::Span::millis(5_999)).0 - 5_999_000),
    };
    assert_eq!(expired(&actions), [note]);
    let kinds = actions.iter().filter_map(|action| match action {
        owner::Action::Note(owner::Note::LeasesExpired { .. }) => Some("expired"),
        owner::Action::Note(owner::Note::Ended { cause: owner::Cause::Lapsed, .. }) => {
            Some("ended")
        }
        _ => None,
    });
    assert_eq!(kinds.collect::<Vec<_>>(), ["expired", "ended", "ended", "ended"]);
    let later: Vec<_> = (0..100).flat_map(|_| cell.tick()).collect();
    assert_eq!(expired(&later), []);
}

/// Returns when the slowest worker that the protocol permits has ended its runs: its clock is 2% slow, and it
/// takes as long to end runs as for a stop.
fn last_end(left: time::Span) -> time::Span {
    left.scaled(1.0 / 0.98) + owner::Settings::default().stop_time
}

/// Returns how long a task of a worker that falls silent waits until it starts elsewhere, and the lease that the
/// worker has by its clock when it does.
fn moved_after(settings: owner::Settings) -> (time::Span, time::Span) {
    let mut cell = Cell::with_settings(2, settings);
    let phase = job::Phase { long_running: true, ..cell::phase(1, 30_000) };
    let start = cell::starts(&cell.submit(1, cell::job(vec![phase]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 100.0, 20.0)]);
    let request = cell.owner.poll_request(&start.worker, cell::at(cell.now)).unwrap();
    let left = request.lease.unwrap().since(cell::at(cell.now));
    cell.owner.poll_failed(&start.worker, cell::at(cell.now));
    let silent_from = cell::at(cell.now);
    loop {
        cell.poll(1 - n, &[]);
        let again = cell::starts(&cell.tick()).pop();
        let waited = cell::at(cell.now).since(silent_from);
        if again.is_some() {
            return (waited, left);
        }
        assert!(waited < time::Span::seconds(12), "the task starts elsewhere");
    }
}

/// Guards against second runs beside those of a worker that is cut off, and that notices late that its lease
/// has expired or needs time to end what runs.
#[test]
fn tasks_of_a_silent_worker_start_elsewhere_once_it_has_had_the_time_of_a_stop_after_its_lease() {
    let (moved, left) = moved_after(owner::Settings::default());
    let last = last_end(left);
    assert!(moved >= last, "after {moved}, and the run may go on until {last}");
    assert!(moved < last + time::Span::millis(50), "after {moved}, and it has ended at {last}");
}

/// Guards against the same in deployments whose workers stop runs sooner than a process may wait to be scheduled.
#[test]
fn tasks_of_a_silent_worker_wait_for_its_process_to_be_scheduled_where_stops_are_short() {
    let defaults = owner::Settings::default();
    let settings = owner::Settings { stop_time: time::Span::millis(200), ..defaults };
    let (moved, left) = moved_after(settings);
    let last = left.scaled(1.0 / 0.98) + defaults.lapse_margin;
    assert!(moved >= last && moved < last + time::Span::millis(50), "after {moved}, not {last}");
}

/// Guards against second runs of tasks on workers whose clocks are as slow as they may be, with leases of the
/// usual and of the longest length.
#[test]
fn lease_of_a_worker_with_a_slow_clock_is_waited_for() {
    for lease in [6_000, 10_000] {
        let settings =
            owner::Settings { lease: time::Span::millis(lease), ..owner::Settings::default() };
        let mut cell = Cell::with_settings(2, settings);
        let slow = |now: u64| time::Timestamp(cell::at(now).0 / 100 * 98);
        let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
        cell.start_replied(&start, worker::OrderReply::Done);
        let n = cell::index(&start.worker);
        let mut granted = time::Timestamp::default();
        // Its clock falls behind that of the owner by 80 ms.
        for _ in 0..40 {
            cell.now += 100;
            let now = cell::at(cell.now);
            let request = cell.owner.poll_request(&start.worker, now).expect("a known worker");
            granted = request.lease.unwrap_or(granted);
            let call = cell::call(&cell.owner, &start.worker, now);
            let reply = worker::PollReply {
                clock: slow(cell.now),
                incarnation: worker::Incarnation(1),
                running: vec![cell::running(&start, 5.0, 900.0)],
                ..worker::PollReply::default()
            };
            cell.owner.poll_replied(&start.worker, call, &reply, now);
            cell.poll(1 - n, &[]);
            cell.tick();
        }
        cell.owner.poll_failed(&start.worker, cell::at(cell.now));
        let again = loop {
            cell.poll(1 - n, &[]);
            cell.commit();
            if let Some(again) = cell::starts(&cell.tick()).pop() {
                break again;
            }
            assert!(cell.now < 40_000, "it starts again");
        };
        assert_eq!(again.task, start.task);
        let left = granted.since(slow(cell.now));
        assert_eq!(left, time::Span::ZERO, "of a lease of {lease} ms");
    }
}
