//! Creates the tasks that the jobs' rows require, and ends those that are no longer required.

use gl_model::{id, job, task, time};

use crate::{owner, state};

/// Replaces job rows by newer stored ones. A row that this owner has changed and not committed yet
/// stays.
pub fn update(shard: &mut state::Shard, rows: Vec<owner::Job>) {
    for job in rows {
        let name = job.row.spec.name.clone();
        let known = shard.jobs.get(&name).map(|stored| stored.version).unwrap_or_default();
        if job.version > known {
            shard.routes_changed = true;
            shard.unreconciled.insert(name.clone());
            shard.jobs.put(name, state::Stored { row: job.row, version: job.version });
        }
    }
}

/// Reconciles the tasks of each job whose row is new, or which runs only in certain time windows.
pub fn run(shard: &mut state::Shard, now: time::Timestamp) {
    let mut due = std::mem::take(&mut shard.unreconciled);
    for (name, stored) in shard.jobs.iter() {
        if let job::Work::Service(service) = &stored.row.spec.work
            && !service.windows.is_empty()
        {
            due.insert(name.clone());
        }
    }
    for name in due {
        reconcile(shard, &name, now);
    }
}

fn reconcile(shard: &mut state::Shard, name: &id::JobId, now: time::Timestamp) {
    let Some(stored) = shard.jobs.get(name) else {
        return;
    };
    if stored.row.ended.is_some() {
        return;
    }
    let is_wanted = !stored.row.cancelled && stored.row.spec.is_wanted(now);
    let can_restart = !stored.row.cancelled && stored.row.spec.is_service();
    let indices: Vec<u32> = stored.row.slots.iter().map(|slot| slot.index).collect();
    end_unlisted(shard, name, &indices);
    for index in indices {
        let task = id::TaskId::of(name, index);
        let existing = shard.tasks.get(&task).map(|stored| stored.row.clone());
        match existing {
            None if is_wanted => shard.set_task(task::Row::new(name, index, now)),
            Some(row) if !is_wanted => end(shard, &row),
            Some(row) if is_wanted && can_restart && row.state == task::State::Cancelled => {
                let state = task::State::Pending { after: now };
                shard.set_task(task::Row { state, ..row });
            }
            _ => {}
        }
    }
}

/// Ends the tasks of a job that its row no longer lists because the job was made smaller.
fn end_unlisted(shard: &mut state::Shard, name: &id::JobId, indices: &[u32]) {
    let unlisted: Vec<task::Row> = shard
        .tasks
        .iter()
        .map(|(_, stored)| &stored.row)
        .filter(|row| row.job == *name && !indices.contains(&row.index))
        .cloned()
        .collect();
    for row in unlisted {
        end(shard, &row);
    }
}

fn end(shard: &mut state::Shard, row: &task::Row) {
    let is_draining = matches!(row.state, task::State::Draining { then: task::After::Cancel, .. });
    if row.is_ended() || is_draining {
        return;
    }
    let step = match row.vm() {
        Some(_) => task::Step::Drain(task::After::Cancel),
        None => task::Step::Cancel,
    };
    shard.step(&row.id, &step);
}
