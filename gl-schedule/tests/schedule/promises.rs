use gl_model::{id, job, task, vm};
use gl_schedule::owner::Input;

use super::bench::{self, Calm};

fn vms(count: usize) -> Vec<vm::Vm> {
    (0..count).map(|n| bench::vm(n, bench::size(64, 250))).collect()
}

#[test]
fn a_ledger_refuses_what_passes_the_capacity_and_a_second_promise() {
    let mut ledger = vm::Ledger::new(&bench::vm(0, bench::size(8, 8)));
    let promise = |name: &str, cores| vm::Promise {
        task: id::TaskId::from(name),
        incarnation: id::Incarnation(1),
        size: bench::size(cores, 1),
    };
    assert_eq!(ledger.promise(promise("a", 6)), Ok(()));
    let room = bench::size(2, 7);
    assert_eq!(ledger.promise(promise("b", 3)), Err(vm::Error::Full { room }));
    assert_eq!(ledger.promise(promise("a", 1)), Err(vm::Error::Doubled));
    assert!(ledger.release(&id::TaskId::from("a")));
    assert_eq!(ledger.promise(promise("b", 8)), Ok(()));
}

#[test]
fn batch_work_finishes_and_its_rows_are_folded() {
    let mut calm = Calm::new(vms(2), &[bench::batch("night", 40, bench::size(8, 8))]);
    let ended = |calm: &Calm| calm.store.jobs()[0].row.ended.is_some();
    calm.until(60, ended);
    let done = calm.store.jobs()[0].row.ended.map(|ended| ended.done);
    assert_eq!((done, calm.store.tasks().len()), (Some(40), 0));
    bench::check_runs(&calm.runs, calm.now);
}

#[test]
fn a_service_is_spread_over_vms_and_racks() {
    let mut calm = Calm::new(vms(16), &[bench::service("book", 4, bench::size(16, 64), 0)]);
    calm.until(10, |calm| calm.running("book") == 4);
    let racks: std::collections::BTreeSet<usize> = calm.runs.iter().map(|r| r.vm / 8).collect();
    let vms: std::collections::BTreeSet<usize> = calm.runs.iter().map(|r| r.vm).collect();
    assert_eq!((racks.len(), vms.len()), (2, 4));
}

#[test]
fn evicted_work_makes_room_within_the_grant_and_resumes_from_its_checkpoint() {
    let mut calm = Calm::new(vms(2), &[bench::batch("night", 16, bench::size(8, 8))]);
    calm.until(5, |calm| calm.running("night") == 16);
    calm.until(8, |calm| calm.now >= bench::START + gl_model::time::Span::seconds(6));
    calm.store.put_job(&bench::service("book", 2, bench::size(16, 64), 4));
    calm.input(Input::Jobs(calm.store.jobs()));
    calm.until(5, |calm| calm.running("book") == 2);
    let evictions: u32 = calm.store.tasks().iter().map(|row| row.evictions).sum();
    assert_eq!(evictions, 4);
    calm.until(60, |calm| {
        let tasks = calm.store.tasks();
        let night = tasks.iter().filter(|row| row.job.as_str() == "night");
        night.into_iter().all(|row| row.state == task::State::Done)
    });
    bench::check_runs(&calm.runs, calm.now);
    let done = calm.runs.iter().filter(|run| run.done);
    assert_eq!(done.count(), 16, "each finished once");
    assert!(calm.runs.iter().filter(|run| run.resumed > 0).count() >= 4, "resumed, not restarted");
}

#[test]
fn nothing_is_evicted_beyond_the_grant() {
    let mut calm = Calm::new(vms(1), &[bench::batch("night", 8, bench::size(8, 8))]);
    calm.until(5, |calm| calm.running("night") == 8);
    calm.store.put_job(&bench::service("book", 2, bench::size(16, 64), 2));
    calm.input(Input::Jobs(calm.store.jobs()));
    for _ in 0..80 {
        calm.step();
    }
    let evictions: u32 = calm.store.tasks().iter().map(|row| row.evictions).sum();
    assert_eq!((evictions, calm.running("book")), (2, 1));
}

