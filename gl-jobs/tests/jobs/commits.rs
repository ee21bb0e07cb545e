//! What is stored, and when ends are acknowledged.

use gl_jobs::{job, record, worker};
use gl_model::time;

use crate::cell::{self, Cell};

#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    let mut cell = Cell::new(1);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    cell.answer(&start, worker::OrderReply::Done);
    cell.end(0, &start, worker::Outcome::Done);
    cell.poll(0, &[]);
    let acknowledged = |cell: &mut Cell| {
        cell.owner.poll_request(&cell::worker(0), cell::at(cell.now)).unwrap().acknowledged
    };
    assert_eq!(acknowledged(&mut cell), 0);
    let commit = cell.owner.next_commit(cell::at(cell.now)).unwrap();
    assert_eq!(acknowledged(&mut cell), 0);
    cell.owner.committed(&commit);
    assert_eq!(acknowledged(&mut cell), 1);
}

#[test]
fn a_commit_that_failed_is_made_again() {
    let mut cell = Cell::new(1);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]));
    cell.run_all(&actions);
    let commit = cell.owner.next_commit(cell::at(cell.now)).unwrap();
    cell.owner.commit_failed(&commit);
    let again = cell.owner.next_commit(cell::at(cell.now)).unwrap();
    assert_eq!(again.rows, commit.rows);
}

#[test]
fn ends_of_unknown_tasks_are_acknowledged_without_a_commit() {
    let mut cell = Cell::new(1);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    let unknown = cell::Started { task: cell::task(42, 0, 0), ..start };
    cell.end(0, &unknown, worker::Outcome::Done);
    cell.poll(0, &[]);
    assert!(cell.owner.has_commit());
    assert_eq!(cell.owner.next_commit(cell::at(cell.now)), None);
    let order = cell.owner.poll_request(&cell::worker(0), cell::at(cell.now)).unwrap();
    assert_eq!(order.acknowledged, 1);
}

#[test]
fn rows_of_a_job_are_removed_some_time_after_its_end() {
    let mut cell = Cell::new(1);
    let actions = cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]));
    cell.run_all(&actions);
    cell.commit();
    cell.now += 200_000;
    let commit = cell.owner.next_commit(cell::at(cell.now)).unwrap();
    assert_eq!(commit.removed_jobs, [cell::id(1)]);
    cell.owner.committed(&commit);
    assert_eq!(cell.owner.state(cell::id(1)), None);
}

#[test]
fn stored_rows_come_back_as_they_were() {
    let job = record::Work::Job(Box::new(cell::job(vec![cell::phase(3, 1_000)])));
    let bytes = record::encode("job", &job).unwrap();
    assert_eq!(record::decode::<record::Work>("job", &bytes).unwrap(), job);
    let error = record::decode::<record::Work>("job", b"\xff").unwrap_err();
    assert!(error.to_string().contains("versions go together"), "{error}");
}

#[test]
fn what_was_learnt_goes_with_a_commit_now_and_then() {
    let mut cell = Cell::new(1);
    let tail_target = Some(time::Span::millis(50));
    let image = |name: &str| Some(name.to_owned());
    let lasting = job::Phase {
        long_running: true,
        image: image("desk"),
        tail_target,
        ..cell::phase(1, 30_000)
    };
    let fills = job::Phase { best_effort: true, image: image("report"), ..cell::phase(1, 8_000) };
    let lasting = cell::starts(&cell.submit(1, cell::job(vec![lasting]))).remove(0);
    cell.answer(&lasting, worker::OrderReply::Done);
    let fill = cell::starts(&cell.submit(2, cell::job(vec![fills]))).remove(0);
    cell.answer(&fill, worker::OrderReply::Done);
    cell.now += 3_000;
    let runs = [cell::running(&lasting, 100.0, 20.0), cell::running(&fill, 30.0, 8_000.0)];
    cell.poll(0, &runs);
    let mut model = |job: u64| {
        let batch = cell.submit(job, cell::job(vec![cell::phase(1, 1_000)]));
        let batch = cell::starts(&batch).remove(0);
        cell.answer(&batch, worker::OrderReply::Done);
        cell.end(0, &batch, worker::Outcome::Done);
        cell.poll(0, &runs);
        let commit = cell.owner.next_commit(cell::at(cell.now)).expect("a job is done");
        cell.owner.committed(&commit);
        commit.model
    };
    let first = model(3).expect("three seconds have passed");
    assert_eq!(first.pairs.len(), 1, "{first:?}");
    assert_eq!(model(4), None, "a moment later");
}
