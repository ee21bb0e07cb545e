//! A new owner must know all runs before it starts tasks of an earlier owner's jobs; otherwise a
//! task could run twice.

use gl_jobs::{bitset, job, owner, record, task, worker};
use gl_model::time;

use crate::cell;

pub fn after_claim(roster: Vec<worker::Registration>, progress: record::Progress) -> owner::Owner {
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    owner.workers_listed(&[cell::registration(0)], cell::at(5_000), cell::at(5_000));
    let jobs = vec![cell::stored(1, cell::job(vec![cell::phase(2, 1_000)]), progress)];
    let takeover =
        owner::Takeover { jobs, roster: cell::roster(roster), ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(5_000));
    while let Some(commit) = owner.next_commit(cell::at(5_000)) {
        owner.committed(&commit);
    }
    owner
}

pub fn poll_replied(owner: &mut owner::Owner, n: usize, reply: &worker::PollReply, now: u64) {
    owner.poll_request(&cell::worker(n), cell::at(now - 5));
    owner.poll_replied(
        &cell::worker(n),
        cell::call(owner, &cell::worker(n), cell::at(now - 5)),
        reply,
        cell::at(now),
    );
}

pub fn empty(now: u64) -> worker::PollReply {
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

/// Stores what the owner has decided, and returns how many starts it orders then. During a recovery it
/// stores starts first, as the earlier ones may have crashed their workers.
fn started_when_stored(owner: &mut owner::Owner, now: u64) -> usize {
    assert_eq!(started(owner, now), 0);
    while let Some(commit) = owner.next_commit(cell::at(now)) {
        owner.committed(&commit);
    }
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

/// Guards against tasks that start again after they were done: a new owner takes a worker's first 500 ends
/// for all of them.
#[test]
fn recovery_waits_for_a_worker_that_lists_a_part_of_its_ends() {
    let mut owner = after_claim(vec![cell::registration(0)], record::Progress::default());
    let ended = |number: u64| worker::Ended {
        number,
        task: cell::task(1, 0, u32::try_from(number).unwrap() - 1),
        attempt: 5,
        outcome: worker::Outcome::Done,
        checkpoint: String::new(),
    };
    for now in (5_010..25_000).step_by(1_000) {
        let part = worker::PollReply { ended: vec![ended(1)], is_partial: true, ..empty(now) };
        poll_replied(&mut owner, 0, &part, now);
        assert_eq!(started(&mut owner, now + 10), 0, "the second task may be done, at {now} ms");
    }
    let rest = worker::PollReply { ended: vec![ended(1), ended(2)], ..empty(25_010) };
    poll_replied(&mut owner, 0, &rest, 25_010);
    assert_eq!(started_when_stored(&mut owner, 25_020), 0);
    assert_eq!(owner.state(cell::id(1)), Some(job::State::Complete));
}

#[test]
fn recovery_waits_for_an_unresponsive_worker_until_all_leases_have_expired() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    poll_replied(&mut owner, 0, &empty(16_000), 16_000);
    assert_eq!(started(&mut owner, 16_050), 0, "w-1 may still end its runs");
    poll_replied(&mut owner, 0, &empty(16_150), 16_150);
    assert_eq!(started(&mut owner, 16_150), 2);
}

#[test]
fn jobs_accepted_after_the_claim_start_during_recovery() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    owner.add_job(cell::id(2), cell::job(vec![cell::phase(3, 1_000)]), &cell::moment(5_005));
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    assert_eq!(started(&mut owner, 5_050), 3);
}

