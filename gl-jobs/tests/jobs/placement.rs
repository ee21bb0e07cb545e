//! Where tasks go.

use std::collections;

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

fn places(actions: &[owner::Action]) -> collections::BTreeMap<worker::WorkerId, usize> {
    let mut places = collections::BTreeMap::new();
    for start in cell::starts(actions) {
        *places.entry(start.worker).or_default() += 1;
    }
    places
}

#[test]
fn no_worker_gets_more_than_it_has() {
    let mut cell = Cell::new(3);
    let actions = cell.submit(1, cell::job(vec![cell::phase(100, 10_000)]));
    let places = places(&actions);
    assert_eq!(places.values().copied().collect::<Vec<_>>(), [6, 6, 6]);
}

#[test]
fn a_label_and_a_limit_for_each_worker_are_kept() {
    let mut cell = Cell::new(4);
    let phase =
        job::Phase { label: Some("r1".into()), per_worker: Some(2), ..cell::phase(9, 1_000) };
    let places = places(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(places, [(cell::worker(2), 2), (cell::worker(3), 2)].into());
}

#[test]
fn tasks_go_to_the_rack_of_their_data_while_it_has_room() {
    let mut cell = Cell::new(4);
    let phase = job::Phase { data_rack: Some("r1".into()), ..cell::phase(3, 40_000) };
    let places = places(&cell.submit(1, cell::job(vec![phase])));
    assert_eq!(places.len(), 3);
    assert!(places.contains_key(&cell::worker(2)) && places.contains_key(&cell::worker(3)));
}

#[test]
fn tasks_that_need_each_other_share_a_rack() {
    let mut cell = Cell::new(8);
    let phase = job::Phase { rack_sensitive: true, ..cell::phase(4, 30_000) };
    let places = places(&cell.submit(1, cell::job(vec![phase])));
    let racks: collections::BTreeSet<_> = places.keys().map(|id| cell::index(id) / 2).collect();
    assert_eq!(racks.len(), 1);
}

#[test]
fn a_gang_starts_whole_with_one_attempt_or_not_at_all() {
    let mut cell = Cell::new(2);
    let gang = job::Phase { gang: true, ..cell::phase(3, 40_000) };
    assert!(cell::starts(&cell.submit(1, cell::job(vec![gang]))).is_empty());
    let gang = job::Phase { gang: true, ..cell::phase(2, 40_000) };
    let started = cell::starts(&cell.submit(2, cell::job(vec![gang])));
    assert_eq!(started.len(), 2);
    assert_eq!(started[0].attempt, started[1].attempt);
}

#[test]
fn a_gang_that_loses_a_member_starts_again_as_a_whole() {
    let mut cell = Cell::new(2);
    let gang = job::Phase { gang: true, ..cell::phase(2, 40_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![gang])));
    cell.answer(&started[0], worker::OrderReply::Done);
    cell.answer(&started[1], worker::OrderReply::Refused(worker::Refusal::NoCapacity));
    let actions = cell.tick();
    assert_eq!(cell::stops(&actions), [started[0].task]);
    assert!(cell::starts(&actions).is_empty());
    let n = cell::index(&started[0].worker);
    cell.end(n, &started[0], worker::Outcome::Stopped);
    cell.now += 600;
    cell.poll(n, &[]);
    cell.poll(1 - n, &[]);
    let again = cell::starts(&cell.tick());
    assert_eq!(again.len(), 2);
    assert_eq!(again[0].attempt, again[1].attempt);
}

#[test]
fn one_end_of_a_gang_stands_for_all() {
    let mut cell = Cell::new(2);
    let gang = job::Phase { gang: true, ..cell::phase(2, 40_000) };
    let started = cell::starts(&cell.submit(1, cell::job(vec![gang])));
    for start in &started {
        cell.answer(start, worker::OrderReply::Done);
    }
    cell.end(cell::index(&started[0].worker), &started[0], worker::Outcome::Done);
    cell.poll(cell::index(&started[0].worker), &[]);
    cell.commit();
    assert_eq!(cell.owner.state(cell::id(1)), Some(job::State::Complete));
}

