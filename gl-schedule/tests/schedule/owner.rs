//! The rules of a shard's owner, one by one: reservations, spreading, evictions and resumption,
//! retries, quarantine, draining, seasons and stuck tasks.

use gl_model::{id, job, task, vm};
use gl_schedule::owner::Input;

use super::harness::{self, Cluster};

fn vms(count: usize) -> Vec<vm::Vm> {
    (0..count).map(|n| harness::vm(n, harness::size(64, 250))).collect()
}

#[test]
fn ledger_refuses_overcommitment_and_a_second_reservation_of_a_task() {
    let mut ledger = vm::Ledger::new(&harness::vm(0, harness::size(8, 8)));
    let reservation = |name: &str, cores| vm::Reservation {
        task: id::TaskId::from(name),
        incarnation: id::Incarnation(1),
        size: harness::size(cores, 1),
    };
    assert_eq!(ledger.reserve(reservation("a", 6)), Ok(()));
    let room = harness::size(2, 7);
    assert_eq!(ledger.reserve(reservation("b", 3)), Err(vm::Error::Full { free: room }));
    assert_eq!(ledger.reserve(reservation("a", 1)), Err(vm::Error::AlreadyReserved));
    assert!(ledger.release(&id::TaskId::from("a")));
    assert_eq!(ledger.reserve(reservation("b", 8)), Ok(()));
}

#[test]
fn finished_batch_job_is_counted_and_its_task_rows_are_removed() {
    let mut cluster = Cluster::new(vms(2), &[harness::batch("night", 40, harness::size(8, 8))]);
    let ended = |cluster: &Cluster| cluster.store.jobs()[0].row.ended.is_some();
    cluster.run_until(60, ended);
    let done = cluster.store.jobs()[0].row.ended.map(|ended| ended.done);
    assert_eq!((done, cluster.store.tasks().len()), (Some(40), 0));
    harness::check_runs(&cluster.runs, cluster.now);
}

#[test]
fn service_is_spread_over_vms_and_racks() {
    let mut cluster =
        Cluster::new(vms(16), &[harness::service("book", 4, harness::size(16, 64), 0)]);
    cluster.run_until(10, |cluster| cluster.running("book") == 4);
    let racks: std::collections::BTreeSet<usize> = cluster.runs.iter().map(|r| r.vm / 8).collect();
    let vms: std::collections::BTreeSet<usize> = cluster.runs.iter().map(|r| r.vm).collect();
    assert_eq!((racks.len(), vms.len()), (2, 4));
}

#[test]
fn evicted_tasks_stay_within_the_grant_and_resume_from_their_checkpoints() {
    let mut cluster = Cluster::new(vms(2), &[harness::batch("night", 16, harness::size(8, 8))]);
    cluster.run_until(5, |cluster| cluster.running("night") == 16);
    cluster
        .run_until(8, |cluster| cluster.now >= harness::START + gl_model::time::Span::seconds(6));
    cluster.store.put_job(&harness::service("book", 2, harness::size(16, 64), 4));
    cluster.input(Input::Jobs(cluster.store.jobs()));
    cluster.run_until(5, |cluster| cluster.running("book") == 2);
    let evictions: u32 = cluster.store.tasks().iter().map(|row| row.evictions).sum();
    assert_eq!(evictions, 4);
    cluster.run_until(60, |cluster| {
        let tasks = cluster.store.tasks();
        let night = tasks.iter().filter(|row| row.job.as_str() == "night");
        night.into_iter().all(|row| row.state == task::State::Done)
    });
    harness::check_runs(&cluster.runs, cluster.now);
    let done = cluster.runs.iter().filter(|run| run.done);
    assert_eq!(done.count(), 16, "each task finished exactly once");
    assert!(
        cluster.runs.iter().filter(|run| run.resumed > 0).count() >= 4,
        "evicted tasks resume from their checkpoints"
    );
}

#[test]
fn evictions_stop_at_the_grant() {
    let mut cluster = Cluster::new(vms(1), &[harness::batch("night", 8, harness::size(8, 8))]);
    cluster.run_until(5, |cluster| cluster.running("night") == 8);
    cluster.store.put_job(&harness::service("book", 2, harness::size(16, 64), 2));
    cluster.input(Input::Jobs(cluster.store.jobs()));
    for _ in 0..80 {
        cluster.step();
    }
    let evictions: u32 = cluster.store.tasks().iter().map(|row| row.evictions).sum();
    assert_eq!((evictions, cluster.running("book")), (2, 1));
}

