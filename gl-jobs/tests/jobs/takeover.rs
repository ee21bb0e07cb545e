//! What a new owner learns late: from workers that reply one after the other, and list their ends in parts.

use gl_jobs::{job, owner, record, task, worker};
use gl_model::time;

use crate::cell;

/// Takes over a job of these phases, with `workers` workers that may run its tasks.
fn after_claim(workers: usize, phases: Vec<job::Phase>) -> owner::Owner {
    let list: Vec<_> = (0..workers).map(cell::registration).collect();
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    owner.workers_listed(&list, cell::at(5_000), cell::at(5_000));
    let jobs = vec![cell::stored(1, cell::job(phases), record::Progress::default())];
    let takeover =
        owner::Takeover { jobs, roster: cell::roster(list), ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(5_000));
    owner
}

fn reply(now: u64) -> worker::PollReply {
    worker::PollReply {
        clock: cell::at(now),
        incarnation: worker::Incarnation(1),
        ..worker::PollReply::default()
    }
}

fn ended(number: u64, task: task::TaskId, outcome: worker::Outcome) -> worker::Ended {
    worker::Ended { number, task, attempt: 5, outcome, checkpoint: String::new() }
}

/// Delivers the reply to a poll that was sent 5 ms before.
fn poll(owner: &mut owner::Owner, n: usize, reply: &worker::PollReply, now: u64) {
    owner.poll_request(&cell::worker(n), cell::at(now - 5));
    owner.poll_replied(
        &cell::worker(n),
        cell::call(owner, &cell::worker(n), cell::at(now - 5)),
        reply,
        cell::at(now),
    );
}

/// Stores what the owner has decided, and returns the starts that it orders.
fn starts(owner: &mut owner::Owner, now: u64) -> Vec<task::TaskId> {
    cell::decide(owner, now).iter().map(|start| start.task).collect()
}

/// Guards against tasks that start again after they were done: a worker that lists its ends in parts is
/// given a lease later than its last reply, and is silent from then on.
#[test]
fn recovery_waits_for_leases_that_were_extended_while_ends_were_listed_in_parts() {
    let mut owner = after_claim(2, vec![cell::phase(2, 1_000)]);
    let first = ended(1, cell::task(1, 0, 0), worker::Outcome::Done);
    let part = worker::PollReply { ended: vec![first], is_partial: true, ..reply(12_000) };
    poll(&mut owner, 0, &part, 12_000);
    // The next poll waits for a commit, and for the interval between two polls of a busy process.
    owner.lease_renewed(cell::at(12_400));
    let request = owner.poll_request(&cell::worker(0), cell::at(12_400)).expect("a known worker");
    let lease = request.lease.expect("its lease is extended");
    owner.poll_failed(&cell::worker(0), cell::at(13_300));
    for now in (13_400..30_000).step_by(10) {
        poll(&mut owner, 1, &reply(now), now);
        let starts = starts(&mut owner, now);
        if !starts.is_empty() {
            assert!(
                cell::at(now) > lease,
                "{starts:?} at {now} ms, and its lease ends at {lease:?}"
            );
            return;
        }
    }
    panic!("the second task does not start");
}

/// Guards against jobs that never end: a run of a later phase ends without being done while the ends of
/// the phase before it are not listed yet.
#[test]
fn task_whose_run_ended_before_its_phase_was_opened_starts_again() {
    for outcome in [worker::Outcome::Failed, worker::Outcome::Lapsed] {
        let second = job::Phase { after: vec![0], ..cell::phase(1, 1_000) };
        let mut owner = after_claim(2, vec![cell::phase(1, 1_000), second]);
        let (before, after) = (cell::task(1, 0, 0), cell::task(1, 1, 0));
        let running = worker::Running {
            task: after,
            attempt: 5,
            checkpoint: String::new(),
            progress: 20.0,
            load: 0.0,
        };
        poll(&mut owner, 0, &worker::PollReply { running: vec![running], ..reply(5_010) }, 5_010);
        let end = ended(1, after, outcome);
        poll(&mut owner, 0, &worker::PollReply { ended: vec![end], ..reply(5_100) }, 5_100);
        let end = ended(1, before, worker::Outcome::Done);
        poll(&mut owner, 1, &worker::PollReply { ended: vec![end], ..reply(5_200) }, 5_200);
        let mut started = Vec::new();
        for now in (5_210..15_000).step_by(100) {
            poll(&mut owner, 0, &reply(now), now);
            poll(&mut owner, 1, &reply(now), now);
            started.extend(starts(&mut owner, now));
        }
        assert_eq!(started.first(), Some(&after), "{outcome:?}");
    }
}

