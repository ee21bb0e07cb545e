//! Entries that others have written into the list of workers. They name no worker, and say nothing of those
//! at work.

use gl_jobs::{owner, record, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// A name that no worker has.
const ABSENT: usize = 9;

/// The entry of a worker that does not exist, on the VM of a worker that does, and of a later start.
fn entry_on_vm_of(n: usize, service: &str) -> worker::Registration {
    worker::Registration {
        id: cell::worker(ABSENT),
        incarnation: worker::Incarnation(2),
        service: service.to_owned(),
        ..cell::registration(n)
    }
}

/// Lists such an entry beside a worker with a run, and returns whether that run goes on.
fn run_goes_on_beside(service: &str) -> bool {
    let mut cell = Cell::new(2);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    let n = cell::index(&start.worker);
    cell.poll(n, &[cell::running(&start, 5.0, 900.0)]);
    let list = [cell::registration(0), cell::registration(1), entry_on_vm_of(n, service)];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    let actions = cell.tick();
    let is_known = cell.owner.worker(&start.worker).is_some();
    is_known && cell::starts(&actions).is_empty() && cell::stops(&actions).is_empty()
}

/// The time of the claim of a new owner.
const CLAIMED: u64 = 20_000;

/// Returns a new owner with a task that may run on a worker of the roster, if the list has such an entry on
/// that worker's VM.
fn new_owner_beside(service: &str) -> owner::Owner {
    let claimed = CLAIMED;
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(claimed));
    let list = [cell::registration(0), cell::registration(1), entry_on_vm_of(1, service)];
    owner.workers_listed(&list, cell::at(claimed), cell::at(claimed));
    owner.store_clock_read(cell::store_clock(claimed));
    let job = cell::job(vec![cell::phase(1, 1_000)]);
    let jobs = vec![cell::stored(1, job, record::Progress::default())];
    let roster = cell::roster([cell::registration(0), cell::registration(1)]);
    let outstanding = Some(time::Span::millis(3_000));
    let takeover = owner::Takeover { jobs, roster, outstanding, ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(claimed));
    owner
}

/// Returns the time from the claim to the first start, if only the other worker replies.
fn taken_over_beside(service: &str) -> Option<u64> {
    cell::first_start(new_owner_beside(service), CLAIMED, &[0])
}

/// Guards against second runs of all tasks of a worker, which is taken for ended because of an entry of a
/// service that does not exist.
#[test]
fn entry_of_an_unknown_service_on_the_vm_of_a_worker_ends_no_runs() {
    assert!(run_goes_on_beside("nowhere"));
}

/// Guards against the same because of an entry of the worker's own service.
#[test]
fn entry_of_a_worker_that_never_replies_ends_no_runs_on_its_vm() {
    assert!(run_goes_on_beside(cell::SERVICE));
}

/// Guards against second runs under a new owner, which does not wait for a worker because of an entry of a
/// service that does not exist.
#[test]
fn new_owner_waits_for_a_worker_beside_an_entry_of_an_unknown_service_on_its_vm() {
    let after = taken_over_beside("nowhere");
    assert!(after.is_some_and(|ms| ms >= 3_000), "{after:?} ms");
}

/// Guards against the same because of an entry of the worker's own service: also that of an earlier worker,
/// which seems to be later, as the time of day of the VM was set back.
#[test]
fn new_owner_waits_for_a_worker_beside_an_entry_on_its_vm_that_nobody_answers_for() {
    let after = taken_over_beside(cell::SERVICE);
    assert!(after.is_some_and(|ms| ms >= 3_000), "{after:?} ms");
}

/// Guards against a wait for the leases of a worker whose VM runs another one, which replies.
#[test]
fn new_owner_does_not_wait_for_a_worker_once_another_one_of_its_vm_has_replied() {
    let mut owner = new_owner_beside(cell::SERVICE);
    let now = cell::at(CLAIMED);
    let call = cell::call(&owner, &cell::worker(ABSENT), now);
    let reply = worker::PollReply {
        clock: cell::at(50),
        incarnation: worker::Incarnation(2),
        ..worker::PollReply::default()
    };
    owner.poll_replied(&cell::worker(ABSENT), call, &reply, now);
    assert!(owner.worker(&cell::worker(1)).is_none());
    assert_eq!(cell::first_start(owner, CLAIMED, &[0]), Some(0));
}

