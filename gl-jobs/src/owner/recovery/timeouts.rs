//! Events that follow from the passing of time: expired leases, stop orders to repeat, stalled
//! tasks.

use gl_model::time;

use crate::owner::{Action, Basis, Cause, Evidence, Note, Owner, Run, Stage, StopReason, runs};
use crate::{task, worker};

/// Handles everything that has become due.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    expire_leases(owner, now);
    retry_stops(owner, now);
    stop_stalled(owner, now);
    remove_unlisted(owner, now);
}

/// Ends the runs of workers whose lease must have expired.
fn expire_leases(owner: &mut Owner, now: time::Timestamp) {
    let settings = owner.settings;
    let is_expired = |w: &crate::owner::Worker, task: &task::TaskId| {
        let run = owner.runs.get(task);
        let at = run.and_then(|run| w.run_expiry(run, &settings));
        at.is_some_and(|at| now >= at)
    };
    let lost_with = |w: &crate::owner::Worker| {
        let lost: Vec<_> = w.runs.iter().filter(|task| is_expired(w, task)).copied().collect();
        let age = w.clock.map(|reading| now.since(reading.at)).unwrap_or_default();
        let note = w.leases_expired(lost.len(), &settings, now)?;
        (!lost.is_empty()).then_some((note, Evidence::of(Basis::Lease, age), lost))
    };
    let expired: Vec<_> = owner.workers.values().filter_map(lost_with).collect();
    // If lines are dropped, the log still has those that tell why the others are gone.
    expired.iter().for_each(|(note, ..)| owner.note(note.clone()));
    for (_, evidence, tasks) in expired {
        for task in tasks {
            owner.end_run(task, Cause::Lapsed, evidence, now);
        }
    }
}

/// Repeats stop orders that were not answered or not carried out in time.
fn retry_stops(owner: &mut Owner, now: time::Timestamp) {
    let settings = owner.settings;
    let mut retries = Vec::new();
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
            retries.push(Action::Stop { worker, task: *task, attempt });
        }
    }
    owner.actions.extend(retries);
}

/// Stops tasks that make no progress although their worker replies.
fn stop_stalled(owner: &mut Owner, now: time::Timestamp) {
    let settings = owner.settings;
    let is_stalled = |r: &Run| {
        // The worker is looked up last, as there are thousands of runs.
        let is_responsive = || {
            let worker = owner.workers.get(&r.worker);
            let limit = settings.poll_wait + settings.poll_wait;
            worker.is_some_and(|w| now.since(w.polled_at) < limit)
        };
        r.is_running()
            && r.kind != runs::Kind::LongRunning
            && r.cpu_limit == runs::NO_LIMIT
            && r.wanted_limit == runs::NO_LIMIT
            && r.reported_at.since(r.progressed_at) > settings.stall_timeout
            && is_responsive()
    };
    let stalled: Vec<_> =
        owner.runs.iter().filter(|(_, r)| is_stalled(r)).map(|(t, _)| *t).collect();
    for task in stalled {
        mark_worker_suspect(owner, task, now);
        owner.stop(task, StopReason::Stalled, now);
    }
}

fn mark_worker_suspect(owner: &mut Owner, task: task::TaskId, now: time::Timestamp) {
    let until = now + owner.settings.suspect_time;
    let Some(run) = owner.runs.get(&task) else {
        return;
    };
    let id: worker::WorkerId = run.worker.clone();
    if let Some(worker) = owner.workers.get_mut(&id) {
        worker.suspect_until = worker.suspect_until.max(until);
    }
    let reason = "a task makes no progress";
    owner.note(Note::Suspected { worker: id, reason, until: Some(until) });
}

/// Removes workers that are no longer listed and have no runs.
fn remove_unlisted(owner: &mut Owner, now: time::Timestamp) {
    let keep = owner.settings.worker_retention;
    let is_removable = |w: &crate::owner::Worker| {
        !w.is_listed && w.runs.is_empty() && now.since(w.unlisted_at) > keep
    };
    let removable: Vec<_> = owner
        .workers
        .values()
        .filter(|w| is_removable(w))
        .map(|w| w.registration.id.clone())
        .collect();
    for id in removable {
        owner.remove_worker(&id);
    }
}