/// Delivers the replies of a worker on which a run that an earlier owner has started ends as `outcome`.
fn end_reported_run(owner: &mut owner::Owner, task: task::TaskId, outcome: worker::Outcome) {
    let running =
        worker::Running { task, attempt: 5, checkpoint: String::new(), progress: 20.0, load: 0.0 };
    poll(owner, 0, &worker::PollReply { running: vec![running], ..reply(5_010) }, 5_010);
    assert_eq!(starts(owner, 5_050), [], "{outcome:?}: it is running");
    let end = ended(1, task, outcome);
    poll(owner, 0, &worker::PollReply { ended: vec![end], ..reply(5_100) }, 5_100);
}

/// Guards against runs beyond the attempt limit: the last owner, cut off from the store, has counted failed
/// runs and started the task again, and the workers of those runs have not replied to the new owner.
#[test]
fn reported_task_that_failed_waits_for_workers_that_may_list_earlier_failures() {
    let task = cell::task(1, 0, 0);
    let mut owner = after_claim(2, vec![cell::phase(1, 1_000)]);
    end_reported_run(&mut owner, task, worker::Outcome::Failed);
    assert_eq!(starts(&mut owner, 5_150), [], "w-1 may list earlier failures");
    let failed =
        |number| worker::Ended { attempt: number, ..ended(number, task, worker::Outcome::Failed) };
    let ends = worker::PollReply { ended: vec![failed(1), failed(2)], ..reply(5_200) };
    poll(&mut owner, 1, &ends, 5_200);
    assert_eq!(starts(&mut owner, 5_250), [], "it has failed three times");
    assert_eq!(owner.state(cell::id(1)), Some(job::State::Failed));
}

/// Guards against tasks that wait without need: the last owner would not have started a task at its limit.
#[test]
fn reported_task_that_did_not_fail_starts_before_all_workers_have_replied() {
    let task = cell::task(1, 0, 0);
    for outcome in [worker::Outcome::Stopped, worker::Outcome::Lapsed, worker::Outcome::Broken] {
        let mut owner = after_claim(2, vec![cell::phase(1, 1_000)]);
        end_reported_run(&mut owner, task, outcome);
        assert_eq!(starts(&mut owner, 5_150), [task], "{outcome:?}");
    }
}

/// Guards against tasks that wait without need: long-running tasks have no attempt limit.
#[test]
fn reported_long_running_task_that_failed_starts_before_all_workers_have_replied() {
    let task = cell::task(1, 0, 0);
    let phase = job::Phase { long_running: true, ..cell::phase(1, 1_000) };
    let mut owner = after_claim(2, vec![phase]);
    end_reported_run(&mut owner, task, worker::Outcome::Failed);
    assert_eq!(starts(&mut owner, 5_150), [task]);
}

/// Guards against tasks that wait for good: the leases of workers that never reply expire.
#[test]
fn reported_task_that_failed_starts_once_the_leases_of_silent_workers_have_expired() {
    let task = cell::task(1, 0, 0);
    let mut owner = after_claim(2, vec![cell::phase(1, 1_000)]);
    end_reported_run(&mut owner, task, worker::Outcome::Failed);
    let first = (5_110..30_000).step_by(10).find(|now| {
        poll(&mut owner, 0, &reply(*now), *now);
        !starts(&mut owner, *now).is_empty()
    });
    let settings = owner::Settings::default();
    let ended = settings.horizon.scaled(1.0 / 0.98) + settings.stop_time;
    let bound = 5_000 + ended.as_millis();
    assert!(first.is_some_and(|now| now >= bound && now < bound + 50), "{first:?}");
}

/// Guards against second runs in a rollout: an owner of an earlier version has extended leases further than this
/// one would.
#[test]
fn recovery_waits_for_leases_beyond_its_own_horizon() {
    let horizon = time::Span::millis(7_200);
    let stop_time = time::Span::millis(200);
    let settings = owner::Settings { horizon, stop_time, ..owner::Settings::default() };
    let mut owner = owner::Owner::new(settings, 9, cell::at(5_000));
    let list = [cell::registration(0), cell::registration(1)];
    owner.workers_listed(&list, cell::at(5_000), cell::at(5_000));
    owner.store_clock_read(cell::store_clock(5_000));
    let jobs =
        vec![cell::stored(1, cell::job(vec![cell::phase(1, 1_000)]), record::Progress::default())];
    let (roster, outstanding) = (cell::roster(list), Some(time::Span::seconds(8)));
    let takeover = owner::Takeover { jobs, roster, outstanding, ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(5_000));
    let after = cell::first_start(owner, 5_000, &[0]);
    assert!(after.is_some_and(|ms| ms >= 8_163 + 200), "{after:?} ms");
}