/// Guards against second runs because of an entry that says something else than its worker: only a reply as the
/// incarnation in it counts.
#[test]
fn reply_of_another_incarnation_than_the_listed_one_ends_no_runs_on_the_vm() {
    let mut cell = Cell::new(1);
    let list = [cell::registration(0), entry_on_vm_of(0, cell::SERVICE)];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    cell.reply_as(ABSENT, 1);
    assert!(cell.owner.worker(&cell::worker(0)).is_some());
    cell.reply_as(ABSENT, 2);
    assert!(cell.owner.worker(&cell::worker(0)).is_some(), "it may be to an earlier call");
    cell.reply_as(ABSENT, 2);
    assert!(cell.owner.worker(&cell::worker(0)).is_none());
}

/// Guards against second runs of a worker that has started again since an entry of another one was written.
#[test]
fn worker_that_is_newer_than_its_entry_keeps_its_runs_beside_another_one_of_its_vm() {
    let mut cell = Cell::new(1);
    cell.reply_as(0, 3);
    cell.reply_as(0, 3);
    let list = [cell::registration(0), entry_on_vm_of(0, cell::SERVICE)];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    cell.reply_as(ABSENT, 2);
    assert!(cell.owner.worker(&cell::worker(0)).is_some());
}

/// Guards against blame for a task whose worker was lost, because of an entry on its VM that nobody answers for.
#[test]
fn entry_on_the_vm_of_a_worker_that_was_lost_is_no_crash() {
    let mut cell = Cell::new(2);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    cell.start_replied(&start, worker::OrderReply::Done);
    let n = cell::index(&start.worker);
    cell.owner.poll_failed(&start.worker, cell::at(cell.now));
    let list = [cell::registration(1 - n), entry_on_vm_of(n, "nowhere")];
    cell.owner.workers_listed(&list, cell::at(cell.now), cell::at(cell.now));
    let mut blamed = Vec::new();
    let until = cell.now + 14_000;
    while cell.now < until {
        cell.poll(1 - n, &[]);
        cell.commit();
        let actions = cell.tick();
        blamed.extend(actions.into_iter().filter(|action| {
            matches!(action, owner::Action::Note(owner::Note::Implicated { .. }))
        }));
    }
    assert!(cell.owner.worker(&start.worker).is_none(), "it was removed from the table");
    assert_eq!(blamed, []);
}

/// Guards against second runs because of a late change of an earlier worker's entry: that one has replied once,
/// and seems to be the later one, as the time of day of the VM was set back.
#[test]
fn late_entry_of_an_earlier_worker_ends_no_runs_of_the_one_that_has_replied_since() {
    let mut cell = Cell::new(1);
    let newer = worker::Registration {
        id: cell::worker(1),
        incarnation: worker::Incarnation(0),
        ..cell::registration(0)
    };
    let list = |cell: &mut Cell, changed| {
        let changes = worker::ListChanges { changed: vec![changed], removed: Vec::new() };
        cell.owner.workers_changed(&changes, cell::at(cell.now), cell::at(cell.now));
    };
    cell.owner.poll_failed(&cell::worker(0), cell::at(cell.now));
    list(&mut cell, newer);
    cell.commit();
    cell.now += 10;
    cell.reply_as(1, 0);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    assert_eq!(start.worker, cell::worker(1));
    cell.start_replied(&start, worker::OrderReply::Done);
    list(&mut cell, worker::Registration { draining: true, ..cell::registration(0) });
    assert!(cell.owner.worker(&start.worker).is_some());
    assert_eq!(cell.owner.runs().count(), 1, "it is at work");
}
