//! What the log tells of short tasks that wait for room.

use gl_jobs::{job, owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

fn notes(actions: &[owner::Action]) -> impl Iterator<Item = &owner::Note> {
    actions.iter().filter_map(|action| match action {
        owner::Action::Note(note) => Some(note),
        _ => None,
    })
}

fn short_job(cell: &Cell, count: u32, cores: u64) -> job::Job {
    let phase = cell::phase(count, cores);
    job::Job { submitted: cell::at(cell.now), ..cell::job(vec![phase]) }
}

/// Lets time pass while the worker makes progress, and returns the actions of all ticks.
fn pass(cell: &mut Cell, millis: u64, runs: &[&cell::Started]) -> Vec<owner::Action> {
    let end = cell.now + millis;
    let mut actions = Vec::new();
    while cell.now < end {
        let progress = cell.now as f64 / 100.0;
        let running: Vec<_> =
            runs.iter().map(|run| cell::running(run, progress, 10_000.0)).collect();
        cell.poll(0, &running);
        actions.extend(cell.tick());
    }
    actions
}

/// Guards against a wait whose cause cannot be told from the log.
#[test]
fn end_of_a_job_tells_for_what_its_tasks_waited() {
    let mut cell = Cell::new(1);
    let job = short_job(&cell, 1, 64_000);
    let blocker = cell::starts(&cell.submit(1, job)).remove(0);
    cell.start_replied(&blocker, worker::OrderReply::Done);
    let job = short_job(&cell, 1, 40_000);
    cell.submit(2, job);
    pass(&mut cell, 2_000, &[&blocker]);
    cell.report_end(0, &blocker, worker::Outcome::Done);
    cell.poll(0, &[]);
    let next = cell::starts(&cell.tick()).remove(0);
    cell.start_replied(&next, worker::OrderReply::Done);
    cell.report_end(0, &next, worker::Outcome::Done);
    cell.poll(0, &[]);
    let actions = cell.tick();
    let decided = notes(&actions).find_map(|note| match note {
        owner::Note::Decided { job, waits, work, .. } if *job == cell::id(2) => {
            Some((waits, *work))
        }
        _ => None,
    });
    let (waits, work) = decided.unwrap();
    assert!((work - 20.0).abs() < 1e-6, "40 cores for half a second: {work}");
    // The objective is 1,250 ms, of which the task itself takes 500 ms.
    let [room, late] = [waits.room, waits.late_room].map(time::Span::as_millis);
    assert!((700..=800).contains(&room), "{waits:?}");
    assert!((1_150..=1_300).contains(&late), "{waits:?}");
    let others = [waits.orders, waits.rack, waits.other];
    assert_eq!(others, [time::Span::ZERO; 3]);
}

/// Guards against a shortage of which the log does not tell whether there is too little room, or
/// whether others get it.
#[test]
fn waiting_tasks_are_reported_with_the_room_there_is_and_who_overtakes_them() {
    let mut cell = Cell::new(1);
    let job = short_job(&cell, 1, 30_000);
    let blocker = cell::starts(&cell.submit(1, job)).remove(0);
    cell.start_replied(&blocker, worker::OrderReply::Done);
    let job = short_job(&cell, 2, 50_000);
    cell.submit(2, job);
    pass(&mut cell, 1_000, &[&blocker]);
    let job = short_job(&cell, 1, 10_000);
    let narrow = cell::starts(&cell.submit(3, job)).remove(0);
    cell.start_replied(&narrow, worker::OrderReply::Done);
    let actions = pass(&mut cell, 1_100, &[&blocker, &narrow]);
    let shortages: Vec<_> = notes(&actions)
        .filter_map(|note| match note {
            owner::Note::ShortTasksWait(shortage) => Some(shortage),
            _ => None,
        })
        .collect();
    let [shortage] = shortages[..] else { panic!("one a second: {shortages:?}") };
    assert_eq!((shortage.tasks, shortage.largest.cores), (2, 50_000));
    assert_eq!((shortage.room.cores, shortage.free_workers), (24_000, 1));
    assert_eq!((shortage.overtaking, shortage.long_running), (1, 0));
}