/// Guards against second runs of a job that was accepted after a claim: the last owner, which refused
/// connections, may be alive and has started it too.
#[test]
fn jobs_read_that_were_accepted_while_an_earlier_owner_may_order_starts_wait_for_all_workers() {
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    let listed = [cell::registration(0), cell::registration(1)];
    owner.workers_listed(&listed, cell::at(5_000), cell::at(5_000));
    let jobs = vec![owner::StoredJob {
        is_inherited: false,
        ..cell::stored(1, cell::job(vec![cell::phase(1, 1_000)]), record::Progress::default())
    }];
    let takeover = owner::Takeover {
        jobs,
        roster: cell::roster(listed.to_vec()),
        superseded_at: Some(cell::at(6_900)),
        ..owner::Takeover::default()
    };
    owner.recover(takeover, &cell::moment(5_000));
    let add = |owner: &mut owner::Owner, n: u64, accepted: u64| {
        let job = cell::job(vec![cell::phase(1, 1_000)]);
        owner.add_read_job(cell::id(n), job, cell::at(accepted), &cell::moment(accepted));
    };
    add(&mut owner, 2, 6_800);
    let announced = cell::job(vec![cell::phase(1, 1_000)]);
    owner.add_job_after(cell::id(4), announced, cell::at(6_800), &cell::moment(6_800));
    poll_replied(&mut owner, 0, &empty(6_850), 6_850);
    let orders = started(&mut owner, 6_860);
    assert_eq!(orders, 1, "w-1 may run two tasks; the announced one is known to this owner only");
    add(&mut owner, 3, 6_910);
    assert_eq!(started(&mut owner, 6_920), 1, "no earlier owner starts it");
    poll_replied(&mut owner, 0, &empty(6_950), 6_950);
    poll_replied(&mut owner, 1, &empty(6_960), 6_960);
    assert_eq!(started(&mut owner, 6_970), 2, "w-1 has seen the fencing token");
}

/// Guards against second runs of a job that was accepted after a claim and read once no earlier owner could
/// order starts any more: the last owner may have started it meanwhile.
#[test]
fn jobs_that_a_slow_owner_has_loaded_late_wait_for_all_workers() {
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    let listed = [cell::registration(0), cell::registration(1)];
    owner.workers_listed(&listed, cell::at(5_000), cell::at(5_000));
    let jobs = vec![owner::StoredJob {
        is_inherited: false,
        ..cell::stored(1, cell::job(vec![cell::phase(1, 1_000)]), record::Progress::default())
    }];
    let superseded_at = Some(cell::at(6_900));
    let roster = listed.to_vec();
    let takeover = owner::Takeover {
        jobs,
        roster: cell::roster(roster),
        superseded_at,
        ..owner::Takeover::default()
    };
    owner.lease_renewed(cell::at(8_000));
    owner.allow_starts(cell::at(10_000));
    owner.recover(takeover, &cell::moment(8_000));
    poll_replied(&mut owner, 0, &empty(8_050), 8_050);
    assert_eq!(started(&mut owner, 8_060), 0, "w-1 may run the task");
    poll_replied(&mut owner, 1, &empty(8_070), 8_070);
    assert_eq!(started(&mut owner, 8_080), 1);
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

/// Guards against a log that does not tell which workers a new owner has given up, so that the tasks that
/// they run start elsewhere.
#[test]
fn worker_without_a_reply_until_its_leases_have_expired_is_reported() {
    let mut owner = after_claim(
        vec![cell::registration(0), cell::registration(1)],
        record::Progress::default(),
    );
    poll_replied(&mut owner, 0, &empty(16_000), 16_000);
    let expired = |owner: &mut owner::Owner, now| {
        owner.tick(&cell::moment(now));
        let actions = owner.take_actions().into_iter();
        let is_expired = |action: &owner::Action| {
            matches!(action, owner::Action::Note(owner::Note::LeasesExpired { .. }))
        };
        actions.filter(is_expired).collect::<Vec<_>>()
    };
    assert_eq!(expired(&mut owner, 16_050), []);
    let note = owner::Note::LeasesExpired {
        worker: cell::worker(1),
        domain: "a".to_owned(),
        runs: None,
        silent: None,
        bound: owner::LeaseBound::Inherited,
        reading: time::Span::millis(11_150),
        lease: time::Span::seconds(10).scaled(1.0 / 0.98) + time::Span::millis(900),
        margin: time::Span::ZERO,
    };
    assert_eq!(expired(&mut owner, 16_150), [owner::Action::Note(note)]);
    assert_eq!(expired(&mut owner, 16_200), []);
}

/// Guards against a log that blames this owner's leases for the end of runs that an earlier owner's leases
/// were taken to cover.
#[test]
fn expired_lease_of_an_earlier_owner_is_reported_as_inherited() {
    let mut owner = after_claim(vec![cell::registration(0)], record::Progress::default());
    let running = worker::Running {
        task: cell::task(1, 0, 0),
        attempt: 5,
        checkpoint: String::new(),
        progress: 20.0,
        load: 0.0,
    };
    let reply = worker::PollReply { running: vec![running], ..empty(5_010) };
    poll_replied(&mut owner, 0, &reply, 5_010);
    owner.tick(&cell::moment(16_150));
    let expired = owner.take_actions().into_iter().find_map(|action| match action {
        owner::Action::Note(owner::Note::LeasesExpired { runs, silent, bound, .. }) => {
            Some((runs, silent, bound))
        }
        _ => None,
    });
    let silent = Some(time::Span::millis(11_140));
    assert_eq!(expired, Some((Some(1), silent, owner::LeaseBound::Inherited)));
}

fn is_wait_report(action: &owner::Action) -> bool {
    matches!(action, owner::Action::Note(owner::Note::Recovering { .. }))
}

/// Takes the cell over from an owner that stored `vacating`, with a reading of the store's clock that
/// is 100 s ahead. `w-0` replies, and every other worker of the roster does not.
fn after_handover(workers: usize, vacating: Vec<record::Vacating>) -> owner::Owner {
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(5_000));
    owner.workers_listed(&[cell::registration(0)], cell::at(5_000), cell::at(5_000));
    owner.store_clock_read(store_clock(5_000));
    let job = cell::stored(1, cell::job(vec![cell::phase(2, 1_000)]), record::Progress::default());
    let takeover = owner::Takeover {
        jobs: vec![job],
        roster: cell::roster((0..workers).map(cell::registration)),
        vacating,
        outstanding: Some(time::Span::seconds(6)),
        ..owner::Takeover::default()
    };
    owner.recover(takeover, &cell::moment(5_000));
    poll_replied(&mut owner, 0, &empty(5_010), 5_010);
    owner
}