#[test]
fn always_failing_task_is_given_up_after_the_configured_attempts() {
    let mut cluster = Cluster::new(vms(3), &[harness::batch("bad", 1, harness::size(1, 1))]);
    for agent in &mut cluster.agents {
        agent.is_failing = true;
    }
    cluster.run_until(120, |cluster| cluster.store.jobs()[0].row.ended.is_some());
    assert_eq!(cluster.store.jobs()[0].row.ended.map(|e| e.failed), Some(1));
    assert_eq!(cluster.runs.len(), 6, "as many starts as the configuration allows");
}

#[test]
fn worker_that_fails_every_task_gets_only_a_few() {
    let mut cluster = Cluster::new(vms(4), &[harness::batch("night", 30, harness::size(4, 4))]);
    cluster.agents[0].is_failing = true;
    cluster.run_until(60, |cluster| cluster.store.jobs()[0].row.ended.is_some());
    let failed = cluster.runs.iter().filter(|run| run.vm == 0).count();
    assert!(failed <= 30, "{failed} starts on the failing worker");
    assert_eq!(cluster.store.jobs()[0].row.ended.map(|e| e.done), Some(30));
}

#[test]
fn draining_vm_is_emptied_and_its_tasks_run_elsewhere() {
    let jobs = [
        harness::service("book", 2, harness::size(16, 64), 0),
        harness::batch("night", 4, harness::size(4, 4)),
    ];
    let mut cluster = Cluster::new(vms(3), &jobs);
    cluster.run_until(10, |cluster| cluster.running("book") == 2);
    let draining = cluster.runs.iter().find(|run| run.task.as_str() == "book.0").unwrap().vm;
    cluster.list.vms[draining].liveness = vm::Liveness::Leaving;
    cluster.input(Input::List(cluster.list.clone()));
    cluster.run_until(10, |cluster| {
        let is_running_there = |run: &&harness::Run| run.vm == draining && run.to.is_none();
        cluster.running("book") == 2 && cluster.runs.iter().filter(is_running_there).count() == 0
    });
    harness::check_runs(&cluster.runs, cluster.now);
}

#[test]
fn season_runs_only_within_its_window() {
    let mut season = harness::service("festival", 2, harness::size(16, 64), 0);
    let from = harness::START + gl_model::time::Span::seconds(5);
    let to = harness::START + gl_model::time::Span::seconds(10);
    if let job::Work::Service(service) = &mut season.spec.work {
        service.windows = vec![job::Window { from, to }];
    }
    let mut cluster = Cluster::new(vms(2), &[season]);
    cluster
        .run_until(4, |cluster| cluster.now >= harness::START + gl_model::time::Span::seconds(3));
    assert_eq!(cluster.running("festival"), 0);
    cluster.run_until(4, |cluster| cluster.running("festival") == 2);
    cluster.run_until(8, |cluster| cluster.running("festival") == 0);
    assert!(cluster.runs.iter().all(|run| run.from >= from));
}

#[test]
fn service_resubmitted_while_it_drains_runs_again() {
    let row = harness::service("book", 2, harness::size(16, 64), 0);
    let mut cluster = Cluster::new(vms(2), std::slice::from_ref(&row));
    cluster.run_until(10, |cluster| cluster.running("book") == 2);
    cluster.agents.iter_mut().for_each(|agent| agent.is_busy = true);
    cluster.store.put_job(&job::Row { cancelled: true, ..row.clone() });
    cluster.input(Input::Jobs(cluster.store.jobs()));
    let is_draining = |cluster: &Cluster| {
        let draining = |row: &task::Row| matches!(row.state, task::State::Draining { .. });
        cluster.store.tasks().iter().any(draining)
    };
    cluster.run_until(5, is_draining);
    cluster.store.put_job(&row);
    cluster.input(Input::Jobs(cluster.store.jobs()));
    for _ in 0..20 {
        cluster.step();
    }
    cluster.agents.iter_mut().for_each(|agent| agent.is_busy = false);
    cluster.run_until(10, |cluster| cluster.running("book") == 2);
    for _ in 0..100 {
        cluster.step();
    }
    assert_eq!(cluster.running("book"), 2);
    harness::check_runs(&cluster.runs, cluster.now);
}

#[test]
fn task_that_never_gets_to_run_is_moved_to_another_worker() {
    let mut cluster =
        Cluster::new(vms(2), &[harness::service("book", 2, harness::size(16, 64), 0)]);
    cluster.agents[0].is_hanging = true;
    cluster.run_until(5, |cluster| cluster.running("book") == 1);
    cluster.run_until(90, |cluster| cluster.running("book") == 2);
    assert!(cluster.now >= harness::START + gl_model::time::Span::seconds(60));
    harness::check_runs(&cluster.runs, cluster.now);
}