#[test]
fn a_job_that_always_fails_is_given_up_with_its_reason() {
    let mut calm = Calm::new(vms(3), &[bench::batch("bad", 1, bench::size(1, 1))]);
    for agent in &mut calm.agents {
        agent.fails = true;
    }
    calm.until(120, |calm| calm.store.jobs()[0].row.ended.is_some());
    assert_eq!(calm.store.jobs()[0].row.ended.map(|e| e.failed), Some(1));
    assert_eq!(calm.runs.len(), 6, "as many starts as the configuration allows");
}

#[test]
fn a_worker_that_fails_everything_gets_no_more_than_a_few_tasks() {
    let mut calm = Calm::new(vms(4), &[bench::batch("night", 30, bench::size(4, 4))]);
    calm.agents[0].fails = true;
    calm.until(60, |calm| calm.store.jobs()[0].row.ended.is_some());
    let failed = calm.runs.iter().filter(|run| run.vm == 0).count();
    assert!(failed <= 30, "{failed} starts on the failing worker");
    assert_eq!(calm.store.jobs()[0].row.ended.map(|e| e.done), Some(30));
}

#[test]
fn a_leaving_vm_is_emptied_and_its_tasks_run_elsewhere() {
    let jobs = [
        bench::service("book", 2, bench::size(16, 64), 0),
        bench::batch("night", 4, bench::size(4, 4)),
    ];
    let mut calm = Calm::new(vms(3), &jobs);
    calm.until(10, |calm| calm.running("book") == 2);
    let leaving = calm.runs.iter().find(|run| run.task.as_str() == "book.0").unwrap().vm;
    calm.list.vms[leaving].liveness = vm::Liveness::Leaving;
    calm.input(Input::List(calm.list.clone()));
    calm.until(10, |calm| {
        let on_it = |run: &&bench::Run| run.vm == leaving && run.to.is_none();
        calm.running("book") == 2 && calm.runs.iter().filter(on_it).count() == 0
    });
    bench::check_runs(&calm.runs, calm.now);
}

#[test]
fn a_season_runs_only_within_its_window() {
    let mut season = bench::service("festival", 2, bench::size(16, 64), 0);
    let from = bench::START + gl_model::time::Span::seconds(5);
    let to = bench::START + gl_model::time::Span::seconds(10);
    if let job::Work::Service(service) = &mut season.spec.work {
        service.windows = vec![job::Window { from, to }];
    }
    let mut calm = Calm::new(vms(2), &[season]);
    calm.until(4, |calm| calm.now >= bench::START + gl_model::time::Span::seconds(3));
    assert_eq!(calm.running("festival"), 0);
    calm.until(4, |calm| calm.running("festival") == 2);
    calm.until(8, |calm| calm.running("festival") == 0);
    assert!(calm.runs.iter().all(|run| run.from >= from));
}

#[test]
fn a_service_submitted_again_while_it_drains_runs_again() {
    let row = bench::service("book", 2, bench::size(16, 64), 0);
    let mut calm = Calm::new(vms(2), std::slice::from_ref(&row));
    calm.until(10, |calm| calm.running("book") == 2);
    calm.agents.iter_mut().for_each(|agent| agent.busy = true);
    calm.store.put_job(&job::Row { cancelled: true, ..row.clone() });
    calm.input(Input::Jobs(calm.store.jobs()));
    let drains = |calm: &Calm| {
        let draining = |row: &task::Row| matches!(row.state, task::State::Draining { .. });
        calm.store.tasks().iter().any(draining)
    };
    calm.until(5, drains);
    calm.store.put_job(&row);
    calm.input(Input::Jobs(calm.store.jobs()));
    for _ in 0..20 {
        calm.step();
    }
    calm.agents.iter_mut().for_each(|agent| agent.busy = false);
    calm.until(10, |calm| calm.running("book") == 2);
    for _ in 0..100 {
        calm.step();
    }
    assert_eq!(calm.running("book"), 2);
    bench::check_runs(&calm.runs, calm.now);
}

#[test]
fn a_task_that_never_gets_to_run_is_taken_back() {
    let mut calm = Calm::new(vms(2), &[bench::service("book", 2, bench::size(16, 64), 0)]);
    calm.agents[0].hangs = true;
    calm.until(5, |calm| calm.running("book") == 1);
    calm.until(90, |calm| calm.running("book") == 2);
    assert!(calm.now >= bench::START + gl_model::time::Span::seconds(60));
    bench::check_runs(&calm.runs, calm.now);
}
