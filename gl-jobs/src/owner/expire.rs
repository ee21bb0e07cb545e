//! What time alone decides: leases that expire, orders to repeat, tasks that stand still.

use gl_model::time;

use super::{Action, Cause, Note, Owner, Run, Stage, StopReason, run};
use crate::{task, worker};

/// Runs the system.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    expire_leases(owner, now);
    repeat_stops(owner, now);
    stop_stuck(owner, now);
    forget_workers(owner, now);
}

/// Ends the runs of workers whose lease must have expired.
fn expire_leases(owner: &mut Owner, now: time::Timestamp) {
    let settings = owner.settings;
    let is_expired =
        |w: &&super::Worker| !w.runs.is_empty() && w.expiry(&settings).is_some_and(|at| now >= at);
    let expired = owner.workers.values().filter(is_expired);
    let lost: Vec<_> = expired.flat_map(|w| w.runs.iter().copied()).collect();
    for task in lost {
        owner.over(task, Cause::Lapsed, now);
    }
}

/// Sends stop orders again that were not answered or not carried out.
fn repeat_stops(owner: &mut Owner, now: time::Timestamp) {
    let settings = owner.settings;
    let mut again = Vec::new();
    for (task, run) in &mut owner.runs {
        let Stage::Stopping(stop) = &mut run.stage else {
            continue;
        };
        let wait = match stop.confirmed {
            Some(_) => settings.stop_time + settings.stop_retry,
            None => settings.stop_retry,
        };
        if now.since(stop.sent) >= wait {
            stop.sent = now;
            let (worker, attempt) = (run.worker.clone(), run.attempt);
            again.push(Action::Stop { worker, task: *task, attempt });
        }
    }
    owner.actions.extend(again);
}

/// Stops tasks that make no progress although their worker answers.
fn stop_stuck(owner: &mut Owner, now: time::Timestamp) {
    let settings = owner.settings;
    let is_stuck = |r: &Run| {
        let is_reached = owner
            .workers
            .get(&r.worker)
            .is_some_and(|w| now.since(w.polled_at) < settings.poll_wait + settings.poll_wait);
        r.is_running()
            && is_reached
            && r.kind != run::Kind::LongRunning
            && r.cpu_limit == run::FULL_PACE
            && r.wanted_limit == run::FULL_PACE
            && now.since(r.progressed_at) > settings.stall_timeout
    };
    let stuck: Vec<_> = owner.runs.iter().filter(|(_, r)| is_stuck(r)).map(|(t, _)| *t).collect();
    for task in stuck {
        suspect_of(owner, task, now);
        owner.stop(task, StopReason::Stalled, now);
    }
}

fn suspect_of(owner: &mut Owner, task: task::TaskId, now: time::Timestamp) {
    let until = now + owner.settings.suspect_time;
    let Some(run) = owner.runs.get(&task) else {
        return;
    };
    let id: worker::WorkerId = run.worker.clone();
    if let Some(worker) = owner.workers.get_mut(&id) {
        worker.suspect_until = worker.suspect_until.max(until);
    }
    owner.note(Note::Suspected { worker: id, reason: "a task stands still", until });
}

/// Drops workers that left the list and run nothing.
fn forget_workers(owner: &mut Owner, now: time::Timestamp) {
    let keep = owner.settings.worker_retention;
    let is_gone =
        |w: &super::Worker| !w.is_listed && w.runs.is_empty() && now.since(w.listed_at) > keep;
    let gone: Vec<_> =
        owner.workers.values().filter(|w| is_gone(w)).map(|w| w.registration.id.clone()).collect();
    for id in gone {
        owner.drop_worker(&id);
    }
}
