//! Replies to polls that cross each other and a start. One that was composed before the worker had the run says
//! nothing about it, in whichever order the replies arrive.

use gl_jobs::{owner, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// The number of moments at which something happens. They are less than a millisecond apart, so that the
/// worker's clock shows the same time at most of them.
const MOMENTS: u64 = 4;

fn at(cell: &Cell, moment: u64) -> time::Timestamp {
    cell::at(cell.now) + time::Span(400 * moment)
}

/// The moments at which a poll is sent, its reply is composed, and the reply arrives.
type Poll = [u64; 3];

fn polls() -> impl Iterator<Item = Poll> {
    let sent = 0..MOMENTS;
    let composed = sent.flat_map(|sent| (sent..MOMENTS).map(move |composed| (sent, composed)));
    composed.flat_map(|(sent, composed)| (composed..MOMENTS).map(move |now| [sent, composed, now]))
}

/// Plays two polls beside a start that is carried out at `carried_out` and answered at `answered`, and returns
/// the notes on ended runs and the number of starts after the first.
fn play(polls: [Poll; 2], carried_out: u64, answered: Option<u64>) -> (Vec<owner::Note>, usize) {
    let mut cell = Cell::new(2);
    let start = cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))).remove(0);
    let mut calls = [None; 2];
    for moment in 0..MOMENTS {
        let now = at(&cell, moment);
        for (call, poll) in calls.iter_mut().zip(&polls).filter(|(_, poll)| poll[0] == moment) {
            assert!(poll[0] <= poll[1]);
            cell.owner.poll_request(&start.worker, now).expect("a known worker");
            *call = Some(cell::call(&cell.owner, &start.worker, now));
        }
        if answered == Some(moment) {
            let done = worker::OrderReply::Done;
            cell.owner.start_replied(&start.worker, start.task, start.attempt, done, now);
        }
        for (call, [_, composed, _]) in
            calls.iter().zip(&polls).filter(|(_, poll)| poll[2] == moment)
        {
            let clock = at(&cell, *composed).since(cell::at(0)).as_millis();
            // At the same moment the reply is composed first.
            let has_run = *composed > carried_out;
            let reply = worker::PollReply {
                clock: cell::at(clock),
                incarnation: worker::Incarnation(1),
                running: has_run.then(|| cell::running(&start, 1.0, 900.0)).into_iter().collect(),
                ..worker::PollReply::default()
            };
            let call = call.expect("it was sent");
            cell.owner.poll_replied(&start.worker, call, &reply, now);
        }
    }
    let actions = cell.tick();
    let ended = actions.iter().filter_map(|action| match action {
        owner::Action::Note(note @ owner::Note::Ended { .. }) => Some(note.clone()),
        _ => None,
    });
    (ended.collect(), cell::starts(&actions).len())
}

/// Guards against second runs: a run is taken for gone because of a reply that was composed before it started.
#[test]
fn replies_that_cross_a_start_end_no_run() {
    for carried_out in 0..MOMENTS {
        let answers = (carried_out..MOMENTS).map(Some).chain([None]);
        for answered in answers {
            for first in polls() {
                for second in polls() {
                    let played = play([first, second], carried_out, answered);
                    let case = (first, second, carried_out, answered);
                    assert_eq!(played, (Vec::new(), 0), "{case:?}");
                }
            }
        }
    }
}