fn store_clock(now: u64) -> owner::StoreClock {
    owner::StoreClock { clock: cell::at(now + 100_000), sent: cell::at(now), at: cell::at(now) }
}

fn vacating(n: usize, tasks: Option<Vec<task::TaskId>>, until: Option<u64>) -> record::Vacating {
    record::Vacating { worker: cell::worker(n), tasks, until: until.map(cell::at) }
}

/// Guards against a departed worker that holds up all tasks of earlier jobs.
#[test]
fn missing_worker_that_got_no_new_tasks_blocks_only_its_last_ones() {
    let mut owner = after_handover(2, vec![vacating(1, Some(vec![cell::task(1, 0, 0)]), None)]);
    assert_eq!(started_when_stored(&mut owner, 5_050), 1);
    assert_eq!(started_when_stored(&mut owner, 12_000), 0);
    poll_replied(&mut owner, 0, &empty(12_010), 12_010);
    assert_eq!(started(&mut owner, 12_030), 1, "its leases have expired");
}

/// Guards against a second run: a later owner knows nothing of the tasks of an enrolled worker.
#[test]
fn missing_worker_that_may_have_got_new_tasks_blocks_all() {
    let mut owner = after_handover(2, Vec::new());
    assert_eq!(started(&mut owner, 5_050), 0);
}

/// A run that a worker reports is the only one of its task, so the task may start elsewhere once that
/// run has ended, whoever else is missing.
#[test]
fn task_that_was_reported_as_running_does_not_wait_for_missing_workers() {
    let mut owner = after_handover(2, Vec::new());
    let task = cell::task(1, 0, 0);
    let running =
        worker::Running { task, attempt: 5, checkpoint: String::new(), progress: 20.0, load: 0.0 };
    let reply = worker::PollReply { running: vec![running], ..empty(5_020) };
    poll_replied(&mut owner, 0, &reply, 5_020);
    assert_eq!(started_when_stored(&mut owner, 5_050), 0);
    let outcome = worker::Outcome::Stopped;
    let checkpoint = String::new();
    let ended = worker::Ended { number: 1, task, attempt: 5, outcome, checkpoint };
    poll_replied(&mut owner, 0, &worker::PollReply { ended: vec![ended], ..empty(5_100) }, 5_100);
    assert_eq!(started_when_stored(&mut owner, 5_150), 1);
}

