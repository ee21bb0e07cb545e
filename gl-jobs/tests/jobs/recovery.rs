//! A new owner must know all runs before it starts tasks of an earlier owner's jobs; otherwise a
//! task could run twice.

use gl_jobs::{bitset, job, owner, record, worker};

use crate::cell;

fn after_claim(roster: Vec<worker::Registration>, progress: record::Progress) -> owner::Owner {
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    owner.workers_listed(&[cell::registration(0)], cell::at(5_000), cell::at(5_000));
    let jobs = vec![cell::stored(1, cell::job(vec![cell::phase(2, 1_000)]), progress)];
    owner.recover(jobs, roster, &cell::moment(5_000));
    while let Some(commit) = owner.next_commit(cell::at(5_000)) {
        owner.committed(&commit);
    }
    owner
}

fn poll_replied(owner: &mut owner::Owner, n: usize, reply: &worker::PollReply, now: u64) {
    owner.poll_request(&cell::worker(n), cell::at(now - 5));
    owner.poll_replied(&cell::worker(n), cell::at(now - 5), reply, cell::at(now));
}

fn empty(now: u64) -> worker::PollReply {
    worker::PollReply {
        clock: cell::at(now),
        incarnation: worker::Incarnation(1),
        ..worker::PollReply::default()
    }
}

fn started(owner: &mut owner::Owner, now: u64) -> usize {
    owner.lease_renewed(cell::at(now));
    owner.allow_starts(cell::at(now + 2_000));
    owner.workers_changed(&worker::ListChanges::default(), cell::at(now), cell::at(now));
    owner.tick(&cell::moment(now));
    cell::starts(&owner.take_actions()).len()
}

#[test]
fn reported_run_is_adopted() {
    let mut owner = after_claim(Vec::new(), record::Progress::default());
    let running = worker::Running {
        task: cell::task(1, 0, 0),
        attempt: 5,
        checkpoint: String::new(),
        progress: 20.0,
        load: 0.0,
    };
    poll_replied(
        &mut owner,
        0,
        &worker::PollReply { running: vec![running], ..empty(5_010) },
        5_010,
    );
    assert_eq!(started(&mut owner, 5_050), 1, "only the task without a run starts");
    assert_eq!(owner.state(cell::id(1)), Some(job::State::Running));
}

#[test]
fn recovery_waits_for_a_roster_worker_missing_from_the_list() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    assert_eq!(started(&mut owner, 5_050), 0, "w-1 may run the tasks");
    poll_replied(&mut owner, 1, &empty(5_100), 5_100);
    assert_eq!(started(&mut owner, 5_150), 2);
}

#[test]
fn recovery_waits_for_an_unresponsive_worker_until_all_leases_have_expired() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    poll_replied(&mut owner, 0, &empty(15_000), 15_000);
    assert_eq!(started(&mut owner, 15_050), 0);
    poll_replied(&mut owner, 0, &empty(15_400), 15_400);
    assert_eq!(started(&mut owner, 15_400), 2);
}

#[test]
fn jobs_accepted_after_the_claim_start_during_recovery() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    owner.add_job(cell::id(2), cell::job(vec![cell::phase(3, 1_000)]), &cell::moment(5_005));
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    assert_eq!(started(&mut owner, 5_050), 3);
}

#[test]
fn failure_reported_again_counts_once() {
    let failures = [(0, vec![3, 4])].into();
    let phase = record::Phase { failures, ..record::Phase::default() };
    let progress = record::Progress { final_state: None, phases: vec![phase] };
    let mut owner = after_claim(Vec::new(), progress);
    let ended = worker::Ended {
        number: 1,
        task: cell::task(1, 0, 0),
        attempt: 4,
        outcome: worker::Outcome::Failed,
        checkpoint: String::new(),
    };
    poll_replied(&mut owner, 0, &worker::PollReply { ended: vec![ended], ..empty(5_010) }, 5_010);
    assert_eq!(started(&mut owner, 5_050), 2, "one more run is allowed");
    assert_eq!(owner.state(cell::id(1)), Some(job::State::Running));
}

#[test]
fn stored_done_tasks_do_not_run_again() {
    let mut done = bitset::BitSet::default();
    done.insert(0);
    let phase = record::Phase { done, ..record::Phase::default() };
    let progress = record::Progress { final_state: None, phases: vec![phase] };
    let mut owner = after_claim(Vec::new(), progress);
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    assert_eq!(started(&mut owner, 5_050), 1);
}

#[test]
fn attempt_numbers_increase_from_owner_to_owner() {
    let first = owner::Owner::new(owner::Settings::default(), 8, cell::at(0));
    let second = owner::Owner::new(owner::Settings::default(), 9, cell::at(0));
    assert!(first.token() < second.token());
    let mut owner = after_claim(Vec::new(), record::Progress::default());
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    owner.tick(&cell::moment(5_050));
    let attempt = cell::starts(&owner.take_actions())[0].attempt;
    assert!(attempt > 9 << 20, "{attempt}");
}

#[test]
fn lease_granted_by_an_earlier_owner_is_not_treated_as_expired() {
    let mut owner = after_claim(vec![cell::registration(0)], record::Progress::default());
    let running = |index| worker::Running {
        task: cell::task(1, 0, index),
        attempt: 5,
        checkpoint: String::new(),
        progress: 20.0,
        load: 0.0,
    };
    let reply = worker::PollReply { running: vec![running(0), running(1)], ..empty(5_010) };
    poll_replied(&mut owner, 0, &reply, 5_010);
    // The next poll is delayed by a slow commit.
    assert_eq!(started(&mut owner, 5_600), 0);
}

/// A new owner starts nothing of earlier jobs while it waits, and its log has to say for whom.
#[test]
fn long_recovery_reports_the_workers_that_it_waits_for() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    owner.tick(&cell::moment(5_400));
    assert!(!owner.take_actions().iter().any(is_wait_report));
    owner.tick(&cell::moment(5_600));
    let reports: Vec<_> = owner.take_actions().into_iter().filter(is_wait_report).collect();
    let [owner::Action::Note(owner::Note::Recovering { missing, workers, .. })] = &reports[..]
    else {
        panic!("one report: {reports:?}");
    };
    assert_eq!((*missing, &workers[..]), (1, &[cell::worker(1)][..]));
    owner.tick(&cell::moment(6_000));
    assert!(!owner.take_actions().iter().any(is_wait_report), "it is reported once");
}

fn is_wait_report(action: &owner::Action) -> bool {
    matches!(action, owner::Action::Note(owner::Note::Recovering { .. }))
}