#[test]
fn a_queue_with_advice_starts_only_where_that_allows() {
    let mut cell = Cell::new(3);
    let advice = Some(job::AdvicePolicy { validity: time::Span::seconds(3) });
    let advised = job::Job { advice, ..cell::job(vec![cell::phase(1, 1_000)]) };
    let actions = cell.submit(1, advised);
    assert!(cell::starts(&actions).is_empty());
    let phase = cell::task(1, 0, 0).phase;
    let is_question = |action: &&owner::Action| matches!(action, owner::Action::RequestAdvice { phase: asked, workers } if *asked == phase && workers.len() == 3);
    assert_eq!(actions.iter().filter(is_question).count(), 1);
    let grant = owner::Grant { worker: cell::worker(2), ticket: "t".to_owned() };
    cell.owner.advice_received(phase, Some(vec![grant]), cell::at(cell.now));
    let start = cell::starts(&cell.tick()).remove(0);
    assert_eq!((start.worker, start.order.ticket), (cell::worker(2), Some("t".to_owned())));
}

#[test]
fn lasting_tasks_of_one_image_stay_together() {
    let mut cell = Cell::new(4);
    let lasting = |image: &str| job::Phase {
        long_running: true,
        image: Some(image.to_owned()),
        ..cell::phase(2, 10_000)
    };
    let mut used = collections::BTreeMap::<String, collections::BTreeSet<_>>::new();
    for (n, image) in (1..).zip(["a", "b", "a", "b", "a", "b"]) {
        for start in cell::starts(&cell.submit(n, cell::job(vec![lasting(image)]))) {
            used.entry(image.to_owned()).or_default().insert(start.worker);
        }
    }
    assert!(used["a"].is_disjoint(&used["b"]), "{used:?}");
}

#[test]
fn jobs_that_can_be_in_time_go_before_jobs_that_cannot() {
    let mut cell = Cell::new(1);
    let blocker = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 64_000)])));
    cell.answer(&blocker[0], worker::OrderReply::Done);
    cell.submit(2, cell::job(vec![cell::phase(1, 64_000)]));
    cell.now += 4_000;
    cell.poll(0, &[cell::running(&blocker[0], 50.0, 64_000.0)]);
    let now = cell::at(cell.now);
    let fresh = job::Job { submitted: now, ..cell::job(vec![cell::phase(1, 64_000)]) };
    cell.submit(3, fresh);
    cell.end(0, &blocker[0], worker::Outcome::Done);
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick())[0].task, cell::task(3, 0, 0));
}

#[test]
fn a_service_that_is_full_does_not_hold_up_another() {
    let mut cell = Cell::new(2);
    let other = worker::Registration { service: "other".to_owned(), ..cell::registration(1) };
    cell.owner.workers_listed(&[cell::registration(0), other], cell::at(cell.now));
    let whole = || cell::job(vec![cell::phase(1, 64_000)]);
    assert_eq!(cell::starts(&cell.submit(1, whole())).len(), 1);
    assert!(cell::starts(&cell.submit(2, whole())).is_empty());
    let elsewhere = job::Job { service: "other".to_owned(), ..whole() };
    let starts = cell::starts(&cell.submit(3, elsewhere));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, cell::worker(1));
}

/// The pattern: a service whose room lasting tasks fill up. What brief tasks give back went to
/// lasting tasks that waited, until no brief one found room any more.
#[test]
fn brief_tasks_in_time_go_before_lasting_tasks_that_wait() {
    let mut cell = Cell::new(1);
    let blocker = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 64_000)]))).remove(0);
    cell.answer(&blocker, worker::OrderReply::Done);
    let lasting = job::Phase { long_running: true, ..cell::phase(1, 64_000) };
    assert!(cell::starts(&cell.submit(2, cell::job(vec![lasting]))).is_empty());
    let now = cell::at(cell.now);
    let brief = job::Job { submitted: now, ..cell::job(vec![cell::phase(1, 64_000)]) };
    assert!(cell::starts(&cell.submit(3, brief)).is_empty());
    cell.end(0, &blocker, worker::Outcome::Done);
    cell.poll(0, &[]);
    let next = cell::starts(&cell.tick()).remove(0);
    assert_eq!(next.task, cell::task(3, 0, 0));
    cell.answer(&next, worker::OrderReply::Done);
    cell.end(0, &next, worker::Outcome::Done);
    cell.poll(0, &[]);
    assert_eq!(cell::starts(&cell.tick())[0].task, cell::task(2, 0, 0), "then the lasting one");
}
