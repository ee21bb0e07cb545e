//! Start orders without an answer, and the next owner, which learns of them from the rows of their jobs.

use gl_jobs::{owner, record, worker};

use crate::cell::{self, Cell};
use crate::unsettled;

/// Returns the stored orders of the first task of job 1.
fn stored_orders(cell: &mut Cell) -> Vec<record::UnsettledOrder> {
    let rows = cell.commit();
    let phases = rows.iter().rev().flat_map(|row| &row.progress.phases);
    phases.filter_map(|phase| phase.unsettled.get(&0)).next().cloned().unwrap_or_default()
}

/// Guards against second runs under the next owner, which does not know of orders that it has not sent.
#[test]
fn order_without_an_answer_is_stored_for_the_next_owner() {
    let (mut cell, start) = unsettled::ordered(2);
    cell.now += 100;
    cell.tick();
    assert_eq!(stored_orders(&mut cell), [], "answers take a few milliseconds");
    cell.now += 300;
    cell.tick();
    let stored = stored_orders(&mut cell);
    assert_eq!(stored.first().map(|order| &order.worker), Some(&start.worker));
    assert!(stored[0].until >= cell::at(cell.now - 400 + unsettled::LATENESS), "{stored:?}");
    cell.start_replied(&start, worker::OrderReply::Done);
    cell.report_end(cell::index(&start.worker), &start, worker::Outcome::Failed);
    cell.poll(cell::index(&start.worker), &[]);
    cell.tick();
    assert_eq!(stored_orders(&mut cell), [], "it was answered");
}

/// Returns a new owner of two workers, of which the first one drains, with a job whose only task has these
/// stored orders, and the time of its claim.
fn taken_over(unsettled: &[record::UnsettledOrder]) -> (owner::Owner, u64) {
    let claimed = 20_000;
    let mut owner = owner::Owner::new(owner::Settings::default(), 9, cell::at(claimed));
    let draining = worker::Registration { draining: true, ..cell::registration(0) };
    let list = [draining, cell::registration(1)];
    owner.workers_listed(&list, cell::at(claimed), cell::at(claimed));
    owner.store_clock_read(cell::store_clock(claimed));
    let mut progress = record::Progress::default();
    progress.phase_mut(0, 0).unsettled.insert(0, unsettled.to_vec());
    let jobs = vec![cell::stored(1, cell::job(vec![cell::phase(1, 1_000)]), progress)];
    let roster = cell::roster([cell::registration(0), cell::registration(1)]);
    let takeover = owner::Takeover { jobs, roster, ..owner::Takeover::default() };
    owner.recover(takeover, &cell::moment(claimed));
    (owner, claimed)
}

/// Guards against second runs, and against takeovers that are slower than that needs.
#[test]
fn new_owner_keeps_a_task_from_other_workers_while_an_order_may_be_carried_out() {
    let order =
        |n, until| record::UnsettledOrder { worker: cell::worker(n), until: cell::at(until) };
    let after = |orders: &[record::UnsettledOrder]| {
        let (owner, claimed) = taken_over(orders);
        cell::first_start(owner, claimed, &[0, 1])
    };
    assert!(after(&[]).is_some_and(|ms| ms <= 100));
    assert!(
        after(&[order(1, 29_000)]).is_some_and(|ms| ms <= 100),
        "it may start where it was ordered"
    );
    assert!(after(&[order(0, 19_000)]).is_some_and(|ms| ms <= 100), "the order is too old");
    let held = after(&[order(0, 29_000)]);
    assert!(held.is_some_and(|ms| (9_000..9_500).contains(&ms)), "{held:?} ms");
}

/// Guards against jobs that start anew after an upgrade or its reversal.
#[test]
fn rows_without_unsettled_orders_are_those_of_earlier_versions() {
    let mut progress = record::Progress::default();
    let phase = progress.phase_mut(0, 0);
    phase.started.insert(0);
    let plain = record::encode("progress", &progress).expect("it can be encoded");
    assert!(!plain.windows(9).any(|part| part == b"unsettled"));
    assert_eq!(record::decode::<record::Progress>("progress", &plain), Ok(progress));
}