/// Guards against a wait that begins anew with each owner.
#[test]
fn end_of_leases_is_stored_and_shortens_the_wait_of_the_next_owner() {
    let mut owner = after_handover(2, Vec::new());
    owner.tick(&cell::moment(5_600));
    assert_eq!(owner.next_commit(cell::at(5_600)), None, "w-1 may be slow to reply");
    owner.poll_failed(&cell::worker(1), cell::at(5_600));
    owner.tick(&cell::moment(5_600));
    let commit = owner.next_commit(cell::at(5_600)).expect("w-1 did not reply");
    let [row] = &commit.vacating[..] else { panic!("one row: {commit:?}") };
    assert_eq!((&row.worker, &row.tasks), (&cell::worker(1), &None));
    let until = row.until.expect("no lease is extended");
    assert!((cell::at(112_020)..cell::at(112_250)).contains(&until), "{until:?}");

    let mut next = after_handover(2, vec![vacating(1, None, Some(106_000))]);
    poll_replied(&mut next, 0, &empty(5_900), 5_900);
    assert_eq!(started(&mut next, 5_950), 0);
    assert_eq!(started(&mut next, 6_050), 2);
}

/// Guards against leases that outlast the stored end: the next owner would start the tasks again.
#[test]
fn lease_with_a_stored_end_is_extended_only_after_that_is_replaced() {
    let mut owner = after_handover(2, vec![vacating(1, None, Some(106_000))]);
    owner.workers_listed(
        &[cell::registration(0), cell::registration(1)],
        cell::at(5_020),
        cell::at(5_020),
    );
    assert_eq!(owner.next_commit(cell::at(5_030)), None, "it may never reply");
    poll_replied(&mut owner, 1, &empty(5_040), 5_040);
    let lease = |owner: &mut owner::Owner| {
        owner.poll_request(&cell::worker(1), cell::at(5_060)).expect("a known worker").lease
    };
    assert_eq!(lease(&mut owner), None);
    assert_eq!(started(&mut owner, 5_050), 2, "w-0 gets both tasks");
    let commit = owner.next_commit(cell::at(5_050)).expect("the row has to be removed");
    assert_eq!((commit.enrolled.len(), &commit.reopened[..]), (1, &[cell::worker(1)][..]));
    assert_eq!(lease(&mut owner), None, "it is not stored yet");
    owner.committed(&commit);
    assert!(lease(&mut owner).is_some());
}

/// The leases that earlier owners have granted to workers that did not reply may last longer than
/// this owner's own ones.
#[test]
fn outstanding_leases_include_those_of_earlier_owners_until_the_recovery_is_complete() {
    let roster = vec![cell::registration(0), cell::registration(1)];
    let mut owner = after_claim(roster, record::Progress::default());
    assert_eq!(owner.outstanding(cell::at(7_000)).as_millis(), 8_204);
    poll_replied(&mut owner, 0, &empty(7_000), 7_000);
    poll_replied(&mut owner, 1, &empty(7_000), 7_000);
    assert_eq!(owner.outstanding(cell::at(7_000)), time::Span::seconds(6));
}

/// Guards against waits that grow with each of several owners in a row, as each adds the time that the worker
/// may take to end its runs.
#[test]
fn outstanding_leases_that_are_passed_on_end_when_they_were_granted_to() {
    let owner = after_handover(2, Vec::new());
    let passed_on = owner.outstanding(cell::at(5_000));
    let granted = time::Span::seconds(6);
    assert!(passed_on >= granted && passed_on <= granted.scaled(1.0 / 0.98), "{passed_on}");
}

/// Guards against leases that lapse on sound workers: their extension would wait for a commit.
#[test]
fn leases_of_a_worker_that_replies_late_are_extended_without_a_commit() {
    let mut owner = after_handover(2, Vec::new());
    owner.tick(&cell::moment(5_600));
    poll_replied(&mut owner, 1, &empty(5_700), 5_700);
    let request = owner.poll_request(&cell::worker(1), cell::at(5_710)).expect("a known worker");
    assert!(request.lease.is_some());
    assert_eq!(owner.next_commit(cell::at(5_710)), None);
}
